package soak

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/standin/local"
	"github.com/wigeontiller/wigeontiller/standin/platformserver"
	"github.com/wigeontiller/wigeontiller/standin/service"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

const (
	environmentName = "soak"
	modelName       = "adviser"
	serviceName     = "bookings"
	confirmPath     = "/confirm"
	callerKey       = "soak-key"
	operatorToken   = "soak-operator"
	peerKey         = "soak-peer-key-0123456789abcdef"

	engineSlots   = 8
	engineTokens  = 400_000
	serviceSlots  = 32
	prefillRate   = 150_000
	tokenInterval = 15 * time.Millisecond
	// engineGrace is how long an engine runs a stream that nobody reads.
	engineGrace = 5 * time.Second
	// stopTimeout bounds the end of the site.
	stopTimeout = 30 * time.Second
)

// engineStandIn is one engine of the site.
type engineStandIn struct {
	*standIn
	server  *engine.Server
	control *knobs
}

// serviceStandIn is one process of the plain service.
type serviceStandIn struct {
	*standIn
	server  *service.Server
	control *knobs
}

// site is everything that a run needs around the nodes.
type site struct {
	clock    *clock
	logger   zerolog.Logger
	ports    *ports
	apps     []*fiber.App
	platform *memory.Platform
	store    *knobs
	// platformURL is the base URL of the platform.
	platformURL string
	engines     []*engineStandIn
	services    []*serviceStandIn
	fleet       *fleet
}

// newSite starts the stand-ins, puts the document in force and starts the nodes.
func newSite(ctx context.Context, nodes int, logger zerolog.Logger) (*site, error) {
	s := &site{clock: newClock(), logger: logger, ports: newPorts(), platform: memory.New(), store: newKnobs()}
	if err := s.startStandIns(); err != nil {
		return s, err
	}
	client, err := httpstorage.NewClient(s.platformURL)
	if err != nil {
		return s, err
	}
	version, err := local.PutInForce(ctx, configuration.NewStore(client), environmentName, s.document(1))
	if err != nil {
		return s, err
	}
	s.fleet = newFleet(s, nodes)
	if err := s.fleet.startAll(ctx); err != nil {
		return s, err
	}
	return s, local.Wait(ctx, version, s.fleet.processes()...)
}

func (s *site) standIns() []*standIn {
	var all []*standIn
	for _, one := range s.engines {
		all = append(all, one.standIn)
	}
	for _, one := range s.services {
		all = append(all, one.standIn)
	}
	return all
}

func (s *site) startStandIns() error {
	address, err := s.serve(platformserver.NewServer(s.platform, s.store.control).App())
	if err != nil {
		return err
	}
	s.platformURL = "http://" + address
	for number := range engineCount {
		if err := s.startEngine(number); err != nil {
			return err
		}
	}
	for number := range serviceCount {
		if err := s.startService(number); err != nil {
			return err
		}
	}
	return nil
}

// newStandIn returns an upstream's stand-in on a VM of its own.
func (s *site) newStandIn(name, vm string, number int) *standIn {
	return &standIn{
		name:       fmt.Sprintf("%s-%d", name, number),
		vm:         fmt.Sprintf("%s-%d", vm, number),
		dataCentre: dataCentre(number),
		clock:      s.clock,
	}
}

func (s *site) startEngine(number int) error {
	control := newKnobs()
	config := engine.Config{Slots: engineSlots, KVTokens: engineTokens, PrefillTokensPerSecond: prefillRate, TokenInterval: tokenInterval, Grace: engineGrace}
	started := &engineStandIn{
		standIn: s.newStandIn("engine", "engine-vm", number),
		server:  engine.NewServer(config, control.control),
		control: control,
	}
	started.watch(started.server.App(), engineCall)
	var err error
	started.address, err = s.serve(started.server.App())
	s.engines = append(s.engines, started)
	return err
}

func (s *site) startService(number int) error {
	control := newKnobs()
	started := &serviceStandIn{
		standIn: s.newStandIn("bookings", "service-vm", number),
		server:  service.NewServer(serviceName, control.control),
		control: control,
	}
	started.watch(started.server.App(), serviceCall)
	var err error
	started.address, err = s.serve(started.server.App())
	s.services = append(s.services, started)
	return err
}

// serve serves an application at a free address.
func (s *site) serve(app *fiber.App) (string, error) {
	address, err := s.ports.free()
	if err != nil {
		return "", err
	}
	s.apps = append(s.apps, app)
	return address, local.Serve(address, app)
}

func dataCentre(number int) string {
	return fmt.Sprintf("dc-%c", 'a'+number%DataCentres)
}

// document is the environment; the weight tells one document from another.
func (s *site) document(weight int) []byte {
	text := fmt.Sprintf(`name: %s
models: [{name: %s, context_tokens: 1048576}]
organisations:
  - name: dock
    key_digests: ["%s"]
    weight: %d
    max_priority: urgent
length_classes:
  - {name: short, max_prompt_tokens: %d, deadline: %v}
  - {name: long, max_prompt_tokens: %d, deadline: %v}
  - {name: archive, max_prompt_tokens: 1000000, deadline: %v}
engines:
`, environmentName, modelName, environment.KeyDigest(callerKey), weight,
		shortTokens, shortDeadline, longTokens, longDeadline, archiveDeadline)
	for _, one := range s.engines {
		text += fmt.Sprintf("  - {name: %s, data_centre: %s, address: %q, vm: %s, models: [%s], slots: %d, kv_tokens: %d}\n",
			one.name, one.dataCentre, one.address, one.vm, modelName, engineSlots, engineTokens)
	}
	text += fmt.Sprintf("services:\n  - name: %s\n    side_effects: [{method: POST, path: %s}]\n    endpoints:\n", serviceName, confirmPath)
	for _, one := range s.services {
		text += fmt.Sprintf("      - {name: %s, data_centre: %s, address: %q, vm: %s, slots: %d}\n", one.name, one.dataCentre, one.address, one.vm, serviceSlots)
	}
	return []byte(text)
}

// stop ends the nodes and then the stand-ins.
func (s *site) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.store.set(func(k *fault.Knobs) { *k = fault.Knobs{} })
	var failures []error
	if s.fleet != nil {
		failures = append(failures, s.fleet.stop(ctx))
	}
	for _, app := range s.apps {
		failures = append(failures, app.ShutdownWithContext(ctx))
	}
	return errors.Join(failures...)
}

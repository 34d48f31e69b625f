// Package demo runs a complete deployment in one process on fixed loopback ports:
// three entry nodes in three data centres, their stand-ins and a sample environment.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/standin/local"
	"github.com/wigeontiller/wigeontiller/standin/platformserver"
	"github.com/wigeontiller/wigeontiller/standin/service"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

const (
	// OperatorToken is the operators' token. The demo's secrets are public.
	OperatorToken = "demo-operator"
	// CallerKey is the caller key of the sample organisation.
	CallerKey = "demo-key"

	environmentName = "demo"
	nodeCount       = 3
	platformPort    = 9000
	basePort        = 8080
	portStep        = 100
	engineBasePort  = 9101
	serviceBasePort = 9111

	slots                  = 16
	kvTokens               = 400_000
	prefillTokensPerSecond = 40_000
	tokenInterval          = 20 * time.Millisecond

	shutdownLag = 20 * time.Millisecond
)

// document is the sample environment that Start puts in force.
//
//go:embed environment.yaml
var document []byte

// ErrStart is returned if a part of the demo can't start.
var ErrStart = eris.New("demo can't start")

// Demo is a running deployment.
type Demo struct {
	// portOffset is added to every port.
	portOffset int
	apps       []*fiber.App
	nodes      []*wigeontiller.Node
}

// Start starts the stand-ins and nodes and returns when the sample environment is in
// force at every node. traces is an OTLP URL, telemetry.EndpointStdout or empty.
func Start(ctx context.Context, logger zerolog.Logger, traces string) (*Demo, error) {
	return startAt(ctx, logger, traces, 0)
}

// startAt is Start with portOffset added to every port.
func startAt(ctx context.Context, logger zerolog.Logger, traces string, portOffset int) (*Demo, error) {
	demo := &Demo{portOffset: portOffset}
	if err := demo.start(ctx, logger, traces); err != nil {
		return nil, errors.Join(err, demo.Stop(ctx))
	}
	return demo, nil
}

func (d *Demo) start(ctx context.Context, logger zerolog.Logger, traces string) error {
	if err := d.startStandIns(); err != nil {
		return err
	}
	client, err := httpstorage.NewClient("http://" + d.loopback(platformPort))
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	for number := range nodeCount {
		node, err := wigeontiller.New(ctx, d.nodeSettings(number, traces), client, logger)
		if err != nil {
			return eris.Wrap(ErrStart, err.Error())
		}
		if err := node.Start(); err != nil {
			return eris.Wrap(ErrStart, err.Error())
		}
		d.nodes = append(d.nodes, node)
	}
	version, err := local.PutInForce(ctx, configuration.NewStore(client), environmentName, d.document())
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	return d.wait(ctx, version)
}

func (d *Demo) startStandIns() error {
	apps := map[string]*fiber.App{
		d.loopback(platformPort): platformserver.NewServer(memory.New(), new(fault.Control)).App(),
	}
	speed := engine.Config{Slots: slots, KVTokens: kvTokens, PrefillTokensPerSecond: prefillTokensPerSecond, TokenInterval: tokenInterval}
	for number := range nodeCount {
		apps[d.loopback(engineBasePort+number*portStep)] = engine.NewServer(speed, new(fault.Control)).App()
		apps[d.loopback(serviceBasePort+number*portStep)] = service.NewServer("bookings", new(fault.Control)).App()
	}
	for address, app := range apps {
		if err := local.Serve(address, app); err != nil {
			return eris.Wrap(ErrStart, err.Error())
		}
		d.apps = append(d.apps, app)
	}
	return nil
}

func (d *Demo) loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port+d.portOffset)
}

func (d *Demo) nodeSettings(number int, traces string) *settings.Settings {
	port := basePort + number*portStep
	node := &settings.Settings{
		Name:            fmt.Sprintf("entry-%c", 'a'+number),
		DataCentre:      fmt.Sprintf("dc-%c", 'a'+number),
		Region:          "demo",
		CallerAddress:   d.loopback(port),
		OperatorAddress: d.loopback(port + 1),
		PeerAddress:     d.loopback(port + 2),
		PlatformURL:     "http://" + d.loopback(platformPort),
		InProcessDemo:   true,
		OperatorTokens:  []settings.Secret{{Literal: OperatorToken}},
		PeerKey:         settings.Secret{Literal: "demo-peer-key-0123456789abcdef"},
		OTLPEndpoint:    traces,
		ShutdownLag:     shutdownLag,
	}
	for other := range nodeCount {
		node.Seeds = append(node.Seeds, d.loopback(basePort+other*portStep+2))
	}
	node.Provision()
	return node
}

func (d *Demo) wait(ctx context.Context, version uint64) error {
	if err := local.Wait(ctx, version, d.nodes...); err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	return nil
}

// document returns the sample environment with the addresses of this demo's stand-ins.
func (d *Demo) document() []byte {
	text := string(document)
	for number := range nodeCount {
		for _, base := range []int{engineBasePort, serviceBasePort} {
			port := base + number*portStep
			text = strings.ReplaceAll(text, fmt.Sprintf("127.0.0.1:%d", port), d.loopback(port))
		}
	}
	return []byte(text)
}

// Stop stops the nodes gracefully, then the stand-ins.
func (d *Demo) Stop(ctx context.Context) error {
	var failures []error
	for _, node := range d.nodes {
		failures = append(failures, node.Shutdown(ctx))
	}
	for _, app := range d.apps {
		failures = append(failures, app.ShutdownWithContext(ctx))
	}
	return errors.Join(failures...)
}

// WriteHelp writes sample commands for a second shell.
func WriteHelp(w io.Writer) error {
	_, err := fmt.Fprintf(w, helpText, OperatorToken, CallerKey)
	return err
}

const helpText = `Three entry nodes serve callers on 127.0.0.1:8080, 8180 and 8280,
and operators on 8081, 8181 and 8281. In a second shell:

  export WIGEONTILLER_TOKEN=%[1]s KEY=%[2]s

  # a streamed answer
  curl -N http://127.0.0.1:8080/v1/chat/completions -H "Authorization: Bearer $KEY" \
    -d '{"model":"adviser","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Which hollow for a goalie?"}]}'

  # a prompt of about 100,000 tokens
  { printf '{"model":"adviser","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"'; head -c 400000 /dev/zero | tr '\0' 'a'; printf '"}]}'; } |
    curl -N http://127.0.0.1:8180/v1/chat/completions -H "Authorization: Bearer $KEY" -d @-

  # a booking sent three times under one key; then how often it ran
  for port in 8080 8180 8280; do
    curl -X POST http://127.0.0.1:$port/services/bookings/confirm -H "Authorization: Bearer $KEY" -H 'Idempotency-Key: goalie-1' -d '{"skate":7}'; echo
  done
  curl http://127.0.0.1:9111/counts http://127.0.0.1:9211/counts http://127.0.0.1:9311/counts

  # a wrong key
  curl -i http://127.0.0.1:8080/services/bookings/slots -H 'Authorization: Bearer wrong'

  # a bad document, answered with its line
  curl -X PUT http://127.0.0.1:8081/admin/v1/environments/demo/trial -H "Authorization: Bearer $WIGEONTILLER_TOKEN" --data-binary $'name: demo\nmodells: []\n'

  # try and promote a document, and see it in force everywhere
  go run ./cmd/wigeontiller env try demo/environment.yaml
  go run ./cmd/wigeontiller env promote demo
  for port in 8081 8181 8281; do go run ./cmd/wigeontiller status --url http://127.0.0.1:$port; done

  # take a data centre out and back in
  go run ./cmd/wigeontiller dc out dc-b
  go run ./cmd/wigeontiller dc in dc-b

Ctrl-C stops everything.
`

// Package ordering gives engines their orders: it reads the clock, makes the
// calls of orders.Giver and takes the load slots. All of it runs in one
// goroutine, so that there is no lock.
package ordering

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	interval  = time.Second
	keyPrefix = "orders/engines/"
	// reportLifetime is the age from which a report says nothing.
	reportLifetime = 5 * time.Second
	// loadPatience is how long a load may keep its slot; then others go first.
	loadPatience = 2 * time.Minute
	// storeTimeout bounds one call of the table.
	storeTimeout = 2 * time.Second
	// actionsPerRound bounds what one engine takes of a round.
	actionsPerRound = 4
)

// Engine is one engine that orders are for.
type Engine struct {
	Address    string
	DataCentre string
	Desired    orders.Desired
	// Fences is true when it refuses orders with an old fencing number.
	Fences bool
	// Checks is true when it checks who gives an order.
	Checks bool
}

// Site is what the shell needs to know.
type Site interface {
	// Engines returns the engines of the tables in force.
	Engines() []Engine
	// Report returns an engine's latest report; Models is nil for one that
	// takes no orders.
	Report(address string) (orders.Report, bool)
	// Owns reports whether the role of an engine's giver falls to this node.
	Owns(engine Engine) bool
}

// Sender sends orders.
type Sender interface {
	// Send gives an engine an order. Errors: ErrRefused, ErrUnknown, ErrNoKey.
	Send(engine Engine, order orders.Order) error
}

// Config is what a shell works with.
type Config struct {
	Table   storage.Table
	Site    Site
	Sender  Sender
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Logger  zerolog.Logger
}

// giver is the state kept for one engine.
type giver struct {
	*orders.Giver
	fences bool
	// hasSlot is also true while it isn't known; isSure tells when it is.
	hasSlot   bool
	isSure    bool
	slotSince time.Time
	notBefore time.Time
}

// Shell gives orders from one node.
type Shell struct {
	config Config
	slots  slots
	givers map[string]*giver
}

// New returns a shell that holds nothing.
func New(config Config) *Shell {
	return &Shell{config: config, slots: slots{table: config.Table}, givers: map[string]*giver{}}
}

// Run gives orders until the context ends.
func (s *Shell) Run(ctx context.Context) {
	periodic.RunNow(ctx, interval, func() { s.Round(ctx) })
}

// Round looks at each engine once.
func (s *Shell) Round(ctx context.Context) {
	engines := s.config.Site.Engines()
	configured := map[string]bool{}
	for _, engine := range engines {
		configured[engine.Address] = true
	}
	for _, engine := range engines {
		if !s.config.Site.Owns(engine) {
			delete(s.givers, engine.Address)
			continue
		}
		s.look(ctx, engine, configured)
	}
	for address := range s.givers {
		if !configured[address] {
			delete(s.givers, address)
		}
	}
}

// look gives an engine what it lacks: a slot first, then the lease, then orders.
func (s *Shell) look(ctx context.Context, engine Engine, configured map[string]bool) {
	now := s.config.Now()
	report, known := s.config.Site.Report(engine.Address)
	if known && report.Models == nil {
		return
	}
	g := s.giverOf(now, engine)
	lacks, lacksModel := g.Lacks(now, engine.Desired, report)
	fresh := known && now.Sub(report.At) < reportLifetime
	if g.hasSlot && (fresh && !lacksModel || now.Sub(g.slotSince) >= loadPatience) {
		s.release(ctx, now, engine, g, lacksModel)
	}
	if !fresh || !lacks {
		return
	}
	mayLoad := lacksModel && s.hasSlot(ctx, now, engine, g, configured)
	if mayLoad || !lacksModel {
		s.act(ctx, engine, g, mayLoad, report)
	}
}

// hasSlot reports whether the engine may load now, and takes a slot if it can.
func (s *Shell) hasSlot(ctx context.Context, now time.Time, engine Engine, g *giver, configured map[string]bool) bool {
	if now.Before(g.notBefore) {
		return false
	}
	if g.isSure {
		return true
	}
	if !s.slots.take(ctx, now, engine.Address, func(one string) bool { return configured[one] }) {
		return false
	}
	g.hasSlot, g.isSure, g.slotSince = true, true, now
	return true
}

func (s *Shell) giverOf(now time.Time, engine Engine) *giver {
	known := s.givers[engine.Address]
	if known != nil && known.fences == engine.Fences {
		return known
	}
	made := &giver{Giver: orders.NewGiver(engine.Fences, uuid.NewString), fences: engine.Fences, hasSlot: true, slotSince: now}
	s.givers[engine.Address] = made
	return made
}

func (s *Shell) release(ctx context.Context, now time.Time, engine Engine, g *giver, lacks bool) {
	if err := s.slots.release(ctx, engine.Address); err != nil {
		return
	}
	wasSure := g.isSure
	g.hasSlot, g.isSure = false, false
	if lacks && wasSure {
		g.notBefore = now.Add(loadPatience)
		s.config.Logger.Warn().Str("address", engine.Address).Msg("load took too long; others go first")
	}
}

func (s *Shell) act(ctx context.Context, engine Engine, g *giver, mayLoad bool, report orders.Report) {
	for range actionsPerRound {
		action := g.Next(s.config.Now(), true, mayLoad, engine.Desired, report)
		switch action.Kind {
		case orders.Wait:
			return
		case orders.Read:
			s.read(ctx, engine.Address, g)
		case orders.Write:
			s.write(ctx, engine.Address, g, action)
		case orders.Send:
			s.send(engine, g, action.Order)
		}
	}
}

func (s *Shell) read(ctx context.Context, address string, g *giver) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := s.config.Table.Get(ctx, keyPrefix+address)
	if errors.Is(err, storage.ErrNotFound) {
		g.SeenRow(s.config.Now(), orders.Versioned{})
		return
	}
	seen := orders.Versioned{Version: row.Version}
	if err != nil || json.Unmarshal(row.Value, &seen.Row) != nil {
		return
	}
	g.SeenRow(s.config.Now(), seen)
}

func (s *Shell) write(ctx context.Context, address string, g *giver, action orders.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(action.Row)
	if err == nil {
		err = s.config.Table.Transact(ctx, []storage.Write{{Key: keyPrefix + address, Value: value, IfVersion: action.IfVersion}})
	}
	if err != nil {
		g.Failed()
		return
	}
	g.Wrote(s.config.Now())
}

// send asks the giver directly before the order goes out.
func (s *Shell) send(engine Engine, g *giver, order orders.Order) {
	if !g.MaySend(s.config.Now(), order) {
		return
	}
	g.Sent(s.config.Now(), order)
	err := s.config.Sender.Send(engine, order)
	if errors.Is(err, ErrRefused) {
		g.Refused()
	}
	s.config.Metrics.Count("wigeontiller_orders_total", 1)
	s.config.Logger.Info().Err(err).Str("address", engine.Address).Str("kind", string(order.Kind)).
		Str("model", order.Model).Uint64("fencing", order.Fencing).Msg("order given")
}

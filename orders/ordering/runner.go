// Package ordering sends orders to engines: it reads the clock, makes the calls
// that orders.Issuer returns and acquires load slots. All of it runs in one
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
	reconcileInterval = time.Second
	keyPrefix         = "orders/engines/"
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 5 * time.Second
	// loadTimeout is how long a load may keep its slot. After that the engine waits as
	// long again, so that others load first.
	loadTimeout = 2 * time.Minute
	// storeTimeout bounds one call to the table.
	storeTimeout = 2 * time.Second
	// maxActionsPerRound bounds the actions for one engine in one round.
	maxActionsPerRound = 4
)

// Engine is one engine that orders are sent to.
type Engine struct {
	Address    string
	DataCentre string
	Desired    orders.Desired
	// EnforcesFencing is true when the engine refuses orders with a stale fencing token.
	EnforcesFencing bool
	// ChecksSignatures is true when the engine checks the signature of an order.
	ChecksSignatures bool
}

// EngineSource provides the engines, their reports and the roles of this node.
type EngineSource interface {
	// Engines returns the engines of the tables in force.
	Engines() []Engine
	// Report returns an engine's latest report; Models is nil for an engine that
	// takes no orders.
	Report(address string) (orders.Report, bool)
	// Owns reports whether the role of the engine's issuer belongs to this node.
	Owns(engine Engine) bool
}

// Sender sends orders.
type Sender interface {
	// Send sends an order to an engine. Errors: ErrRefused, ErrOutcomeUnknown,
	// ErrNoKey.
	Send(engine Engine, order orders.Order) error
}

// Config holds the dependencies of a Runner.
type Config struct {
	Table   storage.Table
	Engines EngineSource
	Sender  Sender
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Logger  zerolog.Logger
}

// engineState is the state kept for one engine.
type engineState struct {
	*orders.Issuer
	enforcesFencing bool
	// mayHoldSlot is also true while it is unknown whether the engine holds a slot;
	// slotConfirmed is true once it is known to hold one.
	mayHoldSlot   bool
	slotConfirmed bool
	slotSince     time.Time
	noSlotBefore  time.Time
}

// Runner sends the orders of one node.
type Runner struct {
	config Config
	slots  slots
	states map[string]*engineState
}

// New returns a Runner that holds no leases or slots.
func New(config Config) *Runner {
	return &Runner{config: config, slots: slots{table: config.Table}, states: map[string]*engineState{}}
}

// Run reconciles all engines at each interval until the context ends.
func (r *Runner) Run(ctx context.Context) {
	periodic.RunNow(ctx, reconcileInterval, func() { r.Reconcile(ctx) })
}

// Reconcile processes each engine once.
func (r *Runner) Reconcile(ctx context.Context) {
	engines := r.config.Engines.Engines()
	configured := map[string]bool{}
	for _, engine := range engines {
		configured[engine.Address] = true
	}
	for _, engine := range engines {
		if !r.config.Engines.Owns(engine) {
			delete(r.states, engine.Address)
			continue
		}
		r.reconcileEngine(ctx, engine, configured)
	}
	for address := range r.states {
		if !configured[address] {
			delete(r.states, address)
		}
	}
}

// reconcileEngine acquires what the engine needs, a load slot first and then the
// lease, and sends it orders.
func (r *Runner) reconcileEngine(ctx context.Context, engine Engine, configured map[string]bool) {
	now := r.config.Now()
	report, known := r.config.Engines.Report(engine.Address)
	if known && report.Models == nil {
		return
	}
	state := r.stateOf(now, engine)
	needsOrder, needsLoad := state.Evaluate(now, engine.Desired, report)
	fresh := known && now.Sub(report.At) < maxReportAge
	if state.mayHoldSlot && (fresh && !needsLoad || now.Sub(state.slotSince) >= loadTimeout) {
		r.releaseSlot(ctx, now, engine, state, needsLoad)
	}
	if !fresh || !needsOrder {
		return
	}
	mayLoad := needsLoad && r.ensureSlot(ctx, now, engine, state, configured)
	if mayLoad || !needsLoad {
		r.runActions(ctx, engine, state, mayLoad, report)
	}
}

// ensureSlot reports whether the engine may load now, and acquires a slot for it if
// there is one.
func (r *Runner) ensureSlot(ctx context.Context, now time.Time, engine Engine, state *engineState, configured map[string]bool) bool {
	if now.Before(state.noSlotBefore) {
		return false
	}
	if state.slotConfirmed {
		return true
	}
	if !r.slots.acquire(ctx, now, engine.Address, func(address string) bool { return configured[address] }) {
		return false
	}
	state.mayHoldSlot, state.slotConfirmed, state.slotSince = true, true, now
	return true
}

func (r *Runner) stateOf(now time.Time, engine Engine) *engineState {
	known := r.states[engine.Address]
	if known != nil && known.enforcesFencing == engine.EnforcesFencing {
		return known
	}
	created := &engineState{Issuer: orders.NewIssuer(engine.EnforcesFencing, uuid.NewString), enforcesFencing: engine.EnforcesFencing, mayHoldSlot: true, slotSince: now}
	r.states[engine.Address] = created
	return created
}

func (r *Runner) releaseSlot(ctx context.Context, now time.Time, engine Engine, state *engineState, needsLoad bool) {
	if err := r.slots.release(ctx, engine.Address); err != nil {
		return
	}
	wasConfirmed := state.slotConfirmed
	state.mayHoldSlot, state.slotConfirmed = false, false
	if needsLoad && wasConfirmed {
		state.noSlotBefore = now.Add(loadTimeout)
		r.config.Logger.Warn().Str("address", engine.Address).Msg("model load timed out; other engines load first")
	}
}

func (r *Runner) runActions(ctx context.Context, engine Engine, state *engineState, mayLoad bool, report orders.Report) {
	for range maxActionsPerRound {
		action := state.Next(r.config.Now(), true, mayLoad, engine.Desired, report)
		switch action.Kind {
		case orders.Wait:
			return
		case orders.Read:
			r.readRow(ctx, engine.Address, state)
		case orders.Write:
			r.writeRow(ctx, engine.Address, state, action)
		case orders.Send:
			r.sendOrder(engine, state, action.Order)
		}
	}
}

func (r *Runner) readRow(ctx context.Context, address string, state *engineState) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := r.config.Table.Get(ctx, keyPrefix+address)
	if errors.Is(err, storage.ErrNotFound) {
		state.RecordRow(r.config.Now(), orders.VersionedRow{})
		return
	}
	seen := orders.VersionedRow{Version: row.Version}
	if err != nil || json.Unmarshal(row.Value, &seen.Row) != nil {
		return
	}
	state.RecordRow(r.config.Now(), seen)
}

func (r *Runner) writeRow(ctx context.Context, address string, state *engineState, action orders.Action) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(action.Row)
	if err == nil {
		err = r.config.Table.Transact(ctx, []storage.Write{{Key: keyPrefix + address, Value: value, IfVersion: action.IfVersion}})
	}
	if err != nil {
		state.RecordFailure()
		return
	}
	state.RecordWrite(r.config.Now())
}

// sendOrder checks MaySend immediately before the order is sent.
func (r *Runner) sendOrder(engine Engine, state *engineState, order orders.Order) {
	if !state.MaySend(r.config.Now(), order) {
		return
	}
	state.RecordSent(r.config.Now(), order)
	err := r.config.Sender.Send(engine, order)
	if errors.Is(err, ErrRefused) {
		state.RecordRefusal()
	}
	r.config.Metrics.Count("wigeontiller_orders_total", 1)
	r.config.Logger.Info().Err(err).Str("address", engine.Address).Str("kind", string(order.Kind)).
		Str("model", order.Model).Uint64("fencing", order.Fencing).Msg("order given")
}

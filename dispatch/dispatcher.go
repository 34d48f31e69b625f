// Package dispatch runs the scheduler for concurrent requests: it holds the
// lock, reads the clock and wakes queued requests.
//
// Lock order: Dispatcher.mutex is a leaf; no other lock is taken under it.
package dispatch

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	// advanceInterval is how often queued requests are reconsidered when nothing else
	// wakes them.
	advanceInterval = 10 * time.Millisecond
	// checkInterval is how often the scheduler's accounting is checked.
	checkInterval = 10 * time.Second
)

// ErrCallerDisconnected is returned when the caller disconnected before the request
// was placed.
var ErrCallerDisconnected = eris.New("caller disconnected")

// RefusedError is returned for a request that was refused. It was not executed.
type RefusedError struct {
	Reason     scheduling.RefusalReason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request refused"
}

// Dispatcher lets many goroutines use one scheduler.
type Dispatcher struct {
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	tables    *tables.Tables
	waiting   map[string]chan scheduling.Decision
	// placementCount numbers the calls of Place.
	placementCount    uint64
	onInvariantBroken func(error)
	freshness         freshness
	onUnconfirmed     func()
}

// New returns a dispatcher for a scheduler that nothing else uses.
func New(scheduler *scheduling.Scheduler) *Dispatcher {
	return &Dispatcher{
		scheduler: scheduler,
		waiting:   map[string]chan scheduling.Decision{},
	}
}

// Run wakes queued requests and checks the scheduler's invariants until the context
// ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.mutex.Lock()
	d.freshness.lastRun = time.Now()
	d.mutex.Unlock()
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	checkTicker := time.NewTicker(checkInterval)
	defer checkTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mutex.Lock()
			d.pendingConfirmation()
			d.advance()
			d.mutex.Unlock()
		case <-checkTicker.C:
			d.checkInvariants()
		}
	}
}

// OnInvariantBroken sets the function that is called with each broken invariant that a check
// finds. It must be set before Run.
func (d *Dispatcher) OnInvariantBroken(report func(error)) {
	d.onInvariantBroken = report
}

func (d *Dispatcher) checkInvariants() {
	d.mutex.Lock()
	err := d.scheduler.Check()
	d.mutex.Unlock()
	if err != nil && d.onInvariantBroken != nil {
		d.onInvariantBroken(err)
	}
}

// Configure replaces the tables.
func (d *Dispatcher) Configure(built *tables.Tables) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.tables = built
	d.scheduler.Configure(time.Now(), built)
	d.advance()
}

// Tables returns the tables in force, or nil before the first.
func (d *Dispatcher) Tables() *tables.Tables {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.tables
}

// Place waits until the request has an upstream. The caller of Place must call the
// placement's Finish once, when the attempt has ended. The same request may be
// placed again before the Finish of an earlier attempt. Errors:
// ErrCallerDisconnected, ErrUnconfirmed, *RefusedError.
func (d *Dispatcher) Place(ctx context.Context, original *scheduling.Request) (*Placement, error) {
	// Each attempt has its own ID and its own list of upstreams to avoid.
	request := new(scheduling.Request)
	*request = *original
	request.Avoid = slices.Clone(original.Avoid)
	if err := d.awaitConfirmation(ctx); err != nil {
		return nil, err
	}
	decision, wait := d.submit(request)
	if decision.Kind == scheduling.Queued {
		var err error
		if decision, err = d.awaitDecision(ctx, request, wait); err != nil {
			return nil, err
		}
	}
	if decision.Kind == scheduling.Refused {
		return nil, &RefusedError{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	return &Placement{
		Upstream:    decision.Upstream,
		Group:       decision.Group,
		GroupTokens: decision.GroupTokens,
		Priority:    decision.Priority,
		dispatcher:  d,
		requestID:   request.ID,
	}, nil
}

func (d *Dispatcher) submit(request *scheduling.Request) (scheduling.Decision, chan scheduling.Decision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.placementCount++
	request.ID += "/" + strconv.FormatUint(d.placementCount, 10)
	decision := d.scheduler.Submit(time.Now(), request)
	if d.scheduler.Pending() {
		defer d.advance()
	}
	if decision.Kind != scheduling.Queued {
		return decision, nil
	}
	wait := make(chan scheduling.Decision, 1)
	d.waiting[request.ID] = wait
	return decision, wait
}

func (d *Dispatcher) awaitDecision(ctx context.Context, request *scheduling.Request, wait chan scheduling.Decision) (scheduling.Decision, error) {
	select {
	case decision := <-wait:
		return decision, nil
	case <-ctx.Done():
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.Cancel(time.Now(), request.ID)
	delete(d.waiting, request.ID)
	select {
	case decision := <-wait:
		if decision.Kind == scheduling.Placed {
			d.finish(request.ID, scheduling.Outcome{Abandoned: true})
		}
	default:
	}
	return scheduling.Decision{}, ErrCallerDisconnected
}

// advance delivers new decisions; the mutex must be held.
func (d *Dispatcher) advance() {
	for _, decision := range d.scheduler.Advance(time.Now()) {
		d.deliver(decision)
	}
}

func (d *Dispatcher) deliver(decision scheduling.Decision) {
	wait, ok := d.waiting[decision.RequestID]
	if !ok {
		return
	}
	delete(d.waiting, decision.RequestID)
	wait <- decision
}

func (d *Dispatcher) finish(id string, outcome scheduling.Outcome) {
	d.scheduler.Finish(time.Now(), id, outcome)
	d.advance()
}

// Load returns the number of requests waiting and running at this node.
func (d *Dispatcher) Load() (waiting, running int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Waiting(), d.scheduler.Running()
}

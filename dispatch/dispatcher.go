// Package dispatch runs the scheduler for concurrent requests: it holds the
// lock, reads the clock and wakes the requests that wait.
//
// Lock order: Dispatcher.mutex is a leaf; no other lock is taken under it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// advanceInterval is how often queued requests are looked at again.
const advanceInterval = 10 * time.Millisecond

// ErrLeft is returned when the caller left before the request was placed.
var ErrLeft = eris.New("caller left")

// RefusedError is returned for a request that was refused. It has not run.
type RefusedError struct {
	Reason     scheduling.RefusalReason
	RetryAfter time.Duration
}

// Error names the refusal.
func (e *RefusedError) Error() string {
	return "request refused"
}

// Dispatcher serves many goroutines from one scheduler.
type Dispatcher struct {
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	tables    *tables.Tables
	waiting   map[string]chan scheduling.Decision
}

// New returns a dispatcher over a scheduler that nothing else uses.
func New(scheduler *scheduling.Scheduler) *Dispatcher {
	return &Dispatcher{
		scheduler: scheduler,
		waiting:   map[string]chan scheduling.Decision{},
	}
}

// Run wakes queued requests until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mutex.Lock()
			d.advance()
			d.mutex.Unlock()
		}
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

// Place waits until the request has an upstream. The caller of Place calls the
// returned function exactly once, when the attempt has ended. Errors: ErrLeft,
// *RefusedError.
func (d *Dispatcher) Place(ctx context.Context, request *scheduling.Request) (*Placement, error) {
	decision, wait := d.submit(request)
	if decision.Kind == scheduling.Queued {
		var err error
		if decision, err = d.await(ctx, request, wait); err != nil {
			return nil, err
		}
	}
	if decision.Kind == scheduling.Refused {
		return nil, &RefusedError{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	return &Placement{Upstream: decision.Upstream, dispatcher: d, requestID: request.ID}, nil
}

func (d *Dispatcher) submit(request *scheduling.Request) (scheduling.Decision, chan scheduling.Decision) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	decision := d.scheduler.Submit(time.Now(), request)
	if decision.Kind != scheduling.Queued {
		return decision, nil
	}
	wait := make(chan scheduling.Decision, 1)
	d.waiting[request.ID] = wait
	return decision, wait
}

func (d *Dispatcher) await(ctx context.Context, request *scheduling.Request, wait chan scheduling.Decision) (scheduling.Decision, error) {
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
			d.finish(request.ID, scheduling.Outcome{})
		}
	default:
	}
	return scheduling.Decision{}, ErrLeft
}

// advance delivers new decisions; the mutex is held.
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

// Load is the number of requests waiting and running at this node.
func (d *Dispatcher) Load() (waiting, running int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Waiting(), d.scheduler.Running()
}

// Placement is an upstream held for one attempt.
type Placement struct {
	Upstream   *tables.Upstream
	dispatcher *Dispatcher
	requestID  string
}

// InService reports whether the upstream may still receive new work. It is
// asked directly before an attempt is sent.
func (p *Placement) InService() bool {
	current := p.dispatcher.Tables().Upstreams[p.Upstream.ID]
	return current != nil && !current.Out
}

// Finish frees the place; it is called once.
func (p *Placement) Finish(outcome scheduling.Outcome) {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	p.dispatcher.finish(p.requestID, outcome)
}

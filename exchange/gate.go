package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
)

// advanceInterval is how often waiting requests are looked at again: an eighth of
// a pass of an engine without load.
const advanceInterval = 5 * time.Millisecond

// SchedulerRunner runs the scheduler for concurrent requests.
type SchedulerRunner struct {
	mutex     sync.Mutex
	scheduler *placement.Scheduler
	clock     func() time.Duration
	waiting   map[string]chan placement.Decision
	timer     *time.Timer
	// changed is called, under no lock, when there is something to tell other nodes.
	changed func()
}

// NewSchedulerRunner returns a gate over a scheduler that nothing else uses. The clock is
// that of the views. changed is called after each change of this node's requests.
func NewSchedulerRunner(scheduler *placement.Scheduler, clock func() time.Duration, changed func()) *SchedulerRunner {
	g := &SchedulerRunner{scheduler: scheduler, clock: clock, waiting: map[string]chan placement.Decision{}, changed: changed}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// now reads the scheduler's clock.
func (g *SchedulerRunner) now() time.Duration { return g.clock() }

// At converts a time to the scheduler's clock.
func (g *SchedulerRunner) At(t time.Time) time.Duration { return g.now() + time.Until(t) }

// Do runs f with the scheduler and its clock, under the lock.
func (g *SchedulerRunner) Do(f func(s *placement.Scheduler, now time.Duration)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.scheduler, g.now())
}

// Configure takes the view in force. It is read under the lock, so that an older
// one can't replace a newer one.
func (g *SchedulerRunner) Configure(current func() *follow.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.scheduler.Configure(current().View)
	g.advance()
}

func (g *SchedulerRunner) tick() {
	g.mutex.Lock()
	placed := g.advance()
	g.mutex.Unlock()
	if placed {
		g.changed()
	}
}

// advance delivers decisions and sets the timer while requests wait; the mutex is held.
func (g *SchedulerRunner) advance() bool {
	decisions := g.scheduler.Advance(g.now())
	for _, decision := range decisions {
		if wait, ok := g.waiting[decision.ID]; ok {
			delete(g.waiting, decision.ID)
			wait <- decision
		}
	}
	if g.scheduler.Waiting() > 0 {
		g.timer.Reset(advanceInterval)
	}
	return len(decisions) > 0
}

// Place waits until the request is placed or refused. It returns false when the
// context ended first.
func (g *SchedulerRunner) Place(ctx context.Context, request *placement.Request) (placement.Decision, bool) {
	g.mutex.Lock()
	decision := g.scheduler.Submit(g.now(), request)
	if decision.Lead != nil || decision.Reason != "" {
		g.mutex.Unlock()
		g.changed()
		return decision, true
	}
	wait := make(chan placement.Decision, 1)
	g.waiting[request.ID] = wait
	g.timer.Reset(advanceInterval)
	g.mutex.Unlock()
	select {
	case decision = <-wait:
		return decision, true
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, request.ID)
	g.scheduler.Cancel(request.ID)
	select {
	case decision = <-wait:
		if decision.Lead != nil {
			g.scheduler.End(g.now(), request.ID, placement.Neutral, "")
		}
	default:
	}
	return placement.Decision{}, false
}

// InService reports whether a placed request may still be sent.
func (g *SchedulerRunner) InService(decision *placement.Decision) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.InService(decision)
}

// FirstEvent notes that a placed request's prompt was read.
func (g *SchedulerRunner) FirstEvent(id string) {
	g.mutex.Lock()
	g.scheduler.FirstEvent(g.now(), id)
	g.mutex.Unlock()
	g.changed()
}

// End frees what a placed request held.
func (g *SchedulerRunner) End(id string, outcome placement.Outcome, guilty string) {
	g.mutex.Lock()
	g.scheduler.End(g.now(), id, outcome, guilty)
	g.advance()
	g.mutex.Unlock()
	g.changed()
}

// Expected is the time to the next event of a placed request by what is known now,
// and whether its engine answered a question a short time ago.
func (g *SchedulerRunner) Expected(decision *placement.Decision) (time.Duration, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.Expected(g.now(), decision)
}

package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
)

// advanceInterval is the interval at which waiting requests are reconsidered: an
// eighth of a pass of an engine without load.
const advanceInterval = 5 * time.Millisecond

// SchedulerRunner runs the scheduler for concurrent requests: it holds the lock, the clock
// and the timer, and delivers decisions to waiting requests.
type SchedulerRunner struct {
	mutex     sync.Mutex
	scheduler *placement.Scheduler
	clock     func() time.Duration
	waiting   map[string]chan placement.Decision
	timer     *time.Timer
	// onChange is called without the lock when other nodes are to be notified.
	onChange func()
}

// NewSchedulerRunner returns a runner of a scheduler that nothing else uses. clock must be
// the clock of the views. onChange is called after each change of this node's requests.
func NewSchedulerRunner(scheduler *placement.Scheduler, clock func() time.Duration, onChange func()) *SchedulerRunner {
	g := &SchedulerRunner{scheduler: scheduler, clock: clock, waiting: map[string]chan placement.Decision{}, onChange: onChange}
	g.timer = time.AfterFunc(time.Hour, g.tick)
	return g
}

// now reads the scheduler's clock.
func (g *SchedulerRunner) now() time.Duration { return g.clock() }

// ToClock converts a time to the scheduler's clock.
func (g *SchedulerRunner) ToClock(t time.Time) time.Duration { return g.now() + time.Until(t) }

// Do calls f with the scheduler and the current time of its clock, under the lock.
func (g *SchedulerRunner) Do(f func(s *placement.Scheduler, now time.Duration)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.scheduler, g.now())
}

// Configure gives the scheduler the current view. The view is read under the lock so
// that an older one can't replace a newer one.
func (g *SchedulerRunner) Configure(current func() *follow.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.scheduler.UpdateView(current().View)
	g.advance()
}

// RecordLimit records the limit that an answer states, and reports whether it changed.
func (g *SchedulerRunner) RecordLimit(entry *fleet.Upstream, limit placement.StatedLimit) bool {
	g.mutex.Lock()
	changed := g.scheduler.RecordLimit(g.now(), entry, limit, false)
	g.mutex.Unlock()
	if changed {
		g.onChange()
	}
	return changed
}

// Limited reports whether an upstream states a limit of requests.
func (g *SchedulerRunner) Limited(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.Limited(id)
}

func (g *SchedulerRunner) tick() {
	g.mutex.Lock()
	changed := g.advance()
	g.mutex.Unlock()
	if changed {
		g.onChange()
	}
}

// advance delivers decisions to waiting requests, restarts the timer while requests
// wait, and reports whether other nodes are to be notified. The mutex must be held.
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
	return len(decisions) > 0 || g.scheduler.HasLoadUpdates()
}

// Place waits until the request is placed or rejected. It returns false if the context
// ends first.
func (g *SchedulerRunner) Place(ctx context.Context, request *placement.Request) (placement.Decision, bool) {
	g.mutex.Lock()
	decision := g.scheduler.Submit(g.now(), request)
	if decision.Lead != nil || decision.Reason != "" {
		g.mutex.Unlock()
		g.onChange()
		return decision, true
	}
	wait := make(chan placement.Decision, 1)
	g.waiting[request.ID] = wait
	g.timer.Reset(advanceInterval)
	changed := g.scheduler.HasLoadUpdates()
	g.mutex.Unlock()
	if changed {
		g.onChange()
	}
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

// InService reports whether a placed request may still be sent to its upstreams.
func (g *SchedulerRunner) InService(decision *placement.Decision) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.InService(g.now(), decision)
}

// FirstEvent records that the prefill of a placed request has finished.
func (g *SchedulerRunner) FirstEvent(id string) {
	g.mutex.Lock()
	g.scheduler.FirstEvent(g.now(), id)
	g.mutex.Unlock()
	g.onChange()
}

// End frees the resources of a placed request. faulty is the ID of the upstream that
// caused a failure; empty is the one that the request was sent to.
func (g *SchedulerRunner) End(id string, outcome placement.Outcome, faulty string) {
	g.mutex.Lock()
	g.scheduler.End(g.now(), id, outcome, faulty)
	g.advance()
	g.mutex.Unlock()
	g.onChange()
}

// RecordSilence records that the upstream of a placed request is silent.
func (g *SchedulerRunner) RecordSilence(id string) {
	g.mutex.Lock()
	g.scheduler.RecordSilence(g.now(), id)
	g.mutex.Unlock()
	g.onChange()
}

// ExpectedEventDelay returns the estimated time to the next event of a placed request,
// and whether its engine answered a load poll recently.
func (g *SchedulerRunner) ExpectedEventDelay(decision *placement.Decision) (time.Duration, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.scheduler.ExpectedNextEvent(g.now(), decision)
}

package wigeontiller

import (
	"context"
	"time"

	"github.com/wigeontiller/wigeontiller/orphan"
)

const (
	// releaseInterval is how often the releaser checks for ended processes.
	releaseInterval = time.Second
	// orphanSweepTime is the time after a process's margin within which the orphan
	// sweep cancels all of its streams: nodes detect the end of a process at different
	// times, and an engine is polled and sent cancels more than once.
	orphanSweepTime = 8 * time.Second
)

// processes provides the standing of processes.
type processes interface {
	processStanding(owner orphan.Owner) orphan.OwnerState
}

// allocators are the allocators of this node.
type allocators interface {
	// Unheard returns the processes that are accounted for but unresponsive.
	Unheard() []string
	// Released removes a process from all accounts.
	Released(process string)
}

// releaser detects processes that have ended and whose streams the orphan sweep has
// canceled, and frees what they held for others. It is used from one goroutine.
type releaser struct {
	processes  processes
	allocators allocators
	endedSince map[string]time.Time
}

func newReleaser(p processes, a allocators) *releaser {
	return &releaser{processes: p, allocators: a, endedSince: map[string]time.Time{}}
}

func (r *releaser) run(ctx context.Context) {
	runEvery(ctx, releaseInterval, func(context.Context) { r.releaseEnded(time.Now()) })
}

// releaseEnded releases the processes whose standing has shown their end without
// interruption for the standing's margin.
func (r *releaser) releaseEnded(now time.Time) {
	gone := map[string]time.Time{}
	for _, process := range r.allocators.Unheard() {
		margin, ended := releaseMargin(r.processes.processStanding(orphan.ParseOwner(process)))
		if !ended {
			continue
		}
		since, known := r.endedSince[process]
		if !known {
			since = now
		}
		if now.Sub(since) >= margin {
			r.allocators.Released(process)
			continue
		}
		gone[process] = since
	}
	r.endedSince = gone
}

// releaseMargin returns how long a process must have a standing before it is
// released. ended is false if the standing does not indicate the process's end.
func releaseMargin(standing orphan.OwnerState) (margin time.Duration, ended bool) {
	switch standing {
	case orphan.Gone:
		return orphan.GoneMargin + orphanSweepTime, true
	case orphan.Unresponsive:
		return orphan.UnresponsiveMargin + orphanSweepTime, true
	}
	return 0, false
}

package wigeontiller

import (
	"context"
	"time"

	"github.com/wigeontiller/wigeontiller/orphan"
)

const (
	// releaseInterval is how often ended processes are looked for.
	releaseInterval = time.Second
	// sweepTime is how long after its margin the orphan sweep has canceled all
	// streams of a process: nodes learn of a death at different times, and an
	// engine is polled and asked more than once.
	sweepTime = 8 * time.Second
)

// processes tells how processes stand.
type processes interface {
	processStanding(owner orphan.Owner) orphan.Standing
}

// keepers are the keepers of this node.
type keepers interface {
	// Unheard returns the processes that count although they are silent.
	Unheard() []string
	// Released takes a process off all accounts.
	Released(process string)
}

// releaser finds the processes that have ended and whose streams the orphan
// sweep has canceled, so that what they held is free for others. It is used from
// one goroutine.
type releaser struct {
	processes processes
	keepers   keepers
	gone      map[string]time.Time
}

func newReleaser(p processes, k keepers) *releaser {
	return &releaser{processes: p, keepers: k, gone: map[string]time.Time{}}
}

func (r *releaser) run(ctx context.Context) {
	every(ctx, releaseInterval, func(context.Context) { r.round(time.Now()) })
}

// round releases the processes that have been gone for long enough without a
// break.
func (r *releaser) round(now time.Time) {
	gone := map[string]time.Time{}
	for _, process := range r.keepers.Unheard() {
		margin, ended := releaseMargin(r.processes.processStanding(orphan.ParseOwner(process)))
		if !ended {
			continue
		}
		since, known := r.gone[process]
		if !known {
			since = now
		}
		if now.Sub(since) >= margin {
			r.keepers.Released(process)
			continue
		}
		gone[process] = since
	}
	r.gone = gone
}

// releaseMargin is how long a process must have had a standing that speaks for
// its end.
func releaseMargin(standing orphan.Standing) (margin time.Duration, ended bool) {
	switch standing {
	case orphan.Gone:
		return orphan.GoneMargin + sweepTime, true
	case orphan.Silent:
		return orphan.SilentMargin + sweepTime, true
	}
	return 0, false
}

package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// baseline places each request at once, without a queue or a limit of its own:
// the upstream refuses what it has no room for.
type baseline struct {
	tables  *tables.Tables
	running int
	choose  func([]*tables.Upstream) *tables.Upstream
	observe func(Report)
}

// Configure replaces the tables.
func (b *baseline) Configure(_ time.Time, built *tables.Tables) {
	b.tables = built
}

// Submit places the request at an upstream that could hold it when idle.
func (b *baseline) Submit(now time.Time, request *scheduling.Request) scheduling.Decision {
	decision := scheduling.Decision{RequestID: request.ID, Kind: scheduling.Refused}
	if !request.Deadline.After(now) {
		decision.Reason = scheduling.DeadlinePassed
		return decision
	}
	candidates := b.candidates(request)
	if len(candidates) == 0 {
		decision.Reason = scheduling.NoUpstream
		return decision
	}
	b.running++
	decision.Kind = scheduling.Placed
	decision.Priority = request.Priority
	decision.Upstream = b.choose(candidates)
	return decision
}

func (b *baseline) candidates(request *scheduling.Request) []*tables.Upstream {
	var candidates []*tables.Upstream
	for _, upstream := range b.tables.Plans[0].Upstreams {
		if !upstream.OutOfService && suits(request, upstream) && !slices.Contains(request.Avoid, upstream.ID) {
			candidates = append(candidates, upstream)
		}
	}
	return candidates
}

func suits(request *scheduling.Request, upstream *tables.Upstream) bool {
	if upstream.Kind == tables.ServiceUpstream {
		return request.Service != "" && request.Service == upstream.Service
	}
	return slices.Contains(upstream.Models, request.Model) && request.KVTokens() <= upstream.KVTokens
}

// Advance returns nothing: no request waits.
func (b *baseline) Advance(time.Time) []scheduling.Decision { return nil }

// Cancel does nothing: no request waits.
func (b *baseline) Cancel(time.Time, string) {}

// MayRetry is true: a baseline has no limit but the number of attempts.
func (b *baseline) MayRetry(time.Time, *scheduling.Request) bool { return true }

// Requeue is false: a baseline takes a refusal for a failure.
func (b *baseline) Requeue(time.Time, *scheduling.Request) (time.Duration, bool) { return 0, false }

// Check finds nothing: a baseline keeps no books.
func (b *baseline) Check() error { return nil }

// FirstToken does nothing.
func (b *baseline) FirstToken(time.Time, string) {}

// Finish counts the end.
func (b *baseline) Finish(time.Time, string, scheduling.Outcome) { b.running-- }

// Observe takes a report.
func (b *baseline) Observe(_ time.Time, report Report) {
	if b.observe != nil {
		b.observe(report)
	}
}

// SetPosition does nothing: a baseline's nodes are all alike.
func (b *baseline) SetPosition(int, int) {}

// Pending is false: no request waits.
func (b *baseline) Pending() bool { return false }

// Waiting is 0.
func (b *baseline) Waiting() int { return 0 }

// Running is the number of requests placed and not finished.
func (b *baseline) Running() int { return b.running }

// rotation takes one upstream after the other.
type rotation struct {
	turn int
}

func (r *rotation) next(candidates []*tables.Upstream) *tables.Upstream {
	r.turn++
	return candidates[r.turn%len(candidates)]
}

// reportedLoad knows the upstreams by their lagging reports alone.
type reportedLoad struct {
	running map[string]int
	random  *rand.Rand
}

func (l *reportedLoad) take(report Report) {
	l.running[report.UpstreamID] = report.Running
}

// least returns the upstream with the lowest share of slots in use, one of
// them by chance when several have it.
func (l *reportedLoad) least(candidates []*tables.Upstream) *tables.Upstream {
	var best []*tables.Upstream
	lowest := 0.0
	for _, upstream := range candidates {
		share := float64(l.running[upstream.ID]) / float64(upstream.Slots)
		if len(best) == 0 || share < lowest {
			best, lowest = best[:0], share
		}
		if share == lowest {
			best = append(best, upstream)
		}
	}
	return best[l.random.IntN(len(best))]
}

package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/retrybudget"
	"github.com/wigeontiller/wigeontiller/tables"
)

// maxRetryAfter bounds what a refused caller is told to wait.
const maxRetryAfter = 60 * time.Second

// planKey names a lane of an environment over its versions.
type planKey struct {
	environment string
	lane        tables.Lane
}

func planOf(r *Request) planKey { return planKey{r.Plan.Environment, r.Plan.Lane} }

// refuseAtOnce refuses what no wait can help, and what is over a rate.
func (s *Scheduler) refuseAtOnce(now time.Time, p *pool, request *Request) (Decision, bool) {
	if !request.Deadline.After(now) {
		return s.refuse(request, DeadlinePassed, 0), true
	}
	if p == nil || p.inService == 0 || !s.fitsAny(p, request) {
		return s.refuse(request, NoUpstream, minRetryAfter), true
	}
	if !s.canEverRun(p, request) {
		return s.refuse(request, Unavailable, s.drainTime(now, p)), true
	}
	if opens, broken := s.allBroken(now, p, request); broken {
		return s.refuse(request, Unavailable, bounded(max(opens.Sub(now), minRetryAfter))), true
	}
	if request.Refusals > 0 {
		return Decision{}, false
	}
	if allowed, after := s.bucketOf(request).Allow(now); !allowed {
		s.ask(request, float64(request.KVTokens()))
		return s.refuse(request, RateLimited, after), true
	}
	if len(request.Avoid) == 0 {
		s.retryBudget(request).Deposit(request.Plan.Document.Retry.BudgetPercent)
	}
	return Decision{}, false
}

// tooLate reports that the answer would not end in time even without a wait.
func (s *Scheduler) tooLate(now time.Time, w *waiting) bool {
	return w.run > 0 && now.Add(w.run).After(w.request.Deadline)
}

// admitOrRefuse decides on a request that could not be placed at once.
func (s *Scheduler) admitOrRefuse(now time.Time, w *waiting) Decision {
	limits := w.request.Plan.Document.Limits
	if s.queued[planOf(w.request)] > limits.QueueLength {
		out := w.pool.queue.EvictionCandidate(w.entry)
		if out == nil {
			s.remove(w)
			return s.refuse(w.request, QueueFull, s.drainTime(now, w.pool))
		}
		s.remove(out.Value)
		s.pending = append(s.pending, s.refuse(out.Value.request, QueueFull, s.drainTime(now, w.pool)))
	}
	w.pool.drain.Advance(now, true)
	wait, known := w.pool.drain.PredictWait(s.ahead(w))
	allowed := w.giveUp().Sub(now)
	if known && w.run > 0 && wait > allowed {
		s.remove(w)
		return s.refuse(w.request, DeadlineInfeasible, bounded(wait-allowed))
	}
	return Decision{RequestID: w.request.ID, Kind: Queued}
}

// ahead is the work in tokens that runs before the request; it leaves out the
// request itself. Prompts that wait for the memory of several engines are passed by
// those that don't.
func (s *Scheduler) ahead(w *waiting) float64 {
	ahead := w.pool.queue.TokensAhead(w.entry.Organisation, w.entry.Weight)
	if !w.grouped {
		ahead = min(ahead, w.pool.queue.Backlog()-w.pool.groupBacklog)
	}
	return max(0, ahead-w.entry.Cost)
}

// drainTime is how long the pool takes to make room for one more request.
func (s *Scheduler) drainTime(now time.Time, p *pool) time.Duration {
	p.drain.Advance(now, p.queue.Len() > 0)
	count := max(1, p.queue.Len())
	wait, known := p.drain.PredictWait(p.queue.Backlog() / float64(count))
	if !known {
		return minRetryAfter
	}
	return bounded(wait)
}

func bounded(after time.Duration) time.Duration {
	return min(max(after, time.Millisecond), maxRetryAfter)
}

func (s *Scheduler) fitsAny(p *pool, request *Request) bool {
	return !needsGroup(p, request) || s.groupFits(p, request)
}

// canEverRun reports whether an upstream in service suits, whatever its load.
func (s *Scheduler) canEverRun(p *pool, request *Request) bool {
	if p.inService == 0 || !s.fitsAny(p, request) {
		return false
	}
	if len(request.Avoid) == 0 || needsGroup(p, request) {
		return true
	}
	suits := func(m *member) bool { return s.suits(m, request) }
	return slices.ContainsFunc(p.local.all, suits) || slices.ContainsFunc(p.remote.all, suits)
}

// allBroken reports that the breaker of each suitable upstream is open, and
// when the first of them lets a trial through.
func (s *Scheduler) allBroken(now time.Time, p *pool, request *Request) (time.Time, bool) {
	var opens time.Time
	if needsGroup(p, request) {
		return opens, false
	}
	for _, side := range []*group{&p.local, &p.remote} {
		for _, m := range side.all {
			if !s.suits(m, request) {
				continue
			}
			if m.breaker.Ready(now) {
				return opens, false
			}
			if opens.IsZero() || m.breaker.NextProbe().Before(opens) {
				opens = m.breaker.NextProbe()
			}
		}
	}
	return opens, true
}

func (s *Scheduler) retryBudget(request *Request) *retrybudget.Budget {
	key := planOf(request)
	if s.retries[key] == nil {
		s.retries[key] = &retrybudget.Budget{}
	}
	return s.retries[key]
}

// MayRetry spends one retry of the environment's budget, when there is one and
// the deadline leaves time for another attempt.
func (s *Scheduler) MayRetry(now time.Time, request *Request) bool {
	if !s.endsInTime(now, request) {
		return false
	}
	return s.retryBudget(request).TryWithdraw()
}

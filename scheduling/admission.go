package scheduling

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/retrybudget"
	"github.com/wigeontiller/wigeontiller/tables"
)

// maxRetryAfter is the longest retry-after time given to a refused caller.
const maxRetryAfter = 60 * time.Second

// laneKey identifies a lane of an environment across versions of its document.
type laneKey struct {
	environment string
	lane        tables.Lane
}

func laneKeyOf(r *Request) laneKey { return laneKey{r.Plan.Environment, r.Plan.Lane} }

// refuseImmediately refuses requests that waiting can't help, and those over a
// rate limit.
func (s *Scheduler) refuseImmediately(now time.Time, p *pool, request *Request) (Decision, bool) {
	if !request.Deadline.After(now) {
		return s.refuse(request, DeadlinePassed, 0), true
	}
	if p == nil || p.inServiceCount == 0 || !s.fitsEngineOrGroup(p, request) {
		return s.refuse(request, NoUpstream, minRetryAfter), true
	}
	if !s.canEverRun(p, request) {
		return s.refuse(request, Unavailable, s.poolRetryAfter(now, p)), true
	}
	if nextTrial, allOpen := s.allBreakersOpen(now, p, request); allOpen {
		return s.refuse(request, Unavailable, clampRetryAfter(max(nextTrial.Sub(now), minRetryAfter))), true
	}
	if request.Refusals > 0 {
		return Decision{}, false
	}
	if allowed, retryAfter := s.bucketOf(request).Allow(now); !allowed {
		s.addRequestedTokens(request, float64(request.KVTokens()))
		return s.refuse(request, RateLimited, retryAfter), true
	}
	if len(request.Avoid) == 0 {
		s.retryBudget(request).Deposit(request.Plan.Document.Retry.BudgetPercent)
	}
	return Decision{}, false
}

// cannotEndInTime reports whether the answer would miss the deadline even if it
// started now.
func (s *Scheduler) cannotEndInTime(now time.Time, w *waitingRequest) bool {
	return w.expectedRun > 0 && now.Add(w.expectedRun).After(w.request.Deadline)
}

// queueOrRefuse decides on a request that could not be placed immediately.
func (s *Scheduler) queueOrRefuse(now time.Time, w *waitingRequest) Decision {
	limits := w.request.Plan.Document.Limits
	if s.queued[laneKeyOf(w.request)] > limits.QueueLength {
		displaced := w.pool.queue.EvictionCandidate(w.entry)
		if displaced == nil {
			s.removeWaiting(w)
			return s.refuse(w.request, QueueFull, s.poolRetryAfter(now, w.pool))
		}
		s.removeWaiting(displaced.Value)
		s.pending = append(s.pending, s.refuse(displaced.Value.request, QueueFull, s.poolRetryAfter(now, w.pool)))
	}
	w.pool.throughput.Advance(now, true)
	wait, known := w.pool.throughput.PredictWait(s.tokensAhead(w))
	allowed := w.latestStart().Sub(now)
	if known && w.expectedRun > 0 && wait > allowed {
		s.removeWaiting(w)
		return s.refuse(w.request, DeadlineInfeasible, clampRetryAfter(wait-allowed))
	}
	return Decision{RequestID: w.request.ID, Kind: Queued}
}

// tokensAhead returns the cost in tokens of what runs before the request, without
// the request itself. Prompts that wait for the memory of several engines are
// overtaken by those that fit one engine, and don't count for these.
func (s *Scheduler) tokensAhead(w *waitingRequest) float64 {
	tokens := w.pool.queue.TokensAhead(w.entry.Organisation, w.entry.Weight)
	if !w.neededGroup {
		tokens = min(tokens, w.pool.queue.Backlog()-w.pool.groupBacklog)
	}
	return max(0, tokens-w.entry.Cost)
}

// poolRetryAfter returns the expected time until the pool has room for one more
// request.
func (s *Scheduler) poolRetryAfter(now time.Time, p *pool) time.Duration {
	p.throughput.Advance(now, p.queue.Len() > 0)
	count := max(1, p.queue.Len())
	wait, known := p.throughput.PredictWait(p.queue.Backlog() / float64(count))
	if !known {
		return minRetryAfter
	}
	return clampRetryAfter(wait)
}

func clampRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, time.Millisecond), maxRetryAfter)
}

func (s *Scheduler) fitsEngineOrGroup(p *pool, request *Request) bool {
	return !needsGroup(p, request) || s.groupFits(p, request)
}

// canEverRun reports whether an upstream in service suits the request when idle.
func (s *Scheduler) canEverRun(p *pool, request *Request) bool {
	if p.inServiceCount == 0 || !s.fitsEngineOrGroup(p, request) {
		return false
	}
	if len(request.Avoid) == 0 || needsGroup(p, request) {
		return true
	}
	suits := func(m *member) bool { return s.suits(m, request) }
	return slices.ContainsFunc(p.local.all, suits) || slices.ContainsFunc(p.remote.all, suits)
}

// allBreakersOpen reports whether the breaker of each suitable upstream is open,
// and when the first of them allows a trial request.
func (s *Scheduler) allBreakersOpen(now time.Time, p *pool, request *Request) (time.Time, bool) {
	var nextTrial time.Time
	if needsGroup(p, request) {
		return nextTrial, false
	}
	for _, set := range []*memberSet{&p.local, &p.remote} {
		for _, m := range set.all {
			if !s.suits(m, request) {
				continue
			}
			if m.breaker.Ready(now) {
				return nextTrial, false
			}
			if nextTrial.IsZero() || m.breaker.NextProbe().Before(nextTrial) {
				nextTrial = m.breaker.NextProbe()
			}
		}
	}
	return nextTrial, true
}

func (s *Scheduler) retryBudget(request *Request) *retrybudget.Budget {
	key := laneKeyOf(request)
	if s.retryBudgets[key] == nil {
		s.retryBudgets[key] = &retrybudget.Budget{}
	}
	return s.retryBudgets[key]
}

// MayRetry takes one retry from the lane's retry budget. It returns false when the
// budget is empty or the deadline leaves no time for another attempt.
func (s *Scheduler) MayRetry(now time.Time, request *Request) bool {
	if !s.endsInTime(now, request) {
		return false
	}
	return s.retryBudget(request).TryWithdraw()
}

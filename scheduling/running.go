package scheduling

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/scheduling/estimation"
	"github.com/wigeontiller/wigeontiller/tables"
)

// maxUsageFactor bounds the reported usage to a multiple of the estimate, in case
// an engine reports wrong figures.
const maxUsageFactor = 4

// ErrInvariant is returned by Check when the accounting is inconsistent.
var ErrInvariant = eris.New("scheduler invariant broken")

// runningRequest is a request that was placed and has not finished.
type runningRequest struct {
	request      *Request
	pool         *pool
	state        *upstreamState
	cost         float64
	promptTokens int
	estimate     estimation.Estimate
	placedAt     time.Time
	// firstTokenAt is when the first token came, or zero.
	firstTokenAt   time.Time
	isLong         bool
	inLongPrefills bool
	// inPrefillTokens is true while the prompt counts in
	// upstreamState.prefillTokens.
	inPrefillTokens bool
	// prefillKey and kvTokens are what was reserved at the placement; later tables
	// don't change them.
	prefillKey longPrefillKey
	kvTokens   int
	// otherParts holds the parts at the engines other than the lead, when several
	// run the request.
	otherParts []groupPart
}

// start places a waiting request on an upstream.
func (s *Scheduler) start(now time.Time, w *waitingRequest, m *member) {
	s.startOnGroup(now, w, m, nil)
}

// startOnGroup places a waiting request on an upstream, or on the group of parts
// that the upstream leads.
func (s *Scheduler) startOnGroup(now time.Time, w *waitingRequest, m *member, parts []groupPart) {
	w.pool.queue.Take(w.request.ID)
	s.untrackWaiting(w)
	u := m.state
	run := &runningRequest{request: w.request, pool: w.pool, state: u, cost: w.entry.Cost, promptTokens: w.promptTokens, placedAt: now}
	run.estimate = s.estimator.Estimate(now, estimateKey(w.request), u.upstream.ID, w.promptTokens, w.request.MaxTokens)
	run.isLong = w.isLong()
	s.running[w.request.ID] = run
	w.pool.running++
	m.breaker.Sent()
	s.reserveCapacity(run, parts)
	s.verifyPlacement(now, u)
	s.updateFreeLists(now, u)
	for _, part := range run.otherParts {
		s.verifyPlacement(now, part.state)
		s.updateFreeLists(now, part.state)
	}
}

func (s *Scheduler) reserveCapacity(run *runningRequest, parts []groupPart) {
	u := run.state
	u.requests++
	if !run.isLong {
		u.prefillTokens += run.promptTokens
		run.inPrefillTokens = true
	}
	if u.upstream.Kind == tables.EngineUpstream {
		run.kvTokens = run.request.KVTokens()
	}
	if len(parts) > 0 {
		run.reserveOtherParts(parts)
	}
	u.kvTokens += run.kvTokens
	if !run.isLong {
		return
	}
	run.inLongPrefills = true
	u.longRequests++
	u.longPrefills++
	run.prefillKey = longPrefillKey{laneKeyOf(run.request), u.upstream.DataCentre}
	s.longPrefills[run.prefillKey]++
}

// verifyPlacement records a violation when a placement exceeded the limit or went
// to an upstream that is out of service.
func (s *Scheduler) verifyPlacement(now time.Time, u *upstreamState) {
	slots, kvTokens := s.limit(now, u)
	over := u.requests > slots || u.kvTokens > kvTokens
	if (over || u.outOfService() || !u.configured) && s.violation == nil {
		s.violation = eris.Wrapf(ErrInvariant, "invalid placement on %s (over its limit or out of service): %d of %d slots, %d of %d tokens",
			u.upstream.ID, u.requests, slots, u.kvTokens, kvTokens)
	}
}

// FirstToken records that a placed request's answer has begun.
func (s *Scheduler) FirstToken(now time.Time, id string) {
	run := s.running[id]
	if run == nil || !run.firstTokenAt.IsZero() {
		return
	}
	run.firstTokenAt = now
	run.state.backoff.Accepted()
	s.endPrefill(run)
	s.inferColdStart(now, run, now.Sub(run.placedAt))
}

func (s *Scheduler) endPrefill(run *runningRequest) {
	if run.inPrefillTokens {
		run.inPrefillTokens = false
		run.state.prefillTokens -= run.promptTokens
	}
	if !run.inLongPrefills {
		return
	}
	run.inLongPrefills = false
	run.state.longPrefills--
	s.longPrefills[run.prefillKey]--
	if s.longPrefills[run.prefillKey] == 0 {
		delete(s.longPrefills, run.prefillKey)
	}
}

// Finish releases what a placed request held and applies its outcome to charges,
// breaker and estimates.
func (s *Scheduler) Finish(now time.Time, id string, outcome Outcome) {
	run := s.running[id]
	if run == nil {
		return
	}
	if outcome.FirstToken > 0 && run.firstTokenAt.IsZero() {
		s.FirstToken(now, id)
		run.firstTokenAt = run.placedAt.Add(outcome.FirstToken)
	}
	s.releaseCapacity(run)
	s.correctCharges(now, run, outcome)
	s.recordOutcome(now, run, outcome)
	s.updateAfterRelease(now, run.state)
	for _, part := range run.otherParts {
		s.updateAfterRelease(now, part.state)
	}
}

// updateAfterRelease updates an upstream's free lists after a request ended. It
// removes the upstream if it is no longer configured and now idle.
func (s *Scheduler) updateAfterRelease(now time.Time, u *upstreamState) {
	s.updateFreeLists(now, u)
	if !u.configured && u.requests == 0 {
		s.forgetUpstream(u)
	}
}

func (s *Scheduler) releaseCapacity(run *runningRequest) {
	s.endPrefill(run)
	delete(s.running, run.request.ID)
	run.pool.running--
	run.releaseOtherParts()
	u := run.state
	u.requests--
	u.kvTokens -= run.kvTokens
	if run.isLong {
		u.longRequests--
	}
}

// correctCharges updates the pool's throughput and corrects the organisation's
// charges from the estimated cost to the tokens used.
func (s *Scheduler) correctCharges(now time.Time, run *runningRequest, outcome Outcome) {
	p := run.pool
	p.throughput.Advance(now, p.queue.Len() > 0)
	if p.queue.Len() > 0 && !outcome.Refused {
		p.throughput.AddCompleted(run.cost)
	}
	used := run.cost
	switch {
	case outcome.PromptTokens > 0:
		used = min(float64(outcome.PromptTokens+outcome.AnswerTokens), maxUsageFactor*run.cost)
	case outcome.Failed, outcome.Refused:
		used = 0
	}
	correction := used - run.cost
	if correction == 0 {
		return
	}
	organisation := run.request.Organisation
	p.queue.Charge(organisation.Name, float64(organisation.Weight), correction)
	s.bucketOf(run.request).Charge(correction)
}

// recordOutcome updates the upstream's breaker, backoff and failure count, and after
// a success the estimates.
func (s *Scheduler) recordOutcome(now time.Time, run *runningRequest, outcome Outcome) {
	u := run.state
	m := u.memberIn(run.pool)
	switch {
	case outcome.Abandoned:
		if m != nil {
			m.breaker.Abandoned()
		}
	case outcome.Refused:
		s.recordFullUpstream(now, run)
		if m != nil {
			m.breaker.Abandoned()
		}
	case outcome.Failed:
		u.consecutiveFailures++
		if m != nil {
			m.breaker.Failed(now)
		}
		if u.consecutiveFailures >= coldStartFailures {
			s.startRamp(now, u)
		}
	default:
		u.consecutiveFailures = 0
		u.backoff.Accepted()
		if m != nil {
			m.breaker.Succeeded()
		}
		s.updateEstimates(now, run, outcome)
	}
}

func (s *Scheduler) updateEstimates(now time.Time, run *runningRequest, outcome Outcome) {
	firstAt := run.firstTokenAt
	if firstAt.IsZero() && run.request.Model == "" {
		firstAt = now
	}
	var prefill, decode time.Duration
	if !firstAt.IsZero() {
		prefill, decode = firstAt.Sub(run.placedAt), now.Sub(firstAt)
	}
	s.estimator.Observe(estimation.Sample{
		At:              now,
		Model:           estimateKey(run.request),
		Upstream:        run.state.upstream.ID,
		EstimatedPrompt: run.request.PromptTokens,
		PromptTokens:    outcome.PromptTokens,
		CachedTokens:    outcome.CachedTokens,
		MayBeCached:     run.request.PrefixHash != 0,
		AnswerTokens:    outcome.AnswerTokens,
		MaxTokens:       run.request.MaxTokens,
		FirstToken:      prefill,
		Decode:          decode,
	})
}

// inferColdStart starts a ramp when the first token came far later than estimated.
func (s *Scheduler) inferColdStart(now time.Time, run *runningRequest, firstToken time.Duration) {
	u := run.state
	if !run.estimate.Known || run.isLong || u.longPrefills > 0 || u.ramp.Active(now, u.upstream.Ramp) {
		return
	}
	if firstToken > coldStartFactor*run.estimate.FirstToken+coldStartMargin {
		s.startRamp(now, u)
	}
}

func (u *upstreamState) memberIn(p *pool) *member {
	for _, m := range u.members {
		if m.pool == p {
			return m
		}
	}
	return nil
}

package scheduling

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/scheduling/estimation"
	"github.com/wigeontiller/wigeontiller/tables"
)

// maxUsage bounds a reported usage by the estimate, against an engine that errs.
const maxUsage = 4

// ErrInvariant is returned by Check when the books don't add up.
var ErrInvariant = eris.New("scheduler invariant broken")

// running is a request that was placed and has not finished.
type running struct {
	request  *Request
	pool     *pool
	state    *upstreamState
	cost     float64
	tokens   int
	expected estimation.Estimate
	placed   time.Time
	// first is when the first token came, or zero.
	first   time.Time
	long    bool
	prefill bool
	// reads says that the prompt counts in upstreamState.reading.
	reads bool
	// key and kvTokens are what was booked, whatever the tables say later.
	key      prefillKey
	kvTokens int
	// members is the parts beside the lead's, when several engines run it.
	members []part
}

// start moves a waiting request to an upstream.
func (s *Scheduler) start(now time.Time, w *waiting, m *member) {
	s.startOn(now, w, m, nil)
}

// startOn moves a waiting request to an upstream, or to a group that it leads.
func (s *Scheduler) startOn(now time.Time, w *waiting, m *member, parts []part) {
	w.pool.queue.Take(w.request.ID)
	s.forget(w)
	u := m.state
	run := &running{request: w.request, pool: w.pool, state: u, cost: w.entry.Cost, tokens: w.tokens, placed: now}
	run.expected = s.estimator.Estimate(now, modelOf(w.request), u.upstream.ID, w.tokens, w.request.MaxTokens)
	run.long = w.long()
	s.running[w.request.ID] = run
	w.pool.running++
	m.breaker.Sent()
	s.occupy(run, parts)
	s.verifyPlacement(now, u)
	s.refresh(now, u)
	for _, one := range run.members {
		s.verifyPlacement(now, one.state)
		s.refresh(now, one.state)
	}
}

func (s *Scheduler) occupy(run *running, parts []part) {
	u := run.state
	u.requests++
	if !run.long {
		u.reading += run.tokens
		run.reads = true
	}
	if u.upstream.Kind == tables.EngineUpstream {
		run.kvTokens = run.request.KVTokens()
	}
	if len(parts) > 0 {
		run.occupyGroup(parts)
	}
	u.kvTokens += run.kvTokens
	if !run.long {
		return
	}
	run.prefill = true
	u.long++
	u.prefills++
	run.key = prefillKey{planOf(run.request), u.upstream.DataCentre}
	s.prefills[run.key]++
}

// verifyPlacement notes a placement over the limit or on an upstream that is out.
func (s *Scheduler) verifyPlacement(now time.Time, u *upstreamState) {
	slots, kvTokens := s.limit(now, u)
	over := u.requests > slots || u.kvTokens > kvTokens
	if (over || u.out() || !u.configured) && s.violation == nil {
		s.violation = eris.Wrapf(ErrInvariant, "placement on %s: %d of %d slots, %d of %d tokens",
			u.upstream.ID, u.requests, slots, u.kvTokens, kvTokens)
	}
}

// FirstToken tells that a placed request's answer has begun.
func (s *Scheduler) FirstToken(now time.Time, id string) {
	run := s.running[id]
	if run == nil || !run.first.IsZero() {
		return
	}
	run.first = now
	run.state.backoff.Accepted()
	s.endPrefill(run)
	s.inferCold(now, run, now.Sub(run.placed))
}

func (s *Scheduler) endPrefill(run *running) {
	if run.reads {
		run.reads = false
		run.state.reading -= run.tokens
	}
	if !run.prefill {
		return
	}
	run.prefill = false
	run.state.prefills--
	s.prefills[run.key]--
	if s.prefills[run.key] == 0 {
		delete(s.prefills, run.key)
	}
}

// Finish frees what a placed request held and learns from its outcome.
func (s *Scheduler) Finish(now time.Time, id string, outcome Outcome) {
	run := s.running[id]
	if run == nil {
		return
	}
	if outcome.FirstToken > 0 && run.first.IsZero() {
		s.FirstToken(now, id)
		run.first = run.placed.Add(outcome.FirstToken)
	}
	s.free(run)
	s.settle(now, run, outcome)
	s.judge(now, run, outcome)
	s.leave(now, run.state)
	for _, one := range run.members {
		s.leave(now, one.state)
	}
}

// leave looks at an upstream that a request has left.
func (s *Scheduler) leave(now time.Time, u *upstreamState) {
	s.refresh(now, u)
	if !u.configured && u.requests == 0 {
		s.drop(u)
	}
}

func (s *Scheduler) free(run *running) {
	s.endPrefill(run)
	delete(s.running, run.request.ID)
	run.pool.running--
	run.freeGroup()
	u := run.state
	u.requests--
	u.kvTokens -= run.kvTokens
	if run.long {
		u.long--
	}
}

// settle corrects the charges by what the request used.
func (s *Scheduler) settle(now time.Time, run *running, outcome Outcome) {
	p := run.pool
	p.drain.Advance(now, p.queue.Len() > 0)
	if p.queue.Len() > 0 && !outcome.Refused {
		p.drain.AddCompleted(run.cost)
	}
	used := run.cost
	switch {
	case outcome.PromptTokens > 0:
		used = min(float64(outcome.PromptTokens+outcome.AnswerTokens), maxUsage*run.cost)
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

// judge learns of the upstream from an outcome.
func (s *Scheduler) judge(now time.Time, run *running, outcome Outcome) {
	u := run.state
	m := u.memberOf(run.pool)
	switch {
	case outcome.Abandoned:
		if m != nil {
			m.breaker.Abandoned()
		}
	case outcome.Refused:
		s.noteFull(now, run)
		if m != nil {
			m.breaker.Abandoned()
		}
	case outcome.Failed:
		u.failures++
		if m != nil {
			m.breaker.Failed(now)
		}
		if u.failures >= coldFailures {
			s.startRamp(now, u)
		}
	default:
		u.failures = 0
		u.backoff.Accepted()
		if m != nil {
			m.breaker.Succeeded()
		}
		s.learn(now, run, outcome)
	}
}

func (s *Scheduler) learn(now time.Time, run *running, outcome Outcome) {
	first := run.first
	if first.IsZero() && run.request.Model == "" {
		first = now
	}
	var prefill, decode time.Duration
	if !first.IsZero() {
		prefill, decode = first.Sub(run.placed), now.Sub(first)
	}
	s.estimator.Observe(estimation.Sample{
		At:              now,
		Model:           modelOf(run.request),
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

// inferCold takes a first token far over its estimate for a cold start.
func (s *Scheduler) inferCold(now time.Time, run *running, took time.Duration) {
	u := run.state
	if !run.expected.Known || run.long || u.prefills > 0 || u.ramp.Active(now, u.upstream.Ramp) {
		return
	}
	if took > coldFactor*run.expected.FirstToken+coldMargin {
		s.startRamp(now, u)
	}
}

func (u *upstreamState) memberOf(p *pool) *member {
	for _, m := range u.members {
		if m.pool == p {
			return m
		}
	}
	return nil
}

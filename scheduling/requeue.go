package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/backoff"
)

// Requeue is called after a full upstream refused an attempt without executing it.
// It returns how long to wait before the next Submit, or false when the deadline
// leaves no time for that. It takes nothing from the retry budget.
func (s *Scheduler) Requeue(now time.Time, request *Request) (time.Duration, bool) {
	request.Refusals++
	pause := backoff.Delay(request.Refusals, s.random)
	if !s.endsInTime(now.Add(pause), request) {
		return 0, false
	}
	return pause, true
}

// endsInTime reports whether an attempt that begins at the given time is expected
// to end before the deadline.
func (s *Scheduler) endsInTime(begin time.Time, request *Request) bool {
	model := estimateKey(request)
	tokens := s.estimator.PromptTokens(model, request.PromptTokens)
	estimate := s.estimator.Estimate(begin, model, "", tokens, request.MaxTokens)
	return begin.Add(estimate.Total).Before(request.Deadline)
}

// recordFullUpstream applies a refusal by a full upstream. For a long prompt it
// assumes that other nodes use the memory that this node doesn't, until the next
// report. Without fresh reports only the backoff applies. A refused short prompt
// may have met full slots instead of full memory.
func (s *Scheduler) recordFullUpstream(now time.Time, run *runningRequest) {
	u := run.state
	if len(run.otherParts) > 0 {
		s.recordFullGroup(now, run)
		return
	}
	u.backoff.Refused(now, run.request.KVTokens(), s.random)
	_, otherKVTokens := u.otherLoad(now)
	unused := u.upstream.KVTokens - u.kvTokens - run.request.KVTokens()
	if run.isLong && otherKVTokens <= unused {
		u.otherKVTokens = unused + 1
	}
}

// recordFullGroup starts a backoff at each engine of the group, as it isn't known
// which one was full.
func (s *Scheduler) recordFullGroup(now time.Time, run *runningRequest) {
	run.state.backoff.Refused(now, run.kvTokens, s.random)
	for _, part := range run.otherParts {
		part.state.backoff.Refused(now, part.kvTokens, s.random)
	}
}

package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling/backoff"
)

// Requeue tells what follows an attempt that a full upstream refused and did
// not run: how long to wait before the request is submitted again, or that its
// deadline leaves no time for that. It spends no retry budget.
func (s *Scheduler) Requeue(now time.Time, request *Request) (time.Duration, bool) {
	request.Refusals++
	pause := backoff.Delay(request.Refusals, s.random)
	if !s.endsInTime(now.Add(pause), request) {
		return 0, false
	}
	return pause, true
}

// endsInTime reports whether an attempt begun then is expected to end before
// the deadline.
func (s *Scheduler) endsInTime(begin time.Time, request *Request) bool {
	model := modelOf(request)
	tokens := s.estimator.PromptTokens(model, request.PromptTokens)
	estimate := s.estimator.Estimate(begin, model, "", tokens, request.MaxTokens)
	return begin.Add(estimate.Total).Before(request.Deadline)
}

// noteFull takes a refusal for news of the upstream's load: others must hold
// what this node doesn't, until the next report says otherwise. Without fresh
// reports only the pause counts. A short prompt may have met full slots instead.
func (s *Scheduler) noteFull(now time.Time, run *running) {
	u := run.state
	if len(run.members) > 0 {
		s.noteGroupFull(now, run)
		return
	}
	u.backoff.Refused(now, run.request.KVTokens(), s.random)
	_, others := u.elsewhere(now)
	left := u.upstream.KVTokens - u.kvTokens - run.request.KVTokens()
	if run.long && others <= left {
		u.othersKV = left + 1
	}
}

// noteGroupFull pauses each engine of a group: which one was full isn't known.
func (s *Scheduler) noteGroupFull(now time.Time, run *running) {
	run.state.backoff.Refused(now, run.kvTokens, s.random)
	for _, one := range run.members {
		one.state.backoff.Refused(now, one.kvTokens, s.random)
	}
}

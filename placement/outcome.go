package placement

import "time"

// Outcome says how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the upstream sent a complete answer.
	Answered Outcome = iota
	// Failed means that the upstream was reachable and failed.
	Failed
	// Unresponsive means that the upstream could not be reached, broke off or stopped responding.
	Unresponsive
	// Refused means that the upstream was full and did not run the attempt.
	Refused
	// WrongProcess means that another process has the upstream's address.
	WrongProcess
	// Neutral outcomes say nothing about the upstream: the caller disconnected.
	Neutral
)

// FirstEvent records that a request's prompt is prefilled, and with it all that its
// engines had to prefill before it.
func (s *Scheduler) FirstEvent(now time.Duration, id string) {
	running := s.running[id]
	if running == nil || running.prefilled {
		return
	}
	for _, chunk := range running.chunks {
		chunk.load.markPrefilledUpTo(now, chunk.totalAddedMs)
	}
	s.endPrefill(running)
}

// endPrefill marks the prompt as prefilled and frees its helpers.
func (s *Scheduler) endPrefill(running *runningRequest) {
	running.prefilled = true
	for _, chunk := range running.chunks {
		if chunk.load != running.lead {
			chunk.load.helperPrompts--
			s.changed[chunk.load] = struct{}{}
		}
	}
}

// removeBacklog removes the prefill time of a prompt that will not be prefilled.
func (s *Scheduler) removeBacklog(now time.Duration, running *runningRequest) {
	for _, chunk := range running.chunks {
		chunk.load.addBacklog(now, -running.chunkMs)
		chunk.load.unpublishedMs -= running.chunkMs
	}
}

// End frees what an attempt held. The upstream failedID is the one that a failure is
// attributed to; empty is the lead.
func (s *Scheduler) End(now time.Duration, id string, outcome Outcome, failedID string) {
	running := s.running[id]
	if running == nil {
		return
	}
	delete(s.running, id)
	if outcome == Answered {
		s.admission.End(running.class, now-running.placedAt)
	}
	if !running.prefilled {
		s.removeBacklog(now, running)
		s.endPrefill(running)
	}
	running.lead.running--
	running.lead.turns.leave(now)
	running.lead.departed.add(now, 1)
	running.lead.memoryTokens -= running.memoryTokens
	for _, chunk := range running.chunks {
		if chunk.memoryTokens > 0 {
			chunk.load.memoryTokens -= chunk.memoryTokens
			s.changed[chunk.load] = struct{}{}
		}
	}
	s.changed[running.lead] = struct{}{}
	s.attributeOutcome(now, running, outcome, failedID)
}

// RecordSilence records that the upstream of a running attempt is silent. The attempt goes on.
func (s *Scheduler) RecordSilence(now time.Duration, id string) {
	if running := s.running[id]; running != nil {
		s.attributeOutcome(now, running, Unresponsive, "")
	}
}

// attributeOutcome updates the failure share, and the avoid time, of the upstream that
// an outcome is attributed to.
func (s *Scheduler) attributeOutcome(now time.Duration, running *runningRequest, outcome Outcome, failedID string) {
	attributed := running.lead
	if named := s.loads[failedID]; failedID != "" && named != nil {
		attributed = named
	}
	switch outcome {
	case Answered:
		running.lead.recordOutcome(now, false)
	case Failed:
		attributed.recordOutcome(now, true)
	case Unresponsive, WrongProcess:
		attributed.recordOutcome(now, true)
		attributed.avoid(now)
		s.changed[attributed] = struct{}{}
	case Refused:
		attributed.avoid(now)
	case Neutral:
	}
}

// ExpectedNextEvent estimates the time to a request's next event: the prefill backlog of its
// engines, and a pass. It also reports whether the decoding engine answered a recent
// poll for its load.
func (s *Scheduler) ExpectedNextEvent(now time.Duration, decision *Decision) (time.Duration, bool) {
	if s.configuration == nil {
		return 0, false
	}
	service := s.configuration.Services[decision.Lead.Service]
	if service == nil || service.Engine == nil {
		return 0, false
	}
	latest, responsive := 0.0, false
	if l := s.loads[decision.Lead.ID]; l != nil {
		_, limited := s.limited(l)
		// An engine that states a limit is polled seldom.
		responsive = limited || l.reportedRecently(now)
	}
	for _, entry := range append(decision.Helpers[:len(decision.Helpers):len(decision.Helpers)], decision.Lead) {
		if l := s.loads[entry.ID]; l != nil {
			latest = max(latest, l.msUntilPrefilled(now, 0))
		}
	}
	return time.Duration(latest * float64(time.Millisecond)), responsive
}

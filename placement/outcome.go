package placement

import "time"

// Outcome says how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the upstream gave a whole answer.
	Answered Outcome = iota
	// Failed means that it failed while it was reachable.
	Failed
	// Unresponsive means that it could not be reached, broke off or did not go on.
	Unresponsive
	// Refused means that it was full and did not run the attempt.
	Refused
	// WrongProcess means that another process has its address.
	WrongProcess
	// Neutral outcomes say nothing of the upstream: the caller left.
	Neutral
)

// FirstEvent notes that the prompt was read, and with it what its engines had to
// read before.
func (s *Scheduler) FirstEvent(now time.Duration, id string) {
	held := s.running[id]
	if held == nil || held.read {
		return
	}
	for _, part := range held.parts {
		part.load.readUpTo(now, part.addedMs)
	}
	s.endRead(held)
}

func (s *Scheduler) endRead(held *placed) {
	held.read = true
	for _, part := range held.parts {
		if part.load != held.lead {
			part.load.helping--
			s.changed[part.load] = struct{}{}
		}
	}
}

// unbook takes back the reading of a prompt that will not be read.
func (s *Scheduler) unbook(now time.Duration, held *placed) {
	for _, part := range held.parts {
		part.load.addBacklog(now, -held.partMs)
		part.load.toldMs -= held.partMs
	}
}

// End frees what an attempt held. Guilty is the upstream that the failure is put
// down to; empty is the lead.
func (s *Scheduler) End(now time.Duration, id string, outcome Outcome, guilty string) {
	held := s.running[id]
	if held == nil {
		return
	}
	delete(s.running, id)
	if !held.read {
		s.unbook(now, held)
		s.endRead(held)
	}
	held.lead.running--
	held.lead.memory -= held.memory
	for _, part := range held.parts {
		if part.memory > 0 {
			part.load.memory -= part.memory
			s.changed[part.load] = struct{}{}
		}
	}
	s.changed[held.lead] = struct{}{}
	s.judge(now, held, outcome, guilty)
}

func (s *Scheduler) judge(now time.Duration, held *placed, outcome Outcome, guilty string) {
	blamed := held.lead
	if named := s.loads[guilty]; named != nil {
		blamed = named
	}
	switch outcome {
	case Answered:
		held.lead.outcome(now, false)
	case Failed:
		blamed.outcome(now, true)
	case Unresponsive, WrongProcess:
		blamed.outcome(now, true)
		blamed.avoid(now)
		s.changed[blamed] = struct{}{}
	case Refused:
		blamed.avoid(now)
	case Neutral:
	}
}

// ExpectedNextEvent is the time to the next event of a request by what is known now: what
// its engines have not read, and a pass. It also reports whether the engine that
// writes answered a question a short time ago.
func (s *Scheduler) ExpectedNextEvent(now time.Duration, decision *Decision) (time.Duration, bool) {
	if s.site == nil {
		return 0, false
	}
	service := s.site.Services[decision.Lead.Service]
	if service == nil || service.Engine == nil {
		return 0, false
	}
	most, answers := 0.0, false
	if l := s.loads[decision.Lead.ID]; l != nil {
		answers = l.reported(now)
	}
	for _, entry := range append(decision.Helpers[:len(decision.Helpers):len(decision.Helpers)], decision.Lead) {
		if l := s.loads[entry.ID]; l != nil {
			most = max(most, l.readAfter(now, 0))
		}
	}
	return time.Duration(most * float64(time.Millisecond)), answers
}

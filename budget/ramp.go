package budget

import "time"

// Ramp limits the load on a resource that has just started.
type Ramp struct {
	// InitialPercent is the percentage of the capacity allowed at the start.
	InitialPercent int
	// Duration is the time until the whole capacity is allowed; 0 means no
	// ramp.
	Duration time.Duration
}

// Fraction returns the fraction of the capacity allowed at an age.
func (r Ramp) Fraction(age time.Duration) float64 {
	if age >= r.Duration {
		return 1
	}
	initial := r.Initial()
	return initial + (1-initial)*float64(max(age, 0))/float64(r.Duration)
}

// Initial returns the fraction of the capacity allowed at the start.
func (r Ramp) Initial() float64 {
	if r.Duration <= 0 {
		return 1
	}
	return float64(r.InitialPercent) / 100
}

// assumedStart is the number of a start that no process observed.
const assumedStart = 1

// start is one start of a resource, by the clock of the process that stores it.
type start struct {
	number uint64
	at     time.Time
}

// merge applies a start that another process reported. A message's delay makes
// a start look later, never earlier. Starts are therefore distinguished by
// number, and by time only when they differ by more than the tolerance.
func (s *start) merge(now time.Time, reported Start, tolerance time.Duration) {
	at := now.Add(-reported.Age)
	later := reported.Number == s.number && at.Sub(s.at) > tolerance
	if reported.Number > s.number || reported.Number > 0 && later {
		*s = start{number: reported.Number, at: at}
	}
}

// restart records a start that was observed here. Its number exceeds
// assumedStart, so it is never mistaken for an assumed one.
func (s *start) restart(now time.Time) {
	*s = start{number: max(s.number, assumedStart) + 1, at: now}
}

// assumeStarted gives a resource without a known start one at the time of
// the first report on it.
func (s *start) assumeStarted() {
	s.number = max(s.number, assumedStart)
}

func (s *start) message(now time.Time) Start {
	if s.number == 0 {
		return Start{}
	}
	return Start{Number: s.number, Age: now.Sub(s.at)}
}

package budget

import "time"

// Ramp bounds the load on a resource that has just started.
type Ramp struct {
	// InitialPercent is the share of the capacity allowed at the start.
	InitialPercent int
	// Duration is the time until the whole capacity is allowed; 0 is no ramp.
	Duration time.Duration
}

// Fraction returns the share of the capacity allowed at an age.
func (r Ramp) Fraction(age time.Duration) float64 {
	if age >= r.Duration {
		return 1
	}
	initial := r.Initial()
	return initial + (1-initial)*float64(max(age, 0))/float64(r.Duration)
}

// Initial returns the share of the capacity allowed at the start.
func (r Ramp) Initial() float64 {
	if r.Duration <= 0 {
		return 1
	}
	return float64(r.InitialPercent) / 100
}

// assumedStart is the number of a start that nobody saw.
const assumedStart = 1

// start is one start of a resource by the clock of who keeps it.
type start struct {
	number uint64
	at     time.Time
}

// learn takes in what another process tells. A message's delay makes a start
// look later, never earlier; so the same start is told apart by its number, and
// by time only when it differs by more than the tolerance.
func (s *start) learn(now time.Time, told Start, tolerance time.Duration) {
	at := now.Add(-told.Age)
	later := told.Number == s.number && at.Sub(s.at) > tolerance
	if told.Number > s.number || told.Number > 0 && later {
		*s = start{number: told.Number, at: at}
	}
}

// begin records a start that was seen here. Its number is over assumedStart, so
// that it is never taken for one that was only assumed.
func (s *start) begin(now time.Time) {
	*s = start{number: max(s.number, assumedStart) + 1, at: now}
}

// assume gives a resource of which no start is known one at the time when it was
// first asked for.
func (s *start) assume() {
	s.number = max(s.number, assumedStart)
}

func (s *start) tell(now time.Time) Start {
	if s.number == 0 {
		return Start{}
	}
	return Start{Number: s.number, Age: now.Sub(s.at)}
}

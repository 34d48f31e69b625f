package claim

import "time"

const (
	// settlePeriod bounds the time in which an outcome is stored.
	settlePeriod       = 30 * time.Second
	firstSettleDelay   = 50 * time.Millisecond
	longestSettleDelay = 2 * time.Second
)

// Finalizer stores the outcome of a claim. It is a plain value.
type Finalizer struct {
	record  Record
	version uint64
	until   time.Time
	delay   time.Duration
}

// Finalize returns the machine that stores the outcome of a held claim. State is
// Done with a result, Unknown, or Released when the call was provably not sent
// and never will be.
func (c *Session) Finalize(now time.Time, state State, result *Result) Finalizer {
	record := c.record(state)
	record.Result = result
	return Finalizer{record: record, version: c.version, until: now.Add(settlePeriod), delay: firstSettleDelay}
}

// Begin returns the first action. Without a known version, the claim's write
// was never confirmed and the row is read first.
func (s *Finalizer) Begin() Action {
	if s.version == 0 {
		return Action{Kind: Read}
	}
	return s.write(s.version)
}

// Next takes the outcome of the last action.
func (s *Finalizer) Next(now time.Time, event Event, chance float64) Action {
	switch event.Kind {
	case WriteApplied:
		return Action{Kind: Stop, Finalized: true}
	case ReadRow:
		return s.meet(event.Row)
	case ReadMissing:
		return s.missing()
	case WriteRefused, ReadFailed:
		return s.pause(now, chance)
	case WriteConflict, WriteUnknown, WaitOver:
	}
	if now.After(s.until) {
		return Action{Kind: Stop}
	}
	return Action{Kind: Read}
}

// meet writes over the own claim only. A row with another token is another
// call's, which is possible after a release or an expiry.
func (s *Finalizer) meet(row Row) Action {
	if row.Token != s.record.Token {
		return Action{Kind: Stop, Finalized: s.record.State == Released}
	}
	if row.State != Held {
		return Action{Kind: Stop, Finalized: row.State == s.record.State}
	}
	return s.write(row.Version)
}

// missing writes a released record where there is none: the write of the claim
// may still be on its way and can't take effect after that. Any other state
// means that the record expired.
func (s *Finalizer) missing() Action {
	if s.record.State == Released {
		return s.write(0)
	}
	return Action{Kind: Stop}
}

func (s *Finalizer) write(version uint64) Action {
	return Action{Kind: Write, Record: s.record, IfVersion: version, Before: s.record.ExpiresAt}
}

func (s *Finalizer) pause(now time.Time, chance float64) Action {
	if now.After(s.until) {
		return Action{Kind: Stop}
	}
	delay := time.Duration(float64(s.delay) * (1 + chance) / 2)
	s.delay = min(2*s.delay, longestSettleDelay)
	return Action{Kind: Wait, Delay: delay}
}

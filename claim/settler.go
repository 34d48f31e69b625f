package claim

import "time"

const (
	// finalizeTimeout bounds the time in which an outcome is stored.
	finalizeTimeout       = 30 * time.Second
	initialRetryDelay   = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Settler stores the outcome of a claim. It is a plain value.
type Settler struct {
	record  Record
	version uint64
	giveUpAt   time.Time
	retryDelay   time.Duration
}

// Settle returns the machine that stores the outcome of a held claim. State is
// Done with a result, Unknown, or Released when the call was provably not sent
// and never will be.
func (c *Claimant) Settle(now time.Time, state State, result *Result) Settler {
	record := c.record(state)
	record.Result = result
	return Settler{record: record, version: c.version, giveUpAt: now.Add(finalizeTimeout), retryDelay: initialRetryDelay}
}

// Begin returns the first action. Without a known version, the claim's write
// was never confirmed and the row is read first.
func (s *Settler) Begin() Action {
	if s.version == 0 {
		return Action{Kind: Read}
	}
	return s.write(s.version)
}

// Next takes the outcome of the last action.
func (s *Settler) Next(now time.Time, event Event, chance float64) Action {
	switch event.Kind {
	case WriteApplied:
		return Action{Kind: Stop, Settled: true}
	case ReadRow:
		return s.handleRow(event.Row)
	case ReadMissing:
		return s.handleMissing()
	case WriteRefused, ReadFailed:
		return s.retryLater(now, chance)
	case WriteConflict, WriteUnknown, WaitOver:
	}
	if now.After(s.giveUpAt) {
		return Action{Kind: Stop}
	}
	return Action{Kind: Read}
}

// handleRow writes over the own claim only. A row with another token is another
// call's, which is possible after a release or an expiry.
func (s *Settler) handleRow(row Row) Action {
	if row.Token != s.record.Token {
		return Action{Kind: Stop, Settled: s.record.State == Released}
	}
	if row.State != Held {
		return Action{Kind: Stop, Settled: row.State == s.record.State}
	}
	return s.write(row.Version)
}

// handleMissing writes a released record where there is none: the write of the claim
// may still be on its way and can't take effect after that. Any other state
// means that the record expired.
func (s *Settler) handleMissing() Action {
	if s.record.State == Released {
		return s.write(0)
	}
	return Action{Kind: Stop}
}

func (s *Settler) write(version uint64) Action {
	return Action{Kind: Write, Record: s.record, IfVersion: version, Before: s.record.ExpiresAt}
}

func (s *Settler) retryLater(now time.Time, chance float64) Action {
	if now.After(s.giveUpAt) {
		return Action{Kind: Stop}
	}
	delay := time.Duration(float64(s.retryDelay) * (1 + chance) / 2)
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	return Action{Kind: Wait, Delay: delay}
}

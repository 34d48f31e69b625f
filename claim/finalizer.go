package claim

import "time"

const (
	// finalizeTimeout is the maximum time for storing an outcome.
	finalizeTimeout   = 30 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Finalizer is the state machine that stores the outcome of a claim. It is a plain
// value: a copy is a snapshot.
type Finalizer struct {
	record     Record
	version    uint64
	giveUpAt   time.Time
	retryDelay time.Duration
}

// Finalize returns the state machine that stores the outcome of a held claim. State
// is Done with a result, Unknown, or Released if the call was certainly not sent
// and never will be.
func (c *Session) Finalize(now time.Time, state State, result *Result) Finalizer {
	record := c.record(state)
	record.Result = result
	return Finalizer{record: record, version: c.version, giveUpAt: now.Add(finalizeTimeout), retryDelay: initialRetryDelay}
}

// Begin returns the first action. If the version is unknown, the claim's write was
// never confirmed and the row is read first.
func (s *Finalizer) Begin() Action {
	if s.version == 0 {
		return Action{Kind: Read}
	}
	return s.write(s.version)
}

// Next takes the result of the last action and returns the next one. Jitter is a
// random number in [0,1).
func (s *Finalizer) Next(now time.Time, event Event, jitter float64) Action {
	switch event.Kind {
	case WriteApplied:
		return Action{Kind: Stop, Finalized: true}
	case ReadRow:
		return s.handleRow(event.Row)
	case ReadMissing:
		return s.handleMissing()
	case WriteRefused, ReadFailed:
		return s.retryLater(now, jitter)
	case WriteConflict, WriteUnknown, WaitOver:
	}
	if now.After(s.giveUpAt) {
		return Action{Kind: Stop}
	}
	return Action{Kind: Read}
}

// handleRow overwrites only the call's own held claim. A row with a different token
// belongs to another call, which is possible after a release or an expiry.
func (s *Finalizer) handleRow(row Row) Action {
	if row.Token != s.record.Token {
		return Action{Kind: Stop, Finalized: s.record.State == Released}
	}
	if row.State != Held {
		return Action{Kind: Stop, Finalized: row.State == s.record.State}
	}
	return s.write(row.Version)
}

// handleMissing writes a released record if there is no row: the write of the claim
// may still be in flight and can't take effect after that. For any other state, a
// missing row means that the record expired.
func (s *Finalizer) handleMissing() Action {
	if s.record.State == Released {
		return s.write(0)
	}
	return Action{Kind: Stop}
}

func (s *Finalizer) write(version uint64) Action {
	return Action{Kind: Write, Record: s.record, IfVersion: version, Before: s.record.ExpiresAt}
}

func (s *Finalizer) retryLater(now time.Time, jitter float64) Action {
	if now.After(s.giveUpAt) {
		return Action{Kind: Stop}
	}
	delay := time.Duration(float64(s.retryDelay) * (1 + jitter) / 2)
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	return Action{Kind: Wait, Delay: delay}
}

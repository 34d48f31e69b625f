package claim

import "time"

const (
	// ClockMargin is more than the clocks of two nodes ever differ by.
	ClockMargin = 30 * time.Second
	// finalizeGrace is how long after the call's deadline the holder of the claim
	// may still store the outcome.
	finalizeGrace = 30 * time.Second
	// maxWrites is the maximum number of writes of one attempt to claim.
	maxWrites = 4
	// maxWait is the maximum time that a call waits for another's result.
	maxWait          = 5 * time.Second
	initialPollDelay = 50 * time.Millisecond
	maxPollDelay     = time.Second
	// waitDivisor limits the wait to 1/waitDivisor of the call's remaining time.
	waitDivisor = 2
)

// Session is the state machine by which one call makes its claim. It is a plain
// value: a copy is a snapshot. All times passed to it are from one node's clock.
type Session struct {
	token       string
	fingerprint string
	dispatchBy  time.Time
	holdUntil   time.Time
	expiresAt   time.Time
	waitUntil   time.Time
	pollDelay   time.Duration
	writes      int
	// inDoubt is true when a write of this call may still take effect.
	inDoubt bool
	version uint64
	// ifVersion is the row version that the last write was conditional on.
	ifVersion uint64
}

// NewSession returns the state machine for a call that must end by deadline. Token
// is unique to the call; the result is kept for retention.
func NewSession(now time.Time, token, fingerprint string, deadline time.Time, retention time.Duration) Session {
	holdUntil := deadline.Add(finalizeGrace)
	expires := now.Add(retention)
	if expires.Before(holdUntil) {
		expires = holdUntil
	}
	wait := min(deadline.Sub(now)/waitDivisor, maxWait)
	return Session{
		token:       token,
		fingerprint: fingerprint,
		dispatchBy:  deadline,
		holdUntil:   holdUntil,
		expiresAt:   expires,
		waitUntil:   now.Add(wait),
		pollDelay:   initialPollDelay,
	}
}

// Begin returns the first action: a write, as most keys are new.
func (c *Session) Begin() Action {
	return c.write(0)
}

// MayDispatch reports whether the holder may still send the call. It is called
// directly before each send: a holder that was paused for long must not run a
// call whose record may have expired.
func (c *Session) MayDispatch(now time.Time) bool {
	return now.Before(c.dispatchBy)
}

// ExpiresAt returns when the key may be used again.
func (c *Session) ExpiresAt() time.Time {
	return c.expiresAt
}

// Next takes the result of the last action and returns the next one. Jitter is a
// random number in [0,1).
func (c *Session) Next(now time.Time, event Event, jitter float64) Action {
	switch event.Kind {
	case WriteApplied:
		c.version = c.ifVersion + 1
		return Action{Kind: Dispatch}
	case WriteConflict, WaitOver:
		return Action{Kind: Read}
	case WriteUnknown:
		c.inDoubt = true
		return Action{Kind: Read}
	case ReadRow:
		return c.handleRow(now, event.Row, jitter)
	case ReadMissing:
		return c.write(0)
	case WriteRefused, ReadFailed:
	}
	return c.failUnavailable()
}

// handleRow decides by the existing row of the key.
func (c *Session) handleRow(now time.Time, row Row, jitter float64) Action {
	if row.Token == c.token && row.State == Held {
		c.version = row.Version
		return Action{Kind: Dispatch}
	}
	if row.Expired(now) {
		return c.write(row.Version)
	}
	if row.Fingerprint != c.fingerprint {
		return Action{Kind: Answer, Verdict: KeyReused}
	}
	switch row.State {
	case Released:
		return c.write(row.Version)
	case Done:
		return Action{Kind: Answer, Verdict: Replay, Result: row.Result}
	case Held:
		return c.wait(now, row, jitter)
	case Unknown:
	}
	return Action{Kind: Answer, Verdict: OutcomeUnknown}
}

// wait returns the wait until the next poll of a held row, or the answer once the hold
// has ended or the wait limit is reached.
func (c *Session) wait(now time.Time, row Row, jitter float64) Action {
	if !now.Before(row.HoldUntil) {
		return Action{Kind: Answer, Verdict: OutcomeUnknown}
	}
	if !now.Before(c.waitUntil) {
		return Action{Kind: Answer, Verdict: InProgress}
	}
	delay := time.Duration(float64(c.pollDelay) * (1 + jitter) / 2)
	c.pollDelay = min(2*c.pollDelay, maxPollDelay)
	return Action{Kind: Wait, Delay: min(delay, c.waitUntil.Sub(now))}
}

func (c *Session) write(version uint64) Action {
	if c.writes >= maxWrites {
		return c.failUnavailable()
	}
	c.writes++
	c.ifVersion = version
	return Action{Kind: Write, Record: c.record(Held), IfVersion: version, Before: c.dispatchBy}
}

// failUnavailable gives up. The call never runs, even if its claim takes effect later.
func (c *Session) failUnavailable() Action {
	return Action{Kind: Answer, Verdict: StoreUnavailable, Abandon: c.inDoubt}
}

func (c *Session) record(state State) Record {
	return Record{
		State:       state,
		Token:       c.token,
		Fingerprint: c.fingerprint,
		HoldUntil:   c.holdUntil,
		ExpiresAt:   c.expiresAt,
	}
}

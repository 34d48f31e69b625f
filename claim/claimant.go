package claim

import "time"

const (
	// ClockMargin is more than two nodes' clocks differ by.
	ClockMargin = 30 * time.Second
	// settleGrace is how long after the call's deadline its holder may still
	// store the outcome.
	settleGrace = 30 * time.Second
	// maxWrites bounds the writes of one claim.
	maxWrites = 4
	// maxWait bounds the time that a call waits for another's result.
	maxWait     = 5 * time.Second
	firstDelay  = 50 * time.Millisecond
	longestPoll = time.Second
	// waitShare is the part of a call's remaining time that it may wait.
	waitShare = 2
)

// Session is one call's way to its claim. It is a plain value: a copy is a
// snapshot. Times given to it are read at one node's clock.
type Session struct {
	token       string
	fingerprint string
	dispatchBy  time.Time
	holdUntil   time.Time
	expiresAt   time.Time
	waitUntil   time.Time
	delay       time.Duration
	writes      int
	// doubtful is true when a write of this call may yet take effect.
	doubtful bool
	version  uint64
	// target is the version that the last write asked for.
	target uint64
}

// NewSession returns the machine for a call that must end by deadline.
func NewSession(now time.Time, token, fingerprint string, deadline time.Time, retention time.Duration) Session {
	holdUntil := deadline.Add(settleGrace)
	expires := now.Add(retention)
	if expires.Before(holdUntil) {
		expires = holdUntil
	}
	wait := min(deadline.Sub(now)/waitShare, maxWait)
	return Session{
		token:       token,
		fingerprint: fingerprint,
		dispatchBy:  deadline,
		holdUntil:   holdUntil,
		expiresAt:   expires,
		waitUntil:   now.Add(wait),
		delay:       firstDelay,
	}
}

// Begin returns the first action: a write, as most keys are new.
func (c *Session) Begin() Action {
	return c.write(0)
}

// MayDispatch reports whether the holder may still send the call. It is asked
// directly before each send: a holder that was paused for long must not run a
// call whose record may have expired.
func (c *Session) MayDispatch(now time.Time) bool {
	return now.Before(c.dispatchBy)
}

// ExpiresAt is when the key may be used anew.
func (c *Session) ExpiresAt() time.Time {
	return c.expiresAt
}

// Next takes the outcome of the last action. Chance is a random number in [0,1).
func (c *Session) Next(now time.Time, event Event, chance float64) Action {
	switch event.Kind {
	case WriteApplied:
		c.version = c.target + 1
		return Action{Kind: Dispatch}
	case WriteConflict, WaitOver:
		return Action{Kind: Read}
	case WriteUnknown:
		c.doubtful = true
		return Action{Kind: Read}
	case ReadRow:
		return c.meet(now, event.Row, chance)
	case ReadMissing:
		return c.write(0)
	case WriteRefused, ReadFailed:
	}
	return c.unavailable()
}

// meet decides on the row that holds the key.
func (c *Session) meet(now time.Time, row Row, chance float64) Action {
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
		return c.wait(now, row, chance)
	case Unknown:
	}
	return Action{Kind: Answer, Verdict: OutcomeUnknown}
}

func (c *Session) wait(now time.Time, row Row, chance float64) Action {
	if !now.Before(row.HoldUntil) {
		return Action{Kind: Answer, Verdict: OutcomeUnknown}
	}
	if !now.Before(c.waitUntil) {
		return Action{Kind: Answer, Verdict: InProgress}
	}
	delay := time.Duration(float64(c.delay) * (1 + chance) / 2)
	c.delay = min(2*c.delay, longestPoll)
	return Action{Kind: Wait, Delay: min(delay, c.waitUntil.Sub(now))}
}

func (c *Session) write(version uint64) Action {
	if c.writes >= maxWrites {
		return c.unavailable()
	}
	c.writes++
	c.target = version
	return Action{Kind: Write, Record: c.record(Held), IfVersion: version, Before: c.dispatchBy}
}

// unavailable gives up. The call never runs, also if its claim arrives late.
func (c *Session) unavailable() Action {
	return Action{Kind: Answer, Verdict: StoreUnavailable, Abandon: c.doubtful}
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

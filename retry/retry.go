// Package retry holds the rules of repeating that the front ends share: whether a
// request may be sent again, and what an answer of the system's own may promise of
// it. Whether a repeat can be afforded is the callers' retry budget to say.
package retry

// Rules say what may be repeated of a request.
type Rules struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxExecutions bounds the upstreams that one request may run on; under 1 it is 1.
	MaxExecutions int
}

// History is what became of the attempts of one request. It is not safe for
// concurrent use.
type History struct {
	rules     Rules
	sent, ran int
}

// NewHistory returns the history of a request that was not sent yet.
func NewHistory(rules Rules) History { return History{rules: rules} }

// StartAttempt counts an attempt. It reports false, and counts nothing, where the attempt
// would break the promise that a request which must not be repeated runs once.
func (h *History) StartAttempt() bool {
	if h.ran > 0 && !h.rules.Repeatable {
		return false
	}
	h.sent++
	return true
}

// RecordMayHaveRun notes that the last attempt reached its upstream. One that did not, or
// that the upstream says it did not run, is not noted.
func (h *History) RecordMayHaveRun() { h.ran++ }

// MayRetry reports whether the request may be sent to another upstream.
func (h *History) MayRetry() bool {
	return h.ran < max(1, h.rules.MaxExecutions) && (h.ran == 0 || h.rules.Repeatable)
}

// NotExecuted reports whether it is true to say that the request has not run.
func (h *History) NotExecuted() bool { return h.ran == 0 }

// Attempts is the number of attempts.
func (h *History) Attempts() int { return h.sent }

// PossibleExecutions is the number of attempts that may have run.
func (h *History) PossibleExecutions() int { return h.ran }

// Package retry holds the retry rules that the front ends share: whether a request may
// be sent again, and whether an error answer may say that it was not executed. Whether
// there is capacity for a retry is up to the callers' retry budget.
package retry

// Rules are the limits on a request's retries.
type Rules struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// MaxExecutions is the most upstreams that the request may run on; below 1 it is 1.
	MaxExecutions int
}

// History counts the attempts of one request. It is not safe for concurrent use.
type History struct {
	rules     Rules
	sent, ran int
}

// NewHistory returns the history of a request without attempts.
func NewHistory(rules Rules) History { return History{rules: rules} }

// StartAttempt counts an attempt. It returns false, and counts nothing, if the attempt would
// break the invariant that a request that is not repeatable runs at most once.
func (h *History) StartAttempt() bool {
	if h.ran > 0 && !h.rules.Repeatable {
		return false
	}
	h.sent++
	return true
}

// RecordAttempts records attempts that were counted elsewhere.
func (h *History) RecordAttempts(attempts int) { h.sent += attempts }

// RecordMayHaveRun records that the last attempt may have run: it reached its upstream, which
// did not answer that it was not executed.
func (h *History) RecordMayHaveRun() { h.RecordExecutions(1) }

// RecordExecutions records that the last attempt, by another node, may have run on so many upstreams.
func (h *History) RecordExecutions(upstreams int) { h.ran += upstreams }

// RecordAllMayHaveRun records that the last attempt may have run on as many upstreams as were left: nobody says on how many.
func (h *History) RecordAllMayHaveRun() { h.RecordExecutions(max(1, h.Left())) }

// Left returns the number of upstreams that the request may still run on.
func (h *History) Left() int { return max(0, max(1, h.rules.MaxExecutions)-h.ran) }

// Grant returns the number of upstreams that another node may run the request on. One is kept back if there is more than
// one, so that the request can be sent again if that node is lost.
func (h *History) Grant() int { return max(1, h.Left()-1) }

// MayRetry reports whether the request may be sent to another upstream.
func (h *History) MayRetry() bool {
	return h.Left() > 0 && (h.ran == 0 || h.rules.Repeatable)
}

// NotExecuted reports whether the request certainly has not run.
func (h *History) NotExecuted() bool { return h.ran == 0 }

// Attempts returns the number of attempts.
func (h *History) Attempts() int { return h.sent }

// PossibleExecutions returns the number of attempts that may have run.
func (h *History) PossibleExecutions() int { return h.ran }

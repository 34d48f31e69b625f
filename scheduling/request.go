// Package scheduling decides which requests are admitted, when, and where they
// run. It does no I/O, starts no goroutine and reads no clock: every method
// takes the time. A Scheduler is not safe for concurrent use; package dispatch
// holds the lock.
package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Request is what the scheduler needs to know of a caller's request.
type Request struct {
	// ID is unique among the requests of all nodes.
	ID           string
	Plan         *tables.Plan
	Organisation *environment.Organisation
	// Model names the model wanted; it is empty for a call to a service.
	Model string
	// Service names the plain service wanted.
	Service string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens bounds the answer.
	MaxTokens int
	Priority  environment.Priority
	// Arrived is when the request reached the node.
	Arrived time.Time
	// Deadline is when the answer must have ended.
	Deadline time.Time
	// Avoid holds the IDs of upstreams that an earlier attempt failed at.
	Avoid []string
	// Refusals counts the attempts that a full upstream refused. Such an attempt
	// was admitted before and has not run.
	Refusals int
	// PrefixHash names the start of the prompt for prefix caches; 0 is none.
	PrefixHash uint64
}

// KVTokens is the engine memory that the request may come to need, in tokens.
func (r *Request) KVTokens() int {
	return r.PromptTokens + r.MaxTokens
}

// DecisionKind says what became of a request.
type DecisionKind int

// The kinds of decision.
const (
	// Placed means that the request may be sent to Decision.Upstream.
	Placed DecisionKind = iota
	// Queued means that a later decision follows.
	Queued
	// Refused means that the request ended without having run.
	Refused
)

// RefusalReason says why a request was refused.
type RefusalReason int

// The reasons for a refusal.
const (
	// QueueFull means that too many requests wait.
	QueueFull RefusalReason = iota
	// NoUpstream means that no upstream in service can run the request.
	NoUpstream
	// DeadlineInfeasible means that the answer can't end before the deadline.
	DeadlineInfeasible
	// DeadlinePassed means that the deadline passed in the queue.
	DeadlinePassed
	// RateLimited means that the organisation is over its limit.
	RateLimited
	// Unavailable means that each upstream that could run the request is one
	// to avoid for now.
	Unavailable
)

// Decision is the scheduler's word on one request.
type Decision struct {
	RequestID string
	Kind      DecisionKind
	// Upstream is set when the request was placed.
	Upstream *tables.Upstream
	// Group is set when several engines of one data centre hold the request
	// together: the lead, which is Upstream, and the others. GroupTokens is the
	// memory booked at each.
	Group       []*tables.Upstream
	GroupTokens []int
	// Priority is what to ask of the engine: a long prompt yields to short ones
	// whatever its place in the queue was.
	Priority environment.Priority
	// Reason and RetryAfter are set when the request was refused.
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Outcome says how an attempt at an upstream ended.
type Outcome struct {
	// Failed is true when the upstream did not complete its answer.
	Failed bool
	// Refused is true when the upstream was full and did not run the attempt.
	Refused bool
	// Abandoned is true when the attempt says nothing of the upstream: nothing
	// was sent, or the caller left.
	Abandoned bool
	// PromptTokens and AnswerTokens are the usage that the engine reported, or 0.
	PromptTokens, AnswerTokens int
	// CachedTokens is how many of PromptTokens the engine reported to have had
	// in its prefix cache.
	CachedTokens int
	// FirstToken is the time from dispatch to the first token, or 0.
	FirstToken time.Duration
}

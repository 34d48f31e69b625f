// Package scheduling decides which requests are admitted, when they start, and on
// which upstream. It does no I/O, starts no goroutine and reads no clock: the
// caller passes the time. A Scheduler is not safe for concurrent use; package
// dispatch holds the lock.
package scheduling

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Request describes a caller's request to the scheduler.
type Request struct {
	// ID is unique among the requests of all nodes.
	ID           string
	Plan         *tables.Plan
	Organisation *environment.Organisation
	// Model is the requested model; it is empty for a call to a service.
	Model string
	// Service is the requested service; it is empty for a call to a model.
	Service string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the maximum length of the answer.
	MaxTokens int
	Priority  environment.Priority
	// Arrived is when the request reached the node.
	Arrived time.Time
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Avoid holds the IDs of the upstreams at which an earlier attempt failed.
	Avoid []string
	// Refusals counts the attempts that a full upstream refused. They were admitted
	// before and were not executed.
	Refusals int
	// PrefixHash identifies the start of the prompt for prefix caches; 0 means none.
	PrefixHash uint64
}

// KVTokens returns the engine memory that the request may need, in tokens.
func (r *Request) KVTokens() int {
	return r.PromptTokens + r.MaxTokens
}

// DecisionKind is the kind of a decision on a request.
type DecisionKind int

// The kinds of decision.
const (
	// Placed means that the request may be sent to Decision.Upstream.
	Placed DecisionKind = iota
	// Queued means that the request waits and another decision follows.
	Queued
	// Refused means that the request ended without having been executed.
	Refused
)

// RefusalReason is the reason why a request was refused.
type RefusalReason int

// The reasons for a refusal.
const (
	// QueueFull means that the lane's queue is at its limit.
	QueueFull RefusalReason = iota
	// NoUpstream means that no upstream in service can run the request.
	NoUpstream
	// DeadlineInfeasible means that the answer can't end before the deadline.
	DeadlineInfeasible
	// DeadlinePassed means that the deadline passed before the request was placed.
	DeadlinePassed
	// RateLimited means that the organisation exceeds its token rate.
	RateLimited
	// Unavailable means that every upstream that could run the request is one to
	// avoid, or has an open breaker.
	Unavailable
)

// Decision is the scheduler's decision on one request.
type Decision struct {
	RequestID string
	Kind      DecisionKind
	// Upstream is set when the request was placed.
	Upstream *tables.Upstream
	// Group is set when several engines of one data centre run the request
	// together: the lead, which is Upstream, and the others. GroupTokens is the
	// engine memory reserved at each, in tokens.
	Group       []*tables.Upstream
	GroupTokens []int
	// Priority is the priority to request from the engine. For a long prompt it is
	// the lowest, whatever its priority in the queue was.
	Priority environment.Priority
	// Reason and RetryAfter are set when the request was refused.
	Reason     RefusalReason
	RetryAfter time.Duration
}

// Outcome is the result of an attempt at an upstream.
type Outcome struct {
	// Failed is true when the upstream did not complete its answer.
	Failed bool
	// Refused is true when the upstream was full and did not execute the attempt.
	Refused bool
	// Abandoned is true when the attempt says nothing about the upstream: nothing
	// was sent, or the caller disconnected.
	Abandoned bool
	// PromptTokens and AnswerTokens are the usage reported by the engine, or 0.
	PromptTokens, AnswerTokens int
	// CachedTokens is how many of PromptTokens the engine reported as found in its
	// prefix cache.
	CachedTokens int
	// FirstToken is the time from dispatch to the first token, or 0.
	FirstToken time.Duration
}

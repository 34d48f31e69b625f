// Package apierror defines the error type that callers and operators receive, and
// its JSON form.
package apierror

import (
	"encoding/json"
	"time"
)

// Execution states whether the request was executed at an upstream.
type Execution string

// Execution values that an error reports.
const (
	NotExecuted     Execution = "not_run"
	MayHaveExecuted Execution = "may_have_run"
	Executed        Execution = "ran"
)

// Code is the reason for a rejection or failure.
type Code string

// Codes that callers and operators receive.
const (
	BadRequest         Code = "bad_request"
	Unauthorized       Code = "unauthorized"
	Forbidden          Code = "forbidden"
	NotFound           Code = "not_found"
	BodyTooLarge       Code = "body_too_large"
	Overloaded         Code = "overloaded"
	RateLimited        Code = "rate_limited"
	DeadlineInfeasible Code = "deadline_infeasible"
	DeadlineExceeded   Code = "deadline_exceeded"
	NoUpstream         Code = "no_upstream"
	UpstreamFailed     Code = "upstream_failed"
	// RequestBlocked means that upstreams end when they run the request.
	RequestBlocked       Code = "request_blocked"
	UpstreamIncomplete   Code = "upstream_incomplete"
	PlatformUnavailable  Code = "platform_unavailable"
	IdempotencyKeyReused Code = "idempotency_key_reused"
	InProgress           Code = "in_progress"
	OutcomeUnknown       Code = "outcome_unknown"
	StaleVersion         Code = "stale_version"
	InvalidDocument      Code = "invalid_document"
	NotReady             Code = "not_ready"
	CallerDisconnected   Code = "caller_gone"
	Internal             Code = "internal"
)

// Error is a rejection or failure as the caller receives it.
type Error struct {
	// Status is the HTTP status code.
	Status int
	Code   Code
	// Message is one sentence for a human reader. It never contains a secret.
	Message   string
	Execution Execution
	// RetryAfter is the time to wait before a retry; 0 means that a retry does not help.
	RetryAfter time.Duration
	RequestID  string
	// Detail is additional data, such as the problems found in a document.
	Detail any
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

type body struct {
	Code         Code      `json:"code"`
	Message      string    `json:"message"`
	Execution    Execution `json:"execution"`
	RetryAfterMS int64     `json:"retry_after_ms"`
	RequestID    string    `json:"request_id"`
	Detail       any       `json:"detail,omitempty"`
}

// MarshalJSON encodes the error as {"error":{...}}.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Error body `json:"error"`
	}{body{
		Code:         e.Code,
		Message:      e.Message,
		Execution:    e.Execution,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    e.RequestID,
		Detail:       e.Detail,
	}})
}

// New returns an error for a request that was not executed.
func New(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Execution: NotExecuted}
}

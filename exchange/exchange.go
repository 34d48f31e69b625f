// Package exchange carries one caller's request to an upstream and the answer
// back. It knows no protocol: the front end gives it a Request and a Caller, the
// upstream port encodes attempts and reads replies. What may be repeated, what a
// refusal promises and when an answer is whole are decided here.
//
// Lock order: Gate.mutex is a leaf.
package exchange

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// The errors of an attempt. Any other error counts as ErrBroken.
var (
	// ErrNotSent means that no byte reached the upstream.
	ErrNotSent = eris.New("attempt not sent")
	// ErrIncomplete means that the attempt may have run and has no whole answer.
	ErrIncomplete = eris.New("attempt broken off")
)

// Request is one attempt of a caller.
type Request struct {
	ID           string
	Route        *fleet.Route
	Organisation *fleet.Organisation
	// ConfigurationVersion is the version of the document that admitted the request.
	ConfigurationVersion int64
	// Arrived is when the request had been read.
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time
	// PromptTokens is the length of the prompt, AnswerTokens the most that is
	// generated; both are 0 for a plain service.
	PromptTokens, AnswerTokens int
	// After is the number of the last event that the caller has; 0 is none.
	After int64
	// Encoded is the front end's own form of the request, for the upstream port.
	Encoded any
}

// Priority is the rank of the request; 0 comes first.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.Priority != nil {
		return *r.Organisation.Priority
	}
	return r.Route.Priority
}

// Attempt is one sending of a request.
type Attempt struct {
	Request  *Request
	Upstream *fleet.Upstream
	Helpers  []*fleet.Upstream
	// Deadline is when the upstream may stop.
	Deadline time.Time
	// Reservations are memory that was reserved for the request, the upstream's own first.
	Reservations []Reservation
	// After is the number of the event to go on after; 0 is from the start.
	After int64
	// Urgency ranks the request at an engine: 0 to 9, 0 first.
	Urgency int
	// AtMostOnce is true when the attempt may not be sent on a connection that the
	// upstream may be closing.
	AtMostOnce bool
}

// Verdict says what an upstream's answer means.
type Verdict int

// The verdicts.
const (
	// Executed is an answer of the request's own.
	Executed Verdict = iota
	// NotExecuted means that the upstream said it did not run the request.
	NotExecuted
	// WrongUpstream means the same, because another process has the address.
	WrongUpstream
)

// Reply is an upstream's answer whose header has come.
type Reply interface {
	Status() int
	Verdict() Verdict
	// FaultyUpstream is the ID of another upstream that the failure is put down to, or empty.
	FaultyUpstream() string
	// Authentic reports whether a success carries what shows that it is the upstream's.
	Authentic() bool
	// CloseDelimited answers end with their connection.
	CloseDelimited() bool
	Body() io.Reader
	// Finish is called after the whole body was read, Abort instead of it.
	Finish()
	Abort()
}

// Upstreams sends attempts. Errors: ErrNotSent, ErrBroken.
type Upstreams interface {
	Send(ctx context.Context, attempt *Attempt) (Reply, error)
}

// Caller receives the answer. Exactly one of Whole, Fail, Begin and Break is
// called; End or Break follows Begin.
type Caller interface {
	// Whole sends an upstream's whole answer.
	Whole(reply Reply, body []byte)
	// Begin starts a stream with an upstream's header.
	Begin(reply Reply)
	// Events sends whole events.
	Events(data []byte) error
	// End completes a stream.
	End()
	// Break ends an answer so that it does not look complete.
	Break()
	// Fail sends an answer of the system's own.
	Fail(failure Failure)
}

// Code names an answer of the system's own.
type Code string

// The codes.
const (
	// Unavailable and Overloaded promise that the request has not run.
	Unavailable Code = "unavailable"
	Overloaded  Code = "overloaded"
	// UpstreamFailed and Expired promise nothing.
	UpstreamFailed Code = "upstream_failed"
	Expired        Code = "deadline_exceeded"
	// ExpiredNotExecuted promises that the request has not run.
	ExpiredNotExecuted Code = "deadline_exceeded_unrun"
)

// Failure is an answer of the system's own.
type Failure struct {
	Code       Code
	Reason     string
	RetryAfter time.Duration
}

// Config is what an exchange uses.
type Config struct {
	Scheduler *SchedulerRunner
	Retries   *RetryBudget
	Sender    Upstreams
	Memory    Memory
	Follower  *follow.Follower
	Logger    zerolog.Logger
	Metrics   *telemetry.Metrics
	// Freshness bounds the age of what requests are sent by.
	Freshness fleet.Freshness
	// Now counts also the time in which the machine was suspended.
	Now func() time.Duration
	// MaxResponseBytes bounds an answer that is not a stream.
	MaxResponseBytes int64
	// RetryAfter is the pause before a request that was refused everywhere is placed again.
	RetryAfter time.Duration
}

// Exchange serves requests. It is safe for concurrent use.
type Exchange struct {
	config Config
	// closing is true when the node ends too soon for new streams.
	closing atomic.Bool
	// ending ends when the node ends too soon for answers that have not begun.
	ending    context.Context
	endUnsent context.CancelFunc
}

// errNodeEnds is the cause of the end of requests whose node ends.
var errNodeEnds = eris.New("node ends")

// FailUnanswered gives each request whose answer has not begun its final answer.
func (e *Exchange) FailUnanswered() { e.endUnsent() }

// RejectNewStreams refuses new streams from now on: the node ends before they would.
func (e *Exchange) RejectNewStreams() { e.closing.Store(true) }

// New returns an exchange.
func New(config Config) *Exchange {
	e := &Exchange{config: config}
	e.ending, e.endUnsent = context.WithCancel(context.Background())
	return e
}

// Serve carries the request to its end. The context ends when the caller leaves.
func (e *Exchange) Serve(ctx context.Context, request *Request, caller Caller) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	run := e.newRun(request, caller)
	stop := context.AfterFunc(e.ending, func() {
		if !run.begun.Load() {
			end(errNodeEnds)
		}
	})
	defer stop()
	run.serve(ctx)
	e.log(run)
}

func (e *Exchange) newRun(request *Request, caller Caller) *run {
	rules := retry.Rules{Repeatable: request.Route.Repeatable(), MaxRuns: request.Route.MaxAttempts}
	r := &run{exchange: e, request: request, history: retry.NewHistory(rules), sent: request.After}
	r.caller = &oneAnswer{Caller: caller, run: r}
	return r
}

// Stale reports whether the view is too old to send a request that needs a key.
func (e *Exchange) stale() bool {
	return e.config.Now()-e.config.Follower.Current().FreshAt > e.config.Freshness.RunUntil
}

func (e *Exchange) log(r *run) {
	taken := time.Since(r.request.Arrived)
	e.config.Metrics.Count("wigeontiller_requests_total{outcome=\""+r.outcome+"\"}", 1)
	e.config.Metrics.Observe("wigeontiller_request_seconds", taken)
	event := e.config.Logger.Info()
	if r.outcome != Answered && r.outcome != CallerDisconnected {
		event = e.config.Logger.Warn()
	}
	event = event.Str("request_id", r.request.ID).Str("route", r.request.Route.Name).Str("outcome", r.outcome).
		Dur("taken_ms", taken).Dur("latency_target_ms", r.request.Route.LatencyTarget).Int("attempts", r.history.Sent()).Int64("site_version", r.request.ConfigurationVersion)
	if r.firstEvent > 0 {
		event = event.Dur("first_event_ms", r.firstEvent).Dur("longest_pause_ms", r.longestPause).
			Dur("pause_end_ms", r.pauseEnd).Dur("pause_target_ms", r.request.Route.PauseTarget)
	}
	if r.status != 0 {
		event = event.Int("status", r.status)
	}
	if r.reason != "" {
		event = event.Str("reason", r.reason)
	}
	event.Msg(telemetry.LogRequestEnded)
}

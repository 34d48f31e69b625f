// Package exchange forwards one caller's request to an upstream and the response
// back. It is independent of the protocol: the front end passes a Request and a
// ResponseWriter, and a Sender encodes attempts and reads replies. This package
// decides what may be retried, when a failure may state that the request was not
// executed, and when a response is complete.
//
// Lock order: SchedulerRunner.mutex before loadshare.Agent.mutex, which the scheduler takes for the
// order of senders; Blocklist.mutex is a leaf.
package exchange

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/memorybudget"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/streamend"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Errors of an attempt. Any other error is treated as ErrIncomplete.
var (
	// ErrNotSent means that no byte of the attempt reached the upstream.
	ErrNotSent = eris.New("attempt not sent")
	// ErrNotPermitted means that Attempt.Permitted forbade the attempt; no byte was sent.
	ErrNotPermitted = eris.New("attempt no longer permitted")
	// ErrIncomplete means that the attempt may have run and has no complete response.
	ErrIncomplete = eris.New("attempt broken off")
	// ErrTimedOut means the same, because the upstream's machine did not confirm that it still has the connection. What it
	// has received may be read later.
	ErrTimedOut = eris.New("connection timed out")
)

// Request is one request as received from a caller.
type Request struct {
	// ID is the ID that the caller gave. Other requests may bear the same, so that it is for logs and for the wire
	// only.
	ID           string
	Route        *fleet.Route
	Organisation *fleet.Organisation
	// ConfigurationVersion is the version of the configuration that admitted the request.
	ConfigurationVersion int64
	// Arrived is when the request had been read completely.
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	// PromptTokens is the length of the prompt and AnswerTokens the maximum number
	// of generated tokens; both are 0 for a plain service.
	PromptTokens, AnswerTokens int
	// PromptParts identify the parts of the prompt that other requests may share, in order. The
	// last part, which belongs to the request itself, is left out.
	PromptParts []uint64
	Identity    quarantine.Identity
	// After is the number of the last event that the caller has received; 0 is none.
	After int64
	// Encoded is the front end's form of the request, which the Sender reads.
	Encoded any
	// BodyBytes is the size of the body.
	BodyBytes int64
	// HandedOver is true for a request that another node has admitted and handed over. It is not handed
	// over again, and was counted for the retry budget there.
	HandedOver bool
	// MaxExecutions is the most upstreams that a request which was handed over may run on at this node; 0 is not stated.
	MaxExecutions int
}

// Priority returns the priority of the request; 0 is served first.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.Priority != nil {
		return *r.Organisation.Priority
	}
	return r.Route.Priority
}

// Attempt is one send of a request to an upstream.
type Attempt struct {
	// Key is the node's own name of the attempt, which no other attempt of any node has.
	Key      string
	Request  *Request
	Upstream *fleet.Upstream
	Helpers  []*fleet.Upstream
	// Deadline is the time after which the upstream may stop.
	Deadline time.Time
	// Reservations are the memory reservations of the request, the upstream's own first.
	Reservations []Reservation
	// After is the number of the event after which the stream continues; 0 is the start.
	After int64
	// Urgency is the request's priority at an engine, 0 to 9; 0 is first.
	Urgency int
	// Permitted reports whether the attempt may still be sent. The sender asks just before
	// it writes the first byte, since a dial or a pause of the process may come before; if
	// not, it returns ErrNotPermitted.
	Permitted func() bool
	// AtMostOnce is true for a request that must not run twice: it must not be sent on a
	// connection that the upstream may be closing.
	AtMostOnce bool
	// MaxExecutions is the most upstreams that the node that the request is handed over to may run it on.
	MaxExecutions int
	// Resend is true if the request has been sent before, to any upstream or node.
	Resend bool
}

// Verdict says whether the upstream executed the attempt, by its response.
type Verdict int

// Verdicts.
const (
	// Executed means that the response is the result of the request.
	Executed Verdict = iota
	// NotExecuted means that the upstream stated that it did not execute the request.
	NotExecuted
	// WrongUpstream means the same: another process now has the address.
	WrongUpstream
)

// Reply is an upstream's response whose header has arrived.
type Reply interface {
	Status() int
	Verdict() Verdict
	// Leaving reports whether the upstream said that it leaves.
	Leaving() bool
	// Pause is how long the upstream wants nothing from this node; 0 is not stated.
	Pause() time.Duration
	// RequestLimit returns the rate of requests that the upstream takes from all nodes, and false if
	// the response's statement can't be read.
	RequestLimit() (placement.StatedLimit, bool)
	// FaultyUpstream returns the ID of another upstream that caused the failure, or "".
	FaultyUpstream() string
	// Authentic reports whether a successful response carries proof that the upstream sent it.
	Authentic() bool
	Delivery() Delivery
	Body() io.Reader
	// Finish must be called after the whole body was read, otherwise Abort.
	Finish()
	Abort()
}

// Sender sends attempts to upstreams. Errors: ErrNotSent, ErrNotPermitted, ErrIncomplete, ErrTimedOut.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (Reply, error)
	// HasEnded reports whether an upstream's process is known to have ended: its address refuses
	// connections. It is false if that can't be told before the context ends.
	HasEnded(ctx context.Context, upstream *fleet.Upstream) bool
}

// ResponseWriter writes the response to the caller. Exactly one of
// WriteResponse, WriteFailure, BeginStream and Abort is called; after BeginStream,
// EndStream completes the response or Abort breaks it off. Only WriteResponse, WriteFailure
// and EndStream complete a response: one without such a call must not look complete.
type ResponseWriter interface {
	// SetAttempts is called before a response begins, with the number of attempts and of those that may have run, which
	// a node that handed the request over must know.
	SetAttempts(attempts, mayHaveRun int)
	// WriteResponse sends an upstream's complete response.
	WriteResponse(reply Reply, body []byte)
	// BeginStream starts a stream with the header of an upstream's response. unmarked is true if only the end of the
	// connection is to mark the stream's end, as at the upstream: the caller then knows as much of its completeness as
	// this node.
	BeginStream(reply Reply, unmarked bool)
	// WriteEvents sends complete events.
	WriteEvents(data []byte) error
	// EndStream completes a stream.
	EndStream()
	// Abort ends a response so that the caller sees that it is incomplete.
	Abort()
	// WriteFailure sends a failure response generated by this node.
	WriteFailure(failure Failure)
}

// Code is the code of a failure response generated by this node.
type Code string

// Codes of admitted requests.
const (
	// Unavailable and Overloaded guarantee that the request was not executed.
	Unavailable Code = "unavailable"
	Overloaded  Code = "overloaded"
	// UpstreamFailed and Expired guarantee nothing: the request may have run.
	UpstreamFailed Code = "upstream_failed"
	Expired        Code = "deadline_exceeded"
	// RequestBlocked guarantees that the request was not executed; it crashes upstreams.
	RequestBlocked Code = "request_blocked"
	// ExpiredNotExecuted guarantees that the request was not executed.
	ExpiredNotExecuted Code = "deadline_exceeded_unrun"
)

// Failure is a failure response generated by this node.
type Failure struct {
	Code       Code
	Reason     string
	RetryAfter time.Duration
}

// Config holds the dependencies and limits of an exchange.
type Config struct {
	Scheduler *SchedulerRunner
	Retries   *RetryBudget
	// Blocklist knows the features of requests that crash upstreams.
	Blocklist *blocklist.Blocklist
	Sender    Sender
	// Handover hands requests over to other nodes; nil is never.
	Handover Handover
	Memory   MemoryReserver
	Follower *follow.Follower
	Logger   zerolog.Logger
	Metrics  *telemetry.Metrics
	// Freshness bounds the age of the view by which requests are admitted and sent.
	Freshness fleet.AgeLimits
	// Now reads a monotonic clock that also counts time while the machine is suspended.
	Now func() time.Duration
	// MaxResponseBytes is the maximum body size of a response that is not a stream.
	MaxResponseBytes int64
	// Budget bounds the bytes of all bodies of requests and responses that are held at a time. Nil is that of the
	// smallest machine.
	Budget *memorybudget.Budget
	// RetryAfter is set in failures for which the scheduler gives none.
	RetryAfter time.Duration
	// StreamEnds tells which services end their streams by closing the connection. Nil is an empty one.
	StreamEnds *streamend.Evidence
}

// Exchange serves requests. It is safe for concurrent use.
type Exchange struct {
	config       Config
	inFlight     inFlightBytes
	openAttempts openAttempts
	openRequests openRequests
	// streamsClosed is true when new streams could not end before the node shuts down.
	streamsClosed atomic.Bool
	// shutdown is canceled when responses that have not begun could not complete before
	// the node shuts down.
	shutdown         context.Context
	cancelUnanswered context.CancelFunc
	ending           shutdownState
	suspension       suspensionGuard
	keys             *keySource
	startup          *startup
}

// errShutdown is the cancellation cause of requests that end because the node shuts down.
var errShutdown = eris.New("node is shutting down")

// FailUnanswered ends each request whose response has not begun with a failure response.
func (e *Exchange) FailUnanswered() { e.cancelUnanswered() }

// RejectNewStreams rejects new streams from now on, because the node shuts down before they
// would end.
func (e *Exchange) RejectNewStreams() { e.streamsClosed.Store(true) }

// New returns an exchange.
func New(config Config) *Exchange {
	if config.Handover == nil {
		config.Handover = noHandover{}
	}
	if config.Budget == nil {
		_, budget := memorybudget.ForMachine(memorybudget.DefaultMachineBytes)
		config.Budget = memorybudget.New(budget)
	}
	if config.StreamEnds == nil {
		config.StreamEnds = streamend.New()
	}
	e := &Exchange{config: config, keys: newKeySource(), startup: newStartup(time.Now())}
	e.shutdown, e.cancelUnanswered = context.WithCancel(context.Background())
	e.ending.begun, e.ending.begin = context.WithCancel(context.Background())
	return e
}

// Serve handles the request until it has its final response. The context ends when the
// caller disconnects.
func (e *Exchange) Serve(ctx context.Context, request *Request, writer ResponseWriter) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	handler := e.newHandler(request, writer)
	stop := context.AfterFunc(e.shutdown, func() {
		if !handler.begun.Load() {
			end(errShutdown)
		}
	})
	defer stop()
	if e.shutdown.Err() != nil {
		// The function above runs in the background.
		end(errShutdown)
	}
	defer e.openRequests.add(handler)()
	defer e.log(handler)
	defer handler.writer.close()
	defer handler.returnRetry()
	handler.serve(ctx)
}

func (e *Exchange) newHandler(request *Request, writer ResponseWriter) *requestHandler {
	rules := retry.Rules{Repeatable: request.Route.Repeatable(), MaxExecutions: request.Route.MaxAttempts}
	if request.HandedOver {
		// A node of an earlier version does not say what the request has left.
		rules.MaxExecutions = max(1, request.MaxExecutions)
	}
	r := &requestHandler{
		exchange: e, request: request, history: retry.NewHistory(rules), lastEventNumber: request.After, arrivals: &requestArrivals{},
	}
	r.features = append(request.partFeatures(), request.Identity.Features()...)
	r.writer = &singleResponse{ResponseWriter: writer, handler: r}
	return r
}

// stale reports whether the view is older than Freshness.MaxSendAge, the limit for requests
// that need a key.
func (e *Exchange) stale() bool {
	return e.config.Now()-e.config.Follower.Current().FreshAt > e.config.Freshness.MaxSendAge
}

func (e *Exchange) log(r *requestHandler) {
	if r.writer.brokenOff {
		r.outcome, r.status = StreamInterrupted, 0
	}
	taken := time.Since(r.request.Arrived)
	e.config.Metrics.Count("wigeontiller_requests_total{outcome=\""+r.outcome+"\"}", 1)
	e.config.Metrics.Observe("wigeontiller_request_seconds", taken)
	event := e.config.Logger.Info()
	if r.outcome != Answered && r.outcome != CallerDisconnected {
		event = e.config.Logger.Warn()
	}
	event = event.Str("request_id", r.request.ID).Str("request_digest", r.request.Identity.String()).Str("route", r.request.Route.Name).Str("outcome", r.outcome).
		Dur("taken_ms", taken).Dur("latency_target_ms", r.request.Route.LatencyTarget).Int("attempts", r.history.Attempts()).Int64("site_version", r.request.ConfigurationVersion)
	if r.firstEventDelay > 0 {
		event = event.Dur("first_event_ms", r.firstEventDelay).Dur("longest_pause_ms", r.longestPause).
			Dur("pause_end_ms", r.pauseEnd).Dur("pause_target_ms", r.request.Route.PauseTarget)
	}
	if r.status != 0 {
		event = event.Int("status", r.status)
	}
	if r.reason != "" {
		event = event.Str("reason", r.reason)
	}
	if r.request.PromptTokens > 0 {
		event = event.Int("prompt_tokens", r.request.PromptTokens)
		r.countPrompt()
	}
	if r.refusal != nil {
		event = event.Str("service", r.service).Int("priority", r.request.Priority()).
			Dur("retry_after_ms", r.refusal.RetryAfter).Dur("expected_wait_ms", r.refusal.ExpectedWait)
		if busy := r.refusal.BusyEngines; busy != nil {
			event = event.Int("engines_wanted", busy.Wanted).Int("engines_needed", busy.Needed).Int("engines_at_hand", busy.AtHand).
				Float64("prefill_load", busy.PrefillLoad)
		}
		e.config.Metrics.Count(fmt.Sprintf("wigeontiller_requests_refused_total{reason=%q}", r.refusal.Reason), 1)
	}
	r.delivery.log(event).Int64("last_event", r.lastEventNumber).Msg(telemetry.LogRequestEnded)
}

package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/memorybudget"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// attemptStep scripts the outcome of one attempt.
type attemptStep struct {
	err      error
	status   int
	verdict  Verdict
	faulty   string
	unsigned bool
	body     string
	// bodyErr is the error at the end of the body; nil is a complete body.
	bodyErr error
	// leaving and pause are what the upstream asks for.
	leaving bool
	pause   time.Duration
	// stream is the body in place of body; it ends when the attempt's context does.
	stream io.ReadCloser
	// before runs before the attempt asks for permission.
	before func()
	// limit is what the upstream states.
	limit placement.StatedLimit
	// closeDelimited is true if the body ends with its connection.
	closeDelimited bool
	// hang withholds the response until the context ends.
	hang bool
}

// fakeSender answers each attempt by the next step, and records attempts and reservations.
type fakeSender struct {
	mutex    sync.Mutex
	steps    []attemptStep
	attempts []Attempt
	// outcomes tells which of the attempts may have run.
	outcomes           []bool
	reservedTokens     map[string]int
	leases             []time.Duration
	refuseReservations int
	// reserveErrors are the results of reservations by upstream: nil is that the memory is not free.
	reserveErrors map[string]error
	// reserved counts the reservations that were asked for, by upstream.
	reserved map[string]int
	// ended is what HasEnded returns.
	ended bool
}

func (u *fakeSender) HasEnded(context.Context, *fleet.Upstream) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.ended
}

func (u *fakeSender) Send(ctx context.Context, attempt *Attempt) (Reply, error) {
	u.mutex.Lock()
	u.attempts = append(u.attempts, *attempt)
	s := attemptStep{status: 200, body: "default"}
	if len(u.steps) > 0 {
		s = u.steps[0]
		u.steps = u.steps[1:]
	}
	number := len(u.outcomes)
	u.outcomes = append(u.outcomes, false)
	u.mutex.Unlock()
	if s.before != nil {
		s.before()
	}
	if !attempt.Permitted() {
		return nil, ErrNotPermitted
	}
	u.mutex.Lock()
	u.outcomes[number] = s.verdict == Executed && !errors.Is(s.err, ErrNotSent)
	u.mutex.Unlock()
	if s.hang {
		<-ctx.Done()
		return nil, ErrIncomplete
	}
	if s.err != nil {
		return nil, s.err
	}
	if s.stream != nil {
		context.AfterFunc(ctx, func() { _ = s.stream.Close() })
		return &fakeReply{attemptStep: s, body: s.stream}, nil
	}
	return &fakeReply{attemptStep: s, body: readerThenError(bytes.NewBufferString(s.body), s.bodyErr)}, nil
}

func (u *fakeSender) Reserve(_ context.Context, ticket *Reservation, lease time.Duration) (bool, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.leases = append(u.leases, lease)
	u.reserved[ticket.Upstream.ID]++
	if err, fails := u.reserveErrors[ticket.Upstream.ID]; fails {
		return false, err
	}
	if u.refuseReservations > 0 {
		u.refuseReservations--
		return false, nil
	}
	u.reservedTokens[ticket.ID] = ticket.Tokens
	return true, nil
}

func (u *fakeSender) Release(_ context.Context, ticket *Reservation) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.reservedTokens, ticket.ID)
	return nil
}

func (u *fakeSender) reservationCount() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.reservedTokens)
}

// readerThenError reads a body that ends with an error; nil is a complete body.
func readerThenError(body io.Reader, err error) io.Reader {
	return io.MultiReader(body, errorReader{err})
}

type errorReader struct{ err error }

func (e errorReader) Read([]byte) (int, error) {
	if e.err == nil {
		return 0, io.EOF
	}
	return 0, e.err
}

type fakeReply struct {
	attemptStep
	body io.Reader
}

func (r *fakeReply) Status() int                                 { return r.status }
func (r *fakeReply) Verdict() Verdict                            { return r.verdict }
func (r *fakeReply) FaultyUpstream() string                      { return r.faulty }
func (r *fakeReply) Leaving() bool                               { return r.leaving }
func (r *fakeReply) Pause() time.Duration                        { return r.pause }
func (r *fakeReply) RequestLimit() (placement.StatedLimit, bool) { return r.limit, true }
func (r *fakeReply) Authentic() bool                             { return !r.unsigned }
func (r *fakeReply) Delivery() Delivery {
	if r.closeDelimited {
		return Delivery{Framing: CloseDelimited, Identified: true}
	}
	return Delivery{Framing: Chunked, Identified: true}
}
func (r *fakeReply) Body() io.Reader { return r.body }
func (r *fakeReply) Finish()         {}
func (r *fakeReply) Abort()          {}

// recordingWriter records the response.
type recordingWriter struct {
	body           string
	status         int
	events         string
	ended          bool
	unmarked       bool
	aborted        bool
	failure        *Failure
	finalResponses int
	// attempts and mayHaveRun are what SetAttempts was told.
	attempts, mayHaveRun int
}

func (c *recordingWriter) SetAttempts(attempts, mayHaveRun int) {
	c.attempts, c.mayHaveRun = attempts, mayHaveRun
}

func (c *recordingWriter) WriteResponse(r Reply, body []byte) {
	c.body, c.status, c.finalResponses = string(body), r.Status(), c.finalResponses+1
}
func (c *recordingWriter) BeginStream(r Reply, unmarked bool) {
	c.status, c.unmarked = r.Status(), unmarked
}
func (c *recordingWriter) WriteEvents(data []byte) error { c.events += string(data); return nil }
func (c *recordingWriter) EndStream()                    { c.ended = true; c.finalResponses++ }
func (c *recordingWriter) Abort()                        { c.aborted = true; c.finalResponses++ }
func (c *recordingWriter) WriteFailure(f Failure)        { c.failure = &f; c.finalResponses++ }

type staticSource struct{ site *fleet.Configuration }

func (s staticSource) Read(_ context.Context, kind fleet.Table) (follow.Batch, error) {
	if kind == fleet.OperatorTable {
		return follow.Batch{Changes: []fleet.Change{{Configuration: s.site}}, Revision: 1}, nil
	}
	batch := follow.Batch{Revision: 1}
	for i := range 4 {
		for _, service := range []string{"llm", "app"} {
			id := fmt.Sprintf("%s%d", service, i)
			batch.Changes = append(batch.Changes, fleet.Change{Upstream: &fleet.Upstream{ID: id, Service: service, Address: id, Zone: "z", Slots: 6}})
		}
	}
	return batch, nil
}

func (s staticSource) Decode([]byte) (*fleet.Configuration, error) { return s.site, nil }

func (s staticSource) Changes(ctx context.Context, _ fleet.Table, since int64, wait time.Duration) (follow.Batch, error) {
	if wait == 0 {
		return follow.Batch{Revision: since}, nil
	}
	<-ctx.Done()
	return follow.Batch{}, ctx.Err()
}

type fixture struct {
	exchange *Exchange
	sender   *fakeSender
	site     *fleet.Configuration
	// skew is added to the clock, in nanoseconds.
	skew atomic.Int64
}

func newFixture(t *testing.T, steps ...attemptStep) *fixture {
	t.Helper()
	engine := &fleet.Engine{Slots: 16, MemoryTokens: 232_000, StepMs: 1, PrefillTokensPerMs: 206, AttentionMsPerMPairs: 0.138, StepsPerPass: 43}
	site := &fleet.Configuration{Version: 1, KeysRequired: true, Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: engine}, "app": {Name: "app"}}}
	add := func(name string, kind fleet.RouteKind, service string) {
		site.Routes = append(site.Routes, fleet.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Resumable: name == "stream",
			LatencyTarget: 300 * time.Millisecond, Targets: []fleet.Target{{Service: service, Weight: 1}},
		})
	}
	add("safe", fleet.Safe, "app")
	add("unsafe", fleet.Unsafe, "app")
	add("stream", fleet.Stream, "llm")
	add("once", fleet.Stream, "llm")
	site.OrganisationsByKey = map[string]*fleet.Organisation{"key": {Name: "works"}}
	site.Index()
	f := &fixture{sender: &fakeSender{steps: steps, reservedTokens: map[string]int{}, reserved: map[string]int{}}, site: site}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(f.skew.Load()) + time.Hour }
	metrics := telemetry.NewMetrics()
	follower := follow.New(staticSource{site: site}, clock, zerolog.Nop(), metrics)
	scheduler := placement.New(placement.Config{Zone: "z", PrefillChunkMs: 50, MaxPrefillEngines: 17, MaxPassMs: 220, ColdRateFactor: 1, Random: rand.New(rand.NewPCG(1, 1))})
	runner := NewSchedulerRunner(scheduler, clock, func() {})
	follower.OnChange = func() { runner.Configure(follower.Current) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	f.exchange = New(Config{
		Scheduler: runner, Retries: &RetryBudget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, Sender: f.sender, Memory: f.sender,
		Follower: follower, Logger: zerolog.Nop(), Metrics: metrics, Now: clock,
		Blocklist:        blocklist.New(clock, zerolog.Nop(), metrics, func() {}),
		Freshness:        fleet.AgeLimits{MaxSendAge: 4500 * time.Millisecond, MaxDenyAge: 2 * time.Second},
		MaxResponseBytes: 1 << 20, Budget: memorybudget.New(8 << 20), RetryAfter: 300 * time.Millisecond,
	})
	for !follower.Current().Synced {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	return f
}

func (f *fixture) request(route string) *Request {
	request := &Request{ID: "r", Route: f.site.Route("h", "/"+route+"/x"), Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second)}
	if request.Route.Kind == fleet.Stream {
		request.PromptTokens, request.AnswerTokens = 1000, 100
	}
	return request
}

func (f *fixture) serve(t *testing.T, request *Request) *recordingWriter {
	t.Helper()
	got := &recordingWriter{}
	f.exchange.Serve(t.Context(), request, got)
	if got.finalResponses != 1 {
		t.Fatalf("got %d final responses, want 1: %+v", got.finalResponses, got)
	}
	return got
}

func eventText(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

var errReset = errors.New("reset")

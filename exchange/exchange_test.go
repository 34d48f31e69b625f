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

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// step is what one attempt meets.
type step struct {
	err     error
	status  int
	verdict Verdict
	guilty  string
	unsound bool
	body    string
	// ends is the error at the end of the body; nil is a whole one.
	ends error
	// hang keeps the answer back until the context ends.
	hang bool
}

// upstreams plays the steps, one an attempt.
type upstreams struct {
	mutex    sync.Mutex
	steps    []step
	attempts []Attempt
	held     map[string]int
	refuse   int
}

func (u *upstreams) Send(ctx context.Context, attempt *Attempt) (Reply, error) {
	u.mutex.Lock()
	u.attempts = append(u.attempts, *attempt)
	s := step{status: 200, body: "default"}
	if len(u.steps) > 0 {
		s = u.steps[0]
		u.steps = u.steps[1:]
	}
	u.mutex.Unlock()
	if s.hang {
		<-ctx.Done()
		return nil, ErrBroken
	}
	if s.err != nil {
		return nil, s.err
	}
	return &reply{step: s, body: io.MultiReader(bytes.NewBufferString(s.body), ending{s.ends})}, nil
}

func (u *upstreams) Reserve(_ context.Context, ticket *Ticket, _ time.Duration) (bool, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.refuse > 0 {
		u.refuse--
		return false, nil
	}
	u.held[ticket.ID] = ticket.Tokens
	return true, nil
}

func (u *upstreams) Release(_ context.Context, ticket *Ticket) error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.held, ticket.ID)
	return nil
}

func (u *upstreams) heldTickets() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return len(u.held)
}

type ending struct{ err error }

func (e ending) Read([]byte) (int, error) {
	if e.err == nil {
		return 0, io.EOF
	}
	return 0, e.err
}

type reply struct {
	step
	body io.Reader
}

func (r *reply) Status() int      { return r.status }
func (r *reply) Verdict() Verdict { return r.verdict }
func (r *reply) Guilty() string   { return r.guilty }
func (r *reply) Sound() bool      { return !r.unsound }
func (r *reply) Unframed() bool   { return false }
func (r *reply) Body() io.Reader  { return r.body }
func (r *reply) Finish()          {}
func (r *reply) Abort()           {}

// caller notes what it gets.
type caller struct {
	whole   string
	status  int
	events  string
	ended   bool
	broken  bool
	failure *Failure
	finals  int
}

func (c *caller) Whole(r Reply, body []byte) {
	c.whole, c.status, c.finals = string(body), r.Status(), c.finals+1
}
func (c *caller) Begin(r Reply)            { c.status = r.Status() }
func (c *caller) Events(data []byte) error { c.events += string(data); return nil }
func (c *caller) End()                     { c.ended = true; c.finals++ }
func (c *caller) Break()                   { c.broken = true; c.finals++ }
func (c *caller) Fail(f Failure)           { c.failure = &f; c.finals++ }

type source struct{ site *fleet.Site }

func (s source) Read(_ context.Context, kind fleet.Kind) (follow.Batch, error) {
	if kind == fleet.Operator {
		return follow.Batch{Changes: []fleet.Change{{Site: s.site}}, Revision: 1}, nil
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

func (s source) Changes(ctx context.Context, _ fleet.Kind, since int64, wait time.Duration) (follow.Batch, error) {
	if wait == 0 {
		return follow.Batch{Revision: since}, nil
	}
	<-ctx.Done()
	return follow.Batch{}, ctx.Err()
}

type fixture struct {
	exchange  *Exchange
	upstreams *upstreams
	site      *fleet.Site
	// skew is added to the clock, in ns.
	skew atomic.Int64
}

func newFixture(t *testing.T, steps ...step) *fixture {
	t.Helper()
	engine := &fleet.Engine{Slots: 16, MemoryTokens: 232_000, StepMs: 1, ReadTokensPerMs: 206, PairsMsPerM: 0.138, StepsPerPass: 43}
	site := &fleet.Site{Version: 1, Keyed: true, Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: engine}, "app": {Name: "app"}}}
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
	site.ByKey = map[string]*fleet.Organisation{"key": {Name: "works"}}
	site.Index()
	f := &fixture{upstreams: &upstreams{steps: steps, held: map[string]int{}}, site: site}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) + time.Duration(f.skew.Load()) + time.Hour }
	metrics := telemetry.NewMetrics()
	follower := follow.New(source{site: site}, clock, zerolog.Nop(), metrics)
	scheduler := placement.New(placement.Config{Zone: "z", PartMs: 50, MaxParts: 17, BacklogMs: 150, WarmMargin: 1, Random: rand.New(rand.NewPCG(1, 1))})
	gate := NewGate(scheduler, clock, func() {})
	follower.OnChange = func() { gate.Configure(follower.Current) }
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
		Gate: gate, Retries: &RetryBudget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, Upstreams: f.upstreams, Memory: f.upstreams,
		Follower: follower, Logger: zerolog.Nop(), Metrics: metrics, Now: clock,
		Freshness:      fleet.Freshness{RunUntil: 4500 * time.Millisecond, DenyUntil: 2 * time.Second},
		MaxAnswerBytes: 1 << 20, Backoff: 300 * time.Millisecond,
	})
	for !follower.Current().Known {
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

func (f *fixture) serve(t *testing.T, request *Request) *caller {
	t.Helper()
	got := &caller{}
	f.exchange.Serve(t.Context(), request, got)
	if got.finals != 1 {
		t.Fatalf("%d final answers: %+v", got.finals, got)
	}
	return got
}

func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

var errReset = errors.New("reset")

func TestAnUnsafeRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, s := range map[string]step{
		"no answer": {err: ErrBroken}, "cut": {status: 200, body: "x", ends: errReset}, "unsigned": {status: 200, unsound: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s)
			got := f.serve(t, f.request("unsafe"))
			is.Equal(len(f.upstreams.attempts), 1)
			is.Equal(got.failure.Code, UpstreamFailed) // it promises nothing
			is.True(f.upstreams.attempts[0].Once)
		})
	}
}

func TestAnUnsafeRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	for name, s := range map[string]step{
		"not sent": {err: ErrNotSent}, "full": {status: 503, verdict: NotRun}, "another process": {status: 421, verdict: WrongUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, s, step{status: 200, body: "done"})
			got := f.serve(t, f.request("unsafe"))
			is.Equal(got.whole, "done")
			is.True(f.upstreams.attempts[0].Upstream.ID != f.upstreams.attempts[1].Upstream.ID)
		})
	}
}

func TestARefusedUnsafeRequestPromisesThatItHasNotRun(t *testing.T) {
	is := is.New(t)
	full := step{status: 503, verdict: NotRun}
	f := newFixture(t, full, full, full, full, full, full)
	got := f.serve(t, f.request("unsafe"))
	is.Equal(got.failure.Code, Overloaded)
	is.True(got.failure.RetryAfter > 0)
}

func TestASafeRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{err: ErrBroken}, step{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).whole, "done")
	f = newFixture(t, step{status: 500, body: "bad"}, step{status: 200, body: "done"})
	is.Equal(f.serve(t, f.request("safe")).whole, "done")
	f = newFixture(t, step{status: 500, body: "bad"}, step{status: 500, body: "worse"}, step{status: 200, body: "no"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.status, 500) // the upstream's own answer, after the attempts allowed
	is.Equal(got.whole, "worse")
	is.Equal(len(f.upstreams.attempts), 2)
}

func TestAStreamGoesOnElsewhereWithoutGapOrDouble(t *testing.T) {
	is := is.New(t)
	f := newFixture(t,
		step{status: 200, body: events(1, 3) + "id: 4\nda", ends: errReset},
		step{status: 200, body: events(3, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 8))
	is.True(got.ended)
	is.Equal(f.upstreams.attempts[1].After, int64(3))
}

func TestAStreamWithAGapIsBroken(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 3) + events(5, 8)}, step{status: 200, body: events(6, 8)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 3))
	is.True(got.broken)
	is.True(!got.ended)
}

func TestAStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 3), ends: errReset}, step{status: 200, body: events(4, 8)})
	got := f.serve(t, f.request("once"))
	is.Equal(len(f.upstreams.attempts), 1)
	is.True(got.broken)
	f = newFixture(t, step{status: 200, ends: errReset}, step{status: 200, body: events(1, 8)})
	got = f.serve(t, f.request("once"))
	is.Equal(len(f.upstreams.attempts), 1)
	is.Equal(got.failure.Code, UpstreamFailed)
}

func TestAStreamThatEndsInTheMiddleOfAnEventIsNotWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 2) + "id: 3\nda"}, step{status: 200, body: events(3, 4)})
	got := f.serve(t, f.request("stream"))
	is.Equal(got.events, events(1, 4))
}

func TestACallersOwnLastEventIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(6, 8)})
	request := f.request("stream")
	request.After = 5
	is.Equal(f.serve(t, request).events, events(6, 8))
	is.Equal(f.upstreams.attempts[0].After, int64(5))
}

func TestNothingIsSentByBeliefsThatAreTooOld(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.skew.Store(int64(4600 * time.Millisecond))
	got := f.serve(t, f.request("safe"))
	is.Equal(len(f.upstreams.attempts), 0)
	is.Equal(got.failure.Code, Unavailable)
}

func TestWhatIsUnknownIsDeniedOnlyByFreshBeliefs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, failure := f.exchange.Admit("h", "/safe/x", "wrong")
	is.Equal(failure.Code, NoKey)
	_, failure = f.exchange.Admit("h", "/none/x", "key")
	is.Equal(failure.Code, NoRoute)
	admitted, failure := f.exchange.Admit("h", "/safe/x", "key")
	is.True(failure == nil)
	is.Equal(admitted.Organisation.Name, "works")
	f.skew.Store(int64(2500 * time.Millisecond))
	_, failure = f.exchange.Admit("h", "/safe/x", "wrong")
	is.Equal(failure.Code, Unavailable)
	_, failure = f.exchange.Admit("h", "/none/x", "key")
	is.Equal(failure.Code, Unavailable)
	f.skew.Store(int64(5 * time.Second))
	_, failure = f.exchange.Admit("h", "/safe/x", "key")
	is.Equal(failure.Code, Unavailable)
}

func TestANodeWithoutBeliefsDeniesNothing(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	clock := func() time.Duration { return time.Minute }
	e := New(Config{Follower: follow.New(source{}, clock, zerolog.Nop(), metrics), Now: clock, Metrics: metrics})
	_, failure := e.Admit("h", "/safe/x", "key")
	is.Equal(failure.Code, Unavailable)
}

func TestACallerThatLeavesEndsItsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	got := &caller{}
	started := time.Now()
	f.exchange.Serve(ctx, f.request("stream"), got)
	is.True(time.Since(started) < 500*time.Millisecond)
	is.True(got.broken)
	f.exchange.config.Gate.Do(func(s *placement.Scheduler, now time.Duration) {
		for _, share := range s.Shares(now, true) {
			is.Equal(share.Totals, placement.Totals{}) // all is free again
		}
	})
}

func TestADeadlineEndsARequestAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(60 * time.Millisecond)
	started := time.Now()
	got := f.serve(t, request)
	is.True(time.Since(started) < 300*time.Millisecond)
	is.Equal(got.failure.Code, Expired) // it may have run
}

func TestASilentUpstreamIsLeftWhereTheRequestMayBeRepeated(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true}, step{status: 200, body: "done"})
	got := f.serve(t, f.request("safe"))
	is.Equal(got.whole, "done")
	f = newFixture(t, step{hang: true}, step{status: 200, body: "done"})
	request := f.request("unsafe")
	request.Deadline = time.Now().Add(700 * time.Millisecond)
	is.Equal(f.serve(t, request).failure.Code, Expired)
	is.Equal(len(f.upstreams.attempts), 1)
}

func TestANodeThatEndsAnswersWhatHasNotBegun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{hang: true}, step{hang: true})
	time.AfterFunc(30*time.Millisecond, f.exchange.EndUnbegun)
	got := f.serve(t, f.request("unsafe"))
	is.Equal(got.failure.Code, UpstreamFailed) // it may have run
	f = newFixture(t)
	f.exchange.EndUnbegun()
	got = f.serve(t, f.request("unsafe"))
	is.True(got.failure == nil || got.failure.Code == Unavailable)
	f.exchange.CloseStreams()
	_, failure := f.exchange.Admit("h", "/stream/x", "key")
	is.Equal(failure.Code, Unavailable)
	_, failure = f.exchange.Admit("h", "/unsafe/x", "key")
	is.True(failure == nil) // a plain call still ends in time
}

func TestMemoryIsReservedWholeAndGivenBack(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, step{status: 200, body: events(1, 4)})
	request := f.request("stream")
	request.PromptTokens = 300_000
	f.upstreams.refuse = 1
	got := f.serve(t, request)
	is.Equal(got.events, events(1, 4))
	held := 0
	for _, ticket := range f.upstreams.attempts[0].Tickets {
		held += ticket.Tokens
	}
	is.True(held >= 300_000)
	for end := time.Now().Add(2 * time.Second); f.upstreams.heldTickets() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.upstreams.heldTickets(), 0)
}

func TestTheRetryBudgetIsSharedByNodes(t *testing.T) {
	is := is.New(t)
	budget := &RetryBudget{Ratio: 0.2, Extra: 90, Window: 10 * time.Second}
	budget.SetNodes(9)
	for range 100 {
		budget.First(time.Second, "s")
	}
	spent := 0
	for budget.Spend(time.Second, "s") {
		spent++
	}
	is.Equal(spent, 30) // a fifth of its own requests and a ninth of what all have beside
	is.True(!budget.Spend(9*time.Second, "s"))
	is.True(budget.Spend(22*time.Second, "s"))
	is.True(budget.Spend(time.Second, "other"))
}

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
		return nil, ErrIncomplete
	}
	if s.err != nil {
		return nil, s.err
	}
	return &reply{step: s, body: io.MultiReader(bytes.NewBufferString(s.body), ending{s.ends})}, nil
}

func (u *upstreams) Reserve(_ context.Context, ticket *Reservation, _ time.Duration) (bool, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.refuse > 0 {
		u.refuse--
		return false, nil
	}
	u.held[ticket.ID] = ticket.Tokens
	return true, nil
}

func (u *upstreams) Release(_ context.Context, ticket *Reservation) error {
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

func (r *reply) Status() int            { return r.status }
func (r *reply) Verdict() Verdict       { return r.verdict }
func (r *reply) FaultyUpstream() string { return r.guilty }
func (r *reply) Authentic() bool        { return !r.unsound }
func (r *reply) CloseDelimited() bool   { return false }
func (r *reply) Body() io.Reader        { return r.body }
func (r *reply) Finish()                {}
func (r *reply) Abort()                 {}

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
	scheduler := placement.New(placement.Config{Zone: "z", PartMs: 50, MaxParts: 17, PassMs: 220, WarmMargin: 1, Random: rand.New(rand.NewPCG(1, 1))})
	gate := NewSchedulerRunner(scheduler, clock, func() {})
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
		Scheduler: gate, Retries: &RetryBudget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, Sender: f.upstreams, Memory: f.upstreams,
		Follower: follower, Logger: zerolog.Nop(), Metrics: metrics, Now: clock,
		Freshness:        fleet.Freshness{RunUntil: 4500 * time.Millisecond, DenyUntil: 2 * time.Second},
		MaxResponseBytes: 1 << 20, RetryAfter: 300 * time.Millisecond,
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

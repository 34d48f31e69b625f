package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/cutproxy"
	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// attempt is what a caller got for one attempt.
type attempt struct {
	id, path, kind string
	node, after    int
	status         int
	header         http.Header
	body           string
	err            error
	// framed is true if the body had a length or chunks, exited if a node's process ended meanwhile.
	framed, exited bool
	at             time.Time
}

// soakCaller is a caller that keeps its connection to one node until the node closes it.
type soakCaller struct {
	fleet  *edgeFleet
	number int
	kept   *http.Transport
	random *rand.Rand
	// attempts are all that it made.
	attempts []attempt
}

const (
	soakEvents      = 8
	callerTries     = 3
	callerDeadline  = 4 * time.Second
	plainDeadline   = 2 * time.Second
	faultySoakTime  = 10 * time.Second
	soakCallers     = 42
	callerPause     = 30 * time.Millisecond
	soakMaxAttempts = 3
)

// run sends requests of all kinds until a time.
func (c *soakCaller) run(until time.Time) {
	defer c.kept.CloseIdleConnections()
	for i := 0; time.Now().Before(until); i++ {
		kind := []string{"chat", "chat", "talk", "book", "book", "look"}[c.random.IntN(6)]
		c.request(kind, fmt.Sprintf("/%s/c%d-%d", kind, c.number, i))
		time.Sleep(time.Duration(c.random.Int64N(int64(callerPause))))
	}
}

// request sends a request. It is sent again, at another node and on a new connection, as the protocol allows.
func (c *soakCaller) request(kind, path string) {
	after := 0
	for try := range callerTries {
		node, transport := c.number%len(c.fleet.nodes), c.kept
		if try > 0 {
			node = c.random.IntN(len(c.fleet.nodes))
			transport = &http.Transport{DisableKeepAlives: true}
		}
		got := c.attempt(transport, node, kind, path, after, try)
		c.attempts = append(c.attempts, got)
		promised := got.err == nil && slices.Contains([]int{408, 421, 429, 503}, got.status)
		ended := got.err == nil && slices.Contains([]int{200, 204, 400, 401, 404, 413, 431}, got.status)
		if ended || !promised && (kind == "book" || kind == "talk") {
			return
		}
		if kind == "chat" {
			last, _ := wholeEvents(got)
			after = max(after, last)
		}
	}
}

func (c *soakCaller) attempt(transport *http.Transport, node int, kind, path string, after, try int) attempt {
	deadline := plainDeadline
	if kind == "chat" || kind == "talk" {
		deadline = callerDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	got := attempt{id: fmt.Sprintf("%s.%d", strings.ReplaceAll(path[1:], "/", "."), try), path: path, kind: kind, node: node, after: after, at: time.Now()}
	exits := c.fleet.exits.Load()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.nodes[node].callers+path, strings.NewReader("body"))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", got.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if kind == "chat" || kind == "talk" {
		request.Header.Set("X-Token-Usage", "1000,300")
		request.Header.Set("X-Prefix-Hash", fmt.Sprintf("5eed:40,f%d:40,%x:900", c.number%20, c.fleet.requests.Add(1)<<16))
	}
	if after > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	got.status, got.header, got.body, got.err = response.StatusCode, response.Header, string(text), err
	got.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	got.exited = c.fleet.exits.Load() != exits
	return got
}

// answerChecker compares what callers got with what upstreams ran.
type answerChecker struct {
	runs map[string][]engineRun
	// broken holds what broke each rule, short how many unframed answers ended early like those of their upstream.
	broken map[string][]string
	short  int
}

type engineRun struct {
	fleetengine.Run
	engine string
}

func (f *edgeFleet) newAnswerChecker() *answerChecker {
	k := &answerChecker{runs: map[string][]engineRun{}, broken: map[string][]string{}}
	for _, engine := range append(slices.Clone(f.engines), f.apps...) {
		for _, run := range engine.Runs() {
			k.runs[run.ID] = append(k.runs[run.ID], engineRun{Run: run, engine: engine.ID})
		}
	}
	return k
}

func (k *answerChecker) breaks(rule string, a attempt, why string) {
	var runs []string
	for _, run := range k.runs[a.id] {
		runs = append(runs, fmt.Sprintf("%s after %d status %d whole %v reset %v cut %v", run.engine, run.After, run.Status, run.Whole, run.Reset, run.Cut))
	}
	k.broken[rule] = append(k.broken[rule], fmt.Sprintf("%s: %s at node %d, %s, after %d: status %d, framed %v, signature %q, error %v, body %q; runs %q",
		a.id, why, a.node, a.at.Format("15:04:05.000"), a.after, a.status, a.framed, a.header.Get("X-Origin-Signature"), a.err, a.body, runs))
}

func (k *answerChecker) check(a attempt) {
	runs := k.runs[a.id]
	unsafe := a.kind == "book" || a.kind == "talk"
	if unsafe && len(runs) > 1 {
		k.breaks("TWICE", a, "ran more than once")
	}
	if unsafe && len(runs) > 0 && slices.Contains([]int{408, 421, 429, 503}, a.status) {
		k.breaks("REFUSED", a, "was refused and ran")
	}
	if a.status == 0 {
		return
	}
	k.checkOwner(a, runs)
	switch {
	case a.status == http.StatusOK && (a.kind == "chat" || a.kind == "talk"):
		k.checkStream(a, runs)
	case a.status == http.StatusOK && a.err == nil:
		k.checkPlain(a, runs)
	}
}

// checkOwner checks that an answer with a signature is one that its upstream gave to this request.
func (k *answerChecker) checkOwner(a attempt, runs []engineRun) {
	signature := a.header.Get("X-Origin-Signature")
	if signature == "" {
		if a.status < 300 && a.err == nil {
			k.breaks("MIXED", a, "a success has no signature")
		}
		return
	}
	for _, run := range runs {
		if run.engine+"."+a.id == signature && run.Status == a.status {
			return
		}
	}
	k.breaks("MIXED", a, "the answer is not that of its upstream")
}

func (k *answerChecker) checkStream(a attempt, runs []engineRun) {
	last, rest := wholeEvents(a)
	switch complete := a.err == nil; {
	case complete && rest == "" && a.kind == "talk" && !a.framed && last > 0 && k.endedEarly(a, runs):
		k.short++
	case complete && (rest != "" || last != soakEvents):
		k.breaks("ORDER", a, "the stream is complete without all events")
	case complete && !a.framed && a.kind == "chat":
		k.breaks("ORDER", a, "the stream that may be resumed ended with its connection")
	case last == soakEvents && rest != "", !strings.HasPrefix(streamEvent(last+1, a.path), rest):
		k.breaks("ORDER", a, "the stream has events that don't belong there")
	}
}

// endedEarly reports whether the upstream of an answer without framing closed its connection before the end, not by a
// reset: nobody can tell such an answer from a whole one.
func (k *answerChecker) endedEarly(a attempt, runs []engineRun) bool {
	engine, _, _ := strings.Cut(a.header.Get("X-Origin-Signature"), ".")
	for _, run := range runs {
		// A process that ends closes its connections like one that has finished.
		if run.engine == engine && (!run.Whole && !run.Reset || a.exited) {
			return true
		}
	}
	return false
}

func (k *answerChecker) checkPlain(a attempt, runs []engineRun) {
	engine, _, _ := strings.Cut(a.header.Get("X-Origin-Signature"), ".")
	want := engine + " ran " + a.path
	if a.body == want {
		return
	}
	if !a.framed && strings.HasPrefix(want, a.body) && k.endedEarly(a, runs) {
		k.short++
		return
	}
	k.breaks("MIXED", a, "the body is not that of the upstream")
}

// makeFaulty gives the upstreams faults, or takes them away.
func (f *edgeFleet) makeFaulty(seed uint64, random *rand.Rand) {
	for _, engine := range append(slices.Clone(f.engines), f.apps...) {
		knobs := fleetengine.Knobs{RunTime: 5 * time.Millisecond}
		if random.IntN(3) > 0 {
			share := func(most float64) float64 { return most * random.Float64() }
			knobs.Faults = fleetengine.Faults{
				Seed: seed, Refuse: share(0.3), Fail: share(0.15), Stale: share(0.5), Break: share(0.3), FailContinuation: share(0.8),
				CutHead: share(0.1), Unframed: share(0.3), CutUnframed: share(0.6),
			}
		}
		engine.Set(knobs)
	}
}

// disturbFaulty changes the faults, the configuration and the ways, crashes upstreams, and stops, pauses and
// kills nodes, one after the other.
func (f *edgeFleet) disturbFaulty(nodes []int, seed uint64, random *rand.Rand, until time.Time) {
	pause := func(least, most int) { time.Sleep(time.Duration(least+random.IntN(most)) * time.Millisecond) }
	for time.Now().Before(until) {
		node := nodes[random.IntN(len(nodes))]
		switch random.IntN(8) {
		case 0:
			f.restart(node, syscall.SIGTERM)
		case 1:
			f.restart(node, syscall.SIGKILL)
		case 2:
			f.nodes[node].signal(f.t, syscall.SIGSTOP)
			pause(100, 1200)
			f.nodes[node].signal(f.t, syscall.SIGCONT)
		case 3, 4:
			f.nodes[node].cut([]cutproxy.Mode{cutproxy.Refused, cutproxy.Reset}[random.IntN(2)])
			pause(500, 1500)
			f.nodes[node].cut(cutproxy.Up)
		case 5:
			f.mutex.Lock()
			f.configure()
			f.mutex.Unlock()
		case 6:
			f.makeFaulty(seed, random)
		case 7:
			f.engines[random.IntN(edgeEngines)].Crash()
			f.apps[random.IntN(edgeApps)].Crash()
		}
		pause(0, 400)
	}
}

func soakNodes(t *testing.T) int {
	text := os.Getenv("WIGEONTILLER_SOAK_NODES")
	if text == "" {
		return edgeNodes
	}
	nodes, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return nodes
}

// TestFleetOfProcessesSoakOfFaultyUpstreams runs a fleet before upstreams that write stale, short and unframed
// answers, beside signals, cuts, crashes and configurations, and checks every answer.
func TestFleetOfProcessesSoakOfFaultyUpstreams(t *testing.T) {
	first, last := soakSeeds(t)
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soakFaultyUpstreams(t, seed) })
	}
}

func soakFaultyUpstreams(t *testing.T, seed uint64) {
	f := newEdgeFleet(t, soakMaxAttempts, true)
	f.varyEvents = true
	f.start(soakNodes(t))
	f.makeFaulty(seed, rand.New(rand.NewPCG(seed, 1)))
	end := time.Now().Add(faultySoakTime)
	var group sync.WaitGroup
	callers := make([]*soakCaller, max(soakCallers, len(f.nodes)))
	for i := range callers {
		callers[i] = &soakCaller{fleet: f, number: i, kept: &http.Transport{}, random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		group.Go(func() { callers[i].run(end) })
	}
	var lanes [2][]int // two series of disturbances at a time
	for i := range f.nodes {
		lanes[i%2] = append(lanes[i%2], i)
	}
	for lane, nodes := range lanes {
		group.Go(func() {
			f.disturbFaulty(nodes, seed, rand.New(rand.NewPCG(seed, uint64(10+lane))), end.Add(-time.Second))
		})
	}
	group.Wait()
	f.reportAnswers(t, callers)
}

// reportAnswers checks all answers that the callers got.
func (f *edgeFleet) reportAnswers(t *testing.T, callers []*soakCaller) {
	t.Helper()
	k := f.newAnswerChecker()
	total, complete, other := 0, 0, 0
	for _, caller := range callers {
		for _, got := range caller.attempts {
			total++
			if got.err == nil && got.status == http.StatusOK {
				complete++
			}
			if f.isOther(got.node) {
				other++
				continue
			}
			k.check(got)
		}
	}
	for rule, cases := range k.broken {
		t.Errorf("%s broken %d times", rule, len(cases))
		for _, text := range cases[:min(len(cases), 5)] {
			t.Errorf("%s %s", rule, text)
			f.traceRequest(t, text[:strings.Index(text, ":")])
		}
	}
	t.Logf("%d attempts, %d complete with 200, %d unframed ones ended early, %d at nodes of the other program", total, complete, k.short, other)
}

// traceRequest logs the lines about a request of all nodes.
func (f *edgeFleet) traceRequest(t *testing.T, id string) {
	t.Helper()
	for _, node := range f.nodes {
		for _, file := range node.logFiles {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Error(err)
			}
			for line := range strings.Lines(string(text)) {
				if strings.Contains(line, `"`+id+`"`) {
					t.Logf("%s: %s", node.name, strings.TrimSpace(line))
				}
			}
		}
	}
}

package scheduling

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// seeds can be raised for a long run: go test ./scheduling -run Random -seeds 2000.
var seeds = flag.Uint64("seeds", 20, "number of random runs")

// randomRun drives a scheduler with random events and keeps its own accounting.
type randomRun struct {
	*fixture
	random        *rand.Rand
	undecided     map[string]*Request
	placed        map[string]*placedRequest
	shares        map[string]Share
	decisionCount int
}

type placedRequest struct {
	request  *Request
	upstream *tables.Upstream
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	f := newFixture(t, 6, 5)
	f.document.Engines[4].DataCentre = "dc2"
	f.document.Engines[5].DataCentre = "dc2"
	f.document.Limits.QueueLength = 40
	f.document.Organisations[1].Weight = 3
	f.document.Organisations[2].TokensPerSecond = 20_000
	f.Scheduler = NewSeeded("dc1", rand.New(rand.NewPCG(seed, 2)))
	f.configure()
	return &randomRun{
		fixture:   f,
		random:    rand.New(rand.NewPCG(seed, 1)),
		undecided: map[string]*Request{},
		placed:    map[string]*placedRequest{},
	}
}

func (r *randomRun) step() {
	r.now = r.now.Add(time.Duration(r.random.IntN(60)) * time.Millisecond)
	switch r.random.IntN(20) {
	default:
		r.submitOne()
	case 8, 9, 10, 11, 12, 13, 14:
		r.finishOne()
	case 15:
		r.cancelOne()
	case 16:
		r.toggleVM()
	case 17:
		r.setShares()
	case 18:
		r.firstToken()
	}
	if r.random.IntN(4) == 0 {
		r.cancelOne() // before the round's decisions are returned
	}
	for _, decision := range r.advance() {
		r.checkDecision(decision)
	}
	r.checkTotals()
}

func (r *randomRun) submitOne() {
	prompt := 500 + r.random.IntN(15_000)
	if r.random.IntN(6) == 0 {
		prompt = 20_000 + r.random.IntN(380_000)
	}
	request := r.request(r.random.IntN(5), prompt)
	request.Priority = environment.Priority(r.random.IntN(3))
	request.Deadline = r.now.Add(time.Duration(r.random.IntN(5000)) * time.Millisecond)
	request.PrefixHash = r.random.Uint64N(3)
	if r.random.IntN(10) == 0 {
		request.Avoid = []string{fmt.Sprint("test/production/e", r.random.IntN(6))}
	}
	r.undecided[request.ID] = request
	if decision := r.submit(request); decision.Kind != Queued {
		r.checkDecision(decision)
	}
}

// checkDecision checks a final decision.
func (r *randomRun) checkDecision(decision Decision) {
	request := r.undecided[decision.RequestID]
	r.is.True(request != nil) // one final decision per request
	delete(r.undecided, decision.RequestID)
	r.decisionCount++
	if decision.Kind == Refused {
		return
	}
	r.is.Equal(decision.Kind, Placed)
	u := r.tables.Upstreams[decision.Upstream.ID]
	r.is.True(!u.OutOfService)                // nothing is placed out of service
	r.is.True(r.now.Before(request.Deadline)) // nothing is placed after its deadline
	for _, avoided := range request.Avoid {
		r.is.True(avoided != u.ID)
	}
	r.placed[request.ID] = &placedRequest{request, u}
	r.checkShare(u)
}

// checkShare compares the test's own totals with the share at a placement.
func (r *randomRun) checkShare(u *tables.Upstream) {
	slots, kvTokens := u.Slots, u.KVTokens
	if share, ok := r.shares[u.ID]; ok && r.now.Before(share.Expires) {
		slots, kvTokens = share.Slots, share.KVTokens
	} else if r.shares != nil {
		slots, kvTokens = fallbackShare.Slots, fallbackShare.KVTokens
	}
	requests, tokens := 0, 0
	for _, running := range r.placed {
		if running.upstream.ID == u.ID {
			requests++
			tokens += running.request.KVTokens()
		}
	}
	r.is.True(requests <= slots)
	r.is.True(tokens <= kvTokens)
}

var fallbackShare = Share{Slots: 2, KVTokens: 100_000}

func (r *randomRun) checkTotals() {
	for _, request := range r.undecided {
		r.is.True(r.now.Before(request.Deadline)) // decided by the deadline
	}
	r.is.Equal(r.Waiting(), len(r.undecided))
	r.is.Equal(r.Running(), len(r.placed))
}

func (r *randomRun) pickPlaced() *placedRequest {
	return pickByNumber(r.random, r.placed)
}

// pickByNumber picks by the numbers in the IDs, not by map order, so that a seed
// always gives the same run.
func pickByNumber[V any](random *rand.Rand, all map[string]V) V {
	var none V
	if len(all) == 0 {
		return none
	}
	offset := random.IntN(1000)
	best, found := 0, none
	for id, one := range all {
		var number int
		_, _ = fmt.Sscanf(id, "r%d", &number)
		if rank := (number*7919 + offset*31) % 100_003; rank >= best {
			best, found = rank, one
		}
	}
	return found
}

func (r *randomRun) finishOne() {
	picked := r.pickPlaced()
	if picked == nil {
		return
	}
	outcome := Outcome{Failed: r.random.IntN(12) == 0, Abandoned: r.random.IntN(12) == 0}
	if !outcome.Failed && !outcome.Abandoned {
		outcome.PromptTokens = picked.request.PromptTokens * 9 / 10
		outcome.AnswerTokens = r.random.IntN(100)
	}
	delete(r.placed, picked.request.ID)
	r.finish(picked.request.ID, outcome)
	r.finish(picked.request.ID, outcome) // a repeated Finish changes nothing
}

func (r *randomRun) firstToken() {
	if picked := r.pickPlaced(); picked != nil {
		r.FirstToken(r.now, picked.request.ID)
		r.checkInvariants()
	}
}

func (r *randomRun) cancelOne() {
	if request := pickByNumber(r.random, r.undecided); request != nil {
		delete(r.undecided, request.ID)
		r.Cancel(r.now, request.ID)
		r.checkInvariants()
	}
}

func (r *randomRun) toggleVM() {
	vm := fmt.Sprint("vm", r.random.IntN(6))
	r.site.OutOfServiceVMs[vm] = !r.site.OutOfServiceVMs[vm]
	r.configure()
	r.checkInvariants()
}

func (r *randomRun) setShares() {
	if r.shares == nil {
		if r.random.IntN(3) > 0 {
			return
		}
		r.SetFallback(r.now, func(string) Share { return fallbackShare })
	}
	r.shares = map[string]Share{}
	for i := range 6 {
		if r.random.IntN(4) > 0 {
			r.shares[fmt.Sprint("test/production/e", i)] = Share{
				Slots:    r.random.IntN(9),
				KVTokens: r.random.IntN(400_001),
				Expires:  r.now.Add(time.Duration(r.random.IntN(2000)) * time.Millisecond),
			}
		}
	}
	r.SetShares(r.now, r.shares)
	r.checkInvariants()
}

// drainAndCheck finishes all requests and expects all counters to be zero.
func (r *randomRun) drainAndCheck() {
	for id := range r.placed {
		r.finish(id, Outcome{})
	}
	clear(r.placed)
	for range 2000 {
		r.now = r.now.Add(10 * time.Millisecond)
		for _, decision := range r.advance() {
			r.checkDecision(decision)
		}
		for id := range r.placed {
			r.finish(id, Outcome{})
		}
		clear(r.placed)
	}
	r.is.Equal(len(r.undecided), 0)
	for _, u := range r.upstreams {
		r.is.Equal([]int{u.requests, u.kvTokens, u.longRequests, u.longPrefills}, []int{0, 0, 0, 0})
	}
	r.is.Equal(len(r.longPrefills), 0)
	r.is.Equal(len(r.timers), 0)
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range *seeds {
		r := newRandomRun(t, seed)
		for range 2000 {
			r.step()
		}
		r.drainAndCheck()
		r.is.True(r.decisionCount > 500)
	}
}

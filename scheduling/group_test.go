package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The fixture's engines have 400,000 tokens of memory each; groups may use 300,000.

func TestGroupReservesAllPartsAndReleasesThem(t *testing.T) {
	f := newFixture(t, 3, 1)
	f.configure()
	request := f.request(0, 850_000)
	decision := f.submit(request)
	f.is.Equal(decision.Kind, Placed)
	f.is.Equal(len(decision.Group), 3)
	f.is.Equal(decision.Group[0], decision.Upstream)
	total := 0
	for i, upstream := range decision.Group {
		f.is.Equal(f.upstreams[upstream.ID].kvTokens, decision.GroupTokens[i])
		f.is.True(decision.GroupTokens[i] <= 300_000) // the reserve stays free
		total += decision.GroupTokens[i]
	}
	f.is.Equal(total, request.KVTokens())
	f.is.Equal(f.submit(f.request(0, 1000)).Kind, Placed)          // fits within the reserve
	f.is.Equal(f.submit(f.request(0, 500_000)).Kind, Queued)       // the memory open to groups is taken
	f.is.Equal(f.submit(f.request(0, 950_000)).Reason, NoUpstream) // more than all engines can hold
	f.finish(request.ID, Outcome{})
	f.finish(request.ID, Outcome{}) // a repeated Finish changes nothing
	f.is.Equal(len(f.advance()), 1)
}

func TestGroupStaysInOneDataCentre(t *testing.T) {
	f := newFixture(t, 4, 1)
	f.document.Engines[2].DataCentre = "dc2"
	f.document.Engines[3].DataCentre = "dc2"
	f.configure()
	f.is.Equal(f.submit(f.request(0, 700_000)).Reason, NoUpstream)
	f.is.Equal(len(f.submit(f.request(0, 500_000)).Group), 2)
	f.is.Equal(f.submit(f.request(0, 500_000)).Kind, Queued)
	f.now = f.now.Add(minWaitForRemote)
	placed := f.advance()
	f.is.Equal(len(placed), 1)
	for _, upstream := range placed[0].Group {
		f.is.Equal(upstream.DataCentre, "dc2")
	}
}

// Prompts that fit one engine overtake those that wait for several, so their
// expected wait excludes these.
func TestTokensAheadExcludesWaitingGroups(t *testing.T) {
	f := newFixture(t, 3, 2)
	f.configure()
	f.is.Equal(f.submit(f.request(0, 850_000)).Kind, Placed)
	grouped, single := f.request(0, 500_000), f.request(1, 390_000)
	f.is.Equal(f.submit(grouped).Kind, Queued)
	f.is.Equal(f.submit(single).Kind, Queued)
	f.is.Equal(f.tokensAhead(f.waiting[single.ID]), 0.0)
	f.is.True(f.tokensAhead(f.waiting[grouped.ID]) > 0)
}

// Enough long prompts arrive to keep every engine busy.
func TestGroupIsPlacedUnderConstantLongPromptLoad(t *testing.T) {
	f := newFixture(t, 3, 2)
	f.document.Reserve.LongPrefillPerDataCentre = 0
	f.configure()
	running := []string{}
	submitLong := func() {
		for range 4 {
			request := f.request(0, 100_000)
			if decision := f.submit(request); decision.Kind == Placed {
				running = append(running, request.ID)
			} else {
				f.Cancel(f.now, request.ID)
			}
		}
	}
	for range 5 {
		submitLong()
	}
	grouped := f.request(1, 800_000)
	grouped.Deadline = f.now.Add(10 * time.Minute)
	f.is.Equal(f.submit(grouped).Kind, Queued)
	for range 300 {
		f.now = f.now.Add(100 * time.Millisecond)
		if len(running) > 0 {
			f.finish(running[0], Outcome{})
			running = running[1:]
		}
		for _, decision := range f.advance() {
			if decision.RequestID == grouped.ID {
				f.is.Equal(decision.Kind, Placed)
				return
			}
		}
		submitLong()
	}
	t.Fatal("the group was not placed within 30 s")
}

// divideShares divides each engine's memory between the nodes by their demand.
func divideShares(now time.Time, nodes []*fixture) {
	for id, upstream := range nodes[0].tables.Upstreams {
		remaining, unsatisfied := upstream.KVTokens, len(nodes)
		shares := make([]int, len(nodes))
		for unsatisfied > 0 && remaining > 0 {
			each, stillUnsatisfied := max(1, remaining/unsatisfied), 0
			for i, node := range nodes {
				grant := min(each, node.Demand(now)[id].KVTokens-shares[i], remaining)
				shares[i] += grant
				remaining -= grant
				if shares[i] < node.Demand(now)[id].KVTokens {
					stillUnsatisfied++
				}
			}
			unsatisfied = stillUnsatisfied
		}
		for i, node := range nodes {
			share := max(shares[i], node.upstreams[id].kvTokens)
			if node.grantedShares == nil {
				node.grantedShares = map[string]Share{}
			}
			node.grantedShares[id] = Share{Slots: 4, KVTokens: share, Expires: now.Add(2 * time.Second)}
		}
	}
	for _, node := range nodes {
		node.SetShares(now, node.grantedShares)
		node.checkInvariants()
	}
}

// Two prompts that fit only one after the other wait at two nodes, which are
// granted equal parts of their demand.
func TestGroupsAtTwoNodesWithSplitSharesAreBothPlaced(t *testing.T) {
	for seed := range 10 {
		nodes := []*fixture{newFixture(t, 3, 1), newFixture(t, 3, 1)}
		ends := map[int]time.Time{}
		for i, node := range nodes {
			node.configure()
			node.requestCount = seed * 10 * (i + 1)
			node.SetFallback(node.now, func(string) Share { return Share{} })
			request := node.request(0, 850_000)
			request.ID = fmt.Sprint("huge", seed, i)
			request.Deadline = node.now.Add(30 * time.Minute)
			node.is.Equal(node.submit(request).Kind, Queued)
		}
		done := 0
		for now := start; done < 2 && now.Before(start.Add(30*time.Minute)); now = now.Add(time.Second) {
			divideShares(now, nodes)
			for i, node := range nodes {
				node.now = now
				if end, runs := ends[i]; runs && !now.Before(end) {
					node.finish(fmt.Sprint("huge", seed, i), Outcome{})
					delete(ends, i)
					done++
				}
				for _, decision := range node.advance() {
					node.is.Equal(decision.Kind, Placed)
					ends[i] = now.Add(20 * time.Second)
				}
			}
			for id := range nodes[0].tables.Upstreams {
				used := nodes[0].upstreams[id].kvTokens + nodes[1].upstreams[id].kvTokens
				nodes[0].is.True(used <= 400_000)
			}
		}
		nodes[0].is.Equal(done, 2)
	}
}

// Mixes prompts of all lengths with engines that go out of service and shares that
// shrink.
func TestRandomGroupsKeepInvariants(t *testing.T) {
	for seed := range *seeds {
		r := newRandomRun(t, seed)
		r.document.Reserve.LongPrefillPerDataCentre = 0
		r.configure()
		groups := map[string]Decision{}
		placed := 0
		checkPlacement := func(decision Decision) {
			delete(r.undecided, decision.RequestID)
			if decision.Kind == Refused {
				return
			}
			r.is.Equal(decision.Kind, Placed)
			groups[decision.RequestID] = decision
			if len(decision.Group) > 0 {
				placed++
			}
			for _, upstream := range decision.Group {
				r.is.Equal(upstream.DataCentre, decision.Upstream.DataCentre)
				r.is.True(!r.tables.Upstreams[upstream.ID].OutOfService)
			}
		}
		for range 600 {
			r.now = r.now.Add(time.Duration(r.random.IntN(200)) * time.Millisecond)
			switch r.random.IntN(8) {
			case 0:
				r.toggleVM()
			case 1:
				r.setShares()
			case 2, 3:
				for id := range groups {
					r.finish(id, randomOutcome(r.random))
					delete(groups, id)
					break
				}
			case 4:
				r.cancelOne()
			default:
				request := r.request(r.random.IntN(5), []int{500, 50_000, 450_000, 900_000}[r.random.IntN(4)])
				r.undecided[request.ID] = request
				if decision := r.submit(request); decision.Kind != Queued {
					checkPlacement(decision)
				}
			}
			for _, decision := range r.advance() {
				checkPlacement(decision)
			}
			for _, u := range r.upstreams {
				r.is.True(u.kvTokens <= u.upstream.KVTokens)
			}
			for _, request := range r.undecided {
				r.is.True(r.now.Before(request.Deadline)) // decided by the deadline
			}
		}
		r.is.True(placed > 0)
		for id := range groups {
			r.finish(id, Outcome{})
		}
		r.now = r.now.Add(2 * time.Minute)
		for _, decision := range r.advance() {
			r.finish(decision.RequestID, Outcome{})
			delete(r.undecided, decision.RequestID)
		}
		r.is.Equal(len(r.undecided), 0)
		for _, u := range r.upstreams {
			r.is.Equal([]int{u.requests, u.kvTokens, u.longRequests, u.longPrefills}, []int{0, 0, 0, 0})
		}
	}
}

func randomOutcome(random *rand.Rand) Outcome {
	return []Outcome{{}, {Failed: true}, {Refused: true}, {Abandoned: true}}[random.IntN(4)]
}

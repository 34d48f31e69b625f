package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// parts are the engines of the running attempt, the lead first.
func (r *simulatedRequest) parts() []*fleet.Upstream {
	return append([]*fleet.Upstream{r.decision.Lead}, r.decision.Helpers...)
}

// refused lets a caller come back once, at the time that it was told.
func (l *longPoolLoad) refused(now time.Duration, request *simulatedRequest, decision Decision) {
	request.refusals = append(request.refusals, decision.Reason)
	left := request.arrived + longCallerWait - now
	if request.returned || decision.RetryAfter <= 0 || decision.RetryAfter > left {
		return
	}
	request.returned, request.avoid = true, nil
	l.at(now+decision.RetryAfter, func(now time.Duration) {
		request.node = l.random.IntN(len(l.nodes))
		l.place(now, request, now)
		l.tellChanges(now, request.node)
		if !l.ticking[request.node] {
			l.tick(now, request.node)
		}
	})
}

// connectTime is how long a node needs to find out that an engine is down.
const connectTime = 10 * time.Millisecond

// failsOnCrashedEngine reports whether one of the engines of a placement is down, and places the
// request again in that case.
func (l *longPoolLoad) failsOnCrashedEngine(now time.Duration, request *simulatedRequest) bool {
	for _, part := range request.parts() {
		if l.byID[part.ID].down {
			id := request.decision.ID
			l.at(now+connectTime, func(now time.Duration) { l.placeAgain(now, request, id, part.ID) })
			return true
		}
	}
	return false
}

// placeAgain ends an attempt that failed at an engine and places its request elsewhere.
func (l *longPoolLoad) placeAgain(now time.Duration, request *simulatedRequest, id, engine string) {
	l.nodes[request.node].End(now, id, Unresponsive, engine)
	l.tellChanges(now, request.node)
	request.avoid = append(request.avoid, engine)
	l.place(now, request, request.arrived)
	l.tellChanges(now, request.node)
	if !l.ticking[request.node] {
		l.tick(now, request.node)
	}
}

// crash ends engines, and what runs there, for a time. Prompts that have not been read are placed
// again, streams that have begun are broken off.
func (l *longPoolLoad) crash(now time.Duration, ids []string, down time.Duration) {
	for _, id := range ids {
		l.byID[id].down = true
	}
	for _, request := range l.all {
		if request.done || request.broken || request.unread == 0 && !l.decodes(request) {
			continue
		}
		i := slices.IndexFunc(request.parts(), func(part *fleet.Upstream) bool { return slices.Contains(ids, part.ID) })
		if i < 0 || request.unread == 0 && i > 0 {
			continue
		}
		l.cancel(request)
		if request.unread == 0 {
			request.broken = true
			l.nodes[request.node].End(now, request.decision.ID, Unresponsive, ids[0])
			l.tellChanges(now, request.node)
			continue
		}
		request.unread = 0
		l.placeAgain(now, request, request.decision.ID, request.parts()[i].ID)
	}
	l.at(now+hearDelay, func(time.Duration) { l.changeView(func(view *fleet.View) { l.remove(view, ids) }) })
	l.at(now+down, func(time.Duration) {
		l.changeView(func(view *fleet.View) {
			for _, id := range ids {
				l.byID[id] = &simulatedEngine{decoding: map[*simulatedRequest]bool{}}
				view.Upstreams[id] = &fleet.Upstream{ID: id, Service: "llm", Address: id, Zone: "z", Slots: l.model.Slots, StartedMs: (now + down).Milliseconds()}
			}
		})
	})
}

func (l *longPoolLoad) decodes(request *simulatedRequest) bool {
	return request.decision.Lead != nil && l.byID[request.decision.Lead.ID].decoding[request]
}

// cancel removes an attempt from its engines.
func (l *longPoolLoad) cancel(request *simulatedRequest) {
	own := func(chunk *simulatedChunk) bool { return chunk.request == request }
	for i, part := range request.parts() {
		engine := l.byID[part.ID]
		queued := slices.ContainsFunc(engine.queued, own)
		engine.waiting, engine.queued = slices.DeleteFunc(engine.waiting, own), slices.DeleteFunc(engine.queued, own)
		for _, chunk := range engine.reading {
			chunk.cancelled = chunk.cancelled || own(chunk)
		}
		delete(engine.decoding, request)
		if i == 0 && !queued {
			engine.active--
		}
	}
}

// remove takes engines out of a view.
func (l *longPoolLoad) remove(view *fleet.View, ids []string) {
	for _, id := range ids {
		delete(view.Upstreams, id)
	}
}

func (l *longPoolLoad) changeView(change func(view *fleet.View)) {
	upstreams := make(map[string]*fleet.Upstream, len(l.view.Upstreams))
	for id, entry := range l.view.Upstreams {
		upstreams[id] = entry
	}
	l.view.Upstreams = upstreams
	change(&l.view)
	for _, node := range l.nodes {
		node.UpdateView(l.view)
	}
}

// engineRange names a part of the engines, from one share of them to another.
func (l *longPoolLoad) engineRange(from, to float64) []string {
	var ids []string
	for i := int(from * float64(l.engines)); i < int(to*float64(l.engines)); i++ {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	return ids
}

// onTime returns the share of the requests with an aim that had their first event within it and no
// pause over the target.
func (l *longPoolLoad) onTime(aim, pause time.Duration) float64 { return l.onTimeFrom(0, aim, pause) }

// onTimeFrom is onTime of the requests that arrived from a time on.
func (l *longPoolLoad) onTimeFrom(from, aim, pause time.Duration) float64 {
	good, count := 0, 0
	for _, request := range l.all {
		if request.aim != aim || request.arrived < from {
			continue
		}
		count++
		if request.done && request.firstEventAt-request.arrived <= aim && request.longestPause <= pause {
			good++
		}
	}
	return float64(good) / float64(max(1, count))
}

// served is how often the requests of a kind were served: all, the fifth below the largest tenth,
// and the largest tenth.
type served struct{ all, fifth, tenth float64 }

// servedBySize returns how often the requests with an aim were served, without the streams that a
// crash broke off.
func servedBySize(aim time.Duration, loads ...*longPoolLoad) served {
	var kind []*simulatedRequest
	for _, l := range loads {
		for _, request := range l.all {
			if request.aim == aim && !request.broken {
				kind = append(kind, request)
			}
		}
	}
	slices.SortFunc(kind, func(a, b *simulatedRequest) int { return cmp.Compare(a.tokens, b.tokens) })
	n := len(kind)
	share := func(requests []*simulatedRequest) float64 {
		done := 0
		for _, request := range requests {
			if request.done {
				done++
			}
		}
		return float64(done) / float64(max(1, len(requests)))
	}
	return served{all: share(kind), fifth: share(kind[n*7/10 : n*9/10]), tenth: share(kind[n*9/10:])}
}

// playBurstWithLostEngines plays a burst of long prompts while engines crash twice, and a fifth of
// them are out of service from the third second on.
func playBurstWithLostEngines(l *longPoolLoad, arrive func(end time.Duration)) {
	const end, down = 8 * time.Second, 3 * time.Second
	arrive(end)
	l.at(1500*time.Millisecond, func(now time.Duration) { l.crash(now, l.engineRange(0, 0.14), down) })
	l.at(3*time.Second, func(time.Duration) {
		l.changeView(func(view *fleet.View) {
			for _, id := range l.engineRange(0.5, 0.7) {
				entry := *view.Upstreams[id]
				entry.Draining = true
				view.Upstreams[id] = &entry
			}
		})
	})
	l.at(5*time.Second, func(now time.Duration) { l.crash(now, l.engineRange(0.2, 0.34), down) })
	l.run(end + 2*longCallerWait)
}

// minSizeShare is how often the largest prompts of a kind are served, against the whole kind.
const minSizeShare = 0.75

func TestLargestPromptsAreServedLikeTheirKindInABurstWithLostEngines(t *testing.T) {
	divided := []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}
	for _, site := range []struct {
		name  string
		seeds uint64
		play  func(seed uint64) *longPoolLoad
		aims  []time.Duration
	}{
		{"30 engines", 12, undividedBurst(30), []time.Duration{shortAim, middleAim, longAim}},
		{"150 engines", 3, undividedBurst(150), []time.Duration{shortAim, middleAim, longAim}},
		{"300 engines", 3, undividedBurst(300), []time.Duration{shortAim, middleAim, longAim}},
		{"divided, one engine a prompt", 4, dividedBurst(&longAimOfOneEngine), append(divided[:2:2], longAimOfOneEngine.longAim)},
		{"divided, three engines a prompt", 4, dividedBurst(&shortAimOfThree), append(divided[:2:2], shortAimOfThree.longAim)},
	} {
		t.Run(site.name, func(t *testing.T) {
			var loads []*longPoolLoad
			for seed := range site.seeds {
				loads = append(loads, site.play(seed))
			}
			for _, aim := range site.aims {
				got := servedBySize(aim, loads...)
				t.Logf("answer due after %v: served %.2f of all, %.2f of the fifth below the largest tenth, %.2f of the largest tenth", aim, got.all, got.fifth, got.tenth)
				if got.fifth < minSizeShare*got.all || got.tenth < minSizeShare*got.all {
					t.Errorf("answer due after %v: the largest prompts are served less often than their kind", aim)
				}
			}
		})
	}
}

// undividedBurst plays the rates of the users' large site in a burst of long prompts, in proportion to the engines.
func undividedBurst(engines int) func(seed uint64) *longPoolLoad {
	return func(seed uint64) *longPoolLoad {
		l := newLongPoolLoad(simulatedSite{engines: engines, nodes: 12, model: largeEngine(), pauseTarget: 250 * time.Millisecond}, seed)
		scale := float64(engines) / 150
		playBurstWithLostEngines(l, func(end time.Duration) {
			l.arrive(213*shortInBurst*scale, end, shortAim, func() int { return l.length(4960, 0.9, 23_800) })
			l.arrive(16.8*middleInBurst*scale, end, middleAim, func() int { return l.length(45_000, 0.5, 110_000) })
			l.arrive(8*longInBurst*scale, end, longAim, func() int { return l.length(190_000, 0.55, 600_000) })
		})
		return l
	}
}

func dividedBurst(d *dividedLoad) func(seed uint64) *longPoolLoad {
	return func(seed uint64) *longPoolLoad {
		l := d.prepare(78, seed)
		playBurstWithLostEngines(l, func(end time.Duration) { d.arrive(l, shortInBurst, longInBurst, end) })
		return l
	}
}

// The rates of short, middle and long prompts in a burst of long ones, times the usual ones.
const shortInBurst, middleInBurst, longInBurst = 0.4, 1.3, 2.7

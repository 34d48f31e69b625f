package observe

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/orphan"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// world is everything around a poller.
type world struct {
	mutex    sync.Mutex
	built    *tables.Tables
	loads    map[string]Load
	owned    map[string]bool
	standing orphan.Standing
	holds    bool
	answer   Answer
	canceled []string
	told     []Observation
	reports  []scheduling.Report
	cold     []string
	// started is when the peer's process started.
	started uint64
}

func newWorld() *world {
	return &world{
		built: &tables.Tables{Upstreams: map[string]*tables.Upstream{
			"w/production/e": {ID: "w/production/e", Address: "10.0.0.1:1", DataCentre: "dc", Models: []string{"m"}},
			"w/trial/e":      {ID: "w/trial/e", Address: "10.0.0.1:1", DataCentre: "dc", Models: []string{"n"}},
			"w/production/f": {ID: "w/production/f", Address: "10.0.0.2:1", DataCentre: "dc"},
			"w/production/s": {ID: "w/production/s", Address: "10.0.0.3:1", Kind: tables.ServiceUpstream},
		}},
		loads: map[string]Load{"10.0.0.1:1": {Incarnation: 1}, "10.0.0.2:1": {Incarnation: 1}},
		owned: map[string]bool{"poller/10.0.0.1:1": true},
	}
}

func (w *world) Load(address string, _ time.Time) (Load, error) {
	load, ok := w.loads[address]
	if !ok {
		return Load{}, ErrNoAnswer
	}
	return load, nil
}

func (w *world) Cancel(_, id string, _ time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.canceled = append(w.canceled, id)
	return false
}

func (w *world) Owns(role, _ string) bool { return w.owned[role] }

func (w *world) Peers() []Peer {
	return []Peer{{Name: "peer", DataCentre: "dc", Started: w.started}}
}

func (w *world) Standing(orphan.Owner) orphan.Standing { return w.standing }

func (w *world) Holds(string) bool { return w.holds }

func (w *world) Self() orphan.Owner { return orphan.Owner{Node: "self", Process: "2"} }

func (w *world) Tell(_ context.Context, _ Peer, observations []Observation, _ []string) (Answer, error) {
	w.told = append(w.told, observations...)
	return w.answer, nil
}

func (w *world) Observe(report scheduling.Report) { w.reports = append(w.reports, report) }

func (w *world) Tables() *tables.Tables { return w.built }

func (w *world) poller() *Poller {
	return NewPoller(Config{
		Engines: w, Canceler: w, Members: w, Teller: w, Scheduler: w,
		Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop(),
		ColdStart: func(id string) { w.cold = append(w.cold, id) },
	})
}

func TestRoundReadsOwnEnginesAndTellsPeers(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.loads["10.0.0.1:1"] = Load{Incarnation: 1, Queue: 1, Running: 2, KVTokens: 3, Leaving: true}
	p := w.poller()
	p.Round(t.Context())
	is.Equal(len(w.reports), 2) // one for each lane of the one engine it polls
	is.Equal(w.reports[0].UpstreamID, "w/production/e")
	is.Equal(w.reports[1].UpstreamID, "w/trial/e")
	is.True(w.reports[0].Draining)
	is.Equal(w.reports[0].Running+w.reports[0].Waiting+w.reports[0].KVTokens, 6)
	is.Equal(len(w.told), 1)
	w.owned = nil
	p.Round(t.Context())
	is.Equal(len(w.reports), 2) // the role has moved
	is.Equal(len(w.told), 1)
}

func TestRestartIsToldOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	p := w.poller()
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(len(w.cold), 0)
	w.loads["10.0.0.1:1"] = Load{Incarnation: 2}
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(w.cold, []string{"w/production/e", "w/trial/e"})
	late := Observation{Address: "10.0.0.1:1", At: time.Now().Add(-time.Minute), Load: Load{Incarnation: 1}}
	p.Observe(late)
	is.Equal(len(w.cold), 2) // an older report says nothing
}

func TestOrphansAreCanceledUntilGone(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.loads["10.0.0.1:1"] = Load{Streams: []orphan.Stream{{ID: "a", Owner: orphan.Owner{Node: "dead", Process: "1"}}}}
	w.standing = orphan.Gone
	p := w.poller()
	p.Round(t.Context())
	is.Equal(len(w.canceled), 0)
	p.finders["10.0.0.1:1"].Find(time.Now().Add(-orphan.GoneMargin), nil, p.standing)
	p.finders["10.0.0.1:1"].Find(time.Now().Add(-orphan.GoneMargin), w.loads["10.0.0.1:1"].Streams, p.standing)
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(w.canceled, []string{"a", "a"})
	w.loads["10.0.0.1:1"] = Load{}
	p.Round(t.Context())
	is.Equal(len(w.canceled), 2)
}

func TestOutboxTellsOtherDataCentresOnlyChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	box := &outbox{}
	near, far := Peer{Name: "near", DataCentre: "dc"}, Peer{Name: "far", DataCentre: "elsewhere"}
	mine := map[string]string{"e": "dc"}
	load := Load{Incarnation: 1, Running: 1}
	names := func() []string {
		var names []string
		for _, one := range box.letters(now, []Peer{near, far}, []Observation{{Address: "e", Load: load}}, mine) {
			names = append(names, one.peer.Name)
		}
		return names
	}
	send := func() {
		for _, one := range box.letters(now, []Peer{near, far}, []Observation{{Address: "e", Load: load}}, mine) {
			box.acknowledge(now, one)
		}
	}
	is.Equal(names(), []string{"near", "far"})
	is.Equal(names(), []string{"near", "far"}) // again until it is acknowledged
	send()
	load.Running = 2
	is.Equal(len(names()), 0)
	now = now.Add(LocalInterval)
	is.Equal(names(), []string{"near"}) // load stays in the data centre
	for _, change := range []func(){
		func() { load.Leaving = true },
		func() { load.Incarnation++ },
		func() { load.Models = []string{} },
		func() { load.Models = []string{"m"} },
		func() { now = now.Add(retellInterval) },
		func() { box.letters(now, []Peer{near, far}, nil, nil) }, // the role was away
	} {
		change()
		is.True(slices.Contains(names(), "far"))
		send()
		is.True(!slices.Contains(names(), "far"))
	}
}

// TestRestartedPeerIsToldAgain restarts a peer under its name, with no time away.
func TestRestartedPeerIsToldAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	box := &outbox{}
	peer := Peer{Name: "far", DataCentre: "elsewhere", Started: 1}
	leaving := []Observation{{Address: "e", Load: Load{Incarnation: 1, Leaving: true}}}
	tell := func() int {
		letters := box.letters(now, []Peer{peer}, leaving, map[string]string{"e": "dc"})
		for _, one := range letters {
			box.acknowledge(now, one)
		}
		return len(letters)
	}
	is.Equal(tell(), 1)
	is.Equal(tell(), 0) // it knows
	peer.Started++
	is.Equal(tell(), 1) // the new process does not
	is.Equal(tell(), 0)
}

// TestRestartedPeersStreamsAreItsOwn has a peer that answered before it restarted
// under its name: what the last process said is no word on the new one's streams.
func TestRestartedPeersStreamsAreItsOwn(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.standing = orphan.Held
	w.answer = Answer{Process: "old", Complete: true}
	p := w.poller()
	p.Round(t.Context())
	of := func(process string) orphan.Stream {
		return orphan.Stream{ID: "s", Owner: orphan.Owner{Node: "peer", Process: process}}
	}
	is.Equal(p.standing(of("new")), orphan.Gone) // by the peer's own word
	w.started++
	w.answer = Answer{} // the letter to the new process is lost
	p.Round(t.Context())
	is.Equal(p.standing(of("new")), orphan.Held)
	w.answer = Answer{Process: "new", Complete: true}
	p.Round(t.Context())
	is.Equal(p.standing(of("new")), orphan.Held)
	is.Equal(p.standing(of("old")), orphan.Gone)
}

// TestPollerIsCompleteWithAReportOnEachEngine counts reports of other nodes too.
func TestPollerIsCompleteWithAReportOnEachEngine(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	p := w.poller()
	is.True(!p.Complete())
	p.Round(t.Context()) // reads its own engine
	is.True(!p.Complete())
	p.Observe(Observation{Address: "10.0.0.2:1", At: time.Unix(1, 0), Load: Load{Incarnation: 1}})
	is.True(p.Complete())
}

func TestStandingOfAnOwner(t *testing.T) {
	stream := func(node, process string) orphan.Stream {
		return orphan.Stream{ID: "a", Owner: orphan.Owner{Node: node, Process: process}}
	}
	for _, test := range []struct {
		name   string
		stream orphan.Stream
		world  *world
		want   orphan.Standing
	}{
		{"own and held", stream("self", "2"), &world{holds: true}, orphan.Held},
		{"own and ended", stream("self", "2"), &world{}, orphan.Unlisted},
		{"own, of the last start", stream("self", "1"), &world{holds: true}, orphan.Gone},
		{"dead", stream("peer", "1"), &world{standing: orphan.Gone}, orphan.Gone},
		{"not heard", stream("peer", "1"), &world{standing: orphan.Silent, answer: Answer{Process: "9"}}, orphan.Silent},
		{"alive, not asked yet", stream("peer", "1"), &world{standing: orphan.Held}, orphan.Held},
		{"alive and held", stream("peer", "1"), &world{standing: orphan.Held, answer: Answer{Process: "1"}}, orphan.Held},
		{"alive and not held", stream("peer", "1"), &world{standing: orphan.Held, answer: Answer{Process: "1", Unheld: []string{"a"}}}, orphan.Unlisted},
		{"restarted", stream("peer", "1"), &world{standing: orphan.Held, answer: Answer{Process: "2"}}, orphan.Gone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.standing, w.holds, w.answer = test.world.standing, test.world.holds, test.world.answer
			p := w.poller()
			p.Round(t.Context())
			is.Equal(p.standing(test.stream), test.want)
		})
	}
}

func TestParseLoad(t *testing.T) {
	is := is.New(t)
	load, err := ParseLoad([]byte(`{"incarnation":7,"queue":1,"running":-2,"streams":[{"id":"a","owner":"n/1","age_ms":1500}]}`))
	is.NoErr(err)
	is.Equal(load.Incarnation, int64(7))
	is.Equal(load.Running, 0)
	is.Equal(load.Streams, []orphan.Stream{{ID: "a", Owner: orphan.Owner{Node: "n", Process: "1"}, Age: 1500 * time.Millisecond}})
	is.True(load.Models == nil) // takes no orders
	_, err = ParseLoad([]byte(`<html>`))
	is.True(err != nil)
}

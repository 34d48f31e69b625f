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

// simulation implements all dependencies of a poller.
type simulation struct {
	mutex     sync.Mutex
	tables    *tables.Tables
	loads     map[string]Load
	owned     map[string]bool
	standing  orphan.OwnerState
	holds     bool
	response  Response
	canceled  []string
	published []Observation
	reports   []scheduling.Report
	cold      []string
	// started identifies the peer's process.
	started uint64
}

func newSimulation() *simulation {
	return &simulation{
		tables: &tables.Tables{Upstreams: map[string]*tables.Upstream{
			"w/production/e": {ID: "w/production/e", Address: "10.0.0.1:1", DataCentre: "dc", Models: []string{"m"}},
			"w/trial/e":      {ID: "w/trial/e", Address: "10.0.0.1:1", DataCentre: "dc", Models: []string{"n"}},
			"w/production/f": {ID: "w/production/f", Address: "10.0.0.2:1", DataCentre: "dc"},
			"w/production/s": {ID: "w/production/s", Address: "10.0.0.3:1", Kind: tables.ServiceUpstream},
		}},
		loads: map[string]Load{"10.0.0.1:1": {Incarnation: 1}, "10.0.0.2:1": {Incarnation: 1}},
		owned: map[string]bool{"poller/10.0.0.1:1": true},
	}
}

func (s *simulation) Load(address string, _ time.Time) (Load, error) {
	load, ok := s.loads[address]
	if !ok {
		return Load{}, ErrReportUnavailable
	}
	return load, nil
}

func (s *simulation) Cancel(_, id string, _ time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.canceled = append(s.canceled, id)
	return false
}

func (s *simulation) Owns(role, _ string) bool { return s.owned[role] }

func (s *simulation) Peers() []Peer {
	return []Peer{{Name: "peer", DataCentre: "dc", Started: s.started}}
}

func (s *simulation) Standing(orphan.Owner) orphan.OwnerState { return s.standing }

func (s *simulation) Holds(string) bool { return s.holds }

func (s *simulation) Self() orphan.Owner { return orphan.Owner{Node: "self", Process: "2"} }

func (s *simulation) Publish(_ context.Context, _ Peer, observations []Observation, _ []string) (Response, error) {
	s.published = append(s.published, observations...)
	return s.response, nil
}

func (s *simulation) Observe(report scheduling.Report) { s.reports = append(s.reports, report) }

func (s *simulation) Tables() *tables.Tables { return s.tables }

func (s *simulation) poller() *Poller {
	return NewPoller(Config{
		Engines: s, Canceler: s, Members: s, Publisher: s, Scheduler: s,
		Metrics: telemetry.NewMetrics(), Logger: zerolog.Nop(),
		ColdStart: func(id string) { s.cold = append(s.cold, id) },
	})
}

func TestRoundPollsAssignedEnginesAndPublishes(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.loads["10.0.0.1:1"] = Load{Incarnation: 1, Queue: 1, Running: 2, KVTokens: 3, Draining: true}
	p := s.poller()
	p.Round(t.Context())
	is.Equal(len(s.reports), 2) // one for each lane of the one engine it polls
	is.Equal(s.reports[0].UpstreamID, "w/production/e")
	is.Equal(s.reports[1].UpstreamID, "w/trial/e")
	is.True(s.reports[0].Draining)
	is.Equal(s.reports[0].Running+s.reports[0].Waiting+s.reports[0].KVTokens, 6)
	is.Equal(len(s.published), 1)
	s.owned = nil
	p.Round(t.Context())
	is.Equal(len(s.reports), 2) // the role has moved
	is.Equal(len(s.published), 1)
}

func TestEngineRestartIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	p := s.poller()
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(len(s.cold), 0)
	s.loads["10.0.0.1:1"] = Load{Incarnation: 2}
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(s.cold, []string{"w/production/e", "w/trial/e"})
	late := Observation{Address: "10.0.0.1:1", At: time.Now().Add(-time.Minute), Load: Load{Incarnation: 1}}
	p.Observe(late)
	is.Equal(len(s.cold), 2) // an older report is ignored
}

func TestOrphansAreCanceledUntilGone(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.loads["10.0.0.1:1"] = Load{Streams: []orphan.Stream{{ID: "a", Owner: orphan.Owner{Node: "dead", Process: "1"}}}}
	s.standing = orphan.Gone
	p := s.poller()
	p.Round(t.Context())
	is.Equal(len(s.canceled), 0)
	p.detectors["10.0.0.1:1"].Detect(time.Now().Add(-orphan.GoneMargin), nil, p.streamStanding)
	p.detectors["10.0.0.1:1"].Detect(time.Now().Add(-orphan.GoneMargin), s.loads["10.0.0.1:1"].Streams, p.streamStanding)
	p.Round(t.Context())
	p.Round(t.Context())
	is.Equal(s.canceled, []string{"a", "a"})
	s.loads["10.0.0.1:1"] = Load{}
	p.Round(t.Context())
	is.Equal(len(s.canceled), 2)
}

func TestOutboxSendsOtherDataCentresOnlyChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	box := &outbox{}
	near, far := Peer{Name: "near", DataCentre: "dc"}, Peer{Name: "far", DataCentre: "elsewhere"}
	assigned := map[string]string{"e": "dc"}
	load := Load{Incarnation: 1, Running: 1}
	names := func() []string {
		var names []string
		for _, one := range box.messages(now, []Peer{near, far}, []Observation{{Address: "e", Load: load}}, assigned) {
			names = append(names, one.peer.Name)
		}
		return names
	}
	send := func() {
		for _, one := range box.messages(now, []Peer{near, far}, []Observation{{Address: "e", Load: load}}, assigned) {
			box.acknowledge(now, one)
		}
	}
	is.Equal(names(), []string{"near", "far"})
	is.Equal(names(), []string{"near", "far"}) // resent until acknowledged
	send()
	load.Running = 2
	is.Equal(len(names()), 0)
	now = now.Add(LocalInterval)
	is.Equal(names(), []string{"near"}) // load alone is sent only within the data centre
	for _, change := range []func(){
		func() { load.Draining = true },
		func() { load.Incarnation++ },
		func() { load.Models = []string{} },
		func() { load.Models = []string{"m"} },
		func() { now = now.Add(resendInterval) },
		func() { box.messages(now, []Peer{near, far}, nil, nil) }, // another node had the role in between
	} {
		change()
		is.True(slices.Contains(names(), "far"))
		send()
		is.True(!slices.Contains(names(), "far"))
	}
}

// TestOutboxResendsToRestartedPeer restarts a peer under its name so quickly that
// it never disappears from the list of peers.
func TestOutboxResendsToRestartedPeer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	box := &outbox{}
	peer := Peer{Name: "far", DataCentre: "elsewhere", Started: 1}
	leaving := []Observation{{Address: "e", Load: Load{Incarnation: 1, Draining: true}}}
	publish := func() int {
		messages := box.messages(now, []Peer{peer}, leaving, map[string]string{"e": "dc"})
		for _, one := range messages {
			box.acknowledge(now, one)
		}
		return len(messages)
	}
	is.Equal(publish(), 1)
	is.Equal(publish(), 0) // already acknowledged
	peer.Started++
	is.Equal(publish(), 1) // the new process has acknowledged nothing
	is.Equal(publish(), 0)
}

// TestResponseOfOldProcessDoesNotApplyToNewOne guards against applying the last
// response of a peer's previous process to the streams of the process that
// restarted under the same name.
func TestResponseOfOldProcessDoesNotApplyToNewOne(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	s.standing = orphan.Held
	s.response = Response{Process: "old", Complete: true}
	p := s.poller()
	p.Round(t.Context())
	of := func(process string) orphan.Stream {
		return orphan.Stream{ID: "s", Owner: orphan.Owner{Node: "peer", Process: process}}
	}
	is.Equal(p.streamStanding(of("new")), orphan.Gone) // by the peer's response
	s.started++
	s.response = Response{} // the new process does not respond
	p.Round(t.Context())
	is.Equal(p.streamStanding(of("new")), orphan.Held)
	s.response = Response{Process: "new", Complete: true}
	p.Round(t.Context())
	is.Equal(p.streamStanding(of("new")), orphan.Held)
	is.Equal(p.streamStanding(of("old")), orphan.Gone)
}

// TestPollerCompleteWhenEachEngineHasReport counts reports from other nodes too.
func TestPollerCompleteWhenEachEngineHasReport(t *testing.T) {
	is := is.New(t)
	s := newSimulation()
	p := s.poller()
	is.True(!p.Complete())
	p.Round(t.Context()) // polls its assigned engine
	is.True(!p.Complete())
	p.Observe(Observation{Address: "10.0.0.2:1", At: time.Unix(1, 0), Load: Load{Incarnation: 1}})
	is.True(p.Complete())
}

func TestStreamStanding(t *testing.T) {
	stream := func(node, process string) orphan.Stream {
		return orphan.Stream{ID: "a", Owner: orphan.Owner{Node: node, Process: process}}
	}
	for _, test := range []struct {
		name       string
		stream     orphan.Stream
		simulation *simulation
		want       orphan.OwnerState
	}{
		{"own and held", stream("self", "2"), &simulation{holds: true}, orphan.Held},
		{"own and ended", stream("self", "2"), &simulation{}, orphan.NotHeld},
		{"own, of a previous process", stream("self", "1"), &simulation{holds: true}, orphan.Gone},
		{"dead", stream("peer", "1"), &simulation{standing: orphan.Gone}, orphan.Gone},
		{"unresponsive", stream("peer", "1"), &simulation{standing: orphan.Unresponsive, response: Response{Process: "9"}}, orphan.Unresponsive},
		{"alive, no response yet", stream("peer", "1"), &simulation{standing: orphan.Held}, orphan.Held},
		{"alive and held", stream("peer", "1"), &simulation{standing: orphan.Held, response: Response{Process: "1"}}, orphan.Held},
		{"alive and not held", stream("peer", "1"), &simulation{standing: orphan.Held, response: Response{Process: "1", NotHeld: []string{"a"}}}, orphan.NotHeld},
		{"restarted", stream("peer", "1"), &simulation{standing: orphan.Held, response: Response{Process: "2"}}, orphan.Gone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation()
			s.standing, s.holds, s.response = test.simulation.standing, test.simulation.holds, test.simulation.response
			p := s.poller()
			p.Round(t.Context())
			is.Equal(p.streamStanding(test.stream), test.want)
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
	is.True(load.Models == nil) // the engine takes no orders
	_, err = ParseLoad([]byte(`<html>`))
	is.True(err != nil)
}

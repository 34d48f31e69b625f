package bench

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/bench/model"
	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/bench/virtual"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	advanceInterval = 10 * time.Millisecond
	minReportLag    = 250 * time.Millisecond
	usualReportLag  = 750 * time.Millisecond
	maxConfigureLag = 2 * time.Second
	// maxNewWork is how long a data centre that was taken out may receive new work.
	maxNewWork = 5 * time.Second
	// maxDrain is how long a run may last after the last arrival.
	maxDrain = 35 * time.Minute
)

// epoch turns virtual time into the scheduler's.
var epoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// site is everything in one run.
type site struct {
	config    Config
	loop      *virtual.Loop
	network   *rand.Rand
	faults    *rand.Rand
	document  *environment.Document
	version   uint64
	out       map[string]bool
	outSince  map[string]time.Duration
	nodes     []*node
	upstreams map[string]*upstream
	engines   []*upstream
	services  []*upstream
	// arrivals, live and canceling count what the run waits for.
	arrivals, live, canceling int
	finished                  bool
	recorder                  *recorder
}

// upstream is an engine or a service process at its place.
type upstream struct {
	id, dataCentre string
	engine         *model.Engine
	service        *model.Service
}

func newSite(config Config) (*site, error) {
	document, err := config.Deployment.document()
	if err != nil {
		return nil, err
	}
	document.PrefixAffinity = cmp.Or(config.Affinity, document.PrefixAffinity)
	s := &site{
		config:    config,
		loop:      new(virtual.Loop),
		network:   rand.New(rand.NewPCG(config.Seed, 2)),
		faults:    rand.New(rand.NewPCG(config.Seed, 3)),
		document:  document,
		out:       map[string]bool{},
		outSince:  map[string]time.Duration{},
		upstreams: map[string]*upstream{},
		recorder:  newRecorder(),
	}
	built := build(document, 0, nil)
	s.addUpstreams(built)
	s.addNodes(built)
	s.addArrivals()
	s.planFaults()
	s.loop.After(0, s.advance)
	s.loop.After(s.config.Deployment.ReportInterval, s.report)
	return s, nil
}

func (s *site) addUpstreams(built *tables.Tables) {
	for _, listed := range built.Plans[0].Upstreams {
		added := &upstream{id: listed.ID, dataCentre: listed.DataCentre}
		if listed.Kind == tables.ServiceUpstream {
			added.service = model.NewService(s.loop)
			s.services = append(s.services, added)
		} else {
			added.engine = model.NewEngine(s.loop)
			s.engines = append(s.engines, added)
		}
		s.upstreams[listed.ID] = added
	}
}

func (s *site) addNodes(built *tables.Tables) {
	for i := range s.config.Deployment.Nodes {
		dataCentre := dataCentreName(i % s.config.Deployment.DataCentres)
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(100+i)))
		added := &node{
			site:       s,
			number:     i,
			dataCentre: dataCentre,
			policy:     policy.New(s.config.Policy, dataCentre, random),
			calls:      map[string]*call{},
		}
		added.policy.SetPosition(i/s.config.Deployment.DataCentres, s.config.Deployment.nodesIn(i))
		added.configure(built)
		s.nodes = append(s.nodes, added)
	}
}

func (s *site) addArrivals() {
	deployment := s.config.Deployment
	wanted := workload.Config{
		Seed:                  s.config.Seed,
		Duration:              deployment.Duration,
		PromptTokensPerSecond: deployment.Load * float64(deployment.Engines*model.PrefillTokensPerSecond),
		Nodes:                 deployment.Nodes,
		Organisations:         deployment.Organisations,
		DataCentres:           deployment.DataCentres,
		Sharing:               deployment.Sharing,
	}
	if s.config.Scenario == Random {
		wanted.LeavingShare = leavingShare
	}
	for _, request := range workload.Generate(wanted) {
		if s.config.Scenario == ShortOnly && !request.Call && !request.IsShort() {
			continue
		}
		s.arrivals++
		s.loop.At(request.At, func() { s.nodes[request.Node].accept(request) })
	}
}

// run runs until every request has ended and the upstreams are idle.
func (s *site) run() {
	for !s.finished && s.loop.Step() {
	}
	s.checkEnd()
}

// advance looks at the waiting requests of all nodes and ends the run.
func (s *site) advance() {
	for _, node := range s.nodes {
		node.handleAll(node.policy.Advance(s.now()))
	}
	if s.isIdle() || s.loop.Now() > s.config.Deployment.Duration+maxDrain {
		s.finished = true
		return
	}
	s.loop.After(advanceInterval, s.advance)
}

func (s *site) isIdle() bool {
	if s.arrivals > 0 || s.live > 0 || s.canceling > 0 {
		return false
	}
	for _, upstream := range s.engines {
		if upstream.engine.Running() > 0 {
			return false
		}
	}
	return true
}

func (s *site) now() time.Time {
	return epoch.Add(s.loop.Now())
}

// setOut takes a data centre out or brings it back with cold upstreams.
func (s *site) setOut(dataCentre string, out bool) {
	s.out = maps.Clone(s.out)
	delete(s.out, dataCentre)
	if out {
		s.out[dataCentre] = true
		s.outSince[dataCentre] = s.loop.Now()
	} else {
		s.cool(dataCentre)
	}
	s.version++
	built := build(s.document, s.version, s.out)
	for _, node := range s.nodes {
		lag := time.Duration(s.network.Int64N(int64(maxConfigureLag)))
		s.loop.After(lag, func() { node.configure(built) })
	}
}

func (s *site) cool(dataCentre string) {
	for _, upstream := range s.upstreams {
		if upstream.dataCentre != dataCentre {
			continue
		}
		if upstream.engine != nil {
			upstream.engine.GoCold(s.loop.Now())
		} else {
			upstream.service.GoCold(s.loop.Now())
		}
	}
}

// noteNewWork records work that reaches an upstream of a data centre that is out.
func (s *site) noteNewWork(reached *upstream) {
	if !s.out[reached.dataCentre] {
		return
	}
	since := s.loop.Now() - s.outSince[reached.dataCentre]
	s.recorder.lastNewWork = max(s.recorder.lastNewWork, since)
	if since > maxNewWork {
		s.breach("%s received new work %v after it was taken out", reached.dataCentre, since)
	}
}

// report sends every engine's load to the nodes, late.
func (s *site) report() {
	for _, upstream := range s.engines {
		load, ok := upstream.engine.Load()
		if !ok {
			continue
		}
		report := policy.Report{
			UpstreamID:  upstream.id,
			Running:     load.Running,
			KVTokens:    load.KVTokens,
			Incarnation: load.Incarnation,
			Made:        s.now(),
		}
		s.loop.After(s.reportLag(), func() { s.deliver(report) })
	}
	if !s.finished {
		s.loop.After(s.config.Deployment.ReportInterval, s.report)
	}
}

func (s *site) deliver(report policy.Report) {
	for _, node := range s.nodes {
		node.policy.Observe(s.now(), report)
	}
}

func (s *site) reportLag() time.Duration {
	longest := usualReportLag
	if s.config.Scenario == Random {
		longest = maxReportLag
	}
	return minReportLag + time.Duration(s.network.Int64N(int64(longest-minReportLag)))
}

func (s *site) breach(format string, args ...any) {
	s.recorder.breaches = append(s.recorder.breaches, fmt.Sprintf(format, args...))
}

// checkEnd asserts what must hold once all requests have ended.
func (s *site) checkEnd() {
	if !s.isIdle() {
		s.breach("%d requests, %d cancels not ended", s.live, s.canceling)
	}
	for _, node := range s.nodes {
		if err := node.policy.Check(); err != nil {
			s.breach("node %d: %v", node.number, err)
		}
		if node.policy.Running() != 0 || node.policy.Waiting() != 0 {
			s.breach("node %d still holds %d running and %d waiting requests",
				node.number, node.policy.Running(), node.policy.Waiting())
		}
	}
	for _, upstream := range s.engines {
		s.recorder.fellOver += upstream.engine.FellOver
		if upstream.engine.PeakKVTokens() > model.EngineKVTokens {
			s.recorder.overruns++
			s.breach("%s ran over its memory", upstream.id)
		}
		if load, _ := upstream.engine.Load(); load.KVTokens != 0 {
			s.breach("%s still holds %d tokens", upstream.id, load.KVTokens)
		}
	}
	for _, upstream := range s.services {
		s.recorder.fellOver += upstream.service.FellOver
	}
}

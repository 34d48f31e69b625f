package observe

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"github.com/wigeontiller/wigeontiller/orphan"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	pollInterval = time.Second
	// pollTimeout bounds each poll, each cancel and all publishing of a round.
	pollTimeout        = 800 * time.Millisecond
	maxConcurrentCalls = 16
	// maxCancelsPerRound limits the cancels sent to one engine in one round.
	maxCancelsPerRound = 32
)

// EngineClient fetches load reports from engines.
type EngineClient interface {
	// Load fetches a report.
	Load(address string, deadline time.Time) (Load, error)
}

// Canceler ends streams.
type Canceler interface {
	// Cancel cancels a stream and reports whether the engine no longer lists it.
	Cancel(address, streamID string, deadline time.Time) bool
}

// Members provides the poller's view of the other nodes.
type Members interface {
	// Owns reports whether this node has a role at an upstream in the data centre.
	Owns(role, dataCentre string) bool
	// Peers returns the other live nodes.
	Peers() []Peer
	// Standing returns the standing of an owner, given by node name and process.
	Standing(owner orphan.Owner) orphan.OwnerState
	// Holds reports whether a stream of this process has not ended.
	Holds(streamID string) bool
	// Self returns this process as an owner.
	Self() orphan.Owner
}

// Publisher sends observations to a peer.
type Publisher interface {
	// Publish sends observations and queries which of the streams the peer holds.
	Publish(ctx context.Context, to Peer, observations []Observation, queriedStreams []string) (Response, error)
}

// Scheduler receives load reports.
type Scheduler interface {
	Observe(report scheduling.Report)
	Tables() *tables.Tables
}

// Config holds a poller's dependencies.
type Config struct {
	Engines   EngineClient
	Canceler  Canceler
	Members   Members
	Publisher Publisher
	Scheduler Scheduler
	Metrics   *telemetry.Metrics
	Logger    zerolog.Logger
	// ColdStart is called when a report shows that an engine has restarted; it may
	// be nil.
	ColdStart func(upstreamID string)
}

// Poller polls the load reports of the engines that this node is the poller of.
//
// Lock order: mutex is a leaf; it guards tables, targets and latest only.
type Poller struct {
	config    Config
	detectors map[string]*orphan.Detector
	outbox    outbox
	responses responseCache

	mutex   sync.Mutex
	tables  *tables.Tables
	targets map[string]Target
	latest  map[string]Observation
}

// NewPoller returns a poller without reports.
func NewPoller(config Config) *Poller {
	return &Poller{config: config, detectors: map[string]*orphan.Detector{}, latest: map[string]Observation{}}
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	periodic.RunNow(ctx, pollInterval, func() { p.Round(ctx) })
}

// Round polls each assigned engine once, publishes the reports and cancels orphaned
// streams. It is called from one goroutine.
func (p *Poller) Round(ctx context.Context) {
	assigned := p.assignedTargets()
	observations := p.fetchReports(assigned)
	for _, one := range observations {
		p.Observe(one)
	}
	p.publish(ctx, assigned, observations)
	p.cancelOrphans(assigned, observations)
}

// assignedTargets returns the engines that this node polls, by address.
func (p *Poller) assignedTargets() map[string]Target {
	assigned := map[string]Target{}
	for address, target := range p.currentTargets() {
		if p.config.Members.Owns(target.Role(), target.DataCentre) {
			assigned[address] = target
		}
	}
	return assigned
}

// currentTargets returns the engines of the tables in force, by address. Latest
// reports of other engines are dropped.
func (p *Poller) currentTargets() map[string]Target {
	current := p.config.Scheduler.Tables()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current == p.tables && p.targets != nil {
		return p.targets
	}
	p.tables = current
	p.targets = map[string]Target{}
	for _, target := range Targets(current) {
		p.targets[target.Address] = target
	}
	for address := range p.latest {
		if _, kept := p.targets[address]; !kept {
			delete(p.latest, address)
		}
	}
	return p.targets
}

func (p *Poller) fetchReports(assigned map[string]Target) []Observation {
	var mutex sync.Mutex
	var observations []Observation
	workers := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for address := range assigned {
		workers.Go(func() {
			at := time.Now()
			load, err := p.config.Engines.Load(address, at.Add(pollTimeout))
			if err != nil {
				p.config.Metrics.Count("wigeontiller_reports_missed_total", 1)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			observations = append(observations, Observation{Address: address, At: at, Load: load})
		})
	}
	workers.Wait()
	return observations
}

// Observe passes a report that this or another node fetched to the scheduler.
func (p *Poller) Observe(o Observation) {
	target, known := p.currentTargets()[o.Address]
	if !known {
		return
	}
	restarted := p.recordLatest(o)
	for _, report := range target.schedulerReports(o) {
		p.config.Scheduler.Observe(report)
		if restarted && p.config.ColdStart != nil {
			p.config.ColdStart(report.UpstreamID)
		}
	}
}

// recordLatest stores the report if it is newer than the latest one and reports
// whether the engine restarted in between.
func (p *Poller) recordLatest(o Observation) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before, seen := p.latest[o.Address]
	if seen && !o.At.After(before.At) {
		return false
	}
	p.latest[o.Address] = o
	return seen && before.Load.Incarnation != 0 && o.Load.Incarnation != before.Load.Incarnation
}

// Latest returns the newest report of an engine.
func (p *Poller) Latest(address string) (Observation, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest, ok := p.latest[address]
	return latest, ok
}

// Complete reports whether there is a report on every engine of the tables in force.
func (p *Poller) Complete() bool {
	targets := p.currentTargets()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range targets {
		if _, reported := p.latest[address]; !reported {
			return false
		}
	}
	return true
}

func (p *Poller) publish(ctx context.Context, assigned map[string]Target, observations []Observation) {
	dataCentres := map[string]string{}
	for address, target := range assigned {
		dataCentres[address] = target.DataCentre
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	peers := p.config.Members.Peers()
	p.responses.prune(peers)
	messages := p.outbox.messages(time.Now(), peers, observations, dataCentres)
	responses := make([]Response, len(messages))
	workers := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for i := range messages {
		messages[i].queriedStreams = streamsToQuery(messages[i].peer, observations)
		workers.Go(func() { responses[i] = p.send(ctx, messages[i]) })
	}
	workers.Wait()
	for i, one := range messages {
		if responses[i].Complete {
			p.outbox.acknowledge(time.Now(), one)
		}
		p.responses.store(one.peer, responses[i])
	}
}

// send returns the response to a message, or a zero response on failure.
func (p *Poller) send(ctx context.Context, one message) Response {
	response, err := p.config.Publisher.Publish(ctx, one.peer, one.observations, one.queriedStreams)
	if err != nil {
		p.config.Metrics.Count("wigeontiller_reports_untold_total", 1)
		return Response{}
	}
	return response
}

func (p *Poller) cancelOrphans(assigned map[string]Target, observations []Observation) {
	detectors := map[string]*orphan.Detector{}
	workers := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, one := range observations {
		detector := p.detectors[one.Address]
		if detector == nil {
			detector = &orphan.Detector{}
		}
		detectors[one.Address] = detector
		orphans := detector.Detect(time.Now(), one.Load.Streams, p.streamStanding)
		for _, id := range orphans[:min(len(orphans), maxCancelsPerRound)] {
			workers.Go(func() { p.cancel(one.Address, id) })
		}
	}
	workers.Wait()
	for address := range assigned {
		if detectors[address] == nil && p.detectors[address] != nil {
			detectors[address] = p.detectors[address]
		}
	}
	p.detectors = detectors
}

func (p *Poller) cancel(address, id string) {
	gone := p.config.Canceler.Cancel(address, id, time.Now().Add(pollTimeout))
	p.config.Metrics.Count("wigeontiller_orphans_canceled_total", 1)
	p.config.Logger.Warn().Str("attempt_id", id).Str("address", address).Bool("gone", gone).Msg("orphan canceled")
}

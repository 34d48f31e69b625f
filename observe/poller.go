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
	// pollTimeout bounds a read, a cancel and a letter each.
	pollTimeout = 800 * time.Millisecond
	workers     = 16
	// cancelsPerRound bounds the cancels at one engine in one round.
	cancelsPerRound = 32
)

// Engines are the calls to engines.
type Engines interface {
	// Load reads a report.
	Load(address string, deadline time.Time) (Load, error)
}

// Canceler ends streams.
type Canceler interface {
	// Cancel ends a stream and reports whether the engine's list shows it gone.
	Cancel(address, streamID string, deadline time.Time) bool
}

// Members is what the poller needs to know of the other nodes.
type Members interface {
	// Owns reports whether a role at an upstream of the data centre falls to this node.
	Owns(role, dataCentre string) bool
	// Peers returns the other live nodes.
	Peers() []Peer
	// Standing tells what is known of a node, by its name and process.
	Standing(owner orphan.Owner) orphan.Standing
	// Holds reports whether a stream of this process has not ended.
	Holds(streamID string) bool
	// Self names this process.
	Self() orphan.Owner
}

// Teller hands observations on to a peer.
type Teller interface {
	// Tell hands observations on and asks which of the streams the peer holds.
	Tell(ctx context.Context, to Peer, observations []Observation, asked []string) (Answer, error)
}

// Scheduler takes reports in.
type Scheduler interface {
	Observe(report scheduling.Report)
	Tables() *tables.Tables
}

// Config is what a poller works with.
type Config struct {
	Engines   Engines
	Canceler  Canceler
	Members   Members
	Teller    Teller
	Scheduler Scheduler
	Metrics   *telemetry.Metrics
	Logger    zerolog.Logger
	// ColdStart is called when an engine that this node polls has restarted.
	ColdStart func(upstreamID string)
}

// Poller reads the reports of the engines whose poller this node is.
//
// Lock order: mutex is a leaf; it guards targets, built and latest only.
type Poller struct {
	config  Config
	finders map[string]*orphan.Finder
	outbox  outbox
	peers   peerBook

	mutex   sync.Mutex
	built   *tables.Tables
	targets map[string]Target
	latest  map[string]Observation
}

// NewPoller returns a poller that has read nothing.
func NewPoller(config Config) *Poller {
	return &Poller{config: config, finders: map[string]*orphan.Finder{}, latest: map[string]Observation{}}
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	periodic.RunNow(ctx, pollInterval, func() { p.Round(ctx) })
}

// Round reads each engine once. It is called from one goroutine.
func (p *Poller) Round(ctx context.Context) {
	mine := p.mine()
	observations := p.read(mine)
	for _, one := range observations {
		p.Observe(one)
	}
	p.tell(ctx, mine, observations)
	p.cancelOrphans(mine, observations)
}

// mine returns the engines that this node polls, by address.
func (p *Poller) mine() map[string]Target {
	mine := map[string]Target{}
	for address, target := range p.known() {
		if p.config.Members.Owns(target.Role(), target.DataCentre) {
			mine[address] = target
		}
	}
	return mine
}

// known returns the engines of the tables in force, by address.
func (p *Poller) known() map[string]Target {
	built := p.config.Scheduler.Tables()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if built == p.built && p.targets != nil {
		return p.targets
	}
	p.built = built
	p.targets = map[string]Target{}
	for _, target := range Targets(built) {
		p.targets[target.Address] = target
	}
	for address := range p.latest {
		if _, kept := p.targets[address]; !kept {
			delete(p.latest, address)
		}
	}
	return p.targets
}

func (p *Poller) read(mine map[string]Target) []Observation {
	var mutex sync.Mutex
	var observations []Observation
	round := pool.New().WithMaxGoroutines(workers)
	for address := range mine {
		round.Go(func() {
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
	round.Wait()
	return observations
}

// Observe takes in what this node or another one read.
func (p *Poller) Observe(o Observation) {
	target, known := p.known()[o.Address]
	if !known {
		return
	}
	restarted := p.keep(o)
	for _, report := range target.reports(o) {
		p.config.Scheduler.Observe(report)
		if restarted && p.config.ColdStart != nil {
			p.config.ColdStart(report.UpstreamID)
		}
	}
}

// keep notes the latest report and tells whether the engine restarted since.
func (p *Poller) keep(o Observation) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before, seen := p.latest[o.Address]
	if seen && !o.At.After(before.At) {
		return false
	}
	p.latest[o.Address] = o
	return seen && before.Load.Incarnation != 0 && o.Load.Incarnation != before.Load.Incarnation
}

// Latest returns the newest report on an engine.
func (p *Poller) Latest(address string) (Observation, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest, ok := p.latest[address]
	return latest, ok
}

// Complete reports whether there is a report on every engine of the tables in force.
func (p *Poller) Complete() bool {
	targets := p.known()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address := range targets {
		if _, reported := p.latest[address]; !reported {
			return false
		}
	}
	return true
}

func (p *Poller) tell(ctx context.Context, mine map[string]Target, observations []Observation) {
	dataCentres := map[string]string{}
	for address, target := range mine {
		dataCentres[address] = target.DataCentre
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	peers := p.config.Members.Peers()
	p.peers.forget(peers)
	letters := p.outbox.letters(time.Now(), peers, observations, dataCentres)
	answers := make([]Answer, len(letters))
	round := pool.New().WithMaxGoroutines(workers)
	for i := range letters {
		letters[i].asked = askedOf(letters[i].peer, observations)
		round.Go(func() { answers[i] = p.send(ctx, letters[i]) })
	}
	round.Wait()
	for i, one := range letters {
		if answers[i].Complete {
			p.outbox.acknowledge(time.Now(), one)
		}
		p.peers.note(one.peer, answers[i])
	}
}

// send returns the answer to a letter, which is zero when there was none.
func (p *Poller) send(ctx context.Context, one letter) Answer {
	answer, err := p.config.Teller.Tell(ctx, one.peer, one.observations, one.asked)
	if err != nil {
		p.config.Metrics.Count("wigeontiller_reports_untold_total", 1)
		return Answer{}
	}
	return answer
}

func (p *Poller) cancelOrphans(mine map[string]Target, observations []Observation) {
	finders := map[string]*orphan.Finder{}
	round := pool.New().WithMaxGoroutines(workers)
	for _, one := range observations {
		finder := p.finders[one.Address]
		if finder == nil {
			finder = &orphan.Finder{}
		}
		finders[one.Address] = finder
		orphans := finder.Find(time.Now(), one.Load.Streams, p.standing)
		for _, id := range orphans[:min(len(orphans), cancelsPerRound)] {
			round.Go(func() { p.cancel(one.Address, id) })
		}
	}
	round.Wait()
	for address := range mine {
		if finders[address] == nil && p.finders[address] != nil {
			finders[address] = p.finders[address]
		}
	}
	p.finders = finders
}

func (p *Poller) cancel(address, id string) {
	gone := p.config.Canceler.Cancel(address, id, time.Now().Add(pollTimeout))
	p.config.Metrics.Count("wigeontiller_orphans_canceled_total", 1)
	p.config.Logger.Warn().Str("attempt_id", id).Str("address", address).Bool("gone", gone).Msg("orphan canceled")
}

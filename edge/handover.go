package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/loadshare"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/platform"
	"github.com/wigeontiller/wigeontiller/reach"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream/directhttp"
)

const (
	// reachDialTimeout bounds the dials of one round: a round trip between distant data centres.
	reachDialTimeout = 250 * time.Millisecond
	// firstDialTimeout bounds the first dial of a round, before the others.
	firstDialTimeout = 100 * time.Millisecond
	// peerDialTimeout bounds the dialing of another node.
	peerDialTimeout = 250 * time.Millisecond
	// peerIdleTime bounds how long a connection to a node may have been idle when it is reused.
	peerIdleTime = 20 * time.Second
)

// handover finds out whether this node reaches upstreams, and hands requests over to other nodes
// while it does not. Lock order: mutex is a leaf.
type handover struct {
	follower *follow.Follower
	pool     *directhttp.Pool
	sender   *platform.PeerSender
	gate     *exchange.SchedulerRunner
	// nodes returns the other nodes.
	nodes   func() []loadshare.Node
	regions map[string]string
	logger  zerolog.Logger
	metrics *telemetry.Metrics

	mutex   sync.Mutex
	tracker *reach.Tracker
	peers   *reach.Peers
	// rounds holds the rounds of dials that are under way, by service; each is closed at its end.
	rounds map[string]chan struct{}
}

func newHandover(settings *Settings, follower *follow.Follower, gate *exchange.SchedulerRunner, pool, peerPool *directhttp.Pool, nodes func() []loadshare.Node, logger zerolog.Logger, metrics *telemetry.Metrics) *handover {
	return &handover{
		follower: follower, gate: gate, pool: pool, sender: platform.NewPeerSender(peerPool, peerIdleTime), nodes: nodes,
		regions: settings.Regions, logger: logger, metrics: metrics, tracker: reach.NewTracker(),
		peers:  reach.NewPeers(settings.Zone, settings.Regions[settings.Zone], rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		rounds: map[string]chan struct{}{},
	}
}

// CutOff implements exchange.Handover.
func (h *handover) CutOff(service string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.tracker.CutOff(service)
}

// Returning implements exchange.Handover.
func (h *handover) Returning(service string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.tracker.Returning(service)
}

// Check implements exchange.Handover.
func (h *handover) Check(ctx context.Context, service string) {
	h.mutex.Lock()
	done := h.rounds[service]
	if done == nil && h.tracker.MayCheck(bootClock(), service) {
		done = h.startRound(service)
	}
	h.mutex.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// retryAll starts a round for each service that the node is cut off from.
func (h *handover) retryAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, service := range h.tracker.Services() {
		if h.rounds[service] == nil {
			h.startRound(service)
		}
	}
}

// startRound dials some upstreams of a service in the background; the mutex is held.
func (h *handover) startRound(service string) chan struct{} {
	done := make(chan struct{})
	h.rounds[service] = done
	go func() {
		dialed, connected := h.dial(service)
		h.mutex.Lock()
		change := reach.Unchanged
		if dialed > 0 {
			change = h.tracker.RecordRound(bootClock(), service, connected > 0)
		}
		cutOff := len(h.tracker.Services())
		delete(h.rounds, service)
		h.mutex.Unlock()
		close(done)
		if change != reach.Unchanged {
			h.gate.Do(func(s *placement.Scheduler, now time.Duration) { s.SetReached(now, service, change == reach.Regained) })
		}
		switch change {
		case reach.Lost:
			h.logger.Warn().Str("service", service).Int("dialed", dialed).Msg(telemetry.LogCutOff)
		case reach.Regained:
			h.logger.Info().Str("service", service).Int("dialed", dialed).Int("connected", connected).Msg(telemetry.LogReachRegained)
		case reach.Unchanged:
		}
		h.metrics.Gauge("wigeontiller_services_cut_off", int64(cutOff))
	}()
	return done
}

// dial dials a random upstream of a service and, if that does not connect, up to reach.MaxDials - 1 others at
// the same time. Connections are kept for reuse.
func (h *handover) dial(service string) (dialed, connected int) {
	var upstreams []*fleet.Upstream
	for _, upstream := range h.follower.Current().Upstreams {
		if upstream.Service == service {
			upstreams = append(upstreams, upstream)
		}
	}
	rand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	upstreams = upstreams[:min(len(upstreams), reach.MaxDials)]
	if len(upstreams) == 0 {
		return 0, 0
	}
	if h.connects(upstreams[0]) {
		return 1, 1
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachDialTimeout)
	defer cancel()
	var group sync.WaitGroup
	var reached atomic.Int64
	for _, upstream := range upstreams[1:] {
		group.Go(func() {
			if h.pool.Connects(ctx, upstream.Address) {
				reached.Add(1)
				// One is enough.
				cancel()
			}
		})
	}
	group.Wait()
	return len(upstreams), int(reached.Load())
}

// connects dials one upstream.
func (h *handover) connects(upstream *fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), firstDialTimeout)
	defer cancel()
	return h.pool.Connects(ctx, upstream.Address)
}

// Send implements exchange.Handover.
func (h *handover) Send(ctx context.Context, attempt *exchange.Attempt, tried []string) (exchange.PeerReply, string, error) {
	nodes := h.nodes()
	candidates := make([]reach.Peer, len(nodes))
	for i, node := range nodes {
		candidates[i] = reach.Peer{Name: node.Name, Zone: node.Zone, Region: h.regions[node.Zone]}
	}
	h.mutex.Lock()
	chosen, ok := h.peers.Choose(bootClock(), candidates, attempt.Request.Route.Regions, tried)
	if ok {
		h.peers.Begin(chosen.Name)
	}
	h.mutex.Unlock()
	if !ok {
		return nil, "", exchange.ErrNoPeer
	}
	address := ""
	for _, node := range nodes {
		if node.Name == chosen.Name {
			address = node.Address.String()
		}
	}
	end := sync.OnceFunc(func() { h.end(chosen.Name) })
	reply, err := h.sender.Send(ctx, address, attempt, end)
	if err != nil {
		end()
		return nil, chosen.Name, err
	}
	return reply, chosen.Name, nil
}

func (h *handover) end(node string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.peers.End(node)
}

// Refused implements exchange.Handover.
func (h *handover) Refused(node string) {
	h.logger.Info().Str("peer", node).Dur("for_ms", reach.RefusalTime).Msg(telemetry.LogPeerLeftOut)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.peers.RecordRefusal(bootClock(), node)
}

package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/blocklist"
	"github.com/wigeontiller/wigeontiller/connguard"
	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/loadshare"
	"github.com/wigeontiller/wigeontiller/memorybudget"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/platform"
	"github.com/wigeontiller/wigeontiller/reach"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream/directhttp"
)

// The errors of a node.
var (
	// ErrSettings is returned for invalid settings.
	ErrSettings = eris.New("invalid settings")
	// ErrListen is returned if the node can't listen on one of its addresses.
	ErrListen = eris.New("can't listen")
)

const (
	// dialTimeout bounds the dialing of an upstream: several round trips between data
	// centres, and one lost packet.
	dialTimeout = 400 * time.Millisecond
	// maxIdleTime bounds how long a connection to an upstream may have been idle when it
	// is reused; after that it may be dead or about to be closed.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeOnce is the same for requests that must not be sent twice.
	maxIdleTimeOnce = 300 * time.Millisecond
	// sweepInterval is how often old idle connections are closed.
	sweepInterval = 2 * time.Second
	// headerTimeout and callerIdleTimeout bound a caller's connection; both are longer
	// than the limits that operators set for callers.
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 64 << 10
	// maxAnswerBytes bounds a response that is not a stream; it is held in memory.
	maxAnswerBytes = 8 << 20
	// retryAfter is the time after which a caller should retry at another node.
	retryAfter = 300 * time.Millisecond
	// revokeMargin is how long before the end of the revocation time a node with a stale
	// view stops sending keyed requests: the time that a request takes to its upstream.
	revokeMargin = 500 * time.Millisecond
	// balancerLag is how long a node that shuts down still accepts requests: the balancer
	// checks every second and removes a node after two failed checks.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit itself.
	exitMargin = 500 * time.Millisecond
	// drainIdleTime is how long callers must have sent nothing before a node stops early:
	// a request may still be arriving in parts.
	drainIdleTime = 500 * time.Millisecond
	// finalAnswerMargin is how long before the end of draining a node starts to refuse
	// requests whose response has not begun.
	finalAnswerMargin = 400 * time.Millisecond
	// closeIdleTimeout and shutdownTimeout are the parts of exitMargin in which requests that were read at the
	// end get their responses.
	closeIdleTimeout = 250 * time.Millisecond
	shutdownTimeout  = 50 * time.Millisecond
	// maxReadyViewAge is the view age from which a node is not ready if a peer has a
	// fresher view: one failed poll and the next one.
	maxReadyViewAge = 2500 * time.Millisecond
	// minPrefillChunkMs is the prefill time down to which prompts are split: a pass
	// without prefill takes about as long.
	minPrefillChunkMs = 50
	// maxPrefillEngines bounds the engines that prefill one prompt: the lead and 16 helpers.
	maxPrefillEngines = 17
	// maxPassMs is the longest pass that prefill of long prompts may cause where routes have no
	// pause target: the tightest one of the users' first sites, 250 ms, less the prefill of a
	// short prompt.
	maxPassMs = 220
	// firstPollDelay is the time in which a node that starts reads the list of nodes; until
	// then each would take itself for a publisher.
	firstPollDelay = 250 * time.Millisecond
	// warmupRateShare is the used fraction of the allowed request rate of cold upstreams.
	warmupRateShare = 0.85
)

// Node is one entry node.
type Node struct {
	settings *Settings
	logger   zerolog.Logger
	metrics  *telemetry.Metrics
	// budget accounts for what others make the node hold, and guard for their connections.
	budget    *memorybudget.Budget
	guard     *connguard.Guard
	follower  *follow.Follower
	gate      *exchange.SchedulerRunner
	retries   *exchange.RetryBudget
	blocklist *blocklist.Blocklist
	agent     *loadshare.Agent
	pool      *directhttp.Pool
	// control carries polls and orders to upstreams.
	control      *directhttp.Pool
	exchange     *exchange.Exchange
	reportPoller *reportPoller
	blocks       *blockSynchronizer
	handover     *handover
	callerServer *http.Server
	readyServer  *http.Server
	// peerServer serves the requests that other nodes hand over.
	peerServer *http.Server
	// metricsServer is nil if the settings name no metrics address.
	metricsServer *http.Server
	listeners     []net.Listener
	activity      *activityListener
	draining      atomic.Bool
	// closing is true when callers' connections close with their next response.
	closing atomic.Bool
	active  atomic.Int64
}

// New returns a node that is bound to its addresses. Errors: ErrSettings, ErrListen.
func New(settings *Settings, logger zerolog.Logger) (*Node, error) {
	n := &Node{settings: settings, logger: logger.With().Str("node", settings.Name).Logger(), metrics: telemetry.NewMetrics()}
	n.budget = settings.newBudget()
	n.guard = newGuard(n.budget, n.logger, n.metrics)
	store := platform.NewStore(settings.StoreAddress, n.logger)
	store.OnInvalidRow = func() { n.metrics.Count("wigeontiller_invalid_rows_total", 1) }
	n.follower = follow.New(store, bootClock, n.logger, n.metrics)
	scheduler := placement.New(placement.Config{
		Zone: settings.Zone, Regions: settings.Regions, PrefillChunkMs: minPrefillChunkMs, MaxPrefillEngines: maxPrefillEngines, MaxPassMs: maxPassMs,
		ColdRateFactor: settings.WarmOvershoot * warmupRateShare, DrainTime: milliseconds(settings.DrainMs),
		SenderRank: func(id, zone string) (rank, nodes int, part float64) { return n.agent.SenderRank(id, zone) }, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	n.gate = exchange.NewSchedulerRunner(scheduler, bootClock, func() { n.agent.ScheduleFlush() })
	n.blocklist = blocklist.New(bootClock, n.logger, n.metrics, func() { n.agent.ScheduleFlush() })
	n.retries = &exchange.RetryBudget{
		Ratio: settings.RetryRatio, Extra: settings.RetryExtra, Window: seconds(settings.RetryWindowSeconds),
		ExtraFrom: bootClock() + loadshare.DiscoveryTime,
	}
	address, err := settings.peerAddress()
	if err != nil {
		return nil, err
	}
	n.agent, err = loadshare.Listen(loadshare.Node{Name: settings.Name, Address: address, Zone: settings.Zone, Capacity: settings.ProcessorShare}, store, n.gate, bootClock, n.logger, n.metrics)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	n.agent.OnNodeCount = n.setNodeCount
	n.agent.View, n.agent.Evidence = n.follower, n.blocklist
	n.follower.IsPublisher = n.agent.IsPublisher
	n.follower.OnStoreResponse = n.agent.PublishView
	n.follower.FirstPollDelay = firstPollDelay
	n.follower.OnEra = n.agent.Register
	n.follower.StaleCallSpacing = n.agent.StaleCallSpacing
	n.follower.OnChange = func() {
		n.gate.Configure(n.follower.Current)
		n.blocklist.ObserveUpstreams(n.follower.Current().Upstreams)
		n.setIdleTime()
		if n.follower.Current().Synced {
			n.exchange.ViewReady()
		}
	}
	n.pool = directhttp.NewPool(dialTimeout, func() { n.metrics.Count("wigeontiller_upstream_connections_total", 1) })
	n.control = directhttp.NewPool(dialTimeout, nil)
	n.handover = newHandover(settings, n.follower, n.gate, n.pool, directhttp.NewPool(peerDialTimeout, nil), n.agent.Peers, n.logger, n.metrics)
	n.exchange = exchange.New(exchange.Config{
		Scheduler: n.gate, Retries: n.retries, Blocklist: n.blocklist, Sender: platform.NewEgress(n.pool, maxIdleTime, maxIdleTimeOnce),
		Handover: n.handover,
		Memory:   platform.NewReservationClient(n.control),
		Follower: n.follower, Logger: n.logger, Metrics: n.metrics, Now: bootClock,
		Freshness: fleet.AgeLimits{
			MaxSendAge: milliseconds(settings.RevokeMs) - revokeMargin,
			MaxDenyAge: milliseconds(settings.ApplyMs),
		},
		MaxResponseBytes: maxAnswerBytes, Budget: n.budget, RetryAfter: retryAfter,
	})
	n.blocks = newBlockSynchronizer(store, n.blocklist, n.agent.IsOwner, n.logger)
	n.reportPoller = &reportPoller{
		fetcher:  platform.NewReportClient(n.control),
		follower: n.follower, gate: n.gate, isOwner: n.agent.IsOwner, notifyPeers: n.agent.ScheduleFlush, logger: n.logger, metrics: n.metrics,
		failing: map[string]bool{},
	}
	if err := n.listen(); err != nil {
		n.agent.Close()
		for _, listener := range n.listeners {
			_ = listener.Close()
		}
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	peerAddress, err := n.settings.peerAddress()
	if err != nil {
		return err
	}
	callers := n.settings.maxCallerConnections()
	ports := []struct {
		name, address string
		max           int
		endsIdle      bool
	}{
		{"callers", n.settings.CallerAddress, callers, false}, {"readiness", n.settings.ReadyAddress, maxOtherConnections, true},
		{"nodes", peerAddress.String(), callers / peerShare, false}, {"metrics", n.settings.MetricsAddress, maxOtherConnections, true},
	}
	if n.settings.MetricsAddress == "" {
		ports = ports[:len(ports)-1]
	} else {
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", n.serveMetrics)
		mux.HandleFunc(PathWhere, n.serveWhere)
		n.metricsServer = n.newSmallServer(mux)
	}
	for _, port := range ports {
		listener, err := n.guard.Listen(port.name, port.address, port.max, port.endsIdle)
		if err != nil {
			return eris.Wrap(ErrListen, err.Error())
		}
		n.listeners = append(n.listeners, listener)
	}
	n.activity = &activityListener{Listener: n.listeners[0], started: time.Now(), conns: map[*activityConn]struct{}{}}
	n.listeners[0] = n.activity
	ingress := platform.NewIngress(n.exchange)
	n.peerServer = n.newServer(n.countActive(ingress.HandoverHandler(n.agent.IsPeer, func() bool { return !n.draining.Load() })), maxHeaderBytes)
	n.callerServer = n.newServer(n.countActive(ingress), maxHeaderBytes)
	n.callerServer.ConnState = func(conn net.Conn, state http.ConnState) {
		n.guard.TrackState(conn, state)
		n.activity.trackState(conn, state)
	}
	n.readyServer = n.newSmallServer(platform.ReadyHandler(n.ready))
	return nil
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.recordMemory()
	if err := n.metrics.WritePrometheus(w); err != nil {
		n.logger.Debug().Err(err).Msg("can't write metrics")
	}
}

// countActive counts the requests that are being served in n.active.
func (n *Node) countActive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		if n.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (n *Node) setNodeCount(nodes int) {
	n.retries.SetNodes(nodes)
	n.metrics.Gauge("wigeontiller_nodes_sharing_limits", int64(nodes))
	n.exchange.SetNodeCount(nodes)
	n.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.SetNodeCount(nodes) })
	n.logger.Info().Int("nodes", nodes).Msg("nodes that share limits")
}

func (n *Node) viewAge() time.Duration { return bootClock() - n.follower.Current().FreshAt }

// ready reports whether the balancer may send new requests to this node.
func (n *Node) ready() bool {
	if n.draining.Load() || !n.follower.Current().Synced {
		return false
	}
	age := n.viewAge()
	return age < maxReadyViewAge || !n.agent.HasFresherPeer(maxReadyViewAge)
}

// Run serves until the context is done, and then drains until no request is left or the
// grace period is over. Errors: ErrListen.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info().Str("zone", n.settings.Zone).Str("callers", n.settings.CallerAddress).
		Str("store", n.settings.StoreAddress).Msg("node starts")
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { n.follower.Run(runCtx) })
	group.Go(func() { n.agent.Run(runCtx) })
	group.Go(func() { n.blocks.run(runCtx) })
	group.Go(func() { periodic.Run(runCtx, sweepInterval, func() { n.pool.Sweep(maxIdleTime) }) })
	group.Go(func() { periodic.Run(runCtx, reach.RoundInterval, n.handover.retryAll) })
	group.Go(func() { periodic.RunNow(runCtx, exchange.TickInterval, n.exchange.Tick) })
	group.Go(func() { periodic.Run(runCtx, reportInterval, func() { n.reportPoller.pollAll(runCtx) }) })
	group.Go(func() { periodic.Run(runCtx, connguard.SweepInterval, n.guard.Sweep) })
	monitor := &queueMonitor{gate: n.gate, logger: n.logger, metrics: n.metrics, consecutive: map[string]int{}}
	monitor.divisions = divisionMonitor{logger: n.logger, metrics: n.metrics, logged: map[string]placement.Division{}}
	group.Go(func() { periodic.Run(runCtx, queueCheckInterval, monitor.check) })
	failed := make(chan error, len(n.listeners))
	servers := []*http.Server{n.callerServer, n.readyServer, n.peerServer}
	if n.metricsServer != nil {
		servers = append(servers, n.metricsServer)
	}
	for i, server := range servers {
		group.Go(func() {
			if err := server.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- eris.Wrap(ErrListen, err.Error())
			}
		})
	}
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
	}
	shutDownServers(servers, sync.OnceFunc(n.exchange.LogCutRequests))
	stop()
	group.Wait()
	n.logger.Info().Err(err).Msg(telemetry.LogNodeStopped)
	return err
}

// shutDownServers lets requests that were read at the very end get their responses, for
// at most shutdownTimeout, and then closes all connections. beforeClose is called if there are any.
func shutDownServers(servers []*http.Server, beforeClose func()) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				beforeClose()
				// The end of the process would cut the remaining connections anyway.
				_ = server.Close()
			}
		})
	}
	group.Wait()
}

// drain goes on serving while the balancer removes the node, and returns when no request
// is left or the grace period less exitMargin is over.
func (n *Node) drain() {
	started := time.Now()
	end := started.Add(seconds(n.settings.GraceSeconds) - exitMargin)
	n.draining.Store(true)
	n.exchange.BeginShutdown(end.Add(-finalAnswerMargin))
	n.agent.AnnounceShutdown()
	n.logger.Info().Int64("active", n.active.Load()).Msg(telemetry.LogNodeDraining)
	time.Sleep(min(balancerLag, time.Until(end)))
	n.exchange.RejectNewStreams()
	n.closing.Store(true)
	const checkInterval = 20 * time.Millisecond
	for time.Now().Before(end) && (n.active.Load() > 0 || n.activity.idleTime() < drainIdleTime) {
		time.Sleep(checkInterval)
		if time.Until(end) < finalAnswerMargin {
			n.exchange.FailUnanswered()
		}
	}
	n.exchange.FailUnanswered()
	n.closeIdle()
	n.logger.Info().Int64("active", n.active.Load()).Dur("taken_ms", time.Since(started)).Msg("node drained")
}

// closeIdle accepts no further connections, closes those on which no request is arriving, and waits for those that are and for
// answers under way. http.Server.Shutdown closes a connection also when it has read a request but not yet begun to serve it.
func (n *Node) closeIdle() {
	// An error means that the server closes it already.
	_ = n.activity.Close()
	const checkInterval, enough = 5 * time.Millisecond, 2
	// Between two requests that were read together none is counted.
	idleChecks := 0
	for end := time.Now().Add(closeIdleTimeout); time.Now().Before(end) && idleChecks < enough; time.Sleep(checkInterval) {
		if n.activity.expireIdle() == 0 && n.active.Load() == 0 {
			idleChecks++
		} else {
			idleChecks = 0
		}
	}
}

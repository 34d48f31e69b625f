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

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/loadshare"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/platform"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream/directhttp"
)

// The errors of a node.
var (
	// ErrSettings is returned when the settings can't be used.
	ErrSettings = eris.New("settings can't be used")
	// ErrListen is returned when an address can't be listened on.
	ErrListen = eris.New("can't listen")
)

const (
	// dialTimeout bounds a new connection to an upstream: some round trips between
	// data centres, and one lost packet.
	dialTimeout = 400 * time.Millisecond
	// maxIdle bounds the age of connections to upstreams that are used again; a
	// longer idle one may have gone silent or be about to be closed.
	maxIdle = 4 * time.Second
	// onceIdle is the same for requests that may not be sent twice.
	onceIdle = 300 * time.Millisecond
	// sweepInterval is how often old idle connections are closed.
	sweepInterval = 2 * time.Second
	// headerTimeout and callerIdle bound a caller's connection; both are longer
	// than the limits that operators set for callers.
	headerTimeout = 10 * time.Second
	callerIdle    = 60 * time.Second
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// maxAnswerBytes bounds an answer that is not a stream; it is held in memory.
	maxAnswerBytes = 8 << 20
	// comeBack is when a caller should try again at another node.
	comeBack = 300 * time.Millisecond
	// revokeMargin is how long before the time at which a key must have stopped a
	// node without news stops sending: a request's way to its upstream.
	revokeMargin = 500 * time.Millisecond
	// balancerLag is how long a leaving node still accepts: the balancer asks each
	// second and takes a node out after two misses.
	balancerLag = 2500 * time.Millisecond
	// exitMargin is the part of the grace that is kept for the exit itself.
	exitMargin = 500 * time.Millisecond
	// quietEnd is how long callers must have sent nothing before a node ends early:
	// a request may still be on its way in parts.
	quietEnd = 500 * time.Millisecond
	// lastAnswers is how long before its end a node answers what has not begun.
	lastAnswers = 400 * time.Millisecond
	// lastRequests is the part of exitMargin in which requests that were read at the
	// end are answered.
	lastRequests = 300 * time.Millisecond
	// unreadyAge is the age of beliefs from which a node sends callers elsewhere if
	// another node knows better: a missed call and a new one.
	unreadyAge = 2500 * time.Millisecond
	// partMs is the reading time that prompts are split down to: a pass without
	// reading takes about as long.
	partMs = 50
	// maxParts is the most engines that one prompt may be read by: the lead and 16.
	maxParts = 17
	// passMs is the longest pass that long prompts are paced for: the tightest pause
	// target of the users' sites, 250 ms, less the reading of a short prompt.
	passMs = 220
	// warmShare is the part of the allowed rate of cold upstreams that is used.
	warmShare = 0.85
)

// Node is one node.
type Node struct {
	settings *Settings
	logger   zerolog.Logger
	metrics  *telemetry.Metrics
	follower *follow.Follower
	gate     *exchange.SchedulerRunner
	retries  *exchange.RetryBudget
	agent    *loadshare.Agent
	pool     *directhttp.Pool
	exchange *exchange.Exchange
	reports  *reports
	callers  *http.Server
	checks   *http.Server
	// measures is for metrics; nil where the settings name no address.
	measures  *http.Server
	listeners []net.Listener
	noting    *noting
	draining  atomic.Bool
	// closing is true when callers' connections end with their next answer.
	closing atomic.Bool
	active  atomic.Int64
}

// New returns a node that is bound to its addresses. Errors: ErrSettings, ErrListen.
func New(settings *Settings, logger zerolog.Logger) (*Node, error) {
	n := &Node{settings: settings, logger: logger.With().Str("node", settings.Name).Logger(), metrics: telemetry.NewMetrics()}
	store := platform.NewStore(settings.StoreAddress, n.logger)
	n.follower = follow.New(store, bootClock, n.logger, n.metrics)
	scheduler := placement.New(placement.Config{
		Zone: settings.Zone, Regions: settings.Regions, PartMs: partMs, MaxParts: maxParts, PassMs: passMs,
		WarmMargin: settings.WarmOvershoot * warmShare, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	n.gate = exchange.NewSchedulerRunner(scheduler, bootClock, func() { n.agent.Changed() })
	n.retries = &exchange.RetryBudget{Ratio: settings.RetryRatio, Extra: settings.RetryExtra, Window: seconds(settings.RetryWindowSeconds)}
	address, err := settings.peerAddress()
	if err != nil {
		return nil, err
	}
	n.agent, err = loadshare.Listen(loadshare.Node{Name: settings.Name, Address: address}, store, n.gate, bootClock, n.logger, n.metrics)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	n.agent.OnNodes = n.shareLimits
	n.agent.Beliefs = n.follower
	n.follower.Tells = n.agent.Tells
	n.follower.Told = n.agent.BeliefsChanged
	n.follower.OnChange = func() { n.gate.Configure(n.follower.Current) }
	n.pool = directhttp.NewPool(dialTimeout, func() { n.metrics.Count("wigeontiller_upstream_connections_total", 1) })
	control := directhttp.NewPool(dialTimeout, nil)
	n.exchange = exchange.New(exchange.Config{
		Scheduler: n.gate, Retries: n.retries, Sender: platform.NewEgress(n.pool, maxIdle, onceIdle),
		Memory:   platform.NewMemory(control),
		Follower: n.follower, Logger: n.logger, Metrics: n.metrics, Now: bootClock,
		Freshness: fleet.Freshness{
			RunUntil:  milliseconds(settings.RevokeMs) - revokeMargin,
			DenyUntil: milliseconds(settings.ApplyMs),
		},
		MaxResponseBytes: maxAnswerBytes, RetryAfter: comeBack,
	})
	n.reports = &reports{
		self: settings.Name, reporter: platform.NewReports(control),
		follower: n.follower, gate: n.gate, live: n.agent.Live, told: n.agent.Changed, logger: n.logger,
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
	addresses := []string{n.settings.CallerAddress, n.settings.ReadyAddress}
	if n.settings.MetricsAddress != "" {
		addresses = append(addresses, n.settings.MetricsAddress)
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", n.showMetrics)
		n.measures = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, ErrorLog: quietLog(n.logger)}
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return eris.Wrap(ErrListen, err.Error())
		}
		n.listeners = append(n.listeners, listener)
	}
	n.noting = &noting{Listener: n.listeners[0], started: time.Now()}
	n.listeners[0] = n.noting
	n.callers = &http.Server{
		Handler: n.counted(platform.NewIngress(n.exchange)), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: quietLog(n.logger), DisableGeneralOptionsHandler: true,
	}
	n.checks = &http.Server{
		Handler:           platform.ReadyHandler(n.ready),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, ErrorLog: quietLog(n.logger),
	}
	return nil
}

func (n *Node) showMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := n.metrics.WritePrometheus(w); err != nil {
		n.logger.Debug().Err(err).Msg("metrics not written")
	}
}

// counted counts the requests that are being served.
func (n *Node) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		if n.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (n *Node) shareLimits(nodes int) {
	n.retries.SetNodes(nodes)
	n.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.SetNodes(nodes) })
	n.logger.Info().Int("nodes", nodes).Msg("nodes that share limits")
}

func (n *Node) beliefsAge() time.Duration { return bootClock() - n.follower.Current().FreshAt }

// ready reports whether the balancer may send new callers.
func (n *Node) ready() bool {
	if n.draining.Load() || !n.follower.Current().Known {
		return false
	}
	age := n.beliefsAge()
	return age < unreadyAge || !n.agent.FresherPeer(unreadyAge)
}

// Run serves until the context ends, and then until nothing is left to serve or
// the grace is over.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info().Str("zone", n.settings.Zone).Str("callers", n.settings.CallerAddress).
		Str("store", n.settings.StoreAddress).Msg("node starts")
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { n.follower.Run(work) })
	group.Go(func() { n.agent.Run(work) })
	group.Go(func() { periodic.Run(work, sweepInterval, func() { n.pool.Sweep(maxIdle) }) })
	group.Go(func() { periodic.Run(work, reportInterval, func() { n.reports.askAll(work) }) })
	queue := &queueWatch{gate: n.gate, logger: n.logger, metrics: n.metrics, looks: map[string]int{}}
	group.Go(func() { periodic.Run(work, queueInterval, queue.look) })
	failed := make(chan error, len(n.listeners))
	servers := []*http.Server{n.callers, n.checks}
	if n.measures != nil {
		servers = append(servers, n.measures)
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
	endServers(servers)
	stop()
	group.Wait()
	n.logger.Info().Err(err).Msg(telemetry.LogNodeEnds)
	return err
}

// endServers lets requests that were read at the very end have their answer, and
// then closes all connections.
func endServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastRequests)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				// What is open now would be cut by the end of the process anyway.
				_ = server.Close()
			}
		})
	}
	group.Wait()
}

// drain serves what is there while the balancer takes the node out, and ends when
// all is answered.
func (n *Node) drain() {
	started := time.Now()
	end := started.Add(seconds(n.settings.GraceSeconds) - exitMargin)
	n.draining.Store(true)
	n.agent.Leave()
	n.logger.Info().Int64("active", n.active.Load()).Msg(telemetry.LogNodeDrains)
	time.Sleep(min(balancerLag, time.Until(end)))
	n.exchange.RejectNewStreams()
	n.closing.Store(true)
	const look = 20 * time.Millisecond
	for time.Now().Before(end) && (n.active.Load() > 0 || n.noting.quietFor() < quietEnd) {
		time.Sleep(look)
		if time.Until(end) < lastAnswers {
			n.exchange.FailUnanswered()
		}
	}
	n.exchange.FailUnanswered()
	n.logger.Info().Int64("active", n.active.Load()).Dur("taken_ms", time.Since(started)).Msg("node drained")
}

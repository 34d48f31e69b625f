// Package wigeontiller implements an entry node: it accepts callers' requests,
// decides when and on which upstream each runs, and returns the response. A program
// embeds a node with New, Start and Shutdown; cmd/wigeontiller is such a program.
package wigeontiller

import (
	"context"
	"crypto/ed25519"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/sourcegraph/conc"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/claim/claimstore"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/entry"
	"github.com/wigeontiller/wigeontiller/orphan"
	"github.com/wigeontiller/wigeontiller/resume"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/guard"
	"github.com/wigeontiller/wigeontiller/storage/writerpc"
	"github.com/wigeontiller/wigeontiller/telemetry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// The errors of a node.
var (
	// ErrSettings is returned when the settings are invalid.
	ErrSettings = eris.New("invalid settings")
	// ErrListen is returned when the node can't listen on one of its addresses.
	ErrListen = eris.New("can't listen")
)

// joinTimeout is how long a node that can't read the platform's VM list waits until it
// relies on its peers for the number of nodes that share the writes of claims.
const joinTimeout = 10 * time.Second

// fleetUpdateInterval is how often a node updates the size of the fleet.
const fleetUpdateInterval = 100 * time.Millisecond

// Node is one entry node.
//
// Lock order: follower.mutex, then the dispatcher's; follower.spreadMutex and the
// membership agent's mutex are leaves.
type Node struct {
	settings   *settings.Settings
	logger     zerolog.Logger
	metrics    *telemetry.Metrics
	tracing    *sdktrace.TracerProvider
	dispatcher *dispatch.Dispatcher
	guard      *guard.Client
	claims     *claimstore.Store
	writer     *writerpc.Node
	follower   *follower
	cluster    *cluster
	reports    *loadReports
	// ordersKey signs orders to engines; nil if the settings name none.
	ordersKey ed25519.PrivateKey
	// budgets is nil if limits are not shared.
	budgets   *budgetController
	entry     *entry.Server
	admin     *admin.Server
	draining  atomic.Bool
	workers   conc.WaitGroup
	stop      context.CancelFunc
	listeners sync.WaitGroup
	// openListeners are the listeners for callers and operators.
	openListeners []net.Listener
}

// New returns a node that is ready to start. Error: ErrSettings.
func New(ctx context.Context, s *settings.Settings, p storage.Platform, logger zerolog.Logger) (*Node, error) {
	var tokens []string
	for _, secret := range s.OperatorTokens {
		token, err := secret.Read()
		if err != nil {
			return nil, eris.Wrap(ErrSettings, "operator_tokens: "+err.Error())
		}
		tokens = append(tokens, token)
	}
	tracing, err := telemetry.NewTracerProvider(ctx, s.OTLPEndpoint)
	if err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	node := &Node{
		settings: s,
		logger:   logger.With().Str("node", s.Name).Logger(),
		metrics:  telemetry.NewMetrics(),
		tracing:  tracing,
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node.dispatcher = dispatch.New(scheduling.NewSeeded(s.DataCentre, random))
	node.dispatcher.OnInvariantBroken(func(err error) {
		node.metrics.InvariantBroken("scheduler")
		node.logger.Error().Err(err).Msg("scheduler invariant broken")
	})
	node.guard = guard.New(p, node.metrics)
	node.guard.SetNodes(len(s.Seeds))
	store := configuration.NewStore(node.guard.Ordinary())
	node.cluster, err = newCluster(s, node.guard.Ordinary(), node.metrics, tracing.Tracer(telemetry.ScopeName), node.logger)
	if err != nil {
		return nil, err
	}
	node.writer, err = newWriter(node.cluster, node.guard.SelfLimited(), node.metrics, node.logger)
	if err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	node.claims = claimstore.New(claimstore.Config{
		Platform: node.guard.Urgent(), Upkeep: node.guard.Ordinary(), Rows: node.writer,
		Logger: node.logger, Metrics: node.metrics, Node: s.Name,
	})
	node.follower = newFollower(store, node.cluster.client, node.dispatcher, node.logger)
	if err := node.cluster.attachFollower(node.follower); err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	signer, err := resume.NewSigner([]byte(node.cluster.peerKey))
	if err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	if node.ordersKey, err = readOrdersKey(s.OrdersKey); err != nil {
		return nil, err
	}
	owner := newOwner(s.Name, node.cluster.started)
	if err := node.enableSharedLimits(owner); err != nil {
		return nil, err
	}
	node.entry = entry.NewServer(entry.Config{
		Dispatcher:   node.dispatcher,
		Upstreams:    upstream.NewClient(),
		Logger:       node.logger,
		Tracer:       tracing.Tracer(telemetry.ScopeName),
		Metrics:      node.metrics,
		Claims:       node.claims,
		ResumeSigner: signer,
		Owner:        owner.String(),
	})
	node.reports, err = newLoadReports(owner, node.cluster, node.dispatcher, node.entry, node.metrics, node.logger)
	if err != nil {
		return nil, eris.Wrap(ErrSettings, err.Error())
	}
	node.admin = admin.NewServer(admin.Config{Store: store, Node: node, Tokens: tokens, Metrics: node.metrics})
	return node, nil
}

// enableSharedLimits shares limits with other nodes if the settings enable it.
func (n *Node) enableSharedLimits(owner orphan.Owner) error {
	if !n.settings.SharedLimits {
		return nil
	}
	n.budgets = newBudgetController(n.settings, owner.String(), n.guard.Urgent(), n.dispatcher, n.cluster, n.logger)
	if err := n.cluster.server.Register(n.budgets.register); err != nil {
		return eris.Wrap(ErrSettings, err.Error())
	}
	return nil
}

// Start opens the listeners, begins to serve, and returns. Errors: ErrListen,
// ErrSettings.
func (n *Node) Start() error {
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	operators, err := net.Listen("tcp", n.settings.OperatorAddress)
	if err != nil {
		_ = callers.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	if err := n.cluster.listen(); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.openListeners = []net.Listener{callers, operators}
	n.dispatcher.OnUnconfirmed(func() { n.confirm(ctx) })
	n.workers.Go(func() { n.dispatcher.Run(ctx) })
	n.workers.Go(func() { n.follower.run(ctx) })
	n.workers.Go(func() { runEvery(ctx, contactInterval, n.updateContact) })
	n.workers.Go(func() { n.claims.Run(ctx) })
	n.workers.Go(func() { n.writer.Run(ctx) })
	n.workers.Go(func() { n.cluster.agent.Run(ctx) })
	n.workers.Go(func() { n.cluster.serve(ctx) })
	if n.budgets != nil {
		n.workers.Go(func() { n.budgets.run(ctx) })
		n.workers.Go(func() { newReleaser(n.reports, n.budgets.node).run(ctx) })
	}
	n.workers.Go(func() { runEvery(ctx, seedInterval, n.cluster.updateSeeds) })
	n.workers.Go(func() { n.reports.poller.Run(ctx) })
	n.workers.Go(func() { newOrderRunner(n.reports, n.guard.Ordinary(), n).Run(ctx) })
	n.workers.Go(n.shareStoreBudget(ctx))
	n.workers.Go(func() { runEvery(ctx, positionInterval, n.updatePosition) })
	n.serveListener(func() error { return n.entry.App().Listener(callers) })
	n.serveListener(func() error { return n.admin.App().Listener(operators) })
	n.logger.Info().Str("caller_address", n.settings.CallerAddress).Msg("node started")
	return nil
}

// shareStoreBudget returns a loop that divides the store's budget by the largest
// number of nodes ever known: a node that is cut off must not use the others' part.
func (n *Node) shareStoreBudget(ctx context.Context) func() {
	fleet, known := configuredFleet(n.settings)
	started := time.Now()
	return func() {
		runEvery(ctx, fleetUpdateInterval, func(context.Context) {
			fleet.grow(n.cluster)
			n.guard.SetNodes(fleet.nodes)
			if known || n.cluster.listed.Load() != nil || time.Since(started) >= joinTimeout {
				n.writer.SetFleet(fleet.nodes, fleet.dataCentres)
			}
		})
	}
}

func (n *Node) serveListener(serve func() error) {
	n.listeners.Add(1)
	go func() {
		defer n.listeners.Done()
		if err := serve(); err != nil {
			n.logger.Error().Err(err).Msg("listener ended")
		}
	}()
}

// Shutdown stops the node without breaking off requests: it reports unready, accepts
// requests for ShutdownLag until the load balancer has noticed, then finishes those in
// flight. It returns the context's error when the context ends first.
func (n *Node) Shutdown(ctx context.Context) error {
	n.draining.Store(true)
	n.logger.Info().Msg("node shutting down")
	select {
	case <-time.After(n.settings.ShutdownLag):
	case <-ctx.Done():
	}
	err := n.entry.Shutdown(ctx)
	err = errors.Join(err, n.admin.App().ShutdownWithContext(ctx))
	n.waitForOutcomes(ctx)
	n.cluster.agent.Leave()
	n.stop()
	n.workers.Wait()
	n.listeners.Wait()
	err = errors.Join(err, n.tracing.Shutdown(ctx))
	n.logger.Info().Msg("node stopped")
	return err
}

// Close stops the node immediately, as if its process had died: the listeners and all
// connections are closed, peers are not notified, and no cancel is sent to an engine.
// It is called instead of Shutdown; before Start it does nothing. Calls to the platform
// that are in flight end by their own timeouts, and spans not yet exported are lost.
func (n *Node) Close() error {
	if n.stop == nil {
		return nil
	}
	n.draining.Store(true)
	var failures []error
	for _, listener := range n.openListeners {
		failures = append(failures, listener.Close())
	}
	n.entry.Close()
	n.admin.Close()
	n.stop()
	n.workers.Wait()
	n.listeners.Wait()
	ended, end := context.WithCancel(context.Background())
	end()
	_ = n.tracing.Shutdown(ended)
	n.logger.Info().Msg("node closed")
	return errors.Join(failures...)
}

// waitForOutcomes waits until the outcomes of requests with an idempotency key are
// stored or the context ends.
func (n *Node) waitForOutcomes(ctx context.Context) {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		n.claims.Wait()
	}()
	select {
	case <-stored:
	case <-ctx.Done():
	}
}

// Ready reports whether the node has a confirmed site in force, has received or waited
// long enough for reports of the engines and its first shares, and is not shutting
// down.
func (n *Node) Ready() bool {
	if n.dispatcher.Tables() == nil || !n.dispatcher.Confirmed() || n.draining.Load() {
		return false
	}
	now := time.Now()
	return n.reports.ready(now) && (n.budgets == nil || n.budgets.ready(now))
}

// Adopt passes the node a site that it may not have received yet.
func (n *Node) Adopt(ctx context.Context, site configuration.Site) {
	n.follower.adopt(ctx, site)
}

// Status returns the node's status.
func (n *Node) Status(ctx context.Context) admin.Status {
	status := admin.Status{
		Node:           n.settings.Name,
		DataCentre:     n.settings.DataCentre,
		Ready:          n.Ready(),
		Draining:       n.draining.Load(),
		StoreReachable: n.follower.storeReachable.Load(),
		OutDataCentres: []string{},
		OutVMs:         []string{},
		Isolated:       n.cluster.agent.Isolated(),
	}
	status.Waiting, status.Running = n.dispatcher.Load()
	status.LimitedUpstreams = n.dispatcher.LimitedUpstreams()
	status.EstimateErrors = n.dispatcher.EstimateErrors()
	if n.budgets != nil {
		status.Shares = n.budgets.status()
	}
	current := n.dispatcher.Tables()
	if current == nil {
		status.Peers = n.cluster.peerStates(ctx, 0)
		return status
	}
	status.Version = current.Version
	status.Peers = n.cluster.peerStates(ctx, current.Version)
	status.Environments = current.Site.Environments
	for name := range current.Site.OutOfServiceDataCentres {
		status.OutDataCentres = append(status.OutDataCentres, name)
	}
	for name := range current.Site.OutOfServiceVMs {
		status.OutVMs = append(status.OutVMs, name)
	}
	return status
}

package wigeontiller

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"go.opentelemetry.io/otel/trace"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/membership"
	"github.com/wigeontiller/wigeontiller/membership/udp"
	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// vmListInterval plus a random part of vmListJitter is the time between two reads
	// of the VM list; vmListJoinInterval takes the place of both while the node is
	// isolated.
	vmListInterval     = time.Minute
	vmListJitter       = time.Minute
	vmListJoinInterval = 2 * time.Second
	seedInterval       = time.Second
	versionTimeout     = time.Second
	maxVersionCalls    = 16
)

// cluster connects the node to the other nodes: membership, calls and the fetching
// of sites.
type cluster struct {
	settings   *settings.Settings
	metrics    *telemetry.Metrics
	logger     zerolog.Logger
	platform   storage.VMList
	peerKey    string
	server     *peer.Server
	pool       *peer.Pool
	client     *peer.ConfigurationClient
	follower   *follower
	agent      *udp.Agent
	listener   net.Listener
	seeds      []netip.AddrPort
	nextVMList time.Time
	// listed is the size of the fleet by the platform's VM list; nil until it is read.
	listed atomic.Pointer[fleetSize]
	// started is when this process started, in Unix milliseconds.
	started uint64
}

func newCluster(s *settings.Settings, p storage.VMList, metrics *telemetry.Metrics, tracer trace.Tracer, logger zerolog.Logger) (*cluster, error) {
	config, err := peerTLS(s)
	if err != nil {
		return nil, err
	}
	key, err := s.PeerKey.Read()
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "peer_key: "+err.Error())
	}
	c := &cluster{settings: s, metrics: metrics, logger: logger, platform: p, peerKey: key, started: uint64(time.Now().UnixMilli())}
	for _, seed := range s.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			return nil, eris.Wrap(ErrSettings, "seeds: "+err.Error())
		}
		c.seeds = append(c.seeds, address)
	}
	c.server = peer.NewServer(config, tracer)
	c.pool = peer.NewPool(config, tracer)
	c.client, err = peer.NewConfigurationClient(c.pool)
	return c, err
}

func peerTLS(s *settings.Settings) (*tls.Config, error) {
	if s.InProcessDemo && s.PeerTLS == (settings.PeerTLS{}) {
		return nil, nil
	}
	config, err := peer.LoadTLS(s.PeerTLS)
	if err != nil {
		return nil, eris.Wrap(ErrSettings, "peer_tls: "+err.Error())
	}
	return config, nil
}

// attachFollower connects the follower to the cluster and serves its site and
// documents to peers.
func (c *cluster) attachFollower(f *follower) error {
	c.follower = f
	f.spreadView = c.spreadView
	f.announce = func(version uint64) { c.agent.SetSiteVersion(version) }
	service, err := peer.NewConfigurationService(confirmedSource{f})
	if err != nil {
		return err
	}
	return c.server.Register(service.Register)
}

// listen listens on the peer address for UDP and TCP. Errors: ErrSettings, ErrListen.
func (c *cluster) listen() error {
	address, err := netip.ParseAddrPort(c.settings.PeerAddress)
	if err != nil {
		return eris.Wrap(ErrSettings, "peer_address: "+err.Error())
	}
	c.listener, err = net.Listen("tcp", c.settings.PeerAddress)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	c.agent, err = udp.Listen(udp.Config{
		Self: membership.Member{
			Name:       c.settings.Name,
			DataCentre: c.settings.DataCentre,
			Region:     c.settings.Region,
			Address:    address,
			Started:    c.started,
		},
		PeerKey:       c.peerKey,
		Metrics:       c.metrics,
		Logger:        c.logger,
		OnSiteVersion: c.follower.offer,
	})
	if err != nil {
		_ = c.listener.Close()
		return eris.Wrap(ErrListen, err.Error())
	}
	c.agent.SetSeeds(c.seeds)
	return nil
}

func (c *cluster) serve(ctx context.Context) {
	if err := c.server.Serve(ctx, c.listener); err != nil {
		c.logger.Error().Err(err).Msg("peer listener failed; calls from other nodes are no longer served")
	}
	_ = c.pool.Close()
}

func (c *cluster) spreadView() configuration.RefreshState {
	view := configuration.RefreshState{
		IsPoller: c.agent.Owns(configuration.PollerRole, membership.RegionScope),
		Isolated: c.agent.Isolated(),
	}
	if _, ok := c.follower.Site(); ok {
		return view
	}
	view.Peers = c.reachablePeers()
	return view
}

// updateSeeds adds the entry nodes of the platform's VM list to the seeds. The list
// lags, so it is never a reason to consider a node gone.
func (c *cluster) updateSeeds(ctx context.Context) {
	if time.Now().Before(c.nextVMList) {
		return
	}
	c.nextVMList = time.Now().Add(vmListInterval + rand.N(vmListJitter))
	if c.agent.Isolated() {
		c.nextVMList = time.Now().Add(vmListJoinInterval + rand.N(vmListJoinInterval))
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	vms, err := c.platform.ListVMs(ctx)
	if err != nil {
		return
	}
	c.listed.Store(listedFleet(vms))
	seeds := slices.Clone(c.seeds)
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.PeerAddress)
		if err == nil && vm.State == storage.Live {
			seeds = append(seeds, address)
		}
	}
	c.agent.SetSeeds(seeds)
}

// peerStates lists the other nodes for the status response. Live nodes that have not
// reported the given version are queried for theirs.
func (c *cluster) peerStates(ctx context.Context, version uint64) []admin.Peer {
	known := c.agent.Peers()
	workers := pool.New().WithMaxGoroutines(maxVersionCalls)
	for i := range known {
		if known[i].SiteVersion >= version || !known[i].Live() {
			continue
		}
		workers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, versionTimeout)
			defer cancel()
			reported, err := c.client.Version(ctx, known[i].Address)
			if err == nil {
				known[i].SiteVersion = max(known[i].SiteVersion, reported)
			}
		})
	}
	workers.Wait()
	states := make([]admin.Peer, 0, len(known))
	for _, p := range known {
		state := p.Status.String()
		if !p.Reachable {
			state = admin.PeerUnreachable
		}
		states = append(states, admin.Peer{Name: p.Name, DataCentre: p.DataCentre, State: state, Version: p.SiteVersion})
	}
	return states
}

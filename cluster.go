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
	// vmListInterval and vmListJitter pace each node's reads of the VM list;
	// vmListFirst does so until the node has joined.
	vmListInterval = time.Minute
	vmListJitter   = time.Minute
	vmListFirst    = 2 * time.Second
	seedInterval   = time.Second
	versionTimeout = time.Second
	versionCalls   = 16
)

// cluster is the node's part in acting together with the other nodes.
type cluster struct {
	settings *settings.Settings
	metrics  *telemetry.Metrics
	logger   zerolog.Logger
	platform storage.VMList
	peerKey  string
	server   *peer.Server
	pool     *peer.Pool
	client   *peer.ConfigurationClient
	follower *follower
	agent    *udp.Agent
	listener net.Listener
	seeds    []netip.AddrPort
	nextVMs  time.Time
	// listed is the size of the fleet by the platform's list; nil is not read yet.
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

// follow ties the follower to the cluster and serves what it holds.
func (c *cluster) follow(f *follower) error {
	c.follower = f
	f.view = c.spreadView
	f.announce = func(version uint64) { c.agent.SetSiteVersion(version) }
	service, err := peer.NewConfigurationService(confirmedSite{f})
	if err != nil {
		return err
	}
	return c.server.Register(service.Register)
}

// listen opens the peer address for UDP and TCP.
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
		PeerKey:   c.peerKey,
		Metrics:   c.metrics,
		Logger:    c.logger,
		OnVersion: c.follower.offer,
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
		c.logger.Error().Err(err).Msg("peer listener ended")
	}
	_ = c.pool.Close()
}

func (c *cluster) spreadView() configuration.SpreadView {
	view := configuration.SpreadView{
		Poller:   c.agent.Owns(configuration.PollerRole, membership.RegionScope),
		Isolated: c.agent.Isolated(),
	}
	if _, ok := c.follower.Site(); ok {
		return view
	}
	view.Peers = c.reachable()
	return view
}

// readVMs adds the entry nodes of the platform's list to the seeds. The list
// lags, so that it is never a reason to hold a node as gone.
func (c *cluster) readVMs(ctx context.Context) {
	if time.Now().Before(c.nextVMs) {
		return
	}
	c.nextVMs = time.Now().Add(vmListInterval + rand.N(vmListJitter))
	if c.agent.Isolated() {
		c.nextVMs = time.Now().Add(vmListFirst + rand.N(vmListFirst))
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

// peers lists the other nodes for status. Those not yet heard to have the
// version in force are asked.
func (c *cluster) peers(ctx context.Context, version uint64) []admin.Peer {
	known := c.agent.Peers()
	workers := pool.New().WithMaxGoroutines(versionCalls)
	for i := range known {
		if known[i].SiteVersion >= version || !known[i].Live() {
			continue
		}
		workers.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, versionTimeout)
			defer cancel()
			answered, err := c.client.Version(ctx, known[i].Address)
			if err == nil {
				known[i].SiteVersion = max(known[i].SiteVersion, answered)
			}
		})
	}
	workers.Wait()
	listed := make([]admin.Peer, 0, len(known))
	for _, p := range known {
		state := p.Status.String()
		if !p.Reachable {
			state = admin.PeerUnreachable
		}
		listed = append(listed, admin.Peer{Name: p.Name, DataCentre: p.DataCentre, State: state, Version: p.SiteVersion})
	}
	return listed
}

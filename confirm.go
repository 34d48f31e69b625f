package wigeontiller

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeontiller/wigeontiller/configuration"
)

const (
	// confirmInterval is the pause between two attempts to confirm the site.
	confirmInterval = 200 * time.Millisecond
	// contactInterval is how often the time of the last contact is passed to the
	// dispatcher.
	contactInterval = 500 * time.Millisecond
)

// updateContact passes the dispatcher the time of the last message from another node.
// A node that knows no other node can't miss a change that one made.
func (n *Node) updateContact(context.Context) {
	if !n.cluster.agent.HasOtherMembers() {
		n.dispatcher.SetLastContact(time.Time{})
		return
	}
	n.dispatcher.SetLastContact(n.cluster.agent.LastReceived())
}

// confirm queries the store and then the peers until one of them has confirmed that
// the site in force is the newest, or has provided a newer one that is now in force.
func (n *Node) confirm(ctx context.Context) {
	n.logger.Warn().Msg("node was paused or lost contact with the store and all peers; no request is sent until the site is confirmed")
	for ctx.Err() == nil {
		queriedAt := time.Now()
		if n.follower.confirmByStore(ctx) || n.follower.confirmByPeers(ctx, n.cluster.reachablePeers()) {
			n.dispatcher.Confirm(queriedAt)
			n.logger.Info().Msg("site confirmed")
			return
		}
		time.Sleep(confirmInterval)
	}
}

func (f *follower) confirmByStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	site, err := f.store.Site(ctx)
	return err == nil && f.adoptFrom(ctx, site, netip.AddrPort{})
}

// confirmByPeers accepts any peer that has at least this version. A peer that was
// paused too reports no version.
func (f *follower) confirmByPeers(ctx context.Context, peers []netip.AddrPort) bool {
	own, _ := f.Site()
	for _, address := range peers {
		if f.confirmByPeer(ctx, address, own.Version) {
			return true
		}
	}
	return false
}

func (f *follower) confirmByPeer(ctx context.Context, address netip.AddrPort, own uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	version, err := f.peers.Version(ctx, address)
	if err != nil || version < own {
		return false
	}
	if version == own {
		return true
	}
	site, err := f.peers.Site(ctx, address, own)
	return err == nil && f.adoptFrom(ctx, site, address)
}

// confirmedSource serves the site to peers, except while it is unconfirmed after the
// node was paused. A node that only lost contact does serve it: otherwise nodes that
// all lost contact during a store outage could never confirm each other's site again.
type confirmedSource struct {
	*follower
}

// Site returns the site in force, or false when there is none to serve.
func (c confirmedSource) Site() (configuration.Site, bool) {
	if c.dispatcher.Paused() {
		return configuration.Site{}, false
	}
	return c.follower.Site()
}

// reachablePeers returns the addresses of the live peers that are reachable.
func (c *cluster) reachablePeers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range c.agent.Peers() {
		if p.Live() && p.Reachable {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

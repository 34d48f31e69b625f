package wigeontiller

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeontiller/wigeontiller/configuration"
)

const (
	// confirmInterval is the time between two rounds of questions.
	confirmInterval = 200 * time.Millisecond
	// contactInterval is how often the dispatcher is told who was heard.
	contactInterval = 500 * time.Millisecond
)

// tellContact tells the dispatcher when the store or another node was last
// heard. A node that knows of no other has nobody to miss a change from.
func (n *Node) tellContact(context.Context) {
	if !n.cluster.agent.KnowsOthers() {
		n.dispatcher.SetContact(time.Time{})
		return
	}
	n.dispatcher.SetContact(n.cluster.agent.LastHeard())
}

// confirm asks the store and then the peers until one of them has shown that
// the site in force is the newest, or has given a newer one.
func (n *Node) confirm(ctx context.Context) {
	n.logger.Warn().Msg("node was paused or heard nobody: the site is confirmed before anything is sent")
	for ctx.Err() == nil {
		asked := time.Now()
		if n.follower.confirmByStore(ctx) || n.follower.confirmByPeers(ctx, n.cluster.reachable()) {
			n.dispatcher.Confirm(asked)
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

// confirmByPeers takes the word of any peer that has at least this version: one
// that was paused as well tells none.
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

// confirmedSite is what peers are told: nothing while it is unconfirmed after a
// pause. A node that only lost contact does tell: otherwise nodes that all lost
// it in an outage of the store could never confirm each other again.
type confirmedSite struct {
	*follower
}

// Site returns the site in force, or false when there is none to tell of.
func (c confirmedSite) Site() (configuration.Site, bool) {
	if c.dispatcher.Paused() {
		return configuration.Site{}, false
	}
	return c.follower.Site()
}

// reachable lists the peers that answer.
func (c *cluster) reachable() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, p := range c.agent.Peers() {
		if p.Live() && p.Reachable {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

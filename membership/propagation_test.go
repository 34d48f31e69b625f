package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/membership"
)

// inForceLimit is the target time to have a new version in force on all nodes of
// the largest cluster.
const inForceLimit = 9 * time.Second

// propagationTime writes a new version to the store and returns the time until all
// running nodes have it in force.
func propagationTime(n *network, limit time.Duration) time.Duration {
	n.storeVersion++
	written := n.now
	for n.now.Sub(written) < limit {
		n.run(100 * time.Millisecond)
		if n.allHave(n.storeVersion) {
			return n.now.Sub(written)
		}
	}
	n.t.Fatalf("version %d is not in force on all nodes after %v", n.storeVersion, limit)
	return 0
}

func (n *network) allHave(version uint64) bool {
	for _, b := range n.nodes {
		if b.up && !b.paused && b.version != version {
			return false
		}
	}
	return true
}

func TestNewVersionIsInForceOn320NodesInTime(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, 1)
	n.loss, n.duplication = 0.02, 0.01
	n.addNodes(320, 7, 3)
	n.introduceAll()
	worst := time.Duration(0)
	for range 4 {
		worst = max(worst, propagationTime(n, inForceLimit))
		n.run(2 * time.Second)
	}
	polls := 0
	for _, b := range n.nodes {
		polls -= b.polls
	}
	n.run(20 * time.Second)
	for _, b := range n.nodes {
		polls += b.polls
	}
	t.Logf("320 nodes, 2%% loss: longest of 4 propagations %v; store reads per second: %.1f", worst, float64(polls)/20)
	is.New(t).True(polls <= 20*10) // a few reads per second, not one per node
}

// takeoverLimit is the target time to have a new version in force on all nodes
// after the poller failed.
const takeoverLimit = 9 * time.Second

// pollerObservation is long enough for several polls.
const pollerObservation = 5 * time.Second

func TestNewVersionIsInForceInTimeAfterPollerFailure(t *testing.T) {
	for seed := range uint64(6) {
		n := joinedNetwork(t, seed, 30)
		n.run(5 * time.Second)
		n.kill(poller(n))
		// The next poller starts once the old one has been declared dead.
		t.Logf("seed %d: in force after %v", seed, propagationTime(n, takeoverLimit))
	}
}

// poller returns a node that polls the store.
func poller(n *network) *node {
	n.t.Helper()
	before := map[*node]int{}
	for _, b := range n.nodes {
		before[b] = b.polls
	}
	n.run(pollerObservation)
	for _, b := range n.nodes {
		if b.polls > before[b] {
			return b
		}
	}
	n.t.Fatal("no node polls the store")
	return nil
}

func TestPollersOfPartitionReturnToOneAfterHealing(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 3, 12)
	n.cut = func(a, b *node) bool { return a.member.DataCentre != b.member.DataCentre }
	n.run(time.Minute) // each data centre now has its own poller
	propagationTime(n, inForceLimit)
	n.cut = func(_, _ *node) bool { return false }
	n.run(time.Minute)
	before := 0
	for _, b := range n.nodes {
		before += b.polls
	}
	n.run(10 * time.Second)
	for _, b := range n.nodes {
		before -= b.polls
	}
	is.True(-before <= 11) // one poller again
}

func TestIsolatedNodePollsStoreItself(t *testing.T) {
	n := joinedNetwork(t, 4, 9)
	n.run(5 * time.Second)
	isolated := n.nodes[4]
	if isolated.state.Owns(n.now, configuration.PollerRole, membership.RegionScope) {
		isolated = n.nodes[5]
	}
	n.cut = func(a, b *node) bool { return a == isolated || b == isolated }
	// Once immediately, before the node detects its isolation, and once later.
	for range 2 {
		n.storeVersion++
		n.run(5 * time.Second)
		is.New(t).Equal(isolated.version, n.storeVersion)
		n.run(time.Minute)
	}
}

func TestNewNodeFetchesSiteFromPeersWhenStoreDown(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 5, 9)
	n.run(5 * time.Second)
	n.storeUp = false
	added := n.add("dc-0", "region-0")
	is.True(!added.hasSite) // not ready yet
	n.run(inForceLimit)
	is.Equal(added.version, n.storeVersion) // fetched from peers
}

func TestVersionInForceNeverDecreases(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 6)
	n.loss, n.duplication = 0.2, 0.3
	n.addNodes(12, 3, 1)
	seen := map[*node]uint64{}
	for step := range 1500 {
		n.run(100 * time.Millisecond)
		if step%7 == 0 {
			n.storeVersion++
		}
		n.storeUp = step%100 < 60
		for _, b := range n.nodes {
			is.True(b.version >= seen[b])
			seen[b] = b.version
		}
	}
	n.storeUp = true
	n.run(30 * time.Second)
	is.True(n.allHave(n.storeVersion))
}

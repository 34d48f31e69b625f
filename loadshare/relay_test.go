package loadshare

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/placement"
)

const (
	fleetOfTest = 60
	// settleTime covers the start, the second reading of the directory and a full bundle.
	settleTime = 6 * time.Second
	// spreadTime is what a change may take to all nodes: the flush, and a bundle of two relays.
	spreadTime = relayedFlushDelay + 2*relayInterval + 4*linkDelay
)

func TestRelaysSpreadLoadToAllNodesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		is.New(t).Equal(f.relays(), []int{0, 1, 2}) // the largest machine of each zone
		// A plain node, a relay's deputy or a relay itself may place it.
		for _, at := range []int{50, 4, 0} {
			end := f.nodes[at].place()
			time.Sleep(spreadTime)
			f.expectOccupied(1)
			time.Sleep(settleTime) // full bundles don't count it again
			f.expectOccupied(1)
			end()
			time.Sleep(spreadTime)
			f.expectOccupied(0)
		}
	})
}

func TestNodeReceivesFewDatagramsInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 2*fleetOfTest)
		time.Sleep(settleTime)
		f.network.mutex.Lock()
		clear(f.network.received)
		clear(f.network.bytes)
		f.network.mutex.Unlock()
		for range 10 {
			var ends []func()
			for i := 0; i < len(f.nodes); i += 3 {
				ends = append(ends, f.nodes[i].place())
			}
			time.Sleep(500 * time.Millisecond)
			for _, end := range ends {
				end()
			}
			time.Sleep(500 * time.Millisecond)
		}
		f.network.mutex.Lock()
		defer f.network.mutex.Unlock()
		// The stated limit for control is 20 KB/s a node; requests' bytes are not part of it.
		const seconds, maxBytesPerSecond, maxDatagramsPerSecond = 10, 20_000, 30
		for i := zonesInTest; i < len(f.nodes); i++ {
			node := &f.nodes[i].agent.self
			f.nodes[i].agent.mutex.Lock()
			deputy := f.nodes[i].agent.relay.ownRank == 1
			f.nodes[i].agent.mutex.Unlock()
			if got := f.network.received[node.Address]; got > maxDatagramsPerSecond*seconds && !deputy {
				t.Errorf("%s received %d datagrams in %d s", node.Name, got, seconds)
			}
			if got := f.network.bytes[node.Address]; got > maxBytesPerSecond*seconds && !deputy {
				t.Errorf("%s received %d bytes in %d s", node.Name, got, seconds)
			}
		}
	})
}

func TestDeputyReplacesDeadRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		f.nodes[50].place()
		f.nodes[0].place()
		end := f.nodes[51].place() // all at once: each node sees the engine idle
		time.Sleep(spreadTime)
		f.expectOccupied(3)
		f.nodes[0].stop()
		time.Sleep(relayTimeout + relayInterval + spreadTime)
		is.New(t).Equal(len(f.relays()), zonesInTest+1) // the dead one's state stays as it was
		time.Sleep(unresponsiveAfter + 2*heartbeatInterval)
		f.expectOccupied(2, 0) // the dead relay's request no longer counts
		end()
		time.Sleep(spreadTime)
		f.expectOccupied(1, 0)
		f.start(0)
		time.Sleep(settleTime)
		is.New(t).Equal(f.relays(), []int{0, 1, 2})
		f.expectOccupied(1)
	})
}

// TestLoadIsNotForgottenWhenRelayAndDeputyEnd guards against a node that becomes relay without having heard the
// others: its first full bundle told all nodes that the zone's engines were idle.
func TestLoadIsNotForgottenWhenRelayAndDeputyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		const zone = 2
		stopped, placing := map[int]bool{}, 0
		for i, node := range f.nodes {
			node.agent.mutex.Lock()
			rank := node.agent.relay.ownRank
			node.agent.mutex.Unlock()
			if zoneOf(i) == zoneOf(zone) && rank < relayTargets {
				stopped[i] = true
			} else if zoneOf(i) == zoneOf(zone) {
				placing = i // the last of those that live on
			}
		}
		f.nodes[placing].place()
		time.Sleep(spreadTime)
		f.expectOccupied(1)
		is.New(t).Equal(len(stopped), relayTargets)
		var leftOut []int
		for i := range stopped {
			f.nodes[i].stop()
			leftOut = append(leftOut, i)
		}
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			f.expectOccupied(1, leftOut...)
		}
	})
}

func TestCutRelayIsReplacedAndCountsNothingTwiceAfterwards(t *testing.T) {
	for name, cut := range map[string]func(node, from, to netip.AddrPort) bool{
		"both ways": func(node, from, to netip.AddrPort) bool { return from == node || to == node },
		"inbound":   func(node, _, to netip.AddrPort) bool { return to == node },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, fleetOfTest)
				time.Sleep(settleTime)
				relay := f.nodes[1].agent.self.Address
				f.network.block(func(from, to netip.AddrPort) bool { return cut(relay, from, to) })
				time.Sleep(2 * listTimeout)
				end := f.nodes[31].place() // in the zone of the cut relay
				time.Sleep(spreadTime)
				f.expectOccupied(1, 1)
				f.network.block(nil)
				time.Sleep(settleTime)
				f.expectOccupied(1)
				is.New(t).Equal(f.relays(), []int{0, 1, 2})
				end()
				time.Sleep(spreadTime)
				f.expectOccupied(0)
			})
		})
	}
}

// TestLoadOfNodeThatIsGoneIsRemoved stops a node with a request in flight; its relay no longer lists it.
func TestLoadOfNodeThatIsGoneIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		const gone = 50
		f.nodes[gone].place()
		time.Sleep(spreadTime)
		f.expectOccupied(1)
		f.nodes[gone].stop()
		time.Sleep(unresponsiveAfter + heartbeatInterval + fullEvery*relayInterval + spreadTime)
		f.expectOccupied(0, gone)
	})
}

// TestBundleOfAnotherRelayIsNotCounted sends a node a bundle of a node that is not its relay.
func TestBundleOfAnotherRelayIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		const receiver, deputy, other = 50, 5, 53 // one zone
		agent := f.nodes[receiver].agent
		load := []placement.LoadUpdate{{Hash: placement.Hash("u"), Totals: placement.Totals{Running: 1}}}
		for _, sender := range []int{deputy, other} {
			from := f.nodes[sender].agent
			from.mutex.Lock()
			from.sequence += 100
			m := &message{
				Node: from.self.Name, Incarnation: from.incarnation, Sequence: from.sequence, SentAt: clock(), Relayed: true, Full: true,
				Bundle: &bundle{Nodes: 1, Members: []memberLoad{{Hash: nodeHash("node-047"), Shares: load}}},
			}
			from.mutex.Unlock()
			agent.handle(m, from.self.Address)
			is.Equal(f.nodes[receiver].occupied(), 0)
		}
		agent.mutex.Lock()
		defer agent.mutex.Unlock()
		is.True(agent.zoneSize(time.Now()) > 1)
	})
}

func TestOtherRelaysPublishWhenTheFirstCanNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		is := is.New(t)
		publishers := func() []int {
			var list []int
			for i, node := range f.nodes {
				if node.agent.IsPublisher() {
					list = append(list, i)
				}
			}
			return list
		}
		is.Equal(publishers(), []int{0, 1})
		for _, i := range []int{0, 1} { // the store turns both away
			f.nodes[i].view.mutex.Lock()
			f.nodes[i].view.stale = true
			f.nodes[i].view.mutex.Unlock()
		}
		time.Sleep(maxRelayPublisherAge + 2*relayInterval)
		is.True(f.nodes[2].agent.IsPublisher())
		is.True(len(publishers()) <= 2*zonesInTest)
		f.nodes[2].view.mutex.Lock()
		f.nodes[2].view.stale = true
		f.nodes[2].view.mutex.Unlock()
		time.Sleep(maxRelayPublisherAge + 2*relayInterval)
		is.Equal(len(publishers()), 2*zonesInTest) // the deputies too, and no other node
	})
}

// TestNodesNeverCountFewerThanThereAre guards the limits that nodes share: a node that counts
// too few takes too large a part.
func TestNodesNeverCountFewerThanThereAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		check := func(when string) {
			for i, node := range f.nodes {
				node.agent.mutex.Lock()
				if got := node.agent.countNodes(time.Now()); got < fleetOfTest {
					t.Errorf("%s, node %d counts %d nodes", when, i, got)
				}
				node.agent.mutex.Unlock()
			}
		}
		time.Sleep(settleTime)
		check("after the start")
		time.Sleep(removeAfter)
		check("later")
		f.nodes[0].stop()
		f.start(0)
		for range 20 {
			time.Sleep(time.Second)
			check("after a relay's restart")
		}
	})
}

func TestEachEngineIsPolledByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		for _, zone := range []string{"z0", "z2", "elsewhere"} {
			for engine := range 20 {
				owners := 0
				for _, node := range f.nodes {
					if node.agent.IsOwner(fmt.Sprintf("engine-%d", engine), zone) {
						owners++
					}
				}
				if owners != 1 {
					t.Errorf("engine %d of zone %s is polled by %d nodes", engine, zone, owners)
				}
			}
		}
	})
}

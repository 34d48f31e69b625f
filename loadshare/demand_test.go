package loadshare

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/placement"
)

// withoutDemands returns a datagram as a node of the older version sends or reads it.
func withoutDemands(data []byte) []byte {
	m, err := decode(data)
	if err != nil {
		return data
	}
	m.HasDemands, m.Demands = false, nil
	return m.encode()
}

// testDemand is the demand that a simulated node has and knows.
type testDemand struct {
	mutex   sync.Mutex
	demands func() []admission.Demand
	ledger  *admission.Ledger
}

func newTestDemand() *testDemand { return &testDemand{ledger: admission.NewLedger()} }

func (d *testDemand) own(*placement.Scheduler, time.Duration) []admission.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.demands == nil {
		return nil
	}
	return d.demands()
}

func (d *testDemand) set(s *placement.Scheduler, now time.Duration, source string, demands []admission.Demand) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.ApplyDemands(now, source, demands)
	d.ledger.Apply(now, source, demands)
}

var testClass = admission.Class{Service: placement.Hash("llm"), Priority: 3}

// wait sets how many requests wait at a node.
func (n *simulatedNode) wait(count int) {
	n.demand.mutex.Lock()
	defer n.demand.mutex.Unlock()
	n.demand.demands = func() []admission.Demand {
		if count == 0 {
			return nil
		}
		return []admission.Demand{{Class: testClass, OnTime: count, Late: 2 * count, ArrivalsPerSecond: float64(count), PlaceMs: 100}}
	}
}

// othersWaiting returns how many requests wait at the other nodes, as a node knows it.
func (n *simulatedNode) othersWaiting() int {
	var demand admission.Demand
	n.gate.Do(func(_ *placement.Scheduler, now time.Duration) {
		n.demand.mutex.Lock()
		defer n.demand.mutex.Unlock()
		demand = n.demand.ledger.Others(now, testClass)
	})
	return demand.OnTime
}

// expectWaiting checks what nodes know, want by node; a negative number is not checked.
func (f *simulatedFleet) expectWaiting(when string, want func(i int) int) {
	f.t.Helper()
	for i, node := range f.nodes {
		if got := node.othersWaiting(); want(i) >= 0 && got != want(i) {
			f.t.Errorf("%s: node %d in %s knows of %d waiting requests, want %d", when, i, zoneOf(i), got, want(i))
		}
	}
}

// expectAboutWaiting checks what nodes know where two relays may each hold back a change by a tenth.
func (f *simulatedFleet) expectAboutWaiting(when string, want func(i int) int) {
	f.t.Helper()
	for i, node := range f.nodes {
		if got := float64(node.othersWaiting()); math.Abs(got-float64(want(i))) > 2*math.Ceil(demandChange*float64(want(i))) {
			f.t.Errorf("%s: node %d in %s knows of %v waiting requests, want about %d", when, i, zoneOf(i), got, want(i))
		}
	}
}

const (
	// demandSpreadTime is what a change of demand may take to all nodes.
	demandSpreadTime = demandInterval + 3*relayInterval + 4*linkDelay
	// demandEndTime is what a silent source's demand may count: until it is too old at its relay, and
	// then until the relay's next message.
	demandEndTime = demandTimeout + demandRefresh + demandSpreadTime
)

// others is the sum of what waits at nodes, but for node i itself.
func others(waiting map[int]int, i int) int {
	sum := 0
	for at, count := range waiting {
		if at != i {
			sum += count
		}
	}
	return sum
}

func TestDemandReachesAllNodesOnce(t *testing.T) {
	for _, size := range []int{7, fleetOfTest} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, size)
				time.Sleep(settleTime)
				waiting := map[int]int{0: 1, 4: 2, size - 1: 4, size - 2: 8} // a relay, its deputy, plain nodes
				for i, count := range waiting {
					f.nodes[i].wait(count)
				}
				time.Sleep(demandSpreadTime)
				f.expectAboutWaiting("at once", func(i int) int { return others(waiting, i) })
				time.Sleep(settleTime)
				f.expectWaiting("later", func(i int) int { return others(waiting, i) })
				for i := range waiting {
					f.nodes[i].wait(0)
				}
				time.Sleep(demandRefresh + demandSpreadTime)
				f.expectWaiting("at the end", func(int) int { return 0 })
			})
		})
	}
}

func TestDemandSurvivesLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		time.Sleep(settleTime)
		waiting := map[int]int{0: 1, 3: 2, 57: 4, 58: 8} // the relay that is lost, its zone, another one
		for i, count := range waiting {
			f.nodes[i].wait(count)
		}
		time.Sleep(demandRefresh + demandSpreadTime)
		f.nodes[0].stop()
		for end := time.Now().Add(demandEndTime + relayTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for i, node := range f.nodes[1:] {
				// What waits at the lost relay may be missing, nothing else, and nothing counts twice.
				if got, all := node.othersWaiting(), others(waiting, i+1); got > all || got < all-waiting[0] {
					t.Fatalf("node %d counts %d of %d waiting requests", i+1, got, all)
				}
			}
		}
		delete(waiting, 0)
		gone := func(i int) int {
			if i == 0 {
				return -1
			}
			return others(waiting, i)
		}
		f.expectWaiting("the deputy took over", gone)
		f.start(0)
		time.Sleep(settleTime)
		f.expectWaiting("the relay is back", func(i int) int { return others(waiting, i) })
	})
}

// TestDemandOfSilentZoneAndFrozenNodeEnds cuts off a zone, and a single node, from all others.
func TestDemandOfSilentZoneAndFrozenNodeEnds(t *testing.T) {
	const node = 58
	for name, inside := range map[string]func(i int) bool{
		"zone silent": func(i int) bool { return zoneOf(i) == zoneOf(node) },
		"node frozen": func(i int) bool { return i == node },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, fleetOfTest)
				time.Sleep(settleTime)
				waiting := map[int]int{node: 1, 1: 2, 2: 4, 57: 8}
				cut := map[netip.AddrPort]bool{}
				for i := range f.nodes {
					f.nodes[i].wait(waiting[i])
					cut[f.nodes[i].agent.self.Address] = inside(i)
				}
				time.Sleep(demandRefresh + demandSpreadTime)
				f.expectWaiting("before", func(i int) int { return others(waiting, i) })
				f.network.block(func(from, to netip.AddrPort) bool { return cut[from] != cut[to] })
				time.Sleep(demandEndTime)
				f.expectWaiting("cut off", func(i int) int {
					reached := map[int]int{}
					for at, count := range waiting {
						if inside(at) == inside(i) {
							reached[at] = count
						}
					}
					return others(reached, i)
				})
				f.network.block(nil)
				time.Sleep(2 * settleTime)
				f.expectWaiting("back", func(i int) int { return others(waiting, i) })
			})
		})
	}
}

// TestDemandBesideOlderVersion has every second node of the older version, the relay of zone z1 among
// them: what is not told is missing, and load is told as before.
func TestDemandBesideOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetOfTest)
		older := func(i int) bool { return i%2 == 1 }
		waiting := map[int]int{}
		for i, node := range f.nodes {
			f.network.mutex.Lock()
			f.network.older[node.agent.self.Address] = older(i)
			f.network.mutex.Unlock()
			if !older(i) && zoneOf(i) != "z1" {
				waiting[i] = 1
			}
			node.wait(1)
		}
		time.Sleep(settleTime)
		f.expectWaiting("side by side", func(i int) int {
			if older(i) || zoneOf(i) == "z1" {
				return 0
			}
			return others(waiting, i)
		})
		end := f.nodes[50].place()
		time.Sleep(spreadTime)
		f.expectOccupied(1)
		end()
		time.Sleep(spreadTime)
		f.expectOccupied(0)
	})
}

func TestDemandTakesFewBytes(t *testing.T) {
	for _, size := range []int{7, 36, 84, 295} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, size)
				time.Sleep(settleTime)
				const seconds, services, priorities = 4, 2, 3
				measure := func() (plain, relay int) {
					f.network.mutex.Lock()
					clear(f.network.bytes)
					clear(f.network.sent)
					f.network.mutex.Unlock()
					time.Sleep(seconds * time.Second)
					f.network.mutex.Lock()
					defer f.network.mutex.Unlock()
					for _, node := range f.nodes {
						address := node.agent.self.Address
						bytes := (f.network.bytes[address] + f.network.sent[address]) / seconds
						node.agent.mutex.Lock()
						ranked := node.agent.relay.ownRank
						node.agent.mutex.Unlock()
						if ranked < relayTargets && size > maxDirectNodes {
							relay = max(relay, bytes)
						} else {
							plain = max(plain, bytes)
						}
					}
					return plain, relay
				}
				plain, relay := measure()
				for i, node := range f.nodes {
					node.demand.mutex.Lock()
					node.demand.demands = func() (demands []admission.Demand) {
						changing := int(time.Now().UnixMilli()/100) + i
						for service := range services {
							for priority := range priorities {
								demands = append(demands, admission.Demand{
									Class: admission.Class{Service: uint32(service), Priority: uint8(priority)}, OnTime: changing % 7, Late: changing % 5, ArrivalsPerSecond: 1.5, PlaceMs: 900,
								})
							}
						}
						return demands
					}
					node.demand.mutex.Unlock()
				}
				plainWith, relayWith := measure()
				t.Logf("bytes a second, sent and received: a plain node %d, with demand %d (%+d); a relay or deputy %d, with demand %d (%+d)",
					plain, plainWith, plainWith-plain, relay, relayWith, relayWith-relay)
				// The stated bound is 1 KB a second at 295 nodes.
				if size > maxDirectNodes && plainWith-plain > 1000 {
					t.Errorf("a plain node's bytes grow by %d a second", plainWith-plain)
				}
			})
		})
	}
}

func TestDemandIsEncodedWithinBounds(t *testing.T) {
	is := is.New(t)
	m := &message{Node: "n", HasDemands: true, Demands: []admission.Demand{
		{Class: admission.Class{Service: 7, Priority: 9}, OnTime: 3, Late: 400, ArrivalsPerSecond: 1.25, PlaceMs: 1200},
		{Class: admission.Class{Service: 8}, OnTime: -1, ArrivalsPerSecond: math.NaN(), PlaceMs: math.Inf(1)},
	}}
	decoded, err := decode(m.encode())
	is.NoErr(err)
	is.Equal(decoded.Demands[0], m.Demands[0])
	is.Equal(decoded.Demands[1], admission.Demand{Class: admission.Class{Service: 8}, PlaceMs: maxCount})
	for range maxDemands {
		m.Demands = append(m.Demands, admission.Demand{OnTime: 5})
	}
	decoded, err = decode(m.encode())
	is.NoErr(err)
	is.Equal(len(decoded.Demands), maxDemands)
	is.Equal(boundDemands(m.Demands)[0].Late, 400) // the most waiting first
	m.Demands = nil
	decoded, err = decode(m.encode())
	is.NoErr(err)
	is.True(decoded.HasDemands) // nothing waits any more
}

// TestDecodeIgnoresUnknownSection guards fleets with nodes of two versions: a later section must not make a
// datagram unreadable.
func TestDecodeIgnoresUnknownSection(t *testing.T) {
	is := is.New(t)
	m := &message{Node: "n", Incarnation: 1, Sequence: 2, Limits: []placement.LimitUpdate{{Incarnation: 5}}}
	data := m.encode()
	const unknownFlag = 1 << 15
	binary.BigEndian.PutUint16(data[1:], binary.BigEndian.Uint16(data[1:])|unknownFlag)
	decoded, err := decode(append(data, 0xff, 0xff, 1))
	is.NoErr(err)
	is.Equal(len(decoded.Limits), 1)
}

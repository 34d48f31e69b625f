package loadshare

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// replacedNodes is how many nodes of the directory are gone.
const replacedNodes = 5000

// fleetAfterGrace is the largest fleet that is also played until the entries no longer count: with
// the race detector more takes minutes.
const fleetAfterGrace = 100

// replacedDirectory lists nodes that are gone, which would precede the live ones.
func replacedDirectory() *memoryDirectory {
	d := &memoryDirectory{}
	for i := range replacedNodes {
		d.revision++
		d.nodes = append(d.nodes, Node{
			Name: fmt.Sprintf("gone-%04d", i), Zone: zoneOf(i), Capacity: 2, Revision: d.revision,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1),
		})
	}
	return d
}

// TestRestartOfAllAfterManyReplacements starts all nodes of a fleet at once, after 5,000 others were
// replaced whose entries are left: nodes that are gone must not be waited for or counted.
func TestRestartOfAllAfterManyReplacements(t *testing.T) {
	for _, size := range []int{4, 84, 295} {
		t.Run(fmt.Sprintf("%d nodes", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSimulatedFleetIn(t, size, replacedDirectory())
				// A view that is not confirmed for 4.5 s is not used.
				time.Sleep(4 * time.Second)
				publishers := 0
				for _, node := range f.nodes {
					if node.agent.IsPublisher() {
						publishers++
					}
					is.True(node.agent.StaleCallSpacing() <= time.Duration(size)*fleetCallSpacing)
				}
				is.True(publishers >= 1)
				is.True(publishers <= 2*zonesInTest)
				end := f.nodes[size-1].place()
				time.Sleep(spreadTime)
				f.expectOccupied(1)
				end()
				time.Sleep(spreadTime)
				f.expectOccupied(0)
				if size > fleetAfterGrace {
					return
				}
				time.Sleep(removeAfter + unresponsiveAfter - 4*time.Second)
				f.network.mutex.Lock()
				clear(f.network.unreached)
				f.network.mutex.Unlock()
				const seconds = 3
				time.Sleep(seconds * time.Second)
				for i, node := range f.nodes {
					node.agent.mutex.Lock()
					if got := node.agent.nodeCount; got != size {
						t.Errorf("node %d counts %d nodes", i, got)
					}
					if got := node.agent.relayed(); got != (size > maxDirectNodes) {
						t.Errorf("node %d: relayed %v", i, got)
					}
					node.agent.mutex.Unlock()
				}
				f.network.mutex.Lock()
				defer f.network.mutex.Unlock()
				for from, bytes := range f.network.unreached {
					// The stated limit for control is 20 KB/s a node.
					if bytes > seconds*20_000 {
						t.Errorf("%s sent %d bytes in %d s to nodes that are gone", from, bytes, seconds)
					}
				}
			})
		})
	}
}

// TestEntriesOfNodesThatAreGoneEnd plays hours in which the directory is read and written: the entries
// of nodes that are gone end, those of live ones never, also of a node of the older version, which
// writes its entry only once, and after the directory was away for an hour.
func TestEntriesOfNodesThatAreGoneEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := replacedDirectory()
		directory.nodes = directory.nodes[:100]
		directory.once = "node-003"
		const size = 4
		f := newSimulatedFleetIn(t, size, directory)
		count := func() (gone, live int) {
			directory.mutex.Lock()
			defer directory.mutex.Unlock()
			for _, node := range directory.nodes {
				if node.Capacity == 2 {
					gone++
				} else {
					live++
				}
			}
			return gone, live
		}
		time.Sleep(entryTTL / 2)
		directory.mutex.Lock()
		directory.away = true
		directory.mutex.Unlock()
		time.Sleep(time.Hour)
		directory.mutex.Lock()
		directory.away, directory.writes = false, 0
		directory.mutex.Unlock()
		for range 50 {
			time.Sleep(time.Minute)
			gone, live := count()
			is.Equal(gone, 100) // their age begins anew
			is.Equal(live, size)
		}
		time.Sleep(30 * time.Minute)
		gone, live := count()
		is.Equal(gone, 0)
		is.Equal(live, size)
		directory.mutex.Lock()
		directory.nodes = slices.DeleteFunc(directory.nodes, func(n Node) bool { return n.Name == "node-001" })
		directory.mutex.Unlock()
		time.Sleep(2*directoryInterval + time.Second)
		_, live = count()
		is.Equal(live, size) // a node whose entry is missing writes it again
		directory.mutex.Lock()
		defer directory.mutex.Unlock()
		const hours = 80.0 / 60
		// Renewals, and both publishers' removals.
		is.True(float64(directory.writes) <= 2*size*hours*float64(time.Hour/renewInterval)+20)
		agent := f.nodes[0].agent
		agent.mutex.Lock()
		defer agent.mutex.Unlock()
		is.True(len(agent.peers)+len(agent.unheard) < 2*size) // memory follows
	})
}

func TestAgesOfEntries(t *testing.T) {
	const live, gone, silent = "live", "gone", "silent"
	entries := func(at time.Duration) *Entries {
		return &Entries{At: at, Nodes: []Node{{Name: live, Zone: "a", Revision: 1}, {Name: gone, Zone: "a", Revision: 2}, {Name: silent, Zone: "b", Revision: 3}}}
	}
	names := func(e *entryAges, at time.Duration) (names []string) {
		for _, node := range e.outdated(entries(at).Nodes, func(name string, _ time.Duration) bool { return name == live }, func(zone string) bool { return zone == "a" }) {
			names = append(names, node.Name)
		}
		return names
	}
	read := func(e *entryAges, from, to time.Duration) {
		for at := from; at <= to; at += directoryInterval {
			e.observe(entries(at))
		}
	}
	const late = entryTTL + directoryInterval
	for _, test := range []struct {
		name string
		play func(e *entryAges)
		want []string
	}{
		{"read regularly", func(e *entryAges) { read(e, 0, late) }, []string{gone}},
		{"too early", func(e *entryAges) { read(e, 0, entryTTL) }, nil},
		{"directory away for an hour", func(e *entryAges) { read(e, 0, entryTTL/2); read(e, entryTTL/2+time.Hour, late+time.Hour) }, nil},
		{"clock back", func(e *entryAges) { read(e, entryTTL, 2*entryTTL); read(e, 0, entryTTL/2) }, nil},
		{"restored from a backup", func(e *entryAges) {
			read(e, 0, entryTTL)
			later := entries(late)
			later.Era = 1
			e.observe(later)
		}, nil},
		{"renewed", func(e *entryAges) {
			read(e, 0, entryTTL)
			later := entries(late)
			later.Nodes[1].Revision = 9
			e.observe(later)
		}, nil},
		{"zone silent for a day", func(e *entryAges) { read(e, 0, silentZoneEntryTTL+directoryInterval) }, []string{gone, silent}},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := &entryAges{}
			test.play(e)
			is.New(t).Equal(names(e, e.readAt), test.want)
		})
	}
}

// TestUpstreamIsPolledByFewNodesAtTheStart starts all nodes at once: until they know of each other, not each
// of them may poll each upstream.
func TestUpstreamIsPolledByFewNodesAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, fleetAfterGrace)
		const step = 10 * time.Millisecond
		polls := 0
		for range 3 * time.Second / step {
			time.Sleep(step)
			for _, node := range f.nodes {
				if node.agent.IsOwner("u", "z0") {
					polls++
				}
			}
		}
		// One owner a zone for the first second, until the zones know of each other, and then one.
		if most := (zonesInTest + 2) * int(time.Second/step); polls > most {
			t.Errorf("%d polls by %d nodes, want at most %d", polls, len(f.nodes), most)
		}
		t.Logf("%d polls", polls)
	})
}

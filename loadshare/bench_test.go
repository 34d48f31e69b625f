package loadshare

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
)

// BenchmarkBundle takes in one bundle of a zone's relay among 295 nodes: 8 members with two
// updates each, and the sums of four other zones with 15 updates each.
func BenchmarkBundle(b *testing.B) {
	a := newUnconnectedAgent()
	a.self.Zone = "z0"
	var nodes []Node
	for i := range 294 {
		nodes = append(nodes, Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: 0.2})
	}
	a.addNodes(nodes)
	for i := range nodes {
		a.handle(&message{Node: nodes[i].Name, Incarnation: 1, Relayed: true}, netip.AddrPort{})
	}
	relay := a.relay.ranked["z0"][0].Name
	content := &bundle{Nodes: 59}
	update := placement.LoadUpdate{Hash: placement.Hash("u"), Totals: placement.Totals{Running: 2, MemoryTokens: 9000}, AddedPrefillMs: 25}
	for i := range 8 {
		content.Members = append(content.Members, memberLoad{Hash: uint32(i), Shares: []placement.LoadUpdate{update, update}})
	}
	m := &message{Node: relay, Incarnation: 1, Relayed: true, Bundle: content}
	for zone := 1; zone < 5; zone++ {
		sums := zoneLoad{Zone: fmt.Sprintf("z%d", zone), Relay: 1, Incarnation: 1, Nodes: 59}
		for range 15 {
			sums.Shares = append(sums.Shares, update)
		}
		m.Zones = append(m.Zones, sums)
	}
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		m.Sequence, m.SentAt = sequence, time.Duration(sequence)*relayInterval
		for i := range m.Zones {
			m.Zones[i].Sequence = sequence
			m.Zones[i].Full = sequence == 1
		}
		data := m.encode()
		decoded, err := decode(data)
		if err != nil {
			b.Fatal(err)
		}
		a.handle(decoded, netip.AddrPort{})
	}
	b.ReportMetric(float64(len(m.encode())), "bytes")
}

package budget

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandle measures one report on one resource, by the number of nodes.
func BenchmarkHandle(b *testing.B) {
	for _, nodes := range []int{9, 320} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { benchmarkHandle(b, nodes) })
	}
}

func benchmarkHandle(b *testing.B, nodes int) {
	now := time.Unix(1000, 0)
	a := NewAllocator("keeper", DefaultTiming(), now)
	a.Configure([]Resource{{
		Name: "upstream", Capacity: Amount{256, 4_000_000}, Lease: "lease", NodeSlotsPercent: 50, NodeKVPercent: 100,
	}})
	writeLease(a, now)
	for i := range b.N {
		if now.After(a.leases["lease"].renewedAt.Add(a.timing.RenewalInterval)) {
			writeLease(a, now)
		}
		now = now.Add(500 * time.Millisecond / time.Duration(nodes))
		a.Handle(now, Report{
			Node: fmt.Sprint("node-", i%nodes), Sequence: uint64(i + 1), Allocator: "keeper", Echo: now.Sub(a.started),
			Usages: []Usage{{Resource: "upstream", Waiting: Amount{3, 60_000}}},
		})
	}
}

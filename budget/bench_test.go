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
	k := NewKeeper("keeper", DefaultTiming(), now)
	k.Configure([]Resource{{
		Name: "upstream", Capacity: Amount{256, 4_000_000}, Lease: "lease", NodeSlotsPercent: 50, NodeKVPercent: 100,
	}})
	hold(k, now)
	for i := range b.N {
		if now.After(k.leases["lease"].renewed.Add(k.timing.Renewal)) {
			hold(k, now)
		}
		now = now.Add(500 * time.Millisecond / time.Duration(nodes))
		k.Handle(now, Report{
			Node: fmt.Sprint("node-", i%nodes), Sequence: uint64(i + 1), Keeper: "keeper", Echo: now.Sub(k.started),
			Usages: []Usage{{Resource: "upstream", Waiting: Amount{3, 60_000}}},
		})
	}
}

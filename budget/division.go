package budget

import (
	"maps"
	"slices"
	"time"
)

const (
	// divisionLifetime is how long a division stands before it is worked out anew.
	divisionLifetime = 100 * time.Millisecond
	// floorDivisor sets the least want of a node that expects work: an even
	// part of the limit over this.
	floorDivisor = 8
	// rotation is how long one node is first in line for memory in one piece.
	rotation = 2 * time.Second
)

// division is a fair division of a resource among the nodes that report.
type division struct {
	at     time.Time
	shares map[string]Amount
}

// target is the node's part of the division, worked out anew when it is old or
// the node's want has grown past its part.
func (l *ledger) target(now time.Time, node string, total Amount) Amount {
	usage := l.entries[node].usage
	if usage.Idle {
		return Amount{}
	}
	part, ok := l.division.shares[node]
	if !ok || now.Sub(l.division.at) >= divisionLifetime {
		l.division = l.divide(now, total)
		part = l.division.shares[node]
	}
	return part
}

// divide works out the division. Total is what all nodes can hold, of which
// those that don't report keep their part.
func (l *ledger) divide(now time.Time, total Amount) division {
	live := l.live(now)
	silent := total
	for _, name := range live {
		silent = silent.Sub(l.entries[name].charged)
	}
	limit := l.limit(now)
	left := limit.Sub(silent).Max(Amount{})
	floor := limit.Scale(1 / float64(floorDivisor*len(live)))
	slots := make([]int, len(live))
	memory := make([]int, len(live))
	for i, name := range live {
		usage := l.entries[name].usage
		want := usage.Running.Add(usage.Waiting).Max(floor)
		slots[i], memory[i] = want.Slots, want.KVTokens
	}
	most := l.resource.nodeLimit()
	slots = spread(left.Slots, most.Slots, slots)
	memory = spread(left.KVTokens, most.KVTokens, memory)
	l.pool(now, live, memory)
	shares := map[string]Amount{}
	for i, name := range live {
		shares[name] = Amount{slots[i], memory[i]}
	}
	return division{at: now, shares: shares}
}

// pool takes memory from nodes whose part is too small for their next piece of
// work and gives it to the first of them in full, by turns.
func (l *ledger) pool(now time.Time, live []string, memory []int) {
	free := 0
	var short []int
	for i, name := range live {
		usage := l.entries[name].usage
		if usage.Next.KVTokens == 0 || memory[i] >= usage.Running.KVTokens+usage.Next.KVTokens {
			continue
		}
		kept := min(memory[i], usage.Running.KVTokens)
		free += memory[i] - kept
		memory[i] = kept
		short = append(short, i)
	}
	turn := int(now.UnixNano() / int64(rotation))
	for place := range short {
		i := short[(place+turn)%len(short)]
		usage := l.entries[live[i]].usage
		need := usage.Running.KVTokens + usage.Next.KVTokens - memory[i]
		if need <= free {
			memory[i] += need
			free -= need
		}
	}
}

// live returns the nodes that report and expect work, sorted.
func (l *ledger) live(now time.Time) []string {
	var live []string
	for _, name := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[name]
		if l.heard(now, e) && !e.usage.Idle {
			live = append(live, name)
		}
	}
	return live
}

package budget

import (
	"maps"
	"slices"
	"time"
)

const (
	// divisionLifetime is how long a division is used before it is recomputed.
	divisionLifetime = 100 * time.Millisecond
	// minDemandDivisor sets the minimum demand of a node that expects requests:
	// the even part of the limit divided by this.
	minDemandDivisor = 8
	// poolTurn is how long one node has priority for pooled memory.
	poolTurn = 2 * time.Second
)

// division is a fair division of a resource among the reporting nodes.
type division struct {
	at     time.Time
	shares map[string]Amount
}

// fairShare returns the node's part of the division. The division is recomputed
// when it is old or has no part for the node.
func (a *allocation) fairShare(now time.Time, node string, total Amount) Amount {
	usage := a.nodes[node].usage
	if usage.Idle {
		return Amount{}
	}
	share, ok := a.division.shares[node]
	if !ok || now.Sub(a.division.at) >= divisionLifetime {
		a.division = a.divide(now, total)
		share = a.division.shares[node]
	}
	return share
}

// divide computes the division. Total is the most that all nodes can hold;
// nodes that do not report keep their part of it.
func (a *allocation) divide(now time.Time, total Amount) division {
	active := a.activeNodes(now)
	unreported := total
	for _, name := range active {
		unreported = unreported.Sub(a.nodes[name].charged)
	}
	limit := a.limit(now)
	left := limit.Sub(unreported).Max(Amount{})
	minDemand := limit.Scale(1 / float64(minDemandDivisor*len(active)))
	slots := make([]int, len(active))
	memory := make([]int, len(active))
	for i, name := range active {
		usage := a.nodes[name].usage
		demand := usage.Running.Add(usage.Waiting).Max(minDemand)
		slots[i], memory[i] = demand.Slots, demand.KVTokens
	}
	most := a.resource.nodeLimit()
	slots = divideAll(left.Slots, most.Slots, slots)
	memory = divideAll(left.KVTokens, most.KVTokens, memory)
	a.poolMemory(now, active, memory)
	shares := map[string]Amount{}
	for i, name := range active {
		shares[name] = Amount{slots[i], memory[i]}
	}
	return division{at: now, shares: shares}
}

// poolMemory takes memory from nodes whose part is too small for their next
// request and gives the first of them all that it needs. The nodes take turns
// at being first.
func (a *allocation) poolMemory(now time.Time, active []string, memory []int) {
	free := 0
	var waiting []int
	for i, name := range active {
		usage := a.nodes[name].usage
		if usage.Next.KVTokens == 0 || memory[i] >= usage.Running.KVTokens+usage.Next.KVTokens {
			continue
		}
		kept := min(memory[i], usage.Running.KVTokens)
		free += memory[i] - kept
		memory[i] = kept
		waiting = append(waiting, i)
	}
	turn := int(now.UnixNano() / int64(poolTurn))
	for place := range waiting {
		i := waiting[(place+turn)%len(waiting)]
		usage := a.nodes[active[i]].usage
		need := usage.Running.KVTokens + usage.Next.KVTokens - memory[i]
		if need <= free {
			memory[i] += need
			free -= need
		}
	}
}

// activeNodes returns the nodes that report and expect requests, sorted.
func (a *allocation) activeNodes(now time.Time) []string {
	var active []string
	for _, name := range slices.Sorted(maps.Keys(a.nodes)) {
		n := a.nodes[name]
		if a.reporting(now, n) && !n.usage.Idle {
			active = append(active, name)
		}
	}
	return active
}

package budget

import "time"

// sumsLifetime is how long sums are carried on before they are worked out anew.
const sumsLifetime = 100 * time.Millisecond

// sums are carried from report to report. They are never below the true ones:
// what only lowers those is taken in when they are worked out anew.
type sums struct {
	at time.Time
	// nodes is the generation of the known nodes that total counts.
	nodes uint64
	// total is the most that all nodes can hold, fallback their fallback shares.
	total, fallback Amount
}

// known holds the nodes that a keeper knows of.
type known struct {
	// last maps a node to when it was last known to live.
	last map[string]time.Time
	// generation grows when a node is added.
	generation uint64
}

// add records that a node lives, or did at some time.
func (k *known) add(now time.Time, node string) {
	if _, ok := k.last[node]; !ok {
		k.generation++
	}
	k.last[node] = now
}

// refresh works the sums out anew when they are old or may be too low, and
// reports whether they were sound.
func (l *ledger) refresh(now time.Time, k known) bool {
	whole := !l.sums.at.IsZero() && l.sums.nodes == k.generation
	if whole && now.Sub(l.sums.at) < sumsLifetime {
		return true
	}
	carried := l.sums.total
	l.sums = sums{at: now, nodes: k.generation, total: l.total(now, k)}
	for _, e := range l.entries {
		l.sums.fallback = l.sums.fallback.Add(e.fallbackCharge())
	}
	return !whole || l.sums.total.Within(carried)
}

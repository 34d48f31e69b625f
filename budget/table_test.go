package budget

import (
	"slices"
	"time"
)

const (
	tableDelay   = 200 * time.Millisecond
	tableTimeout = time.Second
	// lateEffect is the longest time after the start of a call whose answer is
	// lost at which it may still take effect.
	lateEffect = 4 * time.Second
)

// simulatedTable is the platform's table: its conditional writes are slow,
// answers can be lost, and it is unavailable at times.
type simulatedTable struct {
	rows   map[string]simulatedRow
	calls  []*simulatedCall
	down   bool
	loss   float64
	reads  int
	writes int
}

type simulatedRow struct {
	version uint64
	row     LeaseRow
}

// simulatedCall is a call in flight. It takes effect at effectAt, unless that
// is zero, and the caller gets its answer at answerAt.
type simulatedCall struct {
	node               string
	call               LeaseCall
	effectAt, answerAt time.Duration
	lost               bool
	outcome            Outcome
	found              simulatedRow
}

func newSimulatedTable() *simulatedTable {
	return &simulatedTable{rows: map[string]simulatedRow{}}
}

// callTable starts the calls that a node's leases need.
func (s *simulation) callTable(n *simulatedNode, now time.Time) {
	calls := n.allocator.Calls(now, func(lease string) bool { return s.ownerOf(n, lease) == n.name })
	for _, call := range calls {
		s.table.begin(s, n.name, call)
	}
}

func (t *simulatedTable) begin(s *simulation, node string, call LeaseCall) {
	c := &simulatedCall{node: node, call: call, outcome: Unknown}
	if call.Write {
		t.writes++
	} else {
		t.reads++
	}
	if t.down {
		c.outcome = Refused
		c.answerAt = s.now + tableDelay
		t.calls = append(t.calls, c)
		return
	}
	c.effectAt = s.now + simulationStep + time.Duration(s.random.Int64N(int64(tableDelay)))
	c.answerAt = c.effectAt + simulationStep
	if s.random.Float64() < t.loss {
		c.lost = true
		c.answerAt = s.now + tableTimeout
		c.effectAt = s.now + simulationStep + time.Duration(s.random.Int64N(int64(lateEffect)))
		if s.random.IntN(3) == 0 {
			c.effectAt = 0 // it never takes effect
		}
	}
	t.calls = append(t.calls, c)
}

// step lets calls take effect and delivers answers to nodes that are not
// paused.
func (t *simulatedTable) step(s *simulation) {
	for _, c := range t.calls {
		if c.effectAt > 0 && c.effectAt <= s.now {
			c.effectAt = 0
			t.apply(c)
		}
	}
	t.calls = slices.DeleteFunc(t.calls, func(c *simulatedCall) bool {
		n := s.find(c.node)
		if c.answerAt > 0 && c.answerAt <= s.now && (n == nil || n.dead || !n.paused) {
			c.answerAt = 0
			if n != nil && !n.dead {
				c.finish(n, n.clock(s.now))
			}
		}
		return c.answerAt == 0 && c.effectAt == 0
	})
}

func (t *simulatedTable) apply(c *simulatedCall) {
	row := t.rows[c.call.Lease]
	if !c.call.Write {
		c.found, c.outcome = row, Written
		return
	}
	if row.version != c.call.IfVersion {
		c.outcome = Conflict
		return
	}
	c.outcome = Written
	t.rows[c.call.Lease] = simulatedRow{version: row.version + 1, row: c.call.Row}
}

func (c *simulatedCall) finish(n *simulatedNode, now time.Time) {
	outcome := c.outcome
	if c.lost {
		outcome = Unknown
	}
	switch {
	case c.call.Write:
		n.allocator.WriteDone(now, c.call, outcome)
	case outcome == Written:
		n.allocator.ReadDone(now, c.call, c.found.version, c.found.row)
	default:
		n.allocator.ReadFailed(c.call)
	}
}

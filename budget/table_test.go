package budget

import (
	"slices"
	"time"
)

const (
	tableDelay   = 200 * time.Millisecond
	tableTimeout = time.Second
	// lateEffect is the longest time after a timeout at which a write may still
	// take effect.
	lateEffect = 4 * time.Second
)

// modelTable is the platform's table: conditional writes whose calls are slow,
// whose answers are lost, and that is down at times.
type modelTable struct {
	rows   map[string]modelRow
	calls  []*tableCall
	down   bool
	loss   float64
	reads  int
	writes int
}

type modelRow struct {
	version uint64
	row     LeaseRow
}

// tableCall is a call on its way. It takes effect at effect, unless that is
// zero, and the caller has its answer at answer.
type tableCall struct {
	node           string
	call           LeaseCall
	effect, answer time.Duration
	lost           bool
	outcome        Outcome
	found          modelRow
}

func newModelTable() *modelTable {
	return &modelTable{rows: map[string]modelRow{}}
}

// callTable starts the calls that a node's leases need.
func (w *world) callTable(n *worldNode, now time.Time) {
	calls := n.keeper.Calls(now, func(lease string) bool { return w.owner(n, lease) == n.name })
	for _, call := range calls {
		w.table.begin(w, n.name, call)
	}
}

func (t *modelTable) begin(w *world, node string, call LeaseCall) {
	c := &tableCall{node: node, call: call, outcome: Unknown}
	if call.Write {
		t.writes++
	} else {
		t.reads++
	}
	if t.down {
		c.outcome = Refused
		c.answer = w.now + tableDelay
		t.calls = append(t.calls, c)
		return
	}
	c.effect = w.now + worldStep + time.Duration(w.random.Int64N(int64(tableDelay)))
	c.answer = c.effect + worldStep
	if w.random.Float64() < t.loss {
		c.lost = true
		c.answer = w.now + tableTimeout
		c.effect = w.now + worldStep + time.Duration(w.random.Int64N(int64(lateEffect)))
		if w.random.IntN(3) == 0 {
			c.effect = 0 // it never takes effect
		}
	}
	t.calls = append(t.calls, c)
}

// step lets calls take effect and answers arrive, at nodes that are not paused.
func (t *modelTable) step(w *world) {
	for _, c := range t.calls {
		if c.effect > 0 && c.effect <= w.now {
			c.effect = 0
			t.apply(c)
		}
	}
	t.calls = slices.DeleteFunc(t.calls, func(c *tableCall) bool {
		n := w.find(c.node)
		if c.answer > 0 && c.answer <= w.now && (n == nil || n.dead || !n.paused) {
			c.answer = 0
			if n != nil && !n.dead {
				c.finish(n, n.clock(w.now))
			}
		}
		return c.answer == 0 && c.effect == 0
	})
}

func (t *modelTable) apply(c *tableCall) {
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
	t.rows[c.call.Lease] = modelRow{version: row.version + 1, row: c.call.Row}
}

func (c *tableCall) finish(n *worldNode, now time.Time) {
	outcome := c.outcome
	if c.lost {
		outcome = Unknown
	}
	switch {
	case c.call.Write:
		n.keeper.WriteDone(now, c.call, outcome)
	case outcome == Written:
		n.keeper.ReadDone(now, c.call, c.found.version, c.found.row)
	default:
		n.keeper.ReadFailed(c.call)
	}
}

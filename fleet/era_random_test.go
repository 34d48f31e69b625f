package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// seeds can be raised for a long run: go test ./fleet -run Random -seeds 500.
var seeds = flag.Uint64("seeds", 40, "number of random runs")

// modelStore is the platform's store, with backups from which it is restored.
type modelStore struct {
	era, version int64
	rows         [tableCount]map[string]modelRow
	log          [tableCount][]modelRow
}

type modelRow struct {
	key     string
	version int64
	deleted bool
	change  Change
}

func (s *modelStore) copyOf() *modelStore {
	copied := &modelStore{era: s.era, version: s.version}
	for table := range tableCount {
		copied.rows[table] = map[string]modelRow{}
		for key, row := range s.rows[table] {
			copied.rows[table][key] = row
		}
		copied.log[table] = append([]modelRow(nil), s.log[table]...)
	}
	return copied
}

func (s *modelStore) write(table Table, row modelRow) {
	s.version++
	row.version = s.version
	if row.deleted {
		delete(s.rows[table], row.key)
	} else {
		s.rows[table][row.key] = row
	}
	s.log[table] = append(s.log[table], row)
}

// modelNode is a node: its replica, and the era in which it read each table.
type modelNode struct {
	replica *Replica
	cut     bool
	version int64
	// drainingSeen and zonesSeen are what this process has seen of the truth.
	drainingSeen map[string]int64
}

type eraRun struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Duration
	store  *modelStore
	copies []*modelStore
	// copiedAt is the time of the last backup.
	copiedAt time.Duration
	nodes    []*modelNode
	// truth is what the operator and the upstreams have said last; they write it again.
	document  int64
	zoneOut   bool
	upstreams map[string]*Upstream
	// restoredAt is when the store was last restored; rewritten is false until all is written again.
	restoredAt time.Duration
	rewritten  bool
}

func newEraRun(t *testing.T, seed uint64) *eraRun {
	r := &eraRun{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 9)), now: time.Minute, store: &modelStore{era: 1}, document: 1, upstreams: map[string]*Upstream{}, rewritten: true}
	for table := range tableCount {
		r.store.rows[table] = map[string]modelRow{}
	}
	r.writeDocument()
	for i := range 6 {
		r.upstreams[fmt.Sprintf("u%d", i)] = &Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Address: "a", Zone: "z", StartedMs: 1}
		r.writeUpstream(fmt.Sprintf("u%d", i))
	}
	for range 4 {
		r.nodes = append(r.nodes, newModelNode())
	}
	return r
}

func newModelNode() *modelNode {
	return &modelNode{replica: NewReplica(), drainingSeen: map[string]int64{}}
}

func (r *eraRun) writeDocument() {
	r.store.write(OperatorTable, modelRow{key: "config", change: document(r.document)})
}

func (r *eraRun) writeZone() {
	r.store.write(OperatorTable, modelRow{key: "zone", deleted: !r.zoneOut, change: Change{Zone: "z", InService: !r.zoneOut}})
}

func (r *eraRun) writeUpstream(id string) {
	if u := r.upstreams[id]; u != nil {
		entry := *u
		r.store.write(UpstreamTable, modelRow{key: id, change: Change{Upstream: &entry}})
		return
	}
	r.store.write(UpstreamTable, modelRow{key: id, deleted: true, change: Change{Removed: id}})
}

// poll reads a table as the follower does.
func (r *eraRun) poll(n *modelNode, table Table) {
	if n.cut {
		n.replica.RecordFailure(table)
		return
	}
	s := r.store
	if n.replica.Era(table) == s.era && n.replica.Revision(table) <= s.version && n.replica.Revision(table) > 0 {
		var changes []Change
		last := int64(0)
		for _, row := range s.log[table] {
			if row.version > n.replica.Revision(table) {
				changes, last = append(changes, row.change), row.version
			}
		}
		n.replica.Apply(table, changes, last, s.version, r.now, r.now)
		return
	}
	if s.era > n.replica.Era(table) {
		n.replica.BeginEra(table, s.era, r.now)
	}
	var changes []Change
	for _, row := range s.rows[table] {
		changes = append(changes, row.change)
	}
	n.replica.Replace(table, changes, s.version, r.now, r.now)
}

func (r *eraRun) pick() string { return fmt.Sprintf("u%d", r.random.IntN(6)) }

// act lets the operator, an upstream, the store, or a node do something.
func (r *eraRun) act() {
	id := r.pick()
	u := r.upstreams[id]
	switch r.random.IntN(14) {
	case 0:
		r.document++
		r.writeDocument()
	case 1:
		r.zoneOut = !r.zoneOut
		r.writeZone()
	case 2:
		if u != nil && !u.Draining {
			u.Draining = true
			r.writeUpstream(id)
		}
	case 3:
		if u != nil && u.Draining {
			delete(r.upstreams, id)
			r.writeUpstream(id)
		}
	case 4:
		if u == nil {
			r.upstreams[id] = &Upstream{ID: id, Service: "s", Address: "a", Zone: "z", StartedMs: r.now.Milliseconds()}
			r.writeUpstream(id)
		}
	case 5:
		r.copies, r.copiedAt = append(r.copies, r.store.copyOf()), r.now
	case 6:
		r.restore()
	case 7:
		n := r.nodes[r.random.IntN(len(r.nodes))]
		n.cut = !n.cut
	case 8:
		r.nodes[r.random.IntN(len(r.nodes))] = newModelNode()
	default:
		r.now += time.Duration(r.random.IntN(900)) * time.Millisecond
	}
}

// restore restores the store from a backup that is some seconds old.
func (r *eraRun) restore() {
	const maxCopyAge = 10 * time.Second
	if len(r.copies) == 0 || !r.rewritten || r.now-r.copiedAt > maxCopyAge {
		return
	}
	era := r.store.era
	r.store = r.copies[len(r.copies)-1].copyOf()
	r.store.era = era + 1
	r.copies = nil
	r.restoredAt, r.rewritten = r.now, false
}

// rewrite writes the present state again some time after a restore, as the operator and the upstreams do.
func (r *eraRun) rewrite() {
	if r.rewritten || r.now-r.restoredAt < 2*time.Second {
		return
	}
	r.rewritten = true
	r.writeDocument()
	r.writeZone()
	for i := range 6 {
		r.writeUpstream(fmt.Sprintf("u%d", i))
	}
}

// exchange lets a node confirm another's tables.
func (r *eraRun) exchange() {
	from, to := r.nodes[r.random.IntN(len(r.nodes))], r.nodes[r.random.IntN(len(r.nodes))]
	for table, watermark := range from.replica.Watermarks() {
		to.replica.ApplyWatermark(Table(table), watermark, r.now)
		if holds := from.replica.Holds(Table(table), r.now); holds != nil {
			to.replica.ApplyHolds(*holds, r.now)
		}
	}
	r.checkHolds(from, to)
}

// checkHolds checks that a node that has read the backup only is not behind one that told it more.
func (r *eraRun) checkHolds(from, to *modelNode) {
	if !to.replica.Synced() || from.replica.eraBeganAt[OperatorTable] == 0 || r.now-from.replica.eraBeganAt[OperatorTable] > eraHold ||
		from.replica.Era(OperatorTable) != to.replica.Era(OperatorTable) {
		return
	}
	if got, told := to.replica.View().Configuration.Version, from.replica.View().Configuration.Version; got < told {
		r.t.Fatalf("seed %d: a node has document %d and was told %d", r.seed, got, told)
	}
	for zone := range from.replica.held.zones {
		if !to.replica.View().ZonesOutOfService[zone] && !to.replica.zonesSaid[zone] {
			r.t.Fatalf("seed %d: a node has %s in service and was told that it is not", r.seed, zone)
		}
	}
}

// check checks what each process knows against what it knew.
func (r *eraRun) check() {
	for i, n := range r.nodes {
		view := n.replica.View()
		if view.Configuration != nil {
			if view.Configuration.Version < n.version {
				r.t.Fatalf("seed %d: node %d went back from document %d to %d", r.seed, i, n.version, view.Configuration.Version)
			}
			n.version = view.Configuration.Version
		}
		for id, entry := range view.Upstreams {
			if !entry.Draining && n.drainingSeen[id] >= entry.StartedMs {
				r.t.Fatalf("seed %d: node %d has %s as ready, which it knew to drain", r.seed, i, id)
			}
			if entry.Draining && entry.heldUntil == 0 {
				n.drainingSeen[id] = entry.StartedMs
			}
		}
	}
}

// converge lets all settle and compares each node with the truth.
func (r *eraRun) converge() {
	r.now += 3 * time.Second
	r.rewrite()
	r.now += eraHold
	// A node that was cut until now begins its holds now.
	for range 2 {
		for _, n := range r.nodes {
			n.cut = false
			r.poll(n, OperatorTable)
			r.poll(n, UpstreamTable)
			n.replica.RemoveExpired(r.now)
		}
		r.now += eraHold
	}
	for i, n := range r.nodes {
		r.poll(n, OperatorTable)
		r.poll(n, UpstreamTable)
		n.replica.RemoveExpired(r.now)
		view := n.replica.View()
		if view.Configuration.Version != r.document || view.ZonesOutOfService["z"] != r.zoneOut {
			r.t.Fatalf("seed %d: node %d has document %d and zone out %v, want %d and %v", r.seed, i, view.Configuration.Version, view.ZonesOutOfService["z"], r.document, r.zoneOut)
		}
		for id, want := range r.upstreams {
			if got := view.Upstreams[id]; got == nil || got.Draining != want.Draining || got.StartedMs != want.StartedMs {
				r.t.Fatalf("seed %d: node %d has %+v for %s, want %+v", r.seed, i, got, id, want)
			}
		}
		if len(view.Upstreams) != len(r.upstreams) {
			r.t.Fatalf("seed %d: node %d has %d upstreams, want %d", r.seed, i, len(view.Upstreams), len(r.upstreams))
		}
	}
}

// TestRandomRestoresRevertNothing plays several nodes, a store that is restored from backups,
// cuts, restarts, and an operator and upstreams that write again.
func TestRandomRestoresRevertNothing(t *testing.T) {
	for seed := range *seeds {
		r := newEraRun(t, seed)
		for range 300 {
			r.act()
			r.rewrite()
			for _, n := range r.nodes {
				if r.random.IntN(3) == 0 {
					r.poll(n, Table(r.random.IntN(int(tableCount))))
				}
				n.replica.RemoveExpired(r.now)
			}
			r.exchange()
			r.check()
		}
		r.converge()
	}
}

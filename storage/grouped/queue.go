package grouped

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	// GroupRows bounds the writes of one group. It is far under the platform's
	// limit, as one conflict fails the group.
	GroupRows = 32
	// groupBytes bounds the keys and values of one group.
	groupBytes = 1 << 20
	// outcomeRows is the part of a group that claims leave to outcomes.
	outcomeRows = GroupRows / 4
	// waitingRows and waitingBytes bound what waits at one node.
	waitingRows  = 4096
	waitingBytes = 16 << 20
)

// fillOrder says how a group is filled: each step adds writes of a class until
// the group has so many rows.
var fillOrder = [...]struct {
	class Class
	rows  int
}{
	{Claim, GroupRows - outcomeRows},
	{Outcome, GroupRows},
	{Claim, GroupRows},
	{Upkeep, GroupRows},
}

// Queue holds the writes that wait at one node, in order of arrival by class.
type Queue struct {
	waiting [classes][]Pending
	rows    int
	bytes   int
	// sent holds the keys of the groups that are on their way.
	sent map[string]bool
	// shared is true for reads, of which several may have the same key.
	shared bool
}

// NewQueue returns an empty queue for writes.
func NewQueue() *Queue {
	return &Queue{sent: map[string]bool{}}
}

// NewReadQueue returns an empty queue for reads.
func NewReadQueue() *Queue {
	return &Queue{sent: map[string]bool{}, shared: true}
}

// Len returns how many writes wait.
func (q *Queue) Len() int {
	return q.rows
}

// Urgent reports whether more than upkeep waits.
func (q *Queue) Urgent() bool {
	return len(q.waiting[Claim])+len(q.waiting[Outcome]) > 0
}

// Add appends a write. It reports false when the queue is full.
func (q *Queue) Add(p Pending) bool {
	if q.rows >= waitingRows || q.bytes+p.size() > waitingBytes {
		return false
	}
	q.waiting[p.Class] = append(q.waiting[p.Class], p)
	q.count(p, 1)
	return true
}

func (q *Queue) count(p Pending, sign int) {
	q.rows += sign
	q.bytes += sign * p.size()
}

// Next removes and returns the next group, or nil. Its keys stay taken until
// Done, so that two groups on their way never hold the same key.
func (q *Queue) Next() []Pending {
	g := &group{taken: q.sent, shared: q.shared}
	for _, step := range fillOrder {
		q.fill(g, step.class, step.rows)
	}
	return g.members
}

// fill moves writes of a class into the group until it has so many rows. Those
// that can't join it stay where they are.
func (q *Queue) fill(g *group, class Class, rows int) {
	waiting := q.waiting[class]
	kept := 0
	for i, p := range waiting {
		if g.rows >= rows {
			q.waiting[class] = slices.Delete(waiting, kept, i)
			return
		}
		if g.add(p) {
			q.count(p, -1)
			continue
		}
		waiting[kept] = p
		kept++
	}
	q.waiting[class] = slices.Delete(waiting, kept, len(waiting))
}

// group is one that is being filled.
type group struct {
	members []Pending
	rows    int
	bytes   int
	taken   map[string]bool
	shared  bool
}

// add reports whether the member joined the group. The first may be of any size.
func (g *group) add(p Pending) bool {
	if !g.shared && slices.ContainsFunc(p.writes(), func(w storage.Write) bool { return g.taken[w.Key] }) {
		return false
	}
	over := g.rows+p.rows() > GroupRows || g.bytes+p.size() > groupBytes
	if len(g.members) > 0 && (p.alone || g.members[0].alone || over) {
		return false
	}
	for _, write := range p.writes() {
		g.taken[write.Key] = true
	}
	g.members = append(g.members, p)
	g.rows += p.rows()
	g.bytes += p.size()
	return true
}

// Done frees the keys of a group that Next returned.
func (q *Queue) Done(group []Pending) {
	for _, write := range Writes(group) {
		delete(q.sent, write.Key)
	}
}

// Again puts members of a group back to the front. They have waited already, so
// that a full queue takes them too.
func (q *Queue) Again(members []Pending) {
	for _, p := range slices.Backward(members) {
		q.waiting[p.Class] = slices.Insert(q.waiting[p.Class], 0, p)
		q.count(p, 1)
	}
}

// Overtaken removes and returns the waiting writes whose condition fails now
// that a group has taken effect.
func (q *Queue) Overtaken(applied []Pending) []Pending {
	versions := map[string]uint64{}
	for _, write := range Writes(applied) {
		versions[write.Key] = versionAfter(write)
	}
	return q.remove(func(p Pending) bool {
		return slices.ContainsFunc(p.writes(), func(w storage.Write) bool {
			version, ok := versions[w.Key]
			return ok && w.IfVersion != version
		})
	})
}

// Expire removes and returns the writes that must not be sent any more.
func (q *Queue) Expire(now time.Time) []Pending {
	return q.remove(func(p Pending) bool { return p.Late(now) })
}

// Clear removes and returns everything that waits.
func (q *Queue) Clear() []Pending {
	return q.remove(func(Pending) bool { return true })
}

// Withdraw removes one write and reports whether it still waited.
func (q *Queue) Withdraw(id uint64) bool {
	return len(q.remove(func(p Pending) bool { return p.ID == id })) > 0
}

func (q *Queue) remove(match func(Pending) bool) []Pending {
	var removed []Pending
	for class := range q.waiting {
		q.waiting[class] = slices.DeleteFunc(q.waiting[class], func(p Pending) bool {
			if !match(p) {
				return false
			}
			removed = append(removed, p)
			q.count(p, -1)
			return true
		})
	}
	return removed
}

// Resolve splits a group whose transaction met a conflict by its rows as they
// were read afterwards. The transaction had no effect, so that the second list
// may be sent again. Where no row shows the conflict, each member goes alone.
func Resolve(group []Pending, rows []storage.Row) (conflicting, again []Pending) {
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	for _, p := range group {
		failed := func(w storage.Write) bool { return versions[w.Key] != w.IfVersion }
		if !slices.ContainsFunc(p.writes(), failed) {
			again = append(again, p)
			continue
		}
		conflicting = append(conflicting, p)
	}
	if len(conflicting) == 0 {
		for i := range again {
			again[i].alone = true
		}
	}
	return conflicting, again
}

// Writes returns the members' writes as one transaction.
func Writes(group []Pending) []storage.Write {
	var writes []storage.Write
	for _, p := range group {
		writes = append(writes, p.writes()...)
	}
	return writes
}

// Keys returns the members' keys, each once.
func Keys(group []Pending) []string {
	var keys []string
	for _, write := range Writes(group) {
		keys = append(keys, write.Key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

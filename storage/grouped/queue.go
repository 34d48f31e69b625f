package grouped

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	// MaxGroupRows is the maximum number of rows of one group. It is far below the
	// platform's limit, because one conflict fails the whole group.
	MaxGroupRows = 32
	// maxGroupBytes bounds the total size of a group's keys and values.
	maxGroupBytes = 1 << 20
	// reservedOutcomeRows is the part of a group that is reserved for
	// outcomes.
	reservedOutcomeRows = MaxGroupRows / 4
	// maxWaiting and maxWaitingBytes bound the queue of one node.
	maxWaiting      = 4096
	maxWaitingBytes = 16 << 20
)

// fillOrder lists the steps in which a group is filled: each adds writes of a class
// until the group has the given number of rows.
var fillOrder = [...]struct {
	class Class
	rows  int
}{
	{Claim, MaxGroupRows - reservedOutcomeRows},
	{Outcome, MaxGroupRows},
	{Claim, MaxGroupRows},
	{Upkeep, MaxGroupRows},
}

// Queue holds the writes that wait at one node, by class and in order of arrival.
type Queue struct {
	waiting [classes][]Pending
	length  int
	bytes   int
	// inFlight holds the keys of the groups in flight.
	inFlight map[string]bool
	// sharedKeys is true for reads: several members of a group may have the same key.
	sharedKeys bool
}

// NewQueue returns an empty queue for writes.
func NewQueue() *Queue {
	return &Queue{inFlight: map[string]bool{}}
}

// NewReadQueue returns an empty queue for reads.
func NewReadQueue() *Queue {
	return &Queue{inFlight: map[string]bool{}, sharedKeys: true}
}

// Len returns the number of waiting writes.
func (q *Queue) Len() int {
	return q.length
}

// Urgent reports whether a claim or an outcome is waiting.
func (q *Queue) Urgent() bool {
	return len(q.waiting[Claim])+len(q.waiting[Outcome]) > 0
}

// Add appends a write. It returns false if the queue is full.
func (q *Queue) Add(p Pending) bool {
	if q.length >= maxWaiting || q.bytes+p.sizeBytes() > maxWaitingBytes {
		return false
	}
	q.waiting[p.Class] = append(q.waiting[p.Class], p)
	q.adjust(p, 1)
	return true
}

func (q *Queue) adjust(p Pending, sign int) {
	q.length += sign
	q.bytes += sign * p.sizeBytes()
}

// Next removes and returns the next group, or nil. Its keys stay reserved until
// Release, so that two groups in flight never have the same key.
func (q *Queue) Next() []Pending {
	g := &group{keys: q.inFlight, sharedKeys: q.sharedKeys}
	for _, step := range fillOrder {
		q.fill(g, step.class, step.rows)
	}
	return g.members
}

// fill moves writes of a class into the group until the group has the given number
// of rows. Writes that can't join the group keep their place in the queue.
func (q *Queue) fill(g *group, class Class, rows int) {
	waiting := q.waiting[class]
	kept := 0
	for i, p := range waiting {
		if g.rows >= rows {
			q.waiting[class] = slices.Delete(waiting, kept, i)
			return
		}
		if g.add(p) {
			q.adjust(p, -1)
			continue
		}
		waiting[kept] = p
		kept++
	}
	q.waiting[class] = slices.Delete(waiting, kept, len(waiting))
}

// group is a group that is being filled.
type group struct {
	members    []Pending
	rows       int
	bytes      int
	keys       map[string]bool
	sharedKeys bool
}

// add adds the member and reports whether it fits. The first may have any size.
func (g *group) add(p Pending) bool {
	if !g.sharedKeys && slices.ContainsFunc(p.allWrites(), func(w storage.Write) bool { return g.keys[w.Key] }) {
		return false
	}
	over := g.rows+p.rowCount() > MaxGroupRows || g.bytes+p.sizeBytes() > maxGroupBytes
	if len(g.members) > 0 && (p.sendAlone || g.members[0].sendAlone || over) {
		return false
	}
	for _, write := range p.allWrites() {
		g.keys[write.Key] = true
	}
	g.members = append(g.members, p)
	g.rows += p.rowCount()
	g.bytes += p.sizeBytes()
	return true
}

// Release releases the keys of a group that Next returned.
func (q *Queue) Release(group []Pending) {
	for _, write := range Writes(group) {
		delete(q.inFlight, write.Key)
	}
}

// Requeue puts members of a group back at the front of the queue. They have waited
// already, so even a full queue accepts them.
func (q *Queue) Requeue(members []Pending) {
	for _, p := range slices.Backward(members) {
		q.waiting[p.Class] = slices.Insert(q.waiting[p.Class], 0, p)
		q.adjust(p, 1)
	}
}

// RemoveConflicting removes and returns the waiting writes whose conditions fail
// because the group was applied.
func (q *Queue) RemoveConflicting(applied []Pending) []Pending {
	versions := map[string]uint64{}
	for _, write := range Writes(applied) {
		versions[write.Key] = versionAfter(write)
	}
	return q.remove(func(p Pending) bool {
		return slices.ContainsFunc(p.allWrites(), func(w storage.Write) bool {
			version, ok := versions[w.Key]
			return ok && w.IfVersion != version
		})
	})
}

// Expire removes and returns the writes that must no longer be sent.
func (q *Queue) Expire(now time.Time) []Pending {
	return q.remove(func(p Pending) bool { return p.Expired(now) })
}

// Clear removes and returns all waiting writes.
func (q *Queue) Clear() []Pending {
	return q.remove(func(Pending) bool { return true })
}

// Cancel removes one write and reports whether it was still waiting.
func (q *Queue) Cancel(id uint64) bool {
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
			q.adjust(p, -1)
			return true
		})
	}
	return removed
}

// Resolve splits a group whose transaction met a conflict by the rows as they were
// read afterwards. The transaction had no effect, so the members in again may be
// sent again. If no row shows the conflict, each of them is sent alone.
func Resolve(group []Pending, rows []storage.Row) (conflicting, again []Pending) {
	versions := map[string]uint64{}
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	for _, p := range group {
		failed := func(w storage.Write) bool { return versions[w.Key] != w.IfVersion }
		if !slices.ContainsFunc(p.allWrites(), failed) {
			again = append(again, p)
			continue
		}
		conflicting = append(conflicting, p)
	}
	if len(conflicting) == 0 {
		for i := range again {
			again[i].sendAlone = true
		}
	}
	return conflicting, again
}

// Writes returns the members' writes as the writes of one transaction.
func Writes(group []Pending) []storage.Write {
	var writes []storage.Write
	for _, p := range group {
		writes = append(writes, p.allWrites()...)
	}
	return writes
}

// Keys returns the members' keys, sorted and without duplicates.
func Keys(group []Pending) []string {
	var keys []string
	for _, write := range Writes(group) {
		keys = append(keys, write.Key)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

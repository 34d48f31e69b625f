package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what one node keeps of a member.
type record struct {
	Member
	// since is when the status began here.
	since time.Time
	// siteVersion is the highest one heard from the member itself.
	siteVersion uint64
}

// table holds all members by name, with a running hash for each data centre.
type table struct {
	records map[string]*record
	// sorted holds the records by name, so that a seeded choice among them repeats.
	sorted []*record
	// suspects counts the records in suspicion.
	suspects int
	hashes   map[string]uint64
	total    uint64
}

func newTable() table {
	return table{records: map[string]*record{}, hashes: map[string]uint64{}}
}

// put stores a member that overrides what was known.
func (t *table) put(now time.Time, member Member) {
	known := t.records[member.Name]
	if known == nil {
		known = &record{Member: Member{Name: member.Name}}
		t.insert(member.Name, known)
	} else {
		t.count(known.Member, -1)
	}
	if known.Incarnation != member.Incarnation {
		known.siteVersion = 0
	}
	known.Member = member
	known.since = now
	t.count(member, 1)
}

func (t *table) insert(name string, added *record) {
	t.records[name] = added
	at, _ := t.find(name)
	t.sorted = slices.Insert(t.sorted, at, added)
}

func (t *table) remove(name string) {
	t.count(t.records[name].Member, -1)
	at, _ := t.find(name)
	t.sorted = slices.Delete(t.sorted, at, at+1)
	delete(t.records, name)
}

func (t *table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(r *record, name string) int {
		return cmp.Compare(r.Name, name)
	})
}

// count adds a member to the running figures, or takes it out again.
func (t *table) count(member Member, sign int) {
	t.toggle(member)
	if member.Status == Suspect {
		t.suspects += sign
	}
}

// toggle adds a live member to the hashes, or takes it out again.
func (t *table) toggle(member Member) {
	if !member.Live() {
		return
	}
	part := hashOf(member)
	t.total ^= part
	t.hashes[member.DataCentre] ^= part
	if t.hashes[member.DataCentre] == 0 {
		delete(t.hashes, member.DataCentre)
	}
}

func hashOf(member Member) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(member.Incarnation)
	_, _ = digest.WriteString(member.Name)
	return digest.Sum64()
}

// list returns the members that pass, sorted by name.
func (t *table) list(pass func(*record) bool) []Member {
	var found []Member
	for _, r := range t.sorted {
		if pass(r) {
			found = append(found, r.Member)
		}
	}
	return found
}

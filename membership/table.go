package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is a node's entry for one member.
type record struct {
	Member
	// since is when this node recorded the current entry.
	since time.Time
	// siteVersion is the highest version received from the member itself.
	siteVersion uint64
}

// table holds all members by name and maintains a hash per data centre.
type table struct {
	records map[string]*record
	// sorted holds the records ordered by name, so that a seeded random choice is
	// reproducible.
	sorted []*record
	// suspects counts the records with status Suspect.
	suspects         int
	hashByDataCentre map[string]uint64
	totalHash        uint64
}

func newTable() table {
	return table{records: map[string]*record{}, hashByDataCentre: map[string]uint64{}}
}

// put stores a member that overrides the known entry.
func (t *table) put(now time.Time, member Member) {
	known := t.records[member.Name]
	if known == nil {
		known = &record{Member: Member{Name: member.Name}}
		t.insert(member.Name, known)
	} else {
		t.adjustCounters(known.Member, -1)
	}
	if known.Incarnation != member.Incarnation {
		known.siteVersion = 0
	}
	known.Member = member
	known.since = now
	t.adjustCounters(member, 1)
}

func (t *table) insert(name string, added *record) {
	t.records[name] = added
	at, _ := t.find(name)
	t.sorted = slices.Insert(t.sorted, at, added)
}

func (t *table) remove(name string) {
	t.adjustCounters(t.records[name].Member, -1)
	at, _ := t.find(name)
	t.sorted = slices.Delete(t.sorted, at, at+1)
	delete(t.records, name)
}

func (t *table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, name, func(r *record, name string) int {
		return cmp.Compare(r.Name, name)
	})
}

// adjustCounters adds a member to the hashes and counters (sign 1) or removes it
// (sign -1).
func (t *table) adjustCounters(member Member, sign int) {
	t.toggleHashes(member)
	if member.Status == Suspect {
		t.suspects += sign
	}
}

// toggleHashes adds a live member to the hashes, or removes it if it is included.
func (t *table) toggleHashes(member Member) {
	if !member.Live() {
		return
	}
	hash := hashOf(member)
	t.totalHash ^= hash
	t.hashByDataCentre[member.DataCentre] ^= hash
	if t.hashByDataCentre[member.DataCentre] == 0 {
		delete(t.hashByDataCentre, member.DataCentre)
	}
}

func hashOf(member Member) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(member.Incarnation)
	_, _ = digest.WriteString(member.Name)
	return digest.Sum64()
}

// list returns the members that match, sorted by name.
func (t *table) list(match func(*record) bool) []Member {
	var found []Member
	for _, r := range t.sorted {
		if match(r) {
			found = append(found, r.Member)
		}
	}
	return found
}

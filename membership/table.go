package membership

import (
	"cmp"
	"encoding/binary"
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
	hashes  map[string]uint64
	total   uint64
}

func newTable() table {
	return table{records: map[string]*record{}, hashes: map[string]uint64{}}
}

// put stores a member that overrides what was known.
func (t *table) put(now time.Time, member Member) {
	known := t.records[member.Name]
	if known == nil {
		known = &record{}
		t.records[member.Name] = known
	} else {
		t.toggle(known.Member)
	}
	if known.Incarnation != member.Incarnation {
		known.siteVersion = 0
	}
	known.Member = member
	known.since = now
	t.toggle(member)
}

func (t *table) remove(name string) {
	t.toggle(t.records[name].Member)
	delete(t.records, name)
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
	var incarnation [8]byte
	binary.BigEndian.PutUint64(incarnation[:], member.Incarnation)
	digest := xxhash.New()
	_, _ = digest.WriteString(member.Name)
	_, _ = digest.Write(incarnation[:])
	return digest.Sum64()
}

// list returns the members that pass, sorted by name so that a seeded choice
// among them repeats.
func (t *table) list(pass func(*record) bool) []Member {
	var found []Member
	for _, r := range t.records {
		if pass(r) {
			found = append(found, r.Member)
		}
	}
	slices.SortFunc(found, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

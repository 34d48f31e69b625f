package loadshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// renewInterval is how often a node writes its entry of the directory again, on average: the
	// nodes of a fleet of 295 write 0.25 times a second together.
	renewInterval = 20 * time.Minute
	// entryTTL is how long an entry must have been seen unchanged, while its node was not heard,
	// to be removed: three renewals.
	entryTTL = 3 * renewInterval
	// silentZoneEntryTTL replaces entryTTL for a zone that is silent as a whole and may be cut off.
	silentZoneEntryTTL = 24 * time.Hour
	// maxReadingGap is the time between two readings of the directory after which the ages
	// begin anew: the directory was away, so that entries could not be renewed either.
	maxReadingGap = 5 * directoryInterval
	// maxRemovedEntries bounds the entries that one reading removes.
	maxRemovedEntries = 40
)

// entryAges holds for how long this node has seen the entries of the directory unchanged, on the
// directory's clock. An entry's age counts only while the directory was read regularly.
type entryAges struct {
	readAt time.Duration
	era    int64
	since  map[string]entryAge
}

type entryAge struct {
	revision int64
	since    time.Duration
}

// observe records a reading of the directory.
func (e *entryAges) observe(entries *Entries) {
	known := e.since
	if entries.Era != e.era || entries.At < e.readAt || entries.At-e.readAt > maxReadingGap {
		known = nil
	}
	e.readAt, e.era = entries.At, entries.Era
	e.since = make(map[string]entryAge, len(entries.Nodes))
	for _, node := range entries.Nodes {
		age, ok := known[node.Name]
		if !ok || age.revision != node.Revision {
			age = entryAge{node.Revision, entries.At}
		}
		e.since[node.Name] = age
	}
}

// outdated returns the entries to be removed, the oldest first: those that were not renewed and
// whose nodes were not heard for as long. heard reports whether a node was heard within a time,
// zoneLive whether nodes of a zone are heard now.
func (e *entryAges) outdated(nodes []Node, heard func(name string, within time.Duration) bool, zoneLive func(zone string) bool) []Node {
	var outdated []Node
	for _, node := range nodes {
		ttl := entryTTL
		if !zoneLive(node.Zone) {
			ttl = silentZoneEntryTTL
		}
		if e.readAt-e.since[node.Name].since > ttl && !heard(node.Name, ttl) {
			outdated = append(outdated, node)
		}
	}
	slices.SortStableFunc(outdated, func(a, b Node) int { return cmp.Compare(a.Revision, b.Revision) })
	return outdated[:min(len(outdated), maxRemovedEntries)]
}

package fleet

import (
	"maps"
	"time"
)

const (
	// outageGap is the age of a table, after failed calls, from which its entries
	// may have lapsed while their upstreams live.
	outageGap = 2 * time.Second
	// lapseGrace is how long after an outage an entry that lapsed may take to come
	// back. The store's page says about 2 s.
	lapseGrace = 2 * time.Second
)

// Table names one table of the store that a node follows.
type Table int

// The tables.
const (
	// OperatorTable holds the site's document and the zones taken out.
	OperatorTable Table = iota
	// UpstreamTable holds the entries of engines and services.
	UpstreamTable
	kinds
)

// Change is one changed row. Exactly one field group is set.
type Change struct {
	// Configuration is a new document.
	Configuration *Configuration
	// Zone was taken out, or back when Returned.
	Zone      string
	InService bool
	// Upstream is a new or changed entry.
	Upstream *Upstream
	// Removed is the ID of an entry that was removed or names nothing to use.
	Removed string
}

// View is what a node believes at one moment. It is read-only.
type View struct {
	// Configuration is nil before the first document.
	Configuration *Configuration
	// ZonesOutOfService are the zones that get nothing.
	ZonesOutOfService map[string]bool
	Upstreams         map[string]*Upstream
}

// Replica merges what the store says. It is not safe for concurrent use.
type Replica struct {
	view     View
	revision [kinds]int64
	// freshAt is the time up to which a table is known, ownAt the same by the store's
	// own answers to this node.
	freshAt, ownAt [kinds]time.Duration
	known          [kinds]bool
	// failed is true when the last call for a table failed.
	failed [kinds]bool
	// changed is the version of the last change of a table that is known.
	changed [kinds]int64
	// settlesAt is the end of the time in which lapsed entries may come back.
	settlesAt time.Duration
}

// NewReplica returns a book that knows nothing.
func NewReplica() *Replica {
	return &Replica{view: View{ZonesOutOfService: map[string]bool{}, Upstreams: map[string]*Upstream{}}}
}

// View returns what is believed now. Later changes make new views.
func (b *Replica) View() View { return b.view }

// Revision returns the store's version up to which a table is known.
func (b *Replica) Revision(kind Table) int64 { return b.revision[kind] }

// LastChange returns the version of the last change of a table that is known.
func (b *Replica) LastChange(kind Table) int64 { return b.changed[kind] }

// Synced reports whether both tables were read and a document is in force.
func (b *Replica) Synced() bool {
	return b.known[OperatorTable] && b.known[UpstreamTable] && b.view.Configuration != nil
}

// FreshAt returns the time up to which both tables are known.
func (b *Replica) FreshAt() time.Duration {
	return min(b.freshAt[OperatorTable], b.freshAt[UpstreamTable])
}

// TableFreshAt returns the time up to which one table is known.
func (b *Replica) TableFreshAt(kind Table) time.Duration { return b.freshAt[kind] }

// Replace takes all rows of a table, read by a call that began at asked and
// ended at now. It reports false, and changes nothing, when the rows are older
// than what is known.
func (b *Replica) Replace(kind Table, changes []Change, revision int64, asked, now time.Duration) bool {
	if revision < b.revision[kind] {
		return false
	}
	b.noteContact(kind, now)
	if kind == OperatorTable {
		b.view.ZonesOutOfService = map[string]bool{}
	} else {
		b.replaceUpstreams(changes, now)
	}
	b.apply(changes, now)
	b.changed[kind] = revision
	b.confirm(kind, revision, asked)
	return true
}

// replaceUpstreams drops the entries that are no longer there.
func (b *Replica) replaceUpstreams(changes []Change, now time.Duration) {
	present := map[string]bool{}
	for _, change := range changes {
		if change.Upstream != nil {
			present[change.Upstream.ID] = true
		}
	}
	b.view.Upstreams = maps.Clone(b.view.Upstreams)
	for id := range b.view.Upstreams {
		if !present[id] {
			b.drop(id, now)
		}
	}
}

// Apply takes the changes since the known revision, answered to a call that
// began at asked. It reports false when the answer is older than what is known.
// Where there are changes, last is the version of the last of them.
func (b *Replica) Apply(kind Table, changes []Change, last, revision int64, asked, now time.Duration) bool {
	if revision < b.revision[kind] {
		return false
	}
	b.noteContact(kind, now)
	if len(changes) > 0 {
		b.view.ZonesOutOfService = maps.Clone(b.view.ZonesOutOfService)
		b.view.Upstreams = maps.Clone(b.view.Upstreams)
		b.apply(changes, now)
		b.changed[kind] = max(b.changed[kind], last)
	}
	b.confirm(kind, revision, asked)
	return true
}

// noteContact opens the time in which lapsed entries may return when the store
// was silent before.
func (b *Replica) noteContact(kind Table, now time.Duration) {
	if b.failed[kind] {
		b.noteNews(kind, now)
	}
	b.failed[kind] = false
}

// noteNews is noteContact for what comes from another node.
func (b *Replica) noteNews(kind Table, now time.Duration) {
	if kind == UpstreamTable && b.known[kind] && now-b.freshAt[kind] > outageGap {
		b.settlesAt = now + lapseGrace
	}
}

// RecordFailure notes that a call for a table got no usable answer.
func (b *Replica) RecordFailure(kind Table) { b.failed[kind] = true }

func (b *Replica) confirm(kind Table, revision int64, asked time.Duration) {
	b.revision[kind] = revision
	b.ownAt[kind] = max(b.ownAt[kind], asked)
	b.freshAt[kind] = max(b.freshAt[kind], asked)
	b.known[kind] = true
}

func (b *Replica) apply(changes []Change, now time.Duration) {
	for _, change := range changes {
		switch {
		case change.Configuration != nil:
			if b.view.Configuration == nil || change.Configuration.Version > b.view.Configuration.Version {
				b.view.Configuration = change.Configuration
			}
		case change.Zone != "":
			if change.InService {
				delete(b.view.ZonesOutOfService, change.Zone)
			} else {
				b.view.ZonesOutOfService[change.Zone] = true
			}
		case change.Upstream != nil:
			entry := *change.Upstream
			entry.SeenAt = now
			b.view.Upstreams[entry.ID] = &entry
		case change.Removed != "":
			b.drop(change.Removed, now)
		}
	}
}

// drop removes an entry, or keeps it for the time in which it may come back.
func (b *Replica) drop(id string, now time.Duration) {
	entry, ok := b.view.Upstreams[id]
	if !ok {
		return
	}
	if now >= b.settlesAt || entry.Draining {
		delete(b.view.Upstreams, id)
		return
	}
	kept := *entry
	kept.lapseAt = b.settlesAt
	b.view.Upstreams[id] = &kept
}

// RemoveExpired removes the entries that did not come back. It reports whether one was
// removed.
func (b *Replica) RemoveExpired(now time.Duration) bool {
	var gone []string
	for id, entry := range b.view.Upstreams {
		if entry.lapseAt != 0 && now >= entry.lapseAt {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return false
	}
	b.view.Upstreams = maps.Clone(b.view.Upstreams)
	for _, id := range gone {
		delete(b.view.Upstreams, id)
	}
	return true
}

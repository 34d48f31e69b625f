package fleet

import (
	"maps"
	"time"
)

const (
	// outageAge is the age of a table, after failed calls to the store, from which upstream
	// entries may have lapsed although their upstreams are alive.
	outageAge = 2 * time.Second
	// returnGrace is how long after an outage a lapsed entry may take to be registered
	// again. The store's documentation gives about 2 s.
	returnGrace = 2 * time.Second
)

// Table identifies a table of the store that a node follows.
type Table int

// The tables.
const (
	// OperatorTable is the table of the operator's document and the zones out of service.
	OperatorTable Table = iota
	// UpstreamTable holds the entries of engines and services.
	UpstreamTable
	tableCount
)

// Change is one changed row. Exactly one group of fields is set.
type Change struct {
	// Configuration is a new document; Document is one that another node sent and that is not
	// decoded yet.
	Configuration *Configuration
	Document      []byte
	// Zone was taken out of service or, if InService, put back.
	Zone      string
	InService bool
	// Upstream is a new or changed entry.
	Upstream *Upstream
	// Removed is the ID of an entry that was removed or can't be used.
	Removed string
}

// View is what a node knows of the store's tables at one moment. It is read-only.
type View struct {
	// Configuration is nil before the first document.
	Configuration *Configuration
	// ZonesOutOfService are the zones out of service.
	ZonesOutOfService map[string]bool
	Upstreams         map[string]*Upstream
}

// Replica is the local replica of the store's tables. It is not safe for concurrent use.
type Replica struct {
	view     View
	revision [tableCount]int64
	// freshAt is the time up to which a table is known to be complete; ownAt is the same
	// by the store's answers to this node only.
	freshAt, ownAt [tableCount]time.Duration
	known          [tableCount]bool
	// failed is true if the last call for a table failed.
	failed [tableCount]bool
	// lastChange is the version of the last change of a table that is known.
	lastChange [tableCount]int64
	// era is the store's era in which a table was read.
	era [tableCount]int64
	// eraBeganAt is when this process saw a later era begin; 0 is never.
	eraBeganAt [tableCount]time.Duration
	// zonesSaid are the zones that the store has mentioned in this era.
	zonesSaid map[string]bool
	// departures are the upstreams that drained or were removed, by ID.
	departures map[string]departure
	held       eraHolds
	// graceEndsAt is the end of the time in which lapsed entries may come back.
	graceEndsAt time.Duration
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		departures: map[string]departure{}, zonesSaid: map[string]bool{},
		held: eraHolds{zones: map[string]time.Duration{}, departed: map[string]departure{}}, view: View{ZonesOutOfService: map[string]bool{}, Upstreams: map[string]*Upstream{}},
	}
}

// View returns the current view. Later changes don't modify a returned view.
func (r *Replica) View() View { return r.view }

// Revision returns the store's version up to which a table is known.
func (r *Replica) Revision(table Table) int64 { return r.revision[table] }

// LastChange returns the version of the last change of a table that is known.
func (r *Replica) LastChange(table Table) int64 { return r.lastChange[table] }

// Synced reports whether both tables were read and a document is in force.
func (r *Replica) Synced() bool {
	return r.known[OperatorTable] && r.known[UpstreamTable] && r.view.Configuration != nil
}

// FreshAt returns the time up to which both tables are known.
func (r *Replica) FreshAt() time.Duration {
	return min(r.freshAt[OperatorTable], r.freshAt[UpstreamTable])
}

// TableFreshAt returns the time up to which one table is known.
func (r *Replica) TableFreshAt(table Table) time.Duration { return r.freshAt[table] }

// Replace replaces all rows of a table by those of a call that began at requestedAt and
// ended at now. It returns false, and changes nothing, if the rows are older than the
// replica.
func (r *Replica) Replace(table Table, changes []Change, revision int64, requestedAt, now time.Duration) bool {
	if revision < r.revision[table] {
		return false
	}
	r.recordContact(table, now)
	if table == OperatorTable {
		r.view.ZonesOutOfService = map[string]bool{}
		r.holdZones()
	} else {
		r.replaceUpstreams(changes, now)
	}
	r.apply(changes, now)
	r.lastChange[table] = revision
	r.markFresh(table, revision, requestedAt)
	return true
}

// replaceUpstreams removes the entries that are not among changes.
func (r *Replica) replaceUpstreams(changes []Change, now time.Duration) {
	present := map[string]bool{}
	for _, change := range changes {
		if change.Upstream != nil {
			present[change.Upstream.ID] = true
		}
	}
	r.view.Upstreams = maps.Clone(r.view.Upstreams)
	for id := range r.view.Upstreams {
		if !present[id] {
			r.remove(id, now)
		}
	}
}

// Apply applies the changes since the known revision, from a call that began at
// requestedAt. It returns false, and changes nothing, if the answer is older than the
// replica. If there are changes, last is the version of the last of them.
func (r *Replica) Apply(table Table, changes []Change, last, revision int64, requestedAt, now time.Duration) bool {
	if revision < r.revision[table] {
		return false
	}
	r.recordContact(table, now)
	if len(changes) > 0 {
		r.view.ZonesOutOfService = maps.Clone(r.view.ZonesOutOfService)
		r.view.Upstreams = maps.Clone(r.view.Upstreams)
		r.apply(changes, now)
		r.lastChange[table] = max(r.lastChange[table], last)
	}
	r.markFresh(table, revision, requestedAt)
	return true
}

// recordContact records an answer of the store, and begins the grace time for lapsed
// entries if the store did not answer before.
func (r *Replica) recordContact(table Table, now time.Duration) {
	if r.failed[table] {
		r.startGraceAfterOutage(table, now)
	}
	r.failed[table] = false
}

// startGraceAfterOutage begins the grace time for lapsed entries if the table of
// upstreams was stale. Updates of other nodes call it directly.
func (r *Replica) startGraceAfterOutage(table Table, now time.Duration) {
	if table == UpstreamTable && r.known[table] && now-r.freshAt[table] > outageAge {
		r.graceEndsAt = now + returnGrace
	}
}

// RecordFailure records that a call for a table got no usable answer.
func (r *Replica) RecordFailure(table Table) { r.failed[table] = true }

func (r *Replica) markFresh(table Table, revision int64, requestedAt time.Duration) {
	r.revision[table] = revision
	r.ownAt[table] = max(r.ownAt[table], requestedAt)
	r.freshAt[table] = max(r.freshAt[table], requestedAt)
	r.known[table] = true
}

func (r *Replica) apply(changes []Change, now time.Duration) {
	for _, change := range changes {
		switch {
		case change.Configuration != nil:
			if r.view.Configuration == nil || change.Configuration.Version > r.view.Configuration.Version {
				r.view.Configuration = change.Configuration
			}
		case change.Zone != "":
			delete(r.held.zones, change.Zone)
			r.zonesSaid[change.Zone] = true
			if change.InService {
				delete(r.view.ZonesOutOfService, change.Zone)
			} else {
				r.view.ZonesOutOfService[change.Zone] = true
			}
		case change.Upstream != nil:
			entry := *change.Upstream
			entry.SeenAt = now
			r.holdBack(&entry)
			entry.DrainingSince = r.drainingSince(&entry, now)
			if entry.Draining && entry.heldUntil == 0 {
				r.recordDeparture(&entry, now)
			} else if !entry.Draining {
				delete(r.departures, entry.ID)
			}
			r.view.Upstreams[entry.ID] = &entry
		case change.Removed != "":
			r.remove(change.Removed, now)
		}
	}
}

// drainingSince returns Upstream.DrainingSince of an entry that is about to be applied. It is not known
// after the store was restored, since the backup may lack an earlier report.
func (r *Replica) drainingSince(entry *Upstream, now time.Duration) time.Duration {
	before := r.view.Upstreams[entry.ID]
	if !entry.Draining || entry.heldUntil != 0 || before == nil || before.StartedMs != entry.StartedMs {
		return 0
	}
	if before.Draining {
		return before.DrainingSince
	}
	if r.eraBeganAt[UpstreamTable] != 0 && now-r.eraBeganAt[UpstreamTable] <= eraHold {
		return 0
	}
	return r.freshAt[UpstreamTable]
}

// remove removes an entry, or keeps it as missing during the grace time.
func (r *Replica) remove(id string, now time.Duration) {
	entry, ok := r.view.Upstreams[id]
	if !ok {
		return
	}
	if now >= r.graceEndsAt || entry.Draining {
		if entry.heldUntil == 0 {
			r.recordDeparture(entry, now)
		}
		delete(r.view.Upstreams, id)
		return
	}
	missing := *entry
	missing.removeAt = r.graceEndsAt
	r.view.Upstreams[id] = &missing
}

// RemoveExpired removes the entries that did not come back within the grace time, and ends
// what was held after a new era of the store began. It reports whether the view changed.
func (r *Replica) RemoveExpired(now time.Duration) bool {
	var expired []string
	for id, entry := range r.view.Upstreams {
		if entry.removeAt != 0 && now >= entry.removeAt {
			expired = append(expired, id)
		}
	}
	released := r.expireHolds(now)
	if len(expired) == 0 {
		return released
	}
	r.view.Upstreams = maps.Clone(r.view.Upstreams)
	for _, id := range expired {
		delete(r.view.Upstreams, id)
	}
	return true
}

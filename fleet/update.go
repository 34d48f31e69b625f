package fleet

import (
	"maps"
	"time"
)

// Watermark is how far a node knows a table: the version of the last change, and the store's
// version and the time up to which there was no other change.
type Watermark struct {
	// Era is the store's era in which the versions were given out.
	Era                  int64
	LastChange, Revision int64
	FreshAt              time.Duration
}

// Watermarks returns how far this node knows each table by the store's own answers. Watermarks of
// other nodes are left out: sent back and forth, they would make a table look ever fresher.
func (r *Replica) Watermarks() [2]Watermark {
	var watermarks [2]Watermark
	for table := range tableCount {
		watermarks[table] = Watermark{Era: r.era[table], LastChange: r.lastChange[table], Revision: r.revision[table], FreshAt: r.ownAt[table]}
	}
	return watermarks
}

// ApplyWatermark applies another node's watermark, its time converted to this node's clock. It
// reports whether this node lacks a change that the other one has.
func (r *Replica) ApplyWatermark(table Table, watermark Watermark, now time.Duration) (behind bool) {
	if !r.known[table] {
		return false
	}
	if watermark.Era != r.era[table] {
		// Versions of two eras can't be compared.
		return watermark.Era > r.era[table]
	}
	if watermark.LastChange > r.revision[table] {
		return true
	}
	r.startGraceAfterOutage(table, now)
	r.revision[table] = max(r.revision[table], watermark.Revision)
	r.freshAt[table] = max(r.freshAt[table], watermark.FreshAt)
	return false
}

// Update is one answer of the store with changes, as one node sends it to another.
type Update struct {
	Table Table
	// Era is the store's era in which the versions were given out.
	Era int64
	// Holds is true if Changes are the sender's state that is newer than the store's after a new
	// era began; its versions are then not set.
	Holds bool
	// PreviousChange is the version of the last change before Changes, LastChange that of the last of
	// Changes, and Revision the store's version, up to which there was no other change.
	PreviousChange, LastChange, Revision int64
	Changes                              []Change
	// FreshAt is when the call for them began.
	FreshAt time.Duration
}

// ApplyUpdate applies another node's update of a table, its time converted to this node's
// clock. It returns false, and changes nothing, if this node lacks an earlier change.
func (r *Replica) ApplyUpdate(table Table, update Update, now time.Duration) bool {
	if !r.known[table] || update.Era > r.era[table] {
		return false
	}
	if update.Era < r.era[table] {
		return true
	}
	if r.revision[table] < update.PreviousChange {
		return false
	}
	r.startGraceAfterOutage(table, now)
	if update.Revision > r.revision[table] {
		r.view.ZonesOutOfService = maps.Clone(r.view.ZonesOutOfService)
		r.view.Upstreams = maps.Clone(r.view.Upstreams)
		r.apply(update.Changes, now)
		r.lastChange[table] = max(r.lastChange[table], update.LastChange)
		r.revision[table] = update.Revision
	}
	r.freshAt[table] = max(r.freshAt[table], update.FreshAt)
	return true
}

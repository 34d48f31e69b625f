package fleet

import (
	"maps"
	"time"
)

// Claim is how far a node knows a table: the version of the last change, and the store's
// version and the time up to which there was no other change.
type Claim struct {
	Changed, Revision int64
	FreshAt           time.Duration
}

// Claims returns how far this node knows each table by the store's own answers. Claims of
// other nodes are left out: sent back and forth, they would make a table look ever fresher.
func (r *Book) Claims() [2]Claim {
	var claims [2]Claim
	for table := range tableCount {
		claims[table] = Claim{Changed: r.lastChange[table], Revision: r.revision[table], FreshAt: r.ownAt[table]}
	}
	return claims
}

// Confirm applies another node's claim, its time converted to this node's clock. It
// reports whether this node lacks a change that the other one has.
func (r *Book) Confirm(table Kind, claim Claim, now time.Duration) (behind bool) {
	if !r.known[table] {
		return false
	}
	if claim.Changed > r.revision[table] {
		return true
	}
	r.startGraceAfterOutage(table, now)
	r.revision[table] = max(r.revision[table], claim.Revision)
	r.freshAt[table] = max(r.freshAt[table], claim.FreshAt)
	return false
}

// News is one answer of the store with changes, as one node sends it to another.
type News struct {
	// Before is the version of the last change before Changes, Last that of the last of
	// Changes, and Revision the store's version, up to which there was no other change.
	Before, Last, Revision int64
	Changes                []Change
	// FreshAt is when the call for them began.
	FreshAt time.Duration
}

// Learn applies another node's update of a table, its time converted to this node's
// clock. It returns false, and changes nothing, if this node lacks an earlier change.
func (r *Book) Learn(table Kind, update News, now time.Duration) bool {
	if !r.known[table] || r.revision[table] < update.Before {
		return false
	}
	r.startGraceAfterOutage(table, now)
	if update.Revision > r.revision[table] {
		r.view.ZonesOut = maps.Clone(r.view.ZonesOut)
		r.view.Upstreams = maps.Clone(r.view.Upstreams)
		r.apply(update.Changes, now)
		r.lastChange[table] = max(r.lastChange[table], update.Last)
		r.revision[table] = update.Revision
	}
	r.freshAt[table] = max(r.freshAt[table], update.FreshAt)
	return true
}

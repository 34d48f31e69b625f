package fleet

import (
	"maps"
	"time"
)

// Claim is what a node knows of a table: the version of its last change, and the
// store's version and the time up to which there was no other.
type Claim struct {
	Changed, Revision int64
	FreshAt           time.Duration
}

// Claims returns what this node knows of each table by the store's own answers. What
// others told it is left out: passed on and back, it would seem ever fresher.
func (b *Book) Claims() [2]Claim {
	var claims [2]Claim
	for kind := range kinds {
		claims[kind] = Claim{Changed: b.changed[kind], Revision: b.revision[kind], FreshAt: b.ownAt[kind]}
	}
	return claims
}

// Confirm takes another node's claim, with its time on this node's clock. It
// reports whether this node lacks a change that the other one has.
func (b *Book) Confirm(kind Kind, claim Claim, now time.Duration) (behind bool) {
	if !b.known[kind] {
		return false
	}
	if claim.Changed > b.revision[kind] {
		return true
	}
	b.noteNews(kind, now)
	b.revision[kind] = max(b.revision[kind], claim.Revision)
	b.freshAt[kind] = max(b.freshAt[kind], claim.FreshAt)
	return false
}

// News is one answer of the store with changes, as one node tells it to another.
type News struct {
	// Before is the version of the last change before these, Last that of the last of
	// them, Revision the store's own, up to which there was no other.
	Before, Last, Revision int64
	Changes                []Change
	// FreshAt is when the call began that brought them.
	FreshAt time.Duration
}

// Learn takes another node's news of a table, with its time on this node's clock. It
// reports false, and changes nothing, where this node lacks what came before.
func (b *Book) Learn(kind Kind, news News, now time.Duration) bool {
	if !b.known[kind] || b.revision[kind] < news.Before {
		return false
	}
	b.noteNews(kind, now)
	if news.Revision > b.revision[kind] {
		b.view.ZonesOut = maps.Clone(b.view.ZonesOut)
		b.view.Upstreams = maps.Clone(b.view.Upstreams)
		b.apply(news.Changes, now)
		b.changed[kind] = max(b.changed[kind], news.Last)
		b.revision[kind] = news.Revision
	}
	b.freshAt[kind] = max(b.freshAt[kind], news.FreshAt)
	return true
}

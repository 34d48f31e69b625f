package fleet

import (
	"maps"
	"time"
)

// Watermark is what a node knows of a table: the version of its last change, and the
// store's version and the time up to which there was no other.
type Watermark struct {
	LastChange, Revision int64
	FreshAt              time.Duration
}

// Watermarks returns what this node knows of each table by the store's own answers. What
// others told it is left out: passed on and back, it would seem ever fresher.
func (b *Replica) Watermarks() [2]Watermark {
	var claims [2]Watermark
	for kind := range kinds {
		claims[kind] = Watermark{LastChange: b.changed[kind], Revision: b.revision[kind], FreshAt: b.ownAt[kind]}
	}
	return claims
}

// ApplyWatermark takes another node's claim, with its time on this node's clock. It
// reports whether this node lacks a change that the other one has.
func (b *Replica) ApplyWatermark(kind Table, claim Watermark, now time.Duration) (behind bool) {
	if !b.known[kind] {
		return false
	}
	if claim.LastChange > b.revision[kind] {
		return true
	}
	b.noteNews(kind, now)
	b.revision[kind] = max(b.revision[kind], claim.Revision)
	b.freshAt[kind] = max(b.freshAt[kind], claim.FreshAt)
	return false
}

// Update is one answer of the store with changes, as one node tells it to another.
type Update struct {
	// PreviousChange is the version of the last change before these, LastChange that of the last of
	// them, Revision the store's own, up to which there was no other.
	PreviousChange, LastChange, Revision int64
	Changes                              []Change
	// FreshAt is when the call began that brought them.
	FreshAt time.Duration
}

// ApplyUpdate takes another node's news of a table, with its time on this node's clock. It
// reports false, and changes nothing, where this node lacks what came before.
func (b *Replica) ApplyUpdate(kind Table, news Update, now time.Duration) bool {
	if !b.known[kind] || b.revision[kind] < news.PreviousChange {
		return false
	}
	b.noteNews(kind, now)
	if news.Revision > b.revision[kind] {
		b.view.ZonesOutOfService = maps.Clone(b.view.ZonesOutOfService)
		b.view.Upstreams = maps.Clone(b.view.Upstreams)
		b.apply(news.Changes, now)
		b.changed[kind] = max(b.changed[kind], news.LastChange)
		b.revision[kind] = news.Revision
	}
	b.freshAt[kind] = max(b.freshAt[kind], news.FreshAt)
	return true
}

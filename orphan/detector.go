// Package orphan decides which streams of an engine have lost their owner, so
// that they are canceled and do not occupy engine memory forever. It does no I/O:
// time and the owners' states are arguments.
package orphan

import "time"

const (
	// GoneMargin is how long an owner must be known to have ended before its streams
	// are orphans. Until then callers may resume them at another node.
	GoneMargin = 8 * time.Second
	// UnlistedMargin is how long a running owner must not hold a stream before the
	// stream is an orphan.
	UnlistedMargin = 10 * time.Second
	// SilentMargin is how long an owner must be unresponsive before its streams are
	// orphans.
	SilentMargin = 2 * time.Minute
)

// Standing is the observed state of a stream's owner with regard to the stream.
type Standing int

// The standings.
const (
	// Unknown means that the owner's state can't be determined; the stream is kept.
	Unknown Standing = iota
	// Held means that the owner runs and does not report the stream as not held.
	Held
	// Gone means that the owner's process has ended.
	Gone
	// Unlisted means that the owner runs and does not hold the stream.
	Unlisted
	// Silent means that the owner is unresponsive: it is partitioned off, has ended
	// with its whole data centre, or was never known to this node.
	Silent
)

// Stream is one attempt in an engine's list of running streams.
type Stream struct {
	ID string
	// Owner is the entry node process; it is zero for streams that no entry node
	// started.
	Owner Owner
	Age   time.Duration
}

// suspicion is the time since which a standing has been observed without
// interruption.
type suspicion struct {
	standing Standing
	since    time.Time
}

// Finder detects the orphans among the streams of one engine. It keeps the time
// since which each is suspected and is not safe for concurrent use.
type Finder struct{ suspicions map[string]suspicion }

// Find returns the IDs of the orphans in the engine's list, in its order. Each is
// returned by every call until the list no longer contains it.
func (d *Finder) Find(now time.Time, streams []Stream, standing func(Stream) Standing) []string {
	next := map[string]suspicion{}
	var orphans []string
	for _, s := range streams {
		if s.Owner.Node == "" {
			continue
		}
		current := standing(s)
		margin, suspect := marginOf(current)
		if !suspect {
			continue
		}
		seen, known := d.suspicions[s.ID]
		if !known || seen.standing != current {
			seen = suspicion{standing: current, since: now}
		}
		next[s.ID] = seen
		if now.Sub(seen.since) >= margin {
			orphans = append(orphans, s.ID)
		}
	}
	d.suspicions = next
	return orphans
}

func marginOf(standing Standing) (margin time.Duration, suspect bool) {
	switch standing {
	case Gone:
		return GoneMargin, true
	case Unlisted:
		return UnlistedMargin, true
	case Silent:
		return SilentMargin, true
	case Unknown, Held:
	}
	return 0, false
}

// Package orphan decides which streams of an engine have lost their owner, so
// that they are canceled and no engine loses memory for good. It does no I/O:
// time and what is known of owners are arguments.
package orphan

import "time"

const (
	// GoneMargin is how long an owner must be known to be gone. Until then its
	// callers may resume their streams at another node.
	GoneMargin = 8 * time.Second
	// UnlistedMargin is how long a living owner must not list a stream.
	UnlistedMargin = 10 * time.Second
	// SilentMargin is how long nothing must be heard of an owner.
	SilentMargin = 2 * time.Minute
)

// Standing is what is known of a stream's owner.
type Standing int

// The standings.
const (
	// Unknown means that nothing can be told; the stream stays.
	Unknown Standing = iota
	// Held means that the owner lives, and nothing speaks against its hold.
	Held
	// Gone means that the owner's process has ended.
	Gone
	// Unlisted means that the owner lives and doesn't hold the stream.
	Unlisted
	// Silent means that nothing is heard of the owner: it is cut off, has ended
	// with its whole data centre, or was never known here.
	Silent
)

// Stream is one attempt that an engine lists.
type Stream struct {
	ID string
	// Owner is the entry node process; zero for streams of others.
	Owner Owner
	Age   time.Duration
}

// suspicion is since when a standing was seen without a break.
type suspicion struct {
	standing Standing
	since    time.Time
}

// Finder follows the streams of one engine. It is not safe for concurrent use.
type Finder struct{ suspicions map[string]suspicion }

// Find returns the IDs of the orphans in the engine's list, in its order. It
// returns each one again until the list no longer shows it.
func (f *Finder) Find(now time.Time, streams []Stream, standing func(Stream) Standing) []string {
	next := map[string]suspicion{}
	var orphans []string
	for _, s := range streams {
		if s.Owner.Node == "" {
			continue
		}
		is := standing(s)
		margin, suspect := marginOf(is)
		if !suspect {
			continue
		}
		seen, known := f.suspicions[s.ID]
		if !known || seen.standing != is {
			seen = suspicion{standing: is, since: now}
		}
		next[s.ID] = seen
		if now.Sub(seen.since) >= margin {
			orphans = append(orphans, s.ID)
		}
	}
	f.suspicions = next
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

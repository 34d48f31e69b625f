// Package orphan decides which streams of an engine have lost their owner, so
// that they are canceled and do not occupy engine memory forever. It does no I/O:
// time and the owners' states are arguments.
package orphan

import "time"

const (
	// GoneMargin is how long an owner must be known to have ended before its streams
	// are orphans. Until then callers may resume them at another node.
	GoneMargin = 8 * time.Second
	// NotHeldMargin is how long a running owner must not hold a stream before the
	// stream is an orphan.
	NotHeldMargin = 10 * time.Second
	// UnresponsiveMargin is how long an owner must be unresponsive before its streams are
	// orphans.
	UnresponsiveMargin = 2 * time.Minute
)

// OwnerState is the observed state of a stream's owner with regard to the stream.
type OwnerState int

// OwnerState values.
const (
	// Unknown means that the owner's state can't be determined; the stream is kept.
	Unknown OwnerState = iota
	// Held means that the owner runs and does not report the stream as not held.
	Held
	// Gone means that the owner's process has ended.
	Gone
	// NotHeld means that the owner runs and does not hold the stream.
	NotHeld
	// Unresponsive means that the owner is unresponsive: it is partitioned off, has ended
	// with its whole data centre, or was never known to this node.
	Unresponsive
)

// Stream is one attempt in an engine's list of running streams.
type Stream struct {
	ID string
	// Owner is the entry node process; it is zero for streams that no entry node
	// started.
	Owner Owner
	Age   time.Duration
}

// suspicion is the time since which an owner state has been observed without
// interruption.
type suspicion struct {
	standing OwnerState
	since    time.Time
}

// Detector detects the orphans among the streams of one engine. It keeps the time
// since which each is suspected and is not safe for concurrent use.
type Detector struct{ suspicions map[string]suspicion }

// Detect returns the IDs of the orphans in the engine's list, in its order. Each is
// returned by every call until the list no longer contains it.
func (d *Detector) Detect(now time.Time, streams []Stream, standing func(Stream) OwnerState) []string {
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

func marginOf(standing OwnerState) (margin time.Duration, suspect bool) {
	switch standing {
	case Gone:
		return GoneMargin, true
	case NotHeld:
		return NotHeldMargin, true
	case Unresponsive:
		return UnresponsiveMargin, true
	case Unknown, Held:
	}
	return 0, false
}

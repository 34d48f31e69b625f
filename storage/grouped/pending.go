// Package grouped decides which conditional writes of claims go to the table
// together, and how a fleet shares its writes a second. It does no I/O: time is
// an argument, groups are return values. Package writerpc drives it.
//
// One transaction counts as one write of the table's rate, so that what waits
// for the rate is sent as one transaction. All members of a group have
// different keys; a member that meets a conflict is found and the others are
// sent again.
package grouped

import (
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

// Class orders the writes that wait.
type Class uint8

// The classes, the most urgent first.
const (
	// Claim is the write before dispatch; its call has not run.
	Claim Class = iota
	// Outcome is the write after it; without it the answer is lost to repeats.
	Outcome
	// Upkeep is a write of the index or a removal, which can wait.
	Upkeep
	classes
)

// Pending is one conditional write that waits to be sent.
type Pending struct {
	// ID tells the writes of one node apart.
	ID    uint64
	Class Class
	Write storage.Write
	// Also holds further writes that take effect with Write or not at all.
	Also []storage.Write
	// Before is when the write must have been sent; it is never sent later.
	Before time.Time
	// Until is when a write that still waits is refused.
	Until time.Time
	// Added is when the write began to wait.
	Added time.Time
	// alone is set when a group failed and none of its rows showed why.
	alone bool
}

// Late reports whether the write must not be sent any more.
func (p Pending) Late(now time.Time) bool {
	return !now.Before(p.Before) || !now.Before(p.Until)
}

// writes returns all writes of the member.
func (p Pending) writes() []storage.Write {
	return append([]storage.Write{p.Write}, p.Also...)
}

// rows is how many rows the member writes.
func (p Pending) rows() int {
	return 1 + len(p.Also)
}

// size is what the member counts for in a transaction, in bytes.
func (p Pending) size() int {
	size := len(p.Write.Key) + len(p.Write.Value)
	for _, write := range p.Also {
		size += len(write.Key) + len(write.Value)
	}
	return size
}

// versionAfter is that of the row once the write has taken effect; 0 means no row.
func versionAfter(write storage.Write) uint64 {
	if write.Delete {
		return 0
	}
	return write.IfVersion + 1
}

// clockMargin is more than two nodes' clocks differ by.
const clockMargin = 30 * time.Second

// LocalBefore turns the time before which another node's write is sent into
// this node's. Remaining is what was left of it when the other node sent the
// write, and before the time itself by the other node's clock. Remaining bounds
// the wait at this node whatever the clocks say. The time bounds what the write
// spent on its way, which remaining doesn't see.
func LocalBefore(now, before time.Time, remaining time.Duration) time.Time {
	byDuration := now.Add(remaining)
	byClock := before.Add(clockMargin)
	if byClock.Before(byDuration) {
		return byClock
	}
	return byDuration
}

// Package grouped decides which conditional writes of claims go to the table in
// one transaction, and how a fleet shares its writes per second. It does no I/O:
// time is an argument, groups are return values. Package writerpc calls it.
//
// One transaction counts as one write against the table's rate limit, so writes
// that wait for the rate are sent as one transaction. The members of a group have
// different keys. When a group meets a conflict, the members that caused it are
// identified and the others are sent again.
package grouped

import (
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

// Class is the priority of a waiting write.
type Class uint8

// The classes, the most urgent first.
const (
	// Claim is the write before dispatch; its call has not been executed.
	Claim Class = iota
	// Outcome is the write after dispatch; without it, repeats of the call can't get
	// its answer.
	Outcome
	// Upkeep is a write of the index or a removal; it can wait.
	Upkeep
	classes
)

// Pending is one conditional write that is waiting to be sent.
type Pending struct {
	// ID identifies the write at its node.
	ID    uint64
	Class Class
	Write storage.Write
	// FurtherWrites are applied atomically with Write.
	FurtherWrites []storage.Write
	// SendDeadline is the time before which the write must be sent; it is never
	// sent later.
	SendDeadline time.Time
	// QueueDeadline is when the write is rejected if it still waits.
	QueueDeadline time.Time
	// EnqueuedAt is when the write was queued.
	EnqueuedAt time.Time
	// sendAlone is set when the write's group met a conflict that none of the rows
	// showed; the write is then sent in a group of its own.
	sendAlone bool
}

// Expired reports whether the write must no longer be sent.
func (p Pending) Expired(now time.Time) bool {
	return !now.Before(p.SendDeadline) || !now.Before(p.QueueDeadline)
}

// allWrites returns all writes of the member, Write first.
func (p Pending) allWrites() []storage.Write {
	return append([]storage.Write{p.Write}, p.FurtherWrites...)
}

// rowCount returns how many rows the member writes.
func (p Pending) rowCount() int {
	return 1 + len(p.FurtherWrites)
}

// sizeBytes returns the member's size in a transaction, in bytes.
func (p Pending) sizeBytes() int {
	size := len(p.Write.Key) + len(p.Write.Value)
	for _, write := range p.FurtherWrites {
		size += len(write.Key) + len(write.Value)
	}
	return size
}

// versionAfter returns the row's version once the write is applied; 0 means that
// there is no row.
func versionAfter(write storage.Write) uint64 {
	if write.Delete {
		return 0
	}
	return write.IfVersion + 1
}

// clockMargin is larger than the difference between two nodes' clocks.
const clockMargin = 30 * time.Second

// LocalDeadline converts the send deadline of another node's write to this node's
// clock. Before is the deadline by the other node's clock, and remaining is the time
// left until it when that node sent the write. Remaining bounds the wait at this
// node whatever the clocks say. Before bounds the time in transit, which remaining
// doesn't include.
func LocalDeadline(now, before time.Time, remaining time.Duration) time.Time {
	byDuration := now.Add(remaining)
	byClock := before.Add(clockMargin)
	if byClock.Before(byDuration) {
		return byClock
	}
	return byDuration
}

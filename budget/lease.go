package budget

import (
	"maps"
	"slices"
	"time"
)

// LeaseRow is the row of the platform's table that names the allocator for the
// resources of one lease. It is written by conditional writes only.
type LeaseRow struct {
	// Holder is the process that may grant; it is empty after a release.
	Holder string
	// Epoch grows with each change of holder.
	Epoch uint64
	// WriteNumber numbers the holder's writes, so that it recognizes its own.
	WriteNumber uint64
	// Duration is how long the lease lasts from the start of the write. In a
	// released row it is how long the last grants still last.
	Duration time.Duration
	// Registered lists, sorted, every process that can hold a share under the
	// lease or run requests that were started under one.
	Registered []string
}

// LeaseCall is one call to the table that a lease needs.
type LeaseCall struct {
	// Lease names the row.
	Lease string
	// Write is false for a read of the row.
	Write bool
	// IfVersion is the version that the row must have; 0 means that the row
	// must not exist.
	IfVersion uint64
	Row       LeaseRow
}

// Outcome is how a write of a lease's row ended.
type Outcome int

// The outcomes of a write.
const (
	// Written means that the row was written.
	Written Outcome = iota
	// Conflict means that the row had another version.
	Conflict
	// Refused means that the write has had no effect and never will.
	Refused
	// Unknown means that the write may have taken effect, may still do so, or
	// may never.
	Unknown
)

const (
	// leasePollInterval is the time between reads by a process that waits for a
	// lease, and the minimum time between two writes of a holder.
	leasePollInterval = time.Second
	// handoverDelay is how long a holder keeps a lease that is assigned to
	// another process.
	handoverDelay = 2 * time.Second
)

// lease is one process's view of one lease. The process takes the row over once
// it has been unchanged for its duration by the process's own clock.
type lease struct {
	name    string
	process string
	timing  Timing
	// rowKnown is true when row is the latest known version; it is false while
	// a write's outcome is unknown.
	rowKnown bool
	version  uint64
	row      LeaseRow
	// versionSeen is when the version was first seen.
	versionSeen time.Time
	// validUntil is until when this process may grant.
	validUntil time.Time
	// termStart is when this process became the holder.
	termStart time.Time
	// members are the processes that may get grants, with the time of each
	// one's latest report. All are in the row of the latest successful write.
	members map[string]time.Time
	// inherited are the members that may hold shares of an earlier holder.
	inherited map[string]bool
	// generation grows when inherited changes.
	generation uint64
	// pendingMembers are processes to register.
	pendingMembers map[string]bool
	// hasEnded reports whether a process and all its requests have ended.
	hasEnded func(process string) bool
	// writeStarts maps writes whose outcome is unknown to when they began.
	writeStarts map[uint64]time.Time
	lastWrite   uint64
	// callInFlight is true while a call is in flight.
	callInFlight bool
	// nextRead and nextWrite are the earliest times of the next calls.
	nextRead, nextWrite time.Time
	// renewedAt is when the latest successful write began.
	renewedAt time.Time
	// unassignedSince is the time since which the lease has been assigned to
	// another process.
	unassignedSince time.Time
	// releasing is true from the start of a release, when granting stops.
	releasing bool
	// grantsEnd is when all grants have certainly ended.
	grantsEnd time.Time
}

func newLease(name, process string, timing Timing, hasEnded func(process string) bool) *lease {
	return &lease{
		name:           name,
		process:        process,
		timing:         timing,
		hasEnded:       hasEnded,
		members:        map[string]time.Time{},
		inherited:      map[string]bool{},
		pendingMembers: map[string]bool{},
		writeStarts:    map[uint64]time.Time{},
	}
}

// holds reports whether this process may grant.
func (l *lease) holds(now time.Time) bool {
	return !l.releasing && now.Before(l.validUntil)
}

// ensureRegistered reports whether a process is registered. If it is not, the
// next write registers it.
func (l *lease) ensureRegistered(now time.Time, process string) bool {
	if _, ok := l.members[process]; ok {
		l.members[process] = now
		return true
	}
	l.pendingMembers[process] = true
	return false
}

// call returns the call that is due, if any. Assigned is true when this process
// should hold the lease.
func (l *lease) call(now time.Time, assigned bool) (LeaseCall, bool) {
	if assigned {
		l.unassignedSince = time.Time{}
	} else if l.unassignedSince.IsZero() {
		l.unassignedSince = now
	}
	if l.callInFlight {
		return LeaseCall{}, false
	}
	own := l.row.Holder == l.process || len(l.writeStarts) > 0
	switch {
	case !own && !assigned:
		l.rowKnown = false
		return LeaseCall{}, false
	case !l.rowKnown:
		return l.readCall(now)
	case l.row.Holder == l.process:
		return l.holderCall(now, assigned)
	case now.Sub(l.versionSeen) >= l.timing.lengthen(l.row.Duration):
		return l.takeOver(now)
	}
	return l.readCall(now)
}

func (l *lease) readCall(now time.Time) (LeaseCall, bool) {
	if now.Before(l.nextRead) {
		return LeaseCall{}, false
	}
	l.callInFlight = true
	l.nextRead = now.Add(leasePollInterval)
	return LeaseCall{Lease: l.name}, true
}

// holderCall returns the holder's next write, if one is due.
func (l *lease) holderCall(now time.Time, assigned bool) (LeaseCall, bool) {
	if now.Before(l.nextWrite) {
		return LeaseCall{}, false
	}
	if !assigned && now.Sub(l.unassignedSince) >= handoverDelay {
		return l.release(now), true
	}
	return l.renew(now)
}

// renew writes the row again when the renewal is due or a process is to be
// registered.
func (l *lease) renew(now time.Time) (LeaseCall, bool) {
	due := now.Sub(l.renewedAt) >= l.timing.RenewalInterval || l.releasing
	if !due && len(l.pendingMembers) == 0 {
		return LeaseCall{}, false
	}
	return l.write(now, l.process, l.row.Epoch, l.timing.LeaseDuration), true
}

func (l *lease) takeOver(now time.Time) (LeaseCall, bool) {
	if now.Before(l.nextWrite) {
		return LeaseCall{}, false
	}
	l.pendingMembers[l.process] = true
	return l.write(now, l.process, l.row.Epoch+1, l.timing.LeaseDuration), true
}

// release stops all grants and gives up the lease.
func (l *lease) release(now time.Time) LeaseCall {
	l.releasing = true
	remaining := max(l.grantsEnd.Sub(now), 0)
	return l.write(now, "", l.row.Epoch, remaining)
}

func (l *lease) write(now time.Time, holder string, epoch uint64, duration time.Duration) LeaseCall {
	l.callInFlight = true
	l.nextWrite = now.Add(leasePollInterval)
	l.lastWrite++
	l.writeStarts[l.lastWrite] = now
	registered := map[string]bool{}
	for _, process := range l.row.Registered {
		registered[process] = true
	}
	if l.row.Holder == l.process {
		maps.DeleteFunc(registered, func(process string, _ bool) bool {
			_, ok := l.members[process]
			return !ok
		})
	}
	maps.Copy(registered, l.pendingMembers)
	return LeaseCall{
		Lease:     l.name,
		Write:     true,
		IfVersion: l.version,
		Row: LeaseRow{
			Holder:      holder,
			Epoch:       epoch,
			WriteNumber: l.lastWrite,
			Duration:    duration,
			Registered:  slices.Sorted(maps.Keys(registered)),
		},
	}
}

// readDone applies the row that was read. Version 0 means that there is no row.
func (l *lease) readDone(now time.Time, version uint64, row LeaseRow) {
	l.callInFlight = false
	l.applyRow(now, version, row)
}

// readFailed records that a read got no answer.
func (l *lease) readFailed() {
	l.callInFlight = false
}

// writeDone applies the outcome of a write. After a conflict the row is read,
// because the conflict may be with the same write sent twice.
func (l *lease) writeDone(now time.Time, call LeaseCall, outcome Outcome) {
	l.callInFlight = false
	switch outcome {
	case Written:
		l.applyRow(now, call.IfVersion+1, call.Row)
	case Refused:
		delete(l.writeStarts, call.Row.WriteNumber)
	case Conflict, Unknown:
		l.rowKnown = false
		l.nextRead = time.Time{}
	}
}

// applyRow applies the row that is in the table. A write that began before the
// row's version was written can no longer take effect.
func (l *lease) applyRow(now time.Time, version uint64, row LeaseRow) {
	l.rowKnown = true
	if version == l.version && !l.versionSeen.IsZero() {
		return
	}
	before, start := l.row, l.writeStarts[row.WriteNumber]
	l.version, l.row, l.versionSeen = version, row, now
	clear(l.writeStarts)
	if row.Holder != l.process {
		l.endTerm()
		return
	}
	if before.Holder != l.process {
		l.beginTerm(now, before.Registered)
	}
	l.confirmWrite(now, start)
}

// endTerm records that another process or none holds the lease.
func (l *lease) endTerm() {
	clear(l.members)
	clear(l.inherited)
	clear(l.pendingMembers)
	l.generation++
	l.validUntil = time.Time{}
	l.releasing = false
}

// beginTerm begins a term. All processes that were registered before may hold
// shares.
func (l *lease) beginTerm(now time.Time, registered []string) {
	l.termStart = now
	for _, process := range registered {
		if !l.hasEnded(process) {
			l.inherited[process] = true
		}
	}
	l.generation++
}

// confirmWrite applies a successful write of this process that began at start.
func (l *lease) confirmWrite(now, start time.Time) {
	l.renewedAt = start
	l.releasing = false
	l.validUntil = laterOf(l.validUntil, start.Add(l.timing.shorten(l.row.Duration)))
	for _, process := range l.row.Registered {
		delete(l.pendingMembers, process)
		if _, ok := l.members[process]; !ok && !l.hasEnded(process) {
			l.members[process] = now
		}
	}
}

// removeMember removes a process from the lease; the next write leaves it out.
func (l *lease) removeMember(process string) {
	delete(l.members, process)
	delete(l.pendingMembers, process)
	if l.inherited[process] {
		delete(l.inherited, process)
		l.generation++
	}
}

// expire removes processes that have not reported for the longest time that
// their requests or shares can last.
func (l *lease) expire(now time.Time, longest time.Duration) {
	for process, lastReport := range l.members {
		if now.Sub(lastReport) > longest {
			l.removeMember(process)
		}
	}
}

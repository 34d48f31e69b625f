package budget

import (
	"maps"
	"slices"
	"time"
)

// LeaseRow is the row of the platform's table that says who keeps the resources
// of one lease. It is written by conditional writes only.
type LeaseRow struct {
	// Holder is the process that may grant; it is empty after a release.
	Holder string
	// Epoch grows with each change of holder.
	Epoch uint64
	// Write numbers the holder's writes, so that it knows its own.
	Write uint64
	// Length is how long the lease lasts from the start of the write. In a
	// released row it is how long the last grants still last.
	Length time.Duration
	// Registered lists, sorted, every process that can hold a share under the
	// lease or run work that was started under one.
	Registered []string
}

// LeaseCall is one call to the table that a lease needs.
type LeaseCall struct {
	// Lease names the row.
	Lease string
	// Write is false for a read of the row.
	Write bool
	// IfVersion is the version that the row must have; 0 means that it must not
	// exist.
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
	// Unknown means that the write has, will or won't take effect.
	Unknown
)

const (
	// leasePollInterval is the time between reads by a process that waits for a
	// lease, and the least time between two writes of a holder.
	leasePollInterval = time.Second
	// handoverDelay is how long a holder keeps a lease that is another's to hold.
	handoverDelay = 2 * time.Second
)

// lease is what one process knows of one lease. Its row is taken over once it
// was seen unchanged for its length by the process's own clock.
type lease struct {
	name    string
	process string
	timing  Timing
	// read is true when row is the latest version known; it is not while a
	// write's outcome is unknown.
	read    bool
	version uint64
	row     LeaseRow
	// seen is when the version was first known of.
	seen time.Time
	// end is until when this process may grant.
	end time.Time
	// since is when this process became the holder.
	since time.Time
	// members are the processes that may get grants, and when each was last
	// heard of. All are in the row of the latest successful write.
	members map[string]time.Time
	// inherited are the members that may hold shares of an earlier holder.
	inherited map[string]bool
	// generation grows when inherited changes.
	generation uint64
	// wanted are processes to register.
	wanted map[string]bool
	// released reports whether a process has ended with all its work.
	released func(process string) bool
	// starts maps writes whose outcome is unknown to when they began.
	starts map[uint64]time.Time
	writes uint64
	// busy is true while a call is on its way.
	busy bool
	// nextRead and nextWrite are the earliest times of the next calls.
	nextRead, nextWrite time.Time
	// renewed is when the latest successful write began.
	renewed time.Time
	// unassigned is since when the lease has been another's to hold.
	unassigned time.Time
	// closing is true from the start of a release: nothing is granted.
	closing bool
	// grantEnd is when all grants have surely ended.
	grantEnd time.Time
}

func newLease(name, process string, timing Timing, released func(process string) bool) *lease {
	return &lease{
		name:      name,
		process:   process,
		timing:    timing,
		released:  released,
		members:   map[string]time.Time{},
		inherited: map[string]bool{},
		wanted:    map[string]bool{},
		starts:    map[uint64]time.Time{},
	}
}

// holds reports whether this process may grant.
func (l *lease) holds(now time.Time) bool {
	return !l.closing && now.Before(l.end)
}

// admit reports whether a process is registered, and sees to it if not.
func (l *lease) admit(now time.Time, process string) bool {
	if _, ok := l.members[process]; ok {
		l.members[process] = now
		return true
	}
	l.wanted[process] = true
	return false
}

// call returns the call that is due, if any. Assigned is true when the lease is
// this process's to hold.
func (l *lease) call(now time.Time, assigned bool) (LeaseCall, bool) {
	if assigned {
		l.unassigned = time.Time{}
	} else if l.unassigned.IsZero() {
		l.unassigned = now
	}
	if l.busy {
		return LeaseCall{}, false
	}
	mine := l.row.Holder == l.process || len(l.starts) > 0
	switch {
	case !mine && !assigned:
		l.read = false
		return LeaseCall{}, false
	case !l.read:
		return l.readCall(now)
	case l.row.Holder == l.process:
		return l.keep(now, assigned)
	case now.Sub(l.seen) >= l.timing.lengthen(l.row.Length):
		return l.takeOver(now)
	}
	return l.readCall(now)
}

func (l *lease) readCall(now time.Time) (LeaseCall, bool) {
	if now.Before(l.nextRead) {
		return LeaseCall{}, false
	}
	l.busy = true
	l.nextRead = now.Add(leasePollInterval)
	return LeaseCall{Lease: l.name}, true
}

// keep is the holder's next write.
func (l *lease) keep(now time.Time, assigned bool) (LeaseCall, bool) {
	if now.Before(l.nextWrite) {
		return LeaseCall{}, false
	}
	if !assigned && now.Sub(l.unassigned) >= handoverDelay {
		return l.release(now), true
	}
	return l.renew(now)
}

// renew writes the row again when its time has come or a process is to be
// registered.
func (l *lease) renew(now time.Time) (LeaseCall, bool) {
	due := now.Sub(l.renewed) >= l.timing.Renewal || l.closing
	if !due && len(l.wanted) == 0 {
		return LeaseCall{}, false
	}
	return l.write(now, l.process, l.row.Epoch, l.timing.Lease), true
}

func (l *lease) takeOver(now time.Time) (LeaseCall, bool) {
	if now.Before(l.nextWrite) {
		return LeaseCall{}, false
	}
	l.wanted[l.process] = true
	return l.write(now, l.process, l.row.Epoch+1, l.timing.Lease), true
}

// release stops all grants and gives the lease up.
func (l *lease) release(now time.Time) LeaseCall {
	l.closing = true
	remaining := max(l.grantEnd.Sub(now), 0)
	return l.write(now, "", l.row.Epoch, remaining)
}

func (l *lease) write(now time.Time, holder string, epoch uint64, length time.Duration) LeaseCall {
	l.busy = true
	l.nextWrite = now.Add(leasePollInterval)
	l.writes++
	l.starts[l.writes] = now
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
	maps.Copy(registered, l.wanted)
	return LeaseCall{
		Lease:     l.name,
		Write:     true,
		IfVersion: l.version,
		Row: LeaseRow{
			Holder:     holder,
			Epoch:      epoch,
			Write:      l.writes,
			Length:     length,
			Registered: slices.Sorted(maps.Keys(registered)),
		},
	}
}

// readDone takes in a read. Version 0 means that there is no row.
func (l *lease) readDone(now time.Time, version uint64, row LeaseRow) {
	l.busy = false
	l.adopt(now, version, row)
}

// readFailed takes in that a read gave no answer.
func (l *lease) readFailed() {
	l.busy = false
}

// writeDone takes in how a write ended. After a conflict the row is read, since
// the conflict may be with the same write sent twice.
func (l *lease) writeDone(now time.Time, call LeaseCall, outcome Outcome) {
	l.busy = false
	switch outcome {
	case Written:
		l.adopt(now, call.IfVersion+1, call.Row)
	case Refused:
		delete(l.starts, call.Row.Write)
	case Conflict, Unknown:
		l.read = false
		l.nextRead = time.Time{}
	}
}

// adopt takes in the row as it is in the table. No write that began before its
// version can take effect any more.
func (l *lease) adopt(now time.Time, version uint64, row LeaseRow) {
	l.read = true
	if version == l.version && !l.seen.IsZero() {
		return
	}
	before, start := l.row, l.starts[row.Write]
	l.version, l.row, l.seen = version, row, now
	clear(l.starts)
	if row.Holder != l.process {
		l.lose()
		return
	}
	if before.Holder != l.process {
		l.win(now, before.Registered)
	}
	l.confirm(now, start)
}

// lose takes in that another process holds the lease, or none.
func (l *lease) lose() {
	clear(l.members)
	clear(l.inherited)
	clear(l.wanted)
	l.generation++
	l.end = time.Time{}
	l.closing = false
}

// win begins a term: all that were registered before may hold shares.
func (l *lease) win(now time.Time, registered []string) {
	l.since = now
	for _, process := range registered {
		if !l.released(process) {
			l.inherited[process] = true
		}
	}
	l.generation++
}

// confirm takes in a write of this process that began at start.
func (l *lease) confirm(now, start time.Time) {
	l.renewed = start
	l.closing = false
	l.end = laterOf(l.end, start.Add(l.timing.shorten(l.row.Length)))
	for _, process := range l.row.Registered {
		delete(l.wanted, process)
		if _, ok := l.members[process]; !ok && !l.released(process) {
			l.members[process] = now
		}
	}
}

// drop takes a process off the lease; the next write leaves it out.
func (l *lease) drop(process string) {
	delete(l.members, process)
	delete(l.wanted, process)
	if l.inherited[process] {
		delete(l.inherited, process)
		l.generation++
	}
}

// expire drops processes that were not heard of for the longest time that work
// or a share of theirs can last.
func (l *lease) expire(now time.Time, longest time.Duration) {
	for process, heard := range l.members {
		if now.Sub(heard) > longest {
			l.drop(process)
		}
	}
}

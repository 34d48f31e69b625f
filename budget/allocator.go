package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrOverallocated is returned by Check when a grant broke the bound on the sum
// of shares.
var ErrOverallocated = eris.New("budget: sum of shares exceeds its limit")

// Allocator grants shares of the resources whose leases its process holds.
type Allocator struct {
	id          string
	timing      Timing
	started     time.Time
	resources   map[string]Resource
	allocations map[string]*allocation
	leases      map[string]*lease
	sequences   map[string]uint64
	// ended maps ended processes to when each was reported as ended.
	ended      map[string]time.Time
	violations int
}

// NewAllocator returns an allocator. Its id must be unique to the process.
func NewAllocator(id string, timing Timing, now time.Time) *Allocator {
	return &Allocator{
		id:          id,
		timing:      timing,
		started:     now,
		resources:   map[string]Resource{},
		allocations: map[string]*allocation{},
		leases:      map[string]*lease{},
		sequences:   map[string]uint64{},
		ended:       map[string]time.Time{},
	}
}

// Configure replaces the resources. What nodes hold stays accounted for.
func (a *Allocator) Configure(resources []Resource) {
	a.resources = map[string]Resource{}
	for _, resource := range resources {
		a.resources[resource.Name] = resource
		if a.leases[resource.Lease] == nil {
			a.leases[resource.Lease] = newLease(resource.Lease, a.id, a.timing, a.hasEnded)
		}
		a.reconfigure(resource)
	}
}

// reconfigure applies a changed resource. A resource that moved to another
// lease gets a new allocation.
func (a *Allocator) reconfigure(resource Resource) {
	alloc := a.allocations[resource.Name]
	if alloc == nil {
		return
	}
	if alloc.lease.name != resource.Lease {
		delete(a.allocations, resource.Name)
		return
	}
	alloc.resource = resource
}

func (a *Allocator) hasEnded(process string) bool {
	_, ok := a.ended[process]
	return ok
}

// Calls returns the calls to the table that are due, in the order of the lease
// names. Assigned says whether this process should hold a lease. Each call ends
// with ReadDone, ReadFailed or WriteDone.
func (a *Allocator) Calls(now time.Time, assigned func(lease string) bool) []LeaseCall {
	var calls []LeaseCall
	for _, name := range slices.Sorted(maps.Keys(a.leases)) {
		if call, ok := a.leases[name].call(now, assigned(name)); ok {
			calls = append(calls, call)
		}
	}
	return calls
}

// ReadDone applies the row that was read for a lease; version 0 means that
// there is none.
func (a *Allocator) ReadDone(now time.Time, call LeaseCall, version uint64, row LeaseRow) {
	a.leases[call.Lease].readDone(now, version, row)
}

// ReadFailed records that a read got no answer.
func (a *Allocator) ReadFailed(call LeaseCall) {
	a.leases[call.Lease].readFailed()
}

// WriteDone applies the outcome of a write.
func (a *Allocator) WriteDone(now time.Time, call LeaseCall, outcome Outcome) {
	a.leases[call.Lease].writeDone(now, call, outcome)
}

// ProcessEnded removes a process that has died, once no upstream runs its
// requests. Reports that it sent before now are ignored; a later report
// registers it as a new process.
func (a *Allocator) ProcessEnded(now time.Time, process string) {
	a.ended[process] = now
	for _, lease := range a.leases {
		lease.removeMember(process)
	}
	for _, alloc := range a.allocations {
		if alloc.nodes[process] != nil {
			delete(alloc.nodes, process)
			alloc.sums.at = time.Time{}
		}
	}
}

// Unresponsive returns, sorted, the processes that hold shares according to the
// rows of the leases and have not reported for longer than
// Timing.ReportTimeout.
func (a *Allocator) Unresponsive(now time.Time) []string {
	unresponsive := map[string]bool{}
	for _, lease := range a.leases {
		for process, lastReport := range lease.members {
			if now.Sub(lastReport) > a.timing.ReportTimeout {
				unresponsive[process] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(unresponsive))
}

// RestartRamp starts the ramp of a resource again.
func (a *Allocator) RestartRamp(now time.Time, resource string) {
	if alloc := a.allocationOf(now, resource); alloc != nil {
		alloc.start.restart(now)
	}
}

// Handle applies a report and returns the answer. It returns false for a report
// that is a repeat or arrived after a later one.
func (a *Allocator) Handle(now time.Time, report Report) (Answer, bool) {
	if report.Sequence <= a.sequences[report.Node] {
		return Answer{}, false
	}
	a.sequences[report.Node] = report.Sequence
	answer := Answer{Sequence: report.Sequence, Allocator: a.id, Clock: now.Sub(a.started)}
	if !a.acceptProcess(report) {
		return answer, true
	}
	a.record(now, report)
	for _, usage := range report.Usages {
		answer.Grants = append(answer.Grants, a.grant(now, report.Node, usage.Resource))
	}
	return answer, true
}

func (a *Allocator) grant(now time.Time, node, resource string) Grant {
	alloc := a.allocationOf(now, resource)
	if alloc == nil {
		return Grant{Resource: resource}
	}
	grant, ok := alloc.grant(now, node)
	if !ok {
		a.violations++
	}
	return grant
}

// acceptProcess reports whether a report is from a running process. A process
// recorded as ended is running if it sent the report after that.
func (a *Allocator) acceptProcess(report Report) bool {
	endedAt, ok := a.ended[report.Node]
	if ok && a.earliestSent(report).Before(endedAt) {
		return false
	}
	delete(a.ended, report.Node)
	return true
}

// earliestSent returns the earliest time at which a report may have been sent:
// after the answer that it echoes. A report that echoes none may be of any age
// and says nothing about what its sender holds now.
func (a *Allocator) earliestSent(report Report) time.Time {
	if report.Allocator != a.id {
		return time.Time{}
	}
	return a.started.Add(report.Echo)
}

// record records all usages before anything is granted.
func (a *Allocator) record(now time.Time, report Report) {
	sentAfter := a.earliestSent(report)
	for _, usage := range report.Usages {
		if alloc := a.allocationOf(now, usage.Resource); alloc != nil {
			alloc.record(now, sentAfter, report.Node, usage)
		}
	}
}

// allocationOf returns the allocation of a resource, or nil for an unknown one.
func (a *Allocator) allocationOf(now time.Time, name string) *allocation {
	if alloc := a.allocations[name]; alloc != nil {
		return alloc
	}
	resource, ok := a.resources[name]
	if !ok {
		return nil
	}
	created := newAllocation(resource, a.leases[resource.Lease], a.timing, now)
	a.allocations[name] = created
	return created
}

// Expire removes nodes and members that can no longer hold anything. Callers
// run it periodically.
func (a *Allocator) Expire(now time.Time) {
	longest := a.timing.lengthen(a.timing.MaxRequestDuration + a.timing.FallbackDuration + a.timing.LeaseDuration)
	for _, alloc := range a.allocations {
		alloc.expire(now, longest)
	}
	for _, lease := range a.leases {
		lease.expire(now, longest)
	}
}

// Check returns ErrOverallocated when any grant so far broke the bound.
func (a *Allocator) Check() error {
	if a.violations > 0 {
		return ErrOverallocated
	}
	return nil
}

// Status is an allocator's accounting for one resource.
type Status struct {
	// Limit is the capacity multiplied by the ramp's fraction; Charged is the
	// most that nodes can hold.
	Limit, Charged Amount
	// HoldsLease is true when this process holds the lease.
	HoldsLease bool
	// RampAge is the time since the resource's latest start.
	RampAge time.Duration
}

// Statuses returns the status of every resource that was reported on, by name.
func (a *Allocator) Statuses(now time.Time) map[string]Status {
	statuses := map[string]Status{}
	for name, alloc := range a.allocations {
		statuses[name] = Status{
			Limit:      alloc.limit(now),
			Charged:    alloc.sums.total,
			HoldsLease: alloc.lease.holds(now),
			RampAge:    now.Sub(alloc.start.at),
		}
	}
	return statuses
}

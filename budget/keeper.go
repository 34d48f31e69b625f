package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBound is returned by Check when a grant broke the bound on a sum.
var ErrBound = eris.New("budget: sum of shares over its limit")

// Keeper grants shares of the resources whose leases its process holds.
type Keeper struct {
	id        string
	timing    Timing
	started   time.Time
	resources map[string]Resource
	ledgers   map[string]*ledger
	leases    map[string]*lease
	sequences map[string]uint64
	// released maps processes to when they were taken for ended.
	released   map[string]time.Time
	violations int
}

// NewKeeper returns a keeper. Its id is unique to the process.
func NewKeeper(id string, timing Timing, now time.Time) *Keeper {
	return &Keeper{
		id:        id,
		timing:    timing,
		started:   now,
		resources: map[string]Resource{},
		ledgers:   map[string]*ledger{},
		leases:    map[string]*lease{},
		sequences: map[string]uint64{},
		released:  map[string]time.Time{},
	}
}

// Configure replaces the resources. What nodes hold stays on account.
func (k *Keeper) Configure(resources []Resource) {
	k.resources = map[string]Resource{}
	for _, resource := range resources {
		k.resources[resource.Name] = resource
		if k.leases[resource.Lease] == nil {
			k.leases[resource.Lease] = newLease(resource.Lease, k.id, k.timing, k.isReleased)
		}
		k.reconfigure(resource)
	}
}

// reconfigure takes in that a resource has changed. One that moved to another
// lease gets a new account.
func (k *Keeper) reconfigure(resource Resource) {
	ledger := k.ledgers[resource.Name]
	if ledger == nil {
		return
	}
	if ledger.lease.name != resource.Lease {
		delete(k.ledgers, resource.Name)
		return
	}
	ledger.resource = resource
}

func (k *Keeper) isReleased(process string) bool {
	_, ok := k.released[process]
	return ok
}

// Calls returns the calls to the table that are due, in the order of the leases'
// names. Assigned says whether a lease is this process's to hold. Each call ends
// with ReadDone, ReadFailed or WriteDone.
func (k *Keeper) Calls(now time.Time, assigned func(lease string) bool) []LeaseCall {
	var calls []LeaseCall
	for _, name := range slices.Sorted(maps.Keys(k.leases)) {
		if call, ok := k.leases[name].call(now, assigned(name)); ok {
			calls = append(calls, call)
		}
	}
	return calls
}

// ReadDone takes in a lease's row; version 0 means that there is none.
func (k *Keeper) ReadDone(now time.Time, call LeaseCall, version uint64, row LeaseRow) {
	k.leases[call.Lease].readDone(now, version, row)
}

// ReadFailed takes in that a read gave no answer.
func (k *Keeper) ReadFailed(call LeaseCall) {
	k.leases[call.Lease].readFailed()
}

// WriteDone takes in how a write ended.
func (k *Keeper) WriteDone(now time.Time, call LeaseCall, outcome Outcome) {
	k.leases[call.Lease].writeDone(now, call, outcome)
}

// Released forgets a process that has died, once no upstream runs its work. A
// report that it sent before now is ignored; with a later one it is a new process.
func (k *Keeper) Released(now time.Time, process string) {
	k.released[process] = now
	for _, lease := range k.leases {
		lease.drop(process)
	}
	for _, ledger := range k.ledgers {
		if ledger.entries[process] != nil {
			delete(ledger.entries, process)
			ledger.sums.at = time.Time{}
		}
	}
}

// Unheard returns the processes that hold shares as far as the leases' rows
// tell, and were not heard of for an interval longer than Timing.Silence,
// sorted.
func (k *Keeper) Unheard(now time.Time) []string {
	unheard := map[string]bool{}
	for _, lease := range k.leases {
		for process, heard := range lease.members {
			if now.Sub(heard) > k.timing.Silence {
				unheard[process] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(unheard))
}

// Started begins the ramp of a resource anew.
func (k *Keeper) Started(now time.Time, resource string) {
	if ledger := k.ledger(now, resource); ledger != nil {
		ledger.start.begin(now)
	}
}

// Handle takes in a report and returns the answer, or false for a report that
// is a repeat or was overtaken.
func (k *Keeper) Handle(now time.Time, report Report) (Answer, bool) {
	if report.Sequence <= k.sequences[report.Node] {
		return Answer{}, false
	}
	k.sequences[report.Node] = report.Sequence
	answer := Answer{Sequence: report.Sequence, Keeper: k.id, Clock: now.Sub(k.started)}
	if !k.revive(report) {
		return answer, true
	}
	k.record(now, report)
	for _, usage := range report.Usages {
		answer.Grants = append(answer.Grants, k.grant(now, report.Node, usage.Resource))
	}
	return answer, true
}

func (k *Keeper) grant(now time.Time, node, resource string) Grant {
	ledger := k.ledger(now, resource)
	if ledger == nil {
		return Grant{Resource: resource}
	}
	grant, ok := ledger.grant(now, node)
	if !ok {
		k.violations++
	}
	return grant
}

// revive reports whether a report is of a process that lives. One that was
// released lives if it sent the report after that.
func (k *Keeper) revive(report Report) bool {
	released, ok := k.released[report.Node]
	if ok && k.sent(report).Before(released) {
		return false
	}
	delete(k.released, report.Node)
	return true
}

// sent is the earliest time that a report may have been sent at: after the
// answer that it echoes. One that echoes none may be of any age, and says nothing
// of what its sender holds by now.
func (k *Keeper) sent(report Report) time.Time {
	if report.Keeper != k.id {
		return time.Time{}
	}
	return k.started.Add(report.Echo)
}

// record takes in all usages before any grant.
func (k *Keeper) record(now time.Time, report Report) {
	sent := k.sent(report)
	for _, usage := range report.Usages {
		if ledger := k.ledger(now, usage.Resource); ledger != nil {
			ledger.record(now, sent, report.Node, usage)
		}
	}
}

// ledger returns the account of a resource, or nil for an unknown one.
func (k *Keeper) ledger(now time.Time, name string) *ledger {
	if ledger := k.ledgers[name]; ledger != nil {
		return ledger
	}
	resource, ok := k.resources[name]
	if !ok {
		return nil
	}
	created := newLedger(resource, k.leases[resource.Lease], k.timing, now)
	k.ledgers[name] = created
	return created
}

// Expire forgets what can no longer be held. It is called now and then.
func (k *Keeper) Expire(now time.Time) {
	longest := k.timing.lengthen(k.timing.Horizon + k.timing.Fallback + k.timing.Lease)
	for _, ledger := range k.ledgers {
		ledger.expire(now, longest)
	}
	for _, lease := range k.leases {
		lease.expire(now, longest)
	}
}

// Check returns ErrBound when any grant so far broke the bound.
func (k *Keeper) Check() error {
	if k.violations > 0 {
		return ErrBound
	}
	return nil
}

// Account is what a keeper has on account for one resource.
type Account struct {
	// Limit is the capacity times the ramp's fraction, Charged the most that
	// nodes can hold.
	Limit, Charged Amount
	// Leading is true when this process holds the lease.
	Leading bool
	// Age is the time since the resource's latest start.
	Age time.Duration
}

// Accounts returns the accounts of all resources asked for, by name.
func (k *Keeper) Accounts(now time.Time) map[string]Account {
	accounts := map[string]Account{}
	for name, l := range k.ledgers {
		accounts[name] = Account{
			Limit:   l.limit(now),
			Charged: l.sums.total,
			Leading: l.lease.holds(now),
			Age:     now.Sub(l.start.at),
		}
	}
	return accounts
}

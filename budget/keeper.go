package budget

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBound is returned by Check when a grant broke the bound on a sum.
var ErrBound = eris.New("budget: sum of shares over its limit")

// retired is the sequence number past all those of a live node.
const retired = ^uint64(0)

// Keeper grants shares of the resources that it is asked for. It needs no word
// that it is the keeper: without pledges it grants nothing.
type Keeper struct {
	id         string
	timing     Timing
	started    time.Time
	resources  map[string]Resource
	ledgers    map[string]*ledger
	sequences  map[string]uint64
	known      known
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
		sequences: map[string]uint64{},
		known:     known{last: map[string]time.Time{}},
	}
}

// Configure replaces the resources. What nodes hold stays on account.
func (k *Keeper) Configure(resources []Resource) {
	k.resources = map[string]Resource{}
	for _, resource := range resources {
		k.resources[resource.Name] = resource
		if ledger := k.ledgers[resource.Name]; ledger != nil {
			ledger.resource = resource
		}
	}
}

// Know names nodes that live, which may hold shares of another keeper.
func (k *Keeper) Know(now time.Time, nodes []string) {
	for _, node := range nodes {
		if k.sequences[node] != retired {
			k.known.add(now, node)
		}
	}
}

// learnDeparted adds nodes that a voter tells of and that are new here.
func (k *Keeper) learnDeparted(now time.Time, nodes []string) {
	for _, node := range nodes {
		if _, ok := k.known.last[node]; !ok && k.sequences[node] != retired {
			k.known.add(now, node)
		}
	}
}

// Departed returns nodes that were known and have not been for an interval,
// sorted.
func (k *Keeper) Departed(now time.Time) []string {
	var departed []string
	for node, last := range k.known.last {
		if now.Sub(last) > k.timing.Interval {
			departed = append(departed, node)
		}
	}
	slices.Sort(departed)
	return departed
}

// Released forgets a node that has died, once no upstream runs its work. A late
// report of the node is ignored.
func (k *Keeper) Released(node string) {
	delete(k.known.last, node)
	k.sequences[node] = retired
	for _, ledger := range k.ledgers {
		delete(ledger.entries, node)
	}
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
	k.known.add(now, report.Node)
	k.learnDeparted(now, report.Departed)
	k.record(now, report)
	answer := Answer{Sequence: report.Sequence, Keeper: k.id, Clock: now.Sub(k.started)}
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
	grant, ok := ledger.grant(now, node, k.known)
	if !ok {
		k.violations++
	}
	return grant
}

// record takes in all usages before any grant. A report was sent after the
// answer that it echoes; one that echoes none may be of any age, and says
// nothing of what its sender holds by now.
func (k *Keeper) record(now time.Time, report Report) {
	sent := time.Time{}
	if report.Keeper == k.id {
		sent = k.started.Add(report.Echo)
	}
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
	created := newLedger(resource, k.timing, now)
	if resource.Ballot != "" {
		created.ballot = k.ledger(now, resource.Ballot)
	}
	if created.ballot == nil {
		return nil
	}
	k.ledgers[name] = created
	return created
}

// Expire forgets what can no longer be held. It is called now and then.
func (k *Keeper) Expire(now time.Time) {
	longest := k.timing.lengthen(k.timing.Horizon + k.timing.Fallback + k.timing.Pledge)
	for _, ledger := range k.ledgers {
		ledger.expire(now, longest)
	}
	maps.DeleteFunc(k.known.last, func(node string, last time.Time) bool {
		if now.Sub(last) <= longest {
			return false
		}
		k.sequences[node] = retired
		return true
	})
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
	// Leading is true when more than half of the voters are pledged.
	Leading bool
	// Age is the time since the resource's latest start.
	Age time.Duration
}

// Accounts returns the accounts of all resources asked for, by name.
func (k *Keeper) Accounts(now time.Time) map[string]Account {
	accounts := map[string]Account{}
	for name, l := range k.ledgers {
		_, leading := l.lease(now)
		accounts[name] = Account{
			Limit:   l.limit(now),
			Charged: l.total(now, k.known),
			Leading: leading,
			Age:     now.Sub(l.start.at),
		}
	}
	return accounts
}

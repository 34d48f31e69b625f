package orders

import (
	"slices"
	"time"
)

// Issuer decides at one node which orders one engine gets. It is not safe for
// concurrent use.
type Issuer struct {
	// newLeaseID returns the ID of the next acquisition of the lease.
	newLeaseID func() string
	// enforcesFencing is true when the engine refuses orders with a stale fencing
	// token.
	enforcesFencing bool

	// knownRow is the lease row as last read or written, the same since
	// unchangedSince. It has to be read again while rowIsCurrent is false.
	knownRow       VersionedRow
	rowIsCurrent   bool
	unchangedSince time.Time
	nextReadAt     time.Time

	// writeCount numbers the attempts to write the row.
	writeCount uint64
	// attemptedRow is the row of the latest write attempt, which began at writeStart.
	attemptedRow Row
	writeStart   time.Time
	// leaseEnd is when the lease ends; renewAt is when the row is written again.
	leaseEnd time.Time
	renewAt  time.Time
	// sendNotBefore is when the previous issuer's orders can no longer take effect.
	sendNotBefore time.Time
	// lastSent is when each order was last sent; sequence numbers all orders.
	lastSent map[target]time.Time
	sequence uint64
	unwanted unwanted
}

// NewIssuer returns an issuer that holds no lease. newLeaseID returns a new unique
// ID at each call.
func NewIssuer(enforcesFencing bool, newLeaseID func() string) *Issuer {
	return &Issuer{enforcesFencing: enforcesFencing, newLeaseID: newLeaseID, lastSent: map[target]time.Time{}, unwanted: unwanted{}}
}

// HoldsLease reports whether the issuer holds the lease now.
func (i *Issuer) HoldsLease(now time.Time) bool {
	return now.Before(i.leaseEnd)
}

// MaySend reports whether an order may still be sent. It is called immediately
// before each send.
func (i *Issuer) MaySend(now time.Time, order Order) bool {
	return i.HoldsLease(now) && order.Fencing == i.knownRow.Row.Fencing && !now.Before(i.sendNotBefore)
}

// Evaluate reports whether the engine needs any order, and whether one of them
// loads a model. It is called with each report.
func (i *Issuer) Evaluate(now time.Time, desired Desired, report Report) (needsOrder, needsLoad bool) {
	i.unwanted.update(now, desired, report)
	needsLoad = desired.LacksModel(report)
	return needsLoad || desired.lacksRole(report) || len(i.unwanted.due(now, desired, report)) > 0, needsLoad
}

// Next returns the next action. owns says that the role of the engine's issuer
// belongs to this node; without it the lease is left to expire. mayLoad says that
// models may be loaded now.
func (i *Issuer) Next(now time.Time, owns, mayLoad bool, desired Desired, report Report) Action {
	switch {
	case !owns:
		return Action{Kind: Wait}
	case !i.HoldsLease(now):
		return i.acquireLease(now)
	case !i.rowIsCurrent && !now.Before(i.nextReadAt):
		i.nextReadAt = now.Add(readInterval)
		return Action{Kind: Read}
	case i.rowIsCurrent && !now.Before(i.renewAt):
		return i.writeRow(now, Row{LeaseID: i.knownRow.Row.LeaseID, Fencing: i.knownRow.Row.Fencing})
	case now.Before(i.sendNotBefore):
		return Action{Kind: Wait}
	}
	if order, ok := i.nextOrder(now, mayLoad, desired, report); ok {
		return Action{Kind: Send, Order: order}
	}
	return Action{Kind: Wait}
}

// acquireLease takes the lease once its holder has let it expire.
func (i *Issuer) acquireLease(now time.Time) Action {
	if !i.rowIsCurrent || !now.Before(i.nextReadAt) {
		i.nextReadAt = now.Add(readInterval)
		return Action{Kind: Read}
	}
	if i.knownRow.Version != 0 && now.Sub(i.unchangedSince) < takeOverAfter {
		return Action{Kind: Wait}
	}
	return i.writeRow(now, Row{LeaseID: i.newLeaseID(), Fencing: i.knownRow.Row.Fencing + 1})
}

func (i *Issuer) writeRow(now time.Time, row Row) Action {
	// Each attempt writes a different row: one that took effect late must not be
	// mistaken for a later one, whose lease would end later.
	i.writeCount++
	row.Write = i.writeCount
	i.attemptedRow, i.writeStart = row, now
	// Until the outcome is known, the row is not written again without a read.
	i.renewAt = now.Add(RenewAfter)
	i.rowIsCurrent = false
	return Action{Kind: Write, Row: row, IfVersion: i.knownRow.Version}
}

// nextOrder returns the first order that is needed and was not sent within
// repeatAfter: the role, then loads, then unloads. Only a report requested after an
// order shows whether the order took effect.
func (i *Issuer) nextOrder(now time.Time, mayLoad bool, desired Desired, report Report) (Order, bool) {
	if desired.lacksRole(report) && i.isDue(now, target{SetRole, desired.Role}) {
		return i.newOrder(SetRole, desired.Role), true
	}
	for _, model := range desired.Models {
		load := target{loadKindOf(model), model}
		sentAt, sent := i.lastSent[load]
		shown := slices.Contains(report.Models, model) && (!sent || report.At.After(sentAt))
		if mayLoad && !shown && i.isDue(now, load) {
			return i.newOrder(load.kind, model), true
		}
	}
	for _, model := range i.unwanted.due(now, desired, report) {
		if i.isDue(now, target{Unload, model}) {
			return i.newOrder(Unload, model), true
		}
	}
	return Order{}, false
}

// isDue reports whether an order was not sent within repeatAfter.
func (i *Issuer) isDue(now time.Time, wanted target) bool {
	sentAt, sent := i.lastSent[wanted]
	return !sent || now.Sub(sentAt) >= repeatAfter
}

func (i *Issuer) newOrder(kind Kind, model string) Order {
	return Order{Fencing: i.knownRow.Row.Fencing, Sequence: i.sequence + 1, Kind: kind, Model: model}
}

// RecordSent records that an order was sent, whatever its outcome.
func (i *Issuer) RecordSent(now time.Time, order Order) {
	i.lastSent[order.target()] = now
	i.sequence = order.Sequence
}

// RecordRefusal records that an engine refused an order as stale. The table, not
// the engine, decides who holds the lease, so the row is read again.
func (i *Issuer) RecordRefusal() {
	i.leaseEnd, i.rowIsCurrent = time.Time{}, false
}

// RecordWrite records that the latest write took effect.
func (i *Issuer) RecordWrite(now time.Time) {
	i.RecordRow(now, VersionedRow{Row: i.attemptedRow, Version: i.knownRow.Version + 1})
}

// RecordRow records the row as read. It also finds the outcome of a write whose
// answer was lost.
func (i *Issuer) RecordRow(now time.Time, read VersionedRow) {
	changed := !i.isUnchanged(read)
	if changed {
		i.unchangedSince = now
	}
	mine := read.Version != 0 && i.attemptedRow.LeaseID != "" && read.Row == i.attemptedRow
	acquired := mine && read.Row.Fencing != i.knownRow.Row.Fencing
	if acquired {
		clear(i.lastSent)
		if !i.enforcesFencing {
			i.sendNotBefore = now.Add(MaxSendDuration)
		}
	}
	i.knownRow, i.rowIsCurrent = read, true
	if !mine {
		i.leaseEnd = time.Time{}
		return
	}
	i.leaseEnd = i.writeStart.Add(LeaseDuration)
}

func (i *Issuer) isUnchanged(read VersionedRow) bool {
	return !i.unchangedSince.IsZero() && read == i.knownRow
}

// RecordFailure records that a write had no effect or that its outcome is unknown.
func (i *Issuer) RecordFailure() {
	i.nextReadAt = time.Time{}
}

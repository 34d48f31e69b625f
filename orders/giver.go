package orders

import (
	"slices"
	"time"
)

// Giver decides for one engine at one node. It is not safe for concurrent use.
type Giver struct {
	// token names the next taking of the lease.
	token func() string
	// fences is true when the engine refuses orders with an old fencing number.
	fences bool

	seen      Versioned
	isSeen    bool
	seenSince time.Time
	nextRead  time.Time

	// writes numbers the tries to write.
	writes uint64
	// written is the row last tried, begun when the write was.
	written Row
	begun   time.Time
	// until is when the lease ends; renewAt when it is written again.
	until   time.Time
	renewAt time.Time
	// quietUntil is when the former giver's orders can have no more effect.
	quietUntil time.Time
	// ordered is when each order was last given; sequence numbers all of them.
	ordered  map[target]time.Time
	sequence uint64
	unwanted unwanted
}

// NewGiver returns a giver that holds no lease. Token returns a new unique
// name at each call.
func NewGiver(fences bool, token func() string) *Giver {
	return &Giver{fences: fences, token: token, ordered: map[target]time.Time{}, unwanted: unwanted{}}
}

// Holds reports whether the lease is in force.
func (g *Giver) Holds(now time.Time) bool {
	return now.Before(g.until)
}

// MaySend is asked directly before an order is sent.
func (g *Giver) MaySend(now time.Time, order Order) bool {
	return g.Holds(now) && order.Fencing == g.seen.Row.Fencing && !now.Before(g.quietUntil)
}

// Lacks reports whether the engine needs any order, and whether one of them
// loads a model. It is asked with each report.
func (g *Giver) Lacks(now time.Time, desired Desired, report Report) (anything, model bool) {
	g.unwanted.note(now, desired, report)
	model = desired.LacksModel(report)
	return model || desired.lacksRole(report) || len(g.unwanted.due(now, desired, report)) > 0, model
}

// Next returns what to do. Owns says that the role falls to this node; without
// it the lease is left to lapse. MayLoad says that models may be loaded now.
func (g *Giver) Next(now time.Time, owns, mayLoad bool, desired Desired, report Report) Action {
	switch {
	case !owns:
		return Action{Kind: Wait}
	case !g.Holds(now):
		return g.take(now)
	case !g.isSeen && !now.Before(g.nextRead):
		g.nextRead = now.Add(readInterval)
		return Action{Kind: Read}
	case g.isSeen && !now.Before(g.renewAt):
		return g.write(now, Row{Token: g.seen.Row.Token, Fencing: g.seen.Row.Fencing})
	case now.Before(g.quietUntil):
		return Action{Kind: Wait}
	}
	if order, ok := g.order(now, mayLoad, desired, report); ok {
		return Action{Kind: Send, Order: order}
	}
	return Action{Kind: Wait}
}

// take gets the lease once its holder has let it lapse.
func (g *Giver) take(now time.Time) Action {
	if !g.isSeen || !now.Before(g.nextRead) {
		g.nextRead = now.Add(readInterval)
		return Action{Kind: Read}
	}
	if g.seen.Version != 0 && now.Sub(g.seenSince) < takeOverAfter {
		return Action{Kind: Wait}
	}
	return g.write(now, Row{Token: g.token(), Fencing: g.seen.Row.Fencing + 1})
}

func (g *Giver) write(now time.Time, row Row) Action {
	// Each try is another row: one that took effect late must not pass for a
	// later one, whose lease would end later.
	g.writes++
	row.Write = g.writes
	g.written, g.begun = row, now
	// Until the outcome is known nothing is written again but after a read.
	g.renewAt = now.Add(RenewAfter)
	g.isSeen = false
	return Action{Kind: Write, Row: row, IfVersion: g.seen.Version}
}

// order returns the first order that is missing and not given lately: the role,
// then what to load, then what to unload. Only a report asked for after an order
// says whether it had effect.
func (g *Giver) order(now time.Time, mayLoad bool, desired Desired, report Report) (Order, bool) {
	if desired.lacksRole(report) && g.isDue(now, target{SetRole, desired.Role}) {
		return g.number(SetRole, desired.Role), true
	}
	for _, model := range desired.Models {
		load := target{kindOf(model), model}
		given, ever := g.ordered[load]
		shown := slices.Contains(report.Models, model) && (!ever || report.At.After(given))
		if mayLoad && !shown && g.isDue(now, load) {
			return g.number(load.kind, model), true
		}
	}
	for _, model := range g.unwanted.due(now, desired, report) {
		if g.isDue(now, target{Unload, model}) {
			return g.number(Unload, model), true
		}
	}
	return Order{}, false
}

// isDue reports whether an order was not given lately.
func (g *Giver) isDue(now time.Time, wanted target) bool {
	given, ever := g.ordered[wanted]
	return !ever || now.Sub(given) >= repeatAfter
}

func (g *Giver) number(kind Kind, model string) Order {
	return Order{Fencing: g.seen.Row.Fencing, Sequence: g.sequence + 1, Kind: kind, Model: model}
}

// Sent notes that an order was sent, whatever became of it.
func (g *Giver) Sent(now time.Time, order Order) {
	g.ordered[order.target()] = now
	g.sequence = order.Sequence
}

// Refused notes that an engine called an order too old. The table decides, not
// the engine: the row is read again.
func (g *Giver) Refused() {
	g.until, g.isSeen = time.Time{}, false
}

// Wrote notes that the write took effect.
func (g *Giver) Wrote(now time.Time) {
	g.SeenRow(now, Versioned{Row: g.written, Version: g.seen.Version + 1})
}

// SeenRow takes in the row as read. A write whose answer was lost shows here.
func (g *Giver) SeenRow(now time.Time, read Versioned) {
	changed := !g.isKnown(read)
	if changed {
		g.seenSince = now
	}
	mine := read.Version != 0 && g.written.Token != "" && read.Row == g.written
	taken := mine && read.Row.Fencing != g.seen.Row.Fencing
	if taken {
		clear(g.ordered)
		if !g.fences {
			g.quietUntil = now.Add(LongestSend)
		}
	}
	g.seen, g.isSeen = read, true
	if !mine {
		g.until = time.Time{}
		return
	}
	g.until = g.begun.Add(Lease)
}

func (g *Giver) isKnown(read Versioned) bool {
	return !g.seenSince.IsZero() && read == g.seen
}

// Failed notes that a write had no effect or an unknown one.
func (g *Giver) Failed() {
	g.nextRead = time.Time{}
}

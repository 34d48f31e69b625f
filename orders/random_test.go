package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tickInterval  = 100 * time.Millisecond
	faultDuration = 6 * time.Minute
	simDuration   = faultDuration + 90*time.Second
	simNodes      = 3
	simSeeds      = 100
	reportAge     = time.Second
)

// delivery is an order on its way to the engine.
type delivery struct {
	order     Order
	arrivesAt time.Time
}

// tableCall is a call to the table that a node waits for.
type tableCall struct {
	action Action
	// answerAt is when the answer arrives; effectAt is when a write is applied.
	answerAt, effectAt time.Time
	applied            bool
	succeeded          bool
	lost               bool
}

type simNode struct {
	issuer      *Issuer
	pausedUntil time.Time
	owns        bool
	call        *tableCall
	// decided is an order that waits until checkAt, as for a load slot; checked is an
	// order that MaySend allowed. Neither is sent yet.
	decided, checked *Order
	checkAt          time.Time
}

// simulation has a table, an engine that runs the model that it was last ordered
// to load, and nodes.
type simulation struct {
	t               *testing.T
	random          *rand.Rand
	now             time.Time
	start           time.Time
	enforcesFencing bool
	pauses          bool
	row             VersionedRow
	model           string
	desired         string
	highestFencing  uint64
	refusedCount    int
	staleCount      int
	nodes           []*simNode
	inFlight        []delivery
	leaseIDs        int
}

func newSimulation(t *testing.T, seed uint64, enforcesFencing, pauses bool) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, enforcesFencing: enforcesFencing, pauses: pauses, desired: "m@0"}
	for range simNodes {
		s.nodes = append(s.nodes, &simNode{issuer: s.newIssuer()})
	}
	return s
}

func (s *simulation) newIssuer() *Issuer {
	return NewIssuer(s.enforcesFencing, func() string {
		s.leaseIDs++
		return fmt.Sprint(s.leaseIDs)
	})
}

func (s *simulation) faultsActive() bool { return s.now.Sub(s.start) < faultDuration }

func (s *simulation) chance(percent int) bool {
	return s.faultsActive() && s.random.IntN(100) < percent
}

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) run() {
	for s.now.Sub(s.start) < simDuration {
		s.now = s.now.Add(tickInterval)
		s.injectFaults()
		s.deliver()
		for _, n := range s.nodes {
			s.stepNode(n)
		}
		s.checkSingleHolder()
	}
	if s.model != s.desired {
		s.t.Fatalf("engine runs %q, want %q", s.model, s.desired)
	}
}

func (s *simulation) injectFaults() {
	for i, n := range s.nodes {
		n.owns = i == 0
		if s.faultsActive() {
			// The nodes' views differ, so that two of them own the role.
			n.owns = (s.now.Unix()/45+int64(i))%simNodes != 0
		}
		switch {
		case s.random.IntN(200) == 0 && s.chance(40): // a crash loses all state
			n.issuer, n.call, n.decided, n.checked = s.newIssuer(), nil, nil, nil
		case s.pauses && s.random.IntN(100) == 0 && s.chance(50):
			n.pausedUntil = s.now.Add(s.randomDuration(30 * time.Second))
		}
	}
	if s.random.IntN(40) == 0 && s.chance(100) {
		s.desired = fmt.Sprint("m@", s.random.IntN(100))
	}
	if s.random.IntN(300) == 0 && s.chance(50) {
		s.model = "" // the engine restarts
	}
}

func (s *simulation) deliver() {
	var remaining []delivery
	for _, next := range s.inFlight {
		if next.arrivesAt.After(s.now) {
			remaining = append(remaining, next)
			continue
		}
		if s.enforcesFencing && next.order.Fencing < s.highestFencing {
			s.refusedCount++
			for _, n := range s.nodes {
				if n.issuer.knownRow.Row.Fencing == next.order.Fencing {
					n.issuer.RecordRefusal()
				}
			}
			continue
		}
		if next.order.Fencing < s.highestFencing {
			s.staleCount++
		}
		s.highestFencing = max(s.highestFencing, next.order.Fencing)
		s.model = next.order.Model
	}
	s.inFlight = remaining
}

func (s *simulation) stepNode(n *simNode) {
	s.applyWrite(n)
	if s.now.Before(n.pausedUntil) {
		return
	}
	if n.checked != nil {
		s.send(n)
		return
	}
	if n.decided != nil {
		s.checkAndSend(n)
		return
	}
	if n.call != nil {
		if !s.now.Before(n.call.answerAt) {
			s.answer(n)
		}
		return
	}
	report := Report{Models: []string{s.model}, At: s.now.Add(-reportAge)}
	action := n.issuer.Next(s.now, n.owns, true, Desired{Models: []string{s.desired}}, report)
	switch action.Kind {
	case Wait:
	case Send:
		n.decided, n.checkAt = &action.Order, s.now
		if s.chance(30) {
			n.checkAt = s.now.Add(s.randomDuration(3 * LeaseDuration / 2))
		}
		s.checkAndSend(n)
	case Read, Write:
		n.call = &tableCall{action: action, answerAt: s.now.Add(s.randomDuration(2 * time.Second)), lost: s.chance(20)}
		n.call.effectAt = s.now.Add(s.randomDuration(time.Second))
		if n.call.lost {
			n.call.effectAt = s.now.Add(s.randomDuration(20 * time.Second))
		}
	}
}

func (s *simulation) checkAndSend(n *simNode) {
	if s.now.Before(n.checkAt) {
		return
	}
	n.checked, n.decided = n.decided, nil
	if !n.issuer.MaySend(s.now, *n.checked) {
		n.checked = nil
		return
	}
	if s.pauses && s.chance(10) {
		n.pausedUntil = s.now.Add(s.randomDuration(30 * time.Second))
		return
	}
	s.send(n)
}

func (s *simulation) send(n *simNode) {
	order := *n.checked
	n.checked = nil
	n.issuer.RecordSent(s.now, order)
	if !s.chance(15) {
		s.inFlight = append(s.inFlight, delivery{order: order, arrivesAt: s.now.Add(s.deliveryDelay())})
	}
}

// deliveryDelay returns the shortest or the longest possible delay.
func (s *simulation) deliveryDelay() time.Duration {
	if s.chance(50) {
		return MaxSendDuration - tickInterval
	}
	return tickInterval
}

// applyWrite lets a write take effect, also after its caller has given up on it.
func (s *simulation) applyWrite(n *simNode) {
	c := n.call
	if c == nil || c.applied || c.action.Kind != Write || s.now.Before(c.effectAt) {
		return
	}
	c.applied = true
	if c.action.IfVersion == s.row.Version {
		s.row = VersionedRow{Row: c.action.Row, Version: s.row.Version + 1}
		c.succeeded = true
	}
}

func (s *simulation) answer(n *simNode) {
	c := n.call
	if c.action.Kind == Write && !c.applied && !c.lost {
		return
	}
	n.call = nil
	switch {
	case c.lost:
		n.issuer.RecordFailure()
	case c.action.Kind == Read:
		n.issuer.RecordRow(s.now, s.row)
	case c.succeeded:
		n.issuer.RecordWrite(s.now)
	default:
		n.issuer.RecordFailure()
	}
	if c.lost && !c.applied && c.action.Kind == Write {
		s.nodes = append(s.nodes, &simNode{issuer: s.newIssuer(), call: c, pausedUntil: s.now.Add(time.Hour)})
	}
}

func (s *simulation) checkSingleHolder() {
	holders := 0
	for _, n := range s.nodes {
		if n.issuer.HoldsLease(s.now) {
			holders++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%s: %d issuers hold the lease", s.now.Sub(s.start), holders)
	}
}

func TestOrdersConvergeUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name                    string
		enforcesFencing, pauses bool
	}{{"engine with fencing", true, true}, {"engine without fencing", false, true}, {"engine without fencing, no pauses", false, false}} {
		t.Run(test.name, func(t *testing.T) {
			refused, stale := 0, 0
			for seed := range uint64(simSeeds) {
				s := newSimulation(t, seed, test.enforcesFencing, test.pauses)
				s.run()
				refused += s.refusedCount
				stale += s.staleCount
			}
			t.Logf("%d stale orders refused, %d executed", refused, stale)
			if (test.enforcesFencing || !test.pauses) && stale > 0 {
				t.Fatalf("%d orders executed after orders with a newer fencing token", stale)
			}
			if test.pauses && refused+stale == 0 {
				t.Fatal("no order arrived late: the run proves nothing")
			}
		})
	}
}

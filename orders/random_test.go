package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	step       = 100 * time.Millisecond
	faultsEnd  = 6 * time.Minute
	settled    = faultsEnd + 90*time.Second
	simNodes   = 3
	simSeeds   = 100
	shownAfter = time.Second
)

// delivery is an order on its way to the engine.
type delivery struct {
	order Order
	at    time.Time
}

// call is what a node waits for.
type call struct {
	action Action
	// done is when the answer comes; effect is when a write is applied.
	done, effect time.Time
	applied      bool
	succeeded    bool
	lost         bool
}

type simNode struct {
	giver  *Giver
	paused time.Time
	owns   bool
	call   *call
	// decided is an order that waits, as for a load slot; checked has passed
	// MaySend. Neither is sent yet.
	decided, checked *Order
	sendAt           time.Time
}

// sim is a table, an engine that runs what it was last ordered to, and nodes.
type sim struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	start   time.Time
	fences  bool
	pauses  bool
	row     Versioned
	model   string
	desired string
	highest uint64
	refused int
	stale   int
	nodes   []*simNode
	flying  []delivery
	tokens  int
}

func newSim(t *testing.T, seed uint64, fences, pauses bool) *sim {
	start := time.Unix(1000, 0)
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, fences: fences, pauses: pauses, desired: "m@0"}
	for range simNodes {
		s.nodes = append(s.nodes, &simNode{giver: s.newGiver()})
	}
	return s
}

func (s *sim) newGiver() *Giver {
	return NewGiver(s.fences, func() string {
		s.tokens++
		return fmt.Sprint(s.tokens)
	})
}

func (s *sim) faulty() bool { return s.now.Sub(s.start) < faultsEnd }

func (s *sim) chance(percent int) bool { return s.faulty() && s.random.IntN(100) < percent }

func (s *sim) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *sim) run() {
	for s.now.Sub(s.start) < settled {
		s.now = s.now.Add(step)
		s.disturb()
		s.deliver()
		for _, n := range s.nodes {
			s.work(n)
		}
		s.check()
	}
	if s.model != s.desired {
		s.t.Fatalf("engine runs %q, want %q", s.model, s.desired)
	}
}

func (s *sim) disturb() {
	for i, n := range s.nodes {
		n.owns = i == 0
		if s.faulty() {
			// Views differ: two nodes own the role.
			n.owns = (s.now.Unix()/45+int64(i))%simNodes != 0
		}
		switch {
		case s.random.IntN(200) == 0 && s.chance(40): // a crash: all memory is lost
			n.giver, n.call, n.decided, n.checked = s.newGiver(), nil, nil, nil
		case s.pauses && s.random.IntN(100) == 0 && s.chance(50):
			n.paused = s.now.Add(s.upTo(30 * time.Second))
		}
	}
	if s.random.IntN(40) == 0 && s.chance(100) {
		s.desired = fmt.Sprint("m@", s.random.IntN(100))
	}
	if s.random.IntN(300) == 0 && s.chance(50) {
		s.model = "" // the engine restarts
	}
}

func (s *sim) deliver() {
	var flying []delivery
	for _, one := range s.flying {
		if one.at.After(s.now) {
			flying = append(flying, one)
			continue
		}
		if s.fences && one.order.Fencing < s.highest {
			s.refused++
			for _, n := range s.nodes {
				if n.giver.seen.Row.Fencing == one.order.Fencing {
					n.giver.Refused()
				}
			}
			continue
		}
		if one.order.Fencing < s.highest {
			s.stale++
		}
		s.highest = max(s.highest, one.order.Fencing)
		s.model = one.order.Model
	}
	s.flying = flying
}

func (s *sim) work(n *simNode) {
	s.apply(n)
	if s.now.Before(n.paused) {
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
		if !s.now.Before(n.call.done) {
			s.answer(n)
		}
		return
	}
	report := Report{Models: []string{s.model}, At: s.now.Add(-shownAfter)}
	action := n.giver.Next(s.now, n.owns, true, Desired{Models: []string{s.desired}}, report)
	switch action.Kind {
	case Wait:
	case Send:
		n.decided, n.sendAt = &action.Order, s.now
		if s.chance(30) {
			n.sendAt = s.now.Add(s.upTo(3 * Lease / 2))
		}
		s.checkAndSend(n)
	case Read, Write:
		n.call = &call{action: action, done: s.now.Add(s.upTo(2 * time.Second)), lost: s.chance(20)}
		n.call.effect = s.now.Add(s.upTo(time.Second))
		if n.call.lost {
			n.call.effect = s.now.Add(s.upTo(20 * time.Second))
		}
	}
}

func (s *sim) checkAndSend(n *simNode) {
	if s.now.Before(n.sendAt) {
		return
	}
	n.checked, n.decided = n.decided, nil
	if !n.giver.MaySend(s.now, *n.checked) {
		n.checked = nil
		return
	}
	if s.pauses && s.chance(10) {
		n.paused = s.now.Add(s.upTo(30 * time.Second))
		return
	}
	s.send(n)
}

func (s *sim) send(n *simNode) {
	order := *n.checked
	n.checked = nil
	n.giver.Sent(s.now, order)
	if !s.chance(15) {
		s.flying = append(s.flying, delivery{order: order, at: s.now.Add(s.flight())})
	}
}

// flight is short or as long as it may be.
func (s *sim) flight() time.Duration {
	if s.chance(50) {
		return LongestSend - step
	}
	return step
}

// apply lets a write take effect, also after its caller gave it up.
func (s *sim) apply(n *simNode) {
	c := n.call
	if c == nil || c.applied || c.action.Kind != Write || s.now.Before(c.effect) {
		return
	}
	c.applied = true
	if c.action.IfVersion == s.row.Version {
		s.row = Versioned{Row: c.action.Row, Version: s.row.Version + 1}
		c.succeeded = true
	}
}

func (s *sim) answer(n *simNode) {
	c := n.call
	if c.action.Kind == Write && !c.applied && !c.lost {
		return
	}
	n.call = nil
	switch {
	case c.lost:
		n.giver.Failed()
	case c.action.Kind == Read:
		n.giver.SeenRow(s.now, s.row)
	case c.succeeded:
		n.giver.Wrote(s.now)
	default:
		n.giver.Failed()
	}
	if c.lost && !c.applied && c.action.Kind == Write {
		s.nodes = append(s.nodes, &simNode{giver: s.newGiver(), call: c, paused: s.now.Add(time.Hour)})
	}
}

func (s *sim) check() {
	holders := 0
	for _, n := range s.nodes {
		if n.giver.Holds(s.now) {
			holders++
		}
	}
	if holders > 1 {
		s.t.Fatalf("%s: %d givers hold the lease", s.now.Sub(s.start), holders)
	}
}

func TestOrdersConvergeUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name           string
		fences, pauses bool
	}{{"fencing engine", true, true}, {"other engine", false, true}, {"other engine without pauses", false, false}} {
		t.Run(test.name, func(t *testing.T) {
			refused, stale := 0, 0
			for seed := range uint64(simSeeds) {
				s := newSim(t, seed, test.fences, test.pauses)
				s.run()
				refused += s.refused
				stale += s.stale
			}
			t.Logf("%d old orders refused, %d taken", refused, stale)
			if (test.fences || !test.pauses) && stale > 0 {
				t.Fatalf("%d older orders taken after newer ones", stale)
			}
			if test.pauses && refused+stale == 0 {
				t.Fatal("no order came late: the run shows nothing")
			}
		})
	}
}

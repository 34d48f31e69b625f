package grouped

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

// The fleet in virtual time. It drives Queue and Bucket as package writerpc
// does; messages and the table are delays.
const (
	step          = 5 * time.Millisecond
	messageSteps  = 1 // one way within a data centre
	tableSteps    = 2
	serviceSteps  = 10
	settleSeconds = 30
	handed        = 4
	stored        = 8
	// indexInterval is how often a node with new claims writes an index row.
	indexInterval = 5 * time.Second
)

var simWaits = [classes]time.Duration{250 * time.Millisecond, time.Second, time.Second}

type simNode struct {
	name, centre int
	store        *Queue
	outbox       *Queue
	bucket       Bucket
	storing      int
	handing      int
	lendAt       time.Time
	indexed      bool
}

// fleet is a simulated fleet.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*simNode
	// alone turns groups and writers off, as before them.
	alone bool
	// writer names the node that a node hands its writes to.
	writer func(*simNode) *simNode
	down   bool
	// live holds the nodes that run and get calls.
	live   []*simNode
	lastID uint64
	done   map[uint64]func(bool)
	events map[time.Time][]func()
	// sent holds when each transaction was sent.
	sent []time.Time
	rows int
	// lendLoss is the chance that lent tokens are lost.
	lendLoss                float64
	lends                   int
	ran, refused, unsettled int
	// kept counts removals that were refused, to be tried by a later sweep.
	kept       int
	claimWaits []time.Duration
}

func newFleet(nodes, centres int, alone bool) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(1, uint64(nodes))), alone: alone,
		done: map[uint64]func(bool){}, events: map[time.Time][]func(){},
	}
	f.writer = func(n *simNode) *simNode { return f.nodes[n.centre] }
	for i := range nodes {
		n := &simNode{name: i, centre: i % centres, store: NewQueue(), outbox: NewQueue(), bucket: NewBucket(start, WritesPerSecond)}
		n.bucket.SetFleet(start, nodes, centres)
		n.lendAt = start.Add(time.Duration(f.random.Int64N(int64(n.bucket.LendInterval()))))
		if alone {
			// The budget before: all of 300 a second, each node its part.
			share := 300 / float64(nodes)
			burst := max(1, share*0.25)
			n.bucket = Bucket{perSecond: share * 0.75, ownMost: burst, most: burst, tokens: burst, updated: start}
		}
		f.nodes = append(f.nodes, n)
	}
	f.live = f.nodes
	return f
}

func (f *fleet) after(steps int, call func()) {
	at := f.now.Add(time.Duration(steps) * step)
	f.events[at] = append(f.events[at], call)
}

// write makes one write at a node.
func (f *fleet) write(n *simNode, class Class, done func(bool)) {
	f.lastID++
	f.done[f.lastID] = done
	p := Pending{
		ID: f.lastID, Class: class, Added: f.now, Before: f.now.Add(time.Hour), Until: f.now.Add(simWaits[class]), alone: f.alone,
		Write: storage.Write{Key: fmt.Sprint(f.lastID), Value: make([]byte, 500)},
	}
	queue := n.outbox
	if f.alone || f.writer(n) == n {
		queue = n.store
	}
	if !queue.Add(p) {
		f.end(p, false)
	}
}

func (f *fleet) end(p Pending, ok bool) {
	done := f.done[p.ID]
	delete(f.done, p.ID)
	done(ok)
}

// call runs one keyed call at a node: claim, service, outcome, later a removal.
func (f *fleet) call(n *simNode) {
	arrived := f.now
	f.write(n, Claim, func(ok bool) {
		if !ok {
			f.refused++
			return
		}
		n.indexed = true
		f.claimWaits = append(f.claimWaits, f.now.Sub(arrived))
		f.after(serviceSteps, func() { f.settle(n, f.now.Add(settleSeconds*time.Second), 50*time.Millisecond) })
		f.write(n, Upkeep, func(ok bool) { // the removal of an earlier call's row
			if !ok {
				f.kept++
			}
		})
	})
}

func (f *fleet) settle(n *simNode, until time.Time, delay time.Duration) {
	f.write(n, Outcome, func(ok bool) {
		switch {
		case ok:
			f.ran++
		case f.now.After(until):
			f.unsettled++
		default:
			f.after(int(delay/step), func() { f.settle(n, until, min(2*delay, 2*time.Second)) })
		}
	})
}

// run advances the fleet with so many calls a second, spread over all nodes.
func (f *fleet) run(period time.Duration, perSecond float64) {
	due := 0.0
	for end := f.now.Add(period); f.now.Before(end); f.now = f.now.Add(step) {
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			f.call(f.live[f.random.IntN(len(f.live))])
		}
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		for _, n := range f.live {
			f.turn(n)
		}
	}
}

func (f *fleet) turn(n *simNode) {
	for _, p := range slices.Concat(n.store.Expire(f.now), n.outbox.Expire(f.now)) {
		f.end(p, false)
	}
	slots := int(indexInterval / step)
	if n.indexed && int(f.now.Sub(start)/step)%slots == n.name*slots/len(f.nodes) {
		n.indexed = false
		f.write(n, Upkeep, func(bool) {})
	}
	writer := f.writer(n)
	for writer != n && n.handing < handed && n.outbox.Len() > 0 {
		f.hand(n, writer, n.outbox.Next())
	}
	for n.storing < stored && n.store.Len() > 0 && n.bucket.Wait(f.now, n.store.Urgent()) == 0 {
		f.send(n, n.store.Next())
	}
	if f.alone || writer == n || f.now.Before(n.lendAt) {
		return
	}
	n.lendAt = f.now.Add(n.bucket.LendInterval())
	f.lends++
	f.lend(n, writer)
}

func (f *fleet) lend(n, writer *simNode) {
	if n.store.Len() > 0 {
		return
	}
	tokens := n.bucket.Lend(f.now)
	if f.random.Float64() < f.lendLoss {
		return
	}
	f.after(messageSteps, func() { writer.bucket.Receive(f.now, float64(uint32(tokens*1000))/1000) })
}

func (f *fleet) send(n *simNode, group []Pending) {
	n.bucket.Take()
	n.storing++
	f.sent = append(f.sent, f.now)
	f.rows += len(group)
	ok := !f.down
	f.after(tableSteps, func() {
		n.storing--
		n.store.Done(group)
		for _, p := range group {
			f.end(p, ok)
		}
	})
}

// hand gives a group to the writer and answers when all its members ended.
func (f *fleet) hand(n, writer *simNode, group []Pending) {
	n.handing++
	left := len(group)
	answers := map[uint64]bool{}
	for _, p := range group {
		done := f.done[p.ID]
		f.done[p.ID] = func(ok bool) {
			answers[p.ID] = ok
			left--
			if left > 0 {
				return
			}
			f.after(messageSteps, func() {
				n.handing--
				n.outbox.Done(group)
				for _, member := range group {
					f.done[member.ID](answers[member.ID])
					delete(f.done, member.ID)
				}
			})
		}
		caller := f.done[p.ID]
		f.done[p.ID] = done
		f.after(messageSteps, func() { f.accept(writer, p, caller) })
	}
}

// accept lets a writer take a write under a number of its own.
func (f *fleet) accept(writer *simNode, p Pending, done func(bool)) {
	f.lastID++
	p.ID = f.lastID
	f.done[p.ID] = done
	if !writer.store.Add(p) {
		f.end(p, false)
	}
}

// busiest returns the most transactions in any period of the length.
func (f *fleet) busiest(length time.Duration) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))]
}

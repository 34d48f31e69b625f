package grouped

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
)

// A simulation of a fleet in virtual time. It uses Queue and Bucket as package
// writerpc does; messages and table calls are delays.
const (
	step                = 5 * time.Millisecond
	messageSteps        = 1 // one way within a data centre
	tableSteps          = 2
	serviceSteps        = 10
	outcomeRetrySeconds = 30
	maxForwards         = 4
	maxStoreCalls       = 8
	// indexInterval is how often a node with new claims writes an index row.
	indexInterval = 5 * time.Second
)

var simMaxWaits = [classes]time.Duration{250 * time.Millisecond, time.Second, time.Second}

type simNode struct {
	name, dataCentre int
	storeQueue       *Queue
	forwardQueue     *Queue
	bucket           Bucket
	storeCalls       int
	forwards         int
	nextLend         time.Time
	indexPending     bool
}

// fleet simulates a fleet.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*simNode
	// ungrouped disables groups and writers: each node sends its own writes singly.
	ungrouped bool
	// writer returns the node that a node forwards its writes to.
	writer    func(*simNode) *simNode
	tableDown bool
	// live holds the nodes that run and receive calls.
	live   []*simNode
	lastID uint64
	done   map[uint64]func(bool)
	events map[time.Time][]func()
	// sentAt holds the time at which each transaction was sent.
	sentAt []time.Time
	rows   int
	// lendLoss is the probability that lent tokens are lost.
	lendLoss                 float64
	lends                    int
	ran, refused, unrecorded int
	// failedRemovals counts rejected removals, which a later sweep would retry.
	failedRemovals int
	claimWaits     []time.Duration
}

func newFleet(nodes, dataCentres int, ungrouped bool) *fleet {
	f := &fleet{
		now: start, random: rand.New(rand.NewPCG(1, uint64(nodes))), ungrouped: ungrouped,
		done: map[uint64]func(bool){}, events: map[time.Time][]func(){},
	}
	f.writer = func(n *simNode) *simNode { return f.nodes[n.dataCentre] }
	for i := range nodes {
		n := &simNode{name: i, dataCentre: i % dataCentres, storeQueue: NewQueue(), forwardQueue: NewQueue(), bucket: NewBucket(start, WritesPerSecond)}
		n.bucket.SetFleet(start, nodes, dataCentres)
		n.nextLend = start.Add(time.Duration(f.random.Int64N(int64(n.bucket.LendInterval()))))
		if ungrouped {
			// The rate limit without grouping: 300 per second, each node has its share.
			share := 300 / float64(nodes)
			burst := max(1, share*0.25)
			n.bucket = Bucket{perSecond: share * 0.75, maxLocalTokens: burst, maxTokens: burst, tokens: burst, updated: start}
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

// write queues one write at a node; done gets whether it was applied.
func (f *fleet) write(n *simNode, class Class, done func(bool)) {
	f.lastID++
	f.done[f.lastID] = done
	p := Pending{
		ID: f.lastID, Class: class, EnqueuedAt: f.now, SendDeadline: f.now.Add(time.Hour), QueueDeadline: f.now.Add(simMaxWaits[class]), sendAlone: f.ungrouped,
		Write: storage.Write{Key: fmt.Sprint(f.lastID), Value: make([]byte, 500)},
	}
	queue := n.forwardQueue
	if f.ungrouped || f.writer(n) == n {
		queue = n.storeQueue
	}
	if !queue.Add(p) {
		f.complete(p, false)
	}
}

func (f *fleet) complete(p Pending, ok bool) {
	done := f.done[p.ID]
	delete(f.done, p.ID)
	done(ok)
}

// call runs one keyed call at a node: claim, service, outcome and the removal of an
// earlier call's row.
func (f *fleet) call(n *simNode) {
	arrived := f.now
	f.write(n, Claim, func(ok bool) {
		if !ok {
			f.refused++
			return
		}
		n.indexPending = true
		f.claimWaits = append(f.claimWaits, f.now.Sub(arrived))
		f.after(serviceSteps, func() { f.writeOutcome(n, f.now.Add(outcomeRetrySeconds*time.Second), 50*time.Millisecond) })
		f.write(n, Upkeep, func(ok bool) { // removal of an earlier call's row
			if !ok {
				f.failedRemovals++
			}
		})
	})
}

func (f *fleet) writeOutcome(n *simNode, until time.Time, delay time.Duration) {
	f.write(n, Outcome, func(ok bool) {
		switch {
		case ok:
			f.ran++
		case f.now.After(until):
			f.unrecorded++
		default:
			f.after(int(delay/step), func() { f.writeOutcome(n, until, min(2*delay, 2*time.Second)) })
		}
	})
}

// run advances the simulation with a rate of calls per second, spread over all live
// nodes.
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
			f.tick(n)
		}
	}
}

func (f *fleet) tick(n *simNode) {
	for _, p := range slices.Concat(n.storeQueue.Expire(f.now), n.forwardQueue.Expire(f.now)) {
		f.complete(p, false)
	}
	slots := int(indexInterval / step)
	if n.indexPending && int(f.now.Sub(start)/step)%slots == n.name*slots/len(f.nodes) {
		n.indexPending = false
		f.write(n, Upkeep, func(bool) {})
	}
	writer := f.writer(n)
	for writer != n && n.forwards < maxForwards && n.forwardQueue.Len() > 0 {
		f.forward(n, writer, n.forwardQueue.Next())
	}
	for n.storeCalls < maxStoreCalls && n.storeQueue.Len() > 0 && n.bucket.Wait(f.now, n.storeQueue.Urgent()) == 0 {
		f.send(n, n.storeQueue.Next())
	}
	if f.ungrouped || writer == n || f.now.Before(n.nextLend) {
		return
	}
	n.nextLend = f.now.Add(n.bucket.LendInterval())
	f.lends++
	f.lend(n, writer)
}

func (f *fleet) lend(n, writer *simNode) {
	if n.storeQueue.Len() > 0 {
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
	n.storeCalls++
	f.sentAt = append(f.sentAt, f.now)
	f.rows += len(group)
	ok := !f.tableDown
	f.after(tableSteps, func() {
		n.storeCalls--
		n.storeQueue.Release(group)
		for _, p := range group {
			f.complete(p, ok)
		}
	})
}

// forward sends a group to the writer and answers once all its members are done.
func (f *fleet) forward(n, writer *simNode, group []Pending) {
	n.forwards++
	remaining := len(group)
	answers := map[uint64]bool{}
	for _, p := range group {
		done := f.done[p.ID]
		f.done[p.ID] = func(ok bool) {
			answers[p.ID] = ok
			remaining--
			if remaining > 0 {
				return
			}
			f.after(messageSteps, func() {
				n.forwards--
				n.forwardQueue.Release(group)
				for _, member := range group {
					f.done[member.ID](answers[member.ID])
					delete(f.done, member.ID)
				}
			})
		}
		onResult := f.done[p.ID]
		f.done[p.ID] = done
		f.after(messageSteps, func() { f.accept(writer, p, onResult) })
	}
}

// accept queues a write at the writer under an ID of the simulation's own.
func (f *fleet) accept(writer *simNode, p Pending, done func(bool)) {
	f.lastID++
	p.ID = f.lastID
	f.done[p.ID] = done
	if !writer.storeQueue.Add(p) {
		f.complete(p, false)
	}
}

// maxSentWithin returns the most transactions in any period of the given length.
func (f *fleet) maxSentWithin(length time.Duration) int {
	most, first := 0, 0
	for i, at := range f.sentAt {
		for at.Sub(f.sentAt[first]) >= length {
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

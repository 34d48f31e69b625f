// Package writerpc sends the writes and reads of claims. Those of a data
// centre's nodes go over drpc to the node that rendezvous hashing names, the
// writer, which groups them; package grouped decides how. Nothing rests on all
// nodes naming the same one: a node sends to the table what it is sent, with the
// tokens that it has.
//
// Lock order: Node.mutex is a leaf; no call is made under it.
package writerpc

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// storeCalls and peerCalls bound the groups of a node that are on their way.
	storeCalls = 8
	peerCalls  = 4
	// storeTimeout bounds one call to the table, peerTimeout one to a peer.
	storeTimeout = 2 * time.Second
	peerTimeout  = 1500 * time.Millisecond
	// readAttempts counts the first attempt of a read too.
	readAttempts = 3
	// avoidPeriod is how long a node that didn't answer is not asked again.
	avoidPeriod = 5 * time.Second
	// expireInterval is how often waiting writes are looked at, and idleInterval
	// how often the node looks at all.
	expireInterval = 20 * time.Millisecond
	idleInterval   = 250 * time.Millisecond
)

// waits is how long a write or read of each class may wait for its turn.
var waits = map[grouped.Class]time.Duration{
	grouped.Claim:   250 * time.Millisecond,
	grouped.Outcome: time.Second,
	grouped.Upkeep:  time.Second,
}

// Peer is a node that may group writes.
type Peer struct {
	Name    string
	Address netip.AddrPort
	// Self is true for the node itself.
	Self bool
}

// Members names the node that groups the writes of the data centre.
type Members interface {
	// Writer returns the node that the role falls to among the live nodes of the
	// data centre that avoid doesn't hold, or the node itself.
	Writer(avoid func(name string) bool) Peer
}

// Config holds what a node works with.
type Config struct {
	// Table takes the groups. The node's tokens pay for them.
	Table storage.Table
	// Members is nil for a node that writes everything itself.
	Members Members
	// Dial returns a connection to a node; it is closed after one call.
	Dial    func(ctx context.Context, address netip.AddrPort) drpc.Conn
	Metrics *telemetry.Metrics
	Logger  zerolog.Logger
}

// Node sends writes and reads for its own calls and for other nodes. It is safe
// for concurrent use; Run must be running.
type Node struct {
	config  Config
	wake    chan struct{}
	groups  conc.WaitGroup
	mutex   sync.Mutex
	writes  *lane
	reads   *lane
	results map[uint64]chan result
	lastID  uint64
	lending bool
	lendAt  time.Time
	// avoided holds until when a peer is not asked.
	avoided map[string]time.Time
}

// New returns a node that doesn't know its fleet yet; see SetFleet.
func New(config Config) *Node {
	if config.Members == nil {
		config.Members = alone{}
	}
	n := &Node{
		config:  config,
		wake:    make(chan struct{}, 1),
		writes:  newLane("write", grouped.WritesPerSecond, grouped.NewQueue),
		reads:   newLane("read", grouped.ReadsPerSecond, grouped.NewReadQueue),
		results: map[uint64]chan result{},
		avoided: map[string]time.Time{},
	}
	n.writes.send, n.writes.hand = n.sendWrites, n.handWrites
	n.reads.send, n.reads.hand = n.sendReads, n.handReads
	return n
}

// lanes returns both, the writes first.
func (n *Node) lanes() [2]*lane {
	return [2]*lane{n.writes, n.reads}
}

// alone are the members of a node that knows no other.
type alone struct{}

// Writer implements Members.
func (alone) Writer(func(string) bool) Peer { return Peer{Self: true} }

// SetFleet tells the node how many nodes and data centres share the rates, each
// the most ever known.
func (n *Node) SetFleet(nodes, dataCentres int) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.lanes() {
		l.bucket.SetFleet(now, nodes, dataCentres)
	}
}

// Write makes a conditional write, and the further ones with it or not at all. It
// is sent before the time given or not at all. Errors: storage.ErrConflict; storage.ErrUnavailable when it had no
// effect; any other when the outcome is unknown.
func (n *Node) Write(ctx context.Context, class grouped.Class, write storage.Write, before time.Time, also ...storage.Write) error {
	now := time.Now()
	pending := grouped.Pending{Class: class, Write: write, Also: also, Before: before, Until: now.Add(waits[class]), Added: now}
	return n.await(ctx, n.writes, n.queue(n.writes, now), pending).err
}

// Get reads one row. It is tried again when it failed. Errors:
// storage.ErrNotFound; any other when the row could not be read.
func (n *Node) Get(ctx context.Context, class grouped.Class, key string) (storage.Row, error) {
	for attempt := 1; ; attempt++ {
		now := time.Now()
		until := now.Add(waits[class])
		pending := grouped.Pending{Class: class, Write: storage.Write{Key: key}, Before: until, Until: until, Added: now}
		got := n.await(ctx, n.reads, n.queue(n.reads, now), pending)
		if got.err == nil && got.row.Version == 0 {
			return storage.Row{}, storage.ErrNotFound
		}
		if got.err == nil || attempt == readAttempts || ctx.Err() != nil {
			return got.row, got.err
		}
	}
}

// queue returns the lane's queue that new members of it join.
func (n *Node) queue(l *lane, now time.Time) *grouped.Queue {
	if n.writer(now).Self {
		return l.store
	}
	return l.outbox
}

// await adds a member to a queue and returns what became of it.
func (n *Node) await(ctx context.Context, l *lane, queue *grouped.Queue, pending grouped.Pending) result {
	ended := make(chan result, 1)
	n.mutex.Lock()
	n.lastID++
	pending.ID = n.lastID
	added := queue.Add(pending)
	if added {
		n.results[pending.ID] = ended
	}
	n.mutex.Unlock()
	if !added {
		n.countRefused(l, "full", 1)
		return result{err: storage.ErrUnavailable}
	}
	n.stir()
	select {
	case got := <-ended:
		return got
	case <-ctx.Done():
		return result{err: n.withdraw(l, pending.ID)}
	}
}

// withdraw gives a member up. What is on its way may still take effect.
func (n *Node) withdraw(l *lane, id uint64) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.results, id)
	if l.store.Withdraw(id) || l.outbox.Withdraw(id) {
		return storage.ErrUnavailable
	}
	return storage.ErrUnknown
}

// stir lets Run look at the queues.
func (n *Node) stir() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// writer returns the node that groups the writes now.
func (n *Node) writer(now time.Time) Peer {
	n.mutex.Lock()
	avoided := map[string]bool{}
	for name, until := range n.avoided {
		if now.Before(until) {
			avoided[name] = true
			continue
		}
		delete(n.avoided, name)
	}
	n.mutex.Unlock()
	return n.config.Members.Writer(func(name string) bool { return avoided[name] })
}

func (n *Node) avoid(peer Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoided[peer.Name] = time.Now().Add(avoidPeriod)
}

// Run sends what waits until the context ends, and then refuses it.
func (n *Node) Run(ctx context.Context) {
	defer n.groups.Wait()
	for ctx.Err() == nil {
		timer := time.NewTimer(n.turn())
		select {
		case <-ctx.Done():
		case <-n.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.lanes() {
		n.refuse(l, l.store.Clear(), "stopped")
		n.refuse(l, l.outbox.Clear(), "stopped")
	}
}

// turn starts every group that may start and returns when to look again.
func (n *Node) turn() time.Duration {
	now := time.Now()
	writer := n.writer(now)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := idleInterval
	for _, l := range n.lanes() {
		n.refuse(l, l.store.Expire(now), "late")
		n.refuse(l, l.outbox.Expire(now), "late")
		n.startHanding(l, writer)
		next = min(next, n.startStoring(now, l))
		if l.waiting() > 0 {
			next = min(next, expireInterval)
		}
		n.config.Metrics.Gauge(`wigeontiller_claim_waiting{kind="`+l.name+`"}`, int64(l.waiting()))
	}
	n.startLending(now, writer)
	return next
}

// startStoring sends groups to the table while there are tokens.
func (n *Node) startStoring(now time.Time, l *lane) time.Duration {
	for l.storing < storeCalls && l.store.Len() > 0 {
		if wait := l.bucket.Wait(now, l.store.Urgent()); wait > 0 {
			return wait
		}
		group := l.store.Next()
		if group == nil {
			break
		}
		l.bucket.Take()
		l.storing++
		n.groups.Go(func() { l.send(group) })
	}
	return idleInterval
}

// startHanding sends groups to the writer.
func (n *Node) startHanding(l *lane, writer Peer) {
	for l.handing < peerCalls && l.outbox.Len() > 0 {
		group := l.outbox.Next()
		if group == nil {
			return
		}
		if writer.Self {
			l.outbox.Done(group)
			l.store.Again(group)
			continue
		}
		l.handing++
		n.groups.Go(func() { l.hand(writer, group) })
	}
}

// startLending hands the node's tokens on. They go at intervals and not with the
// writes, so that a burst of calls at all nodes doesn't bring all their tokens in
// one instant.
func (n *Node) startLending(now time.Time, writer Peer) {
	if writer.Self || n.lending || now.Before(n.lendAt) {
		return
	}
	n.lendAt = now.Add(n.writes.bucket.LendInterval())
	lent := n.spare(now)
	if lent == (tokens{}) {
		return
	}
	n.lending = true
	n.groups.Go(func() { n.lend(writer, lent) })
}

func (n *Node) spare(now time.Time) tokens {
	return tokens{writes: n.writes.spare(now), reads: n.reads.spare(now)}
}

// refuse answers members that were not sent. The caller holds the mutex.
func (n *Node) refuse(l *lane, members []grouped.Pending, reason string) {
	if len(members) == 0 {
		return
	}
	n.countRefused(l, reason, len(members))
	for _, p := range members {
		n.answer(p, result{err: storage.ErrUnavailable})
	}
}

func (n *Node) countRefused(l *lane, reason string, count int) {
	name := fmt.Sprintf("wigeontiller_claim_refused_total{kind=%q,reason=%q}", l.name, reason)
	n.config.Metrics.Count(name, int64(count))
}

// answer ends a member. The caller holds the mutex.
func (n *Node) answer(p grouped.Pending, got result) {
	ended, ok := n.results[p.ID]
	if !ok {
		return
	}
	delete(n.results, p.ID)
	ended <- got
}

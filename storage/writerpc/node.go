// Package writerpc sends the writes and reads of claims. The nodes of a data centre
// forward theirs over drpc to the node that rendezvous hashing selects, the writer,
// which groups them as package grouped decides. Correctness doesn't depend on all
// nodes selecting the same writer: a node sends what it receives to the table, with
// the tokens that it has.
//
// Lock order: Node.mutex is a leaf; no call is made while it is held.
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
	// maxStoreCalls and maxPeerCalls bound the groups in flight of each kind at
	// a node.
	maxStoreCalls = 8
	maxPeerCalls  = 4
	// storeTimeout is the timeout of a call to the table, peerTimeout of one to a
	// peer.
	storeTimeout = 2 * time.Second
	peerTimeout  = 1500 * time.Millisecond
	// readAttempts includes the first attempt.
	readAttempts = 3
	// avoidPeriod is how long a peer whose call failed is not called again.
	avoidPeriod = 5 * time.Second
	// expireInterval is the longest time between checks of the queues while writes or
	// reads wait, idleInterval while none do.
	expireInterval = 20 * time.Millisecond
	idleInterval   = 250 * time.Millisecond
)

// maxWaits is how long a write or read of each class may wait to be sent.
var maxWaits = map[grouped.Class]time.Duration{
	grouped.Claim:   250 * time.Millisecond,
	grouped.Outcome: time.Second,
	grouped.Upkeep:  time.Second,
}

// Peer is a node that can be the writer.
type Peer struct {
	Name    string
	Address netip.AddrPort
	// Self is true for the node itself.
	Self bool
}

// Members selects the data centre's writer.
type Members interface {
	// Writer returns the writer among the live nodes of the data centre for which
	// avoid returns false, or the node itself.
	Writer(avoid func(name string) bool) Peer
}

// Config holds the dependencies of a node.
type Config struct {
	// Table receives the groups. Each call uses one of the node's tokens.
	Table storage.Table
	// Members is nil for a node that sends everything to the table itself.
	Members Members
	// Dial returns a connection to a node; the connection is closed after one call.
	Dial    func(ctx context.Context, address netip.AddrPort) drpc.Conn
	Metrics *telemetry.Metrics
	Logger  zerolog.Logger
}

// Node sends writes and reads to the table, its own and those of other nodes. It is
// safe for concurrent use. Nothing is sent unless Run is running.
type Node struct {
	config   Config
	wake     chan struct{}
	inFlight conc.WaitGroup
	mutex    sync.Mutex
	writes   *pipeline
	reads    *pipeline
	results  map[uint64]chan result
	lastID   uint64
	lending  bool
	nextLend time.Time
	// avoidedUntil holds by name the time until which a peer is not called.
	avoidedUntil map[string]time.Time
}

// New returns a node that doesn't know the size of its fleet yet; see SetFleet.
func New(config Config) *Node {
	if config.Members == nil {
		config.Members = singleNode{}
	}
	n := &Node{
		config:       config,
		wake:         make(chan struct{}, 1),
		writes:       newPipeline("write", grouped.WritesPerSecond, grouped.NewQueue),
		reads:        newPipeline("read", grouped.ReadsPerSecond, grouped.NewReadQueue),
		results:      map[uint64]chan result{},
		avoidedUntil: map[string]time.Time{},
	}
	n.writes.send, n.writes.forward = n.sendWrites, n.forwardWrites
	n.reads.send, n.reads.forward = n.sendReads, n.forwardReads
	return n
}

// pipelines returns both pipelines, the writes first.
func (n *Node) pipelines() [2]*pipeline {
	return [2]*pipeline{n.writes, n.reads}
}

// singleNode implements Members for a node without peers.
type singleNode struct{}

// Writer implements Members.
func (singleNode) Writer(func(string) bool) Peer { return Peer{Self: true} }

// SetFleet sets how many nodes and data centres share the rates; each is the highest
// number ever seen.
func (n *Node) SetFleet(nodes, dataCentres int) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.pipelines() {
		l.bucket.SetFleet(now, nodes, dataCentres)
	}
}

// Write makes a conditional write, atomically with the further ones in also. It is
// sent before the given time or not at all. Errors: storage.ErrConflict;
// storage.ErrUnavailable if it had no effect; any other if the outcome is unknown.
func (n *Node) Write(ctx context.Context, class grouped.Class, write storage.Write, before time.Time, also ...storage.Write) error {
	now := time.Now()
	pending := grouped.Pending{Class: class, Write: write, FurtherWrites: also, SendDeadline: before, QueueDeadline: now.Add(maxWaits[class]), EnqueuedAt: now}
	return n.enqueueAndWait(ctx, n.writes, n.queue(n.writes, now), pending).err
}

// Get reads one row and retries failed reads. Errors: storage.ErrNotFound; any other
// if the row could not be read.
func (n *Node) Get(ctx context.Context, class grouped.Class, key string) (storage.Row, error) {
	for attempt := 1; ; attempt++ {
		now := time.Now()
		deadline := now.Add(maxWaits[class])
		pending := grouped.Pending{Class: class, Write: storage.Write{Key: key}, SendDeadline: deadline, QueueDeadline: deadline, EnqueuedAt: now}
		got := n.enqueueAndWait(ctx, n.reads, n.queue(n.reads, now), pending)
		if got.err == nil && got.row.Version == 0 {
			return storage.Row{}, storage.ErrNotFound
		}
		if got.err == nil || attempt == readAttempts || ctx.Err() != nil {
			return got.row, got.err
		}
	}
}

// queue returns the pipeline's queue for new members.
func (n *Node) queue(l *pipeline, now time.Time) *grouped.Queue {
	if n.writer(now).Self {
		return l.storeQueue
	}
	return l.forwardQueue
}

// enqueueAndWait adds a member to a queue and returns its result.
func (n *Node) enqueueAndWait(ctx context.Context, l *pipeline, queue *grouped.Queue, pending grouped.Pending) result {
	done := make(chan result, 1)
	n.mutex.Lock()
	n.lastID++
	pending.ID = n.lastID
	added := queue.Add(pending)
	if added {
		n.results[pending.ID] = done
	}
	n.mutex.Unlock()
	if !added {
		n.countRefused(l, "full", 1)
		return result{err: storage.ErrUnavailable}
	}
	n.wakeRun()
	select {
	case got := <-done:
		return got
	case <-ctx.Done():
		return result{err: n.cancelMember(l, pending.ID)}
	}
}

// cancelMember cancels a member. A write in flight may still take effect.
func (n *Node) cancelMember(l *pipeline, id uint64) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.results, id)
	if l.storeQueue.Cancel(id) || l.forwardQueue.Cancel(id) {
		return storage.ErrUnavailable
	}
	return storage.ErrUnknown
}

// wakeRun makes Run check the queues.
func (n *Node) wakeRun() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// writer returns the current writer.
func (n *Node) writer(now time.Time) Peer {
	n.mutex.Lock()
	avoided := map[string]bool{}
	for name, until := range n.avoidedUntil {
		if now.Before(until) {
			avoided[name] = true
			continue
		}
		delete(n.avoidedUntil, name)
	}
	n.mutex.Unlock()
	return n.config.Members.Writer(func(name string) bool { return avoided[name] })
}

func (n *Node) avoid(peer Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoidedUntil[peer.Name] = time.Now().Add(avoidPeriod)
}

// Run sends what waits until the context is canceled, and then rejects the
// remainder.
func (n *Node) Run(ctx context.Context) {
	defer n.inFlight.Wait()
	for ctx.Err() == nil {
		timer := time.NewTimer(n.startGroups())
		select {
		case <-ctx.Done():
		case <-n.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, l := range n.pipelines() {
		n.refuse(l, l.storeQueue.Clear(), "stopped")
		n.refuse(l, l.forwardQueue.Clear(), "stopped")
	}
}

// startGroups starts every group that may start and returns how long to wait before
// the next check.
func (n *Node) startGroups() time.Duration {
	now := time.Now()
	writer := n.writer(now)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := idleInterval
	for _, l := range n.pipelines() {
		n.refuse(l, l.storeQueue.Expire(now), "late")
		n.refuse(l, l.forwardQueue.Expire(now), "late")
		n.startForwards(l, writer)
		next = min(next, n.startStoreCalls(now, l))
		if l.queued() > 0 {
			next = min(next, expireInterval)
		}
		n.config.Metrics.Gauge(`wigeontiller_claim_waiting{kind="`+l.name+`"}`, int64(l.queued()))
	}
	n.startLending(now, writer)
	return next
}

// startStoreCalls sends groups to the table while there are tokens. It returns how long
// to wait before the next check.
func (n *Node) startStoreCalls(now time.Time, l *pipeline) time.Duration {
	for l.storeCalls < maxStoreCalls && l.storeQueue.Len() > 0 {
		if wait := l.bucket.Wait(now, l.storeQueue.Urgent()); wait > 0 {
			return wait
		}
		group := l.storeQueue.Next()
		if group == nil {
			break
		}
		l.bucket.Take()
		l.storeCalls++
		n.inFlight.Go(func() { l.send(group) })
	}
	return idleInterval
}

// startForwards forwards groups to the writer.
func (n *Node) startForwards(l *pipeline, writer Peer) {
	for l.forwards < maxPeerCalls && l.forwardQueue.Len() > 0 {
		group := l.forwardQueue.Next()
		if group == nil {
			return
		}
		if writer.Self {
			l.forwardQueue.Release(group)
			l.storeQueue.Requeue(group)
			continue
		}
		l.forwards++
		n.inFlight.Go(func() { l.forward(writer, group) })
	}
}

// startLending lends the node's unused tokens to the writer. They are sent at
// intervals and not with the writes, so that a burst of calls at all nodes doesn't
// bring all their tokens to the writer at once.
func (n *Node) startLending(now time.Time, writer Peer) {
	if writer.Self || n.lending || now.Before(n.nextLend) {
		return
	}
	n.nextLend = now.Add(n.writes.bucket.LendInterval())
	lent := n.takeUnusedTokens(now)
	if lent == (tokens{}) {
		return
	}
	n.lending = true
	n.inFlight.Go(func() { n.lend(writer, lent) })
}

func (n *Node) takeUnusedTokens(now time.Time) tokens {
	return tokens{writes: n.writes.takeUnusedTokens(now), reads: n.reads.takeUnusedTokens(now)}
}

// refuse completes members that were not sent. The caller holds the mutex.
func (n *Node) refuse(l *pipeline, members []grouped.Pending, reason string) {
	if len(members) == 0 {
		return
	}
	n.countRefused(l, reason, len(members))
	for _, p := range members {
		n.complete(p, result{err: storage.ErrUnavailable})
	}
}

func (n *Node) countRefused(l *pipeline, reason string, count int) {
	name := fmt.Sprintf("wigeontiller_claim_refused_total{kind=%q,reason=%q}", l.name, reason)
	n.config.Metrics.Count(name, int64(count))
}

// complete delivers a member's result. The caller holds the mutex.
func (n *Node) complete(p grouped.Pending, got result) {
	done, ok := n.results[p.ID]
	if !ok {
		return
	}
	delete(n.results, p.ID)
	done <- got
}

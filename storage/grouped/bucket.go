package grouped

import "time"

// The claims' part of the table's calls per second, for all nodes together. The
// remainder is for leases, configuration and orders.
const (
	WritesPerSecond = 200
	ReadsPerSecond  = 600
)

const (
	// rateShare and burstShare split each rate into a steady rate and the bursts of
	// the data centres' writers. The remainder covers tokens that nodes have not
	// lent yet.
	rateShare  = 0.7
	burstShare = 0.2
	// reserveShare is the part of a bucket that upkeep leaves to the other
	// classes.
	reserveShare = 0.5
	// minLendInterval and maxLendInterval bound the interval at which a node lends its
	// tokens.
	minLendInterval = 250 * time.Millisecond
	maxLendInterval = 3 * time.Second
	// lendWriteTokens is how many tokens for writes a node lends at a time. It is low
	// enough that a node without a writer makes one transaction per second.
	lendWriteTokens = 1.4
)

// The largest fleet that the system is designed for. A node that doesn't know the
// size of its fleet yet uses its share of this one.
const (
	LargestNodes       = 320
	LargestDataCentres = 7
)

// Bucket is a node's token bucket; one token allows one transaction. Each node's
// bucket fills at the node's share of the fleet's rate. Nodes lend their tokens to
// the writer of their data centre, with writes or alone. A token is at one node at
// a time, so the fleet's rate is the sum of the nodes' rates even if nodes disagree
// on the writer. Tokens that are lost in transit are not replaced.
type Bucket struct {
	// fleetPerSecond is the fleet's rate in calls per second.
	fleetPerSecond float64
	perSecond      float64
	lendInterval   time.Duration
	// maxLocalTokens bounds the tokens that the node's own rate adds,
	// maxTokens those with the received ones.
	maxLocalTokens float64
	maxTokens      float64
	tokens         float64
	updated        time.Time
}

// NewBucket returns an empty bucket for a fleet's limit in calls per second, at a
// node that doesn't know the size of its fleet yet; see SetFleet. The other nodes'
// shares don't account for a node that starts, so it begins without a burst.
func NewBucket(now time.Time, limit float64) Bucket {
	b := Bucket{fleetPerSecond: limit, updated: now}
	b.SetFleet(now, LargestNodes, LargestDataCentres)
	return b
}

// SetFleet changes the node's share. Both numbers are the highest ever seen: a
// node that is partitioned from the others must not use their shares.
func (b *Bucket) SetFleet(now time.Time, nodes, dataCentres int) {
	b.refill(now)
	share := rateShare / float64(max(nodes, 1))
	b.perSecond = b.fleetPerSecond * share
	b.lendInterval = min(max(time.Duration(lendWriteTokens*float64(time.Second)/(WritesPerSecond*share)), minLendInterval), maxLendInterval)
	b.maxLocalTokens = max(1, b.perSecond*b.lendInterval.Seconds())
	b.maxTokens = max(b.maxLocalTokens, b.fleetPerSecond*burstShare/float64(max(dataCentres, 1)))
	b.tokens = min(b.tokens, b.maxTokens)
}

// LendInterval returns the interval at which the node lends its tokens: about the
// time in which lendWriteTokens for writes accrue.
func (b *Bucket) LendInterval() time.Duration {
	return b.lendInterval
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.tokens < b.maxLocalTokens {
		b.tokens = min(b.maxLocalTokens, b.tokens+elapsed.Seconds()*b.perSecond)
	}
}

// Wait returns how long to wait before a call may be made if no token is received
// meanwhile; 0 means now. Calls that are not urgent leave half of the bucket to the
// urgent ones.
func (b *Bucket) Wait(now time.Time, urgent bool) time.Duration {
	b.refill(now)
	need := 1.0
	if !urgent {
		need = max(need, b.maxTokens*reserveShare)
	}
	if b.tokens >= need {
		return 0
	}
	// The nanosecond compensates for rounding down.
	return time.Duration((need-b.tokens)/b.perSecond*float64(time.Second)) + time.Nanosecond
}

// Take consumes one token. Either Wait returned 0 before, or the call can't wait;
// the tokens may then become negative, so that later calls wait longer.
func (b *Bucket) Take() {
	b.tokens--
}

// Lend empties the bucket and returns its tokens, which the caller sends to another
// node.
func (b *Bucket) Lend(now time.Time) float64 {
	b.refill(now)
	lent := max(b.tokens, 0)
	b.tokens -= lent
	return lent
}

// Receive adds tokens from another node; those above the bound are dropped.
func (b *Bucket) Receive(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = min(b.maxTokens, b.tokens+max(tokens, 0))
}

package grouped

import "time"

// The claims' part of the table's calls a second, for all nodes together.
// Leases, configuration and orders have the rest.
const (
	WritesPerSecond = 200
	ReadsPerSecond  = 600
)

const (
	// rateShare and burstShare divide each into a steady rate and the bursts of
	// the data centres' writers. The rest is for tokens that are not handed on yet.
	rateShare  = 0.7
	burstShare = 0.2
	// reserveShare is the part of a bucket that upkeep leaves to the others.
	reserveShare = 0.5
	// shortestLend and longestLend bound how often a node hands its tokens on.
	shortestLend = 250 * time.Millisecond
	longestLend  = 3 * time.Second
	// lendTokens is how many tokens for writes a node hands on at a time. It is so
	// low that a node without a writer makes one transaction in a second.
	lendTokens = 1.4
)

// The size to design for. A node that doesn't know its fleet yet takes the part
// of one of so many nodes and data centres.
const (
	LargestNodes       = 320
	LargestDataCentres = 7
)

// Bucket holds a node's tokens; each pays for one transaction. Tokens arise at
// each node at its part of the fleet's rate. They are handed on to the writer of
// the data centre, with writes or alone, and are at one node at a time: whoever
// is believed to be the writer, and by how many, the fleet's rate is the sum of
// the nodes' rates. Tokens that are lost on their way are not made again.
type Bucket struct {
	// limit is the fleet's calls a second.
	limit     float64
	perSecond float64
	interval  time.Duration
	// ownMost bounds the tokens that arise here, most those in all.
	ownMost float64
	most    float64
	tokens  float64
	updated time.Time
}

// NewBucket returns an empty bucket for a limit of calls a second, at a node that
// doesn't know its fleet yet; see SetFleet. A node that starts is new to the
// others' sum, so that it brings no burst.
func NewBucket(now time.Time, limit float64) Bucket {
	b := Bucket{limit: limit, updated: now}
	b.SetFleet(now, LargestNodes, LargestDataCentres)
	return b
}

// SetFleet changes the node's part. Both numbers are the most ever known: a
// node that is cut off must not take the others' part.
func (b *Bucket) SetFleet(now time.Time, nodes, dataCentres int) {
	b.refill(now)
	share := rateShare / float64(max(nodes, 1))
	b.perSecond = b.limit * share
	b.interval = min(max(time.Duration(lendTokens*float64(time.Second)/(WritesPerSecond*share)), shortestLend), longestLend)
	b.ownMost = max(1, b.perSecond*b.interval.Seconds())
	b.most = max(b.ownMost, b.limit*burstShare/float64(max(dataCentres, 1)))
	b.tokens = min(b.tokens, b.most)
}

// LendInterval is how often the node hands its tokens on: about when it has
// lendTokens for writes.
func (b *Bucket) LendInterval() time.Duration {
	return b.interval
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.tokens < b.ownMost {
		b.tokens = min(b.ownMost, b.tokens+elapsed.Seconds()*b.perSecond)
	}
}

// Wait returns how long it takes until a call may be made, if no token is
// received. Calls that can wait leave half of the bucket to the others.
func (b *Bucket) Wait(now time.Time, urgent bool) time.Duration {
	b.refill(now)
	need := 1.0
	if !urgent {
		need = max(need, b.most*reserveShare)
	}
	if b.tokens >= need {
		return 0
	}
	// The nanosecond makes up for rounding down.
	return time.Duration((need-b.tokens)/b.perSecond*float64(time.Second)) + time.Nanosecond
}

// Take uses one token. Wait has returned 0 before, or the call can't wait: the
// next ones then do.
func (b *Bucket) Take() {
	b.tokens--
}

// Lend empties the bucket and returns its tokens, which the caller hands on.
func (b *Bucket) Lend(now time.Time) float64 {
	b.refill(now)
	lent := max(b.tokens, 0)
	b.tokens -= lent
	return lent
}

// Receive adds tokens from another node; those over the bound are lost.
func (b *Bucket) Receive(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = min(b.most, b.tokens+max(tokens, 0))
}

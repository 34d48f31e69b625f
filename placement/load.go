package placement

import (
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// reportTTL is how long a report is valid: several report intervals.
	reportTTL = 2 * time.Second
	// recentPrefillTime is the time constant of the recent share of prefill.
	recentPrefillTime = 2 * time.Second
	// unattributedTTL is how long requests that no node knows of count after a report.
	unattributedTTL = 700 * time.Millisecond
	// maxSpeedFactor is the upper limit for a reported speed factor.
	maxSpeedFactor = 20
	// failureWeight is the weight of one new outcome in the failure share.
	failureWeight = 0.2
	// failureHalfLife is the time in which the failure share halves without new outcomes.
	failureHalfLife = 2 * time.Second
	// minAvoidTime is how long an unresponsive upstream is avoided; the time doubles with
	// each further failure up to maxAvoidTime.
	minAvoidTime = 500 * time.Millisecond
	maxAvoidTime = 4 * time.Second
)

// load is what a node knows of one upstream in addition to its entry.
type load struct {
	entry *fleet.Upstream
	// engine is nil for an upstream of a plain service.
	engine *fleet.Engine
	hash   uint32
	// running, memoryTokens and helperPrompts are this node's part of Totals.
	running, memoryTokens, helperPrompts int
	// totalsByNode holds the totals of the other nodes, by node name.
	totalsByNode map[string]Totals
	// otherNodes is the sum of totalsByNode.
	otherNodes Totals
	// passes estimates when the engine prefills what all nodes have placed there.
	passes passTimeline
	// totalAddedMs is all prefill time ever added; recentMs is the same with exponential
	// decay, as of recentAt; recentLongMs is the part of it that came with long prompts.
	totalAddedMs, recentMs, recentLongMs float64
	recentAt                             time.Duration
	// unattributed is how many more requests the upstream reported than all nodes have
	// there, as of reportedAt: those of nodes that died, and those not yet dropped.
	unattributed int
	// speedFactor is how many times longer than its pass model the engine reported to
	// take, as of reportedAt.
	speedFactor float64
	reportedAt  time.Duration
	// failureShare is the decaying share of failed attempts, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Duration
	avoidUntil     time.Duration
	avoidFor       time.Duration
	// avoidedByOwnAttempt is true when this node detected the failure itself.
	avoidedByOwnAttempt bool
	// leavingUnpublished is true, and pausedUnpublished set, after the upstream asked this
	// node for it, until the other nodes are told.
	leavingUnpublished bool
	pausedUnpublished  time.Duration
	// unpublishedMs is the prefill time placed since the last update to the other nodes.
	unpublishedMs float64
	// unpublishedSpeedFactor is a reported factor not yet sent to the other nodes; 0 is none.
	unpublishedSpeedFactor float64
	// coldPermits is the token bucket for this node's part of the rate that a cold upstream
	// takes, as of coldPermitsAt.
	coldPermits   float64
	coldPermitsAt time.Duration
	// incarnation identifies the upstream's process in statements of limits.
	incarnation uint32
	// limitPermits is the token bucket for this node's part of the rate that the upstream states, as
	// of limitPermitsAt.
	limitPermits   float64
	limitPermitsAt time.Duration
	// senderRank, senderNodes and senderPart are the results of Config.SenderRank as of senderRankAt.
	senderRank, senderNodes int
	senderPart              float64
	senderRankAt            time.Duration
	turns                   turns
	memoryRefusal           memoryRefusal
	departed                departures
	// polledAt is when this node last polled the upstream for its load.
	polledAt time.Duration
}

// Totals are one node's requests at one upstream.
type Totals struct {
	Running int
	// MemoryTokens is the engine memory that they may come to need, in tokens.
	MemoryTokens int
	// HelperPrompts counts the prompts of other lead engines that the upstream prefills a chunk of.
	HelperPrompts int
}

func (l *load) totalRunning() int { return l.running + l.otherNodes.Running }

// occupied is the number of requests at the upstream, including those that no node has.
func (l *load) occupied(now time.Duration) int {
	if now-l.reportedAt > unattributedTTL {
		return l.totalRunning()
	}
	return l.totalRunning() + l.unattributed
}
func (l *load) totalMemoryTokens() int  { return l.memoryTokens + l.otherNodes.MemoryTokens }
func (l *load) totalHelperPrompts() int { return l.helperPrompts + l.otherNodes.HelperPrompts }

// addBacklog adds prefill time, or removes it where ms is negative.
func (l *load) addBacklog(now time.Duration, ms float64) {
	l.passes.add(now, ms, l.nextPass(now))
	l.totalAddedMs += max(0, ms)
	decay := l.recentDecay(now)
	l.recentMs = l.recentMs*decay + ms
	l.recentLongMs *= decay
	if math.Abs(ms) >= minLongChunkMs {
		l.recentLongMs += ms
	}
	l.recentAt = now
}

// recentPrefillMs is the recent prefill time in ms; it decays with recentPrefillTime.
func (l *load) recentPrefillMs(now time.Duration) float64 {
	return l.recentMs * l.recentDecay(now)
}

func (l *load) recentDecay(now time.Duration) float64 {
	return math.Exp(-float64(now-l.recentAt) / float64(recentPrefillTime))
}

// shortPrefillShare is the share of the engine's recent time that went to prefill of other than long
// prompts.
func (l *load) shortPrefillShare(now time.Duration) float64 {
	return max(0, l.recentMs-l.recentLongMs) * l.recentDecay(now) / float64(recentPrefillTime.Milliseconds())
}

// prefillShare is the share of the engine's recent time that went to prefill.
func (l *load) prefillShare(now time.Duration) float64 {
	return l.recentPrefillMs(now) / float64(recentPrefillTime.Milliseconds())
}

// markPrefilledUpTo records that all prefill is done that was added up to the moment
// when totalAddedMs was at addedMs.
func (l *load) markPrefilledUpTo(now time.Duration, addedMs float64) {
	l.passes.setBacklog(now, max(0, l.totalAddedMs-addedMs), l.nextPass(now))
}

// nextPass models the engine's next pass, apart from prefill.
func (l *load) nextPass(now time.Duration) passModel {
	p := passModel{speedFactor: l.currentSpeedFactor(now), decoding: l.totalRunning() > 0}
	if l.engine != nil {
		p.baseMs = decodePassMs(l.engine, l.totalRunning(), l.totalMemoryTokens())
	}
	return p
}

// backlogMs is the remaining prefill time of all that was placed, in ms by the pass model.
func (l *load) backlogMs(now time.Duration) float64 {
	l.passes.advance(now, l.nextPass(now))
	return l.passes.backlogMs(now, l.nextPass(now))
}

// msUntilPrefilled is the time in ms until a chunk that arrives now is prefilled, at the
// end of the next pass.
func (l *load) msUntilPrefilled(now time.Duration, ms float64) float64 {
	l.passes.advance(now, l.nextPass(now))
	return l.passes.msUntilPrefilled(now, ms, l.nextPass(now))
}

func (l *load) currentSpeedFactor(now time.Duration) float64 {
	if l.speedFactor < 1 || now-l.reportedAt > reportTTL {
		return 1
	}
	return min(l.speedFactor, maxSpeedFactor)
}

// currentFailureShare is the share of failed attempts, decayed to now.
func (l *load) currentFailureShare(now time.Duration) float64 {
	halves := float64(now-l.failureShareAt) / float64(failureHalfLife)
	share := l.failureShare
	for ; halves > 1 && share > 0.01; halves-- {
		share /= 2
	}
	return share * (1 - halves/2*boolToFloat(share > 0))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (l *load) recordOutcome(now time.Duration, failed bool) {
	l.failureShare = l.currentFailureShare(now)*(1-failureWeight) + boolToFloat(failed)*failureWeight
	l.failureShareAt = now
	if !failed {
		l.avoidFor, l.avoidUntil = 0, 0
	}
}

// reportedRecently reports whether the upstream answered a poll for its load within
// half of reportTTL.
func (l *load) reportedRecently(now time.Duration) bool {
	return l.reportedAt > 0 && now-l.reportedAt < reportTTL/2
}

// avoid keeps new requests away from an unresponsive upstream for a while.
func (l *load) avoid(now time.Duration) {
	if now < l.avoidUntil {
		return
	}
	l.avoidFor = min(maxAvoidTime, max(minAvoidTime, 2*l.avoidFor))
	l.avoidUntil = now + l.avoidFor
	l.avoidedByOwnAttempt = true
}

// setNodeTotals replaces another node's totals; zero totals remove it.
func (l *load) setNodeTotals(node string, totals Totals) {
	before := l.totalsByNode[node]
	l.otherNodes.Running += totals.Running - before.Running
	l.turns.heard += max(0, before.Running-totals.Running)
	l.otherNodes.MemoryTokens += totals.MemoryTokens - before.MemoryTokens
	l.otherNodes.HelperPrompts += totals.HelperPrompts - before.HelperPrompts
	if totals == (Totals{}) {
		delete(l.totalsByNode, node)
		return
	}
	l.totalsByNode[node] = totals
}

// takeColdPermit takes one request from this node's part of the rate, if available.
func (l *load) takeColdPermit(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.refillColdPermits(now, rate); l.coldPermits < 1 {
		return false
	}
	l.coldPermits--
	return true
}

func (l *load) refillColdPermits(now time.Duration, rate float64) {
	if l.coldPermitsAt == 0 {
		l.coldPermitsAt = now
		if l.entry.SeenAt > 0 {
			l.coldPermitsAt = min(now, l.entry.SeenAt)
		}
	}
	burst := max(1, rate/2)
	l.coldPermits = min(burst, l.coldPermits+rate*(now-l.coldPermitsAt).Seconds())
	l.coldPermitsAt = now
}

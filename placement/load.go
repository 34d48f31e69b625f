package placement

import (
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// reportLife is how long a report counts: some intervals between reports.
	reportLife = 2 * time.Second
	// recentTime is the time over which the share of reading is taken.
	recentTime = 2 * time.Second
	// unknownLife is how long requests that no node knows of count after a report.
	unknownLife = 700 * time.Millisecond
	// slowest bounds the pace that a report may claim.
	slowest = 20
	// failWeight is the weight of one new outcome in the share of failures.
	failWeight = 0.2
	// failLife halves the share of failures without new outcomes.
	failLife = 2 * time.Second
	// firstAvoid is how long an upstream that did not answer is avoided; the time
	// doubles with each further failure up to lastAvoid.
	firstAvoid = 500 * time.Millisecond
	lastAvoid  = 4 * time.Second
)

// load is what a node knows of one upstream beside its entry.
type load struct {
	entry *fleet.Upstream
	// engine is nil for an upstream of a plain service.
	engine *fleet.Engine
	hash   uint32
	// running, memory and helping are this node's own requests there.
	running, memory, helping int
	// others holds the same of the other nodes, by node.
	others map[string]Totals
	// sums are the totals of others.
	sums Totals
	// passes is when the engine reads what all nodes have placed.
	passes passes
	// addedMs is all reading that was ever booked; lately is the same with the past
	// decaying, at latelyAt.
	addedMs, lately float64
	latelyAt        time.Duration
	// unknown is how many more requests the upstream reported than all nodes have
	// there, at paceAt: those of nodes that died, and those not dropped yet.
	unknown int
	// pace is how many times longer than its model the engine said to take, at paceAt.
	pace   float64
	paceAt time.Duration
	// failShare is the decaying share of failed attempts at failAt.
	failShare  float64
	failAt     time.Duration
	avoidUntil time.Duration
	avoidFor   time.Duration
	// ownAvoid is true when this node saw the failure itself.
	ownAvoid bool
	// toldMs is the reading placed since the others were last told.
	toldMs float64
	// toldPace is a pace that the others were not told yet.
	toldPace float64
	// warmTokens is this node's part of the rate that a cold upstream bears.
	warmTokens float64
	warmAt     time.Duration
}

// Totals are one node's requests at one upstream.
type Totals struct {
	Running int
	// MemoryTokens is the engine memory that they may come to need, in tokens.
	MemoryTokens int
	// HelperPrompts counts the other engines' prompts that the upstream reads a part of.
	HelperPrompts int
}

func (l *load) totalRunning() int { return l.running + l.sums.Running }

// occupied is the number of requests at the upstream, with those that no node has.
func (l *load) occupied(now time.Duration) int {
	if now-l.paceAt > unknownLife {
		return l.totalRunning()
	}
	return l.totalRunning() + l.unknown
}
func (l *load) totalMemory() int  { return l.memory + l.sums.MemoryTokens }
func (l *load) totalHelping() int { return l.helping + l.sums.HelperPrompts }

// addBacklog books reading, or takes it back where ms is negative.
func (l *load) addBacklog(now time.Duration, ms float64) {
	l.passes.add(now, ms, l.pass(now))
	l.addedMs += max(0, ms)
	l.lately = l.recent(now) + ms
	l.latelyAt = now
}

// recent is the reading of the last time, in ms; it decays with recentTime.
func (l *load) recent(now time.Duration) float64 {
	return l.lately * math.Exp(-float64(now-l.latelyAt)/float64(recentTime))
}

// readShare is the share of the engine's time that went to reading lately.
func (l *load) readShare(now time.Duration) float64 {
	return l.recent(now) / float64(recentTime.Milliseconds())
}

// readUpTo notes that all reading was done that had been booked when addedMs was at.
func (l *load) readUpTo(now time.Duration, at float64) {
	l.passes.readBut(now, max(0, l.addedMs-at), l.pass(now))
}

// pass is what the engine's next pass takes without reading.
func (l *load) pass(now time.Duration) pass {
	p := pass{pace: l.paceNow(now), writes: l.totalRunning() > 0}
	if l.engine != nil {
		p.baseMs = passMs(l.engine, l.totalRunning(), l.totalMemory())
	}
	return p
}

// unread is the time that the engine still reads what was placed, in ms of its model.
func (l *load) unread(now time.Duration) float64 {
	l.passes.roll(now, l.pass(now))
	return l.passes.unread(now, l.pass(now))
}

// readAfter is the time in ms until a part that comes now is read, by the end of the
// next pass.
func (l *load) readAfter(now time.Duration, ms float64) float64 {
	l.passes.roll(now, l.pass(now))
	return l.passes.after(now, ms, l.pass(now))
}

func (l *load) paceNow(now time.Duration) float64 {
	if l.pace < 1 || now-l.paceAt > reportLife {
		return 1
	}
	return min(l.pace, slowest)
}

// failures is the decaying share of failed attempts.
func (l *load) failures(now time.Duration) float64 {
	halves := float64(now-l.failAt) / float64(failLife)
	share := l.failShare
	for ; halves > 1 && share > 0.01; halves-- {
		share /= 2
	}
	return share * (1 - halves/2*boolTo(share > 0))
}

func boolTo(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (l *load) outcome(now time.Duration, failed bool) {
	l.failShare = l.failures(now)*(1-failWeight) + boolTo(failed)*failWeight
	l.failAt = now
	if !failed {
		l.avoidFor, l.avoidUntil = 0, 0
	}
}

// reported reports whether the upstream answered a question a short time ago.
func (l *load) reported(now time.Duration) bool {
	return l.paceAt > 0 && now-l.paceAt < reportLife/2
}

// avoid keeps new requests away from an upstream that did not answer.
func (l *load) avoid(now time.Duration) {
	if now < l.avoidUntil {
		return
	}
	l.avoidFor = min(lastAvoid, max(firstAvoid, 2*l.avoidFor))
	l.avoidUntil = now + l.avoidFor
	l.ownAvoid = true
}

func (l *load) tell(node string, totals Totals) {
	before := l.others[node]
	l.sums.Running += totals.Running - before.Running
	l.sums.MemoryTokens += totals.MemoryTokens - before.MemoryTokens
	l.sums.HelperPrompts += totals.HelperPrompts - before.HelperPrompts
	if totals == (Totals{}) {
		delete(l.others, node)
		return
	}
	l.others[node] = totals
}

// warm takes one request of this node's part of the rate, if it is there.
func (l *load) warm(now time.Duration, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if l.refillWarm(now, rate); l.warmTokens < 1 {
		return false
	}
	l.warmTokens--
	return true
}

func (l *load) refillWarm(now time.Duration, rate float64) {
	burst := max(1, rate/2)
	l.warmTokens = min(burst, l.warmTokens+rate*(now-l.warmAt).Seconds())
	l.warmAt = now
}

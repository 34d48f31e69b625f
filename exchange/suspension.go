package exchange

import (
	"sync/atomic"
	"time"
)

const (
	// TickInterval is how often Exchange.Tick is called.
	TickInterval = 100 * time.Millisecond
	// suspendedAfter is the time without a tick after which the process has been suspended. A machine
	// that is only slow is seldom late by so much.
	suspendedAfter = time.Second
	// catchUpTime is how long a process that was suspended sends nothing, so that it first hears what the
	// other nodes have found out meanwhile: they repeat it every half second.
	catchUpTime = 600 * time.Millisecond
	// pausedAfter is the time without a tick after which requests may have come earlier than they are read.
	pausedAfter = 3 * TickInterval
)

// suspensionGuard finds out that the process was suspended. Its times are on a clock that goes on
// meanwhile; 0 is never.
type suspensionGuard struct {
	tickedAt, resumedAt atomic.Int64
	// wentOnAt is when a shorter pause ended.
	wentOnAt atomic.Int64
}

// tick records that the process runs.
func (g *suspensionGuard) tick(now time.Duration) {
	previous := time.Duration(g.tickedAt.Swap(int64(now)))
	if previous > 0 && now-previous > suspendedAfter {
		g.resumedAt.Store(int64(now))
	}
	if previous > 0 && now-previous > pausedAfter {
		g.wentOnAt.Store(int64(now))
	}
}

// paused reports whether requests that are read now may have come during a pause of the process.
func (g *suspensionGuard) paused(now time.Duration) bool {
	ticked, wentOn := time.Duration(g.tickedAt.Load()), time.Duration(g.wentOnAt.Load())
	return ticked > 0 && now-ticked > pausedAfter || wentOn > 0 && now-wentOn < pausedAfter || g.wait(now) > 0
}

// wait returns how long nothing is to be sent.
func (g *suspensionGuard) wait(now time.Duration) time.Duration {
	ticked, resumed := time.Duration(g.tickedAt.Load()), time.Duration(g.resumedAt.Load())
	if ticked > 0 && now-ticked > suspendedAfter {
		// The first to notice.
		g.tick(now)
		resumed = now
	}
	if resumed == 0 {
		return 0
	}
	return max(0, resumed+catchUpTime-now)
}

// Tick tells the exchange that the process runs; it is called each TickInterval.
func (e *Exchange) Tick() {
	e.suspension.tick(e.config.Now())
	e.settle(e.openAttempts.expire(e.config.Scheduler.now()))
}

package soak

import (
	"sync/atomic"
	"time"
)

// clock tells the time since the load began. It is safe for concurrent use.
type clock struct {
	start atomic.Pointer[time.Time]
}

func newClock() *clock {
	c := new(clock)
	c.restart()
	return c
}

func (c *clock) restart() {
	now := time.Now()
	c.start.Store(&now)
}

func (c *clock) now() time.Duration {
	return time.Since(*c.start.Load())
}

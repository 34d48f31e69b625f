package exchange

import (
	"context"
	"sync"
	"time"
)

// startupWait is how long after the start of a node a request waits for the node's first view. After a restart
// of all nodes callers come back in the moments in which the views are read; a refusal would use up the
// retries of many of them.
const startupWait = 800 * time.Millisecond

// startup holds requests until the node has its first view.
type startup struct {
	until time.Time
	once  sync.Once
	// ready is closed when there is a view.
	ready chan struct{}
}

func newStartup(now time.Time) *startup {
	return &startup{until: now.Add(startupWait), ready: make(chan struct{})}
}

// ViewReady releases the requests that wait for the first view. It is called after the scheduler was given a
// view that is synced.
func (e *Exchange) ViewReady() { e.startup.once.Do(func() { close(e.startup.ready) }) }

// AwaitView waits for the first view of a node that has just started.
func (e *Exchange) AwaitView(ctx context.Context) {
	wait := time.Until(e.startup.until)
	if wait <= 0 || e.config.Follower.Current().Synced {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.startup.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

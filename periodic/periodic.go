// Package periodic calls a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f at each interval until the context ends. A call that takes longer
// than the interval delays the next one.
func Run(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// RunNow is Run with a first call at once.
func RunNow(ctx context.Context, interval time.Duration, f func()) {
	f()
	Run(ctx, interval, f)
}

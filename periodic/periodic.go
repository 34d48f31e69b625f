// Package periodic calls a function at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f once per interval until the context is done. A call that takes longer
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

// RunNow calls f immediately and then like Run.
func RunNow(ctx context.Context, interval time.Duration, f func()) {
	f()
	Run(ctx, interval, f)
}

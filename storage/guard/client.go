// Package guard wraps any storage.Platform with a timeout, a rate limit, a
// circuit breaker and, for reads, retries. Writes are never retried: an unknown
// outcome is returned, so that callers can read the row back.
//
// Lock order: Client.mutex is a leaf; no call is made while it is held.
package guard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sony/gobreaker/v2"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// writesPerSecond and readsPerSecond are limits for all nodes together.
	writesPerSecond = 300
	readsPerSecond  = 1000
	// controlWritesPerSecond and controlReadsPerSecond are the parts of the limits
	// for leases, configuration and orders; claims use the rest. Neither part
	// can use the other's.
	controlWritesPerSecond = writesPerSecond - grouped.WritesPerSecond
	controlReadsPerSecond  = readsPerSecond - grouped.ReadsPerSecond
	// objectWritesPerSecond limits the object store's writes, which the platform
	// counts separately from the table's.
	objectWritesPerSecond = 300
	// callTimeout is the timeout of one attempt.
	callTimeout = 2 * time.Second
	// readAttempts includes the first attempt.
	readAttempts   = 3
	firstRetryWait = 20 * time.Millisecond
	// maxTokenWait is how long a call waits for a token before it is rejected.
	maxTokenWait = 250 * time.Millisecond
	// breakerFailures consecutive failures open the breaker for breakerOpenPeriod.
	breakerFailures   = 5
	breakerOpenPeriod = time.Second
	// breakerHalfOpenCalls is how many calls the half-open breaker lets
	// through.
	breakerHalfOpenCalls = 3
)

// Client guards a platform. It is safe for concurrent use.
type Client struct {
	inner   storage.Platform
	metrics *telemetry.Metrics
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	mutex   sync.Mutex
	writes  tokenBucket
	reads   tokenBucket
	objects tokenBucket
}

// New returns a client that may use the whole rate; see SetNodes.
func New(inner storage.Platform, metrics *telemetry.Metrics) *Client {
	now := time.Now()
	return &Client{
		inner:   inner,
		metrics: metrics,
		writes:  newTokenBucket(now, controlWritesPerSecond),
		reads:   newTokenBucket(now, controlReadsPerSecond),
		objects: newTokenBucket(now, objectWritesPerSecond),
		breaker: gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Name:        "platform",
			MaxRequests: breakerHalfOpenCalls,
			Timeout:     breakerOpenPeriod,
			ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				return !errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrUnknown)
			},
		}),
	}
}

// SetNodes sets how many nodes share the rate limits.
func (c *Client) SetNodes(n int) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes.setShare(now, controlWritesPerSecond/float64(max(n, 1)))
	c.reads.setShare(now, controlReadsPerSecond/float64(max(n, 1)))
	c.objects.setShare(now, objectWritesPerSecond/float64(max(n, 1)))
}

// Available reports whether the breaker is not open.
func (c *Client) Available() bool {
	return c.breaker.State() != gobreaker.StateOpen
}

// kind is the rate limit that a call counts against.
type kind string

const (
	read  kind = "read"
	write kind = "write"
	// claimWrite and claimRead are calls whose rate the caller itself limits to the
	// claims' part.
	claimWrite kind = "claim_write"
	claimRead  kind = "claim_read"
	object     kind = "object_write"
)

// call makes a call and retries failed reads.
func call[T any](ctx context.Context, c *Client, k kind, urgent bool, run func(context.Context) (T, error)) (T, error) {
	attempts := 1
	if k == read {
		attempts = readAttempts
	}
	wait := firstRetryWait
	for {
		got, err := attempt(ctx, c, k, urgent, run)
		attempts--
		if !retryable(err) || attempts == 0 || !c.Available() {
			return got, err
		}
		if !sleep(ctx, time.Duration(float64(wait)*(1+rand.Float64())/2)) {
			return got, err
		}
		wait *= 2
	}
}

// retryable reports whether a retry of a read may succeed.
func retryable(err error) bool {
	return err != nil && !errors.Is(err, storage.ErrNotFound) && !errors.Is(err, storage.ErrConflict)
}

// attempt makes one attempt. The errors that it adds itself mean that nothing was
// sent.
func attempt[T any](ctx context.Context, c *Client, k kind, urgent bool, run func(context.Context) (T, error)) (T, error) {
	var none T
	if err := c.waitForToken(ctx, k, urgent); err != nil {
		c.count(k, err)
		return none, err
	}
	done, err := c.breaker.Allow()
	if err != nil {
		err = eris.Wrap(storage.ErrUnavailable, err.Error())
		c.count(k, err)
		return none, err
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := run(limited)
	c.count(k, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		// A caller's cancellation says nothing about the store's health.
		done(nil)
		return got, err
	}
	done(err)
	return got, err
}

// waitForToken waits until the call may be made.
func (c *Client) waitForToken(ctx context.Context, k kind, urgent bool) error {
	end := time.Now().Add(maxTokenWait)
	for {
		wait := c.take(k, urgent)
		if wait == 0 {
			return nil
		}
		if time.Now().Add(wait).After(end) || !sleep(ctx, wait) {
			return eris.Wrap(storage.ErrUnavailable, "node exceeded its share of the store's rate limit")
		}
	}
}

func (c *Client) take(k kind, urgent bool) time.Duration {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch k {
	case write:
		return c.writes.take(now, urgent)
	case object:
		return c.objects.take(now, urgent)
	case claimWrite, claimRead:
		return 0
	case read:
	}
	return c.reads.take(now, urgent)
}

func (c *Client) count(k kind, err error) {
	c.metrics.Count(fmt.Sprintf("wigeontiller_platform_calls_total{kind=%q,outcome=%q}", k, outcome(err)), 1)
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, storage.ErrNotFound):
		return "not_found"
	case errors.Is(err, storage.ErrConflict):
		return "conflict"
	case errors.Is(err, storage.ErrTooLarge):
		return "too_large"
	case errors.Is(err, storage.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}

// sleep waits for the period and reports whether it passed before ctx was done.
func sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

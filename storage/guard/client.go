// Package guard is the store client: it puts a deadline, a rate budget, a
// circuit breaker and, for reads, retries around any storage.Platform. Writes
// are never repeated: an unknown outcome goes up, so that callers read back.
//
// Lock order: Client.mutex is a leaf; no call is made under it.
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
	// writesPerSecond and readsPerSecond bound all nodes together.
	writesPerSecond = 300
	readsPerSecond  = 1000
	// controlWritesPerSecond and controlReadsPerSecond are what claims leave to
	// leases, configuration and orders. Neither part can use the other's.
	controlWritesPerSecond = writesPerSecond - grouped.WritesPerSecond
	controlReadsPerSecond  = readsPerSecond - grouped.ReadsPerSecond
	// objectWritesPerSecond bounds the object store's writes, which the platform
	// counts apart from the table's.
	objectWritesPerSecond = 300
	// callTimeout bounds one attempt.
	callTimeout = 2 * time.Second
	// readAttempts counts the first attempt of a read too.
	readAttempts   = 3
	firstRetryWait = 20 * time.Millisecond
	// budgetWait is how long a call waits for its turn before it is refused.
	budgetWait = 250 * time.Millisecond
	// breakerFailures in a row open the breaker for breakerPause.
	breakerFailures = 5
	breakerPause    = time.Second
	// breakerTrials is how many calls try a store that was down.
	breakerTrials = 3
)

// Client guards a platform. It is safe for concurrent use.
type Client struct {
	inner   storage.Platform
	metrics *telemetry.Metrics
	breaker *gobreaker.TwoStepCircuitBreaker[struct{}]
	mutex   sync.Mutex
	writes  budget
	reads   budget
	objects budget
}

// New returns a client with the whole budget; see SetNodes.
func New(inner storage.Platform, metrics *telemetry.Metrics) *Client {
	now := time.Now()
	return &Client{
		inner:   inner,
		metrics: metrics,
		writes:  newBudget(now, controlWritesPerSecond),
		reads:   newBudget(now, controlReadsPerSecond),
		objects: newBudget(now, objectWritesPerSecond),
		breaker: gobreaker.NewTwoStepCircuitBreaker[struct{}](gobreaker.Settings{
			Name:        "platform",
			MaxRequests: breakerTrials,
			Timeout:     breakerPause,
			ReadyToTrip: func(counts gobreaker.Counts) bool { return counts.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				return !errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrUnknown)
			},
		}),
	}
}

// SetNodes tells the client how many nodes share the budget.
func (c *Client) SetNodes(n int) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writes.setShare(now, controlWritesPerSecond/float64(max(n, 1)))
	c.reads.setShare(now, controlReadsPerSecond/float64(max(n, 1)))
	c.objects.setShare(now, objectWritesPerSecond/float64(max(n, 1)))
}

// Available reports whether the breaker lets calls through.
func (c *Client) Available() bool {
	return c.breaker.State() != gobreaker.StateOpen
}

// kind tells the calls apart by the budget that they use.
type kind string

const (
	read  kind = "read"
	write kind = "write"
	// paidWrite and paidRead are calls that their caller keeps within the claims' part.
	paidWrite kind = "claim_write"
	paidRead  kind = "claim_read"
	object    kind = "object_write"
)

// call runs a call, and for reads repeats it when it failed.
func call[T any](ctx context.Context, c *Client, k kind, urgent bool, run func(context.Context) (T, error)) (T, error) {
	attempts := 1
	if k == read {
		attempts = readAttempts
	}
	wait := firstRetryWait
	for {
		got, err := once(ctx, c, k, urgent, run)
		attempts--
		if !retryable(err) || attempts == 0 || !c.Available() {
			return got, err
		}
		if !pause(ctx, time.Duration(float64(wait)*(1+rand.Float64())/2)) {
			return got, err
		}
		wait *= 2
	}
}

// retryable reports whether a further read may succeed.
func retryable(err error) bool {
	return err != nil && !errors.Is(err, storage.ErrNotFound) && !errors.Is(err, storage.ErrConflict)
}

// once makes one attempt. Errors that arise here mean that nothing was sent.
func once[T any](ctx context.Context, c *Client, k kind, urgent bool, run func(context.Context) (T, error)) (T, error) {
	var none T
	if err := c.await(ctx, k, urgent); err != nil {
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
		// A caller that left says nothing about the store.
		done(nil)
		return got, err
	}
	done(err)
	return got, err
}

// await waits for the call's turn.
func (c *Client) await(ctx context.Context, k kind, urgent bool) error {
	end := time.Now().Add(budgetWait)
	for {
		wait := c.take(k, urgent)
		if wait == 0 {
			return nil
		}
		if time.Now().Add(wait).After(end) || !pause(ctx, wait) {
			return eris.Wrap(storage.ErrUnavailable, "over the node's share of the store's rate")
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
	case paidWrite, paidRead:
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

// pause reports whether the whole period passed.
func pause(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

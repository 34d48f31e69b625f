package exchange

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/placement"
)

const (
	// holdTime is the lease of reserved memory. It is short, so that memory whose
	// node died, or an order that is carried out late, is free again soon.
	holdTime = 1900 * time.Millisecond
	// renewInterval leaves a lease two renewals that may fail.
	renewInterval = 600 * time.Millisecond
	// reserveTimeout bounds one order: some round trips between data centres.
	reserveTimeout = 300 * time.Millisecond
	// reservePause is the pause before a prompt whose memory was not free is placed
	// again: half a pass.
	reservePause = 25 * time.Millisecond
)

// Reservation is reserved memory at one engine.
type Reservation struct {
	ID       string
	Upstream *fleet.Upstream
	Tokens   int
}

// Memory sets memory of engines aside.
type Memory interface {
	// Reserve sets memory aside, or renews its lease. It reports false when the
	// memory is not free. After an error it may have been set aside.
	Reserve(ctx context.Context, ticket *Reservation, hold time.Duration) (bool, error)
	// Release gives it back.
	Release(ctx context.Context, ticket *Reservation) error
}

// tickets holds the reserved memory of one attempt.
type tickets struct {
	run    *run
	list   []Reservation
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// reserve sets the memory aside that a placement needs: all of it or none.
func (r *run) reserve(ctx context.Context, decision *placement.Decision) (*tickets, bool) {
	if len(decision.Reserve) == 0 {
		return nil, true
	}
	t := &tickets{run: r}
	for i, reservation := range decision.Reserve {
		t.list = append(t.list, Reservation{
			ID: decision.ID + "/" + strconv.Itoa(i), Upstream: reservation.Upstream, Tokens: reservation.Tokens,
		})
	}
	if !t.order(ctx) {
		t.release()
		return nil, false
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	t.group.Go(func() { periodic.Run(renewing, renewInterval, func() { t.order(renewing) }) })
	return t, true
}

// order reserves or renews all tickets and reports whether all are held.
func (t *tickets) order(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	held := make([]bool, len(t.list))
	var group sync.WaitGroup
	for i := range t.list {
		group.Go(func() {
			ok, err := t.run.exchange.config.Memory.Reserve(ctx, &t.list[i], holdTime)
			if err != nil || !ok {
				t.log("memory not reserved", &t.list[i], err)
			}
			held[i] = ok && err == nil
		})
	}
	group.Wait()
	for _, ok := range held {
		if !ok {
			return false
		}
	}
	return true
}

func (t *tickets) log(what string, ticket *Reservation, err error) {
	t.run.exchange.config.Logger.Info().Err(err).Str("request_id", t.run.request.ID).Str("ticket", ticket.ID).
		Str("upstream", ticket.Upstream.ID).Int("tokens", ticket.Tokens).Msg(what)
}

// release gives the memory back. What does not reach an engine ends with its lease.
func (t *tickets) release() {
	if t == nil {
		return
	}
	if t.cancel != nil {
		t.cancel()
		t.group.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	var group sync.WaitGroup
	for i := range t.list {
		group.Go(func() {
			if err := t.run.exchange.config.Memory.Release(ctx, &t.list[i]); err != nil {
				t.log("memory not released, its lease ends", &t.list[i], err)
			}
		})
	}
	go func() {
		group.Wait()
		cancel()
	}()
}

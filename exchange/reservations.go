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
	// reservationLease is the lease of reserved memory. It is short so that the memory is
	// soon free again when its node crashed or when an engine executes an order late.
	reservationLease = 1900 * time.Millisecond
	// renewInterval lets two renewals fail before a lease ends.
	renewInterval = 600 * time.Millisecond
	// limitedReservationLease and limitedRenewInterval are the same for engines that state a limit of
	// requests.
	limitedReservationLease = 12 * time.Second
	limitedRenewInterval    = 5 * time.Second
	// reserveTimeout bounds one order to an engine: a few round trips between data centres.
	reserveTimeout = 300 * time.Millisecond
	// reserveRetryDelay is the mean delay before a prompt whose memory was not free is
	// placed again: half an engine pass.
	reserveRetryDelay = 25 * time.Millisecond
)

// Reservation is a memory reservation at one engine.
type Reservation struct {
	ID       string
	Upstream *fleet.Upstream
	Tokens   int
}

// MemoryReserver reserves memory at engines.
type MemoryReserver interface {
	// Reserve reserves memory for the duration hold, or renews its lease. It reports
	// false when the memory is not free. After an error it may be reserved or not.
	Reserve(ctx context.Context, ticket *Reservation, hold time.Duration) (bool, error)
	// Release releases the memory.
	Release(ctx context.Context, ticket *Reservation) error
}

// reservations holds the memory reservations of one attempt.
type reservations struct {
	handler *requestHandler
	list    []Reservation
	// renewedAt is when each was reserved or renewed last.
	renewedAt []time.Time
	// longLease is true for those with limitedReservationLease.
	longLease []bool
	cancel    context.CancelFunc
	group     sync.WaitGroup
}

// reserve reserves the memory that a placement needs, all of it or none, and renews the
// leases until release.
func (r *requestHandler) reserve(ctx context.Context, decision *placement.Decision) (*reservations, bool) {
	if len(decision.Reservations) == 0 {
		return nil, true
	}
	t := &reservations{handler: r}
	for i, reservation := range decision.Reservations {
		t.list = append(t.list, Reservation{
			ID: decision.ID + "-" + strconv.Itoa(i), Upstream: reservation.Upstream, Tokens: reservation.Tokens,
		})
	}
	t.renewedAt, t.longLease = make([]time.Time, len(t.list)), make([]bool, len(t.list))
	if !t.reserveAll(ctx) {
		t.release()
		return nil, false
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t.cancel = cancel
	t.group.Go(func() { periodic.Run(renewing, renewInterval, func() { t.reserveAll(renewing) }) })
	return t, true
}

// reserveAll renews or makes all reservations and reports whether all succeeded.
func (t *reservations) reserveAll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	held := make([]bool, len(t.list))
	var group sync.WaitGroup
	scheduler := t.handler.exchange.config.Scheduler
	for i := range t.list {
		lease := reservationLease
		if scheduler.Limited(t.list[i].Upstream.ID) {
			lease = limitedReservationLease
			if time.Since(t.renewedAt[i]) < limitedRenewInterval && t.longLease[i] {
				held[i] = true
				continue
			}
		}
		t.renewedAt[i], t.longLease[i] = time.Now(), lease == limitedReservationLease
		group.Go(func() {
			t.handler.exchange.config.Metrics.Count("wigeontiller_memory_orders_total", 1)
			ok, err := t.handler.exchange.config.Memory.Reserve(ctx, &t.list[i], lease)
			if err != nil || !ok {
				t.log("memory not reserved", &t.list[i], err)
				t.recordFailure(ctx, &t.list[i], err)
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

// recordFailure tells the scheduler what a reservation that failed says of its engine. An order that was given
// up says nothing.
func (t *reservations) recordFailure(ctx context.Context, ticket *Reservation, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	t.handler.exchange.config.Scheduler.Do(func(s *placement.Scheduler, now time.Duration) {
		if err != nil {
			s.RecordFailedReservation(now, ticket.Upstream.ID)
		} else {
			s.RecordMemoryRefusal(now, ticket.Upstream.ID, ticket.Tokens)
		}
	})
}

func (t *reservations) log(message string, ticket *Reservation, err error) {
	t.handler.exchange.config.Logger.Info().Err(err).Str("request_id", t.handler.request.ID).Str("ticket", ticket.ID).
		Str("upstream", ticket.Upstream.ID).Int("tokens", ticket.Tokens).Msg(message)
}

// release releases the memory in the background. If an engine is not reached, its
// reservation ends with the lease.
func (t *reservations) release() {
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
			if err := t.handler.exchange.config.Memory.Release(ctx, &t.list[i]); err != nil {
				t.log("memory not released, its lease ends", &t.list[i], err)
			}
		})
	}
	go func() {
		group.Wait()
		cancel()
	}()
}

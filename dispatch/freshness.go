package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

// pauseLimit is how long the process may stand still before what it knows of
// the site has to be confirmed.
const pauseLimit = 2 * time.Second

// freshness notices that the process was paused. While the site is unconfirmed
// nothing is sent, since it may be older than what operators decided meanwhile.
// It is guarded by the dispatcher's mutex.
type freshness struct {
	// ran is when the process was last known to run; zero before the first time.
	ran time.Time
	// since is when the last pause was noticed, and confirmed is open until the
	// site has been confirmed since; nil means that it is.
	since     time.Time
	confirmed chan struct{}
}

// notice reports whether a pause is found for the first time.
func (f *freshness) notice(now time.Time) bool {
	paused := !f.ran.IsZero() && now.Sub(f.ran) > pauseLimit
	f.ran = now
	if !paused {
		return false
	}
	f.since = now
	if f.confirmed == nil {
		f.confirmed = make(chan struct{})
	}
	return true
}

// confirm takes in an answer to a question asked at the time given.
func (f *freshness) confirm(asked time.Time) {
	if f.confirmed == nil || asked.Before(f.since) {
		return
	}
	close(f.confirmed)
	f.confirmed = nil
}

// OnPause sets what is called, on its own goroutine, when the process was
// paused. It must see that Confirm is called. It is set before Run.
func (d *Dispatcher) OnPause(confirm func()) {
	d.onPause = confirm
}

// Confirm tells that the tables in force were found to be the newest by a
// question asked at the time given.
func (d *Dispatcher) Confirm(asked time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.freshness.confirm(asked)
}

// Confirmed reports whether the tables may be acted on.
func (d *Dispatcher) Confirmed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.isFresh() == nil
}

// isFresh returns nil, or what is closed when the site is confirmed; the mutex
// is held.
func (d *Dispatcher) isFresh() <-chan struct{} {
	if d.freshness.notice(time.Now()) && d.onPause != nil {
		go d.onPause()
	}
	if d.freshness.confirmed == nil {
		return nil
	}
	return d.freshness.confirmed
}

// awaitFresh waits until the site is confirmed. Errors: ErrLeft, *RefusedError.
func (d *Dispatcher) awaitFresh(ctx context.Context) error {
	d.mutex.Lock()
	confirmed := d.isFresh()
	d.mutex.Unlock()
	if confirmed == nil {
		return nil
	}
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &RefusedError{Reason: scheduling.DeadlinePassed, RetryAfter: pauseLimit}
	}
	return ErrLeft
}

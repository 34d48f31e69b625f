package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// pauseLimit is how long the process may stand still before what it knows of
	// the site has to be confirmed.
	pauseLimit = 2 * time.Second
	// contactLimit is how long a node may hear neither the store nor another
	// node before the same holds.
	contactLimit = 4 * time.Second
	// confirmPatience is how long a request waits for the site to be confirmed.
	confirmPatience = time.Second
)

// ErrUnconfirmed is returned for a request that the node may not send, since it
// can't tell whether its site is the newest. The request has not run.
var ErrUnconfirmed = eris.New("site not confirmed")

// freshness notices that the process was paused or hears nobody. While the site
// is unconfirmed nothing is sent, since it may be older than what operators
// decided meanwhile. It is guarded by the dispatcher's mutex.
type freshness struct {
	// ran is when the process was last known to run; zero before the first time.
	ran time.Time
	// contact is when the store or another node was last heard; zero while there
	// is nobody to hear.
	contact time.Time
	// since is when the last pause or loss of contact was noticed, and confirmed
	// is open until the site has been confirmed since; nil means that it is.
	since     time.Time
	confirmed chan struct{}
	// paused is true while the site is unconfirmed because of a pause.
	paused bool
}

// notice reports whether a pause, or that nobody is heard, is found for the
// first time.
func (f *freshness) notice(now time.Time) bool {
	paused := !f.ran.IsZero() && now.Sub(f.ran) > pauseLimit
	f.ran = now
	if !paused && !f.isAlone(now) {
		return false
	}
	f.since = now
	f.paused = f.paused || paused
	if f.confirmed == nil {
		f.confirmed = make(chan struct{})
	}
	return true
}

// isAlone reports whether contact was lost while the site was confirmed.
func (f *freshness) isAlone(now time.Time) bool {
	return f.confirmed == nil && !f.contact.IsZero() && now.Sub(f.contact) > contactLimit
}

// confirm takes in an answer to a question asked at the time given.
func (f *freshness) confirm(asked time.Time) {
	if f.confirmed == nil || asked.Before(f.since) {
		return
	}
	close(f.confirmed)
	f.confirmed = nil
	f.paused = false
	if !f.contact.IsZero() {
		f.contact = asked
	}
}

// OnUnconfirmed sets what is called, on its own goroutine, when the process was
// paused or hears nobody. It must see that Confirm is called. It is set before Run.
func (d *Dispatcher) OnUnconfirmed(confirm func()) {
	d.onUnconfirmed = confirm
}

// SetContact tells when the store or another node was last heard; the zero time
// tells that there is nobody to hear, so that nothing can be missed.
func (d *Dispatcher) SetContact(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at.IsZero() || at.After(d.freshness.contact) {
		d.freshness.contact = at
	}
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

// Paused reports whether the tables are unconfirmed because of a pause. Unlike
// one that lost contact, such a node has no word to give to others.
func (d *Dispatcher) Paused() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.isFresh() != nil && d.freshness.paused
}

// isFresh returns nil, or what is closed when the site is confirmed; the mutex
// is held.
func (d *Dispatcher) isFresh() <-chan struct{} {
	if d.freshness.notice(time.Now()) && d.onUnconfirmed != nil {
		go d.onUnconfirmed()
	}
	if d.freshness.confirmed == nil {
		return nil
	}
	return d.freshness.confirmed
}

// awaitFresh waits a little for the site to be confirmed. Errors: ErrLeft,
// ErrUnconfirmed.
func (d *Dispatcher) awaitFresh(ctx context.Context) error {
	d.mutex.Lock()
	confirmed := d.isFresh()
	patience := confirmPatience - time.Since(d.freshness.since)
	d.mutex.Unlock()
	if confirmed == nil {
		return nil
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-confirmed:
		return nil
	case <-timer.C:
		return ErrUnconfirmed
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrUnconfirmed
	}
	return ErrLeft
}

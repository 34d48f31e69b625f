package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxPause is how long the process may be suspended before its configuration has
	// to be confirmed.
	maxPause = 2 * time.Second
	// contactTimeout is how long a node may receive nothing from the store or another
	// node before its configuration has to be confirmed.
	contactTimeout = 4 * time.Second
	// confirmTimeout is how long a request waits for the configuration to be
	// confirmed.
	confirmTimeout = time.Second
)

// ErrUnconfirmed is returned for a request that the node may not send, since its
// configuration may be stale. The request was not executed.
var ErrUnconfirmed = eris.New("configuration not confirmed")

// freshness detects that the process was paused or lost contact with the store and
// all other nodes. While the configuration is unconfirmed nothing is sent, since
// operators may have changed it meanwhile. The dispatcher's mutex guards it.
type freshness struct {
	// lastRun is when the process was last known to run; zero before the first time.
	lastRun time.Time
	// lastContact is when the store or another node last answered or sent a message; zero
	// while the node knows of no other node.
	lastContact time.Time
	// unconfirmedSince is when the latest pause or loss of contact was detected.
	// confirmed is closed once the configuration has been confirmed since then, and nil
	// while it is confirmed.
	unconfirmedSince time.Time
	confirmed        chan struct{}
	// paused is true while the configuration is unconfirmed because of a pause.
	paused bool
}

// detectLoss reports whether a new pause or loss of contact is detected.
func (f *freshness) detectLoss(now time.Time) bool {
	paused := !f.lastRun.IsZero() && now.Sub(f.lastRun) > maxPause
	f.lastRun = now
	if !paused && !f.lostContact(now) {
		return false
	}
	f.unconfirmedSince = now
	f.paused = f.paused || paused
	if f.confirmed == nil {
		f.confirmed = make(chan struct{})
	}
	return true
}

// lostContact reports whether contact was lost while the configuration was
// confirmed.
func (f *freshness) lostContact(now time.Time) bool {
	return f.confirmed == nil && !f.lastContact.IsZero() && now.Sub(f.lastContact) > contactTimeout
}

// confirm records that the configuration was found current by a query made at
// queriedAt. A query from before the latest loss confirms nothing.
func (f *freshness) confirm(queriedAt time.Time) {
	if f.confirmed == nil || queriedAt.Before(f.unconfirmedSince) {
		return
	}
	close(f.confirmed)
	f.confirmed = nil
	f.paused = false
	if !f.lastContact.IsZero() {
		f.lastContact = queriedAt
	}
}

// OnUnconfirmed sets the function that is called, on its own goroutine, when the
// process was paused or lost contact. The function must make sure that Confirm is
// called. It must be set before Run.
func (d *Dispatcher) OnUnconfirmed(confirm func()) {
	d.onUnconfirmed = confirm
}

// SetLastContact sets when the store or another node last answered or sent a message. The
// zero time means that the node knows of no other node, so that no change can be
// missed.
func (d *Dispatcher) SetLastContact(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if at.IsZero() || at.After(d.freshness.lastContact) {
		d.freshness.lastContact = at
	}
}

// Confirm records that the tables in force were found to be the newest by a query
// made at queriedAt.
func (d *Dispatcher) Confirm(queriedAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.freshness.confirm(queriedAt)
}

// Confirmed reports whether the tables are confirmed and may be used.
func (d *Dispatcher) Confirmed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pendingConfirmation() == nil
}

// Paused reports whether the tables are unconfirmed because of a pause. Unlike a
// node that only lost contact, such a node must not confirm the tables of others.
func (d *Dispatcher) Paused() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pendingConfirmation() != nil && d.freshness.paused
}

// pendingConfirmation returns nil, or a channel that is closed when the
// configuration is confirmed; the mutex must be held.
func (d *Dispatcher) pendingConfirmation() <-chan struct{} {
	if d.freshness.detectLoss(time.Now()) && d.onUnconfirmed != nil {
		go d.onUnconfirmed()
	}
	if d.freshness.confirmed == nil {
		return nil
	}
	return d.freshness.confirmed
}

// awaitConfirmation waits for the configuration to be confirmed, until
// confirmTimeout after the loss was detected. Errors: ErrCallerDisconnected,
// ErrUnconfirmed.
func (d *Dispatcher) awaitConfirmation(ctx context.Context) error {
	d.mutex.Lock()
	confirmed := d.pendingConfirmation()
	timeout := confirmTimeout - time.Since(d.freshness.unconfirmedSince)
	d.mutex.Unlock()
	if confirmed == nil {
		return nil
	}
	timer := time.NewTimer(timeout)
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
	return ErrCallerDisconnected
}

// Package streamend decides whether a closed connection alone may end a stream that could be resumed. An upstream that
// is killed, or that truncates a response, closes its connection like one that has finished, so that a service is
// trusted only after many such ends were confirmed by other upstreams.
//
// Lock order: Evidence.mutex is a leaf.
package streamend

import (
	"sync"
	"time"
)

const (
	// confirmationsToTrust is the number of confirmed ends, with none contradicted between them, after which a service
	// is trusted. A service that truncates one response in twenty passes with a probability of 0.6 %.
	confirmationsToTrust = 100
	// verifyEvery is the interval, in streams of a trusted service, at which an end is still checked.
	verifyEvery = 20
	// trustTTL is how long a service is trusted without a further confirmation.
	trustTTL = 10 * time.Minute
	// maxServices bounds the services that are remembered; the environments of a site have far fewer.
	maxServices = 1000
)

// Evidence is what a node has seen of streams that ended with their connection, by service. It is safe for concurrent
// use. Times are on the clock of the caller, which must not go back.
type Evidence struct {
	mutex    sync.Mutex
	services map[string]*record
}

// record is the evidence on one service.
type record struct {
	// confirmed counts the confirmed ends since the last contradicted one, and unverified the streams since the last
	// one that was to be checked.
	confirmed, unverified int
	confirmedAt           time.Duration
}

func (r *record) trusted(now time.Duration) bool {
	return r != nil && r.confirmed >= confirmationsToTrust && now-r.confirmedAt <= trustTTL
}

// New returns an Evidence that trusts no service.
func New() *Evidence { return &Evidence{services: map[string]*record{}} }

// Confirm records that an upstream closed a stream's connection after an event, and that another upstream had no further
// event. It reports whether the service is trusted from now on.
func (e *Evidence) Confirm(now time.Duration, service string) (begins bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.services[service]
	before := r.trusted(now)
	if r == nil || now-r.confirmedAt > trustTTL {
		if r == nil && !e.hasRoom(now) {
			return false
		}
		r = &record{}
		e.services[service] = r
	}
	r.confirmed, r.confirmedAt = min(r.confirmed+1, confirmationsToTrust), now
	return !before && r.trusted(now)
}

// hasRoom reports whether another service can be remembered. It forgets those without a recent confirmation.
func (e *Evidence) hasRoom(now time.Duration) bool {
	if len(e.services) < maxServices {
		return true
	}
	for name, r := range e.services {
		if now-r.confirmedAt > trustTTL {
			delete(e.services, name)
		}
	}
	return len(e.services) < maxServices
}

// Contradict records that another upstream had further events of a stream whose upstream had closed its connection. It
// reports whether the service was trusted until now.
func (e *Evidence) Contradict(now time.Duration, service string) (ended bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ended = e.services[service].trusted(now)
	delete(e.services, service)
	return ended
}

// Trusted reports whether the service's upstreams are known to end their streams by closing the connection.
func (e *Evidence) Trusted(now time.Duration, service string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.services[service].trusted(now)
}

// Rely reports whether a closed connection may end the service's next stream unchecked. It returns false for each
// stream of a service that is not trusted, and for some of a trusted one.
func (e *Evidence) Rely(now time.Duration, service string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.services[service]
	if !r.trusted(now) {
		return false
	}
	r.unverified++
	if r.unverified < verifyEvery {
		return true
	}
	r.unverified = 0
	return false
}

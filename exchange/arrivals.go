package exchange

import (
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// heardMargin is how much later than an attempt another one must have been sent to the same process so that its answer shows that
	// the first has been read too.
	heardMargin = 200 * time.Millisecond
	// eventMargin is how much earlier than an event of a stream an attempt must have been sent so that the event shows it: it has been on
	// its way.
	eventMargin = 500 * time.Millisecond
	// freshWait is the least time for which this node must have waited for an event, so that it had not arrived before.
	freshWait = 5 * time.Millisecond
	// lateArrivalDelay is the time from which on an arrival is logged as late.
	lateArrivalDelay = 200 * time.Millisecond
)

// settledBy says how it became known that an attempt has arrived at its upstream, or never will.
type settledBy string

const (
	// settledByAnswer means that the upstream answered the attempt, or closed its connection.
	settledByAnswer settledBy = "answer"
	// settledByLaterAnswer means that the process answered something else that shows that it reads.
	settledByLaterAnswer settledBy = "later_answer"
	// settledByEnd means that another process has taken the upstream's place.
	settledByEnd settledBy = "process_ended"
	// settledByTime means that the attempt was given up so long ago that it is no longer waited for.
	settledByTime settledBy = "time"
)

// requestArrivals counts the attempts of one request that may still arrive at their upstreams, and those that have. It is safe
// for concurrent use.
type requestArrivals struct {
	mutex          sync.Mutex
	open, arrived  int
	pendingRetries int
}

// send counts an attempt that is about to be written. retry is true if it took a retry from the budget.
func (a *requestArrivals) send(retry bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.open++
	if retry {
		a.pendingRetries++
	}
}

// settle counts an attempt as arrived, and returns the number of retries that have arrived with it. The first arrival of a request is
// none, whichever of its attempts it was.
func (a *requestArrivals) settle() (retries int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.open--
	a.arrived++
	retries = max(0, a.pendingRetries-a.open)
	a.pendingRetries -= retries
	return retries
}

// pending returns the number of retries that may still arrive.
func (a *requestArrivals) pending() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.pendingRetries
}

// sentAttempt is an attempt that was sent and may not have arrived.
type sentAttempt struct {
	arrivals *requestArrivals
	request  string
	service  string
	upstream *fleet.Upstream
	sentAt   time.Duration
	// until is when a given-up attempt is no longer waited for; 0 is one that is under way.
	until time.Duration
}

// settlement is an attempt that is known to have arrived, or never to.
type settlement struct {
	attempt *sentAttempt
	by      settledBy
}

// openAttempts holds the attempts that may not have arrived, by upstream. It is safe for concurrent use.
type openAttempts struct {
	mutex      sync.Mutex
	byUpstream map[string][]*sentAttempt
}

// add adds an attempt that is about to be written.
func (o *openAttempts) add(attempt *sentAttempt) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.byUpstream == nil {
		o.byUpstream = map[string][]*sentAttempt{}
	}
	id := attempt.upstream.ID
	o.byUpstream[id] = append(o.byUpstream[id], attempt)
}

// giveUp waits for the arrival of an attempt until a time, as nobody waits for its answer any more.
func (o *openAttempts) giveUp(attempt *sentAttempt, until time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	attempt.until = until
}

// settle removes the attempts to an upstream that are settled, and returns them.
func (o *openAttempts) settle(upstream string, settled func(*sentAttempt) (settledBy, bool)) (list []settlement) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	open := o.byUpstream[upstream]
	kept := open[:0]
	for _, attempt := range open {
		if by, ok := settled(attempt); ok {
			list = append(list, settlement{attempt: attempt, by: by})
		} else {
			kept = append(kept, attempt)
		}
	}
	clear(open[len(kept):])
	if len(kept) == 0 {
		delete(o.byUpstream, upstream)
	} else {
		o.byUpstream[upstream] = kept
	}
	return list
}

// answered settles an attempt that was answered, or whose connection the upstream closed. The others are settled as by heard.
func (o *openAttempts) answered(answered *sentAttempt) []settlement {
	heard := heardSince(answered.upstream, answered.sentAt-heardMargin)
	return o.settle(answered.upstream.ID, func(attempt *sentAttempt) (settledBy, bool) {
		if attempt == answered {
			return settledByAnswer, true
		}
		return heard(attempt)
	})
}

// heard settles the attempts that were sent to an upstream before a time, as its process has read and written since.
func (o *openAttempts) heard(upstream *fleet.Upstream, before time.Duration) []settlement {
	return o.settle(upstream.ID, heardSince(upstream, before))
}

func heardSince(upstream *fleet.Upstream, before time.Duration) func(*sentAttempt) (settledBy, bool) {
	return func(attempt *sentAttempt) (settledBy, bool) {
		if attempt.upstream.StartedMs < upstream.StartedMs {
			return settledByEnd, true
		}
		return settledByLaterAnswer, attempt.sentAt < before
	}
}

// expire settles the attempts that are no longer waited for.
func (o *openAttempts) expire(now time.Duration) (list []settlement) {
	o.mutex.Lock()
	upstreams := make([]string, 0, len(o.byUpstream))
	for upstream := range o.byUpstream {
		upstreams = append(upstreams, upstream)
	}
	o.mutex.Unlock()
	for _, upstream := range upstreams {
		list = append(list, o.settle(upstream, func(attempt *sentAttempt) (settledBy, bool) {
			return settledByTime, attempt.until > 0 && attempt.until <= now
		})...)
	}
	return list
}

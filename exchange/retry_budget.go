package exchange

import (
	"sync"
	"time"
)

// RetryBudget limits this node's share of the retries that all nodes may send to a
// service in a sliding window. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the fraction of this node's requests that may be retried.
	Ratio float64
	// Extra is the number of retries that all nodes together may send per window
	// beyond Ratio.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
	// ExtraFrom is the earliest start of a window in which this node uses its part of Extra. A process that starts does
	// not know what its predecessor has sent in a window that began before, and other nodes don't count it yet.
	ExtraFrom time.Duration

	mutex    sync.Mutex
	nodes    int
	services map[string]*window
}

const (
	// windowBuckets is the number of buckets that a sliding window is divided into.
	windowBuckets = 50
	// requestBuckets is the number of buckets before and after a window's start in which its requests are counted: half a
	// window, but for the bucket in which the window starts.
	requestBuckets = windowBuckets/2 - 1
	// arrivalBuckets bounds the time in which what has shown that a process reads has also shown an arrival there.
	arrivalBuckets = 1
	keptBuckets    = windowBuckets + requestBuckets + arrivalBuckets + 1
)

// window holds what this node has counted for a service, in buckets by time.
type window struct {
	requests, retries [keptBuckets]float64
	steps             [keptBuckets]int64
	// pending counts the retries that were taken, and neither returned nor known to have arrived. They may arrive in any later
	// window.
	pending float64
}

func (w *window) bucket(step int64) int {
	bucket := int(step % keptBuckets)
	if w.steps[bucket] != step {
		w.requests[bucket], w.retries[bucket], w.steps[bucket] = 0, 0, step
	}
	return bucket
}

// counts returns the requests and retries of a bucket, which are 0 if it was not used.
func (w *window) counts(step int64) (requests, retries float64) {
	bucket := int(step % keptBuckets)
	if step < 0 || w.steps[bucket] != step {
		return 0, 0
	}
	return w.requests[bucket], w.retries[bucket]
}

// SetNodes sets the number of nodes that share the budget.
func (b *RetryBudget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(1, nodes)
}

func (b *RetryBudget) window(service string) *window {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	if b.services[service] == nil {
		b.services[service] = &window{}
	}
	return b.services[service]
}

func (b *RetryBudget) bucketLength() time.Duration { return b.Window / windowBuckets }

func (b *RetryBudget) step(now time.Duration) int64 { return int64(now / b.bucketLength()) }

// RecordRequest counts a request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(service)
	w.requests[w.bucket(b.step(now))]++
}

// RetryDecision says whether a retry may be sent, and from what that follows.
type RetryDecision struct {
	Granted bool
	// Retries is what may have arrived since the start of the window that has least room, or may arrive, of which Pending are not
	// known to have arrived. Requests is what this node counts for that window, and Allowed the most retries that may arrive in it.
	Retries, Pending, Requests, Allowed float64
	// Nodes is the number of nodes that share RetryBudget.Extra.
	Nodes int
}

// Take takes one retry from the budget if there is one left in each window that the retry may arrive in. The
// caller calls Arrived or Return for each retry that was granted. A window's requests are
// those from half a window before its start to half a window after it, alike at all nodes: if each node
// chose the span in which it had most, the sum would exceed the ratio of the fleet's requests.
func (b *RetryBudget) Take(now time.Duration, service string) RetryDecision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w, step := b.window(service), b.step(now)
	decision := b.tightest(w, step)
	if decision.Granted = decision.Retries+1 <= decision.Allowed; decision.Granted {
		w.pending++
	}
	return decision
}

// Arrived records that retries that were granted are known to have arrived, at any time until now, or that they never will.
func (b *RetryBudget) Arrived(now time.Duration, service string, retries int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(service)
	w.pending -= float64(retries)
	w.retries[w.bucket(b.step(now))] += float64(retries)
}

// Return gives back a retry that was granted and will not be sent.
func (b *RetryBudget) Return(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window(service).pending--
}

// tightest returns the window with least room of those that the step is part of; the mutex is held.
func (b *RetryBudget) tightest(w *window, step int64) RetryDecision {
	const oldest = windowBuckets + requestBuckets
	// earned[i] is the number of requests from the oldest bucket to the one i buckets after it, that one left out.
	var earned [oldest + 2]float64
	for i := range int64(oldest + 1) {
		requests, _ := w.counts(step - oldest + i)
		earned[i+1] = earned[i] + requests
	}
	extra := b.Extra / float64(max(1, b.nodes))
	retries := w.pending
	for i := range int64(arrivalBuckets) {
		_, arrived := w.counts(step - i)
		retries += arrived
	}
	var tightest RetryDecision
	for age := range int64(windowBuckets + 1) {
		start := step - age
		_, arrived := w.counts(start - arrivalBuckets)
		retries += arrived
		first, last := oldest-age-requestBuckets, oldest-age+requestBuckets
		requests := earned[min(oldest, last)+1] - earned[first]
		allowed := b.Ratio * requests
		if time.Duration(start)*b.bucketLength() >= b.ExtraFrom {
			allowed += extra
		}
		if age == 0 || allowed-retries < tightest.Allowed-tightest.Retries {
			tightest = RetryDecision{Retries: retries, Pending: w.pending, Requests: requests, Allowed: allowed, Nodes: max(1, b.nodes)}
		}
	}
	return tightest
}

// Package drain decides which requests a node that shuts down may still send to an upstream. One whose run would not end in
// time is refused while it has not run, so that its caller can ask another node: an answer that another node made would have to come
// back through this one.
//
// Lock order: RunTimes.mutex is a leaf.
package drain

import (
	"sync"
	"time"
)

const (
	// minRunTime is the least time that is expected of any run: ways to the upstream and back, and a slow moment.
	minRunTime = 100 * time.Millisecond
	// meanWeight and deviationWeight are the gains of RFC 6298, as is the number of deviations above the mean.
	meanWeight, deviationWeight = 8, 4
	deviations                  = 4
	// maxRoutes bounds the routes that are remembered. Beyond it they are all learned anew.
	maxRoutes = 10_000
)

// RunTimes is how long the runs of each route take, as this node has seen them. Those of streams follow from the number of answer
// tokens that a request allows. It is safe for concurrent use. The zero value is ready to use.
type RunTimes struct {
	mutex  sync.Mutex
	routes map[string]*runTimes
}

// runTimes is what is known of one route. Of streams, firstEvent is the time to the first event, and perToken the time after it divided
// by the request's answer tokens.
type runTimes struct{ whole, firstEvent, perToken estimate }

// estimate is a mean and deviation that follow the samples.
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *estimate) record(sample time.Duration) {
	if !e.known {
		*e = estimate{mean: sample, deviation: sample / 2, known: true}
		return
	}
	difference := sample - e.mean
	e.mean += difference / meanWeight
	e.deviation += (difference.Abs() - e.deviation) / deviationWeight
}

// upper returns what nearly all samples stay below.
func (e *estimate) upper() time.Duration { return e.mean + deviations*e.deviation }

// route returns what is known of a route, to be changed; the mutex is held.
func (r *RunTimes) route(name string) *runTimes {
	known := r.routes[name]
	if known == nil {
		if r.routes == nil || len(r.routes) >= maxRoutes {
			r.routes = map[string]*runTimes{}
		}
		known = &runTimes{}
		r.routes[name] = known
	}
	return known
}

// Record records the time that a run took.
func (r *RunTimes) Record(route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.route(route).whole.record(took)
}

// RecordStream records the time that a whole stream took, and how much of it passed before the first event. tokens is the number of
// answer tokens that the request allows; 0 is not stated.
func (r *RunTimes) RecordStream(route string, tokens int, firstEvent, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.route(route)
	known.whole.record(took)
	if tokens > 0 {
		known.firstEvent.record(firstEvent)
		known.perToken.record((took - firstEvent) / time.Duration(tokens))
	}
}

// Expected returns a time within which nearly all runs of a route end. stated is returned for a route without runs.
func (r *RunTimes) Expected(route string, stated time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.routes[route]; known != nil {
		return max(minRunTime, known.whole.upper())
	}
	return max(minRunTime, stated)
}

// ExpectedStream is Expected for a stream whose request allows this number of answer tokens; 0 is not stated. On a route without runs it
// is expected to take statedPerToken for each beside the stated time.
func (r *RunTimes) ExpectedStream(route string, tokens int, stated, statedPerToken time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.routes[route]
	switch {
	case known == nil:
		return max(minRunTime, stated+time.Duration(tokens)*statedPerToken)
	case tokens > 0 && known.perToken.known:
		return max(minRunTime, known.firstEvent.upper()+time.Duration(tokens)*known.perToken.upper())
	}
	return max(minRunTime, known.whole.upper())
}

// Plan is what a node that shuts down still does.
type Plan struct {
	// Until is the time at which requests without an answer are given up.
	Until time.Time
	// StreamsClosed is true once no new streams are accepted.
	StreamsClosed bool
}

// LatestStart returns the time until which a request may be sent. Streams are sent in any case as long as new ones are
// accepted: the balancer has not yet removed the node, and callers come back to it.
func (p *Plan) LatestStart(isStream bool, expected time.Duration) time.Time {
	if isStream && !p.StreamsClosed {
		return p.Until
	}
	return p.Until.Add(-expected)
}

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

// RunTimes is how long the runs of each route take, as this node has seen them. It is safe for concurrent use. The zero value
// is ready to use.
type RunTimes struct {
	mutex  sync.Mutex
	routes map[string]runTime
}

type runTime struct{ mean, deviation time.Duration }

// Record records the time that a run took.
func (r *RunTimes) Record(route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.routes[route]
	if !ok {
		if r.routes == nil || len(r.routes) >= maxRoutes {
			r.routes = map[string]runTime{}
		}
		r.routes[route] = runTime{mean: took, deviation: took / 2}
		return
	}
	difference := took - known.mean
	known.mean += difference / meanWeight
	known.deviation += (difference.Abs() - known.deviation) / deviationWeight
	r.routes[route] = known
}

// Expected returns a time within which nearly all runs of a route end. stated is returned for a route without runs.
func (r *RunTimes) Expected(route string, stated time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known, ok := r.routes[route]; ok {
		return max(minRunTime, known.mean+deviations*known.deviation)
	}
	return max(minRunTime, stated)
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

// Package fleet holds what a node believes of its site: the operator's routes,
// services and organisations, the upstreams, and how old each belief is. It does
// no I/O and reads no clock: times are given by the caller, as readings of a
// clock that also counts the time in which the machine was suspended.
package fleet

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what a request on a route is and what may be repeated.
type RouteKind int

// The kinds of route.
const (
	// Unsafe requests run at most once for each of a caller's attempts.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are events with increasing numbers.
	Stream
)

// Route is one way from a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Targets are the services that take the route's requests, by weight.
	Targets []Target
	// Timeout bounds how long a request is kept waiting; 0 is no bound.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event, that
	// callers are promised.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events that callers are promised.
	PauseTarget time.Duration
	// CallerTimeout is how long callers wait for the first event of a stream, or for the
	// next one, before they leave; 0 is until their deadline.
	CallerTimeout time.Duration
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// MaxAttempts bounds the upstreams that one request may run on.
	MaxAttempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Regions are those whose upstreams may run the requests; empty is all.
	Regions []string
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream takes from all nodes together.
	MaxConnections int
	// ColdRatePerSecond is the number of requests a second that a cold upstream bears, from
	// all nodes together; 0 is no bound.
	ColdRatePerSecond float64
	// Engine is nil for a service that is not a model engine.
	Engine *Engine
}

// Engine is the pass model of a service's model engines.
type Engine struct {
	Slots        int
	MemoryTokens int
	// StepMs is the time of one token step of a batch without load.
	StepMs float64
	// StepMsPerStream is what each writing request adds to a step.
	StepMsPerStream float64
	// StepMsPerContextK is what each thousand tokens of writers' context add to a step.
	StepMsPerContextK float64
	// PrefillTokensPerMs is the speed of reading prompts.
	PrefillTokensPerMs float64
	// AttentionMsPerMPairs is the time for a million pairs of a token and an earlier one.
	AttentionMsPerMPairs float64
	// MaxPrefillTokensPerStep is the most that is read in one step.
	MaxPrefillTokensPerStep int
	// StepsPerPass is the number of steps between two events of a stream.
	StepsPerPass int
	// JointStepMs is what a step costs more when several engines hold a prompt.
	JointStepMs float64
}

// Organisation is one of the site's customers.
type Organisation struct {
	Name string
	// Priority is nil where the route's priority counts.
	Priority *int
}

// Configuration is one version of the operator's document. It is read-only.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// OrganisationsByKey finds the organisation that holds a key.
	OrganisationsByKey map[string]*Organisation
	// KeysRequired is true when requests must carry a key, but for open routes.
	KeysRequired bool
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64

	byHost map[string][]*Route
}

// Index prepares the look-up of routes. It is called once, before the site is shared.
func (s *Configuration) Index() {
	s.byHost = map[string][]*Route{}
	for i := range s.Routes {
		route := &s.Routes[i]
		s.byHost[route.Host] = append(s.byHost[route.Host], route)
	}
	for _, routes := range s.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Route returns the route with the longest prefix of path on a host, or nil.
func (s *Configuration) Route(host, path string) *Route {
	for _, route := range s.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ChooseService returns the service for a request on the route; at is a random number
// in [0, 1).
func (r *Route) ChooseService(at float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	at *= total
	for _, target := range r.Targets {
		if weight := max(0, target.Weight); at < weight {
			return target.Service
		} else {
			at -= weight
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

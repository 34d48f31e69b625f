// Package fleet holds a node's view of the store's tables: the operator's routes,
// services and organisations, the upstreams, and the view's age. It does no I/O and
// reads no clock: callers pass times, as readings of a clock that also advances
// while the machine is suspended.
package fleet

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what a route's answers are and which of its requests may be repeated.
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

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Targets are the services that take the route's requests, by weight.
	Targets []Target
	// Timeout bounds how long a request waits; 0 is no bound.
	Timeout time.Duration
	// LatencyTarget is the promised time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events that callers are promised.
	PauseTarget time.Duration
	// CallerTimeout is how long callers wait for the first or next event of a stream before they
	// disconnect; 0 is until their deadline.
	CallerTimeout time.Duration
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// MaxAttempts is the most upstreams that one request may run on.
	MaxAttempts int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
	// Regions are those whose upstreams may run the requests; empty is all.
	Regions []string
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Target is one of a route's services.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most connections of all nodes together to one upstream.
	MaxConnections int
	// ColdRatePerSecond is the requests per second that a cold upstream takes from all nodes together;
	// 0 is no bound.
	ColdRatePerSecond float64
	// Engine is nil for a plain service, one without model engines.
	Engine *Engine
}

// Engine is the pass model of a service's model engines.
type Engine struct {
	Slots        int
	MemoryTokens int
	// StepMs is the time of one token step of an empty batch.
	StepMs float64
	// StepMsPerStream is the time that each decoding stream adds to a step.
	StepMsPerStream float64
	// StepMsPerContextK is the time that each thousand tokens of the streams' context add to a step.
	StepMsPerContextK float64
	// PrefillTokensPerMs is the prefill rate.
	PrefillTokensPerMs float64
	// AttentionMsPerMPairs is the prefill time for a million pairs of a token and an earlier token.
	AttentionMsPerMPairs float64
	// MaxPrefillTokensPerStep is the most prompt tokens that are prefilled in one step.
	MaxPrefillTokensPerStep int
	// StepsPerPass is the number of steps between two events of a stream.
	StepsPerPass int
	// JointStepMs is the time added to a step if several engines hold a prompt.
	JointStepMs float64
}

// Organisation is one of the operator's customers.
type Organisation struct {
	Name string
	// Priority is nil where the route's priority applies.
	Priority *int
}

// Configuration is one version of the operator's configuration document. It is read-only.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// OrganisationsByKey maps a key to the organisation that holds it.
	OrganisationsByKey map[string]*Organisation
	// KeysRequired is true if requests need a key, except on open routes.
	KeysRequired bool
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64
	// IdleTimeout is the time after which callers don't use an idle connection again; 0 is not stated.
	IdleTimeout time.Duration
	// Encoded is the document as the operator wrote it, for other nodes.
	Encoded []byte

	byHost map[string][]*Route
}

// Index prepares the lookup of routes. It is called once, before the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Route returns the route with the longest prefix of path on a host, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ChooseService returns the service for a request on the route, by weight; at is a random number
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

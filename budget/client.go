package budget

import (
	"maps"
	"slices"
	"time"
)

// Client holds the shares that one node may use.
type Client struct {
	node      string
	timing    Timing
	sequence  uint64
	resources map[string]*clientResource
	sessions  map[string]session
	// sent maps each allocator to the latest report sent to it.
	sent map[string]sentReport
}

// session is what a client knows of an allocator's process.
type session struct {
	id    string
	clock time.Duration
}

type sentReport struct {
	sequence uint64
	at       time.Time
}

// Interest describes how a node uses a resource.
type Interest struct {
	Resource string
	// Local is true when requests for the resource can arrive at any time.
	Local bool
	// OnDemand is true when no report is needed while the node does not use the
	// resource. This holds for rates, of which nothing stays in use after the
	// share expires.
	OnDemand bool
	// Ramp is the ramp of the resource; no standby share is used while it
	// lasts.
	Ramp Ramp
}

// Demand is what a node uses of a resource and what it wants.
type Demand struct {
	Running, Waiting, Next Amount
}

// Share is what a node may use of a resource.
type Share struct {
	Amount
	// Expires is a time on the node's own clock.
	Expires time.Time
	// Standby is true when the share includes the standby share.
	Standby bool
}

// NewClient returns a client for a node. The name must be unique to the
// process.
func NewClient(node string, timing Timing) *Client {
	return &Client{
		node:      node,
		timing:    timing,
		resources: map[string]*clientResource{},
		sessions:  map[string]session{},
		sent:      map[string]sentReport{},
	}
}

// Configure replaces the resources of interest. A removed resource is kept
// while requests run on it.
func (c *Client) Configure(interests []Interest) {
	wanted := map[string]bool{}
	for _, interest := range interests {
		wanted[interest.Resource] = true
		if c.resources[interest.Resource] == nil {
			c.resources[interest.Resource] = &clientResource{}
		}
		c.resources[interest.Resource].interest = interest
	}
	maps.DeleteFunc(c.resources, func(name string, r *clientResource) bool {
		return !wanted[name] && r.demand.Running == Amount{}
	})
}

// SetDemands replaces the demand for all resources; a resource without an entry
// has no demand.
func (c *Client) SetDemands(demands map[string]Demand) {
	for name, r := range c.resources {
		r.demand = demands[name]
	}
}

// ColdStart records that the resource has started cold. The node keeps at most
// its fallback share until the allocator has answered.
func (c *Client) ColdStart(now time.Time, resource string) {
	if r := c.resources[resource]; r != nil {
		r.start.restart(now)
		r.share = r.share.Min(r.fallback)
		r.reportedAt = time.Time{}
	}
}

// Due returns the resources to report on now, by allocator, sorted by name.
// Owner returns the allocator of a resource, or an empty string when none is
// known.
func (c *Client) Due(now time.Time, owner func(resource string) string) map[string][]string {
	due := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.resources)) {
		r := c.resources[name]
		allocator := owner(name)
		r.trackShortage(now, c.timing)
		if allocator == "" || r.dormant(now) {
			continue
		}
		if allocator != r.allocator || now.Sub(r.reportedAt) >= r.interval(now, c.timing) {
			due[allocator] = append(due[allocator], name)
		}
	}
	return due
}

// Report returns the next report to an allocator on the resources. It
// supersedes earlier reports on them.
func (c *Client) Report(now time.Time, allocator string, resources []string) Report {
	c.sequence++
	c.sent[allocator] = sentReport{sequence: c.sequence, at: now}
	known := c.sessions[allocator]
	report := Report{Node: c.node, Sequence: c.sequence, Allocator: known.id, Echo: known.clock}
	for _, name := range resources {
		r := c.resources[name]
		if r == nil {
			continue
		}
		if r.allocator != allocator {
			r.ownerSince, r.ownerGranted = now, false
		}
		r.allocator, r.reportedAt, r.sequence = allocator, now, c.sequence
		usage := r.usage(now, name, known.id)
		r.appliedProcess, r.reportedStart, r.shrunk = "", r.start.number, false
		r.reportedUnused = r.empty()
		report.Usages = append(report.Usages, usage)
	}
	return report
}

// Apply applies an allocator's answer. An answer to any report but the latest
// has no effect.
func (c *Client) Apply(now time.Time, allocator string, answer Answer) {
	sent := c.sent[allocator]
	if sent.sequence != answer.Sequence {
		return
	}
	if c.sessions[allocator].id != answer.Allocator {
		c.makeReportsDue(allocator)
	}
	c.sessions[allocator] = session{id: answer.Allocator, clock: answer.Clock}
	for _, grant := range answer.Grants {
		r := c.resources[grant.Resource]
		if r == nil || r.sequence != answer.Sequence {
			continue
		}
		if grant.Lifetime <= 0 {
			continue
		}
		r.apply(now, sent.at, answer.Allocator, grant, c.timing)
	}
}

// makeReportsDue makes all reports to an allocator due, because it cannot rely
// on reports that echo none of its answers.
func (c *Client) makeReportsDue(allocator string) {
	for _, r := range c.resources {
		if r.allocator == allocator {
			r.reportedAt = time.Time{}
		}
	}
}

// Shares returns what the node may use now, by resource. A resource without an
// entry may not be used.
func (c *Client) Shares(now time.Time) map[string]Share {
	shares := map[string]Share{}
	for name, r := range c.resources {
		if share, ok := r.currentShare(now); ok {
			shares[name] = share
		}
	}
	return shares
}

package budget

import (
	"maps"
	"slices"
	"time"
)

// Client holds what one node may use.
type Client struct {
	node     string
	timing   Timing
	sequence uint64
	holdings map[string]*holding
	sessions map[string]session
	// sent maps the latest report to each keeper.
	sent map[string]sentReport
}

// session is what a client knows of a keeper's process.
type session struct {
	id    string
	clock time.Duration
}

type sentReport struct {
	sequence uint64
	at       time.Time
}

// Interest says what a node has to do with a resource.
type Interest struct {
	Resource string
	// Local is true when work is to be expected at any time.
	Local bool
	// OnDemand is true when no report is needed while the node has no use for
	// the resource. That holds for rates, of which nothing outlasts a share.
	OnDemand bool
	// Ramp is the resource's; no standby share is used while it lasts.
	Ramp Ramp
}

// Demand is what a node uses and wants of a resource.
type Demand struct {
	Running, Waiting, Next Amount
}

// Share is what a node may use of a resource.
type Share struct {
	Amount
	// Expires is by the node's own clock.
	Expires time.Time
	// Standby is true when the share includes the standby share.
	Standby bool
}

// NewClient returns a client for a node whose name is unique to the process.
func NewClient(node string, timing Timing) *Client {
	return &Client{
		node:     node,
		timing:   timing,
		holdings: map[string]*holding{},
		sessions: map[string]session{},
		sent:     map[string]sentReport{},
	}
}

// Configure replaces the resources of interest. One that was removed is kept
// while work runs on it.
func (c *Client) Configure(interests []Interest) {
	wanted := map[string]bool{}
	for _, interest := range interests {
		wanted[interest.Resource] = true
		if c.holdings[interest.Resource] == nil {
			c.holdings[interest.Resource] = &holding{}
		}
		c.holdings[interest.Resource].interest = interest
	}
	maps.DeleteFunc(c.holdings, func(name string, h *holding) bool {
		return !wanted[name] && h.demand.Running == Amount{}
	})
}

// Observe replaces the demand for all resources; one without an entry has none.
func (c *Client) Observe(demands map[string]Demand) {
	for name, h := range c.holdings {
		h.demand = demands[name]
	}
}

// ColdStart records that the resource has fallen back into its start. The node
// keeps no more than its fallback share until the keeper has answered.
func (c *Client) ColdStart(now time.Time, resource string) {
	if h := c.holdings[resource]; h != nil {
		h.start.begin(now)
		h.share = h.share.Min(h.fallback)
		h.reported = time.Time{}
	}
}

// Due returns the resources to report on now, sorted, by keeper. Owner returns
// the keeper of a resource, or an empty string when none is known.
func (c *Client) Due(now time.Time, owner func(resource string) string) map[string][]string {
	due := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.holdings)) {
		h := c.holdings[name]
		keeper := owner(name)
		h.see(now, c.timing)
		if keeper == "" || h.dormant(now) {
			continue
		}
		if keeper != h.keeper || now.Sub(h.reported) >= h.interval(now, c.timing) {
			due[keeper] = append(due[keeper], name)
		}
	}
	return due
}

// Report returns the next report to a keeper on the resources. Earlier reports
// on them are void.
func (c *Client) Report(now time.Time, keeper string, resources []string) Report {
	c.sequence++
	c.sent[keeper] = sentReport{sequence: c.sequence, at: now}
	known := c.sessions[keeper]
	report := Report{Node: c.node, Sequence: c.sequence, Keeper: known.id, Echo: known.clock}
	for _, name := range resources {
		h := c.holdings[name]
		if h == nil {
			continue
		}
		if h.keeper != keeper {
			h.moved, h.accepted = now, false
		}
		h.keeper, h.reported, h.sequence = keeper, now, c.sequence
		usage := h.usage(now, name, known.id)
		h.applied, h.reportedStart, h.shrunk = "", h.start.number, false
		h.quiet = h.empty()
		report.Usages = append(report.Usages, usage)
	}
	return report
}

// Apply takes in a keeper's answer; one to a report that is not the latest has
// no effect.
func (c *Client) Apply(now time.Time, keeper string, answer Answer) {
	sent := c.sent[keeper]
	if sent.sequence != answer.Sequence {
		return
	}
	if c.sessions[keeper].id != answer.Keeper {
		c.hasten(keeper)
	}
	c.sessions[keeper] = session{id: answer.Keeper, clock: answer.Clock}
	for _, grant := range answer.Grants {
		h := c.holdings[grant.Resource]
		if h == nil || h.sequence != answer.Sequence {
			continue
		}
		if grant.Lifetime <= 0 {
			continue
		}
		h.apply(now, sent.at, answer.Keeper, grant, c.timing)
	}
}

// hasten makes all reports to a keeper due, since it can't count on those that
// echo none of its answers.
func (c *Client) hasten(keeper string) {
	for _, h := range c.holdings {
		if h.keeper == keeper {
			h.reported = time.Time{}
		}
	}
}

// Shares returns what the node may use now, by resource. A resource that is
// missing may not be used.
func (c *Client) Shares(now time.Time) map[string]Share {
	shares := map[string]Share{}
	for name, h := range c.holdings {
		if share, ok := h.current(now); ok {
			shares[name] = share
		}
	}
	return shares
}

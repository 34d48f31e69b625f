package bench

import (
	"time"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// sideEffectDeadline is how long a call to a service may take.
const sideEffectDeadline = 10 * time.Second

// node is one entry node.
type node struct {
	site       *site
	number     int
	dataCentre string
	policy     policy.Policy
	tables     *tables.Tables
	calls      map[string]*call
}

// configure brings newer tables into force.
func (n *node) configure(built *tables.Tables) {
	if n.tables != nil && built.Version <= n.tables.Version {
		return
	}
	n.tables = built
	n.policy.Configure(n.site.now(), built)
}

// accept begins a request.
func (n *node) accept(arrival *workload.Request) {
	n.site.arrivals--
	n.site.live++
	accepted := &call{node: n, arrival: arrival, request: n.request(arrival)}
	accepted.record = n.site.recorder.add(arrival, n.site.loop.Now())
	accepted.record.Deadline = accepted.request.Deadline.Sub(accepted.request.Arrived)
	n.calls[arrival.ID] = accepted
	n.site.loop.After(accepted.record.Deadline, accepted.expire)
	if arrival.Leaves > 0 {
		n.site.loop.After(arrival.Leaves, accepted.leave)
	}
	accepted.place()
}

func (n *node) request(arrival *workload.Request) *scheduling.Request {
	plan := n.tables.Plans[0]
	request := &scheduling.Request{
		ID:           arrival.ID,
		Plan:         plan,
		Organisation: &plan.Document.Organisations[arrival.Organisation],
		PromptTokens: arrival.PromptTokens,
		MaxTokens:    arrival.MaxTokens,
		Priority:     arrival.Priority,
		Arrived:      n.site.now(),
	}
	deadline := sideEffectDeadline
	if arrival.Call {
		request.Service = serviceName
	} else {
		request.Model = modelName
		deadline, _ = plan.Deadline(arrival.PromptTokens)
	}
	request.PrefixHash = prefixHash(arrival)
	request.Deadline = request.Arrived.Add(deadline)
	return request
}

// handleAll carries decisions out.
func (n *node) handleAll(decisions []scheduling.Decision) {
	for _, decision := range decisions {
		if waiting, ok := n.calls[decision.RequestID]; ok {
			waiting.handle(decision)
		}
	}
}

// isInService reports whether the upstream may still receive new work.
func (n *node) isInService(id string) bool {
	current := n.tables.Upstreams[id]
	return current != nil && !current.OutOfService
}

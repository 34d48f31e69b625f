package dispatch

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

// SetShares replaces this node's shares of the upstreams' limits, by upstream ID.
func (d *Dispatcher) SetShares(shares map[string]scheduling.Share) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetShares(time.Now(), shares)
	d.advance()
}

// SetFallback sets the function that returns the share of an upstream without a
// valid share. It is called under the dispatcher's lock and must not block.
func (d *Dispatcher) SetFallback(fallback func(upstreamID string) scheduling.Share) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetFallback(time.Now(), fallback)
	d.advance()
}

// SetPosition sets the node's index, from 0, among the live nodes of its data
// centre, and their number.
func (d *Dispatcher) SetPosition(position, nodes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetPosition(position, nodes)
}

// SetOrganisationRates replaces this node's shares of the organisations' rate
// limits, in tokens per second by scheduling.OrganisationKey.
func (d *Dispatcher) SetOrganisationRates(rates map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetOrganisationRates(time.Now(), rates)
}

// Observe applies an upstream's load report.
func (d *Dispatcher) Observe(report scheduling.Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.Observe(time.Now(), report)
	d.advance()
}

// Demand returns what runs and waits at this node, by upstream ID.
func (d *Dispatcher) Demand() map[string]scheduling.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Demand(time.Now())
}

// LimitedUpstreams returns the upstreams that this node doesn't use to their full capacity
// for now.
func (d *Dispatcher) LimitedUpstreams() []scheduling.LimitedUpstream {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.LimitedUpstreams(time.Now())
}

// EstimateErrors returns the relative error of the first-token estimate by model.
func (d *Dispatcher) EstimateErrors() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.EstimateErrors()
}

// MayRetry takes one retry from the environment's retry budget and reports whether
// there was one.
func (d *Dispatcher) MayRetry(request *scheduling.Request) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.MayRetry(time.Now(), request)
}

// Requeue is called after a full upstream refused the request. It returns how long
// to wait before the request is placed again, or false when its deadline is too
// near.
func (d *Dispatcher) Requeue(request *scheduling.Request) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Requeue(time.Now(), request)
}

// TakeRequestedTokens returns the tokens that rate-limited organisations requested since
// the last call, by scheduling.OrganisationKey.
func (d *Dispatcher) TakeRequestedTokens() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.TakeRequestedTokens()
}

// TakeColdStarts returns the IDs of the upstreams whose cold start was detected
// since the last call.
func (d *Dispatcher) TakeColdStarts() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.TakeColdStarts()
}

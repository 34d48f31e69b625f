package dispatch

import (
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

// SetShares replaces what this node may have running by upstream ID.
func (d *Dispatcher) SetShares(shares map[string]scheduling.Share) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetShares(time.Now(), shares)
	d.advance()
}

// SetFallback sets the share that counts while an upstream has none. The
// function is called under the dispatcher's lock and must not block.
func (d *Dispatcher) SetFallback(fallback func(upstreamID string) scheduling.Share) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetFallback(time.Now(), fallback)
	d.advance()
}

// SetPosition tells the node's position among the live nodes of its data centre.
func (d *Dispatcher) SetPosition(position, nodes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetPosition(position, nodes)
}

// SetOrganisationRates replaces this node's part of the organisations' limits,
// in tokens a second by scheduling.OrganisationKey.
func (d *Dispatcher) SetOrganisationRates(rates map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.SetOrganisationRates(time.Now(), rates)
}

// Observe takes in an upstream's load report.
func (d *Dispatcher) Observe(report scheduling.Report) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.scheduler.Observe(time.Now(), report)
	d.advance()
}

// Demand returns what runs and waits here by upstream ID.
func (d *Dispatcher) Demand() map[string]scheduling.Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Demand(time.Now())
}

// Limited lists the upstreams that this node doesn't use in full for now.
func (d *Dispatcher) Limited() []scheduling.LimitedUpstream {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.LimitedUpstreams(time.Now())
}

// EstimateErrors is the relative error of the first-token estimate by model.
func (d *Dispatcher) EstimateErrors() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.EstimateErrors()
}

// MayRetry spends one retry of the environment's budget, if there is one.
func (d *Dispatcher) MayRetry(request *scheduling.Request) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.MayRetry(time.Now(), request)
}

// Requeue counts a refusal by a full upstream. It returns how long to wait
// before the request is placed again, or false when its deadline is too near.
func (d *Dispatcher) Requeue(request *scheduling.Request) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.Requeue(time.Now(), request)
}

// TakeAskedTokens returns the tokens that organisations with a limit have asked
// for since the last call, by scheduling.OrganisationKey.
func (d *Dispatcher) TakeAskedTokens() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.TakeRequestedTokens()
}

// TakeColdStarts returns the upstreams that were found to start cold since the
// last call, by ID.
func (d *Dispatcher) TakeColdStarts() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.TakeColdStarts()
}

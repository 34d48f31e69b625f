package dispatch

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Placement is an upstream held for one attempt.
type Placement struct {
	Upstream *tables.Upstream
	// Group is the engines that hold the request together, the lead first, and
	// GroupTokens the memory booked at each; both are empty for a single one.
	Group       []*tables.Upstream
	GroupTokens []int
	// Priority is what to ask of the engine.
	Priority   environment.Priority
	dispatcher *Dispatcher
	requestID  string
}

// InService reports whether the upstream may still receive new work, and the
// site is confirmed. It is asked directly before an attempt is sent.
func (p *Placement) InService() bool {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	return p.dispatcher.isFresh() == nil && p.dispatcher.scheduler.InService(p.requestID)
}

// FirstToken tells that the answer has begun, so that a long prompt no longer
// counts as in prefill.
func (p *Placement) FirstToken() {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	p.dispatcher.scheduler.FirstToken(time.Now(), p.requestID)
	p.dispatcher.advance()
}

// Finish frees the place and wakes who can start in it. The outcome carries
// the usage that the engine reported. A repeat changes nothing.
func (p *Placement) Finish(outcome scheduling.Outcome) {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	p.dispatcher.finish(p.requestID, outcome)
}

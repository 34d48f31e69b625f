package dispatch

import (
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Placement is an upstream reserved for one attempt.
type Placement struct {
	Upstream *tables.Upstream
	// Group is the engines that hold the request together, the lead first, and
	// GroupTokens the KV tokens reserved at each; both are empty for a single engine.
	Group       []*tables.Upstream
	GroupTokens []int
	// Priority is the priority to request from the engine.
	Priority   environment.Priority
	dispatcher *Dispatcher
	requestID  string
}

// InService reports whether the upstream may still receive new requests and the
// configuration is confirmed. It is called immediately before an attempt is sent.
func (p *Placement) InService() bool {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	return p.dispatcher.pendingConfirmation() == nil && p.dispatcher.scheduler.InService(p.requestID)
}

// FirstToken records that the answer has begun, so that a long prompt no longer
// counts as in prefill.
func (p *Placement) FirstToken() {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	p.dispatcher.scheduler.FirstToken(time.Now(), p.requestID)
	p.dispatcher.advance()
}

// Finish frees the reservation and wakes requests that can use it. The outcome
// carries the usage that the engine reported. A repeated call has no effect.
func (p *Placement) Finish(outcome scheduling.Outcome) {
	p.dispatcher.mutex.Lock()
	defer p.dispatcher.mutex.Unlock()
	p.dispatcher.finish(p.requestID, outcome)
}

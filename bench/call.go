package bench

import (
	"errors"
	"fmt"
	"time"

	"github.com/wigeontiller/wigeontiller/bench/model"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
)

const (
	cancelInterval = 250 * time.Millisecond
	cancelPeriod   = 30 * time.Second
	// maxCancelTime is how long an engine may hold a job after its cancel.
	maxCancelTime = 5 * time.Second
)

// call is one request at its node.
type call struct {
	node    *node
	arrival *workload.Request
	request *scheduling.Request
	record  *Record
	// attempts counts those sent; current is nil between attempts.
	attempts int
	current  *attempt
	ended    bool
}

// attempt is one try at an upstream.
type attempt struct {
	call       *call
	id         string
	upstream   *upstream
	priority   environment.Priority
	members    []model.Part
	job        *model.Job
	connection *connection
	sentAt     time.Duration
	firstToken time.Duration
}

func (c *call) place() {
	c.handle(c.node.policy.Submit(c.node.site.now(), c.request))
	if c.node.policy.Pending() {
		c.node.handleAll(c.node.policy.Advance(c.node.site.now()))
	}
}

func (c *call) handle(decision scheduling.Decision) {
	switch decision.Kind {
	case scheduling.Placed:
		c.record.Admitted = true
		c.send(decision)
	case scheduling.Queued:
		c.record.Admitted = true
	case scheduling.Refused:
		c.record.Reason = decision.Reason
		if c.record.Admitted {
			c.end(Failed)
		} else {
			c.end(RefusedAtOnce)
		}
	}
}

func (c *call) send(decision scheduling.Decision) {
	site := c.node.site
	upstreamID := decision.Upstream.ID
	if !c.node.isInService(upstreamID) {
		c.node.policy.Finish(site.now(), c.request.ID, scheduling.Outcome{Abandoned: true})
		site.loop.After(0, c.placeAgain)
		return
	}
	c.attempts++
	target := site.upstreams[upstreamID]
	sent := &attempt{
		call:       c,
		id:         fmt.Sprintf("%s/%d", c.request.ID, c.attempts),
		upstream:   target,
		priority:   decision.Priority,
		connection: &connection{site: site, node: c.node.dataCentre, upstream: target.dataCentre},
		sentAt:     site.loop.Now(),
	}
	for i := 1; i < len(decision.Group); i++ {
		member := site.upstreams[decision.Group[i].ID]
		sent.members = append(sent.members, model.Part{Engine: member.engine, KVTokens: decision.GroupTokens[i]})
	}
	c.current = sent
	c.record.Attempts = c.attempts
	c.record.Upstream = upstreamID
	c.record.Placed = sent.sentAt
	sent.connection.send(sent.reach)
}

// reach hands the attempt to the upstream.
func (a *attempt) reach() {
	site := a.call.node.site
	site.noteNewWork(a.upstream)
	if err := a.submit(); err != nil {
		site.recorder.upstreamRefusals++
		a.connection.reply(func() { a.call.broken(a, err) })
	}
}

func (a *attempt) submit() error {
	if a.upstream.service != nil {
		return a.upstream.service.Submit(a.id, a.end)
	}
	a.job = &model.Job{
		ID:           a.id,
		PromptTokens: a.call.arrival.PromptTokens,
		AnswerTokens: a.call.arrival.AnswerTokens,
		MaxTokens:    a.call.arrival.MaxTokens,
		Priority:     a.priority,
		Members:      a.members,
		Segments:     segmentsOf(a.call.arrival),
		Token:        a.token,
		End:          a.end,
	}
	return a.upstream.engine.Submit(a.job)
}

// token runs at the upstream.
func (a *attempt) token(interval time.Duration) {
	if interval > 0 {
		a.call.node.site.recorder.interval(interval)
		return
	}
	a.connection.reply(func() { a.call.begin(a) })
}

// end runs at the upstream.
func (a *attempt) end(whole bool) {
	a.connection.reply(func() {
		if whole {
			a.call.complete(a)
		} else {
			a.call.broken(a, nil)
		}
	})
}

// begin takes the first token of an attempt.
func (c *call) begin(from *attempt) {
	if c.current != from {
		return
	}
	site := c.node.site
	from.firstToken = site.loop.Now() - from.sentAt
	c.record.FirstToken = site.loop.Now() - c.record.Arrived + 2*site.config.Deployment.ClientDelay
	c.record.HasToken = true
	c.node.policy.FirstToken(site.now(), c.request.ID)
}

func (c *call) complete(from *attempt) {
	if c.current != from {
		return
	}
	c.record.CachedTokens = from.job.Cached()
	c.finishAttempt(scheduling.Outcome{
		PromptTokens: c.arrival.PromptTokens,
		CachedTokens: c.record.CachedTokens,
		AnswerTokens: c.arrival.AnswerTokens,
		FirstToken:   from.firstToken,
	})
	c.end(Completed)
}

// broken ends an attempt that was refused or cut off, and may try again.
// The cause is nil when the attempt may have run.
func (c *call) broken(from *attempt, cause error) {
	if c.current != from {
		return
	}
	began := from.firstToken > 0
	full := errors.Is(cause, model.ErrFull)
	c.finishAttempt(scheduling.Outcome{Failed: !full, Refused: full, FirstToken: from.firstToken})
	if full && c.requeue() {
		return
	}
	notRun := cause != nil
	repeatable := notRun || !c.arrival.Call && !began
	if !repeatable || c.attempts-c.request.Refusals >= c.request.Plan.Document.Retry.MaxAttempts {
		c.end(Failed)
		return
	}
	if !c.node.policy.MayRetry(c.node.site.now(), c.request) {
		c.end(Failed)
		return
	}
	c.request.Avoid = append(c.request.Avoid, from.upstream.id)
	c.place()
}

// requeue places a refused request again after a pause, if the policy does so.
func (c *call) requeue() bool {
	pause, ok := c.node.policy.Requeue(c.node.site.now(), c.request)
	if ok {
		c.node.site.loop.After(pause, c.placeAgain)
	}
	return ok
}

func (c *call) placeAgain() {
	if !c.ended {
		c.place()
	}
}

// expire ends the request at its deadline.
func (c *call) expire() {
	c.giveUp(EndedByDeadline)
}

// leave ends the request because its caller has gone.
func (c *call) leave() {
	c.giveUp(CallerLeft)
}

func (c *call) giveUp(kind EndKind) {
	if c.ended {
		return
	}
	if abandoned := c.current; abandoned != nil {
		left := kind == CallerLeft
		c.finishAttempt(scheduling.Outcome{Failed: !left, Abandoned: left, FirstToken: abandoned.firstToken})
		abandoned.cancel(0)
	} else {
		c.node.policy.Cancel(c.node.site.now(), c.request.ID)
	}
	c.end(kind)
}

func (c *call) finishAttempt(outcome scheduling.Outcome) {
	c.current = nil
	c.node.policy.Finish(c.node.site.now(), c.request.ID, outcome)
	c.node.handleAll(c.node.policy.Advance(c.node.site.now()))
}

func (c *call) end(kind EndKind) {
	site := c.node.site
	if c.ended {
		site.breach("%s ended twice", c.request.ID)
		return
	}
	c.ended = true
	c.record.End = kind
	c.record.Ended = site.loop.Now()
	if c.record.Ended-c.record.Arrived > c.record.Deadline {
		site.breach("%s ended after its deadline", c.request.ID)
	}
	delete(c.node.calls, c.request.ID)
	site.live--
}

// cancel asks the engine to drop the attempt until one of the asks arrives.
func (a *attempt) cancel(waited time.Duration) {
	site := a.call.node.site
	if a.upstream.engine == nil {
		return
	}
	if waited == 0 {
		site.canceling++
		site.loop.After(maxCancelTime, a.checkCanceled)
	}
	lost := site.config.Scenario == Random && site.faults.Float64() < cancelLossShare
	if lost && waited < cancelPeriod {
		site.loop.After(cancelInterval, func() { a.cancel(waited + cancelInterval) })
		return
	}
	a.connection.send(func() {
		site.canceling--
		a.upstream.engine.Cancel(a.id)
	})
}

func (a *attempt) checkCanceled() {
	if a.upstream.engine.Holds(a.id) {
		a.call.node.site.breach("%s still runs %v after its cancel", a.id, maxCancelTime)
	}
}

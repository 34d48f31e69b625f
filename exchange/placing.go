package exchange

import (
	"context"
	"math/rand/v2"

	"github.com/wigeontiller/wigeontiller/placement"
)

// place waits until the request is placed or refused. It returns false if the context ends first, the request is blocked
// while it waits, or it becomes too late to begin it.
func (r *requestHandler) place(ctx context.Context) (placement.Decision, bool) {
	scheduler := r.exchange.config.Scheduler
	r.placements++
	request := &placement.Request{
		ID:           r.exchange.keys.next(),
		Service:      r.service,
		Kind:         r.request.Route.Kind,
		PromptTokens: r.request.PromptTokens,
		AnswerTokens: r.request.AnswerTokens,
		Priority:     r.request.Priority(),
		Arrived:      scheduler.ToClock(r.request.Arrived),
		AnswerDue:    scheduler.ToClock(r.request.Arrived.Add(r.request.Route.LatencyTarget)),
		Deadline:     scheduler.ToClock(r.request.Deadline),
		Avoid:        r.avoid,
		Regions:      r.request.Route.Regions,
		IsRetry:      r.placements > 1,
		Identity:     r.request.Identity.Whole,
	}
	if r.request.Organisation != nil {
		request.Organisation = r.request.Organisation.Name
	}
	if maxWait := r.request.Route.CallerTimeout; maxWait > 0 && !r.begun.Load() {
		request.CallerTimeoutAt = scheduler.ToClock(r.request.Arrived.Add(maxWait))
	}
	if !r.isTrial {
		blockable, cancel := context.WithCancel(ctx)
		defer cancel()
		defer r.exchange.config.Blocklist.Watch(r.features, cancel)()
		ctx = blockable
	}
	ctx, cancel := r.untilLatestStart(ctx)
	defer cancel()
	return scheduler.Place(ctx, request)
}

// sendPlaced reserves the memory that a placement needs and sends the request. It reports whether the request has ended;
// otherwise it is to be placed again.
func (r *requestHandler) sendPlaced(ctx context.Context, decision *placement.Decision) bool {
	scheduler := r.exchange.config.Scheduler
	reserved, ok := r.reserve(ctx, decision)
	if !ok || !scheduler.InService(decision) || r.tooLateToBegin() {
		reserved.release()
		scheduler.End(decision.ID, placement.Neutral, "")
		sleep(ctx, reserveRetryDelay/2+rand.N(reserveRetryDelay))
		return false
	}
	action := r.attempt(ctx, decision, reserved)
	reserved.release()
	return r.finish(ctx, action)
}

package exchange

import (
	"errors"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// beginSend records that the current attempt is about to be written.
func (r *requestHandler) beginSend(upstream *fleet.Upstream) {
	if r.sent != nil {
		return
	}
	r.arrivals.send(r.retryGranted)
	r.retryGranted = false
	r.sent = &sentAttempt{
		arrivals: r.arrivals, request: r.request.ID, service: r.service, upstream: upstream, sentAt: r.exchange.config.Scheduler.now(),
	}
	r.exchange.openAttempts.add(r.sent)
}

// endSend records what the end of a send tells about its arrival. It has arrived if there is an answer, or if the upstream closed the
// connection; what was not written won't.
func (r *requestHandler) endSend(err error, watch *watchdog) {
	sent := r.sent
	switch {
	case sent == nil:
	case err == nil, errors.Is(err, ErrNotSent), watch.ctx.Err() == nil && !errors.Is(err, ErrTimedOut):
		r.exchange.settle(r.exchange.openAttempts.answered(sent))
		r.sent = nil
	default:
		r.giveUpSend()
	}
}

// endSendToPeer is endSend for another node. One that fails may have sent the request to an upstream that has not read it.
func (r *requestHandler) endSendToPeer(reply PeerReply, err error, watch *watchdog) {
	if err == nil && r.sent != nil {
		if failure := reply.Failure(); failure != nil && maySend(reply, failure) {
			r.giveUpSend()
			return
		}
	}
	r.endSend(err, watch)
}

// giveUpSend records that nobody waits for the answer to the current attempt, which may arrive yet.
func (r *requestHandler) giveUpSend() {
	now := r.exchange.config.Scheduler.now()
	r.exchange.openAttempts.giveUp(r.sent, now+r.exchange.config.Retries.Window)
	r.sent = nil
}

// heardEvent records that an upstream has written an event for which this node has waited for a time. One that had arrived before, or
// while this process stood still, tells nothing of the upstream's present state.
func (r *requestHandler) heardEvent(upstream *fleet.Upstream, waited time.Duration) {
	e := r.exchange
	if r.handedTo == "" && waited >= freshWait && !e.suspension.paused(e.config.Now()) {
		e.settle(e.openAttempts.heard(upstream, e.config.Scheduler.now()-eventMargin))
	}
}

// settle records that attempts have arrived, and the retries with them in the retry budget.
func (e *Exchange) settle(settled []settlement) {
	now := e.config.Scheduler.now()
	for _, s := range settled {
		a := s.attempt
		retries, delay := a.arrivals.settle(), now-a.sentAt
		if retries == 0 {
			continue
		}
		e.config.Retries.Arrived(now, a.service, retries)
		if delay < lateArrivalDelay {
			continue
		}
		e.config.Logger.Info().Str("request_id", a.request).Str("service", a.service).Str("upstream", a.upstream.ID).Int("retries", retries).
			Int("pending", a.arrivals.pending()).Dur("at_most_ms", delay).Str("known_by", string(s.by)).Msg(telemetry.LogRetryArrivedLate)
	}
}

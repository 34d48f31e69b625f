package exchange

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// ErrNoPeer means that no other node can be asked to serve the request.
var ErrNoPeer = eris.New("no node takes the request")

const (
	// maxHandovers is the most nodes that one request is offered to.
	maxHandovers = 4
	// reachCheckTimeout bounds how long a request waits for the result of dials to other upstreams before
	// it is sent to the next one. Refused dials take a round trip.
	reachCheckTimeout = 60 * time.Millisecond
	// hungDialTime is the time from which a dial that failed was not refused: the request is then handed
	// over before it is known whether the node is cut off.
	hungDialTime = 200 * time.Millisecond
	// peerSilence is how long another node may send nothing of a stream. It watches the upstream itself, so
	// that only its own end is to be noticed here.
	peerSilence = 3 * time.Second
	// peerLatencyFactor is the same for other requests, in latency targets: more than
	// plainServiceFactor, after which the other node sends the request again.
	peerLatencyFactor = 3.5
)

// PeerReply is the reply of a node that a request was handed over to.
type PeerReply interface {
	Reply
	// Failure returns the failure response that the node generated, or nil if the reply is an upstream's.
	Failure() *Failure
	// Attempts returns the number of the other node's attempts and of those that may have run, up to the header of its
	// reply. It is false for a node of an earlier version, which does not say.
	Attempts() (attempts, mayHaveRun int, stated bool)
}

// Handover knows whether this node reaches upstreams, and hands requests over to nodes that do.
type Handover interface {
	// CutOff reports whether this node connects to no upstream of a service.
	CutOff(service string) bool
	// Returning reports whether a service that the node is cut off from could be reached a moment ago.
	Returning(service string) bool
	// Check finds out whether it does, because of a failure, and waits for that until the context ends.
	Check(ctx context.Context, service string)
	// Send hands the request to a node that is not in tried and returns its name. Errors: ErrNoPeer,
	// ErrNotSent, ErrNotPermitted, ErrIncomplete, ErrTimedOut.
	Send(ctx context.Context, attempt *Attempt, tried []string) (reply PeerReply, node string, err error)
	// Refused records that a node could not take a request.
	Refused(node string)
}

// Reasons for which a node can't take another node's request.
const (
	ReasonCutOff = "cut_off"
	// ReasonBehind means that the node's view is older than that by which the request was admitted.
	ReasonBehind = "view_behind"
	// ReasonUnknownNode means that the request is not from a known node.
	ReasonUnknownNode = "unknown_node"
	// ReasonUnreachable means that no connection to the last upstream could be made.
	ReasonUnreachable = "upstream_unreachable"
)

// handoverRefusals are the reasons for which another node is tried: it may reach upstreams that this one
// does not.
var handoverRefusals = []string{
	ReasonCutOff, ReasonBehind, ReasonUnknownNode, ReasonNodeShutdown, ReasonNoView, ReasonViewTooOld,
	ReasonUnreachable, string(placement.NoUpstream),
}

// cutOff reports whether this node reaches no upstream of the request's service.
func (r *requestHandler) cutOff() bool { return r.exchange.config.Handover.CutOff(r.service) }

// shallHandOver reports whether the request is to be served by another node. A request is handed over
// once only.
func (r *requestHandler) shallHandOver() bool {
	return !r.request.HandedOver && !r.isTrial && (r.handOverNext || r.cutOff())
}

// checkReach finds out, after an attempt that failed without a response, whether this node reaches
// upstreams at all, and reports whether the request is to be handed over.
func (r *requestHandler) checkReach(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	r.exchange.config.Handover.Check(ctx, r.service)
	return r.shallHandOver()
}

// handOver offers the request to other nodes, and returns how it continues after one has taken it. It
// returns false if none does.
func (r *requestHandler) handOver(ctx context.Context) (nextAction, bool) {
	r.handOverNext = false
	for range maxHandovers {
		if !r.allowSend() {
			return actionFail, true
		}
		decision := &placement.Decision{ID: r.exchange.keys.next(), Lead: &fleet.Upstream{}}
		watch := r.newPeerWatchdog(ctx, decision)
		watch.beginWait()
		reply, node, err := r.sendToPeer(decision.ID, watch)
		superseded := watch.endWait(false)
		watch.setPeer(node)
		action, taken := actionDone, true
		if superseded {
			r.superseded(ctx, decision, reply, watch)
		} else {
			action, taken = r.afterHandover(ctx, decision, reply, err, watch)
		}
		watch.stop()
		if errors.Is(err, ErrNoPeer) && len(r.failedPeers) > 0 {
			r.failedPeers = nil
			continue
		}
		if taken || errors.Is(err, ErrNoPeer) {
			return action, taken
		}
		r.triedPeers = append(r.triedPeers, node)
		r.leaveOut(ctx, node, watch)
	}
	return actionFail, false
}

// leaveOut leaves a node out of handovers for a time, unless it was this node that ended the exchange.
func (r *requestHandler) leaveOut(ctx context.Context, node string, watch *watchdog) {
	if ctx.Err() == nil && !watch.blocked() {
		r.exchange.config.Handover.Refused(node)
	}
}

func (r *requestHandler) sendToPeer(key string, watch *watchdog) (PeerReply, string, error) {
	config := &r.exchange.config
	r.beginAttempt()
	r.watchForBlock(watch)
	reply, node, err := config.Handover.Send(watch.ctx, &Attempt{
		Key: key, Request: r.request, Deadline: r.request.Deadline, After: r.lastEventNumber, AtMostOnce: !r.request.Route.Repeatable(), Resend: r.history.Attempts() > 1,
		MaxExecutions: r.history.Grant(),
		Permitted: func() bool {
			permitted := r.wanted(watch.ctx) && !r.exchange.stale() && r.exchange.suspension.wait(config.Now()) == 0 && !r.blockedBeforeSend()
			if permitted {
				r.beginSend(&fleet.Upstream{ID: key})
			}
			return permitted
		},
	}, slices.Concat(r.triedPeers, r.failedPeers))
	r.endSendToPeer(reply, err, watch)
	event := config.Logger.Info().Str("request_id", r.request.ID).Str("request_digest", r.request.Identity.String()).Str("service", r.service).
		Str("peer", node).Bool("cut_off", r.cutOff()).Int64("after", r.lastEventNumber).Dur("waited_ms", time.Since(r.request.Arrived)).
		Int("attempt", r.history.Attempts()).Int("may_have_run", r.history.PossibleExecutions()).Dur("retry_waited_ms", r.retryWait())
	if err != nil {
		event = event.Str("error", err.Error())
	}
	event.Msg(telemetry.LogHandedOver)
	config.Metrics.Count("wigeontiller_requests_handed_over_total", 1)
	return reply, node, err
}

// afterHandover handles the outcome of one offer, and returns how the request continues. It returns
// false if the node did not take it, so that the next one is asked.
func (r *requestHandler) afterHandover(ctx context.Context, decision *placement.Decision, reply PeerReply, err error, watch *watchdog) (nextAction, bool) {
	defer r.stopBlockWatch()
	switch {
	case err != nil && watch.endStandby():
		return actionDone, true
	case errors.Is(err, ErrNoPeer), errors.Is(err, ErrNotSent):
		return actionFail, false
	case errors.Is(err, ErrNotPermitted):
		return actionRetry, true
	case err != nil:
		r.history.RecordExecutions(r.history.Grant())
		r.reason = "node_broke_off"
		r.triedPeers = append(r.triedPeers, decision.Lead.ID)
		r.leaveOut(ctx, decision.Lead.ID, watch)
		r.logFailedAttempt(decision, err.Error(), 0)
		if watch.blocked() && r.isBlocked() {
			return actionBlocked, true
		}
		return r.retryOrFail(ctx), true
	}
	r.recordHeader(reply)
	failure := reply.Failure()
	if failure == nil {
		r.recordPeerExecutions(reply)
		r.handedTo = decision.Lead.ID
		defer func() { r.handedTo = "" }()
		if r.request.Route.Kind == fleet.Stream && reply.Status() == http.StatusOK {
			return r.relayStream(ctx, decision, reply, watch), true
		}
		return r.deliverResponse(ctx, decision, reply, watch), true
	}
	r.logFailedAttempt(decision, string(failure.Code)+": "+failure.Reason, reply.Status())
	if discard(reply.Body(), maxRefusalBytes) {
		reply.Finish()
	} else {
		reply.Abort()
	}
	if watch.endStandby() {
		return actionDone, true
	}
	r.reason = failure.Reason
	sent := r.recordPeerFailure(reply, failure)
	switch failure.Code {
	case Unavailable, Overloaded, ExpiredNotExecuted, RequestBlocked:
		if slices.Contains(handoverRefusals, failure.Reason) {
			// What that node has sent is repeated by the next one.
			return actionFail, sent && !r.takeRetry(ctx)
		}
	case NoRoute, NoKey:
		// The other node knows a newer document; this one will.
		failure.Code = Unavailable
	}
	r.fail(ctx, *failure)
	return actionDone, true
}

// recordPeerExecutions records on how many upstreams the request may have run at another node. A stream may go on there
// after its header.
func (r *requestHandler) recordPeerExecutions(reply PeerReply) {
	_, mayHaveRun, stated := reply.Attempts()
	switch {
	case !stated:
		r.history.RecordAllMayHaveRun()
	case r.request.Route.Kind == fleet.Stream:
		r.history.RecordExecutions(max(mayHaveRun, r.history.Grant()))
	default:
		r.history.RecordExecutions(max(1, mayHaveRun))
	}
}

// maySend reports whether a node that answered with a failure may have sent the request.
func maySend(reply PeerReply, failure *Failure) bool {
	attempts, _, stated := reply.Attempts()
	return !slices.Contains(unsentReasons, failure.Reason) && (!stated || attempts > 0)
}

// unsentReasons are the reasons of failures before a node's first attempt.
var unsentReasons = []string{ReasonCutOff, ReasonBehind, ReasonUnknownNode, ReasonNoView}

// recordPeerFailure is recordPeerExecutions for a failure response that the other node generated. For a request that may be
// repeated its code says nothing of runs. It reports whether that node may have sent the request.
func (r *requestHandler) recordPeerFailure(reply PeerReply, failure *Failure) (sent bool) {
	_, mayHaveRun, stated := reply.Attempts()
	if slices.Contains(unsentReasons, failure.Reason) {
		return false
	}
	code := failure.Code
	guaranteed := code == Unavailable || code == Overloaded || code == ExpiredNotExecuted || code == RequestBlocked || code == NoRoute || code == NoKey
	switch {
	case guaranteed && !r.request.Route.Repeatable():
	case stated && guaranteed:
		r.history.RecordExecutions(mayHaveRun)
	case stated:
		r.history.RecordExecutions(max(1, mayHaveRun))
	default:
		r.history.RecordAllMayHaveRun()
	}
	return maySend(reply, failure)
}

// newPeerWatchdog is newWatchdog for a request that another node serves.
func (r *requestHandler) newPeerWatchdog(ctx context.Context, decision *placement.Decision) *watchdog {
	limit := peerSilence
	if r.request.Route.Kind != fleet.Stream {
		limit = time.Duration(float64(r.request.Route.LatencyTarget) * peerLatencyFactor)
	}
	return r.startWatchdog(ctx, decision, true, func() time.Duration { return limit })
}

// noHandover is the Handover of a node without others.
type noHandover struct{}

func (noHandover) CutOff(string) bool            { return false }
func (noHandover) Returning(string) bool         { return false }
func (noHandover) Check(context.Context, string) {}
func (noHandover) Refused(string)                {}
func (noHandover) Send(context.Context, *Attempt, []string) (PeerReply, string, error) {
	return nil, "", ErrNoPeer
}

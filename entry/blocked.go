package entry

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/retry"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// endProbeTimeout bounds the check whether an upstream's process has ended. A retry waits for it.
const endProbeTimeout = 150 * time.Millisecond

// crashWatch is what this node knows of upstreams that ended under a call.
type crashWatch struct {
	features []uint64
	// ended counts the upstreams that ended under this call.
	ended   int
	isTrial bool
}

func newCrashWatch(accepted *call) *crashWatch {
	plan, organisation := accepted.request.Plan, accepted.request.Organisation
	caller := plan.Environment + "/" + string(plan.Lane) + "/" + organisation.Name
	target := accepted.request.Service + accepted.request.Model + accepted.path
	identity := quarantine.NewIdentity(accepted.method, "", target, caller, "", accepted.body)
	return &crashWatch{features: identity.Features()}
}

// blockedFailure returns the failure of a call that must not be sent, or sent again, because it crashes
// upstreams, or nil.
func (s *Server) blockedFailure(watch *crashWatch, history *retry.History) *apierror.Error {
	block := s.blocked.Blocking(watch.features)
	switch {
	case watch.ended >= quarantine.MaxEndsPerRequest, watch.isTrial && !history.NotExecuted():
	case block == nil || watch.isTrial:
		return nil
	case history.Attempts() == 0 && s.blocked.TakeTrial(block):
		watch.isTrial = true
		return nil
	}
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.RequestBlocked, "upstreams end when they run the request")
	failure.Execution = executionOf(history)
	if !history.NotExecuted() {
		failure.Status = fiber.StatusBadGateway
	}
	if block != nil {
		failure.RetryAfter = s.blocked.RetryAfter(block)
	}
	return failure
}

// recordLostAttempt records that an upstream ended under an attempt, if its address refuses connections.
func (s *Server) recordLostAttempt(ctx context.Context, watch *crashWatch, placement *dispatch.Placement, attemptID string, sentAt time.Time) {
	lostAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	if !upstream.Refuses(ctx, placement.Upstream.Address) {
		return
	}
	watch.ended++
	// An upstream that starts again keeps its ID here, so that the attempt tells its processes apart.
	s.blocked.RecordEnd(placement.Upstream.ID+"/"+attemptID, attemptID, watch.features, 0, sentAt, lostAt)
}

// recordAnswer records that an upstream outlived a call. A failure tells nothing: an upstream may
// fail before it runs the call.
func (s *Server) recordAnswer(watch *crashWatch, status int) {
	if status < fiber.StatusInternalServerError {
		s.blocked.RecordAnswer(watch.features, time.Now())
	}
}

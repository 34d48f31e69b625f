package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/resume"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	headerResumeToken = ownHeaderPrefix + "Resume-Token"
	headerLastEventID = "Last-Event-ID"
	// resumeRetryAfter is the Retry-After for a stream whose engine can't be reached now.
	resumeRetryAfter = time.Second
)

// signResumeToken returns the resume token of a stream, or "" if it would be too long;
// the caller can't resume such a stream.
func (s *Server) signResumeToken(accepted *call, response *upstreamResponse) string {
	digest := sha256.Sum256(accepted.body)
	text, err := s.config.ResumeSigner.Sign(resume.Token{
		RequestID:    accepted.requestID,
		AttemptID:    response.attemptID,
		UpstreamID:   response.placement.Upstream.ID,
		Organisation: accepted.request.Organisation.Name,
		Environment:  accepted.request.Plan.Environment,
		Lane:         string(accepted.request.Plan.Lane),
		Deadline:     accepted.request.Deadline,
		BodyDigest:   digest[:],
	})
	if err != nil {
		s.config.Logger.Warn().Err(err).Str("request_id", accepted.requestID).Msg("stream has no resume token")
		return ""
	}
	return text
}

// resumeStream handles a request to resume a stream that broke at this node or at
// another one.
func (s *Server) resumeStream(c *fiber.Ctx) error {
	r, failure := s.acceptResume(c)
	if failure != nil {
		return s.sendError(c, failure)
	}
	c.Locals(localRequestID, r.call.requestID)
	c.Set(headerRequestID, r.call.requestID)
	ctx, finish := s.startCall(c, r.call)
	// Tracked before the request to the engine, which then names this node as the owner.
	r.response.untrack = s.trackAttempt(r.response.attemptID)
	if err := r.reconnect(ctx); err != nil {
		failure := resumeFailure(ctx, err)
		r.response.untrack()
		finish()
		return s.sendError(c, failure)
	}
	s.sendStream(ctx, c, r, finish)
	return nil
}

// acceptResume makes all checks that precede the request to the engine.
func (s *Server) acceptResume(c *fiber.Ctx) (*relay, *apierror.Error) {
	caller, failure := s.authenticate(c)
	if failure != nil {
		return nil, failure
	}
	after, text, err := resume.ParseEventID(c.Get(headerLastEventID))
	if err != nil {
		return nil, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, headerLastEventID+" must be the id of an event")
	}
	if value := c.Get(headerResumeToken); value != "" {
		text = value
	}
	text = strings.Clone(text)
	token, err := s.config.ResumeSigner.Open(text, time.Now())
	if err != nil {
		return nil, apierror.New(fiber.StatusForbidden, apierror.Forbidden, tokenErrorMessage(err))
	}
	if !isTokenFor(token, c.Params("id"), caller) {
		return nil, apierror.New(fiber.StatusForbidden, apierror.Forbidden, "the resume token is not for this request and key")
	}
	engine := s.config.Dispatcher.Tables().Upstreams[token.UpstreamID]
	if engine == nil {
		failure := apierror.New(fiber.StatusBadGateway, apierror.UpstreamFailed, "the stream's engine is no longer configured")
		failure.Execution = apierror.MayHaveExecuted
		return nil, failure
	}
	return s.newResumedRelay(token, text, after, caller, engine), nil
}

func (s *Server) newResumedRelay(token resume.Token, text string, after int, caller tables.Caller, engine *tables.Upstream) *relay {
	return &relay{
		server: s,
		call: &call{
			request: &scheduling.Request{
				ID:           token.AttemptID,
				Plan:         caller.Plan,
				Organisation: caller.Organisation,
				Deadline:     token.Deadline,
			},
			requestID: token.RequestID,
			stream:    true,
		},
		response:    &upstreamResponse{attemptID: token.AttemptID, address: engine.Address},
		resumeToken: text,
		lastSent:    after,
	}
}

// isTokenFor reports whether a token is for the request ID in the path and for the
// caller's organisation, environment and lane.
func isTokenFor(token resume.Token, pathID string, caller tables.Caller) bool {
	id, err := url.PathUnescape(pathID)
	return err == nil && id == token.RequestID &&
		token.Organisation == caller.Organisation.Name &&
		token.Environment == caller.Plan.Environment &&
		token.Lane == string(caller.Plan.Lane)
}

func tokenErrorMessage(err error) string {
	if errors.Is(err, resume.ErrExpired) {
		return "the resume token has expired"
	}
	return "the resume token is not valid"
}

func resumeFailure(ctx context.Context, err error) *apierror.Error {
	failure := attemptFailure(ctx, apierror.MayHaveExecuted)
	if errors.Is(err, upstream.ErrGone) {
		failure.Message = "the engine no longer has the stream"
		return failure
	}
	if ctx.Err() == nil {
		failure.RetryAfter = resumeRetryAfter
	}
	return failure
}

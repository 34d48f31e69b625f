package admin

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/strictyaml"
)

// PromoteRequest is the JSON body of a promotion or withdrawal.
type PromoteRequest struct {
	// Digest is that of the document in trial; empty for a withdrawal.
	Digest string `json:"digest,omitempty"`
	// Replaces is the environment version that the command replaces.
	Replaces uint64 `json:"replaces"`
}

// StateRequest is the JSON body that takes a data centre or VM out of service or
// returns it to service.
type StateRequest struct {
	// State is "out" (of service) or "in".
	State string `json:"state"`
}

// startTrial validates a document, stores it and puts it in trial.
func (s *Server) startTrial(c *fiber.Ctx) error {
	document, err := environment.Parse(c.Body())
	var problems strictyaml.Errors
	if errors.As(err, &problems) {
		failure := apierror.New(fiber.StatusBadRequest, apierror.InvalidDocument, problems.Error())
		failure.Detail = problems
		return writeError(c, failure)
	}
	name := c.Params("name")
	if document.Name != name {
		return writeError(c, apierror.New(fiber.StatusBadRequest, apierror.InvalidDocument, "name: the document's name is not the environment's"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	digest, err := s.config.Store.PutDocument(ctx, c.Body())
	if err != nil {
		return writeError(c, toAPIError(err))
	}
	return s.execute(ctx, c, configuration.Command{Kind: configuration.Try, Target: name, Digest: digest})
}

func (s *Server) promote(c *fiber.Ctx) error {
	return s.replaceVersion(c, configuration.Promote)
}

func (s *Server) withdraw(c *fiber.Ctx) error {
	return s.replaceVersion(c, configuration.Withdraw)
}

func (s *Server) replaceVersion(c *fiber.Ctx, kind configuration.Kind) error {
	var request PromoteRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return writeError(c, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "the body is not valid JSON"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return s.execute(ctx, c, configuration.Command{
		Kind:     kind,
		Target:   c.Params("name"),
		Digest:   request.Digest,
		Replaces: request.Replaces,
	})
}

func (s *Server) setDataCentre(c *fiber.Ctx) error {
	return s.setState(c, configuration.SetDataCentre)
}

func (s *Server) setVM(c *fiber.Ctx) error {
	return s.setState(c, configuration.SetVM)
}

func (s *Server) setState(c *fiber.Ctx, kind configuration.Kind) error {
	var request StateRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return writeError(c, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "the body is not valid JSON"))
	}
	if request.State != "out" && request.State != "in" {
		return writeError(c, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "state must be out or in"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return s.execute(ctx, c, configuration.Command{Kind: kind, Target: c.Params("name"), OutOfService: request.State == "out"})
}

func (s *Server) execute(ctx context.Context, c *fiber.Ctx, command configuration.Command) error {
	command.ID = c.Get(HeaderCommandID)
	if command.ID == "" {
		command.ID = uuid.NewString()
	}
	site, outcome, err := s.config.Store.Execute(ctx, command)
	if err != nil {
		return writeError(c, toAPIError(err))
	}
	s.config.Node.Adopt(ctx, site)
	return c.JSON(outcome)
}

// toAPIError converts errors of the configuration package to API errors.
func toAPIError(err error) *apierror.Error {
	var stale *configuration.StaleVersionError
	switch {
	case errors.As(err, &stale):
		failure := apierror.New(fiber.StatusConflict, apierror.StaleVersion, stale.Error())
		failure.Detail = map[string]uint64{"current_version": stale.Current}
		return failure
	case errors.Is(err, configuration.ErrNotInTrial), errors.Is(err, configuration.ErrCommandReused):
		return apierror.New(fiber.StatusConflict, apierror.StaleVersion, err.Error())
	case errors.Is(err, configuration.ErrUnknownEnvironment):
		return apierror.New(fiber.StatusNotFound, apierror.NotFound, err.Error())
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		failure := apierror.New(fiber.StatusServiceUnavailable, apierror.OutcomeUnknown, "the command may have taken effect: repeat it with the same id")
		failure.Execution = apierror.MayHaveExecuted
		failure.RetryAfter = retryAfter
		return failure
	}
	failure := apierror.New(fiber.StatusServiceUnavailable, apierror.PlatformUnavailable, "the platform is unavailable")
	failure.RetryAfter = retryAfter
	return failure
}

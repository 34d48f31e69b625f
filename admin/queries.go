package admin

import (
	"bytes"
	"context"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/configuration"
)

// EnvironmentReply is the JSON form of an environment with its document.
type EnvironmentReply struct {
	Name string `json:"name"`
	configuration.Environment
	// Document is the YAML in production, or in trial before the first promotion.
	Document string `json:"document,omitempty"`
}

func (s *Server) ready(c *fiber.Ctx) error {
	if !s.config.Node.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) metrics(c *fiber.Ctx) error {
	var text bytes.Buffer
	if err := s.config.Metrics.WritePrometheus(&text); err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(text.Bytes())
}

func (s *Server) status(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return c.JSON(s.config.Node.Status(ctx))
}

func (s *Server) listEnvironments(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	site, err := s.config.Store.Site(ctx)
	if err != nil {
		return writeError(c, toAPIError(err))
	}
	return c.JSON(site.Environments)
}

func (s *Server) showEnvironment(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	site, err := s.config.Store.Site(ctx)
	if err != nil {
		return writeError(c, toAPIError(err))
	}
	state, ok := site.Environments[c.Params("name")]
	if !ok {
		return writeError(c, apierror.New(fiber.StatusNotFound, apierror.NotFound, "unknown environment"))
	}
	reply := EnvironmentReply{Name: c.Params("name"), Environment: state}
	digest := state.ProductionDigest
	if digest == "" {
		digest = state.TrialDigest
	}
	if digest != "" {
		data, err := s.config.Store.Document(ctx, digest)
		if err != nil {
			return writeError(c, toAPIError(err))
		}
		reply.Document = string(data)
	}
	return c.JSON(reply)
}

func (s *Server) environmentHistory(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	outcomes, err := s.config.Store.History(ctx, c.Params("name"))
	if err != nil {
		return writeError(c, toAPIError(err))
	}
	return c.JSON(outcomes)
}

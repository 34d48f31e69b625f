package entry

import (
	"bytes"
	"net/url"
	pathpkg "path"
	"strings"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

// service handles a call to a plain service.
func (s *Server) service(c *fiber.Ctx) error {
	accepted, failure := s.acceptService(c)
	if failure != nil {
		return s.sendError(c, failure)
	}
	if accepted.claim != nil {
		return s.serveKeyed(c, accepted)
	}
	return s.serve(c, accepted)
}

func (s *Server) acceptService(c *fiber.Ctx) (*call, *apierror.Error) {
	caller, failure := s.authenticate(c)
	if failure != nil {
		return nil, failure
	}
	service, ok := caller.Plan.Service(c.Params("name"))
	if !ok {
		return nil, apierror.New(fiber.StatusNotFound, apierror.NotFound, "the service is not known")
	}
	if len(c.Body()) > caller.Plan.Document.Limits.BodyBytes {
		return nil, apierror.New(fiber.StatusRequestEntityTooLarge, apierror.BodyTooLarge, "the body is over the environment's limit")
	}
	key, failure := idempotencyKey(c)
	if failure != nil {
		return nil, failure
	}
	request, failure := newRequest(c, caller, serviceTokens)
	if failure != nil {
		return nil, failure
	}
	request.Service = service.Name
	path := servicePath(c)
	accepted := &call{
		request:   request,
		requestID: requestID(c),
		method:    strings.Clone(c.Method()),
		path:      withQuery(path, c.Request().URI().QueryString()),
		header:    forwardedHeader(c),
		body:      bytes.Clone(c.Body()),
	}
	accepted.idempotent = isSafeMethod(accepted.method) && !hasSideEffect(service, accepted.method, path)
	if key != "" {
		accepted.setIdempotencyKey(key)
	}
	return accepted, nil
}

// servicePath returns the path after "/services/{name}" as the caller encoded it.
func servicePath(c *fiber.Ctx) string {
	const prefixSegments = 4
	segments := strings.SplitN(string(c.Request().URI().PathOriginal()), "/", prefixSegments)
	if len(segments) < prefixSegments {
		return "/"
	}
	return "/" + segments[prefixSegments-1]
}

// hasSideEffect checks the path as received, decoded, and decoded and cleaned, so that
// an encoded or dotted path can't bypass a listed route. A path that can't be decoded
// counts as having side effects.
func hasSideEffect(service *environment.Service, method, path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	return tables.HasSideEffect(service, method, path) ||
		tables.HasSideEffect(service, method, decoded) ||
		tables.HasSideEffect(service, method, pathpkg.Clean(decoded))
}

func withQuery(path string, query []byte) string {
	if len(query) == 0 {
		return path
	}
	return path + "?" + string(query)
}

func isSafeMethod(method string) bool {
	return method == fiber.MethodGet || method == fiber.MethodHead || method == fiber.MethodOptions
}

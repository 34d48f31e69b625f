package entry

import (
	"bytes"
	"strings"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/tables"
)

// hopHeaders are not forwarded: they belong to one connection or to this system.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Host": true,
	"Content-Length": true, "Authorization": true, "X-Attempt-Id": true,
}

const ownHeaderPrefix = "X-Wigeontiller-"

// service forwards a call to a plain service.
func (s *Server) service(c *fiber.Ctx) error {
	accepted, failure := s.acceptService(c)
	if failure != nil {
		return s.fail(c, failure)
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
	request, failure := newRequest(c, caller, serviceTokens)
	if failure != nil {
		return nil, failure
	}
	request.Service = service.Name
	path := "/" + c.Params("*")
	method := strings.Clone(c.Method())
	return &call{
		request:    request,
		callerID:   requestID(c),
		method:     method,
		path:       withQuery(path, c.Request().URI().QueryString()),
		header:     forwardedHeader(c),
		body:       bytes.Clone(c.Body()),
		idempotent: isIdempotent(method) && !tables.HasSideEffect(service, method, path),
	}, nil
}

func withQuery(path string, query []byte) string {
	if len(query) == 0 {
		return strings.Clone(path)
	}
	return path + "?" + string(query)
}

func isIdempotent(method string) bool {
	return method == fiber.MethodGet || method == fiber.MethodHead || method == fiber.MethodOptions
}

func forwardedHeader(c *fiber.Ctx) map[string]string {
	header := map[string]string{}
	for name, value := range c.Request().Header.All() {
		if !hopHeaders[string(name)] && !strings.HasPrefix(string(name), ownHeaderPrefix) {
			header[string(name)] = string(value)
		}
	}
	return header
}

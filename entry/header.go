package entry

import (
	"net/textproto"
	"strings"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/upstream"
)

// unforwardedHeaders are not forwarded: they belong to one connection or to this system.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Host": true,
	"Content-Length": true, "Authorization": true, "X-Kv-Engines": true,
	textproto.CanonicalMIMEHeaderKey(upstream.HeaderAttempt): true,
}

const (
	ownHeaderPrefix = "X-Wigeontiller-"
	headerReplayed  = ownHeaderPrefix + "Replayed"
)

// connectionOptions returns the header names that a Connection header makes
// hop-by-hop, in lower case.
func connectionOptions(value string) map[string]bool {
	names := map[string]bool{}
	for name := range strings.SplitSeq(value, ",") {
		names[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return names
}

func isForwarded(name string, named map[string]bool) bool {
	return !unforwardedHeaders[name] && !strings.HasPrefix(name, ownHeaderPrefix) && !named[strings.ToLower(name)]
}

// forwardedHeader returns what an upstream sees of a caller's header.
func forwardedHeader(c *fiber.Ctx) map[string]string {
	named := connectionOptions(c.Get(fiber.HeaderConnection))
	header := map[string]string{}
	for name, value := range c.Request().Header.All() {
		if isForwarded(string(name), named) {
			header[string(name)] = string(value)
		}
	}
	return header
}

// endToEndFields returns what a caller sees of an upstream's header. Content-Length
// stays, as it is the only word on the size of an answer to HEAD.
func endToEndFields(fields []upstream.Field) []upstream.Field {
	named := map[string]bool{}
	for _, field := range fields {
		if field.Name == fiber.HeaderConnection {
			named = connectionOptions(field.Value)
		}
	}
	var kept []upstream.Field
	for _, field := range fields {
		isLength := field.Name == fiber.HeaderContentLength
		if isLength || field.Name != headerRequestID && isForwarded(field.Name, named) {
			kept = append(kept, field)
		}
	}
	return kept
}

// writeResponse writes a whole answer.
func writeResponse(c *fiber.Ctx, status int, fields []upstream.Field, body []byte) error {
	c.Status(status)
	response := &c.Response().Header
	seen := map[string]bool{}
	for _, field := range fields {
		switch {
		case field.Name == fiber.HeaderContentLength && c.Method() != fiber.MethodHead:
			continue
		case seen[field.Name]:
			response.Add(field.Name, field.Value)
		default:
			response.Set(field.Name, field.Value)
		}
		seen[field.Name] = true
	}
	c.Response().SetBodyRaw(body)
	return nil
}

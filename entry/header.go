package entry

import (
	"net/textproto"
	"strings"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/upstream"
)

// unforwardedHeaders are headers that concern one connection or this system only.
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

// connectionOptions returns the header names that the value of a Connection header
// makes hop-by-hop, in lower case.
func connectionOptions(value string) map[string]bool {
	names := map[string]bool{}
	for name := range strings.SplitSeq(value, ",") {
		names[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return names
}

func isForwarded(name string, hopByHop map[string]bool) bool {
	return !unforwardedHeaders[name] && !strings.HasPrefix(name, ownHeaderPrefix) && !hopByHop[strings.ToLower(name)]
}

// forwardedHeader returns the part of a caller's header that is sent to an upstream.
func forwardedHeader(c *fiber.Ctx) map[string]string {
	hopByHop := connectionOptions(c.Get(fiber.HeaderConnection))
	header := map[string]string{}
	for name, value := range c.Request().Header.All() {
		if isForwarded(string(name), hopByHop) {
			header[string(name)] = string(value)
		}
	}
	return header
}

// endToEndFields returns the part of an upstream's header that is sent to the caller.
// Content-Length is kept, since only it gives the size of the response to HEAD.
func endToEndFields(fields []upstream.Field) []upstream.Field {
	hopByHop := map[string]bool{}
	for _, field := range fields {
		if field.Name == fiber.HeaderConnection {
			hopByHop = connectionOptions(field.Value)
		}
	}
	var kept []upstream.Field
	for _, field := range fields {
		isLength := field.Name == fiber.HeaderContentLength
		if isLength || field.Name != headerRequestID && isForwarded(field.Name, hopByHop) {
			kept = append(kept, field)
		}
	}
	return kept
}

// writeResponse sets the status, the header and the whole body of a response.
func writeResponse(c *fiber.Ctx, status int, fields []upstream.Field, body []byte) error {
	c.Status(status)
	header := &c.Response().Header
	seen := map[string]bool{}
	for _, field := range fields {
		switch {
		case field.Name == fiber.HeaderContentLength && c.Method() != fiber.MethodHead:
			continue
		case seen[field.Name]:
			header.Add(field.Name, field.Value)
		default:
			header.Set(field.Name, field.Value)
		}
		seen[field.Name] = true
	}
	c.Response().SetBodyRaw(body)
	return nil
}

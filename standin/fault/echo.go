package fault

import (
	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/upstream"
)

// EchoAttempt returns the ID of the attempt in the response, so that a late response is told from that of the
// next attempt on its connection.
func EchoAttempt(c *fiber.Ctx) error {
	if id := c.Get(upstream.HeaderAttempt); id != "" {
		c.Set(upstream.HeaderAttempt, id)
	}
	return c.Next()
}

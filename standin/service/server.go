// Package service is a stand-in for a plain service: it counts how often each
// call ran and echoes it.
package service

import (
	"strings"
	"sync"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// PathCounts answers with how often each key ran.
const PathCounts = "/counts"

const headerKey = "Idempotency-Key"

// Execution is the answer to one call.
type Execution struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Runs is how often the key, or without one the path, has run.
	Runs      int    `json:"runs"`
	AttemptID string `json:"attempt_id"`
	Body      string `json:"body"`
}

// Server is one plain service. The mutex guards runs.
type Server struct {
	name  string
	app   *fiber.App
	mutex sync.Mutex
	runs  map[string]int
}

// NewServer returns a service.
func NewServer(name string, control *fault.Control) *Server {
	server := &Server{name: name, runs: map[string]int{}}
	server.app = fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})
	server.app.Get(PathCounts, func(c *fiber.Ctx) error { return c.JSON(server.Runs()) })
	control.Routes(server.app)
	server.app.All("/*", server.execute)
	return server
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	return s.app
}

// Runs returns how often each key or path ran.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		runs[key] = count
	}
	return runs
}

func (s *Server) execute(c *fiber.Ctx) error {
	key := c.Get(headerKey)
	counted := key
	if counted == "" {
		counted = c.Path()
	}
	s.mutex.Lock()
	s.runs[counted]++
	runs := s.runs[counted]
	s.mutex.Unlock()
	return c.JSON(Execution{
		Service:   s.name,
		Path:      strings.Clone(c.OriginalURL()),
		Key:       key,
		Runs:      runs,
		AttemptID: c.Get(upstream.HeaderAttempt),
		Body:      string(c.Body()),
	})
}

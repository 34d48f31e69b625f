// Package service is a stand-in for a plain service. It counts how often each call
// was executed and echoes the call.
package service

import (
	"strings"
	"sync"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// PathCounts is the path at which the execution counts by key are read (GET).
const PathCounts = "/counts"

const headerIdempotencyKey = "Idempotency-Key"

// Execution is the answer to one call.
type Execution struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Runs is how often the key, or without a key the path, was executed.
	Runs      int    `json:"runs"`
	AttemptID string `json:"attempt_id"`
	Body      string `json:"body"`
}

// Server is one plain service. mutex guards runs.
type Server struct {
	name  string
	app   *fiber.App
	mutex sync.Mutex
	runs  map[string]int
}

// NewServer returns a service with the given name and faults.
func NewServer(name string, control *fault.Control) *Server {
	server := &Server{name: name, runs: map[string]int{}}
	server.app = fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true})
	server.app.Use(fault.EchoAttempt)
	server.app.Get(PathCounts, func(c *fiber.Ctx) error { return c.JSON(server.Runs()) })
	control.Routes(server.app)
	server.app.All("/*", server.execute)
	return server
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	return s.app
}

// Runs returns how often each key, or path without a key, was executed.
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
	key := c.Get(headerIdempotencyKey)
	countedKey := key
	if countedKey == "" {
		countedKey = c.Path()
	}
	s.mutex.Lock()
	s.runs[countedKey]++
	runs := s.runs[countedKey]
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

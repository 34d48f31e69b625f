// Package platformserver serves an in-memory platform over the platform's HTTP
// protocol, with injectable faults.
package platformserver

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gofiber/fiber/v2"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

const maxBodyBytes = 64 << 20

// PathCalls is the path at which the call counters are read (GET).
const PathCalls = "/calls"

// Calls counts the calls to the table since the start.
type Calls struct {
	Transactions int `json:"transactions"`
	Reads        int `json:"reads"`
}

// Server serves one platform.
type Server struct {
	platform *memory.Platform
	control  *fault.Control
	app      *fiber.App
}

// NewServer returns a server over a platform.
func NewServer(p *memory.Platform, control *fault.Control) *Server {
	server := &Server{platform: p, control: control}
	server.app = fiber.New(fiber.Config{BodyLimit: maxBodyBytes, DisableStartupMessage: true, Immutable: true})
	server.app.Use(repeatCall)
	control.Routes(server.app)
	server.app.Get(PathCalls, server.calls)
	server.app.Post(httpstorage.PathGet, server.get)
	server.app.Post(httpstorage.PathTransact, server.transact)
	server.app.Get(httpstorage.PathVMs, server.vms)
	server.app.Put(httpstorage.PathVMs, server.setVMs)
	server.app.Get(httpstorage.PathObjects+"*", server.getObject)
	server.app.Put(httpstorage.PathObjects+"*", server.putObject)
	server.app.Delete(httpstorage.PathObjects+"*", server.deleteObject)
	return server
}

// repeatCall marks a response as that to its call.
func repeatCall(c *fiber.Ctx) error {
	if id := c.Get(httpstorage.HeaderCall); id != "" {
		c.Set(httpstorage.HeaderCall, id)
	}
	return c.Next()
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	return s.app
}

func (s *Server) calls(c *fiber.Ctx) error {
	transactions, reads := s.platform.Calls()
	return c.JSON(Calls{Transactions: transactions, Reads: reads})
}

func (s *Server) get(c *fiber.Ctx) error {
	var request httpstorage.GetRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	rows, err := s.platform.BatchGet(context.Background(), request.Keys)
	if err != nil {
		return httpError(err)
	}
	return c.JSON(httpstorage.GetReply{Rows: rows})
}

func (s *Server) transact(c *fiber.Ctx) error {
	var request httpstorage.TransactRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	err := s.platform.Transact(context.Background(), request.Writes)
	if err == nil && s.control.Take(func(k *fault.Knobs) *int { return &k.LoseWrites }) {
		return c.Context().Conn().Close()
	}
	return httpError(err)
}

func (s *Server) vms(c *fiber.Ctx) error {
	vms, err := s.platform.ListVMs(context.Background())
	if err != nil {
		return httpError(err)
	}
	return c.JSON(httpstorage.VMsReply{VMs: vms})
}

func (s *Server) setVMs(c *fiber.Ctx) error {
	var reply httpstorage.VMsReply
	if err := json.Unmarshal(c.Body(), &reply); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	s.platform.SetVMs(reply.VMs)
	return nil
}

func (s *Server) getObject(c *fiber.Ctx) error {
	data, err := s.platform.GetObject(context.Background(), c.Params("*"))
	if err != nil {
		return httpError(err)
	}
	return c.Send(data)
}

func (s *Server) putObject(c *fiber.Ctx) error {
	return httpError(s.platform.PutObject(context.Background(), c.Params("*"), c.Body()))
}

func (s *Server) deleteObject(c *fiber.Ctx) error {
	return httpError(s.platform.DeleteObject(context.Background(), c.Params("*")))
}

func httpError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storage.ErrNotFound):
		return fiber.NewError(fiber.StatusNotFound, err.Error())
	case errors.Is(err, storage.ErrConflict):
		return fiber.NewError(fiber.StatusConflict, err.Error())
	case errors.Is(err, storage.ErrTooLarge):
		return fiber.NewError(fiber.StatusRequestEntityTooLarge, err.Error())
	}
	return fiber.NewError(fiber.StatusInternalServerError, err.Error())
}

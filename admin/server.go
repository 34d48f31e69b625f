// Package admin is the operators' HTTP interface. commands.go changes state and
// queries.go reads it.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/openconn"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	maxBodyBytes   = 8 << 20
	commandTimeout = 5 * time.Second
	readTimeout    = 10 * time.Second
	// HeaderCommandID carries the operator's command id.
	HeaderCommandID = "X-Command-ID"
	bearerPrefix    = "Bearer "
	retryAfter      = time.Second
)

// Node is what the operators' interface asks of the node it runs in.
type Node interface {
	// Ready reports whether the node may receive callers' requests.
	Ready() bool
	// Status returns the node's state.
	Status(ctx context.Context) Status
	// Adopt tells the node of a site that it may not have seen yet.
	Adopt(ctx context.Context, site configuration.Site)
}

// Status is a node's answer to the status query.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// Version is the site version in force at the node.
	Version uint64 `json:"version"`
	// StoreReachable tells whether the last read of the site row succeeded.
	StoreReachable bool `json:"store_reachable"`
	// Waiting and Running count the requests at the node.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// LimitedUpstreams are those that the node doesn't use in full for now.
	LimitedUpstreams []scheduling.LimitedUpstream `json:"limited_upstreams"`
	// Shares tells what the node may use of the upstreams shared with others; it is
	// zero where limits are not shared.
	Shares Shares `json:"shares"`
	// EstimateErrors is the relative error of the first-token estimate by model.
	EstimateErrors map[string]float64 `json:"estimate_errors"`
	// OutDataCentres and OutVMs were taken out by operators.
	OutDataCentres []string `json:"out_data_centres"`
	OutVMs         []string `json:"out_vms"`
	// Environments names the documents in force.
	Environments map[string]configuration.Environment `json:"environments"`
	// Isolated is true while the node hears no other.
	Isolated bool `json:"isolated"`
	// Peers are the other entry nodes that the node knows of.
	Peers []Peer `json:"peers"`
}

// Shares counts the upstreams of the site by what the node may use of them.
type Shares struct {
	// Kept have a share that a keeper granted, Standby one for the time without a
	// keeper; Without have none.
	Kept    int `json:"kept"`
	Standby int `json:"standby"`
	Without int `json:"without"`
}

// PeerUnreachable is the state of a peer whose data centre can't be heard.
const PeerUnreachable = "unreachable"

// Peer is another entry node as seen from here.
type Peer struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// State is alive, suspect, dead, left or unreachable.
	State string `json:"state"`
	// Version is the highest site version that the peer told; 0 when none.
	Version uint64 `json:"version"`
}

// Config holds what the interface works with; every field is required.
type Config struct {
	Store   *configuration.Store
	Node    Node
	Tokens  []string
	Metrics *telemetry.Metrics
}

// Server serves operators.
type Server struct {
	config Config
	tokens [][sha256.Size]byte
	app    *fiber.App
	// operators holds the connections that operators have open.
	operators openconn.Set
}

// NewServer returns a server with its routes.
func NewServer(config Config) *Server {
	server := &Server{config: config}
	for _, token := range config.Tokens {
		server.tokens = append(server.tokens, sha256.Sum256([]byte(token)))
	}
	server.app = fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		ReadTimeout:           readTimeout,
		DisableStartupMessage: true,
		Immutable:             true,
		ErrorHandler:          libraryError,
	})
	server.app.Server().ConnState = server.operators.TrackState
	server.routes()
	return server
}

// Close closes the operators' connections at once. The listener's owner closes
// the listener first.
func (s *Server) Close() {
	s.operators.Close()
}

func (s *Server) routes() {
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", s.metrics)
	v1 := s.app.Group("/admin/v1", s.authorise)
	v1.Put("/environments/:name/trial", s.try)
	v1.Post("/environments/:name/promote", s.promote)
	v1.Post("/environments/:name/withdraw", s.withdraw)
	v1.Get("/environments", s.list)
	v1.Get("/environments/:name/history", s.history)
	v1.Get("/environments/:name", s.show)
	v1.Put("/datacentres/:name", s.setDataCentre)
	v1.Put("/vms/:name", s.setVM)
	v1.Get("/status", s.status)
}

// App returns the HTTP application, for a listener of the caller's choice.
func (s *Server) App() *fiber.App {
	return s.app
}

// authorise compares the token's digest with each listed one in constant time.
func (s *Server) authorise(c *fiber.Ctx) error {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	digest := sha256.Sum256([]byte(token))
	known := 0
	for _, listed := range s.tokens {
		known |= subtle.ConstantTimeCompare(listed[:], digest[:])
	}
	if known != 1 {
		return fail(c, apierror.New(fiber.StatusUnauthorized, apierror.Unauthorized, "an operator's token is required"))
	}
	return c.Next()
}

func libraryError(c *fiber.Ctx, err error) error {
	var library *fiber.Error
	if errors.As(err, &library) {
		return fail(c, apierror.New(library.Code, apierror.BadRequest, library.Message))
	}
	return fail(c, apierror.New(fiber.StatusInternalServerError, apierror.Internal, "internal error"))
}

func fail(c *fiber.Ctx, failure *apierror.Error) error {
	failure.RequestID = c.Get(HeaderCommandID)
	if failure.RequestID == "" {
		failure.RequestID = uuid.NewString()
	}
	return c.Status(failure.Status).JSON(failure)
}

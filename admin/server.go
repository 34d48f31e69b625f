// Package admin serves the operators' HTTP API. commands.go holds the handlers that
// change state, queries.go those that read it.
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
	// HeaderCommandID is the header with the operator's command ID.
	HeaderCommandID = "X-Command-ID"
	bearerPrefix    = "Bearer "
	retryAfter      = time.Second
)

// Node provides what the API needs from the node that it runs in.
type Node interface {
	// Ready reports whether the node may receive callers' requests.
	Ready() bool
	// Status returns the node's status.
	Status(ctx context.Context) Status
	// Adopt passes the node a site that it may not have received yet.
	Adopt(ctx context.Context, site configuration.Site)
}

// Status is the JSON response to the status query.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// Version is the site version in force at the node.
	Version uint64 `json:"version"`
	// StoreReachable is whether the last read of the site row succeeded.
	StoreReachable bool `json:"store_reachable"`
	// Waiting and Running count the requests at the node.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// LimitedUpstreams are those that the node does not use to full capacity at
	// present.
	LimitedUpstreams []scheduling.LimitedUpstream `json:"limited_upstreams"`
	// Shares counts the upstreams by the node's share of them; it is zero if limits
	// are not shared.
	Shares Shares `json:"shares"`
	// EstimateErrors is the relative error of the first-token estimate, by model.
	EstimateErrors map[string]float64 `json:"estimate_errors"`
	// OutDataCentres and OutVMs were taken out of service by operators.
	OutDataCentres []string `json:"out_data_centres"`
	OutVMs         []string `json:"out_vms"`
	// Environments holds the environments in force, by name.
	Environments map[string]configuration.Environment `json:"environments"`
	// Isolated is true while the node receives nothing from other nodes.
	Isolated bool `json:"isolated"`
	// Peers are the other entry nodes that the node knows.
	Peers []Peer `json:"peers"`
}

// Shares counts the upstreams of the site by the node's share of them.
type Shares struct {
	// Granted have a share that an allocator granted, Standby a share for the time
	// without an allocator; Without have no share.
	Granted int `json:"kept"`
	Standby int `json:"standby"`
	Without int `json:"without"`
}

// PeerUnreachable is the state of a peer whose data centre is unreachable.
const PeerUnreachable = "unreachable"

// Peer is another entry node as this node sees it.
type Peer struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// State is alive, suspect, dead, left or unreachable.
	State string `json:"state"`
	// Version is the highest site version that the peer reported; 0 for none.
	Version uint64 `json:"version"`
}

// Config holds the server's dependencies; every field is required.
type Config struct {
	Store   *configuration.Store
	Node    Node
	Tokens  []string
	Metrics *telemetry.Metrics
}

// Server serves the operators' HTTP API.
type Server struct {
	config       Config
	tokenDigests [][sha256.Size]byte
	app          *fiber.App
	// connections holds the open connections of operators.
	connections openconn.Set
}

// NewServer returns a server with its routes.
func NewServer(config Config) *Server {
	server := &Server{config: config}
	for _, token := range config.Tokens {
		server.tokenDigests = append(server.tokenDigests, sha256.Sum256([]byte(token)))
	}
	server.app = fiber.New(fiber.Config{
		BodyLimit:             maxBodyBytes,
		ReadTimeout:           readTimeout,
		DisableStartupMessage: true,
		Immutable:             true,
		ErrorHandler:          handleFrameworkError,
	})
	server.app.Server().ConnState = server.connections.TrackState
	server.routes()
	return server
}

// Close closes the operators' connections immediately. The listener's owner closes
// the listener first.
func (s *Server) Close() {
	s.connections.Close()
}

func (s *Server) routes() {
	s.app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", s.metrics)
	v1 := s.app.Group("/admin/v1", s.authorise)
	v1.Put("/environments/:name/trial", s.startTrial)
	v1.Post("/environments/:name/promote", s.promote)
	v1.Post("/environments/:name/withdraw", s.withdraw)
	v1.Get("/environments", s.listEnvironments)
	v1.Get("/environments/:name/history", s.environmentHistory)
	v1.Get("/environments/:name", s.showEnvironment)
	v1.Put("/datacentres/:name", s.setDataCentre)
	v1.Put("/vms/:name", s.setVM)
	v1.Get("/status", s.status)
}

// App returns the HTTP application, to be served on a listener.
func (s *Server) App() *fiber.App {
	return s.app
}

// authorise compares the token's digest with each configured one in constant time.
func (s *Server) authorise(c *fiber.Ctx) error {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	digest := sha256.Sum256([]byte(token))
	matched := 0
	for _, configured := range s.tokenDigests {
		matched |= subtle.ConstantTimeCompare(configured[:], digest[:])
	}
	if matched != 1 {
		return writeError(c, apierror.New(fiber.StatusUnauthorized, apierror.Unauthorized, "an operator's token is required"))
	}
	return c.Next()
}

func handleFrameworkError(c *fiber.Ctx, err error) error {
	var frameworkError *fiber.Error
	if errors.As(err, &frameworkError) {
		return writeError(c, apierror.New(frameworkError.Code, apierror.BadRequest, frameworkError.Message))
	}
	return writeError(c, apierror.New(fiber.StatusInternalServerError, apierror.Internal, "internal error"))
}

func writeError(c *fiber.Ctx, failure *apierror.Error) error {
	failure.RequestID = c.Get(HeaderCommandID)
	if failure.RequestID == "" {
		failure.RequestID = uuid.NewString()
	}
	return c.Status(failure.Status).JSON(failure)
}

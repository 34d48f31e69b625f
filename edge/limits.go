package edge

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/connguard"
	"github.com/wigeontiller/wigeontiller/memorybudget"
	"github.com/wigeontiller/wigeontiller/platform"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// defaultDescriptors are the descriptors of the smallest machines, of which reservedDescriptors are for files.
	defaultDescriptors  = 4100
	reservedDescriptors = 200
	// minDescriptors is the least that a node runs with.
	minDescriptors = 512
	// callerMemoryShare is the part of the budget that callers' connections may take, as a divisor.
	callerMemoryShare = 3
	// callerDescriptorShare is the same for descriptors: the others are for upstreams, nodes and the store.
	callerDescriptorShare = 2
	// peerShare is the number of nodes' connections, as a part of the callers', and maxOtherConnections that of the
	// readiness and of the metrics port.
	peerShare           = 4
	maxOtherConnections = 64
	// maxOtherHeaderBytes bounds the head of a request at these two ports, and otherTimeout the time of one request.
	maxOtherHeaderBytes = 4 << 10
	otherTimeout        = 10 * time.Second
)

func (s *Settings) machineBytes() int64 {
	if s.MemoryMB == 0 {
		return memorybudget.DefaultMachineBytes
	}
	return s.MemoryMB << 20
}

// LimitMemory sets the runtime's soft limit by the memory of the machine, for the whole process.
func (s *Settings) LimitMemory() {
	softLimit, _ := memorybudget.ForMachine(s.machineBytes())
	debug.SetMemoryLimit(softLimit)
}

func (s *Settings) newBudget() *memorybudget.Budget {
	_, limit := memorybudget.ForMachine(s.machineBytes())
	return memorybudget.New(limit)
}

// maxCallerConnections is the number of callers' connections for which there is room.
func (s *Settings) maxCallerConnections() int {
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	_, limit := memorybudget.ForMachine(s.machineBytes())
	return min(int(limit/callerMemoryShare/memorybudget.ConnectionBytes), (descriptors-reservedDescriptors)/callerDescriptorShare)
}

func newGuard(budget *memorybudget.Budget, logger zerolog.Logger, metrics *telemetry.Metrics) *connguard.Guard {
	return connguard.New(budget, callerIdleTimeout, func(reason, port string) {
		metrics.Count("wigeontiller_connections_ended_total{port=\""+port+"\",reason=\""+reason+"\"}", 1)
		logger.Debug().Str("port", port).Str("reason", reason).Msg("connection ended for lack of room")
	})
}

// newServer returns a server behind the guard.
func (n *Node) newServer(handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: handler, ConnState: n.guard.TrackState, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: newServerLogger(n.logger), DisableGeneralOptionsHandler: true,
		ConnContext: platform.ConnContext,
	}
}

// newSmallServer returns a server whose requests have no body and a short answer.
func (n *Node) newSmallServer(handler http.Handler) *http.Server {
	server := n.newServer(connguard.WithoutBodies(handler), maxOtherHeaderBytes)
	server.ReadTimeout, server.WriteTimeout = otherTimeout, otherTimeout
	return server
}

// recordMemory sets the gauges of what is held.
func (n *Node) recordMemory() {
	state := n.budget.State()
	for kind, bytes := range state.ByKind {
		n.metrics.Gauge("wigeontiller_held_bytes{kind=\""+kind+"\"}", bytes)
		n.metrics.Gauge("wigeontiller_memory_refusals{kind=\""+kind+"\"}", state.Refusals[kind])
	}
	n.metrics.Gauge("wigeontiller_held_bytes_peak", state.Peak)
	n.metrics.Gauge("wigeontiller_held_bytes_limit", state.Limit)
	for port, open := range n.guard.Open() {
		n.metrics.Gauge("wigeontiller_open_connections{port=\""+port+"\"}", int64(open))
	}
}

// setIdleTime tells the guard after which time callers don't use an idle connection again.
func (n *Node) setIdleTime() {
	configuration := n.follower.Current().Configuration
	if configuration != nil && configuration.IdleTimeout > 0 {
		n.guard.SetIdleTime(min(configuration.IdleTimeout, callerIdleTimeout))
	}
}

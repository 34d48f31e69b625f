// Package reportrpc carries load reports between entry nodes.
package reportrpc

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/observe"
	"github.com/wigeontiller/wigeontiller/tables"
)

// ErrNotDelivered is returned when a peer did not confirm the reports.
var ErrNotDelivered = eris.New("load reports not confirmed by peer")

// Node provides what the service needs from its node.
type Node interface {
	// Tables returns the tables in force, or nil.
	Tables() *tables.Tables
	// Observe receives a report that another node fetched.
	Observe(o observe.Observation)
	// Process identifies the node's process; it changes with each start.
	Process() string
	// HeldStreams returns the IDs of all attempts that have not ended.
	HeldStreams() []string
}

// Service receives the load reports that other nodes publish.
type Service struct{ node Node }

// NewService returns a service for a node.
func NewService(node Node) *Service {
	return &Service{node: node}
}

// Register adds the service to a peer server.
func (s *Service) Register(mux drpc.Mux) error {
	return DRPCRegisterReports(mux, s)
}

// Tell receives reports and returns which of the queried streams are not held.
func (s *Service) Tell(_ context.Context, request *TellRequest) (*TellResponse, error) {
	observations := decode(time.Now(), request, observe.Targets(s.node.Tables()))
	for _, observation := range observations {
		s.node.Observe(observation)
	}
	return &TellResponse{
		Process:  s.node.Process(),
		Unheld:   s.notHeld(request.Asked),
		Complete: len(observations) == len(request.Reports),
	}, nil
}

func (s *Service) notHeld(queried []uint64) []uint64 {
	if len(queried) == 0 {
		return nil
	}
	held := map[uint64]bool{}
	for _, id := range s.node.HeldStreams() {
		held[xxhash.Sum64String(id)] = true
	}
	return slices.DeleteFunc(slices.Clone(queried), func(one uint64) bool { return held[one] })
}

// Publisher sends load reports to other nodes.
type Publisher struct {
	dial func(ctx context.Context, address netip.AddrPort) drpc.Conn
}

// NewPublisher returns a publisher whose connections come from dial.
func NewPublisher(dial func(ctx context.Context, address netip.AddrPort) drpc.Conn) *Publisher {
	return &Publisher{dial: dial}
}

// Publish implements observe.Publisher. Error: ErrNotDelivered.
func (p *Publisher) Publish(ctx context.Context, to observe.Peer, observations []observe.Observation, queriedStreams []string) (observe.Response, error) {
	request := encode(time.Now(), observations)
	names := map[uint64]string{}
	for _, id := range queriedStreams {
		names[xxhash.Sum64String(id)] = id
		request.Asked = append(request.Asked, xxhash.Sum64String(id))
	}
	conn := p.dial(ctx, to.Address)
	defer func() { _ = conn.Close() }()
	response, err := NewDRPCReportsClient(conn).Tell(ctx, request)
	if err != nil {
		return observe.Response{}, eris.Wrap(ErrNotDelivered, err.Error())
	}
	result := observe.Response{Process: response.Process, Complete: response.Complete}
	for _, one := range response.Unheld {
		if id, known := names[one]; known {
			result.NotHeld = append(result.NotHeld, id)
		}
	}
	return result, nil
}

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

// ErrNotTold is returned when a peer has not answered.
var ErrNotTold = eris.New("peer not told")

// Node is what the service needs of its node.
type Node interface {
	// Tables returns the tables in force, or nil.
	Tables() *tables.Tables
	// Observe takes in what another node read.
	Observe(o observe.Observation)
	// Process tells the node's starts apart.
	Process() string
	// HeldStreams returns the IDs of all attempts that have not ended.
	HeldStreams() []string
}

// Service takes in what other nodes read.
type Service struct{ node Node }

// NewService returns a service over a node.
func NewService(node Node) *Service {
	return &Service{node: node}
}

// Register adds the service to a peer server.
func (s *Service) Register(mux drpc.Mux) error {
	return DRPCRegisterReports(mux, s)
}

// Tell implements the service.
func (s *Service) Tell(_ context.Context, request *TellRequest) (*TellResponse, error) {
	observations := decode(time.Now(), request, observe.Targets(s.node.Tables()))
	for _, one := range observations {
		s.node.Observe(one)
	}
	return &TellResponse{
		Process:  s.node.Process(),
		Unheld:   s.unheld(request.Asked),
		Complete: len(observations) == len(request.Reports),
	}, nil
}

func (s *Service) unheld(asked []uint64) []uint64 {
	if len(asked) == 0 {
		return nil
	}
	held := map[uint64]bool{}
	for _, id := range s.node.HeldStreams() {
		held[xxhash.Sum64String(id)] = true
	}
	return slices.DeleteFunc(slices.Clone(asked), func(one uint64) bool { return held[one] })
}

// Teller tells other nodes.
type Teller struct {
	dial func(ctx context.Context, address netip.AddrPort) drpc.Conn
}

// NewTeller returns a teller whose connections come from dial.
func NewTeller(dial func(ctx context.Context, address netip.AddrPort) drpc.Conn) *Teller {
	return &Teller{dial: dial}
}

// Tell implements observe.Teller. Error: ErrNotTold.
func (t *Teller) Tell(ctx context.Context, to observe.Peer, observations []observe.Observation, asked []string) (observe.Answer, error) {
	request := encode(time.Now(), observations)
	names := map[uint64]string{}
	for _, id := range asked {
		names[xxhash.Sum64String(id)] = id
		request.Asked = append(request.Asked, xxhash.Sum64String(id))
	}
	conn := t.dial(ctx, to.Address)
	defer func() { _ = conn.Close() }()
	response, err := NewDRPCReportsClient(conn).Tell(ctx, request)
	if err != nil {
		return observe.Answer{}, eris.Wrap(ErrNotTold, err.Error())
	}
	answer := observe.Answer{Process: response.Process, Complete: response.Complete}
	for _, one := range response.Unheld {
		if id, known := names[one]; known {
			answer.Unheld = append(answer.Unheld, id)
		}
	}
	return answer, nil
}

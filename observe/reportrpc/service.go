// Package reportrpc carries load reports between entry nodes.
package reportrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/observe"
	"github.com/wigeontiller/wigeontiller/tables"
)

// ErrNotTold is returned when a peer has not acknowledged.
var ErrNotTold = eris.New("peer not told")

// Service takes in what other nodes read.
type Service struct {
	tables func() *tables.Tables
	take   func(observe.Observation)
}

// NewService returns a service that hands each observation to take.
func NewService(current func() *tables.Tables, take func(observe.Observation)) *Service {
	return &Service{tables: current, take: take}
}

// Register adds the service to a peer server.
func (s *Service) Register(mux drpc.Mux) error {
	return DRPCRegisterReports(mux, s)
}

// Tell implements the service.
func (s *Service) Tell(_ context.Context, request *TellRequest) (*TellResponse, error) {
	built := s.tables()
	if built == nil {
		return nil, eris.Wrap(ErrNotTold, "no site in force")
	}
	observations := decode(time.Now(), request, observe.Targets(built))
	for _, one := range observations {
		s.take(one)
	}
	if len(observations) < len(request.Reports) {
		return nil, eris.Wrap(ErrNotTold, "an engine is not in the tables")
	}
	return &TellResponse{}, nil
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
func (t *Teller) Tell(ctx context.Context, to observe.Peer, observations []observe.Observation) error {
	conn := t.dial(ctx, to.Address)
	defer func() { _ = conn.Close() }()
	_, err := NewDRPCReportsClient(conn).Tell(ctx, encode(time.Now(), observations))
	if err != nil {
		return eris.Wrap(ErrNotTold, err.Error())
	}
	return nil
}

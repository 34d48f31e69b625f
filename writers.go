package wigeontiller

import (
	"context"
	"net/netip"

	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/membership"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/writerpc"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// writerRole falls to the node that groups the claims' writes of a data centre.
const writerRole = "claim-writer"

// newWriter returns the node's part in writing claims and registers its service.
func newWriter(c *cluster, table storage.Table, metrics *telemetry.Metrics, logger zerolog.Logger) (*writerpc.Node, error) {
	writer := writerpc.New(writerpc.Config{
		Table:   table,
		Members: writerMembers{c},
		Dial:    func(ctx context.Context, to netip.AddrPort) drpc.Conn { return c.pool.Conn(ctx, to) },
		Metrics: metrics,
		Logger:  logger,
	})
	return writer, c.server.Register(writer.Register)
}

// writerMembers lets the writer see the nodes of its data centre.
type writerMembers struct {
	cluster *cluster
}

// Writer implements writerpc.Members.
func (m writerMembers) Writer(avoid func(name string) bool) writerpc.Peer {
	self := m.cluster.settings.Name
	if m.cluster.agent == nil {
		return writerpc.Peer{Name: self, Self: true}
	}
	var candidates []membership.Member
	for _, member := range m.cluster.agent.Live(membership.DataCentreScope) {
		if member.Name == self || !avoid(member.Name) {
			candidates = append(candidates, member)
		}
	}
	owner, ok := membership.Owner(writerRole, candidates)
	if !ok || owner.Name == self {
		return writerpc.Peer{Name: self, Self: true}
	}
	return writerpc.Peer{Name: owner.Name, Address: owner.Address}
}

// fleetSize is the most nodes and data centres ever known. A node that is cut
// off, or that has just started, must not take the others' part.
type fleetSize struct {
	nodes, dataCentres int
}

// configuredFleet is what the settings say. It reports false when they don't bound
// the number of nodes.
func configuredFleet(s *settings.Settings) (fleetSize, bool) {
	if s.EntryNodes == nil {
		return fleetSize{nodes: len(s.Seeds)}, false
	}
	fleet := fleetSize{}
	for _, region := range s.EntryNodes {
		fleet.dataCentres += len(region)
		for _, nodes := range region {
			fleet.nodes += nodes
		}
	}
	return fleet, true
}

// grow takes in what membership knows and the platform's list of VMs says.
func (f *fleetSize) grow(c *cluster) {
	dataCentres := map[string]bool{c.settings.DataCentre: true}
	peers := c.agent.Peers()
	for _, member := range peers {
		dataCentres[member.DataCentre] = true
	}
	listed := c.listed.Load()
	if listed == nil {
		listed = &fleetSize{}
	}
	f.nodes = max(f.nodes, len(peers)+1, listed.nodes)
	f.dataCentres = max(f.dataCentres, len(dataCentres), listed.dataCentres)
}

// listedFleet counts the entry nodes of the platform's list.
func listedFleet(vms []storage.VM) *fleetSize {
	listed := &fleetSize{}
	dataCentres := map[string]bool{}
	for _, vm := range vms {
		if vm.PeerAddress == "" {
			continue
		}
		listed.nodes++
		dataCentres[vm.DataCentre] = true
	}
	listed.dataCentres = len(dataCentres)
	return listed
}

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

// writerRole is the role of the node that groups the writes of claims in a data
// centre.
const writerRole = "claim-writer"

// newWriter returns the client and server of grouped claim writes and registers its
// service.
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

// writerMembers implements writerpc.Members.
type writerMembers struct {
	cluster *cluster
}

// Writer returns the node in the data centre that has writerRole, leaving out nodes
// to avoid. It returns this node if no other is eligible.
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

// fleetSize holds the largest numbers of nodes and data centres ever known. A node
// that is cut off, or that has just started, must not use the other nodes' part.
type fleetSize struct {
	nodes, dataCentres int
}

// configuredFleet returns the fleet size from the settings, and false when they don't
// limit the number of nodes.
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

// grow raises the sizes to those of membership and of the platform's list of VMs.
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

// listedFleet counts the entry nodes in the platform's list of VMs.
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

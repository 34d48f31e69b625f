package wigeontiller

import (
	"context"
	"net/netip"

	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/membership"
)

// liveNodes implements nodeDirectory.
func (c *cluster) liveNodes() []liveNode {
	var nodes []liveNode
	for _, member := range c.agent.Live(membership.ClusterScope) {
		nodes = append(nodes, liveNode{
			name:       member.Name,
			dataCentre: member.DataCentre,
			region:     member.Region,
			address:    member.Address,
		})
	}
	return nodes
}

// dial implements nodeDirectory.
func (c *cluster) dial(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.pool.Conn(ctx, address)
}

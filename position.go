package wigeontiller

import (
	"context"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/membership"
)

// positionInterval is how often a node updates its position among the live nodes of
// its data centre.
const positionInterval = time.Second

// updatePosition sets the node's position, from which the scheduler derives which
// engines this node prefers.
func (n *Node) updatePosition(context.Context) {
	live := n.cluster.agent.Live(membership.DataCentreScope)
	position := slices.IndexFunc(live, func(m membership.Member) bool { return m.Name == n.settings.Name })
	if position >= 0 {
		n.dispatcher.SetPosition(position, len(live))
	}
}

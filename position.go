package wigeontiller

import (
	"context"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/membership"
)

// positionInterval is how often a node looks at its position among the nodes
// of its data centre.
const positionInterval = time.Second

// takePosition tells the scheduler which engines this node prefers.
func (n *Node) takePosition(context.Context) {
	live := n.cluster.agent.Live(membership.DataCentreScope)
	position := slices.IndexFunc(live, func(m membership.Member) bool { return m.Name == n.settings.Name })
	if position >= 0 {
		n.dispatcher.SetPosition(position, len(live))
	}
}

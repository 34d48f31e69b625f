package orphan

import "strings"

// separator stands between a node's name and its process.
const separator = "/"

// Owner is the process of an entry node that a stream runs for.
type Owner struct {
	// Node is the node's name; Process tells its starts apart.
	Node, Process string
}

// String returns the owner as engines are told it.
func (o Owner) String() string {
	return o.Node + separator + o.Process
}

// ParseOwner reads what an engine tells; what isn't an owner is zero.
func ParseOwner(text string) Owner {
	node, process, ok := strings.Cut(text, separator)
	if !ok || node == "" || process == "" {
		return Owner{}
	}
	return Owner{Node: node, Process: process}
}

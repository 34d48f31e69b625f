package orphan

import "strings"

// separator separates the node's name from the process.
const separator = "/"

// Owner identifies the entry node process that a stream belongs to.
type Owner struct {
	// Node is the node's name; Process identifies one of its incarnations.
	Node, Process string
}

// String returns the owner in the form that is sent to engines.
func (o Owner) String() string {
	return o.Node + separator + o.Process
}

// ParseOwner parses an owner that an engine reports. It returns the zero Owner for
// any other text.
func ParseOwner(text string) Owner {
	node, process, ok := strings.Cut(text, separator)
	if !ok || node == "" || process == "" {
		return Owner{}
	}
	return Owner{Node: node, Process: process}
}

package budget

import "time"

// Report is what a node tells one keeper.
type Report struct {
	// Node names the sender; it is unique to the process, so that a restarted
	// node has another name.
	Node string
	// Sequence grows with each report of the node, to whatever keeper.
	Sequence uint64
	// Keeper is the keeper's process, whose answer Echo is of; it is empty before
	// the first answer.
	Keeper string
	// Echo is the Clock of the keeper's latest answer.
	Echo time.Duration
	// Usages holds the resources that this keeper is believed to keep.
	Usages []Usage
}

// Usage is what a node holds and wants of one resource.
type Usage struct {
	Resource string
	// Running is held by work that has not ended.
	Running Amount
	// Waiting is wanted by work that could start at once.
	Waiting Amount
	// Unchanged is true when the node applied this keeper's latest grant of the
	// resource. Held, Fallback, Standby and Start are then as in it and left out
	// here.
	Unchanged bool
	// Held is the unexpired share.
	Held Amount
	// Fallback is the unexpired fallback share.
	Fallback Amount
	// Standby is the unexpired standby share, whether or not its time has come.
	Standby Amount
	// Next is what the first piece of waiting work needs; a share of less than
	// Running plus Next starts nothing.
	Next Amount
	// Idle is true when the node expects no work for the resource.
	Idle bool
	// Start is the latest start of the resource that the node knows of.
	Start Start
}

// Answer is a keeper's reply to one report.
type Answer struct {
	// Sequence is that of the report.
	Sequence uint64
	// Keeper names the keeper's process.
	Keeper string
	// Clock is the keeper's time since its start.
	Clock  time.Duration
	Grants []Grant
}

// Grant is a node's share of one resource.
type Grant struct {
	Resource string
	// SameShare is true when Share, and SameAside when Fallback and Standby are those
	// of the grant that the node's usage said to be applied. They are then left out.
	SameShare, SameAside bool
	// Share may be used until Lifetime after the report was sent.
	Share    Amount
	Lifetime time.Duration
	// Fallback may be used when Share has expired.
	Fallback Amount
	// Standby may be used besides Fallback from StandbyIn after the answer came,
	// unless the resource is in a start.
	Standby   Amount
	StandbyIn time.Duration
	// Start is left out when the node has it from this keeper's latest grant.
	Start Start
}

// Start is one start of a resource, for its ramp.
type Start struct {
	// Number grows with each start; it is 0 for an unknown one.
	Number uint64
	// Age is the time since.
	Age time.Duration
}

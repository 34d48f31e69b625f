package budget

import "time"

// Report is what a node sends to one allocator.
type Report struct {
	// Node names the sender. It is unique to the process, so a restarted node
	// has another name.
	Node string
	// Sequence grows with each report of the node, to whichever allocator.
	Sequence uint64
	// Allocator is the allocator's process whose answer Echo comes from; it is
	// empty before the first answer.
	Allocator string
	// Echo is the Clock of the allocator's latest answer.
	Echo time.Duration
	// Usages holds the resources that the sender assigns to this allocator.
	Usages []Usage
}

// Usage is what a node holds and wants of one resource.
type Usage struct {
	Resource string
	// Running is held by requests that have not ended.
	Running Amount
	// Waiting is wanted by requests that could start at once.
	Waiting Amount
	// Unchanged is true when the node has applied this allocator's latest grant
	// of the resource. Held, Fallback, Standby and Start then equal the grant's
	// and are left out here.
	Unchanged bool
	// Held is the unexpired share.
	Held Amount
	// Fallback is the unexpired fallback share.
	Fallback Amount
	// Standby is the unexpired standby share, whether or not it may be used
	// yet.
	Standby Amount
	// Next is what the first waiting request needs; a share of less than
	// Running plus Next starts nothing.
	Next Amount
	// Idle is true when the node expects no requests for the resource.
	Idle bool
	// Start is the latest start of the resource that the node knows of.
	Start Start
}

// Answer is an allocator's reply to one report.
type Answer struct {
	// Sequence is that of the report.
	Sequence uint64
	// Allocator names the allocator's process.
	Allocator string
	// Clock is the time since the allocator's start.
	Clock  time.Duration
	Grants []Grant
}

// Grant is a node's share of one resource.
type Grant struct {
	Resource string
	// SameShare is true when Share equals that of the grant that the node's
	// usage reported as applied; SameReserve is true when Fallback and Standby
	// do. Equal fields are left out.
	SameShare, SameReserve bool
	// Share may be used until Lifetime after the report was sent.
	Share    Amount
	Lifetime time.Duration
	// Fallback may be used after Share has expired.
	Fallback Amount
	// Standby may be used in addition to Fallback from StandbyIn after the
	// answer arrived, unless the resource is in its ramp.
	Standby   Amount
	StandbyIn time.Duration
	// Start is left out when the node has it from this allocator's latest
	// grant.
	Start Start
}

// Start identifies one start of a resource, from which its ramp runs.
type Start struct {
	// Number grows with each start; it is 0 for an unknown one.
	Number uint64
	// Age is the time since the start.
	Age time.Duration
}

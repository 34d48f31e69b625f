// Package policy holds the ways of routing that a measurement compares: the
// product's scheduler and two baselines, each with the same interface. One
// Policy serves one entry node.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// Report is one upstream's lagging report of its load.
type Report struct {
	UpstreamID string
	// Running and KVTokens are the load when the report was made.
	Running, KVTokens int
	// Incarnation grows when the upstream's process restarts.
	Incarnation uint64
	// Made is when the report was made.
	Made time.Time
}

// Policy decides for one entry node.
type Policy interface {
	// Configure replaces the tables.
	Configure(now time.Time, built *tables.Tables)
	// Submit decides on a new request or a new attempt.
	Submit(now time.Time, request *scheduling.Request) scheduling.Decision
	// Advance returns the decisions on waiting requests.
	Advance(now time.Time) []scheduling.Decision
	// Cancel removes a waiting request.
	Cancel(now time.Time, id string)
	// FirstToken tells that a placed request's first token has come.
	FirstToken(now time.Time, id string)
	// Finish frees what a placed request held.
	Finish(now time.Time, id string, outcome scheduling.Outcome)
	// MayRetry reports whether a failed attempt may be followed by another.
	MayRetry(now time.Time, request *scheduling.Request) bool
	// Requeue reports whether, and after which pause, a request that a full
	// upstream refused is submitted again without counting as a retry.
	Requeue(now time.Time, request *scheduling.Request) (time.Duration, bool)
	// Check returns an error when the policy's books don't add up.
	Check() error
	// SetPosition tells the node's position among those of its data centre.
	SetPosition(position, nodes int)
	// Observe takes a report.
	Observe(now time.Time, report Report)
	// Pending reports whether Advance has decisions to return already.
	Pending() bool
	// Waiting and Running count the requests held.
	Waiting() int
	Running() int
}

// Name names a policy.
type Name string

// The policies.
const (
	Product     Name = "product"
	RoundRobin  Name = "round-robin"
	LeastLoaded Name = "least-loaded"
)

// maxFirstTurn bounds where a node begins its rotation, so that the nodes do
// not go round together.
const maxFirstTurn = 1 << 16

// Names lists the policies, the product first.
func Names() []Name {
	return []Name{Product, RoundRobin, LeastLoaded}
}

// New returns a policy for an entry node in a data centre.
func New(name Name, dataCentre string, random *rand.Rand) Policy {
	switch name {
	case RoundRobin:
		return &baseline{choose: (&rotation{turn: random.IntN(maxFirstTurn)}).next}
	case LeastLoaded:
		reported := &reportedLoad{running: map[string]int{}, random: random}
		return &baseline{choose: reported.least, observe: reported.take}
	default:
		return newProduct(dataCentre, random)
	}
}

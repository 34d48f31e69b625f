package soak

import (
	"fmt"
	"time"
)

// All times of a record are from the start of the load.

// Ending says how a request ended for its caller.
type Ending string

// The endings of a request.
const (
	// Answered has the whole answer.
	Answered Ending = "answered"
	// Refused has an error in place of an answer.
	Refused Ending = "refused"
	// ErrorEvent is a stream that an error event ended.
	ErrorEvent Ending = "error event"
	// Left is a request whose caller left.
	Left Ending = "caller left"
	// Cut has neither an end nor an error: the connection broke.
	Cut Ending = "cut"
	// Unreached never got a connection.
	Unreached Ending = "not reached"
)

// Send is one request as its caller saw it.
type Send struct {
	Arrival *Arrival
	// ID is the request id; Node is the process that it was sent to.
	ID   string
	Node string
	// Start and End bound it; FirstToken is 0 when there was none.
	Start, End, FirstToken time.Duration
	// Allowed is the time until its deadline.
	Allowed time.Duration
	Status  int
	// Code and Execution are of the error, if there was one.
	Code, Execution string
	// Tokens is how many tokens of the own answer arrived, in order.
	Tokens int
	Ending Ending
	// Foreign is what arrived and was not of the own answer.
	Foreign string
	// Malformed is what made a whole answer no whole one.
	Malformed string
	// Resumed is true for a stream that goes on at another node after a cut.
	Resumed bool
	// resume is what a caller needs to go on with a stream.
	resume resumption
}

// resumption is what a caller keeps of a stream that may be cut.
type resumption struct{ requestID, token, lastEvent string }

// String names the request for a trace.
func (s *Send) String() string {
	return fmt.Sprintf("request %s (arrival %d, %s) at %s from %v to %v: %s, status %d, code %q, execution %q, %d tokens",
		s.ID, s.Arrival.Serial, s.Arrival.Kind, s.Node, s.Start, s.End, s.Ending, s.Status, s.Code, s.Execution, s.Tokens)
}

// SeenKind says what a stand-in saw.
type SeenKind string

// What counts as new work at a stand-in.
const (
	// SeenCompletion is a completion at an engine.
	SeenCompletion SeenKind = "completion"
	// SeenReservation is memory that a group takes at an engine.
	SeenReservation SeenKind = "reservation"
	// SeenCall is a call of a service.
	SeenCall SeenKind = "call"
)

// Seen is one call that arrived at a stand-in.
type Seen struct {
	At   time.Duration
	Kind SeenKind
	// Upstream, VM and DataCentre are where it arrived.
	Upstream, VM, DataCentre string
	// Name is the mark of a completion's prompt or the name of a call's runs.
	Name string
	// Ran is true when the stand-in ran it.
	Ran bool
}

// NodeLife is one process of an entry node.
type NodeLife struct {
	// Name is the VM's name and a number that is new with each process.
	Name string
	// Ready is when it was ready; Leaving when its shutdown began, Closed when
	// it was closed and Gone when either had ended. 0 is never.
	Ready, Leaving, Closed, Gone time.Duration
	// Problem is what went wrong with its start or end.
	Problem string
}

// alive reports whether it was ready and not yet ending all the time.
func (l *NodeLife) alive(from, until time.Duration) bool {
	end := l.end()
	return l.Ready > 0 && l.Ready <= from && (end == 0 || end >= until)
}

// end is when it began to end, or 0.
func (l *NodeLife) end() time.Duration {
	if l.Closed > 0 {
		return l.Closed
	}
	return l.Leaving
}

// VersionSample is the version that a node had in force.
type VersionSample struct {
	Node    string
	At      time.Duration
	Version uint64
}

// Accepted is a command that a node accepted; At is when the answer was there.
type Accepted struct {
	Version uint64
	At      time.Duration
}

// Promotion is an answer to a promotion.
type Promotion struct {
	Operator string
	// Replaces is the version that it named; Version is what it made.
	Replaces, Version uint64
	Accepted          bool
}

// OutWindow is the time for which an upstream must receive no new work: From is
// when the command that took it out was accepted, Until when the one that
// brought it back was sent.
type OutWindow struct {
	// Upstream, VM or DataCentre names what was out; the others are empty.
	Upstream, VM, DataCentre string
	From, Until              time.Duration
}

// holds reports whether a call arrived at what was out.
func (w *OutWindow) holds(seen *Seen) bool {
	return w.Upstream == seen.Upstream || w.VM == seen.VM || w.DataCentre == seen.DataCentre
}

// EngineRest is what an engine held after the load.
type EngineRest struct {
	Engine   string
	KVTokens int
	Streams  int
}

// NodeRest is what a node held after the load.
type NodeRest struct {
	Node             string
	Waiting, Running int
}

// CounterRead is a node's own count of breaches, read before its end.
type CounterRead struct {
	Node   string
	Broken float64
}

// FaultOutcome is a fault and what came of it.
type FaultOutcome struct {
	Fault
	// Began and Ended are 0 for a fault that was not shown.
	Began   time.Duration `json:"began_ns"`
	Ended   time.Duration `json:"ended_ns"`
	Outcome string        `json:"outcome"`
}

// Record is everything that a run's checks look at.
type Record struct {
	Plan  *Plan
	Sends []*Send
	Seen  []Seen
	// Runs is how often the services ran each call, by its name.
	Runs       map[string]int
	Nodes      []*NodeLife
	Versions   []VersionSample
	Accepted   []Accepted
	Promotions []Promotion
	Outs       []OutWindow
	Engines    []EngineRest
	Rests      []NodeRest
	Counters   []CounterRead
	Faults     []FaultOutcome
}

func (r *Record) node(name string) *NodeLife {
	for _, life := range r.Nodes {
		if life.Name == name {
			return life
		}
	}
	return &NodeLife{Name: name}
}

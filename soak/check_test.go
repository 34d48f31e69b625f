package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// soundRecord is a record in which everything holds and every check has
// something to look at.
func soundRecord() *Record {
	streamed := &Arrival{Serial: 1, Kind: Stream, AnswerTokens: 2, Mark: "aa"}
	keyed := &Arrival{Serial: 2, Kind: Keyed, Twins: 2}
	refused := &Arrival{Serial: 3, Kind: Unkeyed}
	return &Record{
		Sends: []*Send{
			{Arrival: streamed, Node: "n#1", Start: second, End: 30 * second, Allowed: 30 * second, Status: 200, Tokens: 2, Ending: Answered},
			{Arrival: keyed, Node: "n#1", Start: second, End: 2 * second, Allowed: 10 * second, Status: 200, Ending: Answered},
			{Arrival: keyed, Node: "n#2", Start: second, End: 2 * second, Allowed: 10 * second, Status: 409, Code: "in_progress", Execution: "not_run", Ending: Refused},
			{Arrival: refused, Node: "n#2", Start: second, End: 2 * second, Allowed: 10 * second, Status: 503, Code: "overloaded", Execution: "not_run", Ending: Refused},
		},
		Seen: []Seen{{At: second, Kind: SeenCompletion, Upstream: "engine-0", VM: "vm-0", DataCentre: "dc-a", Name: "aa", Ran: true}},
		Runs: map[string]int{"key-2": 1},
		Nodes: []*NodeLife{
			{Name: "n#1", Ready: 1, Leaving: 20 * second, Gone: 31 * second},
			{Name: "n#2", Ready: 1},
		},
		Versions: []VersionSample{
			{Node: "n#1", At: second, Version: 3}, {Node: "n#2", At: second, Version: 3},
			{Node: "n#1", At: 12 * second, Version: 4}, {Node: "n#2", At: 12 * second, Version: 4},
		},
		Accepted:   []Accepted{{Version: 4, At: 2 * second}},
		Promotions: []Promotion{{Operator: "first", Replaces: 3, Version: 4, Accepted: true}, {Operator: "second", Replaces: 3}},
		Outs:       []OutWindow{{DataCentre: "dc-a", From: 2 * second, Until: 12 * second}},
		Engines:    []EngineRest{{Engine: "engine-0"}},
		Rests:      []NodeRest{{Node: "n#2"}},
		Counters:   []CounterRead{{Node: "n#2"}},
	}
}

func TestSoundRecordHasNoBreach(t *testing.T) {
	is := is.New(t)
	for _, invariant := range Check(soundRecord()) {
		is.True(invariant.Checked > 0)
		is.Equal(invariant.Breaches, []string{})
	}
}

func TestUncheckedIsSaid(t *testing.T) {
	is := is.New(t)
	for _, invariant := range Check(&Record{}) {
		is.Equal(invariant.Checked, 0)
	}
}

// TestPlantedBreachIsFound breaks one thing at a time. Only the check named, and
// no other, finds it.
func TestPlantedBreachIsFound(t *testing.T) {
	late := Seen{At: 8 * second, Kind: SeenCompletion, Upstream: "engine-0", VM: "vm-0", DataCentre: "dc-a", Name: "zz"}
	for _, test := range []struct {
		name, invariant string
		plant           func(*Record)
	}{
		{"a keyed booking ran twice", "at most once", func(r *Record) { r.Runs["key-2"] = 2 }},
		{"not run, but it ran", "execution told", func(r *Record) { r.Runs["/confirm/unkeyed-3"] = 1 }},
		{"ran, but it never did", "execution told", func(r *Record) { r.Sends[3].Execution = "ran" }},
		{"answered, but it never ran", "execution told", func(r *Record) { r.Runs["key-2"] = 0 }},
		{"a prompt not run, but an engine ran it", "execution told", func(r *Record) {
			r.Sends[0].Ending, r.Sends[0].Code, r.Sends[0].Execution, r.Sends[0].Status = Refused, "overloaded", "not_run", 503
		}},
		{"another's token", "own answer", func(r *Record) { r.Sends[0].Foreign = "bb-1" }},
		{"a token is missing", "whole or ends", func(r *Record) { r.Sends[0].Tokens = 1 }},
		{"a stream without an end", "whole or ends", func(r *Record) {
			r.Sends[0].Ending, r.Sends[0].Node = Cut, "n#2"
		}},
		{"a booking's answer is cut", "whole or ends", func(r *Record) {
			r.Sends[1].Ending, r.Sends[1].Node = Cut, "n#2"
		}},
		{"cut before the node was closed", "whole or ends", func(r *Record) {
			r.Sends[0].Ending, r.Sends[0].Node, r.Nodes[1].Closed = Cut, "n#2", 60*second
		}},
		{"two promotions over one version", "one promotion", func(r *Record) { r.Promotions[1].Accepted = true }},
		{"a version falls", "never falls", func(r *Record) {
			r.Versions = append(r.Versions, VersionSample{Node: "n#2", At: 13 * second, Version: 3})
		}},
		{"a node counts a breach", "own invariants", func(r *Record) { r.Counters[0].Broken = 1 }},
		{"a request outlives its deadline", "deadline", func(r *Record) { r.Sends[1].End = 14 * second }},
		{"new work at a data centre", "taken out", func(r *Record) { r.Seen = append(r.Seen, late) }},
		{"new work at a VM", "taken out", func(r *Record) {
			r.Outs[0] = OutWindow{VM: "vm-0", From: 2 * second, Until: 12 * second}
			r.Seen = append(r.Seen, late)
		}},
		{"new work at a leaving engine", "taken out", func(r *Record) {
			r.Outs[0] = OutWindow{Upstream: "engine-0", From: 2 * second, Until: 12 * second}
			r.Seen = append(r.Seen, late)
		}},
		{"a shutdown cuts a request", "graceful shutdown", func(r *Record) { r.Sends[0].Ending = Cut }},
		{"a version comes late", "in force everywhere", func(r *Record) { r.Versions[3].Version = 3 }},
		{"an engine keeps memory", "no memory", func(r *Record) { r.Engines[0].KVTokens = 1 }},
		{"an engine keeps a stream", "no memory", func(r *Record) { r.Engines[0].Streams = 1 }},
		{"a node keeps a request", "hold no request", func(r *Record) { r.Rests[0].Waiting = 1 }},
		{"a node does not start", "start and end", func(r *Record) { r.Nodes[1].Problem = "not ready" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			record := soundRecord()
			test.plant(record)
			for _, invariant := range Check(record) {
				found := len(invariant.Breaches) > 0
				is.Equal(found, strings.Contains(invariant.Name, test.invariant)) // only the one named
			}
		})
	}
}

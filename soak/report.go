package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report is what a run gave.
type Report struct {
	Plan *Plan `json:"plan"`
	// Replay is the command that repeats the plan.
	Replay string         `json:"replay"`
	Faults []FaultOutcome `json:"faults"`
	Calls  []CallCounts   `json:"calls"`
	// Refusals counts the errors that callers got, by code.
	Refusals   map[string]int `json:"refusals"`
	FirstToken []ClassTimes   `json:"first_token"`
	Invariants []Invariant    `json:"invariants"`
	// Points are the sends over time, for a plot.
	Points []Point `json:"-"`
}

// CallCounts counts the requests of one kind by their ending.
type CallCounts struct {
	Kind    CallKind       `json:"kind"`
	Sent    int            `json:"sent"`
	Endings map[Ending]int `json:"endings"`
}

// ClassTimes is the time to the first token of the prompts up to a length, of
// those that got one.
type ClassTimes struct {
	Name  string        `json:"name"`
	Sent  int           `json:"sent"`
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
}

// Point is one completion on the plot. FirstToken is 0 when it was refused or
// broke off without a token.
type Point struct {
	At         time.Duration
	FirstToken time.Duration
	Refused    bool
}

// resumedStream is the kind under which streams that went on are counted.
const resumedStream CallKind = "resumed stream"

// classes are the lengths by which times are shown, in tokens.
var classes = []struct {
	name    string
	longest int
}{{"<4k", 4_000}, {"<16k", shortTokens}, {"<120k", longTokens}, {"to 1M", 1_000_000}}

// NewReport checks a record and sums it up.
func NewReport(record *Record) *Report {
	report := &Report{
		Plan:       record.Plan,
		Replay:     fmt.Sprintf("go run ./cmd/wigeontiller soak --seed %d --duration %v --rate %g", record.Plan.Seed, record.Plan.Duration, record.Plan.Rate),
		Faults:     slices.Clone(record.Faults),
		Refusals:   map[string]int{},
		Invariants: Check(record),
	}
	slices.SortFunc(report.Faults, func(a, b FaultOutcome) int { return cmp.Compare(a.At, b.At) })
	report.count(record)
	for number := range classes {
		report.FirstToken = append(report.FirstToken, classTimes(record, number))
	}
	for _, send := range record.Sends {
		if send.Arrival.Kind.IsCompletion() && !send.Resumed {
			report.Points = append(report.Points, pointOf(send))
		}
	}
	return report
}

// Breaches counts the breaches of all invariants.
func (r *Report) Breaches() int {
	count := 0
	for _, invariant := range r.Invariants {
		count += len(invariant.Breaches)
	}
	return count
}

func (r *Report) count(record *Record) {
	byKind := map[CallKind]map[Ending]int{}
	for _, send := range record.Sends {
		if send.Code != "" {
			r.Refusals[send.Code]++
		}
		kind := send.Arrival.Kind
		if send.Resumed {
			kind = resumedStream
		}
		if byKind[kind] == nil {
			byKind[kind] = map[Ending]int{}
		}
		byKind[kind][send.Ending]++
	}
	for _, kind := range []CallKind{Stream, resumedStream, Whole, Keyed, Unkeyed, Read} {
		counts := CallCounts{Kind: kind, Endings: byKind[kind]}
		for _, count := range counts.Endings {
			counts.Sent += count
		}
		r.Calls = append(r.Calls, counts)
	}
}

func classTimes(record *Record, number int) ClassTimes {
	shortest := 0
	if number > 0 {
		shortest = classes[number-1].longest
	}
	times := ClassTimes{Name: classes[number].name}
	var taken []time.Duration
	for _, send := range record.Sends {
		length := send.Arrival.PromptTokens
		if send.Arrival.Kind != Stream || send.Resumed || length <= shortest || length > classes[number].longest {
			continue
		}
		times.Sent++
		if send.FirstToken > 0 {
			taken = append(taken, send.FirstToken-send.Start)
		}
	}
	slices.Sort(taken)
	times.Count = len(taken)
	times.P50, times.P95 = quantile(taken, 0.5), quantile(taken, 0.95)
	return times
}

// quantile is the smallest time that the share given does not exceed.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func pointOf(send *Send) Point {
	point := Point{At: send.Start, Refused: send.Ending == Refused || send.Ending == ErrorEvent}
	if send.FirstToken > 0 {
		point.FirstToken = send.FirstToken - send.Start
	}
	return point
}

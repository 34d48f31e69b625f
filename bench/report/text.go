// Package report shows measurements to people: as a table and as a plot.
package report

import (
	"fmt"
	"strings"

	"github.com/wigeontiller/wigeontiller/bench"
	"github.com/wigeontiller/wigeontiller/texttable"
)

// Text returns a comparison as tables for people.
func Text(comparison *bench.Comparison) string {
	text := new(strings.Builder)
	_, _ = fmt.Fprintf(text, "deployment %s, seed %d, %.0f%% of the engines' prefill rate\n\n",
		comparison.Deployment, comparison.Seed, comparison.Load*100)
	writeFirstTokens(text, comparison)
	_, _ = fmt.Fprintln(text)
	writeService(text, comparison)
	_, _ = fmt.Fprintln(text)
	writeReturn(text, comparison)
	return text.String()
}

func writeFirstTokens(text *strings.Builder, comparison *bench.Comparison) {
	_, _ = fmt.Fprintln(text, "time to the first token in seconds: p50 p95 p99 (refused, failed)")
	texttable.Write(text, func(row func(...any)) {
		row("scenario", "policy", "<4k", "<16k", "<100k", "to 1M")
		for _, scenario := range bench.Scenarios() {
			for _, measured := range comparison.Policies {
				columns := []any{scenario, measured.Policy}
				for _, class := range measured.Result(scenario).Classes {
					columns = append(columns, classCell(class))
				}
				row(columns...)
			}
		}
	})
}

func classCell(class bench.LengthClass) string {
	if class.FirstToken.Count == 0 {
		return "-"
	}
	times := class.FirstToken
	return fmt.Sprintf("%.2f %.2f %.2f (%d, %d)", times.P50/1000, times.P95/1000, times.P99/1000, class.Refused, class.Failed)
}

func writeService(text *strings.Builder, comparison *bench.Comparison) {
	texttable.Write(text, func(row func(...any)) {
		row("scenario", "policy", "short p95 s", "interval p95 ms", "ended in time", "cut off",
			"calls done", "upstream refusals", "fell over", "overruns", "breaches")
		for _, scenario := range bench.Scenarios() {
			for _, measured := range comparison.Policies {
				r := measured.Result(scenario)
				row(scenario, measured.Policy,
					fmt.Sprintf("%.2f", r.Short.P95/1000),
					fmt.Sprintf("%.1f", r.Intervals.P95),
					fmt.Sprintf("%.2f%%", r.EndedInTime*100),
					r.DeadlineEnds,
					fmt.Sprintf("%d/%d", r.Calls.Completed, r.Calls.Admitted),
					r.UpstreamRefusals, r.FellOver, r.MemoryOverruns, len(r.Breaches))
			}
		}
	})
}

func writeReturn(text *strings.Builder, comparison *bench.Comparison) {
	texttable.Write(text, func(row func(...any)) {
		row("policy", "short slowdown p95", "last new work after out s", "worst short first token in return s")
		for _, measured := range comparison.Policies {
			r := measured.Result(bench.DataCentreOut)
			row(measured.Policy, fmt.Sprintf("%.2f", measured.Slowdown),
				fmt.Sprintf("%.2f", r.LastNewWork/1000), fmt.Sprintf("%.2f", r.WorstReturn/1000))
		}
	})
}

// RandomText returns a run with random faults for people.
func RandomText(random *bench.RandomReport) string {
	text := fmt.Sprintf("seed %d, %s, %d nodes, load %.2f, for %v: %d requests, %d completed, %d refused, %d failed, %d cut off, %d left, %d fell over\n",
		random.Seed, random.Deployment, random.Nodes, random.Load, random.Duration, random.Requests, random.Completed, random.Refused,
		random.Failed, random.DeadlineEnds, random.Left, random.FellOver)
	for _, breach := range random.Breaches {
		text += "breach: " + breach + "\n"
	}
	return text
}

// Package report shows the long run to people: as tables and as a plot.
package report

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/soak"
	"github.com/wigeontiller/wigeontiller/texttable"
)

// Plan returns a plan as a table.
func Plan(plan *soak.Plan) string {
	text := new(strings.Builder)
	_, _ = fmt.Fprintf(text, "seed %d, %v, %d entry nodes, %d data centres, %d arrivals, %d faults\n\n",
		plan.Seed, plan.Duration, plan.Nodes, soak.DataCentres, len(plan.Arrivals), len(plan.Faults))
	texttable.Write(text, func(row func(...any)) {
		row("at s", "for s", "fault", "on", "")
		for _, fault := range plan.Faults {
			row(seconds(fault.At), seconds(fault.For), pairMark(fault)+string(fault.Kind), fault.Target, fault.Detail)
		}
	})
	return text.String()
}

// Text returns a report as tables.
func Text(report *soak.Report) string {
	text := new(strings.Builder)
	writeFaults(text, report)
	writeCalls(text, report)
	writeRefusals(text, report)
	writeFirstTokens(text, report)
	writeInvariants(text, report)
	return text.String()
}

func seconds(length time.Duration) string {
	return fmt.Sprintf("%.2f", length.Seconds())
}

func pairMark(fault soak.Fault) string {
	if fault.Pair {
		return "+ "
	}
	return ""
}

func writeFaults(text *strings.Builder, report *soak.Report) {
	_, _ = fmt.Fprintln(text, "\nfaults; + begins together with the one above")
	texttable.Write(text, func(row func(...any)) {
		row("from s", "to s", "fault", "on", "", "outcome")
		for _, shown := range report.Faults {
			row(seconds(shown.Began), seconds(shown.Ended), pairMark(shown.Fault)+string(shown.Kind), shown.Target, shown.Detail, shown.Outcome)
		}
	})
}

func writeCalls(text *strings.Builder, report *soak.Report) {
	endings := []soak.Ending{soak.Answered, soak.Refused, soak.ErrorEvent, soak.Left, soak.Cut, soak.Unreached}
	_, _ = fmt.Fprintln(text, "\nrequests")
	texttable.Write(text, func(row func(...any)) {
		columns := []any{"kind", "sent"}
		for _, ending := range endings {
			columns = append(columns, ending)
		}
		row(columns...)
		for _, counts := range report.Calls {
			columns := []any{counts.Kind, counts.Sent}
			for _, ending := range endings {
				columns = append(columns, counts.Endings[ending])
			}
			row(columns...)
		}
	})
}

func writeRefusals(text *strings.Builder, report *soak.Report) {
	_, _ = fmt.Fprintln(text, "\nerrors by code")
	texttable.Write(text, func(row func(...any)) {
		for _, code := range slices.Sorted(maps.Keys(report.Refusals)) {
			row(code, report.Refusals[code])
		}
	})
}

func writeFirstTokens(text *strings.Builder, report *soak.Report) {
	_, _ = fmt.Fprintln(text, "\ntime to the first token of streams that got one, in seconds")
	texttable.Write(text, func(row func(...any)) {
		row("prompt", "sent", "with a token", "p50", "p95")
		for _, class := range report.FirstToken {
			row(class.Name, class.Sent, class.Count, seconds(class.P50), seconds(class.P95))
		}
	})
}

func writeInvariants(text *strings.Builder, report *soak.Report) {
	_, _ = fmt.Fprintln(text, "\nwhat must always hold")
	texttable.Write(text, func(row func(...any)) {
		row("invariant", "checked", "breaches")
		for _, invariant := range report.Invariants {
			checked := fmt.Sprint(invariant.Checked)
			if invariant.Checked == 0 {
				checked = "never"
			}
			row(invariant.Name, checked, len(invariant.Breaches))
		}
	})
	for _, invariant := range report.Invariants {
		for _, breach := range invariant.Breaches {
			_, _ = fmt.Fprintf(text, "breach of %q: %s\n", invariant.Name, breach)
		}
	}
	_, _ = fmt.Fprintf(text, "\n%d breaches; replay: %s\n", report.Breaches(), report.Replay)
}

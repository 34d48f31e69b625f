package report

import (
	"fmt"
	"strings"

	"github.com/wigeontiller/wigeontiller/bench"
	"github.com/wigeontiller/wigeontiller/texttable"
)

// PrefixText returns a comparison with and without prefix affinity for people.
func PrefixText(compared *bench.PrefixComparison) string {
	text := new(strings.Builder)
	_, _ = fmt.Fprintf(text, "deployment %s, seed %d, load %.2f; prompts that begin alike; first-token times in ms\n\n",
		compared.Deployment, compared.Seed, compared.Load)
	texttable.Write(text, func(row func(...any)) {
		row("affinity", "conversation stays", "prompts/s", "reusable", "cached", "cached of short",
			"short p50", "short p95", "long p50", "long p95", "slowdown", "spread", "refused", "failed")
		for _, r := range compared.Results {
			row(r.Affinity, r.Stays, fmt.Sprintf("%.0f", r.Rate),
				fmt.Sprintf("%.3f", r.Reusable), fmt.Sprintf("%.3f", r.Cached), fmt.Sprintf("%.3f", r.ShortCached),
				fmt.Sprintf("%.0f", r.Short.P50), fmt.Sprintf("%.0f", r.Short.P95),
				fmt.Sprintf("%.0f", r.Long.P50), fmt.Sprintf("%.0f", r.Long.P95),
				fmt.Sprintf("%.2f", r.Slowdown), fmt.Sprintf("%.2f", r.Spread), r.Refused, r.Failed)
		}
	})
	for _, r := range compared.Results {
		for _, breach := range r.Breaches {
			text.WriteString("breach: " + breach + "\n")
		}
	}
	return text.String()
}

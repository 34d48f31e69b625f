package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/soak"
	"github.com/wigeontiller/wigeontiller/soak/report"
)

// brokenReport is a run with one fault, one breach and checks that never ran.
func brokenReport() *soak.Report {
	plan := &soak.Plan{Seed: 7, Duration: 10 * time.Second, Rate: 3}
	arrival := &soak.Arrival{Kind: soak.Unkeyed, Serial: 4}
	return soak.NewReport(&soak.Record{
		Plan:  plan,
		Sends: []*soak.Send{{Arrival: arrival, ID: "soak-7-4", Start: time.Second, End: 2 * time.Second, Allowed: time.Minute, Code: "overloaded", Execution: "not_run", Ending: soak.Refused}},
		Runs:  map[string]int{"/confirm/unkeyed-4": 2},
		Faults: []soak.FaultOutcome{{
			Fault: soak.Fault{Kind: soak.StoreDown, At: time.Second}, Began: time.Second, Ended: 3 * time.Second, Outcome: "shown",
		}},
	})
}

func TestTextTellsTheBreach(t *testing.T) {
	is := is.New(t)
	broken := brokenReport()
	is.Equal(broken.Breaches(), 2) // it ran twice, and was told not to have run
	text := report.Text(broken)
	for _, wanted := range []string{"store down", "overloaded", "ran 2 times", "soak-7-4", "never", "soak --seed 7 --duration 10s --rate 3"} {
		is.True(strings.Contains(text, wanted))
	}
}

func TestSVGMarksTheFault(t *testing.T) {
	is := is.New(t)
	var drawn bytes.Buffer
	is.NoErr(report.SVG(&drawn, brokenReport()))
	is.True(strings.Contains(drawn.String(), "store down"))
}

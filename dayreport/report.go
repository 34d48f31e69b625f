// Package dayreport formats the users' bench's report of a simulated day, and its
// journal of runs, as text and SVG.
package dayreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/texttable"
)

// ErrReport is returned for a file that is not a valid report of a day.
var ErrReport = eris.New("not a report of a day")

// Day is the report of one simulated day, as the bench writes it with --report.
type Day struct {
	// Worth is the earned share of the worth that was owed, less the prices.
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// BrokenRules maps each rule that was broken to the number of times.
	BrokenRules map[string]any `json:"breaks"`
	// Kinds are the counts by kind of request, Windows those by time window.
	Kinds   []Counts `json:"classes"`
	Windows []Counts `json:"windows"`
	Events  []Event  `json:"events"`
	// Prices are the deductions from the worth: name, amount and deduction.
	Prices [][]any `json:"prices"`
}

// Counts holds the numbers of requests of a kind or of a window, by outcome, and their
// worth. A window's name is its start in seconds.
type Counts struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	InAim    int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	NotOwed  int     `json:"not_owed"`
	Worth    float64 `json:"worth"`
}

// Event is a fault or planned work, in seconds from the start of traffic.
type Event struct {
	FromSeconds float64 `json:"at_s"`
	ToSeconds   float64 `json:"to_s"`
	Kind        string  `json:"kind"`
	Planned     bool    `json:"planned"`
}

// Read decodes and checks a report. Errors: ErrReport.
func Read(reader io.Reader) (*Day, error) {
	day := new(Day)
	if err := json.NewDecoder(reader).Decode(day); err != nil {
		return nil, eris.Wrap(ErrReport, err.Error())
	}
	if len(day.Windows) == 0 || len(day.Kinds) == 0 {
		return nil, eris.Wrap(ErrReport, "no windows, or no kinds of request")
	}
	for _, window := range day.Windows {
		if _, err := strconv.ParseFloat(window.Name, 64); err != nil {
			return nil, eris.Wrapf(ErrReport, "window %q", window.Name)
		}
	}
	return day, nil
}

// startSeconds returns a window's start.
func (c *Counts) startSeconds() float64 {
	// Read has rejected names that are not numbers.
	at, _ := strconv.ParseFloat(c.Name, 64)
	return at
}

// Text formats the days as tables: one that compares them, then each day's counts.
func Text(names []string, days []*Day) string {
	text := new(strings.Builder)
	texttable.Write(text, func(row func(...any)) {
		row("day", "worth", "served", "refused", "failed", "rules broken")
		for i, day := range days {
			row(names[i], formatShare(day.Worth), formatShare(day.Served), formatShare(day.Refused), formatShare(day.Failed), len(day.BrokenRules))
		}
	})
	for i, day := range days {
		for _, part := range []struct {
			title string
			list  []Counts
		}{{"kind", day.Kinds}, {"from second", day.Windows}} {
			_, _ = fmt.Fprintf(text, "\n%s\n", names[i])
			texttable.Write(text, func(row func(...any)) {
				row(part.title, "asked", "in aim", "late", "refused", "failed", "worth")
				for _, c := range part.list {
					row(c.Name, c.Requests, c.InAim, c.Late, c.Refused, c.Failed, formatShare(c.Worth))
				}
			})
		}
	}
	return text.String()
}

func formatShare(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

// Package dayreport shows what the users' bench reports of a played day, and what
// its journal holds of many, to people.
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

// ErrReport is returned for a file that is no report of a day.
var ErrReport = eris.New("not a report of a day")

// Day is one played day, as the bench writes it with --report.
type Day struct {
	// Worth is what was earned of what was owed, less the prices.
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Broken holds the rules that were broken, and how often.
	Broken map[string]any `json:"breaks"`
	// Kinds are the kinds of request, Windows the spans of the day by their start.
	Kinds   []Counts  `json:"classes"`
	Windows []Counts  `json:"windows"`
	Events  []Trouble `json:"events"`
	// Prices are name, amount and what they took off the worth.
	Prices [][]any `json:"prices"`
}

// Counts are the requests of a kind or of a window. A window's name is its start in
// seconds.
type Counts struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// Trouble is a fault or planned work, in seconds from the start of traffic.
type Trouble struct {
	From    float64 `json:"at_s"`
	To      float64 `json:"to_s"`
	Kind    string  `json:"kind"`
	Planned bool    `json:"planned"`
}

// Read reads a report. Errors: ErrReport.
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

// start is a window's start in seconds.
func (c *Counts) start() float64 {
	// Read has checked it.
	at, _ := strconv.ParseFloat(c.Name, 64)
	return at
}

// Text returns the days side by side as tables.
func Text(names []string, days []*Day) string {
	text := new(strings.Builder)
	texttable.Write(text, func(row func(...any)) {
		row("day", "worth", "served", "refused", "failed", "rules broken")
		for i, day := range days {
			row(names[i], share(day.Worth), share(day.Served), share(day.Refused), share(day.Failed), len(day.Broken))
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
					row(c.Name, c.Asked, c.InAim, c.Late, c.Refused, c.Failed, share(c.Worth))
				}
			})
		}
	}
	return text.String()
}

func share(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

package dayreport

import (
	"encoding/json"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/wigeontiller/wigeontiller/texttable"
)

// ErrJournal is returned for a directory that is not a valid journal.
var ErrJournal = eris.New("not a journal")

// Entry is one run of the users' bench, as the bench writes it to its journal.
type Entry struct {
	ID      string     `json:"id"`
	At      timeOrList `json:"at"`
	Command string     `json:"cmd"`
	Why     string     `json:"why"`
	Site    string     `json:"site"`
	// Error is set for a run that did not finish.
	Error string       `json:"error"`
	Days  []DaySummary `json:"days"`
}

// DaySummary is the result of one day of a run.
type DaySummary struct {
	Name        string         `json:"name"`
	Worth       float64        `json:"G"`
	BrokenRules map[string]any `json:"rules"`
}

// timeOrList is the start of a run: a single time, or the first of a list.
type timeOrList struct{ time.Time }

// UnmarshalJSON implements json.Unmarshaler.
func (t *timeOrList) UnmarshalJSON(data []byte) error {
	var list []time.Time
	if err := json.Unmarshal(data, &list); err == nil && len(list) > 0 {
		t.Time = list[0]
		return nil
	}
	return json.Unmarshal(data, &t.Time)
}

// ReadJournal reads the entries in a journal's directory, oldest first. Errors:
// ErrJournal.
func ReadJournal(directory fs.FS) ([]Entry, error) {
	names, err := fs.Glob(directory, "*.json")
	if err != nil || len(names) == 0 {
		return nil, eris.Wrap(ErrJournal, "no entries")
	}
	entries := make([]Entry, 0, len(names))
	for _, name := range names {
		data, err := fs.ReadFile(directory, name)
		if err != nil {
			return nil, eris.Wrap(ErrJournal, err.Error())
		}
		var entry Entry
		if err := json.Unmarshal(data, &entry); err != nil {
			return nil, eris.Wrapf(ErrJournal, "%s: %v", name, err)
		}
		if entry.Command == "" {
			return nil, eris.Wrapf(ErrJournal, "%s: no command", name)
		}
		entries = append(entries, entry)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.At.Compare(b.At.Time) })
	return entries, nil
}

// MeanWorth returns the mean worth of the run's days. For a score, it excludes days that
// were generated for this run alone.
func (e *Entry) MeanWorth() float64 {
	total, count := 0.0, 0
	for _, day := range e.Days {
		if e.Command == commandScore && strings.HasPrefix(day.Name, freshDayPrefix) {
			continue
		}
		total += day.Worth
		count++
	}
	return total / float64(max(1, count))
}

const (
	commandScore   = "score"
	freshDayPrefix = "fresh-"
)

// brokenRules returns the names of the rules that the run broke, sorted and separated by spaces.
func (e *Entry) brokenRules() string {
	rules := map[string]bool{}
	for _, day := range e.Days {
		for rule := range day.BrokenRules {
			rules[rule] = true
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(rules)), " ")
}

// JournalText formats the entries as a table.
func JournalText(entries []Entry) string {
	text := new(strings.Builder)
	texttable.Write(text, func(row func(...any)) {
		row("at", "run", "site", "days", "mean worth", "rules broken", "why")
		for i := range entries {
			e := &entries[i]
			mean := formatShare(e.MeanWorth())
			if e.Error != "" || len(e.Days) == 0 {
				mean = "no end"
			}
			row(e.At.Format(time.DateTime), e.Command, e.Site, len(e.Days), mean, e.brokenRules(), e.Why)
		}
	})
	return text.String()
}

const (
	journalWidth  = 30 * vg.Centimeter
	journalHeight = 14 * vg.Centimeter
)

// JournalSVG plots the mean worth of each site's score runs, in the order of the entries.
func JournalSVG(writer io.Writer, entries []Entry) error {
	chart := plot.New()
	chart.Title.Text = "Mean worth of the standard days"
	chart.X.Label.Text, chart.Y.Label.Text = "score", "mean worth"
	chart.Y.Min, chart.Y.Max = 0, 1
	chart.Add(plotter.NewGrid())
	sites := map[string]plotter.XYs{}
	for i := range entries {
		if e := &entries[i]; e.Command == commandScore && e.Error == "" && len(e.Days) > 0 {
			sites[e.Site] = append(sites[e.Site], plotter.XY{X: float64(len(sites[e.Site]) + 1), Y: e.MeanWorth()})
		}
	}
	for i, site := range slices.Sorted(maps.Keys(sites)) {
		line, points, err := plotter.NewLinePoints(sites[site])
		if err != nil {
			return eris.Wrap(err, "plot the scores of a site")
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		chart.Add(line, points)
		chart.Legend.Add(site, line)
	}
	canvas := vgsvg.New(journalWidth, journalHeight)
	chart.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(writer)
	return eris.Wrap(err, "write the plot")
}

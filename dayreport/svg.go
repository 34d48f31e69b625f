package dayreport

import (
	"image/color"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	dayWidth   = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
	plotGap    = 4 * vg.Millimeter
	// eventHeightShare is the height of the space for events above the bars, as a share of
	// the highest bar.
	eventHeightShare = 0.8
)

// outcomes lists the outcomes of a request, from the bottom of a bar to its top.
var outcomes = []struct {
	name  string
	color color.Color
	count func(c *Counts) int
}{
	{"in aim", color.RGBA{R: 70, G: 150, B: 90, A: 255}, func(c *Counts) int { return c.InAim }},
	{"late", color.RGBA{R: 230, G: 190, B: 80, A: 255}, func(c *Counts) int { return c.Late }},
	{"refused", color.RGBA{R: 210, G: 120, B: 60, A: 255}, func(c *Counts) int { return c.Refused }},
	{"failed", color.RGBA{R: 180, G: 60, B: 60, A: 255}, func(c *Counts) int { return c.Failed }},
}

// SVG draws each day as a column of two plots: the outcomes and the worth of requests by
// window, with the events above the bars, and outcomes and worth by kind.
func SVG(writer io.Writer, names []string, days []*Day) error {
	columns := make([][]*plot.Plot, 2)
	for i, day := range days {
		windows, err := windowPlot(names[i], day)
		if err != nil {
			return err
		}
		kinds, err := kindPlot(day)
		if err != nil {
			return err
		}
		columns[0], columns[1] = append(columns[0], windows), append(columns[1], kinds)
	}
	canvas := vgsvg.New(dayWidth*vg.Length(len(days)), 2*plotHeight)
	tiles := draw.Tiles{Rows: len(columns), Cols: len(days), PadX: plotGap, PadY: plotGap}
	for row, areas := range plot.Align(columns, tiles, draw.New(canvas)) {
		for column, area := range areas {
			columns[row][column].Draw(area)
		}
	}
	_, err := canvas.WriteTo(writer)
	return eris.Wrap(err, "write the plot")
}

// addStackedBars adds one bar for each of the counts, stacked by outcome.
func addStackedBars(chart *plot.Plot, counts []Counts) error {
	var below *plotter.BarChart
	for _, outcome := range outcomes {
		values := make(plotter.Values, len(counts))
		for i := range counts {
			values[i] = float64(outcome.count(&counts[i]))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "draw bars")
		}
		bars.Color, bars.LineStyle.Width = outcome.color, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		chart.Add(bars)
		chart.Legend.Add(outcome.name, bars)
	}
	return nil
}

func maxRequests(counts []Counts) float64 {
	most := 1.0
	for i := range counts {
		most = max(most, float64(counts[i].Requests))
	}
	return most
}

// windowPlot plots a day over time. A bar's x value is the index of its window.
func windowPlot(name string, day *Day) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = name + ": worth " + formatShare(day.Worth)
	chart.X.Label.Text, chart.Y.Label.Text = "from second", "requests"
	top := maxRequests(day.Windows)
	chart.Y.Max = top * (1 + eventHeightShare)
	chart.Legend.Top = true
	if err := addStackedBars(chart, day.Windows); err != nil {
		return nil, err
	}
	labels := make([]string, len(day.Windows))
	worth := make(plotter.XYs, len(day.Windows))
	for i := range day.Windows {
		labels[i] = day.Windows[i].Name
		worth[i] = plotter.XY{X: float64(i), Y: day.Windows[i].Worth * top}
	}
	chart.NominalX(labels...)
	line, err := plotter.NewLine(worth)
	if err != nil {
		return nil, eris.Wrap(err, "draw the worth")
	}
	chart.Add(line)
	chart.Legend.Add("worth, of the height of the highest bar", line)
	return chart, addEvents(chart, day, top)
}

// addEvents draws each event as a line at its own height above the bars, dashed if planned.
func addEvents(chart *plot.Plot, day *Day, top float64) error {
	span := 1.0
	if len(day.Windows) > 1 {
		span = day.Windows[1].startSeconds() - day.Windows[0].startSeconds()
	}
	position := func(second float64) float64 { return (second-day.Windows[0].startSeconds())/span - 0.5 }
	step := top * eventHeightShare / float64(len(day.Events)+1)
	for i, event := range day.Events {
		height := top + step*float64(i+1)
		ends := plotter.XYs{{X: position(event.FromSeconds), Y: height}, {X: position(max(event.FromSeconds, event.ToSeconds)), Y: height}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return eris.Wrap(err, "draw an event")
		}
		line.Color = color.Gray{Y: 120}
		if event.Planned {
			line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
		}
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: ends[:1], Labels: []string{event.Kind}})
		if err != nil {
			return eris.Wrap(err, "label an event")
		}
		chart.Add(line, name)
	}
	return nil
}

func kindPlot(day *Day) (*plot.Plot, error) {
	chart := plot.New()
	chart.Y.Label.Text = "requests"
	chart.Legend.Top = true
	labels := make([]string, len(day.Kinds))
	for i := range day.Kinds {
		labels[i] = day.Kinds[i].Name + ", " + formatShare(day.Kinds[i].Worth)
	}
	chart.NominalX(labels...)
	return chart, addStackedBars(chart, day.Kinds)
}

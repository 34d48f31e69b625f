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
	gap        = 4 * vg.Millimeter
	// troubleShare is the part of the height above the bars that names of troubles take.
	troubleShare = 0.8
)

// endings are the ways in which a request ends, from the bottom of a bar to its top.
var endings = []struct {
	name  string
	color color.Color
	count func(c *Counts) int
}{
	{"in aim", color.RGBA{R: 70, G: 150, B: 90, A: 255}, func(c *Counts) int { return c.InAim }},
	{"late", color.RGBA{R: 230, G: 190, B: 80, A: 255}, func(c *Counts) int { return c.Late }},
	{"refused", color.RGBA{R: 210, G: 120, B: 60, A: 255}, func(c *Counts) int { return c.Refused }},
	{"failed", color.RGBA{R: 180, G: 60, B: 60, A: 255}, func(c *Counts) int { return c.Failed }},
}

// SVG draws each day in a column: how requests ended and what they were worth by
// window, with the troubles above, and the same by kind.
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
	tiles := draw.Tiles{Rows: len(columns), Cols: len(days), PadX: gap, PadY: gap}
	for row, areas := range plot.Align(columns, tiles, draw.New(canvas)) {
		for column, area := range areas {
			columns[row][column].Draw(area)
		}
	}
	_, err := canvas.WriteTo(writer)
	return eris.Wrap(err, "write the plot")
}

// stack adds a bar for each of the counts.
func stack(drawn *plot.Plot, counts []Counts) error {
	var below *plotter.BarChart
	for _, ending := range endings {
		values := make(plotter.Values, len(counts))
		for i := range counts {
			values[i] = float64(ending.count(&counts[i]))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return eris.Wrap(err, "draw bars")
		}
		bars.Color, bars.LineStyle.Width = ending.color, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		drawn.Add(bars)
		drawn.Legend.Add(ending.name, bars)
	}
	return nil
}

func asked(counts []Counts) float64 {
	most := 1.0
	for i := range counts {
		most = max(most, float64(counts[i].Asked))
	}
	return most
}

// windowPlot draws a day over time. A bar's place is the window's number.
func windowPlot(name string, day *Day) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = name + ": worth " + share(day.Worth)
	drawn.X.Label.Text, drawn.Y.Label.Text = "from second", "requests"
	top := asked(day.Windows)
	drawn.Y.Max = top * (1 + troubleShare)
	drawn.Legend.Top = true
	if err := stack(drawn, day.Windows); err != nil {
		return nil, err
	}
	labels := make([]string, len(day.Windows))
	worth := make(plotter.XYs, len(day.Windows))
	for i := range day.Windows {
		labels[i] = day.Windows[i].Name
		worth[i] = plotter.XY{X: float64(i), Y: day.Windows[i].Worth * top}
	}
	drawn.NominalX(labels...)
	line, err := plotter.NewLine(worth)
	if err != nil {
		return nil, eris.Wrap(err, "draw the worth")
	}
	drawn.Add(line)
	drawn.Legend.Add("worth, of the height of the highest bar", line)
	return drawn, addTroubles(drawn, day, top)
}

// addTroubles gives each trouble its own height above the bars.
func addTroubles(drawn *plot.Plot, day *Day, top float64) error {
	span := 1.0
	if len(day.Windows) > 1 {
		span = day.Windows[1].start() - day.Windows[0].start()
	}
	place := func(second float64) float64 { return (second-day.Windows[0].start())/span - 0.5 }
	step := top * troubleShare / float64(len(day.Events)+1)
	for i, trouble := range day.Events {
		height := top + step*float64(i+1)
		ends := plotter.XYs{{X: place(trouble.From), Y: height}, {X: place(max(trouble.From, trouble.To)), Y: height}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return eris.Wrap(err, "draw a trouble")
		}
		line.Color = color.Gray{Y: 120}
		if trouble.Planned {
			line.Dashes = []vg.Length{vg.Points(3), vg.Points(2)}
		}
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: ends[:1], Labels: []string{trouble.Kind}})
		if err != nil {
			return eris.Wrap(err, "name a trouble")
		}
		drawn.Add(line, name)
	}
	return nil
}

func kindPlot(day *Day) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Y.Label.Text = "requests"
	drawn.Legend.Top = true
	labels := make([]string, len(day.Kinds))
	for i := range day.Kinds {
		labels[i] = day.Kinds[i].Name + ", " + share(day.Kinds[i].Worth)
	}
	drawn.NominalX(labels...)
	return drawn, stack(drawn, day.Kinds)
}

package report

import (
	"image/color"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/wigeontiller/wigeontiller/soak"
)

const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	dotRadius  = vg.Length(1.2)
	// refusalWindow is the time over which refusals are counted.
	refusalWindow = time.Second
	// faultShare is the part of the height that one fault's line may take.
	faultShare = 0.5
)

// SVG draws the first-token times and the refusals a second over time. Each
// fault is a line as long as it lasted, with its name.
func SVG(writer io.Writer, report *soak.Report) error {
	drawn := plot.New()
	drawn.Title.Text = "First token, refusals and faults over time"
	drawn.X.Label.Text = "seconds"
	drawn.Y.Label.Text = "first token in seconds; refusals a second"
	drawn.X.Min, drawn.X.Max = 0, report.Plan.Duration.Seconds()
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	top, err := addTimes(drawn, report)
	if err != nil {
		return err
	}
	if err := addRefusals(drawn, report); err != nil {
		return err
	}
	if err := addFaults(drawn, report, top); err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawn.Draw(draw.New(canvas))
	_, err = canvas.WriteTo(writer)
	return eris.Wrap(err, "write the plot")
}

// addTimes adds a dot for each first token and returns the highest.
func addTimes(drawn *plot.Plot, report *soak.Report) (float64, error) {
	var dots plotter.XYs
	top := 1.0
	for _, point := range report.Points {
		if point.FirstToken > 0 {
			dots = append(dots, plotter.XY{X: point.At.Seconds(), Y: point.FirstToken.Seconds()})
			top = max(top, point.FirstToken.Seconds())
		}
	}
	if len(dots) == 0 {
		return top, nil
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return 0, eris.Wrap(err, "draw the first tokens")
	}
	scatter.Radius = dotRadius
	scatter.Color = plotutil.Color(2)
	drawn.Add(scatter)
	drawn.Legend.Add("first token", scatter)
	return top, nil
}

func addRefusals(drawn *plot.Plot, report *soak.Report) error {
	counts := make(plotter.XYs, int(report.Plan.Duration/refusalWindow)+1)
	for number := range counts {
		counts[number].X = float64(number) * refusalWindow.Seconds()
	}
	for _, point := range report.Points {
		if number := int(point.At / refusalWindow); point.Refused && number < len(counts) {
			counts[number].Y++
		}
	}
	line, err := plotter.NewLine(counts)
	if err != nil {
		return eris.Wrap(err, "draw the refusals")
	}
	line.Color = plotutil.Color(0)
	drawn.Add(line)
	drawn.Legend.Add("completions refused", line)
	return nil
}

// addFaults gives each fault its own height, so that names don't overlap.
func addFaults(drawn *plot.Plot, report *soak.Report, top float64) error {
	step := top * faultShare / float64(len(report.Faults)+1)
	for number, shown := range report.Faults {
		height := top - step*float64(number)
		ends := plotter.XYs{{X: shown.Began.Seconds(), Y: height}, {X: shown.Ended.Seconds(), Y: height}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return eris.Wrap(err, "draw a fault")
		}
		line.Color = color.Gray{Y: 120}
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: ends[:1], Labels: []string{string(shown.Kind)}})
		if err != nil {
			return eris.Wrap(err, "name a fault")
		}
		drawn.Add(line, name)
	}
	return nil
}

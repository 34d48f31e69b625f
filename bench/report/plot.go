package report

import (
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/wigeontiller/wigeontiller/bench"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// SVG draws the first-token time by prompt length of the steady scenario.
func SVG(writer io.Writer, comparison *bench.Comparison) error {
	drawn := plot.New()
	drawn.Title.Text = "Time to the first token, p95: " + comparison.Deployment
	drawn.X.Label.Text = "prompt tokens"
	drawn.Y.Label.Text = "seconds"
	drawn.X.Scale, drawn.Y.Scale = plot.LogScale{}, plot.LogScale{}
	drawn.X.Tick.Marker, drawn.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	drawn.Legend.Top, drawn.Legend.Left = true, true
	drawn.Add(plotter.NewGrid())
	var lines []any
	for _, measured := range comparison.Policies {
		lines = append(lines, string(measured.Policy), points(measured.Result(bench.Steady)))
	}
	if err := plotutil.AddLinePoints(drawn, lines...); err != nil {
		return eris.Wrap(err, "draw the plot")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawn.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(writer)
	return eris.Wrap(err, "write the plot")
}

func points(result *bench.Result) plotter.XYs {
	var drawn plotter.XYs
	for _, point := range result.Curve {
		drawn = append(drawn, plotter.XY{X: float64(point.PromptTokens), Y: point.P95 / 1000})
	}
	return drawn
}

package policysim

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/weldline/weldline/internal/fault"
)

const (
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	pointRadius = 3
)

// Metric is a value to plot against idle hours.
type Metric struct {
	Title string
	Of    func(Comparison) float64
}

// Plots lists the plots by file name.
var Plots = map[string]Metric{
	"cold-share":   {"requests that found no replica, %", func(c Comparison) float64 { return 100 * c.ColdShare }},
	"replica-wait": {"p99 wait for a replica, s", func(c Comparison) float64 { return c.WaitP99 }},
}

// WritePlot writes a plot of a metric against idle accelerator hours, with a point or curve per policy.
// The file extension selects the format.
func WritePlot(path string, metric Metric, compared []Comparison) error {
	chart := plot.New()
	chart.Title.Text = compared[0].Scenario
	chart.X.Label.Text = "idle accelerator hours"
	chart.Y.Label.Text = metric.Title
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	seen := map[string]bool{}
	for _, entry := range compared {
		if seen[entry.Policy] {
			continue
		}
		seen[entry.Policy] = true
		if err := addCurve(chart, entry.Policy, len(seen)-1, curveOf(compared, entry.Policy, metric.Of)); err != nil {
			return err
		}
	}
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fault.Storage.Wrap(err, "saving a plot")
	}
	return nil
}

func addCurve(chart *plot.Plot, policy string, number int, points [][2]float64) error {
	values := make(plotter.XYs, len(points))
	for position, point := range points {
		values[position] = plotter.XY{X: point[0], Y: point[1]}
	}
	line, marks, err := plotter.NewLinePoints(values)
	if err != nil {
		return fault.Internal.Wrap(err, "plotting a curve")
	}
	lineColor := plotutil.Color(number)
	line.Color, marks.Color = lineColor, lineColor
	marks.Shape, marks.Radius = draw.CircleGlyph{}, vg.Points(pointRadius)
	if len(points) == 1 {
		line.Color = color.Transparent
	}
	chart.Add(line, marks)
	chart.Legend.Add(policy, marks)
	return nil
}

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
	drawingWidth  = 16 * vg.Centimeter
	drawingHeight = 11 * vg.Centimeter
	pointRadius   = 3
)

// Metric is what a drawing shows against idle hours.
type Metric struct {
	Title string
	Of    func(Comparison) float64
}

// Plots lists what can be drawn, by the name of its file.
var Plots = map[string]Metric{
	"cold-share":   {"requests that found no replica, %", func(c Comparison) float64 { return 100 * c.ColdShare }},
	"replica-wait": {"p99 wait for a replica, s", func(c Comparison) float64 { return c.WaitP99 }},
}

// WritePlot writes a drawing of a quantity against idle accelerator hours: a point
// or curve for each policy. The extension of the path says the format.
func WritePlot(path string, quantity Metric, compared []Comparison) error {
	drawing := plot.New()
	drawing.Title.Text = compared[0].Scenario
	drawing.X.Label.Text = "idle accelerator hours"
	drawing.Y.Label.Text = quantity.Title
	drawing.Legend.Top = true
	drawing.Add(plotter.NewGrid())
	drawn := map[string]bool{}
	for _, entry := range compared {
		if drawn[entry.Policy] {
			continue
		}
		drawn[entry.Policy] = true
		if err := addCurve(drawing, entry.Policy, len(drawn)-1, curve(compared, entry.Policy, quantity.Of)); err != nil {
			return err
		}
	}
	if err := drawing.Save(drawingWidth, drawingHeight, path); err != nil {
		return fault.Storage.Wrap(err, "saving a drawing")
	}
	return nil
}

func addCurve(drawing *plot.Plot, policy string, number int, points [][2]float64) error {
	values := make(plotter.XYs, len(points))
	for position, point := range points {
		values[position] = plotter.XY{X: point[0], Y: point[1]}
	}
	line, marks, err := plotter.NewLinePoints(values)
	if err != nil {
		return fault.Internal.Wrap(err, "drawing a curve")
	}
	shade := plotutil.Color(number)
	line.Color, marks.Color = shade, shade
	marks.Shape, marks.Radius = draw.CircleGlyph{}, vg.Points(pointRadius)
	if len(points) == 1 {
		line.Color = color.Transparent
	}
	drawing.Add(line, marks)
	drawing.Legend.Add(policy, marks)
	return nil
}

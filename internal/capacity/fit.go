package capacity

import (
	"fmt"
	"io"
	"math"
	"sort"

	"gonum.org/v1/gonum/mat"

	"github.com/weldline/weldline/internal/fault"
)

// Quantities that are fitted, by name.
var quantities = []struct {
	name  string
	unit  string
	scale float64
	of    func(RoleCost) float64
}{
	{"processor", "% of a core", 100, func(cost RoleCost) float64 { return cost.Cores }},
	{"memory", "MB", 1 / megabyte, func(cost RoleCost) float64 { return cost.ResidentBytes }},
	{"sent", "kB/s", 1 / kilobyte, func(cost RoleCost) float64 { return cost.SentBytes }},
	{"received", "kB/s", 1 / kilobyte, func(cost RoleCost) float64 { return cost.ReceivedBytes }},
}

// Slope is a fitted plane: what a role costs as a constant and for each node,
// worker and object (model, version or adapter).
type Slope struct {
	Phase, Role, Quantity, Unit             string
	Constant, PerNode, PerWorker, PerObject float64
	// WorstError is the largest difference from a measured value, as a share
	// of the largest measured value.
	WorstError float64
	// AtTarget is the fitted value at the target size, Measured the value of
	// the run of that size, if there was one.
	AtTarget, Measured float64
	Runs               int
}

// Target is the size that decides the design.
var Target = Size{Nodes: 350, Workers: 1100, Models: 890, Adapters: 3000, ChangesPerDay: 6300, LoadsPerHour: 910}

func (s Size) objects() float64 {
	return float64(2*s.Models + s.Adapters)
}

type fitKey struct{ phase, role string }

// Fit draws planes through the runs by least squares. It needs at least five
// runs of different sizes.
func Fit(results []Result) ([]Slope, error) {
	const least = 5
	if len(results) < least {
		return nil, fault.InvalidField("results", "%d runs are too few to fit; at least %d are needed", len(results), least)
	}
	points := map[fitKey][]point{}
	for _, result := range results {
		for _, phase := range result.Phases {
			for _, cost := range phase.Roles {
				key := fitKey{phase.Name, cost.Role}
				points[key] = append(points[key], point{result.Size, cost})
			}
		}
	}
	var slopes []Slope
	for key, group := range points {
		for _, quantity := range quantities {
			slope, err := fitOne(group, func(cost RoleCost) float64 { return quantity.of(cost) * quantity.scale })
			if err != nil {
				return nil, err
			}
			slope.Phase, slope.Role, slope.Quantity, slope.Unit = key.phase, key.role, quantity.name, quantity.unit
			slopes = append(slopes, slope)
		}
	}
	sort.Slice(slopes, func(i, j int) bool {
		left, right := slopes[i], slopes[j]
		if left.Role != right.Role {
			return left.Role < right.Role
		}
		if left.Phase != right.Phase {
			return left.Phase < right.Phase
		}
		return left.Quantity < right.Quantity
	})
	return slopes, nil
}

type point struct {
	size Size
	cost RoleCost
}

func (p point) variables() []float64 {
	return []float64{1, float64(p.size.Nodes), float64(p.size.Workers), p.size.objects()}
}

func fitOne(points []point, value func(RoleCost) float64) (Slope, error) {
	const columns = 4
	variables := mat.NewDense(len(points), columns, nil)
	values := mat.NewVecDense(len(points), nil)
	for row, entry := range points {
		variables.SetRow(row, entry.variables())
		values.SetVec(row, value(entry.cost))
	}
	var solution mat.VecDense
	if err := solution.SolveVec(variables, values); err != nil {
		return Slope{}, fault.Invalid.Wrap(err, "fitting: the runs differ too little in size")
	}
	slope := Slope{
		Constant: solution.AtVec(0), PerNode: solution.AtVec(1), PerWorker: solution.AtVec(2),
		PerObject: solution.AtVec(3), Runs: len(points),
	}
	largest := 0.0
	for row, entry := range points {
		measured := values.AtVec(row)
		largest = math.Max(largest, math.Abs(measured))
		slope.WorstError = math.Max(slope.WorstError, math.Abs(measured-slope.at(entry.size)))
		if entry.size == Target {
			slope.Measured = measured
		}
	}
	if largest > 0 {
		slope.WorstError /= largest
	}
	slope.AtTarget = slope.at(Target)
	return slope, nil
}

func (s Slope) at(size Size) float64 {
	return s.Constant + s.PerNode*float64(size.Nodes) + s.PerWorker*float64(size.Workers) + s.PerObject*size.objects()
}

// WriteSlopes writes the slopes as a Markdown table.
func WriteSlopes(writer io.Writer, slopes []Slope) {
	_, _ = fmt.Fprintln(writer, "| role | phase | quantity | unit | constant | per 100 nodes | per 100 workers | per 1000 objects | at target | measured there | worst error |")
	_, _ = fmt.Fprintln(writer, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, slope := range slopes {
		if slope.Role == "hollow" && (slope.Quantity == "sent" || slope.Quantity == "received") {
			continue // Of nodes that share a process, the traffic isn't counted.
		}
		_, _ = fmt.Fprintf(writer, "| %s | %s | %s | %s | %.3g | %.3g | %.3g | %.3g | %.3g | %.3g | %.0f%% |\n",
			slope.Role, slope.Phase, slope.Quantity, slope.Unit, slope.Constant, 100*slope.PerNode, 100*slope.PerWorker,
			1000*slope.PerObject, slope.AtTarget, slope.Measured, 100*slope.WorstError)
	}
}

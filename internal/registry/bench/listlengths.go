package bench

import (
	"context"
	"errors"
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// MeasureListLengths measures the cost of a change for several lengths of the list, each on a registry of its own. The
// Results are in the order of lengths and contain the figures of writes and propagation.
func MeasureListLengths(ctx context.Context, o Options, lengths []int) ([]*Result, error) {
	var results []*Result
	for _, n := range lengths {
		o.Instances = n
		r, err := measure(ctx, o, (*measurement).registerInstances, (*measurement).propagateOnly)
		if err != nil {
			return nil, fmt.Errorf("%d instances: %w", n, err)
		}
		results = append(results, r)
	}
	return results, nil
}

// propagateOnly times the propagation of changes to all watches.
func (m *measurement) propagateOnly(ctx context.Context) error {
	w, err := m.propagate(ctx)
	if err != nil {
		return err
	}
	w.close()
	return nil
}

// Layout of the plot.
const (
	plotWidth    = 14 * vg.Centimeter
	plotHeight   = 8 * vg.Centimeter
	legendFactor = 1.5 // height of the Y axis relative to the highest value; leaves room for the legend
)

var errNothingMeasured = errors.New("no results to plot")

// Plot writes an SVG plot of the cost of a change over the length of the list. It fails if results is empty.
func Plot(w io.Writer, results []*Result) error {
	if len(results) == 0 {
		return errNothingMeasured
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("One change, %d watches", results[0].Watches)
	p.X.Label.Text, p.Y.Label.Text = "instances in the list", "ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	var lines []any
	for _, line := range []struct {
		name  string
		value func(*Result) float64
	}{
		{"durable write, mean", func(r *Result) float64 { return r.WriteMeanMS }},
		{"propagation to half of the watchers", func(r *Result) float64 { return r.PropagationP50MS }},
		{"CPU time of three replicas", func(r *Result) float64 { return r.CPUPerChangeMS }},
	} {
		var xy plotter.XYs
		for _, r := range results {
			xy = append(xy, plotter.XY{X: float64(r.Instances), Y: line.value(r)})
		}
		lines = append(lines, line.name, xy)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Y.Max *= legendFactor
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}

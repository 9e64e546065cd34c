package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// MeasureListLengths measures what a change costs over lists of several lengths, each on a registry of its own. The Results have
// only what changes show.
func MeasureListLengths(ctx context.Context, o Options, lengths []int) ([]*Result, error) {
	var l []*Result
	alone := func(m *measurement, ctx context.Context) error {
		return m.watched(ctx, func(context.Context, []*watcher, []string, *sync.WaitGroup) error { return nil })
	}
	for _, n := range lengths {
		o.Instances = n
		r, err := measure(ctx, o, (*measurement).fill, alone)
		if err != nil {
			return nil, fmt.Errorf("%d instances: %w", n, err)
		}
		l = append(l, r)
	}
	return l, nil
}

// Plot draws what a change costs over the list's length, as SVG.
func Plot(w io.Writer, l []*Result) error {
	if len(l) == 0 {
		return errors.New("nothing was measured")
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("One change, %d watches", l[0].Watches)
	p.X.Label.Text, p.Y.Label.Text = "instances in the list", "ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	var lines []any
	for _, k := range []struct {
		name string
		of   func(*Result) float64
	}{{"written durably", func(r *Result) float64 { return r.WriteMeanMS }}, {"with half of the watchers", func(r *Result) float64 { return r.PropagationP50MS }},
		{"processor time of three replicas", func(r *Result) float64 { return r.CPUPerChangeMS }}} {
		var xy plotter.XYs
		for _, r := range l {
			xy = append(xy, plotter.XY{X: float64(r.Instances), Y: k.of(r)})
		}
		lines = append(lines, k.name, xy)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Y.Max *= 1.5 // room for the legend
	c := vgsvg.New(14*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}

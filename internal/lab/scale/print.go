package scale

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Print prints a result as a table, followed by the figures that were not measured and by failures.
func Print(w io.Writer, r *Result) error {
	fmt.Fprintf(w, "%s\n%d plays, %.0f s, the longest %.0f s; load of the machine before: %.1f; bounds: %s\n", r.Machine, r.Plays, r.Seconds, r.LongestPlaySeconds, r.LoadAverage, r.Bounds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "nodes\t")
	for _, f := range r.Sizes {
		fmt.Fprintf(t, "%d\t", f.Nodes)
	}
	fmt.Fprint(t, "at zero\ta node more\tspread\tr2\t\n")
	for _, k := range Keys {
		fmt.Fprintf(t, "%s\t", k)
		for _, f := range r.Sizes {
			if v, has := f.Values[k]; has {
				fmt.Fprintf(t, "%.4g\t", v)
			} else {
				fmt.Fprint(t, "-\t")
			}
		}
		if s := r.Slopes[k]; s != nil {
			fmt.Fprintf(t, "%.4g\t%.4g\t%.2g\t%.2f\t\n", s.Intercept, s.PerNode, s.StdDev, s.R2)
		} else {
			fmt.Fprint(t, "-\t-\t-\t-\t\n")
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range r.Sizes {
		printShortfalls(w, f)
	}
	for _, failure := range r.Failed {
		fmt.Fprintf(w, "FAILED: %s\n", failure)
	}
	return nil
}

// printShortfalls prints what was not measured at a size and what went wrong.
func printShortfalls(w io.Writer, f *Figures) {
	for _, k := range Keys {
		if reason := f.Missing[k]; reason != "" {
			fmt.Fprintf(w, "%d nodes, %s: not measured: %s\n", f.Nodes, k, reason)
		}
	}
	for _, reason := range f.BlockedBy {
		fmt.Fprintf(w, "%d nodes, BLOCKED by: %s\n", f.Nodes, reason)
	}
	for _, n := range f.Notes {
		fmt.Fprintf(w, "%d nodes: %s\n", f.Nodes, n)
	}
	if !f.WithinBounds {
		fmt.Fprintf(w, "%d nodes: NOT within the bounds of a run\n", f.Nodes)
	}
}

// Draw plots the times of versions and connections over the number of nodes, as SVG. It fails if none was measured.
func Draw(w io.Writer, r *Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Into force everywhere, medians of %d plays", r.Plays)
	p.X.Label.Text, p.Y.Label.Text = "nodes", "s"
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	var lines []any
	for _, k := range []Key{KeyInForceP99, KeyBurst10, KeyBurst40, KeyConnect, KeyReconnect} {
		var xy plotter.XYs
		for _, f := range r.Sizes {
			if v, has := f.Values[k]; has {
				xy = append(xy, plotter.XY{X: float64(f.Nodes), Y: v})
			}
		}
		if len(xy) > 0 {
			lines = append(lines, string(k), xy)
		}
	}
	if len(lines) == 0 {
		return errors.New("nothing was measured")
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

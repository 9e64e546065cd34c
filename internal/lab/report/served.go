package report

import (
	"errors"
	"io"

	"gonum.org/v1/plot/plotter"

	"umberbank/internal/lab"
)

// DrawServed draws, as SVG, the share served in each second by several variants, over all runs of a variant. The faults shown are
// those of the first run.
func DrawServed(w io.Writer, names []string, runs [][]*lab.Result) error {
	if len(runs) == 0 || len(runs) != len(names) || len(runs[0]) == 0 {
		return errors.New("there are no runs to draw")
	}
	c := chart{unit: "share served", faults: runs[0][0].Faults, minTop: 1}
	for k, variant := range runs {
		c.lines = append(c.lines, line{name: names[k], values: meanServed(variant)})
	}
	svg, err := render(c)
	if err != nil {
		return err
	}
	_, err = io.WriteString(w, svg)
	return err
}

// meanServed returns the share served of the requests that arrived in each second, over all runs.
func meanServed(runs []*lab.Result) (xy plotter.XYs) {
	var requests, served []int
	for _, r := range runs {
		for i := range r.Series {
			if i == len(requests) {
				requests, served = append(requests, 0), append(served, 0)
			}
			for k := range r.Series[i].Requests {
				requests[i] += r.Series[i].Requests[k]
				served[i] += r.Series[i].Served[k]
			}
		}
	}
	for i := range requests {
		if requests[i] > 0 {
			xy = append(xy, plotter.XY{X: float64(i) + 0.5, Y: float64(served[i]) / float64(requests[i])})
		}
	}
	return xy
}

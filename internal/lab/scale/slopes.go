package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Slope is the growth of a figure with the number of nodes, from a linear regression over all plays.
type Slope struct {
	PerNode   float64 `json:"per_node"`
	Intercept float64 `json:"at_zero"`
	StdDev    float64 `json:"spread"` // standard deviation of the slopes of single plays; zero with one play
	R2        float64 `json:"r2"`
	Points    int     `json:"points"`
}

// summarize computes the medians and slopes of the plays.
func (r *Result) summarize() {
	r.Sizes, r.Slopes = nil, map[Key]*Slope{}
	bySize := map[int][]*Figures{}
	var sizes []int
	for _, play := range r.ByPlay {
		for _, f := range play {
			if bySize[f.Nodes] == nil {
				sizes = append(sizes, f.Nodes)
			}
			bySize[f.Nodes] = append(bySize[f.Nodes], f)
		}
	}
	slices.Sort(sizes)
	for _, n := range sizes {
		r.Sizes = append(r.Sizes, median(bySize[n]))
	}
	for _, k := range Keys {
		if s := slopeOf(r.ByPlay, k); s != nil {
			r.Slopes[k] = s
		}
	}
}

// median returns the median of each figure that all plays have measured. For other figures it returns the reason of a
// play that has not measured it.
func median(plays []*Figures) *Figures {
	m := newFigures(plays[0].Nodes)
	for _, k := range Keys {
		var l []float64
		reason := ""
		for _, f := range plays {
			if v, has := f.Values[k]; has {
				l = append(l, v)
			} else {
				reason = f.Missing[k]
			}
		}
		if len(l) < len(plays) {
			m.setMissing(k, "in %d of %d plays: %s", len(plays)-len(l), len(plays), reason)
			continue
		}
		slices.Sort(l)
		m.set(k, (l[(len(l)-1)/2]+l[len(l)/2])/2)
	}
	for _, f := range plays {
		m.WithinBounds, m.Notes = m.WithinBounds && f.WithinBounds, append(m.Notes, f.Notes...)
		for _, blockedBy := range f.BlockedBy {
			if !slices.Contains(m.BlockedBy, blockedBy) {
				m.BlockedBy = append(m.BlockedBy, blockedBy)
			}
		}
	}
	return m
}

// slopeOf returns the slope of a figure, or nil if it was measured at fewer than two sizes.
func slopeOf(plays [][]*Figures, k Key) *Slope {
	var xs, ys, playSlopes []float64
	sizes := map[int]bool{}
	for _, play := range plays {
		var x, y []float64
		for _, f := range play {
			if v, has := f.Values[k]; has {
				x, y = append(x, float64(f.Nodes)), append(y, v)
				sizes[f.Nodes] = true
			}
		}
		if len(x) > 1 {
			_, b := stat.LinearRegression(x, y, nil, false)
			playSlopes = append(playSlopes, b)
		}
		xs, ys = append(xs, x...), append(ys, y...)
	}
	if len(sizes) < 2 {
		return nil
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	s := &Slope{PerNode: b, Intercept: a, Points: len(xs)}
	if r2 := stat.RSquared(xs, ys, nil, a, b); !math.IsNaN(r2) && !math.IsInf(r2, 0) {
		s.R2 = r2
	}
	if len(playSlopes) > 1 {
		s.StdDev = stat.StdDev(playSlopes, nil)
	}
	return s
}

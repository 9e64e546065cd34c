package report

import (
	"math"

	"gonum.org/v1/plot/plotter"

	"umberbank/internal/lab"
)

// chart is one chart over time.
type chart struct {
	title, note, unit string
	lines             []line
	faults            []lab.FaultSpan
	minTop            float64 // smallest value at the top of the y axis
}

// line is one line of a chart.
type line struct {
	name   string
	values plotter.XYs
	dashed bool
	faint  bool // one of many lines, drawn thin and without an entry in the legend
}

// charts returns the charts of a run.
func charts(r *lab.Result) []chart {
	all := []chart{servedByClass(r), lostByClass(r)}
	if len(r.ZoneNames) > 1 {
		all = append(all, servedByZone(r))
	}
	all = append(all, latency(r), requestRates(r), inFlight(r))
	if len(r.NodeNames) > 0 && r.Series[0].MemoryMB != nil {
		all = append(all,
			perNode(r, "Memory of nodes", "resident, by process", "MB", func(s *lab.Second) []float64 { return s.MemoryMB }),
			perNode(r, "Descriptors of nodes", "open, by process", "descriptors", func(s *lab.Second) []float64 { return s.Descriptors }))
	}
	for i := range all {
		all[i].faults = r.Faults
	}
	return all
}

// series returns a point for each second for which value returns true.
func series(r *lab.Result, value func(*lab.Second) (float64, bool)) plotter.XYs {
	var points plotter.XYs
	for i := range r.Series {
		if v, ok := value(&r.Series[i]); ok {
			points = append(points, plotter.XY{X: float64(i) + 0.5, Y: v})
		}
	}
	return points
}

// shares returns part / total of the i-th class or zone for each second. Seconds with a total of zero are left out.
func shares(r *lab.Result, i int, part, total func(*lab.Second) []int) plotter.XYs {
	return series(r, func(s *lab.Second) (float64, bool) {
		parts, totals := part(s), total(s)
		if i >= len(parts) || i >= len(totals) || totals[i] == 0 {
			return 0, false
		}
		return float64(parts[i]) / float64(totals[i]), true
	})
}

func requests(s *lab.Second) []int       { return s.Requests }
func served(s *lab.Second) []int         { return s.Served }
func rejected(s *lab.Second) []int       { return s.Rejected }
func failed(s *lab.Second) []int         { return s.Failed }
func requestsByZone(s *lab.Second) []int { return s.RequestsByZone }
func zoneServed(s *lab.Second) []int     { return s.ServedByZone }

// servedByClass shows the share served of each class.
func servedByClass(r *lab.Result) chart {
	c := chart{
		title:  "Served by class",
		note:   "share of the requests of each second that were served within the latency objective",
		unit:   "share",
		minTop: 1,
	}
	for i, name := range r.ClassNames {
		c.lines = append(c.lines, line{name: name, values: shares(r, i, served, requests)})
	}
	return c
}

// lostByClass shows the shares rejected and failed of each class.
func lostByClass(r *lab.Result) chart {
	c := chart{
		title:  "Refused and failed by class",
		note:   "share of the requests of each second; dashed: failed",
		unit:   "share",
		minTop: 0.1,
	}
	for i, name := range r.ClassNames {
		c.lines = append(c.lines,
			line{name: name + " refused", values: shares(r, i, rejected, requests)},
			line{name: name + " failed", values: shares(r, i, failed, requests), dashed: true})
	}
	return c
}

// servedByZone shows the share served of each zone's clients.
func servedByZone(r *lab.Result) chart {
	c := chart{title: "Served by the clients' zone", note: "share of the requests of each second", unit: "share", minTop: 1}
	for i, name := range r.ZoneNames {
		c.lines = append(c.lines, line{name: name, values: shares(r, i, zoneServed, requestsByZone)})
	}
	return c
}

// latency shows quantiles of the latency.
func latency(r *lab.Result) chart {
	return chart{
		title: "Latency",
		note:  "from the scheduled arrival to the response, of requests with a response",
		unit:  "ms",
		lines: []line{
			{name: "median", values: series(r, func(s *lab.Second) (float64, bool) { return s.P50MS, s.P50MS > 0 })},
			{name: "99th percentile", values: series(r, func(s *lab.Second) (float64, bool) { return s.P99MS, s.P99MS > 0 })},
		},
	}
}

// requestRates shows requests, attempts and retries per second.
func requestRates(r *lab.Result) chart {
	total := func(s *lab.Second) (float64, bool) {
		sum := 0
		for _, n := range s.Requests {
			sum += n
		}
		return float64(sum), true
	}
	return chart{
		title: "Requests, attempts and retries",
		note:  "per second; attempts are those that reached a server of any tier",
		unit:  "1/s",
		lines: []line{
			{name: "requests", values: series(r, total)},
			{name: "attempts", values: series(r, func(s *lab.Second) (float64, bool) { return float64(s.Attempts), s.Attempts > 0 })},
			{name: "clients' retries", values: series(r, func(s *lab.Second) (float64, bool) { return float64(s.Retries), true }), dashed: true},
		},
	}
}

// maxSeparateLines is the largest number of servers that are each shown by a separate line.
const maxSeparateLines = 40

// inFlight shows the requests in flight at servers: the mean, the maximum, and each server if there are at most maxSeparateLines.
func inFlight(r *lab.Result) chart {
	c := chart{title: "In flight by server", note: "requests in flight at the end of each second; faint: each server", unit: "requests"}
	var mean, most plotter.XYs
	each := map[int]plotter.XYs{}
	for i, s := range r.Series {
		sum, top := 0.0, 0.0
		for k, v := range s.InFlight {
			sum += float64(v)
			top = math.Max(top, float64(v))
			if len(s.InFlight) <= maxSeparateLines {
				each[k] = append(each[k], plotter.XY{X: float64(i) + 1, Y: float64(v)})
			}
		}
		if n := len(s.InFlight); n > 0 {
			mean = append(mean, plotter.XY{X: float64(i) + 1, Y: sum / float64(n)})
			most = append(most, plotter.XY{X: float64(i) + 1, Y: top})
		}
	}
	for k := range len(each) {
		c.lines = append(c.lines, line{values: each[k], faint: true})
	}
	c.lines = append(c.lines, line{name: "mean", values: mean}, line{name: "fullest", values: most})
	return c
}

// perNode shows a figure of each node.
func perNode(r *lab.Result, title, note, unit string, of func(*lab.Second) []float64) chart {
	c := chart{title: title, note: note, unit: unit}
	for k, name := range r.NodeNames {
		var xy plotter.XYs
		for i := range r.Series {
			if v := of(&r.Series[i]); k < len(v) && v[k] > 0 {
				xy = append(xy, plotter.XY{X: float64(i) + 1, Y: v[k]})
			}
		}
		c.lines = append(c.lines, line{name: name, values: xy, faint: len(r.NodeNames) > len(colours)})
	}
	return c
}

// Package report draws a run: one HTML page with its pictures inside, which needs nothing else to be read.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"umberbank/internal/lab"
)

// Read reads a result as lab run keeps it.
func Read(r io.Reader) (*lab.Result, error) {
	var res lab.Result
	d := json.NewDecoder(r)
	if err := d.Decode(&res); err != nil {
		return nil, fmt.Errorf("no result of a run: %w", err)
	}
	if res.Scenario == "" || len(res.Series) == 0 {
		return nil, fmt.Errorf("no result of a run: it has no scenario or no seconds")
	}
	return &res, nil
}

// picture is one plot with its title.
type picture struct {
	Title string
	Note  string
	SVG   template.HTML
}

// Write writes the page.
func Write(w io.Writer, r *lab.Result) error {
	var pictures []picture
	for _, p := range plots(r) {
		svg, err := render(p)
		if err != nil {
			return fmt.Errorf("%s: %w", p.title, err)
		}
		pictures = append(pictures, picture{p.title, p.note, template.HTML(svg)})
	}
	return page.Execute(w, map[string]any{"R": r, "Pictures": pictures})
}

// chart is what one picture shows over time.
type chart struct {
	title, note, unit string
	lines             []line
	marks             []lab.FaultSpan
	most              float64 // the axis reaches at least so far
}

type line struct {
	name   string
	values plotter.XYs
	dashed bool
	faint  bool // one of many, without a place in the legend
}

// plots are the pictures of a run.
func plots(r *lab.Result) []chart {
	var l []chart
	names := r.ClassNames
	over := func(f func(s *lab.Second) (float64, bool)) plotter.XYs {
		var xy plotter.XYs
		for i := range r.Series {
			if v, ok := f(&r.Series[i]); ok {
				xy = append(xy, plotter.XY{X: float64(i) + 0.5, Y: v})
			}
		}
		return xy
	}
	part := func(of, all []int, i int) (float64, bool) {
		if i >= len(of) || i >= len(all) || all[i] == 0 {
			return 0, false
		}
		return float64(of[i]) / float64(all[i]), true
	}
	served := chart{title: "Served by class", note: "share of the requests that came in a second and were served within the aim", unit: "share", most: 1}
	lost := chart{title: "Refused and failed by class", note: "share of the requests that came in a second; dashed: failed", unit: "share", most: 0.1}
	for i, name := range names {
		served.lines = append(served.lines, line{name: name, values: over(func(s *lab.Second) (float64, bool) { return part(s.Served, s.Requests, i) })})
		lost.lines = append(lost.lines,
			line{name: name + " refused", values: over(func(s *lab.Second) (float64, bool) { return part(s.Rejected, s.Requests, i) })},
			line{name: name + " failed", values: over(func(s *lab.Second) (float64, bool) { return part(s.Failed, s.Requests, i) }), dashed: true})
	}
	l = append(l, served, lost)
	if len(r.ZoneNames) > 1 {
		zones := chart{title: "Served by the clients' zone", note: "share of the requests that came in a second", unit: "share", most: 1}
		for i, name := range r.ZoneNames {
			zones.lines = append(zones.lines, line{name: name, values: over(func(s *lab.Second) (float64, bool) { return part(s.ServedByZone, s.RequestsByZone, i) })})
		}
		l = append(l, zones)
	}
	l = append(l, chart{title: "Latency", note: "from the intended arrival to the answer, of what was answered", unit: "ms", lines: []line{
		{name: "half", values: over(func(s *lab.Second) (float64, bool) { return s.P50MS, s.P50MS > 0 })},
		{name: "99 in 100", values: over(func(s *lab.Second) (float64, bool) { return s.P99MS, s.P99MS > 0 })}}})
	asked := func(s *lab.Second) float64 {
		n := 0
		for _, k := range s.Requests {
			n += k
		}
		return float64(n)
	}
	l = append(l, chart{title: "Requests, attempts and retries", note: "a second; attempts are those that reached a server of any tier", unit: "1/s", lines: []line{
		{name: "requests", values: over(func(s *lab.Second) (float64, bool) { return asked(s), true })},
		{name: "attempts", values: over(func(s *lab.Second) (float64, bool) { return float64(s.Attempts), s.Attempts > 0 })},
		{name: "clients' retries", values: over(func(s *lab.Second) (float64, bool) { return float64(s.Retries), true }), dashed: true}}})
	l = append(l, inFlight(r))
	if len(r.NodeNames) > 0 && r.Series[0].MemoryMB != nil {
		l = append(l, perNode(r, "Memory of nodes", "resident, by process", "MB", func(s *lab.Second) []float64 { return s.MemoryMB }),
			perNode(r, "Descriptors of nodes", "open, by process", "descriptors", func(s *lab.Second) []float64 { return s.Descriptors }))
	}
	for i := range l {
		l[i].marks = r.Faults
	}
	return l
}

// mostLines is how many lines of one kind a picture shows by themselves.
const mostLines = 40

// inFlight shows what each server holds: the mean and the fullest, and each where there are few.
func inFlight(r *lab.Result) chart {
	c := chart{title: "In flight by server", note: "requests held at the end of each second; faint: each server", unit: "requests"}
	var mean, most plotter.XYs
	each := map[int]plotter.XYs{}
	for i, s := range r.Series {
		sum, top := 0.0, 0.0
		for k, v := range s.InFlight {
			sum += float64(v)
			top = math.Max(top, float64(v))
			if len(s.InFlight) <= mostLines {
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

// perNode shows one figure of each node.
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

// colours are told apart also by those who see red and green alike (Okabe and Ito's palette).
var colours = []color.NRGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255},
	{86, 180, 233, 255}, {60, 60, 60, 255}, {150, 120, 40, 255}}

const (
	width     = 24 * vg.Centimeter
	height    = 8.5 * vg.Centimeter
	textSize  = font.Length(9)
	wordSize  = font.Length(7.5)
	aboveData = 1.3  // the room above the lines, for the faults' names
	besides   = 1.17 // and beside them, for the legend
)

// render draws a chart as SVG.
func render(c chart) (string, error) {
	p, err := build(c)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.String()
	if i := strings.Index(svg, "<svg"); i > 0 {
		svg = svg[i:] // the page has a head of its own
	}
	return svg, nil
}

// build lays a chart out.
func build(c chart) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time (s)", c.unit
	for _, s := range []*font.Length{&p.X.Label.TextStyle.Font.Size, &p.Y.Label.TextStyle.Font.Size, &p.X.Tick.Label.Font.Size,
		&p.Y.Tick.Label.Font.Size, &p.Legend.TextStyle.Font.Size} {
		*s = textSize
	}
	p.Legend.Top, p.Legend.XOffs, p.Legend.YOffs = true, -2, -6
	end := 1.0
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, c.most
	for _, l := range c.lines {
		for _, v := range l.values {
			end = math.Max(end, v.X)
			p.Y.Max = math.Max(p.Y.Max, v.Y)
		}
	}
	if p.Y.Max == 0 {
		p.Y.Max = 1
	}
	p.X.Max, p.Y.Max = end*besides, p.Y.Max*aboveData
	p.X.Tick.Marker = ticks(end)
	p.Add(plotter.NewGrid())
	p.Add(marks{c.marks, end})
	next := 0
	for _, l := range c.lines {
		if len(l.values) == 0 {
			continue
		}
		ln, err := plotter.NewLine(l.values)
		if err != nil {
			return nil, err
		}
		ln.Width = 1.4
		if l.faint {
			ln.Color, ln.Width = color.NRGBA{170, 170, 170, 255}, 0.5
		} else {
			ln.Color = colours[next%len(colours)]
			if l.dashed {
				ln.Dashes = []vg.Length{4, 3}
			}
			next++
			p.Legend.Add(l.name, ln)
		}
		p.Add(ln)
	}
	return p, nil
}

// marks draws faults as bands with their kinds on top, in as many rows as it takes.
type marks struct {
	l   []lab.FaultSpan
	end float64 // of the run
}

// rows is how many rows of words there are, from the top.
const rows = 4

func (m marks) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := p.X.Tick.Label
	style.Font.Size = wordSize
	style.XAlign, style.YAlign = draw.XLeft, draw.YTop
	style.Color = color.NRGBA{110, 70, 0, 255}
	ends := make([]vg.Length, rows) // of the last word in each row
	for _, f := range m.l {
		if f.FromSeconds > m.end {
			continue
		}
		from := x(f.FromSeconds)
		to := max(x(math.Min(m.end, f.ToSeconds)), from+1)
		c.FillPolygon(color.NRGBA{230, 159, 0, 45}, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
		// The word stands in the first row where it covers no other; where there is none, the band must do.
		for row := range ends {
			if from > ends[row] {
				c.FillText(style, vg.Point{X: from + 1, Y: c.Max.Y - 1 - vg.Length(row)*style.Font.Size*1.1}, f.Kind)
				ends[row] = from + style.Width(f.Kind) + 4
				break
			}
		}
	}
}

// steps are the distances that ticks of time may have, in seconds.
var steps = []float64{1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200}

// mostTicks is how many ticks of time there are at most.
const mostTicks = 16

// ticks marks whole seconds up to the end of the run.
func ticks(end float64) plot.ConstantTicks {
	step := steps[len(steps)-1]
	for i := len(steps) - 1; i >= 0 && end/steps[i] <= mostTicks; i-- {
		step = steps[i]
	}
	var l plot.ConstantTicks
	for t := 0.0; t <= end; t += step {
		l = append(l, plot.Tick{Value: t, Label: fmt.Sprintf("%.0f", t)})
	}
	return l
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Scenario}}, seed {{.R.Seed}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto}.bad{color:#b00020;font-weight:600}.note{color:#666;margin:.1rem 0 .4rem}
pre{background:#f5f5f5;padding:.6rem;overflow:auto;font-size:12px}h2{margin-bottom:0}
</style>
<h1>{{.R.Scenario}}</h1>
<p>Seed {{.R.Seed}}, {{if .R.Virtual}}virtual clock{{else}}real processes{{end}}, {{printf "%.0f" .R.Seconds}} s of load, {{.R.Requests}} requests.
Served {{printf "%.3f" .R.ServedShare}}, worth {{printf "%.3f" .R.WeightedServedShare}}, {{printf "%.2f" .R.AttemptsPerRequest}} attempts a request.
{{if .R.Partial}}<span class="bad">Broken off.</span>{{else if not .R.Valid}}<span class="bad">Not valid: the load went out late.</span>{{else if .R.FailedExpectations}}<span class="bad">Not held.</span>{{else}}All held.{{end}}</p>
{{range .R.FailedExpectations}}<p class="bad">{{.}}</p>{{end}}
<table><tr><th>class<th>asked<th>served<th>late<th>refused<th>failed<th>left<th>share<th>p50 ms<th>p90 ms<th>p99 ms</tr>
{{range $n := .R.ClassNames}}{{with index $.R.Classes $n}}<tr><td>{{$n}}<td>{{.Requests}}<td>{{.Served}}<td>{{.Late}}<td>{{.Rejected}}<td>{{.Failed}}<td>{{.Abandoned}}<td>{{printf "%.3f" .ServedShare}}<td>{{printf "%.1f" .P50MS}}<td>{{printf "%.1f" .P90MS}}<td>{{printf "%.1f" .P99MS}}</tr>{{end}}{{end}}</table>
{{range .Pictures}}<h2>{{.Title}}</h2><p class="note">{{.Note}}</p>{{.SVG}}{{end}}
{{if .R.Faults}}<h2>Faults</h2><table><tr><th>kind<th>from s<th>to s<th>hits</tr>
{{range .R.Faults}}<tr><td>{{.Kind}}<td>{{printf "%.1f" .FromSeconds}}<td>{{printf "%.1f" .ToSeconds}}<td>{{range .Nodes}}{{.}} {{end}}{{range .Servers}}{{.}} {{end}}</tr>{{end}}</table>{{end}}
{{if .R.Violations}}<h2>Rules broken</h2>{{range .R.Violations}}<p class="bad">{{.Rule}}: {{.Request}} {{.Detail}}</p><pre>{{range .Trace}}{{.}}
{{end}}</pre>{{end}}{{end}}
</html>
`))

// Package report writes the result of a run as one self-contained HTML page, and draws comparisons as SVG.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"

	"umberbank/internal/lab"
)

// Read reads a result in the JSON form that "lab run" writes.
func Read(r io.Reader) (*lab.Result, error) {
	var res lab.Result
	d := json.NewDecoder(r)
	if err := d.Decode(&res); err != nil {
		return nil, fmt.Errorf("no result of a run: %w", err)
	}
	if res.Scenario == "" || len(res.Series) == 0 {
		return nil, errors.New("no result of a run: it has no scenario or no seconds")
	}
	return &res, nil
}

// picture is a rendered chart with its title.
type picture struct {
	Title string
	Note  string
	SVG   template.HTML
}

// Write writes the page of a run.
func Write(w io.Writer, r *lab.Result) error {
	var pictures []picture
	for _, c := range charts(r) {
		svg, err := render(c)
		if err != nil {
			return fmt.Errorf("%s: %w", c.title, err)
		}
		pictures = append(pictures, picture{c.title, c.note, template.HTML(svg)})
	}
	return page.Execute(w, map[string]any{"R": r, "Pictures": pictures})
}

// page is the template of the HTML page.
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
{{if .R.Partial}}<span class="bad">Interrupted.</span>{{else if not .R.Valid}}<span class="bad">Invalid: the load was sent late.</span>{{else if .R.FailedExpectations}}<span class="bad">Expectations not met.</span>{{else}}All expectations met.{{end}}</p>
{{range .R.FailedExpectations}}<p class="bad">{{.}}</p>{{end}}
<table><tr><th>class<th>asked<th>served<th>late<th>refused<th>failed<th>abandoned<th>share<th>p50 ms<th>p90 ms<th>p99 ms</tr>
{{range $n := .R.ClassNames}}{{with index $.R.Classes $n}}<tr><td>{{$n}}<td>{{.Requests}}<td>{{.Served}}<td>{{.Late}}<td>{{.Rejected}}<td>{{.Failed}}<td>{{.Abandoned}}<td>{{printf "%.3f" .ServedShare}}<td>{{printf "%.1f" .P50MS}}<td>{{printf "%.1f" .P90MS}}<td>{{printf "%.1f" .P99MS}}</tr>{{end}}{{end}}</table>
{{range .Pictures}}<h2>{{.Title}}</h2><p class="note">{{.Note}}</p>{{.SVG}}{{end}}
{{if .R.Faults}}<h2>Faults</h2><table><tr><th>kind<th>from s<th>to s<th>targets</tr>
{{range .R.Faults}}<tr><td>{{.Kind}}<td>{{printf "%.1f" .FromSeconds}}<td>{{printf "%.1f" .ToSeconds}}<td>{{range .Nodes}}{{.}} {{end}}{{range .Servers}}{{.}} {{end}}</tr>{{end}}</table>{{end}}
{{if .R.Violations}}<h2>Rules broken</h2>{{range .R.Violations}}<p class="bad">{{.Rule}}: {{.Request}} {{.Detail}}</p><pre>{{range .Trace}}{{.}}
{{end}}</pre>{{end}}{{end}}
</html>
`))

package report

import (
	"bytes"
	"fmt"
	"image/color"
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

// colours is the palette of Okabe and Ito, which readers with red-green colour blindness can distinguish.
var colours = []color.NRGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255},
	{86, 180, 233, 255}, {60, 60, 60, 255}, {150, 120, 40, 255}}

// Dimensions of a chart.
const (
	width       = 24 * vg.Centimeter
	height      = 8.5 * vg.Centimeter
	textSize    = font.Length(9)
	labelSize   = font.Length(7.5)
	headroom    = 1.3  // factor by which the y axis is longer than the lines need, for the labels of faults
	legendSpace = 1.17 // factor by which the x axis is longer, for the legend
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
		svg = svg[i:] // removes the XML declaration, since the SVG is embedded in a page
	}
	return svg, nil
}

// build creates the plot of a chart.
func build(c chart) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "time (s)", c.unit
	for _, size := range []*font.Length{
		&p.X.Label.TextStyle.Font.Size, &p.Y.Label.TextStyle.Font.Size,
		&p.X.Tick.Label.Font.Size, &p.Y.Tick.Label.Font.Size, &p.Legend.TextStyle.Font.Size,
	} {
		*size = textSize
	}
	p.Legend.Top, p.Legend.XOffs, p.Legend.YOffs = true, -2, -6
	end := scaleAxes(p, c)
	p.Add(plotter.NewGrid())
	p.Add(faultBands{c.faults, end})
	return p, addLines(p, c.lines)
}

// scaleAxes fits the axes to the lines and returns the end of the run.
func scaleAxes(p *plot.Plot, c chart) (end float64) {
	end = 1.0
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, c.minTop
	for _, l := range c.lines {
		for _, v := range l.values {
			end = math.Max(end, v.X)
			p.Y.Max = math.Max(p.Y.Max, v.Y)
		}
	}
	if p.Y.Max == 0 {
		p.Y.Max = 1
	}
	p.X.Max, p.Y.Max = end*legendSpace, p.Y.Max*headroom
	p.X.Tick.Marker = ticks(end)
	return end
}

// addLines adds the lines that have values. Faint lines get no entry in the legend.
func addLines(p *plot.Plot, lines []line) error {
	colour := 0
	for _, l := range lines {
		if len(l.values) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(l.values)
		if err != nil {
			return err
		}
		drawn.Width = 1.4
		if l.faint {
			drawn.Color, drawn.Width = color.NRGBA{170, 170, 170, 255}, 0.5
		} else {
			drawn.Color = colours[colour%len(colours)]
			if l.dashed {
				drawn.Dashes = []vg.Length{4, 3}
			}
			colour++
			p.Legend.Add(l.name, drawn)
		}
		p.Add(drawn)
	}
	return nil
}

// faultBands draws faults as bands with their kinds as labels, in labelRows rows.
type faultBands struct {
	faults []lab.FaultSpan
	end    float64 // end of the run
}

// labelRows is the number of rows of labels.
const labelRows = 4

// Plot implements plot.Plotter.
func (m faultBands) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := p.X.Tick.Label
	style.Font.Size = labelSize
	style.XAlign, style.YAlign = draw.XLeft, draw.YTop
	style.Color = color.NRGBA{110, 70, 0, 255}
	ends := make([]vg.Length, labelRows) // of the last label in each row
	for _, f := range m.faults {
		if f.FromSeconds > m.end {
			continue
		}
		from := x(f.FromSeconds)
		to := max(x(math.Min(m.end, f.ToSeconds)), from+1)
		c.FillPolygon(color.NRGBA{230, 159, 0, 45}, []vg.Point{{X: from, Y: c.Min.Y}, {X: to, Y: c.Min.Y}, {X: to, Y: c.Max.Y}, {X: from, Y: c.Max.Y}})
		// The label goes into the first row in which it covers no other label. If there is none, the band gets no label.
		for row := range ends {
			if from > ends[row] {
				c.FillText(style, vg.Point{X: from + 1, Y: c.Max.Y - 1 - vg.Length(row)*style.Font.Size*1.1}, f.Kind)
				ends[row] = from + style.Width(f.Kind) + 4
				break
			}
		}
	}
}

// tickSteps are the possible distances between ticks of the time axis, in seconds.
var tickSteps = []float64{1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200}

// maxTicks is the largest number of intervals on the time axis. A run that is longer than maxTicks times the largest of
// tickSteps has more.
const maxTicks = 16

// ticks returns ticks at whole seconds up to the end of the run.
func ticks(end float64) plot.ConstantTicks {
	step := tickSteps[len(tickSteps)-1]
	for i := len(tickSteps) - 1; i >= 0 && end/tickSteps[i] <= maxTicks; i-- {
		step = tickSteps[i]
	}
	var l plot.ConstantTicks
	for t := 0.0; t <= end; t += step {
		l = append(l, plot.Tick{Value: t, Label: fmt.Sprintf("%.0f", t)})
	}
	return l
}

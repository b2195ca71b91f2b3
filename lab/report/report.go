// Package report presents the results of experiment runs: as a summary for the terminal and as one self-contained HTML
// page with SVG plots.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hatchproxy/lab/experiment"
)

// WriteSummary writes a result as a few lines of text, with ANSI colours if colour is set. It shows the first three rule
// breaches and the number of the others.
func WriteSummary(w io.Writer, r *experiment.Result, colour bool) {
	f := r.Figures
	good, bad, plain := "", "", ""
	if colour {
		good, bad, plain = "\x1b[32m", "\x1b[31m", "\x1b[0m"
	}
	fmt.Fprintf(w, "%s, seed %d, by %s %s\n", r.Experiment, r.Seed, r.Placement, r.Proxy)
	fmt.Fprintf(w, "  served %.3f (worst 10 s %.3f, after the troubles %.3f)  %s\n", f["served"], f["served-worst-10s"], f["served-after"], Sparkline(r.ServedBySecond))
	fmt.Fprintf(w, "  asked %.0f  up %.0f  busy %.0f  failed %.0f  no answer %.0f  refused %.0f  moved %.0f  broken %.0f\n",
		f["asks"], f["ups"], f["busy"], f["failed"], f["nothing"], f["refused"], f["moves"], f["breaks"])
	fmt.Fprintf(w, "  set-up ms p50 %.1f p99 %.1f p99.9 %.1f   line ms p50 %.1f p99 %.1f p99.9 %.1f\n",
		f["set-up-p50"], f["set-up-p99"], f["set-up-p99.9"], f["line-p50"], f["line-p99"], f["line-p99.9"])
	fmt.Fprintf(w, "  established at most %.0f  proxies' cores %.2f  hatchlab's cores %.2f  arrivals sent late by ms p99.9 %.1f, max %.1f\n",
		f["standing-max"], f["proxy-cpu"], f["lab-cpu"], f["late-arrival-p99.9"], f["late-arrival-p100"])
	for _, b := range r.Breaches[:min(len(r.Breaches), 3)] {
		fmt.Fprintf(w, "  %sBROKEN%s %s\n", bad, plain, strings.ReplaceAll(b, "\n", "\n  "))
	}
	if len(r.Breaches) > 3 {
		fmt.Fprintf(w, "  %sBROKEN%s and %.0f more\n", bad, plain, f["breaches"]-3)
	}
	for _, s := range r.Shortfalls {
		fmt.Fprintf(w, "  %sSHORT%s %s\n", bad, plain, s)
	}
	if len(r.Shortfalls) == 0 && r.Placement == experiment.PlacementProxies {
		fmt.Fprintf(w, "  %sall held%s\n", good, plain)
	}
}

// Sparkline returns shares between 0 and 1 as a line of block characters. Larger values are drawn as 1; a negative value or
// NaN, as for a second without requests, is a space.
func Sparkline(shares []float64) string {
	blocks := []rune("▁▂▃▄▅▆▇█")
	var line []rune
	for _, x := range shares {
		if !(x >= 0) {
			line = append(line, ' ')
			continue
		}
		line = append(line, blocks[int(math.Min(1, x)*float64(len(blocks)-1)+0.5)])
	}
	return string(line)
}

// pageTemplate is the HTML page that WriteHTML fills in.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{.Title}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.15rem .7rem;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.6rem;overflow-x:auto;font-size:12px}
.bad{color:#b00020}.good{color:#1b7f3b}svg{max-width:100%;height:auto}
</style>
<h1>{{.Title}}</h1><p>{{.About}}</p>
{{if .Table}}<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>
{{range .Table}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{range .Runs}}<h2>{{.Name}}</h2>
{{if .Shortfalls}}<ul class="bad">{{range .Shortfalls}}<li>{{.}}</li>{{end}}</ul>{{else if .Checked}}<p class="good">All expectations were met.</p>{{end}}
{{range .Plots}}{{.}}{{end}}
{{if .Breaches}}<h3>Broken rules</h3>{{range .Breaches}}<pre>{{.}}</pre>{{end}}{{end}}
{{end}}</html>
`))

// tableFigures are the figures in the table of the HTML page.
var tableFigures = []string{"served", "served-worst-10s", "served-after", "recovered-s", "asks", "busy", "failed", "nothing", "moves-share",
	"set-up-p50", "set-up-p99", "line-p50", "line-p99", "breaches", "tipped", "proxy-cpu", "proxy-mb", "lab-cpu", "late-arrival-p100"}

// WriteHTML writes results as one HTML page: a table of figures with a column for each run, then plots, missed expectations
// and rule breaches of each run. Costs are further rows of the table.
func WriteHTML(w io.Writer, title, about string, results []*experiment.Result, costs []*experiment.Cost) error {
	type runSection struct {
		Name                 string
		Checked              bool // expectations were checked: only for runs through proxies
		Shortfalls, Breaches []string
		Plots                []template.HTML
	}
	data := struct {
		Title, About string
		Head         []string
		Table        [][]string
		Runs         []runSection
	}{Title: title, About: about, Head: []string{"figure"}}
	for _, r := range results {
		data.Head = append(data.Head, fmt.Sprintf("%s %s, seed %d", r.Placement, r.Proxy, r.Seed))
	}
	for _, name := range tableFigures {
		row := []string{name}
		for _, r := range results {
			row = append(row, fmt.Sprintf("%.4g", r.Figures[name]))
		}
		data.Table = append(data.Table, row)
	}
	for _, c := range costs {
		data.Table = append(data.Table, append([]string{fmt.Sprintf("cost at %d connections, proxy/bare relay=ratio", c.Connections)}, c.Summary()))
	}
	for _, r := range results {
		section := runSection{Name: fmt.Sprintf("%s, seed %d, by %s %s", r.Experiment, r.Seed, r.Placement, r.Proxy), Checked: r.Placement == experiment.PlacementProxies,
			Shortfalls: r.Shortfalls, Breaches: r.Breaches}
		for _, draw := range []func(*experiment.Result) (*plot.Plot, error){servedPlot, latencyPlot, connectionsPlot} {
			picture, err := draw(r)
			if err != nil {
				return err
			}
			text, err := renderSVG(picture)
			if err != nil {
				return err
			}
			section.Plots = append(section.Plots, text)
		}
		data.Runs = append(data.Runs, section)
	}
	return pageTemplate.Execute(w, data)
}

// renderSVG returns a plot as an SVG element that can be embedded in an HTML page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas, err := p.WriterTo(20*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	// The XML declaration and the doctype before the element are valid in a separate file only.
	start := bytes.Index(text.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("the rendered plot has no <svg element")
	}
	return template.HTML(text.Bytes()[start:]), nil
}

// The colours of the plots.
var (
	blue  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	grey  = color.RGBA{R: 0x90, G: 0x90, B: 0x90, A: 0xff}
	rose  = color.NRGBA{R: 0xe8, G: 0x70, B: 0x70, A: 0x40}
	green = color.RGBA{R: 0x1b, G: 0x7f, B: 0x3b, A: 0xff}
)

// newPlot returns a plot with a grid and a title; x and y are the labels of its axes.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// shadeTroubles shades the interval of each trouble of a run, up to the given height, and labels it with the first
// word of its text. An interval that is shorter than 1/200 of the run is drawn that wide.
func shadeTroubles(p *plot.Plot, r *experiment.Result, height float64) error {
	for n, trouble := range r.Troubles {
		end := math.Max(trouble.ToSeconds, trouble.FromSeconds+r.LengthSeconds/200)
		box, err := plotter.NewPolygon(plotter.XYs{{X: trouble.FromSeconds, Y: 0}, {X: end, Y: 0}, {X: end, Y: height}, {X: trouble.FromSeconds, Y: height}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = rose, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: trouble.FromSeconds, Y: height * (0.03 + 0.07*float64(n%5))}}, Labels: []string{strings.SplitN(trouble.Text, " ", 2)[0]}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// servedPlot shows the share served in each second and the arrivals, scaled to their maximum.
func servedPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("Share served by second (arrivals in grey, relative to their maximum)", "s", "share")
	if err := shadeTroubles(p, r, 1); err != nil {
		return nil, err
	}
	maxArrivals := 1.0
	for _, n := range r.ArrivalsBySecond {
		maxArrivals = math.Max(maxArrivals, n)
	}
	var served, arrivals plotter.XYs
	for i, x := range r.ServedBySecond {
		if x >= 0 {
			served = append(served, plotter.XY{X: float64(i) + 0.5, Y: math.Min(1, x)})
		}
	}
	for i, n := range r.ArrivalsBySecond[:min(len(r.ArrivalsBySecond), int(r.LengthSeconds))] {
		arrivals = append(arrivals, plotter.XY{X: float64(i) + 0.5, Y: n / maxArrivals})
	}
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1.25, 0, r.LengthSeconds // room for the legend
	return p, addLines(p, []plotter.XYs{arrivals, served}, []color.Color{grey, blue}, []string{fmt.Sprintf("arrivals, at most %.0f/s", maxArrivals), "served"})
}

// addLines adds one line for each row of points that isn't empty, with its colour and its name in the legend.
func addLines(p *plot.Plot, rows []plotter.XYs, colours []color.Color, names []string) error {
	for i, row := range rows {
		if len(row) == 0 {
			continue
		}
		line, err := plotter.NewLine(row)
		if err != nil {
			return err
		}
		line.Color, line.Width = colours[i], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(names[i], line)
	}
	return nil
}

// latencyPlot shows set-up time and message answer time by quantile. The quantile axis is stretched towards 1 and the time axis
// is logarithmic.
func latencyPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("Latency by quantile", "quantile", "ms")
	var rows []plotter.XYs
	for _, row := range [][]experiment.Quantile{r.SetUpQuantiles, r.LineQuantiles} {
		var points plotter.XYs
		for _, q := range row {
			points = append(points, plotter.XY{X: quantileAxis(q.Q), Y: math.Max(0.01, q.MS)})
		}
		rows = append(rows, points)
	}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var ticks []plot.Tick
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99, 0.999, 0.9999} {
		ticks = append(ticks, plot.Tick{Value: quantileAxis(q), Label: fmt.Sprint(q)})
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Legend.Left = true
	return p, addLines(p, rows, []color.Color{blue, green}, []string{"set-up, from the scheduled request", "line, from the scheduled send"})
}

// quantileAxis maps a quantile to its place on the axis, -log10(1-q), so that 0.9, 0.99 and 0.999 are equally far apart. It is
// 5 at most.
func quantileAxis(q float64) float64 { return -math.Log10(math.Max(1-q, 1e-5)) }

// connectionsPlot shows the number of established connections of each server over time.
func connectionsPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("Connections by server", "s", "established")
	maxConnections := 1.0
	for _, row := range r.EstablishedBySecond {
		for _, n := range row {
			maxConnections = math.Max(maxConnections, float64(n))
		}
	}
	if err := shadeTroubles(p, r, maxConnections); err != nil {
		return nil, err
	}
	if len(r.EstablishedBySecond) == 0 {
		return p, nil
	}
	for server := range r.EstablishedBySecond[0] {
		var points plotter.XYs
		for i, row := range r.EstablishedBySecond {
			points = append(points, plotter.XY{X: float64(i + 1), Y: float64(row[server])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = hueColor(float64(server) / float64(len(r.EstablishedBySecond[0])))
		p.Add(line)
	}
	return p, nil
}

// hueColor returns the colour at a position of the colour wheel; x is the share of a full turn.
func hueColor(x float64) color.Color {
	channel := func(shift float64) uint8 { return uint8(110 + 100*math.Cos(2*math.Pi*(x+shift))) }
	return color.RGBA{R: channel(0), G: channel(1.0 / 3), B: channel(2.0 / 3), A: 0xff}
}

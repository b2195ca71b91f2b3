// Package report shows what runs came to: a summary for the terminal, and one page that needs nothing beside it.
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

// WriteSummary writes a result down for a terminal.
func WriteSummary(w io.Writer, r *experiment.Result, colour bool) {
	f := r.Figures
	good, bad, plain := "", "", ""
	if colour {
		good, bad, plain = "\x1b[32m", "\x1b[31m", "\x1b[0m"
	}
	fmt.Fprintf(w, "%s, seed %d, by %s %s\n", r.Experiment, r.Seed, r.Placement, r.Proxy)
	fmt.Fprintf(w, "  served %.3f (worst 10 s %.3f, after the troubles %.3f)  %s\n", f["served"], f["served-worst-10s"], f["served-after"], Sparkline(r.ServedBySecond))
	fmt.Fprintf(w, "  asked %.0f  up %.0f  pushed back %.0f  failed %.0f  no answer %.0f  refused %.0f  moved %.0f  broken %.0f\n",
		f["asks"], f["ups"], f["busy"], f["failed"], f["nothing"], f["refused"], f["moves"], f["breaks"])
	fmt.Fprintf(w, "  set-up ms p50 %.1f p99 %.1f p99.9 %.1f   line ms p50 %.1f p99 %.1f p99.9 %.1f\n",
		f["set-up-p50"], f["set-up-p99"], f["set-up-p99.9"], f["line-p50"], f["line-p99"], f["line-p99.9"])
	fmt.Fprintf(w, "  standing at most %.0f  proxies' cores %.2f  this program's %.2f  own lateness ms p99.9 %.1f, most %.1f\n",
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

// Sparkline draws a row of shares as one line of blocks; what is no share is a space.
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
{{if .Short}}<ul class="bad">{{range .Short}}<li>{{.}}</li>{{end}}</ul>{{else if .Judged}}<p class="good">All that was expected held.</p>{{end}}
{{range .Plots}}{{.}}{{end}}
{{if .Breaches}}<h3>Broken rules</h3>{{range .Breaches}}<pre>{{.}}</pre>{{end}}{{end}}
{{end}}</html>
`))

// tableFigures are the figures of the page's table.
var tableFigures = []string{"served", "served-worst-10s", "served-after", "recovered-s", "asks", "busy", "failed", "nothing", "moves-share",
	"set-up-p50", "set-up-p99", "line-p50", "line-p99", "breaches", "tipped", "proxy-cpu", "proxy-mb", "lab-cpu", "late-arrival-p100"}

// WriteHTML writes results down as one page. Costs, where there are any, are a table of their own.
func WriteHTML(w io.Writer, title, about string, results []*experiment.Result, costs []*experiment.Cost) error {
	type part struct {
		Name            string
		Judged          bool
		Short, Breaches []string
		Plots           []template.HTML
	}
	data := struct {
		Title, About string
		Head         []string
		Table        [][]string
		Runs         []part
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
		data.Table = append(data.Table, append([]string{fmt.Sprintf("cost at %d standing, beside a bare relay", c.Connections)}, c.Summary()))
	}
	for _, r := range results {
		p := part{Name: fmt.Sprintf("%s, seed %d, by %s %s", r.Experiment, r.Seed, r.Placement, r.Proxy), Judged: r.Placement == experiment.PlacementProxies,
			Short: r.Shortfalls, Breaches: r.Breaches}
		for _, draw := range []func(*experiment.Result) (*plot.Plot, error){servedPlot, latencyPlot, connectionsPlot} {
			drawn, err := draw(r)
			if err != nil {
				return err
			}
			text, err := renderSVG(drawn)
			if err != nil {
				return err
			}
			p.Plots = append(p.Plots, text)
		}
		data.Runs = append(data.Runs, p)
	}
	return pageTemplate.Execute(w, data)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas, err := p.WriterTo(20*vg.Centimeter, 7*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	// What comes before the element belongs to a file of its own.
	at := bytes.Index(text.Bytes(), []byte("<svg"))
	if at < 0 {
		return "", fmt.Errorf("the plot is no picture")
	}
	return template.HTML(text.Bytes()[at:]), nil
}

var (
	blue  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	grey  = color.RGBA{R: 0x90, G: 0x90, B: 0x90, A: 0xff}
	rose  = color.NRGBA{R: 0xe8, G: 0x70, B: 0x70, A: 0x40}
	green = color.RGBA{R: 0x1b, G: 0x7f, B: 0x3b, A: 0xff}
)

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// shadeTroubles shades the times of troubles up to a height.
func shadeTroubles(p *plot.Plot, r *experiment.Result, height float64) error {
	for n, m := range r.Troubles {
		to := math.Max(m.ToSeconds, m.FromSeconds+r.LengthSeconds/200)
		box, err := plotter.NewPolygon(plotter.XYs{{X: m.FromSeconds, Y: 0}, {X: to, Y: 0}, {X: to, Y: height}, {X: m.FromSeconds, Y: height}})
		if err != nil {
			return err
		}
		box.Color, box.LineStyle.Width = rose, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.FromSeconds, Y: height * (0.03 + 0.07*float64(n%5))}}, Labels: []string{strings.SplitN(m.Text, " ", 2)[0]}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// servedPlot is the share served in each second, beside the arrivals.
func servedPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("Share served by second (arrivals in grey, against their most)", "s", "share")
	if err := shadeTroubles(p, r, 1); err != nil {
		return nil, err
	}
	most := 1.0
	for _, n := range r.ArrivalsBySecond {
		most = math.Max(most, n)
	}
	var served, came plotter.XYs
	for i, x := range r.ServedBySecond {
		if x >= 0 {
			served = append(served, plotter.XY{X: float64(i) + 0.5, Y: math.Min(1, x)})
		}
	}
	for i, n := range r.ArrivalsBySecond[:min(len(r.ArrivalsBySecond), int(r.LengthSeconds))] {
		came = append(came, plotter.XY{X: float64(i) + 0.5, Y: n / most})
	}
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, 1.25, 0, r.LengthSeconds // room for the legend
	return p, addLines(p, []plotter.XYs{came, served}, []color.Color{grey, blue}, []string{fmt.Sprintf("arrivals, most %.0f a second", most), "served"})
}

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

// latencyPlot is the time by quantile; the scale shows the nines.
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
	return p, addLines(p, rows, []color.Color{blue, green}, []string{"set-up, from when it was meant to be asked for", "line, from when it was meant to be sent"})
}

// quantileAxis spreads the quantiles near 1.
func quantileAxis(q float64) float64 { return -math.Log10(math.Max(1-q, 1e-5)) }

// connectionsPlot is how many connections stand at each server.
func connectionsPlot(r *experiment.Result) (*plot.Plot, error) {
	p := newPlot("Connections by server", "s", "standing")
	most := 1.0
	for _, row := range r.EstablishedBySecond {
		for _, n := range row {
			most = math.Max(most, float64(n))
		}
	}
	if err := shadeTroubles(p, r, most); err != nil {
		return nil, err
	}
	if len(r.EstablishedBySecond) == 0 {
		return p, nil
	}
	for s := range r.EstablishedBySecond[0] {
		var points plotter.XYs
		for i, row := range r.EstablishedBySecond {
			points = append(points, plotter.XY{X: float64(i + 1), Y: float64(row[s])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = hueColor(float64(s) / float64(len(r.EstablishedBySecond[0])))
		p.Add(line)
	}
	return p, nil
}

// hueColor is a colour of the wheel.
func hueColor(x float64) color.Color {
	part := func(shift float64) uint8 { return uint8(110 + 100*math.Cos(2*math.Pi*(x+shift))) }
	return color.RGBA{R: part(0), G: part(1.0 / 3), B: part(2.0 / 3), A: 0xff}
}

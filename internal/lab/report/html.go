package report

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"ottershift/internal/draw"
	"ottershift/internal/lab/judge"
)

// WriteHTML writes a self-contained page.
func (outcome *Outcome) WriteHTML(w io.Writer) error {
	var b strings.Builder
	draw.WritePageHead(&b, outcome.Name)
	fmt.Fprintf(&b, `<p>%s</p><p>%s</p><p class="%s"><b>verdict: %s</b></p><ul>`, escapeHTML(outcome.Title), escapeHTML(outcome.About), outcome.Verdict, outcome.Verdict)
	for _, word := range outcome.Words {
		fmt.Fprintf(&b, "<li>%s</li>", escapeHTML(word))
	}
	b.WriteString("</ul><table><tr><th>variant</th>")
	for _, c := range columns {
		fmt.Fprintf(&b, "<th>%s</th>", c.figure)
	}
	b.WriteString("</tr>")
	for _, v := range outcome.Variants {
		fmt.Fprintf(&b, "<tr><td>%s</td>", escapeHTML(v.Name))
		for _, c := range columns {
			fmt.Fprintf(&b, "<td>%s</td>", formatCell(v.Values(c.figure), c.format))
		}
		b.WriteString("</tr>")
	}
	fmt.Fprintf(&b, "</table><p>Times in milliseconds, recovery in seconds. Seed %d. Shaded: while a fault lasts.</p>", outcome.Seed)
	for _, v := range outcome.Variants {
		if len(v.Runs) == 0 {
			continue
		}
		fmt.Fprintf(&b, "<h2>%s</h2>", escapeHTML(v.Name))
		for _, p := range outcome.charts(v.Runs[0]) {
			fmt.Fprintf(&b, "<figure>%s</figure>", p.svg)
		}
	}
	b.WriteString("</html>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// chart is a self-contained SVG image.
type chart struct{ name, svg string }

func (outcome *Outcome) charts(r *judge.Result) (all []chart) {
	for _, p := range []struct {
		name string
		draw func(b *strings.Builder, r *judge.Result)
	}{{"latency", outcome.latency}, {"answers", outcome.answers}, {"attempts", outcome.attempts}, {"upstreams", upstreams}} {
		var b strings.Builder
		p.draw(&b, r)
		all = append(all, chart{p.name, b.String()})
	}
	return all
}

// WriteCharts writes the charts of the first run of each variant into a folder and returns the file names.
func (outcome *Outcome) WriteCharts(dir string) (files []string, err error) {
	for _, v := range outcome.Variants {
		if len(v.Runs) == 0 {
			continue
		}
		for _, p := range outcome.charts(v.Runs[0]) {
			file := filepath.Join(dir, fmt.Sprintf("%s-%s-%s.svg", outcome.Name, v.Name, p.name))
			if err := os.WriteFile(file, []byte(p.svg+"\n"), 0o644); err != nil {
				return files, err
			}
			files = append(files, file)
		}
	}
	return files, nil
}

func escapeHTML(text string) string { return draw.EscapeHTML(text) }

// plot returns the time axis and the fault intervals, which all charts share.
func (outcome *Outcome) plot() *draw.Plot {
	p := &draw.Plot{Duration: outcome.Length}
	for _, f := range outcome.Faults {
		p.Spans = append(p.Spans, draw.Span{Name: f.Kind, From: f.From, To: f.To})
	}
	return p
}

func perSecond(r *judge.Result, of func(s judge.Second) float64) (all []float64) {
	for _, s := range r.Seconds {
		all = append(all, of(s))
	}
	return all
}

func zeroAsNaN(v float64) float64 {
	if v == 0 {
		return math.NaN()
	}
	return v
}

// latency draws latency quantiles over time, on a logarithmic scale.
func (outcome *Outcome) latency(b *strings.Builder, r *judge.Result) {
	lines := []draw.Series{
		{Name: "99 in 100", Colour: "#a22", Values: perSecond(r, func(s judge.Second) float64 { return zeroAsNaN(s.P99) })},
		{Name: "95 in 100", Colour: "#b80", Values: perSecond(r, func(s judge.Second) float64 { return zeroAsNaN(s.P95) })},
		{Name: "half", Colour: "#27a", Values: perSecond(r, func(s judge.Second) float64 { return zeroAsNaN(s.P50) })},
	}
	low, high := math.Inf(1), 1.0
	for _, l := range lines {
		for _, v := range l.Values {
			if !math.IsNaN(v) {
				low, high = math.Min(low, v), math.Max(high, v)
			}
		}
	}
	from := math.Floor(math.Log10(math.Min(low, high)))
	to := math.Max(from+1, math.Ceil(math.Log10(high)))
	y := func(v float64) float64 { return draw.MarginTop + draw.PlotHeight*(1-(math.Log10(v)-from)/(to-from)) }
	var ticks []float64
	for p := from; p <= to; p++ {
		ticks = append(ticks, math.Pow(10, p))
	}
	p := outcome.plot()
	p.OpenWithAxes(b, "Latency of settled transactions, from their due time, milliseconds", ticks, y, "%g")
	for n, l := range lines {
		p.Line(b, l, n, y)
	}
	b.WriteString("</svg>")
}

// answers draws stacked bars of the outcomes by kind.
func (outcome *Outcome) answers(b *strings.Builder, r *judge.Result) {
	all := []draw.Series{
		{Name: "in time", Colour: "#3a7", Values: perSecond(r, func(s judge.Second) float64 { return float64(s.Settled - s.Late) })},
		{Name: "late", Colour: "#b80", Values: perSecond(r, func(s judge.Second) float64 { return float64(s.Late) })},
		{Name: "deferred", Colour: "#89b", Values: perSecond(r, func(s judge.Second) float64 { return float64(s.Deferred) })},
		{Name: "failed", Colour: "#a22", Values: perSecond(r, func(s judge.Second) float64 { return float64(s.Failed) })},
		{Name: "lost", Colour: "#222", Values: perSecond(r, func(s judge.Second) float64 { return float64(s.Lost) })},
	}
	highest := 0.0
	for _, s := range r.Seconds {
		highest = math.Max(highest, float64(s.Asked))
	}
	y, ticks := draw.LinearScale(highest)
	p := outcome.plot()
	p.OpenWithAxes(b, "Outcomes of the transactions due in each second", ticks, y, "%.0f")
	p.Bars(b, all, y)
	b.WriteString("</svg>")
}

// attempts draws the number of attempts per first attempt.
func (outcome *Outcome) attempts(b *strings.Builder, r *judge.Result) {
	values := perSecond(r, func(s judge.Second) float64 {
		if s.First == 0 {
			return math.NaN()
		}
		return float64(s.Pushes) / float64(s.First)
	})
	highest := 1.2
	for _, v := range values {
		if !math.IsNaN(v) {
			highest = math.Max(highest, v)
		}
	}
	y := func(v float64) float64 { return draw.MarginTop + draw.PlotHeight*(1-(v-0.9)/(highest-0.9)) }
	p := outcome.plot()
	p.OpenWithAxes(b, "Attempts per first attempt", []float64{1, highest}, y, "%.2f")
	p.Line(b, draw.Series{Name: "pushes", Colour: "#639", Values: values}, 0, y)
	b.WriteString("</svg>")
}

// upstreams draws the attempts that reached each upstream.
func upstreams(b *strings.Builder, r *judge.Result) {
	highest := 1
	for _, u := range r.Upstream {
		highest = max(highest, u.Pushes)
	}
	bar := draw.PlotWidth / math.Max(1, float64(len(r.Upstream)))
	draw.OpenSVG(b, fmt.Sprintf("Attempts by upstream (at most %d); dark: rejected", highest), 90)
	for i, u := range r.Upstream {
		height, rejectedHeight := 80*float64(u.Pushes)/float64(highest), 80*float64(u.Turned)/float64(highest)
		fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#27a"><title>%s: %d attempts, %d rejected</title></rect><rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#124"/>`,
			draw.MarginLeft+bar*float64(i), 85-height, bar*0.85, height, escapeHTML(u.Name), u.Pushes, u.Turned, draw.MarginLeft+bar*float64(i), 85-rejectedHeight, bar*0.85, rejectedHeight)
	}
	b.WriteString("</svg>")
}

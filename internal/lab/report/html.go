package report

import (
	"fmt"
	"html"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"ottershift/internal/lab/judge"
)

const (
	wide, high          = 760.0, 170.0
	left, top           = 54.0, 18.0
	right, bottom       = 10.0, 22.0
	plotWide, plotHigh  = wide - left - right, high - top - bottom
	ink, faint, shading = "#223", "#dde", "#f6d9c8"
)

// series is a line of a picture.
type series struct {
	name, colour string
	values       []float64 // by second; NaN for none
}

// HTML writes a page that needs nothing else. Its pictures are drawn by the lines below: the plotting library weighed for
// it loads fonts as a program starts, which the balancer's small process would pay for.
func (o *Outcome) HTML(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
<style>body{font:15px/1.45 system-ui,sans-serif;color:%s;max-width:820px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.15em .6em;text-align:right;border-bottom:1px solid %s}td:first-child,th:first-child{text-align:left}
h2{margin-top:2em}figure{margin:.6em 0}svg{max-width:100%%;height:auto}.void,.short{color:#a30}.held{color:#060}</style>
<h1>%s</h1><p>%s</p><p>%s</p><p class="%s"><b>verdict: %s</b></p><ul>`, esc(o.Name), ink, faint, esc(o.Name), esc(o.Title), esc(o.About), o.Verdict, o.Verdict)
	for _, word := range o.Words {
		fmt.Fprintf(&b, "<li>%s</li>", esc(word))
	}
	b.WriteString("</ul><table><tr><th>variant</th>")
	for _, c := range columns {
		fmt.Fprintf(&b, "<th>%s</th>", c.figure)
	}
	b.WriteString("</tr>")
	for _, v := range o.Variants {
		fmt.Fprintf(&b, "<tr><td>%s</td>", esc(v.Name))
		for _, c := range columns {
			fmt.Fprintf(&b, "<td>%s</td>", cell(v.Values(c.figure), c.format))
		}
		b.WriteString("</tr>")
	}
	fmt.Fprintf(&b, "</table><p>Times in milliseconds, recovery in seconds. Seed %d. Shaded: while a fault lasts.</p>", o.Seed)
	for _, v := range o.Variants {
		if len(v.Runs) == 0 {
			continue
		}
		fmt.Fprintf(&b, "<h2>%s</h2>", esc(v.Name))
		for _, p := range o.pictures(v.Runs[0]) {
			fmt.Fprintf(&b, "<figure>%s</figure>", p.svg)
		}
	}
	b.WriteString("</html>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// picture is one drawing, whole by itself.
type picture struct{ name, svg string }

func (o *Outcome) pictures(r *judge.Result) (all []picture) {
	for _, p := range []struct {
		name string
		draw func(b *strings.Builder, r *judge.Result)
	}{{"latency", o.latency}, {"answers", o.answers}, {"attempts", o.attempts}, {"upstreams", upstreams}} {
		var b strings.Builder
		p.draw(&b, r)
		all = append(all, picture{p.name, b.String()})
	}
	return all
}

// Pictures writes the pictures of the first run of each variant into a folder, and returns their files.
func (o *Outcome) Pictures(dir string) (files []string, err error) {
	for _, v := range o.Variants {
		if len(v.Runs) == 0 {
			continue
		}
		for _, p := range o.pictures(v.Runs[0]) {
			file := filepath.Join(dir, fmt.Sprintf("%s-%s-%s.svg", o.Name, v.Name, p.name))
			if err := os.WriteFile(file, []byte(p.svg+"\n"), 0o644); err != nil {
				return files, err
			}
			files = append(files, file)
		}
	}
	return files, nil
}

func esc(text string) string { return html.EscapeString(text) }

// open begins a drawing with its title.
func open(b *strings.Builder, caption string, high float64) {
	fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 -18 %g %g" width="%g" height="%g" role="img" font-family="sans-serif" font-size="11" fill="%s"><rect y="-18" width="100%%" height="%g" fill="#fff"/><text x="0" y="-5" font-size="13">%s</text>`,
		wide, high+18, wide, high+18, ink, high+18, esc(caption))
}

// frame begins a picture with its faults and its axes.
func (o *Outcome) frame(b *strings.Builder, caption string, ticks []float64, y func(float64) float64, label string) {
	open(b, caption, high)
	for _, f := range o.Faults {
		from, to := o.x(f.From), o.x(min(max(f.To, f.From+0.1), o.Length))
		fmt.Fprintf(b, `<rect x="%.1f" y="%g" width="%.1f" height="%g" fill="%s" fill-opacity=".5"><title>%s, %.1f to %.1f s</title></rect><text x="%.1f" y="%g" fill="#a50">%s</text>`,
			from, top, max(to-from, 1), plotHigh, shading, esc(f.Kind), f.From, f.To, from+2, top-5, esc(f.Kind))
	}
	for _, t := range ticks {
		fmt.Fprintf(b, `<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" stroke="%s"/><text x="%g" y="%.1f" text-anchor="end">%s</text>`,
			left, wide-right, y(t), y(t), faint, left-5, y(t)+4, fmt.Sprintf(label, t))
	}
	step := math.Max(1, math.Round(o.Length/10))
	for t := 0.0; t <= o.Length; t += step {
		fmt.Fprintf(b, `<text x="%.1f" y="%g" text-anchor="middle">%gs</text>`, o.x(t), high-6, t)
	}
}

func (o *Outcome) x(t float64) float64 { return left + plotWide*t/o.Length }

// line draws one series, broken where there is no value.
func (o *Outcome) line(b *strings.Builder, s series, n int, y func(float64) float64) {
	var path strings.Builder
	pen := "M"
	for i, v := range s.values {
		if math.IsNaN(v) {
			pen = "M"
			continue
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", pen, o.x(float64(i)+0.5), y(v))
		pen = "L"
	}
	fmt.Fprintf(b, `<path d="%s" fill="none" stroke="%s" stroke-width="1.5"/><text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`,
		path.String(), s.colour, wide-right-float64(n)*70, top+10, s.colour, esc(s.name))
}

func each(r *judge.Result, of func(s judge.Second) float64) (all []float64) {
	for _, s := range r.Seconds {
		all = append(all, of(s))
	}
	return all
}

func some(v float64) float64 {
	if v == 0 {
		return math.NaN()
	}
	return v
}

// latency over time by quantile, on a scale of powers.
func (o *Outcome) latency(b *strings.Builder, r *judge.Result) {
	lines := []series{
		{"99 in 100", "#a22", each(r, func(s judge.Second) float64 { return some(s.P99) })},
		{"95 in 100", "#b80", each(r, func(s judge.Second) float64 { return some(s.P95) })},
		{"half", "#27a", each(r, func(s judge.Second) float64 { return some(s.P50) })},
	}
	low, most := math.Inf(1), 1.0
	for _, l := range lines {
		for _, v := range l.values {
			if !math.IsNaN(v) {
				low, most = math.Min(low, v), math.Max(most, v)
			}
		}
	}
	from := math.Floor(math.Log10(math.Min(low, most)))
	to := math.Max(from+1, math.Ceil(math.Log10(most)))
	y := func(v float64) float64 { return top + plotHigh*(1-(math.Log10(v)-from)/(to-from)) }
	var ticks []float64
	for p := from; p <= to; p++ {
		ticks = append(ticks, math.Pow(10, p))
	}
	o.frame(b, "Latency of what was settled, from when it was due, milliseconds", ticks, y, "%g")
	for n, l := range lines {
		o.line(b, l, n, y)
	}
	b.WriteString("</svg>")
}

// answers by kind, one on the other.
func (o *Outcome) answers(b *strings.Builder, r *judge.Result) {
	most := 1.0
	for _, s := range r.Seconds {
		most = math.Max(most, float64(s.Asked))
	}
	y := func(v float64) float64 { return top + plotHigh*(1-v/most) }
	o.frame(b, "What became of what was due in each second", []float64{0, math.Round(most / 2), most}, y, "%.0f")
	kinds := []struct {
		name, colour string
		of           func(s judge.Second) int
	}{
		{"in time", "#3a7", func(s judge.Second) int { return s.Settled - s.Late }}, {"late", "#b80", func(s judge.Second) int { return s.Late }},
		{"deferred", "#89b", func(s judge.Second) int { return s.Deferred }}, {"failed", "#a22", func(s judge.Second) int { return s.Failed }},
		{"lost", "#222", func(s judge.Second) int { return s.Lost }},
	}
	bar := plotWide / math.Max(1, float64(len(r.Seconds)))
	for i, s := range r.Seconds {
		base := 0.0
		for _, k := range kinds {
			if n := float64(k.of(s)); n > 0 {
				fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, left+bar*float64(i), y(base+n), bar*0.85, y(base)-y(base+n), k.colour)
				base += n
			}
		}
	}
	for n, k := range kinds {
		fmt.Fprintf(b, `<text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`, wide-right-float64(n)*60, top-5, k.colour, k.name)
	}
	b.WriteString("</svg>")
}

// attempts for each first push.
func (o *Outcome) attempts(b *strings.Builder, r *judge.Result) {
	values := each(r, func(s judge.Second) float64 {
		if s.First == 0 {
			return math.NaN()
		}
		return float64(s.Pushes) / float64(s.First)
	})
	most := 1.2
	for _, v := range values {
		if !math.IsNaN(v) {
			most = math.Max(most, v)
		}
	}
	y := func(v float64) float64 { return top + plotHigh*(1-(v-0.9)/(most-0.9)) }
	o.frame(b, "Pushes for each first push", []float64{1, most}, y, "%.2f")
	o.line(b, series{"pushes", "#639", values}, 0, y)
	b.WriteString("</svg>")
}

// upstreams shows what reached each.
func upstreams(b *strings.Builder, r *judge.Result) {
	most := 1
	for _, u := range r.Upstream {
		most = max(most, u.Pushes)
	}
	bar := plotWide / math.Max(1, float64(len(r.Upstream)))
	open(b, fmt.Sprintf("Pushes by upstream (at most %d); dark: turned away", most), 90)
	for i, u := range r.Upstream {
		h, t := 80*float64(u.Pushes)/float64(most), 80*float64(u.Turned)/float64(most)
		fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#27a"><title>%s: %d pushes, %d turned away</title></rect><rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#124"/>`,
			left+bar*float64(i), 85-h, bar*0.85, h, esc(u.Name), u.Pushes, u.Turned, left+bar*float64(i), 85-t, bar*0.85, t)
	}
	b.WriteString("</svg>")
}

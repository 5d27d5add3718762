// Package draw makes pictures over time for HTML pages, as SVG that needs nothing else. The plotting library weighed for
// it loads fonts as a program starts, which the balancer's small process would pay for.
package draw

import (
	"fmt"
	"html"
	"math"
	"strings"
)

const (
	Wide, High          = 760.0, 170.0
	Left, Top           = 54.0, 18.0
	right, bottom       = 10.0, 22.0
	PlotWide, PlotHigh  = Wide - Left - right, High - Top - bottom
	ink, faint, shading = "#223", "#dde", "#f6d9c8"
)

// Span is a time that is shaded.
type Span struct {
	Name     string
	From, To float64 // seconds
}

// Series is a line of a picture.
type Series struct {
	Name, Colour string
	Values       []float64 // by step; NaN for none
}

// Plot is what pictures of one matter have in common.
type Plot struct {
	Length float64 // seconds
	Step   float64 // seconds that a value stands for, 0 for one
	Spans  []Span
}

// Page begins a page with its title.
func Page(b *strings.Builder, title string) {
	fmt.Fprintf(b, `<!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
<style>body{font:15px/1.45 system-ui,sans-serif;color:%s;max-width:820px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.15em .6em;text-align:right;border-bottom:1px solid %s}td:first-child,th:first-child{text-align:left}
h2{margin-top:2em}figure{margin:.6em 0}svg{max-width:100%%;height:auto}.void,.short{color:#a30}.held{color:#060}</style>
<h1>%s</h1>`, Esc(title), ink, faint, Esc(title))
}

// Esc makes a text safe to stand on a page.
func Esc(text string) string { return html.EscapeString(text) }

// Open begins a drawing with its title; </svg> ends it.
func Open(b *strings.Builder, caption string, high float64) {
	fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 -18 %g %g" width="%g" height="%g" role="img" font-family="sans-serif" font-size="11" fill="%s"><rect y="-18" width="100%%" height="%g" fill="#fff"/><text x="0" y="-5" font-size="13">%s</text>`,
		Wide, high+18, Wide, high+18, ink, high+18, Esc(caption))
}

// Frame begins a picture with its spans and its axes.
func (p *Plot) Frame(b *strings.Builder, caption string, ticks []float64, y func(float64) float64, label string) {
	Open(b, caption, High)
	for _, f := range p.Spans {
		from, to := p.X(f.From), p.X(min(max(f.To, f.From+0.1), p.Length))
		fmt.Fprintf(b, `<rect x="%.1f" y="%g" width="%.1f" height="%g" fill="%s" fill-opacity=".5"><title>%s, %.1f to %.1f s</title></rect><text x="%.1f" y="%g" fill="#a50">%s</text>`,
			from, Top, max(to-from, 1), PlotHigh, shading, Esc(f.Name), f.From, f.To, from+2, Top-5, Esc(f.Name))
	}
	for _, t := range ticks {
		fmt.Fprintf(b, `<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" stroke="%s"/><text x="%g" y="%.1f" text-anchor="end">%s</text>`,
			Left, Wide-right, y(t), y(t), faint, Left-5, y(t)+4, fmt.Sprintf(label, t))
	}
	step := math.Max(1, math.Round(p.Length/10))
	for t := 0.0; t <= p.Length; t += step {
		fmt.Fprintf(b, `<text x="%.1f" y="%g" text-anchor="middle">%gs</text>`, p.X(t), High-6, t)
	}
}

// X is where a time stands.
func (p *Plot) X(t float64) float64 { return Left + PlotWide*t/p.Length }

// Linear is a scale from zero to the most, and its ticks.
func Linear(most float64) (y func(float64) float64, ticks []float64) {
	most = math.Max(most, 1)
	return func(v float64) float64 { return Top + PlotHigh*(1-v/most) }, []float64{0, math.Round(most / 2), math.Round(most)}
}

// Line draws one series, broken where there is no value; n is its place in the legend.
func (p *Plot) Line(b *strings.Builder, s Series, n int, y func(float64) float64) {
	var path strings.Builder
	pen := "M"
	for i, v := range s.Values {
		if math.IsNaN(v) {
			pen = "M"
			continue
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", pen, p.X((float64(i)+0.5)*p.step()), y(v))
		pen = "L"
	}
	fmt.Fprintf(b, `<path d="%s" fill="none" stroke="%s" stroke-width="1.5"/><text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`,
		path.String(), s.Colour, Wide-right-float64(n)*70, Top+10, s.Colour, Esc(s.Name))
}

// Bars draws series one on the other, a bar for each step.
func (p *Plot) Bars(b *strings.Builder, all []Series, y func(float64) float64) {
	most := 0
	for _, s := range all {
		most = max(most, len(s.Values))
	}
	bar := PlotWide * p.step() / p.Length
	for i := range most {
		base := 0.0
		for _, s := range all {
			if i < len(s.Values) && s.Values[i] > 0 {
				n := s.Values[i]
				fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, Left+bar*float64(i), y(base+n), bar*0.85, y(base)-y(base+n), s.Colour)
				base += n
			}
		}
	}
	at := Wide - right
	for _, s := range all {
		fmt.Fprintf(b, `<text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`, at, Top-5, s.Colour, Esc(s.Name))
		at -= float64(len(s.Name))*6 + 14
	}
}

func (p *Plot) step() float64 {
	if p.Step == 0 {
		return 1
	}
	return p.Step
}

// Package draw draws charts over time for HTML pages, as self-contained SVG. It uses no plotting library, since the one
// considered loads fonts at program start, a cost in memory and time also for the balancer's small process.
package draw

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The sizes in pixels of a chart, its margins and its plot area, and its colours.
const (
	Width, Height                      = 760.0, 170.0
	MarginLeft, MarginTop              = 54.0, 18.0
	marginRight, marginBottom          = 10.0, 22.0
	PlotWidth, PlotHeight              = Width - MarginLeft - marginRight, Height - MarginTop - marginBottom
	textColour, gridColour, spanColour = "#223", "#dde", "#f6d9c8"
)

// Span is a shaded time span of a chart.
type Span struct {
	Name     string
	From, To float64 // seconds
}

// Series is one series of values in a chart.
type Series struct {
	Name, Colour string
	Values       []float64 // one per step; NaN for no value
}

// Plot is the time axis and the spans that several charts share.
type Plot struct {
	Duration float64 // seconds
	Step     float64 // seconds that a value covers; 0 means 1
	Spans    []Span
}

// WritePageHead writes the start of an HTML page with its style and title.
func WritePageHead(b *strings.Builder, title string) {
	fmt.Fprintf(b, `<!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
<style>body{font:15px/1.45 system-ui,sans-serif;color:%s;max-width:820px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.15em .6em;text-align:right;border-bottom:1px solid %s}td:first-child,th:first-child{text-align:left}
h2{margin-top:2em}figure{margin:.6em 0}svg{max-width:100%%;height:auto}.void,.short{color:#a30}.held{color:#060}</style>
<h1>%s</h1>`, EscapeHTML(title), textColour, gridColour, EscapeHTML(title))
}

// EscapeHTML escapes a text for HTML and SVG.
func EscapeHTML(text string) string { return html.EscapeString(text) }

// OpenSVG writes the start of an SVG drawing with its caption. The caller ends it with </svg>.
func OpenSVG(b *strings.Builder, caption string, height float64) {
	fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 -18 %g %g" width="%g" height="%g" role="img" font-family="sans-serif" font-size="11" fill="%s"><rect y="-18" width="100%%" height="%g" fill="#fff"/><text x="0" y="-5" font-size="13">%s</text>`,
		Width, height+18, Width, height+18, textColour, height+18, EscapeHTML(caption))
}

// OpenWithAxes writes the start of a chart with its spans and axes. The function y maps a value to a vertical position,
// and labelFormat formats the tick labels.
func (plot *Plot) OpenWithAxes(b *strings.Builder, caption string, ticks []float64, y func(float64) float64,
	labelFormat string) {
	OpenSVG(b, caption, Height)
	for _, span := range plot.Spans {
		from, to := plot.X(span.From), plot.X(min(max(span.To, span.From+0.1), plot.Duration))
		fmt.Fprintf(b, `<rect x="%.1f" y="%g" width="%.1f" height="%g" fill="%s" fill-opacity=".5"><title>%s, %.1f to %.1f s</title></rect><text x="%.1f" y="%g" fill="#a50">%s</text>`,
			from, MarginTop, max(to-from, 1), PlotHeight, spanColour, EscapeHTML(span.Name), span.From, span.To,
			from+2, MarginTop-5, EscapeHTML(span.Name))
	}
	for _, t := range ticks {
		fmt.Fprintf(b, `<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" stroke="%s"/><text x="%g" y="%.1f" text-anchor="end">%s</text>`,
			MarginLeft, Width-marginRight, y(t), y(t), gridColour, MarginLeft-5, y(t)+4, fmt.Sprintf(labelFormat, t))
	}
	step := math.Max(1, math.Round(plot.Duration/10))
	for t := 0.0; t <= plot.Duration; t += step {
		fmt.Fprintf(b, `<text x="%.1f" y="%g" text-anchor="middle">%gs</text>`, plot.X(t), Height-6, t)
	}
}

// X returns the horizontal position of a time in seconds.
func (plot *Plot) X(t float64) float64 { return MarginLeft + PlotWidth*t/plot.Duration }

// LinearScale returns a linear scale from 0 to the maximum, which is at least 1, and its ticks.
func LinearScale(maximum float64) (y func(float64) float64, ticks []float64) {
	maximum = math.Max(maximum, 1)
	return func(v float64) float64 { return MarginTop + PlotHeight*(1-v/maximum) },
		[]float64{0, math.Round(maximum / 2), math.Round(maximum)}
}

// Line draws one series as a line with gaps where there is no value, and its name at legendIndex in the legend.
func (plot *Plot) Line(b *strings.Builder, series Series, legendIndex int, y func(float64) float64) {
	var path strings.Builder
	command := "M"
	for i, value := range series.Values {
		if math.IsNaN(value) {
			command = "M"
			continue
		}
		fmt.Fprintf(&path, "%s%.1f %.1f", command, plot.X((float64(i)+0.5)*plot.step()), y(value))
		command = "L"
	}
	fmt.Fprintf(b, `<path d="%s" fill="none" stroke="%s" stroke-width="1.5"/><text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`,
		path.String(), series.Colour, Width-marginRight-float64(legendIndex)*70, MarginTop+10, series.Colour,
		EscapeHTML(series.Name))
}

// Bars draws the series as stacked bars, one for each step, and their legend.
func (plot *Plot) Bars(b *strings.Builder, stack []Series, y func(float64) float64) {
	steps := 0
	for _, series := range stack {
		steps = max(steps, len(series.Values))
	}
	barWidth := PlotWidth * plot.step() / plot.Duration
	for i := range steps {
		base := 0.0
		for _, series := range stack {
			if i < len(series.Values) && series.Values[i] > 0 {
				value := series.Values[i]
				fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, MarginLeft+barWidth*float64(i),
					y(base+value), barWidth*0.85, y(base)-y(base+value), series.Colour)
				base += value
			}
		}
	}
	legendX := Width - marginRight
	for _, series := range stack {
		fmt.Fprintf(b, `<text x="%g" y="%g" fill="%s" text-anchor="end">%s</text>`,
			legendX, MarginTop-5, series.Colour, EscapeHTML(series.Name))
		legendX -= float64(len(series.Name))*6 + 14
	}
}

// step returns the seconds that a value covers.
func (plot *Plot) step() float64 {
	if plot.Step == 0 {
		return 1
	}
	return plot.Step
}

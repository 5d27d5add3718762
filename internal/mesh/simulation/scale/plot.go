package scale

import (
	"fmt"
	"math"
	"strings"

	"ottershift/internal/draw"
)

const (
	plotHeight  = 150.0 // of one chart
	plotGap     = 40.0
	plotColumns = 2
	plotWidth   = 320.0
	plotColour  = "#2255aa"
)

// charts lists the charts of the SVG.
var charts = []struct {
	phase  Phase
	figure string
}{
	{PhaseRest, "told to a balancer"}, {PhaseChanges, "told to a balancer"},
	{PhaseRest, "processor, controllers together"}, {PhaseChanges, "processor, controllers together"},
	{PhaseStart, "told to all"}, {PhaseRestart, "told to all"},
	{PhaseStart, "all know all"}, {PhaseChanges, "memory, largest controller"},
	{PhaseRest, "processor, a proxy"}, {PhaseChanges, "processor, a proxy"},
}

// SVG returns charts of the figures over the sizes, each with its fitted line.
func (r *Report) SVG() string {
	var b strings.Builder
	rows := (len(charts) + plotColumns - 1) / plotColumns
	draw.OpenSVG(&b, r.Title, float64(rows)*(plotHeight+plotGap)+plotGap)
	drawn := 0
	for _, wanted := range charts {
		for _, s := range r.Slopes {
			if s.Phase != wanted.phase || s.Figure != wanted.figure {
				continue
			}
			x := draw.MarginLeft + float64(drawn%plotColumns)*(plotWidth+draw.MarginLeft)
			y := plotGap + float64(drawn/plotColumns)*(plotHeight+plotGap)
			plotSlope(&b, s, x, y)
			drawn++
		}
	}
	b.WriteString("</svg>")
	return b.String()
}

func plotSlope(b *strings.Builder, s Slope, left, top float64) {
	most, largest := 0.0, 1
	for n, value := range s.Values {
		most, largest = math.Max(most, value), max(largest, s.Sizes[n])
	}
	if most == 0 {
		most = 1
	}
	x := func(size float64) float64 { return left + plotWidth*size/float64(largest) }
	y := func(value float64) float64 { return top + plotHeight*(1-min(max(value/most, 0), 1)) }
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f">%s: %s, %s</text>`, left, top-8, draw.EscapeHTML(string(s.Phase)), draw.EscapeHTML(s.Figure), draw.EscapeHTML(s.Unit))
	fmt.Fprintf(b, `<path d="M%.1f %.1fV%.1fH%.1f" fill="none" stroke="#889"/>`, left, top, top+plotHeight, left+plotWidth)
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="end">%s</text><text x="%.1f" y="%.1f" text-anchor="end">0</text>`, left-4, top+10, number(most), left-4, top+plotHeight)
	fmt.Fprintf(b, `<path d="M%.1f %.1fL%.1f %.1f" stroke="%s" stroke-dasharray="4 3"/>`, x(0), y(s.Base), x(float64(largest)), y(s.Base+s.PerNode*float64(largest)), plotColour)
	for n, value := range s.Values {
		fmt.Fprintf(b, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"><title>%d: %s</title></circle>`, x(float64(s.Sizes[n])), y(value), plotColour, s.Sizes[n], number(value))
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%d</text>`, x(float64(s.Sizes[n])), top+plotHeight+14, s.Sizes[n])
	}
}

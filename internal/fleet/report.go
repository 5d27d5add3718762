package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"ottershift/internal/draw"
)

// JSON writes the summary as JSON.
func (s *Summary) JSON(to io.Writer) error {
	out := json.NewEncoder(to)
	out.SetIndent("", " ")
	return out.Encode(s)
}

// reasons returns the reasons for lost transactions, the most frequent first.
func (s *Summary) reasons() []string {
	all := slices.DeleteFunc(sortedKeys(s.Losses), func(name string) bool {
		return !strings.HasPrefix(name, "deferred_") && !strings.HasPrefix(name, "forfeited_") && name != "at_edge"
	})
	slices.SortStableFunc(all, func(a, b string) int { return int(s.Losses[b] - s.Losses[a]) })
	return all
}

// Text writes the summary as tables of at most the given number of rows each.
func (s *Summary) Text(to io.Writer, rows int) {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(cells ...any) {
		for _, cell := range cells {
			switch value := cell.(type) {
			case float64:
				fmt.Fprintf(table, "%s\t", formatNumber(value))
			default:
				fmt.Fprintf(table, "%v\t", value)
			}
		}
		fmt.Fprintln(table)
	}
	startTable := func(title string) {
		table.Flush()
		fmt.Fprintf(to, "\n%s\n", title)
	}
	fmt.Fprintf(to, "%d balancers, %d lines from %s on, %.0f s",
		s.Balancers, s.Lines, s.Start.Format("2006-01-02T15:04:05Z"), s.LengthSeconds)
	if s.UnreadLines > 0 {
		fmt.Fprintf(to, "; %d lines could not be parsed, see standard error", s.UnreadLines)
	}
	fmt.Fprintln(to)

	startTable("Lost transactions by reason, and other counts of the same log lines (exact to the second):")
	for _, name := range sortedKeys(s.Losses) {
		line(name, s.Losses[name])
	}
	startTable("Tallies of all balancers (up to ten seconds are missing for a process that was killed):")
	for _, name := range sortedKeys(s.Figures) {
		line(name, s.Figures[name])
	}

	reasons := s.reasons()
	head := []any{"at_s", "alive", "arrived/s", "dials/s", "behind", "aside", "list_told", "list_open", "list_broken"}
	for _, name := range reasons {
		head = append(head, name)
	}
	startTable(fmt.Sprintf("Steps of %s s (arrived and dials from tallies, distributed evenly; aside: pairs of balancer and ejected upstream):",
		formatNumber(s.StepSeconds)))
	line(head...)
	shown := 0
	for _, row := range s.Rows {
		if len(row.Events)+len(row.Losses) == 0 {
			continue
		}
		if shown++; shown > rows {
			fmt.Fprintf(table, "… more steps: --rows\t\n")
			break
		}
		cells := []any{row.AtSeconds, row.Alive, row.Figures["arrived"] / s.StepSeconds, dialCount(row.Figures) / s.StepSeconds,
			row.OutdatedLists, row.Ejected, row.Events["list_told"], row.Events["list_open"], row.Events["list_broken"]}
		for _, name := range reasons {
			cells = append(cells, row.Losses[name])
		}
		line(cells...)
	}

	startTable("Most balancers with the same event within one step:")
	line("what", "balancers", "of", "at_s", "in all")
	for _, peak := range s.Peaks {
		line(peak.Kind, peak.Balancers, peak.Alive, peak.AtSeconds, peak.Events)
	}

	startTable("Ejected upstreams, by balancer-seconds:")
	line("upstream", "balancers at once", "at_s", "seconds", "longest", "times", "back as cold", "not back", "why")
	for _, ejections := range s.Ejections[:min(rows, len(s.Ejections))] {
		line(ejections.Upstream, ejections.MaxAtOnce, ejections.MaxAtSeconds, ejections.BalancerSeconds,
			ejections.LongestSeconds, ejections.Count, ejections.ReinstatedCold, ejections.NotReinstated, formatCounts(ejections.Reasons))
	}

	startTable("Versions of the list, slowest to spread first:")
	line("tier", "version", "first at_s", "half after_s", "last after_s", "balancers", "never")
	slow := slices.Clone(s.Versions)
	slices.SortStableFunc(slow, func(a, ejections *ListVersion) int { return int(1e3 * (ejections.MaxDelay - a.MaxDelay)) })
	for _, version := range slow[:min(rows, len(slow))] {
		line(version.Tier, version.Index, version.FirstSeconds, version.MedianDelay, version.MaxDelay, version.Balancers,
			version.NeverReceived)
	}
	if n := len(s.ListDelays); n > 0 {
		line("new upstreams listed after_s:", "half", s.ListDelays[n/2], "9 in 10", s.ListDelays[n*9/10], "most", s.ListDelays[n-1])
	}

	startTable("Balancers with the most lost transactions:")
	line("file", "tier", "arrived", "lost", "in 100", "by reason")
	for _, process := range s.Processes[:min(rows, len(s.Processes))] {
		line(process.File, process.Tier, process.Arrived, process.Lost, 100*process.Lost/max(process.Arrived, 1),
			formatCounts(process.Reasons))
	}
	table.Flush()
}

// dialCount returns the number of connections opened to upstreams.
func dialCount(figures map[string]float64) float64 {
	return figures["dial_first"] + figures["dial_again"] + figures["dial_busy"] + figures["dial_probe"]
}

// formatNumber formats a number with at most one decimal.
func formatNumber(v float64) string {
	text := fmt.Sprintf("%.1f", v)
	return strings.TrimSuffix(text, ".0")
}

// formatCounts formats a map as a list sorted by key.
func formatCounts[N int | float64](counts map[string]N) string {
	var all []string
	for _, name := range sortedKeys(counts) {
		all = append(all, fmt.Sprintf("%s %s", name, formatNumber(float64(counts[name]))))
	}
	return strings.Join(all, ", ")
}

// colours are those of the series of a chart.
var colours = []string{"#a22", "#b80", "#89b", "#3a7", "#639", "#27a", "#222", "#a50", "#466", "#c6a"}

// HTML writes the summary as a self-contained page with charts.
func (s *Summary) HTML(to io.Writer) error {
	var b strings.Builder
	draw.WritePageHead(&b, "Fleet logs")
	fmt.Fprintf(&b, "<p>%d balancers, %d lines from %s on, %.0f s.</p>",
		s.Balancers, s.Lines, s.Start.Format("2006-01-02T15:04:05Z"), s.LengthSeconds)
	plot := &draw.Plot{Duration: max(s.LengthSeconds, s.StepSeconds), Step: s.StepSeconds}
	values := func(value func(r *Row) float64) (all []float64) {
		for _, r := range s.Rows {
			all = append(all, value(r))
		}
		return all
	}
	addChart := func(caption string, all []draw.Series) {
		highest := 0.0
		for k := range s.Rows {
			sum := 0.0
			for _, s := range all {
				sum += s.Values[k]
			}
			highest = max(highest, sum)
		}
		y, ticks := draw.LinearScale(highest)
		b.WriteString("<figure>")
		plot.OpenWithAxes(&b, caption, ticks, y, "%.0f")
		plot.Bars(&b, all, y)
		b.WriteString("</svg></figure>")
	}
	var lost []draw.Series
	for k, name := range s.reasons()[:min(6, len(s.reasons()))] {
		lost = append(lost, draw.Series{
			Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return r.Losses[name] / s.StepSeconds }),
		})
	}
	addChart("Lost transactions per second, by reason", lost)
	figureSeries := func(names ...string) (all []draw.Series) {
		for k, name := range names {
			all = append(all, draw.Series{
				Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return r.Figures[name] / s.StepSeconds }),
			})
		}
		return all
	}
	addChart("Transactions per second by outcome, from tallies", figureSeries("settled", "deferred", "forfeited", "vanished"))
	addChart("Connections to upstreams opened per second, by reason",
		figureSeries("dial_first", "dial_again", "dial_busy", "dial_probe"))
	addChart("Connections to upstreams closed per second, by reason",
		figureSeries("close_called_off", "close_by_upstream", "close_idle", "close_left"))
	addChart("Hedges and retries per second", figureSeries("copies", "retries"))
	eventSeries := func(names ...string) (all []draw.Series) {
		for k, name := range names {
			all = append(all, draw.Series{
				Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return float64(r.Balancers[name]) }),
			})
		}
		return all
	}
	addChart("Balancers with the same event within a step",
		eventSeries("list_told", "list_open", "list_broken", "aside", "back", "start"))
	addChart("Pairs of a balancer and an upstream that it has ejected", []draw.Series{
		{Name: "aside", Colour: colours[4], Values: values(func(r *Row) float64 { return float64(r.Ejected) })},
	})
	addChart("Balancers whose list is older than the newest one received", []draw.Series{
		{Name: "behind", Colour: colours[5], Values: values(func(r *Row) float64 { return float64(r.OutdatedLists) })},
	})
	b.WriteString("<h2>Ejected upstreams</h2><table><tr><th>upstream</th><th>balancers at once</th><th>balancer-seconds</th><th>why</th></tr>")
	for _, ejections := range s.Ejections[:min(30, len(s.Ejections))] {
		fmt.Fprintf(&b, "<tr><td>%s</td><td>%d</td><td>%.1f</td><td>%s</td></tr>",
			draw.EscapeHTML(ejections.Upstream), ejections.MaxAtOnce, ejections.BalancerSeconds, draw.EscapeHTML(formatCounts(ejections.Reasons)))
	}
	b.WriteString("</table><h2>Balancers with the most lost transactions</h2><table><tr><th>file</th><th>tier</th><th>arrived</th><th>lost</th><th>by reason</th></tr>")
	for _, process := range s.Processes[:min(30, len(s.Processes))] {
		fmt.Fprintf(&b, "<tr><td>%s</td><td>%s</td><td>%.0f</td><td>%.0f</td><td>%s</td></tr>",
			draw.EscapeHTML(process.File), draw.EscapeHTML(process.Tier), process.Arrived, process.Lost, draw.EscapeHTML(formatCounts(process.Reasons)))
	}
	b.WriteString("</table></html>\n")
	_, err := io.WriteString(to, b.String())
	return err
}

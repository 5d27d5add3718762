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

// JSON writes all of it for machines.
func (c *Count) JSON(to io.Writer) error {
	out := json.NewEncoder(to)
	out.SetIndent("", " ")
	return out.Encode(c)
}

// reasons are those for which anything was lost, the most frequent first.
func (c *Count) reasons() []string {
	all := slices.DeleteFunc(keys(c.Losses), func(name string) bool {
		return !strings.HasPrefix(name, "deferred_") && !strings.HasPrefix(name, "forfeited_") && name != "at_edge"
	})
	slices.SortStableFunc(all, func(a, b string) int { return int(c.Losses[b] - c.Losses[a]) })
	return all
}

// Text writes it for people; rows is how many of each table are shown.
func (c *Count) Text(to io.Writer, rows int) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(cells ...any) {
		for _, cell := range cells {
			switch v := cell.(type) {
			case float64:
				fmt.Fprintf(w, "%s\t", short(v))
			default:
				fmt.Fprintf(w, "%v\t", v)
			}
		}
		fmt.Fprintln(w)
	}
	table := func(title string) {
		w.Flush()
		fmt.Fprintf(to, "\n%s\n", title)
	}
	fmt.Fprintf(to, "%d balancers, %d lines from %s on, %.0f s", c.Nodes, c.Lines, c.Start.Format("2006-01-02T15:04:05Z"), c.Length)
	if c.Wrong > 0 {
		fmt.Fprintf(to, "; %d lines could not be read, told on standard error", c.Wrong)
	}
	fmt.Fprintln(to)

	table("What was lost, by reason (exact to the second); what else was counted then:")
	for _, name := range keys(c.Losses) {
		line(name, c.Losses[name])
	}
	table("Tallies of all balancers (a process that is killed takes up to ten seconds with it):")
	for _, name := range keys(c.Figures) {
		line(name, c.Figures[name])
	}

	reasons := c.reasons()
	head := []any{"at_s", "alive", "arrived/s", "dials/s", "behind", "aside", "list_told", "list_open", "list_broken"}
	for _, name := range reasons {
		head = append(head, name)
	}
	table(fmt.Sprintf("By step of %s s (arrived and dials from tallies, spread evenly; aside: pairs of balancer and upstream):", short(c.Every)))
	line(head...)
	shown := 0
	for _, r := range c.Rows {
		if len(r.Events)+len(r.Losses) == 0 {
			continue
		}
		if shown++; shown > rows {
			fmt.Fprintf(w, "… more steps: --rows\t\n")
			break
		}
		cells := []any{r.At, r.Alive, r.Figures["arrived"] / c.Every, dials(r.Figures) / c.Every, r.Behind, r.Aside,
			r.Events["list_told"], r.Events["list_open"], r.Events["list_broken"]}
		for _, name := range reasons {
			cells = append(cells, r.Losses[name])
		}
		line(cells...)
	}

	table("The most balancers that did the same within one step:")
	line("what", "balancers", "of", "at_s", "in all")
	for _, h := range c.Herds {
		line(h.Kind, h.Nodes, h.Alive, h.At, h.All)
	}

	table("Upstreams that were set aside, by balancer-seconds:")
	line("upstream", "balancers at once", "at_s", "seconds", "longest", "times", "back as cold", "not back", "why")
	for _, b := range c.Beliefs[:min(rows, len(c.Beliefs))] {
		line(b.Upstream, b.Most, b.MostAt, b.Seconds, b.Longest, b.Times, b.Cold, b.Unreturned, list(b.Why))
	}

	table("Versions of the list, those that took longest to spread first:")
	line("tier", "version", "first at_s", "half after_s", "last after_s", "balancers", "never")
	slow := slices.Clone(c.Versions)
	slices.SortStableFunc(slow, func(a, b *Version) int { return int(1e3 * (b.All - a.All)) })
	for _, v := range slow[:min(rows, len(slow))] {
		line(v.Tier, v.Index, v.First, v.Half, v.All, v.Nodes, v.Never)
	}
	if n := len(c.Late); n > 0 {
		line("new upstreams told after_s:", "half", c.Late[n/2], "9 in 10", c.Late[n*9/10], "most", c.Late[n-1])
	}

	table("Balancers that lost the most:")
	line("file", "tier", "arrived", "lost", "in 100", "by reason")
	for _, m := range c.Members[:min(rows, len(c.Members))] {
		line(m.File, m.Tier, m.Arrived, m.Lost, 100*m.Lost/max(m.Arrived, 1), list(m.Reasons))
	}
	w.Flush()
}

func dials(f map[string]float64) float64 {
	return f["dial_first"] + f["dial_again"] + f["dial_busy"] + f["dial_probe"]
}

func short(v float64) string {
	text := fmt.Sprintf("%.1f", v)
	return strings.TrimSuffix(text, ".0")
}

func list[N int | float64](of map[string]N) string {
	var all []string
	for _, name := range keys(of) {
		all = append(all, fmt.Sprintf("%s %s", name, short(float64(of[name]))))
	}
	return strings.Join(all, ", ")
}

var colours = []string{"#a22", "#b80", "#89b", "#3a7", "#639", "#27a", "#222", "#a50", "#466", "#c6a"}

// HTML writes one page with pictures, which needs nothing else.
func (c *Count) HTML(to io.Writer) error {
	var b strings.Builder
	draw.WritePageHead(&b, "A fleet's logs")
	fmt.Fprintf(&b, "<p>%d balancers, %d lines from %s on, %.0f s.</p>", c.Nodes, c.Lines, c.Start.Format("2006-01-02T15:04:05Z"), c.Length)
	p := &draw.Plot{Duration: max(c.Length, c.Every), Step: c.Every}
	values := func(of func(r *Row) float64) (all []float64) {
		for _, r := range c.Rows {
			all = append(all, of(r))
		}
		return all
	}
	bars := func(caption string, all []draw.Series) {
		most := 0.0
		for k := range c.Rows {
			sum := 0.0
			for _, s := range all {
				sum += s.Values[k]
			}
			most = max(most, sum)
		}
		y, ticks := draw.LinearScale(most)
		b.WriteString("<figure>")
		p.OpenWithAxes(&b, caption, ticks, y, "%.0f")
		p.Bars(&b, all, y)
		b.WriteString("</svg></figure>")
	}
	var lost []draw.Series
	for k, name := range c.reasons()[:min(6, len(c.reasons()))] {
		lost = append(lost, draw.Series{Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return r.Losses[name] / c.Every })})
	}
	bars("Lost a second, by reason", lost)
	pick := func(names ...string) (all []draw.Series) {
		for k, name := range names {
			all = append(all, draw.Series{Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return r.Figures[name] / c.Every })})
		}
		return all
	}
	bars("What became of transactions a second, by tallies", pick("settled", "deferred", "forfeited", "vanished"))
	bars("Connections opened to upstreams a second, by reason", pick("dial_first", "dial_again", "dial_busy", "dial_probe"))
	bars("Connections to upstreams closed a second, by reason", pick("close_called_off", "close_by_upstream", "close_idle", "close_left"))
	bars("Copies and retries a second", pick("copies", "retries"))
	events := func(names ...string) (all []draw.Series) {
		for k, name := range names {
			all = append(all, draw.Series{Name: name, Colour: colours[k], Values: values(func(r *Row) float64 { return float64(r.Nodes[name]) })})
		}
		return all
	}
	bars("Balancers that did the same within a step", events("list_told", "list_open", "list_broken", "aside", "back", "start"))
	bars("Pairs of a balancer and an upstream that it has set aside", []draw.Series{
		{Name: "aside", Colour: colours[4], Values: values(func(r *Row) float64 { return float64(r.Aside) })},
	})
	bars("Balancers whose list is older than the newest told", []draw.Series{
		{Name: "behind", Colour: colours[5], Values: values(func(r *Row) float64 { return float64(r.Behind) })},
	})
	b.WriteString("<h2>Upstreams set aside</h2><table><tr><th>upstream</th><th>balancers at once</th><th>balancer-seconds</th><th>why</th></tr>")
	for _, u := range c.Beliefs[:min(30, len(c.Beliefs))] {
		fmt.Fprintf(&b, "<tr><td>%s</td><td>%d</td><td>%.1f</td><td>%s</td></tr>", draw.EscapeHTML(u.Upstream), u.Most, u.Seconds, draw.EscapeHTML(list(u.Why)))
	}
	b.WriteString("</table><h2>Balancers that lost the most</h2><table><tr><th>file</th><th>tier</th><th>arrived</th><th>lost</th><th>by reason</th></tr>")
	for _, m := range c.Members[:min(30, len(c.Members))] {
		fmt.Fprintf(&b, "<tr><td>%s</td><td>%s</td><td>%.0f</td><td>%.0f</td><td>%s</td></tr>",
			draw.EscapeHTML(m.File), draw.EscapeHTML(m.Tier), m.Arrived, m.Lost, draw.EscapeHTML(list(m.Reasons)))
	}
	b.WriteString("</table></html>\n")
	_, err := io.WriteString(to, b.String())
	return err
}

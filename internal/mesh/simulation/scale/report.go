package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report holds the measurements of a run.
type Report struct {
	Title  string
	Rows   []Row
	Slopes []Slope
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return Error.Wrap(encoder.Encode(r))
}

// Summary returns a row as one line of progress output.
func (r Row) Summary() string {
	text := fmt.Sprintf("size %d %s: %.2f requests/s and %.2f KB/s received per proxy, %d failed, controllers %.3f cores and %.0f MB", r.Size, r.Phase,
		r.perProxy(r.Watch.Requests), r.perProxy(r.Watch.Received)/1000, r.Watch.Failed, r.Controllers.Cores, r.Controllers.LargestMB)
	if r.Complete != nil {
		text += fmt.Sprintf(", complete after %.2f s", *r.Complete)
	}
	if s := r.Served; s != nil {
		text += fmt.Sprintf(", served %d of %d, added %.2f and %.2f ms", s.OK, s.Calls, s.Added().P50, s.Added().P99)
	}
	return text + ", load " + r.Machine
}

// WriteTable writes the slopes, one line for each figure of each phase.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', tabwriter.AlignRight)
	for n, s := range r.Slopes {
		if n == 0 || s.Phase != r.Slopes[n-1].Phase || s.Rate != r.Slopes[n-1].Rate {
			writeHeading(table, s)
		}
		fmt.Fprintf(table, "%s\t%s\t", s.Figure, s.Unit)
		for _, value := range s.Values {
			fmt.Fprintf(table, "%s\t", number(value))
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f\t\n", number(s.Base), number(s.PerNode*1000), s.Exponent)
	}
	return Error.Wrap(table.Flush())
}

func writeHeading(out io.Writer, s Slope) {
	name := string(s.Phase)
	if s.Rate > 0 {
		name += fmt.Sprintf(" at %g/s", s.Rate)
	}
	fmt.Fprintf(out, "\n%s\tunit\t", name)
	for _, size := range s.Sizes {
		fmt.Fprintf(out, "%d\t", size)
	}
	fmt.Fprint(out, "base\tper 1000\texponent\t\n")
}

func number(v float64) string { return fmt.Sprintf("%.3g", v) }

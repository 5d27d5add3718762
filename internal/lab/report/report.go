// Package report presents the results of experiments: a table and a verdict for the terminal, JSON to store, and HTML.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"ottershift/internal/lab/judge"
	"ottershift/internal/lab/spec"
)

// Variant holds the results of all runs of one variant.
type Variant struct {
	Name string
	Runs []*judge.Result
}

// Fault is the interval of a fault, shown in charts.
type Fault struct {
	Kind     string
	From, To float64 // seconds
}

// Outcome is the result of one experiment.
type Outcome struct {
	Name, Title string
	About       string
	Seed        uint64
	Short       bool
	Length      float64 // seconds
	Settle      float64
	Faults      []Fault
	Variants    []*Variant
	Verdict     string   // "held", "short" or "void"
	Words       []string // findings that support the verdict
}

// New returns an outcome without runs.
func New(e *spec.Experiment) *Outcome {
	outcome := &Outcome{
		Name: e.Name, Title: e.Title, About: e.About, Seed: e.Seed, Short: e.Short, Length: float64(e.Length) / 1e9,
		Settle: float64(e.Settle) / 1e9,
	}
	for _, f := range e.Faults {
		outcome.Faults = append(outcome.Faults, Fault{f.Kind, float64(f.At) / 1e9, float64(f.At+f.For) / 1e9})
	}
	for _, v := range e.Variants {
		outcome.Variants = append(outcome.Variants, &Variant{Name: v})
	}
	return outcome
}

// studentT975 holds the 0.975 quantiles of Student's t distribution by degrees of freedom, from 1.
var studentT975 = []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}

// Interval returns the mean and the half-width of its 95% confidence interval, which is NaN for fewer than two values.
func Interval(values []float64) (mean, half float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if len(values) < 2 {
		return mean, math.NaN()
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	t := 1.96
	if len(values)-2 < len(studentT975) {
		t = studentT975[len(values)-2]
	}
	return mean, t * math.Sqrt(sum/(n-1)/n)
}

// Values returns a figure of all runs that have it.
func (v *Variant) Values(figure string) (all []float64) {
	for _, r := range v.Runs {
		if f, some := r.Figures[figure]; some {
			all = append(all, f)
		}
	}
	return all
}

// Judge computes the verdict from the means over all runs. For rules and breaches it takes the maximum instead, so that
// a breach in one run counts.
func (outcome *Outcome) Judge(e *spec.Experiment) {
	means := map[string]*judge.Result{}
	outcome.Verdict = "held"
	for _, v := range outcome.Variants {
		m := &judge.Result{Figures: map[string]float64{}}
		for _, r := range v.Runs {
			for name := range r.Figures {
				values := v.Values(name)
				if mean, _ := Interval(values); !strings.HasPrefix(name, "rule") && name != "breaches" {
					m.Figures[name] = mean
				} else {
					m.Figures[name] = slices.Max(values)
				}
			}
			if r.Void != "" {
				outcome.Verdict = "void"
				outcome.Words = append(outcome.Words, v.Name+": "+r.Void)
			}
			if r.Broken != "" && outcome.Verdict != "void" {
				outcome.Verdict = "short"
				outcome.Words = append(outcome.Words, v.Name+" broke off: "+r.Broken)
			}
		}
		means[v.Name] = m
		// Experiments need not list the rules: the design must always satisfy them.
		if (v.Name == "design" || v.Name == "no-copies") && m.Figures["breaches"] > 0 && outcome.Verdict != "void" {
			outcome.Verdict = "short"
			outcome.Words = append(outcome.Words, fmt.Sprintf("%s broke the rules %g times", v.Name, m.Figures["breaches"]))
		}
	}
	for _, name := range e.MustBreakRules {
		m := means[name]
		if m == nil {
			continue // the variant was not requested
		}
		word := "convicted"
		// A variant with a safeguard removed must break rules. If the judge finds no breach there, the absence of
		// breaches in the design proves nothing.
		if m.Figures["breaches"] == 0 {
			if word = "short: not convicted"; outcome.Verdict == "held" {
				outcome.Verdict = "short"
			}
		}
		outcome.Words = append(outcome.Words, fmt.Sprintf("%s: %s (%g of the cluster's rules broken, %g of the four)", word, name, m.Figures["cluster"], m.Figures["breaches"]-m.Figures["cluster"]))
	}
	for _, c := range e.Verdict {
		ok, left, right := judge.Holds(c, means)
		word := "held"
		if !ok {
			word = "short"
			if outcome.Verdict == "held" {
				outcome.Verdict = "short"
			}
		}
		outcome.Words = append(outcome.Words, fmt.Sprintf("%s: %s (%.4g and %.4g)", word, c.Text, left, right))
	}
}

// columns lists the figures of the table and their formats.
var columns = []struct{ figure, format string }{
	{"service", "%.4f"}, {"settled", "%.4f"}, {"deferred", "%.4f"}, {"failed", "%.4f"}, {"lost", "%.4f"}, {"attempts", "%.3f"},
	{"p50", "%.1f"}, {"p99", "%.1f"}, {"p999", "%.1f"}, {"worst", "%.3f"}, {"recover", "%.1f"}, {"breaches", "%g"},
	{"death_seen", "%.1f"}, {"death_bound", "%.1f"}, {"views_back", "%.1f"}, {"views_bound", "%.1f"},
	{"no_owner", "%.1f"}, {"no_owner_bound", "%.1f"}, {"asks", "%.2f"}, {"watches", "%.1f"}, {"refused", "%g"},
}

// WriteTable writes the figures and findings, with the verdict as the last line.
func (outcome *Outcome) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n", outcome.Name, outcome.Title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "variant")
	for _, c := range columns {
		fmt.Fprint(t, "\t", c.figure)
	}
	fmt.Fprintln(t, "\tlag99")
	for _, v := range outcome.Variants {
		fmt.Fprint(t, v.Name)
		for _, c := range columns {
			fmt.Fprint(t, "\t", formatCell(v.Values(c.figure), c.format))
		}
		lag := 0.0
		for _, r := range v.Runs {
			lag = max(lag, r.Lag99)
		}
		fmt.Fprintf(t, "\t%.1f\n", lag)
	}
	t.Flush()
	for _, v := range outcome.Variants {
		for _, r := range v.Runs {
			for _, x := range r.Examples {
				fmt.Fprintf(w, "%s: %s\n", v.Name, x)
			}
		}
	}
	for _, word := range outcome.Words {
		fmt.Fprintln(w, word)
	}
	fmt.Fprintf(w, "verdict=%s experiment=%s", outcome.Verdict, outcome.Name)
	for _, v := range outcome.Variants {
		fmt.Fprintf(w, " %s=%s", v.Name, formatCell(v.Values("service"), "%.4f"))
	}
	fmt.Fprintln(w)
}

func formatCell(values []float64, format string) string {
	if len(values) == 0 {
		return "-"
	}
	mean, half := Interval(values)
	text := fmt.Sprintf(format, mean)
	if !math.IsNaN(half) && half > 0 {
		text += "±" + fmt.Sprintf(format, half)
	}
	return text
}

// Save writes the outcome to a file as JSON.
func (outcome *Outcome) Save(file string) error {
	text, err := json.MarshalIndent(outcome, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(text, '\n'), 0o644)
}

// Load reads a file written by Save.
func Load(file string) (*Outcome, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{}
	if err := json.Unmarshal(text, outcome); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(outcome.Variants) == 0 {
		return nil, fmt.Errorf("%s: not an experiment result: it has no variants", file)
	}
	return outcome, nil
}

// Compare writes the mean differences b - a over pairs of runs, with their confidence intervals.
func Compare(w io.Writer, nameA, nameB string, a, b []*judge.Result) {
	n := min(len(a), len(b))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "figure\t%s\t%s\tdifference\t95%% interval\t\n", nameA, nameB)
	for _, c := range columns {
		var valuesA, valuesB, diff []float64
		for i := range n {
			x, one := a[i].Figures[c.figure]
			y, other := b[i].Figures[c.figure]
			if one && other {
				valuesA, valuesB, diff = append(valuesA, x), append(valuesB, y), append(diff, y-x)
			}
		}
		if len(diff) == 0 {
			continue
		}
		meanA, _ := Interval(valuesA)
		meanB, _ := Interval(valuesB)
		d, half := Interval(diff)
		word := ""
		switch {
		case math.IsNaN(half):
			word = "a single pair has no confidence interval"
		case d-half > 0 || d+half < 0:
			word = "differs"
		}
		fmt.Fprintf(t, "%s\t"+c.format+"\t"+c.format+"\t"+strings.Replace(c.format, "%", "%+", 1)+"\t[%.4g, %.4g]\t%s\n", c.figure, meanA, meanB, d, d-half, d+half, word)
	}
	t.Flush()
}

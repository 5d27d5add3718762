package simulation

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/federation"
)

// Error is the error class of this package.
var Error = errs.Class("meshsim")

// duration is a time span in nanoseconds, written in a question as "1.5s".
type duration int64

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("%q is negative", text)
	}
	*d = duration(parsed)
	return err
}

// Question is a what-if question, read from a TOML file. It runs the partner, credit or mesh scenario whose number of
// proxies is set, else the core scenario.
type Question struct {
	Title   string
	Seeds   int              // runs for each row
	Seed    uint64           // of the first run; each next run adds 1
	Core    coreSettings     // the voting controllers
	Mesh    meshSettings     // a whole mesh
	Partner partnerSettings  // narrowing of a partner's exports
	Credit  creditSettings   // burst credit
	Run     runSettings      // a mesh of real processes, played by the run command
	Vary    map[string][]any // values of at most two settings; each combination gives a row
	Holds   string           // "always": no row has a violation; "never": each row has one
	Ask     []string         // figures to print, empty for all
}

// coreSettings is the [core] table of a question.
type coreSettings struct {
	Controllers, Founders, Tolerate, Puts, Reads, Readers int
	Length, Delay, Jitter, Sync, Handling, Grace          duration
	CatchUp                                               duration `toml:"catch_up"`
	RepairWithin                                          duration `toml:"repair_within"`
	Loss                                                  float64
	AtOnce                                                int     `toml:"at_once"`
	AnswersLost                                           float64 `toml:"answers_lost"`
	AnswersLate                                           float64 `toml:"answers_late"`
	Resends                                               float64
	Remembered                                            int
	FaultCounts
	DisabledGuards
	Faults []Fault
}

// defaultCore returns the settings that apply where a question sets none.
func defaultCore() coreSettings {
	return coreSettings{Controllers: 4, Founders: 3, Tolerate: 1, Length: duration(30 * Second), CatchUp: duration(4 * Second), Grace: duration(6 * Second),
		RepairWithin: duration(5 * Second), Delay: duration(Millisecond / 2), Jitter: duration(Millisecond), Sync: duration(2 * Millisecond), Handling: duration(Millisecond / 4), Puts: 20, Reads: 20}
}

func (settings coreSettings) scenario() CoreScenario {
	return CoreScenario{Controllers: settings.Controllers, Founders: settings.Founders, Tolerate: settings.Tolerate, Length: int64(settings.Length), CatchUp: int64(settings.CatchUp),
		Grace: int64(settings.Grace), RepairWithin: int64(settings.RepairWithin), Delay: int64(settings.Delay), Jitter: int64(settings.Jitter), Sync: int64(settings.Sync),
		Handling: int64(settings.Handling), Loss: settings.Loss, Updates: settings.Puts, ConcurrentUpdates: settings.AtOnce, Reads: settings.Reads, Readers: settings.Readers,
		LostResponses: settings.AnswersLost, LateResponses: settings.AnswersLate, Resends: settings.Resends, RememberedChanges: settings.Remembered,
		FaultCounts: settings.FaultCounts, Faults: settings.Faults, DisabledGuards: settings.DisabledGuards}
}

// ReadQuestion parses a question and validates it.
func ReadQuestion(text []byte) (*Question, error) {
	question := &Question{Seeds: 50, Seed: 1, Holds: "always", Core: defaultCore(), Mesh: defaultMesh(), Run: defaultRun(), Credit: defaultCredit(), Partner: defaultPartner()}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(question); err != nil {
		if strict, ok := err.(*toml.StrictMissingError); ok {
			return nil, Error.New("unknown keys:\n%s", strict.String())
		}
		if at, ok := err.(*toml.DecodeError); ok {
			row, column := at.Position()
			return nil, Error.New("line %d, column %d: %v", row, column, at)
		}
		return nil, Error.Wrap(err)
	}
	var faults errs.Group
	check := func(key string, v any, rules ...validation.Rule) {
		if err := validation.Validate(v, rules...); err != nil {
			faults.Add(Error.New("%s: %v", key, err))
		}
	}
	check("seeds", question.Seeds, validation.Min(1), validation.Max(100000))
	check("core.controllers", question.Core.Controllers, validation.Required, validation.Min(1), validation.Max(64))
	check("core.founders", question.Core.Founders, validation.Required, validation.Min(1), validation.Max(question.Core.Controllers))
	check("core.length", int64(question.Core.Length), validation.Min(8*Second))
	check("holds", question.Holds, validation.In("always", "never"))
	check("partner.proxies", question.Partner.Proxies, validation.Min(0), validation.Max(2000))
	check("partner.controllers", question.Partner.Controllers, validation.Required, validation.Min(1), validation.Max(9))
	check("partner.length", int64(question.Partner.Length), validation.Min(30*Second))
	check("partner.guard", question.Partner.Guard, validation.In("", federation.WithoutAuthorization, federation.SinglePolicyCheck, federation.OpenByDefault, federation.RetryAfterNarrowing))
	check("credit.proxies", question.Credit.Proxies, validation.Min(0), validation.Max(2000))
	check("credit.regions", question.Credit.Regions, validation.Required, validation.Min(1), validation.Max(100))
	check("credit.guard", question.Credit.Guard, validation.In("", burstcredit.WithoutDeduplication, burstcredit.WithoutEscrowTimeout, burstcredit.WithoutPrecedence))
	check("mesh.proxies", question.Mesh.Proxies, validation.Min(0), validation.Max(5000))
	faults.Add(validateFaults("core", question.Core.Faults, coreKinds, question.Core.Length))
	faults.Add(validateFaults("mesh", question.Mesh.Faults, meshKinds, question.Mesh.Length))
	faults.Add(question.Run.validate(check))
	if len(question.Vary) > 2 {
		faults.Add(Error.New("vary: at most two settings may vary"))
	}
	return question, faults.Err()
}

// Row is one row of an answer.
type Row struct {
	Values []string
	Days   int
	Broken int    // runs with a violation
	First  string // the first violation, with its seed
	Shown  []Figure
}

// Figure is one named value of a row.
type Figure struct{ Name, Value string }

// variations returns the names of the varied settings and all combinations of their values.
func (question *Question) variations() (names []string, all [][]any) {
	for name := range question.Vary {
		names = append(names, name)
	}
	sort.Strings(names)
	all = [][]any{nil}
	for _, name := range names {
		var next [][]any
		for _, row := range all {
			for _, v := range question.Vary[name] {
				next = append(next, append(slices.Clone(row), v))
			}
		}
		all = next
	}
	return names, all
}

// with returns the question with the named settings replaced.
func (question *Question) with(names []string, values []any) (*Question, error) {
	varied := *question
	varied.Vary = nil
	for n, name := range names {
		table, key, found := strings.Cut(name, ".")
		if !found {
			table, key = "core", name
			if question.Mesh.Proxies > 0 {
				table = "mesh"
			}
			if question.Credit.Proxies > 0 {
				table = "credit"
			}
			if question.Partner.Proxies > 0 {
				table = "partner"
			}
		}
		raw, err := toml.Marshal(map[string]map[string]any{table: {key: values[n]}})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&varied); err != nil {
			return nil, Error.New("vary: %s = %v: %v", name, values[n], err)
		}
	}
	return &varied, nil
}

// Answer runs all rows of a question. progress is called after each row; it may be nil.
func (question *Question) Answer(progress func(done, all int)) (names []string, rows []Row, err error) {
	names, all := question.variations()
	for n, values := range all {
		varied, err := question.with(names, values)
		if err != nil {
			return nil, nil, err
		}
		row := varied.simulateSeeds()
		for _, v := range values {
			row.Values = append(row.Values, fmt.Sprint(v))
		}
		rows = append(rows, row)
		if progress != nil {
			progress(n+1, len(all))
		}
	}
	return names, rows, nil
}

// MeetsExpectation reports whether the rows agree with Holds.
func (question *Question) MeetsExpectation(rows []Row) bool {
	for _, r := range rows {
		if (r.Broken == 0) != (question.Holds == "always") {
			return false
		}
	}
	return true
}

// simulateSeeds runs all seeds of one row in parallel. The figures do not depend on the number of processors.
func (question *Question) simulateSeeds() Row {
	row := Row{Days: question.Seeds}
	type runSummary struct {
		violations []string
		metrics    map[string]float64
		durations  []durations
	}
	runs := make([]runSummary, question.Seeds)
	runParallel(question.Seeds, func(n int) {
		switch seed := question.Seed + uint64(n); {
		case question.Partner.Proxies > 0:
			result := question.Partner.scenario().Simulate(seed)
			runs[n] = runSummary{result.Broken, result.metrics(), nil}
		case question.Credit.Proxies > 0:
			result := question.Credit.scenario().Simulate(seed)
			runs[n] = runSummary{result.Broken, result.metrics(), nil}
		case question.Mesh.Proxies > 0:
			result := question.Mesh.scenario().Simulate(seed)
			runs[n] = runSummary{result.Broken, result.metrics(), nil}
		default:
			result := question.Core.scenario().Simulate(seed)
			runs[n] = runSummary{result.Broken, result.metrics(), result.durations()}
		}
	})
	sums, maxima := map[string]float64{}, map[string]float64{}
	var all []durations
	var names []string
	for n, result := range runs {
		if len(result.violations) > 0 {
			if row.Broken++; row.First == "" {
				row.First = fmt.Sprintf("seed %d: %s", question.Seed+uint64(n), result.violations[0])
			}
		}
		for name, v := range result.metrics {
			if _, ok := sums[name]; !ok {
				names = append(names, name)
			}
			sums[name] += v
			maxima[name] = math.Max(maxima[name], v)
		}
		all = appendDurations(all, result.durations)
	}
	sort.Strings(names)
	for _, name := range names {
		v := sums[name] / float64(question.Seeds)
		if strings.HasPrefix(name, "most ") {
			v = maxima[name]
		}
		row.Shown = append(row.Shown, Figure{name, fmt.Sprintf("%.4g", v)})
	}
	for _, t := range all {
		row.Shown = append(row.Shown, t.figures()...)
	}
	if len(question.Ask) > 0 {
		row.Shown = slices.DeleteFunc(row.Shown, func(s Figure) bool { return !slices.Contains(question.Ask, s.Name) })
	}
	return row
}

// durations are the measured virtual times of one kind, in nanoseconds.
type durations struct {
	name   string
	values []int64
}

// appendDurations adds the times of one run to those of the runs before it.
func appendDurations(all, run []durations) []durations {
	if all == nil {
		all = make([]durations, len(run))
	}
	for n, t := range run {
		all[n].name, all[n].values = t.name, append(all[n].values, t.values...)
	}
	return all
}

// figures returns the median, the 99th percentile and the maximum.
func (times durations) figures() []Figure {
	slices.Sort(times.values)
	last := len(times.values) - 1
	figure := func(name string, n int) Figure {
		if last < 0 {
			return Figure{times.name + " " + name, "-"}
		}
		return Figure{times.name + " " + name, time.Duration(times.values[n]).Round(10 * time.Microsecond).String()}
	}
	return []Figure{figure("median", max(last, 0)/2), figure("p99", last*99/100), figure("worst", last)}
}

func (result *CoreResult) durations() []durations {
	return []durations{{"ack", result.Took}, {"repair", result.Repairs}, {"catch-up", result.CatchUps}}
}

func (result *CoreResult) metrics() map[string]float64 {
	return map[string]float64{"acked": float64(result.Acked), "stale": float64(result.Stale), "unclear": float64(result.Unclear), "reads": float64(result.Read),
		"slots": float64(result.Decided), "adopted": float64(result.Adopted), "handed over": float64(result.HandOver), "excluded": float64(result.Excluded),
		"resent": float64(result.Resent), "resent unclear": float64(result.Forgot)}
}

// PrintAnswer writes an answer as a table.
func PrintAnswer(out io.Writer, q *Question, names []string, rows []Row) {
	fmt.Fprintf(out, "%s\n%d seeds a row, simulated\n\n", q.Title, q.Seeds)
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	for _, name := range names {
		fmt.Fprintf(t, "%s\t", name)
	}
	fmt.Fprint(t, "broken\t")
	if len(rows) > 0 {
		for _, s := range rows[0].Shown {
			fmt.Fprintf(t, "%s\t", s.Name)
		}
	}
	fmt.Fprintln(t)
	for _, r := range rows {
		for _, v := range r.Values {
			fmt.Fprintf(t, "%s\t", v)
		}
		fmt.Fprintf(t, "%d of %d\t", r.Broken, r.Days)
		for _, s := range r.Shown {
			fmt.Fprintf(t, "%s\t", s.Value)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	for _, r := range rows {
		if r.First != "" {
			fmt.Fprintf(out, "\n%s: %s\n", strings.Join(r.Values, ", "), r.First)
		}
	}
}

// SimulateSeed runs the question once, without its variations, and returns the result of its scenario.
func (question *Question) SimulateSeed(seed uint64) any {
	if question.Partner.Proxies > 0 {
		return question.Partner.scenario().Simulate(seed)
	}
	if question.Credit.Proxies > 0 {
		return question.Credit.scenario().Simulate(seed)
	}
	if question.Mesh.Proxies > 0 {
		return question.Mesh.scenario().Simulate(seed)
	}
	return question.Core.scenario().Simulate(seed)
}

// runParallel calls do with 0 to n-1, on as many goroutines as there are processors.
func runParallel(n int, do func(int)) {
	next := make(chan int)
	var wait sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), n) {
		wait.Go(func() {
			for k := range next {
				do(k)
			}
		})
	}
	for k := range n {
		next <- k
	}
	close(next)
	wait.Wait()
}

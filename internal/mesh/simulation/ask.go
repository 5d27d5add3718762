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

// Error is the class of faults in questions.
var Error = errs.Class("meshsim")

// duration is a time in a question: "1.5s".
type duration int64

// MarshalText implements encoding.TextMarshaler.
func (s duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("%q is below 0", text)
	}
	*s = duration(d)
	return err
}

// Question is a file that asks what would be.
type Question struct {
	Title   string
	Seeds   int              // days for each row
	Seed    uint64           // of the first of them
	Core    coreSettings     // a day of a core
	Mesh    meshSettings     // or of a whole mesh
	Partner partnerSettings  // or of a partner's narrowings
	Credit  creditSettings   // or of burst credit
	Run     runSettings      // and the mesh of real processes that run plays
	Vary    map[string][]any // a row for each value, or for each pair of values of two
	Holds   string           // "always": no rule breaks on any row; "never": on each row one does
	Ask     []string         // what to show, all where left out
}

// coreSettings is a day of a core as a question has it.
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

// defaultCore is what a question has where it doesn't say otherwise.
func defaultCore() coreSettings {
	return coreSettings{Controllers: 4, Founders: 3, Tolerate: 1, Length: duration(30 * S), CatchUp: duration(4 * S), Grace: duration(6 * S),
		RepairWithin: duration(5 * S), Delay: duration(Ms / 2), Jitter: duration(Ms), Sync: duration(2 * Ms), Handling: duration(Ms / 4), Puts: 20, Reads: 20}
}

func (c coreSettings) scenario() CoreScenario {
	return CoreScenario{Controllers: c.Controllers, Founders: c.Founders, Tolerate: c.Tolerate, Length: int64(c.Length), CatchUp: int64(c.CatchUp),
		Grace: int64(c.Grace), RepairWithin: int64(c.RepairWithin), Delay: int64(c.Delay), Jitter: int64(c.Jitter), Sync: int64(c.Sync),
		Handling: int64(c.Handling), Loss: c.Loss, Puts: c.Puts, AtOnce: c.AtOnce, Reads: c.Reads, Readers: c.Readers,
		AnswersLost: c.AnswersLost, AnswersLate: c.AnswersLate, Resends: c.Resends, Remembered: c.Remembered,
		FaultCounts: c.FaultCounts, Faults: c.Faults, DisabledGuards: c.DisabledGuards}
}

// ReadQuestion reads a question and names what is wrong with it.
func ReadQuestion(text []byte) (*Question, error) {
	q := &Question{Seeds: 50, Seed: 1, Holds: "always", Core: defaultCore(), Mesh: defaultMesh(), Run: defaultRun(), Credit: defaultCredit(), Partner: defaultPartner()}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(q); err != nil {
		if strict, is := err.(*toml.StrictMissingError); is {
			return nil, Error.New("unknown keys:\n%s", strict.String())
		}
		if at, is := err.(*toml.DecodeError); is {
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
	check("seeds", q.Seeds, validation.Min(1), validation.Max(100000))
	check("core.controllers", q.Core.Controllers, validation.Required, validation.Min(1), validation.Max(64))
	check("core.founders", q.Core.Founders, validation.Required, validation.Min(1), validation.Max(q.Core.Controllers))
	check("core.length", int64(q.Core.Length), validation.Min(8*S))
	check("holds", q.Holds, validation.In("always", "never"))
	check("partner.proxies", q.Partner.Proxies, validation.Min(0), validation.Max(2000))
	check("partner.controllers", q.Partner.Controllers, validation.Required, validation.Min(1), validation.Max(9))
	check("partner.length", int64(q.Partner.Length), validation.Min(30*S))
	check("partner.guard", q.Partner.Guard, validation.In("", federation.WithoutAuthorization, federation.SinglePolicyCheck, federation.OpenByDefault, federation.RetryAfterNarrowing))
	check("credit.proxies", q.Credit.Proxies, validation.Min(0), validation.Max(2000))
	check("credit.regions", q.Credit.Regions, validation.Required, validation.Min(1), validation.Max(100))
	check("credit.guard", q.Credit.Guard, validation.In("", burstcredit.WithoutDeduplication, burstcredit.WithoutEscrowTimeout, burstcredit.WithoutPrecedence))
	check("mesh.proxies", q.Mesh.Proxies, validation.Min(0), validation.Max(5000))
	faults.Add(validateFaults("core", q.Core.Faults, coreKinds, q.Core.Length))
	faults.Add(validateFaults("mesh", q.Mesh.Faults, meshKinds, q.Mesh.Length))
	faults.Add(q.Run.validate(check))
	if len(q.Vary) > 2 {
		faults.Add(Error.New("vary: two things at most"))
	}
	return q, faults.Err()
}

// Row is one line of an answer.
type Row struct {
	Values []string
	Days   int
	Broken int    // days on which a rule broke
	First  string // the first such, with its seed
	Shown  []Figure
}

// Figure is one figure of a row.
type Figure struct{ Name, Value string }

// variations are the questions for each value, or pair of values.
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

// with is the question with values put in.
func (question *Question) with(names []string, values []any) (*Question, error) {
	out := *question
	out.Vary = nil
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
		if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&out); err != nil {
			return nil, Error.New("vary: %s = %v: %v", name, values[n], err)
		}
	}
	return &out, nil
}

// Answer plays all rows of a question. progress is told after each, nil for nobody.
func (question *Question) Answer(progress func(done, all int)) (names []string, rows []Row, err error) {
	names, all := question.variations()
	for n, values := range all {
		one, err := question.with(names, values)
		if err != nil {
			return nil, nil, err
		}
		row := one.simulateSeeds()
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

// MeetsExpectation reports whether the rows are as the question says they have to be.
func (question *Question) MeetsExpectation(rows []Row) bool {
	for _, r := range rows {
		if (r.Broken == 0) != (question.Holds == "always") {
			return false
		}
	}
	return true
}

// simulateSeeds plays the days of one row, beside one another; what is shown doesn't depend on how many processors there are.
func (question *Question) simulateSeeds() Row {
	row := Row{Days: question.Seeds}
	type played struct {
		broken []string
		shown  map[string]float64
		times  []durations
	}
	days := make([]played, question.Seeds)
	runParallel(question.Seeds, func(n int) {
		switch seed := question.Seed + uint64(n); {
		case question.Partner.Proxies > 0:
			d := question.Partner.scenario().Simulate(seed)
			days[n] = played{d.Broken, d.metrics(), nil}
		case question.Credit.Proxies > 0:
			d := question.Credit.scenario().Simulate(seed)
			days[n] = played{d.Broken, d.metrics(), nil}
		case question.Mesh.Proxies > 0:
			d := question.Mesh.scenario().Simulate(seed)
			days[n] = played{d.Broken, d.metrics(), nil}
		default:
			d := question.Core.scenario().Simulate(seed)
			days[n] = played{d.Broken, d.metrics(), d.durations()}
		}
	})
	sums, most := map[string]float64{}, map[string]float64{}
	var all []durations
	var names []string
	for n, d := range days {
		if len(d.broken) > 0 {
			if row.Broken++; row.First == "" {
				row.First = fmt.Sprintf("seed %d: %s", question.Seed+uint64(n), d.broken[0])
			}
		}
		for name, v := range d.shown {
			if _, is := sums[name]; !is {
				names = append(names, name)
			}
			sums[name] += v
			most[name] = math.Max(most[name], v)
		}
		all = appendDurations(all, d.times)
	}
	sort.Strings(names)
	for _, name := range names {
		v := sums[name] / float64(question.Seeds)
		if strings.HasPrefix(name, "most ") {
			v = most[name]
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

// durations are spans of virtual time of one kind.
type durations struct {
	name   string
	values []int64
}

// appendDurations puts a day's times to those of the days before it.
func appendDurations(all, day []durations) []durations {
	if all == nil {
		all = make([]durations, len(day))
	}
	for n, t := range day {
		all[n].name, all[n].values = t.name, append(all[n].values, t.values...)
	}
	return all
}

// figures is how they are spread.
func (t durations) figures() []Figure {
	slices.Sort(t.values)
	last := len(t.values) - 1
	figure := func(name string, n int) Figure {
		if last < 0 {
			return Figure{t.name + " " + name, "-"}
		}
		return Figure{t.name + " " + name, time.Duration(t.values[n]).Round(10 * time.Microsecond).String()}
	}
	return []Figure{figure("median", max(last, 0)/2), figure("p99", last*99/100), figure("worst", last)}
}

func (d *CoreResult) durations() []durations {
	return []durations{{"ack", d.Took}, {"repair", d.Repairs}, {"catch-up", d.CatchUps}}
}

func (d *CoreResult) metrics() map[string]float64 {
	return map[string]float64{"acked": float64(d.Acked), "stale": float64(d.Stale), "unclear": float64(d.Unclear), "reads": float64(d.Read),
		"slots": float64(d.Decided), "adopted": float64(d.Adopted), "handed over": float64(d.HandOver), "excluded": float64(d.Excluded),
		"resent": float64(d.Resent), "resent unclear": float64(d.Forgot)}
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

// SimulateSeed plays one day of a question as it stands.
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

// runParallel does something for so many, beside one another.
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

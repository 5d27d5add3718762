package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Finding is a day on which a rule broke, with the fewest faults that were found to break it.
type Finding struct {
	Seed           uint64
	Broken         string // what broke first
	Runs           int    // played until it was met, and while it was shrunk
	ShrinkRuns     int
	OriginalFaults int // faults of the day as it was met
	Faults         []Fault
}

// candidate is a day that was played: the faults that it had and how near it came to a broken rule.
type candidate struct {
	seed      uint64
	faults    []Fault
	score     float64
	violation string
}

const (
	generationSize = 64   // days that are played beside one another
	parentCount    = 12   // of them, the nearest, of which the next come
	randomShare    = 0.25 // of a generation is drawn by chance alone
)

// Search plays days that come ever nearer to a broken rule, at most so many, and shrinks the first that breaks one. Which days it
// plays depends on the seed alone, on any number of processors. progress is told after each generation, nil for nobody.
func (question *Question) Search(seed uint64, maxRuns int, progress func(runs int, score float64)) (*Finding, int) {
	rng := rand.New(rand.NewPCG(seed, 0x68756e74))
	var best []candidate
	for runs := 0; runs < maxRuns; {
		next := make([]candidate, min(generationSize, maxRuns-runs))
		for n := range next {
			next[n].seed = rng.Uint64()>>1 | 1
			if len(best) > 0 && rng.Float64() >= randomShare {
				parent := best[rng.IntN(len(best))]
				next[n].seed = parent.seed
				next[n].faults = question.mutate(parent.faults, rng)
			} else {
				next[n].faults = question.drawFaults(next[n].seed)
			}
		}
		question.evaluateAll(next)
		for n, d := range next {
			if d.violation != "" {
				f := &Finding{Seed: d.seed, Broken: d.violation, Runs: runs + n + 1, OriginalFaults: len(d.faults)}
				f.Faults, f.ShrinkRuns = question.shrink(d)
				return f, runs + len(next)
			}
		}
		runs += len(next)
		best = append(best, next...)
		slices.SortStableFunc(best, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		best = best[:min(parentCount, len(best))]
		if progress != nil {
			progress(runs, best[0].score)
		}
	}
	return nil, maxRuns
}

// evaluateAll plays days beside one another.
func (question *Question) evaluateAll(all []candidate) {
	runParallel(len(all), func(n int) { all[n].violation, all[n].score = question.evaluate(all[n].seed, all[n].faults) })
}

// evaluate plays one day with given faults, and tells what broke and how near it came.
func (question *Question) evaluate(seed uint64, faults []Fault) (violation string, score float64) {
	if faults == nil {
		faults = []Fault{}
	}
	if question.Mesh.Proxies > 0 {
		scenario := question.Mesh.scenario()
		scenario.Faults = faults
		d := scenario.Simulate(seed)
		if len(d.Broken) > 0 {
			return d.Broken[0], 1
		}
		return "", d.Window / max(d.Bound, 1) // of what may pass in a window
	}
	scenario := question.Core.scenario()
	scenario.Faults = faults
	d := scenario.Simulate(seed)
	if len(d.Broken) > 0 {
		return d.Broken[0], 1
	}
	return "", d.riskScore()
}

// riskScore is how tight a day was: few disks that hold what was acknowledged, calls of which nobody knows the end, and long
// waits.
func (d *CoreResult) riskScore() float64 {
	near := 0.1*min(float64(d.Unclear), 5)/5 + 0.1*min(float64(d.Adopted), 6)/6
	if len(d.Took) > 0 {
		near += 0.05 * min(float64(slices.Max(d.Took))/float64(4*S), 1)
	}
	if len(d.Repairs) > 0 {
		near += 0.05 * min(float64(slices.Max(d.Repairs))/float64(4*S), 1)
	}
	if d.Fewest > 0 {
		near += 0.6 / float64(d.Fewest)
	}
	return near
}

func (question *Question) drawFaults(seed uint64) []Fault {
	if question.Mesh.Proxies > 0 {
		scenario := question.Mesh.scenario()
		sim := &meshSimulation{Simulator: NewSimulator(seed), MeshScenario: scenario, controllers: make([]*controllerModel, scenario.Zones)}
		return sim.drawFaults()
	}
	return question.Core.scenario().drawFaults(NewSimulator(seed).Rand("trouble"))
}

// faultRange is what the faults of a question may be.
type faultRange struct {
	kinds    []string
	first    duration // when something may go wrong
	length   duration // of the day
	machines int
}

func (question *Question) faultRange() faultRange {
	if question.Mesh.Proxies > 0 {
		return faultRange{meshKinds, 0, question.Mesh.Length, question.Mesh.Proxies}
	}
	return faultRange{coreKinds, duration(faultFreeStart), question.Core.Length, question.Core.Controllers}
}

const (
	maxFaults        = 24
	minFaultDuration = duration(50 * Ms)
	maxTriggerEvent  = 12 // events of the day upon which a new fault may come
)

// mutate alters one to three things: a fault's time, place, length or kind, one more upon another, or one less.
func (question *Question) mutate(all []Fault, rng *rand.Rand) []Fault {
	r := question.faultRange()
	out := slices.Clone(all)
	for range 1 + rng.IntN(3) {
		if len(out) == 0 || rng.IntN(5) == 0 && len(out) < maxFaults {
			out = append(out, r.newFault(out, rng))
		} else {
			out = r.mutateFault(out, rng.IntN(len(out)), rng)
		}
	}
	for n := range out { // what goes wrong is over by the last fifth of the day, in which all has to come back
		if !out[n].triggered() {
			out[n].At = min(max(out[n].At, r.first), r.length*7/10)
		}
		out[n].For = max(minFaultDuration, min(out[n].For, r.length*8/10-out[n].At))
	}
	return out
}

// newFault is a new fault, close to one of those that there are.
func (r faultRange) newFault(beside []Fault, rng *rand.Rand) Fault {
	f := Fault{Kind: r.kinds[rng.IntN(len(r.kinds))], Who: rng.IntN(r.machines), For: duration(int64(200+rng.IntN(3000)) * Ms)}
	f.At = duration(faultFreeStart + int64(rng.Float64()*float64(int64(r.length)*7/10-faultFreeStart)))
	if len(beside) > 0 {
		f.At = max(0, beside[rng.IntN(len(beside))].At+duration((rng.Float64()-0.5)*float64(S)))
	}
	if f.triggered() {
		f.At, f.After = 0, 1+rng.IntN(maxTriggerEvent)
	}
	return f
}

// mutateFault changes one fault, or leaves it out.
func (r faultRange) mutateFault(all []Fault, n int, rng *rand.Rand) []Fault {
	f := &all[n]
	switch rng.IntN(5) {
	case 0:
		f.Who = rng.IntN(r.machines)
	case 1:
		f.For = max(minFaultDuration, duration(float64(f.For)*(0.3+1.7*rng.Float64())))
	case 2:
		return withoutFault(all, n)
	default:
		if f.triggered() {
			f.After = max(1, f.After+rng.IntN(5)-2)
		} else {
			f.At = min(r.length*7/10, max(0, f.At+duration((rng.Float64()-0.5)*float64(2*S))))
		}
	}
	return all
}

var numbers = regexp.MustCompile(`[0-9.]+`)

// ruleName is what broke, without its figures.
func ruleName(broken string) string { return strings.TrimSpace(numbers.ReplaceAllString(broken, "")) }

// shrink leaves out faults, and shortens those that are left, as long as the same rule breaks.
func (question *Question) shrink(d candidate) (faults []Fault, played int) {
	faults = d.faults
	breaks := func(try []Fault) bool {
		played++
		broken, _ := question.evaluate(d.seed, try)
		return broken != "" && ruleName(broken) == ruleName(d.violation)
	}
	for size := max(1, len(faults)/2); size >= 1 && len(faults) > 0; { // halves, quarters, one by one
		less := false
		for from := 0; from < len(faults); {
			try := slices.Delete(slices.Clone(faults), from, min(from+size, len(faults)))
			if breaks(try) {
				faults, less = try, true
			} else {
				from += size
			}
		}
		if size /= 2; size < 1 && less {
			size = 1
		}
	}
	for n := range faults {
		for range 4 {
			try := slices.Clone(faults)
			if try[n].For /= 2; try[n].For < minFaultDuration || !breaks(try) {
				break
			}
			faults = try
		}
	}
	return faults, played
}

// File is the question that plays a found day again; it holds once the rule is kept.
func (finding *Finding) File(question *Question) ([]byte, error) {
	out := *question
	out.Title = fmt.Sprintf("Found by a hunt: %s (%d of %d faults are left)", finding.Broken, len(finding.Faults), finding.OriginalFaults)
	out.Run.Faults, out.Seed, out.Seeds, out.Holds, out.Vary, out.Ask = nil, finding.Seed, 1, "always", nil, nil
	if question.Mesh.Proxies > 0 {
		out.Mesh.Faults = finding.Faults
	} else {
		out.Core.Faults = finding.Faults
	}
	return toml.Marshal(out)
}

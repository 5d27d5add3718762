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

// Finding is a run with a violation, with its list of faults reduced as far as the search could.
type Finding struct {
	Seed           uint64
	Broken         string // the first violation
	Runs           int    // runs until the violation was found
	ShrinkRuns     int
	OriginalFaults int // number of faults before they were reduced
	Faults         []Fault
}

// candidate is a schedule of faults and the result of its run.
type candidate struct {
	seed      uint64
	faults    []Fault
	score     float64
	violation string
}

const (
	generationSize = 64   // runs that are evaluated in parallel
	parentCount    = 12   // highest-scoring candidates from which new ones are mutated
	randomShare    = 0.25 // share of a generation that is drawn at random
)

// Search evaluates at most maxRuns schedules. It mutates those that came closest to a violation, and shrinks the
// first that has one. The schedules depend on the seed alone, not on the number of processors. progress is called
// after each generation; it may be nil. The second result is the number of schedules evaluated, without those of
// shrinking.
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
		for n, candidate := range next {
			if candidate.violation != "" {
				finding := &Finding{Seed: candidate.seed, Broken: candidate.violation, Runs: runs + n + 1, OriginalFaults: len(candidate.faults)}
				finding.Faults, finding.ShrinkRuns = question.shrink(candidate)
				return finding, runs + len(next)
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

// evaluateAll evaluates candidates in parallel.
func (question *Question) evaluateAll(all []candidate) {
	runParallel(len(all), func(n int) { all[n].violation, all[n].score = question.evaluate(all[n].seed, all[n].faults) })
}

// evaluate runs one schedule, and returns its first violation and its score: 1 for a violation, below that the closer
// the higher.
func (question *Question) evaluate(seed uint64, faults []Fault) (violation string, score float64) {
	if faults == nil {
		faults = []Fault{}
	}
	if question.Mesh.Proxies > 0 {
		scenario := question.Mesh.scenario()
		scenario.Faults = faults
		result := scenario.Simulate(seed)
		if len(result.Broken) > 0 {
			return result.Broken[0], 1
		}
		return "", result.Window / max(result.Bound, 1) // share of the allowed requests in a window that was used
	}
	scenario := question.Core.scenario()
	scenario.Faults = faults
	result := scenario.Simulate(seed)
	if len(result.Broken) > 0 {
		return result.Broken[0], 1
	}
	return "", result.riskScore()
}

// riskScore estimates how close a run came to a violation. It grows when few disks hold the acknowledged version,
// when calls end without a clear response, and with long waits.
func (result *CoreResult) riskScore() float64 {
	score := 0.1*min(float64(result.Unclear), 5)/5 + 0.1*min(float64(result.Adopted), 6)/6
	if len(result.Took) > 0 {
		score += 0.05 * min(float64(slices.Max(result.Took))/float64(4*Second), 1)
	}
	if len(result.Repairs) > 0 {
		score += 0.05 * min(float64(slices.Max(result.Repairs))/float64(4*Second), 1)
	}
	if result.Fewest > 0 {
		score += 0.6 / float64(result.Fewest)
	}
	return score
}

func (question *Question) drawFaults(seed uint64) []Fault {
	if question.Mesh.Proxies > 0 {
		scenario := question.Mesh.scenario()
		sim := &meshSimulation{Simulator: NewSimulator(seed), MeshScenario: scenario, controllers: make([]*controllerModel, scenario.Zones)}
		return sim.drawFaults()
	}
	return question.Core.scenario().drawFaults(NewSimulator(seed).Rand("trouble"))
}

// faultRange bounds the faults that a search generates.
type faultRange struct {
	kinds    []string
	first    duration // earliest time of a fault
	length   duration // of the run
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
	minFaultDuration = duration(50 * Millisecond)
	maxTriggerEvent  = 12 // highest event number that triggers a new fault
)

// mutate makes one to three changes: it changes the time, target or duration of a fault, adds a fault near another,
// or removes one.
func (question *Question) mutate(all []Fault, rng *rand.Rand) []Fault {
	bounds := question.faultRange()
	mutated := slices.Clone(all)
	for range 1 + rng.IntN(3) {
		if len(mutated) == 0 || rng.IntN(5) == 0 && len(mutated) < maxFaults {
			mutated = append(mutated, bounds.newFault(mutated, rng))
		} else {
			mutated = bounds.mutateFault(mutated, rng.IntN(len(mutated)), rng)
		}
	}
	for n := range mutated { // faults end before the last fifth of the run, in which everything has to recover
		if !mutated[n].triggered() {
			mutated[n].At = min(max(mutated[n].At, bounds.first), bounds.length*7/10)
		}
		mutated[n].For = max(minFaultDuration, min(mutated[n].For, bounds.length*8/10-mutated[n].At))
	}
	return mutated
}

// newFault returns a random fault, close in time to one of the given faults.
func (bounds faultRange) newFault(beside []Fault, rng *rand.Rand) Fault {
	fault := Fault{Kind: bounds.kinds[rng.IntN(len(bounds.kinds))], Who: rng.IntN(bounds.machines), For: duration(int64(200+rng.IntN(3000)) * Millisecond)}
	fault.At = duration(faultFreeStart + int64(rng.Float64()*float64(int64(bounds.length)*7/10-faultFreeStart)))
	if len(beside) > 0 {
		fault.At = max(0, beside[rng.IntN(len(beside))].At+duration((rng.Float64()-0.5)*float64(Second)))
	}
	if fault.triggered() {
		fault.At, fault.After = 0, 1+rng.IntN(maxTriggerEvent)
	}
	return fault
}

// mutateFault changes one fault or removes it.
func (bounds faultRange) mutateFault(all []Fault, n int, rng *rand.Rand) []Fault {
	fault := &all[n]
	switch rng.IntN(5) {
	case 0:
		fault.Who = rng.IntN(bounds.machines)
	case 1:
		fault.For = max(minFaultDuration, duration(float64(fault.For)*(0.3+1.7*rng.Float64())))
	case 2:
		return withoutFault(all, n)
	default:
		if fault.triggered() {
			fault.After = max(1, fault.After+rng.IntN(5)-2)
		} else {
			fault.At = min(bounds.length*7/10, max(0, fault.At+duration((rng.Float64()-0.5)*float64(2*Second))))
		}
	}
	return all
}

var numbers = regexp.MustCompile(`[0-9.]+`)

// ruleName returns the text of a violation without its numbers.
func ruleName(violation string) string {
	return strings.TrimSpace(numbers.ReplaceAllString(violation, ""))
}

// shrink removes faults and shortens the rest, as long as the same rule is still violated.
func (question *Question) shrink(found candidate) (faults []Fault, runs int) {
	faults = found.faults
	violates := func(reduced []Fault) bool {
		runs++
		violation, _ := question.evaluate(found.seed, reduced)
		return violation != "" && ruleName(violation) == ruleName(found.violation)
	}
	for size := max(1, len(faults)/2); size >= 1 && len(faults) > 0; { // remove halves, then quarters, down to single faults
		progress := false
		for from := 0; from < len(faults); {
			reduced := slices.Delete(slices.Clone(faults), from, min(from+size, len(faults)))
			if violates(reduced) {
				faults, progress = reduced, true
			} else {
				from += size
			}
		}
		if size /= 2; size < 1 && progress {
			size = 1
		}
	}
	for n := range faults {
		for range 4 {
			reduced := slices.Clone(faults)
			if reduced[n].For /= 2; reduced[n].For < minFaultDuration || !violates(reduced) {
				break
			}
			faults = reduced
		}
	}
	return faults, runs
}

// File returns a question that repeats the found run. It expects no violation, so it passes once the fault in the
// code is fixed.
func (finding *Finding) File(question *Question) ([]byte, error) {
	out := *question
	out.Title = fmt.Sprintf("Found by a hunt: %s (%d of %d faults left)", finding.Broken, len(finding.Faults), finding.OriginalFaults)
	out.Run.Faults, out.Seed, out.Seeds, out.Holds, out.Vary, out.Ask = nil, finding.Seed, 1, "always", nil, nil
	if question.Mesh.Proxies > 0 {
		out.Mesh.Faults = finding.Faults
	} else {
		out.Core.Faults = finding.Faults
	}
	return toml.Marshal(out)
}

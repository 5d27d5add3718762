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

// Found is a day on which a rule broke, with the fewest faults that were found to break it.
type Found struct {
	Seed   uint64
	Broken string // what broke first
	Days   int    // played until it was met, and while it was shrunk
	Shrunk int
	Met    int // faults of the day as it was met
	Faults []Fault
}

// lived is a day that was played: the faults that it had and how near it came to a broken rule.
type lived struct {
	seed   uint64
	faults []Fault
	near   float64
	broken string
}

const (
	generation = 64   // days that are played beside one another
	bred       = 12   // of them, the nearest, of which the next come
	fresh      = 0.25 // of a generation is drawn by chance alone
)

// Hunt plays days that come ever nearer to a broken rule, at most so many, and shrinks the first that breaks one. Which days it
// plays depends on the seed alone, on any number of processors. progress is told after each generation, nil for nobody.
func (q *Question) Hunt(seed uint64, days int, progress func(played int, near float64)) (*Found, int) {
	chance := rand.New(rand.NewPCG(seed, 0x68756e74))
	var best []lived
	for played := 0; played < days; {
		next := make([]lived, min(generation, days-played))
		for n := range next {
			next[n].seed = chance.Uint64()>>1 | 1
			if len(best) > 0 && chance.Float64() >= fresh {
				parent := best[chance.IntN(len(best))]
				next[n].seed = parent.seed
				next[n].faults = q.mutate(parent.faults, chance)
			} else {
				next[n].faults = q.draws(next[n].seed)
			}
		}
		q.live(next)
		for n, d := range next {
			if d.broken != "" {
				f := &Found{Seed: d.seed, Broken: d.broken, Days: played + n + 1, Met: len(d.faults)}
				f.Faults, f.Shrunk = q.shrink(d)
				return f, played + len(next)
			}
		}
		played += len(next)
		best = append(best, next...)
		slices.SortStableFunc(best, func(a, b lived) int { return cmp.Compare(b.near, a.near) })
		best = best[:min(bred, len(best))]
		if progress != nil {
			progress(played, best[0].near)
		}
	}
	return nil, days
}

// live plays days beside one another.
func (q *Question) live(all []lived) {
	each(len(all), func(n int) { all[n].broken, all[n].near = q.once(all[n].seed, all[n].faults) })
}

// once plays one day with given faults, and tells what broke and how near it came.
func (q *Question) once(seed uint64, faults []Fault) (broken string, near float64) {
	if faults == nil {
		faults = []Fault{}
	}
	if q.Mesh.Proxies > 0 {
		m := q.Mesh.mesh()
		m.Faults = faults
		d := m.Play(seed)
		if len(d.Broken) > 0 {
			return d.Broken[0], 1
		}
		return "", d.Window / max(d.Bound, 1) // of what may pass in a window
	}
	c := q.Core.core()
	c.Faults = faults
	d := c.Play(seed)
	if len(d.Broken) > 0 {
		return d.Broken[0], 1
	}
	return "", d.nearness()
}

// nearness is how tight a day was: few disks that hold what was acknowledged, calls of which nobody knows the end, and long
// waits.
func (d *CoreDay) nearness() float64 {
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

func (q *Question) draws(seed uint64) []Fault {
	if q.Mesh.Proxies > 0 {
		m := q.Mesh.mesh()
		w := &meshWorld{World: NewWorld(seed), Mesh: m, controllers: make([]*controllerModel, m.Zones)}
		return w.draws()
	}
	return q.Core.core().drawFaults(NewWorld(seed).Chance("trouble"))
}

// faultRange is what the faults of a question may be.
type faultRange struct {
	kinds    []string
	first    span // when something may go wrong
	length   span // of the day
	machines int
}

func (q *Question) faultRange() faultRange {
	if q.Mesh.Proxies > 0 {
		return faultRange{meshKinds, 0, q.Mesh.Length, q.Mesh.Proxies}
	}
	return faultRange{coreKinds, span(lead), q.Core.Length, q.Core.Controllers}
}

const (
	mostFaults   = 24
	shortest     = span(50 * Ms)
	firstStrikes = 12 // events of the day upon which a new fault may come
)

// mutate alters one to three things: a fault's time, place, length or kind, one more upon another, or one less.
func (q *Question) mutate(all []Fault, chance *rand.Rand) []Fault {
	r := q.faultRange()
	out := slices.Clone(all)
	for range 1 + chance.IntN(3) {
		if len(out) == 0 || chance.IntN(5) == 0 && len(out) < mostFaults {
			out = append(out, r.another(out, chance))
		} else {
			out = r.alter(out, chance.IntN(len(out)), chance)
		}
	}
	for n := range out { // what goes wrong is over by the last fifth of the day, in which all has to come back
		if !out[n].struck() {
			out[n].At = min(max(out[n].At, r.first), r.length*7/10)
		}
		out[n].For = max(shortest, min(out[n].For, r.length*8/10-out[n].At))
	}
	return out
}

// another is a new fault, close to one of those that there are.
func (r faultRange) another(beside []Fault, chance *rand.Rand) Fault {
	f := Fault{Kind: r.kinds[chance.IntN(len(r.kinds))], Who: chance.IntN(r.machines), For: span(int64(200+chance.IntN(3000)) * Ms)}
	f.At = span(lead + int64(chance.Float64()*float64(int64(r.length)*7/10-lead)))
	if len(beside) > 0 {
		f.At = max(0, beside[chance.IntN(len(beside))].At+span((chance.Float64()-0.5)*float64(S)))
	}
	if f.struck() {
		f.At, f.After = 0, 1+chance.IntN(firstStrikes)
	}
	return f
}

// alter changes one fault, or leaves it out.
func (r faultRange) alter(all []Fault, n int, chance *rand.Rand) []Fault {
	f := &all[n]
	switch chance.IntN(5) {
	case 0:
		f.Who = chance.IntN(r.machines)
	case 1:
		f.For = max(shortest, span(float64(f.For)*(0.3+1.7*chance.Float64())))
	case 2:
		return without(all, n)
	default:
		if f.struck() {
			f.After = max(1, f.After+chance.IntN(5)-2)
		} else {
			f.At = min(r.length*7/10, max(0, f.At+span((chance.Float64()-0.5)*float64(2*S))))
		}
	}
	return all
}

var figures = regexp.MustCompile(`[0-9.]+`)

// rule is what broke, without its figures.
func rule(broken string) string { return strings.TrimSpace(figures.ReplaceAllString(broken, "")) }

// shrink leaves out faults, and shortens those that are left, as long as the same rule breaks.
func (q *Question) shrink(d lived) (faults []Fault, played int) {
	faults = d.faults
	breaks := func(try []Fault) bool {
		played++
		broken, _ := q.once(d.seed, try)
		return broken != "" && rule(broken) == rule(d.broken)
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
			if try[n].For /= 2; try[n].For < shortest || !breaks(try) {
				break
			}
			faults = try
		}
	}
	return faults, played
}

// File is the question that plays a found day again; it holds once the rule is kept.
func (f *Found) File(q *Question) ([]byte, error) {
	out := *q
	out.Title = fmt.Sprintf("Found by a hunt: %s (%d of %d faults are left)", f.Broken, len(f.Faults), f.Met)
	out.Run.Faults, out.Seed, out.Seeds, out.Holds, out.Vary, out.Ask = nil, f.Seed, 1, "always", nil, nil
	if q.Mesh.Proxies > 0 {
		out.Mesh.Faults = f.Faults
	} else {
		out.Core.Faults = f.Faults
	}
	return toml.Marshal(out)
}

package spec

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
)

// chanceOf is a source of chance of its own for each part of an experiment, so that one part more changes no other.
func chanceOf(seed uint64, part string, n int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", part, n)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Call is one piece of work that clients ask for.
type Call struct {
	Due     int64
	Root    uint64
	Clients int
}

// Load is all that clients ask for, in order of time; it hangs on the experiment's seed only.
func (e *Experiment) Load() (all []Call) {
	for n, c := range e.Clients {
		chance := chanceOf(e.Seed, "clients "+c.Name, n)
		add := func(due int64) { all = append(all, Call{Due: due, Root: chance.Uint64(), Clients: n}) }
		if c.Trace != nil {
			for _, due := range c.Trace {
				if due < e.Length {
					add(due)
				}
			}
			continue
		}
		// Thinned from the highest rate there is, so that steps and waves change no earlier time.
		most := c.Rate * (1 + c.Wave)
		high := 1.0
		for _, s := range c.Steps {
			high = max(high, s.Factor)
		}
		if most *= high; most <= 0 {
			continue
		}
		owed := 0.0
		for at := 0.0; ; {
			gap := 1e9 / most
			if c.Shape == "poisson" {
				gap *= chance.ExpFloat64()
			}
			if at += gap; at >= float64(e.Length) {
				break
			}
			part := c.at(int64(at)) / most
			if c.Shape == "poisson" {
				if chance.Float64() < part {
					add(int64(at))
				}
			} else if owed += part; owed >= 1-1e-9 {
				owed--
				add(int64(at))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Call) int { return int(max(-1, min(1, a.Due-b.Due))) })
	return all
}

// at is the rate at a time.
func (c *Clients) at(now int64) float64 {
	rate := c.Rate * (1 + c.Wave*math.Sin(2*math.Pi*float64(now)/float64(max(c.Period, 1))))
	factor := 1.0
	for _, s := range c.Steps {
		if s.At <= now {
			factor = s.Factor
		}
	}
	return rate * factor
}

// Work is how much work a transaction is at an upstream.
func (f *Tariff) Work(seed, root uint64, upstream string, try int) float64 {
	part := "work"
	if !f.Fixed {
		part = "work at " + upstream
		try += int(root % 7919)
	} else {
		try = 0
	}
	return f.Sizes.Draw(chanceOf(seed^root, part, try))
}

// Write writes the plan: all that will be asked for and all that will go wrong, a line each.
func (e *Experiment) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "experiment %s seed %d length %d balancers %d upstreams %d\n", e.Name, e.Seed, e.Length, e.Balancers, len(e.Upstreams))
	for _, f := range e.Faults {
		fmt.Fprintf(out, "fault %d %s for %d factor %g upstreams", f.At, f.Kind, f.For, f.Factor)
		for _, u := range f.Upstreams {
			fmt.Fprintf(out, " %s", e.Upstreams[u].Name)
		}
		fmt.Fprintf(out, " balancers %v pool %s", f.Balancers, e.Pools[f.Pool])
		if f.Link != nil {
			fmt.Fprintf(out, " links %v", f.Link.Directions(e.Balancers))
		}
		if f.After != "" {
			fmt.Fprintf(out, " after %s", f.After)
		}
		fmt.Fprintln(out)
	}
	for _, c := range e.Load() {
		k := e.Clients[c.Clients]
		fmt.Fprintf(out, "call %d %016x %s %s %s\n", c.Due, c.Root, k.Name, e.Pools[k.Pool], e.Tariffs[k.Tariff].Name)
	}
	return out.Flush()
}

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

// randomSource returns a separate random source for each part of an experiment, so that adding a part changes no other.
func randomSource(seed uint64, part string, n int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", part, n)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Transaction is one transaction that clients request.
type Transaction struct {
	Due     int64
	Root    uint64
	Clients int
}

// Load returns all transactions of the clients, sorted by time. It depends on the experiment and its seed alone.
func (exp *Experiment) Load() (all []Transaction) {
	for n, clients := range exp.Clients {
		random := randomSource(exp.Seed, "clients "+clients.Name, n)
		add := func(due int64) { all = append(all, Transaction{Due: due, Root: random.Uint64(), Clients: n}) }
		if clients.Trace != nil {
			for _, due := range clients.Trace {
				if due < exp.Length {
					add(due)
				}
			}
			continue
		}
		// Times are drawn at the highest rate and thinned, so that a step or wave does not shift earlier times.
		maxRate := clients.Rate * (1 + clients.Wave)
		maxFactor := 1.0
		for _, s := range clients.Steps {
			maxFactor = max(maxFactor, s.Factor)
		}
		if maxRate *= maxFactor; maxRate <= 0 {
			continue
		}
		credit := 0.0
		for at := 0.0; ; {
			gap := 1e9 / maxRate
			if clients.Shape == "poisson" {
				gap *= random.ExpFloat64()
			}
			if at += gap; at >= float64(exp.Length) {
				break
			}
			fraction := clients.rateAt(int64(at)) / maxRate
			if clients.Shape == "poisson" {
				if random.Float64() < fraction {
					add(int64(at))
				}
			} else if credit += fraction; credit >= 1-1e-9 {
				credit--
				add(int64(at))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Transaction) int { return int(max(-1, min(1, a.Due-b.Due))) })
	return all
}

// rateAt returns the rate at a time.
func (c *Clients) rateAt(now int64) float64 {
	rate := c.Rate * (1 + c.Wave*math.Sin(2*math.Pi*float64(now)/float64(max(c.Period, 1))))
	factor := 1.0
	for _, s := range c.Steps {
		if s.At <= now {
			factor = s.Factor
		}
	}
	return rate * factor
}

// Work returns how much work a transaction takes at an upstream.
func (tariff *Tariff) Work(seed, root uint64, upstream string, attempt int) float64 {
	part := "work"
	if !tariff.SameEverywhere {
		part = "work at " + upstream
		attempt += int(root % 7919)
	} else {
		attempt = 0
	}
	return tariff.Sizes.Draw(randomSource(seed^root, part, attempt))
}

// Write writes the plan: one line for each fault and each transaction.
func (exp *Experiment) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "experiment %s seed %d length %d balancers %d upstreams %d\n", exp.Name, exp.Seed, exp.Length,
		exp.Balancers, len(exp.Upstreams))
	for _, f := range exp.Faults {
		fmt.Fprintf(out, "fault %d %s for %d factor %g upstreams", f.At, f.Kind, f.For, f.Factor)
		for _, u := range f.Upstreams {
			fmt.Fprintf(out, " %s", exp.Upstreams[u].Name)
		}
		fmt.Fprintf(out, " balancers %v pool %s", f.Balancers, exp.Pools[f.Pool])
		if f.Link != nil {
			fmt.Fprintf(out, " links %v", f.Link.Directions(exp.Balancers))
		}
		if f.After != "" {
			fmt.Fprintf(out, " after %s", f.After)
		}
		fmt.Fprintln(out)
	}
	for _, c := range exp.Load() {
		clients := exp.Clients[c.Clients]
		fmt.Fprintf(out, "call %d %016x %s %s %s\n", c.Due, c.Root, clients.Name, exp.Pools[clients.Pool],
			exp.Tariffs[clients.Tariff].Name)
	}
	return out.Flush()
}

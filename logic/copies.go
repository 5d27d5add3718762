package logic

import "math"

// When a second copy is due, and what pays for it.

// funded reports whether the bucket pays for a push; losers that still run stay charged to it.
func (b *Balancer) funded() bool { return b.bucket-float64(b.losers) >= 1 }

// gated reports whether copying pauses because outcomes are bad.
func (b *Balancer) gated() bool {
	bad := sum(b.faults[:])
	return bad >= 2 && float64(bad) > gateAt*float64(sum(b.results[:]))
}

// estimate reads the live quantile off the window.
func (b *Balancer) estimate() {
	if b.trigger = 0; sum(b.samples[:]) < minSamples {
		return
	}
	// Danger: a copy costs its loser's connection; what each of many sends twice adds up, tier by tier.
	others := float64(b.terms.Balancers-1) / many
	b.trigger = max(minDelay, b.reach(1-max(copiedMany, copied/(1+others*others))))
}

// reach is the time within which a part of the window's pushes was answered.
func (b *Balancer) reach(part float64) int64 {
	above := int(float64(sum(b.samples[:])) * (1 - part))
	for k := buckets - 1; k >= 0; k-- {
		for p := range b.latency {
			above -= int(b.latency[p][k])
		}
		if above < 0 {
			return int64(float64(ms) * math.Pow(1.1, float64(k+1)))
		}
	}
	return 0
}

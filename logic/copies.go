package logic

import "math"

// When a second copy is due, and what pays for it.

// withinBudget reports whether the bucket pays for a push; losers that still run stay charged to it.
func (b *Balancer) withinBudget() bool { return b.budget-float64(b.cancelledPending) >= 1 }

// hedgingPaused reports whether copying pauses because outcomes are bad.
func (b *Balancer) hedgingPaused() bool {
	bad := sum(b.faults[:])
	return bad >= 2 && float64(bad) > maxFaultRatio*float64(sum(b.outcomes[:]))
}

// updateHedgeDelay reads the live quantile off the window.
func (b *Balancer) updateHedgeDelay() {
	if b.hedgeDelay = 0; sum(b.samples[:]) < minSamples {
		return
	}
	// Danger: a copy costs its loser's connection; what each of many sends twice adds up, tier by tier.
	scale := float64(b.config.Balancers-1) / manyBalancers
	b.hedgeDelay = max(minHedgeDelay, b.latencyQuantile(1-max(minHedgeFraction, hedgeFraction/(1+scale*scale))))
}

// latencyQuantile is the time within which a part of the window's pushes was answered.
func (b *Balancer) latencyQuantile(quantile float64) int64 {
	remaining := int(float64(sum(b.samples[:])) * (1 - quantile))
	for k := latencyBuckets - 1; k >= 0; k-- {
		for p := range b.latency {
			remaining -= int(b.latency[p][k])
		}
		if remaining < 0 {
			return int64(float64(ms) * math.Pow(1.1, float64(k+1)))
		}
	}
	return 0
}

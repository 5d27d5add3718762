package logic

import "math"

// Hedging: the delay, the budget and the conditions under which it pauses.

// withinBudget reports whether the budget allows a hedge or retry. Cancelled attempts count until they end.
func (b *Balancer) withinBudget() bool { return b.budget-float64(b.cancelledPending) >= 1 }

// hedgePaused reports whether hedging pauses because of too many faults.
func (b *Balancer) hedgePaused() bool {
	faults := sum(b.faults[:])
	return faults >= 2 && float64(faults) > maxFaultRatio*float64(sum(b.outcomes[:]))
}

// updateHedgeDelay sets the hedge delay to a quantile of the recent latencies, 0 for too few samples.
func (b *Balancer) updateHedgeDelay() {
	if b.hedgeDelay = 0; sum(b.samples[:]) < minSamples {
		return
	}
	// Hedges of many balancers multiply over the tiers, and each cancelled attempt closes its connection.
	scale := float64(b.config.Balancers-1) / manyBalancers
	b.hedgeDelay = max(minHedgeDelay, b.latencyQuantile(1-max(minHedgeFraction, hedgeFraction/(1+scale*scale))))
}

// latencyQuantile returns a quantile of the latencies in the window, in nanoseconds.
func (b *Balancer) latencyQuantile(quantile float64) int64 {
	remaining := int(float64(sum(b.samples[:])) * (1 - quantile))
	for bucket := latencyBuckets - 1; bucket >= 0; bucket-- {
		for slot := range b.latency {
			remaining -= int(b.latency[slot][bucket])
		}
		if remaining < 0 {
			return int64(float64(ms) * math.Pow(1.1, float64(bucket+1)))
		}
	}
	return 0
}

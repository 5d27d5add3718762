package simulation

import (
	"ottershift/internal/mesh/ratelimit"
)

// scheduleDemand generates the tenant's requests at random proxies. In the middle third of the run the load is
// concentrated and moves.
func (sim *meshSimulation) scheduleDemand() {
	rng := sim.Rand("demand")
	var next func()
	next = func() {
		if sim.Now >= sim.Length {
			return
		}
		load, proxies := sim.Demand, sim.Proxies
		if sim.Now > sim.Length/3 && sim.Now < 2*sim.Length/3 {
			load *= sim.PeakFactor
			if sim.PeakFactor > 1 {
				proxies = max(1, sim.Proxies/3) // a burst reaches a third of the proxies, which changes each second
			}
		}
		proxy := sim.proxies[(rng.IntN(proxies)+int(sim.Now/Second)*7)%sim.Proxies]
		if proxy.up {
			sim.result.Asked++
			within := load <= 1
			if within {
				sim.result.Within++
			}
			sim.takeToken(proxy, 0, within)
		}
		sim.After(int64(rng.ExpFloat64()/(sim.Rate*load)*1e9), next)
	}
	sim.After(4*Second, next)
}

func (sim *meshSimulation) takeToken(proxy *proxyModel, round int, within bool) {
	verdict, _ := proxy.wallet.Take("t", sim.Now, round == 2)
	switch verdict {
	case ratelimit.Allowed:
		sim.passedAt = append(sim.passedAt, sim.Now)
		sim.result.Passed++
		if proxy.wallet.ShouldRequest(sim.Now) {
			sim.requestTokens(proxy, proxy.incarnation)
		}
	case ratelimit.RequestTokens:
		incarnation, done := proxy.incarnation, false
		again := func() {
			if !done && proxy.incarnation == incarnation {
				done = true
				sim.takeToken(proxy, round+1, within)
			}
		}
		proxy.waiting = append(proxy.waiting, again)
		sim.After(60*Millisecond, again)
		sim.requestTokens(proxy, proxy.incarnation)
	default:
		if sim.result.Refused++; within {
			sim.result.RefusedWithin++
		}
	}
}

// measurePropagation measures how long it takes until all reachable proxies know a change.
func (sim *meshSimulation) measurePropagation(proxy *proxyModel, seq uint64, at int64) {
	sim.After(5*Millisecond, func() {
		for _, other := range sim.proxies {
			if other.up && other != proxy && sim.Now >= other.cutUntil && sim.Now >= sim.zoneCutUntil[other.zone] && sim.Now >= sim.zoneCutUntil[proxy.zone] && other.seenSeq[proxy.node.Name] < seq {
				if sim.Now-at < 5*Second && proxy.up {
					sim.measurePropagation(proxy, seq, at)
				}
				return
			}
		}
		sim.result.Stale = max(sim.result.Stale, sim.Now-at)
	})
}

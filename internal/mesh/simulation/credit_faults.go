package simulation

import (
	"math"
)

func (sim *creditSimulation) scheduleFaults() {
	rng := sim.Rand("trouble")
	when := func() int64 { return 3*Second + int64(rng.Float64()*float64(sim.Length*7/10)) }
	for range sim.Kills {
		proxy := sim.proxies[rng.IntN(len(sim.proxies))]
		sim.After(when(), func() {
			if proxy.up {
				proxy.up = false
				proxy.incarnation++
				sim.After(500*Millisecond, func() { sim.startProxy(proxy) })
			}
		})
	}
	for range sim.Cuts {
		region := rng.IntN(sim.Regions)
		sim.After(when(), func() {
			sim.regionCutUntil[region] = sim.Now + sim.CutFor
			held := 0.0
			for _, proxy := range sim.proxies {
				if proxy.region == region && proxy.up {
					free, reserved := proxy.wallet.Held("t")
					held += free + reserved
				}
			}
			sim.result.Stranded = math.Max(sim.result.Stranded, held)
		})
	}
	for range sim.CoreOutages {
		sim.After(when(), func() { sim.coreDownUntil = sim.Now + 3*Second })
	}
}

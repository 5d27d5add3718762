package simulation

// drawFaults returns random faults, as many of each kind as the scenario says.
func (sim *meshSimulation) drawFaults() (all []Fault) {
	rng := sim.Rand("trouble")
	for _, of := range []struct {
		n                  int
		kind               string
		who, least, spread int
	}{
		{sim.Kills, Kill, sim.Proxies, 100, 2000}, {sim.KillAlls, KillAll, 1, 300, 1}, {sim.Cuts, Cut, sim.Proxies, 500, 6000},
		{sim.ControllerKills, ControllerKill, len(sim.controllers), 300, 4000}, {sim.ZoneCuts, ZoneCut, sim.Zones, 2000, 6000},
	} {
		for range of.n {
			all = append(all, Fault{Kind: of.kind, Who: rng.IntN(of.who), For: duration(int64(of.least+rng.IntN(of.spread)) * Millisecond),
				At: duration(5*Second + int64(rng.Float64()*float64(max(sim.Length-10*Second, Second))))})
		}
	}
	return all
}

// inject injects one fault.
func (sim *meshSimulation) inject(fault Fault) {
	length := int64(fault.For)
	restart := func(proxy *proxyModel, down int64) {
		if !proxy.up {
			return
		}
		proxy.up = false
		proxy.incarnation++
		sim.After(down, func() { sim.startProxy(proxy) })
	}
	switch fault.Kind {
	case Kill:
		restart(sim.proxies[fault.Who%sim.Proxies], length)
	case KillAll:
		for _, proxy := range sim.proxies {
			restart(proxy, length+int64(proxy.index%7)*50*Millisecond)
		}
	case Cut:
		sim.proxies[fault.Who%sim.Proxies].cutUntil = sim.Now + length
	case ControllerKill:
		if controller := sim.controllers[fault.Who%len(sim.controllers)]; controller.up {
			controller.up = false
			sim.After(length, func() { sim.startController(controller) })
		}
	case ZoneCut:
		sim.zoneCutUntil[fault.Who%sim.Zones] = sim.Now + length
	}
}

// scheduleFaults schedules the faults and the changes of upstreams.
func (sim *meshSimulation) scheduleFaults() {
	faults := sim.Faults
	if faults == nil {
		faults = sim.drawFaults()
	}
	for _, f := range faults {
		sim.After(int64(f.At), func() { sim.inject(f) })
	}
	rng := sim.Rand("news")
	when := func() int64 { return 5*Second + int64(rng.Float64()*float64(max(sim.Length-10*Second, Second))) }
	for range sim.UpstreamChanges {
		proxy := sim.proxies[rng.IntN(sim.Proxies)]
		sim.After(when(), func() {
			if !proxy.up || sim.Now < proxy.cutUntil {
				return
			}
			proxy.node.Seq = max(proxy.node.Seq, 1) + 1
			upstream := *proxy.node.Upstream
			upstream.Draining = !upstream.Draining
			proxy.node.Upstream = &upstream
			seq, at := proxy.node.Seq, sim.Now
			sim.poll(proxy, proxy.incarnation, 0) // report the change at once
			sim.measurePropagation(proxy, seq, at)
		})
	}
}

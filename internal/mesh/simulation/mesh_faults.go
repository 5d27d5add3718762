package simulation

// draws are the faults of a day, by chance from how many of each there are to be.
func (w *meshWorld) draws() (all []Fault) {
	chance := w.Chance("trouble")
	for _, of := range []struct {
		n                  int
		kind               string
		who, least, spread int
	}{
		{w.Kills, Kill, w.Proxies, 100, 2000}, {w.KillAlls, KillAll, 1, 300, 1}, {w.Cuts, Cut, w.Proxies, 500, 6000},
		{w.ControllerKills, CombKill, len(w.controllers), 300, 4000}, {w.ZoneCuts, ZoneCut, w.Zones, 2000, 6000},
	} {
		for range of.n {
			all = append(all, Fault{Kind: of.kind, Who: chance.IntN(of.who), For: span(int64(of.least+chance.IntN(of.spread)) * Ms),
				At: span(5*S + int64(chance.Float64()*float64(max(w.Length-10*S, S))))})
		}
	}
	return all
}

// befall has one fault happen.
func (w *meshWorld) befall(f Fault) {
	long := int64(f.For)
	restart := func(b *proxyModel, down int64) {
		if !b.up {
			return
		}
		b.up = false
		b.life++
		w.After(down, func() { w.startProxy(b) })
	}
	switch f.Kind {
	case Kill:
		restart(w.proxies[f.Who%w.Proxies], long)
	case KillAll:
		for _, b := range w.proxies {
			restart(b, long+int64(b.n%7)*50*Ms)
		}
	case Cut:
		w.proxies[f.Who%w.Proxies].cut = w.Now + long
	case CombKill:
		if c := w.controllers[f.Who%len(w.controllers)]; c.up {
			c.up = false
			w.After(long, func() { w.startController(c) })
		}
	case ZoneCut:
		w.cutZ[f.Who%w.Zones] = w.Now + long
	}
}

// trouble has things go wrong, and upstreams change.
func (w *meshWorld) trouble() {
	faults := w.Faults
	if faults == nil {
		faults = w.draws()
	}
	for _, f := range faults {
		w.After(int64(f.At), func() { w.befall(f) })
	}
	chance := w.Chance("news")
	when := func() int64 { return 5*S + int64(chance.Float64()*float64(max(w.Length-10*S, S))) }
	for range w.News {
		b := w.proxies[chance.IntN(w.Proxies)]
		w.After(when(), func() {
			if !b.up || w.Now < b.cut {
				return
			}
			b.nest.Seq = max(b.nest.Seq, 1) + 1
			up := *b.nest.Upstream
			up.Draining = !up.Draining
			b.nest.Upstream = &up
			seq, at := b.nest.Seq, w.Now
			w.asks(b, b.life, 0) // told at once
			w.watch(b, seq, at)
		})
	}
}

package simulation

const (
	settleMargin    = 300 * Ms // after CatchUp, before the old machine is told to leave
	lossSampledEach = 100 * Ms
)

// join starts a new machine, with an empty disk, at an address of its own.
func (w *coreWorld) join() *coreProcess {
	b := w.addProcess(w.emptyDisk(len(w.processes)))
	w.away(b, 0)
	return b
}

// replace is planned: a new machine joins, and when it has had its time the old one gets SIGTERM and is gone.
func (w *coreWorld) replace(old *coreProcess, f Fault) {
	if !old.up || old.leaving {
		w.day.Excluded++
		return
	}
	w.join()
	w.troubled(w.Now + w.CatchUp + settleMargin)
	w.After(w.CatchUp+settleMargin, func() {
		if !old.up || old.leaving {
			w.day.Excluded++
			return
		}
		w.retireInOrder(old, f)
	})
}

func (w *coreWorld) retireInOrder(old *coreProcess, f Fault) {
	worst := w.sampleLosses(old)
	life := old.life
	w.troubled(w.Now + w.Grace)
	w.terminate(old, func(handedOver bool) {
		if !old.alive(life) {
			return
		}
		if !handedOver && *worst > w.Tolerate { // more was lost at once than is to be borne
			w.day.Excluded++
			w.stop(old, int64(f.For), outage{})
			return
		}
		w.end(old, outage{power: true})
		old.retired, old.retiredAt = true, w.Now
		w.observeFewest()
		w.afterRetirement(old, f)
	})
}

// afterRetirement is what may come right after a machine has left.
func (w *coreWorld) afterRetirement(old *coreProcess, f Fault) {
	switch f.Kind {
	case ReplaceBack:
		w.After(int64(f.For), func() {
			old.retired = false
			w.start(old)
		})
	case ReplaceWipe:
		core := w.newestCore()
		for k := range core {
			victim := w.byAddress[core[(k+f.Who)%len(core)].Address]
			if victim.up && w.lost() < w.Tolerate {
				w.stop(victim, int64(f.For), outage{wipe: true, power: true})
				w.stopOthers(victim, int64(f.For)/2, outage{power: true})
				return
			}
		}
		w.day.Excluded++
	}
}

// sampleLosses watches how many machines count as lost at once while a process leaves.
func (w *coreWorld) sampleLosses(b *coreProcess) (worst *int) {
	worst = new(int)
	life := b.life
	var sample func()
	sample = func() {
		*worst = max(*worst, w.lost())
		if b.alive(life) {
			w.After(lossSampledEach, sample)
		}
	}
	sample()
	return worst
}

// restartInOrder is a SIGTERM to a machine that returns with its disk.
func (w *coreWorld) restartInOrder(b *coreProcess, long int64) {
	if !b.up || b.leaving {
		w.day.Excluded++
		return
	}
	life := b.life
	w.troubled(w.Now + w.Grace)
	w.terminate(b, func(bool) {
		if b.alive(life) {
			w.stop(b, long, outage{})
		}
	})
}

// loseMachine takes a machine for good, where that may be borne; a new one joins after a while. The lost one counts as lost
// until its successor has had CatchUp.
func (w *coreWorld) loseMachine(b *coreProcess, long int64) {
	if w.lost() >= w.Tolerate || !b.up {
		w.day.Excluded++
		return
	}
	w.end(b, outage{power: true})
	b.retired, b.retiredAt = true, w.Now
	w.away(b, long)
	w.observeFewest()
	w.After(long, func() { w.join() })
}

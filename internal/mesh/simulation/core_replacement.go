package simulation

const (
	settleMargin       = 300 * Ms // after CatchUp, before the old machine is told to leave
	lossSampleInterval = 100 * Ms
)

// join starts a new machine, with an empty disk, at an address of its own.
func (sim *coreSimulation) join() *coreProcess {
	proc := sim.addProcess(sim.newEmptyDisk(len(sim.processes)))
	sim.markLost(proc, 0)
	return proc
}

// replace is planned: a new machine joins, and when it has had its time the old one gets SIGTERM and is gone.
func (sim *coreSimulation) replace(old *coreProcess, f Fault) {
	if !old.up || old.leaving {
		sim.result.Excluded++
		return
	}
	sim.join()
	sim.extendFaultPeriod(sim.Now + sim.CatchUp + settleMargin)
	sim.After(sim.CatchUp+settleMargin, func() {
		if !old.up || old.leaving {
			sim.result.Excluded++
			return
		}
		sim.retireGracefully(old, f)
	})
}

func (sim *coreSimulation) retireGracefully(old *coreProcess, f Fault) {
	worst := sim.sampleLosses(old)
	incarnation := old.incarnation
	sim.extendFaultPeriod(sim.Now + sim.Grace)
	sim.terminate(old, func(handedOver bool) {
		if !old.isCurrent(incarnation) {
			return
		}
		if !handedOver && *worst > sim.Tolerate { // more was lost at once than is to be borne
			sim.result.Excluded++
			sim.stop(old, int64(f.For), outage{})
			return
		}
		sim.endIncarnation(old, outage{power: true})
		old.retired, old.retiredAt = true, sim.Now
		sim.observeFewest()
		sim.afterRetirement(old, f)
	})
}

// afterRetirement is what may come right after a machine has left.
func (sim *coreSimulation) afterRetirement(old *coreProcess, f Fault) {
	switch f.Kind {
	case ReplaceBack:
		sim.After(int64(f.For), func() {
			old.retired = false
			sim.start(old)
		})
	case ReplaceWipe:
		core := sim.newestCore()
		for k := range core {
			victim := sim.byAddress[core[(k+f.Who)%len(core)].Address]
			if victim.up && sim.lost() < sim.Tolerate {
				sim.stop(victim, int64(f.For), outage{wipe: true, power: true})
				sim.stopAllExcept(victim, int64(f.For)/2, outage{power: true})
				return
			}
		}
		sim.result.Excluded++
	}
}

// sampleLosses watches how many machines count as lost at once while a process leaves.
func (sim *coreSimulation) sampleLosses(proc *coreProcess) (worst *int) {
	worst = new(int)
	incarnation := proc.incarnation
	var sample func()
	sample = func() {
		*worst = max(*worst, sim.lost())
		if proc.isCurrent(incarnation) {
			sim.After(lossSampleInterval, sample)
		}
	}
	sample()
	return worst
}

// restartGracefully is a SIGTERM to a machine that returns with its disk.
func (sim *coreSimulation) restartGracefully(proc *coreProcess, length int64) {
	if !proc.up || proc.leaving {
		sim.result.Excluded++
		return
	}
	incarnation := proc.incarnation
	sim.extendFaultPeriod(sim.Now + sim.Grace)
	sim.terminate(proc, func(bool) {
		if proc.isCurrent(incarnation) {
			sim.stop(proc, length, outage{})
		}
	})
}

// loseMachine takes a machine for good, where that may be borne; a new one joins after a while. The lost one counts as lost
// until its successor has had CatchUp.
func (sim *coreSimulation) loseMachine(proc *coreProcess, length int64) {
	if sim.lost() >= sim.Tolerate || !proc.up {
		sim.result.Excluded++
		return
	}
	sim.endIncarnation(proc, outage{power: true})
	proc.retired, proc.retiredAt = true, sim.Now
	sim.markLost(proc, length)
	sim.observeFewest()
	sim.After(length, func() { sim.join() })
}

package simulation

const (
	settleMargin       = 300 * Millisecond // after CatchUp, before the old machine gets SIGTERM
	lossSampleInterval = 100 * Millisecond
)

// join starts a new machine with an empty disk and its own address.
func (sim *coreSimulation) join() *coreProcess {
	proc := sim.addProcess(sim.newEmptyDisk(len(sim.processes)))
	sim.markLost(proc, 0)
	return proc
}

// replace is a planned replacement: a new machine joins, and after CatchUp and a margin the old one gets SIGTERM and
// is retired.
func (sim *coreSimulation) replace(old *coreProcess, fault Fault) {
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
		sim.retireGracefully(old, fault)
	})
}

func (sim *coreSimulation) retireGracefully(old *coreProcess, fault Fault) {
	worst := sim.sampleLosses(old)
	incarnation := old.incarnation
	sim.extendFaultPeriod(sim.Now + sim.Grace)
	sim.terminate(old, func(handedOver bool) {
		if !old.isCurrent(incarnation) {
			return
		}
		if !handedOver && *worst > sim.Tolerate { // more machines were lost than Tolerate allows
			sim.result.Excluded++
			sim.stop(old, int64(fault.For), outage{})
			return
		}
		sim.endIncarnation(old, outage{power: true})
		old.retired, old.retiredAt = true, sim.Now
		sim.observeFewest()
		sim.afterRetirement(old, fault)
	})
}

// afterRetirement injects the fault that follows the departure of a machine, if any.
func (sim *coreSimulation) afterRetirement(old *coreProcess, fault Fault) {
	switch fault.Kind {
	case ReplaceBack:
		sim.After(int64(fault.For), func() {
			old.retired = false
			sim.start(old)
		})
	case ReplaceWipe:
		core := sim.newestCore()
		for k := range core {
			victim := sim.byAddress[core[(k+fault.Who)%len(core)].Address]
			if victim.up && sim.lost() < sim.Tolerate {
				sim.stop(victim, int64(fault.For), outage{wipe: true, power: true})
				sim.stopAllExcept(victim, int64(fault.For)/2, outage{power: true})
				return
			}
		}
		sim.result.Excluded++
	}
}

// sampleLosses tracks the highest number of machines that count as lost while a process leaves.
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

// restartGracefully sends SIGTERM to a machine that returns with its disk.
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

// loseMachine removes a machine permanently, if Tolerate allows it. A new one joins later. The lost machine counts as
// lost until CatchUp after that.
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

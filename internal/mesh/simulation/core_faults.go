package simulation

import "ottershift/internal/mesh/consensus"

const (
	slowMachineFactor = 40
	slowDiskFactor    = 30
	restartStagger    = 90 * Ms // where all go down, each comes back so much later than the one before
)

// triggeredFaults are faults that come upon an event of the day.
type triggeredFaults struct {
	sim               *coreSimulation
	afterConfirmation map[int]Fault
	afterOrder        map[int]Fault
	confirmationCount int
}

// scheduleFaults does what goes wrong. Disks are lost within what is to be borne at once, everything else as it comes.
func (sim *coreSimulation) scheduleFaults() {
	faults := sim.Faults
	if faults == nil {
		faults = sim.drawFaults(sim.Rand("trouble"))
	}
	sim.triggeredFaults = triggeredFaults{sim: sim, afterConfirmation: map[int]Fault{}, afterOrder: map[int]Fault{}}
	for _, f := range faults {
		switch f.Kind {
		case AckWipe:
			sim.triggeredFaults.afterConfirmation[f.After] = f
		case SendPower:
			sim.triggeredFaults.afterOrder[f.After] = f
		default:
			sim.After(int64(f.At), func() { sim.inject(f) })
		}
	}
}

// allowed reports whether trouble may come now.
func (faults *triggeredFaults) allowed() bool {
	return faults.sim.Now >= faultFreeStart && faults.sim.Now <= faults.sim.Length*7/10
}

// confirmed is called with each confirmation as it leaves a process.
func (faults *triggeredFaults) confirmed(by *coreProcess) {
	faults.confirmationCount++
	f, is := faults.afterConfirmation[faults.confirmationCount]
	if !is || !faults.allowed() {
		return
	}
	sim := faults.sim
	sim.After(sim.Delay+Ms/4, func() {
		if sim.lost() > 0 || !by.up {
			sim.result.Excluded++
			return
		}
		for _, victim := range sim.chooseWiped(by) {
			sim.stop(victim, int64(f.For), outage{wipe: true, power: true})
		}
		sim.stopAllExcept(by, 200*Ms+int64(f.For)/2, outage{power: true})
	})
}

// chooseWiped is whose disks are lost together with one: as many as may be borne, the others drawn from the core.
func (sim *coreSimulation) chooseWiped(first *coreProcess) []*coreProcess {
	victims := []*coreProcess{first}
	core := sim.newestCore()
	for _, n := range sim.diskRand.Perm(len(core)) {
		if len(victims) >= sim.Tolerate {
			break
		}
		if proc := sim.byAddress[core[n].Address]; proc != first {
			victims = append(victims, proc)
		}
	}
	return victims
}

// sent is called with each order as it is given; what follows comes within the time that it takes to be decided.
func (faults *triggeredFaults) sent(order int) {
	f, is := faults.afterOrder[order]
	if !is || !faults.allowed() {
		return
	}
	sim := faults.sim
	soon := int64(sim.diskRand.Float64() * float64(6*sim.Delay+2*sim.Jitter+3*sim.Sync))
	sim.After(soon, func() { sim.stopAllExcept(nil, int64(f.For), outage{power: true}) })
}

// inject has one fault happen.
func (sim *coreSimulation) inject(f Fault) {
	proc, length := sim.processes[f.Who%len(sim.processes)], int64(f.For)
	if proc.retired {
		sim.result.Excluded++
		return
	}
	switch f.Kind {
	case Kill:
		sim.stop(proc, length, outage{fate: sim.drawFate()})
	case KillAll:
		sim.stopAllExcept(nil, length, outage{})
	case PowerLoss:
		sim.stop(proc, length, outage{power: true, fate: sim.drawFate()})
	case PowerAll:
		sim.stopAllExcept(nil, length, outage{power: true})
	case Wipe, WipeAlone:
		sim.wipe(proc, length, f.Kind == WipeAlone)
	case Term:
		sim.restartGracefully(proc, length)
	case Replace, ReplaceBack, ReplaceWipe:
		sim.replace(proc, f)
	case MachineLoss:
		sim.loseMachine(proc, length)
	case ClockStep:
		proc.wallClockOffset += length - 5*S
	default:
		sim.markLost(proc, length)
		sim.impair(proc, f.Kind, sim.Now+length)
	}
}

// impair has a process go on with something in its way.
func (sim *coreSimulation) impair(proc *coreProcess, kind string, until int64) {
	switch kind {
	case Cut, CutOff, CutDeaf:
		sim.cutOff(proc, kind, until)
	case CutLink:
		l := link{proc.number, (proc.number + 1) % len(sim.processes)}
		sim.linkCuts[l] = max(sim.linkCuts[l], until)
	case Refuse:
		proc.refusesUntil = max(proc.refusesUntil, until)
	case Freeze:
		proc.frozenUntil = max(proc.frozenUntil, until)
	case Slow:
		proc.slowMachine = slowdown{slowMachineFactor, until}
	case Stall:
		proc.stalledUntil = max(proc.stalledUntil, until)
	case SlowDisk:
		proc.slowDisk = slowdown{slowDiskFactor, until}
	}
}

func (sim *coreSimulation) cutOff(proc *coreProcess, kind string, until int64) {
	if !proc.isolated(sim.Now) {
		proc.isolatedSince = sim.Now
	}
	if kind != CutOff {
		proc.deafUntil = max(proc.deafUntil, until)
	}
	if kind != CutDeaf {
		proc.mutedUntil = max(proc.mutedUntil, until)
	}
}

// markLost notes that a machine counts as lost for a while, and for CatchUp after.
func (sim *coreSimulation) markLost(proc *coreProcess, length int64) {
	proc.lostUntil = max(proc.lostUntil, sim.Now+length+sim.CatchUp)
	sim.extendFaultPeriod(sim.Now + length)
}

// outage is how a process ends.
type outage struct {
	wipe  bool // its disk is lost
	power bool // its machine says nothing
	fate  unsyncedFate
}

// stop takes a process away for a while.
func (sim *coreSimulation) stop(proc *coreProcess, length int64, how outage) {
	if !proc.up {
		return
	}
	sim.endIncarnation(proc, how)
	sim.markLost(proc, length)
	sim.After(length, func() {
		if !proc.retired {
			sim.start(proc)
		}
	})
	sim.observeFewest()
}

// endIncarnation ends a life.
func (sim *coreSimulation) endIncarnation(proc *coreProcess, how outage) {
	sim.discardWrites(proc, how.fate)
	proc.up, proc.powered = false, !how.power
	proc.incarnation++
	proc.catchUp.pending = false
	if how.wipe {
		sim.wipeDisk(proc)
	}
}

func (sim *coreSimulation) wipeDisk(proc *coreProcess) {
	before := proc.disk.ID
	proc.disk = sim.newEmptyDisk(proc.number)
	if sim.StrangerVotes { // it takes itself for the founder that it was
		proc.disk.ID, proc.disk.Decided = before, sim.initialState
	}
}

// stopAllExcept takes all but one away, or all, each for a little longer than the one before.
func (sim *coreSimulation) stopAllExcept(but *coreProcess, length int64, how outage) {
	how.fate = sim.drawFate()
	for n, proc := range sim.processes {
		if proc != but {
			sim.stop(proc, length+int64(n)*restartStagger, how)
		}
	}
}

// wipe takes a machine and its disk, where that may be borne.
func (sim *coreSimulation) wipe(proc *coreProcess, length int64, othersLosePower bool) {
	if sim.lost() >= sim.Tolerate || !proc.up {
		sim.result.Excluded++
		return
	}
	sim.stop(proc, length, outage{wipe: true, power: true})
	if othersLosePower {
		sim.stopAllExcept(proc, 400*Ms, outage{power: true})
	}
}

// lost counts the machines that count as lost.
func (sim *coreSimulation) lost() (n int) {
	for _, proc := range sim.processes {
		if sim.Now < proc.lostUntil || !proc.up && !proc.retired {
			n++
		}
	}
	return n
}

// newestCore is the core as it was last seen decided.
func (sim *coreSimulation) newestCore() []consensus.Member {
	if s := sim.oracle.decided[sim.oracle.newestIndex]; s != nil {
		return s.Core
	}
	return sim.initialState.Core
}

package simulation

import "ottershift/internal/mesh/consensus"

const (
	slowMachineFactor = 40
	slowDiskFactor    = 30
	restartStagger    = 90 * Millisecond // when all machines go down, each returns this much later than the one before
)

// triggeredFaults are the faults that an event of the run triggers, by the number of the event.
type triggeredFaults struct {
	sim                  *coreSimulation
	afterAcknowledgement map[int]Fault
	afterUpdate          map[int]Fault
	acknowledgements     int
}

// scheduleFaults schedules the given or random faults. Disk losses are limited to what Tolerate allows at the same
// time; other faults are not limited.
func (sim *coreSimulation) scheduleFaults() {
	faults := sim.Faults
	if faults == nil {
		faults = sim.drawFaults(sim.Rand("trouble"))
	}
	sim.triggeredFaults = triggeredFaults{sim: sim, afterAcknowledgement: map[int]Fault{}, afterUpdate: map[int]Fault{}}
	for _, f := range faults {
		switch f.Kind {
		case AckWipe:
			sim.triggeredFaults.afterAcknowledgement[f.After] = f
		case SendPower:
			sim.triggeredFaults.afterUpdate[f.After] = f
		default:
			sim.After(int64(f.At), func() { sim.inject(f) })
		}
	}
}

// allowed reports whether faults may be injected now.
func (faults *triggeredFaults) allowed() bool {
	return faults.sim.Now >= faultFreeStart && faults.sim.Now <= faults.sim.Length*7/10
}

// acknowledgementSent is called with each acknowledgement as it leaves a controller. An AckWipe fault wipes the disks
// of that controller and of as many others as Tolerate allows, while all others lose power.
func (faults *triggeredFaults) acknowledgementSent(proc *coreProcess) {
	faults.acknowledgements++
	f, ok := faults.afterAcknowledgement[faults.acknowledgements]
	if !ok || !faults.allowed() {
		return
	}
	sim := faults.sim
	sim.After(sim.Delay+Millisecond/4, func() {
		if sim.lost() > 0 || !proc.up {
			sim.result.Excluded++
			return
		}
		for _, victim := range sim.chooseWiped(proc) {
			sim.stop(victim, int64(f.For), outage{wipe: true, power: true})
		}
		sim.stopAllExcept(proc, 200*Millisecond+int64(f.For)/2, outage{power: true})
	})
}

// chooseWiped returns the processes whose disks are lost together with that of first: as many as Tolerate allows, the
// others drawn from the core.
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

// updateSent is called with each update as it is sent. Its fault comes within the time that a decision takes.
func (faults *triggeredFaults) updateSent(number int) {
	f, ok := faults.afterUpdate[number]
	if !ok || !faults.allowed() {
		return
	}
	sim := faults.sim
	soon := int64(sim.diskRand.Float64() * float64(6*sim.Delay+2*sim.Jitter+3*sim.Sync))
	sim.After(soon, func() { sim.stopAllExcept(nil, int64(f.For), outage{power: true}) })
}

// inject injects one fault.
func (sim *coreSimulation) inject(fault Fault) {
	proc, length := sim.processes[fault.Who%len(sim.processes)], int64(fault.For)
	if proc.retired {
		sim.result.Excluded++
		return
	}
	switch fault.Kind {
	case Kill:
		sim.stop(proc, length, outage{fate: sim.drawFate()})
	case KillAll:
		sim.stopAllExcept(nil, length, outage{})
	case PowerLoss:
		sim.stop(proc, length, outage{power: true, fate: sim.drawFate()})
	case PowerAll:
		sim.stopAllExcept(nil, length, outage{power: true})
	case Wipe, WipeAlone:
		sim.wipe(proc, length, fault.Kind == WipeAlone)
	case Term:
		sim.restartGracefully(proc, length)
	case Replace, ReplaceBack, ReplaceWipe:
		sim.replace(proc, fault)
	case MachineLoss:
		sim.loseMachine(proc, length)
	case ClockStep:
		proc.wallClockOffset += length - 5*Second
	default:
		sim.markLost(proc, length)
		sim.impair(proc, fault.Kind, sim.Now+length)
	}
}

// impair applies a fault that a process survives.
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

// markLost counts a machine as lost for the duration of its fault, and for CatchUp afterwards.
func (sim *coreSimulation) markLost(proc *coreProcess, length int64) {
	proc.lostUntil = max(proc.lostUntil, sim.Now+length+sim.CatchUp)
	sim.extendFaultPeriod(sim.Now + length)
}

// outage is how a process ends.
type outage struct {
	wipe  bool // the disk is lost
	power bool // the machine loses power and does not respond
	fate  unsyncedFate
}

// stop ends a process and starts it again later.
func (sim *coreSimulation) stop(proc *coreProcess, length int64, outage outage) {
	if !proc.up {
		return
	}
	sim.endIncarnation(proc, outage)
	sim.markLost(proc, length)
	sim.After(length, func() {
		if !proc.retired {
			sim.start(proc)
		}
	})
	sim.observeFewest()
}

// endIncarnation ends the current run of a process.
func (sim *coreSimulation) endIncarnation(proc *coreProcess, outage outage) {
	sim.discardWrites(proc, outage.fate)
	proc.up, proc.powered = false, !outage.power
	proc.incarnation++
	proc.catchUp.pending = false
	if outage.wipe {
		sim.wipeDisk(proc)
	}
}

func (sim *coreSimulation) wipeDisk(proc *coreProcess) {
	before := proc.disk.ID
	proc.disk = sim.newEmptyDisk(proc.number)
	if sim.StrangerVotes { // it keeps its old identity
		proc.disk.ID, proc.disk.Decided = before, sim.initialState
	}
}

// stopAllExcept stops all processes but one, or all if it is nil. Each returns a little later than the one before.
func (sim *coreSimulation) stopAllExcept(except *coreProcess, length int64, outage outage) {
	outage.fate = sim.drawFate()
	for n, proc := range sim.processes {
		if proc != except {
			sim.stop(proc, length+int64(n)*restartStagger, outage)
		}
	}
}

// wipe stops a machine and wipes its disk, if Tolerate allows it.
func (sim *coreSimulation) wipe(proc *coreProcess, length int64, othersLosePower bool) {
	if sim.lost() >= sim.Tolerate || !proc.up {
		sim.result.Excluded++
		return
	}
	sim.stop(proc, length, outage{wipe: true, power: true})
	if othersLosePower {
		sim.stopAllExcept(proc, 400*Millisecond, outage{power: true})
	}
}

// lost counts the machines that currently count as lost.
func (sim *coreSimulation) lost() (n int) {
	for _, proc := range sim.processes {
		if sim.Now < proc.lostUntil || !proc.up && !proc.retired {
			n++
		}
	}
	return n
}

// newestCore returns the members of the core in the newest decided state.
func (sim *coreSimulation) newestCore() []consensus.Member {
	if state := sim.oracle.decided[sim.oracle.newestIndex]; state != nil {
		return state.Core
	}
	return sim.initialState.Core
}

package simulation

import (
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	probeInterval     = 50 * Millisecond
	probeTimeout      = 900 * Millisecond
	finalWipeDuration = 300 * Millisecond
	finalReadAttempts = 8
)

// catchUp tracks how a started process catches up with the state that was newest at its start.
type catchUp struct {
	pending bool
	target  uint64
}

// beginCatchUp starts the catch-up deadline of a process that has started.
func (sim *coreSimulation) beginCatchUp(proc *coreProcess) {
	proc.catchUp = catchUp{pending: true, target: sim.oracle.newestIndex}
	if sim.oracle.newestIndex == 0 {
		proc.catchUp.pending = false // the initial start
		return
	}
	if proc.disk.Decided.Index >= proc.catchUp.target {
		proc.catchUp.pending = false
		return
	}
	started := sim.Now
	sim.after(proc, sim.CatchUp, func() {
		if proc.catchUp.pending && sim.faultsUntil <= started {
			sim.reportViolation("catch-up: process %d has not caught up %v after its start, without faults", proc.number, time.Duration(sim.CatchUp))
		}
	})
}

// noteCatchUp is called after each write that reaches the disk.
func (sim *coreSimulation) noteCatchUp(proc *coreProcess) {
	if proc.catchUp.pending && proc.disk.Decided.Index >= proc.catchUp.target {
		proc.catchUp.pending = false
		sim.result.CatchUps = append(sim.result.CatchUps, sim.Now-proc.startedAt)
	}
}

// extendFaultPeriod records that a fault lasts until a given time, after which the core has to decide again.
func (sim *coreSimulation) extendFaultPeriod(until int64) {
	if until <= sim.faultsUntil {
		return
	}
	sim.faultsUntil = until
	sim.After(until-sim.Now, func() {
		if sim.faultsUntil == until {
			sim.awaitRepair(until)
		}
	})
}

// repair measures how soon the core decides again after faults.
type repair struct {
	sim   *coreSimulation
	since int64 // end of the faults
	done  bool
}

// awaitRepair has one controller after the other propose a change, and records how long after the end of the faults
// one is decided. A new fault ends the measurement.
func (sim *coreSimulation) awaitRepair(since int64) {
	repair := &repair{sim: sim, since: since}
	repair.probe(sim.networkRand.IntN(len(sim.processes)))
	sim.After(sim.RepairWithin, func() {
		if repair.expected() {
			sim.reportViolation("no repair: no decision within %v after the end of the faults", time.Duration(sim.RepairWithin))
		}
		repair.done = true
	})
}

// expected reports whether a decision is still awaited and no new fault has been injected.
func (repair *repair) expected() bool { return !repair.done && repair.sim.faultsUntil == repair.since }

// probe has a controller propose a change that is not an operator's update, and afterwards the next controller.
func (repair *repair) probe(n int) {
	if !repair.expected() {
		return
	}
	sim, proc := repair.sim, repair.sim.processes[n%len(repair.sim.processes)]
	next := func() { sim.After(probeInterval, func() { repair.probe(n + 1) }) }
	if !proc.up || len(proc.memory.Decided.Core) == 0 {
		next()
		return
	}
	change := func(state *consensus.State) (*consensus.State, error) {
		return state.WithBalancerCount(state.BalancerCount + 1), nil
	}
	sim.propose(proc, probeTimeout, change, func(result outcome) {
		if result.decided && repair.expected() {
			repair.done = true
			sim.result.Repairs = append(sim.result.Repairs, sim.Now-repair.since)
		}
		next()
	})
}

// checkEnd checks, without any faults, that the core recovers, tolerates the loss of another disk, and still has all
// acknowledged updates.
func (sim *coreSimulation) checkEnd() {
	sim.RunUntil(max(sim.Now, sim.faultsUntil) + max(sim.CatchUp, sim.RepairWithin))
	sim.Loss = 0
	if sim.Tolerate > 0 && sim.lost() == 0 && sim.Controllers > 1 {
		sim.checkDiskLoss()
	}
	sim.checkFinalRead()
	sim.checkUpdates()
	sim.finishHistory()
	sim.checkHistory()
}

// checkDiskLoss wipes the disk of one member. Without other faults it is back, and the core complete, after CatchUp.
func (sim *coreSimulation) checkDiskLoss() {
	newest := sim.oracle.decided[sim.oracle.newestIndex]
	if newest == nil {
		return
	}
	victim := sim.byAddress[newest.Core[sim.networkRand.IntN(len(newest.Core))].Address]
	sim.stop(victim, finalWipeDuration, outage{wipe: true})
	sim.RunUntil(sim.Now + finalWipeDuration + sim.CatchUp)
	newest = sim.oracle.decided[sim.oracle.newestIndex]
	for _, m := range newest.Core {
		proc := sim.byAddress[m.Address]
		if !proc.up || proc.memory.ID != m.ID {
			sim.reportViolation("not whole: member %s has not returned %v after the last disk loss", m.ID, time.Duration(sim.CatchUp))
		}
	}
}

func (sim *coreSimulation) checkFinalRead() {
	responded := false
	for n := 0; n < finalReadAttempts && !responded; n++ {
		proc := sim.processes[n%len(sim.processes)]
		if !proc.up {
			continue
		}
		sim.readNewest(proc, func(result outcome) {
			if result.decided && !responded {
				responded = true
				sim.checkNewestState(result.state)
			}
		})
		sim.RunUntil(sim.Now + 2*Second)
	}
	if !responded {
		sim.reportViolation("no answer: the core does not respond to reads although no fault is left")
	}
}

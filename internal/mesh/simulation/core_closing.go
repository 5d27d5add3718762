package simulation

import (
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	probeInterval     = 50 * Ms
	probeTimeout      = 900 * Ms
	finalWipeDuration = 300 * Ms
	finalReadAttempts = 8
)

// catchUp is how a process comes back to what was decided when it started.
type catchUp struct {
	pending bool
	target  uint64
}

// beginCatchUp starts the clock of a process that has started.
func (sim *coreSimulation) beginCatchUp(proc *coreProcess) {
	proc.catchUp = catchUp{pending: true, target: sim.oracle.newestIndex}
	if sim.oracle.newestIndex == 0 {
		proc.catchUp.pending = false // the first start
		return
	}
	if proc.disk.Decided.Index >= proc.catchUp.target {
		proc.catchUp.pending = false
		return
	}
	started := sim.Now
	sim.after(proc, sim.CatchUp, func() {
		if proc.catchUp.pending && sim.faultsUntil <= started {
			sim.reportViolation("catch-up: process %d is behind %v after its start, with no trouble", proc.number, time.Duration(sim.CatchUp))
		}
	})
}

// noteCatchUp is called with each write that reaches the disk.
func (sim *coreSimulation) noteCatchUp(proc *coreProcess) {
	if proc.catchUp.pending && proc.disk.Decided.Index >= proc.catchUp.target {
		proc.catchUp.pending = false
		sim.result.CatchUps = append(sim.result.CatchUps, sim.Now-proc.startedAt)
	}
}

// extendFaultPeriod notes that something is wrong until some time, after which the core has to decide again.
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

// repair is a core that is to decide again after trouble.
type repair struct {
	sim   *coreSimulation
	since int64 // the end of the trouble
	done  bool
}

// awaitRepair has the core decide something, at one process after the other, and notes how long that took since the end of
// trouble. Where there is new trouble it doesn't count.
func (sim *coreSimulation) awaitRepair(since int64) {
	r := &repair{sim: sim, since: since}
	r.probe(sim.networkRand.IntN(len(sim.processes)))
	sim.After(sim.RepairWithin, func() {
		if r.expected() {
			sim.reportViolation("no repair: nothing is decided %v after the end of trouble", time.Duration(sim.RepairWithin))
		}
		r.done = true
	})
}

// expected reports whether the core is still to decide, and nothing new is wrong.
func (repair *repair) expected() bool { return !repair.done && repair.sim.faultsUntil == repair.since }

// probe has a process decide something new that is no order, and after it the next.
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
	count := func(s *consensus.State) (*consensus.State, error) {
		return s.WithBalancerCount(s.BalancerCount + 1), nil
	}
	sim.propose(proc, probeTimeout, count, func(o outcome) {
		if o.decided && repair.expected() {
			repair.done = true
			sim.result.Repairs = append(sim.result.Repairs, sim.Now-repair.since)
		}
		next()
	})
}

// checkEnd looks, with everything mended, whether the core is whole, bears another lost disk, and has what was
// acknowledged.
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

// checkDiskLoss takes a member's disk: with nothing else wrong it is back, and the core whole, after CatchUp.
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
			sim.reportViolation("not whole: member %s is away %v after the last disk that was lost", m.ID, time.Duration(sim.CatchUp))
		}
	}
}

func (sim *coreSimulation) checkFinalRead() {
	answered := false
	for n := 0; n < finalReadAttempts && !answered; n++ {
		proc := sim.processes[n%len(sim.processes)]
		if !proc.up {
			continue
		}
		sim.readNewest(proc, func(o outcome) {
			if o.decided && !answered {
				answered = true
				sim.checkNewestState(o.state)
			}
		})
		sim.RunUntil(sim.Now + 2*S)
	}
	if !answered {
		sim.reportViolation("no answer: a core that has all it needs does not read")
	}
}

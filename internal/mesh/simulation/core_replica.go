package simulation

import (
	"ottershift/internal/mesh/consensus"
)

// diskWrite is a replica that is being written to disk.
type diskWrite struct{ replica consensus.Replica }

// handle handles a request at a replica. Requests that change what others rely on wait for the disk, one after the
// other. A learned state is in memory at once, and acknowledged when it is on disk.
func (sim *coreSimulation) handle(proc *coreProcess, request consensus.Request, respond func(consensus.Response)) {
	switch request.Kind {
	case consensus.ReadState:
		response, _ := proc.memory.Handle(request)
		respond(response)
	case consensus.Learn:
		sim.apply(proc, request, respond)
	default:
		sim.after(proc, max(proc.diskBusyUntil-sim.Now, 0), func() { sim.apply(proc, request, respond) })
	}
}

// apply changes the replica, and responds when the change is on disk.
func (sim *coreSimulation) apply(proc *coreProcess, request consensus.Request, respond func(consensus.Response)) {
	if sim.NoEpoch && request.Kind == consensus.Accept {
		proc.memory.Promised = consensus.Ballot{}
	}
	before := proc.memory.Decided
	response, changed := proc.memory.Handle(request)
	if proc.memory.Decided != before {
		sim.observeDecision(proc.memory.Decided)
	}
	switch {
	case changed && sim.UnsyncedAck:
		respond(response)
		sim.write(proc, func() {})
	case changed:
		sim.write(proc, func() { respond(response) })
	case request.Kind == consensus.Learn && len(proc.pendingWrites) > 0: // learned before, but not yet on disk
		sim.after(proc, proc.diskBusyUntil-sim.Now, func() { respond(response) })
	default:
		respond(response)
	}
}

// write writes the current replica to disk.
func (sim *coreSimulation) write(proc *coreProcess, done func()) {
	written := &diskWrite{*proc.memory}
	proc.pendingWrites = append(proc.pendingWrites, written)
	proc.diskBusyUntil = max(proc.diskBusyUntil, sim.Now, proc.stalledUntil) + sim.Sync*proc.slowDisk.at(sim.Now)
	incarnation := proc.incarnation
	sim.After(proc.diskBusyUntil-sim.Now, func() {
		if !proc.isCurrent(incarnation) {
			return
		}
		proc.pendingWrites = proc.pendingWrites[1:]
		proc.disk = &written.replica
		sim.noteCatchUp(proc)
		sim.resume(proc, incarnation, done)
	})
}

// unsyncedFate is what happens to the unsynced writes at an outage.
type unsyncedFate uint8

const (
	discardAll unsyncedFate = iota
	keepAll
	keepRandomPrefix // the oldest ones, a random number of them
	unsyncedFateCount
)

// drawFate draws one fate for all machines of an outage. Some power losses discard everything that was not synced.
func (sim *coreSimulation) drawFate() unsyncedFate {
	return unsyncedFate(sim.diskRand.IntN(int(unsyncedFateCount)))
}

// discardWrites ends the pending writes; the fate decides how many of them reach the disk.
func (sim *coreSimulation) discardWrites(proc *coreProcess, fate unsyncedFate) {
	kept := 0
	switch fate {
	case keepAll:
		kept = len(proc.pendingWrites)
	case keepRandomPrefix:
		kept = sim.diskRand.IntN(len(proc.pendingWrites) + 1)
	}
	if kept > 0 {
		proc.disk = &proc.pendingWrites[kept-1].replica
	}
	proc.pendingWrites = nil
}

// learn has a process learn a decided state.
func (sim *coreSimulation) learn(proc *coreProcess, state *consensus.State) {
	sim.handle(proc, consensus.Request{Kind: consensus.Learn, Value: state}, func(consensus.Response) {})
}

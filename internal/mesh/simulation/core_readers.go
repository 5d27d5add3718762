package simulation

import "ottershift/internal/mesh/federation"

const watchInterval = 500 * Millisecond

// reader is a proxy that knows a single controller. It takes a configuration only if the controller declares it
// current.
type reader struct {
	sim     *coreSimulation
	process *coreProcess
}

// scheduleReaders distributes the proxies over the initial controllers.
func (sim *coreSimulation) scheduleReaders() {
	for n := range sim.Readers {
		reader := &reader{sim, sim.processes[n%len(sim.processes)]}
		sim.After(int64(n)*watchInterval/int64(sim.Readers), reader.watch)
	}
}

// watch polls periodically until shortly before the end of the run.
func (reader *reader) watch() {
	sim := reader.sim
	if sim.Now > sim.Length*9/10 {
		return
	}
	sim.After(sim.Delay, func() { sim.arrive(message{to: reader.process, deliver: reader.checkResponse}) })
	sim.After(watchInterval, reader.watch)
}

// checkResponse checks the controller's response. A configuration is current as long as the last majority
// confirmation is fresh, counted from when it was requested.
func (reader *reader) checkResponse() {
	sim, proc := reader.sim, reader.process
	if sim.Now-proc.confirmedAt >= federation.QuorumFreshness {
		return
	}
	sim.result.Watched++
	floor := sim.oracle.newestAt(sim.Now - federation.QuorumFreshness)
	if version := proc.memory.Decided.Edition; version < floor {
		sim.reportViolation("old while current: process %d declares version %d current, but %d was acknowledged", proc.number, version, floor)
	}
}

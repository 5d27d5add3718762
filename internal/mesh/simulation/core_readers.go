package simulation

import "ottershift/internal/mesh/federation"

const watchInterval = 500 * Ms

// reader is a balancer that knows one process only. It takes a configuration where the process says that it is current.
type reader struct {
	sim     *coreSimulation
	process *coreProcess
}

// scheduleReaders deals the balancers out to the processes of the first start.
func (sim *coreSimulation) scheduleReaders() {
	for n := range sim.Readers {
		r := &reader{sim, sim.processes[n%len(sim.processes)]}
		sim.After(int64(n)*watchInterval/int64(sim.Readers), r.watch)
	}
}

// watch asks again and again, to the end of the day.
func (reader *reader) watch() {
	sim := reader.sim
	if sim.Now > sim.Length*9/10 {
		return
	}
	sim.After(sim.Delay, func() { sim.arrive(message{to: reader.process, deliver: reader.checkResponse}) })
	sim.After(watchInterval, reader.watch)
}

// checkResponse is the process's: it is current as long as a majority's word is fresh, counted from before that was asked for.
func (reader *reader) checkResponse() {
	sim, proc := reader.sim, reader.process
	if sim.Now-proc.confirmedAt >= federation.QuorumFreshness {
		return
	}
	sim.result.Watched++
	floor := sim.oracle.newestAt(sim.Now - federation.QuorumFreshness)
	if version := proc.memory.Decided.Edition; version < floor {
		sim.reportViolation("old while current: process %d says that version %d is current, %d was acknowledged", proc.number, version, floor)
	}
}

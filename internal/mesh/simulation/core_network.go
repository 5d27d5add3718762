package simulation

// link is one direction between two processes, by their numbers.
type link struct{ from, to int }

// message is what travels on a link. Deliver runs at the receiver, in whatever life it has by then; refused, where it is not
// nil, at the sender if nothing listens at the receiver's port.
type message struct {
	from, to *coreProcess
	deliver  func()
	refused  func()
}

// duplicateOneIn messages is carried twice.
const duplicateOneIn = 20

// send carries a message, unless it is lost.
func (sim *coreSimulation) send(m message) {
	for copies := 1 + sim.networkRand.IntN(duplicateOneIn)/(duplicateOneIn-1); copies > 0; copies-- {
		if m.from == m.to {
			sim.After(0, func() { sim.arrive(m) })
			continue
		}
		if sim.networkRand.Float64() < sim.Loss || sim.severed(m.from, m.to) {
			continue
		}
		sim.After(sim.latency(), func() { sim.arrive(m) })
	}
}

func (sim *coreSimulation) latency() int64 {
	return sim.Delay + int64(sim.networkRand.Float64()*float64(sim.Jitter))
}

// severed reports whether nothing gets from one process to another.
func (sim *coreSimulation) severed(from, to *coreProcess) bool {
	return sim.Now < from.mutedUntil || sim.Now < to.deafUntil || sim.Now < sim.linkCuts[link{from.number, to.number}]
}

// arrive hands a message to its receiver, or has its port refuse it. A machine without power says nothing.
func (sim *coreSimulation) arrive(m message) {
	to := m.to
	switch {
	case !to.powered:
	case !to.up, sim.Now < to.refusesUntil && m.from != to:
		sim.refuse(m)
	case sim.Now < to.frozenUntil:
		sim.After(to.frozenUntil-sim.Now, func() { sim.arrive(m) })
	default:
		sim.runOnMachine(to, m.deliver)
	}
}

func (sim *coreSimulation) refuse(m message) {
	if m.refused == nil || m.from != nil && sim.severed(m.to, m.from) {
		return
	}
	sim.After(sim.Delay, m.refused)
}

// runOnMachine has a machine handle what has arrived; a slowed machine takes its time, one message after the other.
func (sim *coreSimulation) runOnMachine(proc *coreProcess, do func()) {
	slower := proc.slowMachine.at(sim.Now)
	if slower == 1 && proc.machineBusyUntil <= sim.Now {
		do()
		return
	}
	proc.machineBusyUntil = max(proc.machineBusyUntil, sim.Now) + sim.Handling*slower
	sim.after(proc, proc.machineBusyUntil-sim.Now, do)
}

package simulation

// link is one direction between two processes, by their numbers.
type link struct{ from, to int }

// message is a message on a link. deliver runs at the receiver, whatever incarnation it has by then. refused runs at
// the sender if nothing listens on the receiver's port; it may be nil.
type message struct {
	from, to *coreProcess
	deliver  func()
	refused  func()
}

// duplicateOneIn is n where one in n messages is duplicated.
const duplicateOneIn = 20

// send transmits a message, unless it is lost.
func (sim *coreSimulation) send(msg message) {
	for copies := 1 + sim.networkRand.IntN(duplicateOneIn)/(duplicateOneIn-1); copies > 0; copies-- {
		if msg.from == msg.to {
			sim.After(0, func() { sim.arrive(msg) })
			continue
		}
		if sim.networkRand.Float64() < sim.Loss || sim.severed(msg.from, msg.to) {
			continue
		}
		sim.After(sim.latency(), func() { sim.arrive(msg) })
	}
}

func (sim *coreSimulation) latency() int64 {
	return sim.Delay + int64(sim.networkRand.Float64()*float64(sim.Jitter))
}

// severed reports whether no message gets from one process to another.
func (sim *coreSimulation) severed(from, to *coreProcess) bool {
	return sim.Now < from.mutedUntil || sim.Now < to.deafUntil || sim.Now < sim.linkCuts[link{from.number, to.number}]
}

// arrive delivers a message, or has the receiver's port refuse it. A machine without power does not respond.
func (sim *coreSimulation) arrive(msg message) {
	to := msg.to
	switch {
	case !to.powered:
	case !to.up, sim.Now < to.refusesUntil && msg.from != to:
		sim.refuse(msg)
	case sim.Now < to.frozenUntil:
		sim.After(to.frozenUntil-sim.Now, func() { sim.arrive(msg) })
	default:
		sim.runOnMachine(to, msg.deliver)
	}
}

func (sim *coreSimulation) refuse(msg message) {
	if msg.refused == nil || msg.from != nil && sim.severed(msg.to, msg.from) {
		return
	}
	sim.After(sim.Delay, msg.refused)
}

// runOnMachine handles a message that has arrived. A slowed machine handles one message after the other.
func (sim *coreSimulation) runOnMachine(proc *coreProcess, handle func()) {
	slower := proc.slowMachine.at(sim.Now)
	if slower == 1 && proc.machineBusyUntil <= sim.Now {
		handle()
		return
	}
	proc.machineBusyUntil = max(proc.machineBusyUntil, sim.Now) + sim.Handling*slower
	sim.after(proc, proc.machineBusyUntil-sim.Now, handle)
}

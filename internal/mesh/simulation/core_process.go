package simulation

import (
	"ottershift/internal/mesh/consensus"
)

// coreProcess is a controller on its machine: what its disk holds, what its memory holds, and the trouble that it is in.
// All times are of the steady clock, but for timeOfDay.
type coreProcess struct {
	number        int
	address       string
	pendingWrites []*diskWrite // that have not reached the disk, oldest first

	up           bool
	powered      bool
	retired      bool // gone for good
	retiredAt    int64
	invitedUntil int64 // a change that makes it a member may be under way
	leaving      bool  // it has had SIGTERM
	incarnation  int
	startedAt    int64 // of this life

	disk          *consensus.Replica
	memory        *consensus.Replica
	diskBusyUntil int64 // until then the disk is at work
	round         uint64
	peers         map[string]peer
	changing      bool // a change of its own is under way
	queuedUpdates []func()
	updating      bool

	pendingSince int64 // something has stood accepted, 0 for nothing
	confirmedAt  int64 // when a majority was asked that said that nothing came after this copy

	frozenUntil      int64
	mutedUntil       int64 // it reaches nobody
	deafUntil        int64 // it hears nobody
	isolatedSince    int64
	refusesUntil     int64 // connections
	stalledUntil     int64 // its disk does nothing
	slowDisk         slowdown
	slowMachine      slowdown
	machineBusyUntil int64 // until then a slowed machine is at work on what has arrived
	wallClockOffset  int64 // by how much it is off; nothing reads it
	lostUntil        int64 // by the rules of what is to be borne

	catchUp catchUp
}

// peer is what a process has heard of another one.
type peer struct {
	member  consensus.Member
	heardAt int64
	leaving bool
}

// slowdown is how many times longer something takes, and until when.
type slowdown struct {
	factor int64
	until  int64
}

func (s slowdown) at(now int64) int64 {
	if now < s.until {
		return max(s.factor, 1)
	}
	return 1
}

// maintenanceInterval is how often a process looks after the core by itself.
const maintenanceInterval = 250 * Ms

// addProcess starts a process on a machine of its own.
func (sim *coreSimulation) addProcess(disk *consensus.Replica) *coreProcess {
	n := len(sim.processes)
	proc := &coreProcess{number: n, address: address(n), disk: disk}
	sim.processes = append(sim.processes, proc)
	sim.byAddress[proc.address] = proc
	sim.start(proc)
	return proc
}

// start begins a life with what is on the disk.
func (sim *coreSimulation) start(proc *coreProcess) {
	proc.incarnation++
	proc.up, proc.powered, proc.leaving, proc.startedAt = true, true, false, sim.Now
	proc.diskBusyUntil, proc.machineBusyUntil, proc.round, proc.pendingWrites = 0, 0, 0, nil
	proc.peers, proc.changing, proc.queuedUpdates, proc.updating = map[string]peer{}, false, nil, false
	proc.confirmedAt, proc.pendingSince, proc.invitedUntil = -S, 0, 0
	memory := *proc.disk
	proc.memory = &memory
	sim.beginCatchUp(proc)
	sim.after(proc, int64(sim.networkRand.IntN(250))*Ms, func() { sim.maintainPeriodically(proc) })
}

func (sim *coreSimulation) maintainPeriodically(proc *coreProcess) {
	sim.maintain(proc)
	sim.after(proc, maintenanceInterval, func() { sim.maintainPeriodically(proc) })
}

// isCurrent says whether what was begun in a life may go on.
func (proc *coreProcess) isCurrent(incarnation int) bool {
	return proc.up && proc.incarnation == incarnation
}

// member is the process as the core counts it.
func (proc *coreProcess) member() consensus.Member {
	return consensus.Member{ID: proc.memory.ID, Address: proc.address, Zone: proc.address}
}

// isolated reports whether the process can't both reach and hear anybody.
func (proc *coreProcess) isolated(now int64) bool {
	return now < proc.mutedUntil || now < proc.deafUntil
}

// after has a process do something later: in the same life, and not while it is frozen.
func (sim *coreSimulation) after(proc *coreProcess, d int64, do func()) {
	incarnation := proc.incarnation
	sim.After(d, func() { sim.resume(proc, incarnation, do) })
}

func (sim *coreSimulation) resume(proc *coreProcess, incarnation int, do func()) {
	switch {
	case !proc.isCurrent(incarnation):
	case sim.Now < proc.frozenUntil:
		sim.After(proc.frozenUntil-sim.Now, func() { sim.resume(proc, incarnation, do) })
	default:
		do()
	}
}

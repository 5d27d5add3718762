package simulation

import (
	"ottershift/internal/mesh/consensus"
)

// coreProcess is a controller on its machine: the contents of its disk and memory, and the faults that affect it. All
// times are on the monotonic clock, except wallClockOffset.
type coreProcess struct {
	number        int
	address       string
	pendingWrites []*diskWrite // not yet on disk, oldest first

	up           bool
	powered      bool
	retired      bool // never returns
	retiredAt    int64
	invitedUntil int64 // until then a change that makes it a member may be in progress
	leaving      bool  // it has received SIGTERM
	incarnation  int
	startedAt    int64 // of the current incarnation

	disk          *consensus.Replica
	memory        *consensus.Replica
	diskBusyUntil int64 // the disk is busy until then
	round         uint64
	peers         map[string]peer
	changing      bool // a change of its own is in progress
	queuedUpdates []func()
	updating      bool

	pendingSince int64 // since when an accepted value is undecided, 0 for none
	confirmedAt  int64 // when the last majority read was sent that found no newer state

	frozenUntil      int64
	mutedUntil       int64 // it reaches no others until then
	deafUntil        int64 // it hears no others until then
	isolatedSince    int64
	refusesUntil     int64 // it refuses connections until then
	stalledUntil     int64 // its disk completes no writes until then
	slowDisk         slowdown
	slowMachine      slowdown
	machineBusyUntil int64 // a slowed machine is busy with earlier messages until then
	wallClockOffset  int64 // error of the wall clock; nothing reads it
	lostUntil        int64 // counts as lost against Tolerate until then

	catchUp catchUp
}

// peer is what a process has last heard of another one.
type peer struct {
	member  consensus.Member
	heardAt int64
	leaving bool
}

// slowdown is a factor by which something is slower, and until when.
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

// maintenanceInterval is how often a controller does its periodic work.
const maintenanceInterval = 250 * Millisecond

// addProcess starts a process on a new machine.
func (sim *coreSimulation) addProcess(disk *consensus.Replica) *coreProcess {
	n := len(sim.processes)
	proc := &coreProcess{number: n, address: address(n), disk: disk}
	sim.processes = append(sim.processes, proc)
	sim.byAddress[proc.address] = proc
	sim.start(proc)
	return proc
}

// start begins a new incarnation with the contents of the disk.
func (sim *coreSimulation) start(proc *coreProcess) {
	proc.incarnation++
	proc.up, proc.powered, proc.leaving, proc.startedAt = true, true, false, sim.Now
	proc.diskBusyUntil, proc.machineBusyUntil, proc.round, proc.pendingWrites = 0, 0, 0, nil
	proc.peers, proc.changing, proc.queuedUpdates, proc.updating = map[string]peer{}, false, nil, false
	proc.confirmedAt, proc.pendingSince, proc.invitedUntil = -Second, 0, 0
	memory := *proc.disk
	proc.memory = &memory
	sim.beginCatchUp(proc)
	sim.after(proc, int64(sim.networkRand.IntN(250))*Millisecond, func() { sim.maintainPeriodically(proc) })
}

func (sim *coreSimulation) maintainPeriodically(proc *coreProcess) {
	sim.maintain(proc)
	sim.after(proc, maintenanceInterval, func() { sim.maintainPeriodically(proc) })
}

// isCurrent reports whether the process still runs the given incarnation.
func (proc *coreProcess) isCurrent(incarnation int) bool {
	return proc.up && proc.incarnation == incarnation
}

// member returns the process as a member of the core.
func (proc *coreProcess) member() consensus.Member {
	return consensus.Member{ID: proc.memory.ID, Address: proc.address, Zone: proc.address}
}

// isolated reports whether the process cannot send to others or cannot hear them.
func (proc *coreProcess) isolated(now int64) bool {
	return now < proc.mutedUntil || now < proc.deafUntil
}

// after schedules an action of a process. It runs only in the same incarnation, and not while the process is frozen.
func (sim *coreSimulation) after(proc *coreProcess, delay int64, action func()) {
	incarnation := proc.incarnation
	sim.After(delay, func() { sim.resume(proc, incarnation, action) })
}

func (sim *coreSimulation) resume(proc *coreProcess, incarnation int, action func()) {
	switch {
	case !proc.isCurrent(incarnation):
	case sim.Now < proc.frozenUntil:
		sim.After(proc.frozenUntil-sim.Now, func() { sim.resume(proc, incarnation, action) })
	default:
		action()
	}
}

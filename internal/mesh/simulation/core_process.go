package simulation

import (
	"ottershift/internal/mesh/consensus"
)

// coreProcess is a controller on its machine: what its disk holds, what its memory holds, and the trouble that it is in.
// All times are of the steady clock, but for timeOfDay.
type coreProcess struct {
	number   int
	address  string
	inFlight []*diskWrite // that have not reached the disk, oldest first

	up           bool
	powered      bool
	retired      bool // gone for good
	retiredAt    int64
	invitedUntil int64 // a change that makes it a member may be under way
	leaving      bool  // it has had SIGTERM
	life         int
	since        int64 // of this life

	disk     *consensus.Replica
	memory   *consensus.Replica
	diskFree int64 // until then the disk is at work
	round    uint64
	peers    map[string]peer
	acting   bool // a change of its own is under way
	orders   []func()
	ordering bool

	pendingSince int64 // something has stood accepted, 0 for nothing
	confirmedAt  int64 // when a majority was asked that said that nothing came after this copy

	frozenUntil   int64
	mutedUntil    int64 // it reaches nobody
	deafUntil     int64 // it hears nobody
	isolatedSince int64
	refusesUntil  int64 // connections
	stalledUntil  int64 // its disk does nothing
	slowDisk      slowdown
	slowMachine   slowdown
	machineFree   int64 // until then a slowed machine is at work on what has arrived
	timeOfDay     int64 // by how much it is off; nothing reads it
	lostUntil     int64 // by the rules of what is to be borne

	catchUp catchUp
}

// peer is what a process has heard of another one.
type peer struct {
	member  consensus.Member
	at      int64
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
func (w *coreWorld) addProcess(disk *consensus.Replica) *coreProcess {
	n := len(w.processes)
	b := &coreProcess{number: n, address: address(n), disk: disk}
	w.processes = append(w.processes, b)
	w.byAddress[b.address] = b
	w.start(b)
	return b
}

// start begins a life with what is on the disk.
func (w *coreWorld) start(b *coreProcess) {
	b.life++
	b.up, b.powered, b.leaving, b.since = true, true, false, w.Now
	b.diskFree, b.machineFree, b.round, b.inFlight = 0, 0, 0, nil
	b.peers, b.acting, b.orders, b.ordering = map[string]peer{}, false, nil, false
	b.confirmedAt, b.pendingSince, b.invitedUntil = -S, 0, 0
	memory := *b.disk
	b.memory = &memory
	w.beginCatchUp(b)
	w.after(b, int64(w.net.IntN(250))*Ms, func() { w.maintainForever(b) })
}

func (w *coreWorld) maintainForever(b *coreProcess) {
	w.maintain(b)
	w.after(b, maintenanceInterval, func() { w.maintainForever(b) })
}

// alive says whether what was begun in a life may go on.
func (b *coreProcess) alive(life int) bool { return b.up && b.life == life }

// member is the process as the core counts it.
func (b *coreProcess) member() consensus.Member {
	return consensus.Member{ID: b.memory.ID, Address: b.address, Zone: b.address}
}

// isolated reports whether the process can't both reach and hear anybody.
func (b *coreProcess) isolated(now int64) bool { return now < b.mutedUntil || now < b.deafUntil }

// after has a process do something later: in the same life, and not while it is frozen.
func (w *coreWorld) after(b *coreProcess, d int64, do func()) {
	life := b.life
	w.After(d, func() { w.resume(b, life, do) })
}

func (w *coreWorld) resume(b *coreProcess, life int, do func()) {
	switch {
	case !b.alive(life):
	case w.Now < b.frozenUntil:
		w.After(b.frozenUntil-w.Now, func() { w.resume(b, life, do) })
	default:
		do()
	}
}

package simulation

import (
	"ottershift/internal/mesh/consensus"
)

// diskWrite is a replica on its way to a disk.
type diskWrite struct{ replica consensus.Replica }

// handle is a replica's turn. Requests that change what others rely on wait for the disk, one after the other; what is only
// learned is in memory at once, and answered when it is on disk.
func (w *coreWorld) handle(b *coreProcess, request consensus.Request, respond func(consensus.Response)) {
	switch request.Kind {
	case consensus.ReadState:
		response, _ := b.memory.Handle(request)
		respond(response)
	case consensus.Learn:
		w.apply(b, request, respond)
	default:
		w.after(b, max(b.diskFree-w.Now, 0), func() { w.apply(b, request, respond) })
	}
}

// apply changes the replica and answers once the change is on disk.
func (w *coreWorld) apply(b *coreProcess, request consensus.Request, respond func(consensus.Response)) {
	if w.NoEpoch && request.Kind == consensus.Accept {
		b.memory.Promised = consensus.Ballot{}
	}
	before := b.memory.Decided
	response, changed := b.memory.Handle(request)
	if b.memory.Decided != before {
		w.observeDecision(b.memory.Decided)
	}
	switch {
	case changed && w.UnsyncedAck:
		respond(response)
		w.write(b, func() {})
	case changed:
		w.write(b, func() { respond(response) })
	case request.Kind == consensus.Learn && len(b.inFlight) > 0: // known, and not yet on disk
		w.after(b, b.diskFree-w.Now, func() { respond(response) })
	default:
		respond(response)
	}
}

// write brings the replica as it is to the disk.
func (w *coreWorld) write(b *coreProcess, done func()) {
	written := &diskWrite{*b.memory}
	b.inFlight = append(b.inFlight, written)
	b.diskFree = max(b.diskFree, w.Now, b.stalledUntil) + w.Sync*b.slowDisk.at(w.Now)
	life := b.life
	w.After(b.diskFree-w.Now, func() {
		if !b.alive(life) {
			return
		}
		b.inFlight = b.inFlight[1:]
		b.disk = &written.replica
		w.noteCatchUp(b)
		w.resume(b, life, done)
	})
}

// unsyncedFate is what becomes of the writes under way at an outage.
type unsyncedFate uint8

const (
	lostAll unsyncedFate = iota
	keptAll
	keptByChance // those up to some one
	unsyncedFates
)

// drawFate is the same for all machines of one outage: at some losses of power nothing that was not synced is left.
func (w *coreWorld) drawFate() unsyncedFate { return unsyncedFate(w.disks.IntN(int(unsyncedFates))) }

// interrupt ends the writes under way.
func (w *coreWorld) interrupt(b *coreProcess, fate unsyncedFate) {
	kept := 0
	switch fate {
	case keptAll:
		kept = len(b.inFlight)
	case keptByChance:
		kept = w.disks.IntN(len(b.inFlight) + 1)
	}
	if kept > 0 {
		b.disk = &b.inFlight[kept-1].replica
	}
	b.inFlight = nil
}

// learn has a process take what is known to be decided.
func (w *coreWorld) learn(b *coreProcess, s *consensus.State) {
	w.handle(b, consensus.Request{Kind: consensus.Learn, Value: s}, func(consensus.Response) {})
}

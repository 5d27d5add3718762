package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/telemetry"
)

const (
	stepTimeout = 900 * time.Millisecond // for one step of an attempt at one member; a disk may take its time
	readTimeout = 400 * time.Millisecond
	fresh       = time.Duration(federation.Fresh) // for which a majority's word that this copy is current holds
)

// Disk is where a replica is kept: a storage.Store, or what a test puts in front of it.
type Disk interface {
	Save(*consensus.Replica) error
}

// replicator owns this process's replica and carries out attempts at changes. Invariant: a disk may hang for seconds, so reads
// and everything else that needs no sync go past it: written guards the order on disk, mu only the memory. Each save writes
// the replica as it is in memory at that moment, in one batch: a vote for a slot reaches the disk only together with the
// decision before it.
type replicator struct {
	disk     Disk
	caller   *rpc.Caller
	counts   *telemetry.Counters
	self     string // inner address
	proposer string // this life, as ballots name it

	written sync.Mutex
	mu      sync.Mutex
	replica consensus.Replica
	round   uint64
	news    chan struct{} // closed when something is decided
	saved   uint64        // slot of the newest decision on disk
	saving  atomic.Bool   // a decision is on its way to the disk
	digests consensus.DigestCache
	held    map[string]consensus.Documents // by address, large documents that the process there holds

	vouching vouching

	lease   sharedReadLease
	epoch   time.Time
	changes changeQueue // one change at a time from here
	steps   stepClock   // how long the core takes to grant something
}

func newReplicator(c *consensus.Replica, d Disk, caller *rpc.Caller, counts *telemetry.Counters, self, by string) *replicator {
	return &replicator{
		disk: d, caller: caller, counts: counts, self: self, proposer: by, replica: *c, news: make(chan struct{}),
		saved: c.Decided.Index, held: map[string]consensus.Documents{},
		vouching: vouching{lives: map[string]consensus.DiskLife{}, by: map[string]bool{}}, epoch: time.Now(),
		lease: sharedReadLease{lease: consensus.NewReadLease(int64(fresh))},
	}
}

// state is what is decided as far as this copy knows, and a channel that ends when there is more.
func (k *replicator) state() (*consensus.State, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Decided, k.news
}

func (k *replicator) identity() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.ID
}

// handle answers another process's request, after the sync that it needs. A Learn that is answered with OK is on disk.
func (k *replicator) handle(_ context.Context, a *consensus.Request) (*consensus.Response, error) {
	request, lacking := k.expand(*a)
	if lacking != nil {
		return lacking, nil
	}
	if request.Kind == consensus.ReadState {
		return k.handleRead(request), nil
	}
	if request.Kind == consensus.Learn && request.Value != nil { // Invariant: behind a disk that hangs, news would wait for nothing
		if out := k.learnInMemory(request); out != nil {
			return out, nil
		}
	}
	k.written.Lock()
	defer k.written.Unlock()
	k.mu.Lock()
	if request.Kind != consensus.Learn && !k.mayVote() {
		defer k.mu.Unlock()
		return k.withoutVote(request), nil
	}
	out, keep := k.replica.Handle(request)
	out.Compact = true
	now := k.replica
	unsaved := request.Kind == consensus.Learn && k.saved < now.Decided.Index
	k.mu.Unlock()
	if !keep && !unsaved {
		return &out, nil
	}
	if err := k.save(&now); err != nil {
		return nil, err
	}
	return &out, nil
}

// save writes a replica to the disk. Under written.
func (k *replicator) save(replica *consensus.Replica) error {
	if err := k.disk.Save(replica); err != nil {
		k.counts.Add("disk_refused")
		return err
	}
	k.counts.Add("syncs")
	k.mu.Lock()
	defer k.mu.Unlock()
	k.saved = replica.Decided.Index
	return nil
}

// learnInMemory takes a decision before the disk has it; the response is nil while the disk has still to take it.
func (k *replicator) learnInMemory(request consensus.Request) *consensus.Response {
	k.mu.Lock()
	defer k.mu.Unlock()
	out, news := k.replica.Handle(request)
	if news {
		close(k.news)
		k.news = make(chan struct{})
	}
	if k.saved < request.Value.Index {
		return nil
	}
	out.Compact = true
	return &out
}

// expand puts into a compact request what it left out; the response is nil unless this replica lacks that.
func (k *replicator) expand(a consensus.Request) (whole consensus.Request, lacking *consensus.Response) {
	if !a.IsCompact() {
		return a, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	whole, ok := k.replica.Expand(a, k.digests.Of)
	if !ok {
		return a, &consensus.Response{Kind: a.Kind, Slot: a.Slot, ID: k.replica.ID, Index: k.replica.Decided.Index, Compact: true, Lacking: true}
	}
	return whole, nil
}

// broadcast puts the same question to all members of a core; the answers come as they do, nil for none.
func (k *replicator) broadcast(ctx context.Context, of *consensus.State, a consensus.Request, within time.Duration) <-chan *consensus.Response {
	ctx, end := context.WithTimeout(ctx, within)
	answers := make(chan *consensus.Response, len(of.Core))
	var wait sync.WaitGroup
	for _, m := range of.Core {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers <- k.send(ctx, m.At, a)
		}()
	}
	go func() { wait.Wait(); end() }() // the slower ones go on: what they keep counts too
	return answers
}

// send puts a request to the process at an address; nil for no answer. The request goes without the large
// documents that the process there holds.
func (k *replicator) send(ctx context.Context, at string, a consensus.Request) *consensus.Response {
	if at == k.self {
		answer, err := k.handle(ctx, &a)
		if err != nil {
			return nil
		}
		return answer
	}
	if a.Kind == consensus.ReadState {
		k.mu.Lock()
		life := k.replica.Life
		k.mu.Unlock()
		a.Life = &life
		answer := k.call(ctx, at, a)
		if answer != nil {
			k.noteVouched(life, answer)
		}
		return answer
	}
	compact, large := k.compactFor(at, a)
	answer := k.call(ctx, at, compact)
	if compact.IsCompact() && answer != nil && (!answer.Compact || answer.Lacking) {
		k.counts.Add("compact_lacking")
		k.forgetHeld(at)
		answer = k.call(ctx, at, a)
	}
	if answer != nil && len(large) > 0 {
		k.noteHeld(at, large, answer)
	}
	return answer
}

func (k *replicator) call(ctx context.Context, at string, a consensus.Request) *consensus.Response {
	answer := &consensus.Response{}
	if err := k.caller.Call(ctx, at, rpc.PathConsensus, a, answer); err != nil {
		return nil
	}
	return answer
}

// compactFor is a request without what the process at an address holds of it, and the large documents of its value.
func (k *replicator) compactFor(at string, a consensus.Request) (compact consensus.Request, large consensus.Documents) {
	if a.Value == nil {
		return a, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return a.Compact(k.digests.Of, k.held[at]), a.Value.LargeParts(k.digests.Of)
}

// noteHeld notes which documents the process at an address holds: those of the value that it took last. One that refuses a value
// holds what it held before, so that proposals which overtake one another don't carry whole documents.
func (k *replicator) noteHeld(at string, large consensus.Documents, answer *consensus.Response) {
	if !answer.Compact {
		k.forgetHeld(at)
		return
	}
	if answer.OK {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.held[at] = large
	}
}

// forgetHeld has the next request to an address carry all of its value.
func (k *replicator) forgetHeld(at string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, at)
}

// learn takes what is known to be decided. The disk takes it after that: nothing is answered on the ground of it.
func (k *replicator) learn(s *consensus.State) {
	request := consensus.Request{Kind: consensus.Learn, Value: s}
	if k.learnInMemory(request) == nil && k.saving.CompareAndSwap(false, true) {
		go k.saveDecided()
	}
}

// saveDecided saves until the disk has the newest decision, or refuses; the next vote or decision then saves it, too.
func (k *replicator) saveDecided() {
	defer k.saving.Store(false)
	for saved := false; !saved; {
		k.written.Lock()
		k.mu.Lock()
		now := k.replica
		saved = k.saved >= now.Decided.Index
		k.mu.Unlock()
		if !saved && k.save(&now) != nil {
			saved = true
		}
		k.written.Unlock()
	}
}

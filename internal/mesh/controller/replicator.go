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
	caller   *rpc.Client
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

func newReplicator(c *consensus.Replica, d Disk, caller *rpc.Client, counts *telemetry.Counters, self, by string) *replicator {
	return &replicator{
		disk: d, caller: caller, counts: counts, self: self, proposer: by, replica: *c, news: make(chan struct{}),
		saved: c.Decided.Index, held: map[string]consensus.Documents{},
		vouching: vouching{lives: map[string]consensus.DiskLife{}, by: map[string]bool{}}, epoch: time.Now(),
		lease: sharedReadLease{lease: consensus.NewReadLease(int64(fresh))},
	}
}

// state is what is decided as far as this copy knows, and a channel that ends when there is more.
func (r *replicator) state() (*consensus.State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Decided, r.news
}

func (r *replicator) identity() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.ID
}

// handle answers another process's request, after the sync that it needs. A Learn that is answered with OK is on disk.
func (r *replicator) handle(_ context.Context, a *consensus.Request) (*consensus.Response, error) {
	request, lacking := r.expand(*a)
	if lacking != nil {
		return lacking, nil
	}
	if request.Kind == consensus.ReadState {
		return r.handleRead(request), nil
	}
	if request.Kind == consensus.Learn && request.Value != nil { // Invariant: behind a disk that hangs, news would wait for nothing
		if out := r.learnInMemory(request); out != nil {
			return out, nil
		}
	}
	r.written.Lock()
	defer r.written.Unlock()
	r.mu.Lock()
	if request.Kind != consensus.Learn && !r.mayVote() {
		defer r.mu.Unlock()
		return r.withoutVote(request), nil
	}
	out, keep := r.replica.Handle(request)
	out.Compact = true
	now := r.replica
	unsaved := request.Kind == consensus.Learn && r.saved < now.Decided.Index
	r.mu.Unlock()
	if !keep && !unsaved {
		return &out, nil
	}
	if err := r.save(&now); err != nil {
		return nil, err
	}
	return &out, nil
}

// save writes a replica to the disk. Under written.
func (r *replicator) save(replica *consensus.Replica) error {
	if err := r.disk.Save(replica); err != nil {
		r.counts.Increment("disk_refused")
		return err
	}
	r.counts.Increment("syncs")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = replica.Decided.Index
	return nil
}

// learnInMemory takes a decision before the disk has it; the response is nil while the disk has still to take it.
func (r *replicator) learnInMemory(request consensus.Request) *consensus.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, news := r.replica.Handle(request)
	if news {
		close(r.news)
		r.news = make(chan struct{})
	}
	if r.saved < request.Value.Index {
		return nil
	}
	out.Compact = true
	return &out
}

// expand puts into a compact request what it left out; the response is nil unless this replica lacks that.
func (r *replicator) expand(a consensus.Request) (whole consensus.Request, lacking *consensus.Response) {
	if !a.IsCompact() {
		return a, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	whole, ok := r.replica.Expand(a, r.digests.Of)
	if !ok {
		return a, &consensus.Response{Kind: a.Kind, Slot: a.Slot, ID: r.replica.ID, Index: r.replica.Decided.Index, Compact: true, Lacking: true}
	}
	return whole, nil
}

// broadcast puts the same question to all members of a core; the answers come as they do, nil for none.
func (r *replicator) broadcast(ctx context.Context, of *consensus.State, a consensus.Request, within time.Duration) <-chan *consensus.Response {
	ctx, end := context.WithTimeout(ctx, within)
	answers := make(chan *consensus.Response, len(of.Core))
	var wait sync.WaitGroup
	for _, m := range of.Core {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers <- r.send(ctx, m.At, a)
		}()
	}
	go func() { wait.Wait(); end() }() // the slower ones go on: what they keep counts too
	return answers
}

// send puts a request to the process at an address; nil for no answer. The request goes without the large
// documents that the process there holds.
func (r *replicator) send(ctx context.Context, at string, a consensus.Request) *consensus.Response {
	if at == r.self {
		answer, err := r.handle(ctx, &a)
		if err != nil {
			return nil
		}
		return answer
	}
	if a.Kind == consensus.ReadState {
		r.mu.Lock()
		life := r.replica.Life
		r.mu.Unlock()
		a.Life = &life
		answer := r.call(ctx, at, a)
		if answer != nil {
			r.noteVouched(life, answer)
		}
		return answer
	}
	compact, large := r.compactFor(at, a)
	answer := r.call(ctx, at, compact)
	if compact.IsCompact() && answer != nil && (!answer.Compact || answer.Lacking) {
		r.counts.Increment("compact_lacking")
		r.forgetHeld(at)
		answer = r.call(ctx, at, a)
	}
	if answer != nil && len(large) > 0 {
		r.noteHeld(at, large, answer)
	}
	return answer
}

func (r *replicator) call(ctx context.Context, at string, a consensus.Request) *consensus.Response {
	answer := &consensus.Response{}
	if err := r.caller.Call(ctx, at, rpc.PathConsensus, a, answer); err != nil {
		return nil
	}
	return answer
}

// compactFor is a request without what the process at an address holds of it, and the large documents of its value.
func (r *replicator) compactFor(at string, a consensus.Request) (compact consensus.Request, large consensus.Documents) {
	if a.Value == nil {
		return a, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return a.Compact(r.digests.Of, r.held[at]), a.Value.LargeParts(r.digests.Of)
}

// noteHeld notes which documents the process at an address holds: those of the value that it took last. One that refuses a value
// holds what it held before, so that proposals which overtake one another don't carry whole documents.
func (r *replicator) noteHeld(at string, large consensus.Documents, answer *consensus.Response) {
	if !answer.Compact {
		r.forgetHeld(at)
		return
	}
	if answer.OK {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.held[at] = large
	}
}

// forgetHeld has the next request to an address carry all of its value.
func (r *replicator) forgetHeld(at string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, at)
}

// learn takes what is known to be decided. The disk takes it after that: nothing is answered on the ground of it.
func (r *replicator) learn(s *consensus.State) {
	request := consensus.Request{Kind: consensus.Learn, Value: s}
	if r.learnInMemory(request) == nil && r.saving.CompareAndSwap(false, true) {
		go r.saveDecided()
	}
}

// saveDecided saves until the disk has the newest decision, or refuses; the next vote or decision then saves it, too.
func (r *replicator) saveDecided() {
	defer r.saving.Store(false)
	for saved := false; !saved; {
		r.written.Lock()
		r.mu.Lock()
		now := r.replica
		saved = r.saved >= now.Decided.Index
		r.mu.Unlock()
		if !saved && r.save(&now) != nil {
			saved = true
		}
		r.written.Unlock()
	}
}

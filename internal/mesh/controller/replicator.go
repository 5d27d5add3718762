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
	// stepTimeout limits one step of an attempt at one member, which may include a slow disk sync.
	stepTimeout = 900 * time.Millisecond
	readTimeout = 400 * time.Millisecond
	// readLeaseDuration is how long a majority's confirmation that this replica is current remains valid.
	readLeaseDuration = time.Duration(federation.QuorumFreshness)
)

// Disk stores a replica. It is a storage.Store, or a test's wrapper around one.
type Disk interface {
	Save(*consensus.Replica) error
}

// replicator owns this controller's replica and carries out attempts at changes. A disk may hang for seconds, so
// reads and everything else that needs no sync must not wait for it: diskMu orders the saves, and mu guards only the
// memory. Each save writes the replica as it is in memory at that moment in one batch, so that a vote for a slot
// reaches the disk only together with the decision before it.
type replicator struct {
	disk        Disk
	caller      *rpc.Client
	counts      *telemetry.Counters
	selfAddress string // mesh address of this controller
	proposer    string // this controller's incarnation, as used in ballots

	diskMu        sync.Mutex
	mu            sync.Mutex
	replica       consensus.Replica
	round         uint64
	decided       chan struct{} // closed on each decision
	saved         uint64        // slot of the newest decision on disk
	savingDecided atomic.Bool   // saveDecided is running
	digests       consensus.DigestCache
	heldDocuments map[string]consensus.Documents // by address, the large documents that the controller there holds

	diskVerification diskVerification

	lease   sharedReadLease
	started time.Time
	changes changeQueue // admits one change of this controller at a time
	latency stepLatency // how long the core takes to grant a request
}

func newReplicator(opened *consensus.Replica, backing Disk, caller *rpc.Client, counts *telemetry.Counters, selfAddress, by string) *replicator {
	return &replicator{
		disk: backing, caller: caller, counts: counts, selfAddress: selfAddress, proposer: by, replica: *opened,
		decided: make(chan struct{}),
		saved:   opened.Decided.Index, heldDocuments: map[string]consensus.Documents{},
		diskVerification: diskVerification{latestLives: map[string]consensus.DiskIncarnation{}, by: map[string]bool{}},
		started:          time.Now(),
		lease:            sharedReadLease{lease: consensus.NewReadLease(int64(readLeaseDuration))},
	}
}

// knownState returns the newest decision that this replica knows, and a channel that is closed when there is a later one.
func (r *replicator) knownState() (*consensus.State, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Decided, r.decided
}

func (r *replicator) identity() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.ID
}

// handle processes a request from another controller, including the disk sync that it needs. If a Learn request is
// answered with OK, the decision is on disk.
func (r *replicator) handle(_ context.Context, request *consensus.Request) (*consensus.Response, error) {
	expanded, lacking := r.expand(*request)
	if lacking != nil {
		return lacking, nil
	}
	if expanded.Kind == consensus.ReadState {
		return r.handleRead(expanded), nil
	}
	// Learn in memory first, or decisions would be delayed by a hanging disk.
	if expanded.Kind == consensus.Learn && expanded.Value != nil {
		if response := r.learnInMemory(expanded); response != nil {
			return response, nil
		}
	}
	r.diskMu.Lock()
	defer r.diskMu.Unlock()
	r.mu.Lock()
	if expanded.Kind != consensus.Learn && !r.mayVote() {
		defer r.mu.Unlock()
		return r.refuseVote(expanded), nil
	}
	response, mustSave := r.replica.Handle(expanded)
	response.SupportsCompact = true
	snapshot := r.replica
	unsaved := expanded.Kind == consensus.Learn && r.saved < snapshot.Decided.Index
	r.mu.Unlock()
	if !mustSave && !unsaved {
		return &response, nil
	}
	if err := r.save(&snapshot); err != nil {
		return nil, err
	}
	return &response, nil
}

// save writes a replica to the disk. r.diskMu must be held.
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

// learnInMemory learns a decision before it is on disk. The response is nil if the decision still has to be saved.
func (r *replicator) learnInMemory(request consensus.Request) *consensus.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	response, decided := r.replica.Handle(request)
	if decided {
		close(r.decided)
		r.decided = make(chan struct{})
	}
	if r.saved < request.Value.Index {
		return nil
	}
	response.SupportsCompact = true
	return &response
}

// expand restores the documents that a compact request omits. The response is nil unless this replica lacks them.
func (r *replicator) expand(request consensus.Request) (expanded consensus.Request, lacking *consensus.Response) {
	if !request.IsCompact() {
		return request, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expanded, ok := r.replica.Expand(request, r.digests.Digest)
	if !ok {
		return request, &consensus.Response{Kind: request.Kind, Slot: request.Slot, ID: r.replica.ID,
			Index: r.replica.Decided.Index, SupportsCompact: true, DocumentsMissing: true}
	}
	return expanded, nil
}

// broadcast sends a request to all members of a core. Responses are delivered as they arrive, nil for a member that
// does not answer.
func (r *replicator) broadcast(ctx context.Context, state *consensus.State, request consensus.Request, timeout time.Duration) <-chan *consensus.Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	answers := make(chan *consensus.Response, len(state.Core))
	var sends sync.WaitGroup
	for _, member := range state.Core {
		sends.Add(1)
		go func() {
			defer sends.Done()
			answers <- r.send(ctx, member.Address, request)
		}()
	}
	go func() { sends.Wait(); cancel() }() // slow requests continue, as their effect on the receiver still counts
	return answers
}

// send sends a request to the controller at an address and returns its response, or nil. Large documents that the
// receiver already holds are omitted.
func (r *replicator) send(ctx context.Context, address string, request consensus.Request) *consensus.Response {
	if address == r.selfAddress {
		answer, err := r.handle(ctx, &request)
		if err != nil {
			return nil
		}
		return answer
	}
	if request.Kind == consensus.ReadState {
		r.mu.Lock()
		diskLife := r.replica.Incarnation
		r.mu.Unlock()
		request.Incarnation = &diskLife
		answer := r.call(ctx, address, request)
		if answer != nil {
			r.recordVerification(diskLife, answer)
		}
		return answer
	}
	compact, large := r.compactFor(address, request)
	answer := r.call(ctx, address, compact)
	if compact.IsCompact() && answer != nil && (!answer.SupportsCompact || answer.DocumentsMissing) {
		r.counts.Increment("compact_lacking")
		r.forgetHeldDocuments(address)
		answer = r.call(ctx, address, request)
	}
	if answer != nil && len(large) > 0 {
		r.recordHeldDocuments(address, large, answer)
	}
	return answer
}

func (r *replicator) call(ctx context.Context, address string, request consensus.Request) *consensus.Response {
	answer := &consensus.Response{}
	if err := r.caller.Call(ctx, address, rpc.PathConsensus, request, answer); err != nil {
		return nil
	}
	return answer
}

// compactFor returns a request without the documents that the controller at an address holds, and the large documents
// of its value.
func (r *replicator) compactFor(address string, request consensus.Request) (compact consensus.Request, large consensus.Documents) {
	if request.Value == nil {
		return request, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return request.Compact(r.digests.Digest, r.heldDocuments[address]), request.Value.LargeDocuments(r.digests.Digest)
}

// recordHeldDocuments records which documents the controller at an address holds: those of the last value that it
// accepted. A refusal leaves the record unchanged, so that competing proposals do not resend complete documents.
func (r *replicator) recordHeldDocuments(address string, large consensus.Documents, answer *consensus.Response) {
	if !answer.SupportsCompact {
		r.forgetHeldDocuments(address)
		return
	}
	if answer.OK {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.heldDocuments[address] = large
	}
}

// forgetHeldDocuments makes the next request to an address carry the complete value.
func (r *replicator) forgetHeldDocuments(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heldDocuments, address)
}

// learn records a decision in memory and then saves it in the background. No request is answered on the basis of the
// unsaved decision.
func (r *replicator) learn(state *consensus.State) {
	request := consensus.Request{Kind: consensus.Learn, Value: state}
	if r.learnInMemory(request) == nil && r.savingDecided.CompareAndSwap(false, true) {
		go r.saveDecided()
	}
}

// saveDecided saves until the newest decision is on disk. If a save fails, the next vote or decision saves it.
func (r *replicator) saveDecided() {
	defer r.savingDecided.Store(false)
	for saved := false; !saved; {
		r.diskMu.Lock()
		r.mu.Lock()
		snapshot := r.replica
		saved = r.saved >= snapshot.Decided.Index
		r.mu.Unlock()
		if !saved && r.save(&snapshot) != nil {
			saved = true
		}
		r.diskMu.Unlock()
	}
}

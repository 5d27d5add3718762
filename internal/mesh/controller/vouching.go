package controller

import (
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/storage"
)

// vouching is how a replica learns whether its disk is the one that has its identity, or an old copy of it.
type vouching struct {
	lives      map[string]consensus.DiskLife // by identity, the last starts of others that were seen
	by         map[string]bool               // members that have seen no later life of this disk
	done       bool                          // enough of them
	superseded bool                          // somebody has seen a later life, and no new identity has been drawn yet
	drawing    bool                          // one is being drawn
}

// handleRead answers where this replica stands, and whether the asker's disk is an old copy.
func (r *replicator) handleRead(request consensus.Request) *consensus.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, _ := r.replica.Handle(request)
	out.Compact = true
	out.OK = out.OK && r.mayVote()
	if life := request.Life; life != nil {
		if out.Superseded = r.vouching.lives[life.ID].Supersedes(*life); !out.Superseded {
			r.vouching.lives[life.ID] = *life
		}
	}
	return &out
}

// mayVote reports whether this replica's votes, and its word on where it stands, may count. Invariant: an old copy of a disk has
// forgotten promises; so a disk that has been in use before counts only once a majority of its core, with itself, knows of
// no later life of it. Others have seen that life unless they have all been restarted since. Under mu.
func (r *replicator) mayVote() bool {
	state := r.replica.Decided
	enough := state.HasMember(r.replica.ID) && len(r.vouching.by)+1 >= state.Majority()
	if enough || r.replica.Life.Number <= 1 {
		r.vouching.done = true
	}
	return r.vouching.done && !r.vouching.superseded
}

// withoutVote answers a request for a vote that must not be given. Under mu.
func (r *replicator) withoutVote(request consensus.Request) *consensus.Response {
	out, _ := r.replica.Handle(consensus.Request{Kind: consensus.ReadState, Slot: request.Slot - 1})
	out.Kind, out.Slot, out.OK, out.Compact = request.Kind, request.Slot, false, true
	return &out
}

// noteVouched takes what another replica says about this disk's life.
func (r *replicator) noteVouched(asked consensus.DiskLife, answer *consensus.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case asked != r.replica.Life: // said of an identity that has been given up
	case answer.Superseded:
		r.vouching.superseded = true
		if !r.vouching.drawing {
			r.vouching.drawing = true
			r.counts.Increment("disk_superseded")
			go r.drawIdentity()
		}
	case r.replica.Decided.HasMember(answer.ID):
		r.vouching.by[answer.ID] = true
	}
}

// drawIdentity makes an old copy of a disk a stranger: it keeps what it knows to be decided, and no vote. The core takes it in
// as it does with a disk that has been wiped.
func (r *replicator) drawIdentity() {
	r.written.Lock()
	defer r.written.Unlock()
	id := storage.NewID()
	r.mu.Lock()
	stranger := consensus.Replica{ID: id, Decided: r.replica.Decided, Life: consensus.DiskLife{ID: id, Number: 1, Token: storage.NewID()}}
	r.mu.Unlock()
	err := r.save(&stranger)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vouching.drawing = false
	if err != nil {
		return // the next read finds it out again
	}
	r.vouching.superseded = false
	stranger.Decided = r.replica.Decided // it may have learned more meanwhile
	r.replica = stranger
}

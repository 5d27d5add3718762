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
func (k *replicator) handleRead(request consensus.Request) *consensus.Response {
	k.mu.Lock()
	defer k.mu.Unlock()
	out, _ := k.replica.Handle(request)
	out.Compact = true
	out.OK = out.OK && k.mayVote()
	if life := request.Life; life != nil {
		if out.Superseded = k.vouching.lives[life.ID].Supersedes(*life); !out.Superseded {
			k.vouching.lives[life.ID] = *life
		}
	}
	return &out
}

// mayVote reports whether this replica's votes, and its word on where it stands, may count. Invariant: an old copy of a disk has
// forgotten promises; so a disk that has been in use before counts only once a majority of its core, with itself, knows of
// no later life of it. Others have seen that life unless they have all been restarted since. Under mu.
func (k *replicator) mayVote() bool {
	state := k.replica.Decided
	enough := state.HasMember(k.replica.ID) && len(k.vouching.by)+1 >= state.Majority()
	if enough || k.replica.Life.Number <= 1 {
		k.vouching.done = true
	}
	return k.vouching.done && !k.vouching.superseded
}

// withoutVote answers a request for a vote that must not be given. Under mu.
func (k *replicator) withoutVote(request consensus.Request) *consensus.Response {
	out, _ := k.replica.Handle(consensus.Request{Kind: consensus.ReadState, Slot: request.Slot - 1})
	out.Kind, out.Slot, out.OK, out.Compact = request.Kind, request.Slot, false, true
	return &out
}

// noteVouched takes what another replica says about this disk's life.
func (k *replicator) noteVouched(asked consensus.DiskLife, answer *consensus.Response) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case asked != k.replica.Life: // said of an identity that has been given up
	case answer.Superseded:
		k.vouching.superseded = true
		if !k.vouching.drawing {
			k.vouching.drawing = true
			k.counts.Add("disk_superseded")
			go k.drawIdentity()
		}
	case k.replica.Decided.HasMember(answer.ID):
		k.vouching.by[answer.ID] = true
	}
}

// drawIdentity makes an old copy of a disk a stranger: it keeps what it knows to be decided, and no vote. The core takes it in
// as it does with a disk that has been wiped.
func (k *replicator) drawIdentity() {
	k.written.Lock()
	defer k.written.Unlock()
	id := storage.NewIdentity()
	k.mu.Lock()
	stranger := consensus.Replica{ID: id, Decided: k.replica.Decided, Life: consensus.DiskLife{ID: id, Number: 1, Token: storage.NewIdentity()}}
	k.mu.Unlock()
	err := k.save(&stranger)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vouching.drawing = false
	if err != nil {
		return // the next read finds it out again
	}
	k.vouching.superseded = false
	stranger.Decided = k.replica.Decided // it may have learned more meanwhile
	k.replica = stranger
}

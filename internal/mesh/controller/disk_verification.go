package controller

import (
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/storage"
)

// diskVerification establishes whether this replica's disk is the current one of its identity or an old copy of it. A
// disk gets a new incarnation at each start.
type diskVerification struct {
	latestLives map[string]consensus.DiskIncarnation // by identity, the latest incarnations of other replicas' disks seen here
	by          map[string]bool                      // members that have seen no later incarnation of this disk
	verified    bool                                 // enough members have confirmed
	superseded  bool                                 // a later incarnation has been seen, and the identity is not yet replaced
	replacing   bool                                 // the identity is being replaced
}

// handleRead returns this replica's position, and whether the caller's disk is an old copy.
func (r *replicator) handleRead(request consensus.Request) *consensus.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	response, _ := r.replica.Handle(request)
	response.SupportsCompact = true
	response.OK = response.OK && r.mayVote()
	if diskLife := request.Incarnation; diskLife != nil {
		if response.Superseded = r.diskVerification.latestLives[diskLife.ID].Supersedes(*diskLife); !response.Superseded {
			r.diskVerification.latestLives[diskLife.ID] = *diskLife
		}
	}
	return &response
}

// mayVote reports whether this replica's votes and read responses may count. An old copy of a disk lacks promises
// that were made later. So a disk that has been used before counts only once a majority of its core, including
// itself, has seen no later incarnation of it. The others have seen that incarnation unless all of them have been
// restarted since. r.mu must be held.
func (r *replicator) mayVote() bool {
	state := r.replica.Decided
	enough := state.HasMember(r.replica.ID) && len(r.diskVerification.by)+1 >= state.Majority()
	if enough || r.replica.Incarnation.Number <= 1 {
		r.diskVerification.verified = true
	}
	return r.diskVerification.verified && !r.diskVerification.superseded
}

// refuseVote answers a vote request that this replica must not grant. r.mu must be held.
func (r *replicator) refuseVote(request consensus.Request) *consensus.Response {
	response, _ := r.replica.Handle(consensus.Request{Kind: consensus.ReadState, Slot: request.Slot - 1})
	response.Kind, response.Slot, response.OK, response.SupportsCompact = request.Kind, request.Slot, false, true
	return &response
}

// recordVerification records another replica's response about this disk's incarnation.
func (r *replicator) recordVerification(asked consensus.DiskIncarnation, answer *consensus.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case asked != r.replica.Incarnation: // refers to an identity that has been replaced
	case answer.Superseded:
		r.diskVerification.superseded = true
		if !r.diskVerification.replacing {
			r.diskVerification.replacing = true
			r.counts.Increment("disk_superseded")
			go r.replaceIdentity()
		}
	case r.replica.Decided.HasMember(answer.ID):
		r.diskVerification.by[answer.ID] = true
	}
}

// replaceIdentity gives an old copy of a disk a new identity. It keeps the decided state but no votes, and the core
// can admit it like a controller whose disk was wiped.
func (r *replicator) replaceIdentity() {
	r.diskMu.Lock()
	defer r.diskMu.Unlock()
	id := storage.NewID()
	r.mu.Lock()
	replacement := consensus.Replica{ID: id, Decided: r.replica.Decided,
		Incarnation: consensus.DiskIncarnation{ID: id, Number: 1, Token: storage.NewID()}}
	r.mu.Unlock()
	err := r.save(&replacement)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.diskVerification.replacing = false
	if err != nil {
		return // the next read detects it again
	}
	r.diskVerification.superseded = false
	replacement.Decided = r.replica.Decided // more may have been learned during the save
	r.replica = replacement
}

package simulation

import (
	"slices"
	"strings"

	"ottershift/internal/mesh/consensus"
)

// settleAfter is how long something stands undecided before the first process in the agreed order settles it; each next one
// waits as much longer.
const settleAfter = 150 * Ms

// maintain is what a process does by itself four times a second: tell the others of itself, look where the core stands,
// settle what hangs, keep the core whole.
func (w *coreWorld) maintain(b *coreProcess) {
	w.gossip(b)
	s := b.memory.Decided
	if len(s.Core) == 0 {
		return
	}
	asked := w.Now
	read, request := consensus.NewMajorityRead(s)
	w.ask(b, s, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		w.afterRead(b, s, read, asked)
		return true
	}, func() {})
}

// gossip tells the others that this process is there, and what is decided to who is behind.
func (w *coreWorld) gossip(b *coreProcess) {
	self, index, leaving := b.member(), b.memory.Decided.Index, b.leaving
	for _, to := range w.processes {
		if to == b || to.retired {
			continue
		}
		w.send(message{from: b, to: to, deliver: func() {
			to.peers[b.address] = peer{self, w.Now, leaving}
			if index > to.memory.Decided.Index && b.up {
				w.learn(to, b.memory.Decided)
			}
		}})
	}
}

// afterRead acts on what a majority has said of the state.
func (w *coreWorld) afterRead(b *coreProcess, s *consensus.State, read *consensus.MajorityRead, asked int64) {
	if ahead := read.Ahead(); ahead != nil {
		w.learn(b, ahead)
		return
	}
	if read.Newest() {
		b.confirmedAt = max(b.confirmedAt, asked)
		if w.LateLease {
			b.confirmedAt = w.Now
		}
	}
	if !read.Current() {
		b.pendingSince = 0
		return
	}
	b.notePending(read.Pending(), w.Now)
	if b.acting {
		return
	}
	rank := s.DutyRank(b.memory.ID, w.peerStatuses(b))
	switch {
	case b.pendingSince > 0 && w.Now-b.pendingSince > settleAfter*int64(1+rank):
		b.acting = true
		w.propose(b, ownTimeout, nothing, func(outcome) { b.acting = false })
	case rank == 0 && !b.leaving:
		w.maintainMembership(b, s)
	}
}

// notePending notes since when something has stood accepted that nobody is known to have decided.
func (b *coreProcess) notePending(pending bool, now int64) {
	switch {
	case !pending:
		b.pendingSince = 0
	case b.pendingSince == 0:
		b.pendingSince = now
	}
}

// peerStatuses are the other processes as a process has heard of them, in the order of their addresses. Who leaves and is
// no member is as good as gone.
func (w *coreWorld) peerStatuses(b *coreProcess) []consensus.PeerStatus {
	others := make([]consensus.PeerStatus, 0, len(b.peers))
	for _, p := range b.peers {
		if !p.leaving || b.memory.Decided.HasMember(p.member.ID) {
			others = append(others, consensus.PeerStatus{Member: p.member, SilentFor: w.Now - p.at, Leaving: p.leaving})
		}
	}
	slices.SortFunc(others, func(x, y consensus.PeerStatus) int { return strings.Compare(x.Address, y.Address) })
	return others
}

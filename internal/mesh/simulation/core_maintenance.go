package simulation

import (
	"slices"
	"strings"

	"ottershift/internal/mesh/consensus"
)

// pendingSettleDelay is how long something stands undecided before the first process in the agreed order settles it; each next one
// waits as much longer.
const pendingSettleDelay = 150 * Ms

// maintain is what a process does by itself four times a second: tell the others of itself, look where the core stands,
// settle what hangs, keep the core whole.
func (sim *coreSimulation) maintain(proc *coreProcess) {
	sim.gossip(proc)
	s := proc.memory.Decided
	if len(s.Core) == 0 {
		return
	}
	asked := sim.Now
	read, request := consensus.NewMajorityRead(s)
	sim.broadcast(proc, s, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		sim.afterRead(proc, s, read, asked)
		return true
	}, func() {})
}

// gossip tells the others that this process is there, and what is decided to who is behind.
func (sim *coreSimulation) gossip(proc *coreProcess) {
	self, index, leaving := proc.member(), proc.memory.Decided.Index, proc.leaving
	for _, to := range sim.processes {
		if to == proc || to.retired {
			continue
		}
		sim.send(message{from: proc, to: to, deliver: func() {
			to.peers[proc.address] = peer{self, sim.Now, leaving}
			if index > to.memory.Decided.Index && proc.up {
				sim.learn(to, proc.memory.Decided)
			}
		}})
	}
}

// afterRead acts on what a majority has said of the state.
func (sim *coreSimulation) afterRead(proc *coreProcess, s *consensus.State, read *consensus.MajorityRead, asked int64) {
	if ahead := read.Ahead(); ahead != nil {
		sim.learn(proc, ahead)
		return
	}
	if read.Newest() {
		proc.confirmedAt = max(proc.confirmedAt, asked)
		if sim.LateLease {
			proc.confirmedAt = sim.Now
		}
	}
	if !read.Current() {
		proc.pendingSince = 0
		return
	}
	proc.notePending(read.Pending(), sim.Now)
	if proc.changing {
		return
	}
	rank := s.DutyRank(proc.memory.ID, sim.peerStatuses(proc))
	switch {
	case proc.pendingSince > 0 && sim.Now-proc.pendingSince > pendingSettleDelay*int64(1+rank):
		proc.changing = true
		sim.propose(proc, membershipTimeout, noChange, func(outcome) { proc.changing = false })
	case rank == 0 && !proc.leaving:
		sim.maintainMembership(proc, s)
	}
}

// notePending notes since when something has stood accepted that nobody is known to have decided.
func (proc *coreProcess) notePending(pending bool, now int64) {
	switch {
	case !pending:
		proc.pendingSince = 0
	case proc.pendingSince == 0:
		proc.pendingSince = now
	}
}

// peerStatuses are the other processes as a process has heard of them, in the order of their addresses. Who leaves and is
// no member is as good as gone.
func (sim *coreSimulation) peerStatuses(proc *coreProcess) []consensus.PeerStatus {
	others := make([]consensus.PeerStatus, 0, len(proc.peers))
	for _, p := range proc.peers {
		if !p.leaving || proc.memory.Decided.HasMember(p.member.ID) {
			others = append(others, consensus.PeerStatus{Member: p.member, SilentFor: sim.Now - p.heardAt, Leaving: p.leaving})
		}
	}
	slices.SortFunc(others, func(x, y consensus.PeerStatus) int { return strings.Compare(x.Address, y.Address) })
	return others
}

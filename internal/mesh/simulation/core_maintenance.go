package simulation

import (
	"slices"
	"strings"

	"ottershift/internal/mesh/consensus"
)

// pendingSettleDelay is how long an accepted value may stay undecided before the first process by duty rank settles
// it. Each following rank waits that much longer.
const pendingSettleDelay = 150 * Millisecond

// maintain is the periodic work of a controller: gossip, compare its state with a majority, settle pending values,
// and replace lost members.
func (sim *coreSimulation) maintain(proc *coreProcess) {
	sim.gossip(proc)
	state := proc.memory.Decided
	if len(state.Core) == 0 {
		return
	}
	askedAt := sim.Now
	read, request := consensus.NewMajorityRead(state)
	sim.broadcast(proc, state, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		sim.afterRead(proc, state, read, askedAt)
		return true
	}, func() {})
}

// gossip announces the process to the others, and sends the decided state to those that are behind.
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

// afterRead acts on the result of a majority read.
func (sim *coreSimulation) afterRead(proc *coreProcess, state *consensus.State, read *consensus.MajorityRead, askedAt int64) {
	if ahead := read.Ahead(); ahead != nil {
		sim.learn(proc, ahead)
		return
	}
	if read.Newest() {
		proc.confirmedAt = max(proc.confirmedAt, askedAt)
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
	rank := state.DutyRank(proc.memory.ID, sim.peerStatuses(proc))
	switch {
	case proc.pendingSince > 0 && sim.Now-proc.pendingSince > pendingSettleDelay*int64(1+rank):
		proc.changing = true
		sim.propose(proc, membershipTimeout, noChange, func(outcome) { proc.changing = false })
	case rank == 0 && !proc.leaving:
		sim.maintainMembership(proc, state)
	}
}

// notePending records since when an accepted value is not known to be decided.
func (proc *coreProcess) notePending(pending bool, now int64) {
	switch {
	case !pending:
		proc.pendingSince = 0
	case proc.pendingSince == 0:
		proc.pendingSince = now
	}
}

// peerStatuses returns the other processes as this process last heard of them, ordered by address. A leaving process
// that is no member counts as gone.
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

package simulation

import (
	"slices"

	"ottershift/internal/mesh/consensus"
)

const (
	storedCheckInterval   = 100 * Millisecond // between two requests whether a state is stored
	handOverRetryInterval = 100 * Millisecond // between two attempts of a leaving process to find a successor
)

// maintainMembership carries out the membership change that the state's plan asks for, if any.
func (sim *coreSimulation) maintainMembership(proc *coreProcess, state *consensus.State) {
	change, ok := state.PlanMembership(proc.member(), sim.peerStatuses(proc), sim.Now-proc.startedAt)
	if !ok {
		return
	}
	proc.changing = true
	sim.changeMembership(proc, state, change, func(bool) { proc.changing = false })
}

// changeMembership carries out a membership change. Before the proposal, a quorum has to store the result of the
// previous change, and the new member the current state. The change is done when the new member and a quorum of the
// new core have stored the decision.
func (sim *coreSimulation) changeMembership(proc *coreProcess, state *consensus.State, change consensus.MembershipChange, done func(stored bool)) {
	propose := func() {
		apply := func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(change), nil }
		sim.propose(proc, membershipTimeout, apply, func(result outcome) {
			if !result.decided || !membershipApplied(result.state, change) {
				done(false)
				return
			}
			sim.result.Adopted++
			if sim.EarlyMembership {
				done(true)
				return
			}
			sim.confirmStored(proc, result.state, change.Add.ID, done)
		})
	}
	if sim.EarlyMembership {
		propose()
		return
	}
	sim.confirmStored(proc, state, "", func(stored bool) {
		if !stored {
			done(false)
			return
		}
		sim.catchUpNewMember(proc, state, change.Add, func(stored bool) {
			if !stored {
				done(false)
				return
			}
			propose()
		})
	})
}

// membershipApplied reports whether a state is what a membership change asked for. Another change may have added the
// same new member in place of another one that leaves.
func membershipApplied(state *consensus.State, change consensus.MembershipChange) bool {
	return state.HasMember(change.Add.ID) && !state.HasMember(change.Remove)
}

// storedCheck counts which members have stored a state on disk.
type storedCheck struct {
	sim        *coreSimulation
	process    *coreProcess
	state      *consensus.State
	members    []consensus.Member
	requiredID string // the member that has to store it, empty for none
	quorum     int    // number of members that have to store it
	invite     bool   // also asks whether the process will be a member; a leaving process refuses
	until      int64
	stored     map[string]bool
	finished   bool
	done       func(stored bool)
}

// confirmStored asks until a quorum of the state's core, and the required member, have stored the state on disk.
func (sim *coreSimulation) confirmStored(proc *coreProcess, state *consensus.State, requiredID string, done func(stored bool)) {
	check := &storedCheck{sim: sim, process: proc, state: state, members: state.Core, requiredID: requiredID, quorum: state.Quorum(), done: done}
	check.begin()
}

// catchUpNewMember asks until a process that is to become a member has stored the state on disk.
func (sim *coreSimulation) catchUpNewMember(proc *coreProcess, state *consensus.State, member consensus.Member, done func(stored bool)) {
	check := &storedCheck{sim: sim, process: proc, state: state, members: []consensus.Member{member}, requiredID: member.ID, invite: true, done: done}
	check.begin()
}

func (check *storedCheck) begin() {
	check.until, check.stored = check.sim.Now+membershipTimeout, map[string]bool{}
	check.round()
}

// round asks all members whose result is still open, and repeats that after an interval.
func (check *storedCheck) round() {
	if check.finished {
		return
	}
	if check.sim.Now >= check.until {
		check.end(false)
		return
	}
	for _, m := range check.members {
		if to := check.sim.byAddress[m.Address]; to != nil && !check.stored[m.ID] {
			check.request(to)
		}
	}
	check.sim.after(check.process, storedCheckInterval, check.round)
}

func (check *storedCheck) request(to *coreProcess) {
	incarnation := check.process.incarnation
	request := consensus.Request{Kind: consensus.Learn, Value: check.state}
	check.sim.send(message{from: check.process, to: to, deliver: func() {
		if check.invite && !to.acceptInvitation(check.sim.Now) {
			return
		}
		check.sim.handle(to, request, func(response consensus.Response) {
			check.sim.send(message{from: to, to: check.process, deliver: func() {
				if check.process.incarnation == incarnation {
					check.handleResponse(response)
				}
			}})
		})
	}})
}

// acceptInvitation reports whether the process will be a member. Once it accepts, it does not end before the change
// is settled.
func (proc *coreProcess) acceptInvitation(now int64) bool {
	if proc.leaving {
		return false
	}
	proc.invitedUntil = now + 2*membershipTimeout
	return true
}

func (check *storedCheck) handleResponse(response consensus.Response) {
	expected := slices.ContainsFunc(check.members, func(m consensus.Member) bool { return m.ID == response.ID })
	if check.finished || !expected || response.Index < check.state.Index {
		return
	}
	check.stored[response.ID] = true
	if check.satisfied() {
		check.end(true)
	}
}

func (check *storedCheck) satisfied() bool {
	if check.requiredID != "" && !check.stored[check.requiredID] {
		return false
	}
	return len(check.stored) >= check.quorum
}

func (check *storedCheck) end(stored bool) {
	check.finished = true
	check.done(stored)
}

// terminate handles a SIGTERM. A member hands its place to another process and ends. Without a successor, or when the
// grace period is over, it ends without a handover.
func (sim *coreSimulation) terminate(proc *coreProcess, ended func(handedOver bool)) {
	proc.leaving = true
	done := false
	end := func(handedOver bool) {
		if !done {
			done = true
			ended(handedOver)
		}
	}
	incarnation := proc.incarnation
	sim.After(sim.Grace, func() {
		if proc.isCurrent(incarnation) {
			end(false)
		}
	})
	if sim.LeaveFirst {
		end(false)
		return
	}
	sim.handOver(proc, end)
}

func (sim *coreSimulation) handOver(proc *coreProcess, end func(handedOver bool)) {
	retry := func() { sim.after(proc, handOverRetryInterval, func() { sim.handOver(proc, end) }) }
	state := proc.memory.Decided
	successor, ok := sim.successor(proc, state)
	switch {
	case proc.changing:
		retry()
	case !state.HasMember(proc.memory.ID):
		sim.leaveAsNonMember(proc, state, end, retry)
	case !ok:
		end(false)
	default:
		proc.changing = true
		sim.changeMembership(proc, state, consensus.MembershipChange{Remove: proc.memory.ID, Add: successor}, func(stored bool) {
			proc.changing = false
			if stored && !proc.memory.Decided.HasMember(proc.memory.ID) { // it may have been added again
				sim.result.HandOver++
				end(true)
				return
			}
			retry()
		})
	}
}

// leaveAsNonMember ends a process that is no member, once the members have stored the state that says so and no
// invitation is open.
func (sim *coreSimulation) leaveAsNonMember(proc *coreProcess, state *consensus.State, end func(bool), retry func()) {
	if len(state.Core) == 0 {
		end(true)
		return
	}
	sim.confirmStored(proc, state, "", func(stored bool) {
		if stored && sim.Now >= proc.invitedUntil && !proc.memory.Decided.HasMember(proc.memory.ID) {
			end(true)
			return
		}
		retry()
	})
}

// successor returns the first reachable process that is no member, to replace a leaving one.
func (sim *coreSimulation) successor(proc *coreProcess, state *consensus.State) (consensus.Member, bool) {
	for _, other := range sim.peerStatuses(proc) {
		if other.SilentFor < consensus.CandidateTimeout && !state.HasMember(other.ID) {
			return other.Member, true
		}
	}
	return consensus.Member{}, false
}

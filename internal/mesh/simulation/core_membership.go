package simulation

import (
	"slices"

	"ottershift/internal/mesh/consensus"
)

const (
	storedCheckInterval   = 100 * Ms // between two askings whether a state is held
	handOverRetryInterval = 100 * Ms // between two attempts of a leaving process to find a successor
)

// maintainMembership has the core take in who is to make it whole.
func (sim *coreSimulation) maintainMembership(proc *coreProcess, s *consensus.State) {
	wanted, is := s.PlanMembership(proc.member(), sim.peerStatuses(proc), sim.Now-proc.startedAt)
	if !is {
		return
	}
	proc.changing = true
	sim.changeMembership(proc, s, wanted, func(bool) { proc.changing = false })
}

// changeMembership carries a change of members out: a quorum holds what the last change led to, and the new member the
// state, before it is proposed; it is done when the new member and a quorum of the new core hold what was decided.
func (sim *coreSimulation) changeMembership(proc *coreProcess, s *consensus.State, wanted consensus.MembershipChange, done func(held bool)) {
	propose := func() {
		apply := func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(wanted), nil }
		sim.propose(proc, membershipTimeout, apply, func(o outcome) {
			if !o.decided || !membershipApplied(o.state, wanted) {
				done(false)
				return
			}
			sim.result.Adopted++
			if sim.EarlyMembership {
				done(true)
				return
			}
			sim.confirmStored(proc, o.state, wanted.Add.ID, done)
		})
	}
	if sim.EarlyMembership {
		propose()
		return
	}
	sim.confirmStored(proc, s, "", func(held bool) {
		if !held {
			done(false)
			return
		}
		sim.catchUpNewMember(proc, s, wanted.Add, func(held bool) {
			if !held {
				done(false)
				return
			}
			propose()
		})
	})
}

// membershipApplied reports whether a state is as a change of members wanted it. Another change may have taken the same new member
// in for another that leaves.
func membershipApplied(s *consensus.State, wanted consensus.MembershipChange) bool {
	return s.HasMember(wanted.Add.ID) && !s.HasMember(wanted.Remove)
}

// storedCheck counts who holds a state on disk.
type storedCheck struct {
	sim        *coreSimulation
	process    *coreProcess
	state      *consensus.State
	members    []consensus.Member
	requiredID string // an identity that has to hold it, empty for none
	quorum     int    // and so many of those asked
	invite     bool   // it is asked whether it will be a member, too: who leaves won't
	until      int64
	stored     map[string]bool
	finished   bool
	done       func(held bool)
}

// confirmStored asks until a quorum of a state's core, and the one named, hold it on disk.
func (sim *coreSimulation) confirmStored(proc *coreProcess, s *consensus.State, need string, done func(held bool)) {
	h := &storedCheck{sim: sim, process: proc, state: s, members: s.Core, requiredID: need, quorum: s.Quorum(), done: done}
	h.begin()
}

// catchUpNewMember asks until a process that is to be a member holds the state on disk.
func (sim *coreSimulation) catchUpNewMember(proc *coreProcess, s *consensus.State, m consensus.Member, done func(held bool)) {
	h := &storedCheck{sim: sim, process: proc, state: s, members: []consensus.Member{m}, requiredID: m.ID, invite: true, done: done}
	h.begin()
}

func (check *storedCheck) begin() {
	check.until, check.stored = check.sim.Now+membershipTimeout, map[string]bool{}
	check.round()
}

// round asks those of whom it is not known yet, and again after a while.
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

// acceptInvitation reports whether a process will be a member. Once it has said so it doesn't end before that is settled.
func (proc *coreProcess) acceptInvitation(now int64) bool {
	if proc.leaving {
		return false
	}
	proc.invitedUntil = now + 2*membershipTimeout
	return true
}

func (check *storedCheck) handleResponse(response consensus.Response) {
	isAsked := slices.ContainsFunc(check.members, func(m consensus.Member) bool { return m.ID == response.ID })
	if check.finished || !isAsked || response.Index < check.state.Index {
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

func (check *storedCheck) end(held bool) {
	check.finished = true
	check.done(held)
}

// terminate is a SIGTERM: a member hands its place over to a process that is there, and ends; without one, or after the
// grace, it ends as it is.
func (sim *coreSimulation) terminate(proc *coreProcess, ended func(handedOver bool)) {
	proc.leaving = true
	over := false
	end := func(handedOver bool) {
		if !over {
			over = true
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
	again := func() { sim.after(proc, handOverRetryInterval, func() { sim.handOver(proc, end) }) }
	s := proc.memory.Decided
	successor, is := sim.successor(proc, s)
	switch {
	case proc.changing:
		again()
	case !s.HasMember(proc.memory.ID):
		sim.leaveAsNonMember(proc, s, end, again)
	case !is:
		end(false)
	default:
		proc.changing = true
		sim.changeMembership(proc, s, consensus.MembershipChange{Remove: proc.memory.ID, Add: successor}, func(held bool) {
			proc.changing = false
			if held && !proc.memory.Decided.HasMember(proc.memory.ID) { // it may have been taken in again
				sim.result.HandOver++
				end(true)
				return
			}
			again()
		})
	}
}

// leaveAsNonMember ends a process that is no member, once those who are hold the state that says so and no invitation is
// open.
func (sim *coreSimulation) leaveAsNonMember(proc *coreProcess, s *consensus.State, end func(bool), again func()) {
	if len(s.Core) == 0 {
		end(true)
		return
	}
	sim.confirmStored(proc, s, "", func(held bool) {
		if held && sim.Now >= proc.invitedUntil && !proc.memory.Decided.HasMember(proc.memory.ID) {
			end(true)
			return
		}
		again()
	})
}

// successor is who takes a leaving member's place: the first process that is there and is no member.
func (sim *coreSimulation) successor(proc *coreProcess, s *consensus.State) (consensus.Member, bool) {
	for _, other := range sim.peerStatuses(proc) {
		if other.SilentFor < consensus.CandidateTimeout && !s.HasMember(other.ID) {
			return other.Member, true
		}
	}
	return consensus.Member{}, false
}

package simulation

import (
	"slices"

	"ottershift/internal/mesh/consensus"
)

const (
	holdInterval  = 100 * Ms // between two askings whether a state is held
	leaveInterval = 100 * Ms // between two attempts of a leaving process to find a successor
)

// maintainMembership has the core take in who is to make it whole.
func (w *coreWorld) maintainMembership(b *coreProcess, s *consensus.State) {
	wanted, is := s.PlanMembership(b.member(), w.peerStatuses(b), w.Now-b.since)
	if !is {
		return
	}
	b.acting = true
	w.changeMembership(b, s, wanted, func(bool) { b.acting = false })
}

// changeMembership carries a change of members out: a quorum holds what the last change led to, and the new member the
// state, before it is proposed; it is done when the new member and a quorum of the new core hold what was decided.
func (w *coreWorld) changeMembership(b *coreProcess, s *consensus.State, wanted consensus.MembershipChange, done func(held bool)) {
	propose := func() {
		apply := func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(wanted), nil }
		w.propose(b, ownTimeout, apply, func(o outcome) {
			if !o.decided || !carriedOut(o.state, wanted) {
				done(false)
				return
			}
			w.day.Adopted++
			if w.EarlyMembership {
				done(true)
				return
			}
			w.confirmHeld(b, o.state, wanted.Add.ID, done)
		})
	}
	if w.EarlyMembership {
		propose()
		return
	}
	w.confirmHeld(b, s, "", func(held bool) {
		if !held {
			done(false)
			return
		}
		w.catchUpNewMember(b, s, wanted.Add, func(held bool) {
			if !held {
				done(false)
				return
			}
			propose()
		})
	})
}

// carriedOut reports whether a state is as a change of members wanted it. Another change may have taken the same new member
// in for another that leaves.
func carriedOut(s *consensus.State, wanted consensus.MembershipChange) bool {
	return s.HasMember(wanted.Add.ID) && !s.HasMember(wanted.Remove)
}

// holding counts who holds a state on disk.
type holding struct {
	w      *coreWorld
	by     *coreProcess
	state  *consensus.State
	ask    []consensus.Member
	need   string // an identity that has to hold it, empty for none
	quorum int    // and so many of those asked
	invite bool   // it is asked whether it will be a member, too: who leaves won't
	until  int64
	held   map[string]bool
	over   bool
	done   func(held bool)
}

// confirmHeld asks until a quorum of a state's core, and the one named, hold it on disk.
func (w *coreWorld) confirmHeld(b *coreProcess, s *consensus.State, need string, done func(held bool)) {
	h := &holding{w: w, by: b, state: s, ask: s.Core, need: need, quorum: s.Quorum(), done: done}
	h.begin()
}

// catchUpNewMember asks until a process that is to be a member holds the state on disk.
func (w *coreWorld) catchUpNewMember(b *coreProcess, s *consensus.State, m consensus.Member, done func(held bool)) {
	h := &holding{w: w, by: b, state: s, ask: []consensus.Member{m}, need: m.ID, invite: true, done: done}
	h.begin()
}

func (h *holding) begin() {
	h.until, h.held = h.w.Now+ownTimeout, map[string]bool{}
	h.round()
}

// round asks those of whom it is not known yet, and again after a while.
func (h *holding) round() {
	if h.over {
		return
	}
	if h.w.Now >= h.until {
		h.end(false)
		return
	}
	for _, m := range h.ask {
		if to := h.w.byAddress[m.Address]; to != nil && !h.held[m.ID] {
			h.request(to)
		}
	}
	h.w.after(h.by, holdInterval, h.round)
}

func (h *holding) request(to *coreProcess) {
	life := h.by.life
	request := consensus.Request{Kind: consensus.Learn, Value: h.state}
	h.w.send(message{from: h.by, to: to, deliver: func() {
		if h.invite && !to.acceptInvitation(h.w.Now) {
			return
		}
		h.w.handle(to, request, func(response consensus.Response) {
			h.w.send(message{from: to, to: h.by, deliver: func() {
				if h.by.life == life {
					h.note(response)
				}
			}})
		})
	}})
}

// acceptInvitation reports whether a process will be a member. Once it has said so it doesn't end before that is settled.
func (b *coreProcess) acceptInvitation(now int64) bool {
	if b.leaving {
		return false
	}
	b.invitedUntil = now + 2*ownTimeout
	return true
}

func (h *holding) note(response consensus.Response) {
	isAsked := slices.ContainsFunc(h.ask, func(m consensus.Member) bool { return m.ID == response.ID })
	if h.over || !isAsked || response.Index < h.state.Index {
		return
	}
	h.held[response.ID] = true
	if h.enough() {
		h.end(true)
	}
}

func (h *holding) enough() bool {
	if h.need != "" && !h.held[h.need] {
		return false
	}
	return len(h.held) >= h.quorum
}

func (h *holding) end(held bool) {
	h.over = true
	h.done(held)
}

// terminate is a SIGTERM: a member hands its place over to a process that is there, and ends; without one, or after the
// grace, it ends as it is.
func (w *coreWorld) terminate(b *coreProcess, ended func(handedOver bool)) {
	b.leaving = true
	over := false
	end := func(handedOver bool) {
		if !over {
			over = true
			ended(handedOver)
		}
	}
	life := b.life
	w.After(w.Grace, func() {
		if b.alive(life) {
			end(false)
		}
	})
	if w.LeaveFirst {
		end(false)
		return
	}
	w.handOver(b, end)
}

func (w *coreWorld) handOver(b *coreProcess, end func(handedOver bool)) {
	again := func() { w.after(b, leaveInterval, func() { w.handOver(b, end) }) }
	s := b.memory.Decided
	successor, is := w.successor(b, s)
	switch {
	case b.acting:
		again()
	case !s.HasMember(b.memory.ID):
		w.leaveAsStranger(b, s, end, again)
	case !is:
		end(false)
	default:
		b.acting = true
		w.changeMembership(b, s, consensus.MembershipChange{Remove: b.memory.ID, Add: successor}, func(held bool) {
			b.acting = false
			if held && !b.memory.Decided.HasMember(b.memory.ID) { // it may have been taken in again
				w.day.HandOver++
				end(true)
				return
			}
			again()
		})
	}
}

// leaveAsStranger ends a process that is no member, once those who are hold the state that says so and no invitation is
// open.
func (w *coreWorld) leaveAsStranger(b *coreProcess, s *consensus.State, end func(bool), again func()) {
	if len(s.Core) == 0 {
		end(true)
		return
	}
	w.confirmHeld(b, s, "", func(held bool) {
		if held && w.Now >= b.invitedUntil && !b.memory.Decided.HasMember(b.memory.ID) {
			end(true)
			return
		}
		again()
	})
}

// successor is who takes a leaving member's place: the first process that is there and is no member.
func (w *coreWorld) successor(b *coreProcess, s *consensus.State) (consensus.Member, bool) {
	for _, other := range w.peerStatuses(b) {
		if other.SilentFor < consensus.CandidateTimeout && !s.HasMember(other.ID) {
			return other.Member, true
		}
	}
	return consensus.Member{}, false
}

package controller

import "ottershift/internal/mesh/consensus"

// changeDoubt is what a change has proposed for a slot without hearing of the end. The zero value is no doubt.
type changeDoubt struct {
	slot    uint64
	ballots map[consensus.Ballot]bool
}

// add notes a proposal whose end is not known.
func (d *changeDoubt) add(slot uint64, ballot consensus.Ballot) {
	if d.slot != slot || d.ballots == nil {
		*d = changeDoubt{slot: slot, ballots: map[consensus.Ballot]bool{}}
	}
	d.ballots[ballot] = true
}

// decided reports whether a decided state is one that the change has proposed.
func (d *changeDoubt) decided(s *consensus.State) bool {
	return s.Index == d.slot && d.ballots[s.Origin]
}

// lasting reports whether a decided state leaves it open for ever whether the change was decided: the slot in doubt was
// passed over, or a process of the version before, which keeps no origins, decided it. A slot that another change has won
// ends the doubt.
func (d *changeDoubt) lasting(s *consensus.State) bool {
	if len(d.ballots) == 0 || s.Index < d.slot {
		return false
	}
	if s.Index == d.slot && s.Origin != (consensus.Ballot{}) {
		*d = changeDoubt{}
		return false
	}
	return true
}

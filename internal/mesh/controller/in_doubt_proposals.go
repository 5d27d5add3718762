package controller

import "ottershift/internal/mesh/consensus"

// inDoubtProposals are the proposals of a change for one slot whose outcome is unknown. The zero value holds none.
type inDoubtProposals struct {
	slot    uint64
	ballots map[consensus.Ballot]bool
}

// add records a proposal whose outcome is unknown.
func (p *inDoubtProposals) add(slot uint64, ballot consensus.Ballot) {
	if p.slot != slot || p.ballots == nil {
		*p = inDoubtProposals{slot: slot, ballots: map[consensus.Ballot]bool{}}
	}
	p.ballots[ballot] = true
}

// decided reports whether a decided state is one of the proposals.
func (p *inDoubtProposals) decided(state *consensus.State) bool {
	return state.Index == p.slot && p.ballots[state.Origin]
}

// unresolvable reports whether a decided state leaves the outcome unknown for good: this replica has skipped the slot
// in doubt, or a controller of the previous release, which does not record origins, decided it. If another change has
// won the slot, the proposals are no longer in doubt and are dropped.
func (p *inDoubtProposals) unresolvable(state *consensus.State) bool {
	if len(p.ballots) == 0 || state.Index < p.slot {
		return false
	}
	if state.Index == p.slot && state.Origin != (consensus.Ballot{}) {
		*p = inDoubtProposals{}
		return false
	}
	return true
}

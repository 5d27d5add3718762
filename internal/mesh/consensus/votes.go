package consensus

// Tally counts answers of members to one step of an attempt at the slot after a state. Only identities of that state's
// core count, each once.
type VoteCount struct {
	base            *State
	granted         map[string]bool
	refused         map[string]bool
	highestAccepted *AcceptedValue
	ahead           *State // decided later than the state
	highestBallot   Ballot
	pending         bool // somebody has accepted something for the slot
	behind          bool // a member has not heard of the state
}

// NewTally starts a count.
func NewVoteCount(base *State) *VoteCount {
	return &VoteCount{base: base, granted: map[string]bool{}, refused: map[string]bool{}}
}

// Add counts an answer.
func (v *VoteCount) Add(response Response) {
	if response.Decided != nil && response.Decided.Index > v.base.Index && (v.ahead == nil || response.Decided.Index > v.ahead.Index) {
		v.ahead = response.Decided
	}
	if v.highestBallot.Below(response.Promised) {
		v.highestBallot = response.Promised
	}
	if !v.base.HasMember(response.ID) {
		return
	}
	v.pending = v.pending || response.Pending && response.Index == v.base.Index
	v.behind = v.behind || response.Index < v.base.Index
	if !response.OK || response.Index != v.base.Index {
		v.refused[response.ID] = true
		return
	}
	v.granted[response.ID] = true
	if response.Accepted != nil && (v.highestAccepted == nil || v.highestAccepted.Ballot.Below(response.Accepted.Ballot)) {
		v.highestAccepted = response.Accepted
	}
}

// Promised reports whether a majority has: enough to meet any quorum that accepts.
func (v *VoteCount) Promised() bool { return len(v.granted) >= v.base.Majority() }

// Accepted reports whether a quorum has.
func (v *VoteCount) Accepted() bool { return len(v.granted) >= v.base.Quorum() }

// CannotReach reports whether so many can't agree any more.
func (v *VoteCount) CannotReach(required int) bool { return len(v.base.Core)-len(v.refused) < required }

// Refused reports whether any has refused.
func (v *VoteCount) Refused() bool { return len(v.refused) > 0 }

// Pending reports whether something is accepted for the slot.
func (v *VoteCount) Pending() bool { return v.pending }

// Behind reports whether a member has not heard of the state.
func (v *VoteCount) Behind() bool { return v.behind }

// High is the highest ballot that was seen.
func (v *VoteCount) HighestBallot() Ballot { return v.highestBallot }

// Ahead is a later decided state that somebody told, nil for none.
func (v *VoteCount) Ahead() *State { return v.ahead }

// Best is what was accepted under the highest ballot: an attempt has to go on with it.
func (v *VoteCount) HighestAccepted() *AcceptedValue { return v.highestAccepted }

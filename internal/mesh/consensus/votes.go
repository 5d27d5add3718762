package consensus

// VoteCount counts the responses to one request about the slot after a base state. Only members of the core of the base
// state are counted, each once.
type VoteCount struct {
	base            *State
	granted         map[string]bool // by member ID
	refused         map[string]bool // by member ID
	highestAccepted *AcceptedValue
	ahead           *State // a decided state later than the base
	highestBallot   Ballot
	pending         bool // a member has accepted a value for the slot
	behind          bool // a member does not have the base state yet
}

// NewVoteCount returns an empty count for the core of a base state.
func NewVoteCount(base *State) *VoteCount {
	return &VoteCount{base: base, granted: map[string]bool{}, refused: map[string]bool{}}
}

// Add counts a response.
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

// Promised reports whether a majority has granted the request, which intersects with every quorum that accepts a value.
func (v *VoteCount) Promised() bool { return len(v.granted) >= v.base.Majority() }

// Accepted reports whether a quorum has granted the request.
func (v *VoteCount) Accepted() bool { return len(v.granted) >= v.base.Quorum() }

// CannotReach reports whether the required number of members can no longer grant the request.
func (v *VoteCount) CannotReach(required int) bool { return len(v.base.Core)-len(v.refused) < required }

// Refused reports whether any member has refused the request.
func (v *VoteCount) Refused() bool { return len(v.refused) > 0 }

// Pending reports whether a member has accepted a value for the slot.
func (v *VoteCount) Pending() bool { return v.pending }

// Behind reports whether a member does not have the base state yet.
func (v *VoteCount) Behind() bool { return v.behind }

// HighestBallot returns the highest ballot that any response promised.
func (v *VoteCount) HighestBallot() Ballot { return v.highestBallot }

// Ahead returns the latest decided state that a response contained after the base, or nil.
func (v *VoteCount) Ahead() *State { return v.ahead }

// HighestAccepted returns the value accepted with the highest ballot, or nil. A proposal has to continue with this
// value.
func (v *VoteCount) HighestAccepted() *AcceptedValue { return v.highestAccepted }

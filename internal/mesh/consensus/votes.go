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
func NewVoteCount(of *State) *VoteCount {
	return &VoteCount{base: of, granted: map[string]bool{}, refused: map[string]bool{}}
}

// Add counts an answer.
func (t *VoteCount) Add(a Response) {
	if a.Decided != nil && a.Decided.Index > t.base.Index && (t.ahead == nil || a.Decided.Index > t.ahead.Index) {
		t.ahead = a.Decided
	}
	if t.highestBallot.Below(a.Promised) {
		t.highestBallot = a.Promised
	}
	if !t.base.HasMember(a.ID) {
		return
	}
	t.pending = t.pending || a.Pending && a.Index == t.base.Index
	t.behind = t.behind || a.Index < t.base.Index
	if !a.OK || a.Index != t.base.Index {
		t.refused[a.ID] = true
		return
	}
	t.granted[a.ID] = true
	if a.Accepted != nil && (t.highestAccepted == nil || t.highestAccepted.Ballot.Below(a.Accepted.Ballot)) {
		t.highestAccepted = a.Accepted
	}
}

// Promised reports whether a majority has: enough to meet any quorum that accepts.
func (t *VoteCount) Promised() bool { return len(t.granted) >= t.base.Majority() }

// Accepted reports whether a quorum has.
func (t *VoteCount) Accepted() bool { return len(t.granted) >= t.base.Quorum() }

// Lost reports whether so many can't agree any more.
func (t *VoteCount) Lost(need int) bool { return len(t.base.Core)-len(t.refused) < need }

// Refused reports whether any has refused.
func (t *VoteCount) Refused() bool { return len(t.refused) > 0 }

// Pending reports whether something is accepted for the slot.
func (t *VoteCount) Pending() bool { return t.pending }

// Behind reports whether a member has not heard of the state.
func (t *VoteCount) Behind() bool { return t.behind }

// High is the highest ballot that was seen.
func (t *VoteCount) HighestBallot() Ballot { return t.highestBallot }

// Ahead is a later decided state that somebody told, nil for none.
func (t *VoteCount) Ahead() *State { return t.ahead }

// Best is what was accepted under the highest ballot: an attempt has to go on with it.
func (t *VoteCount) HighestAccepted() *AcceptedValue { return t.highestAccepted }

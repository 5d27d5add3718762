package consensus

// MajorityRead asks the core whether a state is the newest one.
type MajorityRead struct {
	base  *State
	votes *VoteCount
}

// NewMajorityRead starts a read and returns the request to send to all members of the base state's core.
func NewMajorityRead(base *State) (*MajorityRead, Request) {
	return &MajorityRead{base, NewVoteCount(base)}, Request{Kind: ReadState, Slot: base.Index}
}

// HandleResponse processes a response. The result done is true once the outcome no longer depends on further responses.
func (r *MajorityRead) HandleResponse(response Response) (done bool) {
	if response.Kind != ReadState || response.Slot != r.base.Index {
		return false
	}
	r.votes.Add(response)
	return r.votes.Promised() || r.votes.Ahead() != nil || r.votes.CannotReach(r.base.Majority())
}

// Newest reports whether a majority has confirmed that no successor of the state is decided or accepted.
func (r *MajorityRead) Newest() bool { return r.Current() && !r.votes.Pending() }

// Current reports whether a majority has not seen a decided successor of the state.
func (r *MajorityRead) Current() bool { return r.votes.Ahead() == nil && r.votes.Promised() }

// Pending reports whether a member has accepted a value for the next slot.
func (r *MajorityRead) Pending() bool { return r.votes.Pending() }

// Ahead returns a later decided state, or nil if no response contained one.
func (r *MajorityRead) Ahead() *State { return r.votes.Ahead() }

// MajorityAnswered reports whether a majority has responded, whether it confirmed the state or not.
func (r *MajorityRead) MajorityAnswered() bool {
	return len(r.votes.granted)+len(r.votes.refused) >= r.base.Majority()
}

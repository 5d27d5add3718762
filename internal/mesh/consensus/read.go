package consensus

// MajorityRead is a question to the core: is a state the newest?
type MajorityRead struct {
	base  *State
	votes *VoteCount
}

// NewMajorityRead begins a read; the request goes to all of the state's core.
func NewMajorityRead(base *State) (*MajorityRead, Request) {
	return &MajorityRead{base, NewVoteCount(base)}, Request{Kind: ReadState, Slot: base.Index}
}

// HandleResponse takes a response; done says that the others can't change what is known.
func (r *MajorityRead) HandleResponse(response Response) (done bool) {
	if response.Kind != ReadState || response.Slot != r.base.Index {
		return false
	}
	r.votes.Add(response)
	return r.votes.Promised() || r.votes.Ahead() != nil || r.votes.CannotReach(r.base.Majority())
}

// Newest reports whether a majority says that nothing came after the state.
func (r *MajorityRead) Newest() bool { return r.Current() && !r.votes.Pending() }

// Current reports whether a majority has not seen anything decided after it.
func (r *MajorityRead) Current() bool { return r.votes.Ahead() == nil && r.votes.Promised() }

// Pending reports whether something stands accepted.
func (r *MajorityRead) Pending() bool { return r.votes.Pending() }

// Ahead is a later decided state, nil for none.
func (r *MajorityRead) Ahead() *State { return r.votes.Ahead() }

// MajorityAnswered reports whether a majority has answered at all, whatever it said.
func (r *MajorityRead) MajorityAnswered() bool {
	return len(r.votes.granted)+len(r.votes.refused) >= r.base.Majority()
}

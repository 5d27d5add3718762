package consensus

// MajorityRead is a question to the core: is a state the newest?
type MajorityRead struct {
	base  *State
	votes *VoteCount
}

// NewMajorityRead begins a read; the request goes to all of the state's core.
func NewMajorityRead(of *State) (*MajorityRead, Request) {
	return &MajorityRead{of, NewVoteCount(of)}, Request{Kind: ReadState, Slot: of.Index}
}

// HandleResponse takes a response; done says that the others can't change what is known.
func (r *MajorityRead) HandleResponse(a Response) (done bool) {
	if a.Kind != ReadState || a.Slot != r.base.Index {
		return false
	}
	r.votes.Add(a)
	return r.votes.Promised() || r.votes.Ahead() != nil || r.votes.Lost(r.base.Majority())
}

// Newest reports whether a majority says that nothing came after the state.
func (r *MajorityRead) Newest() bool { return r.Current() && !r.votes.Pending() }

// Current reports whether a majority has not seen anything decided after it.
func (r *MajorityRead) Current() bool { return r.votes.Ahead() == nil && r.votes.Promised() }

// Pending reports whether something stands accepted.
func (r *MajorityRead) Pending() bool { return r.votes.Pending() }

// Ahead is a later decided state, nil for none.
func (r *MajorityRead) Ahead() *State { return r.votes.Ahead() }

// Heard reports whether a majority has answered at all, whatever it said.
func (r *MajorityRead) Heard() bool {
	return len(r.votes.granted)+len(r.votes.refused) >= r.base.Majority()
}

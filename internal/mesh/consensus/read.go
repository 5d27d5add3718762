package consensus

// Reading is a look at the core: is a state the newest?
type MajorityRead struct {
	base  *State
	votes *VoteCount
}

// Read begins a look; the ask goes to all of the state's core.
func NewMajorityRead(of *State) (*MajorityRead, Request) {
	return &MajorityRead{of, NewVoteCount(of)}, Request{Kind: ReadState, Slot: of.Index}
}

// Take takes an answer; done says that a majority has spoken or somebody is ahead.
func (r *MajorityRead) HandleResponse(a Response) (done bool) {
	if a.Kind != ReadState || a.Slot != r.base.Index {
		return false
	}
	r.votes.Add(a)
	return r.votes.Promised() || r.votes.Ahead() != nil
}

// Newest reports whether a majority says that nothing came after the state.
func (r *MajorityRead) Newest() bool {
	return r.votes.Ahead() == nil && r.votes.Promised() && !r.votes.Pending()
}

// Current reports whether a majority has not seen anything decided after it.
func (r *MajorityRead) Current() bool { return r.votes.Ahead() == nil && r.votes.Promised() }

// Pending reports whether something stands accepted.
func (r *MajorityRead) Pending() bool { return r.votes.Pending() }

// Ahead is a later decided state, nil for none.
func (r *MajorityRead) Ahead() *State { return r.votes.Ahead() }

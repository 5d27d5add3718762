package consensus

// Step is the next action that a proposal requires.
type Step uint8

// Steps of a proposal.
const (
	StepWait      Step = iota // wait for more responses
	StepSend                  // send Request to all members of the core
	StepAhead                 // a later state has been decided: start again from State
	StepBehind                // members do not have the base state yet: send it to them and start again
	StepLost                  // no quorum is possible with this ballot: start again with a higher one
	StepUnchanged             // the transform function made no change to the base, which is the newest state
	StepDecided               // State is decided; Own tells whether it is the result of the transform function
)

// Proposal is one attempt to decide the slot after a base state, from the prepare phase to the decision.
type Proposal struct {
	base      *State
	transform func(*State) (*State, error)
	request   Request
	votes     *VoteCount
	State     *State
	Own       bool
	Err       error
	Round     uint64 // the highest round seen in responses
	finished  bool
}

// Propose starts a proposal and returns the request to send to all members of the base state's core. The transform
// function is called once the base is known to be the newest state, unless the proposal has to continue with a value
// that was accepted earlier.
func Propose(base *State, ballot Ballot, transform func(*State) (*State, error)) (*Proposal, Request) {
	p := &Proposal{base: base, transform: transform, votes: NewVoteCount(base)}
	p.request = Request{Kind: Prepare, Slot: base.Index + 1, Ballot: ballot}
	return p, p.request
}

// Request returns the current request of the proposal.
func (p *Proposal) Request() Request { return p.request }

// HandleResponse processes a response. Responses to another request than the current one are ignored.
func (p *Proposal) HandleResponse(response Response) Step {
	if p.finished || response.Kind != p.request.Kind || response.Slot != p.request.Slot {
		return StepWait
	}
	p.votes.Add(response)
	p.Round = max(p.Round, p.votes.HighestBallot().Round)
	if ahead := p.votes.Ahead(); ahead != nil {
		p.State, p.finished = ahead, true
		return StepAhead
	}
	if p.request.Kind == Accept {
		switch {
		case p.votes.Accepted():
			p.finished = true
			return StepDecided
		case p.votes.CannotReach(p.base.Quorum()):
			p.finished = true
			return StepLost
		}
		return StepWait
	}
	switch {
	case p.votes.Promised():
		// The base is the newest state here: one of the members that promised would have reported a later decision.
		if accepted := p.votes.HighestAccepted(); accepted != nil {
			p.State = accepted.Value
		} else if p.State, p.Err = p.transform(p.base); p.Err != nil || p.State == nil {
			p.State, p.finished = p.base, true
			return StepUnchanged
		} else {
			p.State, p.Own = p.State.withOrigin(p.request.Ballot), true
		}
		p.request = Request{Kind: Accept, Slot: p.base.Index + 1, Ballot: p.request.Ballot, Value: p.State}
		p.votes = NewVoteCount(p.base)
		return StepSend
	case p.votes.CannotReach(p.base.Majority()):
		return p.GiveUp()
	}
	return StepWait
}

// Refused reports whether a member has refused the current request. The other members may still form a quorum.
func (p *Proposal) Refused() bool { return p.votes.Refused() }

// GiveUp ends a proposal without waiting for further responses and returns the step to take before the next proposal.
func (p *Proposal) GiveUp() Step {
	p.finished = true
	if p.votes.Behind() {
		return StepBehind
	}
	return StepLost
}

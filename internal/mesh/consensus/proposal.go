package consensus

// Step is what a proposal wants next.
type Step uint8

// The steps.
const (
	StepWait      Step = iota // for more answers
	StepSend                  // Request, to all of the core
	StepAhead                 // a later state is decided: State; begin again on top of it
	StepBehind                // members have not heard of the state: tell them, begin again
	StepLost                  // no quorum comes about under this ballot; begin again under a higher one
	StepUnchanged             // the function wanted nothing more of the state, which is the newest
	StepDecided               // State is decided; Own says whether it is the function's
)

// Proposal is one attempt at the slot after a state, from a promise to a decision.
type Proposal struct {
	base      *State
	transform func(*State) (*State, error)
	request   Request
	votes     *VoteCount
	State     *State
	Own       bool
	Err       error
	Round     uint64 // the highest that was seen
	finished  bool
}

// Propose begins an attempt; the request goes to all of the state's core. The function is called once the state is the
// newest beyond doubt, unless somebody's value has to be gone on with.
func Propose(base *State, ballot Ballot, transform func(*State) (*State, error)) (*Proposal, Request) {
	p := &Proposal{base: base, transform: transform, votes: NewVoteCount(base)}
	p.request = Request{Kind: Prepare, Slot: base.Index + 1, Ballot: ballot}
	return p, p.request
}

// Request is what is being asked.
func (p *Proposal) Request() Request { return p.request }

// HandleResponse takes a response. Those to another request than the last say nothing.
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
		// From here the state is the newest: whatever came after it would have been seen by one of those who promised.
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

// Refused reports whether a member has refused what is asked. The others may yet be enough, if they answer.
func (p *Proposal) Refused() bool { return p.votes.Refused() }

// GiveUp ends an attempt for which no further responses are waited, and is what has to be done before the next.
func (p *Proposal) GiveUp() Step {
	p.finished = true
	if p.votes.Behind() {
		return StepBehind
	}
	return StepLost
}

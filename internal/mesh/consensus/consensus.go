// Package consensus is how the core agrees: one state, replaced whole, slot after slot. Each slot is decided by Paxos among
// the members that the state before it names, so that the core itself is part of what is agreed. It does no I/O and
// reads no clock: Copy is an acceptor's record and its answers, Proposal one proposer's attempt.
//
// What is decided in slot n was accepted, synced, by a quorum of the core of state n-1. A quorum is a majority, and no
// fewer than Tolerate+1, so that what counts outlives as many lost disks. A member is known by the identity of its
// disk: a wiped disk comes back under a new one, which counts only once an agreed change has put it into the core.
package consensus

import (
	"encoding/json"
	"slices"
	"strings"
)

// Ballot orders the attempts at a slot.
type Ballot struct {
	Round uint64
	By    string // of one life of one process
}

// Below reports whether b comes before c.
func (b Ballot) Below(c Ballot) bool { return b.Round < c.Round || b.Round == c.Round && b.By < c.By }

// Member is one disk of the core.
type Member struct {
	ID   string
	At   string // its process's address
	Zone string
}

// Taken is a change that was taken, known by its digest.
type AppliedChange struct {
	Edition int64
	Digest  string
}

// Coordinator is the process that has the duties that one does, in one of its lives.
type Coordinator struct{ ID, Life, At string }

const maxAppliedChanges = 64

// State is all that is agreed.
type State struct {
	Index          uint64
	Core           []Member
	Tolerate       int
	Edition        int64           // of the configuration; 0 before the first
	Configuration  json.RawMessage `json:"Timetable"`
	AppliedChanges []AppliedChange `json:"Taken"`
	Members        int             // balancers, by which what all may spend is shared out
	Coordinator    Coordinator     `json:"Queen"`
	Epoch          uint64          `json:"Reign"`      // its number
	Credit         json.RawMessage `json:",omitempty"` // tenants' accounts (burstcredit)
	Imports        json.RawMessage `json:",omitempty"` // what partners let in (federation)
}

// Majority is how many of the core meet any quorum.
func (s *State) Majority() int { return len(s.Core)/2 + 1 }

// Quorum is how many of the core have to accept.
func (s *State) Quorum() int { return max(s.Majority(), min(s.Tolerate+1, len(s.Core))) }

// Has is a member by identity.
func (s *State) HasMember(id string) bool {
	return slices.ContainsFunc(s.Core, func(m Member) bool { return m.ID == id })
}

// Was reports whether that very change has been taken.
func (s *State) HasApplied(edition int64, digest string) bool {
	return slices.Contains(s.AppliedChanges, AppliedChange{edition, digest})
}

// Put is the state after a change of the configuration.
func (s *State) WithConfiguration(edition int64, doc json.RawMessage, digest string) *State {
	next := s.successor()
	next.Edition, next.Configuration = edition, doc
	next.AppliedChanges = append(slices.Clone(s.AppliedChanges), AppliedChange{edition, digest})
	if len(next.AppliedChanges) > maxAppliedChanges {
		next.AppliedChanges = next.AppliedChanges[len(next.AppliedChanges)-maxAppliedChanges:]
	}
	return next
}

// Swap is the state after a member has made room for another; an empty one to be replaced only adds.
func (s *State) ReplaceMember(old string, by Member) *State {
	next := s.successor()
	next.Core = slices.DeleteFunc(slices.Clone(s.Core), func(m Member) bool { return m.ID == old || m.ID == by.ID })
	next.Core = append(next.Core, by)
	slices.SortFunc(next.Core, byID)
	return next
}

// Crown is the state after a process has taken the duties over.
func (s *State) Appoint(q Coordinator) *State {
	next := s.successor()
	next.Coordinator, next.Epoch = q, s.Epoch+1
	return next
}

// Save is the state after the accounts have changed.
func (s *State) WithCredit(credit json.RawMessage) *State {
	next := s.successor()
	next.Credit = credit
	return next
}

// Import is the state after a partner's word has changed.
func (s *State) WithImports(imports json.RawMessage) *State {
	next := s.successor()
	next.Imports = imports
	return next
}

// Count is the state after a census of the balancers.
func (s *State) WithMembers(members int) *State {
	next := s.successor()
	next.Members = members
	return next
}

func (s *State) successor() *State {
	next := *s
	next.Index++
	return &next
}

// Voted is a value that was accepted under a ballot.
type AcceptedValue struct {
	Ballot Ballot
	Value  *State
}

// Copy is what a core process keeps on disk.
type Replica struct {
	ID       string // of this disk
	Decided  *State
	Promised Ballot         // for the slot after it
	Accepted *AcceptedValue // for the same
}

// What is asked of a copy.
const (
	ReadState = "look"    // where it stands; nothing is kept of it
	Prepare   = "prepare" // promise a slot
	Accept    = "accept"  // accept a value
	Learn     = "learn"   // a value is decided
)

// Ask is a message to a copy.
type Request struct {
	Kind   string
	Slot   uint64 `json:",omitempty"`
	Ballot Ballot
	Value  *State `json:",omitempty"`
}

// Answer is what a copy says.
type Response struct {
	Kind     string `json:"To"` // the kind of ask
	Slot     uint64 // that it asked for
	ID       string
	Index    uint64 // decided
	OK       bool
	Promised Ballot
	Pending  bool           // something is accepted for the next slot
	Accepted *AcceptedValue `json:",omitempty"`
	Decided  *State         `json:",omitempty"` // to who is behind
}

// Handle answers an ask; keep says that the copy has changed and must be synced before the answer leaves.
func (c *Replica) Handle(a Request) (out Response, keep bool) {
	out = Response{Kind: a.Kind, Slot: a.Slot, ID: c.ID, Index: c.Decided.Index}
	switch a.Kind {
	case Prepare:
		switch {
		case a.Slot <= c.Decided.Index:
			out.Decided = c.Decided
		case a.Slot == c.Decided.Index+1 && c.Promised.Below(a.Ballot):
			c.Promised, out.OK, keep = a.Ballot, true, true
			out.Accepted = c.Accepted
		}
	case Accept:
		switch {
		case a.Slot <= c.Decided.Index:
			out.Decided = c.Decided
		case a.Slot == c.Decided.Index+1 && !a.Ballot.Below(c.Promised) && a.Value != nil && a.Value.Index == a.Slot:
			c.Promised, c.Accepted = a.Ballot, &AcceptedValue{a.Ballot, a.Value}
			out.OK, keep = true, true
		}
	case Learn:
		if a.Value != nil && a.Value.Index > c.Decided.Index {
			c.Decided, c.Promised, c.Accepted = a.Value, Ballot{}, nil
			keep = true
		}
		out.OK = true
	case ReadState:
		out.OK = true
		if a.Slot < c.Decided.Index {
			out.Decided = c.Decided
		}
	}
	out.Index, out.Promised, out.Pending = c.Decided.Index, c.Promised, c.Accepted != nil
	return out, keep
}

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

// Step is what a proposal wants next.
type Step uint8

// The steps.
const (
	StepWait      Step = iota // for more answers
	StepSend                  // Ask, to all of the core
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
	closed    bool
}

// Propose begins an attempt; the ask goes to all of the state's core. The function is called once the state is the
// newest beyond doubt, unless somebody's value has to be gone on with.
func Propose(of *State, b Ballot, what func(*State) (*State, error)) (*Proposal, Request) {
	p := &Proposal{base: of, transform: what, votes: NewVoteCount(of)}
	p.request = Request{Kind: Prepare, Slot: of.Index + 1, Ballot: b}
	return p, p.request
}

// Ask is what is being asked.
func (p *Proposal) Request() Request { return p.request }

// Take takes an answer. Those to another ask than the last say nothing.
func (p *Proposal) HandleResponse(a Response) Step {
	if p.closed || a.Kind != p.request.Kind || a.Slot != p.request.Slot {
		return StepWait
	}
	p.votes.Add(a)
	p.Round = max(p.Round, p.votes.HighestBallot().Round)
	if ahead := p.votes.Ahead(); ahead != nil {
		p.State, p.closed = ahead, true
		return StepAhead
	}
	if p.request.Kind == Accept {
		switch {
		case p.votes.Accepted():
			p.closed = true
			return StepDecided
		case p.votes.Lost(p.base.Quorum()):
			p.closed = true
			return StepLost
		}
		return StepWait
	}
	switch {
	case p.votes.Promised():
		// From here the state is the newest: whatever came after it would have been seen by one of those who promised.
		if best := p.votes.HighestAccepted(); best != nil {
			p.State = best.Value
		} else if p.State, p.Err = p.transform(p.base); p.Err != nil || p.State == nil {
			p.State, p.closed = p.base, true
			return StepUnchanged
		} else {
			p.Own = true
		}
		p.request = Request{Kind: Accept, Slot: p.base.Index + 1, Ballot: p.request.Ballot, Value: p.State}
		p.votes = NewVoteCount(p.base)
		return StepSend
	case p.votes.Lost(p.base.Majority()):
		p.closed = true
		if p.votes.Behind() {
			return StepBehind
		}
		return StepLost
	}
	return StepWait
}

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

// Heard is a process of the core as another one hears of it.
type PeerStatus struct {
	Member
	SilentFor int64 `json:"Quiet"` // nanoseconds since it was heard of; below 0 for never
}

// Adoption is a change of the core: In comes, and Out, where it is not empty, makes room.
type MembershipChange struct {
	Remove string `json:"Out"`
	Add    Member `json:"In"`
}

// Bounds of adoption, in nanoseconds.
const (
	AwayAfter    = int64(1200e6) // quiet for so long, a process counts as away
	DutyAfter    = int64(800e6)  // and its duties are another's
	ReplaceAfter = int64(1500e6) // and a member for so long, another may take its place
)

// Rank is a process's place among the members that are heard of, in the order of their identities: whoever is 0 does
// what one alone has to do. Several that think so do no harm: what they do is decided by agreement.
func (s *State) Rank(self string, others []PeerStatus) (rank int) {
	for _, m := range s.Core {
		if m.ID == self {
			return rank
		}
		if slices.ContainsFunc(others, func(h PeerStatus) bool { return h.ID == m.ID && h.SilentFor >= 0 && h.SilentFor < DutyAfter }) {
			rank++
		}
	}
	return rank + len(s.Core)
}

// Adopt is what would make the core whole: a member whose disk is gone, or that is not heard of, makes room for a process
// that is there, and a core that could not bear what it has to grows. up is how long self has listened.
func (s *State) PlanMembership(self Member, others []PeerStatus, up int64) (a MembershipChange, wanted bool) {
	var strangers []Member
	quiet := map[string]int64{self.ID: 0}
	for _, h := range others {
		if h.SilentFor < 0 {
			continue
		}
		quiet[h.ID] = h.SilentFor
		if h.SilentFor < AwayAfter && !s.HasMember(h.ID) {
			strangers = append(strangers, h.Member)
		}
	}
	if !s.HasMember(self.ID) {
		strangers = append(strangers, self)
	}
	if len(strangers) == 0 {
		return a, false
	}
	slices.SortFunc(strangers, func(a, b Member) int { return strings.Compare(a.At, b.At) })
	for _, m := range s.Core { // the same machine under another identity: its old disk is gone
		for _, n := range strangers {
			if n.At == m.At {
				return MembershipChange{m.ID, n}, true
			}
		}
	}
	for _, m := range s.Core {
		q, heard := quiet[m.ID]
		if heard && q < ReplaceAfter || !heard && up < ReplaceAfter {
			continue
		}
		in := strangers[0]
		if at := slices.IndexFunc(strangers, func(n Member) bool { return n.Zone == m.Zone }); at >= 0 {
			in = strangers[at]
		}
		return MembershipChange{m.ID, in}, true
	}
	return MembershipChange{"", strangers[0]}, len(s.Core) < 2*s.Tolerate+1
}

// Adopted is the state after an adoption, nil where it has been overtaken.
func (s *State) ApplyMembership(a MembershipChange) *State {
	if s.HasMember(a.Add.ID) || a.Remove != "" && !s.HasMember(a.Remove) || a.Remove == "" && len(s.Core) >= 2*s.Tolerate+1 {
		return nil
	}
	return s.ReplaceMember(a.Remove, a.Add)
}

// Founders is the state of a core that has agreed on nothing yet.
func Founders(addresses []string, zoneOf func(string) string, tolerate int) *State {
	s := &State{Index: 1, Tolerate: tolerate} // a stranger's, that knows of no core, has 0
	for _, at := range addresses {
		s.Core = append(s.Core, Member{FounderID(at), at, zoneOf(at)})
	}
	slices.SortFunc(s.Core, byID)
	return s
}

func byID(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// FounderID is the identity of a founder's first disk. Its next one is drawn.
func FounderID(address string) string { return "founder-" + address }

// Package swarm is how the core agrees: one state, replaced whole, slot after slot. Each slot is decided by Paxos among
// the members that the state before it names, so that the core itself is part of what is agreed. It does no I/O and
// reads no clock: Copy is an acceptor's record and its answers, Proposal one proposer's attempt.
//
// What is decided in slot n was accepted, synced, by a quorum of the core of state n-1. A quorum is a majority, and no
// fewer than Tolerate+1, so that what counts outlives as many lost disks. A member is known by the identity of its
// disk: a wiped disk comes back under a new one, which counts only once an agreed change has put it into the core.
package swarm

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
type Taken struct {
	Edition int64
	Digest  string
}

// Queen is the process that has the duties that one does, in one of its lives.
type Queen struct{ ID, Life, At string }

const mostTaken = 64

// State is all that is agreed.
type State struct {
	Index     uint64
	Core      []Member
	Tolerate  int
	Edition   int64 // of the timetable; 0 before the first
	Timetable json.RawMessage
	Taken     []Taken
	Members   int // balancers, by which what all may spend is shared out
	Queen     Queen
	Reign     uint64          // its number
	Credit    json.RawMessage `json:",omitempty"` // tenants' accounts (nectar)
	Imports   json.RawMessage `json:",omitempty"` // what partners let in (propolis)
}

// Majority is how many of the core meet any quorum.
func (s *State) Majority() int { return len(s.Core)/2 + 1 }

// Quorum is how many of the core have to accept.
func (s *State) Quorum() int { return max(s.Majority(), min(s.Tolerate+1, len(s.Core))) }

// Has is a member by identity.
func (s *State) Has(id string) bool {
	return slices.ContainsFunc(s.Core, func(m Member) bool { return m.ID == id })
}

// Was reports whether that very change has been taken.
func (s *State) Was(edition int64, digest string) bool {
	return slices.Contains(s.Taken, Taken{edition, digest})
}

// Put is the state after a change of the timetable.
func (s *State) Put(edition int64, doc json.RawMessage, digest string) *State {
	next := s.next()
	next.Edition, next.Timetable = edition, doc
	next.Taken = append(slices.Clone(s.Taken), Taken{edition, digest})
	if len(next.Taken) > mostTaken {
		next.Taken = next.Taken[len(next.Taken)-mostTaken:]
	}
	return next
}

// Swap is the state after a member has made room for another; an empty one to be replaced only adds.
func (s *State) Swap(old string, by Member) *State {
	next := s.next()
	next.Core = slices.DeleteFunc(slices.Clone(s.Core), func(m Member) bool { return m.ID == old || m.ID == by.ID })
	next.Core = append(next.Core, by)
	slices.SortFunc(next.Core, byID)
	return next
}

// Crown is the state after a process has taken the duties over.
func (s *State) Crown(q Queen) *State {
	next := s.next()
	next.Queen, next.Reign = q, s.Reign+1
	return next
}

// Save is the state after the accounts have changed.
func (s *State) Save(credit json.RawMessage) *State {
	next := s.next()
	next.Credit = credit
	return next
}

// Import is the state after a partner's word has changed.
func (s *State) Import(imports json.RawMessage) *State {
	next := s.next()
	next.Imports = imports
	return next
}

// Count is the state after a census of the balancers.
func (s *State) Count(members int) *State {
	next := s.next()
	next.Members = members
	return next
}

func (s *State) next() *State {
	next := *s
	next.Index++
	return &next
}

// Voted is a value that was accepted under a ballot.
type Voted struct {
	Ballot Ballot
	Value  *State
}

// Copy is what a core process keeps on disk.
type Copy struct {
	ID       string // of this disk
	Decided  *State
	Promised Ballot // for the slot after it
	Accepted *Voted // for the same
}

// What is asked of a copy.
const (
	Look    = "look"    // where it stands; nothing is kept of it
	Prepare = "prepare" // promise a slot
	Accept  = "accept"  // accept a value
	Learn   = "learn"   // a value is decided
)

// Ask is a message to a copy.
type Ask struct {
	Kind   string
	Slot   uint64 `json:",omitempty"`
	Ballot Ballot
	Value  *State `json:",omitempty"`
}

// Answer is what a copy says.
type Answer struct {
	To       string // the kind of ask
	Slot     uint64 // that it asked for
	ID       string
	Index    uint64 // decided
	OK       bool
	Promised Ballot
	Pending  bool   // something is accepted for the next slot
	Accepted *Voted `json:",omitempty"`
	Decided  *State `json:",omitempty"` // to who is behind
}

// Handle answers an ask; keep says that the copy has changed and must be synced before the answer leaves.
func (c *Copy) Handle(a Ask) (out Answer, keep bool) {
	out = Answer{To: a.Kind, Slot: a.Slot, ID: c.ID, Index: c.Decided.Index}
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
			c.Promised, c.Accepted = a.Ballot, &Voted{a.Ballot, a.Value}
			out.OK, keep = true, true
		}
	case Learn:
		if a.Value != nil && a.Value.Index > c.Decided.Index {
			c.Decided, c.Promised, c.Accepted = a.Value, Ballot{}, nil
			keep = true
		}
		out.OK = true
	case Look:
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
type Tally struct {
	of    *State
	yes   map[string]bool
	no    map[string]bool
	best  *Voted
	ahead *State // decided later than the state
	high  Ballot
	open  bool // somebody has accepted something for the slot
	old   bool // a member has not heard of the state
}

// NewTally starts a count.
func NewTally(of *State) *Tally {
	return &Tally{of: of, yes: map[string]bool{}, no: map[string]bool{}}
}

// Add counts an answer.
func (t *Tally) Add(a Answer) {
	if a.Decided != nil && a.Decided.Index > t.of.Index && (t.ahead == nil || a.Decided.Index > t.ahead.Index) {
		t.ahead = a.Decided
	}
	if t.high.Below(a.Promised) {
		t.high = a.Promised
	}
	if !t.of.Has(a.ID) {
		return
	}
	t.open = t.open || a.Pending && a.Index == t.of.Index
	t.old = t.old || a.Index < t.of.Index
	if !a.OK || a.Index != t.of.Index {
		t.no[a.ID] = true
		return
	}
	t.yes[a.ID] = true
	if a.Accepted != nil && (t.best == nil || t.best.Ballot.Below(a.Accepted.Ballot)) {
		t.best = a.Accepted
	}
}

// Promised reports whether a majority has: enough to meet any quorum that accepts.
func (t *Tally) Promised() bool { return len(t.yes) >= t.of.Majority() }

// Accepted reports whether a quorum has.
func (t *Tally) Accepted() bool { return len(t.yes) >= t.of.Quorum() }

// Lost reports whether so many can't agree any more.
func (t *Tally) Lost(need int) bool { return len(t.of.Core)-len(t.no) < need }

// Pending reports whether something is accepted for the slot.
func (t *Tally) Pending() bool { return t.open }

// Behind reports whether a member has not heard of the state.
func (t *Tally) Behind() bool { return t.old }

// High is the highest ballot that was seen.
func (t *Tally) High() Ballot { return t.high }

// Ahead is a later decided state that somebody told, nil for none.
func (t *Tally) Ahead() *State { return t.ahead }

// Best is what was accepted under the highest ballot: an attempt has to go on with it.
func (t *Tally) Best() *Voted { return t.best }

// Step is what a proposal wants next.
type Step uint8

// The steps.
const (
	Wait    Step = iota // for more answers
	Send                // Ask, to all of the core
	Ahead               // a later state is decided: State; begin again on top of it
	Old                 // members have not heard of the state: tell them, begin again
	Lost                // no quorum comes about under this ballot; begin again under a higher one
	Ended               // the function wanted nothing more of the state, which is the newest
	Decided             // State is decided; Own says whether it is the function's
)

// Proposal is one attempt at the slot after a state, from a promise to a decision.
type Proposal struct {
	of     *State
	what   func(*State) (*State, error)
	asked  Ask
	tally  *Tally
	State  *State
	Own    bool
	Err    error
	Round  uint64 // the highest that was seen
	closed bool
}

// Propose begins an attempt; the ask goes to all of the state's core. The function is called once the state is the
// newest beyond doubt, unless somebody's value has to be gone on with.
func Propose(of *State, b Ballot, what func(*State) (*State, error)) (*Proposal, Ask) {
	p := &Proposal{of: of, what: what, tally: NewTally(of)}
	p.asked = Ask{Kind: Prepare, Slot: of.Index + 1, Ballot: b}
	return p, p.asked
}

// Ask is what is being asked.
func (p *Proposal) Ask() Ask { return p.asked }

// Take takes an answer. Those to another ask than the last say nothing.
func (p *Proposal) Take(a Answer) Step {
	if p.closed || a.To != p.asked.Kind || a.Slot != p.asked.Slot {
		return Wait
	}
	p.tally.Add(a)
	p.Round = max(p.Round, p.tally.High().Round)
	if ahead := p.tally.Ahead(); ahead != nil {
		p.State, p.closed = ahead, true
		return Ahead
	}
	if p.asked.Kind == Accept {
		switch {
		case p.tally.Accepted():
			p.closed = true
			return Decided
		case p.tally.Lost(p.of.Quorum()):
			p.closed = true
			return Lost
		}
		return Wait
	}
	switch {
	case p.tally.Promised():
		// From here the state is the newest: whatever came after it would have been seen by one of those who promised.
		if best := p.tally.Best(); best != nil {
			p.State = best.Value
		} else if p.State, p.Err = p.what(p.of); p.Err != nil || p.State == nil {
			p.State, p.closed = p.of, true
			return Ended
		} else {
			p.Own = true
		}
		p.asked = Ask{Kind: Accept, Slot: p.of.Index + 1, Ballot: p.asked.Ballot, Value: p.State}
		p.tally = NewTally(p.of)
		return Send
	case p.tally.Lost(p.of.Majority()):
		p.closed = true
		if p.tally.Behind() {
			return Old
		}
		return Lost
	}
	return Wait
}

// Reading is a look at the core: is a state the newest?
type Reading struct {
	of    *State
	tally *Tally
}

// Read begins a look; the ask goes to all of the state's core.
func Read(of *State) (*Reading, Ask) {
	return &Reading{of, NewTally(of)}, Ask{Kind: Look, Slot: of.Index}
}

// Take takes an answer; done says that a majority has spoken or somebody is ahead.
func (r *Reading) Take(a Answer) (done bool) {
	if a.To != Look || a.Slot != r.of.Index {
		return false
	}
	r.tally.Add(a)
	return r.tally.Promised() || r.tally.Ahead() != nil
}

// Newest reports whether a majority says that nothing came after the state.
func (r *Reading) Newest() bool {
	return r.tally.Ahead() == nil && r.tally.Promised() && !r.tally.Pending()
}

// Current reports whether a majority has not seen anything decided after it.
func (r *Reading) Current() bool { return r.tally.Ahead() == nil && r.tally.Promised() }

// Pending reports whether something stands accepted.
func (r *Reading) Pending() bool { return r.tally.Pending() }

// Ahead is a later decided state, nil for none.
func (r *Reading) Ahead() *State { return r.tally.Ahead() }

// Heard is a process of the core as another one hears of it.
type Heard struct {
	Member
	Quiet int64 // nanoseconds since it was heard of; below 0 for never
}

// Adoption is a change of the core: In comes, and Out, where it is not empty, makes room.
type Adoption struct {
	Out string
	In  Member
}

// Bounds of adoption, in nanoseconds.
const (
	AwayAfter  = int64(1200e6) // quiet for so long, a process counts as away
	DutyAfter  = int64(800e6)  // and its duties are another's
	AdoptAfter = int64(1500e6) // and a member for so long, another may take its place
)

// Rank is a process's place among the members that are heard of, in the order of their identities: whoever is 0 does
// what one alone has to do. Several that think so do no harm: what they do is decided by agreement.
func (s *State) Rank(self string, others []Heard) (rank int) {
	for _, m := range s.Core {
		if m.ID == self {
			return rank
		}
		if slices.ContainsFunc(others, func(h Heard) bool { return h.ID == m.ID && h.Quiet >= 0 && h.Quiet < DutyAfter }) {
			rank++
		}
	}
	return rank + len(s.Core)
}

// Adopt is what would make the core whole: a member whose disk is gone, or that is not heard of, makes room for a process
// that is there, and a core that could not bear what it has to grows. up is how long self has listened.
func (s *State) Adopt(self Member, others []Heard, up int64) (a Adoption, wanted bool) {
	var strangers []Member
	quiet := map[string]int64{self.ID: 0}
	for _, h := range others {
		if h.Quiet < 0 {
			continue
		}
		quiet[h.ID] = h.Quiet
		if h.Quiet < AwayAfter && !s.Has(h.ID) {
			strangers = append(strangers, h.Member)
		}
	}
	if !s.Has(self.ID) {
		strangers = append(strangers, self)
	}
	if len(strangers) == 0 {
		return a, false
	}
	slices.SortFunc(strangers, func(a, b Member) int { return strings.Compare(a.At, b.At) })
	for _, m := range s.Core { // the same machine under another identity: its old disk is gone
		for _, n := range strangers {
			if n.At == m.At {
				return Adoption{m.ID, n}, true
			}
		}
	}
	for _, m := range s.Core {
		q, heard := quiet[m.ID]
		if heard && q < AdoptAfter || !heard && up < AdoptAfter {
			continue
		}
		in := strangers[0]
		if at := slices.IndexFunc(strangers, func(n Member) bool { return n.Zone == m.Zone }); at >= 0 {
			in = strangers[at]
		}
		return Adoption{m.ID, in}, true
	}
	return Adoption{"", strangers[0]}, len(s.Core) < 2*s.Tolerate+1
}

// Adopted is the state after an adoption, nil where it has been overtaken.
func (s *State) Adopted(a Adoption) *State {
	if s.Has(a.In.ID) || a.Out != "" && !s.Has(a.Out) || a.Out == "" && len(s.Core) >= 2*s.Tolerate+1 {
		return nil
	}
	return s.Swap(a.Out, a.In)
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

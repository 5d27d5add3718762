package consensus

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is one disk of the core.
type Member struct {
	ID      string
	Address string `json:"At"` // its process's address
	Zone    string
}

// Coordinator is the process that has the duties that one does, in one of its lives.
type Coordinator struct {
	ID          string
	Incarnation string `json:"Life"`
	Address     string `json:"At"`
}

// State is all that is agreed.
type State struct {
	Index           uint64
	Origin          Ballot `json:",omitzero"` // of the attempt that made this state; none from processes of the version before
	Core            []Member
	ToleratedLosses int             `json:"Tolerate"`
	Edition         int64           // of the configuration; 0 before the first
	Configuration   json.RawMessage `json:"Timetable"`
	AppliedChanges  AppliedChanges  `json:"Taken"`
	BalancerCount   int             `json:"Members"` // balancers, by which what all may spend is shared out
	Coordinator     Coordinator     `json:"Queen"`
	Epoch           uint64          `json:"Reign"`      // its number
	Credit          json.RawMessage `json:",omitempty"` // tenants' accounts (burstcredit)
	Imports         json.RawMessage `json:",omitempty"` // what partners let in (federation)
}

// Majority is how many of the core meet any quorum.
func (s *State) Majority() int { return len(s.Core)/2 + 1 }

// Quorum is how many of the core have to accept.
func (s *State) Quorum() int { return max(s.Majority(), min(s.ToleratedLosses+1, len(s.Core))) }

// HasMember reports whether a disk belongs to the core, by its identity.
func (s *State) HasMember(id string) bool {
	return slices.ContainsFunc(s.Core, func(m Member) bool { return m.ID == id })
}

// HasApplied reports whether that very change is remembered as applied.
func (s *State) HasApplied(edition int64, digest string) bool {
	return slices.Contains(s.AppliedChanges, AppliedChange{edition, digest})
}

// WithConfiguration is the state after a change of the configuration.
func (s *State) WithConfiguration(edition int64, document json.RawMessage, digest string) *State {
	next := s.successor()
	next.Edition, next.Configuration = edition, document
	next.AppliedChanges = s.AppliedChanges.Append(AppliedChange{edition, digest})
	return next
}

// ReplaceMember is the state after a member has made room for another; an empty one to be replaced only adds.
func (s *State) ReplaceMember(old string, replacement Member) *State {
	next := s.successor()
	next.Core = slices.DeleteFunc(slices.Clone(s.Core), func(m Member) bool { return m.ID == old || m.ID == replacement.ID })
	next.Core = append(next.Core, replacement)
	slices.SortFunc(next.Core, compareIDs)
	return next
}

// WithCoordinator is the state after a process has taken the duties over.
func (s *State) WithCoordinator(coordinator Coordinator) *State {
	next := s.successor()
	next.Coordinator, next.Epoch = coordinator, s.Epoch+1
	return next
}

// WithCredit is the state after the accounts have changed.
func (s *State) WithCredit(credit json.RawMessage) *State {
	next := s.successor()
	next.Credit = credit
	return next
}

// WithImports is the state after a partner's word has changed.
func (s *State) WithImports(imports json.RawMessage) *State {
	next := s.successor()
	next.Imports = imports
	return next
}

// WithBalancerCount is the state after a census of the balancers.
func (s *State) WithBalancerCount(count int) *State {
	next := s.successor()
	next.BalancerCount = count
	return next
}

func (s *State) successor() *State {
	next := *s
	next.Index++
	return &next
}

// withOrigin is the state with the attempt that made it.
func (s *State) withOrigin(origin Ballot) *State {
	next := *s
	next.Origin = origin
	return &next
}

// InitialState is the state of a core that has agreed on nothing yet.
func InitialState(addresses []string, zoneOf func(string) string, tolerate int) *State {
	s := &State{Index: 1, ToleratedLosses: tolerate} // a stranger's, that knows of no core, has 0
	for _, address := range addresses {
		s.Core = append(s.Core, Member{InitialMemberID(address), address, zoneOf(address)})
	}
	slices.SortFunc(s.Core, compareIDs)
	return s
}

func compareIDs(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// InitialMemberID is the identity of a founder's first disk. Its next one is drawn.
func InitialMemberID(address string) string { return "founder-" + address }

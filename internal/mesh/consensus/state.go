package consensus

import (
	"encoding/json"
	"slices"
	"strings"
)

// Member is a member of the core, identified by its disk.
type Member struct {
	ID      string
	Address string `json:"At"` // of its process
	Zone    string
}

// Coordinator identifies the process incarnation that performs the duties of a single controller, such as the
// management of quotas.
type Coordinator struct {
	ID          string
	Incarnation string `json:"Life"`
	Address     string `json:"At"`
}

// State is the complete agreed state.
type State struct {
	Index           uint64
	Origin          Ballot `json:",omitzero"` // of the proposal that made this state; zero from processes of the previous release
	Core            []Member
	ToleratedLosses int             `json:"Tolerate"` // number of lost disks that decisions must survive
	Edition         int64           // version of the configuration; 0 if there is none yet
	Configuration   json.RawMessage `json:"Timetable"`
	AppliedChanges  AppliedChanges  `json:"Taken"`
	BalancerCount   int             `json:"Members"` // number of proxies among which shared quotas are divided
	Coordinator     Coordinator     `json:"Queen"`
	Epoch           uint64          `json:"Reign"`      // increases with each change of the coordinator
	Credit          json.RawMessage `json:",omitempty"` // burst credit accounts of the tenants (burstcredit)
	Imports         json.RawMessage `json:",omitempty"` // exports of partner meshes that are in use (federation)

	Departures []NodeDepartures `json:",omitempty"` // upstream instances that no request may reach any more
}

// Majority is the number of core members that intersects with every quorum.
func (s *State) Majority() int { return len(s.Core)/2 + 1 }

// Quorum is the number of core members that have to accept a value.
func (s *State) Quorum() int { return max(s.Majority(), min(s.ToleratedLosses+1, len(s.Core))) }

// HasMember reports whether the core has a member with the given ID.
func (s *State) HasMember(id string) bool {
	return slices.ContainsFunc(s.Core, func(m Member) bool { return m.ID == id })
}

// HasApplied reports whether the list of applied changes has the change with this edition and digest.
func (s *State) HasApplied(edition int64, digest string) bool {
	return slices.Contains(s.AppliedChanges, AppliedChange{edition, digest})
}

// WithConfiguration returns the successor state with a changed configuration.
func (s *State) WithConfiguration(edition int64, document json.RawMessage, digest string) *State {
	next := s.successor()
	next.Edition, next.Configuration = edition, document
	next.AppliedChanges = s.AppliedChanges.Append(AppliedChange{edition, digest})
	return next
}

// ReplaceMember returns the successor state with one member replaced. If old is empty, the replacement is only added.
func (s *State) ReplaceMember(old string, replacement Member) *State {
	next := s.successor()
	next.Core = slices.DeleteFunc(slices.Clone(s.Core), func(m Member) bool { return m.ID == old || m.ID == replacement.ID })
	next.Core = append(next.Core, replacement)
	slices.SortFunc(next.Core, compareIDs)
	return next
}

// WithCoordinator returns the successor state with a new coordinator, in a new epoch.
func (s *State) WithCoordinator(coordinator Coordinator) *State {
	next := s.successor()
	next.Coordinator, next.Epoch = coordinator, s.Epoch+1
	return next
}

// WithCredit returns the successor state with changed burst credit accounts.
func (s *State) WithCredit(credit json.RawMessage) *State {
	next := s.successor()
	next.Credit = credit
	return next
}

// WithImports returns the successor state with changed imports from partner meshes.
func (s *State) WithImports(imports json.RawMessage) *State {
	next := s.successor()
	next.Imports = imports
	return next
}

// WithBalancerCount returns the successor state with a new number of proxies.
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

// withOrigin returns the state with the ballot of the proposal that made it.
func (s *State) withOrigin(origin Ballot) *State {
	next := *s
	next.Origin = origin
	return &next
}

// InitialState returns the first state of a core whose members have the given addresses.
func InitialState(addresses []string, zoneOf func(string) string, toleratedLosses int) *State {
	s := &State{Index: 1, ToleratedLosses: toleratedLosses} // index 0 is for a process that does not know of any core
	for _, address := range addresses {
		s.Core = append(s.Core, Member{InitialMemberID(address), address, zoneOf(address)})
	}
	slices.SortFunc(s.Core, compareIDs)
	return s
}

func compareIDs(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// InitialMemberID returns the ID of the first disk of an initial member. Later disks of the same address get random
// IDs.
func InitialMemberID(address string) string { return "founder-" + address }

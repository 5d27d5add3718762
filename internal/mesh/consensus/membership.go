package consensus

import (
	"slices"
	"strings"
)

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

package consensus

import (
	"slices"
	"strings"
)

// PeerStatus is a controller as another one hears of it.
type PeerStatus struct {
	Member
	SilentFor int64 `json:"Quiet"`      // nanoseconds since it was heard of; below 0 for never
	Leaving   bool  `json:",omitempty"` // it has been told to stop
}

// MembershipChange is a change of the core by one member: Add comes, and Remove makes room for it. An empty Remove only
// adds; an Add without an identity only removes.
type MembershipChange struct {
	Remove string `json:"Out"`
	Add    Member `json:"In"`
}

// Times after which a controller that is not heard of is treated as gone, in nanoseconds.
const (
	CandidateTimeout   = int64(1200e6) // it is no longer a candidate for membership
	DutyTimeout        = int64(800e6)  // its duties are another's
	ReplacementTimeout = int64(1500e6) // another may take its place in the core
)

// DutyRank is a controller's place among the members that are heard of and stay, in the order of their identities: rank 0
// does what one alone has to do. Several that think so do no harm: what they do is decided by agreement.
func (s *State) DutyRank(self string, peers []PeerStatus) (rank int) {
	available := func(id string) bool {
		return slices.ContainsFunc(peers, func(peer PeerStatus) bool {
			return peer.ID == id && peer.SilentFor >= 0 && peer.SilentFor < DutyTimeout && !peer.Leaving
		})
	}
	for _, m := range s.Core {
		if m.ID == self {
			return rank
		}
		if available(m.ID) {
			rank++
		}
	}
	return rank + len(s.Core)
}

// PlanMembership is the change that the core needs first, where members only have to be spread over machines. up is how
// long self has listened.
func (s *State) PlanMembership(self Member, peers []PeerStatus, uptime int64) (change MembershipChange, wanted bool) {
	return Placement{}.Plan(s, self, peers, uptime)
}

// ApplyMembership is the state after a change of the core, nil where the change has been overtaken.
func (s *State) ApplyMembership(change MembershipChange) *State {
	switch {
	case change.Remove != "" && !s.HasMember(change.Remove):
		return nil
	case change.Add.ID == "":
		if change.Remove == "" || !s.shouldShrink() {
			return nil
		}
		return s.withoutMember(change.Remove)
	case s.HasMember(change.Add.ID), change.Remove == "" && len(s.Core) >= s.targetSize():
		return nil
	}
	return s.ReplaceMember(change.Remove, change.Add)
}

// targetSize is how many members bear the loss of Tolerate of them.
func (s *State) targetSize() int { return 2*s.ToleratedLosses + 1 }

// shouldShrink reports whether the core bears more without a member that is gone than with it: it is larger than it has
// to be, and its quorum gets smaller. In all other cases an empty seat is worth as much as none, and a member that comes
// back with its disk takes it again.
func (s *State) shouldShrink() bool {
	if s.ToleratedLosses < 1 || len(s.Core) <= s.targetSize() {
		return false
	}
	smaller := State{Core: s.Core[1:], ToleratedLosses: s.ToleratedLosses}
	return smaller.Quorum() < s.Quorum()
}

func (s *State) withoutMember(id string) *State {
	next := s.successor()
	next.Core = slices.DeleteFunc(slices.Clone(s.Core), func(m Member) bool { return m.ID == id })
	return next
}

// SameCore reports whether two states have the same members.
func (s *State) SameCore(other *State) bool { return slices.Equal(s.Core, other.Core) }

func compareAddresses(a, b Member) int { return strings.Compare(a.Address, b.Address) }

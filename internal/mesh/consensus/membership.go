package consensus

import (
	"slices"
	"strings"
)

// PeerStatus describes a controller as another controller sees it.
type PeerStatus struct {
	Member
	SilentFor int64 `json:"Quiet"`      // nanoseconds since it was last heard; negative if it never was
	Leaving   bool  `json:",omitempty"` // it is shutting down
}

// MembershipChange changes the core by one member: Add replaces the member with the ID Remove. If Remove is empty, the
// change only adds; if Add has no ID, it only removes.
type MembershipChange struct {
	Remove string `json:"Out"`
	Add    Member `json:"In"`
}

// Times without contact after which a controller is treated as unavailable, in nanoseconds.
const (
	CandidateTimeout   = int64(1200e6) // it is no longer a candidate for the core
	DutyTimeout        = int64(800e6)  // another controller takes over its duties
	ReplacementTimeout = int64(1500e6) // another controller may replace it in the core
)

// DutyRank returns a controller's position among the available members in the order of their IDs. The controller with
// rank 0 performs the duties that a single controller has to perform. It is safe if several controllers compute rank 0,
// because the effects of these duties are decided by consensus.
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

// PlanMembership returns the most urgent change of the core, without requirements on zones or regions. The uptime is
// how long self has been listening for other controllers, in nanoseconds.
func (s *State) PlanMembership(self Member, peers []PeerStatus, uptime int64) (change MembershipChange, wanted bool) {
	return Placement{}.Plan(s, self, peers, uptime)
}

// ApplyMembership returns the state after a change of the core, or nil if the change does not apply to the state any
// more.
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

// targetSize is the number of members needed to tolerate the loss of ToleratedLosses of them.
func (s *State) targetSize() int { return 2*s.ToleratedLosses + 1 }

// shouldShrink reports whether removing an unavailable member lets the core tolerate more losses: the core is larger
// than its target size, and the removal makes its quorum smaller. Otherwise the removal gains nothing, and the member
// can resume its place if it returns with its disk.
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

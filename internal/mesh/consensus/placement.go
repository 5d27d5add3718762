package consensus

import (
	"cmp"
	"slices"
)

// Placement defines how the members of the core are spread: how many zones and regions may be lost at once, and the
// region of each zone. The zero value prefers a spread over zones when a member is added or replaced for another
// reason, but does not move members for it.
type Placement struct {
	Zones, Regions int
	RegionOf       map[string]string
}

// Plan returns the most urgent change of the core, in this order:
//
//  1. A member whose address answers with another ID has lost its disk and is replaced by the new ID.
//  2. A member without recent contact is replaced by a spare. If there is no such member, a leaving member is
//     replaced.
//  3. A core with fewer than 2·ToleratedLosses+1 members adds a spare.
//  4. An unavailable member is removed if the core tolerates more losses without it.
//  5. A member is replaced by a spare elsewhere if the loss of the configured number of zones or regions would take
//     too many members.
//
// The uptime is how long self has been listening for other controllers, in nanoseconds. A member that was never heard
// counts as unavailable only after the uptime has reached ReplacementTimeout.
func (p Placement) Plan(s *State, self Member, peers []PeerStatus, uptime int64) (change MembershipChange, wanted bool) {
	view := newMembershipView(s, self, peers, uptime)
	if change, wanted = view.planWipedDiskReplacement(); wanted {
		return change, true
	}
	unavailable, missing := view.firstUnavailable()
	if missing && len(view.spares) > 0 {
		return MembershipChange{unavailable.ID, p.bestSpare(view, unavailable)}, true
	}
	if len(view.spares) > 0 && len(s.Core) < s.targetSize() {
		return MembershipChange{"", p.bestSpare(view, Member{})}, true
	}
	if missing && s.shouldShrink() {
		return MembershipChange{Remove: unavailable.ID}, true
	}
	if missing || len(view.spares) == 0 {
		return change, false
	}
	return p.planMove(view)
}

// membershipView is the core and the other known controllers as one controller sees them.
type membershipView struct {
	state  *State
	self   string
	uptime int64
	peers  map[string]PeerStatus // by ID, including self
	spares []Member              // available controllers outside the core, ordered by address
}

func newMembershipView(s *State, self Member, peers []PeerStatus, uptime int64) *membershipView {
	view := &membershipView{state: s, self: self.ID, uptime: uptime, peers: map[string]PeerStatus{self.ID: {Member: self}}}
	for _, peer := range peers {
		if peer.SilentFor >= 0 && peer.ID != "" {
			view.peers[peer.ID] = peer
		}
	}
	for _, peer := range view.peers {
		if peer.SilentFor < CandidateTimeout && !peer.Leaving && !s.HasMember(peer.ID) {
			view.spares = append(view.spares, peer.Member)
		}
	}
	slices.SortFunc(view.spares, compareAddresses)
	return view
}

// planWipedDiskReplacement finds a member whose address has a spare with another ID: the disk that had the vote is
// lost.
func (v *membershipView) planWipedDiskReplacement() (change MembershipChange, wanted bool) {
	for _, m := range v.state.Core {
		for _, spare := range v.spares {
			if spare.Address == m.Address {
				return MembershipChange{m.ID, spare}, true
			}
		}
	}
	return change, false
}

// firstUnavailable returns the first member without recent contact or, if there is none, the first leaving member.
func (v *membershipView) firstUnavailable() (unavailable Member, found bool) {
	for _, m := range v.state.Core {
		peer, known := v.peers[m.ID]
		if known && peer.SilentFor >= ReplacementTimeout || !known && v.uptime >= ReplacementTimeout {
			return m, true
		}
	}
	for _, m := range v.state.Core {
		if v.peers[m.ID].Leaving {
			return m, true
		}
	}
	return unavailable, false
}

// zoneOf returns a member's zone as the member itself reports it, since the agreed state does not have the zones of
// initial members. A member whose zone is unknown counts as alone in its zone.
func (v *membershipView) zoneOf(m Member) string {
	return cmp.Or(v.peers[m.ID].Zone, m.Zone, "of "+m.ID)
}

// bestSpare returns the spare that gives the best spread of the core in place of the replaced member, or as an
// additional member if replaced is empty. Ties are broken in favor of the zone of the replaced member, then of the
// lowest address.
func (p Placement) bestSpare(view *membershipView, replaced Member) Member {
	zones, regions := map[string]int{}, map[string]int{}
	for _, m := range view.state.Core {
		if m.ID != replaced.ID {
			zones[view.zoneOf(m)]++
			regions[p.region(view.zoneOf(m))]++
		}
	}
	crowding := func(spare Member) (inRegion, inZone, elsewhere int) {
		zone := view.zoneOf(spare)
		if p.Regions > 0 {
			inRegion = regions[p.region(zone)]
		}
		if replaced.ID == "" || zone != view.zoneOf(replaced) {
			elsewhere = 1
		}
		return inRegion, zones[zone], elsewhere
	}
	return slices.MinFunc(view.spares, func(a, b Member) int {
		aRegion, aZone, aElsewhere := crowding(a)
		bRegion, bZone, bElsewhere := crowding(b)
		return cmp.Or(cmp.Compare(aRegion, bRegion), cmp.Compare(aZone, bZone), cmp.Compare(aElsewhere, bElsewhere), compareAddresses(a, b))
	})
}

// planMove finds the replacement of one member by a spare that most reduces the number of members lost with the
// configured number of zones or regions. Each replacement lowers that number, so a sequence of replacements terminates.
func (p Placement) planMove(view *membershipView) (change MembershipChange, wanted bool) {
	lowest := p.worstLoss(view, view.state.Core)
	if lowest <= view.state.maxTolerableLoss() {
		return change, false
	}
	for _, m := range view.state.Core {
		for _, spare := range view.spares {
			rest := slices.DeleteFunc(slices.Clone(view.state.Core), func(other Member) bool { return other.ID == m.ID })
			if loss := p.worstLoss(view, append(rest, spare)); loss < lowest {
				lowest, change, wanted = loss, MembershipChange{m.ID, spare}, true
			}
		}
	}
	return change, wanted
}

// maxTolerableLoss is how many members may be lost at once such that the others form a quorum and at least one of them
// holds each decision.
func (s *State) maxTolerableLoss() int { return min(len(s.Core)-s.Quorum(), s.Quorum()-1) }

// worstLoss is the largest number of members that the loss of the configured number of zones, or of regions, can take.
func (p Placement) worstLoss(view *membershipView, core []Member) int {
	zones, regions := map[string]int{}, map[string]int{}
	for _, m := range core {
		zones[view.zoneOf(m)]++
		regions[p.region(view.zoneOf(m))]++
	}
	return max(sumOfLargest(zones, p.Zones), sumOfLargest(regions, p.Regions))
}

func (p Placement) region(zone string) string { return cmp.Or(p.RegionOf[zone], "of "+zone) }

// sumOfLargest returns the sum of the n largest counts.
func sumOfLargest(counts map[string]int, n int) (sum int) {
	var sorted []int
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.SortFunc(sorted, func(a, b int) int { return cmp.Compare(b, a) })
	for _, count := range sorted[:min(n, len(sorted))] {
		sum += count
	}
	return sum
}

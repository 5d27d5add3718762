package consensus

import (
	"cmp"
	"slices"
)

// Placement says over what the members of a core are spread: how many zones and regions may be lost at once, and which
// region a zone is in. Its zero value spreads over zones as far as it costs no change of its own.
type Placement struct {
	Zones, Regions int
	RegionOf       map[string]string
}

// Plan is the change that the core needs first:
//
//  1. a member whose address answers under another identity has lost its disk, and makes room for that identity;
//  2. a member that is not heard of makes room for a spare, and after it one that is leaving;
//  3. a core smaller than 2·Tolerate+1 takes a spare in;
//  4. a core that a missing member makes weaker than one without it lets it go;
//  5. a member moves to a spare elsewhere where the loss of zones or regions that is to be borne would take too many.
//
// up is how long self has listened: a member never heard of is not missing before that is ReplaceAfter.
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

// membershipView is the core and its surroundings as one controller sees them.
type membershipView struct {
	state  *State
	self   string
	uptime int64
	peers  map[string]PeerStatus // by identity
	spares []Member              // heard of, staying, no members; in the order of their addresses
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

// planWipedDiskReplacement finds a member whose machine is there under another identity: the disk that had its vote is gone.
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

// firstUnavailable is a member that is not heard of, or else one that leaves.
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

// zoneOf is a member's zone as the member itself says it: that of a founder is not part of the agreed state. An unknown
// zone is taken for one of its own.
func (v *membershipView) zoneOf(m Member) string {
	return cmp.Or(v.peers[m.ID].Zone, m.Zone, "of "+m.ID)
}

// bestSpare is the spare that spreads the core furthest in place of a member, or beside all of them for an empty one. Among
// equals it is one of the member's own zone, then that of the lowest address.
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

// planMove finds the exchange of one member for a spare after which the worst loss that is to be borne takes fewer members.
// Each exchange lowers that number, so there are only so many of them.
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

// maxTolerableLoss is how many members may be lost at once so that the rest is a quorum and one of them has every decision.
func (s *State) maxTolerableLoss() int { return min(len(s.Core)-s.Quorum(), s.Quorum()-1) }

// worstLoss is how many members the loss of the zones, or regions, that is to be borne takes at most.
func (p Placement) worstLoss(view *membershipView, core []Member) int {
	zones, regions := map[string]int{}, map[string]int{}
	for _, m := range core {
		zones[view.zoneOf(m)]++
		regions[p.region(view.zoneOf(m))]++
	}
	return max(sumOfLargest(zones, p.Zones), sumOfLargest(regions, p.Regions))
}

func (p Placement) region(zone string) string { return cmp.Or(p.RegionOf[zone], "of "+zone) }

// sumOfLargest is the sum of the n largest counts.
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

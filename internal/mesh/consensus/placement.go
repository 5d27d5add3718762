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
func (p Placement) Plan(s *State, self Member, others []PeerStatus, up int64) (change MembershipChange, wanted bool) {
	v := newMembershipView(s, self, others, up)
	if change, wanted = v.rejoin(); wanted {
		return change, true
	}
	gone, missing := v.firstGone()
	if missing && len(v.spares) > 0 {
		return MembershipChange{gone.ID, p.best(v, gone)}, true
	}
	if len(v.spares) > 0 && len(s.Core) < s.fullSize() {
		return MembershipChange{"", p.best(v, Member{})}, true
	}
	if missing && s.shrinksSafely() {
		return MembershipChange{Remove: gone.ID}, true
	}
	if missing || len(v.spares) == 0 {
		return change, false
	}
	return p.move(v)
}

// membershipView is the core and its surroundings as one controller sees them.
type membershipView struct {
	state  *State
	self   string
	up     int64
	heard  map[string]PeerStatus // by identity
	spares []Member              // heard of, staying, no members; in the order of their addresses
}

func newMembershipView(s *State, self Member, others []PeerStatus, up int64) *membershipView {
	v := &membershipView{state: s, self: self.ID, up: up, heard: map[string]PeerStatus{self.ID: {Member: self}}}
	for _, other := range others {
		if other.SilentFor >= 0 && other.ID != "" {
			v.heard[other.ID] = other
		}
	}
	for _, peer := range v.heard {
		if peer.SilentFor < AwayAfter && !peer.Leaving && !s.HasMember(peer.ID) {
			v.spares = append(v.spares, peer.Member)
		}
	}
	slices.SortFunc(v.spares, byAddress)
	return v
}

// rejoin finds a member whose machine is there under another identity: the disk that had its vote is gone.
func (v *membershipView) rejoin() (change MembershipChange, wanted bool) {
	for _, m := range v.state.Core {
		for _, spare := range v.spares {
			if spare.At == m.At {
				return MembershipChange{m.ID, spare}, true
			}
		}
	}
	return change, false
}

// firstGone is a member that is not heard of, or else one that leaves.
func (v *membershipView) firstGone() (gone Member, missing bool) {
	for _, m := range v.state.Core {
		peer, heard := v.heard[m.ID]
		if heard && peer.SilentFor >= ReplaceAfter || !heard && v.up >= ReplaceAfter {
			return m, true
		}
	}
	for _, m := range v.state.Core {
		if v.heard[m.ID].Leaving {
			return m, true
		}
	}
	return gone, false
}

// zoneOf is a member's zone as the member itself says it: that of a founder is not part of the agreed state. An unknown
// zone is taken for one of its own.
func (v *membershipView) zoneOf(m Member) string {
	return cmp.Or(v.heard[m.ID].Zone, m.Zone, "of "+m.ID)
}

// best is the spare that spreads the core furthest in place of a member, or beside all of them for an empty one. Among
// equals it is one of the member's own zone, then that of the lowest address.
func (p Placement) best(v *membershipView, gone Member) Member {
	zones, regions := map[string]int{}, map[string]int{}
	for _, m := range v.state.Core {
		if m.ID != gone.ID {
			zones[v.zoneOf(m)]++
			regions[p.region(v.zoneOf(m))]++
		}
	}
	crowd := func(spare Member) (inRegion, inZone, elsewhere int) {
		zone := v.zoneOf(spare)
		if p.Regions > 0 {
			inRegion = regions[p.region(zone)]
		}
		if gone.ID == "" || zone != v.zoneOf(gone) {
			elsewhere = 1
		}
		return inRegion, zones[zone], elsewhere
	}
	return slices.MinFunc(v.spares, func(a, b Member) int {
		aRegion, aZone, aElsewhere := crowd(a)
		bRegion, bZone, bElsewhere := crowd(b)
		return cmp.Or(cmp.Compare(aRegion, bRegion), cmp.Compare(aZone, bZone), cmp.Compare(aElsewhere, bElsewhere), byAddress(a, b))
	})
}

// move finds the exchange of one member for a spare after which the worst loss that is to be borne takes fewer members.
// Each exchange lowers that number, so there are only so many of them.
func (p Placement) move(v *membershipView) (change MembershipChange, wanted bool) {
	least := p.worstLoss(v, v.state.Core)
	if least <= v.state.bearable() {
		return change, false
	}
	for _, m := range v.state.Core {
		for _, spare := range v.spares {
			rest := slices.DeleteFunc(slices.Clone(v.state.Core), func(other Member) bool { return other.ID == m.ID })
			if loss := p.worstLoss(v, append(rest, spare)); loss < least {
				least, change, wanted = loss, MembershipChange{m.ID, spare}, true
			}
		}
	}
	return change, wanted
}

// bearable is how many members may be lost at once so that the rest is a quorum and one of them has every decision.
func (s *State) bearable() int { return min(len(s.Core)-s.Quorum(), s.Quorum()-1) }

// worstLoss is how many members the loss of the zones, or regions, that is to be borne takes at most.
func (p Placement) worstLoss(v *membershipView, core []Member) int {
	zones, regions := map[string]int{}, map[string]int{}
	for _, m := range core {
		zones[v.zoneOf(m)]++
		regions[p.region(v.zoneOf(m))]++
	}
	return max(largest(zones, p.Zones), largest(regions, p.Regions))
}

func (p Placement) region(zone string) string { return cmp.Or(p.RegionOf[zone], "of "+zone) }

// largest is the sum of the n largest counts.
func largest(counts map[string]int, n int) (sum int) {
	var all []int
	for _, count := range counts {
		all = append(all, count)
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(b, a) })
	for _, count := range all[:min(n, len(all))] {
		sum += count
	}
	return sum
}

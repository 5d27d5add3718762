package consensus_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
)

// parsePeers parses a comma-separated list of controllers, each written as "name zone". A name ending in "!" has been
// silent for ReplacementTimeout, one ending in "?" has never been heard, and one ending in "-" is leaving. Trailing "'"
// characters are not part of the address: "b'" is the controller at b after its disk was wiped.
func parsePeers(text string) (all []consensus.PeerStatus) {
	for _, field := range strings.Split(text, ",") {
		name, zone, _ := strings.Cut(strings.TrimSpace(field), " ")
		id := strings.TrimRight(name, "!?-")
		peer := consensus.PeerStatus{Leaving: strings.HasSuffix(name, "-")}
		peer.Member = consensus.Member{ID: id, Address: strings.TrimRight(id, "'"), Zone: zone}
		switch {
		case strings.HasSuffix(name, "!"):
			peer.SilentFor = consensus.ReplacementTimeout
		case strings.HasSuffix(name, "?"):
			peer.SilentFor = -1
		}
		all = append(all, peer)
	}
	return all
}

func TestPlacementPlan(t *testing.T) {
	const longUptime, shortUptime = int64(1e12), int64(1)
	zones := consensus.Placement{Zones: 1}
	regions := consensus.Placement{Regions: 1, RegionOf: map[string]string{"x1": "x", "x2": "x", "y1": "y", "z1": "z"}}
	for _, c := range []struct {
		name      string
		tolerate  int
		members   int // number of leading peers that form the core
		peers     string
		uptime    int64
		placement consensus.Placement
		want      string // "removed>added", or empty for no change
	}{
		{"all members available", 1, 3, "a x, b y, c z", longUptime, zones, ""},
		{"a spare is available but not needed", 1, 3, "a x, b y, c z, d x", longUptime, zones, ""},
		{"a silent member is replaced", 1, 3, "a x, b! y, c z, d x, e y", longUptime, zones, "b>e"},
		{"a member is not missing before it could have been heard", 1, 3, "a x, b? y, c z, d x", shortUptime, zones, ""},
		{"a member that was never heard is replaced", 1, 3, "a x, b? y, c z, d x", longUptime, zones, "b>d"},
		{"a silent member without a spare stays", 1, 3, "a x, b! y, c z", longUptime, zones, ""},
		{"a wiped disk is replaced before a silent member", 1, 3, "a x, b y, c! z, b' y, d z", longUptime, zones, "b>b'"},
		{"a leaving member is replaced immediately", 1, 3, "a x, b- y, c z, d y", longUptime, zones, "b>d"},
		{"a silent member is replaced before a leaving one", 1, 3, "a x, b- y, c! z, d y", longUptime, zones, "c>d"},
		{"a leaving spare is not a candidate", 1, 3, "a x, b! y, c z, d- x", longUptime, zones, ""},
		{"among equal spares the zone of the replaced member is preferred", 1, 3, "a x, b y, c! z, d w, e z", longUptime, zones, "c>e"},
		{"a core below its target size grows", 2, 3, "a x, b y, c z, d x, e w", longUptime, zones, ">e"},
		{"a silent member is replaced before the core grows", 2, 3, "a x, b! y, c z, d w", longUptime, zones, "b>d"},
		{"four members with one silent shrink to three", 1, 4, "a x, b y, c z, d! w", longUptime, zones, "d>"},
		{"three members with one silent do not shrink", 1, 3, "a x, b y, c! z", longUptime, zones, ""},
		{"two members in one zone with a spare in another zone", 1, 3, "a x, b x, c z, d y", longUptime, zones, "a>d"},
		{"zones are not considered", 1, 3, "a x, b x, c z, d y", longUptime, consensus.Placement{}, ""},
		{"no spare improves the spread", 1, 3, "a x, b x, c z, d z", longUptime, zones, ""},
		{"an unused zone is preferred to the zone of the replaced member", 1, 3, "a x, b x, c! x, d x, e y", longUptime, zones, "c>e"},
		{"two members in one region", 1, 3, "a x1, b x2, c y1, d z1", longUptime, regions, "a>d"},
		{"regions are considered before zones", 1, 3, "a x1, b! z1, c y1, d x2, e z1", longUptime, regions, "b>e"},
	} {
		all := parsePeers(c.peers)
		s := &consensus.State{Index: 1, ToleratedLosses: c.tolerate}
		for _, m := range all[:c.members] {
			member := m.Member
			member.Zone = "" // the agreed state has no zones of initial members
			s.Core = append(s.Core, member)
		}
		change, wanted := c.placement.Plan(s, all[0].Member, all[1:], c.uptime)
		got := ""
		if wanted {
			got = fmt.Sprintf("%s>%s", change.Remove, change.Add.ID)
		}
		must.Eq(t, c.want, got, must.Sprint(c.name))
		if wanted {
			next := s.ApplyMembership(change)
			must.NotNil(t, next, must.Sprint(c.name))
			must.Nil(t, next.ApplyMembership(change), must.Sprint(c.name, " applied twice"))
		}
	}
}

// Repeated planning must terminate instead of exchanging members for the sake of zones without end, and it must leave a
// core of the target size that is spread over the zones.
func TestPlanTerminates(t *testing.T) {
	all := parsePeers("a x, b x, c x, d x, e y, f y, g z, h z, i z")
	s := &consensus.State{Index: 1, ToleratedLosses: 2}
	for _, m := range all[:3] {
		s.Core = append(s.Core, m.Member)
	}
	placement := consensus.Placement{Zones: 1}
	changes := 0
	for ; changes < 20; changes++ {
		change, wanted := placement.Plan(s, all[0].Member, all[1:], 1e12)
		if !wanted {
			break
		}
		s = s.ApplyMembership(change)
		must.NotNil(t, s)
	}
	must.Less(t, 20, changes)
	must.Len(t, 5, s.Core)
	membersPerZone := map[string]int{}
	for _, m := range s.Core {
		membersPerZone[m.Zone]++
		must.LessEq(t, 2, membersPerZone[m.Zone], must.Sprint(s.Core))
	}
}

func TestLeavingMemberIsNotCountedInDutyRank(t *testing.T) {
	all := parsePeers("a x, b- x, c x")
	s := &consensus.State{ToleratedLosses: 1}
	for _, m := range all {
		s.Core = append(s.Core, m.Member)
	}
	must.Eq(t, 1, s.DutyRank("c", all[:2]))
	must.Eq(t, 1, s.DutyRank("c", []consensus.PeerStatus{all[0]}))
	must.Eq(t, 0, s.DutyRank("c", []consensus.PeerStatus{all[1]}))
}

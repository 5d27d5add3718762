package consensus_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
)

// parsePeers reads controllers off a text: "name zone" each, with "!" behind a name for one that is not heard of, "?" for one
// that never was, and "-" for one that leaves. Its address is its name without a number behind "'".
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
		members   int // the first of the peers, which are the core
		peers     string
		up        int64
		placement consensus.Placement
		want      string // "out>in", empty for nothing
	}{
		{"whole", 1, 3, "a x, b y, c z", longUptime, zones, ""},
		{"a spare changes nothing", 1, 3, "a x, b y, c z, d x", longUptime, zones, ""},
		{"a silent one makes room", 1, 3, "a x, b! y, c z, d x, e y", longUptime, zones, "b>e"},
		{"not before it could have been heard", 1, 3, "a x, b? y, c z, d x", shortUptime, zones, ""},
		{"one never heard of", 1, 3, "a x, b? y, c z, d x", longUptime, zones, "b>d"},
		{"nobody takes the place", 1, 3, "a x, b! y, c z", longUptime, zones, ""},
		{"a wiped disk comes before the silent", 1, 3, "a x, b y, c! z, b' y, d z", longUptime, zones, "b>b'"},
		{"one that leaves makes room at once", 1, 3, "a x, b- y, c z, d y", longUptime, zones, "b>d"},
		{"after one that is gone", 1, 3, "a x, b- y, c! z, d y", longUptime, zones, "c>d"},
		{"a spare that leaves is none", 1, 3, "a x, b! y, c z, d- x", longUptime, zones, ""},
		{"among equals the zone of the one gone", 1, 3, "a x, b y, c! z, d w, e z", longUptime, zones, "c>e"},
		{"growth", 2, 3, "a x, b y, c z, d x, e w", longUptime, zones, ">e"},
		{"a gap comes before growth", 2, 3, "a x, b! y, c z, d w", longUptime, zones, "b>d"},
		{"four with one gone are three", 1, 4, "a x, b y, c z, d! w", longUptime, zones, "d>"},
		{"three with one gone stay three", 1, 3, "a x, b y, c! z", longUptime, zones, ""},
		{"two of one zone, a spare elsewhere", 1, 3, "a x, b x, c z, d y", longUptime, zones, "a>d"},
		{"no zone counts", 1, 3, "a x, b x, c z, d y", longUptime, consensus.Placement{}, ""},
		{"no better spare", 1, 3, "a x, b x, c z, d z", longUptime, zones, ""},
		{"an empty zone is preferred to that of the one gone", 1, 3, "a x, b x, c! x, d x, e y", longUptime, zones, "c>e"},
		{"two of one region", 1, 3, "a x1, b x2, c y1, d z1", longUptime, regions, "a>d"},
		{"regions before zones", 1, 3, "a x1, b! z1, c y1, d x2, e z1", longUptime, regions, "b>e"},
	} {
		all := parsePeers(c.peers)
		s := &consensus.State{Index: 1, ToleratedLosses: c.tolerate}
		for _, m := range all[:c.members] {
			member := m.Member
			member.Zone = "" // a founder's is not agreed
			s.Core = append(s.Core, member)
		}
		change, wanted := c.placement.Plan(s, all[0].Member, all[1:], c.up)
		got := ""
		if wanted {
			got = fmt.Sprintf("%s>%s", change.Remove, change.Add.ID)
		}
		must.Eq(t, c.want, got, must.Sprint(c.name))
		if wanted {
			next := s.ApplyMembership(change)
			must.NotNil(t, next, must.Sprint(c.name))
			must.Nil(t, next.ApplyMembership(change), must.Sprint(c.name, " twice"))
		}
	}
}

// Whatever is lost and comes, as often as it may: exchanges for the sake of zones end, and the core is never larger than
// it has to be nor smaller than it was.
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

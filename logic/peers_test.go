package logic

import (
	"math"
	"slices"
	"testing"
)

// newPeer returns one of several balancers that exchange load reports, with upstreams in three zones.
func newPeer(t *testing.T, balancers, index, upstreams int) *harness {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers, config.Index, config.Peers, config.CrossZonePrice = balancers, index, true, 0.09
	h := newHarness(t, config, 0, uint64(index+1))
	for i := range upstreams {
		h.list(h.b.Join(), Upstream{ID: uint32(i+1) * 77777, Weight: float64(1 + i%3), Zone: i % 3})
	}
	h.round(5 * ms)
	return h
}

// fourPeers returns one of four balancers that all use the same four upstreams.
func fourPeers(t *testing.T) *harness {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers, config.Peers = 4, true
	h := newHarness(t, config, 4, 1)
	h.round(5 * ms)
	return h
}

// reportFrom delivers the report of a peer with an attempt in flight at each of the given upstreams.
func (h *harness) reportFrom(peer int, upstreams ...int) {
	report := []byte{30}
	for _, i := range upstreams {
		report = append(report, h.b.assignmentCheck<<5|byte(slices.Index(h.b.assigned, i)))
	}
	h.b.PeerReport(peer, report, h.now)
}

// A balancer with a single transaction cannot see the load of its peers at an upstream. With reports it picks the
// upstream with the least load of all, and queues its own transactions when peers report congestion.
func TestPeerAttemptsCountInPickAndLimit(t *testing.T) {
	h := fourPeers(t)
	h.reportFrom(1, 0, 0, 1, 2)
	h.reportFrom(2, 1, 2)
	for range 2 {
		h.arrive(0, sec)
		h.round(5 * ms)
	}
	if h.sentTo[0] != 3 || h.sentTo[1] != 3 {
		t.Errorf("sent to %v while upstream 3 had no attempts and the others had two", h.sentTo)
	}
	for peer := 1; peer < 4; peer++ {
		h.reportFrom(peer, slices.Repeat([]int{0, 1, 2, 3}, 7)...)
	}
	h.runUntil(h.now + 10*ms)
	h.arrive(0, sec)
	h.runUntil(h.now + 200*ms)
	if len(h.sentTo) != 2 || h.answers["deferred"] != 1 {
		t.Errorf("%d attempts and %v while peers had 84 in flight", len(h.sentTo), h.answers)
	}
}

// A peer that has crashed, or whose report is for another assignment, must not keep load away from upstreams for good.
func TestPeerReportsExpireAndMustMatchAssignment(t *testing.T) {
	h := fourPeers(t)
	counted := func(want int, when string) {
		t.Helper()
		if sum(h.b.peerInFlight) != want {
			t.Errorf("%v in flight at peers %s, want %d", h.b.peerInFlight, when, want)
		}
	}
	h.reportFrom(1, 0, 0, 1)
	h.b.PeerReport(2, []byte{30, (h.b.assignmentCheck+1)<<5 | 1, h.b.assignmentCheck<<5 | 31}, h.now)
	counted(3, "after reports of three attempts that match and two that do not")
	h.reportFrom(1, 0)
	counted(1, "after the report of one attempt in place of three")
	h.arrive(0, 4*sec)
	h.runUntil(h.now + reportTTL + sec)
	counted(0, "after the reports have expired")
	free := slices.Index(h.b.inFlight, 0)
	h.reportFrom(3, free, free)
	h.b.Leave(free)
	if i := h.b.Join(); i != free || h.b.peerInFlight[i] != 0 {
		t.Errorf("index %d reused from %d still has %d attempts of peers at its previous upstream",
			i, free, h.b.peerInFlight[i])
	}
	h.reportFrom(3)
	counted(0, "after an index was reused")
}

// The end of the last attempt is reported, though the balancer is idle then.
func TestEndOfLastAttemptIsReported(t *testing.T) {
	h := fourPeers(t)
	req := h.arrive(0, sec)
	h.round(20 * ms)
	before := len(h.reports)
	if len(h.reports[before-1]) != 2 {
		t.Fatalf("an attempt is pending, and %v was reported", h.reports[before-1])
	}
	h.deliver(req, 0, Settled)
	h.round(ms)
	if len(h.reports) != before || h.wakeAt <= h.now || h.wakeAt > h.now+minReportGap {
		t.Fatal("reported too early, or no wake-up requested")
	}
	h.round(h.wakeAt - h.now)
	if len(h.reports) != before+3 || len(h.reports[before]) != 1 || h.b.nextReport != math.MaxInt64 {
		t.Errorf("%v reported to three peers after the end of the last attempt; no further report is due then",
			h.reports[before:])
	}
}

// Live weights change with every list, but shares must not: each share that moves costs new connections and learned state.
func TestLiveWeightsDoNotMoveShares(t *testing.T) {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers, config.LiveWeights = 40, true
	h := newHarness(t, config, 0, 1)
	var before []float64
	for round := range 6 {
		for i := range 12 {
			if round == 0 {
				h.b.Join()
			}
			h.list(i, Upstream{ID: uint32(i + 1), Kind: 1 + i%2, Weight: float64(1+i%2) / float64(1+(i/2+round)%6)})
		}
		if h.round(5 * ms); round == 0 {
			before = slices.Clone(h.b.share)
		}
	}
	for i := range before {
		if h.b.weight[i] != float64(1+i%2) || before[i] != h.b.share[i] {
			t.Errorf("upstream %d of size %d: weight %v, its share moved from %v to %v by its load alone",
				i, 1+i%2, h.b.weight[i], before[i], h.b.share[i])
		}
	}
}

// Peers have the same assignment, each upstream has enough balancers, and all shares add up to the whole list.
func TestPeersShareWholeAssignments(t *testing.T) {
	for _, balancers := range []int{2, 17, 120, 471} {
		overlap, members, sums := [13]int{}, map[string][]int{}, [13]float64{}
		for n := range balancers {
			h := newPeer(t, balancers, n, 13)
			key := ""
			for _, i := range h.b.assigned {
				overlap[i]++
				sums[i] += h.b.share[i] / float64(h.b.overlap) // each peer counts for its part of the common share
				key += string(rune('a' + i))
			}
			for _, peer := range h.b.peers {
				if peer < n && !slices.Contains(members[key], peer) {
					t.Fatalf("%d balancers: %d has peer %d with another assignment", balancers, n, peer)
				}
			}
			members[key] = append(members[key], n)
		}
		for i, share := range sums {
			if want := float64(1 + i%3); math.Abs(share-want) > 1e-6*want || overlap[i] < min(balancers, minOverlapWithPeers) {
				t.Errorf("%d balancers: upstream %d has %d, whose shares add up to %v, want %v",
					balancers, i, overlap[i], share, want)
			}
		}
	}
}

// The number of reports grows with that of the balancers, so it is bounded per first attempt for any size of the fleet.
func TestReportsAreBounded(t *testing.T) {
	h := newPeer(t, 1333, 5, 120)
	for n := range 400 {
		req := h.arrive(0, 4*sec)
		h.round(20 * ms)
		for range 3 * (n % 2) { // attempts that stay pending are reported again
			h.round(600 * ms)
		}
		if len(req.attempts) > 0 {
			h.deliver(req, 0, Settled)
			h.round(15 * ms)
		}
	}
	limit := reportsPerSend * (len(h.sentTo) + 4)
	if len(h.b.peers) >= maxOverlapWithPeers || len(h.sentTo) < 300 ||
		len(h.reports) > limit || len(h.reports) < len(h.sentTo) {
		t.Errorf("%d peers, %d reports for %d attempts; at most %d are allowed",
			len(h.b.peers), len(h.reports), len(h.sentTo), limit)
	}
}

package logic

import (
	"math"
	"slices"
	"testing"
)

// newPeer is one of some balancers that tell one another, over a list of upstreams in three zones.
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

// fourPeers is one of four balancers that share all of a list of four alike.
func fourPeers(t *testing.T) *harness {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers, config.Peers = 4, true
	h := newHarness(t, config, 4, 1)
	h.round(5 * ms)
	return h
}

// reportFrom has a peer say that it has a push out at each of these upstreams; the places say which, as all have four alike.
func (h *harness) reportFrom(peer int, upstreams ...int) {
	raw := []byte{30}
	for _, i := range upstreams {
		raw = append(raw, h.b.assignmentCheck<<5|byte(slices.Index(h.b.assigned, i)))
	}
	h.b.PeerReport(peer, raw, h.now)
}

// A balancer with one transaction in hand can't see whom others have filled: it sends where least is held by all. And
// room holds for all together: told of a crowd it has its own transactions wait.
func TestPeerAttemptsCountInPickAndLimit(t *testing.T) {
	h := fourPeers(t)
	h.reportFrom(1, 0, 0, 1, 2)
	h.reportFrom(2, 1, 2)
	for range 2 {
		h.arrive(0, sec)
		h.round(5 * ms)
	}
	if h.sentTo[0] != 3 || h.sentTo[1] != 3 {
		t.Errorf("sent to %v while 3 held nothing and the others two", h.sentTo)
	}
	for peer := 1; peer < 4; peer++ {
		h.reportFrom(peer, slices.Repeat([]int{0, 1, 2, 3}, 7)...)
	}
	h.runUntil(h.now + 10*ms)
	h.arrive(0, sec)
	h.runUntil(h.now + 200*ms)
	if len(h.sentTo) != 2 || h.answers["deferred"] != 1 {
		t.Errorf("%d pushed and %v at once while peers had 84 in hand", len(h.sentTo), h.answers)
	}
}

// A peer that died, or whose message is for another part, must not keep work away for good.
func TestPeerReportsExpireAndMustMatchAssignment(t *testing.T) {
	h := fourPeers(t)
	counted := func(want int, when string) {
		t.Helper()
		if sum(h.b.peerInFlight) != want {
			t.Errorf("%v counted %s, not %d", h.b.peerInFlight, when, want)
		}
	}
	h.reportFrom(1, 0, 0, 1)
	h.b.PeerReport(2, []byte{30, (h.b.assignmentCheck+1)<<5 | 1, h.b.assignmentCheck<<5 | 31}, h.now)
	counted(3, "of three pushes that fit and two that don't")
	h.reportFrom(1, 0)
	counted(1, "after a peer told of one push in place of three")
	h.arrive(0, 4*sec)
	h.runUntil(h.now + reportTTL + sec)
	counted(0, "of a peer that has said nothing for long")
	free := slices.Index(h.b.inFlight, 0)
	h.reportFrom(3, free, free)
	h.b.Leave(free)
	if i := h.b.Join(); i != free || h.b.peerInFlight[i] != 0 {
		t.Errorf("index %d went on from %d with %d pushes that peers have at the one before", i, free, h.b.peerInFlight[i])
	}
	h.reportFrom(3)
	counted(0, "after an index went to another")
}

// The end of the last push is told, though nothing else is left to do.
func TestEndOfLastAttemptIsReported(t *testing.T) {
	h := fourPeers(t)
	req := h.arrive(0, sec)
	h.round(20 * ms)
	before := len(h.reports)
	if len(h.reports[before-1]) != 2 {
		t.Fatalf("a push is out, and %v was told", h.reports[before-1])
	}
	h.deliver(req, 0, Settled)
	h.round(ms)
	if len(h.reports) != before || h.wakeAt <= h.now || h.wakeAt > h.now+minReportGap {
		t.Fatal("told sooner than it should be, or not woken")
	}
	h.round(h.wakeAt - h.now)
	if len(h.reports) != before+3 || len(h.reports[before]) != 1 || h.b.nextReport != math.MaxInt64 {
		t.Errorf("%v was told to three peers after the last push had ended; then nothing is due", h.reports[before:])
	}
}

// Live weights move with every list. Parts must not: each that moves brings connections and forgets what was learnt.
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
			t.Errorf("upstream %d of size %d: taken for %v, its part moved from %v to %v by its load alone",
				i, 1+i%2, h.b.weight[i], before[i], h.b.share[i])
		}
	}
}

// All that share a part share all of it, each upstream has enough of them, and all parts together are the whole list.
func TestCellsShareWholeAssignments(t *testing.T) {
	for _, balancers := range []int{2, 17, 120, 471} {
		overlap, members, shares := [13]int{}, map[string][]int{}, [13]float64{}
		for n := range balancers {
			h := newPeer(t, balancers, n, 13)
			key := ""
			for _, i := range h.b.assigned {
				overlap[i]++
				shares[i] += h.b.share[i] / float64(h.b.overlap) // each has a say in all of what its cell has
				key += string(rune('a' + i))
			}
			for _, peer := range h.b.peers {
				if peer < n && !slices.Contains(members[key], peer) {
					t.Fatalf("%d balancers: %d counts %d among its peers, whose part is another", balancers, n, peer)
				}
			}
			members[key] = append(members[key], n)
		}
		for i, part := range shares {
			if want := float64(1 + i%3); math.Abs(part-want) > 1e-6*want || overlap[i] < min(balancers, minOverlapWithPeers) {
				t.Errorf("%d balancers: upstream %d is met by %d, whose parts add up to %v, not %v", balancers, i, overlap[i], part, want)
			}
		}
	}
}

// What many say to many adds up: each first push pays for so many messages, whatever size the fleet has.
func TestReportsAreBounded(t *testing.T) {
	h := newPeer(t, 1333, 5, 120)
	for n := range 400 {
		req := h.arrive(0, 4*sec)
		h.round(20 * ms)
		for range 3 * (n % 2) { // what is out for long is told again
			h.round(600 * ms)
		}
		if len(req.attempts) > 0 {
			h.deliver(req, 0, Settled)
			h.round(15 * ms)
		}
	}
	limit := reportsPerSend * (len(h.sentTo) + 4)
	if len(h.b.peers) >= maxOverlapWithPeers || len(h.sentTo) < 300 || len(h.reports) > limit || len(h.reports) < len(h.sentTo) {
		t.Errorf("%d peers, %d messages for %d pushes; %d are paid for", len(h.b.peers), len(h.reports), len(h.sentTo), limit)
	}
}

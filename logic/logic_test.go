package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// randomConfig returns a valid configuration that depends on the seed.
func randomConfig(seed uint64) *Config {
	config := testConfig(testTariff(Idempotent, Everywhere), testTariff(NonIdempotent, SameCell),
		testTariff(Keyed, Everywhere), testTariff(Keyed, SameZone), testTariff(Keyed, SameCell))
	config.Seed, config.Tier = seed, int(seed%3)
	config.Hedging, config.Cancelling, config.Probing = seed%4 != 0, seed%5 != 0, seed%7 != 0
	config.FollowList, config.MaxAttempts = seed%2 == 0, 1+int(seed%6)
	config.Tariffs[0].LateEarnings = float64(seed % 2)
	config.Balancers, config.Index = []int{2, 30, 400}[seed/4%3], int(seed%2)
	config.Peers, config.LiveWeights = seed%3 == 1, seed%5 == 2
	return config
}

// FuzzRules runs rounds of random valid events. The harness checks the rules at every decision; at the end, every
// transaction must have its answer.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		h := newHarness(t, randomConfig(seed), 6, seed)
		for i := range h.upstreams {
			h.list(i, Upstream{Weight: 1 + float64(i%2), Zone: i % 2, Cell: i / 2})
		}
		maxArrivals, unresponsive := 1+h.rand.IntN(4), h.rand.IntN(6)
		for step := range 3000 {
			if step%400 == 0 {
				unresponsive, maxArrivals = h.rand.IntN(6), 1+h.rand.IntN(4)
				h.reconfigure()
			}
			for range h.rand.IntN(maxArrivals) {
				h.arrive(h.rand.IntN(len(h.config.Tariffs)), 100*ms+h.rand.Int64N(3*sec))
			}
			if h.rand.IntN(8) == 0 {
				h.arriveStreaming(h.rand.IntN(len(h.config.Tariffs)))
			}
			h.receiveBodies(30)
			h.deliverDue(unresponsive)
			h.receiveReports()
			h.round(5 * ms)
			h.checkInvariants()
		}
		h.receiveBodies(1)
		h.runUntil(h.now + 4*sec)
		for _, req := range h.requests {
			if !req.answered {
				t.Fatal("a transaction without a final answer")
			}
		}
	})
}

// deliverDue delivers due results and sometimes changes the list.
func (h *harness) deliverDue(unresponsive int) {
	open := h.requests[:0]
	for _, req := range h.requests {
		pending := 0
		for n, p := range req.attempts {
			switch {
			case p.done:
			case p.dueAt > h.now || p.upstream == unresponsive && p.result != Cancelled && h.now < req.hardStop:
				pending++
			case p.result == Cancelled:
				h.deliver(req, n, Cancelled)
			case h.now >= req.hardStop:
				h.deliver(req, n, TimedOut)
			case h.rand.IntN(8) == 0:
				h.deliver(req, n, Result(1+h.rand.IntN(5)))
			default:
				h.deliver(req, n, Settled)
			}
		}
		if !req.answered && h.rand.IntN(500) == 0 {
			req.answered = true
			h.b.ClientGone(req.tx)
		}
		if !req.answered || pending > 0 || h.now < req.hardStop+4*sec {
			open = append(open, req)
		}
	}
	h.requests = open
	for i := range h.upstreams {
		if at, pending := h.probes[i]; pending && at <= h.now {
			delete(h.probes, i)
			h.b.ProbeResult(i, i != unresponsive)
		}
	}
	if i := h.rand.IntN(len(h.upstreams)); h.rand.IntN(300) == 0 {
		switch _, leaving := h.notAccepting[i]; {
		case leaving && h.b.Known(i):
			h.list(i, Upstream{
				Weight: 1, Zone: h.upstreams[i].Zone, Cell: h.upstreams[i].Cell, StartedAt: h.now - h.rand.Int64N(sec)})
			h.sentAt[i] = nil
		case leaving:
			h.list(h.b.Join(), Upstream{Weight: 1, StartedAt: h.now})
		case h.rand.IntN(2) == 0:
			h.notAccepting[i] = h.now
			h.b.Drain(i)
		default:
			h.notAccepting[i] = h.now
			h.b.Leave(i)
		}
	}
	if h.rand.IntN(400) == 0 {
		h.b.Listed(false, h.now)
	}
}

// receiveReports delivers random reports, some of them malformed or from balancers that do not exist, and live weights.
func (h *harness) receiveReports() {
	if h.rand.IntN(3) == 0 {
		report := make([]byte, h.rand.IntN(12))
		for k := range report {
			report[k] = byte(h.rand.Uint32())
			if h.rand.IntN(2) == 0 {
				report[k] = h.b.assignmentCheck<<5 | report[k]&7
			}
		}
		h.b.PeerReport(h.rand.IntN(h.config.Balancers+2)-1, report, h.now)
	}
	if i := h.rand.IntN(len(h.upstreams)); h.config.LiveWeights && h.notAccepting[i] == 0 &&
		h.b.Known(i) && h.rand.IntN(20) == 0 {
		h.upstreams[i].Weight, h.upstreams[i].Kind = 2/(1+4*h.rand.Float64()), i%3
		h.b.List(i, h.upstreams[i], h.now)
	}
}

// checkInvariants compares the balancer's counts with those of the harness.
func (h *harness) checkInvariants() {
	inFlight, active := make([]int, len(h.b.inFlight)), 0
	for _, req := range h.requests {
		for _, p := range req.attempts {
			if !p.done {
				inFlight[p.upstream]++
			}
		}
		if !req.answered && len(req.attempts) > 0 && !req.tx.BodyPending {
			active++
		}
	}
	if !slices.Equal(inFlight, h.b.inFlight) {
		h.t.Fatalf("in flight %v, counted %v", inFlight, h.b.inFlight)
	}
	if active != h.b.active {
		h.t.Fatalf("active %d, counted %d", active, h.b.active)
	}
	if b := h.b.budget; b < 0 || b > h.maxBudget {
		h.t.Fatalf("budget %.1f, at most %.1f were ever allowed", b, h.maxBudget)
	}
	for k, t := range h.b.timers {
		if t.timerIndex != k || k > 0 && t.dueAt < h.b.timers[(k-1)/2].dueAt {
			h.t.Fatalf("timers out of order at %d", k)
		}
	}
}

// settle settles n transactions, each after took, to fill the statistics window.
func (h *harness) settle(n int, took int64) {
	for range n {
		req := h.arrive(0, 3*sec)
		h.round(ms)
		if len(req.attempts) == 0 {
			h.t.Fatal("no attempt")
		}
		h.now += took
		h.deliver(req, 0, Settled)
		h.round(ms)
	}
}

func TestHedgeAfterQuantileAndCancelOfSlowerAttempt(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 4, 1)
	h.settle(minSamples-1, 50*ms)
	req := h.arrive(0, 3*sec)
	h.runUntil(h.now + 500*ms)
	if len(req.attempts) != 1 {
		t.Fatalf("a hedge before there are enough samples: %d attempts", len(req.attempts))
	}
	h.deliver(req, 0, Settled)
	h.settle(20, 50*ms)
	h.runUntil(h.now + tickInterval)
	req = h.arrive(0, 3*sec)
	h.runUntil(h.now + 45*ms)
	if len(req.attempts) != 1 {
		t.Fatal("a hedge before the hedge delay")
	}
	h.runUntil(h.now + 3*sec/2)
	if len(req.attempts) != 2 || req.attempts[0].upstream == req.attempts[1].upstream {
		t.Fatalf("no hedge at another upstream: %d attempts", len(req.attempts))
	}
	h.deliver(req, 1, Settled)
	h.round(ms)
	if req.attempts[0].result != Cancelled {
		t.Fatal("the slower attempt is not cancelled")
	}
}

// Attempts refused in front of an upstream do not count towards the maximum, up to FreeRefusals.
func TestFreeRefusals(t *testing.T) {
	for free, want := range map[int]int{0: 1, 2: 3} {
		one := testConfig(testTariff(Idempotent, Everywhere))
		one.MaxAttempts, one.FreeRefusals = 1, free
		h := newHarness(t, one, 6, 1)
		req := h.arrive(0, sec)
		h.round(ms)
		h.b.budget = 9
		for n := 0; n < len(req.attempts); n++ {
			h.deliver(req, n, Refused)
			h.round(ms)
		}
		if len(req.attempts) != want || !req.answered {
			t.Errorf("%d attempts with a maximum of 1 and %d free refusals, want %d", len(req.attempts), free, want)
		}
	}
}

func TestHedgePauseBudgetAndWinRate(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 4, 1)
	b := h.b
	b.outcomes[b.slot], b.faults[b.slot] = 4, 1
	if b.hedgePaused() {
		t.Error("hedging pauses after a single fault")
	}
	b.faults[b.slot] = 2
	if !b.hedgePaused() {
		t.Error("hedging goes on with half of the outcomes faults")
	}
	if b.budget, b.cancelledPending = 1.5, 1; b.withinBudget() {
		t.Error("a cancelled attempt that is still pending does not count towards the budget")
	}
	b.hedges[0], b.hedgeWins[0] = minWinSamples, 1
	h.runUntil(h.now + winWindow/winSlots + tickInterval)
	if b.hedgeChance != 0.5 {
		t.Errorf("hedge chance %.2f after hedges that lose, want 0.5", b.hedgeChance)
	}
	h.runUntil(h.now + 2*winWindow)
	if b.hedgeChance != 1 {
		t.Errorf("hedge chance %.2f, want 1 again", b.hedgeChance)
	}
}

func TestRotationFollowsWeights(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 3, 1)
	h.list(2, Upstream{Weight: 2})
	h.settle(40, ms)
	counts := map[int]int{}
	for _, i := range h.sentTo {
		counts[i]++
	}
	if counts[2] != 20 || counts[0] != 10 {
		t.Errorf("attempts %v, want 10, 10 and 20", counts)
	}
}

func TestUnresponsiveUpstreamIsEjectedAndReinstatedAfterProbes(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 5, 1)
	h.settle(60, 50*ms)
	for range 400 { // upstream 3 accepts work and answers nothing
		req := h.arrive(0, 2*sec)
		h.round(20 * ms)
		h.round(30 * ms)
		for n, p := range req.attempts {
			if p.upstream != 3 && !p.done {
				h.deliver(req, n, Settled)
			}
		}
		h.expireUnanswered(req)
		if h.b.ejectedUntil[3] != 0 {
			break
		}
	}
	if h.b.ejectedUntil[3] == 0 {
		t.Fatal("the unresponsive upstream is still in service")
	}
	h.runUntil(h.now + 5*ejectionTime/4 + tickInterval)
	if len(h.probes) == 0 {
		t.Fatal("no probe")
	}
	for range probesToReinstate {
		h.b.ProbeResult(3, true)
		h.runUntil(h.now + 2*probeInterval)
	}
	if h.b.ejectedUntil[3] != 0 || h.b.logOdds[3] == 0 {
		t.Error("not reinstated with remaining log odds after answered probes")
	}
}

func TestSilenceUntilContractTimeCountsWithoutQuantile(t *testing.T) {
	f := testTariff(Idempotent, Everywhere)
	f.LateEarnings = 0
	h := newHarness(t, testConfig(f), 4, 1)
	for range 18 { // too few samples for a quantile
		req := h.arrive(0, 2*sec)
		h.round(5 * ms)
		for n, p := range req.attempts {
			if p.upstream != 0 {
				h.runUntil(h.now + 20*ms)
				h.deliver(req, n, Settled)
			}
		}
		h.runUntil(h.now + sec)
		for n, p := range req.attempts {
			if !p.done {
				h.deliver(req, n, Cancelled)
			}
		}
	}
	if h.b.hedgeDelay != 0 {
		t.Fatal("there is a hedge delay, so the test is void")
	}
	if h.b.ejectedUntil[0] == 0 || h.b.ejectedUntil[1] != 0 {
		t.Errorf("ejected: %v, want 0 alone", h.b.ejectedUntil)
	}
}

// expireUnanswered ends cancelled attempts and those close to the hard stop.
func (h *harness) expireUnanswered(last *testRequest) {
	for _, req := range h.requests {
		for n, p := range req.attempts {
			if !p.done && (p.result == Cancelled || h.now >= req.hardStop-100*ms) {
				h.deliver(req, n, max(p.result, TimedOut))
			}
		}
	}
}

func TestSharedFaultsEjectNoUpstream(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 5, 1)
	h.config.Tier = 1
	for range 300 {
		req := h.arrive(0, 2*sec)
		h.round(5 * ms)
		h.deliver(req, 0, []Result{Settled, Errored}[h.rand.IntN(2)])
		h.round(5 * ms)
		for n, p := range req.attempts {
			if !p.done {
				h.deliver(req, n, Settled)
			}
		}
	}
	if n, _ := h.b.inService(); n < 4 {
		t.Errorf("%d of 5 in service though all fail equally often", n)
	}
}

func TestWarmRateMatchesThroughput(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 4, 1)
	h.settle(500, 18*ms) // 50 per second over four
	if rate := h.b.warmRate * float64(sec); rate < 9 || rate > 14 {
		t.Errorf("warm rate %.1f per second and upstream, want 12.5", rate)
	}
}

func TestUnreachableZoneIsEjectedWhole(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 4, 1)
	for range 200 { // half of the upstreams are unreachable
		req := h.arrive(0, 2*sec)
		h.round(5 * ms)
		for n := 0; n < len(req.attempts); n++ {
			if req.attempts[n].done {
				continue
			}
			h.deliver(req, n, []Result{Unreachable, Settled}[req.attempts[n].upstream%2])
			h.round(5 * ms)
		}
	}
	if h.b.ejectedUntil[0] == 0 || h.b.ejectedUntil[2] == 0 || h.b.ejectedUntil[1] != 0 {
		t.Errorf("ejected: %v, want 0 and 2", h.b.ejectedUntil)
	}
}

func TestReinstatedUnreachableUpstreamIsCold(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 3, 1)
	h.b.unreachable[1] = true
	h.b.eject(1, Errored)
	h.b.reinstate(1)
	if h.b.warmth(1) >= 1 {
		t.Error("counts as warm")
	}
}

func TestExcessTransactionsQueueAndAreDeferredEarly(t *testing.T) {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers = 1000
	h := newHarness(t, config, 3, 1)
	h.settle(2, ms)
	h.b.limit = 2
	for range 8 {
		h.arrive(0, 3*sec)
	}
	h.round(ms)
	if h.b.active != 5 {
		t.Fatalf("%d active, want the limit of 2 and a burst of 3", h.b.active)
	}
	h.runUntil(h.now + sec/4)
	if h.answers["deferred"] != 3 {
		t.Errorf("%d of 3 deferred by a quarter of the contract time", h.answers["deferred"])
	}
	h.runUntil(h.now + sec/4)
	h.deliver(h.requests[2], 0, Settled)
	h.deliver(h.requests[3], 0, Settled)
	h.b.meanConcurrency = 2.1
	h.arrive(0, 3*sec)
	if h.round(ms); h.b.active != 3 {
		t.Errorf("%d active, want 3, as the mean is above the limit of 2", h.b.active)
	}
}

func TestLimitFollowsCapacityInService(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 8, 1)
	b := h.b
	step := func(ticks int) { // 100 per second, 0.3 s each
		for range ticks {
			h.now += tickInterval
			b.now, b.active, b.activeLoad, b.departures = h.now, 30, 30/float64(sec), 20
			b.adjustLimit(float64(tickInterval))
		}
	}
	step(50)
	for i := range 6 {
		b.Drain(i)
	}
	b.limit = 17
	step(5)
	if b.limit > 20 {
		t.Errorf("limit grows to %.0f for two of eight upstreams that settled 100 per second together", b.limit)
	}
}

func TestReusedIndexIsNotInOldDedupScope(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Keyed, SameCell)), 2, 1)
	h.list(1, Upstream{Weight: 1, Cell: 1})
	h.b.budget, h.b.credit[0] = 10, 10
	req := h.arrive(0, 2*sec)
	h.round(ms)
	h.notAccepting[0] = h.now
	h.b.Leave(0)
	h.deliver(req, 0, Errored) // may have run in cell 0
	h.list(h.b.Join(), Upstream{Weight: 1, Cell: 1})
	h.round(ms)
	if len(req.attempts) != 1 || h.answers["forfeited"] != 1 {
		t.Errorf("%d attempts, answers %v: want one attempt and a forfeit", len(req.attempts), h.answers)
	}
}

func TestInvalidConfigs(t *testing.T) {
	for n, invalidate := range []func(*Config){
		func(t *Config) { t.Balancers = 0 }, func(t *Config) { t.Tariffs = nil },
		func(t *Config) { t.MaxAttempts = 0 }, func(t *Config) { t.ColdShare = 0 },
	} {
		config := testConfig(testTariff(Idempotent, Everywhere))
		invalidate(config)
		if _, err := New(config, 0); err == nil {
			t.Error(fmt.Sprint("invalid configuration accepted: ", n))
		}
	}
}

func TestBalancersStartAtRandomPointsOfRotation(t *testing.T) {
	heavy := 0
	for seed := range uint64(300) {
		config := testConfig(testTariff(Idempotent, Everywhere))
		config.Seed = seed * 0x9e3779b97f4a7c15 >> 32
		h := newHarness(t, config, 40, seed)
		for i := range h.upstreams {
			h.list(i, Upstream{Weight: float64(1 + i%2*2)})
		}
		h.settle(1, ms)
		heavy += h.sentTo[0] % 2
	}
	if heavy < 195 || heavy > 255 {
		t.Errorf("%d of 300 first attempts go to the heavy half, which has three quarters of the weight", heavy)
	}
}

// FuzzDivision assigns random lists to any number of balancers. The shares of an upstream must add up to its weight,
// and a few balancers must each use the whole list.
func FuzzDivision(f *testing.F) {
	for _, n := range []uint16{1, 2, 7, 8, 9, 23, 64, 310, 1000} {
		f.Add(n, uint8(n%90+1))
	}
	f.Fuzz(func(t *testing.T, balancers uint16, upstreams uint8) {
		balancerCount, list := int(balancers%1024)+1, make([]Upstream, upstreams)
		shares, overlap := make([]float64, len(list)), make([]int, len(list))
		for i := range list {
			list[i] = Upstream{ID: uint32(i * i * 977), Weight: float64(1 + i%3), Zone: i % 2, Cell: i / 4}
		}
		for index := range balancerCount {
			config := testConfig(testTariff(Idempotent, Everywhere))
			config.Balancers, config.Index = balancerCount, index+index%2*balancerCount // an index beyond the last wraps around
			h := newHarness(t, config, 0, 1)
			for k := range list { // each balancer gets the list in another order
				i := (k + index) % len(list)
				h.list(h.b.Join(), list[i])
			}
			h.round(ms)
			for k, share := range h.b.share {
				i := (k + index) % len(list)
				shares[i] += share
				if share > 0 {
					overlap[i]++
				}
				if balancerCount <= minOverlap && len(list)*minOverlap >= minUpstreams*balancerCount && share < list[i].Weight-1e-9 {
					t.Errorf("balancer %d of %d has a share of %.2f of weight %.0f", index, balancerCount, share, list[i].Weight)
				}
			}
			if len(list) > 0 && len(h.b.assigned) == 0 {
				t.Errorf("balancer %d of %d has no upstream", index, balancerCount)
			}
		}
		for i, u := range list {
			if want := shares[0] / list[0].Weight * u.Weight; math.Abs(shares[i]-want) > 1e-6*want {
				t.Errorf("%d balancers: shares of upstream %d add up to %.3f, want %.3f", balancerCount, i, shares[i], want)
			}
			if overlap[i] < min(minOverlap, balancerCount) {
				t.Errorf("upstream %d is used by %d of %d balancers", i, overlap[i], balancerCount)
			}
		}
	})
}

func TestContractTimeOfClientRetryStartsAtFirstTry(t *testing.T) {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Tariffs[0].LateEarnings, config.Tariffs[0].HardStop = 0, 3*sec
	h := newHarness(t, config, 4, 1)
	h.settle(1, ms) // a client that waits 3 s for its first try
	late := &Transaction{}
	h.byTx[late] = &testRequest{tx: late, tariff: config.Tariffs[0], hardStop: h.now + 3*sec/2}
	h.b.Arrive(late, 0, -1, 0, 3*sec/2, true, h.now)
	early := &Transaction{}
	h.byTx[early] = &testRequest{tx: early, tariff: config.Tariffs[0], hardStop: h.now + 5*sec/2}
	h.b.Arrive(early, 0, -1, 0, 5*sec/2, true, h.now)
	h.round(ms)
	if len(h.byTx[late].attempts) != 0 || !h.byTx[late].answered {
		t.Error("an attempt though the contract time since its first try is over")
	}
	if len(h.byTx[early].attempts) != 1 || early.contractEnd != h.now-ms+sec/2 {
		t.Error("want one attempt with half of the contract time left")
	}
}

func TestQuotasOverManyBalancers(t *testing.T) {
	config := testConfig(testTariff(Idempotent, Everywhere))
	config.Balancers, config.Customers = 300, []*Customer{{Rate: 90}} // 0.3 per second here
	h := newHarness(t, config, 20, 1)
	within := 0
	for range 60 { // a quarter per second, two at a time
		for range 2 {
			req := &Transaction{tariff: config.Tariffs[0], customer: config.Customers[0]}
			h.b.now = h.now
			if h.b.setValue(req); req.value == 1 {
				within++
			}
		}
		h.now += 8 * sec
	}
	if within < 110 {
		t.Errorf("%d of 120 within a quota that is not used up", within)
	}
	if h.b.initLimit(); h.b.limit*300 > 90*usualRatio+1e-6 {
		t.Errorf("initial limit of all balancers is %.1f, the quotas allow %.1f", h.b.limit*300, 90*usualRatio)
	}
}

func TestMeanConcurrencyIsUsableFromStart(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 8, 1)
	for range 10 {
		h.arrive(0, 3*sec)
	}
	h.runUntil(h.now + 3*sec/2)
	if h.b.meanConcurrency < 8 {
		t.Errorf("mean concurrency %.1f after 1.5 s with ten active", h.b.meanConcurrency)
	}
}

// A client that sends invalid transactions must not cause ejections or pause hedging by their rejection.
func TestRejectionsAreNoEvidenceAgainstUpstream(t *testing.T) {
	h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 2, 1)
	for range 200 {
		req := h.arrive(0, sec)
		h.round(ms)
		h.deliver(req, 0, Rejected)
		h.round(ms)
		if len(req.attempts) != 1 || !req.tx.Closed() {
			t.Fatalf("%d attempts, closed %t", len(req.attempts), req.tx.Closed())
		}
	}
	if h.b.hedgePaused() || h.b.ejectedUntil[0] != 0 || h.b.ejectedUntil[1] != 0 || sum(h.b.failures) != 0 {
		t.Errorf("ejected %v, %d failures", h.b.ejectedUntil, sum(h.b.failures))
	}
}

// Where idle connections soon close, a strict rotation opens a new one for nearly every attempt. Upstreams with an idle
// connection are preferred, but in the long run all get the same number of attempts.
func TestIdleConnectionsArePreferredAndRotationStaysEven(t *testing.T) {
	repeats := func(keepAlive bool) (same int) {
		h := newHarness(t, testConfig(testTariff(Idempotent, Everywhere)), 12, 1)
		h.idleConns = map[int]bool{}
		counts := map[int]int{}
		for n := range 1200 {
			req := h.arrive(0, sec)
			h.round(ms)
			h.deliver(req, 0, Settled)
			at := h.sentTo[n]
			if counts[at]++; n > 0 && h.sentTo[n-1] == at {
				same++
			}
			clear(h.idleConns) // all other connections have closed by now
			h.idleConns[at] = keepAlive
		}
		for i, n := range counts {
			if n < 95 || n > 105 {
				t.Errorf("upstream %d got %d of 1200 attempts", i, n)
			}
		}
		return same
	}
	if withoutIdle, withIdle := repeats(false), repeats(true); withoutIdle > 60 || withIdle < 700 {
		t.Errorf("of 1200 attempts %d and, with idle connections, %d went to the same upstream as the one before",
			withoutIdle, withIdle)
	}
}

// A balancer of a mesh may learn of other balancers before it has any upstreams, so an empty list must be assignable.
func TestReconfigureWithEmptyList(t *testing.T) {
	config := &Config{Balancers: 1, Tariffs: []*Tariff{{HardStop: 1e9, ContractTime: 1e8}}, MaxAttempts: 2, ColdShare: 1}
	b, err := New(config, 1)
	if err != nil {
		t.Fatal(err)
	}
	other := *config
	other.Balancers, other.Index = 3, 1
	if err := b.Reconfigure(&other, 2); err != nil {
		t.Fatal(err)
	}
	b.Round(3, nil)
}

package logic

import (
	"math"
	"math/rand/v2"
	"testing"
)

// fleetSim plays many balancers before the same upstreams in one seeded loop. Each upstream has one line and works
// it off at its pace, slower while it is cold. Work is repeatable; checked are answers, hard stops, drains and cold ones.
type fleetSim struct {
	t         *testing.T
	rand      *rand.Rand
	now       int64
	balancers []*simBalancer
	upstreams []*simUpstream
	requests  []*simRequest
	started   int // transactions
	counts    map[string]int

	randomWork   bool // work takes longer or shorter by chance
	hotBalancers int  // so many balancers are sent five times as much as the others
}

// simBalancer is one balancer and takes its decisions.
type simBalancer struct {
	*Balancer
	sim       *fleetSim
	upstreams map[int]*simUpstream
	attempts  []*simAttempt // pushes under way
	probeEnds map[int]int64 // probes under way, by when they end
}

// simUpstream is one upstream.
type simUpstream struct {
	id           uint32
	rate         float64 // answers a second when warm
	startedAt    int64   // 0: warm
	coldShare    float64 // what it can do at its birth, of what it does when warm
	warmUp       int64
	busyUntil    int64 // when it has worked off its line
	draining     bool
	unresponsive bool // takes all and answers nothing, probes neither
	sentAt       []int64
}

// simAttempt is a push on its way.
type simAttempt struct {
	t         *Transaction
	number    int
	sentAt    int64
	dueAt     int64
	cancelled bool // off
}

// simRequest is a transaction as its client sees it.
type simRequest struct {
	attempts []*simAttempt
	hardStop int64
	answered bool
}

func newFleetSim(t *testing.T, config Config, balancers, upstreams int, pace float64, seed uint64) *fleetSim {
	t.Helper()
	f := &fleetSim{t: t, rand: rand.New(rand.NewPCG(seed, 2)), now: 100 * sec, counts: map[string]int{}}
	for n := range balancers {
		own := config
		own.Balancers, own.Index, own.Seed = balancers, n, seed*1000+uint64(n)
		b, err := New(&own, f.now)
		if err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, &simBalancer{Balancer: b, sim: f, upstreams: map[int]*simUpstream{}, probeEnds: map[int]int64{}})
	}
	for range upstreams {
		f.join(&simUpstream{rate: pace})
	}
	return f
}

// join has all balancers told of an upstream.
func (f *fleetSim) join(u *simUpstream) {
	u.id = uint32(len(f.upstreams)+1) * 2654435761
	f.upstreams = append(f.upstreams, u)
	for _, b := range f.balancers {
		i := b.Join()
		b.upstreams[i] = u
		b.List(i, Upstream{ID: u.id, Weight: 1, StartedAt: u.startedAt}, f.now)
	}
}

// leave has all balancers told that an upstream drains; it finishes what it has.
func (f *fleetSim) leave(u *simUpstream) {
	u.draining = true
	for _, b := range f.balancers {
		for i, req := range b.upstreams {
			if req == u {
				b.Drain(i)
			}
		}
	}
}

// warmth is the share of its capacity that an upstream has.
func (u *simUpstream) warmth(now int64) float64 {
	if u.startedAt == 0 {
		return 1
	}
	return min(1, u.coldShare+(1-u.coldShare)*float64(now-u.startedAt)/float64(u.warmUp))
}

// run sends rate transactions a second for a while.
func (f *fleetSim) run(rate float64, span int64) {
	const step = 5 * ms
	for until := f.now + span; f.now < until; {
		f.now += step
		for n := rate * float64(step) / float64(sec); n > 0 && f.rand.Float64() < n; n-- {
			b := f.balancers[f.rand.IntN(len(f.balancers))]
			if f.hotBalancers > 0 && f.rand.IntN(len(f.balancers)+4*f.hotBalancers) < 5*f.hotBalancers {
				b = f.balancers[f.rand.IntN(f.hotBalancers)]
			} else if f.hotBalancers > 0 {
				b = f.balancers[f.hotBalancers+f.rand.IntN(len(f.balancers)-f.hotBalancers)]
			}
			req := &simRequest{hardStop: f.now + 2*sec}
			f.started++
			f.requests = append(f.requests, req)
			b.Arrive(&Transaction{UserData: req}, 0, -1, 0, 2*sec, false, f.now)
		}
		for _, b := range f.balancers {
			b.deliverResults()
			b.Round(f.now, b)
		}
	}
	for _, req := range f.requests {
		if !req.answered && f.now > req.hardStop {
			f.t.Fatal("no answer at the hard stop")
		}
	}
}

// deliverResults tells a balancer what has become of its pushes.
func (b *simBalancer) deliverResults() {
	left := b.attempts[:0]
	for _, attempt := range b.attempts {
		req := attempt.t.UserData.(*simRequest)
		if !attempt.cancelled && attempt.dueAt > b.sim.now && b.sim.now < req.hardStop {
			left = append(left, attempt)
			continue
		}
		r := Settled
		if attempt.cancelled {
			r = Cancelled
		} else if attempt.dueAt > b.sim.now {
			r = TimedOut
		} else if !req.answered {
			req.answered = true
			b.sim.counts["settled"]++
		}
		b.Outcome(attempt.t, attempt.number, r, b.sim.now-attempt.sentAt, req.answered, b.sim.now)
	}
	b.attempts = left
	for i := range b.inUse { // in their order
		if at, under := b.probeEnds[i]; under && b.sim.now >= at {
			delete(b.probeEnds, i)
			b.ProbeResult(i, !b.upstreams[i].unresponsive)
		}
	}
}

func (b *simBalancer) Send(tx *Transaction, i int, until int64) {
	f, u, req := b.sim, b.upstreams[i], tx.UserData.(*simRequest)
	if req.answered || f.now > req.hardStop || u.draining {
		f.t.Fatal("a push after the answer, the hard stop or the leaving of its upstream")
	}
	work := 1.0
	if f.randomWork {
		work = f.rand.ExpFloat64()
	}
	u.busyUntil = max(u.busyUntil, f.now) + int64(work*float64(sec)/(u.rate*u.warmth(f.now)))
	attempt := &simAttempt{t: tx, number: len(req.attempts), sentAt: f.now, dueAt: u.busyUntil}
	if u.unresponsive {
		attempt.dueAt = math.MaxInt64
	}
	req.attempts = append(req.attempts, attempt)
	f.counts["pushes"]++
	b.attempts = append(b.attempts, attempt)
	u.sentAt = append(u.sentAt, f.now)
	span, bears := 0, b.config.OverloadFactor*u.warmth(f.now)*u.rate*float64(b.config.OverloadSpan)/float64(sec)
	for k := len(u.sentAt) - 1; k >= 0 && u.sentAt[k] > f.now-b.config.OverloadSpan; k-- {
		span++
	}
	if u.startedAt != 0 && float64(span) >= bears {
		f.t.Fatalf("%d pushes to a cold upstream within the span, %.1f make it fall", span, bears)
	}
}

func (b *simBalancer) Cancel(tx *Transaction, n int) {
	tx.UserData.(*simRequest).attempts[n].cancelled = true
}

func (b *simBalancer) answer(tx *Transaction, how string) {
	req := tx.UserData.(*simRequest)
	if req.answered || b.sim.now > req.hardStop+5*ms {
		b.sim.t.Fatal("a second answer, or one after the hard stop")
	}
	req.answered = true
	b.sim.counts[how]++
}

func (b *simBalancer) Defer(tx *Transaction, _ Reason, _ int64) { b.answer(tx, "deferred") }
func (b *simBalancer) Forfeit(tx *Transaction, _ Reason)        { b.answer(tx, "forfeited") }
func (b *simBalancer) Follow()                                  {}
func (b *simBalancer) Wake(int64)                               {}
func (b *simBalancer) SendReport(int, []byte)                   {}
func (b *simBalancer) Note(string)                              {}
func (b *simBalancer) HasIdleConn(int) bool                     { return false }

func (b *simBalancer) Probe(i int) {
	if b.probeEnds[i] = b.sim.now + 5*ms; b.upstreams[i].unresponsive {
		b.probeEnds[i] = b.sim.now + 400*ms
	}
}

// A zone says nothing for five seconds and is back, cold, before the list tells of its new start. Danger: what is out on
// connections that stay open times out, nothing is refused, and all that meet it take it for warm. What holds is the skip
// of those well above the mean in flight; taken back as cold after unanswered probes it was fed no less (tried).
func TestZoneReturningFromOutageIsCold(t *testing.T) {
	config := *testConfig(testTariff(Idempotent, Everywhere))
	config.ColdShare, config.WarmUp, config.OverloadFactor, config.OverloadSpan = 0.12, 24*sec, 4, sec
	for seed := range uint64(3) {
		f := newFleetSim(t, config, 13, 16, 20, seed+1)
		f.run(200, 10*sec)
		for _, u := range f.upstreams[:5] {
			u.unresponsive = true
		}
		f.run(200, 5*sec)
		for _, u := range f.upstreams[:5] { // its line is gone
			u.unresponsive, u.startedAt, u.coldShare, u.warmUp, u.busyUntil, u.sentAt = false, f.now, 0.12, 24*sec, 0, nil
		}
		f.run(200, 4*sec)
		f.started, f.counts = 0, map[string]int{}
		f.run(200, 4*sec)
		returned := 0
		for _, u := range f.upstreams[:5] {
			returned += len(u.sentAt)
		}
		if settled := float64(f.counts["settled"]) / float64(f.started); settled < 0.8 || returned < 20 {
			t.Errorf("seed %d: %.2f settled, %d pushes to what is back", seed, settled, returned)
		}
	}
}

// Most of the list is new at once: the few warm ones that are left can't carry the work, and what all balancers
// together send to a cold one is still below what makes it fall.
func TestColdUpstreamsCarryLoadWhenMostOfListIsReplaced(t *testing.T) {
	config := *testConfig(testTariff(Idempotent, Everywhere))
	config.ColdShare, config.WarmUp, config.OverloadFactor, config.OverloadSpan = 0.12, 24*sec, 4, sec
	config.Tariffs[0].LateEarnings = 0
	for seed := range uint64(3) {
		f := newFleetSim(t, config, 13, 16, 20, seed+1)
		f.run(170, 5*sec)
		for k := range 10 {
			f.leave(f.upstreams[k])
			f.join(&simUpstream{rate: 20, startedAt: f.now, coldShare: 0.2, warmUp: 14 * sec})
		}
		f.run(170, 2*sec)
		f.started, f.counts = 0, map[string]int{}
		f.run(170, 6*sec)
		if settled := float64(f.counts["settled"]) / float64(f.started); settled < 0.8 {
			t.Errorf("seed %d: %.2f settled of %d, %v", seed, settled, f.started, f.counts)
		}
	}
}

// Nothing is wrong anywhere. What each balancer sends twice is little by itself; in a service of several tiers all
// of that multiplies, and each loser costs its connection.
func TestFleetSendsFewHedgesWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		least, most int // copies in a thousand transactions
	}{{40, 1, 20}, {2, 25, 80}} { // two may rescue what a few in a hundred lose
		f := newFleetSim(t, *testConfig(testTariff(Idempotent, Everywhere)), c.balancers, 40, 20, 1)
		f.randomWork = true
		f.run(300, 12*sec)
		f.started, f.counts = 0, map[string]int{}
		f.run(300, 12*sec)
		if extra := (f.counts["pushes"] - f.started) * 1000 / f.started; extra > c.most || extra < c.least {
			t.Errorf("%d balancers: %d copies in a thousand, want %d to %d", c.balancers, extra, c.least, c.most)
		}
	}
}

// Some are sent five times as much as the others. Danger: with a part of the list as large as theirs they fill it, and are
// out of room, while the rest is idle.
func TestOverloadedBalancerGetsLargerShareOfList(t *testing.T) {
	for seed := range uint64(3) {
		config := *testConfig(testTariff(Idempotent, Everywhere))
		config.Tariffs[0].LateEarnings, config.Customers = 0, []*Customer{{Rate: 1080}}
		f := newFleetSim(t, config, 40, 64, 20, seed+1)
		f.randomWork, f.hotBalancers = true, 5
		f.run(900, 4*sec)
		for _, u := range f.upstreams {
			u.sentAt = nil
		}
		f.started, f.counts = 0, map[string]int{}
		f.run(900, 16*sec)
		most := 0
		for _, u := range f.upstreams {
			most = max(most, len(u.sentAt))
		}
		if ratio := float64(most) / (900 * 16 / 64); ratio > 1.4 || f.counts["deferred"] > f.started/200 {
			t.Errorf("seed %d: one upstream has %.2f times the mean; %v of %d", seed, ratio, f.counts, f.started)
		}
		for n, b := range f.balancers {
			if (b.shareCount > 1) != (n < f.hotBalancers) {
				t.Errorf("seed %d: balancer %d has %.0f parts", seed, n, b.shareCount)
			}
		}
	}
}

// Nothing is wrong and each balancer has seen little. Danger: the least of many means over few is far below what is usual,
// and whatever is usual passes for a crowd from then on.
func TestBaseRatioIgnoresNoiseOfFewSamples(t *testing.T) {
	low, total := 0, 0
	for seed := range uint64(3) {
		f := newFleetSim(t, *testConfig(testTariff(Idempotent, Everywhere)), 20, 40, 8, seed+1)
		f.randomWork = true
		f.run(150, 5*sec)
		usual := 0.0
		for _, b := range f.balancers {
			usual += b.longLoad / b.longRate / float64(len(f.balancers))
		}
		for _, b := range f.balancers {
			if total++; congestedRatio*b.baseRatio < usual {
				low++
			}
		}
	}
	if low > total/20 {
		t.Errorf("%d of %d balancers take the usual for a crowd", low, total)
	}
}

// Each balancer of a fleet opens connections to all of its part, whatever it sends there.
func TestSharesOfListNeedFewConnections(t *testing.T) {
	f := newFleetSim(t, *testConfig(testTariff(Idempotent, Everywhere)), 40, 40, 20, 1)
	f.run(0, 50*ms)
	pairs := 0
	for _, b := range f.balancers {
		pairs += len(b.assigned)
	}
	if mean := float64(pairs) / float64(len(f.upstreams)); mean < minOverlap || mean > 7.5 {
		t.Errorf("an upstream is met by %.1f balancers in the mean, want six and some edges", mean)
	}
}

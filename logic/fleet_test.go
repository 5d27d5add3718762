package logic

import (
	"math"
	"math/rand/v2"
	"testing"
)

// fleetSim simulates many balancers with the same upstreams in one seeded loop. Each upstream works off a single queue,
// more slowly while it is cold. Transactions are idempotent. It checks answers, hard stops, drains and cold upstreams.
type fleetSim struct {
	t         *testing.T
	rand      *rand.Rand
	now       int64
	balancers []*simBalancer
	upstreams []*simUpstream
	requests  []*simRequest
	started   int // number of transactions
	counts    map[string]int

	randomWork   bool // service times are exponentially distributed
	hotBalancers int  // number of balancers with five times the load of the others
}

// simBalancer is one balancer and the Writer of its decisions.
type simBalancer struct {
	*Balancer
	sim       *fleetSim
	upstreams map[int]*simUpstream
	attempts  []*simAttempt // pending attempts
	probeEnds map[int]int64 // end of each pending probe, by upstream
}

type simUpstream struct {
	id           uint32
	rate         float64 // answers per second when warm
	startedAt    int64   // 0: warm for long
	coldShare    float64 // share of its rate at its start
	warmUp       int64
	busyUntil    int64 // when its queue is empty
	draining     bool
	unresponsive bool // accepts everything and answers nothing, probes included
	sentAt       []int64
}

type simAttempt struct {
	tx        *Transaction
	number    int
	sentAt    int64
	dueAt     int64
	cancelled bool
}

// simRequest is a transaction as seen by its client.
type simRequest struct {
	attempts []*simAttempt
	hardStop int64
	answered bool
}

func newFleetSim(t *testing.T, config Config, balancers, upstreams int, rate float64, seed uint64) *fleetSim {
	t.Helper()
	f := &fleetSim{t: t, rand: rand.New(rand.NewPCG(seed, 2)), now: 100 * sec, counts: map[string]int{}}
	for n := range balancers {
		own := config
		own.Balancers, own.Index, own.Seed = balancers, n, seed*1000+uint64(n)
		b, err := New(&own, f.now)
		if err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, &simBalancer{
			Balancer: b, sim: f, upstreams: map[int]*simUpstream{}, probeEnds: map[int]int64{}})
	}
	for range upstreams {
		f.join(&simUpstream{rate: rate})
	}
	return f
}

// join lists an upstream at all balancers.
func (f *fleetSim) join(u *simUpstream) {
	u.id = uint32(len(f.upstreams)+1) * 2654435761
	f.upstreams = append(f.upstreams, u)
	for _, b := range f.balancers {
		i := b.Join()
		b.upstreams[i] = u
		b.List(i, Upstream{ID: u.id, Weight: 1, StartedAt: u.startedAt}, f.now)
	}
}

// leave drains an upstream at all balancers. It finishes its queue.
func (f *fleetSim) leave(u *simUpstream) {
	u.draining = true
	for _, b := range f.balancers {
		for i, other := range b.upstreams {
			if other == u {
				b.Drain(i)
			}
		}
	}
}

// warmth returns the share of its rate that an upstream has by now.
func (u *simUpstream) warmth(now int64) float64 {
	if u.startedAt == 0 {
		return 1
	}
	return min(1, u.coldShare+(1-u.coldShare)*float64(now-u.startedAt)/float64(u.warmUp))
}

// run simulates a span of time, with rate transactions per second.
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

// deliverResults reports the results of attempts and probes that are due.
func (b *simBalancer) deliverResults() {
	left := b.attempts[:0]
	for _, attempt := range b.attempts {
		req := attempt.tx.UserData.(*simRequest)
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
		b.Outcome(attempt.tx, attempt.number, r, b.sim.now-attempt.sentAt, req.answered, b.sim.now)
	}
	b.attempts = left
	for i := range b.inUse { // in a fixed order
		if at, under := b.probeEnds[i]; under && b.sim.now >= at {
			delete(b.probeEnds, i)
			b.ProbeResult(i, !b.upstreams[i].unresponsive)
		}
	}
}

func (b *simBalancer) Send(tx *Transaction, i int, until int64) {
	f, u, req := b.sim, b.upstreams[i], tx.UserData.(*simRequest)
	if req.answered || f.now > req.hardStop || u.draining {
		f.t.Fatal("an attempt after the answer, after the hard stop or at a draining upstream")
	}
	work := 1.0
	if f.randomWork {
		work = f.rand.ExpFloat64()
	}
	u.busyUntil = max(u.busyUntil, f.now) + int64(work*float64(sec)/(u.rate*u.warmth(f.now)))
	attempt := &simAttempt{tx: tx, number: len(req.attempts), sentAt: f.now, dueAt: u.busyUntil}
	if u.unresponsive {
		attempt.dueAt = math.MaxInt64
	}
	req.attempts = append(req.attempts, attempt)
	f.counts["attempts"]++
	b.attempts = append(b.attempts, attempt)
	u.sentAt = append(u.sentAt, f.now)
	span, bears := 0, b.config.OverloadFactor*u.warmth(f.now)*u.rate*float64(b.config.OverloadSpan)/float64(sec)
	for k := len(u.sentAt) - 1; k >= 0 && u.sentAt[k] > f.now-b.config.OverloadSpan; k-- {
		span++
	}
	if u.startedAt != 0 && float64(span) >= bears {
		f.t.Fatalf("%d attempts at a cold upstream within the span, %.1f overload it", span, bears)
	}
}

func (b *simBalancer) Cancel(tx *Transaction, n int) {
	tx.UserData.(*simRequest).attempts[n].cancelled = true
}

func (b *simBalancer) answer(tx *Transaction, ending string) {
	req := tx.UserData.(*simRequest)
	if req.answered || b.sim.now > req.hardStop+5*ms {
		b.sim.t.Fatal("a second answer, or one after the hard stop")
	}
	req.answered = true
	b.sim.counts[ending]++
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

// A zone does not answer for five seconds and returns cold, before the list shows its restart. As connections stay
// open, attempts time out and none is refused, so all balancers take its upstreams for warm. Skipping upstreams far
// above the mean in flight keeps them from overload. Reinstating them as cold after unanswered probes was tried, and
// did not reduce what they were sent.
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
		for _, u := range f.upstreams[:5] { // its queue is lost
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
			t.Errorf("seed %d: %.2f settled, %d attempts at the returned zone", seed, settled, returned)
		}
	}
}

// Most of the list is replaced at once. The few warm upstreams cannot carry the load, while all balancers together
// must not overload a cold one.
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

// Without any fault, hedges must be rare: they multiply over the tiers of a service, and each cancelled attempt
// closes its connection.
func TestFleetSendsFewHedgesWithoutFaults(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		least, most int // hedges per thousand transactions
	}{{40, 1, 20}, {2, 25, 80}} { // two balancers may hedge some per cent
		f := newFleetSim(t, *testConfig(testTariff(Idempotent, Everywhere)), c.balancers, 40, 20, 1)
		f.randomWork = true
		f.run(300, 12*sec)
		f.started, f.counts = 0, map[string]int{}
		f.run(300, 12*sec)
		if extra := (f.counts["attempts"] - f.started) * 1000 / f.started; extra > c.most || extra < c.least {
			t.Errorf("%d balancers: %d hedges per thousand, want %d to %d", c.balancers, extra, c.least, c.most)
		}
	}
}

// Some balancers get five times the load of the others. With equal shares of the list they would fill theirs and reach
// their limit while the other upstreams are idle.
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
			t.Errorf("seed %d: one upstream gets %.2f times the mean; %v of %d", seed, ratio, f.counts, f.started)
		}
		for n, b := range f.balancers {
			if (b.shareCount > 1) != (n < f.hotBalancers) {
				t.Errorf("seed %d: balancer %d has %.0f shares", seed, n, b.shareCount)
			}
		}
	}
}

// Without any fault, each balancer has few samples. The minimum of many means over few samples is far below the usual
// value, which would then look like congestion.
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
		t.Errorf("%d of %d balancers take the usual ratio for congestion", low, total)
	}
}

// Each balancer opens connections to all of its assigned upstreams, however little it sends, so there must be few.
func TestSharesOfListNeedFewConnections(t *testing.T) {
	f := newFleetSim(t, *testConfig(testTariff(Idempotent, Everywhere)), 40, 40, 20, 1)
	f.run(0, 50*ms)
	pairs := 0
	for _, b := range f.balancers {
		pairs += len(b.assigned)
	}
	if mean := float64(pairs) / float64(len(f.upstreams)); mean < minOverlap || mean > 7.5 {
		t.Errorf("%.1f balancers per upstream in the mean, want 6 to 7.5", mean)
	}
}

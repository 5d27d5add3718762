package logic

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// drawn sets up terms of any legal shape.
func drawn(seed uint64) *Terms {
	t := terms(tariff(Repeatable, Everywhere), tariff(OnceOnly, SameCell), tariff(Tagged, Everywhere),
		tariff(Tagged, SameZone), tariff(Tagged, SameCell))
	t.Seed, t.Layer = seed, int(seed%3)
	t.SecondCopies, t.Cancelling, t.Probing = seed%4 != 0, seed%5 != 0, seed%7 != 0
	t.AskForList, t.MaxPushes = seed%2 == 0, 1+int(seed%6)
	t.Tariffs[0].LateEarnings = float64(seed % 2)
	t.Balancers, t.Index = []int{2, 30, 400}[seed/4%3], int(seed%2)
	t.Peers, t.LiveWeights = seed%3 == 1, seed%5 == 2
	return t
}

// FuzzRules plays random legal rounds; the world checks the rules at every decision, the end that all was
// answered.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		w := newWorld(t, drawn(seed), 6, seed)
		for i := range w.up {
			w.list(i, Upstream{Weight: 1 + float64(i%2), Zone: i % 2, Cell: i / 2})
		}
		pace, ill := 1+w.rand.IntN(4), w.rand.IntN(6)
		for step := range 3000 {
			if step%400 == 0 {
				ill, pace = w.rand.IntN(6), 1+w.rand.IntN(4)
				w.retune()
			}
			for range w.rand.IntN(pace) {
				w.arrive(w.rand.IntN(len(w.terms.Tariffs)), 100*ms+w.rand.Int64N(3*s))
			}
			if w.rand.IntN(8) == 0 {
				w.stream(w.rand.IntN(len(w.terms.Tariffs)))
			}
			w.whole(30)
			w.happen(ill)
			w.hear()
			w.round(5 * ms)
			w.invariants()
		}
		w.whole(1)
		w.until(w.now + 4*s)
		for _, o := range w.owed {
			if !o.final {
				t.Fatal("a transaction without a final answer")
			}
		}
	})
}

// happen delivers what is due and now and then changes the list.
func (w *world) happen(ill int) {
	kept := w.owed[:0]
	for _, o := range w.owed {
		out := 0
		for n, p := range o.pushes {
			switch {
			case p.done:
			case p.due > w.now || p.upstream == ill && p.result != Cancelled && w.now < o.stop:
				out++
			case p.result == Cancelled:
				w.result(o, n, Cancelled)
			case w.now >= o.stop:
				w.result(o, n, TimedOut)
			case w.rand.IntN(8) == 0:
				w.result(o, n, Result(1+w.rand.IntN(5)))
			default:
				w.result(o, n, Settled)
			}
		}
		if !o.final && w.rand.IntN(500) == 0 {
			o.final = true
			w.b.Vanish(o.t)
		}
		if !o.final || out > 0 || w.now < o.stop+4*s {
			kept = append(kept, o)
		}
	}
	w.owed = kept
	for i := range w.up {
		if at, out := w.probes[i]; out && at <= w.now {
			delete(w.probes, i)
			w.b.Probed(i, i != ill)
		}
	}
	if i := w.rand.IntN(len(w.up)); w.rand.IntN(300) == 0 {
		switch _, leaving := w.told[i]; {
		case leaving && w.b.Known(i):
			w.list(i, Upstream{Weight: 1, Zone: w.up[i].Zone, Cell: w.up[i].Cell, Born: w.now - w.rand.Int64N(s)})
			w.sent[i] = nil
		case leaving:
			w.list(w.b.Join(), Upstream{Weight: 1, Born: w.now})
		case w.rand.IntN(2) == 0:
			w.told[i] = w.now
			w.b.Drain(i)
		default:
			w.told[i] = w.now
			w.b.Leave(i)
		}
	}
	if w.rand.IntN(400) == 0 {
		w.b.Listed(false, w.now)
	}
}

// hear tells what peers may say, true or not: also nonsense, from whoever there is or isn't.
func (w *world) hear() {
	if w.rand.IntN(3) == 0 {
		raw := make([]byte, w.rand.IntN(12))
		for k := range raw {
			raw[k] = byte(w.rand.Uint32())
			if w.rand.IntN(2) == 0 {
				raw[k] = w.b.check<<5 | raw[k]&7
			}
		}
		w.b.Told(w.rand.IntN(w.terms.Balancers+2)-1, raw, w.now)
	}
	if i := w.rand.IntN(len(w.up)); w.terms.LiveWeights && w.told[i] == 0 && w.b.Known(i) && w.rand.IntN(20) == 0 {
		w.up[i].Weight, w.up[i].Kind = 2/(1+4*w.rand.Float64()), i%3
		w.b.List(i, w.up[i], w.now)
	}
}

// invariants checks the balancer's own books.
func (w *world) invariants() {
	out, held := make([]int, len(w.b.flying)), 0
	for _, o := range w.owed {
		for _, p := range o.pushes {
			if !p.done {
				out[p.upstream]++
			}
		}
		if !o.final && len(o.pushes) > 0 && !o.t.Unwhole {
			held++
		}
	}
	if !slices.Equal(out, w.b.flying) {
		w.t.Fatalf("in flight %v, counted %v", out, w.b.flying)
	}
	if held != w.b.open {
		w.t.Fatalf("in hand %d, counted %d", held, w.b.open)
	}
	if b := w.b.bucket; b < 0 || b > w.most {
		w.t.Fatalf("bucket %.1f, at most %.1f were ever allowed", b, w.most)
	}
	for k, t := range w.b.dues {
		if t.slot != k || k > 0 && t.due < w.b.dues[(k-1)/2].due {
			w.t.Fatalf("due times out of order at %d", k)
		}
	}
}

// feed settles n transactions, each in took, so that the window knows the tier.
func (w *world) feed(n int, took int64) {
	for range n {
		o := w.arrive(0, 3*s)
		w.round(ms)
		if len(o.pushes) == 0 {
			w.t.Fatal("not pushed")
		}
		w.now += took
		w.result(o, 0, Settled)
		w.round(ms)
	}
}

func TestCopyAfterQuantileAndCancelOfLoser(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 4, 1)
	w.feed(minSamples-1, 50*ms)
	o := w.arrive(0, 3*s)
	w.until(w.now + 500*ms)
	if len(o.pushes) != 1 {
		t.Fatalf("a copy before the window has its samples: %d pushes", len(o.pushes))
	}
	w.result(o, 0, Settled)
	w.feed(20, 50*ms)
	w.until(w.now + beat)
	o = w.arrive(0, 3*s)
	w.until(w.now + 45*ms)
	if len(o.pushes) != 1 {
		t.Fatal("a copy before the quantile")
	}
	w.until(w.now + 3*s/2)
	if len(o.pushes) != 2 || o.pushes[0].upstream == o.pushes[1].upstream {
		t.Fatalf("no copy on another upstream: %d pushes", len(o.pushes))
	}
	w.result(o, 1, Settled)
	w.round(ms)
	if o.pushes[0].result != Cancelled {
		t.Fatal("the loser is not cancelled")
	}
}

// A push that was turned away before an upstream is free where terms say so, and as many as they say.
func TestRefusalsThatDoNotCount(t *testing.T) {
	for free, want := range map[int]int{0: 1, 2: 3} {
		one := terms(tariff(Repeatable, Everywhere))
		one.MaxPushes, one.FreeRefusals = 1, free
		w := newWorld(t, one, 6, 1)
		o := w.arrive(0, s)
		w.round(ms)
		w.b.bucket = 9
		for n := 0; n < len(o.pushes); n++ {
			w.result(o, n, TurnedAway)
			w.round(ms)
		}
		if len(o.pushes) != want || !o.final {
			t.Errorf("%d pushes of 1 and %d free, want %d", len(o.pushes), free, want)
		}
	}
}

func TestGateBucketAndWinRate(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 4, 1)
	b := w.b
	b.results[b.pane], b.faults[b.pane] = 4, 1
	if b.gated() {
		t.Error("the gate closes on a single failure")
	}
	b.faults[b.pane] = 2
	if !b.gated() {
		t.Error("the gate stays open at half")
	}
	if b.bucket, b.losers = 1.5, 1; b.funded() {
		t.Error("a loser that still runs is not charged")
	}
	b.copies[0], b.won[0] = winSamples, 1
	w.until(w.now + winWindow/wins + beat)
	if b.allowance != 0.5 {
		t.Errorf("allowance %.2f after copies that don't win, want a half", b.allowance)
	}
	w.until(w.now + 2*winWindow)
	if b.allowance != 1 {
		t.Errorf("allowance %.2f, want all back", b.allowance)
	}
}

func TestRotationFollowsWeights(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 3, 1)
	w.list(2, Upstream{Weight: 2})
	w.feed(40, ms)
	counts := map[int]int{}
	for _, i := range w.pushed {
		counts[i]++
	}
	if counts[2] != 20 || counts[0] != 10 {
		t.Errorf("turns %v, want 10, 10 and 20", counts)
	}
}

func TestSilentUpstreamIsSetAsideAndComesBackAfterProbes(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 5, 1)
	w.feed(60, 50*ms)
	for range 400 { // upstream 3 takes work and answers nothing
		o := w.arrive(0, 2*s)
		w.round(20 * ms)
		w.round(30 * ms)
		for n, p := range o.pushes {
			if p.upstream != 3 && !p.done {
				w.result(o, n, Settled)
			}
		}
		w.happenOnly(o)
		if w.b.aside[3] != 0 {
			break
		}
	}
	if w.b.aside[3] == 0 {
		t.Fatal("the silent upstream is still in service")
	}
	w.until(w.now + 5*asideFor/4 + beat)
	if len(w.probes) == 0 {
		t.Fatal("no probe")
	}
	for range probesDue {
		w.b.Probed(3, true)
		w.until(w.now + 2*probeEvery)
	}
	if w.b.aside[3] != 0 || w.b.doubt[3] == 0 {
		t.Error("not back under doubt after it answered")
	}
}

func TestSilenceUntilTheContractTimeCountsWithoutAQuantile(t *testing.T) {
	f := tariff(Repeatable, Everywhere)
	f.LateEarnings = 0
	w := newWorld(t, terms(f), 4, 1)
	for range 18 { // too few samples for a quantile
		o := w.arrive(0, 2*s)
		w.round(5 * ms)
		for n, p := range o.pushes {
			if p.upstream != 0 {
				w.until(w.now + 20*ms)
				w.result(o, n, Settled)
			}
		}
		w.until(w.now + s)
		for n, p := range o.pushes {
			if !p.done {
				w.result(o, n, Cancelled)
			}
		}
	}
	if w.b.trigger != 0 {
		t.Fatal("there is a quantile: the test shows nothing")
	}
	if w.b.aside[0] == 0 || w.b.aside[1] != 0 {
		t.Errorf("set aside: %v, want 0 alone", w.b.aside)
	}
}

// happenOnly lets time pass for the pushes that nobody answers.
func (w *world) happenOnly(last *owed) {
	for _, o := range w.owed {
		for n, p := range o.pushes {
			if !p.done && (p.result == Cancelled || w.now >= o.stop-100*ms) {
				w.result(o, n, max(p.result, TimedOut))
			}
		}
	}
}

func TestSharedTroubleSetsNobodyAside(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 5, 1)
	w.terms.Layer = 1
	for range 300 {
		o := w.arrive(0, 2*s)
		w.round(5 * ms)
		w.result(o, 0, []Result{Settled, Errored}[w.rand.IntN(2)])
		w.round(5 * ms)
		for n, p := range o.pushes {
			if !p.done {
				w.result(o, n, Settled)
			}
		}
	}
	if n, _ := w.b.serving(); n < 4 {
		t.Errorf("%d of 5 in service though all fail alike", n)
	}
}

func TestPaceIsWhatWarmUpstreamsSettle(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 4, 1)
	w.feed(500, 18*ms) // 50 a second over four
	if pace := w.b.pace * float64(s); pace < 9 || pace > 14 {
		t.Errorf("pace %.1f a second for each upstream, want 12.5", pace)
	}
}

func TestCutZoneIsSetAsideWhole(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 4, 1)
	for range 200 { // half of the upstreams can't be reached
		o := w.arrive(0, 2*s)
		w.round(5 * ms)
		for n := 0; n < len(o.pushes); n++ {
			if o.pushes[n].done {
				continue
			}
			w.result(o, n, []Result{Unreachable, Settled}[o.pushes[n].upstream%2])
			w.round(5 * ms)
		}
	}
	if w.b.aside[0] == 0 || w.b.aside[2] == 0 || w.b.aside[1] != 0 {
		t.Errorf("set aside: %v, want 0 and 2", w.b.aside)
	}
}

func TestReturnFromTheDeadIsCold(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 3, 1)
	w.b.dead[1] = true
	w.b.setAside(1, Errored)
	w.b.restore(1)
	if w.b.warmth(1) >= 1 {
		t.Error("taken for warm")
	}
}

func TestCrowdWaitsInLineAndIsDeferredEarly(t *testing.T) {
	terms := terms(tariff(Repeatable, Everywhere))
	terms.Balancers = 1000
	w := newWorld(t, terms, 3, 1)
	w.feed(2, ms)
	w.b.room = 2
	for range 8 {
		w.arrive(0, 3*s)
	}
	w.round(ms)
	if w.b.open != 5 {
		t.Fatalf("%d in hand, room for 2 and what chance may bring", w.b.open)
	}
	w.until(w.now + s/4)
	if w.finals["deferred"] != 3 {
		t.Errorf("%d of 3 deferred by a quarter of the contract time", w.finals["deferred"])
	}
	w.until(w.now + s/4)
	w.result(w.owed[2], 0, Settled)
	w.result(w.owed[3], 0, Settled)
	w.b.mean = 2.1
	w.arrive(0, 3*s)
	if w.round(ms); w.b.open != 3 {
		t.Errorf("%d in hand, the mean was over room for 2", w.b.open)
	}
}

func TestRoomFollowsWhatIsInService(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 8, 1)
	b := w.b
	step := func(beats int) { // 100 a second in 0.3 s each
		for range beats {
			w.now += beat
			b.now, b.open, b.inHand, b.ends = w.now, 30, 30/float64(s), 20
			b.makeRoom(float64(beat))
		}
	}
	step(50)
	for i := range 6 {
		b.Drain(i)
	}
	b.room = 17
	step(5)
	if b.room > 20 {
		t.Errorf("room grows to %.0f for two upstreams of eight, which settled 100 a second together", b.room)
	}
}

func TestIndexWithANewOwnerIsNotTheOldGroup(t *testing.T) {
	w := newWorld(t, terms(tariff(Tagged, SameCell)), 2, 1)
	w.list(1, Upstream{Weight: 1, Cell: 1})
	w.b.bucket, w.b.turn[0] = 10, 10
	o := w.arrive(0, 2*s)
	w.round(ms)
	w.told[0] = w.now
	w.b.Leave(0)
	w.result(o, 0, Errored) // may have run in cell 0
	w.list(w.b.Join(), Upstream{Weight: 1, Cell: 1})
	w.round(ms)
	if len(o.pushes) != 1 || w.finals["forfeited"] != 1 {
		t.Errorf("%d pushes, answers %v: want one push and a forfeit", len(o.pushes), w.finals)
	}
}

func TestTermsThatCannotWork(t *testing.T) {
	for n, spoil := range []func(*Terms){
		func(t *Terms) { t.Balancers = 0 }, func(t *Terms) { t.Tariffs = nil },
		func(t *Terms) { t.MaxPushes = 0 }, func(t *Terms) { t.ColdShare = 0 },
	} {
		terms := terms(tariff(Repeatable, Everywhere))
		spoil(terms)
		if _, err := New(terms, 0); err == nil {
			t.Error(fmt.Sprint("spoilt terms accepted: ", n))
		}
	}
}

func TestBalancersTogetherStartAnywhereInTheRound(t *testing.T) {
	heavy := 0
	for seed := range uint64(300) {
		terms := terms(tariff(Repeatable, Everywhere))
		terms.Seed = seed * 0x9e3779b97f4a7c15 >> 32
		w := newWorld(t, terms, 40, seed)
		for i := range w.up {
			w.list(i, Upstream{Weight: float64(1 + i%2*2)})
		}
		w.feed(1, ms)
		heavy += w.pushed[0] % 2
	}
	if heavy < 195 || heavy > 255 {
		t.Errorf("%d of 300 first pushes go to the heavy half, which has three quarters of the weight", heavy)
	}
}

// FuzzDivision deals lists of any make out to balancers of any number: each upstream's weight falls to them
// in full, and a few balancers each have the whole list.
func FuzzDivision(f *testing.F) {
	for _, n := range []uint16{1, 2, 7, 8, 9, 23, 64, 310, 1000} {
		f.Add(n, uint8(n%90+1))
	}
	f.Fuzz(func(t *testing.T, balancers uint16, upstreams uint8) {
		all, list := int(balancers%1024)+1, make([]Upstream, upstreams)
		got, met := make([]float64, len(list)), make([]int, len(list))
		for i := range list {
			list[i] = Upstream{Number: uint32(i * i * 977), Weight: float64(1 + i%3), Zone: i % 2, Cell: i / 4}
		}
		for index := range all {
			terms := terms(tariff(Repeatable, Everywhere))
			terms.Balancers, terms.Index = all, index+index%2*all // a number beyond the last counts from the first
			w := newWorld(t, terms, 0, 1)
			for k := range list { // the list comes to each in another order
				i := (k + index) % len(list)
				w.list(w.b.Join(), list[i])
			}
			w.round(ms)
			for k, part := range w.b.part {
				i := (k + index) % len(list)
				got[i] += part
				if part > 0 {
					met[i]++
				}
				if all <= metBy && len(list)*metBy >= fewOwn*all && part < list[i].Weight-1e-9 {
					t.Errorf("%d of %d balancers has %.2f of weight %.0f", index, all, part, list[i].Weight)
				}
			}
			if len(list) > 0 && len(w.b.own) == 0 {
				t.Errorf("%d of %d balancers has no upstream of its own", index, all)
			}
		}
		for i, u := range list {
			if want := got[0] / list[0].Weight * u.Weight; math.Abs(got[i]-want) > 1e-6*want {
				t.Errorf("%d balancers turn to upstream %d with %.3f in all, want %.3f", all, i, got[i], want)
			}
			if met[i] < min(metBy, all) {
				t.Errorf("upstream %d is met by %d of %d balancers", i, met[i], all)
			}
		}
	})
}

func TestContractTimeOfARepeatRunsFromItsFirstTry(t *testing.T) {
	terms := terms(tariff(Repeatable, Everywhere))
	terms.Tariffs[0].LateEarnings, terms.Tariffs[0].HardStop = 0, 3*s
	w := newWorld(t, terms, 4, 1)
	w.feed(1, ms) // a client that waits 3 s for its first try
	late := &Transaction{}
	w.of[late] = &owed{t: late, tariff: terms.Tariffs[0], stop: w.now + 3*s/2}
	w.b.Arrive(late, 0, -1, 0, 3*s/2, true, w.now)
	early := &Transaction{}
	w.of[early] = &owed{t: early, tariff: terms.Tariffs[0], stop: w.now + 5*s/2}
	w.b.Arrive(early, 0, -1, 0, 5*s/2, true, w.now)
	w.round(ms)
	if len(w.of[late].pushes) != 0 || !w.of[late].final {
		t.Error("pushed though the contract time of its first try is over")
	}
	if len(w.of[early].pushes) != 1 || early.contract != w.now-ms+s/2 {
		t.Error("half of the contract time was left")
	}
}

func TestSharesOverManyBalancers(t *testing.T) {
	terms := terms(tariff(Repeatable, Everywhere))
	terms.Balancers, terms.Customers = 300, []*Customer{{Rate: 90}} // 0.3 a second here
	w := newWorld(t, terms, 20, 1)
	within := 0
	for range 60 { // a quarter a second, two at a time
		for range 2 {
			o := &Transaction{tariff: terms.Tariffs[0], customer: terms.Customers[0]}
			w.b.now = w.now
			if w.b.appraise(o); o.value == 1 {
				within++
			}
		}
		w.now += 8 * s
	}
	if within < 110 {
		t.Errorf("%d of 120 within a share that is not used up", within)
	}
	if w.b.expect(); w.b.room*300 > 90*ample+1e-6 {
		t.Errorf("first room of all is %.1f, the shares come to %.1f", w.b.room*300, 90*ample)
	}
}

func TestMeanInHandHoldsFromTheStart(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 8, 1)
	for range 10 {
		w.arrive(0, 3*s)
	}
	w.until(w.now + 3*s/2)
	if w.b.mean < 8 {
		t.Errorf("a mean of %.1f after a second and a half with ten in hand", w.b.mean)
	}
}

// Danger: a client that sends nonsense would have every upstream set aside, and copying paused, by their answers.
func TestRejectionsSayNothingOfAnUpstream(t *testing.T) {
	w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 2, 1)
	for range 200 {
		o := w.arrive(0, s)
		w.round(ms)
		w.result(o, 0, Rejected)
		w.round(ms)
		if len(o.pushes) != 1 || !o.t.Closed() {
			t.Fatalf("%d pushes, closed %t", len(o.pushes), o.t.Closed())
		}
	}
	if w.b.gated() || w.b.aside[0] != 0 || w.b.aside[1] != 0 || sum(w.b.bad) != 0 {
		t.Errorf("aside %v, %d bad", w.b.aside, sum(w.b.bad))
	}
}

// Danger: where connections soon close, going round all upstreams pays for a new one with nearly every push. What is
// kept is used first, but in the long run the turns stay even.
func TestKeptConnectionsAreUsedFirstAndTurnsStayEven(t *testing.T) {
	again := func(keeps bool) (same int) {
		w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 12, 1)
		w.kept = map[int]bool{}
		turns := map[int]int{}
		for n := range 1200 {
			o := w.arrive(0, s)
			w.round(ms)
			w.result(o, 0, Settled)
			at := w.pushed[n]
			if turns[at]++; n > 0 && w.pushed[n-1] == at {
				same++
			}
			clear(w.kept) // all the others have closed by now
			w.kept[at] = keeps
		}
		for i, n := range turns {
			if n < 95 || n > 105 {
				t.Errorf("upstream %d had %d of 1200 turns", i, n)
			}
		}
		return same
	}
	if all, one := again(false), again(true); all > 60 || one < 700 {
		t.Errorf("of 1200 pushes %d and, with a kept connection, %d followed another at their upstream", all, one)
	}
}

// An empty list is divided too: a mesh's balancer is told of others before it is told of upstreams.
func TestRetuneWithAnEmptyList(t *testing.T) {
	terms := &Terms{Balancers: 1, Tariffs: []*Tariff{{HardStop: 1e9, ContractTime: 1e8}}, MaxPushes: 2, ColdShare: 1}
	b, err := New(terms, 1)
	if err != nil {
		t.Fatal(err)
	}
	other := *terms
	other.Balancers, other.Index = 3, 1
	if err := b.Retune(&other, 2); err != nil {
		t.Fatal(err)
	}
	b.Round(3, nil)
}

package logic

import (
	"math"
	"math/rand/v2"
	"testing"
)

// fleet plays many balancers before the same upstreams in one seeded loop. Each upstream has one line and works
// it off at its pace, slower while it is cold. Work is repeatable; checked are answers, hard stops, drains and cold ones.
type fleet struct {
	t     *testing.T
	rand  *rand.Rand
	now   int64
	all   []*member
	up    []*machine
	jobs  []*job
	begun int // transactions
	done  map[string]int

	uneven bool // work takes longer or shorter by chance
	heavy  int  // so many balancers are sent five times as much as the others
}

// member is one balancer and takes its decisions.
type member struct {
	*Balancer
	fleet *fleet
	index map[int]*machine
	road  []*errand     // pushes under way
	asked map[int]int64 // probes under way, by when they end
}

// machine is one upstream.
type machine struct {
	number uint32
	pace   float64 // answers a second when warm
	born   int64   // 0: warm
	coldAt float64 // what it can do at its birth, of what it does when warm
	warmUp int64
	free   int64 // when it has worked off its line
	gone   bool
	silent bool // takes all and answers nothing, probes neither
	sent   []int64
}

// errand is a push on its way.
type errand struct {
	t      *Transaction
	n      int
	sent   int64
	due    int64
	called bool // off
}

// job is a transaction as its client sees it.
type job struct {
	errands []*errand
	stop    int64
	over    bool
}

func newFleet(t *testing.T, terms Terms, balancers, upstreams int, pace float64, seed uint64) *fleet {
	t.Helper()
	f := &fleet{t: t, rand: rand.New(rand.NewPCG(seed, 2)), now: 100 * s, done: map[string]int{}}
	for n := range balancers {
		own := terms
		own.Balancers, own.Index, own.Seed = balancers, n, seed*1000+uint64(n)
		b, err := New(&own, f.now)
		if err != nil {
			t.Fatal(err)
		}
		f.all = append(f.all, &member{Balancer: b, fleet: f, index: map[int]*machine{}, asked: map[int]int64{}})
	}
	for range upstreams {
		f.join(&machine{pace: pace})
	}
	return f
}

// join has all balancers told of an upstream.
func (f *fleet) join(m *machine) {
	m.number = uint32(len(f.up)+1) * 2654435761
	f.up = append(f.up, m)
	for _, b := range f.all {
		i := b.Join()
		b.index[i] = m
		b.List(i, Upstream{Number: m.number, Weight: 1, Born: m.born}, f.now)
	}
}

// leave has all balancers told that an upstream drains; it finishes what it has.
func (f *fleet) leave(m *machine) {
	m.gone = true
	for _, b := range f.all {
		for i, o := range b.index {
			if o == m {
				b.Drain(i)
			}
		}
	}
}

// warm is the share of its capacity that an upstream has.
func (m *machine) warm(now int64) float64 {
	if m.born == 0 {
		return 1
	}
	return min(1, m.coldAt+(1-m.coldAt)*float64(now-m.born)/float64(m.warmUp))
}

// play sends rate transactions a second for a while.
func (f *fleet) play(rate float64, span int64) {
	const step = 5 * ms
	for until := f.now + span; f.now < until; {
		f.now += step
		for n := rate * float64(step) / float64(s); n > 0 && f.rand.Float64() < n; n-- {
			b := f.all[f.rand.IntN(len(f.all))]
			if f.heavy > 0 && f.rand.IntN(len(f.all)+4*f.heavy) < 5*f.heavy {
				b = f.all[f.rand.IntN(f.heavy)]
			} else if f.heavy > 0 {
				b = f.all[f.heavy+f.rand.IntN(len(f.all)-f.heavy)]
			}
			j := &job{stop: f.now + 2*s}
			f.begun++
			f.jobs = append(f.jobs, j)
			b.Arrive(&Transaction{Mark: j}, 0, -1, 0, 2*s, false, f.now)
		}
		for _, b := range f.all {
			b.deliver()
			b.Round(f.now, b)
		}
	}
	for _, j := range f.jobs {
		if !j.over && f.now > j.stop {
			f.t.Fatal("no answer at the hard stop")
		}
	}
}

// deliver tells a balancer what has become of its pushes.
func (b *member) deliver() {
	left := b.road[:0]
	for _, e := range b.road {
		j := e.t.Mark.(*job)
		if !e.called && e.due > b.fleet.now && b.fleet.now < j.stop {
			left = append(left, e)
			continue
		}
		r := Settled
		if e.called {
			r = Cancelled
		} else if e.due > b.fleet.now {
			r = TimedOut
		} else if !j.over {
			j.over = true
			b.fleet.done["settled"]++
		}
		b.Outcome(e.t, e.n, r, b.fleet.now-e.sent, j.over, b.fleet.now)
	}
	b.road = left
	for i := range b.known { // in their order
		if at, under := b.asked[i]; under && b.fleet.now >= at {
			delete(b.asked, i)
			b.Probed(i, !b.index[i].silent)
		}
	}
}

func (b *member) Push(t *Transaction, i int, until int64) {
	f, m, j := b.fleet, b.index[i], t.Mark.(*job)
	if j.over || f.now > j.stop || m.gone {
		f.t.Fatal("a push after the answer, the hard stop or the leaving of its upstream")
	}
	work := 1.0
	if f.uneven {
		work = f.rand.ExpFloat64()
	}
	m.free = max(m.free, f.now) + int64(work*float64(s)/(m.pace*m.warm(f.now)))
	e := &errand{t: t, n: len(j.errands), sent: f.now, due: m.free}
	if m.silent {
		e.due = math.MaxInt64
	}
	j.errands = append(j.errands, e)
	f.done["pushes"]++
	b.road = append(b.road, e)
	m.sent = append(m.sent, f.now)
	span, bears := 0, b.terms.FallMultiple*m.warm(f.now)*m.pace*float64(b.terms.FallSpan)/float64(s)
	for k := len(m.sent) - 1; k >= 0 && m.sent[k] > f.now-b.terms.FallSpan; k-- {
		span++
	}
	if m.born != 0 && float64(span) >= bears {
		f.t.Fatalf("%d pushes to a cold upstream within the span, %.1f make it fall", span, bears)
	}
}

func (b *member) Cancel(t *Transaction, n int) { t.Mark.(*job).errands[n].called = true }

func (b *member) end(t *Transaction, how string) {
	j := t.Mark.(*job)
	if j.over || b.fleet.now > j.stop+5*ms {
		b.fleet.t.Fatal("a second answer, or one after the hard stop")
	}
	j.over = true
	b.fleet.done[how]++
}

func (b *member) Defer(t *Transaction, _ Why, _ int64) { b.end(t, "deferred") }
func (b *member) Forfeit(t *Transaction, _ Why)        { b.end(t, "forfeited") }
func (b *member) Follow()                              {}
func (b *member) Wake(int64)                           {}
func (b *member) Tell(int, []byte)                     {}
func (b *member) Note(string)                          {}
func (b *member) Kept(int) bool                        { return false }

func (b *member) Probe(i int) {
	if b.asked[i] = b.fleet.now + 5*ms; b.index[i].silent {
		b.asked[i] = b.fleet.now + 400*ms
	}
}

// A zone says nothing for five seconds and is back, cold, before the list tells of its new start. Danger: what is out on
// connections that stay open times out, nothing is refused, and all that meet it take it for warm. What holds is the skip
// of those well above the mean in flight; taken back as cold after unanswered probes it was fed no less (tried).
func TestAZoneThatWasSilentIsBackCold(t *testing.T) {
	terms := *terms(tariff(Repeatable, Everywhere))
	terms.ColdShare, terms.WarmUp, terms.FallMultiple, terms.FallSpan = 0.12, 24*s, 4, s
	for seed := range uint64(3) {
		f := newFleet(t, terms, 13, 16, 20, seed+1)
		f.play(200, 10*s)
		for _, m := range f.up[:5] {
			m.silent = true
		}
		f.play(200, 5*s)
		for _, m := range f.up[:5] { // its line is gone
			m.silent, m.born, m.coldAt, m.warmUp, m.free, m.sent = false, f.now, 0.12, 24*s, 0, nil
		}
		f.play(200, 4*s)
		f.begun, f.done = 0, map[string]int{}
		f.play(200, 4*s)
		back := 0
		for _, m := range f.up[:5] {
			back += len(m.sent)
		}
		if part := float64(f.done["settled"]) / float64(f.begun); part < 0.8 || back < 20 {
			t.Errorf("seed %d: %.2f settled, %d pushes to what is back", seed, part, back)
		}
	}
}

// Most of the list is new at once: the few warm ones that are left can't carry the work, and what all balancers
// together send to a cold one is still below what makes it fall.
func TestWhatIsNewCarriesItsPartWhenMostIsReplaced(t *testing.T) {
	terms := *terms(tariff(Repeatable, Everywhere))
	terms.ColdShare, terms.WarmUp, terms.FallMultiple, terms.FallSpan = 0.12, 24*s, 4, s
	terms.Tariffs[0].LateEarnings = 0
	for seed := range uint64(3) {
		f := newFleet(t, terms, 13, 16, 20, seed+1)
		f.play(170, 5*s)
		for k := range 10 {
			f.leave(f.up[k])
			f.join(&machine{pace: 20, born: f.now, coldAt: 0.2, warmUp: 14 * s})
		}
		f.play(170, 2*s)
		f.begun, f.done = 0, map[string]int{}
		f.play(170, 6*s)
		if part := float64(f.done["settled"]) / float64(f.begun); part < 0.8 {
			t.Errorf("seed %d: %.2f settled of %d, %v", seed, part, f.begun, f.done)
		}
	}
}

// Nothing is wrong anywhere. What each balancer sends twice is little by itself; in a service of several tiers all
// of that multiplies, and each loser costs its connection.
func TestFleetCopiesLittleOnACalmDay(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		least, most int // copies in a thousand transactions
	}{{40, 1, 20}, {2, 25, 80}} { // two may rescue what a few in a hundred lose
		f := newFleet(t, *terms(tariff(Repeatable, Everywhere)), c.balancers, 40, 20, 1)
		f.uneven = true
		f.play(300, 12*s)
		f.begun, f.done = 0, map[string]int{}
		f.play(300, 12*s)
		if extra := (f.done["pushes"] - f.begun) * 1000 / f.begun; extra > c.most || extra < c.least {
			t.Errorf("%d balancers: %d copies in a thousand, want %d to %d", c.balancers, extra, c.least, c.most)
		}
	}
}

// Some are sent five times as much as the others. Danger: with a part of the list as large as theirs they fill it, and are
// out of room, while the rest is idle.
func TestOneThatIsSentManyTimesTheMeanHasMoreOfTheList(t *testing.T) {
	for seed := range uint64(3) {
		terms := *terms(tariff(Repeatable, Everywhere))
		terms.Tariffs[0].LateEarnings, terms.Customers = 0, []*Customer{{Rate: 1080}}
		f := newFleet(t, terms, 40, 64, 20, seed+1)
		f.uneven, f.heavy = true, 5
		f.play(900, 4*s)
		for _, m := range f.up {
			m.sent = nil
		}
		f.begun, f.done = 0, map[string]int{}
		f.play(900, 16*s)
		most := 0
		for _, m := range f.up {
			most = max(most, len(m.sent))
		}
		if of := float64(most) / (900 * 16 / 64); of > 1.4 || f.done["deferred"] > f.begun/200 {
			t.Errorf("seed %d: one upstream has %.2f times the mean; %v of %d", seed, of, f.done, f.begun)
		}
		for n, b := range f.all {
			if (b.wide > 1) != (n < f.heavy) {
				t.Errorf("seed %d: balancer %d has %.0f parts", seed, n, b.wide)
			}
		}
	}
}

// Nothing is wrong and each balancer has seen little. Danger: the least of many means over few is far below what is usual,
// and whatever is usual passes for a crowd from then on.
func TestLeastOfFewIsNotTakenForUsual(t *testing.T) {
	low, all := 0, 0
	for seed := range uint64(3) {
		f := newFleet(t, *terms(tariff(Repeatable, Everywhere)), 20, 40, 8, seed+1)
		f.uneven = true
		f.play(150, 5*s)
		usual := 0.0
		for _, b := range f.all {
			usual += b.longLoad / b.longRate / float64(len(f.all))
		}
		for _, b := range f.all {
			if all++; crowded*b.base < usual {
				low++
			}
		}
	}
	if low > all/20 {
		t.Errorf("%d of %d balancers take the usual for a crowd", low, all)
	}
}

// Each balancer of a fleet opens connections to all of its part, whatever it sends there.
func TestPartsOfTheListNeedFewConnections(t *testing.T) {
	f := newFleet(t, *terms(tariff(Repeatable, Everywhere)), 40, 40, 20, 1)
	f.play(0, 50*ms)
	pairs := 0
	for _, b := range f.all {
		pairs += len(b.own)
	}
	if each := float64(pairs) / float64(len(f.up)); each < metBy || each > 7.5 {
		t.Errorf("an upstream is met by %.1f balancers in the mean, want six and some edges", each)
	}
}

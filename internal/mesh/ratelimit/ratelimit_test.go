package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"ottershift/internal/mesh/priority"
	"sort"
	"testing"

	"github.com/shoenig/test/must"
)

const ms = int64(1e6)

// season is a schedule of a quota: balancers with wallets, a bank that changes hands, cuts both ways and one way, frozen
// machines, restarts one by one and of all, demand of many times the limit that moves about.
type quotaSimulation struct {
	rng      *rand.Rand
	now      int64
	limit    Limit
	n        int
	wallets  []*Wallet
	lives    []int
	cutTo    []int64 // until then nothing of it reaches the bank
	cutFrom  []int64 // until then no answer reaches it
	frozen   []int64
	next     []int64 // when it draws
	pending  []int64 // an answer on its way: due, -1 for none
	answer   []map[string]TokenGrant
	sent     []int64
	bank     *TokenBank
	old      *TokenBank // one that has lost the duty and doesn't know it
	oldUntil int64
	from     int64
	passed   []int64

	noRegency, fullPurse, keepTokens bool // guards left out
}

func newQuotaSimulation(seed uint64, n int, l Limit) *quotaSimulation {
	s := &quotaSimulation{rng: rand.New(rand.NewPCG(seed, 1)), limit: l, n: n, now: int64(5e9)}
	for i := range n {
		s.wallets = append(s.wallets, nil)
		s.lives, s.cutTo, s.cutFrom = append(s.lives, 0), append(s.cutTo, 0), append(s.cutFrom, 0)
		s.frozen, s.next, s.pending = append(s.frozen, 0), append(s.next, 0), append(s.pending, -1)
		s.answer, s.sent = append(s.answer, nil), append(s.sent, 0)
		s.start(i)
	}
	s.appointCoordinator()
	s.from = s.now
	return s
}

func (s *quotaSimulation) limits() map[string]Limit { return map[string]Limit{"t": s.limit} }

func (s *quotaSimulation) start(i int) {
	s.lives[i]++
	s.wallets[i] = NewWallet(s.now)
	s.wallets[i].Set(s.limits(), s.n, s.now)
	s.pending[i] = -1
	if s.fullPurse {
		s.wallets[i].by["t"].tokens = s.limit.Surge / float64(s.n) * 4
	}
}

// crown gives the duty to another; the one before may go on for as long as its last word of a majority holds.
func (s *quotaSimulation) appointCoordinator() {
	s.old, s.oldUntil = s.bank, s.now+700*ms
	s.bank, s.from = NewTokenBank(s.now), s.now+1000*ms
	if s.noRegency {
		s.bank.opened, s.from, s.oldUntil = s.now-Forget, s.now, s.now+20e9
	}
	s.bank.Set(s.limits(), s.n, s.now)
}

func (s *quotaSimulation) step(hot float64) {
	const tick = 5 * ms
	s.now += tick
	for i := range s.n {
		if s.now < s.frozen[i] {
			continue
		}
		w := s.wallets[i]
		if s.pending[i] >= 0 && s.now >= s.pending[i] {
			w.ApplyGrant(s.answer[i], s.sent[i], s.now)
			s.pending[i] = -1
		}
		for k := s.rng.Float64() * hot * s.limit.Rate / float64(s.n) * float64(tick) / 1e9 * 2; k > s.rng.Float64(); k-- {
			if verdict, _ := w.Take("t", s.now, false); verdict == Pass {
				s.passed = append(s.passed, s.now)
			} else if verdict == Ask {
				s.next[i] = min(s.next[i], s.now)
			}
		}
		if s.keepTokens {
			w.heard = max(w.heard, s.now-Expiry)
		}
		if s.now < s.next[i] {
			continue
		}
		s.next[i] = s.now + 350*ms
		d := w.NewRequest(fmt.Sprint(i), fmt.Sprint(s.lives[i]), s.now)
		if s.now < s.cutTo[i] {
			continue
		}
		bank := s.bank
		if s.old != nil && s.now < s.oldUntil && i%2 == 0 {
			bank = s.old
		} else if s.now < s.from {
			continue
		}
		given := bank.Grant(d, s.now)
		if given != nil && s.now >= s.cutFrom[i] {
			s.pending[i], s.answer[i], s.sent[i] = s.now+2*ms, given, s.now
		}
	}
}

// play lets a season go by and returns the most that passed in a window.
func (s *quotaSimulation) play(seconds int) (most float64) {
	hot := 0.5
	for range seconds * 200 {
		if s.rng.IntN(400) == 0 {
			hot = []float64{0.3, 0.8, 1, 3, 10}[s.rng.IntN(5)]
		}
		i := s.rng.IntN(s.n)
		switch s.rng.IntN(900) {
		case 0:
			s.cutTo[i] = s.now + int64(s.rng.IntN(6000))*ms
		case 1:
			s.cutFrom[i] = s.now + int64(s.rng.IntN(6000))*ms
		case 2:
			s.frozen[i] = s.now + int64(s.rng.IntN(5000))*ms
		case 3:
			s.start(i)
		case 4:
			if s.rng.IntN(3) == 0 {
				for i := range s.n {
					s.start(i)
				}
			}
		case 5:
			if s.now > s.from+4e9 {
				s.appointCoordinator()
			}
		}
		s.step(hot)
	}
	sort.Slice(s.passed, func(a, b int) bool { return s.passed[a] < s.passed[b] })
	for a, b := 0, 0; b < len(s.passed); b++ {
		for s.passed[b]-s.passed[a] > s.limit.Window {
			a++
		}
		most = max(most, float64(b-a+1))
	}
	return most
}

var tenants = []struct {
	n int
	l Limit
}{
	{14, Limit{324, 324, 5e9, 0.1, 20}}, {14, Limit{20, 20, 5e9, 0.1, 20}}, {65, Limit{7, 7, 5e9, 0.1, 20}}, {65, Limit{150, 150, 5e9, 0.1, 20}},
	{3, Limit{50, 0, 5e9, 0.1, 20}},
}

func TestNoMorePassesThanTheQuotaAllows(t *testing.T) {
	for _, c := range tenants {
		worst := 0.0
		for seed := range uint64(12) {
			worst = max(worst, newQuotaSimulation(seed, c.n, c.l).play(60))
		}
		t.Logf("%d balancers, %v/s and %v: bound R·W + Reserve = %.0f, allowed %.0f, measured %.0f", c.n, c.l.Rate, c.l.Surge,
			c.l.Rate*5+c.l.Reserve(), c.l.Bound(), worst)
		must.LessEq(t, c.l.Bound(), worst)
		must.Greater(t, c.l.Rate*2.5, worst) // it was tried
	}
}

func TestWithoutItsGuardsTheQuotaIsBroken(t *testing.T) {
	for name, leave := range map[string]func(*quotaSimulation){
		"no-epoch":   func(s *quotaSimulation) { s.noRegency = true },
		"full-purse": func(s *quotaSimulation) { s.fullPurse = true },
	} {
		broken := 0
		for seed := range uint64(12) {
			s := newQuotaSimulation(seed, 14, tenants[0].l)
			leave(s)
			if s.play(60) > s.limit.Bound() {
				broken++
			}
		}
		t.Logf("%s: convicted on %d of 12 seeds", name, broken)
		must.Positive(t, broken, must.Sprint(name))
	}
}

// A tenant within its limit gets nearly all that it asks for, wherever its requests come.
func TestWithinTheQuotaNextToNothingIsRefused(t *testing.T) {
	s := newQuotaSimulation(1, 65, Limit{7, 7, 5e9, 0.1, 20})
	asked, refused := 0, 0
	for range 60 * 1000 { // a millisecond each, two for a draw
		s.now += ms
		if s.now%(350*ms) == 0 {
			for i, w := range s.wallets {
				w.ApplyGrant(s.bank.Grant(w.NewRequest(fmt.Sprint(i), "1", s.now), s.now), s.now, s.now)
			}
		}
		if s.rng.Float64() > 5.0/1000 {
			continue
		}
		i := s.rng.IntN(s.n)
		w := s.wallets[i]
		asked++
		verdict, _ := w.Take("t", s.now, false)
		if verdict == Ask {
			w.ApplyGrant(s.bank.Grant(w.NewRequest(fmt.Sprint(i), "1", s.now), s.now), s.now, s.now)
			verdict, _ = w.Take("t", s.now, true)
		}
		if verdict != Pass {
			refused++
		}
	}
	t.Logf("%d asked at 5/s of 7/s over 65 balancers, %d refused", asked, refused)
	must.LessEq(t, asked/50, refused)
}

func TestABudgetSpendsItsRatioAndItsPartOfTheSlack(t *testing.T) {
	b := NewRetryBudget(10e9, 0.2, 58)
	spent := 0
	for now := int64(0); now < 10e9; now += 10 * ms {
		b.First(now, priority.Rank{})
		if b.Take(now, 14, priority.Rank{}) {
			spent++
		}
	}
	t.Logf("bound %.1f, spent %d", b.Bound(14), spent)
	must.LessEq(t, b.Bound(14), float64(spent))
	must.Positive(t, spent)
	must.True(t, NewRetryBudget(10e9, 0.2, 58).Take(0, 14, priority.Rank{})) // a start brings one, not a window's
	fresh := NewRetryBudget(10e9, 0.2, 58)
	for range 3 {
		fresh.Take(0, 14, priority.Rank{})
	}
	must.False(t, fresh.Take(1, 14, priority.Rank{}))
}

// The last tenth of a budget is for the most urgent rank that a service has; once that is gone for a window, it is for the next.
func TestTheLastOfABudgetIsForTheMostUrgent(t *testing.T) {
	urgent, usual := priority.NewRank(0, 0), priority.NewRank(0, 2)
	spend := func(b *RetryBudget, now int64, rank priority.Rank) (n int) {
		for b.Take(now, 14, rank) {
			n++
		}
		return n
	}
	b := NewRetryBudget(10e9, 0.2, 580)
	b.First(0, usual)
	for range 99 {
		b.First(ms, usual)
	}
	b.First(2*ms, urgent)
	must.Eq(t, 27, spend(b, 3*ms, usual)) // of 0.1 * 101 + 580/2/14 = 30.8
	must.Eq(t, 3, spend(b, 3*ms, urgent))
	for now := int64(3 * ms); now < 25e9; now += 100 * ms {
		b.First(now, usual)
	}
	spent := spend(b, 25e9, usual)
	must.Eq(t, int(b.Bound(14)), spent)
}

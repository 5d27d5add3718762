package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"ottershift/internal/mesh/priority"
	"sort"
	"testing"

	"github.com/shoenig/test/must"
)

const millisecond = int64(1e6)

// quotaSimulation runs a random schedule: coordinator changes, messages lost in one or both directions, frozen proxies,
// restarts of one or all proxies, and a load that changes up to many times the limit. Times are in nanoseconds; slices
// have one element per proxy.
type quotaSimulation struct {
	rng               *rand.Rand
	now               int64
	limit             Limit
	balancerCount     int
	wallets           []*Wallet
	incarnations      []int
	requestsLostUntil []int64 // until then its requests are lost
	grantsLostUntil   []int64 // until then responses to it are lost
	frozenUntil       []int64
	nextRequestAt     []int64
	grantDueAt        []int64 // when the response in flight arrives, -1 for none
	grantsInFlight    []map[string]TokenGrant
	requestSentAt     []int64
	bank              *TokenBank
	staleBank         *TokenBank // bank of a coordinator that does not know yet that it was replaced
	staleBankUntil    int64
	bankFrom          int64
	allowedAt         []int64

	noHandover, startWithTokens, neverExpireTokens bool // disabled guards
}

func newQuotaSimulation(seed uint64, balancerCount int, quota Limit) *quotaSimulation {
	s := &quotaSimulation{rng: rand.New(rand.NewPCG(seed, 1)), limit: quota, balancerCount: balancerCount, now: int64(5e9)}
	for i := range balancerCount {
		s.wallets = append(s.wallets, nil)
		s.incarnations, s.requestsLostUntil, s.grantsLostUntil = append(s.incarnations, 0),
			append(s.requestsLostUntil, 0), append(s.grantsLostUntil, 0)
		s.frozenUntil, s.nextRequestAt, s.grantDueAt = append(s.frozenUntil, 0), append(s.nextRequestAt, 0), append(s.grantDueAt, -1)
		s.grantsInFlight, s.requestSentAt = append(s.grantsInFlight, nil), append(s.requestSentAt, 0)
		s.start(i)
	}
	s.appointCoordinator()
	s.bankFrom = s.now
	return s
}

func (s *quotaSimulation) limits() map[string]Limit { return map[string]Limit{"t": s.limit} }

func (s *quotaSimulation) start(i int) {
	s.incarnations[i]++
	s.wallets[i] = NewWallet(s.now)
	s.wallets[i].SetLimits(s.limits(), s.balancerCount, s.now)
	s.grantDueAt[i] = -1
	if s.startWithTokens {
		s.wallets[i].tenants["t"].tokens = s.limit.Burst / float64(s.balancerCount) * 4
	}
}

// appointCoordinator opens a bank at a new coordinator. The previous one may continue for as long as its last quorum
// confirmation is valid.
func (s *quotaSimulation) appointCoordinator() {
	s.staleBank, s.staleBankUntil = s.bank, s.now+700*millisecond
	s.bank, s.bankFrom = NewTokenBank(s.now), s.now+1000*millisecond
	if s.noHandover {
		s.bank.openedAt, s.bankFrom, s.staleBankUntil = s.now-GrantExpiry, s.now, s.now+20e9
	}
	s.bank.SetLimits(s.limits(), s.balancerCount, s.now)
}

func (s *quotaSimulation) step(load float64) {
	const tick = 5 * millisecond
	s.now += tick
	for i := range s.balancerCount {
		if s.now < s.frozenUntil[i] {
			continue
		}
		wallet := s.wallets[i]
		if s.grantDueAt[i] >= 0 && s.now >= s.grantDueAt[i] {
			wallet.ApplyGrants(s.grantsInFlight[i], s.requestSentAt[i], s.now)
			s.grantDueAt[i] = -1
		}
		for arrivals := s.rng.Float64() * load * s.limit.Rate / float64(s.balancerCount) * float64(tick) / 1e9 * 2; arrivals > s.rng.Float64(); arrivals-- {
			if verdict, _ := wallet.Take("t", s.now, false); verdict == Allowed {
				s.allowedAt = append(s.allowedAt, s.now)
			} else if verdict == RequestTokens {
				s.nextRequestAt[i] = min(s.nextRequestAt[i], s.now)
			}
		}
		if s.neverExpireTokens {
			wallet.answeredRequestAt = max(wallet.answeredRequestAt, s.now-TokenExpiry)
		}
		if s.now < s.nextRequestAt[i] {
			continue
		}
		s.nextRequestAt[i] = s.now + 350*millisecond
		request := wallet.NewRequest(fmt.Sprint(i), fmt.Sprint(s.incarnations[i]), s.now)
		if s.now < s.requestsLostUntil[i] {
			continue
		}
		bank := s.bank
		if s.staleBank != nil && s.now < s.staleBankUntil && i%2 == 0 {
			bank = s.staleBank
		} else if s.now < s.bankFrom {
			continue
		}
		grants := bank.Grant(request, s.now)
		if grants != nil && s.now >= s.grantsLostUntil[i] {
			s.grantDueAt[i], s.grantsInFlight[i], s.requestSentAt[i] = s.now+2*millisecond, grants, s.now
		}
	}
}

// run simulates the given time and returns the most requests that were allowed in a window.
func (s *quotaSimulation) run(seconds int) (maxAllowed float64) {
	load := 0.5
	for range seconds * 200 {
		if s.rng.IntN(400) == 0 {
			load = []float64{0.3, 0.8, 1, 3, 10}[s.rng.IntN(5)]
		}
		i := s.rng.IntN(s.balancerCount)
		switch s.rng.IntN(900) {
		case 0:
			s.requestsLostUntil[i] = s.now + int64(s.rng.IntN(6000))*millisecond
		case 1:
			s.grantsLostUntil[i] = s.now + int64(s.rng.IntN(6000))*millisecond
		case 2:
			s.frozenUntil[i] = s.now + int64(s.rng.IntN(5000))*millisecond
		case 3:
			s.start(i)
		case 4:
			if s.rng.IntN(3) == 0 {
				for i := range s.balancerCount {
					s.start(i)
				}
			}
		case 5:
			if s.now > s.bankFrom+4e9 {
				s.appointCoordinator()
			}
		}
		s.step(load)
	}
	sort.Slice(s.allowedAt, func(first, last int) bool { return s.allowedAt[first] < s.allowedAt[last] })
	for first, last := 0, 0; last < len(s.allowedAt); last++ {
		for s.allowedAt[last]-s.allowedAt[first] > s.limit.Window {
			first++
		}
		maxAllowed = max(maxAllowed, float64(last-first+1))
	}
	return maxAllowed
}

var quotaCases = []struct {
	balancers int
	quota     Limit
}{
	{14, Limit{324, 324, 5e9, 0.1, 20}},
	{14, Limit{20, 20, 5e9, 0.1, 20}},
	{65, Limit{7, 7, 5e9, 0.1, 20}},
	{65, Limit{150, 150, 5e9, 0.1, 20}},
	{3, Limit{50, 0, 5e9, 0.1, 20}},
}

// No schedule allows more requests in a window than the quota does.
func TestAllowedRequestsStayWithinQuota(t *testing.T) {
	for _, c := range quotaCases {
		worst := 0.0
		for seed := range uint64(12) {
			worst = max(worst, newQuotaSimulation(seed, c.balancers, c.quota).run(60))
		}
		t.Logf("%d balancers, rate %v/s, burst %v: bound R·W + Reserve = %.0f, allowed %.0f, measured %.0f",
			c.balancers, c.quota.Rate, c.quota.Burst, c.quota.Rate*5+c.quota.Reserve(), c.quota.MaxPerWindow(), worst)
		must.LessEq(t, c.quota.MaxPerWindow(), worst)
		must.Greater(t, c.quota.Rate*2.5, worst) // the load was high enough to reach the limit
	}
}

// The simulation detects the loss of a guard: a bank that does not wait for its predecessor's grants to end, and
// wallets that start with tokens, exceed the quota on some seeds.
func TestDisabledGuardsExceedQuota(t *testing.T) {
	for name, disable := range map[string]func(*quotaSimulation){
		"no-handover":       func(s *quotaSimulation) { s.noHandover = true },
		"start-with-tokens": func(s *quotaSimulation) { s.startWithTokens = true },
	} {
		exceeded := 0
		for seed := range uint64(12) {
			s := newQuotaSimulation(seed, 14, quotaCases[0].quota)
			disable(s)
			if s.run(60) > s.limit.MaxPerWindow() {
				exceeded++
			}
		}
		t.Logf("%s: quota exceeded on %d of 12 seeds", name, exceeded)
		must.Positive(t, exceeded, must.Sprint(name))
	}
}

// At most 2 % of a tenant's requests are denied while its load, spread over many proxies, is below its rate.
func TestLoadBelowQuotaIsRarelyDenied(t *testing.T) {
	s := newQuotaSimulation(1, 65, Limit{7, 7, 5e9, 0.1, 20})
	requests, denied := 0, 0
	for range 60 * 1000 { // steps of 1 ms
		s.now += millisecond
		if s.now%(350*millisecond) == 0 {
			for i, wallet := range s.wallets {
				wallet.ApplyGrants(s.bank.Grant(wallet.NewRequest(fmt.Sprint(i), "1", s.now), s.now), s.now, s.now)
			}
		}
		if s.rng.Float64() > 5.0/1000 {
			continue
		}
		i := s.rng.IntN(s.balancerCount)
		wallet := s.wallets[i]
		requests++
		verdict, _ := wallet.Take("t", s.now, false)
		if verdict == RequestTokens {
			wallet.ApplyGrants(s.bank.Grant(wallet.NewRequest(fmt.Sprint(i), "1", s.now), s.now), s.now, s.now)
			verdict, _ = wallet.Take("t", s.now, true)
		}
		if verdict != Allowed {
			denied++
		}
	}
	t.Logf("%d requests at 5/s of 7/s over 65 balancers, %d denied", requests, denied)
	must.LessEq(t, requests/50, denied)
}

// A proxy spends no more extra attempts than the ratio of its first attempts plus its share of the slack.
func TestRetryBudgetIsRatioPlusShareOfSlack(t *testing.T) {
	budget := NewRetryBudget(10e9, 0.2, 58)
	spent := 0
	for now := int64(0); now < 10e9; now += 10 * millisecond {
		budget.RecordFirstAttempt(now, priority.Rank{})
		if budget.TakeExtraAttempt(now, 14, priority.Rank{}) {
			spent++
		}
	}
	t.Logf("bound %.1f, spent %d", budget.MaxExtraAttempts(14), spent)
	must.LessEq(t, budget.MaxExtraAttempts(14), float64(spent))
	must.Positive(t, spent)
	// A new budget allows one extra attempt, not the slack of a window.
	must.True(t, NewRetryBudget(10e9, 0.2, 58).TakeExtraAttempt(0, 14, priority.Rank{}))
	fresh := NewRetryBudget(10e9, 0.2, 58)
	for range 3 {
		fresh.TakeExtraAttempt(0, 14, priority.Rank{})
	}
	must.False(t, fresh.TakeExtraAttempt(1, 14, priority.Rank{}))
}

// The last tenth of a budget is reserved for the most urgent rank seen at a service. When that rank has not been seen
// for a window, the next rank may use it.
func TestRetryBudgetReservesTenthForTopRank(t *testing.T) {
	urgent, usual := priority.NewRank(0, 0), priority.NewRank(0, 2)
	spend := func(budget *RetryBudget, now int64, rank priority.Rank) (n int) {
		for budget.TakeExtraAttempt(now, 14, rank) {
			n++
		}
		return n
	}
	budget := NewRetryBudget(10e9, 0.2, 580)
	budget.RecordFirstAttempt(0, usual)
	for range 99 {
		budget.RecordFirstAttempt(millisecond, usual)
	}
	budget.RecordFirstAttempt(2*millisecond, urgent)
	must.Eq(t, 27, spend(budget, 3*millisecond, usual)) // of 0.1 * 101 + 580/2/14 = 30.8
	must.Eq(t, 3, spend(budget, 3*millisecond, urgent))
	for now := int64(3 * millisecond); now < 25e9; now += 100 * millisecond {
		budget.RecordFirstAttempt(now, usual)
	}
	spent := spend(budget, 25e9, usual)
	must.Eq(t, int(budget.MaxExtraAttempts(14)), spent)
}

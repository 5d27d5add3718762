package ratelimit

import (
	"cmp"
	"math"
	"slices"

	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/settings"
)

// A tenant's quota is one purse for all balancers. Whoever has the duty keeps the bank: a pool that fills at the tenant's
// rate, out of which balancers draw tokens before they need them. A token is spent once, by who has it, without asking
// anybody; a request for which there is none waits for one draw.
//
// The bound. In any window W, what passes is what the pool gained (R·W), what lay in the pool (P) and what was out in
// wallets (H) at its beginning: R·W + P + H. The bank keeps P + H within Reserve, so
//
//	passed(W) <= R·W + Reserve + R·(Silent - Standing)·k/n
//	Reserve = X - max(0.3·X, R·(Silent - Standing)), X = S + over·(R·W + S) + slack
//
// A balancer that hears nothing from the bank has a standing rate R/n; the bank fills that much less for each that it
// does not hear. k of n that lose the bank at once count double until it has noticed, which is what Reserve leaves free.

// Times of the quota's protocol, in nanoseconds of whoever counts them.
const (
	Silent   = int64(900e6)  // after which the bank leaves a balancer that it does not hear its standing rate
	Standing = int64(450e6)  // after which a balancer without a bank takes it
	Expiry   = int64(2500e6) // after which a balancer without a bank drops its tokens
	Forget   = int64(3000e6) // after which the bank counts them as gone
	Ahead    = int64(600e6)  // of its demand that a balancer draws beforehand
	dryLeast = int64(40e6)   // that a balancer does without asking for while the pool is dry
	dryFirst = int64(10e6)   // the same for a pool that has just run dry, or has just been opened: it is waited for
)

// Limit is a tenant's quota and the rule's figures.
type Limit struct {
	Rate, Surge float64 // a second; beyond it
	Window      int64
	Over, Slack float64
}

// Reserve is the most that may lie in the pool and in wallets together.
func (l Limit) Reserve() float64 {
	x := l.Surge + l.Over*(l.Rate*float64(l.Window)/s+l.Surge) + l.Slack
	return math.Max(0, x-math.Max(0.3*x, l.Rate*float64(Silent-Standing)/s))
}

// Bound is the most that may pass in a window, as the rule has it.
func (l Limit) Bound() float64 {
	return (l.Rate*float64(l.Window)/s+l.Surge)*(1+l.Over) + l.Slack
}

// LimitsOf is the limits of a configuration's tenants.
func LimitsOf(t *routing.Configuration, b *settings.Bounds) map[string]Limit {
	all := map[string]Limit{}
	for _, s := range t.Tenants {
		all[s.Name] = Limit{s.RatePerS, s.Surge, int64(b.QuotaWindow), b.QuotaOver, b.QuotaSlack}
	}
	return all
}

type account struct {
	Limit
	pool  float64
	at    int64
	out   map[string]float64 // tokens by balancer
	dried int64              // when it was dry last

	unused float64 // that the pool had no room for
}

type member struct {
	life     string
	seq      uint64
	heard    int64
	standing bool
}

// Bank is the purses of all tenants, at who has the duty.
type TokenBank struct {
	opened   int64
	members  map[string]*member
	count    int // balancers, as agreed
	accounts map[string]*account
}

// Want is what a balancer asks for one tenant.
type Demand struct {
	Held float64 `json:",omitempty"` // that it has
	More float64 `json:",omitempty"` // that it wants beyond
	Back float64 `json:",omitempty"` // that it had, has not spent and gives back
}

// Draw is a balancer's call to the bank.
type TokenRequest struct {
	Node, Life string
	Seq        uint64 // rises with each
	Standing   bool   // it spends its standing rate
	Wants      map[string]Demand
}

// Given is the answer for one tenant.
type TokenGrant struct {
	Tokens float64 `json:",omitempty"`
	Dry    int64   `json:",omitempty"` // nanoseconds for which asking again is no use, 0 where there was enough
}

// NewBank opens a bank. Tokens that an earlier one gave may be out until Forget is over.
func NewTokenBank(now int64) *TokenBank {
	return &TokenBank{opened: now, members: map[string]*member{}, accounts: map[string]*account{}}
}

// Set puts limits in force; members is how many balancers there are.
func (b *TokenBank) Set(limits map[string]Limit, members int, now int64) {
	b.count = members
	for tenant := range b.accounts {
		if l, is := limits[tenant]; !is || l.Rate <= 0 {
			delete(b.accounts, tenant)
		}
	}
	for tenant, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		a := b.accounts[tenant]
		if a == nil {
			a = &account{at: now, out: map[string]float64{}}
			b.accounts[tenant] = a
		}
		b.fill(a, now)
		a.Limit = l
	}
}

// present is the part of the balancers that draw on the pool.
func (b *TokenBank) present(now int64) float64 {
	n := 0
	for _, m := range b.members {
		if !m.standing && now-m.heard < Silent {
			n++
		}
	}
	return float64(n) / float64(max(b.count, len(b.members), 1))
}

// fill lets a pool gain what time has brought, within what the reserve leaves.
func (b *TokenBank) fill(a *account, now int64) {
	a.pool += a.Rate * b.present(now) * float64(max(0, now-a.at)) / s
	a.at = now
	room := math.Max(0, a.Reserve()-b.out(a, now))
	a.unused += math.Max(0, a.pool-room)
	a.pool = math.Min(a.pool, room)
}

// Unused is what tenants have left of their rates since it was asked last.
func (b *TokenBank) Unused() map[string]float64 {
	all := map[string]float64{}
	for tenant, a := range b.accounts {
		if a.unused > 0 {
			all[tenant], a.unused = a.unused, 0
		}
	}
	return all
}

// out is what may be in wallets.
func (b *TokenBank) out(a *account, now int64) (all float64) {
	for node, n := range a.out {
		if m := b.members[node]; m != nil && now-m.heard < Forget {
			all += n
		} else {
			delete(a.out, node)
		}
	}
	if now-b.opened < Forget {
		all += a.Reserve() / 2 // of who had the duty before
	}
	return all
}

// Draw gives tokens. What a balancer says that it holds is what it has been given and not spent: calls of one follow one
// another, so what it never heard of counts as never given.
func (b *TokenBank) Grant(d *TokenRequest, now int64) map[string]TokenGrant {
	m := b.members[d.Node]
	if m != nil && m.life == d.Life && d.Seq <= m.seq {
		return nil // late
	}
	if m == nil || m.life != d.Life {
		m = &member{life: d.Life}
		b.members[d.Node] = m
		for _, a := range b.accounts { // its former life spends nothing any more
			delete(a.out, d.Node)
		}
	}
	m.standing = m.standing && d.Standing // it has not stood alone since it was answered last
	for _, a := range b.accounts {        // with who was there until now
		b.fill(a, now)
	}
	m.seq, m.heard, m.standing = d.Seq, now, d.Standing
	for node, other := range b.members {
		if now-other.heard > 20*Forget {
			delete(b.members, node)
		}
	}
	given := map[string]TokenGrant{}
	tenants := make([]string, 0, len(d.Wants))
	for tenant := range d.Wants {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, cmp.Compare[string])
	for _, a := range b.accounts {
		if a.out[d.Node] != 0 {
			a.out[d.Node] = 0 // told below, or spent
		}
	}
	for _, tenant := range tenants {
		a, w := b.accounts[tenant], d.Wants[tenant]
		if a == nil {
			continue
		}
		a.out[d.Node] = math.Max(w.Held, 0)
		a.pool = math.Max(a.pool, math.Min(a.pool+math.Max(w.Back, 0), a.Reserve()-b.out(a, now)))
		room := math.Min(a.pool, a.Reserve()*3/4-b.out(a, now))
		give := math.Floor(math.Min(w.More, math.Max(math.Min(room, 1), room/2)))
		if give > 0 {
			a.pool -= give
			a.out[d.Node] += give
		}
		g := TokenGrant{Tokens: math.Max(give, 0)}
		if give < 1 && w.More >= 1 {
			least := dryLeast
			if d.Standing || now-a.dried > int64(s/2) {
				least = dryFirst
			}
			if !d.Standing {
				a.dried = now
			}
			g.Dry = max(least, min(int64(s/4), int64((1-math.Min(room, 1))/(a.Rate*math.Max(b.present(now), 1/float64(max(b.count, 1))))*s)))
		}
		given[tenant] = g
	}
	return given
}

// Stand is a tenant's account as it is now, beside its bound.
type TenantStatus struct {
	Tenant         string
	Rate, Surge    float64
	Pool, Out      float64 // tokens that lie in the pool, and that may be in wallets
	Reserve, Bound float64 // the most that both may be, and that may pass in a window by the rule
}

// Stands are all accounts, by name.
func (b *TokenBank) Status(now int64) (all []TenantStatus) {
	for tenant, a := range b.accounts {
		b.fill(a, now)
		all = append(all, TenantStatus{tenant, a.Rate, a.Surge, a.pool, b.out(a, now), a.Reserve(), a.Bound()})
	}
	slices.SortFunc(all, func(x, y TenantStatus) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return all
}

// Passes is how a request within a quota, or beyond it, goes on.
type Passes uint8

// The verdicts.
const (
	Pass Passes = iota // it has spent a token
	Stop               // there is none
	Ask                // one may be had by a draw
)

type tenantTokens struct {
	Limit
	tokens   float64
	demand   float64 // a second
	at       int64
	dry      int64
	waiting  int // requests that wait for a draw
	standing TokenBucket
}

// Wallet is one balancer's tokens of all tenants. It begins empty: one that is started again, or a fleet of them, has
// spent what it had for all that it knows.
type Wallet struct {
	members int
	by      map[string]*tenantTokens
	seq     uint64
	again   bool  // the bank has answered one that stood alone: it counts as there from its next draw on
	heard   int64 // when the last draw was sent that was answered
}

// NewWallet makes an empty one, that has its standing rate until it has heard of the bank.
func NewWallet(now int64) *Wallet {
	return &Wallet{by: map[string]*tenantTokens{}, heard: now - Standing - 1}
}

// Set puts limits in force; members is how many balancers there are, as far as is known.
func (w *Wallet) Set(limits map[string]Limit, members int, now int64) {
	w.members = max(members, 1)
	for tenant := range w.by {
		if l, is := limits[tenant]; !is || l.Rate <= 0 {
			delete(w.by, tenant)
		}
	}
	for tenant, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		p := w.by[tenant]
		if p == nil {
			p = &tenantTokens{at: now, standing: TokenBucket{at: now}}
			w.by[tenant] = p
		}
		p.Limit = l
		p.standing.rate, p.standing.most = l.Rate/float64(w.members), math.Max(1, l.Rate/float64(w.members)/4)
	}
}

// alone reports whether the bank has been silent for so long that the standing rate holds.
func (w *Wallet) alone(now int64) bool { return now-w.heard > Standing }

// Take decides on a request of a tenant; asked says that it has waited for a draw already. wait is when to come back.
func (w *Wallet) Take(tenant string, now int64, asked bool) (verdict Passes, wait int64) {
	p := w.by[tenant]
	if p == nil {
		return Pass, 0
	}
	if !asked { // what has waited has been counted
		p.demand *= math.Exp(-float64(now-p.at) / s)
		p.demand++
		p.at = now
	}
	if now-w.heard > Expiry {
		p.tokens = 0
	}
	if p.tokens >= 1 {
		p.tokens--
		return Pass, 0
	}
	if w.alone(now) {
		if p.standing.fill(now); p.standing.has >= 1 {
			p.standing.has--
			return Pass, 0
		}
		return Stop, int64((1 - p.standing.has) / p.standing.rate * s)
	}
	if asked || now < p.dry-dryFirst {
		return Stop, max(p.dry-now, dryLeast)
	}
	p.waiting++
	return Ask, 0
}

// wish is what a balancer would hold of a tenant's. Invariant: one token at each of many balancers, for a tenant that sends a
// few requests a second, is all that there is, and none where the next request comes; of such a tenant none is held.
func (p *tenantTokens) wish(now int64) float64 {
	return math.Floor(p.demand * math.Exp(-float64(now-p.at)/s) * float64(Ahead) / s)
}

// Wants reports whether a draw would be of use before the next regular one.
func (w *Wallet) Wants(now int64) bool {
	if w.again {
		return true
	}
	for _, p := range w.by {
		if now >= p.dry && p.tokens < p.wish(now)/3 {
			return true
		}
	}
	return false
}

// Draw is the call to the bank as things stand. What is held beyond need goes back with it.
func (w *Wallet) NewRequest(node, life string, now int64) *TokenRequest {
	w.seq++
	w.again = false
	d := &TokenRequest{Node: node, Life: life, Seq: w.seq, Standing: w.alone(now), Wants: map[string]Demand{}}
	for tenant, p := range w.by {
		wish := p.wish(now)
		keep := math.Min(p.tokens, 2*wish+float64(p.waiting))
		want := Demand{Held: keep, Back: p.tokens - keep}
		p.tokens = keep
		if now >= p.dry {
			want.More = math.Max(0, wish-p.tokens) + float64(p.waiting)
		}
		if p.waiting = 0; want != (Demand{}) {
			d.Wants[tenant] = want
		}
	}
	return d
}

// Refused takes that whoever was asked does not keep the bank, or not yet, or is not there: nothing is drawn meanwhile, and
// the standing rate holds at once.
func (w *Wallet) GrantRefused(now int64) { w.heard = min(w.heard, now-Standing-1) }

// Given takes the answer to a draw that was sent at a time.
func (w *Wallet) ApplyGrant(given map[string]TokenGrant, sent, now int64) {
	if sent < w.heard {
		return
	}
	w.again = w.alone(now)
	w.heard = sent
	for tenant, g := range given {
		if p := w.by[tenant]; p != nil {
			p.tokens += g.Tokens
			if g.Dry > 0 {
				p.dry = now + g.Dry
			}
		}
	}
}

package ratelimit

import (
	"cmp"
	"math"
	"slices"
)

type account struct {
	Limit
	pool  float64
	share float64            // of the bank's, up to which the pool has gained
	at    int64              // when that was
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

	share float64 // seconds since the bank was opened, each times the part of the balancers that drew on it then
	at    int64   // up to when share counts
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
	return &TokenBank{opened: now, at: now, members: map[string]*member{}, accounts: map[string]*account{}}
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
			b.advance(now)
			a = &account{share: b.share, at: now, out: map[string]float64{}}
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

// advance counts time, with who is there until now.
func (b *TokenBank) advance(now int64) {
	if now > b.at {
		b.share += b.present(now) * float64(now-b.at) / s
		b.at = now
	}
}

// fill lets a pool gain what time has brought, within what the reserve leaves.
func (b *TokenBank) fill(a *account, now int64) {
	b.advance(now)
	a.pool += a.Rate * (b.share - a.share)
	// Invariant: what the pool gained is bounded by what was out while it did, not by what is out now.
	room := math.Max(0, a.Reserve()-b.given(a))
	a.share, a.at = b.share, now
	a.unused += math.Max(0, a.pool-room)
	a.pool = math.Min(a.pool, room)
}

// Unused is what tenants have left of their rates since it was asked last.
func (b *TokenBank) Unused() map[string]float64 {
	all := map[string]float64{}
	for tenant, a := range b.accounts {
		b.fill(a, b.at)
		if a.unused > 0 {
			all[tenant], a.unused = a.unused, 0
		}
	}
	return all
}

// given is what may have been in wallets since the pool was filled last.
func (b *TokenBank) given(a *account) (all float64) {
	for _, n := range a.out {
		all += n
	}
	if a.at-b.opened < Forget {
		all += a.Reserve() / 2
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
			if a.out[d.Node] != 0 {
				b.fill(a, now)
				delete(a.out, d.Node)
			}
		}
	}
	m.standing = m.standing && d.Standing // it has not stood alone since it was answered last
	b.advance(now)                        // with who was there until now
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
		if a.out[d.Node] != 0 { // told below, or spent
			b.fill(a, now)
			delete(a.out, d.Node)
		}
	}
	for _, tenant := range tenants {
		a, w := b.accounts[tenant], d.Wants[tenant]
		if a == nil {
			continue
		}
		b.fill(a, now)
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

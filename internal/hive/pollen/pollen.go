// Package pollen shares out what all balancers together may spend: tenants' quotas and the budget of repeats of each
// service. Each balancer spends a part of its own, which no other can, so no request waits for anybody and no cut or
// freeze lets more through. It does no I/O and reads no clock.
//
// Quota: of a rate R and a surge S each of n members has R/n and S/n. In any window W at most R·W+S pass, and while the
// members are counted anew, from n to m, at most (R·W+S)·max(n,m)/min(n,m). Budget: of the window's slack each has a part
// of 1/n, and a ratio of its own first sends.
package pollen

import "math"

const s = float64(1e9)

// Purse is one tenant's part at one balancer.
type Purse struct {
	rate, most float64 // a second, and held at most
	has        float64
	at         int64
}

// Quotas are the parts of all tenants at one balancer. It begins with empty purses: one that is started again, or a
// fleet of them, has spent what it had for all that it knows.
type Quotas struct {
	by map[string]*Purse
}

// NewQuotas makes an empty set.
func NewQuotas() *Quotas { return &Quotas{by: map[string]*Purse{}} }

// Set gives a tenant's limit, of which this balancer is one of so many members. A rate of 0 is no limit.
func (q *Quotas) Set(tenant string, rate, surge float64, members int, now int64) {
	if rate <= 0 {
		delete(q.by, tenant)
		return
	}
	n := float64(max(members, 1))
	p := q.by[tenant]
	if p == nil {
		p = &Purse{at: now}
		q.by[tenant] = p
	}
	p.fill(now)
	p.rate, p.most = rate/n, math.Max(1, surge/n)
	p.has = math.Min(p.has, p.most)
}

// Keep drops tenants that are no more.
func (q *Quotas) Keep(is func(tenant string) bool) {
	for tenant := range q.by {
		if !is(tenant) {
			delete(q.by, tenant)
		}
	}
}

func (p *Purse) fill(now int64) {
	p.has = math.Min(p.most, p.has+p.rate*float64(max(0, now-p.at))/s)
	p.at = now
}

// Take spends one request of a tenant's part, or says how long until there is one to spend.
func (q *Quotas) Take(tenant string, now int64) (ok bool, wait int64) {
	p := q.by[tenant]
	if p == nil {
		return true, 0
	}
	if p.fill(now); p.has >= 1 {
		p.has--
		return true, 0
	}
	return false, int64((1 - p.has) / p.rate * s)
}

// Budget is what a balancer may send to one service beyond the first sends of its own requests, over a sliding window.
type Budget struct {
	window       int64
	ratio, slack float64
	firsts, more ring
}

const slots = 20 // of a window

type ring struct {
	n  [slots + 1]float64
	at int64 // slot number of the newest
}

func (r *ring) turn(slot int64) {
	for ; r.at < slot; r.at++ {
		if slot-r.at > slots {
			r.n, r.at = [slots + 1]float64{}, slot
			return
		}
		r.n[(r.at+1)%(slots+1)] = 0
	}
}

func (r *ring) sum() (all float64) {
	for _, n := range r.n {
		all += n
	}
	return all
}

// NewBudget makes one that has seen nothing. Ratio is of own first sends, slack what all members together have a window.
func NewBudget(window int64, ratio, slack float64) *Budget {
	return &Budget{window: window, ratio: ratio, slack: slack}
}

// First counts a first send.
func (b *Budget) First(now int64) {
	slot := now / (b.window / slots)
	b.firsts.turn(slot)
	b.firsts.n[slot%(slots+1)]++
}

// Take spends one send beyond the first, if there is one to spend. Half of a part is what a balancer has by itself: the
// other half is for the calls that repeated runs make, which nobody can tell from others.
func (b *Budget) Take(now int64, members int) bool {
	slot := now / (b.window / slots)
	b.firsts.turn(slot)
	b.more.turn(slot)
	if b.more.sum()+1 > b.Bound(members) {
		return false
	}
	b.more.n[slot%(slots+1)]++
	return true
}

// Bound is how many sends beyond the first are allowed in the window that ends now.
func (b *Budget) Bound(members int) float64 {
	return b.ratio/2*b.firsts.sum() + math.Max(1, b.slack/2/float64(max(members, 1)))
}

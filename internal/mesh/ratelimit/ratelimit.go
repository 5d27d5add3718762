// Package ratelimit shares out what all balancers together may spend: tenants' quotas (quota.go) and the budget of repeats
// of each service. It does no I/O and reads no clock.
//
// Budget: of the window's slack each of n members has a part of 1/n, and a ratio of its own first sends; no request waits
// for anybody.
package ratelimit

import (
	"math"

	"ottershift/internal/mesh/priority"
)

const s = float64(1e9)

// Purse fills at a rate.
type TokenBucket struct {
	rate, most float64 // a second, and held at most
	has        float64
	at         int64
}

func (p *TokenBucket) fill(now int64) {
	p.has = math.Min(p.most, p.has+p.rate*float64(max(0, now-p.at))/s)
	p.at = now
}

// Budget is what a balancer may send to one service beyond the first sends of its own requests, over a sliding window.
type RetryBudget struct {
	window       int64
	ratio, slack float64
	firsts, more ring

	urgent     priority.Rank // the most urgent that was seen
	urgentSlot int64         // when it was seen last
}

const (
	slots         = 20  // of a window
	urgentReserve = 0.1 // of a budget that is kept for the most urgent rank of its service
)

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
func NewRetryBudget(window int64, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, urgent: priority.LowestRank}
}

// First counts a first send.
func (b *RetryBudget) First(now int64, rank priority.Rank) {
	slot := now / (b.window / slots)
	if !b.urgent.Before(rank) || slot-b.urgentSlot > slots {
		b.urgent, b.urgentSlot = rank, slot
	}
	b.firsts.turn(slot)
	b.firsts.n[slot%(slots+1)]++
}

// Take spends one send beyond the first, if there is one to spend. Half of a part is what a balancer has by itself: the
// other half is for the calls that repeated runs make, which nobody can tell from others. Who is not of the most urgent rank leaves
// a part to those who are.
func (b *RetryBudget) Take(now int64, members int, rank priority.Rank) bool {
	slot := now / (b.window / slots)
	b.firsts.turn(slot)
	b.more.turn(slot)
	bound := b.Bound(members)
	if b.urgent.Before(rank) {
		bound = math.Max(1, bound-urgentReserve*bound)
	}
	if b.more.sum()+1 > bound {
		return false
	}
	b.more.n[slot%(slots+1)]++
	return true
}

// Bound is how many sends beyond the first are allowed in the window that ends now.
func (b *RetryBudget) Bound(members int) float64 {
	return b.ratio/2*b.firsts.sum() + math.Max(1, b.slack/2/float64(max(members, 1)))
}

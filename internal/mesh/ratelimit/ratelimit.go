// Package ratelimit enforces limits that all proxies share: tenants' quotas (quota.go) and the retry budget of each
// service. It does no I/O and reads no clock.
//
// Retry budget: each of n proxies may spend 1/n of the window's slack, and a ratio of its own first attempts. It needs
// no coordination.
package ratelimit

import (
	"math"

	"ottershift/internal/mesh/priority"
)

const nanosPerSecond = float64(1e9)

// TokenBucket is a token bucket that refills at a constant rate.
type TokenBucket struct {
	rate, capacity float64 // tokens per second, and tokens
	available      float64
	updatedAt      int64
}

func (b *TokenBucket) refill(now int64) {
	b.available = math.Min(b.capacity, b.available+b.rate*float64(max(0, now-b.updatedAt))/nanosPerSecond)
	b.updatedAt = now
}

// RetryBudget limits the extra attempts (retries and hedges) that a proxy sends to one service over a sliding window.
type RetryBudget struct {
	window                       int64
	ratio, slack                 float64
	firstAttempts, extraAttempts slidingCounter

	topRank     priority.Rank // most urgent rank seen within the window
	topRankSlot int64         // slot in which it was last seen
}

const (
	windowSlots    = 20  // slots per window
	topRankReserve = 0.1 // fraction of a budget that is kept for the most urgent rank of its service
)

// slidingCounter counts events in the slots of a sliding window.
type slidingCounter struct {
	counts     [windowSlots + 1]float64
	newestSlot int64 // number of the newest slot
}

func (c *slidingCounter) advance(slot int64) {
	for ; c.newestSlot < slot; c.newestSlot++ {
		if slot-c.newestSlot > windowSlots {
			c.counts, c.newestSlot = [windowSlots + 1]float64{}, slot
			return
		}
		c.counts[(c.newestSlot+1)%(windowSlots+1)] = 0
	}
}

func (c *slidingCounter) sum() (total float64) {
	for _, count := range c.counts {
		total += count
	}
	return total
}

// NewRetryBudget returns an empty budget for a window in nanoseconds. ratio applies to the proxy's own first attempts;
// slack is the number of extra attempts per window that all proxies share.
func NewRetryBudget(window int64, ratio, slack float64) *RetryBudget {
	return &RetryBudget{window: window, ratio: ratio, slack: slack, topRank: priority.LowestRank}
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now int64, rank priority.Rank) {
	slot := now / (b.window / windowSlots)
	if !b.topRank.Before(rank) || slot-b.topRankSlot > windowSlots {
		b.topRank, b.topRankSlot = rank, slot
	}
	b.firstAttempts.advance(slot)
	b.firstAttempts.counts[slot%(windowSlots+1)]++
}

// TakeExtraAttempt spends one extra attempt, if the budget allows it. Ranks below the most urgent one leave
// topRankReserve of the budget to it.
func (b *RetryBudget) TakeExtraAttempt(now int64, members int, rank priority.Rank) bool {
	slot := now / (b.window / windowSlots)
	b.firstAttempts.advance(slot)
	b.extraAttempts.advance(slot)
	allowed := b.MaxExtraAttempts(members)
	if b.topRank.Before(rank) {
		allowed = math.Max(1, allowed-topRankReserve*allowed)
	}
	if b.extraAttempts.sum()+1 > allowed {
		return false
	}
	b.extraAttempts.counts[slot%(windowSlots+1)]++
	return true
}

// MaxExtraAttempts returns how many extra attempts are allowed in the window that ends now. A proxy uses half of its
// share for its own extra attempts. The other half covers the downstream calls of repeated requests, which cannot be
// told from first attempts.
func (b *RetryBudget) MaxExtraAttempts(members int) float64 {
	return b.ratio/2*b.firstAttempts.sum() + math.Max(1, b.slack/2/float64(max(members, 1)))
}

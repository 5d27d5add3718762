// Package shares divides the limits that several pools of one process share: open transactions, connections to
// upstreams and buffered body bytes. It has no I/O and no clock: the caller passes the time and holds the lock.
//
// Each pool has a guarantee and may borrow idle capacity. Three rules let the owner of a guarantee reclaim it:
//   - Only the part of an idle guarantee that its owner has not used recently is lent, and a quarter of it never is.
//   - Capacity is lent out of a guarantee for at most the reclaim time. Each loan has an end and needs no revocation.
//   - After an owner was refused under its guarantee, no more of that guarantee is lent until the owner has not asked
//     for it for a while.
//
// An owner therefore gets its recent use plus a quarter of its guarantee immediately, and all of its guarantee within
// the reclaim time.
package shares

import "fmt"

// minReserveDivisor sets the part of a guarantee that is never lent: one divided by it.
const minReserveDivisor = 4

// Quota is one pool's share of a Limiter.
type Quota struct {
	guarantee, ceiling             int64
	used                           int64
	peak                           [2]int64 // highest use or demand in the current and the previous span
	reserved                       int64    // unused part of the guarantee that is not lent
	idle                           int64    // unused part of the guarantee
	refused, refusedUnderGuarantee int64    // since the last TakeRefusals: all refusals, and those under the guarantee
}

// Used returns how much the pool holds.
func (quota *Quota) Used() int64 { return quota.used }

// OverGuarantee reports whether the pool holds more than its guarantee.
func (quota *Quota) OverGuarantee() bool { return quota.used > quota.guarantee }

// Guarantee returns the pool's guarantee.
func (quota *Quota) Guarantee() int64 { return quota.guarantee }

// TakeRefusals returns the number of refusals since the last call, and how many of them were under the guarantee.
func (quota *Quota) TakeRefusals() (all, underGuarantee int64) {
	all, underGuarantee = quota.refused, quota.refusedUnderGuarantee
	quota.refused, quota.refusedUnderGuarantee = 0, 0
	return all, underGuarantee
}

// Limiter divides one limit among pools.
type Limiter struct {
	capacity    int64
	reclaimTime int64 // nanoseconds within which a guarantee can be reclaimed
	spanEnd     int64 // when the current span of recent use ends, in nanoseconds
	quotas      []*Quota
	used        int64 // this and the next two are sums over all quotas
	reserved    int64
	idle        int64
}

// New returns a limiter with the given capacity and reclaim time; reclaimTime and now are in nanoseconds.
func New(capacity, reclaimTime, now int64) *Limiter {
	return &Limiter{capacity: capacity, reclaimTime: reclaimTime, spanEnd: now + reclaimTime}
}

// AddQuota adds an empty quota; Configure sets its guarantee and ceiling.
func (limiter *Limiter) AddQuota() *Quota {
	quota := &Quota{}
	limiter.quotas = append(limiter.quotas, quota)
	return quota
}

// RemoveQuota removes a quota, which must no longer hold anything.
func (limiter *Limiter) RemoveQuota(quota *Quota) {
	limiter.Configure(quota, 0, 0)
	for i, other := range limiter.quotas {
		if other == quota {
			limiter.quotas = append(limiter.quotas[:i], limiter.quotas[i+1:]...)
			return
		}
	}
}

// Configure sets the guarantee of a pool and the most that it may hold. Any excess that it holds stays until released.
func (limiter *Limiter) Configure(quota *Quota, guarantee, ceiling int64) {
	quota.guarantee, quota.ceiling = guarantee, ceiling
	limiter.updateSums(quota)
}

// SetCapacity sets the total capacity.
func (limiter *Limiter) SetCapacity(capacity int64) { limiter.capacity = capacity }

// Capacity returns the total capacity.
func (limiter *Limiter) Capacity() int64 { return limiter.capacity }

// Used returns how much all pools hold together.
func (limiter *Limiter) Used() int64 { return limiter.used }

// SetReclaimTime sets the time in nanoseconds within which guarantees can be reclaimed.
func (limiter *Limiter) SetReclaimTime(reclaimTime int64) { limiter.reclaimTime = reclaimTime }

// Acquire reports whether the pool gets n more units, which it releases at the time until at the latest.
func (limiter *Limiter) Acquire(quota *Quota, n, until, now int64) bool {
	limiter.advance(now)
	if !limiter.allow(quota, n, until, now) {
		quota.refused++
		return false
	}
	limiter.add(quota, n)
	return true
}

// allow reports whether the pool may acquire n units. It records a refusal under the guarantee.
func (limiter *Limiter) allow(quota *Quota, n, until, now int64) bool {
	if quota.used+n > quota.ceiling {
		return false
	}
	if quota.used+n <= quota.guarantee {
		if limiter.used+n <= limiter.capacity {
			return true
		}
		// The guarantee is lent out. Reserve all of it from now on; else borrowers would take each unit that is released.
		quota.refusedUnderGuarantee++
		quota.peak[0] = quota.guarantee
		limiter.updateSums(quota)
		return false
	}
	if limiter.used+n+limiter.reserved-quota.reserved > limiter.capacity {
		return false
	}
	// Loans out of another pool's guarantee end within the reclaim time; longer ones would void the guarantee.
	return limiter.used+n+limiter.idle-quota.idle <= limiter.capacity || until <= now+limiter.reclaimTime
}

// ForceAcquire adds n units regardless of the limits, for data that has already arrived. They count against later
// calls of Acquire.
func (limiter *Limiter) ForceAcquire(quota *Quota, n int64) { limiter.add(quota, n) }

// Release returns n units of the pool.
func (limiter *Limiter) Release(quota *Quota, n int64) {
	if n > quota.used {
		panic(fmt.Sprintf("shares: released %d units of %d held", n, quota.used))
	}
	limiter.add(quota, -n)
}

func (limiter *Limiter) add(quota *Quota, n int64) {
	quota.used += n
	limiter.used += n
	quota.peak[0] = max(quota.peak[0], quota.used)
	limiter.updateSums(quota)
}

// updateSums recalculates the reserved and idle parts of a quota and updates the sums of the limiter.
func (limiter *Limiter) updateSums(quota *Quota) {
	recent := max(quota.peak[0], quota.peak[1])
	reserved := max(0, min(quota.guarantee, recent+(quota.guarantee+minReserveDivisor-1)/minReserveDivisor)-quota.used)
	idle := max(0, quota.guarantee-quota.used)
	limiter.reserved += reserved - quota.reserved
	limiter.idle += idle - quota.idle
	quota.reserved, quota.idle = reserved, idle
}

// advance starts a new span when the current one has ended, which drops the use of the span before the previous one.
func (limiter *Limiter) advance(now int64) {
	if now < limiter.spanEnd {
		return
	}
	// Several spans can have passed at once when the process was stopped.
	expired := now >= limiter.spanEnd+limiter.reclaimTime
	limiter.spanEnd = now + limiter.reclaimTime
	for _, quota := range limiter.quotas {
		quota.peak[1], quota.peak[0] = quota.peak[0], quota.used
		if expired {
			quota.peak[1] = quota.used
		}
		limiter.updateSums(quota)
	}
}

// Split divides a total by shares. A negative share is unset: unset shares divide the remainder evenly. The parts are
// rounded down, so their sum does not exceed the total.
func Split(total int64, shares []float64) []int64 {
	remaining, unstated := 1.0, 0
	for _, share := range shares {
		if share < 0 {
			unstated++
		} else {
			remaining -= share
		}
	}
	parts := make([]int64, len(shares))
	for i, share := range shares {
		if share < 0 {
			share = max(0, remaining) / float64(unstated)
		}
		parts[i] = int64(share*float64(total) + 1e-6)
	}
	return parts
}

// MoreLoaded reports whether a pool has more clients in proportion to its guarantee than another pool. The more loaded
// pool has to make room first.
func MoreLoaded(clients int, guarantee int64, otherClients int, otherGuarantee int64) bool {
	return float64(clients)/float64(max(guarantee, 1)) > float64(otherClients)/float64(max(otherGuarantee, 1))
}

// RefusalPacer limits the rate of a pool's refusals so that they can't use up the core. A refused connection gets its
// answer immediately, and its next message is read after a delay.
type RefusalPacer struct {
	interval int64 // nanoseconds between two refusals
	maxDelay int64 // in nanoseconds
	nextAt   int64 // nanoseconds
}

// NewRefusalPacer returns a pacer that allows rate refusals a second without delay. maxDelay is in nanoseconds.
func NewRefusalPacer(rate float64, maxDelay int64) RefusalPacer {
	return RefusalPacer{interval: int64(1e9 / max(rate, 1)), maxDelay: maxDelay}
}

// Delay returns how long, in nanoseconds, to wait before reading again from the connection that is refused now.
func (pacer *RefusalPacer) Delay(now int64) int64 {
	// Without a bound on the backlog, one burst would delay the connections of the following minutes.
	pacer.nextAt = min(max(pacer.nextAt, now)+pacer.interval, now+pacer.maxDelay+pacer.interval)
	return max(0, pacer.nextAt-now-pacer.interval)
}

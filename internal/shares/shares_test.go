package shares

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

// checkInvariants checks the bounds and sums that hold after every step.
func checkInvariants(t interface{ Fatalf(string, ...any) }, limiter *Limiter, forced int64) {
	var used, reserved, idle int64
	for _, quota := range limiter.quotas {
		used, reserved, idle = used+quota.used, reserved+quota.reserved, idle+quota.idle
		if quota.used < 0 || quota.used > quota.ceiling+forced {
			t.Fatalf("use out of bounds: %+v", quota)
		}
		if quota.used < quota.guarantee && quota.reserved > quota.guarantee-quota.used {
			t.Fatalf("reserved more than the unused guarantee: %+v", quota)
		}
	}
	if used != limiter.used || reserved != limiter.reserved || idle != limiter.idle {
		t.Fatalf("limiter sums used, reserved, idle: %d %d %d; sums of the quotas: %d %d %d", limiter.used, limiter.reserved, limiter.idle, used, reserved, idle)
	}
	if limiter.used > limiter.capacity+forced {
		t.Fatalf("%d units acquired of a capacity of %d", limiter.used, limiter.capacity)
	}
}

// TestCapacityAndReservesHold checks that in any order of calls the capacity and the ceilings hold, and that a pool
// immediately gets what is within its recent use plus a quarter of its guarantee.
func TestCapacityAndReservesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(4, 200).Draw(t, "capacity")
		limiter := New(capacity, 100*ms, 0)
		var shares []float64
		for range rapid.IntRange(1, 5).Draw(t, "pools") {
			limiter.AddQuota()
			shares = append(shares, -1)
		}
		for i, guarantee := range Split(capacity, shares) {
			limiter.Configure(limiter.quotas[i], guarantee, rapid.Int64Range(guarantee, capacity).Draw(t, "ceiling"))
		}
		now, forced := int64(0), int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				quota := rapid.SampledFrom(limiter.quotas).Draw(t, "who")
				n := rapid.Int64Range(1, 9).Draw(t, "n")
				reserved := forced == 0 && quota.used+n <= quota.guarantee && n <= quota.reserved
				if ok := limiter.Acquire(quota, n, now+rapid.Int64Range(0, 300).Draw(t, "ms")*ms, now); reserved && !ok {
					t.Fatalf("refused %d units that were reserved: %+v", n, quota)
				}
			},
			"give": func(t *rapid.T) {
				quota := rapid.SampledFrom(limiter.quotas).Draw(t, "who")
				if n := rapid.Int64Range(0, quota.used).Draw(t, "n"); n > 0 {
					limiter.Release(quota, n)
				}
			},
			"force": func(t *rapid.T) {
				n := rapid.Int64Range(1, 9).Draw(t, "n")
				forced += n
				limiter.ForceAcquire(rapid.SampledFrom(limiter.quotas).Draw(t, "who"), n)
			},
			"pass": func(t *rapid.T) { now += rapid.Int64Range(0, 250).Draw(t, "ms") * ms },
			"":     func(t *rapid.T) { checkInvariants(t, limiter, forced) },
		})
	})
}

// TestGuaranteeIsReclaimedInTime checks that a pool that was idle while others borrowed gets a quarter of its guarantee
// immediately and all of it within the reclaim time, while the borrowers acquire as much and for as long as they can.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	const capacity, reclaimTime = 90, 100 * ms
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limiter := New(capacity, reclaimTime, 0)
		var quotas []*Quota
		for _, guarantee := range Split(capacity, []float64{0.4, -1, -1}) {
			quota := limiter.AddQuota()
			limiter.Configure(quota, guarantee, capacity)
			quotas = append(quotas, quota)
		}
		owner := quotas[0]
		type loan struct {
			quota *Quota
			until int64
		}
		var loans []loan
		reclaimAt := 500 * ms
		for now := int64(0); now <= reclaimAt+reclaimTime; now += ms {
			remaining := loans[:0]
			for _, loan := range loans {
				if loan.until <= now {
					limiter.Release(loan.quota, 1)
				} else {
					remaining = append(remaining, loan)
				}
			}
			loans = remaining
			for range 20 {
				quota := quotas[1+random.IntN(2)]
				if until := now + 1 + random.Int64N(400*ms); limiter.Acquire(quota, 1, until, now) {
					loans = append(loans, loan{quota, until})
				}
			}
			if now < reclaimAt {
				continue
			}
			for limiter.Acquire(owner, 1, now+1000*ms, now) {
				if owner.used == owner.guarantee {
					break
				}
			}
			if now == reclaimAt && owner.used < owner.guarantee/minReserveDivisor {
				t.Fatalf("seed %d: acquired %d of a guarantee of %d immediately", seed, owner.used, owner.guarantee)
			}
			checkInvariants(t, limiter, 0)
		}
		if owner.used != owner.guarantee {
			t.Errorf("seed %d: holds %d of a guarantee of %d after the reclaim time", seed, owner.used, owner.guarantee)
		}
		if borrowed := quotas[1].used + quotas[2].used; borrowed != capacity-owner.guarantee {
			t.Errorf("seed %d: the other pools hold %d, want %d", seed, borrowed, capacity-owner.guarantee)
		}
	}
}

// TestIdleGuaranteeIsLent checks that a single active pool can acquire all but the minimum reserves of the others.
func TestIdleGuaranteeIsLent(t *testing.T) {
	limiter := New(100, 100*ms, 0)
	borrower, owner := limiter.AddQuota(), limiter.AddQuota()
	limiter.Configure(borrower, 50, 100)
	limiter.Configure(owner, 50, 100)
	now, acquired := int64(0), 0
	for limiter.Acquire(borrower, 1, now+ms, now) {
		acquired++
	}
	if acquired != 100-(50+minReserveDivisor-1)/minReserveDivisor {
		t.Errorf("acquired %d units of 100", acquired)
	}
	if limiter.Acquire(borrower, 1, now+500*ms, now) {
		t.Error("lent for longer than the reclaim time")
	}
}

// TestRefusalPacer checks that a burst of refusals is delayed by at most the maximum, and that no delay is left later.
func TestRefusalPacer(t *testing.T) {
	pacer := NewRefusalPacer(1000, 50*ms)
	longest, now := int64(0), int64(0)
	for range 10_000 {
		longest = max(longest, pacer.Delay(now))
	}
	if longest != 50*ms {
		t.Errorf("longest delay %d, want 50 ms", longest)
	}
	if delay := pacer.Delay(now + 10_000*ms); delay != 0 {
		t.Errorf("delay %d long after the burst, want 0", delay)
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, pools := range []int{3, 1000} {
		b.Run(map[int]string{3: "3", 1000: "1000"}[pools], func(b *testing.B) {
			limiter := New(int64(pools)*100, 1e9, 0)
			for range pools {
				limiter.Configure(limiter.AddQuota(), 100, 1000)
			}
			for i := 0; b.Loop(); i++ {
				quota := limiter.quotas[i%pools]
				if limiter.Acquire(quota, 1, int64(i)*1000, int64(i)*1000) {
					limiter.Release(quota, 1)
				}
			}
		})
	}
}

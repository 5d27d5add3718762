package httpwire

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/shares"
)

// sharedLimits holds the resources that the pools of a process share, under one lock. Package shares decides how
// much each pool may use.
type sharedLimits struct {
	mu           sync.Mutex
	epoch        time.Time
	unlimited    bool // for a single pool without limits, which is bounded by connTracker alone
	transactions *shares.Limiter
	connections  *shares.Limiter
	bodies       *shares.Limiter
	pools        map[*poolLimits]struct{}
}

const maxRefusalDelay = 50 * time.Millisecond // for a connection whose transaction was refused

// poolLimits is the part of one pool in the shared resources.
type poolLimits struct {
	shared       *sharedLimits
	transactions *shares.Quota
	connections  *shares.Quota
	bodies       *shares.Quota
	refusalPace  shares.RefusalPacer
	guaranteed   atomic.Int64 // guaranteed number of transactions
	clientConns  int          // connections whose last transaction came to this pool; under the lock of connTracker
}

func newSharedLimits() *sharedLimits {
	shared := &sharedLimits{epoch: time.Now(), pools: map[*poolLimits]struct{}{}}
	shared.transactions, shared.connections, shared.bodies = shares.New(0, 0, 0), shares.New(0, 0, 0), shares.New(0, 0, 0)
	return shared
}

func (shared *sharedLimits) now() int64 { return int64(time.Since(shared.epoch)) }

// addPool adds a pool, which holds nothing yet.
func (shared *sharedLimits) addPool() *poolLimits {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	limits := &poolLimits{shared: shared, transactions: shared.transactions.AddQuota(), connections: shared.connections.AddQuota(),
		bodies: shared.bodies.AddQuota()}
	shared.pools[limits] = struct{}{}
	return limits
}

// removePool removes a pool that holds nothing any more.
func (shared *sharedLimits) removePool(limits *poolLimits) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	delete(shared.pools, limits)
	shared.transactions.RemoveQuota(limits.transactions)
	shared.connections.RemoveQuota(limits.connections)
	shared.bodies.RemoveQuota(limits.bodies)
}

// Share is the share of a pool in the shared resources.
type Share struct {
	Guarantee                         float64 // guaranteed fraction; below zero for an equal part of what the others leave
	Transactions, Connections, Bodies int64   // limits of transactions, upstream connections and bytes of bodies; 0 for none
}

// setUnlimited lets the only pool use everything; bodies is the memory for bodies in bytes.
func (shared *sharedLimits) setUnlimited(bodies int64) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	shared.unlimited = true
	shared.bodies.SetCapacity(bodies)
	for limits := range shared.pools {
		shared.bodies.Configure(limits.bodies, bodies, bodies)
	}
}

// distribute sets the shares of all pools. Pools that are not in shareOf accept nothing new and release their part
// as they finish.
func (shared *sharedLimits) distribute(
	limit int64, bodies int64, reclaimTime time.Duration, refusals float64, shareOf map[*poolLimits]Share,
) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	clients := limit * 3 / 5 // above this, connTracker evicts a client connection for a new one
	spare := limit - descriptorReserve(limit) - clients
	shared.unlimited = false
	var participants []*poolLimits
	var fractions []float64
	for limits := range shared.pools {
		if _, named := shareOf[limits]; !named {
			shared.transactions.Configure(limits.transactions, 0, 0)
			shared.connections.Configure(limits.connections, 0, math.MaxInt64) // for attempts of accepted transactions
			shared.bodies.Configure(limits.bodies, 0, math.MaxInt64)
			continue
		}
		participants, fractions = append(participants, limits), append(fractions, shareOf[limits].Guarantee)
	}
	shared.transactions.SetCapacity(clients)
	shared.bodies.SetCapacity(bodies)
	for _, dealer := range []*shares.Limiter{shared.transactions, shared.connections, shared.bodies} {
		dealer.SetReclaimTime(int64(reclaimTime))
	}
	open, out, held := shares.Split(clients, fractions), shares.Split(spare, fractions), shares.Split(bodies, fractions)
	rates := shares.Split(int64(refusals), fractions)
	for i, limits := range participants {
		share := shareOf[limits]
		setShare(shared.transactions, limits.transactions, open[i], share.Transactions)
		limits.guaranteed.Store(limits.transactions.Guarantee())
		setShare(shared.connections, limits.connections, out[i], share.Connections)
		setShare(shared.bodies, limits.bodies, held[i], share.Bodies)
		limits.refusalPace = shares.NewRefusalPacer(float64(rates[i]), int64(maxRefusalDelay))
	}
}

func setShare(dealer *shares.Limiter, account *shares.Quota, guarantee, most int64) {
	if most <= 0 {
		most = math.MaxInt64
	}
	dealer.Configure(account, min(guarantee, most), most)
}

// admit decides on each transaction before its body is read; delay is how long a refused connection has to wait.
func (limits *poolLimits) admit(timeout time.Duration) (ok bool, delay time.Duration) {
	shared := limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	now := shared.now()
	if shared.unlimited {
		shared.transactions.ForceAcquire(limits.transactions, 1)
		return true, 0
	}
	if shared.transactions.Acquire(limits.transactions, 1, now+int64(timeout), now) {
		return true, 0
	}
	return false, time.Duration(limits.refusalPace.Delay(now))
}

// reservation is what a transaction holds of its pool's part until release. Its fields are guarded by the lock of
// sharedLimits.
type reservation struct {
	limits   *poolLimits
	timeout  time.Duration
	admitted bool
	bytes    int64 // of bodies
	released bool
}

// reserve takes buffer space for more bytes of a request body; all is the size of the body with them. A body longer than
// maxReservedBody may use at most 1/maxBodyShare of the memory, and only up to half of the memory may be in use.
// Otherwise a few long bodies would take all of it, and short ones, which are always buffered, would be refused.
func (held *reservation) reserve(bytes, all int64) bool {
	shared := held.limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	now := shared.now()
	if all > maxReservedBody+1 && max(all*maxBodyShare, (shared.bodies.Used()+bytes)*2) > shared.bodies.Capacity() ||
		!shared.bodies.Acquire(held.limits.bodies, bytes, now+int64(held.timeout), now) {
		return false
	}
	held.bytes += bytes
	return true
}

// force counts the bytes of a response without a limit, because discarding the response would forfeit a
// transaction that has run.
func (held *reservation) force(bytes int64) {
	held.limits.shared.mu.Lock()
	defer held.limits.shared.mu.Unlock()
	if !held.released { // otherwise the response is not kept
		held.bytes += bytes
		held.limits.shared.bodies.ForceAcquire(held.limits.bodies, bytes)
	}
}

// release returns everything.
func (held *reservation) release() {
	held.limits.shared.mu.Lock()
	defer held.limits.shared.mu.Unlock()
	held.released = true
	if held.admitted {
		held.limits.shared.transactions.Release(held.limits.transactions, 1)
	}
	held.limits.shared.bodies.Release(held.limits.bodies, held.bytes)
}

// reserveConn decides on each new connection to an upstream. room is how many all pools together may have by the
// number of descriptors. On a refusal, over lists the pools that should close idle connections: this pool and
// those above their guarantee.
func (limits *poolLimits) reserveConn(room int64, deadline time.Time) (ok bool, over []*poolLimits) {
	shared := limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	if shared.unlimited {
		shared.connections.ForceAcquire(limits.connections, 1)
		return true, nil
	}
	now := shared.now()
	shared.connections.SetCapacity(room)
	if shared.connections.Acquire(limits.connections, 1, now+int64(time.Until(deadline)), now) {
		return true, nil
	}
	over = append(over, limits)
	for other := range shared.pools {
		if other != limits && other.connections.OverGuarantee() {
			over = append(over, other)
		}
	}
	return false, over
}

// releaseConn returns a connection to an upstream.
func (limits *poolLimits) releaseConn() {
	limits.shared.mu.Lock()
	limits.shared.connections.Release(limits.connections, 1)
	limits.shared.mu.Unlock()
}

// usage returns what the pool uses now, and the number of refusals since the last call.
func (limits *poolLimits) usage() (open, out, bodies, refused int64) {
	limits.shared.mu.Lock()
	defer limits.shared.mu.Unlock()
	_, a := limits.transactions.TakeRefusals()
	_, b := limits.connections.TakeRefusals()
	_, c := limits.bodies.TakeRefusals()
	return limits.transactions.Used(), limits.connections.Used(), limits.bodies.Used(), a + b + c
}

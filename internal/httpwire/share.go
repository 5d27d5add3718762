package httpwire

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/shares"
)

// sharedLimits is what the pools of a process have in common, under one lock. What each may have shares decides.
type sharedLimits struct {
	mu           sync.Mutex
	epoch        time.Time
	unlimited    bool // one pool alone, without limits of its own: it may have all, and sockets bound it
	transactions *shares.Dealer
	connections  *shares.Dealer
	bodies       *shares.Dealer
	pools        map[*poolLimits]struct{}
}

const maxRefusalDelay = 50 * time.Millisecond // of a connection whose transaction was deferred at the edge

// poolLimits is a pool's.
type poolLimits struct {
	shared       *sharedLimits
	transactions *shares.Account
	connections  *shares.Account
	bodies       *shares.Account
	refusalPace  shares.Pace
	guaranteed   atomic.Int64 // transactions guaranteed
	clientConns  int          // connections whose last transaction came to this pool; under the lock of sockets
}

func newSharedLimits() *sharedLimits {
	c := &sharedLimits{epoch: time.Now(), pools: map[*poolLimits]struct{}{}}
	c.transactions, c.connections, c.bodies = shares.New(0, 0, 0), shares.New(0, 0, 0), shares.New(0, 0, 0)
	return c
}

func (shared *sharedLimits) now() int64 { return int64(time.Since(shared.epoch)) }

// addPool opens a pool's part, which holds nothing yet.
func (shared *sharedLimits) addPool() *poolLimits {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	p := &poolLimits{shared: shared, transactions: shared.transactions.Open(), connections: shared.connections.Open(), bodies: shared.bodies.Open()}
	shared.pools[p] = struct{}{}
	return p
}

// removePool closes a part that holds nothing any more.
func (shared *sharedLimits) removePool(p *poolLimits) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	delete(shared.pools, p)
	shared.transactions.Close(p.transactions)
	shared.connections.Close(p.connections)
	shared.bodies.Close(p.bodies)
}

// Share is what a pool is to have.
type Share struct {
	Guarantee                 float64 // of what is common, guaranteed; below zero for an even part of what others leave
	Open, Connections, Bodies int64   // at most; 0 for all there is
}

// setUnlimited lets the one pool there is have all; bodies are bytes in hand.
func (shared *sharedLimits) setUnlimited(bodies int64) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	shared.unlimited = true
	shared.bodies.Resize(bodies)
	for p := range shared.pools {
		shared.bodies.Set(p.bodies, bodies, bodies)
	}
}

// distribute sets what all pools have from now on. A part that isn't named gives its place up as it empties.
func (shared *sharedLimits) distribute(limit int64, bodies int64, within time.Duration, refusals float64, shareOf map[*poolLimits]Share) {
	shared.mu.Lock()
	defer shared.mu.Unlock()
	clients := limit * 3 / 5 // as many as sockets lets them hold before one makes room for another
	spare := limit - descriptorReserve(limit) - clients
	shared.unlimited = false
	var parts []*poolLimits
	var fractions []float64
	for p := range shared.pools {
		if _, named := shareOf[p]; !named {
			shared.transactions.Set(p.transactions, 0, 0)
			shared.connections.Set(p.connections, 0, math.MaxInt64) // what it has taken it may still push
			shared.bodies.Set(p.bodies, 0, math.MaxInt64)
			continue
		}
		parts, fractions = append(parts, p), append(fractions, shareOf[p].Guarantee)
	}
	shared.transactions.Resize(clients)
	shared.bodies.Resize(bodies)
	for _, d := range []*shares.Dealer{shared.transactions, shared.connections, shared.bodies} {
		d.Within(int64(within))
	}
	open, out, held := shares.Split(clients, fractions), shares.Split(spare, fractions), shares.Split(bodies, fractions)
	rates := shares.Split(int64(refusals), fractions)
	for i, p := range parts {
		share := shareOf[p]
		setShare(shared.transactions, p.transactions, open[i], share.Open)
		p.guaranteed.Store(p.transactions.Guarantee())
		setShare(shared.connections, p.connections, out[i], share.Connections)
		setShare(shared.bodies, p.bodies, held[i], share.Bodies)
		p.refusalPace = shares.NewPace(float64(rates[i]), int64(maxRefusalDelay))
	}
}

func setShare(dealer *shares.Dealer, account *shares.Account, guarantee, most int64) {
	if most <= 0 {
		most = math.MaxInt64
	}
	dealer.Set(account, min(guarantee, most), most)
}

// admit is asked for each transaction before its body is read; rest is what a connection that is refused has to rest.
func (limits *poolLimits) admit(timeout time.Duration) (ok bool, delay time.Duration) {
	shared := limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	now := shared.now()
	if shared.unlimited {
		shared.transactions.Force(limits.transactions, 1)
		return true, 0
	}
	if shared.transactions.Take(limits.transactions, 1, now+int64(timeout), now) {
		return true, 0
	}
	return false, time.Duration(limits.refusalPace.Rest(now))
}

// reservation is what a transaction holds of its pool's part, until end.
type reservation struct {
	limits   *poolLimits
	timeout  time.Duration
	admitted bool
	bytes    int64 // of bodies
	released bool  // all under the lock of common
}

// reserve takes room for so many bytes more of a request, of which all is to be no more than a part of what there is.
// Danger: a few long ones would take up all of it, and short ones, which are held for certain, would be turned away.
func (res *reservation) reserve(bytes, all int64) bool {
	shared := res.limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	now := shared.now()
	if all > maxReservedBody+1 && max(all*maxBodyShare, (shared.bodies.Used()+bytes)*2) > shared.bodies.Capacity() || !shared.bodies.Take(res.limits.bodies, bytes, now+int64(res.timeout), now) {
		return false
	}
	res.bytes += bytes
	return true
}

// force counts what an answer brought. Danger: thrown away for want of room, it would be a forfeit of what has run.
func (res *reservation) force(bytes int64) {
	res.limits.shared.mu.Lock()
	defer res.limits.shared.mu.Unlock()
	if !res.released { // else nobody keeps it
		res.bytes += bytes
		res.limits.shared.bodies.Force(res.limits.bodies, bytes)
	}
}

// release gives all of it back.
func (res *reservation) release() {
	res.limits.shared.mu.Lock()
	defer res.limits.shared.mu.Unlock()
	res.released = true
	if res.admitted {
		res.limits.shared.transactions.Give(res.limits.transactions, 1)
	}
	res.limits.shared.bodies.Give(res.limits.bodies, res.bytes)
}

// reserveConn is asked for each connection to an upstream; room is what the descriptors leave for all of them. short tells
// those that hold more than is guaranteed to them, who are to close what lies idle.
func (limits *poolLimits) reserveConn(room int64, deadline time.Time) (ok bool, over []*poolLimits) {
	shared := limits.shared
	shared.mu.Lock()
	defer shared.mu.Unlock()
	if shared.unlimited {
		shared.connections.Force(limits.connections, 1)
		return true, nil
	}
	now := shared.now()
	shared.connections.Resize(room)
	if shared.connections.Take(limits.connections, 1, now+int64(time.Until(deadline)), now) {
		return true, nil
	}
	over = append(over, limits)
	for o := range shared.pools {
		if o != limits && o.connections.Over() {
			over = append(over, o)
		}
	}
	return false, over
}

// releaseConn takes a connection to an upstream back.
func (limits *poolLimits) releaseConn() {
	limits.shared.mu.Lock()
	limits.shared.connections.Give(limits.connections, 1)
	limits.shared.mu.Unlock()
}

// usage tells what a pool has now, and what it was refused since the last call.
func (limits *poolLimits) usage() (open, out, bodies, refused int64) {
	limits.shared.mu.Lock()
	defer limits.shared.mu.Unlock()
	_, a := limits.transactions.Refused()
	_, b := limits.connections.Refused()
	_, c := limits.bodies.Refused()
	return limits.transactions.Used(), limits.connections.Used(), limits.bodies.Used(), a + b + c
}

package httpwire

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/shares"
)

// common is what the pools of a process have in common, under one lock. What each may have shares decides.
type common struct {
	mu     sync.Mutex
	epoch  time.Time
	free   bool // one pool alone, without limits of its own: it may have all, and sockets bound it
	open   *shares.Limiter
	out    *shares.Limiter
	bodies *shares.Limiter
	parts  map[*part]struct{}
}

const mostRest = 50 * time.Millisecond // of a connection whose transaction was deferred at the edge

// part is a pool's.
type part struct {
	common  *common
	open    *shares.Quota
	out     *shares.Quota
	bodies  *shares.Quota
	pace    shares.RefusalPacer
	weight  atomic.Int64 // transactions guaranteed
	clients int          // connections whose last transaction came to this pool; under the lock of sockets
}

func newCommon() *common {
	c := &common{epoch: time.Now(), parts: map[*part]struct{}{}}
	c.open, c.out, c.bodies = shares.New(0, 0, 0), shares.New(0, 0, 0), shares.New(0, 0, 0)
	return c
}

func (c *common) now() int64 { return int64(time.Since(c.epoch)) }

// enter opens a pool's part, which holds nothing yet.
func (c *common) enter() *part {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &part{common: c, open: c.open.AddQuota(), out: c.out.AddQuota(), bodies: c.bodies.AddQuota()}
	c.parts[p] = struct{}{}
	return p
}

// exit closes a part that holds nothing any more.
func (c *common) exit(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.parts, p)
	c.open.RemoveQuota(p.open)
	c.out.RemoveQuota(p.out)
	c.bodies.RemoveQuota(p.bodies)
}

// Share is what a pool is to have.
type Share struct {
	Part                      float64 // of what is common, guaranteed; below zero for an even part of what others leave
	Open, Connections, Bodies int64   // at most; 0 for all there is
}

// alone lets the one pool there is have all; bodies are bytes in hand.
func (c *common) alone(bodies int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free = true
	c.bodies.SetCapacity(bodies)
	for p := range c.parts {
		c.bodies.Configure(p.bodies, bodies, bodies)
	}
}

// deal sets what all pools have from now on. A part that isn't named gives its place up as it empties.
func (c *common) deal(limit int64, bodies int64, within time.Duration, refusals float64, to map[*part]Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clients := limit * 3 / 5 // as many as sockets lets them hold before one makes room for another
	spare := limit - reserveOf(limit) - clients
	c.free = false
	var parts []*part
	var said []float64
	for p := range c.parts {
		if _, named := to[p]; !named {
			c.open.Configure(p.open, 0, 0)
			c.out.Configure(p.out, 0, math.MaxInt64) // what it has taken it may still push
			c.bodies.Configure(p.bodies, 0, math.MaxInt64)
			continue
		}
		parts, said = append(parts, p), append(said, to[p].Part)
	}
	c.open.SetCapacity(clients)
	c.bodies.SetCapacity(bodies)
	for _, d := range []*shares.Limiter{c.open, c.out, c.bodies} {
		d.SetReclaimTime(int64(within))
	}
	open, out, held := shares.Split(clients, said), shares.Split(spare, said), shares.Split(bodies, said)
	rates := shares.Split(int64(refusals), said)
	for i, p := range parts {
		s := to[p]
		set(c.open, p.open, open[i], s.Open)
		p.weight.Store(p.open.Guarantee())
		set(c.out, p.out, out[i], s.Connections)
		set(c.bodies, p.bodies, held[i], s.Bodies)
		p.pace = shares.NewRefusalPacer(float64(rates[i]), int64(mostRest))
	}
}

func set(d *shares.Limiter, a *shares.Quota, guarantee, most int64) {
	if most <= 0 {
		most = math.MaxInt64
	}
	d.Configure(a, min(guarantee, most), most)
}

// take is asked for each transaction before its body is read; rest is what a connection that is refused has to rest.
func (p *part) take(left time.Duration) (ok bool, rest time.Duration) {
	c := p.common
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.free {
		c.open.ForceAcquire(p.open, 1)
		return true, 0
	}
	if c.open.Acquire(p.open, 1, now+int64(left), now) {
		return true, 0
	}
	return false, time.Duration(p.pace.Delay(now))
}

// inHand is what a transaction holds of its pool's part, until end.
type inHand struct {
	part  *part
	left  time.Duration
	open  bool
	bytes int64 // of bodies
	over  bool  // all under the lock of common
}

// more takes room for so many bytes more of a request, of which all is to be no more than a part of what there is.
// Danger: a few long ones would take up all of it, and short ones, which are held for certain, would be turned away.
func (h *inHand) more(bytes, all int64) bool {
	c := h.part.common
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if all > mostBody+1 && max(all*mostHeld, (c.bodies.Used()+bytes)*2) > c.bodies.Capacity() || !c.bodies.Acquire(h.part.bodies, bytes, now+int64(h.left), now) {
		return false
	}
	h.bytes += bytes
	return true
}

// grow counts what an answer brought. Danger: thrown away for want of room, it would be a forfeit of what has run.
func (h *inHand) grow(bytes int64) {
	h.part.common.mu.Lock()
	defer h.part.common.mu.Unlock()
	if !h.over { // else nobody keeps it
		h.bytes += bytes
		h.part.common.bodies.ForceAcquire(h.part.bodies, bytes)
	}
}

// end gives all of it back.
func (h *inHand) end() {
	h.part.common.mu.Lock()
	defer h.part.common.mu.Unlock()
	h.over = true
	if h.open {
		h.part.common.open.Release(h.part.open, 1)
	}
	h.part.common.bodies.Release(h.part.bodies, h.bytes)
}

// dial is asked for each connection to an upstream; room is what the descriptors leave for all of them. short tells
// those that hold more than is guaranteed to them, who are to close what lies idle.
func (p *part) dial(room int64, until time.Time) (ok bool, short []*part) {
	c := p.common
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.free {
		c.out.ForceAcquire(p.out, 1)
		return true, nil
	}
	now := c.now()
	c.out.SetCapacity(room)
	if c.out.Acquire(p.out, 1, now+int64(time.Until(until)), now) {
		return true, nil
	}
	short = append(short, p)
	for o := range c.parts {
		if o != p && o.out.OverGuarantee() {
			short = append(short, o)
		}
	}
	return false, short
}

// hangUp takes a connection to an upstream back.
func (p *part) hangUp() {
	p.common.mu.Lock()
	p.common.out.Release(p.out, 1)
	p.common.mu.Unlock()
}

// holds tells what a pool has now, and what it was refused since the last call.
func (p *part) holds() (open, out, bodies, owed int64) {
	p.common.mu.Lock()
	defer p.common.mu.Unlock()
	_, a := p.open.TakeRefusals()
	_, b := p.out.TakeRefusals()
	_, c := p.bodies.TakeRefusals()
	return p.open.Used(), p.out.Used(), p.bodies.Used(), a + b + c
}

package burstcredit

import (
	"cmp"
	"math"
	"slices"
)

// Claim is a request that is beyond its tenant's rate.
type Claim struct {
	Tenant  string
	ID      uint64
	Service string
	Effect  bool // it must not run twice: once it may have run it is charged
	Client  bool // it began at a client, not at a service
	Rank    int  // of tenant and route, 0 first
}

// Verdict is how a claim goes on.
type Verdict uint8

// The verdicts.
const (
	None  Verdict = iota // there is no credit to draw on
	Drawn                // it goes on: a token is reserved for it, or was for an earlier try of the same
	Wait                 // there may be some soon: Turn calls it
)

// End is what became of a try.
type Outcome uint8

// The ends.
const (
	Delivered Outcome = iota // answered whole
	Unknown                  // it may have run
	NeverRan                 // or an answer that is no use: a failure, a refusal, a page that broke off
)

type hold struct {
	Claim
	tries   int   // under way
	charged bool  // its token is spent
	void    bool  // its token was in an escrow that has been closed
	until   int64 // then it is forgotten, where it is charged
}

type tenantCredit struct {
	Terms
	tokens   float64 // not reserved
	reserved float64
	demand   [2]float64 // a second, of calls of services and of clients
	lately   float64    // clients' claims, over rushFor
	at       int64
	waiting  [2]int
	usable   int64 // until then, by this balancer's own clock
}

type reservedCredit struct {
	rate, most, has float64
	at              int64
}

// waiter is a claim that waits for its turn.
type waiter struct {
	claim Claim
	order uint64
	call  func(bool)
}

// Crop is what one balancer holds of tenants' credit. It begins empty.
type Wallet struct {
	node, life string
	seq        uint64
	tenants    map[string]*tenantCredit
	services   map[string]*reservedCredit
	holds      map[ClaimID]*hold
	line       []*waiter
	orders     uint64
	sent       *Report   // that has not been answered
	settled    []ClaimID // since the last that was
	swept      int64

	noEnd, perTry, noPrecedence bool // guards left out
}

// NewCrop makes one for a life of a balancer.
func NewWallet(node, life string) *Wallet {
	return &Wallet{node: node, life: life, tenants: map[string]*tenantCredit{}, services: map[string]*reservedCredit{}, holds: map[ClaimID]*hold{}}
}

// Set puts terms in force, and the most that all credit together adds at a service a second, of which a balancer has a part.
func (c *Wallet) Set(terms map[string]Terms, services map[string]float64, members int, now int64) {
	for tenant, t := range terms {
		if p := c.tenants[tenant]; p != nil {
			p.Terms = t
		} else if t.Extra > 0 {
			c.tenants[tenant] = &tenantCredit{Terms: t, at: now}
		}
	}
	for tenant, p := range c.tenants {
		if _, is := terms[tenant]; !is {
			p.Terms = Terms{} // what it holds goes back with the next report
		}
	}
	for name := range c.services {
		if services[name] <= 0 {
			delete(c.services, name)
		}
	}
	for name, most := range services {
		if most <= 0 {
			continue
		}
		p := c.services[name]
		if p == nil {
			p = &reservedCredit{at: now}
			c.services[name] = p
		}
		p.rate = most / float64(max(members, 1))
		p.most = math.Max(1, p.rate)
	}
}

// On reports whether any tenant has credit.
func (c *Wallet) On() bool { return len(c.tenants) > 0 }

// room takes one from a service's purse, if there is one.
func (c *Wallet) room(service string, now int64) bool {
	p := c.services[service]
	if p == nil {
		return true
	}
	p.has = math.Min(p.most, p.has+p.rate*float64(max(0, now-p.at))/float64(s))
	p.at = now
	return p.has >= 1
}

// Claim reserves a token for a request. Whoever waits is called by Turn, with what became of it, or gives up by Leave.
func (c *Wallet) Claim(k Claim, now int64, call func(bool)) Verdict {
	p := c.tenants[k.Tenant]
	if p == nil || p.Extra <= 0 {
		return None
	}
	if h := c.holds[k.mark()]; h != nil && !c.perTry { // another try of the same
		h.tries++
		return Drawn
	}
	kind := 0
	if k.Client {
		kind = 1
	}
	p.demand[0] *= math.Exp(-float64(now-p.at) / float64(s))
	p.demand[1] *= math.Exp(-float64(now-p.at) / float64(s))
	p.demand[kind]++
	p.lately *= math.Exp(-float64(now-p.at) / float64(burstWindow))
	p.lately += float64(kind)
	p.at = now
	if len(c.line) == 0 && c.reserve(k, now) {
		return Drawn
	}
	if call == nil {
		return None
	}
	c.orders++
	w := &waiter{k, c.orders, call}
	at, _ := slices.BinarySearchFunc(c.line, w, c.before)
	c.line = slices.Insert(c.line, at, w)
	p.waiting[kind]++
	return Wait
}

// before is the order of those that wait: clients' requests, rank, the longest waiting.
func (c *Wallet) before(a, b *waiter) int {
	if c.noPrecedence {
		return cmp.Compare(a.order, b.order)
	}
	first := func(w *waiter) int {
		if w.claim.Client {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.claim.Rank, b.claim.Rank), cmp.Compare(a.order, b.order))
}

func (k Claim) mark() ClaimID { return ClaimID{k.Tenant, k.ID} }

// reserve takes a token for a claim, if there is one and its service has room.
func (c *Wallet) reserve(k Claim, now int64) bool {
	p := c.tenants[k.Tenant]
	if p == nil || p.tokens < 1 || now >= p.usable && !c.noEnd {
		return false
	}
	if !k.Client && !c.noPrecedence { // what clients are about to ask for is theirs
		if p.tokens < 1+2*p.burstDemand(now) {
			return false
		}
	}
	if !c.room(k.Service, now) {
		return false
	}
	if q := c.services[k.Service]; q != nil {
		q.has--
	}
	p.tokens--
	p.reserved++
	m := k.mark()
	if c.perTry { // each try for itself
		m.ID += c.orders<<32 + uint64(len(c.holds))
	}
	c.holds[m] = &hold{Claim: k, tries: 1}
	return true
}

// Turn serves those that wait, in their order, as far as there is something.
func (c *Wallet) Turn(now int64) {
	kept := c.line[:0]
	var called []*waiter
	for _, w := range c.line {
		if h := c.holds[w.claim.mark()]; h != nil { // an earlier try was served meanwhile
			h.tries++
		} else if !c.reserve(w.claim, now) {
			kept = append(kept, w)
			continue
		}
		called = append(called, w)
	}
	clear(c.line[len(kept):])
	c.line = kept
	for _, w := range called {
		c.unwait(w)
		w.call(true)
	}
}

func (c *Wallet) unwait(w *waiter) {
	kind := 0
	if w.claim.Client {
		kind = 1
	}
	if p := c.tenants[w.claim.Tenant]; p != nil && p.waiting[kind] > 0 {
		p.waiting[kind]--
	}
}

// Leave takes a claim out of the line; it reports whether it still stood there.
func (c *Wallet) Leave(k Claim) bool {
	for n, w := range c.line {
		if w.claim == k {
			c.line = slices.Delete(c.line, n, n+1)
			c.unwait(w)
			return true
		}
	}
	return false
}

// Done takes the end of a try that was drawn for. A token is spent once, by the first try that delivers, or that may have had an
// effect; it is free again once the last try ends without.
func (c *Wallet) Done(k Claim, end Outcome, now int64) {
	m := k.mark()
	h := c.holds[m]
	if c.perTry {
		for other, o := range c.holds {
			if o.Claim == k && !o.charged {
				m, h = other, o
				break
			}
		}
	}
	if h == nil || h.tries == 0 {
		return
	}
	h.tries--
	p := c.tenants[k.Tenant]
	if !h.charged && (end == Delivered || end == Unknown && h.Effect) {
		h.charged, h.until = true, now+Window
		if p != nil {
			p.reserved--
		}
		c.settled = append(c.settled, ClaimID{m.Tenant, m.ID})
	}
	if h.tries == 0 && !h.charged {
		if delete(c.holds, m); p != nil {
			if p.reserved--; !h.void {
				p.tokens++
			}
		}
	}
	if now-c.swept > s {
		c.swept = now
		for m, h := range c.holds {
			if h.charged && h.tries == 0 && now >= h.until {
				delete(c.holds, m)
			}
		}
	}
}

// rush is how many clients' claims are to be looked for within Ahead, by the last seconds: a lull is no end of a rush.
func (p *tenantCredit) burstDemand(now int64) float64 {
	return p.lately*math.Exp(-float64(now-p.at)/float64(burstWindow))*float64(Ahead)/float64(burstWindow) + float64(p.waiting[1])
}

const burstWindow = 5 * s

// wish is what a balancer would hold for clients and for services.
func (p *tenantCredit) wish(now int64) (client, inner float64) {
	old := math.Exp(-float64(now-p.at) / float64(s))
	ahead := float64(Ahead) / float64(s) / 2
	return math.Ceil(p.demand[1]*old*ahead-0.05) + float64(p.waiting[1]), math.Ceil(p.demand[0]*old*ahead-0.05) + float64(p.waiting[0])
}

// Wants reports whether a report would be of use now.
func (c *Wallet) Wants(now int64) bool {
	if c.sent != nil || len(c.settled) > 0 || len(c.line) > 0 {
		return true
	}
	for _, p := range c.tenants {
		client, inner := p.wish(now)
		held := p.tokens + p.reserved
		if held > 0 || p.Extra > 0 && client+inner > held {
			return true
		}
	}
	return false
}

// Report is the next word to the book, or the last again, if that was not answered.
func (c *Wallet) Report(now int64) *Report {
	if c.sent != nil {
		return c.sent
	}
	c.seq++
	r := &Report{Node: c.node, Life: c.life, Seq: c.seq, Asks: map[string]Ask{}, Settled: c.settled}
	c.settled = nil
	for m, h := range c.holds {
		if h.Effect && !h.charged {
			r.Open = append(r.Open, m)
		}
	}
	slices.SortFunc(r.Open, func(a, b ClaimID) int { return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.ID, b.ID)) })
	for tenant, p := range c.tenants {
		client, inner := p.wish(now)
		if p.Extra <= 0 {
			client, inner = 0, 0
		}
		a := Ask{Held: p.tokens + p.reserved}
		if over := whole(p.tokens - 2*(client+inner)); over > 0 {
			a.Return = over
			p.tokens -= over
		}
		a.Want = math.Max(0, client-p.tokens)
		a.Inner = math.Max(0, inner-math.Max(0, p.tokens-client))
		if a != (Ask{}) {
			r.Asks[tenant] = a
		}
	}
	c.sent = r
	return r
}

// Given takes the answer to a report that was sent at a time.
func (c *Wallet) ApplyGrant(g *Grant, sent, now int64) {
	if g == nil || c.sent == nil || g.Seq != c.sent.Seq {
		return
	}
	c.sent = nil
	for _, p := range c.tenants {
		p.usable = sent + Strand*9/10 // by its own clock, well before the book closes it
		if g.Reset {
			p.tokens = 0
		}
	}
	for _, h := range c.holds {
		h.void = h.void || g.Reset && !h.charged
	}
	for tenant, n := range g.Refunds {
		if p := c.tenants[tenant]; p != nil {
			p.tokens += n
		}
	}
	for tenant, n := range g.Tokens {
		if p := c.tenants[tenant]; p != nil {
			p.tokens += n
		}
	}
	c.Turn(now)
}

// Held is what is in escrow here.
func (c *Wallet) Held(tenant string) (free, reserved float64) {
	if p := c.tenants[tenant]; p != nil {
		return p.tokens, p.reserved
	}
	return 0, 0
}

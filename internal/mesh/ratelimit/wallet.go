package ratelimit

import (
	"math"
)

// Passes is how a request within a quota, or beyond it, goes on.
type Passes uint8

// The verdicts.
const (
	Pass Passes = iota // it has spent a token
	Stop               // there is none
	Ask                // one may be had by a draw
)

type tenantTokens struct {
	Limit
	tokens   float64
	demand   float64 // a second
	at       int64
	dry      int64
	waiting  int // requests that wait for a draw
	standing TokenBucket
}

// Wallet is one balancer's tokens of all tenants. It begins empty: one that is started again, or a fleet of them, has
// spent what it had for all that it knows.
type Wallet struct {
	members int
	by      map[string]*tenantTokens
	seq     uint64
	again   bool  // the bank has answered one that stood alone: it counts as there from its next draw on
	heard   int64 // when the last draw was sent that was answered
}

// NewWallet makes an empty one, that has its standing rate until it has heard of the bank.
func NewWallet(now int64) *Wallet {
	return &Wallet{by: map[string]*tenantTokens{}, heard: now - Standing - 1}
}

// Set puts limits in force; members is how many balancers there are, as far as is known.
func (w *Wallet) Set(limits map[string]Limit, members int, now int64) {
	w.members = max(members, 1)
	for tenant := range w.by {
		if l, is := limits[tenant]; !is || l.Rate <= 0 {
			delete(w.by, tenant)
		}
	}
	for tenant, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		p := w.by[tenant]
		if p == nil {
			p = &tenantTokens{at: now, standing: TokenBucket{at: now}}
			w.by[tenant] = p
		}
		p.Limit = l
		p.standing.rate, p.standing.most = l.Rate/float64(w.members), math.Max(1, l.Rate/float64(w.members)/4)
	}
}

// alone reports whether the bank has been silent for so long that the standing rate holds.
func (w *Wallet) alone(now int64) bool { return now-w.heard > Standing }

// Take decides on a request of a tenant; asked says that it has waited for a draw already. wait is when to come back.
func (w *Wallet) Take(tenant string, now int64, asked bool) (verdict Passes, wait int64) {
	p := w.by[tenant]
	if p == nil {
		return Pass, 0
	}
	if !asked { // what has waited has been counted
		p.demand *= math.Exp(-float64(now-p.at) / s)
		p.demand++
		p.at = now
	}
	if now-w.heard > Expiry {
		p.tokens = 0
	}
	if p.tokens >= 1 {
		p.tokens--
		return Pass, 0
	}
	if w.alone(now) {
		if p.standing.fill(now); p.standing.has >= 1 {
			p.standing.has--
			return Pass, 0
		}
		return Stop, int64((1 - p.standing.has) / p.standing.rate * s)
	}
	if asked || now < p.dry-dryFirst {
		return Stop, max(p.dry-now, dryLeast)
	}
	p.waiting++
	return Ask, 0
}

// wish is what a balancer would hold of a tenant's. Invariant: one token at each of many balancers, for a tenant that sends a
// few requests a second, is all that there is, and none where the next request comes; of such a tenant none is held.
func (p *tenantTokens) wish(now int64) float64 {
	return math.Floor(p.demand * math.Exp(-float64(now-p.at)/s) * float64(Ahead) / s)
}

// Wants reports whether a draw would be of use before the next regular one.
func (w *Wallet) Wants(now int64) bool {
	if w.again {
		return true
	}
	for _, p := range w.by {
		if now >= p.dry && p.tokens < p.wish(now)/3 {
			return true
		}
	}
	return false
}

// Draw is the call to the bank as things stand. What is held beyond need goes back with it.
func (w *Wallet) NewRequest(node, life string, now int64) *TokenRequest {
	w.seq++
	w.again = false
	d := &TokenRequest{Node: node, Life: life, Seq: w.seq, Standing: w.alone(now), Wants: map[string]Demand{}}
	for tenant, p := range w.by {
		wish := p.wish(now)
		keep := math.Min(p.tokens, 2*wish+float64(p.waiting))
		want := Demand{Held: keep, Back: p.tokens - keep}
		p.tokens = keep
		if now >= p.dry {
			want.More = math.Max(0, wish-p.tokens) + float64(p.waiting)
		}
		if p.waiting = 0; want != (Demand{}) {
			d.Wants[tenant] = want
		}
	}
	return d
}

// Refused takes that whoever was asked does not keep the bank, or not yet, or is not there: nothing is drawn meanwhile, and
// the standing rate holds at once.
func (w *Wallet) GrantRefused(now int64) { w.heard = min(w.heard, now-Standing-1) }

// Given takes the answer to a draw that was sent at a time.
func (w *Wallet) ApplyGrant(given map[string]TokenGrant, sent, now int64) {
	if sent < w.heard {
		return
	}
	w.again = w.alone(now)
	w.heard = sent
	for tenant, g := range given {
		if p := w.by[tenant]; p != nil {
			p.tokens += g.Tokens
			if g.Dry > 0 {
				p.dry = now + g.Dry
			}
		}
	}
}

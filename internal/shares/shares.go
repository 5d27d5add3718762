// Package shares deals out what several pools of one process have in common: transactions open, connections to
// upstreams, bytes of bodies in hand. It has no I/O and no clock: who calls it tells the time and owns the lock.
//
// Each pool has a guaranteed part and may borrow what lies idle. Three things see that a lender has it back:
//   - Of an idle guarantee only what its owner has not used lately is lent, and a quarter of it never.
//   - Nothing is lent into a guarantee for longer than the stated time: what is borrowed ends by itself.
//   - Once an owner was refused under its guarantee, nothing more of that is lent until it has not asked for a while.
//
// So an owner has at once what it used lately and a quarter more, and all of its guarantee within the stated time.
package shares

import "fmt"

// cushion is the part of a guarantee that is never lent.
const cushion = 4

// Account is one pool's share of one thing.
type Account struct {
	guarantee, ceiling int64
	used               int64
	peak               [2]int64 // most that it used or wanted in this span and the one before
	held               int64    // kept free for it
	idle               int64    // of its guarantee
	refused, owed      int64    // since they were last read: refusals, and those of them under its guarantee
}

// Used is what a pool holds now.
func (a *Account) Used() int64 { return a.used }

// Over reports whether a pool holds more than is guaranteed to it.
func (a *Account) Over() bool { return a.used > a.guarantee }

// Guarantee is a pool's part for certain.
func (a *Account) Guarantee() int64 { return a.guarantee }

// Refused counts refusals since the last call, and those under the pool's guarantee.
func (a *Account) Refused() (all, owed int64) {
	all, owed = a.refused, a.owed
	a.refused, a.owed = 0, 0
	return all, owed
}

// Dealer deals out one thing.
type Dealer struct {
	capacity int64
	within   int64 // nanoseconds until a guarantee is back
	turn     int64 // when the span ends
	accounts []*Account
	used     int64 // sums over all accounts
	held     int64
	idle     int64
}

// New makes a dealer of so much, which gives guarantees back within so many nanoseconds.
func New(capacity, within, now int64) *Dealer {
	return &Dealer{capacity: capacity, within: within, turn: now + within}
}

// Open starts an account; Set says what it holds.
func (d *Dealer) Open() *Account {
	a := &Account{}
	d.accounts = append(d.accounts, a)
	return a
}

// Close ends an account, which must hold nothing any more.
func (d *Dealer) Close(a *Account) {
	d.Set(a, 0, 0)
	for i, other := range d.accounts {
		if other == a {
			d.accounts = append(d.accounts[:i], d.accounts[i+1:]...)
			return
		}
	}
}

// Set changes what is guaranteed to a pool and the most that it may hold. What it holds beyond stays until given.
func (d *Dealer) Set(a *Account, guarantee, ceiling int64) {
	a.guarantee, a.ceiling = guarantee, ceiling
	d.settle(a)
}

// Resize changes what there is.
func (d *Dealer) Resize(capacity int64) { d.capacity = capacity }

// Capacity is how much there is.
func (d *Dealer) Capacity() int64 { return d.capacity }

// Used is how much of it all pools hold.
func (d *Dealer) Used() int64 { return d.used }

// Within changes the time within which guarantees are back.
func (d *Dealer) Within(within int64) { d.within = within }

// Take gives a pool n more until some time at the latest, if it may have them.
func (d *Dealer) Take(a *Account, n, until, now int64) bool {
	d.tick(now)
	if !d.may(a, n, until, now) {
		a.refused++
		return false
	}
	d.add(a, n)
	return true
}

func (d *Dealer) may(a *Account, n, until, now int64) bool {
	if a.used+n > a.ceiling {
		return false
	}
	if a.used+n <= a.guarantee {
		if d.used+n <= d.capacity {
			return true
		}
		// Danger: it is lent out. From now on all of it is called back, or borrowers would take in turns what ends.
		a.owed++
		a.peak[0] = a.guarantee
		d.settle(a)
		return false
	}
	if d.used+n+d.held-a.held > d.capacity {
		return false
	}
	// Danger: what is lent out of another's guarantee for long is no guarantee.
	return d.used+n+d.idle-a.idle <= d.capacity || until <= now+d.within
}

// Force gives a pool n more whatever there is: what came can't be sent back. It narrows what is taken next.
func (d *Dealer) Force(a *Account, n int64) { d.add(a, n) }

// Give takes n back.
func (d *Dealer) Give(a *Account, n int64) {
	if n > a.used {
		panic(fmt.Sprintf("shares: %d given back of %d", n, a.used))
	}
	d.add(a, -n)
}

func (d *Dealer) add(a *Account, n int64) {
	a.used += n
	d.used += n
	a.peak[0] = max(a.peak[0], a.used)
	d.settle(a)
}

// settle brings the sums up to what an account holds now.
func (d *Dealer) settle(a *Account) {
	recent := max(a.peak[0], a.peak[1])
	held := max(0, min(a.guarantee, recent+(a.guarantee+cushion-1)/cushion)-a.used)
	idle := max(0, a.guarantee-a.used)
	d.held += held - a.held
	d.idle += idle - a.idle
	a.held, a.idle = held, idle
}

// tick lets use that is long past be forgotten.
func (d *Dealer) tick(now int64) {
	if now < d.turn {
		return
	}
	// Danger: after a stop of the process several spans have gone by at once.
	gone := now >= d.turn+d.within
	d.turn = now + d.within
	for _, a := range d.accounts {
		a.peak[1], a.peak[0] = a.peak[0], a.used
		if gone {
			a.peak[1] = a.used
		}
		d.settle(a)
	}
}

// Split deals parts of a total by shares. A share below zero is not stated: those divide evenly what the others
// leave. Rounding leaves units over, never too few.
func Split(total int64, shares []float64) []int64 {
	left, unsaid := 1.0, 0
	for _, s := range shares {
		if s < 0 {
			unsaid++
		} else {
			left -= s
		}
	}
	parts := make([]int64, len(shares))
	for i, s := range shares {
		if s < 0 {
			s = max(0, left) / float64(unsaid)
		}
		parts[i] = int64(s*float64(total) + 1e-6)
	}
	return parts
}

// Crowds reports whether one pool's clients hold more for its guarantee than another's: it makes room before that one.
func Crowds(clients int, guarantee int64, others int, otherGuarantee int64) bool {
	return float64(clients)/float64(max(guarantee, 1)) > float64(others)/float64(max(otherGuarantee, 1))
}

// Pace spaces out what a pool is refused, so that refusing can't use up the core: a connection that was refused has
// its answer at once, and rests before its next message is read.
type Pace struct {
	each int64 // nanoseconds between two
	most int64 // of rest
	next int64
}

// NewPace allows so many a second without a rest, and rests of so many nanoseconds at most.
func NewPace(rate float64, most int64) Pace { return Pace{each: int64(1e9 / max(rate, 1)), most: most} }

// Rest is how long the connection that is refused now rests.
func (p *Pace) Rest(now int64) int64 {
	// Danger: without a bound on what is behind, one burst would keep the connections of the next minutes waiting.
	p.next = min(max(p.next, now)+p.each, now+p.most+p.each)
	return max(0, p.next-now-p.each)
}

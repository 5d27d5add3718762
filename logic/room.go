package logic

import (
	"math"
	"slices"
)

// How much is in hand, and who waits for room.

// admit reports whether there is room for a client's transaction now.
func (b *Balancer) admit(t *Transaction) bool {
	if b.terms.Layer > 0 {
		return true // work is already in it: turned away here, all of that is lost
	}
	if b.each == 0 {
		b.expect()
	}
	room := b.room
	if t.value < t.tariff.Earnings {
		room *= 0.85
	}
	// Danger: with few in hand chance alone fills a fixed bound, while all balancers together have room. So the
	// bound holds for the mean, and the more balancers there are, the more may stand above it for a while.
	crew := float64(len(b.peers) + 1)
	chance := 2 * math.Sqrt(room/crew) * (1 - 1/math.Sqrt(float64(b.terms.Balancers)/crew))
	return b.mean < room && b.counted() < room+chance
}

// expect sets the bound until more is known: some for each upstream and balancer, but no more than customers
// send, each for the time that is usual. Danger: two for each of hundreds are more than a list bears.
func (b *Balancer) expect() {
	n, _ := b.serving()
	held := firstHeld*float64(n) + 2*float64(b.terms.Balancers)
	if b.shares > 0 {
		held = min(held, b.shares)
	}
	b.each = held / float64(max(n, 1))
	b.room = held / float64(b.terms.Balancers)
}

// counted is what is in hand and takes up room, not what hangs; with peers, the mean of theirs and its own.
func (b *Balancer) counted() float64 {
	if len(b.peers) == 0 {
		return float64(b.open - b.stuckAll)
	}
	all := 0.0
	for _, i := range b.own {
		if b.aside[i] == 0 {
			all += b.holds(i)
		}
	}
	return all / float64(len(b.peers)+1)
}

// appraise sets what a transaction may earn, by which the line is ordered.
func (b *Balancer) appraise(t *Transaction) {
	t.value = t.tariff.Earnings
	if t.again {
		t.value /= 10 // much of its contract time is gone already
	}
	if c := t.customer; c != nil {
		rate := c.Rate / float64(b.terms.Balancers)
		// Danger: a part of under one transaction a second, and all that a customer sends is beyond its share.
		c.purse = min(2*rate+chanceCome, c.purse+rate*float64(b.now-c.filled)/float64(s))
		c.filled = b.now
		if c.purse < 1 {
			t.value *= b.terms.BeyondShare
		} else {
			c.purse--
		}
	}
}

// queue lets a transaction wait for room, unless the line is so long that the wait would end in a deferral.
func (b *Balancer) queue(t *Transaction) {
	patience := (t.contract - t.arrived) / 12
	if t.inLine {
		b.schedule(t, t.arrived+patience) // its last byte may have come meanwhile
		if b.now >= t.arrived+patience {
			b.end(t, NoRoom)
		}
		return
	}
	place := len(b.line)
	for place > 0 && b.line[place-1].value < t.value {
		place--
	}
	if float64(place) > b.rate*float64(patience)+1 {
		b.end(t, LineFull)
		return
	}
	t.inLine = true
	b.line = slices.Insert(b.line, place, t)
	b.schedule(t, t.arrived+patience)
}

// serve takes from the line while there is room, what earns most first.
func (b *Balancer) serve() {
	b.line = slices.DeleteFunc(b.line, func(t *Transaction) bool { return t.over })
	n := 0
	for ; n < len(b.line) && b.admit(b.line[n]); n++ {
		b.decide(b.line[n])
	}
	b.line = slices.Delete(b.line, 0, n)
}

// makeRoom bounds what is in hand by what it does to the time that an answer takes. Danger: upstreams that
// hold far more than they can work on turn slower and stay so; the line here costs nothing.
func (b *Balancer) makeRoom(span float64) {
	if b.beats++; b.came+b.asked == 0 { // at first the means are over what there is
		b.beats = 0
		return
	}
	// Danger: where few come in chance looks like a crowd; so the means are over time enough for many.
	seen := max(b.longRate, 1/float64(10*s))
	short := max(1/b.beats, min(1, span/max(float64(s), 20/seen)))
	long := max(1/b.beats, min(1, span/max(float64(5*s), 100/seen)))
	b.rate += short * (b.ends/span - b.rate)
	b.load += short * (b.inHand - b.load)
	b.longRate += long * (b.ends/span - b.longRate)
	b.longLoad += long * (b.inHand - b.longLoad)
	b.longHand += long * (float64(b.open-b.stuckAll) - b.longHand)
	n, strength := b.serving()
	b.strength += long * (strength - b.strength)
	b.asked += long * (b.came/span - b.asked)
	b.ends, b.came = 0, 0
	// Danger: one that is sent several times the mean would fill its part of the list while the rest is idle.
	times := b.asked / max(b.fair, 1e-12)
	wide, several := max(1, math.Round(times)), b.fair > 0 && !b.terms.Peers && b.met < b.terms.Balancers
	if several && b.beats >= 5 && (times > 1.6*b.wide || wide < b.wide/2) {
		b.room, b.wide, b.moved = b.room*wide/b.wide, wide, true
	}
	if b.beats < 10 || b.longRate*float64(s) < 1 {
		return
	}
	// By Little's law, load over rate is the mean share of its contract time that a transaction takes.
	usual := b.longLoad / b.longRate
	if b.base == 0 {
		b.base = ample // a balancer started amid a crowd would take that for usual
	}
	few := 0.8 + 2/min(10, math.Sqrt(b.longRate*span/long)) // danger: the least of few passes for usual
	b.base = min(ample, usual*few, b.base*(1+span/float64(300*s)))
	b.best = max(b.best*(1-span/float64(40*s)), b.longRate/b.strength)
	first := b.each * float64(n) / float64(b.terms.Balancers)
	bear, held, mix, most := crowded, float64(b.open), b.counted()/max(b.inHand, 1e-9), 0.0
	if len(b.peers) > 0 {
		// Danger: one with half a transaction in hand has nobody at most moments, and its least mean is chance.
		b.base, bear, held = ample, crowdedAll, b.counted()
		mix, most = b.longHand/max(b.longLoad, 1e-12), mostHeld*first
	}
	// What sustains the best rate at the least time taken, in transactions as they are mixed.
	full := b.best * strength * b.base * mix // danger: what is left must not be sent what the whole bore
	if b.slowness() > bear*b.base {
		b.room = max(fewHeld*first, 0.8*full, 0.93*min(b.room, held))
	} else if b.counted() > 0.8*b.room {
		b.room = min(b.room+max(1/float64(len(b.peers)+1), 0.06*b.room), max(fewHeld*first, most, 2*full))
	}
}

// slowness is the share of its contract time that a transaction takes now, here and as peers say.
func (b *Balancer) slowness() float64 {
	all, n := b.load/b.rate, 1.0
	for _, peer := range b.peers {
		if b.now < b.saidAt[peer]+heardFor {
			all, n = all+b.saidSlow[peer], n+1
		}
	}
	return all / n
}

// serving counts the upstreams in service, and what they can do now in units of weight.
func (b *Balancer) serving() (n int, strength float64) {
	for i, ready := range b.ready {
		if ready && b.aside[i] == 0 {
			n++
			strength += b.part[i] * b.warmth(i)
		}
	}
	return n, strength
}

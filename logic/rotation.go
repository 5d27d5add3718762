package logic

import (
	"cmp"
	"math"
	"slices"
)

// Which upstream is next: rotation, parts of a long list, cold upstreams.

// next takes the next upstream by smooth weighted round robin, skipping those well above the mean.
func (b *Balancer) next(t *Transaction) int {
	flying, total, few := 0.0, 0.0, math.Inf(1)
	for _, i := range b.own {
		if b.aside[i] == 0 {
			share := b.part[i] * b.likely(i) * b.near(i)
			flying += b.holds(i)
			total += share
			if !t.tried(i) && b.within(t, i) && (b.warmth(i) == 1 || b.fill(i) >= 1) {
				few = min(few, (b.holds(i)+1)/share)
			}
		}
	}
	best, spare, sum, least, most := -1, -1, 0.0, math.Inf(1), math.Inf(-1)
	for _, i := range b.own {
		if b.aside[i] != 0 || t.tried(i) || !b.within(t, i) {
			continue
		}
		// A start anywhere in the round. Danger: with a small part of it all pick the heavy ones first.
		if math.IsNaN(b.turn[i]) {
			b.turn[i] = b.chance() * total
		}
		share := b.part[i] * b.near(i)
		if b.warmth(i) < 1 {
			share *= b.likely(i)
			if b.fill(i) < 1 || len(t.pushes) > 0 {
				continue
			}
		}
		if load := (b.holds(i) + 1) / share; load < least {
			least, spare = load, i
		}
		if len(b.peers) > 0 && b.holds(i)+1 > few*share*(1+aboveLeast) ||
			len(b.peers) == 0 && b.holds(i) > flying*share/total+wellAbove {
			continue
		}
		b.turn[i] += share
		sum += share
		// Danger: where connections soon close, going round all means to pay for a new one with nearly every push.
		credit := b.turn[i]
		if b.w.Kept(i) {
			credit += ahead * total
		}
		if credit > most {
			best, most = i, credit
		}
	}
	if best >= 0 {
		b.turn[best] -= sum
		return best
	}
	if spare >= 0 {
		return spare
	}
	// Another's, or one set aside, is better than none. Danger: all turn to the same; so look from anywhere on.
	from := int(b.chance() * float64(len(b.ready)))
	for k := range b.ready {
		i := (from + k) % len(b.ready)
		if !b.ready[i] || t.tried(i) || !b.within(t, i) || b.warmth(i) < 1 && (b.part[i] == 0 || b.fill(i) < 1) {
			continue
		}
		load := b.holds(i)
		if b.aside[i] != 0 {
			load += 1e6
		}
		if load < least {
			least, spare = load, i
		}
	}
	return spare
}

// divide gives this balancer its part of a long list. Danger: hundreds that go round all of it seldom meet an
// upstream. So they are dealt out to rounds, and those of one share out each zone in an order of their own.
func (b *Balancer) divide() {
	b.moved, b.own = false, b.own[:0]
	zones := map[int]bool{}
	for i, ready := range b.ready {
		if b.part[i] == 0 { // Danger: what fell to another until now would bring a full purse
			b.purse[i], b.filled[i] = b.chance(), b.now
		}
		b.part[i] = 0
		if ready {
			b.own, zones[b.zone[i]] = append(b.own, i), true
		}
	}
	// One balancer of each round meets an upstream. Where crossings are dear those of its zone must be enough.
	n := float64(len(zones))
	least, few := metBy, fewOwn
	if b.terms.Peers {
		least, few = metBySaid, fewSaid
	}
	rounds := max(1, int(float64(least)*n/(1+b.away*(n-1))+0.5)) // with an empty list too
	for len(b.own) > 0 && rounds*len(b.own) < few*b.terms.Balancers && (!b.terms.Peers || rounds < mostSaid) {
		if rounds++; !b.terms.Peers {
			rounds += rounds - 2
		}
	}
	b.met = min(rounds, b.terms.Balancers)
	place := b.terms.Index % b.terms.Balancers // one more than there should be shares another's part
	round, from := place%rounds, float64(place/rounds)
	parts := float64((b.terms.Balancers-1-round)/rounds + 1)
	wide := min(b.wide, parts)
	if b.terms.Peers {
		round = 0
		from, wide, parts = b.gather(place)
	}
	slices.SortStableFunc(b.own, func(i, j int) int {
		return cmp.Or(b.zone[i]-b.zone[j], cmp.Compare(shuffled(b.number[i], round), shuffled(b.number[j], round)))
	})
	for first := 0; first < len(b.own); {
		next, total, at := first, 0.0, 0.0
		for ; next < len(b.own) && b.zone[b.own[next]] == b.zone[b.own[first]]; next++ {
			total += b.weight[b.own[next]]
		}
		for _, i := range b.own[first:next] {
			to := at + b.weight[i]*parts/total
			b.part[i] = max(0, min(to, from+wide)-max(at, from)) * total / parts
			b.part[i] += max(0, min(to, from+wide-parts)-at) * total / parts // round its end
			at = to
		}
		first = next
	}
	b.own = slices.DeleteFunc(b.own, func(i int) bool { return b.part[i] < 1e-6*b.weight[i] })
	slices.Sort(b.own)
	if b.terms.Peers {
		slices.SortFunc(b.own, func(i, j int) int { return cmp.Compare(b.number[i], b.number[j]) })
		b.check = 0
		for place, i := range b.own {
			b.check = (b.check*3 + byte(b.number[i]>>place)) & 7
		}
	}
}

// gather puts balancers in cells that share a part; it tells where that begins, its length and the whole's.
func (b *Balancer) gather(place int) (from, wide, whole float64) {
	n := b.terms.Balancers
	cells := max(1, n/b.met)
	cell := place % cells
	b.peers = b.peers[:0]
	for other := cell; other < n; other += cells {
		if other != place {
			b.peers = append(b.peers, other)
		}
	}
	b.met = len(b.peers) + 1
	return float64(n/cells*cell + min(cell, n%cells)), float64(b.met), float64(n)
}

// shuffled puts numbers in an order that is the same at every balancer and another one for each round.
func shuffled(number uint32, round int) uint64 {
	x := (uint64(number)<<16 | uint64(round)) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}

// near lessens the turns of upstreams in another zone.
func (b *Balancer) near(i int) float64 {
	if b.zone[i] == b.terms.Zone {
		return 1
	}
	return b.away
}

// warmth is the least share of its capacity that an upstream can have by now.
func (b *Balancer) warmth(i int) float64 {
	age := b.now - b.born[i]
	if b.born[i] == 0 || age >= b.terms.WarmUp {
		return 1
	}
	return b.terms.ColdShare + (1-b.terms.ColdShare)*float64(max(age, 0))/float64(b.terms.WarmUp)
}

// likely is the share of its capacity by which a cold upstream gets turns, between the least and all.
func (b *Balancer) likely(i int) float64 { return math.Sqrt(b.warmth(i)) }

// fill pays a cold upstream for what warm ones of its weight settle, cut to its least warmth, times half of
// what makes it fall. Danger: overfed by all it falls for good; paid less, a new list jams its few warm ones.
func (b *Balancer) fill(i int) float64 {
	rate := b.pace * b.part[i] * b.warmth(i) * b.terms.FallMultiple / 2 / b.beside
	if b.pace == 0 {
		rate = min(1, 2/float64(b.met)) / b.beside / float64(b.terms.FallSpan) // no warm one to learn from
	}
	hold := 1 + rate*float64(b.terms.FallSpan)/4
	b.purse[i] = min(hold, b.purse[i]+rate*float64(b.now-b.filled[i]))
	b.filled[i] = b.now
	return b.purse[i]
}

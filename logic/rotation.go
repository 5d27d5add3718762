package logic

import (
	"cmp"
	"math"
	"slices"
)

// Which upstream is next: rotation, parts of a long list, cold upstreams.

// pick takes the next upstream by smooth weighted round robin, skipping those well above the mean.
func (b *Balancer) pick(tx *Transaction) int {
	inFlight, total, leastLoad := 0.0, 0.0, math.Inf(1)
	for _, i := range b.assigned {
		if b.ejectedUntil[i] == 0 {
			share := b.share[i] * b.expectedWarmth(i) * b.zoneFactor(i)
			inFlight += b.totalInFlight(i)
			total += share
			if !tx.tried(i) && b.inDedupScope(tx, i) && (b.warmth(i) == 1 || b.refill(i) >= 1) {
				leastLoad = min(leastLoad, (b.totalInFlight(i)+1)/share)
			}
		}
	}
	chosen, fallback, sum, least, topCredit := -1, -1, 0.0, math.Inf(1), math.Inf(-1)
	for _, i := range b.assigned {
		if b.ejectedUntil[i] != 0 || tx.tried(i) || !b.inDedupScope(tx, i) {
			continue
		}
		// A start anywhere in the round. Danger: with a small part of it all pick the heavy ones first.
		if math.IsNaN(b.credit[i]) {
			b.credit[i] = b.random() * total
		}
		share := b.share[i] * b.zoneFactor(i)
		if b.warmth(i) < 1 {
			share *= b.expectedWarmth(i)
			if b.refill(i) < 1 || len(tx.attempts) > 0 {
				continue
			}
		}
		if load := (b.totalInFlight(i) + 1) / share; load < least {
			least, fallback = load, i
		}
		if len(b.peers) > 0 && b.totalInFlight(i)+1 > leastLoad*share*(1+aboveLeastMargin) ||
			len(b.peers) == 0 && b.totalInFlight(i) > inFlight*share/total+aboveMeanMargin {
			continue
		}
		b.credit[i] += share
		sum += share
		// Danger: where connections soon close, going round all means to pay for a new one with nearly every push.
		credit := b.credit[i]
		if b.writer.HasIdleConn(i) {
			credit += idleConnCredit * total
		}
		if credit > topCredit {
			chosen, topCredit = i, credit
		}
	}
	if chosen >= 0 {
		b.credit[chosen] -= sum
		return chosen
	}
	if fallback >= 0 {
		return fallback
	}
	// Another's, or one set aside, is better than none. Danger: all turn to the same; so look from anywhere on.
	from := int(b.random() * float64(len(b.ready)))
	for k := range b.ready {
		i := (from + k) % len(b.ready)
		if !b.ready[i] || tx.tried(i) || !b.inDedupScope(tx, i) || b.warmth(i) < 1 && (b.share[i] == 0 || b.refill(i) < 1) {
			continue
		}
		load := b.totalInFlight(i)
		if b.ejectedUntil[i] != 0 {
			load += 1e6
		}
		if load < least {
			least, fallback = load, i
		}
	}
	return fallback
}

// assign gives this balancer its part of a long list. Danger: hundreds that go round all of it seldom meet an
// upstream. So they are dealt out to rounds, and those of one share out each zone in an order of their own.
func (b *Balancer) assign() {
	b.listChanged, b.assigned = false, b.assigned[:0]
	zones := map[int]bool{}
	for i, ready := range b.ready {
		if b.share[i] == 0 { // Danger: what fell to another until now would bring a full purse
			b.tokens[i], b.refilledAt[i] = b.random(), b.now
		}
		b.share[i] = 0
		if ready {
			b.assigned, zones[b.zone[i]] = append(b.assigned, i), true
		}
	}
	// One balancer of each round meets an upstream. Where crossings are dear those of its zone must be enough.
	n := float64(len(zones))
	perUpstream, perBalancer := minOverlap, minUpstreams
	if b.config.Peers {
		perUpstream, perBalancer = minOverlapWithPeers, minUpstreamsWithPeers
	}
	groups := max(1, int(float64(perUpstream)*n/(1+b.crossZoneFactor*(n-1))+0.5)) // with an empty list too
	for len(b.assigned) > 0 && groups*len(b.assigned) < perBalancer*b.config.Balancers && (!b.config.Peers || groups < maxOverlapWithPeers) {
		if groups++; !b.config.Peers {
			groups += groups - 2
		}
	}
	b.overlap = min(groups, b.config.Balancers)
	index := b.config.Index % b.config.Balancers // one more than there should be shares another's part
	group, from := index%groups, float64(index/groups)
	members := float64((b.config.Balancers-1-group)/groups + 1)
	width := min(b.shareCount, members)
	if b.config.Peers {
		group = 0
		from, width, members = b.formCell(index)
	}
	slices.SortStableFunc(b.assigned, func(i, j int) int {
		return cmp.Or(b.zone[i]-b.zone[j], cmp.Compare(hashOrder(b.id[i], group), hashOrder(b.id[j], group)))
	})
	for first := 0; first < len(b.assigned); {
		next, total, at := first, 0.0, 0.0
		for ; next < len(b.assigned) && b.zone[b.assigned[next]] == b.zone[b.assigned[first]]; next++ {
			total += b.weight[b.assigned[next]]
		}
		for _, i := range b.assigned[first:next] {
			to := at + b.weight[i]*members/total
			b.share[i] = max(0, min(to, from+width)-max(at, from)) * total / members
			b.share[i] += max(0, min(to, from+width-members)-at) * total / members // round its end
			at = to
		}
		first = next
	}
	b.assigned = slices.DeleteFunc(b.assigned, func(i int) bool { return b.share[i] < 1e-6*b.weight[i] })
	slices.Sort(b.assigned)
	if b.config.Peers {
		slices.SortFunc(b.assigned, func(i, j int) int { return cmp.Compare(b.id[i], b.id[j]) })
		b.assignmentCheck = 0
		for index, i := range b.assigned {
			b.assignmentCheck = (b.assignmentCheck*3 + byte(b.id[i]>>index)) & 7
		}
	}
}

// formCell puts balancers in cells that share a part; it tells where that begins, its length and the whole's.
func (b *Balancer) formCell(index int) (from, width, total float64) {
	n := b.config.Balancers
	cells := max(1, n/b.overlap)
	cell := index % cells
	b.peers = b.peers[:0]
	for other := cell; other < n; other += cells {
		if other != index {
			b.peers = append(b.peers, other)
		}
	}
	b.overlap = len(b.peers) + 1
	return float64(n/cells*cell + min(cell, n%cells)), float64(b.overlap), float64(n)
}

// hashOrder puts numbers in an order that is the same at every balancer and another one for each round.
func hashOrder(id uint32, group int) uint64 {
	x := (uint64(id)<<16 | uint64(group)) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}

// zoneFactor lessens the turns of upstreams in another zone.
func (b *Balancer) zoneFactor(i int) float64 {
	if b.zone[i] == b.config.Zone {
		return 1
	}
	return b.crossZoneFactor
}

// warmth is the least share of its capacity that an upstream can have by now.
func (b *Balancer) warmth(i int) float64 {
	age := b.now - b.startedAt[i]
	if b.startedAt[i] == 0 || age >= b.config.WarmUp {
		return 1
	}
	return b.config.ColdShare + (1-b.config.ColdShare)*float64(max(age, 0))/float64(b.config.WarmUp)
}

// expectedWarmth is the share of its capacity by which a cold upstream gets turns, between the least and all.
func (b *Balancer) expectedWarmth(i int) float64 { return math.Sqrt(b.warmth(i)) }

// refill pays a cold upstream for what warm ones of its weight settle, cut to its least warmth, times half of
// what makes it fall. Danger: overfed by all it falls for good; paid less, a new list jams its few warm ones.
func (b *Balancer) refill(i int) float64 {
	rate := b.warmRate * b.share[i] * b.warmth(i) * b.config.OverloadFactor / 2 / b.processes
	if b.warmRate == 0 {
		rate = min(1, 2/float64(b.overlap)) / b.processes / float64(b.config.OverloadSpan) // no warm one to learn from
	}
	capacity := 1 + rate*float64(b.config.OverloadSpan)/4
	b.tokens[i] = min(capacity, b.tokens[i]+rate*float64(b.now-b.refilledAt[i]))
	b.refilledAt[i] = b.now
	return b.tokens[i]
}

package logic

import (
	"cmp"
	"math"
	"slices"
)

// Selection of upstreams: weighted rotation, assignment of a long list, budget of cold upstreams.

// pick selects an upstream by smooth weighted round robin and skips overloaded ones. It returns -1 for none.
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
	chosen, fallback, sum, fallbackLoad, topCredit := -1, -1, 0.0, math.Inf(1), math.Inf(-1)
	for _, i := range b.assigned {
		if b.ejectedUntil[i] != 0 || tx.tried(i) || !b.inDedupScope(tx, i) {
			continue
		}
		// A random start: with small shares, all balancers would otherwise pick the heaviest upstreams first.
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
		if load := (b.totalInFlight(i) + 1) / share; load < fallbackLoad {
			fallbackLoad, fallback = load, i
		}
		if len(b.peers) > 0 && b.totalInFlight(i)+1 > leastLoad*share*(1+aboveLeastMargin) ||
			len(b.peers) == 0 && b.totalInFlight(i) > inFlight*share/total+aboveMeanMargin {
			continue
		}
		b.credit[i] += share
		sum += share
		// Where idle connections soon close, a strict rotation would open a new one for nearly every attempt.
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
	// An unassigned or ejected upstream is better than none. The random start spreads the balancers.
	from := int(b.random() * float64(len(b.ready)))
	for k := range b.ready {
		i := (from + k) % len(b.ready)
		if !b.ready[i] || tx.tried(i) || !b.inDedupScope(tx, i) ||
			b.warmth(i) < 1 && (b.share[i] == 0 || b.refill(i) < 1) {
			continue
		}
		load := b.totalInFlight(i)
		if b.ejectedUntil[i] != 0 {
			load += 1e6
		}
		if load < fallbackLoad {
			fallbackLoad, fallback = load, i
		}
	}
	return fallback
}

// assign sets this balancer's shares. If hundreds used the whole list, each would have few samples of each.
// So they form partitions, whose members split each zone among them, in an order of each partition's own.
func (b *Balancer) assign() {
	b.listDirty, b.assigned = false, b.assigned[:0]
	zones := map[int]bool{}
	for i, ready := range b.ready {
		if b.share[i] == 0 { // a newly assigned upstream must not start with a full token bucket
			b.tokens[i], b.refilledAt[i] = b.random(), b.now
		}
		b.share[i] = 0
		if ready {
			b.assigned, zones[b.zone[i]] = append(b.assigned, i), true
		}
	}
	// An upstream has one balancer per partition. If crossing zones is costly, those in its zone must suffice.
	n := float64(len(zones))
	perUpstream, perBalancer := minOverlap, minUpstreams
	if b.config.Peers {
		perUpstream, perBalancer = minOverlapWithPeers, minUpstreamsWithPeers
	}
	partitions := max(1, int(float64(perUpstream)*n/(1+b.crossZoneFactor*(n-1))+0.5)) // also for an empty list
	for len(b.assigned) > 0 && partitions*len(b.assigned) < perBalancer*b.config.Balancers &&
		(!b.config.Peers || partitions < maxOverlapWithPeers) {
		if partitions++; !b.config.Peers {
			partitions += partitions - 2
		}
	}
	b.overlap = min(partitions, b.config.Balancers)
	index := b.config.Index % b.config.Balancers // a surplus balancer has the same share as another one
	partition, from := index%partitions, float64(index/partitions)
	members := float64((b.config.Balancers-1-partition)/partitions + 1)
	width := min(b.shareCount, members)
	if b.config.Peers {
		partition = 0
		from, width, members = b.groupPeers(index)
	}
	slices.SortStableFunc(b.assigned, func(i, j int) int {
		return cmp.Or(b.zone[i]-b.zone[j], cmp.Compare(sortKey(b.id[i], partition), sortKey(b.id[j], partition)))
	})
	for first := 0; first < len(b.assigned); {
		next, total, at := first, 0.0, 0.0
		for ; next < len(b.assigned) && b.zone[b.assigned[next]] == b.zone[b.assigned[first]]; next++ {
			total += b.weight[b.assigned[next]]
		}
		for _, i := range b.assigned[first:next] {
			to := at + b.weight[i]*members/total
			b.share[i] = max(0, min(to, from+width)-max(at, from)) * total / members
			b.share[i] += max(0, min(to, from+width-members)-at) * total / members // wraps around the end
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

// groupPeers sets the peers, which have the same assignment. It returns its start and width, and the total.
func (b *Balancer) groupPeers(index int) (from, width, total float64) {
	n := b.config.Balancers
	peerGroups := max(1, n/b.overlap)
	own := index % peerGroups
	b.peers = b.peers[:0]
	for other := own; other < n; other += peerGroups {
		if other != index {
			b.peers = append(b.peers, other)
		}
	}
	b.overlap = len(b.peers) + 1
	return float64(n/peerGroups*own + min(own, n%peerGroups)), float64(b.overlap), float64(n)
}

// sortKey returns a sort key that is the same at every balancer and differs between partitions.
func sortKey(id uint32, partition int) uint64 {
	x := (uint64(id)<<16 | uint64(partition)) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}

// zoneFactor reduces the traffic to upstreams in other zones.
func (b *Balancer) zoneFactor(i int) float64 {
	if b.zone[i] == b.config.Zone {
		return 1
	}
	return b.crossZoneFactor
}

// warmth returns the share of its capacity that an upstream has by now at the least.
func (b *Balancer) warmth(i int) float64 {
	age := b.now - b.startedAt[i]
	if b.startedAt[i] == 0 || age >= b.config.WarmUp {
		return 1
	}
	return b.config.ColdShare + (1-b.config.ColdShare)*float64(max(age, 0))/float64(b.config.WarmUp)
}

// expectedWarmth weights a cold upstream in the rotation: an estimate between its warmth and 1.
func (b *Balancer) expectedWarmth(i int) float64 { return math.Sqrt(b.warmth(i)) }

// refill adds and returns the tokens of a cold upstream: the warm rate times warmth and half the overload
// factor. More from all balancers would overload it for good; less overloads the warm ones of a new list.
func (b *Balancer) refill(i int) float64 {
	rate := b.warmRate * b.share[i] * b.warmth(i) * b.config.OverloadFactor / 2 / b.processes
	if b.warmRate == 0 {
		rate = min(1, 2/float64(b.overlap)) / b.processes / float64(b.config.OverloadSpan) // no warm one
	}
	capacity := 1 + rate*float64(b.config.OverloadSpan)/4
	b.tokens[i] = min(capacity, b.tokens[i]+rate*float64(b.now-b.refilledAt[i]))
	b.refilledAt[i] = b.now
	return b.tokens[i]
}

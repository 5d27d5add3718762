package logic

import (
	"math"
	"slices"
)

// Adaptive concurrency limit, and the queue of transactions that wait for it.

// admit reports whether the concurrency limit allows a transaction now.
func (b *Balancer) admit(tx *Transaction) bool {
	if b.config.Tier > 0 {
		return true // work has been spent on it in the outer tiers, which a refusal would waste
	}
	if b.initialPerUpstream == 0 {
		b.initLimit()
	}
	limit := b.limit
	if tx.value < tx.tariff.Earnings {
		limit *= 0.85
	}
	// With low concurrency, chance alone would fill a fixed limit while all balancers together are below theirs.
	// So the limit applies to the mean, and the more balancers there are, the more one may briefly exceed it.
	sharing := float64(len(b.peers) + 1)
	burst := 2 * math.Sqrt(limit/sharing) * (1 - 1/math.Sqrt(float64(b.config.Balancers)/sharing))
	return b.meanConcurrency < limit && b.concurrency() < limit+burst
}

// initLimit sets the initial limit by the number of upstreams and balancers, but at most to what the customer
// quotas allow, as two transactions for each of hundreds of balancers could overload the upstreams.
func (b *Balancer) initLimit() {
	n, _ := b.inService()
	total := initialConcurrency*float64(n) + 2*float64(b.config.Balancers)
	if b.quotaConcurrency > 0 {
		total = min(total, b.quotaConcurrency)
	}
	b.initialPerUpstream = total / float64(max(n, 1))
	b.limit = total / float64(b.config.Balancers)
}

// concurrency returns the active transactions that are not late; with peers, the mean over all of them.
func (b *Balancer) concurrency() float64 {
	if len(b.peers) == 0 {
		return float64(b.active - b.lateActive)
	}
	all := 0.0
	for _, i := range b.assigned {
		if b.ejectedUntil[i] == 0 {
			all += b.totalInFlight(i)
		}
	}
	return all / float64(len(b.peers)+1)
}

// setValue sets the expected earnings of a transaction, by which the queue is ordered.
func (b *Balancer) setValue(tx *Transaction) {
	tx.value = tx.tariff.Earnings
	if tx.clientRetry {
		tx.value /= 10 // much of its contract time has passed
	}
	if c := tx.customer; c != nil {
		rate := c.Rate / float64(b.config.Balancers)
		// The bucket holds some more, as a rate below one per second would put every transaction over quota.
		c.tokens = min(2*rate+burstTokens, c.tokens+rate*float64(b.now-c.refilledAt)/float64(sec))
		c.refilledAt = b.now
		if c.tokens < 1 {
			tx.value *= b.config.OverQuotaFactor
		} else {
			c.tokens--
		}
	}
}

// enqueue queues a transaction, or defers it if the queue is too long for its maximum wait.
func (b *Balancer) enqueue(tx *Transaction) {
	maxWait := (tx.contractEnd - tx.arrivedAt) / 12
	if tx.queued {
		b.schedule(tx, tx.arrivedAt+maxWait) // its body may have been received since
		if b.now >= tx.arrivedAt+maxWait {
			b.finish(tx, QueueTimeout)
		}
		return
	}
	place := len(b.queue)
	for place > 0 && b.queue[place-1].value < tx.value {
		place--
	}
	if float64(place) > b.shortRate*float64(maxWait)+1 {
		b.finish(tx, QueueFull)
		return
	}
	tx.queued = true
	b.queue = slices.Insert(b.queue, place, tx)
	b.schedule(tx, tx.arrivedAt+maxWait)
}

// dequeue starts queued transactions while the limit allows it, in the order of their value.
func (b *Balancer) dequeue() {
	b.queue = slices.DeleteFunc(b.queue, func(tx *Transaction) bool { return tx.answered })
	n := 0
	for ; n < len(b.queue) && b.admit(b.queue[n]); n++ {
		b.decide(b.queue[n])
	}
	b.queue = slices.Delete(b.queue, 0, n)
}

// adjustLimit adapts the limit to the latency ratio. Upstreams that hold far more than they can work on slow
// down and stay slow, while waiting in the queue here costs nothing.
func (b *Balancer) adjustLimit(span float64) {
	if b.ticks++; b.arrivals+b.arrivalRate == 0 { // until the first arrival there is nothing to average
		b.ticks = 0
		return
	}
	// At low rates noise looks like congestion, so the means span enough time for many transactions.
	rate := max(b.longRate, 1/float64(10*sec))
	shortAlpha := max(1/b.ticks, min(1, span/max(float64(sec), 20/rate)))
	longAlpha := max(1/b.ticks, min(1, span/max(float64(5*sec), 100/rate)))
	b.shortRate += shortAlpha * (b.departures/span - b.shortRate)
	b.shortLoad += shortAlpha * (b.activeLoad - b.shortLoad)
	b.longRate += longAlpha * (b.departures/span - b.longRate)
	b.longLoad += longAlpha * (b.activeLoad - b.longLoad)
	b.longConcurrency += longAlpha * (float64(b.active-b.lateActive) - b.longConcurrency)
	n, capacity := b.inService()
	b.capacity += longAlpha * (capacity - b.capacity)
	b.arrivalRate += longAlpha * (b.arrivals/span - b.arrivalRate)
	b.departures, b.arrivals = 0, 0
	// A balancer with several times the mean arrivals would fill its share while the other upstreams are idle.
	demand := b.arrivalRate / max(b.quotaRate, 1e-12)
	shares, adjustable := max(1, math.Round(demand)),
		b.quotaRate > 0 && !b.config.Peers && b.overlap < b.config.Balancers
	if adjustable && b.ticks >= 5 && (demand > 1.6*b.shareCount || shares < b.shareCount/2) {
		b.limit, b.shareCount, b.listDirty = b.limit*shares/b.shareCount, shares, true
	}
	if b.ticks < 10 || b.longRate*float64(sec) < 1 {
		return
	}
	// By Little's law, load over rate is the mean share of its contract time that a transaction takes.
	ratio := b.longLoad / b.longRate
	if b.baseRatio == 0 {
		b.baseRatio = usualRatio // a start under congestion must not count as usual
	}
	noise := 0.8 + 2/min(10, math.Sqrt(b.longRate*span/longAlpha)) // the minimum of few samples is too low
	b.baseRatio = min(usualRatio, ratio*noise, b.baseRatio*(1+span/float64(300*sec)))
	b.bestRate = max(b.bestRate*(1-span/float64(40*sec)), b.longRate/b.capacity)
	initial := b.initialPerUpstream * float64(n) / float64(b.config.Balancers)
	congested, concurrency, perLoad, ceiling :=
		congestedRatio, float64(b.active), b.concurrency()/max(b.activeLoad, 1e-9), 0.0
	if len(b.peers) > 0 {
		// At a concurrency of a half, a balancer is idle at most moments, and its lowest mean is noise.
		b.baseRatio, congested, concurrency = usualRatio, peerCongestedRatio, b.concurrency()
		perLoad, ceiling = b.longConcurrency/max(b.longLoad, 1e-12), maxLimitFactor*initial
	}
	// The load that sustains the best rate at the best ratio, scaled to the present mix and remaining capacity.
	full := b.bestRate * capacity * b.baseRatio * perLoad
	if b.latencyRatio() > congested*b.baseRatio {
		b.limit = max(minLimitFactor*initial, 0.8*full, 0.93*min(b.limit, concurrency))
	} else if b.concurrency() > 0.8*b.limit {
		b.limit = min(b.limit+max(1/float64(len(b.peers)+1), 0.06*b.limit),
			max(minLimitFactor*initial, ceiling, 2*full))
	}
}

// latencyRatio is the recent mean share of its contract time that a transaction takes, over all peers.
func (b *Balancer) latencyRatio() float64 {
	total, n := b.shortLoad/b.shortRate, 1.0
	for _, peer := range b.peers {
		if b.now < b.peerReportAt[peer]+reportTTL {
			total, n = total+b.peerLatencyRatio[peer], n+1
		}
	}
	return total / n
}

// inService returns the number of upstreams in service and their present capacity in units of weight.
func (b *Balancer) inService() (n int, capacity float64) {
	for i, ready := range b.ready {
		if ready && b.ejectedUntil[i] == 0 {
			n++
			capacity += b.share[i] * b.warmth(i)
		}
	}
	return n, capacity
}

package logic

import (
	"math"
	"slices"
)

// How much is in hand, and who waits for room.

// admit reports whether there is room for a client's transaction now.
func (b *Balancer) admit(tx *Transaction) bool {
	if b.config.Tier > 0 {
		return true // work is already in it: turned away here, all of that is lost
	}
	if b.initialPerUpstream == 0 {
		b.initLimit()
	}
	limit := b.limit
	if tx.value < tx.tariff.Earnings {
		limit *= 0.85
	}
	// Danger: with few in hand chance alone fills a fixed bound, while all balancers together have room. So the
	// bound holds for the mean, and the more balancers there are, the more may stand above it for a while.
	sharing := float64(len(b.peers) + 1)
	burst := 2 * math.Sqrt(limit/sharing) * (1 - 1/math.Sqrt(float64(b.config.Balancers)/sharing))
	return b.meanConcurrency < limit && b.concurrency() < limit+burst
}

// initLimit sets the bound until more is known: some for each upstream and balancer, but no more than customers
// send, each for the time that is usual. Danger: two for each of hundreds are more than a list bears.
func (b *Balancer) initLimit() {
	n, _ := b.inService()
	total := initialConcurrency*float64(n) + 2*float64(b.config.Balancers)
	if b.quotaConcurrency > 0 {
		total = min(total, b.quotaConcurrency)
	}
	b.initialPerUpstream = total / float64(max(n, 1))
	b.limit = total / float64(b.config.Balancers)
}

// concurrency is what is in hand and takes up room, not what hangs; with peers, the mean of theirs and its own.
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

// setValue sets what a transaction may earn, by which the line is ordered.
func (b *Balancer) setValue(tx *Transaction) {
	tx.value = tx.tariff.Earnings
	if tx.clientRetry {
		tx.value /= 10 // much of its contract time is gone already
	}
	if c := tx.customer; c != nil {
		rate := c.Rate / float64(b.config.Balancers)
		// Danger: a part of under one transaction a second, and all that a customer sends is beyond its share.
		c.tokens = min(2*rate+burstTokens, c.tokens+rate*float64(b.now-c.refilledAt)/float64(sec))
		c.refilledAt = b.now
		if c.tokens < 1 {
			tx.value *= b.config.OverQuotaFactor
		} else {
			c.tokens--
		}
	}
}

// enqueue lets a transaction wait for room, unless the line is so long that the wait would end in a deferral.
func (b *Balancer) enqueue(tx *Transaction) {
	maxWait := (tx.contractEnd - tx.arrivedAt) / 12
	if tx.queued {
		b.schedule(tx, tx.arrivedAt+maxWait) // its last byte may have come meanwhile
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

// dequeue takes from the line while there is room, what earns most first.
func (b *Balancer) dequeue() {
	b.queue = slices.DeleteFunc(b.queue, func(tx *Transaction) bool { return tx.answered })
	n := 0
	for ; n < len(b.queue) && b.admit(b.queue[n]); n++ {
		b.decide(b.queue[n])
	}
	b.queue = slices.Delete(b.queue, 0, n)
}

// adjustLimit bounds what is in hand by what it does to the time that an answer takes. Danger: upstreams that
// hold far more than they can work on turn slower and stay so; the line here costs nothing.
func (b *Balancer) adjustLimit(span float64) {
	if b.ticks++; b.arrivals+b.arrivalRate == 0 { // at first the means are over what there is
		b.ticks = 0
		return
	}
	// Danger: where few come in chance looks like a crowd; so the means are over time enough for many.
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
	// Danger: one that is sent several times the mean would fill its part of the list while the rest is idle.
	demand := b.arrivalRate / max(b.quotaRate, 1e-12)
	shares, adjustable := max(1, math.Round(demand)), b.quotaRate > 0 && !b.config.Peers && b.overlap < b.config.Balancers
	if adjustable && b.ticks >= 5 && (demand > 1.6*b.shareCount || shares < b.shareCount/2) {
		b.limit, b.shareCount, b.listChanged = b.limit*shares/b.shareCount, shares, true
	}
	if b.ticks < 10 || b.longRate*float64(sec) < 1 {
		return
	}
	// By Little's law, load over rate is the mean share of its contract time that a transaction takes.
	usual := b.longLoad / b.longRate
	if b.baseRatio == 0 {
		b.baseRatio = usualRatio // a balancer started amid a crowd would take that for usual
	}
	noise := 0.8 + 2/min(10, math.Sqrt(b.longRate*span/longAlpha)) // danger: the least of few passes for usual
	b.baseRatio = min(usualRatio, usual*noise, b.baseRatio*(1+span/float64(300*sec)))
	b.bestRate = max(b.bestRate*(1-span/float64(40*sec)), b.longRate/b.capacity)
	initial := b.initialPerUpstream * float64(n) / float64(b.config.Balancers)
	congested, concurrency, perLoad, ceiling := congestedRatio, float64(b.active), b.concurrency()/max(b.activeLoad, 1e-9), 0.0
	if len(b.peers) > 0 {
		// Danger: one with half a transaction in hand has nobody at most moments, and its least mean is chance.
		b.baseRatio, congested, concurrency = usualRatio, peerCongestedRatio, b.concurrency()
		perLoad, ceiling = b.longConcurrency/max(b.longLoad, 1e-12), maxLimitFactor*initial
	}
	// What sustains the best rate at the least time taken, in transactions as they are mixed.
	full := b.bestRate * capacity * b.baseRatio * perLoad // danger: what is left must not be sent what the whole bore
	if b.latencyRatio() > congested*b.baseRatio {
		b.limit = max(minLimitFactor*initial, 0.8*full, 0.93*min(b.limit, concurrency))
	} else if b.concurrency() > 0.8*b.limit {
		b.limit = min(b.limit+max(1/float64(len(b.peers)+1), 0.06*b.limit), max(minLimitFactor*initial, ceiling, 2*full))
	}
}

// latencyRatio is the share of its contract time that a transaction takes now, here and as peers say.
func (b *Balancer) latencyRatio() float64 {
	total, n := b.shortLoad/b.shortRate, 1.0
	for _, peer := range b.peers {
		if b.now < b.peerReportAt[peer]+reportTTL {
			total, n = total+b.peerLatencyRatio[peer], n+1
		}
	}
	return total / n
}

// inService counts the upstreams in service, and what they can do now in units of weight.
func (b *Balancer) inService() (n int, capacity float64) {
	for i, ready := range b.ready {
		if ready && b.ejectedUntil[i] == 0 {
			n++
			capacity += b.share[i] * b.warmth(i)
		}
	}
	return n, capacity
}

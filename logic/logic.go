// Package logic decides, for one balancer, which upstream serves each transaction and how it ends.
//
// The caller reports the events of a round in their order (Join, List, Drain, Leave, Listed; Arrive, Sent,
// BodyReceived, Outcome, StreamStarted, ClientGone; ProbeResult; PeerReport; Reconfigure, SetProcesses), then
// calls Round once, which writes all decisions to a Writer. docs/design.md gives the reasons for the design.
package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	hedgeFraction    = 0.05 // share of the attempts that outlast the hedge delay, for a single balancer
	minHedgeFraction = 0.01 // the same for many balancers, at the least
	manyBalancers    = 8    // so many other balancers halve hedgeFraction

	statsWindow, minHedgeDelay, minSamples = 30 * sec, 10 * ms, 20

	budgetRatio   = 0.1 // hedges and retries per recent first attempt
	maxFaultRatio = 0.2 // hedging pauses above this share of upstream faults

	winWindow, minWinRate, minWinSamples, minHedgeChance = 20 * sec, 0.2, 10, 0.05

	statsSlots, latencyBuckets, winSlots = 6, 128, 4 // the two windows move in steps of a sixth and a quarter

	idleConnCredit     = 4.0    // rotations by which an idle connection lets an upstream run ahead
	aboveMeanMargin    = 0.25   // skips an upstream with this many attempts more than its share of the mean
	aboveLeastMargin   = 0.1    // with peers: skips an upstream with this much more load than the least loaded
	usualRatio         = 0.35   // share of its contract time that a transaction takes at most without congestion
	initialConcurrency = 6.0    // transactions for each upstream at first, unless customer quotas give less
	minLimitFactor     = 2. / 3 // lower bound of the limit, as a multiple of the initial limit
	peerCongestedRatio = 2.0    // with peers: congestion begins at this multiple of usualRatio
	maxLimitFactor     = 1.6    // with peers: the limit may always grow to this multiple of the initial limit
	crossZonePenalty   = 10.0   // a cross-zone price of a tenth of the earnings halves that traffic
	burstTokens        = 4      // transactions of a customer that may arrive at once by chance
	tickInterval       = 200 * ms
	congestedRatio     = 1.4 // the limit shrinks while responses take this many times the best time

	reportsPerSend = 28       // load reports that each first attempt allows
	minReportGap   = 10 * ms  // between load reports
	reportRefresh  = 500 * ms // reports are repeated this often while attempts are pending
	reportTTL      = 3 * reportRefresh

	minOverlap                                 = 6    // balancers that use an upstream, at the least
	minUpstreams                               = 4    // upstreams of one balancer, at the least
	minOverlapWithPeers, minUpstreamsWithPeers = 4, 2 // fewer with peers, as each balancer more gets all reports
	maxOverlapWithPeers                        = 12   // with more, reading reports would take most of the time
	meanWindow                                 = 500 * ms

	ejectLogOdds                = 4.5 // log odds at which an upstream is ejected
	maxEjected                  = 0.4 // share of the assigned weight that may be ejected
	ejectionTime, probeInterval = 4 * sec, 300 * ms
	probesToReinstate           = 2 // consecutive answered probes
)

// New returns a balancer with the given configuration, or an error if that is invalid.
func New(config *Config, now int64) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{now: now, roundAt: now, randState: config.Seed<<1 | 1, hedgeChance: 1, budget: 1,
		reportBudget: 4 * reportsPerSend}
	b.nextSlotAt, b.nextWinSlotAt, b.nextTickAt, b.processes, b.shareCount =
		now+statsWindow/statsSlots, now+winWindow/winSlots, now+tickInterval, 1, 1
	b.applyConfig(config)
	return b, nil
}

// applyConfig sets the configuration, with the expected load and the token buckets of its customers.
func (b *Balancer) applyConfig(config *Config) {
	b.config, b.quotaConcurrency, b.quotaRate = config, 0, 0
	b.crossZoneFactor = 1 / (1 + crossZonePenalty*config.CrossZonePrice)
	b.resetPeers()
	usualTime := 0.0
	for _, tariff := range config.Tariffs {
		usualTime += usualRatio * float64(tariff.ContractTime) / float64(len(config.Tariffs))
	}
	for _, customer := range config.Customers {
		b.quotaRate += customer.Rate / float64(sec) / float64(config.Balancers)
		if b.quotaConcurrency += customer.Rate / float64(sec) * usualTime; customer.refilledAt == 0 {
			customer.tokens, customer.refilledAt = customer.Rate/float64(config.Balancers)+burstTokens, b.now
		}
	}
}

// Join adds an upstream and returns its index.
func (b *Balancer) Join() int {
	for i, used := range b.inUse {
		if !used && b.inFlight[i] == 0 && !b.probing[i] {
			b.inUse[i], b.startedAt[i] = true, 0
			b.reset(i)
			return i
		}
	}
	b.reset(b.addUpstream())
	return len(b.inUse) - 1
}

// reset drops what was learned about an upstream.
func (b *Balancer) reset(i int) {
	b.ejectedUntil[i], b.probesAnswered[i], b.unreachable[i] = 0, 0, false
	b.logOdds[i], b.weight[i], b.successes[i], b.failures[i], b.kind[i], b.peerInFlight[i] = 0, 0, 0, 0, 0, 0
	for peer, upstreams := range b.peerAttempts {
		b.peerAttempts[peer] = slices.DeleteFunc(upstreams, func(j int) bool { return j == i })
	}
	b.credit[i], b.tokens[i], b.refilledAt[i] = math.NaN(), b.random(), b.now
}

// List reports that an upstream accepts work, with its entry in the list.
func (b *Balancer) List(i int, u Upstream, now int64) {
	b.now = now
	if u.StartedAt > b.startedAt[i] && b.ready[i] {
		b.reset(i) // restarted: it is cold, and what was learned about it no longer holds
	}
	u.Weight = math.Max(u.Weight, 1e-6)
	if b.config.LiveWeights {
		u.Weight = b.nominalWeight(i, u)
	}
	b.listDirty = b.listDirty || !b.ready[i] || u.Weight != b.weight[i] || u.Zone != b.zone[i] || u.ID != b.id[i]
	// A start later than the listed one was inferred when the upstream came back after refused connections.
	b.ready[i], b.weight[i], b.zone[i], b.cell[i], b.id[i] = true, u.Weight, u.Zone, u.Cell, u.ID
	b.startedAt[i] = max(b.startedAt[i], u.StartedAt)
}

// nominalWeight returns the size behind a live weight: the largest listed for its kind of machine, or for it
// alone. Live weights taken as sizes would move all shares, and renew all connections, with every list.
func (b *Balancer) nominalWeight(i int, u Upstream) float64 {
	weight := max(u.Weight, b.weight[i])
	b.kind[i] = u.Kind
	sameKind := func(j int) bool { return b.ready[j] && u.Kind > 0 && b.kind[j] == u.Kind }
	for j := range b.kind {
		if sameKind(j) {
			weight = max(weight, b.weight[j])
		}
	}
	for j := range b.kind {
		if sameKind(j) && b.weight[j] < weight {
			b.weight[j], b.listDirty = weight, true
		}
	}
	return weight
}

// Drain reports that an upstream drains. It gets nothing new from this round on, within any grace period.
func (b *Balancer) Drain(i int) { b.ready[i], b.listDirty = false, true }

// Leave reports that an upstream was removed. Its index may be reused once no attempt or probe is pending.
func (b *Balancer) Leave(i int) {
	b.ready[i], b.inUse[i], b.ejectedUntil[i], b.listDirty = false, false, 0, true
}

// Listed reports whether reading the list succeeded. Each update of the list counts as a success.
func (b *Balancer) Listed(ok bool, now int64) {
	if ok {
		b.listFailures = 0
		return
	}
	// All balancers share one small list service: back off exponentially, with jitter.
	b.listFailures++
	b.following = false
	b.followAt = now + int64(float64(250*ms<<min(b.listFailures, 4))*(0.5+b.random()))
}

// Arrive takes a new transaction, which gets exactly one final answer. left is its client's remaining wait.
func (b *Balancer) Arrive(tx *Transaction, tariffIndex, customerIndex int, work, left int64,
	clientRetry bool, now int64) {
	tx.Config = cmp.Or(tx.Config, b.config)
	tariff := tx.Config.Tariffs[tariffIndex]
	b.arrivals++
	tx.tariff, tx.arrivedAt, tx.hardStop, tx.timerIndex, tx.firstEffect, tx.clientRetry =
		tariff, now, now+left, -1, -1, clientRetry
	tx.contractEnd = min(now+tariff.ContractTime+int64(tariff.WorkFactor*float64(work)), tx.hardStop)
	tx.load = 1 / float64(max(tx.contractEnd-now, 1))
	if !clientRetry {
		tariff.longestWait = max(tariff.longestWait, left)
	} else if left < tariff.longestWait {
		tx.contractEnd = min(tx.contractEnd, tx.hardStop-tariff.HardStop+tariff.ContractTime) // since the first try
	}
	if customerIndex >= 0 {
		tx.customer = tx.Config.Customers[customerIndex]
	}
	b.mark(tx)
}

// BodyReceived reports that the last byte of a transaction has arrived. Its times count from here: the time
// that a slow client takes to send must not count against the upstream.
func (b *Balancer) BodyReceived(tx *Transaction, left, now int64) {
	tx.BodyPending, tx.contractEnd = false, now+min(left, tx.contractEnd-tx.arrivedAt)
	tx.arrivedAt, tx.hardStop = now, now+left
	if tx.pending > 0 {
		tx.attempts[0].sentAt = max(now, tx.attempts[0].sentAt)
		b.activate(tx)
	}
	b.mark(tx)
}

// Outcome reports the result of attempt n. final means that the transaction ended with it or before.
func (b *Balancer) Outcome(tx *Transaction, n int, r Result, took int64, final bool, now int64) {
	p := &tx.attempts[n]
	if !p.pending {
		return
	}
	b.now = now
	p.pending, p.result = false, r
	tx.pending--
	if r == Refused {
		tx.refused++
	}
	b.inFlight[p.upstream]--
	b.scheduleReport()
	if p.cancelled {
		p.cancelled = false
		b.cancelledPending--
	}
	b.recordOutcome(p, r, took)
	if final && !tx.answered {
		tx.streaming = nil
		b.deactivate(tx)
		if p.hedge && r == Settled {
			b.hedgeWins[0]++
		}
	}
	b.mark(tx)
}

// StreamStarted reports that attempt n began to stream its response to the client. Time-outs no longer apply.
func (b *Balancer) StreamStarted(tx *Transaction, n int) {
	tx.streaming = &tx.attempts[n]
	b.mark(tx)
}

// ClientGone reports that the client has disconnected. The transaction needs no answer any more.
func (b *Balancer) ClientGone(tx *Transaction) {
	if !tx.answered {
		b.deactivate(tx)
		b.mark(tx)
	}
}

// ProbeResult reports whether an upstream answered its probe.
func (b *Balancer) ProbeResult(i int, ok bool) {
	b.probing[i] = false
	if !ok {
		b.probesAnswered[i] = 0
	} else if b.probesAnswered[i]++; b.ejectedUntil[i] != 0 && b.probesAnswered[i] >= probesToReinstate {
		b.reinstate(i)
	}
}

// Round decides on all events since the last round: it starts and cancels attempts and gives final answers.
func (b *Balancer) Round(now int64, w Writer) {
	window := max(float64(meanWindow), min(10/b.longRate, b.ticks*float64(tickInterval)))
	b.meanConcurrency += (1 - math.Exp(-float64(now-b.roundAt)/window)) * (b.lastConcurrency - b.meanConcurrency)
	b.now, b.writer, b.roundAt = now, w, now
	if b.listDirty {
		b.assign()
	}
	if b.config.FollowList && !b.following && now >= b.followAt {
		b.following = true
		w.Follow()
	}
	if now >= b.nextTickAt {
		b.tick()
	}
	for len(b.timers) > 0 && b.timers[0].dueAt <= now {
		tx := b.timers[0]
		b.unschedule(tx)
		b.mark(tx)
	}
	for k := 0; k < len(b.marked); k++ {
		tx := b.marked[k]
		tx.marked = false
		b.decide(tx)
	}
	b.marked = b.marked[:0]
	b.dequeue()
	next := b.nextTickAt
	if b.active == 0 && !slices.ContainsFunc(b.ejectedUntil, func(at int64) bool { return at != 0 }) {
		next = math.MaxInt64 // idle: sleep until the next event
	}
	if len(b.timers) > 0 {
		next = min(next, b.timers[0].dueAt)
	}
	if len(b.peers) > 0 {
		if now >= b.nextReport {
			b.sendReports()
		}
		next = min(next, b.nextReport)
	}
	if b.config.FollowList && !b.following {
		next = min(next, b.followAt)
	}
	if next != math.MaxInt64 && (b.wakeAt <= now || next < b.wakeAt) {
		b.wakeAt = max(next, now+1)
		w.Wake(b.wakeAt)
	}
	b.writer, b.lastConcurrency = nil, b.concurrency()
}

// decide moves one transaction on, from its arrival to its final answer.
func (b *Balancer) decide(tx *Transaction) {
	if tx.answered || tx.streaming != nil {
		b.cancelPending(tx)
		b.unschedule(tx)
		return
	}
	if b.now >= b.giveUpAt(tx) {
		// With few samples, or a hedge delay beyond the contract time, only this detects a silent upstream.
		for n := range tx.attempts {
			if p := &tx.attempts[n]; b.now-p.sentAt > (b.now-tx.arrivedAt)/2 {
				b.countSilence(p)
			}
		}
		b.finish(tx, DeadlineExceeded)
		return
	}

	// The first attempt.
	if len(tx.attempts) == 0 {
		if !tx.queued {
			b.setValue(tx)
		}
		if !b.admit(tx) {
			b.enqueue(tx)
			return
		}
		i := b.pick(tx)
		if i < 0 {
			b.finish(tx, NoUpstream) // no upstream will become available soon: answer at once
			return
		}
		b.firstSends[b.slot]++
		b.reportBudget = min(b.reportBudget+reportsPerSend, 4*reportsPerSend)
		b.budget = min(b.budget+budgetRatio, max(1, budgetRatio*float64(sum(b.firstSends[:]))))
		b.send(tx, i, false)
	}

	// A retry after a failure, if the tariff and the budget allow it.
	if tx.pending == 0 {
		i := -1
		if b.retryAllowed(tx) && b.allow(RetryOverBudget, b.withinBudget()) {
			i = b.pick(tx)
		}
		if i < 0 {
			b.finish(tx, AttemptsFailed)
			return
		}
		b.budget--
		b.send(tx, i, false)
	}

	// A hedge, once the last attempt has taken longer than the hedge delay.
	latest := &tx.attempts[len(tx.attempts)-1]
	hedgeAt := int64(math.MaxInt64)
	if b.hedgeDelay > 0 && !tx.BodyPending {
		if hedgeAt = latest.sentAt + b.hedgeDelay; b.now >= hedgeAt {
			hedgeAt = math.MaxInt64
			b.markLate(tx, latest)
			if tx.pending == 1 && b.config.Hedging && b.retryAllowed(tx) && b.allow(HedgePaused, !b.hedgePaused()) &&
				b.allow(HedgeOverBudget, b.withinBudget()) && b.allow(HedgeWinRateLow, b.random() < b.hedgeChance) {
				if i := b.pick(tx); i >= 0 {
					b.budget--
					b.hedges[0]++
					b.send(tx, i, true)
				}
			}
		}
	}

	b.schedule(tx, min(b.giveUpAt(tx), hedgeAt))
}

// giveUpAt returns when a transaction is given up: at the end of the contract time if a client's late answer
// earns nothing, else at the hard stop. In inner tiers the caller decides whether a late answer is of use.
func (b *Balancer) giveUpAt(tx *Transaction) int64 {
	if tx.BodyPending {
		return math.MaxInt64
	}
	if b.config.Tier == 0 && tx.tariff.LateEarnings == 0 {
		return tx.contractEnd
	}
	return tx.hardStop
}

// finish gives the final answer: deferred if the client can safely retry, else forfeited.
func (b *Balancer) finish(tx *Transaction, reason Reason) {
	b.unschedule(tx)
	tx.findFirstEffect()
	b.deactivate(tx)
	if tariff := tx.tariff; tx.firstEffect < 0 || tariff.Idempotency == Idempotent ||
		tariff.Idempotency == Keyed && tariff.DedupScope == Everywhere {
		b.writer.Defer(tx, reason, b.config.Backoff(tx.tariff))
	} else {
		b.writer.Forfeit(tx, reason)
	}
	b.cancelPending(tx)
}

// cancelPending cancels pending attempts of an answered transaction, but not one that streams its response.
func (b *Balancer) cancelPending(tx *Transaction) {
	for n := range tx.attempts {
		if p := &tx.attempts[n]; p.pending && !p.cancelled && p != tx.streaming && b.config.Cancelling {
			p.cancelled = true
			b.cancelledPending++
			b.writer.Cancel(tx, n)
		}
	}
}

func (b *Balancer) send(tx *Transaction, i int, hedge bool) {
	b.activate(tx)
	p := Attempt{upstream: i, location: Location{b.zone[i], b.cell[i]}, sentAt: max(b.now, tx.EarliestSend),
		pending: true, hedge: hedge}
	tx.attempts = append(tx.attempts, p)
	tx.pending++
	b.inFlight[i]++
	b.scheduleReport()
	if b.warmth(i) < 1 {
		b.tokens[i]--
	}
	b.writer.Send(tx, i, tx.hardStop)
}

// retryAllowed reports whether another attempt is allowed now. It keeps effects from happening twice.
func (b *Balancer) retryAllowed(tx *Transaction) bool {
	if tx.SendOnce || len(tx.attempts)-min(tx.refused, tx.Config.FreeRefusals) >= tx.Config.MaxAttempts {
		return false
	}
	tx.findFirstEffect()
	if tx.firstEffect < 0 || tx.tariff.Idempotency == Idempotent {
		return true
	}
	return tx.tariff.Idempotency == Keyed && b.now < tx.attempts[tx.firstEffect].sentAt+tx.tariff.DedupWindow
}

// inDedupScope reports whether an upstream would drop a repeat of the attempts sent so far.
func (b *Balancer) inDedupScope(tx *Transaction, i int) bool {
	location := tx.PriorAttempt
	if tx.firstEffect >= 0 {
		location = &tx.attempts[tx.firstEffect].location
	}
	if location == nil || tx.tariff.Idempotency != Keyed || tx.tariff.DedupScope == Everywhere {
		return true
	}
	return b.zone[i] == location.Zone && (tx.tariff.DedupScope == SameZone || b.cell[i] == location.Cell)
}

// tick does the periodic work: statistics windows, hedge delay and chance, probes, concurrency limit.
func (b *Balancer) tick() {
	for b.now >= b.nextSlotAt {
		b.nextSlotAt += statsWindow / statsSlots
		b.slot = (b.slot + 1) % statsSlots
		b.latency[b.slot], b.samples[b.slot] = [latencyBuckets]int32{}, 0
		b.firstSends[b.slot], b.outcomes[b.slot], b.faults[b.slot] = 0, 0, 0
		for i := range b.successes {
			b.successes[i], b.failures[i] = b.successes[i]*3/4, b.failures[i]*3/4
		}
	}
	for b.now >= b.nextWinSlotAt {
		b.nextWinSlotAt += winWindow / winSlots
		hedges, wins := sum(b.hedges[:]), sum(b.hedgeWins[:])
		if hedges >= minWinSamples && float64(wins) < minWinRate*float64(hedges) {
			b.hedgeChance = max(minHedgeChance, b.hedgeChance/2)
		} else {
			b.hedgeChance = min(1, b.hedgeChance+0.25)
		}
		copy(b.hedges[1:], b.hedges[:winSlots-1])
		copy(b.hedgeWins[1:], b.hedgeWins[:winSlots-1])
		b.hedges[0], b.hedgeWins[0] = 0, 0
	}
	b.updateHedgeDelay()
	for peer, at := range b.peerReportAt {
		if b.now > at+reportTTL {
			b.forgetPeer(peer)
		}
	}
	total := 0.0
	for i, ready := range b.ready {
		if ready && b.ejectedUntil[i] == 0 && b.warmth(i) == 1 {
			total += b.share[i]
		}
		if ready && b.ejectedUntil[i] != 0 && b.now >= b.ejectedUntil[i] {
			if !b.config.Probing {
				b.reinstate(i)
			} else if !b.probing[i] {
				b.probing[i] = true
				b.ejectedUntil[i] = b.now + probeInterval
				b.writer.Probe(i)
			}
		}
	}
	span := float64(b.now - b.nextTickAt + tickInterval)
	if total > 0 {
		b.warmRate += min(1, span/float64(4*sec)) * (float64(b.warmSettled)/span/total - b.warmRate)
	}
	b.warmSettled = 0
	if b.config.Tier == 0 {
		b.adjustLimit(span)
	}
	b.nextTickAt = b.now + tickInterval
}

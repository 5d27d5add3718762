// Package logic decides, for one balancer, where each transaction goes and how it ends.
//
// How it is called: New once with the Terms. Then, for each round, the calls that tell what came in, in order
// (Join, List, Drain, Leave, Listed; Arrive, Whole, Outcome, Began, Vanish; Probed; Told; Retune, Beside),
// and one Round(now, w), which writes all decisions into w. The interface, Writer, and all types and state
// are in types.go; why it decides so is in docs/design.md.
package logic

import (
	"cmp"
	"math"
	"slices"
)

const (
	ms, sec = int64(1e6), int64(1e9)

	// The mechanism, as the design page gives it.
	hedgeFraction                                        = 0.05 // of the pushes outrun the quantile of a balancer alone
	minHedgeFraction                                     = 0.01 // and of one among many
	manyBalancers                                        = 8    // so many beside it, and what each sends twice has to halve
	statsWindow, minHedgeDelay, minSamples               = 30 * sec, 10 * ms, 20
	budgetRatio                                          = 0.1 // copies and retries per recent first send
	maxFaultRatio                                        = 0.2 // copying pauses above this share of bad outcomes
	winWindow, minWinRate, minWinSamples, minHedgeChance = 20 * sec, 0.2, 10, 0.05

	statsSlots, latencyBuckets, winSlots = 6, 128, 4 // the windows move in steps of a sixth and a quarter

	idleConnCredit     = 4.0    // turns that an upstream may be ahead of its due while a connection to it is kept
	aboveMeanMargin    = 0.25   // skip an upstream with this many pushes more in flight than its part of the mean
	aboveLeastMargin   = 0.1    // and where peers tell, what would hold this much more than the one with the least
	usualRatio         = 0.35   // at most this share of its contract time is usual for an uncrowded transaction
	initialConcurrency = 6.0    // transactions in hand for each upstream at first, where no customer's share tells more
	minLimitFactor     = 2. / 3 // of these crowd nobody
	peerCongestedRatio = 2.0    // and where peers tell, as many times what is ample
	maxLimitFactor     = 1.6    // there room may grow to this multiple of the first
	crossZonePenalty   = 10.0   // a crossing priced at a tenth of the earnings halves the turns
	burstTokens        = 4      // transactions of a customer that may come at once by chance
	tickInterval       = 200 * ms
	congestedRatio     = 1.4 // room shrinks while answers take this many times longer than at best

	reportsPerSend    = 28       // messages that a first push pays for
	minReportInterval = 10 * ms  // peers are told no more often
	reportRefresh     = 500 * ms // and no less while something is in flight
	reportTTL         = 3 * reportRefresh

	minOverlap                                 = 6    // balancers, at the least, that meet an upstream
	minUpstreams                               = 4    // upstreams, at the least, for one balancer
	minOverlapWithPeers, minUpstreamsWithPeers = 4, 2 // the same two where peers tell: each more of them is told all
	maxOverlapWithPeers                        = 12   // danger: told by many more, each would do little but listen
	meanWindow                                 = 500 * ms

	ejectLogOdds                = 4.5 // log odds at which an upstream is set aside
	maxEjected                  = 0.4 // of the list's weight may be set aside
	ejectionTime, probeInterval = 4 * sec, 300 * ms
	probesToReinstate           = 2 // answered probes before a return
)

// New starts a balancer; it refuses terms that it cannot work with.
func New(config *Config, now int64) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{now: now, lastRoundAt: now, randState: config.Seed<<1 | 1, hedgeChance: 1, budget: 1, reportBudget: 4 * reportsPerSend}
	b.nextSlotAt, b.nextWinSlotAt, b.nextTickAt, b.processes, b.shareCount = now+statsWindow/statsSlots, now+winWindow/winSlots, now+tickInterval, 1, 1
	b.applyConfig(config)
	return b, nil
}

// applyConfig takes what terms say beforehand of room and purses.
func (b *Balancer) applyConfig(config *Config) {
	b.config, b.quotaConcurrency, b.quotaRate = config, 0, 0
	b.crossZoneFactor = 1 / (1 + crossZonePenalty*config.CrossZonePrice) // the dearer crossings are, the fewer turns go there
	b.resetPeers()
	time := 0.0
	for _, f := range config.Tariffs {
		time += usualRatio * float64(f.ContractTime) / float64(len(config.Tariffs))
	}
	for _, c := range config.Customers {
		b.quotaRate += c.Rate / float64(sec) / float64(config.Balancers)
		if b.quotaConcurrency += c.Rate / float64(sec) * time; c.refilledAt == 0 {
			c.tokens, c.refilledAt = c.Rate/float64(config.Balancers)+burstTokens, b.now
		}
	}
}

// Join takes a new upstream and returns its index.
func (b *Balancer) Join() int {
	for i, known := range b.inUse {
		if !known && b.inFlight[i] == 0 && !b.probing[i] {
			b.inUse[i], b.startedAt[i] = true, 0
			b.reset(i)
			return i
		}
	}
	b.reset(b.addUpstream())
	return len(b.inUse) - 1
}

// reset forgets what was learnt of an upstream.
func (b *Balancer) reset(i int) {
	b.ejectedUntil[i], b.probesAnswered[i], b.unreachable[i] = 0, 0, false
	b.logOdds[i], b.weight[i], b.successes[i], b.failures[i], b.kind[i], b.peerInFlight[i] = 0, 0, 0, 0, 0, 0
	for peer, all := range b.peerAttempts {
		b.peerAttempts[peer] = slices.DeleteFunc(all, func(j int) bool { return j == i })
	}
	b.credit[i], b.tokens[i], b.refilledAt[i] = math.NaN(), b.random(), b.now
}

// List says that an upstream takes work, and how the list describes it.
func (b *Balancer) List(i int, u Upstream, now int64) {
	b.now = now
	if u.StartedAt > b.startedAt[i] && b.ready[i] {
		b.reset(i) // the same machine, started anew: nothing known of it holds, and it is cold
	}
	u.Weight = math.Max(u.Weight, 1e-6)
	if b.config.LiveWeights {
		u.Weight = b.nominalWeight(i, u)
	}
	b.listChanged = b.listChanged || !b.ready[i] || u.Weight != b.weight[i] || u.Zone != b.zone[i] || u.ID != b.id[i]
	// A later start than the one listed may have been guessed from a return after refused connections.
	b.ready[i], b.weight[i], b.zone[i], b.cell[i], b.id[i] = true, u.Weight, u.Zone, u.Cell, u.ID
	b.startedAt[i] = max(b.startedAt[i], u.StartedAt)
}

// nominalWeight is the size behind a live weight: the largest listed of its kind, or of it alone. Danger: taken
// for sizes, live weights move the parts of all balancers with every list, and all open connections anew.
func (b *Balancer) nominalWeight(i int, u Upstream) float64 {
	size := max(u.Weight, b.weight[i])
	b.kind[i] = u.Kind
	sameKind := func(j int) bool { return b.ready[j] && u.Kind > 0 && b.kind[j] == u.Kind }
	for j := range b.kind {
		if sameKind(j) {
			size = max(size, b.weight[j])
		}
	}
	for j := range b.kind {
		if sameKind(j) && b.weight[j] < size {
			b.weight[j], b.listChanged = size, true
		}
	}
	return size
}

// Drain says that an upstream drains: nothing new goes there from this round on, well within any grace.
func (b *Balancer) Drain(i int) { b.ready[i], b.listChanged = false, true }

// Leave says that an upstream is gone; its index may be used again once nothing of it is out.
func (b *Balancer) Leave(i int) {
	b.ready[i], b.inUse[i], b.ejectedUntil[i], b.listChanged = false, false, 0, true
}

// Listed says how a question to the list ended, or that a report of it came.
func (b *Balancer) Listed(ok bool, now int64) {
	if ok {
		b.listFailures = 0
		return
	}
	// The list is one small service for all: ask again later each time, and not all at once.
	b.listFailures++
	b.following = false
	b.followAt = now + int64(float64(250*ms<<min(b.listFailures, 4))*(0.5+b.random()))
}

// Arrive takes a transaction; one final answer is owed for it from now on.
func (b *Balancer) Arrive(tx *Transaction, tariff, customer int, work, left int64, clientRetry bool, now int64) {
	tx.Config = cmp.Or(tx.Config, b.config)
	kind := tx.Config.Tariffs[tariff]
	b.arrivals++
	tx.tariff, tx.arrivedAt, tx.hardStop, tx.timerIndex, tx.firstEffect, tx.clientRetry = kind, now, now+left, -1, -1, clientRetry
	tx.contractEnd = min(now+kind.ContractTime+int64(kind.WorkFactor*float64(work)), tx.hardStop)
	tx.load = 1 / float64(max(tx.contractEnd-now, 1))
	if !clientRetry {
		kind.longestWait = max(kind.longestWait, left)
	} else if left < kind.longestWait {
		tx.contractEnd = min(tx.contractEnd, tx.hardStop-kind.HardStop+kind.ContractTime) // what is left tells when its first try came
	}
	if customer >= 0 {
		tx.customer = tx.Config.Customers[customer]
	}
	b.mark(tx)
}

// BodyReceived says that a transaction's last byte has come. Danger: counted from its first, the time that a slow
// client takes to send would be held against the upstream.
func (b *Balancer) BodyReceived(tx *Transaction, left, now int64) {
	tx.BodyPending, tx.contractEnd = false, now+min(left, tx.contractEnd-tx.arrivedAt)
	tx.arrivedAt, tx.hardStop = now, now+left
	if tx.pending > 0 {
		tx.attempts[0].sentAt = max(now, tx.attempts[0].sentAt)
		b.activate(tx)
	}
	b.mark(tx)
}

// Outcome tells how a push ended; final, that the transaction ended with it or before.
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

// StreamStarted says that a streamed answer has started: the client has it, and no time-out holds any more.
func (b *Balancer) StreamStarted(tx *Transaction, n int) {
	tx.streaming = &tx.attempts[n]
	b.mark(tx)
}

// ClientGone says that the client has left; nothing is owed any more.
func (b *Balancer) ClientGone(tx *Transaction) {
	if !tx.answered {
		b.deactivate(tx)
		b.mark(tx)
	}
}

// ProbeResult tells how a probe ended.
func (b *Balancer) ProbeResult(i int, ok bool) {
	b.probing[i] = false
	if !ok {
		b.probesAnswered[i] = 0
	} else if b.probesAnswered[i]++; b.ejectedUntil[i] != 0 && b.probesAnswered[i] >= probesToReinstate {
		b.reinstate(i)
	}
}

// Round decides on all that came in. Calls off losers, starts pushes and copies, and gives final answers.
func (b *Balancer) Round(now int64, w Writer) {
	smoothing := max(float64(meanWindow), min(10/b.longRate, b.ticks*float64(tickInterval)))
	b.meanConcurrency += (1 - math.Exp(-float64(now-b.lastRoundAt)/smoothing)) * (b.lastConcurrency - b.meanConcurrency)
	b.now, b.writer, b.lastRoundAt = now, w, now
	if b.listChanged {
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
		next = math.MaxInt64 // nothing to watch over: sleep until something comes in
	}
	if len(b.timers) > 0 {
		next = min(next, b.timers[0].dueAt)
	}
	if len(b.peers) > 0 {
		if now >= b.nextReportAt {
			b.sendReports()
		}
		next = min(next, b.nextReportAt)
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

// decide is the way of one transaction, from its arrival to its final answer.
func (b *Balancer) decide(tx *Transaction) {
	if tx.answered || tx.streaming != nil {
		b.cancelPending(tx)
		b.unschedule(tx)
		return
	}
	if b.now >= b.giveUpAt(tx) {
		// Danger: with few samples, or a quantile beyond the contract time, nothing else tells of silence.
		for n := range tx.attempts {
			if p := &tx.attempts[n]; b.now-p.sentAt > (b.now-tx.arrivedAt)/2 {
				b.countSilence(p)
			}
		}
		b.finish(tx, DeadlineExceeded)
		return
	}

	// The first push, to the next in turn.
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
			b.finish(tx, NoUpstream) // nobody to send it to, and no news in sight: say so at once
			return
		}
		b.firstSends[b.slot]++
		b.reportBudget = min(b.reportBudget+reportsPerSend, 4*reportsPerSend)
		b.budget = min(b.budget+budgetRatio, max(1, budgetRatio*float64(sum(b.firstSends[:]))))
		b.send(tx, i, false)
	}

	// A further push after a failure, if the tariff bears it and the bucket pays.
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

	// A copy, once the push outruns the live quantile.
	latest := &tx.attempts[len(tx.attempts)-1]
	hedgeAt := int64(math.MaxInt64)
	if b.hedgeDelay > 0 && !tx.BodyPending {
		if hedgeAt = latest.sentAt + b.hedgeDelay; b.now >= hedgeAt {
			hedgeAt = math.MaxInt64
			b.markLate(tx, latest)
			if tx.pending == 1 && b.config.Hedging && b.retryAllowed(tx) && b.allow(HedgingPaused, !b.hedgingPaused()) &&
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

// giveUpAt is when waiting on is worth nothing: a client's answer after the contract time, where lateness earns
// nothing, else at the hard stop. Within the service the caller judges, not the call.
func (b *Balancer) giveUpAt(tx *Transaction) int64 {
	if tx.BodyPending {
		return math.MaxInt64
	}
	if b.config.Tier == 0 && tx.tariff.LateEarnings == 0 {
		return tx.contractEnd
	}
	return tx.hardStop
}

// finish gives the final answer: a deferral if it is certain that trying again is harmless, else a forfeit.
func (b *Balancer) finish(tx *Transaction, reason Reason) {
	b.unschedule(tx)
	tx.findFirstEffect()
	b.deactivate(tx)
	if tariff := tx.tariff; tx.firstEffect < 0 || tariff.Idempotency == Idempotent || tariff.Idempotency == Keyed && tariff.DedupScope == Everywhere {
		b.writer.Defer(tx, reason, b.config.Backoff(tx.tariff))
	} else {
		b.writer.Forfeit(tx, reason)
	}
	b.cancelPending(tx)
}

// cancelPending cancels what is still out for a transaction that has its answer, but for the push that streams it.
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
	p := Attempt{upstream: i, location: Location{b.zone[i], b.cell[i]}, sentAt: max(b.now, tx.EarliestSend), pending: true, hedge: hedge}
	tx.attempts = append(tx.attempts, p)
	tx.pending++
	b.inFlight[i]++
	b.scheduleReport()
	if b.warmth(i) < 1 {
		b.tokens[i]--
	}
	b.writer.Send(tx, i, tx.hardStop)
}

// retryAllowed reports whether another push is allowed now. Danger: an effect that happens twice.
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

// inDedupScope reports whether an upstream drops repeats of what has been sent already.
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

// tick does what the clock asks for: window panes, the quantile, the win-rate loop, room, probes.
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
		copies, won := sum(b.hedges[:]), sum(b.hedgeWins[:])
		if copies >= minWinSamples && float64(won) < minWinRate*float64(copies) {
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

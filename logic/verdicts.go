package logic

import "math"

// Outlier detection: ejection and reinstatement of upstreams by the outcomes of attempts.

// recordOutcome adds a result to the statistics of the tier and of its upstream.
func (b *Balancer) recordOutcome(p *Attempt, r Result, took int64) {
	i := p.upstream
	if r == Unsent || r == Rejected { // else a misbehaving client could have upstreams ejected
		return
	}
	if r != Cancelled {
		b.outcomes[b.slot]++
		if r.upstreamFault() {
			b.faults[b.slot]++
		}
	}
	switch {
	case r == Settled, r == Cancelled && !p.hedge, r == TimedOut:
		// A cancelled or timed-out attempt took at least this long. A cancelled hedge says nothing.
		bucket := min(latencyBuckets-1, int(math.Log(float64(max(took, ms))/float64(ms))/math.Log(1.1)))
		b.latency[b.slot][bucket]++
		b.samples[b.slot]++
	}
	if r == Settled && b.warmth(i) == 1 {
		b.warmSettled++
	}
	if p.late && !r.upstreamFault() || r == Cancelled {
		return
	}
	if r == Unreachable {
		b.unreachable[i] = true
	} else if r == Settled {
		b.unreachable[i] = false
	}
	b.updateOdds(i, r)
}

// markLate counts a late attempt against its upstream before it times out, to detect an upstream that accepts
// work and answers nothing. Such a transaction is no sign of congestion: it leaves the load but stays active.
func (b *Balancer) markLate(tx *Transaction, p *Attempt) {
	b.countSilence(p)
	if !tx.late {
		tx.late = true
		b.lateActive++
		b.activeLoad -= tx.load
		b.departures++
	}
}

// countSilence counts an attempt without an answer against its upstream, once.
func (b *Balancer) countSilence(p *Attempt) {
	if !p.late && p.pending {
		p.late = true
		b.updateOdds(p.upstream, TimedOut)
	}
}

// updateOdds is a sequential probability ratio test of one upstream against the others: does it fail as often
// as they do, or several times as often? Faults that all have in common eject none.
func (b *Balancer) updateOdds(i int, r Result) {
	if r.upstreamFault() {
		b.failures[i]++
	} else {
		b.successes[i]++
	}
	otherFailures := sum(b.failures) - b.failures[i]
	otherOutcomes := otherFailures + sum(b.successes) - b.successes[i]
	expected := max(0.05, (float64(otherFailures)+0.5)/(float64(otherOutcomes)+10))
	suspect := min(4*expected, (1+expected)/2)
	if r.upstreamFault() {
		b.logOdds[i] += math.Log(suspect / expected)
	} else {
		b.logOdds[i] = max(0, b.logOdds[i]+math.Log((1-suspect)/(1-expected)))
	}
	if b.logOdds[i] >= ejectLogOdds && b.ejectedUntil[i] == 0 && b.ready[i] {
		b.eject(i, r)
	}
}

func (b *Balancer) eject(i int, cause Result) {
	ejected, weight := b.share[i], 0.0
	for _, j := range b.assigned {
		if weight += b.share[j]; b.ejectedUntil[j] != 0 {
			ejected += b.share[j]
		}
	}
	// Unreachable upstreams carry nothing, so they may exceed the maximum, as when half are cut off by zone.
	if ejected > maxEjected*weight && !b.unreachable[i] {
		b.logOdds[i] = ejectLogOdds // the others could not carry the load
		return
	}
	b.ejectedUntil[i], b.probesAnswered[i] = b.now+int64(float64(ejectionTime)*(0.75+b.random()/2)), 0
	b.recordEvent(EjectionEvent{Upstream: i, Cause: cause})
}

// reinstate ends an ejection at half the log odds. An upstream that was unreachable may be cold by a restart.
func (b *Balancer) reinstate(i int) {
	b.ejectedUntil[i], b.logOdds[i] = 0, ejectLogOdds/2
	b.recordEvent(EjectionEvent{Upstream: i, Reinstated: true, Cold: b.unreachable[i]})
	if b.unreachable[i] {
		b.startedAt[i], b.unreachable[i], b.tokens[i], b.refilledAt[i] = b.now, false, b.random(), b.now
	}
}

package logic

import "math"

// What outcomes say of an upstream.

// recordOutcome takes what an outcome tells of the tier and of its upstream.
func (b *Balancer) recordOutcome(p *Attempt, r Result, took int64) {
	i := p.upstream
	if r == Unsent || r == Rejected { // danger: a bad client would have upstreams set aside
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
		// A loser or a time-out took at least this long; a copy called off early tells nothing.
		k := min(latencyBuckets-1, int(math.Log(float64(max(took, ms))/float64(ms))/math.Log(1.1)))
		b.latency[b.slot][k]++
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

// markLate counts silence as evidence before any time-out. Danger: an upstream that takes work and answers
// none. What waits there is no sign of a crowd: it leaves the load, but not the count that is owed an answer.
func (b *Balancer) markLate(tx *Transaction, p *Attempt) {
	b.countSilence(p)
	if !tx.late {
		tx.late = true
		b.lateActive++
		b.activeLoad -= tx.load
		b.departures++
	}
}

// countSilence counts a push without an answer against its upstream, once.
func (b *Balancer) countSilence(p *Attempt) {
	if !p.late && p.pending {
		p.late = true
		b.updateOdds(p.upstream, TimedOut)
	}
}

// updateOdds is a sequential test of one upstream against its peers: is it as bad as they are, or several times as
// bad? Where all are alike, nobody stands out.
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
	ejected, total := b.share[i], 0.0
	for _, j := range b.assigned {
		if total += b.share[j]; b.ejectedUntil[j] != 0 {
			ejected += b.share[j]
		}
	}
	// Danger: a cut between zones puts half out of reach; what can't be reached carries nothing.
	if ejected > maxEjected*total && !b.unreachable[i] {
		b.logOdds[i] = ejectLogOdds // the rest could not carry the work
		return
	}
	b.ejectedUntil[i], b.probesAnswered[i] = b.now+int64(float64(ejectionTime)*(0.75+b.random()/2)), 0
	b.recordEvent(EjectionEvent{Upstream: i, Cause: cause})
}

// reinstate takes an upstream back under half the doubt. Danger: one that was dead may be cold, unannounced.
func (b *Balancer) reinstate(i int) {
	b.ejectedUntil[i], b.logOdds[i] = 0, ejectLogOdds/2
	b.recordEvent(EjectionEvent{Upstream: i, Reinstated: true, Cold: b.unreachable[i]})
	if b.unreachable[i] {
		b.startedAt[i], b.unreachable[i], b.tokens[i], b.refilledAt[i] = b.now, false, b.random(), b.now
	}
}

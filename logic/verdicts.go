package logic

import "math"

// What outcomes say of an upstream.

// learn takes what an outcome tells of the tier and of its upstream.
func (b *Balancer) learn(p *Push, r Result, took int64) {
	i := p.upstream
	if r == Unsent || r == Rejected { // danger: a bad client would have upstreams set aside
		return
	}
	if r != Cancelled {
		b.results[b.pane]++
		if r.fault() {
			b.faults[b.pane]++
		}
	}
	switch {
	case r == Settled, r == Cancelled && !p.copy, r == TimedOut:
		// A loser or a time-out took at least this long; a copy called off early tells nothing.
		k := min(buckets-1, int(math.Log(float64(max(took, ms))/float64(ms))/math.Log(1.1)))
		b.latency[b.pane][k]++
		b.samples[b.pane]++
	}
	if r == Settled && b.warmth(i) == 1 {
		b.settled++
	}
	if p.overdue && !r.fault() || r == Cancelled {
		return
	}
	if r == Unreachable {
		b.dead[i] = true
	} else if r == Settled {
		b.dead[i] = false
	}
	b.judge(i, r)
}

// overdue counts silence as evidence before any time-out. Danger: an upstream that takes work and answers
// none. What waits there is no sign of a crowd: it leaves the load, but not the count that is owed an answer.
func (b *Balancer) overdue(t *Transaction, p *Push) {
	b.silent(p)
	if !t.stuck {
		t.stuck = true
		b.stuckAll++
		b.inHand -= t.load
		b.ends++
	}
}

// silent counts a push without an answer against its upstream, once.
func (b *Balancer) silent(p *Push) {
	if !p.overdue && p.out {
		p.overdue = true
		b.judge(p.upstream, TimedOut)
	}
}

// judge is a sequential test of one upstream against its peers: is it as bad as they are, or several times as
// bad? Where all are alike, nobody stands out.
func (b *Balancer) judge(i int, r Result) {
	if r.fault() {
		b.bad[i]++
	} else {
		b.good[i]++
	}
	worse := sum(b.bad) - b.bad[i]
	all := worse + sum(b.good) - b.good[i]
	usual := max(0.05, (float64(worse)+0.5)/(float64(all)+10))
	unusual := min(4*usual, (1+usual)/2)
	if r.fault() {
		b.doubt[i] += math.Log(unusual / usual)
	} else {
		b.doubt[i] = max(0, b.doubt[i]+math.Log((1-unusual)/(1-usual)))
	}
	if b.doubt[i] >= setAsideAt && b.aside[i] == 0 && b.ready[i] {
		b.setAside(i, r)
	}
}

func (b *Balancer) setAside(i int, why Result) {
	out, total := b.part[i], 0.0
	for _, j := range b.own {
		if total += b.part[j]; b.aside[j] != 0 {
			out += b.part[j]
		}
	}
	// Danger: a cut between zones puts half out of reach; what can't be reached carries nothing.
	if out > mostAside*total && !b.dead[i] {
		b.doubt[i] = setAsideAt // the rest could not carry the work
		return
	}
	b.aside[i], b.answered[i] = b.now+int64(float64(asideFor)*(0.75+b.chance()/2)), 0
	b.turned(Turn{Upstream: i, Why: why})
}

// restore takes an upstream back under half the doubt. Danger: one that was dead may be cold, unannounced.
func (b *Balancer) restore(i int) {
	b.aside[i], b.doubt[i] = 0, setAsideAt/2
	b.turned(Turn{Upstream: i, Back: true, Cold: b.dead[i]})
	if b.dead[i] {
		b.born[i], b.dead[i], b.purse[i], b.filled[i] = b.now, false, b.chance(), b.now
	}
}

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
	ms, s = int64(1e6), int64(1e9)

	// The mechanism, as the design page gives it.
	copied                                    = 0.05 // of the pushes outrun the quantile of a balancer alone
	copiedMany                                = 0.01 // and of one among many
	many                                      = 8    // so many beside it, and what each sends twice has to halve
	window, minDelay, minSamples              = 30 * s, 10 * ms, 20
	bucketPart                                = 0.1 // copies and retries per recent first send
	gateAt                                    = 0.2 // copying pauses above this share of bad outcomes
	winWindow, winFloor, winSamples, winLeast = 20 * s, 0.2, 10, 0.05

	panes, buckets, wins = 6, 128, 4 // the windows move in steps of a sixth and a quarter

	ahead      = 4.0    // turns that an upstream may be ahead of its due while a connection to it is kept
	wellAbove  = 0.25   // skip an upstream with this many pushes more in flight than its part of the mean
	aboveLeast = 0.1    // and where peers tell, what would hold this much more than the one with the least
	ample      = 0.35   // at most this share of its contract time is usual for an uncrowded transaction
	firstHeld  = 6.0    // transactions in hand for each upstream at first, where no customer's share tells more
	fewHeld    = 2. / 3 // of these crowd nobody
	crowdedAll = 2.0    // and where peers tell, as many times what is ample
	mostHeld   = 1.6    // there room may grow to this multiple of the first
	zoneCare   = 10.0   // a crossing priced at a tenth of the earnings halves the turns
	chanceCome = 4      // transactions of a customer that may come at once by chance
	beat       = 200 * ms
	crowded    = 1.4 // room shrinks while answers take this many times longer than at best

	mostTold  = 28       // messages that a first push pays for
	tellEvery = 10 * ms  // peers are told no more often
	tellAgain = 500 * ms // and no less while something is in flight
	heardFor  = 3 * tellAgain

	metBy              = 6    // balancers, at the least, that meet an upstream
	fewOwn             = 4    // upstreams, at the least, for one balancer
	metBySaid, fewSaid = 4, 2 // the same two where peers tell: each more of them is told all
	mostSaid           = 12   // danger: told by many more, each would do little but listen
	meanOver           = 500 * ms

	setAsideAt           = 4.5 // log odds at which an upstream is set aside
	mostAside            = 0.4 // of the list's weight may be set aside
	asideFor, probeEvery = 4 * s, 300 * ms
	probesDue            = 2 // answered probes before a return
)

// New starts a balancer; it refuses terms that it cannot work with.
func New(terms *Terms, now int64) (*Balancer, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{now: now, last: now, carry: terms.Seed<<1 | 1, allowance: 1, bucket: 1, words: 4 * mostTold}
	b.turnsAt, b.winTurn, b.nextBit, b.beside, b.wide = now+window/panes, now+winWindow/wins, now+beat, 1, 1
	b.adopt(terms)
	return b, nil
}

// adopt takes what terms say beforehand of room and purses.
func (b *Balancer) adopt(terms *Terms) {
	b.terms, b.shares, b.fair = terms, 0, 0
	b.away = 1 / (1 + zoneCare*terms.CrossZonePrice) // the dearer crossings are, the fewer turns go there
	b.listen()
	time := 0.0
	for _, f := range terms.Tariffs {
		time += ample * float64(f.ContractTime) / float64(len(terms.Tariffs))
	}
	for _, c := range terms.Customers {
		b.fair += c.Rate / float64(s) / float64(terms.Balancers)
		if b.shares += c.Rate / float64(s) * time; c.filled == 0 {
			c.purse, c.filled = c.Rate/float64(terms.Balancers)+chanceCome, b.now
		}
	}
}

// Join takes a new upstream and returns its index.
func (b *Balancer) Join() int {
	for i, known := range b.known {
		if !known && b.flying[i] == 0 && !b.probing[i] {
			b.known[i], b.born[i] = true, 0
			b.reset(i)
			return i
		}
	}
	b.reset(b.grow())
	return len(b.known) - 1
}

// reset forgets what was learnt of an upstream.
func (b *Balancer) reset(i int) {
	b.aside[i], b.answered[i], b.dead[i] = 0, 0, false
	b.doubt[i], b.weight[i], b.good[i], b.bad[i], b.kind[i], b.others[i] = 0, 0, 0, 0, 0, 0
	for peer, all := range b.said {
		b.said[peer] = slices.DeleteFunc(all, func(j int) bool { return j == i })
	}
	b.turn[i], b.purse[i], b.filled[i] = math.NaN(), b.chance(), b.now
}

// List says that an upstream takes work, and how the list describes it.
func (b *Balancer) List(i int, u Upstream, now int64) {
	b.now = now
	if u.Born > b.born[i] && b.ready[i] {
		b.reset(i) // the same machine, started anew: nothing known of it holds, and it is cold
	}
	u.Weight = math.Max(u.Weight, 1e-6)
	if b.terms.LiveWeights {
		u.Weight = b.unloaded(i, u)
	}
	b.moved = b.moved || !b.ready[i] || u.Weight != b.weight[i] || u.Zone != b.zone[i] || u.Number != b.number[i]
	// A later start than the one listed may have been guessed from a return after refused connections.
	b.ready[i], b.weight[i], b.zone[i], b.cell[i], b.number[i] = true, u.Weight, u.Zone, u.Cell, u.Number
	b.born[i] = max(b.born[i], u.Born)
}

// unloaded is the size behind a live weight: the largest listed of its kind, or of it alone. Danger: taken
// for sizes, live weights move the parts of all balancers with every list, and all open connections anew.
func (b *Balancer) unloaded(i int, u Upstream) float64 {
	size := max(u.Weight, b.weight[i])
	b.kind[i] = u.Kind
	alike := func(j int) bool { return b.ready[j] && u.Kind > 0 && b.kind[j] == u.Kind }
	for j := range b.kind {
		if alike(j) {
			size = max(size, b.weight[j])
		}
	}
	for j := range b.kind {
		if alike(j) && b.weight[j] < size {
			b.weight[j], b.moved = size, true
		}
	}
	return size
}

// Drain says that an upstream drains: nothing new goes there from this round on, well within any grace.
func (b *Balancer) Drain(i int) { b.ready[i], b.moved = false, true }

// Leave says that an upstream is gone; its index may be used again once nothing of it is out.
func (b *Balancer) Leave(i int) { b.ready[i], b.known[i], b.aside[i], b.moved = false, false, 0, true }

// Listed says how a question to the list ended, or that a report of it came.
func (b *Balancer) Listed(ok bool, now int64) {
	if ok {
		b.refusals = 0
		return
	}
	// The list is one small service for all: ask again later each time, and not all at once.
	b.refusals++
	b.following = false
	b.follow = now + int64(float64(250*ms<<min(b.refusals, 4))*(0.5+b.chance()))
}

// Arrive takes a transaction; one final answer is owed for it from now on.
func (b *Balancer) Arrive(t *Transaction, tariff, customer int, work, left int64, again bool, now int64) {
	t.Under = cmp.Or(t.Under, b.terms)
	f := t.Under.Tariffs[tariff]
	b.came++
	t.tariff, t.arrived, t.stop, t.slot, t.anchor, t.again = f, now, now+left, -1, -1, again
	t.contract = min(now+f.ContractTime+int64(f.Stretch*float64(work)), t.stop)
	t.load = 1 / float64(max(t.contract-now, 1))
	if !again {
		f.longest = max(f.longest, left)
	} else if left < f.longest {
		t.contract = min(t.contract, t.stop-f.HardStop+f.ContractTime) // what is left tells when its first try came
	}
	if customer >= 0 {
		t.customer = t.Under.Customers[customer]
	}
	b.touch(t)
}

// Whole says that a transaction's last byte has come. Danger: counted from its first, the time that a slow
// client takes to send would be held against the upstream.
func (b *Balancer) Whole(t *Transaction, left, now int64) {
	t.Unwhole, t.contract = false, now+min(left, t.contract-t.arrived)
	t.arrived, t.stop = now, now+left
	if t.out > 0 {
		t.pushes[0].sent = max(now, t.pushes[0].sent)
		b.hold(t)
	}
	b.touch(t)
}

// Outcome tells how a push ended; final, that the transaction ended with it or before.
func (b *Balancer) Outcome(t *Transaction, n int, r Result, took int64, final bool, now int64) {
	p := &t.pushes[n]
	if !p.out {
		return
	}
	b.now = now
	p.out, p.result = false, r
	t.out--
	if r == TurnedAway {
		t.refused++
	}
	b.flying[p.upstream]--
	b.news()
	if p.lost {
		p.lost = false
		b.losers--
	}
	b.learn(p, r, took)
	if final && !t.over {
		t.streams = nil
		b.close(t)
		if p.copy && r == Settled {
			b.won[0]++
		}
	}
	b.touch(t)
}

// Began says that a streamed answer has started: the client has it, and no time-out holds any more.
func (b *Balancer) Began(t *Transaction, n int) {
	t.streams = &t.pushes[n]
	b.touch(t)
}

// Vanish says that the client has left; nothing is owed any more.
func (b *Balancer) Vanish(t *Transaction) {
	if !t.over {
		b.close(t)
		b.touch(t)
	}
}

// Probed tells how a probe ended.
func (b *Balancer) Probed(i int, ok bool) {
	b.probing[i] = false
	if !ok {
		b.answered[i] = 0
	} else if b.answered[i]++; b.aside[i] != 0 && b.answered[i] >= probesDue {
		b.restore(i)
	}
}

// Round decides on all that came in. Calls off losers, starts pushes and copies, and gives final answers.
func (b *Balancer) Round(now int64, w Writer) {
	over := max(float64(meanOver), min(10/b.longRate, b.beats*float64(beat)))
	b.mean += (1 - math.Exp(-float64(now-b.last)/over)) * (b.stood - b.mean)
	b.now, b.w, b.last = now, w, now
	if b.moved {
		b.divide()
	}
	if b.terms.AskForList && !b.following && now >= b.follow {
		b.following = true
		w.Follow()
	}
	if now >= b.nextBit {
		b.tick()
	}
	for len(b.dues) > 0 && b.dues[0].due <= now {
		t := b.dues[0]
		b.unschedule(t)
		b.touch(t)
	}
	for k := 0; k < len(b.touched); k++ {
		t := b.touched[k]
		t.queued = false
		b.decide(t)
	}
	b.touched = b.touched[:0]
	b.serve()
	next := b.nextBit
	if b.open == 0 && !slices.ContainsFunc(b.aside, func(at int64) bool { return at != 0 }) {
		next = math.MaxInt64 // nothing to watch over: sleep until something comes in
	}
	if len(b.dues) > 0 {
		next = min(next, b.dues[0].due)
	}
	if len(b.peers) > 0 {
		if now >= b.tellAt {
			b.tell()
		}
		next = min(next, b.tellAt)
	}
	if b.terms.AskForList && !b.following {
		next = min(next, b.follow)
	}
	if next != math.MaxInt64 && (b.wake <= now || next < b.wake) {
		b.wake = max(next, now+1)
		w.Wake(b.wake)
	}
	b.w, b.stood = nil, b.counted()
}

// decide is the way of one transaction, from its arrival to its final answer.
func (b *Balancer) decide(t *Transaction) {
	if t.over || t.streams != nil {
		b.callOff(t)
		b.unschedule(t)
		return
	}
	if b.now >= b.giveUp(t) {
		// Danger: with few samples, or a quantile beyond the contract time, nothing else tells of silence.
		for n := range t.pushes {
			if p := &t.pushes[n]; b.now-p.sent > (b.now-t.arrived)/2 {
				b.silent(p)
			}
		}
		b.end(t, GivenUp)
		return
	}

	// The first push, to the next in turn.
	if len(t.pushes) == 0 {
		if !t.inLine {
			b.appraise(t)
		}
		if !b.admit(t) {
			b.queue(t)
			return
		}
		i := b.next(t)
		if i < 0 {
			b.end(t, NoUpstream) // nobody to send it to, and no news in sight: say so at once
			return
		}
		b.sends[b.pane]++
		b.words = min(b.words+mostTold, 4*mostTold)
		b.bucket = min(b.bucket+bucketPart, max(1, bucketPart*float64(sum(b.sends[:]))))
		b.push(t, i, false)
	}

	// A further push after a failure, if the tariff bears it and the bucket pays.
	if t.out == 0 {
		i := -1
		if b.repeatable(t) && b.pass(RetryUnpaid, b.funded()) {
			i = b.next(t)
		}
		if i < 0 {
			b.end(t, Failed)
			return
		}
		b.bucket--
		b.push(t, i, false)
	}

	// A copy, once the push outruns the live quantile.
	last := &t.pushes[len(t.pushes)-1]
	outrun := int64(math.MaxInt64)
	if b.trigger > 0 && !t.Unwhole {
		if outrun = last.sent + b.trigger; b.now >= outrun {
			outrun = math.MaxInt64
			b.overdue(t, last)
			if t.out == 1 && b.terms.SecondCopies && b.repeatable(t) && b.pass(CopyGated, !b.gated()) &&
				b.pass(CopyUnpaid, b.funded()) && b.pass(CopyLoop, b.chance() < b.allowance) {
				if i := b.next(t); i >= 0 {
					b.bucket--
					b.copies[0]++
					b.push(t, i, true)
				}
			}
		}
	}

	b.schedule(t, min(b.giveUp(t), outrun))
}

// giveUp is when waiting on is worth nothing: a client's answer after the contract time, where lateness earns
// nothing, else at the hard stop. Within the service the caller judges, not the call.
func (b *Balancer) giveUp(t *Transaction) int64 {
	if t.Unwhole {
		return math.MaxInt64
	}
	if b.terms.Layer == 0 && t.tariff.LateEarnings == 0 {
		return t.contract
	}
	return t.stop
}

// end gives the final answer: a deferral if it is certain that trying again is harmless, else a forfeit.
func (b *Balancer) end(t *Transaction, why Why) {
	b.unschedule(t)
	t.recall()
	b.close(t)
	if f := t.tariff; t.anchor < 0 || f.Repeat == Repeatable || f.Repeat == Tagged && f.Group == Everywhere {
		b.w.Defer(t, why, b.terms.Backoff(t.tariff))
	} else {
		b.w.Forfeit(t, why)
	}
	b.callOff(t)
}

// callOff cancels what is still out for a transaction that has its answer, but for the push that streams it.
func (b *Balancer) callOff(t *Transaction) {
	for n := range t.pushes {
		if p := &t.pushes[n]; p.out && !p.lost && p != t.streams && b.terms.Cancelling {
			p.lost = true
			b.losers++
			b.w.Cancel(t, n)
		}
	}
}

func (b *Balancer) push(t *Transaction, i int, copied bool) {
	b.hold(t)
	p := Push{upstream: i, at: Bound{b.zone[i], b.cell[i]}, sent: max(b.now, t.Leaves), out: true, copy: copied}
	t.pushes = append(t.pushes, p)
	t.out++
	b.flying[i]++
	b.news()
	if b.warmth(i) < 1 {
		b.purse[i]--
	}
	b.w.Push(t, i, t.stop)
}

// repeatable reports whether another push is allowed now. Danger: an effect that happens twice.
func (b *Balancer) repeatable(t *Transaction) bool {
	if t.Single || len(t.pushes)-min(t.refused, t.Under.FreeRefusals) >= t.Under.MaxPushes {
		return false
	}
	t.recall()
	if t.anchor < 0 || t.tariff.Repeat == Repeatable {
		return true
	}
	return t.tariff.Repeat == Tagged && b.now < t.pushes[t.anchor].sent+t.tariff.Remembered
}

// within reports whether an upstream drops repeats of what has been sent already.
func (b *Balancer) within(t *Transaction, i int) bool {
	bound := t.Bound
	if t.anchor >= 0 {
		bound = &t.pushes[t.anchor].at
	}
	if bound == nil || t.tariff.Repeat != Tagged || t.tariff.Group == Everywhere {
		return true
	}
	return b.zone[i] == bound.Zone && (t.tariff.Group == SameZone || b.cell[i] == bound.Cell)
}

// tick does what the clock asks for: window panes, the quantile, the win-rate loop, room, probes.
func (b *Balancer) tick() {
	for b.now >= b.turnsAt {
		b.turnsAt += window / panes
		b.pane = (b.pane + 1) % panes
		b.latency[b.pane], b.samples[b.pane] = [buckets]int32{}, 0
		b.sends[b.pane], b.results[b.pane], b.faults[b.pane] = 0, 0, 0
		for i := range b.good {
			b.good[i], b.bad[i] = b.good[i]*3/4, b.bad[i]*3/4
		}
	}
	for b.now >= b.winTurn {
		b.winTurn += winWindow / wins
		copies, won := sum(b.copies[:]), sum(b.won[:])
		if copies >= winSamples && float64(won) < winFloor*float64(copies) {
			b.allowance = max(winLeast, b.allowance/2)
		} else {
			b.allowance = min(1, b.allowance+0.25)
		}
		copy(b.copies[1:], b.copies[:wins-1])
		copy(b.won[1:], b.won[:wins-1])
		b.copies[0], b.won[0] = 0, 0
	}
	b.estimate()
	for peer, at := range b.saidAt {
		if b.now > at+heardFor {
			b.forget(peer)
		}
	}
	total := 0.0
	for i, ready := range b.ready {
		if ready && b.aside[i] == 0 && b.warmth(i) == 1 {
			total += b.part[i]
		}
		if ready && b.aside[i] != 0 && b.now >= b.aside[i] {
			if !b.terms.Probing {
				b.restore(i)
			} else if !b.probing[i] {
				b.probing[i] = true
				b.aside[i] = b.now + probeEvery
				b.w.Probe(i)
			}
		}
	}
	span := float64(b.now - b.nextBit + beat)
	if total > 0 {
		b.pace += min(1, span/float64(4*s)) * (float64(b.settled)/span/total - b.pace)
	}
	b.settled = 0
	if b.terms.Layer == 0 {
		b.makeRoom(span)
	}
	b.nextBit = b.now + beat
}

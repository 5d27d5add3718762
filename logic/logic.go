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

func (b *Balancer) touch(t *Transaction) {
	if !t.queued {
		t.queued = true
		b.touched = append(b.touched, t)
	}
}

// close ends a transaction; from here on nothing may go out for it.
func (b *Balancer) close(t *Transaction) {
	t.over = true
	if t.held {
		t.held = false
		b.open--
		if t.stuck {
			b.stuckAll--
		} else {
			b.inHand -= t.load
			b.ends++
		}
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

// hold takes a transaction into what is in hand, once all of it is there.
func (b *Balancer) hold(t *Transaction) {
	if !t.held && !t.Unwhole {
		t.held = true
		b.open++
		b.inHand += t.load
	}
}

// repeatable reports whether another push is allowed now. Danger: an effect that happens twice.
func (b *Balancer) repeatable(t *Transaction) bool {
	if t.Single || len(t.pushes) >= t.Under.MaxPushes {
		return false
	}
	t.recall()
	if t.anchor < 0 || t.tariff.Repeat == Repeatable {
		return true
	}
	return t.tariff.Repeat == Tagged && b.now < t.pushes[t.anchor].sent+t.tariff.Remembered
}

// recall finds the first push that may have run: pushes that provably never ran bind nothing.
func (t *Transaction) recall() {
	t.anchor = slices.IndexFunc(t.pushes, func(p Push) bool { return p.out || !p.result.NeverRan() })
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

// next takes the next upstream by smooth weighted round robin, skipping those well above the mean.
func (b *Balancer) next(t *Transaction) int {
	flying, total, few := 0.0, 0.0, math.Inf(1)
	for _, i := range b.own {
		if b.aside[i] == 0 {
			share := b.part[i] * b.likely(i) * b.near(i)
			flying += b.holds(i)
			total += share
			if !t.tried(i) && b.within(t, i) && (b.warmth(i) == 1 || b.fill(i) >= 1) {
				few = min(few, (b.holds(i)+1)/share)
			}
		}
	}
	best, spare, sum, least, most := -1, -1, 0.0, math.Inf(1), math.Inf(-1)
	for _, i := range b.own {
		if b.aside[i] != 0 || t.tried(i) || !b.within(t, i) {
			continue
		}
		// A start anywhere in the round. Danger: with a small part of it all pick the heavy ones first.
		if math.IsNaN(b.turn[i]) {
			b.turn[i] = b.chance() * total
		}
		share := b.part[i] * b.near(i)
		if b.warmth(i) < 1 {
			share *= b.likely(i)
			if b.fill(i) < 1 || len(t.pushes) > 0 {
				continue
			}
		}
		if load := (b.holds(i) + 1) / share; load < least {
			least, spare = load, i
		}
		if len(b.peers) > 0 && b.holds(i)+1 > few*share*(1+aboveLeast) ||
			len(b.peers) == 0 && b.holds(i) > flying*share/total+wellAbove {
			continue
		}
		b.turn[i] += share
		sum += share
		// Danger: where connections soon close, going round all means to pay for a new one with nearly every push.
		credit := b.turn[i]
		if b.w.Kept(i) {
			credit += ahead * total
		}
		if credit > most {
			best, most = i, credit
		}
	}
	if best >= 0 {
		b.turn[best] -= sum
		return best
	}
	if spare >= 0 {
		return spare
	}
	// Another's, or one set aside, is better than none. Danger: all turn to the same; so look from anywhere on.
	from := int(b.chance() * float64(len(b.ready)))
	for k := range b.ready {
		i := (from + k) % len(b.ready)
		if !b.ready[i] || t.tried(i) || !b.within(t, i) || b.warmth(i) < 1 && (b.part[i] == 0 || b.fill(i) < 1) {
			continue
		}
		load := b.holds(i)
		if b.aside[i] != 0 {
			load += 1e6
		}
		if load < least {
			least, spare = load, i
		}
	}
	return spare
}

// divide gives this balancer its part of a long list. Danger: hundreds that go round all of it seldom meet an
// upstream. So they are dealt out to rounds, and those of one share out each zone in an order of their own.
func (b *Balancer) divide() {
	b.moved, b.own = false, b.own[:0]
	zones := map[int]bool{}
	for i, ready := range b.ready {
		if b.part[i] == 0 { // Danger: what fell to another until now would bring a full purse
			b.purse[i], b.filled[i] = b.chance(), b.now
		}
		b.part[i] = 0
		if ready {
			b.own, zones[b.zone[i]] = append(b.own, i), true
		}
	}
	// One balancer of each round meets an upstream. Where crossings are dear those of its zone must be enough.
	n := float64(len(zones))
	least, few := metBy, fewOwn
	if b.terms.Peers {
		least, few = metBySaid, fewSaid
	}
	rounds := max(1, int(float64(least)*n/(1+b.away*(n-1))+0.5)) // with an empty list too
	for len(b.own) > 0 && rounds*len(b.own) < few*b.terms.Balancers && (!b.terms.Peers || rounds < mostSaid) {
		if rounds++; !b.terms.Peers {
			rounds += rounds - 2
		}
	}
	b.met = min(rounds, b.terms.Balancers)
	place := b.terms.Index % b.terms.Balancers // one more than there should be shares another's part
	round, from := place%rounds, float64(place/rounds)
	parts := float64((b.terms.Balancers-1-round)/rounds + 1)
	wide := min(b.wide, parts)
	if b.terms.Peers {
		round = 0
		from, wide, parts = b.gather(place)
	}
	slices.SortStableFunc(b.own, func(i, j int) int {
		return cmp.Or(b.zone[i]-b.zone[j], cmp.Compare(shuffled(b.number[i], round), shuffled(b.number[j], round)))
	})
	for first := 0; first < len(b.own); {
		next, total, at := first, 0.0, 0.0
		for ; next < len(b.own) && b.zone[b.own[next]] == b.zone[b.own[first]]; next++ {
			total += b.weight[b.own[next]]
		}
		for _, i := range b.own[first:next] {
			to := at + b.weight[i]*parts/total
			b.part[i] = max(0, min(to, from+wide)-max(at, from)) * total / parts
			b.part[i] += max(0, min(to, from+wide-parts)-at) * total / parts // round its end
			at = to
		}
		first = next
	}
	b.own = slices.DeleteFunc(b.own, func(i int) bool { return b.part[i] < 1e-6*b.weight[i] })
	slices.Sort(b.own)
	if b.terms.Peers {
		slices.SortFunc(b.own, func(i, j int) int { return cmp.Compare(b.number[i], b.number[j]) })
		b.check = 0
		for place, i := range b.own {
			b.check = (b.check*3 + byte(b.number[i]>>place)) & 7
		}
	}
}

// gather puts balancers in cells that share a part; it tells where that begins, its length and the whole's.
func (b *Balancer) gather(place int) (from, wide, whole float64) {
	n := b.terms.Balancers
	cells := max(1, n/b.met)
	cell := place % cells
	b.peers = b.peers[:0]
	for other := cell; other < n; other += cells {
		if other != place {
			b.peers = append(b.peers, other)
		}
	}
	b.met = len(b.peers) + 1
	return float64(n/cells*cell + min(cell, n%cells)), float64(b.met), float64(n)
}

// tell says to peers how long transactions take, and for each push in flight its place and a check. Danger:
// what many say to many adds up, so each first push pays for so many messages and no more.
func (b *Balancer) tell() {
	if b.words < len(b.peers) {
		b.tellAt = math.MaxInt64 // the next push says it
		return
	}
	b.words -= len(b.peers)
	raw := []byte{byte(min(255, 100*b.load/max(b.rate, 1e-12)))}
	for place, i := range b.own[:min(len(b.own), 32)] {
		for range min(b.flying[i], 7) { // a message holds 256
			raw = append(raw, b.check<<5|byte(place))
		}
	}
	b.toldAt, b.tellAt = b.now, b.now+tellAgain
	if len(raw) == 1 {
		b.tellAt = math.MaxInt64 // nothing to say before something goes out
	}
	for _, peer := range b.peers {
		b.w.Tell(peer, raw)
	}
}

// news has peers told before long.
func (b *Balancer) news() { b.tellAt = min(b.tellAt, b.toldAt+tellEvery) }

// Told takes what a peer says. Danger: it is late, may be lost, and its part may be another by now. It only
// counts in the choice and in room, what doesn't fit is left out, and it is forgotten before long.
func (b *Balancer) Told(peer int, raw []byte, now int64) {
	if peer < 0 || peer >= len(b.said) || len(raw) == 0 {
		return
	}
	b.forget(peer)
	b.saidAt[peer], b.saidSlow[peer] = now, float64(raw[0])/100
	for _, x := range raw[1:] {
		if place := int(x & 31); x>>5 == b.check && place < len(b.own) {
			b.said[peer] = append(b.said[peer], b.own[place])
			b.others[b.own[place]]++
		}
	}
}

// holds is what an upstream holds of this balancer and its peers.
func (b *Balancer) holds(i int) float64 { return float64(b.flying[i] + b.others[i]) }

// shuffled puts numbers in an order that is the same at every balancer and another one for each round.
func shuffled(number uint32, round int) uint64 {
	x := (uint64(number)<<16 | uint64(round)) * 0x9e3779b97f4a7c15
	return (x ^ x>>29) * 0xbf58476d1ce4e5b9
}

// near lessens the turns of upstreams in another zone.
func (b *Balancer) near(i int) float64 {
	if b.zone[i] == b.terms.Zone {
		return 1
	}
	return b.away
}

// tried reports whether a transaction went to an upstream already.
func (t *Transaction) tried(i int) bool {
	return slices.ContainsFunc(t.pushes, func(p Push) bool { return p.upstream == i })
}

// warmth is the least share of its capacity that an upstream can have by now.
func (b *Balancer) warmth(i int) float64 {
	age := b.now - b.born[i]
	if b.born[i] == 0 || age >= b.terms.WarmUp {
		return 1
	}
	return b.terms.ColdShare + (1-b.terms.ColdShare)*float64(max(age, 0))/float64(b.terms.WarmUp)
}

// likely is the share of its capacity by which a cold upstream gets turns, between the least and all.
func (b *Balancer) likely(i int) float64 { return math.Sqrt(b.warmth(i)) }

// fill pays a cold upstream for what warm ones of its weight settle, cut to its least warmth, times half of
// what makes it fall. Danger: overfed by all it falls for good; paid less, a new list jams its few warm ones.
func (b *Balancer) fill(i int) float64 {
	rate := b.pace * b.part[i] * b.warmth(i) * b.terms.FallMultiple / 2 / b.beside
	if b.pace == 0 {
		rate = min(1, 2/float64(b.met)) / b.beside / float64(b.terms.FallSpan) // no warm one to learn from
	}
	hold := 1 + rate*float64(b.terms.FallSpan)/4
	b.purse[i] = min(hold, b.purse[i]+rate*float64(b.now-b.filled[i]))
	b.filled[i] = b.now
	return b.purse[i]
}

// funded reports whether the bucket pays for a push; losers that still run stay charged to it.
func (b *Balancer) funded() bool { return b.bucket-float64(b.losers) >= 1 }

// gated reports whether copying pauses because outcomes are bad.
func (b *Balancer) gated() bool {
	bad := sum(b.faults[:])
	return bad >= 2 && float64(bad) > gateAt*float64(sum(b.results[:]))
}

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

// admit reports whether there is room for a client's transaction now.
func (b *Balancer) admit(t *Transaction) bool {
	if b.terms.Layer > 0 {
		return true // work is already in it: turned away here, all of that is lost
	}
	if b.each == 0 {
		b.expect()
	}
	room := b.room
	if t.value < t.tariff.Earnings {
		room *= 0.85
	}
	// Danger: with few in hand chance alone fills a fixed bound, while all balancers together have room. So the
	// bound holds for the mean, and the more balancers there are, the more may stand above it for a while.
	crew := float64(len(b.peers) + 1)
	chance := 2 * math.Sqrt(room/crew) * (1 - 1/math.Sqrt(float64(b.terms.Balancers)/crew))
	return b.mean < room && b.counted() < room+chance
}

// expect sets the bound until more is known: some for each upstream and balancer, but no more than customers
// send, each for the time that is usual. Danger: two for each of hundreds are more than a list bears.
func (b *Balancer) expect() {
	n, _ := b.serving()
	held := firstHeld*float64(n) + 2*float64(b.terms.Balancers)
	if b.shares > 0 {
		held = min(held, b.shares)
	}
	b.each = held / float64(max(n, 1))
	b.room = held / float64(b.terms.Balancers)
}

// counted is what is in hand and takes up room, not what hangs; with peers, the mean of theirs and its own.
func (b *Balancer) counted() float64 {
	if len(b.peers) == 0 {
		return float64(b.open - b.stuckAll)
	}
	all := 0.0
	for _, i := range b.own {
		if b.aside[i] == 0 {
			all += b.holds(i)
		}
	}
	return all / float64(len(b.peers)+1)
}

// appraise sets what a transaction may earn, by which the line is ordered.
func (b *Balancer) appraise(t *Transaction) {
	t.value = t.tariff.Earnings
	if t.again {
		t.value /= 10 // much of its contract time is gone already
	}
	if c := t.customer; c != nil {
		rate := c.Rate / float64(b.terms.Balancers)
		// Danger: a part of under one transaction a second, and all that a customer sends is beyond its share.
		c.purse = min(2*rate+chanceCome, c.purse+rate*float64(b.now-c.filled)/float64(s))
		c.filled = b.now
		if c.purse < 1 {
			t.value *= b.terms.BeyondShare
		} else {
			c.purse--
		}
	}
}

// queue lets a transaction wait for room, unless the line is so long that the wait would end in a deferral.
func (b *Balancer) queue(t *Transaction) {
	patience := (t.contract - t.arrived) / 12
	if t.inLine {
		b.schedule(t, t.arrived+patience) // its last byte may have come meanwhile
		if b.now >= t.arrived+patience {
			b.end(t, NoRoom)
		}
		return
	}
	place := len(b.line)
	for place > 0 && b.line[place-1].value < t.value {
		place--
	}
	if float64(place) > b.rate*float64(patience)+1 {
		b.end(t, LineFull)
		return
	}
	t.inLine = true
	b.line = slices.Insert(b.line, place, t)
	b.schedule(t, t.arrived+patience)
}

// serve takes from the line while there is room, what earns most first.
func (b *Balancer) serve() {
	b.line = slices.DeleteFunc(b.line, func(t *Transaction) bool { return t.over })
	n := 0
	for ; n < len(b.line) && b.admit(b.line[n]); n++ {
		b.decide(b.line[n])
	}
	b.line = slices.Delete(b.line, 0, n)
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

// makeRoom bounds what is in hand by what it does to the time that an answer takes. Danger: upstreams that
// hold far more than they can work on turn slower and stay so; the line here costs nothing.
func (b *Balancer) makeRoom(span float64) {
	if b.beats++; b.came+b.asked == 0 { // at first the means are over what there is
		b.beats = 0
		return
	}
	// Danger: where few come in chance looks like a crowd; so the means are over time enough for many.
	seen := max(b.longRate, 1/float64(10*s))
	short := max(1/b.beats, min(1, span/max(float64(s), 20/seen)))
	long := max(1/b.beats, min(1, span/max(float64(5*s), 100/seen)))
	b.rate += short * (b.ends/span - b.rate)
	b.load += short * (b.inHand - b.load)
	b.longRate += long * (b.ends/span - b.longRate)
	b.longLoad += long * (b.inHand - b.longLoad)
	b.longHand += long * (float64(b.open-b.stuckAll) - b.longHand)
	n, strength := b.serving()
	b.strength += long * (strength - b.strength)
	b.asked += long * (b.came/span - b.asked)
	b.ends, b.came = 0, 0
	// Danger: one that is sent several times the mean would fill its part of the list while the rest is idle.
	times := b.asked / max(b.fair, 1e-12)
	wide, several := max(1, math.Round(times)), b.fair > 0 && !b.terms.Peers && b.met < b.terms.Balancers
	if several && b.beats >= 5 && (times > 1.6*b.wide || wide < b.wide/2) {
		b.room, b.wide, b.moved = b.room*wide/b.wide, wide, true
	}
	if b.beats < 10 || b.longRate*float64(s) < 1 {
		return
	}
	// By Little's law, load over rate is the mean share of its contract time that a transaction takes.
	usual := b.longLoad / b.longRate
	if b.base == 0 {
		b.base = ample // a balancer started amid a crowd would take that for usual
	}
	few := 0.8 + 2/min(10, math.Sqrt(b.longRate*span/long)) // danger: the least of few passes for usual
	b.base = min(ample, usual*few, b.base*(1+span/float64(300*s)))
	b.best = max(b.best*(1-span/float64(40*s)), b.longRate/b.strength)
	first := b.each * float64(n) / float64(b.terms.Balancers)
	bear, held, mix, most := crowded, float64(b.open), b.counted()/max(b.inHand, 1e-9), 0.0
	if len(b.peers) > 0 {
		// Danger: one with half a transaction in hand has nobody at most moments, and its least mean is chance.
		b.base, bear, held = ample, crowdedAll, b.counted()
		mix, most = b.longHand/max(b.longLoad, 1e-12), mostHeld*first
	}
	// What sustains the best rate at the least time taken, in transactions as they are mixed.
	full := b.best * strength * b.base * mix // danger: what is left must not be sent what the whole bore
	if b.slowness() > bear*b.base {
		b.room = max(fewHeld*first, 0.8*full, 0.93*min(b.room, held))
	} else if b.counted() > 0.8*b.room {
		b.room = min(b.room+max(1/float64(len(b.peers)+1), 0.06*b.room), max(fewHeld*first, most, 2*full))
	}
}

// slowness is the share of its contract time that a transaction takes now, here and as peers say.
func (b *Balancer) slowness() float64 {
	all, n := b.load/b.rate, 1.0
	for _, peer := range b.peers {
		if b.now < b.saidAt[peer]+heardFor {
			all, n = all+b.saidSlow[peer], n+1
		}
	}
	return all / n
}

// serving counts the upstreams in service, and what they can do now in units of weight.
func (b *Balancer) serving() (n int, strength float64) {
	for i, ready := range b.ready {
		if ready && b.aside[i] == 0 {
			n++
			strength += b.part[i] * b.warmth(i)
		}
	}
	return n, strength
}

// estimate reads the live quantile off the window.
func (b *Balancer) estimate() {
	if b.trigger = 0; sum(b.samples[:]) < minSamples {
		return
	}
	// Danger: a copy costs its loser's connection; what each of many sends twice adds up, tier by tier.
	others := float64(b.terms.Balancers-1) / many
	b.trigger = max(minDelay, b.reach(1-max(copiedMany, copied/(1+others*others))))
}

// reach is the time within which a part of the window's pushes was answered.
func (b *Balancer) reach(part float64) int64 {
	above := int(float64(sum(b.samples[:])) * (1 - part))
	for k := buckets - 1; k >= 0; k-- {
		for p := range b.latency {
			above -= int(b.latency[p][k])
		}
		if above < 0 {
			return int64(float64(ms) * math.Pow(1.1, float64(k+1)))
		}
	}
	return 0
}

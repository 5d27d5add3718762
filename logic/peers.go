package logic

import "math"

// What balancers of a pool tell one another.

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

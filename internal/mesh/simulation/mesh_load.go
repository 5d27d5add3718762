package simulation

import (
	"ottershift/internal/mesh/ratelimit"
)

// demand is what the tenant sends, at balancers drawn by chance; it moves about in the middle third.
func (w *meshWorld) demand() {
	chance := w.Chance("demand")
	var next func()
	next = func() {
		if w.Now >= w.Length {
			return
		}
		times, part := w.Demand, w.Proxies
		if w.Now > w.Length/3 && w.Now < 2*w.Length/3 {
			times *= w.Hot
			if w.Hot > 1 {
				part = max(1, w.Proxies/3) // where the rush is, another third each second
			}
		}
		b := w.proxies[(chance.IntN(part)+int(w.Now/S)*7)%w.Proxies]
		if b.up {
			w.day.Asked++
			within := times <= 1
			if within {
				w.day.Within++
			}
			w.take(b, 0, within)
		}
		w.After(int64(chance.ExpFloat64()/(w.Rate*times)*1e9), next)
	}
	w.After(4*S, next)
}

func (w *meshWorld) take(b *proxyModel, round int, within bool) {
	verdict, _ := b.wallet.Take("t", w.Now, round == 2)
	switch verdict {
	case ratelimit.Allowed:
		w.pass = append(w.pass, w.Now)
		w.day.Passed++
		if b.wallet.ShouldRequest(w.Now) {
			w.drawFrom(b, b.life)
		}
	case ratelimit.RequestTokens:
		life, done := b.life, false
		again := func() {
			if !done && b.life == life {
				done = true
				w.take(b, round+1, within)
			}
		}
		b.waiting = append(b.waiting, again)
		w.After(60*Ms, again)
		w.drawFrom(b, b.life)
	default:
		if w.day.Refused++; within {
			w.day.RefusedWithin++
		}
	}
}

// watch measures how long it takes until all who are there know a change.
func (w *meshWorld) watch(b *proxyModel, seq uint64, at int64) {
	w.After(5*Ms, func() {
		for _, other := range w.proxies {
			if other.up && other != b && w.Now >= other.cut && w.Now >= w.cutZ[other.zone] && w.Now >= w.cutZ[b.zone] && other.saw[b.nest.Name] < seq {
				if w.Now-at < 5*S && b.up {
					w.watch(b, seq, at)
				}
				return
			}
		}
		w.day.Stale = max(w.day.Stale, w.Now-at)
	})
}

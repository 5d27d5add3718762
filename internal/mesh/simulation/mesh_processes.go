package simulation

import (
	"fmt"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
)

type proxyModel struct {
	n, zone int
	up      bool
	cut     int64
	life    int
	wallet  *ratelimit.Wallet
	drawing bool
	need    bool // somebody wants another draw after the one under way
	have    membership.Position
	nest    membership.Node
	saw     map[string]uint64 // seq by node
	asking  int
	waiting []func()
	draw    func(int)
}

type controllerModel struct {
	n     int
	up    bool
	life  int
	cell  *membership.Registry
	sent  map[int]uint64
	hang  []func() // asks that wait for news
	bank  *ratelimit.TokenBank
	from  int64
	reign int
	asks  int
}

func (w *meshWorld) startController(c *controllerModel) {
	c.life++
	c.up, c.cell, c.sent, c.hang, c.bank = true, membership.NewRegistry(), map[int]uint64{}, nil, nil
	life := c.life
	var tend func()
	tend = func() {
		if !c.up || c.life != life {
			return
		}
		if c.cell.Expire(w.Now) {
			w.notifyWatchers(c)
		}
		w.gossip(c)
		w.appointCoordinator()
		w.After(250*Ms, tend)
	}
	w.After(int64(w.net.IntN(250))*Ms, tend)
}

// mingle tells the other processes what is new, and who was heard directly.
func (w *meshWorld) gossip(c *controllerModel) {
	for _, to := range w.controllers {
		if to == c || !to.up || w.apart(c.n, to.n) {
			continue
		}
		seq, upto := c.sent[to.n], c.cell.Seq()
		var nests []membership.Record
		if seq < upto {
			nests, _, _ = c.cell.ChangesSince(seq, w.Now)
		}
		beats, life := c.cell.OwnRenewals(w.Now), to.life
		w.day.Bytes += 220*len(nests) + 60*len(beats) + 200
		w.After(w.link(c.n, to.n), func() {
			if !to.up || to.life != life {
				return
			}
			news := false
			for _, n := range nests {
				if !n.Lost {
					news = to.cell.Observe(n.Node, n.Age, w.Now, false) || news
				}
			}
			renewed, more := to.cell.Renew(beats, w.Now)
			if c.sent[to.n] = upto; more {
				c.sent[to.n] = 0
			}
			if news || renewed {
				w.notifyWatchers(to)
			}
		})
	}
}

func (w *meshWorld) notifyWatchers(c *controllerModel) {
	hang := c.hang
	c.hang = nil
	for _, wake := range hang {
		wake()
	}
}

// epochs has the first process that is there take the duty once the one before is gone for as long as it takes to see.
func (w *meshWorld) appointCoordinator() {
	if w.coordinator >= 0 && w.controllers[w.coordinator].up {
		return
	}
	gone := w.coordinator
	w.coordinator = -2
	w.After(950*Ms, func() {
		for _, c := range w.controllers {
			if c.up {
				w.coordinator = c.n
				w.reign++
				c.bank, c.from, c.reign = ratelimit.NewTokenBank(w.Now), w.Now+850*Ms, w.reign
				if w.NoGracePeriod {
					c.bank, c.from = ratelimit.NewTokenBank(w.Now-ratelimit.GrantExpiry), w.Now
				}
				c.bank.SetLimits(map[string]ratelimit.Limit{"t": w.limit}, w.Proxies, w.Now)
				return
			}
		}
		w.coordinator = gone
	})
}

func (w *meshWorld) startProxy(b *proxyModel) {
	b.life++
	life := b.life
	b.up, b.drawing, b.have, b.saw, b.waiting = true, false, membership.Position{}, map[string]uint64{}, nil
	b.wallet = ratelimit.NewWallet(w.Now)
	b.wallet.SetLimits(map[string]ratelimit.Limit{"t": w.limit}, w.Proxies, w.Now)
	if w.FullBucket {
		b.wallet.ApplyGrants(map[string]ratelimit.TokenGrant{"t": {Tokens: w.Surge / float64(w.Proxies) * 6}}, w.Now, w.Now)
	}
	b.nest.Name, b.nest.Incarnation, b.nest.Zone = fmt.Sprint("n", b.n), fmt.Sprint(b.life), fmt.Sprint(b.zone)
	b.nest.Upstream = &membership.Upstream{ID: fmt.Sprint("i", b.n), Service: "s", Capacity: 6}
	w.asks(b, life, 0)
	b.draw = func(at int) { w.drawFrom(b, at) }
	var beat func()
	beat = func() {
		if b.up && b.life == life {
			b.draw(life)
			w.After(350*Ms, beat)
		}
	}
	w.After(int64(w.net.IntN(350))*Ms, beat)
}

// asks is a balancer's loop: it asks one process of the core, its own zone's first, and the next where that is silent.
func (w *meshWorld) asks(b *proxyModel, life, turn int) {
	if !b.up || b.life != life {
		return
	}
	c := w.controllers[(b.zone+turn)%len(w.controllers)]
	b.asking++
	this, over := b.asking, false
	b.nest.Seq = max(b.nest.Seq, 1)
	have, nest := b.have, b.nest
	up := *b.nest.Upstream
	nest.Upstream = &up
	retry := func() {
		if !over && b.asking == this {
			over = true
			w.asks(b, life, turn+1)
		}
	}
	w.After(900*Ms, retry)
	w.After(w.link(b.zone, c.n), func() {
		if !c.up || w.Now < b.cut || w.apart(b.zone, c.n) {
			return
		}
		w.day.Asks++
		c.asks++
		w.day.Bytes += 420
		cl := c.life
		if c.cell.Observe(nest, 0, w.Now, true) {
			w.notifyWatchers(c)
			w.After(0, func() { w.gossip(c) })
		}
		answered := false
		answer := func() {
			if answered || !c.up || c.life != cl {
				return
			}
			answered = true
			seq := have.Seq
			if have.Controller != fmt.Sprint(c.n, ".", cl) {
				seq = 0
			}
			nests, _, _ := c.cell.ChangesSince(seq, w.Now)
			at := c.cell.Seq()
			w.day.Bytes += 240 + 220*len(nests)
			w.After(w.link(b.zone, c.n), func() {
				if over || !b.up || b.life != life || b.asking != this || w.Now < b.cut {
					return
				}
				over = true
				b.have = membership.Position{Controller: fmt.Sprint(c.n, ".", cl), Seq: at}
				for _, n := range nests {
					b.saw[n.Name] = max(b.saw[n.Name], n.Seq)
				}
				w.asks(b, life, 0)
			})
		}
		w.After(600*Ms, answer)
		if have.Controller != fmt.Sprint(c.n, ".", cl) || have.Seq != c.cell.Seq() {
			answer()
		} else {
			c.hang = append(c.hang, func() { w.After(15*Ms, answer) })
		}
	})
}

// drawFrom is one draw at the bank.
func (w *meshWorld) drawFrom(b *proxyModel, life int) {
	if b.need = true; b.drawing || !b.up || b.life != life || w.coordinator < 0 {
		return
	}
	b.need = false
	c := w.controllers[w.coordinator]
	b.drawing = true
	d, sent := b.wallet.NewRequest(b.nest.Name, fmt.Sprint(b.life), w.Now), w.Now
	w.day.Draws++
	w.day.Bytes += 260
	over := false
	end := func() {
		if over || b.life != life {
			return
		}
		over = true
		w.After(12*Ms, func() {
			if b.life == life {
				b.drawing = false
				if b.need || b.wallet.ShouldRequest(w.Now) {
					w.drawFrom(b, life)
				}
			}
		})
		waiting := b.waiting
		b.waiting = nil
		for _, wake := range waiting {
			wake()
		}
	}
	w.After(300*Ms, end)
	w.After(w.link(b.zone, c.n), func() {
		if !c.up || w.Now < b.cut || w.apart(b.zone, c.n) || c.bank == nil || w.Now < c.from || w.coordinator != c.n && !w.NoGracePeriod {
			return
		}
		given := c.bank.Grant(d, w.Now)
		w.After(w.link(b.zone, c.n), func() {
			if over || b.life != life || w.Now < b.cut {
				return
			}
			b.wallet.ApplyGrants(given, sent, w.Now)
			end()
		})
	})
}

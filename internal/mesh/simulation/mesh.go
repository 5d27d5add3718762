package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
)

// Mesh is a day of balancers around a core that agrees: leases, news, and the quota of one tenant, at sizes that nobody
// has machines for. The core's own agreement is Core's affair; here its processes tell one another what they hear, and
// the first of them that is there keeps the bank.
type Mesh struct {
	Zones, Proxies            int
	Length                    int64
	Delay, Cross              int64 // one way, within a zone and between two
	Rate, Surge               float64
	Demand                    float64 // of the tenant's rate, that it sends
	Hot                       float64 // times as much, in the middle third
	Kills, KillAlls, Cuts     int     // of proxies
	ControllerKills, ZoneCuts int
	FullBucket, NoGracePeriod bool    // guards left out
	News                      int     // changes of upstreams, by chance spread over the day
	Faults                    []Fault // these, in place of so many by chance
}

type meshFile struct {
	Zones, Proxies, Kills, Cuts, News int
	KillAlls                          int `toml:"kill_alls"`
	ControllerKills                   int `toml:"controller_kills"`
	ZoneCuts                          int `toml:"zone_cuts"`
	Length, Delay, Cross              span
	Rate, Surge, Demand, Hot          float64
	FullBucket                        bool `toml:"full_bucket"`
	NoGracePeriod                     bool `toml:"no_grace_period"`
	Faults                            []Fault
}

func plainMesh() meshFile {
	return meshFile{Zones: 4, Length: span(30 * S), Delay: span(Ms / 5), Cross: span(Ms / 2), Rate: 300, Surge: 300, Demand: 0.7, Hot: 1}
}

func (m meshFile) mesh() Mesh {
	return Mesh{Zones: m.Zones, Proxies: m.Proxies, Length: int64(m.Length), Delay: int64(m.Delay), Cross: int64(m.Cross), Rate: m.Rate,
		Surge: m.Surge, Demand: m.Demand, Hot: m.Hot, Kills: m.Kills, KillAlls: m.KillAlls, Cuts: m.Cuts, ControllerKills: m.ControllerKills,
		ZoneCuts: m.ZoneCuts, FullBucket: m.FullBucket, NoGracePeriod: m.NoGracePeriod, News: m.News, Faults: m.Faults}
}

// MeshDay is what came of one.
type MeshDay struct {
	Broken                 []string
	Asked, Passed, Refused int // of the tenant
	Within                 int // asked while the tenant was within its rate
	RefusedWithin          int
	Window, Bound          float64 // the most that passed in a window, and what is allowed
	Asks, Draws, Bytes     int     // calls at the core, and what they carried, by estimate of their JSON
	ControllerRequests     int     // at the busiest process
	Stale                  int64   // the longest until all balancers that are there knew a change of an upstream
}

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

type meshWorld struct {
	*World
	Mesh
	day         MeshDay
	net         *rand.Rand
	controllers []*controllerModel
	proxies     []*proxyModel
	pass        []int64
	reign       int
	coordinator int
	cutZ        map[int]int64
	limit       ratelimit.Limit
}

// Play plays one day.
func (m Mesh) Play(seed uint64) *MeshDay {
	w := &meshWorld{World: NewWorld(seed), Mesh: m, cutZ: map[int]int64{}, coordinator: -1,
		limit: ratelimit.Limit{Rate: m.Rate, Surge: m.Surge, Window: 5 * S, Over: 0.1, Slack: 20}}
	w.net = w.Chance("net")
	for z := range m.Zones {
		c := &controllerModel{n: z}
		w.controllers = append(w.controllers, c)
		w.startController(c)
	}
	for n := range m.Proxies {
		b := &proxyModel{n: n, zone: n % m.Zones}
		w.proxies = append(w.proxies, b)
		w.After(int64(w.net.IntN(300))*Ms, func() { w.startProxy(b) })
	}
	w.trouble()
	w.demand()
	w.Run(m.Length)
	w.judge()
	return &w.day
}

func (w *meshWorld) link(a, b int) int64 {
	d := w.Delay
	if a != b {
		d = w.Cross
	}
	return d + int64(w.net.Float64()*float64(d))
}

func (w *meshWorld) apart(a, b int) bool { return a != b && (w.Now < w.cutZ[a] || w.Now < w.cutZ[b]) }

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
					c.bank, c.from = ratelimit.NewTokenBank(w.Now-ratelimit.Forget), w.Now
				}
				c.bank.Set(map[string]ratelimit.Limit{"t": w.limit}, w.Proxies, w.Now)
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
	b.wallet.Set(map[string]ratelimit.Limit{"t": w.limit}, w.Proxies, w.Now)
	if w.FullBucket {
		b.wallet.ApplyGrant(map[string]ratelimit.TokenGrant{"t": {Tokens: w.Surge / float64(w.Proxies) * 6}}, w.Now, w.Now)
	}
	b.nest.Name, b.nest.Life, b.nest.District = fmt.Sprint("n", b.n), fmt.Sprint(b.life), fmt.Sprint(b.zone)
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
				if b.need || b.wallet.Wants(w.Now) {
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
			b.wallet.ApplyGrant(given, sent, w.Now)
			end()
		})
	})
}

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
	case ratelimit.Pass:
		w.pass = append(w.pass, w.Now)
		w.day.Passed++
		if b.wallet.Wants(w.Now) {
			w.drawFrom(b, b.life)
		}
	case ratelimit.Ask:
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

// draws are the faults of a day, by chance from how many of each there are to be.
func (w *meshWorld) draws() (all []Fault) {
	chance := w.Chance("trouble")
	for _, of := range []struct {
		n                  int
		kind               string
		who, least, spread int
	}{
		{w.Kills, Kill, w.Proxies, 100, 2000}, {w.KillAlls, KillAll, 1, 300, 1}, {w.Cuts, Cut, w.Proxies, 500, 6000},
		{w.ControllerKills, CombKill, len(w.controllers), 300, 4000}, {w.ZoneCuts, ZoneCut, w.Zones, 2000, 6000},
	} {
		for range of.n {
			all = append(all, Fault{Kind: of.kind, Who: chance.IntN(of.who), For: span(int64(of.least+chance.IntN(of.spread)) * Ms),
				At: span(5*S + int64(chance.Float64()*float64(max(w.Length-10*S, S))))})
		}
	}
	return all
}

// befall has one fault happen.
func (w *meshWorld) befall(f Fault) {
	long := int64(f.For)
	restart := func(b *proxyModel, down int64) {
		if !b.up {
			return
		}
		b.up = false
		b.life++
		w.After(down, func() { w.startProxy(b) })
	}
	switch f.Kind {
	case Kill:
		restart(w.proxies[f.Who%w.Proxies], long)
	case KillAll:
		for _, b := range w.proxies {
			restart(b, long+int64(b.n%7)*50*Ms)
		}
	case Cut:
		w.proxies[f.Who%w.Proxies].cut = w.Now + long
	case CombKill:
		if c := w.controllers[f.Who%len(w.controllers)]; c.up {
			c.up = false
			w.After(long, func() { w.startController(c) })
		}
	case ZoneCut:
		w.cutZ[f.Who%w.Zones] = w.Now + long
	}
}

// trouble has things go wrong, and upstreams change.
func (w *meshWorld) trouble() {
	faults := w.Faults
	if faults == nil {
		faults = w.draws()
	}
	for _, f := range faults {
		w.After(int64(f.At), func() { w.befall(f) })
	}
	chance := w.Chance("news")
	when := func() int64 { return 5*S + int64(chance.Float64()*float64(max(w.Length-10*S, S))) }
	for range w.News {
		b := w.proxies[chance.IntN(w.Proxies)]
		w.After(when(), func() {
			if !b.up || w.Now < b.cut {
				return
			}
			b.nest.Seq = max(b.nest.Seq, 1) + 1
			up := *b.nest.Upstream
			up.Closing = !up.Closing
			b.nest.Upstream = &up
			seq, at := b.nest.Seq, w.Now
			w.asks(b, b.life, 0) // told at once
			w.watch(b, seq, at)
		})
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

// judge holds what passed against the rule, in every window.
func (w *meshWorld) judge() {
	sort.Slice(w.pass, func(a, b int) bool { return w.pass[a] < w.pass[b] })
	for a, b := 0, 0; b < len(w.pass); b++ {
		for w.pass[b]-w.pass[a] > w.limit.Window {
			a++
		}
		w.day.Window = math.Max(w.day.Window, float64(b-a+1))
	}
	if w.day.Bound = w.limit.Bound(); w.day.Window > w.day.Bound {
		w.day.Broken = append(w.day.Broken, fmt.Sprintf("QUOTA: %.0f passed in a window, %.0f are allowed", w.day.Window, w.day.Bound))
	}
	for _, c := range w.controllers {
		w.day.ControllerRequests = max(w.day.ControllerRequests, c.asks)
	}
}

func (d *MeshDay) shown() map[string]float64 {
	share := 0.0
	if d.Within > 0 {
		share = float64(d.RefusedWithin) / float64(d.Within)
	}
	return map[string]float64{"asked": float64(d.Asked), "refused within": share, "most in a window": d.Window, "most allowed": d.Bound,
		"asks": float64(d.Asks), "draws": float64(d.Draws), "core KB": float64(d.Bytes) / 1000, "most news ms": float64(d.Stale) / 1e6}
}

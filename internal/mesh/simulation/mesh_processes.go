package simulation

import (
	"fmt"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
)

type proxyModel struct {
	index, zone   int
	up            bool
	cutUntil      int64
	incarnation   int
	wallet        *ratelimit.Wallet
	requesting    bool
	requestAgain  bool // somebody wants another draw after the one under way
	position      membership.Position
	node          membership.Node
	seenSeq       map[string]uint64 // seq by node
	pollID        int
	waiting       []func()
	requestTokens func(int)
}

type controllerModel struct {
	index       int
	up          bool
	incarnation int
	registry    *membership.Registry
	sentSeq     map[int]uint64
	watchers    []func() // asks that wait for news
	tokenBank   *ratelimit.TokenBank
	grantsFrom  int64
	epoch       int
	polls       int
}

func (sim *meshSimulation) startController(controller *controllerModel) {
	controller.incarnation++
	controller.up, controller.registry, controller.sentSeq, controller.watchers, controller.tokenBank = true, membership.NewRegistry(), map[int]uint64{}, nil, nil
	incarnation := controller.incarnation
	var tend func()
	tend = func() {
		if !controller.up || controller.incarnation != incarnation {
			return
		}
		if controller.registry.Expire(sim.Now) {
			sim.notifyWatchers(controller)
		}
		sim.gossip(controller)
		sim.appointCoordinator()
		sim.After(250*Ms, tend)
	}
	sim.After(int64(sim.networkRand.IntN(250))*Ms, tend)
}

// mingle tells the other processes what is new, and who was heard directly.
func (sim *meshSimulation) gossip(controller *controllerModel) {
	for _, to := range sim.controllers {
		if to == controller || !to.up || sim.zonesSeparated(controller.index, to.index) {
			continue
		}
		seq, upto := controller.sentSeq[to.index], controller.registry.Seq()
		var records []membership.Record
		if seq < upto {
			records, _, _ = controller.registry.ChangesSince(seq, sim.Now)
		}
		renewals, incarnation := controller.registry.OwnRenewals(sim.Now), to.incarnation
		sim.result.Bytes += 220*len(records) + 60*len(renewals) + 200
		sim.After(sim.latency(controller.index, to.index), func() {
			if !to.up || to.incarnation != incarnation {
				return
			}
			news := false
			for _, n := range records {
				if !n.Lost {
					news = to.registry.Observe(n.Node, n.Age, sim.Now, false) || news
				}
			}
			renewed, more := to.registry.Renew(renewals, sim.Now)
			if controller.sentSeq[to.index] = upto; more {
				controller.sentSeq[to.index] = 0
			}
			if news || renewed {
				sim.notifyWatchers(to)
			}
		})
	}
}

func (sim *meshSimulation) notifyWatchers(controller *controllerModel) {
	watchers := controller.watchers
	controller.watchers = nil
	for _, wake := range watchers {
		wake()
	}
}

// epochs has the first process that is there take the duty once the one before is gone for as long as it takes to see.
func (sim *meshSimulation) appointCoordinator() {
	if sim.coordinator >= 0 && sim.controllers[sim.coordinator].up {
		return
	}
	gone := sim.coordinator
	sim.coordinator = -2
	sim.After(950*Ms, func() {
		for _, controller := range sim.controllers {
			if controller.up {
				sim.coordinator = controller.index
				sim.epoch++
				controller.tokenBank, controller.grantsFrom, controller.epoch = ratelimit.NewTokenBank(sim.Now), sim.Now+850*Ms, sim.epoch
				if sim.NoGracePeriod {
					controller.tokenBank, controller.grantsFrom = ratelimit.NewTokenBank(sim.Now-ratelimit.GrantExpiry), sim.Now
				}
				controller.tokenBank.SetLimits(map[string]ratelimit.Limit{"t": sim.limit}, sim.Proxies, sim.Now)
				return
			}
		}
		sim.coordinator = gone
	})
}

func (sim *meshSimulation) startProxy(proxy *proxyModel) {
	proxy.incarnation++
	incarnation := proxy.incarnation
	proxy.up, proxy.requesting, proxy.position, proxy.seenSeq, proxy.waiting = true, false, membership.Position{}, map[string]uint64{}, nil
	proxy.wallet = ratelimit.NewWallet(sim.Now)
	proxy.wallet.SetLimits(map[string]ratelimit.Limit{"t": sim.limit}, sim.Proxies, sim.Now)
	if sim.FullBucket {
		proxy.wallet.ApplyGrants(map[string]ratelimit.TokenGrant{"t": {Tokens: sim.Surge / float64(sim.Proxies) * 6}}, sim.Now, sim.Now)
	}
	proxy.node.Name, proxy.node.Incarnation, proxy.node.Zone = fmt.Sprint("n", proxy.index), fmt.Sprint(proxy.incarnation), fmt.Sprint(proxy.zone)
	proxy.node.Upstream = &membership.Upstream{ID: fmt.Sprint("i", proxy.index), Service: "s", Capacity: 6}
	sim.poll(proxy, incarnation, 0)
	proxy.requestTokens = func(at int) { sim.requestTokens(proxy, at) }
	var beat func()
	beat = func() {
		if proxy.up && proxy.incarnation == incarnation {
			proxy.requestTokens(incarnation)
			sim.After(350*Ms, beat)
		}
	}
	sim.After(int64(sim.networkRand.IntN(350))*Ms, beat)
}

// poll is a balancer's loop: it asks one process of the core, its own zone's first, and the next where that is silent.
func (sim *meshSimulation) poll(proxy *proxyModel, incarnation, turn int) {
	if !proxy.up || proxy.incarnation != incarnation {
		return
	}
	controller := sim.controllers[(proxy.zone+turn)%len(sim.controllers)]
	proxy.pollID++
	this, over := proxy.pollID, false
	proxy.node.Seq = max(proxy.node.Seq, 1)
	position, node := proxy.position, proxy.node
	up := *proxy.node.Upstream
	node.Upstream = &up
	retry := func() {
		if !over && proxy.pollID == this {
			over = true
			sim.poll(proxy, incarnation, turn+1)
		}
	}
	sim.After(900*Ms, retry)
	sim.After(sim.latency(proxy.zone, controller.index), func() {
		if !controller.up || sim.Now < proxy.cutUntil || sim.zonesSeparated(proxy.zone, controller.index) {
			return
		}
		sim.result.Asks++
		controller.polls++
		sim.result.Bytes += 420
		controllerIncarnation := controller.incarnation
		if controller.registry.Observe(node, 0, sim.Now, true) {
			sim.notifyWatchers(controller)
			sim.After(0, func() { sim.gossip(controller) })
		}
		answered := false
		answer := func() {
			if answered || !controller.up || controller.incarnation != controllerIncarnation {
				return
			}
			answered = true
			seq := position.Seq
			if position.Controller != fmt.Sprint(controller.index, ".", controllerIncarnation) {
				seq = 0
			}
			records, _, _ := controller.registry.ChangesSince(seq, sim.Now)
			at := controller.registry.Seq()
			sim.result.Bytes += 240 + 220*len(records)
			sim.After(sim.latency(proxy.zone, controller.index), func() {
				if over || !proxy.up || proxy.incarnation != incarnation || proxy.pollID != this || sim.Now < proxy.cutUntil {
					return
				}
				over = true
				proxy.position = membership.Position{Controller: fmt.Sprint(controller.index, ".", controllerIncarnation), Seq: at}
				for _, n := range records {
					proxy.seenSeq[n.Name] = max(proxy.seenSeq[n.Name], n.Seq)
				}
				sim.poll(proxy, incarnation, 0)
			})
		}
		sim.After(600*Ms, answer)
		if position.Controller != fmt.Sprint(controller.index, ".", controllerIncarnation) || position.Seq != controller.registry.Seq() {
			answer()
		} else {
			controller.watchers = append(controller.watchers, func() { sim.After(15*Ms, answer) })
		}
	})
}

// requestTokens is one draw at the bank.
func (sim *meshSimulation) requestTokens(proxy *proxyModel, incarnation int) {
	if proxy.requestAgain = true; proxy.requesting || !proxy.up || proxy.incarnation != incarnation || sim.coordinator < 0 {
		return
	}
	proxy.requestAgain = false
	controller := sim.controllers[sim.coordinator]
	proxy.requesting = true
	d, sent := proxy.wallet.NewRequest(proxy.node.Name, fmt.Sprint(proxy.incarnation), sim.Now), sim.Now
	sim.result.Draws++
	sim.result.Bytes += 260
	over := false
	end := func() {
		if over || proxy.incarnation != incarnation {
			return
		}
		over = true
		sim.After(12*Ms, func() {
			if proxy.incarnation == incarnation {
				proxy.requesting = false
				if proxy.requestAgain || proxy.wallet.ShouldRequest(sim.Now) {
					sim.requestTokens(proxy, incarnation)
				}
			}
		})
		waiting := proxy.waiting
		proxy.waiting = nil
		for _, wake := range waiting {
			wake()
		}
	}
	sim.After(300*Ms, end)
	sim.After(sim.latency(proxy.zone, controller.index), func() {
		if !controller.up || sim.Now < proxy.cutUntil || sim.zonesSeparated(proxy.zone, controller.index) || controller.tokenBank == nil || sim.Now < controller.grantsFrom || sim.coordinator != controller.index && !sim.NoGracePeriod {
			return
		}
		given := controller.tokenBank.Grant(d, sim.Now)
		sim.After(sim.latency(proxy.zone, controller.index), func() {
			if over || proxy.incarnation != incarnation || sim.Now < proxy.cutUntil {
				return
			}
			proxy.wallet.ApplyGrants(given, sent, sim.Now)
			end()
		})
	})
}

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
	requestAgain  bool // another token request is needed after the one in progress
	position      membership.Position
	node          membership.Node
	seenSeq       map[string]uint64 // newest sequence number by node
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
	watchers    []func() // polls that wait for a change
	tokenBank   *ratelimit.TokenBank
	grantsFrom  int64
	epoch       int
	polls       int
}

func (sim *meshSimulation) startController(controller *controllerModel) {
	controller.incarnation++
	controller.up, controller.registry, controller.sentSeq, controller.watchers, controller.tokenBank = true, membership.NewRegistry(), map[int]uint64{}, nil, nil
	incarnation := controller.incarnation
	var maintain func()
	maintain = func() {
		if !controller.up || controller.incarnation != incarnation {
			return
		}
		if controller.registry.Expire(sim.Now) {
			sim.notifyWatchers(controller)
		}
		sim.gossip(controller)
		sim.appointCoordinator()
		sim.After(250*Millisecond, maintain)
	}
	sim.After(int64(sim.networkRand.IntN(250))*Millisecond, maintain)
}

// gossip sends membership changes and the renewals of directly connected nodes to the other controllers.
func (sim *meshSimulation) gossip(controller *controllerModel) {
	for _, peer := range sim.controllers {
		if peer == controller || !peer.up || sim.zonesSeparated(controller.index, peer.index) {
			continue
		}
		seq, upTo := controller.sentSeq[peer.index], controller.registry.Seq()
		var records []membership.Record
		if seq < upTo {
			records, _, _ = controller.registry.ChangesSince(seq, sim.Now)
		}
		renewals, incarnation := controller.registry.OwnRenewals(sim.Now), peer.incarnation
		sim.result.Bytes += 220*len(records) + 60*len(renewals) + 200
		sim.After(sim.latency(controller.index, peer.index), func() {
			if !peer.up || peer.incarnation != incarnation {
				return
			}
			changed := false
			for _, n := range records {
				if !n.Lost {
					changed = peer.registry.Observe(n.Node, n.Age, sim.Now, false) || changed
				}
			}
			renewed, incomplete := peer.registry.Renew(renewals, sim.Now)
			if controller.sentSeq[peer.index] = upTo; incomplete {
				controller.sentSeq[peer.index] = 0
			}
			if changed || renewed {
				sim.notifyWatchers(peer)
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

// appointCoordinator makes the first controller that is up the coordinator, after the time that it takes to detect
// the loss of the previous one.
func (sim *meshSimulation) appointCoordinator() {
	if sim.coordinator >= 0 && sim.controllers[sim.coordinator].up {
		return
	}
	previous := sim.coordinator
	sim.coordinator = -2
	sim.After(950*Millisecond, func() {
		for _, controller := range sim.controllers {
			if controller.up {
				sim.coordinator = controller.index
				sim.epoch++
				controller.tokenBank, controller.grantsFrom, controller.epoch = ratelimit.NewTokenBank(sim.Now), sim.Now+850*Millisecond, sim.epoch
				if sim.NoGracePeriod {
					controller.tokenBank, controller.grantsFrom = ratelimit.NewTokenBank(sim.Now-ratelimit.GrantExpiry), sim.Now
				}
				controller.tokenBank.SetLimits(map[string]ratelimit.Limit{"t": sim.limit}, sim.Proxies, sim.Now)
				return
			}
		}
		sim.coordinator = previous
	})
}

func (sim *meshSimulation) startProxy(proxy *proxyModel) {
	proxy.incarnation++
	incarnation := proxy.incarnation
	proxy.up, proxy.requesting, proxy.position, proxy.seenSeq, proxy.waiting = true, false, membership.Position{}, map[string]uint64{}, nil
	proxy.wallet = ratelimit.NewWallet(sim.Now)
	proxy.wallet.SetLimits(map[string]ratelimit.Limit{"t": sim.limit}, sim.Proxies, sim.Now)
	if sim.FullBucket {
		proxy.wallet.ApplyGrants(map[string]ratelimit.TokenGrant{"t": {Tokens: sim.Burst / float64(sim.Proxies) * 6}}, sim.Now, sim.Now)
	}
	proxy.node.Name, proxy.node.Incarnation, proxy.node.Zone = fmt.Sprint("n", proxy.index), fmt.Sprint(proxy.incarnation), fmt.Sprint(proxy.zone)
	proxy.node.Upstream = &membership.Upstream{ID: fmt.Sprint("i", proxy.index), Service: "s", Capacity: 6}
	sim.poll(proxy, incarnation, 0)
	proxy.requestTokens = func(at int) { sim.requestTokens(proxy, at) }
	var requestPeriodically func()
	requestPeriodically = func() {
		if proxy.up && proxy.incarnation == incarnation {
			proxy.requestTokens(incarnation)
			sim.After(350*Millisecond, requestPeriodically)
		}
	}
	sim.After(int64(sim.networkRand.IntN(350))*Millisecond, requestPeriodically)
}

// poll is a proxy's polling loop. It polls a controller, that of its own zone first, and after a timeout the next
// one.
func (sim *meshSimulation) poll(proxy *proxyModel, incarnation, attempt int) {
	if !proxy.up || proxy.incarnation != incarnation {
		return
	}
	controller := sim.controllers[(proxy.zone+attempt)%len(sim.controllers)]
	proxy.pollID++
	id, done := proxy.pollID, false
	proxy.node.Seq = max(proxy.node.Seq, 1)
	position, node := proxy.position, proxy.node
	upstream := *proxy.node.Upstream
	node.Upstream = &upstream
	retry := func() {
		if !done && proxy.pollID == id {
			done = true
			sim.poll(proxy, incarnation, attempt+1)
		}
	}
	sim.After(900*Millisecond, retry)
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
		responded := false
		respond := func() {
			if responded || !controller.up || controller.incarnation != controllerIncarnation {
				return
			}
			responded = true
			seq := position.Seq
			if position.Controller != fmt.Sprint(controller.index, ".", controllerIncarnation) {
				seq = 0
			}
			records, _, _ := controller.registry.ChangesSince(seq, sim.Now)
			at := controller.registry.Seq()
			sim.result.Bytes += 240 + 220*len(records)
			sim.After(sim.latency(proxy.zone, controller.index), func() {
				if done || !proxy.up || proxy.incarnation != incarnation || proxy.pollID != id || sim.Now < proxy.cutUntil {
					return
				}
				done = true
				proxy.position = membership.Position{Controller: fmt.Sprint(controller.index, ".", controllerIncarnation), Seq: at}
				for _, n := range records {
					proxy.seenSeq[n.Name] = max(proxy.seenSeq[n.Name], n.Seq)
				}
				sim.poll(proxy, incarnation, 0)
			})
		}
		sim.After(600*Millisecond, respond)
		if position.Controller != fmt.Sprint(controller.index, ".", controllerIncarnation) || position.Seq != controller.registry.Seq() {
			respond()
		} else {
			controller.watchers = append(controller.watchers, func() { sim.After(15*Millisecond, respond) })
		}
	})
}

// requestTokens sends one request to the token bank.
func (sim *meshSimulation) requestTokens(proxy *proxyModel, incarnation int) {
	if proxy.requestAgain = true; proxy.requesting || !proxy.up || proxy.incarnation != incarnation || sim.coordinator < 0 {
		return
	}
	proxy.requestAgain = false
	controller := sim.controllers[sim.coordinator]
	proxy.requesting = true
	request, sentAt := proxy.wallet.NewRequest(proxy.node.Name, fmt.Sprint(proxy.incarnation), sim.Now), sim.Now
	sim.result.Draws++
	sim.result.Bytes += 260
	done := false
	end := func() {
		if done || proxy.incarnation != incarnation {
			return
		}
		done = true
		sim.After(12*Millisecond, func() {
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
	sim.After(300*Millisecond, end)
	sim.After(sim.latency(proxy.zone, controller.index), func() {
		if !controller.up || sim.Now < proxy.cutUntil || sim.zonesSeparated(proxy.zone, controller.index) || controller.tokenBank == nil || sim.Now < controller.grantsFrom || sim.coordinator != controller.index && !sim.NoGracePeriod {
			return
		}
		grants := controller.tokenBank.Grant(request, sim.Now)
		sim.After(sim.latency(proxy.zone, controller.index), func() {
			if done || proxy.incarnation != incarnation || sim.Now < proxy.cutUntil {
				return
			}
			proxy.wallet.ApplyGrants(grants, sentAt, sim.Now)
			end()
		})
	})
}

package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/federation"
)

// PartnerScenario is a day on which a partner narrows and widens what it exports, over and over, under load: balancers at which requests
// begin, others through which they leave, a core that agrees, one of its processes that takes the partner's word.
type PartnerScenario struct {
	Proxies, Controllers int
	Length               int64
	Delay                int64   // one way
	Rate                 float64 // requests a second, half of them with an effect
	Changes              int     // of the partner's table
	Cuts, Freezes, Kills int     // of balancers from the core; of balancers; of the taker
	CutFor               int64
	Busy                 float64 // part of the requests that wait at the door before they leave
	Turned               float64 // part that the partner turns away, not run
	Guard                string  // left out
}

type partnerSettings struct {
	Proxies, Controllers, Changes, Cuts, Freezes, Kills int
	Length, Delay                                       duration
	CutFor                                              duration `toml:"cut_for"`
	Rate, Busy, Turned                                  float64
	Guard                                               string
}

func defaultPartner() partnerSettings {
	return partnerSettings{Controllers: 3, Length: duration(60 * S), Delay: duration(Ms), Rate: 200, Changes: 10, CutFor: duration(8 * S), Busy: 0.05, Turned: 0.05}
}

func (p partnerSettings) scenario() PartnerScenario {
	return PartnerScenario{Proxies: p.Proxies, Controllers: p.Controllers, Length: int64(p.Length), Delay: int64(p.Delay), Rate: p.Rate, Changes: p.Changes, Cuts: p.Cuts,
		Freezes: p.Freezes, Kills: p.Kills, CutFor: int64(p.CutFor), Busy: p.Busy, Turned: p.Turned, Guard: p.Guard}
}

// PartnerResult is what came of one.
type PartnerResult struct {
	Broken            []string
	Asked, Ran, Twice int // requests with an effect, those that ran, and ran more than once
	Kept              int // that ran after the narrowing that forbids them was reported done
	Reads, ReadsRan   int
	Refused           int // while the partner's table allowed it, for want of a leave
	Narrowings        int
	Took              []int64 // from the partner's word until it was told that it is done
	Bound             int64
}

type partnerProxy struct {
	up           bool
	cutUntil     int64 // from the core, until then
	frozenUntil  int64
	exportPolicy *federation.ExportPolicy
	controller   int
}

type partnerController struct {
	up       bool
	registry *federation.ImportRegistry
}

type partnerSimulation struct {
	*Simulator
	PartnerScenario
	result           PartnerResult
	networkRand      *rand.Rand
	registry         *federation.ImportRegistry // agreed
	controllers      []*partnerController
	proxies          []*partnerProxy
	tracker          *federation.NarrowingTracker
	coordinator      int
	coordinatorSince int64 // since when the duty is this process's

	table            *federation.Table // the partner's, now
	narrowedEdition  int64             // edition since which effects are forbidden without a break, 0 for not
	completedEdition int64             // edition up to which narrowings were reported done
	publishedAt      map[int64]int64
	runCount         map[int]int
}

var partners = []federation.Partner{{Name: "p", Gateway: "p:1"}}

// Simulate plays one day.
func (scenario PartnerScenario) Simulate(seed uint64) *PartnerResult {
	sim := &partnerSimulation{Simulator: NewSimulator(seed), PartnerScenario: scenario, registry: federation.NewImportRegistry(), publishedAt: map[int64]int64{}, runCount: map[int]int{}}
	sim.networkRand = sim.Rand("net")
	sim.result.Bound = int64(float64(federation.AuthorizationTTL+federation.QuorumFreshness)*(1+federation.MaxClockDrift)) + federation.CheckInterval
	for range scenario.Controllers {
		sim.controllers = append(sim.controllers, &partnerController{up: true, registry: sim.registry})
	}
	for n := range scenario.Proxies {
		proxy := &partnerProxy{up: true, exportPolicy: federation.NewExportPolicy(nil), controller: n % scenario.Controllers}
		proxy.exportPolicy.DisableGuard(scenario.Guard)
		sim.proxies = append(sim.proxies, proxy)
		sim.poll(proxy)
	}
	sim.publishTable(true)
	sim.appointCoordinator(0)
	sim.coordinate()
	sim.scheduleFaults()
	sim.scheduleLoad()
	sim.RunUntil(scenario.Length)
	sim.check()
	return &sim.result
}

func (sim *partnerSimulation) latency() int64 {
	return sim.Delay + int64(sim.networkRand.Float64()*float64(sim.Delay))
}

// publishTable is the partner's next table, with effects let in or not.
func (sim *partnerSimulation) publishTable(open bool) {
	edition := int64(1)
	if sim.table != nil {
		edition = sim.table.Edition + 1
	}
	methods := []string{"GET"}
	if open {
		methods = append(methods, "POST")
		sim.narrowedEdition = 0
	} else if sim.narrowedEdition == 0 {
		sim.narrowedEdition = edition
		sim.result.Narrowings++
	}
	sim.table = &federation.Table{Partner: "p", Edition: edition, Lease: federation.Duration(20 * S),
		Exports: []federation.Export{{Service: "scans", Host: "p.example", PathPrefix: "/scans/", Methods: methods}}}
	sim.publishedAt[edition] = sim.Now
}

// appointCoordinator gives the duty to a process of the core.
func (sim *partnerSimulation) appointCoordinator(n int) {
	sim.coordinator, sim.coordinatorSince = n, sim.Now
	sim.tracker = federation.NewNarrowingTracker()
	sim.tracker.DisableGuard(sim.Guard)
}

// commit puts a changed book in force: whoever is up learns of it, one after the other.
func (sim *partnerSimulation) commit(change func(*federation.ImportRegistry)) {
	raw, err := sim.registry.Encode()
	next := sim.registry
	if err == nil {
		next, err = federation.DecodeImportRegistry(raw)
	}
	if err != nil {
		sim.result.Broken = append(sim.result.Broken, err.Error())
		return
	}
	change(next)
	sim.registry = next
	for _, controller := range sim.controllers {
		sim.After(int64(sim.networkRand.Float64()*60)*Ms, func() {
			if controller.up && controller.registry.Revision <= next.Revision {
				controller.registry = next
			}
		})
	}
}

// coordinate is the taker's loop: the partner's word, and what is done.
func (sim *partnerSimulation) coordinate() {
	sim.After(federation.CheckInterval, sim.coordinate)
	controller := sim.controllers[sim.coordinator]
	if !controller.up {
		return
	}
	word := sim.table
	sim.After(2*sim.latency(), func() {
		if !controller.up {
			return
		}
		sim.commit(func(registry *federation.ImportRegistry) { registry.ApplyTable(word, fmt.Sprint(word.Edition)) })
	})
	for partner, no := range sim.tracker.Due(sim.registry, sim.Now) {
		sim.commit(func(registry *federation.ImportRegistry) { registry.CompleteNarrowing(partner, no) })
	}
	if i := sim.registry.Partners["p"]; i != nil && i.AnnouncedEdition > sim.completedEdition {
		edition := i.AnnouncedEdition
		sim.After(sim.latency(), func() {
			for e := sim.completedEdition + 1; e <= edition; e++ {
				if at, is := sim.publishedAt[e]; is && e == sim.narrowedEdition {
					sim.result.Took = append(sim.result.Took, sim.Now-at)
				}
			}
			sim.completedEdition = max(sim.completedEdition, edition)
		})
	}
}

// poll is a balancer's loop at the core.
func (sim *partnerSimulation) poll(proxy *partnerProxy) {
	again := func() { sim.After(int64(100+sim.networkRand.IntN(500))*Ms, func() { sim.poll(proxy) }) }
	if sim.Now < proxy.frozenUntil {
		sim.After(proxy.frozenUntil-sim.Now, func() { sim.poll(proxy) })
		return
	}
	asked, controller := sim.Now, sim.controllers[proxy.controller]
	if !proxy.up || sim.Now < proxy.cutUntil || !controller.up {
		proxy.controller = (proxy.controller + 1) % len(sim.controllers)
		again()
		return
	}
	sim.After(sim.latency(), func() {
		if !controller.up {
			again()
			return
		}
		book := controller.registry
		sim.After(sim.latency(), func() {
			if proxy.up && sim.Now >= proxy.frozenUntil && sim.Now >= proxy.cutUntil {
				proxy.exportPolicy.Update(book, partners, nil, len(sim.proxies), sim.Now)
				proxy.exportPolicy.Authorize(book.Revision, asked)
			}
			again()
		})
	})
}

// scheduleLoad has requests begin at balancers and leave through others.
func (sim *partnerSimulation) scheduleLoad() {
	rng := sim.Rand("load")
	id := 0
	var next func()
	next = func() {
		if sim.Now > sim.Length-8*S {
			return
		}
		id++
		sim.beginRequest(id, rng.IntN(2) == 0, rng)
		sim.After(int64(rng.ExpFloat64()/sim.Rate*1e9), next)
	}
	sim.After(3*S, next)
}

func (sim *partnerSimulation) beginRequest(id int, effect bool, rng *rand.Rand) {
	at := sim.proxies[rng.IntN(len(sim.proxies))]
	method := "GET"
	if effect {
		method = "POST"
		sim.result.Asked++
	} else {
		sim.result.Reads++
	}
	sim.attempt(id, at, method, 0, rng)
}

// attempt is one try: decided where it begins, and again where it leaves.
func (sim *partnerSimulation) attempt(id int, at *partnerProxy, method string, try int, rng *rand.Rand) {
	if !at.up || sim.Now < at.frozenUntil {
		return
	}
	again := sim.Guard == federation.RetryAfterNarrowing && try > 0
	if !again {
		if _, decision := at.exportPolicy.Decide(method, "p.example", "/scans/1", sim.Now); decision != federation.Open {
			if decision == federation.Unconfirmed && (method == "GET" || sim.narrowedEdition == 0) {
				sim.result.Refused++
			}
			return
		}
	}
	egress := sim.proxies[rng.IntN(len(sim.proxies))]
	wait := sim.latency()
	if rng.Float64() < sim.Busy {
		wait += int64(rng.IntN(4000)) * Ms
	}
	var leave func()
	leave = func() {
		if sim.Now < egress.frozenUntil {
			sim.After(egress.frozenUntil-sim.Now, leave) // it goes on where it stood
			return
		}
		if !egress.up {
			return
		}
		if !again && sim.Guard != federation.SinglePolicyCheck {
			if _, decision := egress.exportPolicy.Admit("p", method, "p.example", "/scans/1", sim.Now); decision != federation.Open {
				return // turned away, with the proof that it has not run
			}
		}
		sim.After(sim.latency(), func() {
			if rng.Float64() < sim.Turned {
				sim.After(int64(200+rng.IntN(1500))*Ms, func() {
					if try < 2 {
						sim.attempt(id, at, method, try+1, rng)
					}
				})
				return
			}
			sim.execute(id, method)
		})
	}
	sim.After(wait, leave)
}

// execute is a request at the partner's service.
func (sim *partnerSimulation) execute(id int, method string) {
	if method == "GET" {
		sim.result.ReadsRan++
		return
	}
	sim.result.Ran++
	if sim.runCount[id]++; sim.runCount[id] > 1 {
		sim.result.Twice++
	}
	if sim.narrowedEdition > 0 && sim.completedEdition >= sim.narrowedEdition {
		sim.result.Kept++
	}
}

func (sim *partnerSimulation) scheduleFaults() {
	rng := sim.Rand("trouble")
	when := func() int64 { return 4*S + int64(rng.Float64()*float64(sim.Length-14*S)) }
	at := 4 * S
	for n := range sim.Changes {
		at += int64(rng.Float64() * 2 * float64(sim.Length-14*S) / float64(max(sim.Changes, 1)))
		at = min(at, sim.Length-10*S)
		sim.After(at, func() { sim.publishTable(n%2 == 1) })
		if rng.IntN(4) == 0 { // narrowed, widened and narrowed within a second
			sim.After(at+300*Ms, func() { sim.publishTable(true) })
			sim.After(at+600*Ms, func() { sim.publishTable(false) })
		}
	}
	for range sim.Cuts {
		proxy := sim.proxies[rng.IntN(len(sim.proxies))]
		sim.After(when(), func() { proxy.cutUntil = sim.Now + sim.CutFor })
	}
	for range sim.Freezes {
		proxy, length := sim.proxies[rng.IntN(len(sim.proxies))], int64(1000+rng.IntN(6000))*Ms
		sim.After(when(), func() { proxy.frozenUntil = sim.Now + length })
	}
	for range sim.Kills {
		sim.After(when(), func() {
			controller := sim.controllers[sim.coordinator]
			if !controller.up {
				return
			}
			controller.up = false
			next := (sim.coordinator + 1) % len(sim.controllers)
			sim.After(1500*Ms, func() { sim.appointCoordinator(next) })
			sim.After(3*S, func() { controller.up, controller.registry = true, sim.registry })
		})
	}
}

func (sim *partnerSimulation) check() {
	if sim.result.Kept > 0 {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("KEPT: %d effects ran after their narrowing was reported done", sim.result.Kept))
	}
	if sim.result.Twice > 0 {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("TWICE: %d effects ran again", sim.result.Twice))
	}
	if sim.result.Narrowings > 0 && sim.narrowedEdition > 0 && sim.completedEdition < sim.narrowedEdition {
		sim.result.Broken = append(sim.result.Broken, "UNTOLD: the last narrowing was never reported done")
	}
}

func (d *PartnerResult) metrics() map[string]float64 {
	worst, sum := int64(0), int64(0)
	for _, t := range d.Took {
		worst, sum = max(worst, t), sum+t
	}
	return map[string]float64{"effects": float64(d.Asked), "ran": float64(d.Ran), "kept": float64(d.Kept), "twice": float64(d.Twice),
		"reads": float64(d.Reads), "reads ran": float64(d.ReadsRan), "no leave": float64(d.Refused), "narrowings": float64(d.Narrowings),
		"mean done ms": float64(sum) / math.Max(1, float64(len(d.Took))) / 1e6, "most done ms": float64(worst) / 1e6, "most bound ms": float64(d.Bound) / 1e6}
}

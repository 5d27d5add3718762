package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/federation"
)

// PartnerScenario is a simulated run in which a partner repeatedly narrows and widens its exports under load.
// Requests enter at some proxies and leave through others. The core agrees on the imports, and its coordinator
// fetches the partner's export table. Times are virtual, in nanoseconds.
type PartnerScenario struct {
	Proxies, Controllers int
	Length               int64
	Delay                int64   // one way
	Rate                 float64 // requests a second, half of them with an effect
	Changes              int     // of the partner's export table
	Cuts, Freezes, Kills int     // cuts of proxies from the core; freezes of proxies; kills of the coordinator
	CutFor               int64
	Busy                 float64 // share of the requests that wait at the egress proxy before they leave
	Rejected             float64 // share that the partner rejects without running it
	Guard                string  // guard to disable, empty for none
}

type partnerSettings struct {
	Proxies, Controllers, Changes, Cuts, Freezes, Kills int
	Length, Delay                                       duration
	CutFor                                              duration `toml:"cut_for"`
	Rate, Busy, Turned                                  float64
	Guard                                               string
}

func defaultPartner() partnerSettings {
	return partnerSettings{Controllers: 3, Length: duration(60 * Second), Delay: duration(Millisecond), Rate: 200, Changes: 10, CutFor: duration(8 * Second), Busy: 0.05, Turned: 0.05}
}

func (settings partnerSettings) scenario() PartnerScenario {
	return PartnerScenario{Proxies: settings.Proxies, Controllers: settings.Controllers, Length: int64(settings.Length), Delay: int64(settings.Delay), Rate: settings.Rate, Changes: settings.Changes, Cuts: settings.Cuts,
		Freezes: settings.Freezes, Kills: settings.Kills, CutFor: int64(settings.CutFor), Busy: settings.Busy, Rejected: settings.Turned, Guard: settings.Guard}
}

// PartnerResult is the result of a run of a PartnerScenario. Times are in nanoseconds.
type PartnerResult struct {
	Broken            []string
	Asked, Ran, Twice int // requests with an effect; executions; repeated executions
	Kept              int // executions after the narrowing that forbids them was reported complete
	Reads, ReadsRan   int
	Refused           int // requests that the partner's table allows, refused as the proxy's authorization had expired
	Narrowings        int
	Took              []int64 // from the publication of a narrowing until the partner is told that it is complete
	Bound             int64   // upper bound on Took
}

type partnerProxy struct {
	up              bool
	cutUntil        int64 // from the core
	frozenUntil     int64
	exportPolicy    *federation.ExportPolicy
	controllerIndex int
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
	registry         *federation.ImportRegistry // as the core has agreed
	controllers      []*partnerController
	proxies          []*partnerProxy
	tracker          *federation.NarrowingTracker
	coordinator      int
	coordinatorSince int64 // when the current coordinator was appointed

	table            *federation.Table // the partner's current export table
	narrowedEdition  int64             // edition since which effects are continuously forbidden, 0 if they are allowed
	completedEdition int64             // edition up to which narrowings were reported complete
	publishedAt      map[int64]int64
	runCount         map[int]int
}

var partners = []federation.Partner{{Name: "p", Gateway: "p:1"}}

// Simulate runs the scenario once.
func (scenario PartnerScenario) Simulate(seed uint64) *PartnerResult {
	sim := &partnerSimulation{Simulator: NewSimulator(seed), PartnerScenario: scenario, registry: federation.NewImportRegistry(), publishedAt: map[int64]int64{}, runCount: map[int]int{}}
	sim.networkRand = sim.Rand("net")
	sim.result.Bound = int64(float64(federation.AuthorizationTTL+federation.QuorumFreshness)*(1+federation.MaxClockDrift)) + federation.CheckInterval
	for range scenario.Controllers {
		sim.controllers = append(sim.controllers, &partnerController{up: true, registry: sim.registry})
	}
	for n := range scenario.Proxies {
		proxy := &partnerProxy{up: true, exportPolicy: federation.NewExportPolicy(nil), controllerIndex: n % scenario.Controllers}
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

// publishTable publishes the partner's next export table, with or without effects allowed.
func (sim *partnerSimulation) publishTable(allowEffects bool) {
	edition := int64(1)
	if sim.table != nil {
		edition = sim.table.Edition + 1
	}
	methods := []string{"GET"}
	if allowEffects {
		methods = append(methods, "POST")
		sim.narrowedEdition = 0
	} else if sim.narrowedEdition == 0 {
		sim.narrowedEdition = edition
		sim.result.Narrowings++
	}
	sim.table = &federation.Table{Partner: "p", Edition: edition, Lease: federation.Duration(20 * Second),
		Exports: []federation.Export{{Service: "scans", Host: "p.example", PathPrefix: "/scans/", Methods: methods}}}
	sim.publishedAt[edition] = sim.Now
}

// appointCoordinator makes a controller the coordinator.
func (sim *partnerSimulation) appointCoordinator(n int) {
	sim.coordinator, sim.coordinatorSince = n, sim.Now
	sim.tracker = federation.NewNarrowingTracker()
	sim.tracker.DisableGuard(sim.Guard)
}

// commit commits a change of the import registry. Each controller that is up learns of it after a random delay.
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
		sim.After(int64(sim.networkRand.Float64()*60)*Millisecond, func() {
			if controller.up && controller.registry.Revision <= next.Revision {
				controller.registry = next
			}
		})
	}
}

// coordinate is the coordinator's loop. It fetches the partner's table, and completes and reports narrowings.
func (sim *partnerSimulation) coordinate() {
	sim.After(federation.CheckInterval, sim.coordinate)
	controller := sim.controllers[sim.coordinator]
	if !controller.up {
		return
	}
	table := sim.table
	sim.After(2*sim.latency(), func() {
		if !controller.up {
			return
		}
		sim.commit(func(registry *federation.ImportRegistry) { registry.ApplyTable(table, fmt.Sprint(table.Edition)) })
	})
	for partner, number := range sim.tracker.Due(sim.registry, sim.Now) {
		sim.commit(func(registry *federation.ImportRegistry) { registry.CompleteNarrowing(partner, number) })
	}
	if i := sim.registry.Partners["p"]; i != nil && i.AnnouncedEdition > sim.completedEdition {
		edition := i.AnnouncedEdition
		sim.After(sim.latency(), func() {
			for e := sim.completedEdition + 1; e <= edition; e++ {
				if at, ok := sim.publishedAt[e]; ok && e == sim.narrowedEdition {
					sim.result.Took = append(sim.result.Took, sim.Now-at)
				}
			}
			sim.completedEdition = max(sim.completedEdition, edition)
		})
	}
}

// poll is a proxy's polling loop at the core.
func (sim *partnerSimulation) poll(proxy *partnerProxy) {
	retry := func() { sim.After(int64(100+sim.networkRand.IntN(500))*Millisecond, func() { sim.poll(proxy) }) }
	if sim.Now < proxy.frozenUntil {
		sim.After(proxy.frozenUntil-sim.Now, func() { sim.poll(proxy) })
		return
	}
	askedAt, controller := sim.Now, sim.controllers[proxy.controllerIndex]
	if !proxy.up || sim.Now < proxy.cutUntil || !controller.up {
		proxy.controllerIndex = (proxy.controllerIndex + 1) % len(sim.controllers)
		retry()
		return
	}
	sim.After(sim.latency(), func() {
		if !controller.up {
			retry()
			return
		}
		registry := controller.registry
		sim.After(sim.latency(), func() {
			if proxy.up && sim.Now >= proxy.frozenUntil && sim.Now >= proxy.cutUntil {
				proxy.exportPolicy.Update(registry, partners, nil, len(sim.proxies), sim.Now)
				proxy.exportPolicy.Authorize(registry.Revision, askedAt)
			}
			retry()
		})
	})
}

// scheduleLoad generates requests that enter at random proxies and leave through others.
func (sim *partnerSimulation) scheduleLoad() {
	rng := sim.Rand("load")
	id := 0
	var next func()
	next = func() {
		if sim.Now > sim.Length-8*Second {
			return
		}
		id++
		sim.beginRequest(id, rng.IntN(2) == 0, rng)
		sim.After(int64(rng.ExpFloat64()/sim.Rate*1e9), next)
	}
	sim.After(3*Second, next)
}

func (sim *partnerSimulation) beginRequest(id int, effect bool, rng *rand.Rand) {
	ingress := sim.proxies[rng.IntN(len(sim.proxies))]
	method := "GET"
	if effect {
		method = "POST"
		sim.result.Asked++
	} else {
		sim.result.Reads++
	}
	sim.attempt(id, ingress, method, 0, rng)
}

// attempt is one attempt at a request. The policy is checked where the request enters, and again where it leaves.
func (sim *partnerSimulation) attempt(id int, ingress *partnerProxy, method string, attempt int, rng *rand.Rand) {
	if !ingress.up || sim.Now < ingress.frozenUntil {
		return
	}
	skipChecks := sim.Guard == federation.RetryAfterNarrowing && attempt > 0
	if !skipChecks {
		if _, decision := ingress.exportPolicy.Decide(method, "p.example", "/scans/1", sim.Now); decision != federation.Open {
			if decision == federation.Unconfirmed && (method == "GET" || sim.narrowedEdition == 0) {
				sim.result.Refused++
			}
			return
		}
	}
	egress := sim.proxies[rng.IntN(len(sim.proxies))]
	delay := sim.latency()
	if rng.Float64() < sim.Busy {
		delay += int64(rng.IntN(4000)) * Millisecond
	}
	var leave func()
	leave = func() {
		if sim.Now < egress.frozenUntil {
			sim.After(egress.frozenUntil-sim.Now, leave) // a suspended process continues where it stopped
			return
		}
		if !egress.up {
			return
		}
		if !skipChecks && sim.Guard != federation.SinglePolicyCheck {
			if _, decision := egress.exportPolicy.Admit("p", method, "p.example", "/scans/1", sim.Now); decision != federation.Open {
				return // rejected, with proof that it did not run
			}
		}
		sim.After(sim.latency(), func() {
			if rng.Float64() < sim.Rejected {
				sim.After(int64(200+rng.IntN(1500))*Millisecond, func() {
					if attempt < 2 {
						sim.attempt(id, ingress, method, attempt+1, rng)
					}
				})
				return
			}
			sim.execute(id, method)
		})
	}
	sim.After(delay, leave)
}

// execute runs a request at the partner's service.
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
	when := func() int64 { return 4*Second + int64(rng.Float64()*float64(sim.Length-14*Second)) }
	at := 4 * Second
	for n := range sim.Changes {
		at += int64(rng.Float64() * 2 * float64(sim.Length-14*Second) / float64(max(sim.Changes, 1)))
		at = min(at, sim.Length-10*Second)
		sim.After(at, func() { sim.publishTable(n%2 == 1) })
		if rng.IntN(4) == 0 { // narrows, widens and narrows again within a second
			sim.After(at+300*Millisecond, func() { sim.publishTable(true) })
			sim.After(at+600*Millisecond, func() { sim.publishTable(false) })
		}
	}
	for range sim.Cuts {
		proxy := sim.proxies[rng.IntN(len(sim.proxies))]
		sim.After(when(), func() { proxy.cutUntil = sim.Now + sim.CutFor })
	}
	for range sim.Freezes {
		proxy, length := sim.proxies[rng.IntN(len(sim.proxies))], int64(1000+rng.IntN(6000))*Millisecond
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
			sim.After(1500*Millisecond, func() { sim.appointCoordinator(next) })
			sim.After(3*Second, func() { controller.up, controller.registry = true, sim.registry })
		})
	}
}

func (sim *partnerSimulation) check() {
	if sim.result.Kept > 0 {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("KEPT: %d effects ran after their narrowing was reported complete", sim.result.Kept))
	}
	if sim.result.Twice > 0 {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("TWICE: %d effects ran again", sim.result.Twice))
	}
	if sim.result.Narrowings > 0 && sim.narrowedEdition > 0 && sim.completedEdition < sim.narrowedEdition {
		sim.result.Broken = append(sim.result.Broken, "UNTOLD: the last narrowing was never reported complete")
	}
}

func (result *PartnerResult) metrics() map[string]float64 {
	worst, sum := int64(0), int64(0)
	for _, t := range result.Took {
		worst, sum = max(worst, t), sum+t
	}
	return map[string]float64{"effects": float64(result.Asked), "ran": float64(result.Ran), "kept": float64(result.Kept), "twice": float64(result.Twice),
		"reads": float64(result.Reads), "reads ran": float64(result.ReadsRan), "no leave": float64(result.Refused), "narrowings": float64(result.Narrowings),
		"mean done ms": float64(sum) / math.Max(1, float64(len(result.Took))) / 1e6, "most done ms": float64(worst) / 1e6, "most bound ms": float64(result.Bound) / 1e6}
}

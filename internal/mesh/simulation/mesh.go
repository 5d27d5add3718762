package simulation

import (
	"math/rand/v2"

	"ottershift/internal/mesh/ratelimit"
)

// MeshScenario is a simulated run of proxies around a core: leases, membership changes and the quota of one tenant,
// at sizes that exceed the available machines. Agreement within the core is left to CoreScenario: here the
// controllers exchange what they hear, and the first that is up keeps the token bank. Times are virtual, in
// nanoseconds.
type MeshScenario struct {
	Zones, Proxies            int
	Length                    int64
	Delay, CrossZoneDelay     int64 // one way, within a zone and between two
	Rate, Burst               float64
	Demand                    float64 // requests of the tenant, as a multiple of its rate
	PeakFactor                float64 // factor on Demand in the middle third of the run
	Kills, KillAlls, Cuts     int     // faults of proxies
	ControllerKills, ZoneCuts int
	FullBucket, NoGracePeriod bool    // guards to disable
	UpstreamChanges           int     // changes of upstreams at random times
	Faults                    []Fault // injected instead of the random faults, unless nil
}

type meshSettings struct {
	Zones, Proxies, Kills, Cuts, News int
	KillAlls                          int `toml:"kill_alls"`
	ControllerKills                   int `toml:"controller_kills"`
	ZoneCuts                          int `toml:"zone_cuts"`
	Length, Delay, Cross              duration
	Rate, Surge, Demand, Hot          float64
	FullBucket                        bool `toml:"full_bucket"`
	NoGracePeriod                     bool `toml:"no_grace_period"`
	Faults                            []Fault
}

func defaultMesh() meshSettings {
	return meshSettings{Zones: 4, Length: duration(30 * Second), Delay: duration(Millisecond / 5), Cross: duration(Millisecond / 2), Rate: 300, Surge: 300, Demand: 0.7, Hot: 1}
}

func (settings meshSettings) scenario() MeshScenario {
	return MeshScenario{Zones: settings.Zones, Proxies: settings.Proxies, Length: int64(settings.Length), Delay: int64(settings.Delay), CrossZoneDelay: int64(settings.Cross), Rate: settings.Rate,
		Burst: settings.Surge, Demand: settings.Demand, PeakFactor: settings.Hot, Kills: settings.Kills, KillAlls: settings.KillAlls, Cuts: settings.Cuts, ControllerKills: settings.ControllerKills,
		ZoneCuts: settings.ZoneCuts, FullBucket: settings.FullBucket, NoGracePeriod: settings.NoGracePeriod, UpstreamChanges: settings.News, Faults: settings.Faults}
}

// MeshResult is the result of a run of a MeshScenario.
type MeshResult struct {
	Broken                 []string
	Asked, Passed, Refused int // requests of the tenant
	Within                 int // requests while the tenant was within its rate
	RefusedWithin          int
	Window, Bound          float64 // the most allowed requests in a window, and the bound on it
	Asks, Draws, Bytes     int     // polls and token requests at the core, and an estimate of the bytes of their JSON
	ControllerRequests     int     // polls at the busiest controller
	Stale                  int64   // longest time until all reachable proxies knew a change of an upstream, in nanoseconds
}

type meshSimulation struct {
	*Simulator
	MeshScenario
	result       MeshResult
	networkRand  *rand.Rand
	controllers  []*controllerModel
	proxies      []*proxyModel
	passedAt     []int64
	epoch        int
	coordinator  int
	zoneCutUntil map[int]int64
	limit        ratelimit.Limit
}

// Simulate runs the scenario once.
func (scenario MeshScenario) Simulate(seed uint64) *MeshResult {
	sim := &meshSimulation{Simulator: NewSimulator(seed), MeshScenario: scenario, zoneCutUntil: map[int]int64{}, coordinator: -1,
		limit: ratelimit.Limit{Rate: scenario.Rate, Burst: scenario.Burst, Window: 5 * Second, OverRatio: 0.1, Slack: 20}}
	sim.networkRand = sim.Rand("net")
	for z := range scenario.Zones {
		controller := &controllerModel{index: z}
		sim.controllers = append(sim.controllers, controller)
		sim.startController(controller)
	}
	for n := range scenario.Proxies {
		proxy := &proxyModel{index: n, zone: n % scenario.Zones}
		sim.proxies = append(sim.proxies, proxy)
		sim.After(int64(sim.networkRand.IntN(300))*Millisecond, func() { sim.startProxy(proxy) })
	}
	sim.scheduleFaults()
	sim.scheduleDemand()
	sim.RunUntil(scenario.Length)
	sim.check()
	return &sim.result
}

func (sim *meshSimulation) latency(a, b int) int64 {
	base := sim.Delay
	if a != b {
		base = sim.CrossZoneDelay
	}
	return base + int64(sim.networkRand.Float64()*float64(base))
}

func (sim *meshSimulation) zonesSeparated(a, b int) bool {
	return a != b && (sim.Now < sim.zoneCutUntil[a] || sim.Now < sim.zoneCutUntil[b])
}

package simulation

import (
	"math/rand/v2"

	"ottershift/internal/mesh/ratelimit"
)

// MeshScenario is a day of balancers around a core that agrees: leases, news, and the quota of one tenant, at sizes that nobody
// has machines for. The core's own agreement is Core's affair; here its processes tell one another what they hear, and
// the first of them that is there keeps the bank.
type MeshScenario struct {
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
	return meshSettings{Zones: 4, Length: duration(30 * S), Delay: duration(Ms / 5), Cross: duration(Ms / 2), Rate: 300, Surge: 300, Demand: 0.7, Hot: 1}
}

func (m meshSettings) scenario() MeshScenario {
	return MeshScenario{Zones: m.Zones, Proxies: m.Proxies, Length: int64(m.Length), Delay: int64(m.Delay), Cross: int64(m.Cross), Rate: m.Rate,
		Surge: m.Surge, Demand: m.Demand, Hot: m.Hot, Kills: m.Kills, KillAlls: m.KillAlls, Cuts: m.Cuts, ControllerKills: m.ControllerKills,
		ZoneCuts: m.ZoneCuts, FullBucket: m.FullBucket, NoGracePeriod: m.NoGracePeriod, News: m.News, Faults: m.Faults}
}

// MeshResult is what came of one.
type MeshResult struct {
	Broken                 []string
	Asked, Passed, Refused int // of the tenant
	Within                 int // asked while the tenant was within its rate
	RefusedWithin          int
	Window, Bound          float64 // the most that passed in a window, and what is allowed
	Asks, Draws, Bytes     int     // calls at the core, and what they carried, by estimate of their JSON
	ControllerRequests     int     // at the busiest process
	Stale                  int64   // the longest until all balancers that are there knew a change of an upstream
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

// Simulate plays one day.
func (scenario MeshScenario) Simulate(seed uint64) *MeshResult {
	sim := &meshSimulation{Simulator: NewSimulator(seed), MeshScenario: scenario, zoneCutUntil: map[int]int64{}, coordinator: -1,
		limit: ratelimit.Limit{Rate: scenario.Rate, Burst: scenario.Surge, Window: 5 * S, OverRatio: 0.1, Slack: 20}}
	sim.networkRand = sim.Rand("net")
	for z := range scenario.Zones {
		controller := &controllerModel{index: z}
		sim.controllers = append(sim.controllers, controller)
		sim.startController(controller)
	}
	for n := range scenario.Proxies {
		proxy := &proxyModel{index: n, zone: n % scenario.Zones}
		sim.proxies = append(sim.proxies, proxy)
		sim.After(int64(sim.networkRand.IntN(300))*Ms, func() { sim.startProxy(proxy) })
	}
	sim.scheduleFaults()
	sim.scheduleDemand()
	sim.RunUntil(scenario.Length)
	sim.check()
	return &sim.result
}

func (sim *meshSimulation) latency(a, b int) int64 {
	d := sim.Delay
	if a != b {
		d = sim.Cross
	}
	return d + int64(sim.networkRand.Float64()*float64(d))
}

func (sim *meshSimulation) zonesSeparated(a, b int) bool {
	return a != b && (sim.Now < sim.zoneCutUntil[a] || sim.Now < sim.zoneCutUntil[b])
}

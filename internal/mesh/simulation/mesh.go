package simulation

import (
	"math/rand/v2"

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
		limit: ratelimit.Limit{Rate: m.Rate, Burst: m.Surge, Window: 5 * S, OverRatio: 0.1, Slack: 20}}
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

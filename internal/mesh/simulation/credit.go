package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/burstcredit"
)

// CreditScenario is a simulated run of burst credit. The burst of one tenant arrives in several regions at the same
// time, proxies hold escrows, the core keeps the ledger, links lose reports, and clients repeat requests at other
// proxies. Times are virtual, in nanoseconds.
type CreditScenario struct {
	Regions, Proxies         int
	Length                   int64
	Delay, CrossRegionDelay  int64 // one way, within a region and between two
	Loss                     float64
	Credit, Extra            float64 // initial tokens; the most that may be spent a second
	Rate                     float64 // client requests a second above the tenant's rate
	ServiceRate              float64 // service-to-service requests a second
	Repeats                  float64 // share of the requests that is repeated at other proxies, up to twice, almost at the same time
	LostResponses, NotRun    float64 // share of the attempts whose response is lost; share that never runs
	Kills, Cuts, CoreOutages int     // kills of proxies; cuts of regions from the core; outages of the whole core
	CutFor                   int64
	Guard                    string // guard to disable, empty for none
}

type creditSettings struct {
	Regions, Proxies, Kills, Cuts int
	CoreOff                       int `toml:"core_off"`
	Length, Delay, Cross          duration
	CutFor                        duration `toml:"cut_for"`
	Loss, Credit, Extra           float64
	Rate, Inner, Repeats          float64
	Lost, Fails                   float64
	Guard                         string
}

func defaultCredit() creditSettings {
	return creditSettings{Regions: 2, Length: duration(60 * Second), Delay: duration(Millisecond / 2), Cross: duration(30 * Millisecond), Credit: 1000, Extra: 50, Rate: 60, Inner: 0,
		Repeats: 0.2, Lost: 0.05, Fails: 0.1, CutFor: duration(10 * Second)}
}

func (settings creditSettings) scenario() CreditScenario {
	return CreditScenario{Regions: settings.Regions, Proxies: settings.Proxies, Length: int64(settings.Length), Delay: int64(settings.Delay), CrossRegionDelay: int64(settings.Cross), Loss: settings.Loss,
		Credit: settings.Credit, Extra: settings.Extra, Rate: settings.Rate, ServiceRate: settings.Inner, Repeats: settings.Repeats, LostResponses: settings.Lost, NotRun: settings.Fails, Kills: settings.Kills,
		Cuts: settings.Cuts, CoreOutages: settings.CoreOff, CutFor: int64(settings.CutFor), Guard: settings.Guard}
}

// CreditResult is the result of a run of a CreditScenario.
type CreditResult struct {
	Broken                  []string
	Asked, Served           int // client requests
	InnerAsked, InnerServed int
	Spent, Due              float64 // tokens that the ledger charged; requests that were due a charge
	Unheard                 float64 // due a charge but never reported, as the proxy ended first
	Window, Bound           float64 // the most spent in 5 s, and the bound on it
	Stranded, StrandedBound float64 // the most held by proxies of a region that was cut off, and the bound on it
	Gap                     float64
	Reports, Bytes          int
	Waited                  []int64 // time until a token was available, in nanoseconds
}

type creditProxy struct {
	index, region int
	up            bool
	incarnation   int
	wallet        *burstcredit.Wallet
	reporting     bool
}

type creditSimulation struct {
	*Simulator
	CreditScenario
	result         CreditResult
	networkRand    *rand.Rand
	ledger         *burstcredit.Ledger
	ledgerTime     int64
	proxies        []*creditProxy
	regionCutUntil map[int]int64 // by region
	coreDownUntil  int64         // the whole core
	inbox          []sentReport
	terms          map[string]burstcredit.Terms
	due            map[uint64]bool // IDs of requests that are due a charge
	maybeDue       map[uint64]bool // IDs of requests with an effect whose proxy ended during the attempt; their result is unknown
	dueCounts      [2]float64      // number of due requests: service-to-service, client
	reported       map[uint64]bool
	spentAt        []int64
}

type sentReport struct {
	proxy       *creditProxy
	incarnation int
	report      *burstcredit.Report
	sentAt      int64
}

// Simulate runs the scenario once.
func (scenario CreditScenario) Simulate(seed uint64) *CreditResult {
	sim := &creditSimulation{Simulator: NewSimulator(seed), CreditScenario: scenario, ledger: burstcredit.NewLedger(), regionCutUntil: map[int]int64{}, due: map[uint64]bool{}, maybeDue: map[uint64]bool{}, reported: map[uint64]bool{}}
	sim.networkRand = sim.Rand("net")
	sim.terms = map[string]burstcredit.Terms{"t": {EarnRatio: 0.5, MaxBalance: 10 * scenario.Credit, Retention: 30 * 86400 * Second, ExtraRate: scenario.Extra}}
	sim.ledger.DisableGuard(scenario.Guard)
	sim.ledger.GrantTokens("t", scenario.Credit, "operator", "initial credit")
	for n := range scenario.Proxies {
		proxy := &creditProxy{index: n, region: n % scenario.Regions}
		sim.proxies = append(sim.proxies, proxy)
		sim.startProxy(proxy)
	}
	sim.settleReports()
	sim.scheduleFaults()
	sim.scheduleRequests(true, scenario.Rate)
	sim.scheduleRequests(false, scenario.ServiceRate)
	sim.RunUntil(scenario.Length)
	sim.check()
	return &sim.result
}

func (sim *creditSimulation) startProxy(proxy *creditProxy) {
	proxy.up, proxy.reporting = true, false
	proxy.incarnation++
	incarnation := proxy.incarnation
	proxy.wallet = burstcredit.NewWallet(fmt.Sprint("n", proxy.index), fmt.Sprint(incarnation))
	proxy.wallet.DisableGuard(sim.Guard)
	proxy.wallet.SetTerms(sim.terms, nil, sim.Proxies, sim.Now)
	var reportPeriodically func()
	reportPeriodically = func() {
		if !proxy.up || proxy.incarnation != incarnation {
			return
		}
		if !proxy.reporting && proxy.wallet.ShouldReport(sim.Now) {
			sim.report(proxy)
		}
		sim.After(burstcredit.ReportInterval, reportPeriodically)
	}
	sim.After(int64(sim.networkRand.IntN(250))*Millisecond, reportPeriodically)
}

func (sim *creditSimulation) latency(region int) int64 {
	base := sim.Delay
	if region != 0 { // the core is in region 0
		base = sim.CrossRegionDelay
	}
	return base + int64(sim.networkRand.Float64()*float64(base))
}

// report sends a proxy's report. Without a response within a second it is sent again unchanged.
func (sim *creditSimulation) report(proxy *creditProxy) {
	proxy.reporting = true
	report := sentReport{proxy, proxy.incarnation, proxy.wallet.Report(sim.Now), sim.Now}
	sim.result.Reports++
	sim.result.Bytes += 120 + 40*len(report.report.Demands) + 24*(len(report.report.Settled)+len(report.report.OpenEffects))
	sim.After(Second, func() {
		if proxy.incarnation == report.incarnation {
			proxy.reporting = false
		}
	})
	if sim.networkRand.Float64() < sim.Loss {
		return
	}
	sim.After(sim.latency(proxy.region), func() {
		if sim.Now >= sim.regionCutUntil[proxy.region] && sim.Now >= sim.coreDownUntil {
			sim.inbox = append(sim.inbox, report)
		}
	})
}

// settleReports applies all received reports in one change of the replicated ledger, and sends the grants.
func (sim *creditSimulation) settleReports() {
	sim.After(100*Millisecond, sim.settleReports)
	if sim.Now < sim.coreDownUntil {
		sim.inbox, sim.ledgerTime = nil, sim.Now // no controller keeps the ledger, so its time does not advance
		return
	}
	if len(sim.inbox) == 0 && sim.Now-sim.ledgerTime < Second {
		return
	}
	sim.ledger.Advance(sim.Now-sim.ledgerTime, sim.terms)
	sim.ledgerTime = sim.Now
	reports := make([]*burstcredit.Report, len(sim.inbox))
	for n, received := range sim.inbox {
		reports[n] = received.report
		for _, m := range received.report.Settled {
			sim.reported[m.ID] = true
		}
	}
	// Encode and decode the ledger, as the core does when it stores it.
	raw, err := sim.ledger.Encode()
	if err == nil {
		sim.ledger, err = burstcredit.DecodeLedger(raw)
	}
	if err != nil {
		sim.result.Broken = append(sim.result.Broken, err.Error())
		return
	}
	sim.ledger.DisableGuard(sim.Guard)
	grants := sim.ledger.ProcessReports(reports, sim.terms)
	if gap := math.Abs(sim.ledger.Gap("t")); gap > sim.result.Gap {
		sim.result.Gap = gap
	}
	for n, received := range sim.inbox {
		if sim.networkRand.Float64() < sim.Loss {
			continue
		}
		sim.After(sim.latency(received.proxy.region), func() {
			if received.proxy.up && received.proxy.incarnation == received.incarnation && sim.Now >= sim.regionCutUntil[received.proxy.region] {
				received.proxy.reporting = false
				received.proxy.wallet.ApplyGrant(grants[n], received.sentAt, sim.Now)
			}
		})
	}
	sim.inbox = nil
}

// scheduleRequests generates requests at random proxies, and repeats some of them at other proxies almost at the same
// time.
func (sim *creditSimulation) scheduleRequests(client bool, rate float64) {
	if rate <= 0 {
		return
	}
	rng := sim.Rand(fmt.Sprint("requests", client))
	id := uint64(0)
	var next func()
	next = func() {
		if sim.Now >= sim.Length-5*Second {
			return
		}
		id++
		claim := burstcredit.Claim{Tenant: "t", ID: burstcredit.RequestID(fmt.Sprint(client, id)), HasEffect: rng.Float64() < 0.3, FromClient: client}
		served := false
		if client {
			sim.result.Asked++
		} else {
			sim.result.InnerAsked++
		}
		attempts := 1
		if rng.Float64() < sim.Repeats {
			attempts += 1 + rng.IntN(2)
		}
		for n := range attempts {
			proxy := sim.proxies[rng.IntN(len(sim.proxies))]
			sim.After(int64(n)*int64(rng.IntN(80))*Millisecond, func() { sim.attempt(proxy, claim, &served, rng) })
		}
		sim.After(int64(rng.ExpFloat64()/rate*1e9), next)
	}
	sim.After(2*Second, next)
}

// attempt runs one attempt at a proxy. It waits at most 400 ms for a token, runs, and ends in one of several ways.
func (sim *creditSimulation) attempt(proxy *creditProxy, claim burstcredit.Claim, served *bool, rng *rand.Rand) {
	if !proxy.up {
		return
	}
	incarnation, startedAt := proxy.incarnation, sim.Now
	run := func() {
		sim.result.Waited = append(sim.result.Waited, sim.Now-startedAt)
		ran, delivered := rng.Float64() >= sim.NotRun, rng.Float64() >= sim.LostResponses
		if ran && claim.HasEffect {
			sim.After(int64(20+rng.IntN(100))*Millisecond, func() { sim.markDue(claim) }) // takes effect at the upstream even if the proxy ends
		}
		sim.After(int64(130+rng.IntN(400))*Millisecond, func() {
			if !proxy.up || proxy.incarnation != incarnation {
				sim.maybeDue[claim.ID] = sim.maybeDue[claim.ID] || claim.HasEffect
				return
			}
			result := burstcredit.NotDelivered
			switch {
			case ran && delivered:
				result = burstcredit.Delivered
				sim.markDue(claim)
				if !*served {
					*served = true
					if claim.FromClient {
						sim.result.Served++
					} else {
						sim.result.InnerServed++
					}
				}
			case ran && claim.HasEffect:
				result = burstcredit.Unknown
			}
			proxy.wallet.Finish(claim, result, sim.Now)
		})
	}
	switch proxy.wallet.Claim(claim, sim.Now, func(bool) {
		if proxy.up && proxy.incarnation == incarnation {
			run()
		}
	}) {
	case burstcredit.Reserved:
		run()
	case burstcredit.Queued:
		if !proxy.reporting && proxy.wallet.ShouldReport(sim.Now) {
			sim.report(proxy)
		}
		sim.After(400*Millisecond, func() {
			if proxy.incarnation == incarnation {
				proxy.wallet.Cancel(claim)
			}
		})
	}
}

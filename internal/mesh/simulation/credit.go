package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/burstcredit"
)

// CreditScenario is a day of burst credit: one tenant whose rush lands in regions at once, balancers that hold escrows, a book that the
// core keeps, links that lose words, and clients that ask again at other balancers.
type CreditScenario struct {
	Regions, Proxies         int
	Length                   int64
	Delay, Cross             int64 // one way, within a region and between two
	Loss                     float64
	Credit, Extra            float64 // tokens at first, and spent a second at most
	Rate                     float64 // requests a second beyond the tenant's rate, of clients
	Inner                    float64 // and of calls of services
	Repeats                  float64 // part of the requests that is asked again elsewhere, up to twice, at once
	Lost, Fails              float64 // parts of the tries whose answer is lost, and that never ran
	Kills, Cuts, CoreOutages int     // of proxies; of regions from the core; times that all of the core is away
	CutFor                   int64
	Guard                    string // left out
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
	return creditSettings{Regions: 2, Length: duration(60 * S), Delay: duration(Ms / 2), Cross: duration(30 * Ms), Credit: 1000, Extra: 50, Rate: 60, Inner: 0,
		Repeats: 0.2, Lost: 0.05, Fails: 0.1, CutFor: duration(10 * S)}
}

func (c creditSettings) scenario() CreditScenario {
	return CreditScenario{Regions: c.Regions, Proxies: c.Proxies, Length: int64(c.Length), Delay: int64(c.Delay), Cross: int64(c.Cross), Loss: c.Loss,
		Credit: c.Credit, Extra: c.Extra, Rate: c.Rate, Inner: c.Inner, Repeats: c.Repeats, Lost: c.Lost, Fails: c.Fails, Kills: c.Kills,
		Cuts: c.Cuts, CoreOutages: c.CoreOff, CutFor: int64(c.CutFor), Guard: c.Guard}
}

// CreditResult is what came of one.
type CreditResult struct {
	Broken                  []string
	Asked, Served           int // requests of clients
	InnerAsked, InnerServed int
	Spent, Due              float64 // tokens that the book charged, and requests that were due a charge
	Unheard                 float64 // due a charge and never told: their balancer died first
	Window, Bound           float64 // the most that was spent in 5 s, and the formula
	Stranded, StrandedBound float64 // the most that was out at balancers that were cut off
	Gap                     float64
	Reports, Bytes          int
	Waited                  []int64 // until a token was had
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
	regionCutUntil map[int]int64 // regions, until then
	coreDownUntil  int64         // the core, until then
	inbox          []sentReport
	terms          map[string]burstcredit.Terms
	due            map[uint64]bool // identities that were due a charge
	maybeDue       map[uint64]bool // and those of effects that were under way at a balancer that died: nobody knows
	dueCounts      [2]float64      // of due, calls of services and clients' requests
	reported       map[uint64]bool
	spentAt        []int64
}

type sentReport struct {
	proxy       *creditProxy
	incarnation int
	report      *burstcredit.Report
	sentAt      int64
}

// Simulate plays one day.
func (scenario CreditScenario) Simulate(seed uint64) *CreditResult {
	sim := &creditSimulation{Simulator: NewSimulator(seed), CreditScenario: scenario, ledger: burstcredit.NewLedger(), regionCutUntil: map[int]int64{}, due: map[uint64]bool{}, maybeDue: map[uint64]bool{}, reported: map[uint64]bool{}}
	sim.networkRand = sim.Rand("net")
	sim.terms = map[string]burstcredit.Terms{"t": {EarnRatio: 0.5, MaxBalance: 10 * scenario.Credit, Retention: 30 * 86400 * S, ExtraRate: scenario.Extra}}
	sim.ledger.DisableGuard(scenario.Guard)
	sim.ledger.GrantTokens("t", scenario.Credit, "operator", "the day's credit")
	for n := range scenario.Proxies {
		proxy := &creditProxy{index: n, region: n % scenario.Regions}
		sim.proxies = append(sim.proxies, proxy)
		sim.startProxy(proxy)
	}
	sim.settleReports()
	sim.scheduleFaults()
	sim.scheduleRequests(true, scenario.Rate)
	sim.scheduleRequests(false, scenario.Inner)
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
	var tell func()
	tell = func() {
		if !proxy.up || proxy.incarnation != incarnation {
			return
		}
		if !proxy.reporting && proxy.wallet.ShouldReport(sim.Now) {
			sim.report(proxy)
		}
		sim.After(burstcredit.ReportInterval, tell)
	}
	sim.After(int64(sim.networkRand.IntN(250))*Ms, tell)
}

func (sim *creditSimulation) latency(region int) int64 {
	d := sim.Delay
	if region != 0 { // the core is in the first
		d = sim.Cross
	}
	return d + int64(sim.networkRand.Float64()*float64(d))
}

// report sends a balancer's word; without an answer in a second it is sent again, as it was.
func (sim *creditSimulation) report(proxy *creditProxy) {
	proxy.reporting = true
	sent := sentReport{proxy, proxy.incarnation, proxy.wallet.Report(sim.Now), sim.Now}
	sim.result.Reports++
	sim.result.Bytes += 120 + 40*len(sent.report.Demands) + 24*(len(sent.report.Settled)+len(sent.report.OpenEffects))
	sim.After(S, func() {
		if proxy.incarnation == sent.incarnation {
			proxy.reporting = false
		}
	})
	if sim.networkRand.Float64() < sim.Loss {
		return
	}
	sim.After(sim.latency(proxy.region), func() {
		if sim.Now >= sim.regionCutUntil[proxy.region] && sim.Now >= sim.coreDownUntil {
			sim.inbox = append(sim.inbox, sent)
		}
	})
}

// settleReports settles what has come in, in one change of the agreed book, and answers.
func (sim *creditSimulation) settleReports() {
	sim.After(100*Ms, sim.settleReports)
	if sim.Now < sim.coreDownUntil {
		sim.inbox, sim.ledgerTime = nil, sim.Now // nobody keeps the book: its time stands still
		return
	}
	if len(sim.inbox) == 0 && sim.Now-sim.ledgerTime < S {
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
	// As the core keeps it: written and read again.
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

// scheduleRequests has requests come, each at a balancer drawn by chance, some of them again elsewhere at once.
func (sim *creditSimulation) scheduleRequests(client bool, rate float64) {
	if rate <= 0 {
		return
	}
	rng := sim.Rand(fmt.Sprint("requests", client))
	id := uint64(0)
	var next func()
	next = func() {
		if sim.Now >= sim.Length-5*S {
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
		tries := 1
		if rng.Float64() < sim.Repeats {
			tries += 1 + rng.IntN(2)
		}
		for n := range tries {
			at := sim.proxies[rng.IntN(len(sim.proxies))]
			sim.After(int64(n)*int64(rng.IntN(80))*Ms, func() { sim.attempt(at, claim, &served, rng) })
		}
		sim.After(int64(rng.ExpFloat64()/rate*1e9), next)
	}
	sim.After(2*S, next)
}

// attempt is one try of a request at one balancer: it waits for a token for 400 ms at most, works, and ends in one way or another.
func (sim *creditSimulation) attempt(proxy *creditProxy, claim burstcredit.Claim, served *bool, rng *rand.Rand) {
	if !proxy.up {
		return
	}
	incarnation, began := proxy.incarnation, sim.Now
	run := func() {
		sim.result.Waited = append(sim.result.Waited, sim.Now-began)
		ran, whole := rng.Float64() >= sim.Fails, rng.Float64() >= sim.Lost
		if ran && claim.HasEffect {
			sim.After(int64(20+rng.IntN(100))*Ms, func() { sim.markDue(claim) }) // at its upstream, whatever becomes of its balancer
		}
		sim.After(int64(130+rng.IntN(400))*Ms, func() {
			if !proxy.up || proxy.incarnation != incarnation {
				sim.maybeDue[claim.ID] = sim.maybeDue[claim.ID] || claim.HasEffect
				return
			}
			end := burstcredit.NotDelivered
			switch {
			case ran && whole:
				end = burstcredit.Delivered
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
				end = burstcredit.Unknown
			}
			proxy.wallet.Finish(claim, end, sim.Now)
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
		sim.After(400*Ms, func() {
			if proxy.incarnation == incarnation {
				proxy.wallet.Cancel(claim)
			}
		})
	}
}

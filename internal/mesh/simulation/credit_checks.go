package simulation

import (
	"fmt"
	"math"

	"ottershift/internal/mesh/burstcredit"
)

// markDue records that a request is due a charge.
func (sim *creditSimulation) markDue(claim burstcredit.Claim) {
	if !sim.due[claim.ID] {
		sim.due[claim.ID] = true
		if claim.FromClient {
			sim.dueCounts[1]++
		} else {
			sim.dueCounts[0]++
		}
		sim.spentAt = append(sim.spentAt, sim.Now)
	}
}

// check compares the ledger's charges with the requests that ran.
func (sim *creditSimulation) check() {
	for range 40 { // without further faults, the remaining reports arrive
		sim.RunUntil(sim.Now + Second/2)
	}
	status := sim.ledger.Status()[0]
	sim.result.Spent, sim.result.Due = status.Spent, float64(len(sim.due))
	for id := range sim.due {
		if !sim.reported[id] {
			sim.result.Unheard++
		}
	}
	heldTokens := 0.0
	for _, proxy := range sim.proxies {
		free, reserved := proxy.wallet.Held("t")
		heldTokens += free + reserved
	}
	violation := func(format string, args ...any) {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf(format, args...))
	}
	if sim.result.Gap > 1e-6 {
		violation("GAP: an account is off by %.3f", sim.result.Gap)
	}
	maxCharges := sim.result.Due
	for id := range sim.maybeDue {
		if !sim.due[id] {
			maxCharges++
		}
	}
	if heldTokens > status.Outstanding+1e-6 {
		violation("ESCROW: proxies hold %.0f tokens, but the ledger has only %.0f outstanding", heldTokens, status.Outstanding)
	}
	if sim.result.Spent > maxCharges+1e-6 {
		violation("CHARGED: %.0f charges for %.0f requests that were due one or may have been", sim.result.Spent, maxCharges)
	}
	if sim.result.Due > status.Earned+status.Granted+sim.result.Unheard+1e-6 {
		violation("BEYOND: %.0f tokens spent of a credit of %.0f, %.0f of them never reported", sim.result.Due, status.Earned+status.Granted, sim.result.Unheard)
	}
	// Tokens are outstanding for burstcredit.PrefetchWindow, and reserved for the length of a request. Those of proxies
	// that ended are granted a second time.
	spent, stranded, _ := sim.terms["t"].Bounds(5 * Second)
	sim.result.Bound, sim.result.StrandedBound = spent+sim.Extra*float64(sim.Kills), stranded
	for a, proxy := 0, 0; proxy < len(sim.spentAt); proxy++ {
		for sim.spentAt[proxy]-sim.spentAt[a] > 5*Second {
			a++
		}
		sim.result.Window = math.Max(sim.result.Window, float64(proxy-a+1))
	}
	// A burst of client requests that uses the whole extra rate leaves almost nothing to service-to-service requests.
	if sim.ServiceRate > 0 && sim.Rate >= sim.Extra && sim.dueCounts[1] < 0.95*(sim.dueCounts[0]+sim.dueCounts[1]) {
		violation("ORDER: %.0f of %.0f tokens went to service-to-service requests while clients waited", sim.dueCounts[0], sim.dueCounts[0]+sim.dueCounts[1])
	}
}

func (result *CreditResult) metrics() map[string]float64 {
	total, most := int64(0), int64(0)
	for _, t := range result.Waited {
		total, most = total+t, max(most, t)
	}
	return map[string]float64{"asked": float64(result.Asked), "served": float64(result.Served) / math.Max(1, float64(result.Asked)),
		"inner served": float64(result.InnerServed) / math.Max(1, float64(result.InnerAsked)), "charged": result.Spent, "due": result.Due, "unheard": result.Unheard,
		"most spent in 5 s": result.Window, "most allowed": result.Bound, "most stranded": result.Stranded, "most gap": result.Gap,
		"reports": float64(result.Reports), "KB": float64(result.Bytes) / 1000, "mean wait ms": float64(total) / float64(max(len(result.Waited), 1)) / 1e6, "most wait ms": float64(most) / 1e6}
}

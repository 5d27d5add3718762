package simulation

import (
	"fmt"
	"math"

	"ottershift/internal/mesh/burstcredit"
)

// markDue notes that a request is due a charge.
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

// check holds what the book charged against what clients had and upstreams ran.
func (sim *creditSimulation) check() {
	for range 40 { // all is mended: what is left is told
		sim.RunUntil(sim.Now + S/2)
	}
	stand := sim.ledger.Status()[0]
	sim.result.Spent, sim.result.Due = stand.Spent, float64(len(sim.due))
	for id := range sim.due {
		if !sim.reported[id] {
			sim.result.Unheard++
		}
	}
	held := 0.0
	for _, b := range sim.proxies {
		free, reserved := b.wallet.Held("t")
		held += free + reserved
	}
	fault := func(format string, args ...any) {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf(format, args...))
	}
	if sim.result.Gap > 1e-6 {
		fault("GAP: an account is out by %.3f", sim.result.Gap)
	}
	most := sim.result.Due
	for id := range sim.maybeDue {
		if !sim.due[id] {
			most++
		}
	}
	if held > stand.Outstanding+1e-6 {
		fault("ESCROW: balancers hold %.0f tokens, and the book knows of %.0f", held, stand.Outstanding)
	}
	if sim.result.Spent > most+1e-6 {
		fault("CHARGED: %.0f charges for %.0f requests that were due one, or may have been", sim.result.Spent, most)
	}
	if sim.result.Due > stand.Earned+stand.Granted+sim.result.Unheard+1e-6 {
		fault("BEYOND: %.0f drawn of a credit of %.0f, %.0f of it never told", sim.result.Due, stand.Earned+stand.Granted, sim.result.Unheard)
	}
	// Tokens are out for Ahead and reserved for as long as a request takes; those of the dead are given out once more.
	spent, stranded, _ := sim.terms["t"].Bounds(5 * S)
	sim.result.Bound, sim.result.StrandedBound = spent+sim.Extra*float64(sim.Kills), stranded
	for a, b := 0, 0; b < len(sim.spentAt); b++ {
		for sim.spentAt[b]-sim.spentAt[a] > 5*S {
			a++
		}
		sim.result.Window = math.Max(sim.result.Window, float64(b-a+1))
	}
	// A rush that alone uses all that may be spent leaves next to nothing to calls of services.
	if sim.Inner > 0 && sim.Rate >= sim.Extra && sim.dueCounts[1] < 0.95*(sim.dueCounts[0]+sim.dueCounts[1]) {
		fault("ORDER: %.0f of %.0f tokens went to calls of services while clients waited", sim.dueCounts[0], sim.dueCounts[0]+sim.dueCounts[1])
	}
}

func (d *CreditResult) metrics() map[string]float64 {
	total, most := int64(0), int64(0)
	for _, t := range d.Waited {
		total, most = total+t, max(most, t)
	}
	return map[string]float64{"asked": float64(d.Asked), "served": float64(d.Served) / math.Max(1, float64(d.Asked)),
		"inner served": float64(d.InnerServed) / math.Max(1, float64(d.InnerAsked)), "charged": d.Spent, "due": d.Due, "unheard": d.Unheard,
		"most spent in 5 s": d.Window, "most allowed": d.Bound, "most stranded": d.Stranded, "most gap": d.Gap,
		"reports": float64(d.Reports), "KB": float64(d.Bytes) / 1000, "mean wait ms": float64(total) / float64(max(len(d.Waited), 1)) / 1e6, "most wait ms": float64(most) / 1e6}
}

package simulation

import (
	"fmt"
	"math"

	"ottershift/internal/mesh/burstcredit"
)

// owe notes that a request is due a charge.
func (w *creditWorld) owe(k burstcredit.Claim) {
	if !w.due[k.ID] {
		w.due[k.ID] = true
		if k.FromClient {
			w.owed[1]++
		} else {
			w.owed[0]++
		}
		w.spends = append(w.spends, w.Now)
	}
}

// judge holds what the book charged against what clients had and upstreams ran.
func (w *creditWorld) judge() {
	for range 40 { // all is mended: what is left is told
		w.Run(w.Now + S/2)
	}
	stand := w.book.Status()[0]
	w.day.Spent, w.day.Due = stand.Spent, float64(len(w.due))
	for id := range w.due {
		if !w.told[id] {
			w.day.Unheard++
		}
	}
	held := 0.0
	for _, b := range w.proxies {
		free, reserved := b.crop.Held("t")
		held += free + reserved
	}
	fault := func(format string, args ...any) { w.day.Broken = append(w.day.Broken, fmt.Sprintf(format, args...)) }
	if w.day.Gap > 1e-6 {
		fault("GAP: an account is out by %.3f", w.day.Gap)
	}
	most := w.day.Due
	for id := range w.may {
		if !w.due[id] {
			most++
		}
	}
	if held > stand.Outstanding+1e-6 {
		fault("ESCROW: balancers hold %.0f tokens, and the book knows of %.0f", held, stand.Outstanding)
	}
	if w.day.Spent > most+1e-6 {
		fault("CHARGED: %.0f charges for %.0f requests that were due one, or may have been", w.day.Spent, most)
	}
	if w.day.Due > stand.Earned+stand.Granted+w.day.Unheard+1e-6 {
		fault("BEYOND: %.0f drawn of a credit of %.0f, %.0f of it never told", w.day.Due, stand.Earned+stand.Granted, w.day.Unheard)
	}
	// Tokens are out for Ahead and reserved for as long as a request takes; those of the dead are given out once more.
	spent, stranded, _ := w.terms["t"].Bounds(5 * S)
	w.day.Bound, w.day.StrandedBound = spent+w.Extra*float64(w.Kills), stranded
	for a, b := 0, 0; b < len(w.spends); b++ {
		for w.spends[b]-w.spends[a] > 5*S {
			a++
		}
		w.day.Window = math.Max(w.day.Window, float64(b-a+1))
	}
	// A rush that alone uses all that may be spent leaves next to nothing to calls of services.
	if w.Inner > 0 && w.Rate >= w.Extra && w.owed[1] < 0.95*(w.owed[0]+w.owed[1]) {
		fault("ORDER: %.0f of %.0f tokens went to calls of services while clients waited", w.owed[0], w.owed[0]+w.owed[1])
	}
}

func (d *CreditDay) shown() map[string]float64 {
	total, most := int64(0), int64(0)
	for _, t := range d.Waited {
		total, most = total+t, max(most, t)
	}
	return map[string]float64{"asked": float64(d.Asked), "served": float64(d.Served) / math.Max(1, float64(d.Asked)),
		"inner served": float64(d.InnerServed) / math.Max(1, float64(d.InnerAsked)), "charged": d.Spent, "due": d.Due, "unheard": d.Unheard,
		"most spent in 5 s": d.Window, "most allowed": d.Bound, "most stranded": d.Stranded, "most gap": d.Gap,
		"reports": float64(d.Reports), "KB": float64(d.Bytes) / 1000, "mean wait ms": float64(total) / float64(max(len(d.Waited), 1)) / 1e6, "most wait ms": float64(most) / 1e6}
}

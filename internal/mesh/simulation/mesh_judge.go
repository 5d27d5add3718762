package simulation

import (
	"fmt"
	"math"
	"sort"
)

// judge holds what passed against the rule, in every window.
func (w *meshWorld) judge() {
	sort.Slice(w.pass, func(a, b int) bool { return w.pass[a] < w.pass[b] })
	for a, b := 0, 0; b < len(w.pass); b++ {
		for w.pass[b]-w.pass[a] > w.limit.Window {
			a++
		}
		w.day.Window = math.Max(w.day.Window, float64(b-a+1))
	}
	if w.day.Bound = w.limit.MaxPerWindow(); w.day.Window > w.day.Bound {
		w.day.Broken = append(w.day.Broken, fmt.Sprintf("QUOTA: %.0f passed in a window, %.0f are allowed", w.day.Window, w.day.Bound))
	}
	for _, c := range w.controllers {
		w.day.ControllerRequests = max(w.day.ControllerRequests, c.asks)
	}
}

func (d *MeshDay) shown() map[string]float64 {
	share := 0.0
	if d.Within > 0 {
		share = float64(d.RefusedWithin) / float64(d.Within)
	}
	return map[string]float64{"asked": float64(d.Asked), "refused within": share, "most in a window": d.Window, "most allowed": d.Bound,
		"asks": float64(d.Asks), "draws": float64(d.Draws), "core KB": float64(d.Bytes) / 1000, "most news ms": float64(d.Stale) / 1e6}
}

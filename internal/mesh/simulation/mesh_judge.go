package simulation

import (
	"fmt"
	"math"
	"sort"
)

// check holds what passed against the rule, in every window.
func (sim *meshSimulation) check() {
	sort.Slice(sim.passedAt, func(a, b int) bool { return sim.passedAt[a] < sim.passedAt[b] })
	for a, b := 0, 0; b < len(sim.passedAt); b++ {
		for sim.passedAt[b]-sim.passedAt[a] > sim.limit.Window {
			a++
		}
		sim.result.Window = math.Max(sim.result.Window, float64(b-a+1))
	}
	if sim.result.Bound = sim.limit.MaxPerWindow(); sim.result.Window > sim.result.Bound {
		sim.result.Broken = append(sim.result.Broken, fmt.Sprintf("QUOTA: %.0f passed in a window, %.0f are allowed", sim.result.Window, sim.result.Bound))
	}
	for _, controller := range sim.controllers {
		sim.result.ControllerRequests = max(sim.result.ControllerRequests, controller.polls)
	}
}

func (d *MeshResult) metrics() map[string]float64 {
	share := 0.0
	if d.Within > 0 {
		share = float64(d.RefusedWithin) / float64(d.Within)
	}
	return map[string]float64{"asked": float64(d.Asked), "refused within": share, "most in a window": d.Window, "most allowed": d.Bound,
		"asks": float64(d.Asks), "draws": float64(d.Draws), "core KB": float64(d.Bytes) / 1000, "most news ms": float64(d.Stale) / 1e6}
}

package simulation

import (
	"fmt"
	"math"
	"sort"
)

// check compares the allowed requests with the quota in every window.
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

func (result *MeshResult) metrics() map[string]float64 {
	refusedShare := 0.0
	if result.Within > 0 {
		refusedShare = float64(result.RefusedWithin) / float64(result.Within)
	}
	return map[string]float64{"asked": float64(result.Asked), "refused within": refusedShare, "most in a window": result.Window, "most allowed": result.Bound,
		"asks": float64(result.Asks), "draws": float64(result.Draws), "core KB": float64(result.Bytes) / 1000, "most news ms": float64(result.Stale) / 1e6}
}

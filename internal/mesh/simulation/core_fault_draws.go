package simulation

import "math/rand/v2"

// faultDraw is a number of random faults of the given kinds, each between least and least+spread milliseconds long.
type faultDraw struct {
	count         int
	kinds         []string
	least, spread int
}

// faultDraws returns the draws for the counts. A kind that is listed twice is twice as likely.
func (counts FaultCounts) faultDraws() []faultDraw {
	return []faultDraw{
		{counts.Kills, []string{Kill}, 200, 3000},
		{counts.KillAlls, []string{KillAll}, 300, 700},
		{counts.Wipes, []string{Wipe, Wipe, WipeAlone}, 300, 1500},
		{counts.Cuts, []string{Cut, CutOff, CutDeaf}, 500, 4000},
		{counts.Freezes, []string{Freeze}, 300, 4000},
		{counts.Stalls, []string{Stall}, 300, 4000},
		{counts.PowerLosses, []string{PowerLoss}, 300, 3000},
		{counts.PowerAlls, []string{PowerAll}, 300, 700},
		{counts.LinkCuts, []string{CutLink}, 500, 6000},
		{counts.LongCuts, []string{Cut}, 20000, 1},
		{counts.Refusals, []string{Refuse}, 300, 4000},
		{counts.Slows, []string{Slow}, 500, 5000},
		{counts.SlowDisks, []string{SlowDisk}, 500, 5000},
		{counts.ClockSteps, []string{ClockStep}, 1000, 9000},
		{counts.Terms, []string{Term}, 300, 2000},
		{counts.Replaces, []string{Replace, Replace, ReplaceBack}, 500, 3000},
		{counts.ReplaceWipe, []string{ReplaceWipe}, 300, 500},
		{counts.MachineLoss, []string{MachineLoss}, 500, 3000},
	}
}

// drawFaults returns random faults, as many of each kind as FaultCounts says.
func (scenario CoreScenario) drawFaults(rng *rand.Rand) (all []Fault) {
	last := scenario.Length * 7 / 10
	for _, of := range scenario.FaultCounts.faultDraws() {
		for range of.count {
			f := Fault{Kind: of.kinds[rng.IntN(len(of.kinds))]}
			f.At = duration(faultFreeStart + int64(rng.Float64()*float64(last-faultFreeStart)))
			f.Who = rng.IntN(scenario.Controllers)
			f.For = duration(int64(of.least)*Millisecond + int64(rng.IntN(of.spread))*Millisecond)
			all = append(all, f)
		}
	}
	all = append(all, scenario.drawTriggeredFaults(AckWipe, scenario.AckWipes, max(scenario.Updates/2, 1), rng)...)
	return append(all, scenario.drawTriggeredFaults(SendPower, scenario.SendPowers, max(scenario.Updates*3/4, 1), rng)...)
}

// drawTriggeredFaults returns faults that are triggered by the nth event of the run, at most one for each event.
func (scenario CoreScenario) drawTriggeredFaults(kind string, count, events int, rng *rand.Rand) (all []Fault) {
	drawn := map[int]bool{}
	for range count {
		n := 1 + rng.IntN(events)
		f := Fault{Kind: kind, After: n, For: duration(300*Millisecond + int64(rng.IntN(300))*Millisecond)}
		if !drawn[n] {
			drawn[n] = true
			all = append(all, f)
		}
	}
	return all
}

package simulation

import "math/rand/v2"

// faultDraw is so many faults of some kinds, each between least and least+spread milliseconds long.
type faultDraw struct {
	count         int
	kinds         []string
	least, spread int
}

// faultDraws are what a day's counts ask for.
func (t Troubles) faultDraws() []faultDraw {
	return []faultDraw{
		{t.Kills, []string{Kill}, 200, 3000},
		{t.KillAlls, []string{KillAll}, 300, 700},
		{t.Wipes, []string{Wipe, Wipe, WipeAlone}, 300, 1500},
		{t.Cuts, []string{Cut, CutOff, CutDeaf}, 500, 4000},
		{t.Freezes, []string{Freeze}, 300, 4000},
		{t.Stalls, []string{Stall}, 300, 4000},
		{t.PowerLosses, []string{PowerLoss}, 300, 3000},
		{t.PowerAlls, []string{PowerAll}, 300, 700},
		{t.LinkCuts, []string{CutLink}, 500, 6000},
		{t.LongCuts, []string{Cut}, 20000, 1},
		{t.Refusals, []string{Refuse}, 300, 4000},
		{t.Slows, []string{Slow}, 500, 5000},
		{t.SlowDisks, []string{SlowDisk}, 500, 5000},
		{t.ClockSteps, []string{ClockStep}, 1000, 9000},
		{t.Terms, []string{Term}, 300, 2000},
		{t.Replaces, []string{Replace, Replace, ReplaceBack}, 500, 3000},
		{t.ReplaceWipe, []string{ReplaceWipe}, 300, 500},
		{t.MachineLoss, []string{MachineLoss}, 500, 3000},
	}
}

// drawFaults are the faults of a day, by chance from how many of each there are to be.
func (c Core) drawFaults(chance *rand.Rand) (all []Fault) {
	last := c.Length * 7 / 10
	for _, of := range c.Troubles.faultDraws() {
		for range of.count {
			f := Fault{Kind: of.kinds[chance.IntN(len(of.kinds))]}
			f.At = span(lead + int64(chance.Float64()*float64(last-lead)))
			f.Who = chance.IntN(c.Controllers)
			f.For = span(int64(of.least)*Ms + int64(chance.IntN(of.spread))*Ms)
			all = append(all, f)
		}
	}
	all = append(all, c.drawStrikes(AckWipe, c.AckWipes, max(c.Puts/2, 1), chance)...)
	return append(all, c.drawStrikes(SendPower, c.SendPowers, max(c.Puts*3/4, 1), chance)...)
}

// drawStrikes are faults that come upon the nth event of the day, one each.
func (c Core) drawStrikes(kind string, count, events int, chance *rand.Rand) (all []Fault) {
	drawn := map[int]bool{}
	for range count {
		n := 1 + chance.IntN(events)
		f := Fault{Kind: kind, After: n, For: span(300*Ms + int64(chance.IntN(300))*Ms)}
		if !drawn[n] {
			drawn[n] = true
			all = append(all, f)
		}
	}
	return all
}

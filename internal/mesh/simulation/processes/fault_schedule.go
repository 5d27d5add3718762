package processes

import (
	"math/rand/v2"
	"time"
)

const (
	// MinSoakLength is the shortest length of a soak.
	MinSoakLength = 30 * time.Second

	soakRecovery     = 14 * time.Second       // at the end of a soak, without new faults and departures
	soakLead         = 2 * time.Second        // before the first fault
	meanFaultGap     = 700 * time.Millisecond // between the beginnings of two faults
	minFaultDuration = 200 * time.Millisecond
	meanFaultExtra   = 1200 * time.Millisecond // beyond minFaultDuration
	maxFaultExtra    = 5 * time.Second
	processPause     = 300 * time.Millisecond // between two faults of one process
	// wipeInterval is longer than the repair of the core after a lost disk, of which it bears one at a time.
	wipeInterval = 25 * time.Second
)

// weightedKinds are the kinds of drawn faults; a kind that occurs more often here is drawn more often.
var weightedKinds = []string{
	KillProxy, KillProxy, KillProxy, KillProxy, TermProxy, TermProxy, FreezeProxy, FreezeProxy, HangUpProxy,
	KillController, KillController, TermController, FreezeController, WipeController, KillAll,
}

// drawFaults draws faults from the seed of a mesh. They overlap, but those of one process come one after the other.
func drawFaults(m *Mesh) (faults []Fault) {
	rng := rand.New(rand.NewPCG(m.Seed, 3))
	harness := &harness{Mesh: *m}
	freeAt := make([]time.Duration, m.Controllers+m.Proxies)
	nextWipe := soakLead
	end := m.Length - soakRecovery
	for at := soakLead; at < end; at += time.Duration(rng.ExpFloat64() * float64(meanFaultGap)) {
		f := Fault{Kind: weightedKinds[rng.IntN(len(weightedKinds))], At: at, Who: rng.IntN(m.Controllers * m.Proxies),
			For: minFaultDuration + min(maxFaultExtra, time.Duration(rng.ExpFloat64()*float64(meanFaultExtra)))}
		if f.Kind == TermProxy || f.Kind == TermController {
			f.For += gracePeriod
		}
		if at+f.For > end || f.Kind == WipeController && at < nextWipe || !harness.isFree(f, freeAt) {
			continue
		}
		if f.Kind == WipeController {
			nextWipe = at + f.For + wipeInterval
		}
		for n := range freeAt {
			if harness.affects(f, n) {
				freeAt[n] = at + f.For + processPause
			}
		}
		faults = append(faults, f)
	}
	return faults
}

// isFree reports whether no process that a fault affects still has another one.
func (h *harness) isFree(f Fault, freeAt []time.Duration) bool {
	for n, at := range freeAt {
		if h.affects(f, n) && at > f.At {
			return false
		}
	}
	return true
}

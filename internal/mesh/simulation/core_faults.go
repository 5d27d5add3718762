package simulation

import "ottershift/internal/mesh/consensus"

const (
	slowMachineFactor = 40
	slowDiskFactor    = 30
	nextBackAfter     = 90 * Ms // where all go down, each comes back so much later than the one before
)

// strikes are faults that come upon an event of the day.
type strikes struct {
	w                 *coreWorld
	afterConfirmation map[int]Fault
	afterOrder        map[int]Fault
	confirmations     int
}

// scheduleFaults does what goes wrong. Disks are lost within what is to be borne at once, everything else as it comes.
func (w *coreWorld) scheduleFaults() {
	faults := w.Faults
	if faults == nil {
		faults = w.drawFaults(w.Chance("trouble"))
	}
	w.strikes = strikes{w: w, afterConfirmation: map[int]Fault{}, afterOrder: map[int]Fault{}}
	for _, f := range faults {
		switch f.Kind {
		case AckWipe:
			w.strikes.afterConfirmation[f.After] = f
		case SendPower:
			w.strikes.afterOrder[f.After] = f
		default:
			w.After(int64(f.At), func() { w.befall(f) })
		}
	}
}

// allowed reports whether trouble may come now.
func (s *strikes) allowed() bool { return s.w.Now >= lead && s.w.Now <= s.w.Length*7/10 }

// confirmed is called with each confirmation as it leaves a process.
func (s *strikes) confirmed(by *coreProcess) {
	s.confirmations++
	f, is := s.afterConfirmation[s.confirmations]
	if !is || !s.allowed() {
		return
	}
	w := s.w
	w.After(w.Delay+Ms/4, func() {
		if w.lost() > 0 || !by.up {
			w.day.Excluded++
			return
		}
		for _, victim := range w.wipedWith(by) {
			w.stop(victim, int64(f.For), outage{wipe: true, power: true})
		}
		w.stopOthers(by, 200*Ms+int64(f.For)/2, outage{power: true})
	})
}

// wipedWith is whose disks are lost together with one: as many as may be borne, the others drawn from the core.
func (w *coreWorld) wipedWith(first *coreProcess) []*coreProcess {
	victims := []*coreProcess{first}
	core := w.newestCore()
	for _, n := range w.disks.Perm(len(core)) {
		if len(victims) >= w.Tolerate {
			break
		}
		if b := w.byAddress[core[n].Address]; b != first {
			victims = append(victims, b)
		}
	}
	return victims
}

// sent is called with each order as it is given; what follows comes within the time that it takes to be decided.
func (s *strikes) sent(order int) {
	f, is := s.afterOrder[order]
	if !is || !s.allowed() {
		return
	}
	w := s.w
	soon := int64(w.disks.Float64() * float64(6*w.Delay+2*w.Jitter+3*w.Sync))
	w.After(soon, func() { w.stopOthers(nil, int64(f.For), outage{power: true}) })
}

// befall has one fault happen.
func (w *coreWorld) befall(f Fault) {
	b, long := w.processes[f.Who%len(w.processes)], int64(f.For)
	if b.retired {
		w.day.Excluded++
		return
	}
	switch f.Kind {
	case Kill:
		w.stop(b, long, outage{fate: w.drawFate()})
	case KillAll:
		w.stopOthers(nil, long, outage{})
	case PowerLoss:
		w.stop(b, long, outage{power: true, fate: w.drawFate()})
	case PowerAll:
		w.stopOthers(nil, long, outage{power: true})
	case Wipe, WipeAlone:
		w.wipe(b, long, f.Kind == WipeAlone)
	case Term:
		w.restartInOrder(b, long)
	case Replace, ReplaceBack, ReplaceWipe:
		w.replace(b, f)
	case MachineLoss:
		w.loseMachine(b, long)
	case ClockStep:
		b.timeOfDay += long - 5*S
	default:
		w.away(b, long)
		w.hinder(b, f.Kind, w.Now+long)
	}
}

// hinder has a process go on with something in its way.
func (w *coreWorld) hinder(b *coreProcess, kind string, until int64) {
	switch kind {
	case Cut, CutOff, CutDeaf:
		w.cutOff(b, kind, until)
	case CutLink:
		l := link{b.number, (b.number + 1) % len(w.processes)}
		w.linkCuts[l] = max(w.linkCuts[l], until)
	case Refuse:
		b.refusesUntil = max(b.refusesUntil, until)
	case Freeze:
		b.frozenUntil = max(b.frozenUntil, until)
	case Slow:
		b.slowMachine = slowdown{slowMachineFactor, until}
	case Stall:
		b.stalledUntil = max(b.stalledUntil, until)
	case SlowDisk:
		b.slowDisk = slowdown{slowDiskFactor, until}
	}
}

func (w *coreWorld) cutOff(b *coreProcess, kind string, until int64) {
	if !b.isolated(w.Now) {
		b.isolatedSince = w.Now
	}
	if kind != CutOff {
		b.deafUntil = max(b.deafUntil, until)
	}
	if kind != CutDeaf {
		b.mutedUntil = max(b.mutedUntil, until)
	}
}

// away notes that a machine counts as lost for a while, and for CatchUp after.
func (w *coreWorld) away(b *coreProcess, long int64) {
	b.lostUntil = max(b.lostUntil, w.Now+long+w.CatchUp)
	w.troubled(w.Now + long)
}

// outage is how a process ends.
type outage struct {
	wipe  bool // its disk is lost
	power bool // its machine says nothing
	fate  unsyncedFate
}

// stop takes a process away for a while.
func (w *coreWorld) stop(b *coreProcess, long int64, how outage) {
	if !b.up {
		return
	}
	w.end(b, how)
	w.away(b, long)
	w.After(long, func() {
		if !b.retired {
			w.start(b)
		}
	})
	w.observeFewest()
}

// end ends a life.
func (w *coreWorld) end(b *coreProcess, how outage) {
	w.interrupt(b, how.fate)
	b.up, b.powered = false, !how.power
	b.life++
	b.catchUp.pending = false
	if how.wipe {
		w.wipeDisk(b)
	}
}

func (w *coreWorld) wipeDisk(b *coreProcess) {
	before := b.disk.ID
	b.disk = w.emptyDisk(b.number)
	if w.StrangerVotes { // it takes itself for the founder that it was
		b.disk.ID, b.disk.Decided = before, w.founded
	}
}

// stopOthers takes all but one away, or all, each for a little longer than the one before.
func (w *coreWorld) stopOthers(but *coreProcess, long int64, how outage) {
	how.fate = w.drawFate()
	for n, b := range w.processes {
		if b != but {
			w.stop(b, long+int64(n)*nextBackAfter, how)
		}
	}
}

// wipe takes a machine and its disk, where that may be borne.
func (w *coreWorld) wipe(b *coreProcess, long int64, othersLosePower bool) {
	if w.lost() >= w.Tolerate || !b.up {
		w.day.Excluded++
		return
	}
	w.stop(b, long, outage{wipe: true, power: true})
	if othersLosePower {
		w.stopOthers(b, 400*Ms, outage{power: true})
	}
}

// lost counts the machines that count as lost.
func (w *coreWorld) lost() (n int) {
	for _, b := range w.processes {
		if w.Now < b.lostUntil || !b.up && !b.retired {
			n++
		}
	}
	return n
}

// newestCore is the core as it was last seen decided.
func (w *coreWorld) newestCore() []consensus.Member {
	if s := w.judge.decided[w.judge.newestIndex]; s != nil {
		return s.Core
	}
	return w.founded.Core
}

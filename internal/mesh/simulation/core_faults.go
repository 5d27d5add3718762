package simulation

import (
	"fmt"

	"ottershift/internal/mesh/consensus"
)

// draws are the faults of a day, by chance from how many of each there are to be.
func (w *coreWorld) draws() (all []Fault) {
	chance := w.Chance("trouble")
	last := w.Length * 7 / 10
	add := func(kind string, least, spread int) {
		f := Fault{Kind: kind, At: span(lead + int64(chance.Float64()*float64(last-lead)))}
		f.Who = chance.IntN(len(w.processes))
		f.For = span(int64(least)*Ms + int64(chance.IntN(spread))*Ms)
		all = append(all, f)
	}
	for _, of := range []struct {
		n             int
		kinds         []string
		least, spread int
	}{
		{w.Kills, []string{Kill}, 200, 3000}, {w.KillAlls, []string{KillAll}, 300, 700}, {w.Wipes, []string{Wipe, Wipe, WipeAlone}, 300, 1500},
		{w.Cuts, []string{Cut, CutOff, CutDeaf}, 500, 4000}, {w.Freezes, []string{Freeze}, 300, 4000}, {w.Stalls, []string{Stall}, 300, 4000},
	} {
		for range of.n {
			add(of.kinds[chance.IntN(len(of.kinds))], of.least, of.spread)
		}
	}
	strikes := map[int]bool{}
	for range w.AckWipes {
		n := 1 + chance.IntN(max(w.Puts/2, 1))
		if f := (Fault{Kind: AckWipe, After: n, For: span(300*Ms + int64(chance.IntN(300))*Ms)}); !strikes[n] {
			strikes[n], all = true, append(all, f)
		}
	}
	return all
}

// trouble does what goes wrong. Disks are lost within what is to be borne at once, everything else as it comes.
func (w *coreWorld) trouble() {
	faults := w.Faults
	if faults == nil {
		faults = w.draws()
	}
	strikes := map[int]Fault{}
	for _, f := range faults {
		if f.Kind == AckWipe {
			strikes[f.After] = f
		} else {
			w.After(int64(f.At), func() { w.befall(f) })
		}
	}
	acks := 0
	w.strike = func(b *coreProcess) {
		acks++
		f, is := strikes[acks]
		if !is || w.Now > w.Length*7/10 || w.Now < lead {
			return
		}
		w.After(w.Delay+Ms/4, func() {
			if w.lost() > 0 || !b.up {
				w.day.Excluded++
				return
			}
			w.down(b, int64(f.For), true)
			w.others(b, 200*Ms+int64(f.For)/2)
		})
	}
}

// befall has one fault happen.
func (w *coreWorld) befall(f Fault) {
	b, long := w.processes[f.Who%len(w.processes)], int64(f.For)
	away := func() { b.lost = max(b.lost, w.Now+long+w.CatchUp) }
	switch f.Kind {
	case Kill:
		w.down(b, long, false)
	case KillAll:
		w.down(b, long, false)
		w.others(b, long)
	case Wipe, WipeAlone:
		if w.lost() >= w.Tolerate || !b.up {
			w.day.Excluded++
			return
		}
		w.down(b, long, true)
		if f.Kind == WipeAlone { // all others lose power in that moment, and keep their disks
			w.others(b, 400*Ms)
		}
	case Cut, CutOff, CutDeaf:
		away()
		for _, o := range w.processes {
			if o != b {
				if f.Kind != CutOff {
					w.cut[[2]int{o.name, b.name}] = w.Now + long
				}
				if f.Kind != CutDeaf {
					w.cut[[2]int{b.name, o.name}] = w.Now + long
				}
			}
		}
	case Freeze:
		away()
		b.frozen = w.Now + long
	case Stall:
		away()
		b.slow = w.Now + long
	}
}

// down takes a process away for a while, with its disk or without.
func (w *coreWorld) down(b *coreProcess, long int64, wipe bool) {
	if !b.up {
		return
	}
	b.up = false
	b.life++
	if wipe {
		w.drawn++
		id := fmt.Sprintf("disk-%d-%d", b.name, w.drawn)
		if w.StrangerVotes {
			id = b.disk.ID
		}
		b.disk = &consensus.Replica{ID: id, Decided: &consensus.State{}}
		if w.StrangerVotes { // it takes itself for the founder that it was
			b.disk.Decided = w.founded
		}
	}
	b.lost = w.Now + long + w.CatchUp
	w.After(long, func() { w.start(b) })
	w.keeps()
}

// others takes all but one away, each for a little longer than the one before.
func (w *coreWorld) others(b *coreProcess, long int64) {
	for n, o := range w.processes {
		if o != b {
			w.down(o, long+int64(n)*90*Ms, false)
		}
	}
}

// lost counts the processes that count as lost.
func (w *coreWorld) lost() (n int) {
	for _, b := range w.processes {
		if w.Now < b.lost || !b.up || w.Now < b.frozen {
			n++
		}
	}
	return n
}

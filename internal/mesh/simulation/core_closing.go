package simulation

import (
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	probeInterval  = 50 * Ms
	probeTimeout   = 900 * Ms
	closingWipeFor = 300 * Ms
	closingReads   = 8
)

// catchUp is how a process comes back to what was decided when it started.
type catchUp struct {
	pending bool
	target  uint64
}

// beginCatchUp starts the clock of a process that has started.
func (w *coreWorld) beginCatchUp(b *coreProcess) {
	b.catchUp = catchUp{pending: true, target: w.judge.newestIndex}
	if w.judge.newestIndex == 0 {
		b.catchUp.pending = false // the first start
		return
	}
	if b.disk.Decided.Index >= b.catchUp.target {
		b.catchUp.pending = false
		return
	}
	started := w.Now
	w.after(b, w.CatchUp, func() {
		if b.catchUp.pending && w.troubledUntil <= started {
			w.broke("catch-up: process %d is behind %v after its start, with no trouble", b.number, time.Duration(w.CatchUp))
		}
	})
}

// noteCatchUp is called with each write that reaches the disk.
func (w *coreWorld) noteCatchUp(b *coreProcess) {
	if b.catchUp.pending && b.disk.Decided.Index >= b.catchUp.target {
		b.catchUp.pending = false
		w.day.CatchUps = append(w.day.CatchUps, w.Now-b.since)
	}
}

// troubled notes that something is wrong until some time, after which the core has to decide again.
func (w *coreWorld) troubled(until int64) {
	if until <= w.troubledUntil {
		return
	}
	w.troubledUntil = until
	w.After(until-w.Now, func() {
		if w.troubledUntil == until {
			w.awaitRepair(until)
		}
	})
}

// repair is a core that is to decide again after trouble.
type repair struct {
	w     *coreWorld
	since int64 // the end of the trouble
	over  bool
}

// awaitRepair has the core decide something, at one process after the other, and notes how long that took since the end of
// trouble. Where there is new trouble it doesn't count.
func (w *coreWorld) awaitRepair(since int64) {
	r := &repair{w: w, since: since}
	r.probe(w.net.IntN(len(w.processes)))
	w.After(w.RepairWithin, func() {
		if r.expected() {
			w.broke("no repair: nothing is decided %v after the end of trouble", time.Duration(w.RepairWithin))
		}
		r.over = true
	})
}

// expected reports whether the core is still to decide, and nothing new is wrong.
func (r *repair) expected() bool { return !r.over && r.w.troubledUntil == r.since }

// probe has a process decide something new that is no order, and after it the next.
func (r *repair) probe(n int) {
	if !r.expected() {
		return
	}
	w, b := r.w, r.w.processes[n%len(r.w.processes)]
	next := func() { w.After(probeInterval, func() { r.probe(n + 1) }) }
	if !b.up || len(b.memory.Decided.Core) == 0 {
		next()
		return
	}
	count := func(s *consensus.State) (*consensus.State, error) {
		return s.WithBalancerCount(s.BalancerCount + 1), nil
	}
	w.propose(b, probeTimeout, count, func(o outcome) {
		if o.decided && r.expected() {
			r.over = true
			w.day.Repairs = append(w.day.Repairs, w.Now-r.since)
		}
		next()
	})
}

// closeDay looks, with everything mended, whether the core is whole, bears another lost disk, and has what was
// acknowledged.
func (w *coreWorld) closeDay() {
	w.Run(max(w.Now, w.troubledUntil) + max(w.CatchUp, w.RepairWithin))
	w.Loss = 0
	if w.Tolerate > 0 && w.lost() == 0 && w.Controllers > 1 {
		w.closingWipe()
	}
	w.closingRead()
	w.judgeOrders()
	w.finishHistory()
	w.judgeHistory()
}

// closingWipe takes a member's disk: with nothing else wrong it is back, and the core whole, after CatchUp.
func (w *coreWorld) closingWipe() {
	newest := w.judge.decided[w.judge.newestIndex]
	if newest == nil {
		return
	}
	victim := w.byAddress[newest.Core[w.net.IntN(len(newest.Core))].Address]
	w.stop(victim, closingWipeFor, outage{wipe: true})
	w.Run(w.Now + closingWipeFor + w.CatchUp)
	newest = w.judge.decided[w.judge.newestIndex]
	for _, m := range newest.Core {
		b := w.byAddress[m.Address]
		if !b.up || b.memory.ID != m.ID {
			w.broke("not whole: member %s is away %v after the last disk that was lost", m.ID, time.Duration(w.CatchUp))
		}
	}
}

func (w *coreWorld) closingRead() {
	answered := false
	for n := 0; n < closingReads && !answered; n++ {
		b := w.processes[n%len(w.processes)]
		if !b.up {
			continue
		}
		w.readNewest(b, func(o outcome) {
			if o.decided && !answered {
				answered = true
				w.judgeNewest(o.state)
			}
		})
		w.Run(w.Now + 2*S)
	}
	if !answered {
		w.broke("no answer: a core that has all it needs does not read")
	}
}

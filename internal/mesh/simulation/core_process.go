package simulation

import (
	"fmt"
	"slices"

	"ottershift/internal/mesh/consensus"
)

type coreProcess struct {
	name   int
	at     string
	up     bool
	frozen int64 // until then
	slow   int64 // until then its disk does nothing
	life   int
	disk   *consensus.Replica
	mem    *consensus.Replica
	busy   int64 // until then its disk is at work
	round  uint64
	since  int64 // of this life
	heard  map[string]consensus.PeerStatus
	when   map[string]int64
	looked map[string]bool
	lost   int64 // counts as lost until then
}

// start begins a life with what is on the disk.
func (w *coreWorld) start(b *coreProcess) {
	b.life++
	b.up, b.since, b.busy, b.round = true, w.Now, 0, 0
	b.heard, b.when, b.looked = map[string]consensus.PeerStatus{}, map[string]int64{}, map[string]bool{}
	copied := *b.disk
	b.mem = &copied
	life := b.life
	var tend func()
	tend = func() {
		if b.life != life || !b.up {
			return
		}
		if w.Now >= b.frozen {
			w.tend(b)
		}
		w.After(250*Ms, tend)
	}
	w.After(int64(w.net.IntN(250))*Ms, tend)
}

// alive says whether what was begun in a life may go on.
func (b *coreProcess) alive(life int) bool { return b.up && b.life == life }

// send carries a message, unless it is lost; do runs in whatever life the hearer has by then.
func (w *coreWorld) send(from, to *coreProcess, do func()) {
	for copies := 1 + w.net.IntN(20)/19; copies > 0; copies-- {
		if from != to && (w.net.Float64() < w.Loss || w.Now < w.cut[[2]int{from.name, to.name}]) {
			continue
		}
		late := w.Delay + int64(w.net.Float64()*float64(w.Jitter))
		if from == to {
			late = 0
		}
		w.After(late, func() { w.arrive(to, do) })
	}
}

func (w *coreWorld) arrive(to *coreProcess, do func()) {
	switch {
	case !to.up:
	case w.Now < to.frozen:
		w.After(to.frozen-w.Now, func() { w.arrive(to, do) })
	default:
		do()
	}
}

// handle is a copy's turn: asks that need the disk wait for it, one after the other.
func (w *coreWorld) handle(b *coreProcess, a consensus.Request, back func(consensus.Response)) {
	life := b.life
	answer := func(out consensus.Response) { back(out) }
	sync := func(out consensus.Response) {
		now := *b.mem
		until := max(b.busy, w.Now, b.slow) + w.Sync
		b.busy = until
		if w.UnsyncedAck {
			answer(out)
		}
		w.After(until-w.Now, func() {
			if !b.alive(life) {
				return
			}
			b.disk = &now
			if !w.UnsyncedAck {
				answer(out)
			}
		})
	}
	work := func() {
		if !b.alive(life) {
			return
		}
		if w.NoEpoch && a.Kind == consensus.Accept {
			b.mem.Promised = consensus.Ballot{}
		}
		before := b.mem.Decided
		out, keep := b.mem.Handle(a)
		if b.mem.Decided != before {
			w.decide(b.mem.Decided)
		}
		if keep {
			sync(out)
		} else {
			answer(out)
		}
	}
	if a.Kind == consensus.ReadState || a.Kind == consensus.Learn {
		work()
		return
	}
	w.After(max(b.busy-w.Now, 0), work)
}

// decide holds decisions against one another: of a slot there is one.
func (w *coreWorld) decide(s *consensus.State) {
	text := fmt.Sprint(s.Edition, s.Core, s.Members, s.AppliedChanges)
	if was, is := w.decided[s.Index]; is && was != text {
		w.fault("two decisions in slot %d: %s and %s", s.Index, was, text)
	}
	w.decided[s.Index] = text
}

// ask puts a question to the core of a state; take takes answers until it says that it has enough.
func (w *coreWorld) ask(b *coreProcess, of *consensus.State, a consensus.Request, within int64, take func(consensus.Response) bool, timeout func()) {
	life, over := b.life, false
	for _, m := range of.Core {
		for _, to := range w.processes {
			if to.at == m.At {
				w.send(b, to, func() {
					w.handle(to, a, func(out consensus.Response) {
						w.send(to, b, func() {
							if b.alive(life) && !over {
								over = take(out)
							}
						})
					})
				})
			}
		}
	}
	w.After(within, func() {
		if b.alive(life) && !over {
			over = true
			timeout()
		}
	})
}

// change is a proposer's loop, as the runner has it; until is when it gives up.
func (w *coreWorld) change(b *coreProcess, until int64, attempt int, what func(*consensus.State) (*consensus.State, error), done func(s *consensus.State, err error, ok bool)) {
	if w.Now >= until {
		done(nil, nil, false)
		return
	}
	again := func() {
		life := b.life
		w.After(int64(1+attempt*7%20)*Ms+int64(w.net.IntN(20))*Ms, func() {
			if b.alive(life) {
				w.change(b, until, attempt+1, what, done)
			}
		})
	}
	b.round = max(b.round, b.mem.Promised.Round) + 1
	s := b.mem.Decided
	p, first := consensus.Propose(s, consensus.Ballot{Round: b.round, By: fmt.Sprintf("%d.%d", b.name, b.life)}, what)
	var step func(ask consensus.Request)
	step = func(ask consensus.Request) {
		w.ask(b, s, ask, min(900*Ms, until-w.Now), func(a consensus.Response) bool {
			b.round = max(b.round, p.Round)
			switch p.HandleResponse(a) {
			case consensus.StepWait:
				return false
			case consensus.StepSend:
				step(p.Request())
			case consensus.StepAhead:
				w.handle(b, consensus.Request{Kind: consensus.Learn, Value: p.State}, func(consensus.Response) {})
				again()
			case consensus.StepBehind:
				w.tell(b, s)
				again()
			case consensus.StepLost:
				again()
			case consensus.StepUnchanged:
				done(p.State, p.Err, true)
			case consensus.StepDecided:
				w.decide(p.State)
				w.handle(b, consensus.Request{Kind: consensus.Learn, Value: p.State}, func(consensus.Response) {})
				w.tell(b, p.State)
				if p.Own {
					done(p.State, nil, true)
				} else {
					again()
				}
			}
			return true
		}, again)
	}
	step(first)
}

func (w *coreWorld) tell(b *coreProcess, s *consensus.State) {
	for _, to := range w.processes {
		if to != b {
			w.send(b, to, func() { w.handle(to, consensus.Request{Kind: consensus.Learn, Value: s}, func(consensus.Response) {}) })
		}
	}
}

// tend is what a process does by itself four times a second: hear of the others, look where the core stands, settle what
// hangs, keep the core whole.
func (w *coreWorld) tend(b *coreProcess) {
	for _, to := range w.processes {
		if to == b {
			continue
		}
		id, index := b.mem.ID, b.mem.Decided.Index
		w.send(b, to, func() {
			to.heard[b.at] = consensus.PeerStatus{Member: consensus.Member{ID: id, At: b.at, Zone: b.at}}
			to.when[b.at] = w.Now
			if index > to.mem.Decided.Index && b.up {
				s := b.mem.Decided
				w.handle(to, consensus.Request{Kind: consensus.Learn, Value: s}, func(consensus.Response) {})
			}
		})
	}
	s := b.mem.Decided
	if len(s.Core) == 0 {
		return
	}
	r, ask := consensus.NewMajorityRead(s)
	w.ask(b, s, ask, 400*Ms, func(a consensus.Response) bool {
		if !r.HandleResponse(a) {
			return false
		}
		if ahead := r.Ahead(); ahead != nil {
			w.handle(b, consensus.Request{Kind: consensus.Learn, Value: ahead}, func(consensus.Response) {})
			return true
		}
		if !r.Current() || b.looked["busy"] {
			return true
		}
		var others []consensus.PeerStatus
		for at, h := range b.heard {
			h.SilentFor = w.Now - b.when[at]
			others = append(others, h)
		}
		slices.SortFunc(others, func(x, y consensus.PeerStatus) int { return int(x.At[7]) - int(y.At[7]) })
		rank := s.Rank(b.mem.ID, others)
		free := func(*consensus.State, error, bool) { b.looked["busy"] = false }
		if r.Pending() && rank <= 1 {
			b.looked["busy"] = true
			w.change(b, w.Now+2*S, 0, func(*consensus.State) (*consensus.State, error) { return nil, nil }, free)
			return true
		}
		self := consensus.Member{ID: b.mem.ID, At: b.at, Zone: b.at}
		if adoption, wanted := s.PlanMembership(self, others, w.Now-b.since); wanted && rank == 0 {
			b.looked["busy"] = true
			w.change(b, w.Now+2*S, 0, func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(adoption), nil },
				func(s *consensus.State, err error, ok bool) {
					if free(s, err, ok); ok {
						w.day.Adopted++
					}
				})
		}
		return true
	}, func() {})
}

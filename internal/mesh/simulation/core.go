package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"ottershift/internal/mesh/consensus"
)

// Core is a day of a core: processes with disks, links between them, operators who change one configuration, and what
// goes wrong.
type Core struct {
	Controllers int   // processes
	Founders    int   // of them, members from the beginning
	Tolerate    int   // disks that may be lost at once
	Length      int64 // of the day; what is wrong ends at 7/10 of it
	CatchUp     int64 // after its return, a wiped machine still counts as lost
	Delay       int64 // of a link, one way
	Jitter      int64
	Sync        int64 // of a disk
	Loss        float64
	Puts        int // changes that operators try
	Reads       int

	Kills, KillAlls, Wipes, Cuts, Freezes, Stalls int // how many of each
	AckWipes                                      int // of acknowledgements, after which whoever gave it loses its disk and all others power

	Faults []Fault // these, in place of so many by chance

	// Guards left out, to show that what they guard against is seen without them.
	UnsyncedAck, StrangerVotes, NoEpoch, OldRead bool
}

// CoreDay is what came of one.
type CoreDay struct {
	Broken   []string // rules, in the order in which they were seen to break
	Acked    int
	Stale    int
	Unclear  int
	Read     int
	Took     []int64 // of changes that were acknowledged
	Decided  uint64  // slots
	Adopted  int
	History  []Op
	Excluded int // faults that Tolerate did not allow at their time
	Fewest   int // disks that ever held the newest acknowledged version, 0 where none was lost
}

// Op is a call of an operator and what it was told, for those who check histories.
type Op struct {
	Client     int
	Read       bool
	On, Put    int64 // a change from one version to another
	Got        int64 // what a read returned
	OK, Stale  bool  // neither: nobody knows
	Call, Back int64
}

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

type coreWorld struct {
	*World
	Core
	day       CoreDay
	net       *rand.Rand
	processes []*coreProcess
	cut       map[[2]int]int64 // until then
	decided   map[uint64]string
	taken     map[int64]bool // versions that were acknowledged
	newest    int64
	drawn     int
	founded   *consensus.State
	strike    func(*coreProcess) // right after an acknowledgement
}

var errStale = errors.New("stale")

// Play plays one day.
func (c Core) Play(seed uint64) *CoreDay {
	w := &coreWorld{World: NewWorld(seed), Core: c, cut: map[[2]int]int64{}, decided: map[uint64]string{}, taken: map[int64]bool{}}
	w.net = w.Chance("net")
	var founders []string
	for n := range c.Founders {
		founders = append(founders, address(n))
	}
	state := consensus.Founders(founders, func(at string) string { return at }, c.Tolerate)
	w.founded = state
	for n := range c.Controllers {
		b := &coreProcess{name: n, at: address(n), up: true, heard: map[string]consensus.PeerStatus{}, when: map[string]int64{}, looked: map[string]bool{}}
		if n < c.Founders {
			b.disk = &consensus.Replica{ID: consensus.FounderID(b.at), Decided: state}
		} else {
			b.disk = &consensus.Replica{ID: fmt.Sprintf("disk-%d-first", n), Decided: &consensus.State{}}
		}
		w.processes = append(w.processes, b)
		w.start(b)
	}
	w.trouble()
	w.operators()
	w.Run(c.Length)
	w.final()
	w.day.Decided = uint64(len(w.decided))
	return &w.day
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1", n) }

func (w *coreWorld) fault(format string, args ...any) {
	w.day.Broken = append(w.day.Broken, fmt.Sprintf("%.3fs ", float64(w.Now)/1e9)+fmt.Sprintf(format, args...))
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

// operators call one process after the other: changes on top of what they last saw, the same one again after silence, and
// reads.
func (w *coreWorld) operators() {
	chance := w.Chance("operators")
	last := int64(0) // the version that was last seen by anybody
	for n := range w.Puts {
		at := int64(chance.Float64() * float64(w.Length*8/10))
		w.After(at, func() {
			base := last
			version := base + int64(1+chance.IntN(3))
			digest := fmt.Sprint("put-", n)
			op := Op{Client: n, On: base, Put: version, Call: w.Now}
			w.call(chance.IntN(len(w.processes)), 0, func(b *coreProcess, done func(bool)) {
				w.change(b, w.Now+900*Ms, 0, func(s *consensus.State) (*consensus.State, error) {
					if s.HasApplied(version, digest) {
						return nil, nil
					}
					if s.Edition != base {
						return nil, errStale
					}
					return s.WithConfiguration(version, nil, digest), nil
				}, func(s *consensus.State, err error, ok bool) {
					if ok {
						op.OK, op.Stale = err == nil, err != nil
					}
					if done(ok); op.OK {
						w.strike(b)
					}
				})
			}, func(ok bool) {
				op.Back = w.Now
				w.day.History = append(w.day.History, op)
				switch {
				case op.OK:
					w.day.Acked++
					w.day.Took = append(w.day.Took, op.Back-op.Call)
					if w.taken[version] {
						w.fault("version %d acknowledged to two", version)
					}
					w.taken[version] = true
					w.newest = max(w.newest, version)
					last = max(last, version)
				case op.Stale:
					w.day.Stale++
				default:
					w.day.Unclear++
				}
			})
		})
	}
	for n := range w.Reads {
		at := int64(chance.Float64() * float64(w.Length*9/10))
		w.After(at, func() {
			op := Op{Client: w.Puts + n, Read: true, Call: w.Now}
			floor := w.newest
			w.call(chance.IntN(len(w.processes)), 0, func(b *coreProcess, done func(bool)) {
				w.read(b, func(s *consensus.State, ok bool) {
					if ok {
						op.OK, op.Got = true, s.Edition
					}
					done(ok)
				})
			}, func(ok bool) {
				op.Back = w.Now
				if ok {
					w.day.Read++
					if op.Got < floor {
						w.fault("old read: version %d was acknowledged before it was called, %d is read", floor, op.Got)
					}
					last = max(last, op.Got)
					w.day.History = append(w.day.History, op)
				}
			})
		})
	}
}

// read asks for the newest state beyond doubt.
func (w *coreWorld) read(b *coreProcess, done func(*consensus.State, bool)) {
	s := b.mem.Decided
	if w.OldRead {
		done(s, s.Edition > 0)
		return
	}
	settle := func() {
		w.change(b, w.Now+900*Ms, 0, func(*consensus.State) (*consensus.State, error) { return nil, nil },
			func(s *consensus.State, _ error, ok bool) { done(s, ok) })
	}
	r, ask := consensus.NewMajorityRead(s)
	w.ask(b, s, ask, 400*Ms, func(a consensus.Response) bool {
		if !r.HandleResponse(a) {
			return false
		}
		if r.Newest() {
			done(s, true)
		} else {
			if ahead := r.Ahead(); ahead != nil {
				w.handle(b, consensus.Request{Kind: consensus.Learn, Value: ahead}, func(consensus.Response) {})
			}
			settle()
		}
		return true
	}, settle)
}

// call has an operator call a process, and after a second of silence or an unclear answer the next, with the same words.
func (w *coreWorld) call(first, tries int, do func(b *coreProcess, done func(bool)), end func(ok bool)) {
	if tries == 4 {
		end(false)
		return
	}
	b := w.processes[(first+tries)%len(w.processes)]
	over := false
	next := func() {
		if !over {
			over = true
			w.After(50*Ms, func() { w.call(first, tries+1, do, end) })
		}
	}
	w.After(S, next)
	w.After(w.Delay, func() {
		w.arrive(b, func() {
			do(b, func(ok bool) {
				w.After(w.Delay, func() {
					if over {
						return
					}
					if !ok {
						next()
						return
					}
					over = true
					end(true)
				})
			})
		})
	})
}

// lead is how long nothing goes wrong at first: a core that is to bear the loss of two grows from its three founders.
const lead = 4 * S

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

// keeps notes how many disks hold the newest version that was acknowledged: the fewest that ever did is how near a day came
// to a loss.
func (w *coreWorld) keeps() {
	if w.newest == 0 {
		return
	}
	n := 0
	for _, b := range w.processes {
		if b.disk.Decided.Edition >= w.newest || b.disk.Accepted != nil && b.disk.Accepted.Value.Edition >= w.newest {
			n++
		}
	}
	if w.day.Fewest == 0 || n < w.day.Fewest {
		w.day.Fewest = max(n, 1)
	}
}

// final reads once more, with everything mended: what was acknowledged is there, and the core answers.
func (w *coreWorld) final() {
	answered := false
	for n := 0; n < 8 && !answered; n++ {
		b := w.processes[n%len(w.processes)]
		w.read(b, func(s *consensus.State, ok bool) {
			if !ok || answered {
				return
			}
			answered = true
			if s.Edition < w.newest {
				w.fault("lost: version %d was acknowledged, %d is read", w.newest, s.Edition)
			}
			for version := range w.taken {
				if !slices.ContainsFunc(s.AppliedChanges, func(t consensus.AppliedChange) bool { return t.Edition == version }) {
					w.fault("lost: version %d was acknowledged and is not among those taken", version)
				}
			}
		})
		w.Run(w.Now + 2*S)
	}
	if !answered {
		w.fault("no answer: a core that has all it needs does not read")
	}
}

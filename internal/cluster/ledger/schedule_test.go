package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

const (
	ms     = int64(time.Millisecond)
	window = 2000 * ms // in which a group of upstreams knows a repeat
	stop   = 600 * ms  // hard stop of a transaction
	within = 50 * ms
	onceIn = 20000 * ms
)

// faults are what a schedule plants, so that it can be seen to find it.
type faults struct {
	fence    bool // guard left out
	forgets  bool // an end by a lost run: its claims are freed as if they had never been sent
	overtake bool // claims that were given up and come late are granted
	early    bool // time is told twice
}

// planet plays members against one group's state: commands are lost, late and doubled, runs end and go on, upstreams run things
// and their answers get lost.
type planet struct {
	chance  *rand.Rand
	now     int64
	passed  int64
	state   *keep.State
	book    *Book
	index   uint64
	members []*sailor
	flying  []*parcel
	effects map[string][]effect // by key
	known   map[string]int64    // first effect, by key and group
	keys    int                 // tags that clients draw from
	granted int
	ran     int
	wrong   string
	f       faults
}

type effect struct {
	at    int64
	group string
}

// sailor is one member's run.
type sailor struct {
	name    string
	epoch   uint64
	open    bool // session, as it knows
	flow    *Flow
	seq     uint64
	out     map[uint64]bool
	asleep  int64 // stopped until then
	trips   []*trip
	pending []func() // what it hears once it is awake
}

// trip is one transaction in the hands of a member.
type trip struct {
	s      *sailor
	ask    Ask
	ends   int64
	epoch  uint64
	number uint64
	group  string
	claim  *Asked
	since  int64
	ran    bool // a push may have
	out    int
	done   bool
	over   bool
	next   int64
	bound  *Word
	known  *Entry
}

// parcel is a command on its way.
type parcel struct {
	s    *sailor
	run  uint64
	cmd  keep.Command
	sent *Sent
	from int64 // until when it is held up
	at   int64 // when its sender gives it up
	told bool
}

func (p *planet) fail(text string, values ...any) {
	if p.wrong == "" {
		p.wrong = fmt.Sprintf(text, values...)
	}
}

func (p *planet) apply(c *keep.Command) keep.Result {
	p.index++
	_, a := p.state.Apply(p.index, pack.Pack(c))
	return a
}

func (p *planet) begin(s *sailor) {
	s.epoch++
	s.flow, s.seq, s.out, s.trips, s.pending, s.asleep = NewFlow(time.Duration(within), 5*time.Millisecond, 1000), 0, map[uint64]bool{}, nil, nil, 0
	a := p.apply(&keep.Command{Kind: keep.OpenSession, Member: s.name, Epoch: s.epoch, Run: s.epoch})
	s.open = a.Code == keep.CodeOK
}

// send is what the runner does with a batch.
func (p *planet) send(s *sailor) {
	b, _ := s.flow.Next(p.now)
	if b == nil {
		return
	}
	s.seq++
	s.out[s.seq] = true
	low := s.seq
	for q := range s.out {
		low = min(low, q)
	}
	batch := b.Batch
	if p.f.overtake {
		batch.Low = 0
	}
	c := keep.Command{Kind: keep.PartCommand, Part: Part, Member: s.name, Epoch: s.epoch, Seq: s.seq, LowestPending: low, Body: pack.Pack(&batch)}
	if p.f.overtake {
		c.LowestPending = 0
	}
	x := &parcel{s: s, run: s.epoch, cmd: c, sent: b, at: p.now + 2*within, from: p.now}
	if p.chance.IntN(8) == 0 {
		x.from += p.chance.Int64N(600 * ms)
	}
	p.flying = append(p.flying, x)
}

// carry has commands come: in any order, some twice, some never.
func (p *planet) carry() {
	for i := 0; i < len(p.flying); i++ {
		x := p.flying[i]
		alive := x.s.epoch == x.run && x.s.flow != nil
		drop := false
		switch d := p.chance.IntN(100); {
		case p.now < x.from:
		case d < 30:
			a := p.apply(&x.cmd)
			if p.chance.IntN(6) > 0 && alive && !x.told { // else the answer is lost
				x.told = true
				p.hear(x, a, nil)
			}
			drop = p.chance.IntN(4) > 0
		case d < 33:
			drop = true
		}
		if alive && !x.told && p.now >= x.at {
			x.told = true
			p.hear(x, keep.Result{}, keep.ErrOutcomeUnknown)
		}
		if drop && (x.told || !alive) || p.now > x.at+3000*ms {
			p.flying = append(p.flying[:i:i], p.flying[i+1:]...)
			i--
		}
	}
}

func (p *planet) hear(x *parcel, a keep.Result, err error) {
	s := x.s
	do := func() {
		if s.epoch != x.run || s.flow == nil {
			return
		}
		var r Results
		over := err == nil && a.Code == keep.CodeSessionEnded
		if over {
			err = keep.ErrSessionEnded
			s.open = false
		} else if err == nil {
			if pack.Unpack(a.Body, &r) != nil {
				err = errShort
			}
		}
		delete(s.out, x.cmd.Seq)
		s.flow.Answered(x.sent, &r, err, over, p.now)
	}
	if p.now < s.asleep {
		s.pending = append(s.pending, do)
		return
	}
	do()
}

// arrive has a transaction come to a member.
func (p *planet) arrive(s *sailor) {
	once := p.chance.IntN(4) == 0
	tag := fmt.Sprint("k", p.chance.IntN(p.keys))
	if once {
		tag = fmt.Sprint("o", p.chance.IntN(40))
	}
	keepFor := window + stop
	if once {
		keepFor = onceIn + stop
	}
	t := &trip{s: s, ends: p.now + stop, ask: Ask{
		Pool: "p", Tariff: "t", Tag: tag, ID: tag, Once: once, Binds: !once, Keep: time.Duration(keepFor) * 102 / 100, Contract: time.Duration(stop),
		Again: p.chance.IntN(2) == 0,
	}}
	s.trips = append(s.trips, t)
}

// step is what a transaction does next.
func (p *planet) step(t *trip) {
	s := t.s
	if t.over || p.now < t.next {
		return
	}
	if t.claim != nil {
		if !t.claim.gone && p.now > t.since+within {
			s.flow.Abandon(t.claim)
			t.claim = nil
			p.close(t)
		}
		return
	}
	if t.out > 0 {
		return
	}
	if t.done || p.now > t.ends || !s.open || s.flow.Down(p.now) || t.ran && p.chance.IntN(2) == 0 || p.chance.IntN(30) == 0 {
		p.close(t)
		return
	}
	if t.epoch == 0 && t.bound == nil {
		e := t.known
		t.known = nil
		if e == nil && t.ask.Again {
			if n, some := p.book.at[t.ask.Key()]; some {
				x := p.book.entry(&p.book.slots[n])
				e = &x
			}
		}
		w := Decide(&t.ask, e, Rules{Waits: true}, time.Duration(p.now-t.since), time.Duration(t.ends-p.now))
		switch w.Fate {
		case Go:
			t.bound = &w
		case Wait:
			t.next, t.ask.Again = p.now+int64(w.Pause), true
			return
		default:
			p.close(t)
			return
		}
	}
	to := fmt.Sprint("g", p.chance.IntN(3))
	if t.bound != nil && t.bound.Bound {
		to = t.bound.Group
	}
	if t.ran {
		to = t.group
	}
	if t.ask.Once {
		if t.ran {
			p.close(t)
			return
		}
		to = ""
	}
	if t.epoch != 0 && t.group == to {
		p.push(t)
		return
	}
	t.since = p.now
	t.claim = &Asked{Op: Op{
		What: claim, Key: func() []byte { k := t.ask.Key(); return k[:] }(), Number: t.number, Group: to, Moves: !t.ran, Once: t.ask.Once, Pool: "p",
		Tariff: "t", Keep: int64(t.ask.Keep), ID: t.ask.ID,
	}}
	a := t.claim
	a.Done = func(r Res, err error) {
		t.claim = nil
		switch {
		case err != nil:
			p.close(t)
		case r.Code == Granted:
			t.epoch, t.number, t.group = s.epoch, a.Op.Number, to
			p.granted++
			p.push(t)
		default:
			t.bound, t.known = nil, r.Of()
			if t.known == nil || t.epoch != 0 {
				p.close(t)
			}
		}
	}
	s.flow.Claim(a)
}

// push leaves for its group, if its time isn't up, and comes to an end there some time later.
func (p *planet) push(t *trip) {
	if p.now > t.ends {
		p.close(t)
		return
	}
	t.out++
	at := p.now + p.chance.Int64N(20*ms)
	end := at + p.chance.Int64N(30*ms)
	runs := p.chance.IntN(100) < 70
	lost := p.chance.IntN(4) == 0
	p.later(at, func() {
		if runs {
			p.run(t)
		}
	})
	p.later(end, func() {
		back := func() {
			t.out--
			t.ran = t.ran || runs
			t.done = t.done || runs && !lost
		}
		if p.now < t.s.asleep {
			t.s.pending = append(t.s.pending, back)
		} else {
			back()
		}
	})
}

var todo []struct {
	at int64
	f  func()
}

func (p *planet) later(at int64, f func()) {
	todo = append(todo, struct {
		at int64
		f  func()
	}{at, f})
}

// run is a push at an upstream of its group.
func (p *planet) run(t *trip) {
	tag := t.ask.Tag
	if first, some := p.known[tag+"/"+t.group]; some && !t.ask.Once && p.now < first+window {
		return // dropped, and answered
	}
	p.known[tag+"/"+t.group] = p.now
	p.ran++
	for _, e := range p.effects[tag] {
		if t.ask.Once && p.now < e.at+onceIn || !t.ask.Once && p.now < e.at+window {
			p.fail("%s took effect in %q at %d ms and in %q at %d ms", tag, e.group, e.at/ms, t.group, p.now/ms)
		}
	}
	p.effects[tag] = append(p.effects[tag], effect{p.now, t.group})
	if _, some := p.book.at[t.ask.Key()]; !some {
		p.fail("%s runs in %q, and the ledger holds nothing of it", tag, t.group)
	}
}

func (p *planet) close(t *trip) {
	if t.over || t.out > 0 {
		return
	}
	t.over = true
	how := EndNever
	if t.done {
		how = EndAnswered
	} else if t.ran {
		how = EndUnknown
	}
	if t.epoch != 0 && t.s.open && t.s.epoch == t.epoch {
		t.s.flow.End(Op{What: end, Key: func() []byte { k := t.ask.Key(); return k[:] }(), Number: t.number, How: how}, p.now)
	}
}

// tick passes some time.
func (p *planet) tick(calm bool) {
	p.now += p.chance.Int64N(4 * ms)
	for i := 0; i < len(todo); i++ {
		if todo[i].at <= p.now {
			f := todo[i].f
			todo = append(todo[:i:i], todo[i+1:]...)
			i--
			f()
		}
	}
	if body := p.book.Due(p.now - p.passed); body != nil {
		p.passed = p.now
		p.apply(&keep.Command{Kind: keep.PartCommand, Part: Part, Body: body})
		if p.f.early {
			p.apply(&keep.Command{Kind: keep.PartCommand, Part: Part, Body: body})
			p.apply(&keep.Command{Kind: keep.PartCommand, Part: Part, Body: body})
		}
	}
	p.carry()
	for _, s := range p.members {
		if p.now < s.asleep {
			continue
		}
		for len(s.pending) > 0 {
			f := s.pending[0]
			s.pending = s.pending[1:]
			f()
		}
		for _, t := range s.trips {
			p.step(t)
		}
		if s.flow.Probe(p.now) {
			s.flow.Probed(p.chance.IntN(3) > 0 || calm)
		}
		p.send(s)
		if !s.open {
			p.begin(s) // it goes on as another run; what it had in hand is over
		}
	}
	if calm {
		return
	}
	s := p.members[p.chance.IntN(len(p.members))]
	switch d := p.chance.IntN(400); {
	case d < 60 && p.now >= s.asleep && len(s.trips) < 500:
		p.arrive(s)
	case d < 62:
		p.begin(s) // killed and started again: the old run is ended by the new one
	case d < 65:
		s.asleep = p.now + p.chance.Int64N(500*ms)
	case d < 70:
		if p.f.forgets {
			for h, k := range p.book.held {
				if p.book.names[h.member] == s.name && h.epoch == s.epoch {
					p.book.ended(p.book.at[k], EndNever)
				}
			}
		}
		p.state.Apply(p.index+1, pack.Pack(&keep.Command{Kind: keep.EndSession, Target: s.name, Number: s.epoch, Token: p.state.Duties[keep.SessionsDuty].Token, Member: "owner"}))
		p.index++
	case d < 72:
		p.passed = p.now // another leads, and counts from now on
	case d < 74:
		raw, sum := p.book.Save(), p.book.sum
		if err := p.book.Load(raw); err != nil || p.book.sum != sum || string(p.book.Save()) != string(raw) {
			p.fail("a snapshot is not what was saved: %v", err)
		}
	}
}

func voyage(seed uint64, f faults) *planet {
	todo = nil
	p := &planet{chance: rand.New(rand.NewPCG(seed, 41)), effects: map[string][]effect{}, known: map[string]int64{}, f: f}
	p.keys = 3 + p.chance.IntN(60)
	p.book = NewBook(Guards{Fence: !f.fence}, 1)
	p.state = keep.NewState("c", nil, map[byte]keep.Part{Part: p.book}, keep.SafetyChecks{Fencing: !f.fence, Deduplication: true})
	p.state.Duties[keep.SessionsDuty] = &keep.Duty{Name: keep.SessionsDuty, Token: 1, Owner: "owner", Epoch: 1}
	for i := range 3 {
		s := &sailor{name: fmt.Sprint("m", i)}
		p.members = append(p.members, s)
		p.begin(s)
	}
	for range 600 + p.chance.IntN(600) {
		if p.tick(false); p.wrong != "" {
			return p
		}
	}
	// All goes well from here on: nothing stays open for good, and all is forgotten in its time.
	for range 900 {
		if p.tick(true); p.wrong != "" {
			return p
		}
	}
	for h, k := range p.book.held {
		p.fail("%s is held by %s, epoch %d, number %d, and nobody will end it", k, p.book.names[h.member], h.epoch, h.number)
	}
	for i := 0; i < 60; i++ {
		p.apply(&keep.Command{Kind: keep.PartCommand, Part: Part, Body: pack.Pack(&Batch{Pass: second})})
	}
	if len(p.book.at) > 0 || p.book.sum != 0 || len(p.book.due) > 1 {
		p.fail("%d keys are remembered for good, sum %x", len(p.book.at), p.book.sum)
	}
	return p
}

func schedules(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return usual / slower
}

// Whatever is lost, late, doubled, stopped or ended: no effect in two groups, nothing once-only twice, nothing that ran is denied,
// nothing stays open.
func TestSchedules(t *testing.T) {
	granted, ran, n := 0, 0, schedules(400)
	for seed := range uint64(n) {
		p := voyage(seed, faults{})
		if p.wrong != "" {
			t.Fatalf("seed %d: %s", seed, p.wrong)
		}
		granted, ran = granted+p.granted, ran+p.ran
	}
	t.Logf("%d schedules: %d claims granted and %d effects in each", n, granted/n, ran/n)
	if granted/n < 15 || ran/n < 8 {
		t.Error("the schedules do too little to prove anything")
	}
}

// What is planted is found.
func TestSchedulesFind(t *testing.T) {
	for _, c := range []struct {
		name string
		f    faults
	}{{"no fence", faults{fence: true}}, {"a lost run's claims freed", faults{forgets: true}}, {"claims that come late", faults{overtake: true}}, {"time that runs too fast", faults{early: true}}} {
		found, first, what := 0, -1, ""
		for seed := range uint64(200 / slower) {
			if p := voyage(seed, c.f); p.wrong != "" {
				if found++; first < 0 {
					first, what = int(seed), p.wrong
				}
			}
		}
		t.Logf("%s: found in %d of %d schedules, first in %d: %s", c.name, found, 200/slower, first, what)
		if found == 0 && slower == 1 {
			t.Errorf("%s is never found", c.name)
		}
	}
}

package simulation

import (
	"fmt"

	"ottershift/internal/mesh/consensus"
)

const (
	stepTimeout = 900 * Ms // for one step of an attempt
	readTimeout = 400 * Ms
	ownTimeout  = 2 * S // for a change that the core itself needs
)

// broadcast is one request to all members of a core and what comes back.
type broadcast struct {
	w       *coreWorld
	from    *coreProcess
	of      *consensus.State
	heard   map[string]bool // members that have answered or refused
	over    bool
	receive func(consensus.Response) (enough bool)
	failed  func() // there will be no more answers, or none in time
}

// ask puts a request to the core of a state. receive takes answers until it says that it has enough; else failed is called,
// once.
func (w *coreWorld) ask(from *coreProcess, of *consensus.State, request consensus.Request, within int64, receive func(consensus.Response) bool, failed func()) {
	b := &broadcast{w: w, from: from, of: of, heard: map[string]bool{}, receive: receive, failed: failed}
	for _, m := range of.Core {
		if to := w.byAddress[m.Address]; to != nil {
			b.request(to, request)
		}
	}
	w.after(from, within, b.giveUp)
}

func (b *broadcast) request(to *coreProcess, request consensus.Request) {
	life := b.from.life
	respond := func(response consensus.Response) {
		b.w.send(message{from: to, to: b.from, deliver: func() {
			if b.from.life == life {
				b.answered(to, response)
			}
		}})
	}
	b.w.send(message{
		from: b.from, to: to,
		deliver: func() { b.w.handle(to, request, respond) },
		refused: func() { b.w.resume(b.from, life, func() { b.silent(to) }) },
	})
}

func (b *broadcast) answered(from *coreProcess, response consensus.Response) {
	if b.over {
		return
	}
	if b.over = b.receive(response); !b.over {
		b.silent(from)
	}
}

// silent notes that a member says no more; once all have, there is nothing to wait for.
func (b *broadcast) silent(member *coreProcess) {
	b.heard[member.address] = true
	if len(b.heard) == len(b.of.Core) {
		b.giveUp()
	}
}

func (b *broadcast) giveUp() {
	if !b.over {
		b.over = true
		b.failed()
	}
}

// transform makes a new state of the newest; nil for no change.
type transform func(*consensus.State) (*consensus.State, error)

// outcome is how a change ended. Without Decided nobody knows.
type outcome struct {
	state   *consensus.State
	err     error
	decided bool
}

// proposer is one change on its way to a decision, as the controller carries it out.
type proposer struct {
	w         *coreWorld
	by        *coreProcess
	until     int64 // it gives up then
	attempts  int64
	began     int64 // of the last attempt
	transform transform
	done      func(outcome)
}

// propose has the core agree on what a function makes of the newest state.
func (w *coreWorld) propose(b *coreProcess, within int64, what transform, done func(outcome)) {
	p := &proposer{w: w, by: b, until: w.Now + within, transform: what, done: done}
	p.attempt()
}

// nothing is asked of the state but that it is the newest.
func nothing(*consensus.State) (*consensus.State, error) { return nil, nil }

func (p *proposer) attempt() {
	if p.w.Now >= p.until {
		p.done(outcome{})
		return
	}
	p.began = p.w.Now
	b := p.by
	b.round = max(b.round, b.memory.Promised.Round) + 1
	base := b.memory.Decided
	ballot := consensus.Ballot{Round: b.round, Proposer: fmt.Sprintf("%d.%d", b.number, b.life)}
	proposal, first := consensus.Propose(base, ballot, p.transform)
	p.step(proposal, base, first)
}

// step puts one step of an attempt to the core.
func (p *proposer) step(proposal *consensus.Proposal, base *consensus.State, request consensus.Request) {
	within := min(stepTimeout, p.until-p.w.Now)
	p.w.ask(p.by, base, request, within, func(response consensus.Response) bool { return p.receive(proposal, base, response) }, p.backOff)
}

func (p *proposer) receive(proposal *consensus.Proposal, base *consensus.State, response consensus.Response) (enough bool) {
	step := proposal.HandleResponse(response)
	p.by.round = max(p.by.round, proposal.Round)
	switch step {
	case consensus.StepWait:
		return false
	case consensus.StepSend:
		p.step(proposal, base, proposal.Request())
	case consensus.StepAhead:
		p.w.learn(p.by, proposal.State)
		p.again()
	case consensus.StepBehind:
		p.w.announce(p.by, base)
		p.again()
	case consensus.StepLost:
		p.backOff()
	case consensus.StepUnchanged:
		p.done(outcome{proposal.State, proposal.Err, true})
	case consensus.StepDecided:
		p.decided(proposal)
	}
	return true
}

func (p *proposer) decided(proposal *consensus.Proposal) {
	p.w.observeDecision(proposal.State)
	p.w.learn(p.by, proposal.State)
	p.w.announce(p.by, proposal.State)
	if proposal.Own {
		p.done(outcome{proposal.State, nil, true})
	} else {
		p.again()
	}
}

// again begins another attempt on top of what has been learned.
func (p *proposer) again() {
	p.attempts++
	p.w.after(p.by, Ms+int64(p.w.net.IntN(20))*Ms, p.attempt)
}

// backOff begins another attempt after one that failed, and a pause: two that go on at the same pace overtake one another
// for ever. The pause is by chance of up to some lengths of the attempt: whoever is first then has the time of a whole one.
func (p *proposer) backOff() {
	if p.w.FixedPause {
		p.w.after(p.by, p.fixedPause(), p.attempt)
		p.attempts++
		return
	}
	p.attempts++
	took := max(p.w.Now-p.began, Ms)
	lengths := min(p.attempts, mostBackoff)
	p.w.after(p.by, Ms+int64(p.w.net.Float64()*float64(took*lengths)), p.attempt)
}

// mostBackoff bounds the pause, in lengths of an attempt.
const mostBackoff = 4

// fixedPause is 1 to 40 ms, however long attempts take.
func (p *proposer) fixedPause() int64 { return (1+p.attempts*7%20)*Ms + int64(p.w.net.IntN(20))*Ms }

// announce tells all others a decision.
func (w *coreWorld) announce(b *coreProcess, s *consensus.State) {
	for _, to := range w.processes {
		if to != b && !to.retired {
			w.send(message{from: b, to: to, deliver: func() { w.learn(to, s) }})
		}
	}
}

// readNewest asks for the newest state beyond doubt.
func (w *coreWorld) readNewest(b *coreProcess, done func(outcome)) {
	s := b.memory.Decided
	if w.OldRead {
		done(outcome{state: s, decided: s.Edition > 0})
		return
	}
	settle := func() { w.propose(b, stepTimeout, nothing, done) }
	read, request := consensus.NewMajorityRead(s)
	w.ask(b, s, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		if read.Newest() {
			done(outcome{state: s, decided: true})
			return true
		}
		if ahead := read.Ahead(); ahead != nil {
			w.learn(b, ahead)
		}
		settle()
		return true
	}, settle)
}

package simulation

import (
	"fmt"

	"ottershift/internal/mesh/consensus"
)

const (
	stepTimeout       = 900 * Ms // for one step of an attempt
	readTimeout       = 400 * Ms
	membershipTimeout = 2 * S // for a change that the core itself needs
)

// broadcast is one request to all members of a core and what comes back.
type broadcast struct {
	sim        *coreSimulation
	from       *coreProcess
	state      *consensus.State
	finished   map[string]bool // members that have answered or refused
	done       bool
	onResponse func(consensus.Response) (enough bool)
	onFailure  func() // there will be no more answers, or none in time
}

// broadcast puts a request to the core of a state. receive takes answers until it says that it has enough; else failed is called,
// once.
func (sim *coreSimulation) broadcast(from *coreProcess, of *consensus.State, request consensus.Request, within int64, receive func(consensus.Response) bool, failed func()) {
	proc := &broadcast{sim: sim, from: from, state: of, finished: map[string]bool{}, onResponse: receive, onFailure: failed}
	for _, m := range of.Core {
		if to := sim.byAddress[m.Address]; to != nil {
			proc.request(to, request)
		}
	}
	sim.after(from, within, proc.giveUp)
}

func (broadcast *broadcast) request(to *coreProcess, request consensus.Request) {
	incarnation := broadcast.from.incarnation
	respond := func(response consensus.Response) {
		broadcast.sim.send(message{from: to, to: broadcast.from, deliver: func() {
			if broadcast.from.incarnation == incarnation {
				broadcast.handleResponse(to, response)
			}
		}})
	}
	broadcast.sim.send(message{
		from: broadcast.from, to: to,
		deliver: func() { broadcast.sim.handle(to, request, respond) },
		refused: func() { broadcast.sim.resume(broadcast.from, incarnation, func() { broadcast.markFinished(to) }) },
	})
}

func (broadcast *broadcast) handleResponse(from *coreProcess, response consensus.Response) {
	if broadcast.done {
		return
	}
	if broadcast.done = broadcast.onResponse(response); !broadcast.done {
		broadcast.markFinished(from)
	}
}

// markFinished notes that a member says no more; once all have, there is nothing to wait for.
func (broadcast *broadcast) markFinished(member *coreProcess) {
	broadcast.finished[member.address] = true
	if len(broadcast.finished) == len(broadcast.state.Core) {
		broadcast.giveUp()
	}
}

func (broadcast *broadcast) giveUp() {
	if !broadcast.done {
		broadcast.done = true
		broadcast.onFailure()
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
	sim          *coreSimulation
	process      *coreProcess
	until        int64 // it gives up then
	attempts     int64
	attemptStart int64 // of the last attempt
	transform    transform
	done         func(outcome)
}

// propose has the core agree on what a function makes of the newest state.
func (sim *coreSimulation) propose(proc *coreProcess, within int64, what transform, done func(outcome)) {
	p := &proposer{sim: sim, process: proc, until: sim.Now + within, transform: what, done: done}
	p.attempt()
}

// noChange is asked of the state but that it is the newest.
func noChange(*consensus.State) (*consensus.State, error) { return nil, nil }

func (proposer *proposer) attempt() {
	if proposer.sim.Now >= proposer.until {
		proposer.done(outcome{})
		return
	}
	proposer.attemptStart = proposer.sim.Now
	proc := proposer.process
	proc.round = max(proc.round, proc.memory.Promised.Round) + 1
	base := proc.memory.Decided
	ballot := consensus.Ballot{Round: proc.round, Proposer: fmt.Sprintf("%d.%d", proc.number, proc.incarnation)}
	proposal, first := consensus.Propose(base, ballot, proposer.transform)
	proposer.step(proposal, base, first)
}

// step puts one step of an attempt to the core.
func (proposer *proposer) step(proposal *consensus.Proposal, base *consensus.State, request consensus.Request) {
	within := min(stepTimeout, proposer.until-proposer.sim.Now)
	proposer.sim.broadcast(proposer.process, base, request, within, func(response consensus.Response) bool { return proposer.receive(proposal, base, response) }, proposer.backOff)
}

func (proposer *proposer) receive(proposal *consensus.Proposal, base *consensus.State, response consensus.Response) (enough bool) {
	step := proposal.HandleResponse(response)
	proposer.process.round = max(proposer.process.round, proposal.Round)
	switch step {
	case consensus.StepWait:
		return false
	case consensus.StepSend:
		proposer.step(proposal, base, proposal.Request())
	case consensus.StepAhead:
		proposer.sim.learn(proposer.process, proposal.State)
		proposer.retryNow()
	case consensus.StepBehind:
		proposer.sim.announce(proposer.process, base)
		proposer.retryNow()
	case consensus.StepLost:
		proposer.backOff()
	case consensus.StepUnchanged:
		proposer.done(outcome{proposal.State, proposal.Err, true})
	case consensus.StepDecided:
		proposer.handleDecision(proposal)
	}
	return true
}

func (proposer *proposer) handleDecision(proposal *consensus.Proposal) {
	proposer.sim.observeDecision(proposal.State)
	proposer.sim.learn(proposer.process, proposal.State)
	proposer.sim.announce(proposer.process, proposal.State)
	if proposal.Own {
		proposer.done(outcome{proposal.State, nil, true})
	} else {
		proposer.retryNow()
	}
}

// retryNow begins another attempt on top of what has been learned.
func (proposer *proposer) retryNow() {
	proposer.attempts++
	proposer.sim.after(proposer.process, Ms+int64(proposer.sim.networkRand.IntN(20))*Ms, proposer.attempt)
}

// backOff begins another attempt after one that failed, and a pause: two that go on at the same pace overtake one another
// for ever. The pause is by chance of up to some lengths of the attempt: whoever is first then has the time of a whole one.
func (proposer *proposer) backOff() {
	if proposer.sim.FixedPause {
		proposer.sim.after(proposer.process, proposer.fixedPause(), proposer.attempt)
		proposer.attempts++
		return
	}
	proposer.attempts++
	took := max(proposer.sim.Now-proposer.attemptStart, Ms)
	lengths := min(proposer.attempts, maxBackoffFactor)
	proposer.sim.after(proposer.process, Ms+int64(proposer.sim.networkRand.Float64()*float64(took*lengths)), proposer.attempt)
}

// maxBackoffFactor bounds the pause, in lengths of an attempt.
const maxBackoffFactor = 4

// fixedPause is 1 to 40 ms, however long attempts take.
func (proposer *proposer) fixedPause() int64 {
	return (1+proposer.attempts*7%20)*Ms + int64(proposer.sim.networkRand.IntN(20))*Ms
}

// announce tells all others a decision.
func (sim *coreSimulation) announce(proc *coreProcess, s *consensus.State) {
	for _, to := range sim.processes {
		if to != proc && !to.retired {
			sim.send(message{from: proc, to: to, deliver: func() { sim.learn(to, s) }})
		}
	}
}

// readNewest asks for the newest state beyond doubt.
func (sim *coreSimulation) readNewest(proc *coreProcess, done func(outcome)) {
	s := proc.memory.Decided
	if sim.OldRead {
		done(outcome{state: s, decided: s.Edition > 0})
		return
	}
	settle := func() { sim.propose(proc, stepTimeout, noChange, done) }
	read, request := consensus.NewMajorityRead(s)
	sim.broadcast(proc, s, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		if read.Newest() {
			done(outcome{state: s, decided: true})
			return true
		}
		if ahead := read.Ahead(); ahead != nil {
			sim.learn(proc, ahead)
		}
		settle()
		return true
	}, settle)
}

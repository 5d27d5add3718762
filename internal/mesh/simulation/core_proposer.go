package simulation

import (
	"fmt"

	"ottershift/internal/mesh/consensus"
)

const (
	stepTimeout       = 900 * Millisecond // for one step of an attempt
	readTimeout       = 400 * Millisecond
	membershipTimeout = 2 * Second // for a change that the core itself needs
)

// broadcast is one request to all members of a core, and their responses.
type broadcast struct {
	sim        *coreSimulation
	from       *coreProcess
	state      *consensus.State
	finished   map[string]bool // addresses of the members that have responded or refused
	done       bool
	onResponse func(consensus.Response) (enough bool)
	onFailure  func() // called if no further responses come, or none in time
}

// broadcast sends a request to the core of a state. onResponse is called with each response until it returns true. If
// it never does, onFailure is called once.
func (sim *coreSimulation) broadcast(from *coreProcess, state *consensus.State, request consensus.Request, timeout int64, onResponse func(consensus.Response) bool, onFailure func()) {
	broadcast := &broadcast{sim: sim, from: from, state: state, finished: map[string]bool{}, onResponse: onResponse, onFailure: onFailure}
	for _, m := range state.Core {
		if to := sim.byAddress[m.Address]; to != nil {
			broadcast.request(to, request)
		}
	}
	sim.after(from, timeout, broadcast.giveUp)
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

// markFinished records that a member sends no more responses. When all members are finished, there is nothing left to
// wait for.
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

// transform derives a new state from the newest one; nil means no change.
type transform func(*consensus.State) (*consensus.State, error)

// outcome is the result of a change. If decided is false, the result is unknown.
type outcome struct {
	state   *consensus.State
	err     error
	decided bool
}

// proposer carries one change to a decision, as the real controller does.
type proposer struct {
	sim          *coreSimulation
	process      *coreProcess
	until        int64 // gives up at this time
	attempts     int64
	attemptStart int64 // start of the latest attempt
	transform    transform
	done         func(outcome)
}

// propose has the core agree on the result of a transform of the newest state.
func (sim *coreSimulation) propose(proc *coreProcess, timeout int64, transform transform, done func(outcome)) {
	proposer := &proposer{sim: sim, process: proc, until: sim.Now + timeout, transform: transform, done: done}
	proposer.attempt()
}

// noChange leaves the state as it is. Proposing it only confirms that the state is the newest.
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

// step sends one step of an attempt to the core.
func (proposer *proposer) step(proposal *consensus.Proposal, base *consensus.State, request consensus.Request) {
	timeout := min(stepTimeout, proposer.until-proposer.sim.Now)
	proposer.sim.broadcast(proposer.process, base, request, timeout, func(response consensus.Response) bool { return proposer.receive(proposal, base, response) }, proposer.backOff)
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

// retryNow begins another attempt on top of the learned state.
func (proposer *proposer) retryNow() {
	proposer.attempts++
	proposer.sim.after(proposer.process, Millisecond+int64(proposer.sim.networkRand.IntN(20))*Millisecond, proposer.attempt)
}

// backOff begins another attempt after a failed one and a random pause. Without the pause, two proposers at the same
// pace would keep overtaking each other. The pause is up to several times the length of the attempt, so that the
// first to resume has time for a whole attempt.
func (proposer *proposer) backOff() {
	if proposer.sim.FixedPause {
		proposer.sim.after(proposer.process, proposer.fixedPause(), proposer.attempt)
		proposer.attempts++
		return
	}
	proposer.attempts++
	took := max(proposer.sim.Now-proposer.attemptStart, Millisecond)
	lengths := min(proposer.attempts, maxBackoffFactor)
	proposer.sim.after(proposer.process, Millisecond+int64(proposer.sim.networkRand.Float64()*float64(took*lengths)), proposer.attempt)
}

// maxBackoffFactor bounds the pause, in multiples of the length of an attempt.
const maxBackoffFactor = 4

// fixedPause returns 1 to 40 ms, regardless of how long attempts take.
func (proposer *proposer) fixedPause() int64 {
	return (1+proposer.attempts*7%20)*Millisecond + int64(proposer.sim.networkRand.IntN(20))*Millisecond
}

// announce sends a decision to all other processes.
func (sim *coreSimulation) announce(proc *coreProcess, state *consensus.State) {
	for _, to := range sim.processes {
		if to != proc && !to.retired {
			sim.send(message{from: proc, to: to, deliver: func() { sim.learn(to, state) }})
		}
	}
}

// readNewest reads the newest state, confirmed by a majority or by a decision.
func (sim *coreSimulation) readNewest(proc *coreProcess, done func(outcome)) {
	state := proc.memory.Decided
	if sim.OldRead {
		done(outcome{state: state, decided: state.Edition > 0})
		return
	}
	settle := func() { sim.propose(proc, stepTimeout, noChange, done) }
	read, request := consensus.NewMajorityRead(state)
	sim.broadcast(proc, state, request, readTimeout, func(response consensus.Response) bool {
		if !read.HandleResponse(response) {
			return false
		}
		if read.Newest() {
			done(outcome{state: state, decided: true})
			return true
		}
		if ahead := read.Ahead(); ahead != nil {
			sim.learn(proc, ahead)
		}
		settle()
		return true
	}, settle)
}

package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ottershift/internal/mesh/consensus"
)

var (
	errStale  = errors.New("another version is current")
	errTooOld = errors.New("the order reaches back beyond what is remembered")
)

const (
	callTimeout     = S // after which an operator goes on to another process
	callPause       = 50 * Ms
	updateAttempts  = 6
	readAttempts    = 4
	minLateResponse = 1200 * Ms
	maxLateResponse = 2500 * Ms
)

// update is a change of the configuration that an operator wants, and what came of it. Its identity is its digest.
type update struct {
	digest        string
	base, version int64
	op            Op
	rejections    int
}

func (update *update) content() json.RawMessage { return json.RawMessage(`"` + update.digest + `"`) }

// responseStatus is a process's answer to a call.
type responseStatus uint8

const (
	statusUnknown  responseStatus = iota // 503
	statusAccepted                       // 200
	statusRejected                       // 412
)

// callResponse is what a process says to a call; a read's has the version.
type callResponse struct {
	responseStatus
	version int64
}

// operators give orders and read.
type operators struct {
	sim          *coreSimulation
	rng          *rand.Rand
	knownVersion int64 // the version that was last seen by anybody
}

// scheduleOperators spreads the orders and reads over the day.
func (sim *coreSimulation) scheduleOperators() {
	operators := &operators{sim: sim, rng: sim.Rand("operators")}
	atOnce := max(sim.AtOnce, 1)
	for n := 0; n < sim.Puts; n += atOnce {
		at := int64(operators.rng.Float64() * float64(sim.Length*8/10))
		for k := n; k < min(n+atOnce, sim.Puts); k++ {
			sim.After(at, func() { operators.submitUpdate(k) })
		}
	}
	for n := range sim.Reads {
		at := int64(operators.rng.Float64() * float64(sim.Length*9/10))
		sim.After(at, func() { operators.read(sim.Puts + n) })
	}
}

// submitUpdate gives an order on top of the version that was last seen. Several may pick the same number.
func (operators *operators) submitUpdate(client int) {
	sim := operators.sim
	next := &update{digest: fmt.Sprint("order-", client), base: operators.knownVersion, version: operators.knownVersion + int64(1+operators.rng.IntN(3))}
	next.op = Op{Client: client, On: next.base, Put: next.version, Call: sim.Now}
	sim.oracle.updates = append(sim.oracle.updates, next)
	sim.triggeredFaults.sent(len(sim.oracle.updates))
	operators.send(next, updateAttempts, func(a callResponse) { operators.handleResponse(next, a.responseStatus) }, func() { operators.finishUpdate(next) })
}

// finishUpdate judges an order whose calls have all been made: in a calm time it has an answer.
func (operators *operators) finishUpdate(of *update) {
	sim := operators.sim
	if !of.op.OK && !of.op.Stale && sim.faultsUntil+sim.CatchUp <= of.op.Call {
		sim.reportViolation("no acknowledgement: %s has no clear answer after %v, with no trouble", of.digest, time.Duration(sim.Now-of.op.Call))
	}
}

// send has an order sent, to one process after the other.
func (operators *operators) send(sent *update, calls int, answered func(callResponse), ended func()) {
	c := &call{
		sim: operators.sim, first: operators.rng.IntN(len(operators.sim.processes)), maxAttempts: calls, onResponse: answered, onEnd: ended,
		handle: func(proc *coreProcess, respond func(callResponse)) { operators.sim.handleUpdate(proc, sent, respond) },
	}
	c.tryNext()
}

// handleResponse is a clear answer to an order, which may come after others.
func (operators *operators) handleResponse(to *update, v responseStatus) {
	sim, op := operators.sim, &to.op
	if v == statusRejected {
		if to.rejections++; op.OK {
			sim.reportViolation("refused: %s was confirmed, sent again and refused with 412", to.digest)
		} else if !op.Stale {
			op.Stale, op.Back = true, sim.Now
		}
		return
	}
	if op.OK {
		return
	}
	if op.Stale {
		sim.reportViolation("refused: %s was refused with 412, and then confirmed", to.digest)
		return
	}
	op.OK, op.Back = true, sim.Now
	sim.result.Took = append(sim.result.Took, op.Back-op.Call)
	operators.knownVersion = max(operators.knownVersion, to.version)
	sim.observeConfirmation(to)
	if operators.rng.Float64() < sim.Resends {
		operators.scheduleResend(to)
	}
}

// scheduleResend has a confirmed order sent again, soon or much later.
func (operators *operators) scheduleResend(again *update) {
	sim := operators.sim
	later := int64(operators.rng.Float64() * float64(max(sim.Length*9/10-sim.Now, 0)))
	if operators.rng.IntN(2) == 0 {
		later = min(later, S)
	}
	sim.After(later, func() {
		confirmed := false
		operators.send(again, 1, func(a callResponse) {
			if confirmed = a.responseStatus == statusAccepted; confirmed {
				sim.result.Resent++
			}
			operators.handleResponse(again, a.responseStatus)
		}, func() {
			if !confirmed {
				sim.result.Forgot++
			}
		})
	})
}

// read asks for the newest configuration.
func (operators *operators) read(client int) {
	sim := operators.sim
	op := Op{Client: client, Read: true, Call: sim.Now}
	floor := sim.oracle.newestVersion
	c := &call{
		sim: sim, first: operators.rng.IntN(len(sim.processes)), maxAttempts: readAttempts, onEnd: func() {},
		handle: sim.handleRead,
		onResponse: func(a callResponse) {
			if op.OK {
				return
			}
			op.OK, op.Got, op.Back = true, a.version, sim.Now
			sim.result.Read++
			if op.Got < floor {
				sim.reportViolation("old read: version %d was acknowledged before it was called, %d is read", floor, op.Got)
			}
			operators.knownVersion = max(operators.knownVersion, op.Got)
			sim.result.History = append(sim.result.History, op)
		},
	}
	c.tryNext()
}

// finishHistory adds the orders to the history, as they ended.
func (sim *coreSimulation) finishHistory() {
	for _, update := range sim.oracle.updates {
		switch {
		case update.op.OK:
			sim.result.Acked++
		case update.op.Stale:
			sim.result.Stale++
		default:
			sim.result.Unclear++
		}
		sim.result.History = append(sim.result.History, update.op)
	}
}

// remembered are the applied changes by which a process knows an order again.
func (sim *coreSimulation) remembered(s *consensus.State) []consensus.AppliedChange {
	all := s.AppliedChanges
	if sim.Remembered > 0 && len(all) > sim.Remembered {
		return all[len(all)-sim.Remembered:]
	}
	return all
}

// certainlyNotApplied reports whether an order that is not among the applied changes can't have been applied and forgotten.
func (sim *coreSimulation) certainlyNotApplied(known consensus.AppliedChanges, update *update) bool {
	switch {
	case sim.RefuseForgotten:
		return true
	case sim.Remembered > 0: // a window of the question's own
		return len(known) < sim.Remembered || max(update.version, update.base) >= known[0].Edition
	}
	return known.CertainlyNotApplied(update.version, update.base)
}

// applyUpdate is what a process makes of an order on top of the newest state.
func (sim *coreSimulation) applyUpdate(update *update) transform {
	return func(s *consensus.State) (*consensus.State, error) {
		known := sim.remembered(s)
		for _, a := range known {
			if a.Digest == update.digest {
				return nil, nil
			}
		}
		if s.Edition == update.base {
			return s.WithConfiguration(update.version, update.content(), update.digest), nil
		}
		if sim.certainlyNotApplied(known, update) {
			return nil, errStale
		}
		return nil, errTooOld
	}
}

// handleUpdate is a process's turn with an order: one after the other, as the controller has it.
func (sim *coreSimulation) handleUpdate(proc *coreProcess, update *update, respond func(callResponse)) {
	until := sim.Now + stepTimeout
	proc.queuedUpdates = append(proc.queuedUpdates, func() {
		sim.propose(proc, max(until-sim.Now, 0), sim.applyUpdate(update), func(out outcome) {
			out = sim.answerLocally(proc, out, sim.applyUpdate(update))
			sim.startNextUpdate(proc)
			respond(callResponse{responseStatus: statusOf(out)})
			if statusOf(out) == statusAccepted {
				sim.triggeredFaults.confirmed(proc)
			}
		})
	})
	if !proc.updating {
		sim.startNextUpdate(proc)
	}
}

func (sim *coreSimulation) startNextUpdate(proc *coreProcess) {
	if proc.updating = len(proc.queuedUpdates) > 0; proc.updating {
		next := proc.queuedUpdates[0]
		proc.queuedUpdates = proc.queuedUpdates[1:]
		sim.after(proc, 0, next)
	}
}

func statusOf(o outcome) responseStatus {
	switch {
	case !o.decided, errors.Is(o.err, errTooOld):
		return statusUnknown
	case o.err != nil:
		return statusRejected
	}
	return statusAccepted
}

// answerLocally is the variant that answers from what is known here where no majority does.
func (sim *coreSimulation) answerLocally(proc *coreProcess, o outcome, what transform) outcome {
	if !sim.LocalAnswers || o.decided {
		return o
	}
	s := proc.memory.Decided
	next, err := what(s)
	return outcome{state: s, err: err, decided: next == nil}
}

// handleRead is a process's turn with a read.
func (sim *coreSimulation) handleRead(proc *coreProcess, respond func(callResponse)) {
	sim.readNewest(proc, func(out outcome) {
		out = sim.answerLocally(proc, out, noChange)
		if !out.decided {
			respond(callResponse{})
			return
		}
		respond(callResponse{statusAccepted, out.state.Edition})
	})
}

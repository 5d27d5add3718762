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
	errTooOld = errors.New("the update is older than the remembered changes")
)

const (
	callTimeout     = Second // after which an operator calls another controller
	callPause       = 50 * Millisecond
	updateAttempts  = 6
	readAttempts    = 4
	minLateResponse = 1200 * Millisecond
	maxLateResponse = 2500 * Millisecond
)

// update is an operator's change of the configuration and its result. The digest identifies it.
type update struct {
	digest        string
	base, version int64
	op            Op
	rejections    int
}

func (update *update) content() json.RawMessage { return json.RawMessage(`"` + update.digest + `"`) }

// responseStatus is how a controller responded to a call. The comments give the HTTP status.
type responseStatus uint8

const (
	statusUnknown  responseStatus = iota // 503
	statusAccepted                       // 200
	statusRejected                       // 412
)

// callResponse is a controller's response to a call; that to a read has the version.
type callResponse struct {
	responseStatus
	version int64
}

// operators send updates and reads.
type operators struct {
	sim          *coreSimulation
	rng          *rand.Rand
	knownVersion int64 // newest version that any operator has seen
}

// scheduleOperators distributes the updates and reads over the run.
func (sim *coreSimulation) scheduleOperators() {
	operators := &operators{sim: sim, rng: sim.Rand("operators")}
	concurrent := max(sim.ConcurrentUpdates, 1)
	for n := 0; n < sim.Updates; n += concurrent {
		at := int64(operators.rng.Float64() * float64(sim.Length*8/10))
		for k := n; k < min(n+concurrent, sim.Updates); k++ {
			sim.After(at, func() { operators.submitUpdate(k) })
		}
	}
	for n := range sim.Reads {
		at := int64(operators.rng.Float64() * float64(sim.Length*9/10))
		sim.After(at, func() { operators.read(sim.Updates + n) })
	}
}

// submitUpdate sends an update based on the newest version seen. Several updates may choose the same version number.
func (operators *operators) submitUpdate(client int) {
	sim := operators.sim
	update := &update{digest: fmt.Sprint("order-", client), base: operators.knownVersion, version: operators.knownVersion + int64(1+operators.rng.IntN(3))}
	update.op = Op{Client: client, On: update.base, Put: update.version, Call: sim.Now}
	sim.oracle.updates = append(sim.oracle.updates, update)
	sim.triggeredFaults.updateSent(len(sim.oracle.updates))
	operators.send(update, updateAttempts, func(a callResponse) { operators.handleResponse(update, a.responseStatus) }, func() { operators.finishUpdate(update) })
}

// finishUpdate checks an update after its last call. Without recent faults it must have a clear response.
func (operators *operators) finishUpdate(update *update) {
	sim := operators.sim
	if !update.op.OK && !update.op.Stale && sim.faultsUntil+sim.CatchUp <= update.op.Call {
		sim.reportViolation("no acknowledgement: %s got no clear response within %v, without faults", update.digest, time.Duration(sim.Now-update.op.Call))
	}
}

// send sends an update to one controller after the other.
func (operators *operators) send(update *update, maxAttempts int, onResponse func(callResponse), onEnd func()) {
	call := &call{
		sim: operators.sim, first: operators.rng.IntN(len(operators.sim.processes)), maxAttempts: maxAttempts, onResponse: onResponse, onEnd: onEnd,
		handle: func(proc *coreProcess, respond func(callResponse)) { operators.sim.handleUpdate(proc, update, respond) },
	}
	call.tryNext()
}

// handleResponse records a clear response to an update, which may follow other responses.
func (operators *operators) handleResponse(update *update, status responseStatus) {
	sim, op := operators.sim, &update.op
	if status == statusRejected {
		if update.rejections++; op.OK {
			sim.reportViolation("refused: %s was acknowledged, sent again and rejected with 412", update.digest)
		} else if !op.Stale {
			op.Stale, op.Back = true, sim.Now
		}
		return
	}
	if op.OK {
		return
	}
	if op.Stale {
		sim.reportViolation("refused: %s was rejected with 412 and then acknowledged", update.digest)
		return
	}
	op.OK, op.Back = true, sim.Now
	sim.result.Took = append(sim.result.Took, op.Back-op.Call)
	operators.knownVersion = max(operators.knownVersion, update.version)
	sim.observeAcknowledgement(update)
	if operators.rng.Float64() < sim.Resends {
		operators.scheduleResend(update)
	}
}

// scheduleResend sends an acknowledged update again, soon or much later.
func (operators *operators) scheduleResend(update *update) {
	sim := operators.sim
	delay := int64(operators.rng.Float64() * float64(max(sim.Length*9/10-sim.Now, 0)))
	if operators.rng.IntN(2) == 0 {
		delay = min(delay, Second)
	}
	sim.After(delay, func() {
		acknowledged := false
		operators.send(update, 1, func(a callResponse) {
			if acknowledged = a.responseStatus == statusAccepted; acknowledged {
				sim.result.Resent++
			}
			operators.handleResponse(update, a.responseStatus)
		}, func() {
			if !acknowledged {
				sim.result.Forgot++
			}
		})
	})
}

// read reads the newest configuration.
func (operators *operators) read(client int) {
	sim := operators.sim
	op := Op{Client: client, Read: true, Call: sim.Now}
	floor := sim.oracle.newestVersion
	call := &call{
		sim: sim, first: operators.rng.IntN(len(sim.processes)), maxAttempts: readAttempts, onEnd: func() {},
		handle: sim.handleRead,
		onResponse: func(a callResponse) {
			if op.OK {
				return
			}
			op.OK, op.Got, op.Back = true, a.version, sim.Now
			sim.result.Read++
			if op.Got < floor {
				sim.reportViolation("old read: version %d was acknowledged before the call, but the read returns %d", floor, op.Got)
			}
			operators.knownVersion = max(operators.knownVersion, op.Got)
			sim.result.History = append(sim.result.History, op)
		},
	}
	call.tryNext()
}

// finishHistory adds the updates with their results to the history.
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

// remembered returns the applied changes by which a controller recognizes an update.
func (sim *coreSimulation) remembered(state *consensus.State) []consensus.AppliedChange {
	all := state.AppliedChanges
	if sim.RememberedChanges > 0 && len(all) > sim.RememberedChanges {
		return all[len(all)-sim.RememberedChanges:]
	}
	return all
}

// certainlyNotApplied reports whether an update that is not among the applied changes cannot have been applied and
// forgotten.
func (sim *coreSimulation) certainlyNotApplied(known consensus.AppliedChanges, update *update) bool {
	switch {
	case sim.RefuseForgotten:
		return true
	case sim.RememberedChanges > 0: // the limit that the question sets
		return len(known) < sim.RememberedChanges || max(update.version, update.base) >= known[0].Edition
	}
	return known.CertainlyNotApplied(update.version, update.base)
}

// applyUpdate returns the transform that applies an update to the newest state.
func (sim *coreSimulation) applyUpdate(update *update) transform {
	return func(state *consensus.State) (*consensus.State, error) {
		known := sim.remembered(state)
		for _, a := range known {
			if a.Digest == update.digest {
				return nil, nil
			}
		}
		if state.Edition == update.base {
			return state.WithConfiguration(update.version, update.content(), update.digest), nil
		}
		if sim.certainlyNotApplied(known, update) {
			return nil, errStale
		}
		return nil, errTooOld
	}
}

// handleUpdate handles an update at a controller, one at a time, as the real controller does.
func (sim *coreSimulation) handleUpdate(proc *coreProcess, update *update, respond func(callResponse)) {
	until := sim.Now + stepTimeout
	proc.queuedUpdates = append(proc.queuedUpdates, func() {
		sim.propose(proc, max(until-sim.Now, 0), sim.applyUpdate(update), func(result outcome) {
			result = sim.answerLocally(proc, result, sim.applyUpdate(update))
			sim.startNextUpdate(proc)
			respond(callResponse{responseStatus: statusOf(result)})
			if statusOf(result) == statusAccepted {
				sim.triggeredFaults.acknowledgementSent(proc)
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

func statusOf(result outcome) responseStatus {
	switch {
	case !result.decided, errors.Is(result.err, errTooOld):
		return statusUnknown
	case result.err != nil:
		return statusRejected
	}
	return statusAccepted
}

// answerLocally responds from the local state if no majority responds. It applies only if LocalAnswers disables the
// guard.
func (sim *coreSimulation) answerLocally(proc *coreProcess, result outcome, transform transform) outcome {
	if !sim.LocalAnswers || result.decided {
		return result
	}
	state := proc.memory.Decided
	next, err := transform(state)
	return outcome{state: state, err: err, decided: next == nil}
}

// handleRead handles a read at a controller.
func (sim *coreSimulation) handleRead(proc *coreProcess, respond func(callResponse)) {
	sim.readNewest(proc, func(result outcome) {
		result = sim.answerLocally(proc, result, noChange)
		if !result.decided {
			respond(callResponse{})
			return
		}
		respond(callResponse{statusAccepted, result.state.Edition})
	})
}

package simulation

import (
	"reflect"
	"slices"

	"ottershift/internal/mesh/consensus"
)

// oracle knows every event of the run. The core's responses are checked against it.
type oracle struct {
	decided        map[uint64]*consensus.State
	newestIndex    uint64
	applied        map[string]bool  // digests of the updates that were decided
	acknowledgedOn map[int64]string // digest of the acknowledged update, by the version that it builds on
	newestVersion  int64            // newest acknowledged version
	acknowledged   []acknowledgement
	updates        []*update
}

// acknowledgement records when a version became the newest acknowledged one.
type acknowledgement struct{ at, version int64 }

func newOracle() oracle {
	return oracle{decided: map[uint64]*consensus.State{}, applied: map[string]bool{}, acknowledgedOn: map[int64]string{}}
}

// newestAt returns the newest version that was acknowledged at a given time.
func (oracle *oracle) newestAt(at int64) (version int64) {
	for _, a := range slices.Backward(oracle.acknowledged) {
		if a.at <= at {
			return a.version
		}
	}
	return 0
}

// observeDecision checks that each slot has a single decision.
func (sim *coreSimulation) observeDecision(state *consensus.State) {
	oracle := &sim.oracle
	earlier, ok := oracle.decided[state.Index]
	if earlier == state {
		return
	}
	if ok && !reflect.DeepEqual(earlier, state) {
		sim.reportViolation("two decisions in slot %d: version %d with %v and version %d with %v", state.Index, earlier.Edition, earlier.Core, state.Edition, state.Core)
	}
	oracle.decided[state.Index] = state
	oracle.newestIndex = max(oracle.newestIndex, state.Index)
	if n := len(state.AppliedChanges); n > 0 {
		oracle.applied[state.AppliedChanges[n-1].Digest] = true
	}
}

// observeAcknowledgement records an acknowledgement that an operator received.
func (sim *coreSimulation) observeAcknowledgement(update *update) {
	oracle := &sim.oracle
	if other, ok := oracle.acknowledgedOn[update.base]; ok && other != update.digest {
		sim.reportViolation("two updates on version %d were acknowledged: %s and %s", update.base, other, update.digest)
	}
	oracle.acknowledgedOn[update.base] = update.digest
	if update.version > oracle.newestVersion {
		oracle.newestVersion = update.version
		oracle.acknowledged = append(oracle.acknowledged, acknowledgement{sim.Now, update.version})
	}
}

// observeResponse checks a controller's clear response to a call that arrived at a given time. A controller that has
// been isolated since before the call cannot know the result.
func (sim *coreSimulation) observeResponse(proc *coreProcess, arrivedAt int64, action string) {
	if len(sim.initialState.Core) > 1 && proc.isolated(sim.Now) && arrivedAt >= proc.isolatedSince {
		sim.reportViolation("cut off: process %d %s a call that arrived while it was cut off", proc.number, action)
	}
}

// observeFewest records how many disks hold the newest acknowledged version. The minimum tells how close the run came
// to losing it.
func (sim *coreSimulation) observeFewest() {
	newest := sim.oracle.newestVersion
	if newest == 0 {
		return
	}
	n := 0
	for _, proc := range sim.processes {
		accepted := proc.disk.Accepted
		if proc.disk.Decided.Edition >= newest || accepted != nil && accepted.Value.Edition >= newest {
			n++
		}
	}
	if sim.result.Fewest == 0 || n < sim.result.Fewest {
		sim.result.Fewest = max(n, 1)
	}
}

// checkUpdates checks the response to each update against the decisions.
func (sim *coreSimulation) checkUpdates() {
	for _, update := range sim.oracle.updates {
		if update.rejections > 0 && sim.oracle.applied[update.digest] {
			sim.reportViolation("refused: %s was applied and rejected with 412", update.digest)
		}
		if update.op.OK && !sim.oracle.applied[update.digest] {
			sim.reportViolation("lost: %s was acknowledged and never decided", update.digest)
		}
	}
}

// checkNewestState checks the state that is read at the end against the acknowledged updates.
func (sim *coreSimulation) checkNewestState(state *consensus.State) {
	if state.Edition < sim.oracle.newestVersion {
		sim.reportViolation("lost: version %d was acknowledged, but the read returns %d", sim.oracle.newestVersion, state.Edition)
	}
	oldest := int64(0)
	if sim.RememberedChanges > 0 || len(state.AppliedChanges) >= consensus.MaxAppliedChanges {
		oldest = state.AppliedChanges[0].Edition
	}
	for _, update := range sim.oracle.updates {
		applied := slices.ContainsFunc(state.AppliedChanges, func(a consensus.AppliedChange) bool { return a.Digest == update.digest })
		if update.op.OK && update.version >= oldest && !applied {
			sim.reportViolation("lost: version %d was acknowledged and is not among the applied changes", update.version)
		}
		if applied && update.version == state.Edition && string(state.Configuration) != string(update.content()) {
			sim.reportViolation("content: the content of version %d is that of another update", state.Edition)
		}
	}
}

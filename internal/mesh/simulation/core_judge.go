package simulation

import (
	"reflect"
	"slices"

	"ottershift/internal/mesh/consensus"
)

// oracle is what an observer of everything knows, to hold the core's answers against.
type oracle struct {
	decided       map[uint64]*consensus.State
	newestIndex   uint64
	applied       map[string]bool  // digests of orders that were seen decided
	confirmed     map[int64]string // by the version that it builds on, the order that was confirmed
	newestVersion int64            // version that was acknowledged
	acknowledged  []acknowledgement
	updates       []*update
}

// acknowledgement is when a version came to be the newest acknowledged one.
type acknowledgement struct{ at, version int64 }

func newOracle() oracle {
	return oracle{decided: map[uint64]*consensus.State{}, applied: map[string]bool{}, confirmed: map[int64]string{}}
}

// newestAt is the newest version that had been acknowledged at a time.
func (oracle *oracle) newestAt(at int64) (version int64) {
	for _, a := range slices.Backward(oracle.acknowledged) {
		if a.at <= at {
			return a.version
		}
	}
	return 0
}

// observeDecision holds decisions against one another: of a slot there is one.
func (sim *coreSimulation) observeDecision(s *consensus.State) {
	oracle := &sim.oracle
	was, is := oracle.decided[s.Index]
	if was == s {
		return
	}
	if is && !reflect.DeepEqual(was, s) {
		sim.reportViolation("two decisions in slot %d: version %d with %v and version %d with %v", s.Index, was.Edition, was.Core, s.Edition, s.Core)
	}
	oracle.decided[s.Index] = s
	oracle.newestIndex = max(oracle.newestIndex, s.Index)
	if n := len(s.AppliedChanges); n > 0 {
		oracle.applied[s.AppliedChanges[n-1].Digest] = true
	}
}

// observeConfirmation is an acknowledgement as an operator got it.
func (sim *coreSimulation) observeConfirmation(update *update) {
	oracle := &sim.oracle
	if other, is := oracle.confirmed[update.base]; is && other != update.digest {
		sim.reportViolation("two orders on version %d were confirmed: %s and %s", update.base, other, update.digest)
	}
	oracle.confirmed[update.base] = update.digest
	if update.version > oracle.newestVersion {
		oracle.newestVersion = update.version
		oracle.acknowledged = append(oracle.acknowledged, acknowledgement{sim.Now, update.version})
	}
}

// observeResponse is a process's clear answer to a call that had come at some time: one that was cut off all the while can't
// know it.
func (sim *coreSimulation) observeResponse(proc *coreProcess, came int64, what string) {
	if len(sim.initialState.Core) > 1 && proc.isolated(sim.Now) && came >= proc.isolatedSince {
		sim.reportViolation("cut off: process %d %s a call that came while it was cut off", proc.number, what)
	}
}

// observeFewest notes how many disks hold the newest version that was acknowledged: the fewest that ever did is how near a
// day came to a loss.
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

// checkUpdates holds the answers to each order against what was decided.
func (sim *coreSimulation) checkUpdates() {
	for _, update := range sim.oracle.updates {
		if update.rejections > 0 && sim.oracle.applied[update.digest] {
			sim.reportViolation("refused: %s was taken and refused with 412", update.digest)
		}
		if update.op.OK && !sim.oracle.applied[update.digest] {
			sim.reportViolation("lost: %s was confirmed and never decided", update.digest)
		}
	}
}

// checkNewestState holds the state that is read at the end against what was acknowledged.
func (sim *coreSimulation) checkNewestState(s *consensus.State) {
	if s.Edition < sim.oracle.newestVersion {
		sim.reportViolation("lost: version %d was acknowledged, %d is read", sim.oracle.newestVersion, s.Edition)
	}
	oldest := int64(0)
	if sim.Remembered > 0 || len(s.AppliedChanges) >= consensus.MaxAppliedChanges {
		oldest = s.AppliedChanges[0].Edition
	}
	for _, update := range sim.oracle.updates {
		is := slices.ContainsFunc(s.AppliedChanges, func(a consensus.AppliedChange) bool { return a.Digest == update.digest })
		if update.op.OK && update.version >= oldest && !is {
			sim.reportViolation("lost: version %d was acknowledged and is not among those taken", update.version)
		}
		if is && update.version == s.Edition && string(s.Configuration) != string(update.content()) {
			sim.reportViolation("content: version %d is read as another's", s.Edition)
		}
	}
}

// Package history records what operators saw of the configuration of a mesh, and checks that it is linearizable as a
// register with compare-and-set.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ottershift/internal/mesh/testmesh"
)

// Configuration identifies a configuration by its version and the update that set it. Two updates may choose the same
// version.
type Configuration struct {
	Version  int64
	UpdateID int
}

// operation is a read, or an update with all its attempts.
type operation struct {
	read          bool
	configuration Configuration // that was read, or that the update sets
	baseVersion   int64
	outcome       testmesh.Outcome
}

// History is the operations of operators and their outcomes. The zero value is empty.
type History struct {
	mu             sync.Mutex
	operations     []porcupine.Operation
	outcomes       map[int]testmesh.Outcome // the first known outcome of each update, by update ID
	contradictions []string
}

// unknownEnd is the end time, in Unix nanoseconds, of an update with an unknown outcome.
const unknownEnd = int64(1) << 62

// AddUpdate adds an update, from its first attempt to the response that showed its outcome. An update with an unknown
// outcome may take effect at any later time.
func (h *History) AddUpdate(operator int, update *testmesh.Update, outcome testmesh.Outcome, start, end time.Time) {
	h.AddOutcome(update, outcome)
	returned := end.UnixNano()
	if outcome == testmesh.OutcomeUnknown {
		returned = unknownEnd
	}
	h.addOperation(operator, operation{configuration: Configuration{update.Version, update.ID}, baseVersion: update.BaseVersion, outcome: outcome}, start.UnixNano(), returned)
}

// AddOutcome records the outcome of a further attempt to send an update. It must not contradict an earlier known outcome.
func (h *History) AddOutcome(update *testmesh.Update, outcome testmesh.Outcome) {
	if outcome == testmesh.OutcomeUnknown {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outcomes == nil {
		h.outcomes = map[int]testmesh.Outcome{}
	}
	previous, known := h.outcomes[update.ID]
	if known && (previous == testmesh.OutcomeConfirmed) != (outcome == testmesh.OutcomeConfirmed) {
		h.contradictions = append(h.contradictions, fmt.Sprintf("update %d from version %d to %d: %v, then %v", update.ID, update.BaseVersion, update.Version, previous, outcome))
	}
	if !known {
		h.outcomes[update.ID] = outcome
	}
}

// AddRead adds a read of the newest configuration.
func (h *History) AddRead(operator int, configuration Configuration, start, end time.Time) {
	h.addOperation(operator, operation{read: true, configuration: configuration}, start.UnixNano(), end.UnixNano())
}

func (h *History) addOperation(operator int, op operation, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: operator, Input: op, Call: call, Return: end})
}

// Counts returns the number of updates by outcome, and the number of reads.
func (h *History) Counts() (updates map[testmesh.Outcome]int, reads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	updates = map[testmesh.Outcome]int{}
	for _, entry := range h.operations {
		if op := entry.Input.(operation); op.read {
			reads++
		} else {
			updates[op.outcome]++
		}
	}
	return updates, reads
}

// Result is the result of a check.
type Result struct {
	Violation string // how the history violates the register model; empty if it does not
	Unknown   bool   // the check timed out
}

// Check checks whether the history is linearizable.
func (h *History) Check(timeout time.Duration) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.contradictions) > 0 {
		return Result{Violation: "contradicting outcomes: " + h.contradictions[0]}
	}
	switch porcupine.CheckOperationsTimeout(registerModel, h.operations, timeout) {
	case porcupine.Illegal:
		return Result{Violation: "the history is not linearizable"}
	case porcupine.Unknown:
		return Result{Unknown: true}
	}
	return Result{}
}

// registerModel is a register with compare-and-set on the version of the configuration. It starts as the zero
// Configuration.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{Configuration{}} },
	Step: func(state, input, _ any) []any {
		now, op := state.(Configuration), input.(operation)
		if op.read {
			return nextIf(now == op.configuration, now)
		}
		switch op.outcome {
		case testmesh.OutcomeConfirmed:
			return nextIf(now.Version == op.baseVersion, op.configuration)
		case testmesh.OutcomeStale:
			return nextIf(now.Version != op.baseVersion, now)
		case testmesh.OutcomeInvalid:
			return []any{now}
		}
		if now.Version == op.baseVersion {
			return []any{now, op.configuration}
		}
		return []any{now}
	},
}).ToModel()

func nextIf(possible bool, next Configuration) []any {
	if !possible {
		return nil
	}
	return []any{next}
}

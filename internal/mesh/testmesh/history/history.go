// Package history keeps what operators saw of a mesh's configuration and checks it against one register with compare and
// set.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"ottershift/internal/mesh/testmesh"
)

// Configuration is a configuration by its edition and the order that set it. Two orders may choose one edition.
type Configuration struct {
	Version  int64
	UpdateID int
}

// operation is a read or an order with all its tries.
type operation struct {
	read          bool
	configuration Configuration // read, or set by the order
	baseVersion   int64
	outcome       testmesh.Outcome
}

// History is what operators saw. The zero value is empty.
type History struct {
	mu             sync.Mutex
	operations     []porcupine.Operation
	outcomes       map[int]testmesh.Outcome // of each order, the first that is not unclear
	contradictions []string
}

// unknownEnd is when an order of which nobody knows the end has ended.
const unknownEnd = int64(1) << 62

// AddUpdate adds an order, from its first try to the answer that told its outcome. An unclear one may take effect at any later
// time.
func (h *History) AddUpdate(operator int, update *testmesh.Update, outcome testmesh.Outcome, start, end time.Time) {
	h.AddOutcome(update, outcome)
	returned := end.UnixNano()
	if outcome == testmesh.OutcomeUnknown {
		returned = unknownEnd
	}
	h.addOperation(operator, operation{configuration: Configuration{update.Version, update.ID}, baseVersion: update.BaseVersion, outcome: outcome}, start.UnixNano(), returned)
}

// AddOutcome notes an answer to a further try of an order: it may be unclear, and must not reverse an earlier one.
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
		h.contradictions = append(h.contradictions, fmt.Sprintf("order %d on %d as %d: %v, then %v", update.ID, update.BaseVersion, update.Version, previous, outcome))
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

// Counts is how many orders ended in each way, and how many reads there were.
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
	Violation string // what no register would have answered; empty for nothing
	Unknown   bool   // the search took too long
}

// Check looks for an order of operations in which one register would have answered so.
func (h *History) Check(timeout time.Duration) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.contradictions) > 0 {
		return Result{Violation: "an answer was reversed: " + h.contradictions[0]}
	}
	switch porcupine.CheckOperationsTimeout(registerModel, h.operations, timeout) {
	case porcupine.Illegal:
		return Result{Violation: "the history is not linearizable"}
	case porcupine.Unknown:
		return Result{Unknown: true}
	}
	return Result{}
}

// registerModel is one version that changes only from the edition that a change was made on. The zero version is there before
// the first.
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

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

// Version is a configuration by its edition and the order that set it. Two orders may choose one edition.
type Version struct {
	Edition int64
	Order   int
}

// operation is a read or an order with all its tries.
type operation struct {
	read    bool
	version Version // read, or set by the order
	base    int64
	outcome testmesh.Outcome
}

// History is what operators saw. The zero value is empty.
type History struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	verdicts   map[int]testmesh.Outcome // of each order, the first that is not unclear
	reversed   []string
}

// forever is when an order of which nobody knows the end has ended.
const forever = int64(1) << 62

// Order adds an order, from its first try to the answer that told its outcome. An unclear one may take effect at any later
// time.
func (h *History) Order(operator int, order *testmesh.Order, outcome testmesh.Outcome, first, last time.Time) {
	h.Answered(order, outcome)
	end := last.UnixNano()
	if outcome == testmesh.OutcomeUnclear {
		end = forever
	}
	h.add(operator, operation{version: Version{order.Edition, order.ID}, base: order.Base, outcome: outcome}, first.UnixNano(), end)
}

// Answered notes an answer to a further try of an order: it may be unclear, and must not reverse an earlier one.
func (h *History) Answered(order *testmesh.Order, outcome testmesh.Outcome) {
	if outcome == testmesh.OutcomeUnclear {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.verdicts == nil {
		h.verdicts = map[int]testmesh.Outcome{}
	}
	before, known := h.verdicts[order.ID]
	if known && (before == testmesh.OutcomeConfirmed) != (outcome == testmesh.OutcomeConfirmed) {
		h.reversed = append(h.reversed, fmt.Sprintf("order %d on %d as %d: %v, then %v", order.ID, order.Base, order.Edition, before, outcome))
	}
	if !known {
		h.verdicts[order.ID] = outcome
	}
}

// Read adds a read of the newest configuration.
func (h *History) Read(operator int, version Version, asked, answered time.Time) {
	h.add(operator, operation{read: true, version: version}, asked.UnixNano(), answered.UnixNano())
}

func (h *History) add(operator int, op operation, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: operator, Input: op, Call: call, Return: end})
}

// Counts is how many orders ended in each way, and how many reads there were.
func (h *History) Counts() (orders map[testmesh.Outcome]int, reads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	orders = map[testmesh.Outcome]int{}
	for _, o := range h.operations {
		if op := o.Input.(operation); op.read {
			reads++
		} else {
			orders[op.outcome]++
		}
	}
	return orders, reads
}

// Verdict is the result of a check.
type Verdict struct {
	Fault   string // what no register would have answered; empty for nothing
	Unknown bool   // the search took too long
}

// Check looks for an order of operations in which one register would have answered so.
func (h *History) Check(timeout time.Duration) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.reversed) > 0 {
		return Verdict{Fault: "an answer was reversed: " + h.reversed[0]}
	}
	switch porcupine.CheckOperationsTimeout(register, h.operations, timeout) {
	case porcupine.Illegal:
		return Verdict{Fault: "the history is not linearizable"}
	case porcupine.Unknown:
		return Verdict{Unknown: true}
	}
	return Verdict{}
}

// register is one version that changes only from the edition that a change was made on. The zero version is there before
// the first.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{Version{}} },
	Step: func(state, input, _ any) []any {
		now, op := state.(Version), input.(operation)
		if op.read {
			return onlyIf(now == op.version, now)
		}
		switch op.outcome {
		case testmesh.OutcomeConfirmed:
			return onlyIf(now.Edition == op.base, op.version)
		case testmesh.OutcomeStale:
			return onlyIf(now.Edition != op.base, now)
		case testmesh.OutcomeInvalid:
			return []any{now}
		}
		if now.Edition == op.base {
			return []any{now, op.version}
		}
		return []any{now}
	},
}).ToModel()

func onlyIf(possible bool, next Version) []any {
	if !possible {
		return nil
	}
	return []any{next}
}

package simulation

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout is of the real clock. A history of many calls of which nobody knows the end can take for ever to search.
const historyTimeout = 2 * time.Second

// register is one version that changes only from what the change was made on. A change of which nobody knows the end has
// happened, or not, at any time after it was called.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(int64), input.(Op)) },
}).ToModel()

// stepRegister is what the register may hold after a call, nothing where the call can't have ended so.
func stepRegister(version int64, op Op) []any {
	onTop := version == op.On
	switch {
	case op.Read && op.Got == version, op.Stale && !onTop:
		return []any{version}
	case op.Read, op.Stale, op.OK && !onTop:
		return nil
	case op.OK:
		return []any{op.Put}
	case onTop:
		return []any{version, op.Put}
	}
	return []any{version}
}

// checkHistory holds the calls of the operators, as they saw them, against one register.
func (sim *coreSimulation) checkHistory() {
	var calls []porcupine.Operation
	for _, op := range sim.result.History {
		back := op.Back
		if !op.OK && !op.Stale {
			back = 1 << 62
		}
		calls = append(calls, porcupine.Operation{ClientId: op.Client, Input: op, Output: op, Call: op.Call, Return: back})
	}
	switch porcupine.CheckOperationsTimeout(register, calls, historyTimeout) {
	case porcupine.Illegal:
		sim.reportViolation("not linearizable: no order of the operators' calls explains their answers")
	case porcupine.Unknown:
		sim.result.Unjudged = true
	}
}

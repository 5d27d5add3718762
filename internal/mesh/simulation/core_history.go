package simulation

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// historyTimeout is wall-clock time. Without it, checking a history with many calls of unknown result can take
// practically forever.
const historyTimeout = 2 * time.Second

// register models one version that a compare-and-set changes. A change with an unknown result may take effect at any
// time after its call, or never.
var register = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(int64), input.(Op)) },
}).ToModel()

// stepRegister returns the versions that are possible after a call, none if the call cannot have had its result.
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

// checkHistory checks that the operators' calls are linearizable on one register.
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
		sim.reportViolation("not linearizable: no order of the operators' calls explains their responses")
	case porcupine.Unknown:
		sim.result.Unjudged = true
	}
}

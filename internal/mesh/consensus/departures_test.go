package consensus

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Departures of an instance must be found by its node, survive those of other nodes up to the bound, and change the
// state only once.
func TestDeparturesAreKeptByNodeAndBounded(t *testing.T) {
	base := &State{Index: 1}
	must.Nil(t, base.WithDepartures(nil))
	state := base.WithDepartures([]Departure{{"a", "i-1"}, {"b", "i-1"}, {"a", "i-2"}})
	must.Eq(t, 2, state.Index)
	must.Eq(t, []string{"i-1", "i-2"}, state.DepartedInstances("a"))
	must.Eq(t, []string{"i-1"}, state.DepartedInstances("b"))
	must.SliceEmpty(t, state.DepartedInstances("c"))
	must.SliceEmpty(t, base.Departures) // the previous state is unchanged
	must.Nil(t, state.WithDepartures([]Departure{{"a", "i-1"}, {"b", "i-1"}}))
	for n := range 2 * maxDepartedInstances {
		state = state.WithDepartures([]Departure{{"b", fmt.Sprintf("j-%d", n)}})
	}
	must.SliceLen(t, maxDepartedInstances, state.DepartedInstances("b"))
	must.SliceContains(t, state.DepartedInstances("b"), fmt.Sprintf("j-%d", 2*maxDepartedInstances-1))
	must.Eq(t, []string{"i-1", "i-2"}, state.DepartedInstances("a"))
	for n := range maxDepartedNodes - 1 {
		state = state.WithDepartures([]Departure{{fmt.Sprintf("n-%d", n), "i"}})
	}
	must.SliceLen(t, maxDepartedNodes, state.Departures)
	must.SliceEmpty(t, state.DepartedInstances("a"))
	must.SliceNotEmpty(t, state.DepartedInstances("b")) // its latest departure is more recent
}

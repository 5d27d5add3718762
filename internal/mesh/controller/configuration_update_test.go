package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/testmesh"
)

// decideOnTopOf decides an update on top of a state.
func decideOnTopOf(update *configurationUpdate, state *consensus.State) (*consensus.State, error) {
	return update.decide(state, func() (*routing.Configuration, error) { return (&Controller{}).parsedConfiguration(state) })
}

func newReplacement(n int) *configurationUpdate {
	order := testmesh.NewUpdate(n, int64(2*n), int64(2*n+2))
	return newConfigurationUpdate(callReplace, order.BaseVersion, []byte(order.Body))
}

// applyReplacements returns the state after n replacements, each on top of the previous one.
func applyReplacements(t *testing.T, n int) *consensus.State {
	state := &consensus.State{Index: 1}
	for k := range n {
		next, err := decideOnTopOf(newReplacement(k), state)
		must.NoError(t, err)
		state = next
	}
	return state
}

func TestRepeatedUpdateIsConfirmedOrUnclear(t *testing.T) {
	const changes = consensus.MaxAppliedChanges + 100
	state := applyReplacements(t, changes)
	confirmed, unclear, rejectedByVariant := 0, 0, 0
	for n := range changes {
		next, err := decideOnTopOf(newReplacement(n), state)
		must.Nil(t, next)
		switch apierror.KindOf(err) {
		case apierror.None:
			confirmed++
		case apierror.OutcomeUnknown:
			unclear++
		default:
			t.Fatal(n, err)
		}
		if _, err := newReplacement(n).decideWithoutHistoryGuard(state, consensus.MaxAppliedChanges); apierror.KindOf(err) == apierror.VersionConflict {
			rejectedByVariant++
		}
	}
	must.Eq(t, consensus.MaxAppliedChanges, confirmed)
	must.Eq(t, 100, unclear)
	must.Eq(t, 100, rejectedByVariant) // without the guard, applied updates are rejected

	decideNeverApplied := func(base, edition int64) error {
		order := testmesh.NewUpdate(-1, base, edition)
		_, err := decideOnTopOf(newConfigurationUpdate(callReplace, base, []byte(order.Body)), state)
		return err
	}
	// May be one of the updates that are no longer recorded.
	must.Eq(t, apierror.OutcomeUnknown, apierror.KindOf(decideNeverApplied(4, 6)))
	// Sets a version that no update has set.
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(decideNeverApplied(4, 2*changes+1)))
	// Builds on a version that is still recorded.
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(decideNeverApplied(2*changes-2, 2*changes)))
	must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(decideNeverApplied(2*changes, 2*changes)))
}

func TestAppliedAmendmentIsConfirmedEvenIfItIsNowInvalid(t *testing.T) {
	state := applyReplacements(t, 1)
	withdraw := newConfigurationUpdate(callAmend, 2, []byte(`{"Edition":3,"Withdraw":{"Routes":["order-0"]}}`))
	state, err := decideOnTopOf(withdraw, state)
	must.NoError(t, err)
	amendment := []byte(`{"Edition":5,"Deliver":{"Senders":[{"Name":"acme","RatePerS":1}]},"Withdraw":{"Depots":["album"]}}`)
	state, err = decideOnTopOf(newConfigurationUpdate(callAmend, 3, amendment), state)
	must.NoError(t, err)
	next, err := decideOnTopOf(newReplacement(2), withEdition(state, 4))
	must.NoError(t, err) // a route refers to album again, so the amendment can no longer remove it
	next, err = decideOnTopOf(newConfigurationUpdate(callAmend, 3, amendment), next)
	must.NoError(t, err)
	must.Nil(t, next)
}

func withEdition(state *consensus.State, edition int64) *consensus.State {
	next := *state
	next.Edition = edition
	return &next
}

func TestInvalidUpdateIsRejectedOnTopOfAnyVersion(t *testing.T) {
	long := applyReplacements(t, consensus.MaxAppliedChanges+10)
	for _, bad := range []*configurationUpdate{
		newConfigurationUpdate(callReplace, 2, []byte(`{"Edition":4`)),
		newConfigurationUpdate(callReplace, 2, []byte(`{"Edition":4,"PostOffices":[{"Town":""}]}`)),
		newConfigurationUpdate(callAmend, 2, []byte(`{"Edition":4,`)),
	} {
		for _, state := range []*consensus.State{{Index: 1}, applyReplacements(t, 1), applyReplacements(t, 5), long} {
			_, err := decideOnTopOf(bad, state)
			must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(err), must.Sprint(bad.call, string(bad.body), state.Edition))
		}
	}
	_, err := decideOnTopOf(newConfigurationUpdate(callAmend, 2, []byte(`{"Edition":4,"Withdraw":{"Depots":["album"]}}`)), applyReplacements(t, 1))
	must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(err)) // a route still refers to it
	_, err = decideOnTopOf(newConfigurationUpdate(callAmend, 0, []byte(`{"Edition":4}`)), &consensus.State{Index: 1})
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(err))
}

// After a restore, another configuration may have a version number that the controller has already parsed.
func TestConfigurationsOfTheSameVersionAreDistinguished(t *testing.T) {
	c := &Controller{}
	for id := range 2 {
		state := &consensus.State{Edition: 7, Configuration: []byte(testmesh.NewUpdate(id, 0, 7).Body)}
		configuration, err := c.parsedConfiguration(state)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprintf("order-%d", id), configuration.Routes[0].Name)
	}
}

func TestUpdateTimeoutGrowsWithBodySize(t *testing.T) {
	must.Eq(t, answerTimeout, updateTimeout(1000))
	must.Less(t, time.Second, updateTimeout(64<<10)) // a few hundred routes
	must.Eq(t, answerTimeout+768*answerTimeoutPerKiB, updateTimeout(768<<10))
}

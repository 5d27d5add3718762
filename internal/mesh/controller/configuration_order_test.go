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

// decideAlone decides an order on top of a state.
func decideAlone(o *configurationOrder, s *consensus.State) (*consensus.State, error) {
	return o.decide(s, func() (*routing.Configuration, error) { return (&Controller{}).parsedConfiguration(s) })
}

func replacement(n int) *configurationOrder {
	order := testmesh.NewOrder(n, int64(2*n), int64(2*n+2))
	return newConfigurationOrder(callReplace, order.Base, []byte(order.Body))
}

// applyReplacements is the state after so many replacements, each on top of the one before.
func applyReplacements(t *testing.T, n int) *consensus.State {
	s := &consensus.State{Index: 1}
	for k := range n {
		next, err := decideAlone(replacement(k), s)
		must.NoError(t, err)
		s = next
	}
	return s
}

func TestAnAppliedOrderIsConfirmedOrUnclearWheneverItIsSentAgain(t *testing.T) {
	const changes = consensus.MaxAppliedChanges + 100
	s := applyReplacements(t, changes)
	confirmed, unclear, refusedByVariant := 0, 0, 0
	for n := range changes {
		next, err := decideAlone(replacement(n), s)
		must.Nil(t, next)
		switch apierror.KindOf(err) {
		case apierror.None:
			confirmed++
		case apierror.OutcomeUnknown:
			unclear++
		default:
			t.Fatal(n, err)
		}
		if _, err := replacement(n).decideForgetting(s, consensus.MaxAppliedChanges); apierror.KindOf(err) == apierror.VersionConflict {
			refusedByVariant++
		}
	}
	must.Eq(t, consensus.MaxAppliedChanges, confirmed)
	must.Eq(t, 100, unclear)
	must.Eq(t, 100, refusedByVariant) // the variant without the guard is convicted

	never := func(base, edition int64) error {
		order := testmesh.NewOrder(-1, base, edition)
		_, err := decideAlone(newConfigurationOrder(callReplace, base, []byte(order.Body)), s)
		return err
	}
	must.Eq(t, apierror.OutcomeUnknown, apierror.KindOf(never(4, 6)))                    // might be one of those that are forgotten
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(never(4, 2*changes+1)))         // sets an edition that nobody has set
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(never(2*changes-2, 2*changes))) // builds on what is remembered
	must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(never(2*changes, 2*changes)))
}

func TestAnAmendmentThatWasAppliedIsConfirmedThoughItReadsAsInvalid(t *testing.T) {
	s := applyReplacements(t, 1)
	withdraw := newConfigurationOrder(callAmend, 2, []byte(`{"Edition":3,"Withdraw":{"Routes":["order-0"]}}`))
	s, err := decideAlone(withdraw, s)
	must.NoError(t, err)
	amendment := []byte(`{"Edition":5,"Deliver":{"Senders":[{"Name":"acme","RatePerS":1}]},"Withdraw":{"Depots":["album"]}}`)
	s, err = decideAlone(newConfigurationOrder(callAmend, 3, amendment), s)
	must.NoError(t, err)
	next, err := decideAlone(replacement(2), withEdition(s, 4))
	must.NoError(t, err) // routes go to album again, which the amendment would withdraw
	next, err = decideAlone(newConfigurationOrder(callAmend, 3, amendment), next)
	must.NoError(t, err)
	must.Nil(t, next)
}

func withEdition(s *consensus.State, edition int64) *consensus.State {
	next := *s
	next.Edition = edition
	return &next
}

func TestWhatCanNeverBeAppliedIsInvalidOnTopOfAnyVersion(t *testing.T) {
	long := applyReplacements(t, consensus.MaxAppliedChanges+10)
	for _, bad := range []*configurationOrder{
		newConfigurationOrder(callReplace, 2, []byte(`{"Edition":4`)),
		newConfigurationOrder(callReplace, 2, []byte(`{"Edition":4,"PostOffices":[{"Town":""}]}`)),
		newConfigurationOrder(callAmend, 2, []byte(`{"Edition":4,`)),
	} {
		for _, s := range []*consensus.State{{Index: 1}, applyReplacements(t, 1), applyReplacements(t, 5), long} {
			_, err := decideAlone(bad, s)
			must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(err), must.Sprint(bad.call, string(bad.body), s.Edition))
		}
	}
	_, err := decideAlone(newConfigurationOrder(callAmend, 2, []byte(`{"Edition":4,"Withdraw":{"Depots":["album"]}}`)), applyReplacements(t, 1))
	must.Eq(t, apierror.InvalidConfiguration, apierror.KindOf(err)) // a route goes there
	_, err = decideAlone(newConfigurationOrder(callAmend, 0, []byte(`{"Edition":4}`)), &consensus.State{Index: 1})
	must.Eq(t, apierror.VersionConflict, apierror.KindOf(err))
}

// After a restore another configuration may bear an edition that the process has parsed before.
func TestAnEditionDoesNotNameAConfiguration(t *testing.T) {
	c := &Controller{}
	for id := range 2 {
		s := &consensus.State{Edition: 7, Configuration: []byte(testmesh.NewOrder(id, 0, 7).Body)}
		table, err := c.parsedConfiguration(s)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprintf("order-%d", id), table.Routes[0].Name)
	}
}

func TestTheTimeForAnAnswerGrowsWithTheBody(t *testing.T) {
	must.Eq(t, answerTimeout, orderTimeout(1000))
	must.Less(t, time.Second, orderTimeout(64<<10)) // some hundred routes
	must.Eq(t, answerTimeout+768*answerTimeoutPerKiB, orderTimeout(768<<10))
}

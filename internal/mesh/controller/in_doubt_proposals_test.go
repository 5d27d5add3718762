package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
)

func TestInDoubtProposalsAreResolvedByTheDecisionOfTheirSlot(t *testing.T) {
	own, earlier, rival := consensus.Ballot{Round: 4, Proposer: "own"}, consensus.Ballot{Round: 2, Proposer: "own"},
		consensus.Ballot{Round: 3, Proposer: "rival"}
	for name, test := range map[string]struct {
		state                 consensus.State
		decided, unresolvable bool
	}{
		"not yet decided":     {consensus.State{Index: 6, Origin: rival}, false, false},
		"own":                 {consensus.State{Index: 7, Origin: own}, true, false},
		"own earlier attempt": {consensus.State{Index: 7, Origin: earlier}, true, false},
		"rival":               {consensus.State{Index: 7, Origin: rival}, false, false},
		"no origin":           {consensus.State{Index: 7}, false, true},
		"slot skipped":        {consensus.State{Index: 8, Origin: rival}, false, true},
	} {
		proposals := &inDoubtProposals{}
		must.False(t, proposals.unresolvable(&test.state))
		must.False(t, proposals.decided(&test.state))
		proposals.add(6, rival) // for an earlier slot, and no longer relevant
		proposals.add(7, earlier)
		proposals.add(7, own)
		must.Eq(t, test.decided, proposals.decided(&test.state), must.Sprint(name))
		must.Eq(t, test.unresolvable, !proposals.decided(&test.state) && proposals.unresolvable(&test.state), must.Sprint(name))
	}
	proposals := &inDoubtProposals{}
	proposals.add(7, own)
	// Another proposal has won, so the change may be proposed again.
	must.False(t, proposals.unresolvable(&consensus.State{Index: 7, Origin: rival}))
	must.False(t, proposals.unresolvable(&consensus.State{Index: 9, Origin: rival}))
}

package controller

import (
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
)

func TestADoubtEndsWithWhatItsSlotWasDecidedToBe(t *testing.T) {
	own, earlier, rival := consensus.Ballot{Round: 4, Proposer: "own"}, consensus.Ballot{Round: 2, Proposer: "own"}, consensus.Ballot{Round: 3, Proposer: "rival"}
	for name, c := range map[string]struct {
		state            consensus.State
		decided, lasting bool
	}{
		"not yet":               {consensus.State{Index: 6, Origin: rival}, false, false},
		"own":                   {consensus.State{Index: 7, Origin: own}, true, false},
		"of an earlier attempt": {consensus.State{Index: 7, Origin: earlier}, true, false},
		"a rival's":             {consensus.State{Index: 7, Origin: rival}, false, false},
		"no origin":             {consensus.State{Index: 7}, false, true},
		"passed over":           {consensus.State{Index: 8, Origin: rival}, false, true},
	} {
		doubt := &changeDoubt{}
		must.False(t, doubt.lasting(&c.state))
		must.False(t, doubt.decided(&c.state))
		doubt.add(6, rival) // a slot before, of no account any more
		doubt.add(7, earlier)
		doubt.add(7, own)
		must.Eq(t, c.decided, doubt.decided(&c.state), must.Sprint(name))
		must.Eq(t, c.lasting, !doubt.decided(&c.state) && doubt.lasting(&c.state), must.Sprint(name))
	}
	doubt := &changeDoubt{}
	doubt.add(7, own)
	must.False(t, doubt.lasting(&consensus.State{Index: 7, Origin: rival})) // lost: the change may be made anew
	must.False(t, doubt.lasting(&consensus.State{Index: 9, Origin: rival}))
}

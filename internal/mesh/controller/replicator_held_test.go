package controller

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/telemetry"
)

// What a process holds is left out of requests to it until it says that it lacks it, also after it has refused one: two proposers
// that overtake one another are refused often.
func TestARefusalLeavesWhatIsHeld(t *testing.T) {
	const at = "there"
	document, err := json.Marshal(string(bytes.Repeat([]byte("x"), 64<<10)))
	must.NoError(t, err)
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	k := newReplicator(&first, nil, nil, telemetry.NewCounters(), "here", "life")
	request := consensus.Request{Kind: consensus.Accept, Slot: 2, Value: first.Decided.WithConfiguration(1, document, "digest")}
	sent, large := k.compactFor(at, request)
	must.False(t, sent.IsCompact())
	must.MapLen(t, 1, large)

	k.noteHeld(at, large, &consensus.Response{SupportsCompact: true}) // refused, and nothing was held before
	sent, _ = k.compactFor(at, request)
	must.False(t, sent.IsCompact())
	k.noteHeld(at, large, &consensus.Response{SupportsCompact: true, OK: true})
	sent, _ = k.compactFor(at, request)
	must.True(t, sent.IsCompact())
	k.noteHeld(at, large, &consensus.Response{SupportsCompact: true})
	sent, _ = k.compactFor(at, request)
	must.True(t, sent.IsCompact())
	k.noteHeld(at, large, &consensus.Response{OK: true}) // a version that understands no compact requests
	sent, _ = k.compactFor(at, request)
	must.False(t, sent.IsCompact())
}

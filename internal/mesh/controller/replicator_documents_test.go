package controller

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/telemetry"
)

// Documents that a controller holds are omitted from requests to it until it reports that it lacks them. This must
// still hold after it has refused a request, because competing proposers are refused often.
func TestRefusalKeepsRecordedDocuments(t *testing.T) {
	const address = "there"
	document, err := json.Marshal(string(bytes.Repeat([]byte("x"), 64<<10)))
	must.NoError(t, err)
	first := consensus.Replica{ID: "one", Decided: &consensus.State{Index: 1}}
	r := newReplicator(&first, nil, nil, telemetry.NewCounters(), "here", "life")
	request := consensus.Request{Kind: consensus.Accept, Slot: 2, Value: first.Decided.WithConfiguration(1, document, "digest")}
	sent, large := r.compactFor(address, request)
	must.False(t, sent.IsCompact())
	must.MapLen(t, 1, large)

	r.recordHeldDocuments(address, large, &consensus.Response{SupportsCompact: true}) // refused, and it held nothing before
	sent, _ = r.compactFor(address, request)
	must.False(t, sent.IsCompact())
	r.recordHeldDocuments(address, large, &consensus.Response{SupportsCompact: true, OK: true})
	sent, _ = r.compactFor(address, request)
	must.True(t, sent.IsCompact())
	r.recordHeldDocuments(address, large, &consensus.Response{SupportsCompact: true})
	sent, _ = r.compactFor(address, request)
	must.True(t, sent.IsCompact())
	// An older release without support for compact requests.
	r.recordHeldDocuments(address, large, &consensus.Response{OK: true})
	sent, _ = r.compactFor(address, request)
	must.False(t, sent.IsCompact())
}

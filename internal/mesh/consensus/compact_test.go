package consensus

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestACompactRequestIsExpandedOnlyByWhoHoldsItsConfiguration(t *testing.T) {
	base := &State{Index: 4, Edition: 2, Configuration: json.RawMessage(`{"Edition":2,"Text":"<a&b>"}`)}
	value := base.WithMembers(9)
	request := Request{Kind: Accept, Slot: 5, Ballot: Ballot{3, "a"}, Value: value}
	digest := ConfigurationDigest(base.Configuration)

	sent, err := json.Marshal(request.Compact(digest))
	must.NoError(t, err)
	arrived := Request{}
	must.NoError(t, json.Unmarshal(sent, &arrived))
	must.True(t, arrived.IsCompact())
	must.StrNotContains(t, string(sent), "Text")

	stored, err := json.Marshal(base) // as another process got it
	must.NoError(t, err)
	decided := &State{}
	must.NoError(t, json.Unmarshal(stored, decided))
	holder := &Replica{ID: "one", Decided: decided}
	whole, ok := holder.Expand(arrived, ConfigurationDigest)
	must.True(t, ok)
	must.Eq(t, Accept, whole.Kind)
	must.Eq(t, string(decided.Configuration), string(whole.Value.Configuration))

	other := &Replica{ID: "two", Decided: &State{Index: 4, Edition: 2, Configuration: json.RawMessage(`{"Edition":2}`)}}
	_, ok = other.Expand(arrived, ConfigurationDigest)
	must.False(t, ok)
	other.Accepted = &AcceptedValue{Value: decided}
	_, ok = other.Expand(arrived, ConfigurationDigest)
	must.True(t, ok)
}

// A process of the version before knows no compact kinds: it must do nothing at one, not take a value without configuration.
func TestACompactRequestDoesNothingWhereItIsNotKnown(t *testing.T) {
	base := &State{Index: 4}
	for _, kind := range []string{Accept, Learn} {
		replica := &Replica{ID: "one", Decided: base}
		request := Request{Kind: kind, Slot: 5, Ballot: Ballot{3, "a"}, Value: base.WithMembers(9)}
		out, keep := replica.Handle(request.Compact("digest"))
		must.False(t, keep)
		must.False(t, out.OK)
		must.False(t, out.Compact)
		must.Nil(t, replica.Accepted)
		must.Eq(t, base, replica.Decided)
	}
}

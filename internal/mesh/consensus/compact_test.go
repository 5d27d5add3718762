package consensus

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// largeDocument returns a document that is large enough to be omitted from compact requests.
func largeDocument(text string) json.RawMessage {
	raw, err := json.Marshal(map[string]string{"Text": text, "Padding": strings.Repeat("x", LargeDocumentSize)})
	if err != nil {
		panic(err)
	}
	return raw
}

func TestCompactRequestExpandsOnlyWithHeldDocuments(t *testing.T) {
	unescaped := json.RawMessage(strings.Replace(string(largeDocument("a")), `"a"`, `"<a&b>"`, 1)) // unescaped, as an operator sends it
	base := &State{Index: 4, Edition: 2, Configuration: unescaped, Credit: largeDocument("credit"), Imports: json.RawMessage(`{"No":3}`)}
	request := Request{Kind: Accept, Slot: 5, Ballot: Ballot{3, "a"}, Value: base.WithBalancerCount(9)}

	sent, err := json.Marshal(request.Compact(DigestOf, base.LargeDocuments(DigestOf)))
	must.NoError(t, err)
	arrived := Request{}
	must.NoError(t, json.Unmarshal(sent, &arrived))
	must.True(t, arrived.IsCompact())
	must.Less(t, 1000, len(sent))

	stored, err := json.Marshal(base) // as another process received it
	must.NoError(t, err)
	decided := &State{}
	must.NoError(t, json.Unmarshal(stored, decided))
	holder := &Replica{ID: "one", Decided: decided}
	expanded, ok := holder.Expand(arrived, DigestOf)
	must.True(t, ok)
	must.Eq(t, Accept, expanded.Kind)
	must.Eq(t, decided.WithBalancerCount(9), expanded.Value)

	other := &Replica{ID: "two", Decided: &State{Index: 4, Edition: 2, Configuration: decided.Configuration, Credit: largeDocument("other")}}
	_, ok = other.Expand(arrived, DigestOf)
	must.False(t, ok)
	other.Accepted = &AcceptedValue{Value: decided}
	_, ok = other.Expand(arrived, DigestOf)
	must.True(t, ok)
}

// A request that changes one document carries that document and omits the others.
func TestCompactRequestCarriesChangedDocuments(t *testing.T) {
	base := &State{Index: 4, Configuration: largeDocument("configuration"), Credit: largeDocument("credit")}
	next := base.WithCredit(largeDocument("more credit"))
	request := Request{Kind: Learn, Value: next}.Compact(DigestOf, base.LargeDocuments(DigestOf))
	must.Eq(t, LearnCompact, request.Kind)
	must.Eq(t, next.Credit, request.Value.Credit)
	must.Eq(t, 0, len(request.Value.Configuration))
	expanded, ok := (&Replica{Decided: base}).Expand(request, DigestOf)
	must.True(t, ok)
	must.Eq(t, next, expanded.Value)
}

// A process of the previous release does not know the compact request kinds. It must ignore such a request and must not
// accept a value without its configuration.
func TestCompactRequestIsIgnoredByPreviousVersion(t *testing.T) {
	base := &State{Index: 4, Configuration: largeDocument("configuration")}
	for _, kind := range []string{Accept, Learn} {
		replica := &Replica{ID: "one", Decided: base}
		request := Request{Kind: kind, Slot: 5, Ballot: Ballot{3, "a"}, Value: base.WithBalancerCount(9)}
		response, changed := replica.Handle(request.Compact(DigestOf, base.LargeDocuments(DigestOf)))
		must.False(t, changed)
		must.False(t, response.OK)
		must.False(t, response.SupportsCompact)
		must.Nil(t, replica.Accepted)
		must.Eq(t, base, replica.Decided)
	}
}

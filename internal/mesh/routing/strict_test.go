package routing

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// What means two things is refused, whether it is put whole or comes about by an amendment.
func TestParseRejectsAmbiguousConfigurations(t *testing.T) {
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}`, name, prefix)
	}
	for name, c := range map[string]struct{ old, new, says string }{
		"a place twice":                {`{"Name":"r2"`, route("r9", "/a/") + `,{"Name":"r2"`, "route r9: Sorting: StreetPrefix: route r1 stands at A.example/a/, too"},
		"a place in two entries":       {`"PostOffices":[`, `"PostOffices":[{"Town":"A.example","Regulations":[` + route("r9", "/a/b/") + `]},`, "stands at"},
		"a place in other capitals":    {`"PostOffices":[`, `"PostOffices":[{"Town":"a.EXAMPLE","Regulations":[` + route("r9", "/a/") + `]},`, "stands at"},
		"a key of two tenants":         {`"Senders":[`, `"Senders":[{"Name":"u","ApiKeys":["k2"]},`, "Senders t: ApiKeys: u holds one of them, too"},
		"an empty key":                 {`"k1","k2"`, `"k1",""`, "Senders t: ApiKeys: one is empty"},
		"a tenant twice":               {`"Senders":[`, `"Senders":[{"Name":"t"},`, "Senders t: Name: stands twice"},
		"a service twice":              {`{"Name":"y"}`, `{"Name":"y"},{"Name":"y","LineCap":1}`, "Depots y: Name: stands twice"},
		"a field twice":                {`{"Edition":7`, `{"Edition":7,"Edition":8`, "Edition: stands twice"},
		"a field in other capitals":    {`"Deadline":"3000ms"`, `"Deadline":"3000ms","deadline":"1s"`, "PostOffices.Regulations.Dispatch.deadline: stands twice"},
		"a list twice":                 {`"PostOffices":[`, `"PostOffices":[],"PostOffices":[`, "PostOffices: stands twice"},
		"a field escaped":              {`"Edition":7`, `"Edition":7,"\u0045dition":8`, "Edition: stands twice"},
		"no UTF-8":                     {`"r1"`, "\"r1\xff\"", "UTF-8"},
		"half of a pair":               {`"r1"`, `"r1\ud800"`, "surrogate"},
		"the other half":               {`"r1"`, `"r1\udc00x"`, "surrogate"},
		"an unknown service, not used": {`"Apportion":[`, `"Destination":"z","Apportion":[`, `no service is named "z"`},
		"shares beyond numbers":        {`"Share":90},{"Destination":"y","Share":10`, `"Share":1e308},{"Destination":"y","Share":1e308`, "shares"},
	} {
		body := strings.Replace(testConfiguration, c.old, c.new, 1)
		must.NotEq(t, testConfiguration, body, must.Sprint(name))
		_, err := Parse([]byte(body))
		must.ErrorContains(t, err, c.says, must.Sprint(name))
		agreed, err := Load([]byte(body)) // as a version that took it goes on with it
		must.NoError(t, err, must.Sprint(name))
		must.ErrorContains(t, agreed.Ambiguities(), c.says, must.Sprint(name))
	}
}

func TestAmendRejectsAmbiguousResults(t *testing.T) {
	base, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	must.NoError(t, base.Ambiguities())
	route := func(town, name, prefix string) string {
		return fmt.Sprintf(`"Deliver":{"PostOffices":[{"Town":%q,"Regulations":[{"Name":%q,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}]}]}`, town, name, prefix)
	}
	for name, c := range map[string]struct{ change, says string }{
		"a place":               {route("a.example", "r9", "/a/"), "stands at"},
		"a route without name":  {route("a.example", "", "/n/"), "route: Name: is empty"},
		"a key":                 {`"Deliver":{"Senders":[{"Name":"u","ApiKeys":["k1"]}]}`, "holds one of them"},
		"a tenant twice":        {`"Deliver":{"Senders":[{"Name":"u","ApiKeys":["a"]},{"Name":"u","ApiKeys":["b"]}]}`, "Senders u: Name: stands twice"},
		"a service twice":       {`"Deliver":{"Depots":[{"Name":"u"},{"Name":"u"}]}`, "Depots u: Name: stands twice"},
		"a field twice":         {`"Deliver":{},"Deliver":{"Depots":[{"Name":"u"}]}`, "Deliver: stands twice"},
		"a list nobody knows":   {`"Deliver":{"Rutes":[]}`, `Deliver: nothing is named "Rutes"`},
		"withdrawn from nobody": {`"Withdraw":{"Rutes":["r1"]}`, `Withdraw: nothing is named "Rutes"`},
		"not UTF-8":             {"\"Deliver\":{\"Depots\":[{\"Name\":\"\xfe\"}]}", "UTF-8"},
	} {
		_, err := base.Amend([]byte(`{"Edition":9,` + c.change + `}`))
		must.ErrorContains(t, err, c.says, must.Sprint(name))
	}
	// What was ambiguous before has to be mended by the next change, and can be.
	ambiguous, err := Load([]byte(strings.Replace(testConfiguration, `"Senders":[`, `"Senders":[{"Name":"u","ApiKeys":["k2"]},`, 1)))
	must.NoError(t, err)
	_, err = ambiguous.Amend([]byte(`{"Edition":9,` + route("a.example", "r9", "/n/") + `}`))
	must.ErrorContains(t, err, "holds one of them")
	repaired, err := ambiguous.Amend([]byte(`{"Edition":9,"Withdraw":{"Senders":["u"]}}`))
	must.NoError(t, err)
	must.NoError(t, repaired.Ambiguities())
	must.Eq(t, "t", repaired.Tenant("k2").Name)
}

// Proper configurations are taken, however alike their parts look.
func TestParseAcceptsUnambiguousConfigurations(t *testing.T) {
	for name, c := range map[string]struct{ old, new string }{
		"routes within routes":  {`"/a/"`, `"/a/b/c/"`},
		"a town in two entries": {`"PostOffices":[`, `"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r3","Sorting":{"StreetPrefix":"/c/"},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}]},`},
		"a tenant without keys": {`"Senders":[`, `"Senders":[{"Name":"u"},`},
		"one key twice":         {`"k1","k2"`, `"k1","k1"`},
		"routes of one name":    {`"Name":"r2"`, `"Name":"r1"`},
		"a whole pair":          {`"r1"`, `"r1\ud83d\udc1d"`},
		"an escaped backslash":  {`"r1"`, `"r1\\ud800"`},
		"fields of items alike": {`"Unknown":{"kept":1}`, `"Unknown":[{"kept":1},{"kept":1}]`},
	} {
		body := strings.Replace(testConfiguration, c.old, c.new, 1)
		must.NotEq(t, testConfiguration, body, must.Sprint(name))
		_, err := Parse([]byte(body))
		must.NoError(t, err, must.Sprint(name))
	}
	var routes []string
	for n := range 4000 {
		routes = append(routes, fmt.Sprintf(`{"Name":"n%d","Sorting":{"StreetPrefix":"/n/%d/"},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}`, n, n))
	}
	configuration, err := Parse([]byte(strings.Replace(testConfiguration, `{"Name":"r2"`, strings.Join(routes, ",")+`,{"Name":"r2"`, 1)))
	must.NoError(t, err)
	must.Eq(t, 4002, len(configuration.Routes))
	must.Eq(t, "n3999", configuration.Find("a.example", "/n/3999/x").Name)
}

// Limits that an amendment does not name stay as they are, for whoever reads the configuration back too.
func TestAmendKeepsUnnamedLimits(t *testing.T) {
	base, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	amended, err := base.Amend([]byte(`{"Edition":8,"Deliver":{"SizeLimits":{"Idle":"5s"}}}`))
	must.NoError(t, err)
	again, err := Parse(amended.Document())
	must.NoError(t, err)
	must.Eq(t, amended.Limits, again.Limits)
	must.Eq(t, 1000, again.Limits.MaxBodyBytes)
	amended, err = base.Amend([]byte(`{"Edition":8,"Withdraw":{"Towns":["a.EXAMPLE"]}}`)) // hosts have no capitals
	must.NoError(t, err)
	must.Nil(t, amended.Find("a.example", "/a/1"))
}

// Whatever is taken, whole or as an amendment, is read back byte for byte and with one meaning.
func FuzzParse(f *testing.F) {
	f.Add([]byte(testConfiguration))
	f.Add([]byte(strings.Replace(testConfiguration, `{"Name":"y"}`, `{"Name":"y"},{"Name":"y"}`, 1)))
	f.Add([]byte(strings.Replace(testConfiguration, `"k1","k2"`, `"k1",""`, 1)))
	f.Add([]byte(strings.Replace(testConfiguration, `"Edition":7`, `"Edition":7,"edition":8`, 1)))
	f.Add([]byte(strings.Replace(testConfiguration, `"r1"`, `"r1\ud800"`, 1)))
	f.Add([]byte(`{"Edition":9,"Deliver":{"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r1","Sorting":{"StreetPrefix":"/n/"},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}]}]},"Withdraw":{"Senders":["t"]}}`))
	f.Add([]byte(`{"Edition":9,"Deliver":{"Senders":[{"Name":"u","ApiKeys":["k1"]}],"SizeLimits":{"Idle":"1s"}}}`))
	base, err := Parse([]byte(testConfiguration))
	must.NoError(f, err)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, parse := range []func([]byte) (*Configuration, error){Parse, base.Amend} {
			accepted, err := parse(body)
			if err != nil {
				continue
			}
			must.NoError(t, accepted.Ambiguities())
			again, err := Parse(accepted.Document())
			must.NoError(t, err, must.Sprintf("taken, and refused when read back: %s", accepted.Document()))
			must.True(t, bytes.Equal(accepted.Document(), again.Document()))
			must.SliceEmpty(t, Diff(accepted, again))
			must.Eq(t, accepted.Limits, again.Limits)
			must.Eq(t, len(accepted.Routes), len(again.Routes))
			for _, r := range accepted.Routes {
				must.Eq(t, r.Name, again.Find(r.Host, r.Match.PathPrefix).Name)
			}
		}
	})
}

package routing

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Parse must reject a configuration that can be understood in two ways, since operators would not know which meaning is
// in effect. Load must still accept it, because earlier releases may have agreed on it.
func TestParseRejectsAmbiguousConfigurations(t *testing.T) {
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}`, name, prefix)
	}
	for name, c := range map[string]struct{ old, new, message string }{
		"same host and prefix":                {`{"Name":"r2"`, route("r9", "/a/") + `,{"Name":"r2"`, "route r9: Sorting: StreetPrefix: route r1 has the same host and prefix A.example/a/"},
		"same host and prefix in two entries": {`"PostOffices":[`, `"PostOffices":[{"Town":"A.example","Regulations":[` + route("r9", "/a/b/") + `]},`, "has the same host and prefix"},
		"same host in other case":             {`"PostOffices":[`, `"PostOffices":[{"Town":"a.EXAMPLE","Regulations":[` + route("r9", "/a/") + `]},`, "has the same host and prefix"},
		"API key of two tenants":              {`"Senders":[`, `"Senders":[{"Name":"u","ApiKeys":["k2"]},`, "Senders t: ApiKeys: tenant u has one of the same keys"},
		"empty API key":                       {`"k1","k2"`, `"k1",""`, "Senders t: ApiKeys: a key is empty"},
		"duplicate tenant":                    {`"Senders":[`, `"Senders":[{"Name":"t"},`, "Senders t: Name: duplicate name"},
		"duplicate service":                   {`{"Name":"y"}`, `{"Name":"y"},{"Name":"y","LineCap":1}`, "Depots y: Name: duplicate name"},
		"duplicate field":                     {`{"Edition":7`, `{"Edition":7,"Edition":8`, "Edition: stands twice"},
		"duplicate field in other case":       {`"Deadline":"3000ms"`, `"Deadline":"3000ms","deadline":"1s"`, "PostOffices.Regulations.Dispatch.deadline: stands twice"},
		"duplicate list":                      {`"PostOffices":[`, `"PostOffices":[],"PostOffices":[`, "PostOffices: stands twice"},
		"duplicate field with an escape":      {`"Edition":7`, `"Edition":7,"\u0045dition":8`, "Edition: stands twice"},
		"invalid UTF-8":                       {`"r1"`, "\"r1\xff\"", "UTF-8"},
		"lone high surrogate":                 {`"r1"`, `"r1\ud800"`, "surrogate"},
		"lone low surrogate":                  {`"r1"`, `"r1\udc00x"`, "surrogate"},
		"unknown service, not used":           {`"Apportion":[`, `"Destination":"z","Apportion":[`, `unknown service "z"`},
		"sum of shares overflows":             {`"Share":90},{"Destination":"y","Share":10`, `"Share":1e308},{"Destination":"y","Share":1e308`, "shares"},
	} {
		body := strings.Replace(testConfiguration, c.old, c.new, 1)
		must.NotEq(t, testConfiguration, body, must.Sprint(name))
		_, err := Parse([]byte(body))
		must.ErrorContains(t, err, c.message, must.Sprint(name))
		agreed, err := Load([]byte(body)) // as agreed by an earlier release that accepted it
		must.NoError(t, err, must.Sprint(name))
		must.ErrorContains(t, agreed.Ambiguities(), c.message, must.Sprint(name))
	}
}

func TestAmendRejectsAmbiguousResults(t *testing.T) {
	base, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	must.NoError(t, base.Ambiguities())
	route := func(town, name, prefix string) string {
		return fmt.Sprintf(`"Deliver":{"PostOffices":[{"Town":%q,"Regulations":[{"Name":%q,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}]}]}`, town, name, prefix)
	}
	for name, c := range map[string]struct{ change, message string }{
		"same host and prefix":   {route("a.example", "r9", "/a/"), "has the same host and prefix"},
		"route without a name":   {route("a.example", "", "/n/"), "route: Name: must not be empty"},
		"API key of two tenants": {`"Deliver":{"Senders":[{"Name":"u","ApiKeys":["k1"]}]}`, "has one of the same keys"},
		"duplicate tenant":       {`"Deliver":{"Senders":[{"Name":"u","ApiKeys":["a"]},{"Name":"u","ApiKeys":["b"]}]}`, "Senders u: Name: duplicate name"},
		"duplicate service":      {`"Deliver":{"Depots":[{"Name":"u"},{"Name":"u"}]}`, "Depots u: Name: duplicate name"},
		"duplicate field":        {`"Deliver":{},"Deliver":{"Depots":[{"Name":"u"}]}`, "Deliver: stands twice"},
		"unknown delivered list": {`"Deliver":{"Rutes":[]}`, `Deliver: unknown list "Rutes"`},
		"unknown withdrawn list": {`"Withdraw":{"Rutes":["r1"]}`, `Withdraw: unknown list "Rutes"`},
		"invalid UTF-8":          {"\"Deliver\":{\"Depots\":[{\"Name\":\"\xfe\"}]}", "UTF-8"},
	} {
		_, err := base.Amend([]byte(`{"Edition":9,` + c.change + `}`))
		must.ErrorContains(t, err, c.message, must.Sprint(name))
	}
	// The next change of an ambiguous configuration is rejected unless it resolves the ambiguity.
	ambiguous, err := Load([]byte(strings.Replace(testConfiguration, `"Senders":[`, `"Senders":[{"Name":"u","ApiKeys":["k2"]},`, 1)))
	must.NoError(t, err)
	_, err = ambiguous.Amend([]byte(`{"Edition":9,` + route("a.example", "r9", "/n/") + `}`))
	must.ErrorContains(t, err, "has one of the same keys")
	repaired, err := ambiguous.Amend([]byte(`{"Edition":9,"Withdraw":{"Senders":["u"]}}`))
	must.NoError(t, err)
	must.NoError(t, repaired.Ambiguities())
	must.Eq(t, "t", repaired.Tenant("k2").Name)
}

// Items that are similar but not ambiguous must be accepted, also in a configuration with thousands of routes.
func TestParseAcceptsUnambiguousConfigurations(t *testing.T) {
	for name, c := range map[string]struct{ old, new string }{
		"nested prefixes":            {`"/a/"`, `"/a/b/c/"`},
		"host in two entries":        {`"PostOffices":[`, `"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r3","Sorting":{"StreetPrefix":"/c/"},"Dispatch":{"Destination":"y","Deadline":"1s","DeliveryTries":1}}]},`},
		"tenant without keys":        {`"Senders":[`, `"Senders":[{"Name":"u"},`},
		"repeated key of one tenant": {`"k1","k2"`, `"k1","k1"`},
		"routes with the same name":  {`"Name":"r2"`, `"Name":"r1"`},
		"surrogate pair":             {`"r1"`, `"r1\ud83d\udc1d"`},
		"escaped backslash":          {`"r1"`, `"r1\\ud800"`},
		"items with equal fields":    {`"Unknown":{"kept":1}`, `"Unknown":[{"kept":1},{"kept":1}]`},
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

// An amendment must keep the limits that it does not name, both in the result and in its encoded document.
func TestAmendKeepsUnnamedLimits(t *testing.T) {
	base, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	amended, err := base.Amend([]byte(`{"Edition":8,"Deliver":{"SizeLimits":{"Idle":"5s"}}}`))
	must.NoError(t, err)
	again, err := Parse(amended.Document())
	must.NoError(t, err)
	must.Eq(t, amended.Limits, again.Limits)
	must.Eq(t, 1000, again.Limits.MaxBodyBytes)
	amended, err = base.Amend([]byte(`{"Edition":8,"Withdraw":{"Towns":["a.EXAMPLE"]}}`)) // hosts are not case-sensitive
	must.NoError(t, err)
	must.Nil(t, amended.Find("a.example", "/a/1"))
}

// Any accepted configuration or amendment must result in a document that is accepted again, unambiguous, byte for byte
// the same, and with the same content.
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
			must.NoError(t, err, must.Sprintf("the document of an accepted configuration is rejected: %s", accepted.Document()))
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

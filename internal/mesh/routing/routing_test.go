package routing

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testConfiguration = `{"Edition":7,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":1000,"Envelope":"3000ms","Idle":"15s"},
"Senders":[{"Name":"t","ApiKeys":["k1","k2"],"Precedence":1,"RatePerS":10,"Surge":5,"Later":true}],"Unknown":{"kept":1},
"PostOffices":[{"Town":"A.example","Regulations":[
{"Name":"r1","MailClass":"repeatable","Target":"800ms","Precedence":2,"Sorting":{"StreetPrefix":"/a/"},"Dispatch":{"Apportion":[{"Destination":"x","Share":90},{"Destination":"y","Share":10}],"Deadline":"3000ms","DeliveryTries":2}},
{"Name":"r2","MailClass":"once_only","Target":"1s","Sorting":{"StreetPrefix":"/a/b/"},"Dispatch":{"Destination":"y","Deadline":"4s","DeliveryTries":2}}]}],
"Depots":[{"Name":"x","HealthPath":"/h","LineCap":130,"Protocol":"h1","Sealed":false},{"Name":"y"}]}`

func TestParseReportsInvalidConfigurations(t *testing.T) {
	_, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	for name, c := range map[string]struct{ old, new, message string }{
		"truncated document":            {testConfiguration, testConfiguration[:len(testConfiguration)/2], "invalid JSON"},
		"trailing data":                 {testConfiguration, testConfiguration + "{}", "invalid JSON"},
		"unknown service":               {`"Destination":"y","Deadline"`, `"Destination":"z","Deadline"`, `route r2: Destination: unknown service "z"`},
		"sum of shares is 0":            {`"Share":90},{"Destination":"y","Share":10}`, `"Share":0},{"Destination":"y","Share":0}`, "route r1: Apportion"},
		"deadline is 0":                 {`"Deadline":"3000ms"`, `"Deadline":"0ms"`, "Deadline"},
		"deadline is too long":          {`"Deadline":"3000ms"`, `"Deadline":"601s"`, "Deadline"},
		"no delivery attempts":          {`"Deadline":"3000ms","DeliveryTries":2`, `"Deadline":"3000ms","DeliveryTries":0`, "DeliveryTries"},
		"empty host":                    {`"Town":"A.example"`, `"Town":""`, "Town"},
		"edition is not a number":       {`"Edition":7`, `"Edition":"seven"`, "Edition"},
		"duration without a unit":       {`"Target":"800ms"`, `"Target":"800"`, "is no time"},
		"prefix without trailing slash": {`"StreetPrefix":"/a/"`, `"StreetPrefix":"/a"`, "slash"},
	} {
		_, err := Parse([]byte(strings.Replace(testConfiguration, c.old, c.new, 1)))
		must.ErrorContains(t, err, c.message, must.Sprint(name))
	}
}

func TestFindByHostAndLongestPrefix(t *testing.T) {
	configuration, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/a/1", "r1"}, {"A.EXAMPLE:80", "/a/b/1", "r2"}, {"a.example", "/a/b", "r1"}, {"a.example", "/a", ""},
		{"a.example", "/b/", ""}, {"b.example", "/a/", ""}, {"a.example", "/a//b/", "r1"},
	} {
		got := ""
		if r := configuration.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprint(c))
	}
	must.Eq(t, "t", configuration.Tenant("k2").Name)
	must.Nil(t, configuration.Tenant(""))
}

func TestAmendReplacesByNameAndKeepsTheRest(t *testing.T) {
	before, err := Parse([]byte(testConfiguration))
	must.NoError(t, err)
	after, err := before.Amend([]byte(`{"Edition":9,"Deliver":{"PostOffices":[{"Town":"B.example","Regulations":[{"Name":"r1","MailClass":"repeatable","Target":"1s","Sorting":{"StreetPrefix":"/n/"},"Dispatch":{"Destination":"z","Deadline":"1s","DeliveryTries":1}}]}],
"Senders":[{"Name":"u","ApiKeys":["k3"]}],"Depots":[{"Name":"z"}]},"Withdraw":{"Routes":["r1","r2","missing"],"Senders":["t"]}}`))
	must.NoError(t, err)
	must.Nil(t, before.Find("b.example", "/n/")) // the previous version is unchanged
	must.Eq(t, "r1", after.Find("b.example", "/n/").Name)
	must.Nil(t, after.Find("a.example", "/a/1"))
	must.Nil(t, after.Tenant("k1"))
	must.Eq(t, "u", after.Tenant("k3").Name)
	must.StrContains(t, string(after.Document()), `"Unknown":{"kept":1}`)
	must.StrContains(t, string(after.Document()), `"LineCap":130`)
	again, err := Parse(after.Document())
	must.NoError(t, err)
	must.Eq(t, 9, again.Edition)
	_, err = before.Amend([]byte(`{"Edition":9,"Withdraw":{"Depots":["y"]}}`))
	must.ErrorContains(t, err, "unknown service")
}

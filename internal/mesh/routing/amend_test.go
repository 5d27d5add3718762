package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// testRoute is a route of the configurations in these tests.
type testRoute struct{ host, name, prefix, service string }

func (r testRoute) json() string {
	return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":%q,"Deadline":"1s","DeliveryTries":1}}`,
		r.name, r.prefix, r.service)
}

// hostList encodes routes as a list of hosts, with one entry for each run of routes of the same host.
func hostList(routes []testRoute) string {
	var entries []string
	for start := 0; start < len(routes); {
		end := start
		var encoded []string
		for ; end < len(routes) && routes[end].host == routes[start].host; end++ {
			encoded = append(encoded, routes[end].json())
		}
		entries = append(entries, fmt.Sprintf(`{"Town":%q,"Regulations":[%s]}`, routes[start].host, strings.Join(encoded, ",")))
		start = end
	}
	return "[" + strings.Join(entries, ",") + "]"
}

// parseRoutes returns a configuration with the given routes.
func parseRoutes(t testing.TB, routes ...testRoute) *Configuration {
	t.Helper()
	configuration, err := Parse([]byte(`{"Edition":7,"PostOffices":` + hostList(routes) + `,"Depots":[{"Name":"x"},{"Name":"y"}]}`))
	must.NoError(t, err)
	return configuration
}

// amendRoutes delivers routes and withdraws the names in the lists of withdraw.
func amendRoutes(base *Configuration, withdraw string, delivered ...testRoute) (*Configuration, error) {
	return base.Amend([]byte(`{"Edition":9,"Deliver":{"PostOffices":` + hostList(delivered) + `},"Withdraw":{` + withdraw + `}}`))
}

// routesOf returns the routes of a configuration in a comparable form, sorted.
func routesOf(configuration *Configuration) (routes []string) {
	for _, r := range configuration.Routes {
		routes = append(routes, fmt.Sprintf("%s%s %s %s", strings.ToLower(r.Host), r.Match.PathPrefix, r.Name, r.Services[0].Service))
	}
	slices.Sort(routes)
	return routes
}

// An amendment must not lose a route that it does not name: routes are matched by host and name, since a name may occur
// at several hosts (review/5).
func TestAmendKeepsRoutesOfTheSameNameAtOtherHosts(t *testing.T) {
	base := []testRoute{{"a.example", "issue", "/i/", "x"}, {"a.example", "other", "/o/", "x"}, {"B.example", "issue", "/i/", "x"}, {"c.example", "issue", "/c/", "x"}}
	for name, c := range map[string]struct {
		withdraw  string
		delivered []testRoute
		want      []string
	}{
		"replaced at one host": {"", []testRoute{{"a.example", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue y", "a.example/o/ other x", "b.example/i/ issue x", "c.example/c/ issue x"}},
		"replaced at one host in other case": {"", []testRoute{{"b.EXAMPLE", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue x", "a.example/o/ other x", "b.example/i/ issue y", "c.example/c/ issue x"}},
		"replaced at one host with another prefix": {"", []testRoute{{"b.example", "issue", "/new/", "y"}},
			[]string{"a.example/i/ issue x", "a.example/o/ other x", "b.example/new/ issue y", "c.example/c/ issue x"}},
		"replaced at two hosts": {"", []testRoute{{"a.example", "issue", "/i/", "y"}, {"b.example", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue y", "a.example/o/ other x", "b.example/i/ issue y", "c.example/c/ issue x"}},
		"added at another host": {"", []testRoute{{"d.example", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue x", "a.example/o/ other x", "b.example/i/ issue x", "c.example/c/ issue x", "d.example/i/ issue y"}},
		"added at another host beside a replacement": {"", []testRoute{{"d.example", "other", "/o/", "y"}, {"c.example", "issue", "/c/", "y"}},
			[]string{"a.example/i/ issue x", "a.example/o/ other x", "b.example/i/ issue x", "c.example/c/ issue y", "d.example/o/ other y"}},
		"withdrawn at all hosts": {`"Routes":["issue"]`, nil,
			[]string{"a.example/o/ other x"}},
		"withdrawn at all hosts but the delivered one": {`"Routes":["issue"]`, []testRoute{{"a.example", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue y", "a.example/o/ other x"}},
		"moved to another host": {`"Routes":["other"]`, []testRoute{{"d.example", "other", "/o/", "x"}},
			[]string{"a.example/i/ issue x", "b.example/i/ issue x", "c.example/c/ issue x", "d.example/o/ other x"}},
		"host withdrawn": {`"Towns":["B.EXAMPLE"]`, []testRoute{{"a.example", "issue", "/i/", "y"}},
			[]string{"a.example/i/ issue y", "a.example/o/ other x", "c.example/c/ issue x"}},
		"last route of a host withdrawn": {`"Routes":["other"],"Towns":["b.example","c.example"]`, nil,
			[]string{"a.example/i/ issue x"}},
		"host replaced": {`"Towns":["a.example"]`, []testRoute{{"a.example", "issue", "/n/", "y"}},
			[]string{"a.example/n/ issue y", "b.example/i/ issue x", "c.example/c/ issue x"}},
		"host withdrawn and its route delivered elsewhere": {`"PostOffices":["c.example"]`, []testRoute{{"d.example", "issue", "/c/", "y"}},
			[]string{"a.example/i/ issue x", "a.example/o/ other x", "b.example/i/ issue x", "d.example/c/ issue y"}},
	} {
		amended, err := amendRoutes(parseRoutes(t, base...), c.withdraw, c.delivered...)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, c.want, routesOf(amended), must.Sprint(name))
		again, err := Parse(amended.Document())
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, c.want, routesOf(again), must.Sprint(name))
	}
}

// An amendment must not lose a route that has the same name at the same host and another prefix: such a configuration is
// accepted as a whole, so the prefix tells its routes apart.
func TestAmendTellsRoutesOfTheSameNameAtOneHostApart(t *testing.T) {
	base := []testRoute{{"a.example", "r", "/1/", "x"}, {"a.example", "r", "/2/", "x"}, {"b.example", "one", "/1/", "x"}}
	for name, c := range map[string]struct {
		delivered []testRoute
		want      []string
	}{
		"one replaced":           {[]testRoute{{"a.example", "r", "/2/", "y"}}, []string{"a.example/1/ r x", "a.example/2/ r y", "b.example/1/ one x"}},
		"both replaced":          {[]testRoute{{"a.example", "r", "/2/", "y"}, {"a.example", "r", "/1/", "y"}}, []string{"a.example/1/ r y", "a.example/2/ r y", "b.example/1/ one x"}},
		"one kept, one moved":    {[]testRoute{{"a.example", "r", "/1/", "x"}, {"a.example", "r", "/3/", "y"}}, []string{"a.example/1/ r x", "a.example/3/ r y", "b.example/1/ one x"}},
		"neither prefix matches": {[]testRoute{{"a.example", "r", "/3/", "y"}}, []string{"a.example/1/ r x", "a.example/2/ r x", "a.example/3/ r y", "b.example/1/ one x"}},
		"one split into two":     {[]testRoute{{"b.example", "one", "/1/", "x"}, {"b.example", "one", "/2/", "y"}}, []string{"a.example/1/ r x", "a.example/2/ r x", "b.example/1/ one x", "b.example/2/ one y"}},
	} {
		amended, err := amendRoutes(parseRoutes(t, base...), "", c.delivered...)
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, c.want, routesOf(amended), must.Sprint(name))
	}
	_, err := amendRoutes(parseRoutes(t, base...), "", testRoute{"a.example", "r", "/2/", "x"}, testRoute{"A.example", "r", "/2/", "y"})
	must.ErrorContains(t, err, "has the same host and prefix")
}

// Random amendments of several hosts at once must change exactly what they name.
func TestRandomAmendmentsChangeOnlyWhatTheyName(t *testing.T) {
	random := rand.New(rand.NewPCG(75, 5))
	hosts, names := []string{"a.example", "b.example", "c.example", "d.example"}, []string{"r0", "r1", "r2"}
	type place struct{ host, name string }
	for range 2000 {
		model := map[place]testRoute{}
		for range 1 + random.IntN(8) {
			r := testRoute{host: hosts[random.IntN(len(hosts))], name: names[random.IntN(len(names))], service: "x"}
			r.prefix = "/" + r.name + "/"
			model[place{r.host, r.name}] = r
		}
		base := parseRoutes(t, sortedRoutes(model)...)
		var withdraw []string
		for _, name := range names {
			if random.IntN(4) == 0 {
				withdraw = append(withdraw, fmt.Sprintf("%q", name))
				for _, host := range hosts {
					delete(model, place{host, name})
				}
			}
		}
		delivered := map[place]testRoute{}
		for range random.IntN(5) {
			r := testRoute{host: hosts[random.IntN(len(hosts))], name: names[random.IntN(len(names))], service: "y"}
			r.prefix = "/" + r.name + "/"
			delivered[place{r.host, r.name}], model[place{r.host, r.name}] = r, r
		}
		amended, err := amendRoutes(base, `"Routes":[`+strings.Join(withdraw, ",")+`]`, sortedRoutes(delivered)...)
		must.NoError(t, err)
		must.Eq(t, routesOf(parseRoutes(t, sortedRoutes(model)...)), routesOf(amended),
			must.Sprintf("from %v by %v without %v", routesOf(base), delivered, withdraw))
	}
}

func sortedRoutes[K comparable](routes map[K]testRoute) (sorted []testRoute) {
	for _, r := range routes {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b testRoute) int { return strings.Compare(a.host+" "+a.name, b.host+" "+b.name) })
	return sorted
}

// An amendment that delivers one partner must not lose the others.
func TestAmendKeepsUnnamedPartners(t *testing.T) {
	partner := func(name, deadline string) string {
		return fmt.Sprintf(`{"Name":%q,"Gateway":"127.0.0.1:1","Deadline":%q}`, name, deadline)
	}
	base, err := Parse([]byte(`{"Edition":7,"Mesh":"west","Partners":[` + partner("east", "1s") + `,` + partner("south", "1s") + `],"Depots":[]}`))
	must.NoError(t, err)
	for name, c := range map[string]struct{ change, want string }{
		"replaced":  {`"Deliver":{"Partners":[` + partner("east", "2s") + `]}`, "east 2s, south 1s"},
		"added":     {`"Deliver":{"Partners":[` + partner("north", "2s") + `]}`, "east 1s, south 1s, north 2s"},
		"withdrawn": {`"Withdraw":{"Partners":["east"]}`, "south 1s"},
	} {
		amended, err := base.Amend([]byte(`{"Edition":8,` + c.change + `}`))
		must.NoError(t, err, must.Sprint(name))
		var got []string
		for _, p := range amended.Partners {
			got = append(got, p.Name+" "+strings.TrimSuffix(fmt.Sprint(p.Deadline), "000000000")+"s")
		}
		must.Eq(t, c.want, strings.Join(got, ", "), must.Sprint(name))
		again, err := Parse(amended.Document())
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, amended.Digest(), again.Digest(), must.Sprint(name))
	}
}

// The removal of one of two routes of the same name must be shown as the removal of that one, at its host.
func TestDiffTellsRoutesOfTheSameNameApart(t *testing.T) {
	a, b := testRoute{"a.example", "issue", "/i/", "x"}, testRoute{"b.example", "issue", "/i/", "x"}
	must.Eq(t, []string{"- route issue at a.example"}, Diff(parseRoutes(t, a, b), parseRoutes(t, b)))
	must.Eq(t, []string{"+ route issue at a.example"}, Diff(parseRoutes(t, b), parseRoutes(t, a, b)))
}

// A partner that a whole configuration would remove must be shown, as all other fields that differ.
func TestDiffShowsAllFields(t *testing.T) {
	parse := func(fields string) *Configuration {
		configuration, err := Parse([]byte(`{"Edition":7,"Depots":[]` + fields + `}`))
		must.NoError(t, err)
		return configuration
	}
	with := parse(`,"Mesh":"west","Partners":[{"Name":"east","Gateway":"127.0.0.1:1","Deadline":"1s"}],"SizeLimits":{"Idle":"3s"}`)
	must.Eq(t, []string{`- Partners [{"Deadline":"1s","Gateway":"127.0.0.1:1","Name":"east"}]`, `~ SizeLimits {"Idle":"3s"} -> {"Idle":"4s"}`},
		Diff(with, parse(`,"Mesh":"west","SizeLimits":{"Idle":"4s"}`)))
	must.Eq(t, []string{`+ SizeLimits {"Idle":"3s"}`}, Diff(parse(``), parse(`,"SizeLimits":{"Idle":"3s"}`)))
}

// An amendment of one route among 4,000.
func BenchmarkAmend(b *testing.B) {
	var routes []testRoute
	for n := range 4000 {
		routes = append(routes, testRoute{"a.example", fmt.Sprint("route-", n), fmt.Sprintf("/r%d/", n), "x"})
	}
	base := parseRoutes(b, routes...)
	for b.Loop() {
		_, err := amendRoutes(base, "", routes[5])
		must.NoError(b, err)
	}
}

// An amendment must not lose fields of a host that it does not name, as it keeps those of routes and of the whole
// configuration: what was acknowledged is more than the host's name and routes.
func TestAmendKeepsOtherFieldsOfHosts(t *testing.T) {
	const route = `{"Name":"r","MailClass":"repeatable","Sorting":{"StreetPrefix":"/r/"},"Dispatch":{"Destination":"x","Deadline":"1s","DeliveryTries":1}}`
	const a, b = `{"Owner":"jo","Regulations":[` + route + `],"Town":"a.example","Zone":{"x":1}}`, `{"Town":"b.example","Regulations":[` + route + `,` + route2 + `]}`
	base, err := Parse([]byte(`{"Edition":7,"PostOffices":[` + a + `, ` + b + `],"Depots":[{"Name":"x"}]}`))
	must.NoError(t, err)
	for name, c := range map[string]struct{ change, want string }{
		"not named":         {`"Deliver":{"Depots":[{"Name":"y"}]}`, a + `,` + b},
		"other host":        {`"Deliver":{"PostOffices":[{"Town":"b.example","Regulations":[` + route + `]}]}`, a + `,` + b},
		"one field":         {`"Deliver":{"PostOffices":[{"Town":"A.example","owner":"al"}]}`, strings.Replace(a, `"jo"`, `"al"`, 1) + `,` + b},
		"another field":     {`"Deliver":{"PostOffices":[{"Town":"b.example","Owner":"al"}]}`, a + `,{"Owner":"al","Regulations":[` + route + `,` + route2 + `],"Town":"b.example"}`},
		"host withdrawn":    {`"Withdraw":{"Towns":["a.example"]}`, b},
		"host replaced":     {`"Deliver":{"PostOffices":[{"Town":"a.example","Owner":"al","Regulations":[` + route + `]}]},"Withdraw":{"Towns":["a.example"]}`, b + `,{"Owner":"al","Regulations":[` + route + `],"Town":"a.example"}`},
		"added with fields": {`"Deliver":{"PostOffices":[{"Town":"c.example","Owner":"al","Regulations":[` + route + `]}]}`, a + `,` + b + `,{"Owner":"al","Regulations":[` + route + `],"Town":"c.example"}`},
	} {
		amended, err := base.Amend([]byte(`{"Edition":8,` + c.change + `}`))
		must.NoError(t, err, must.Sprint(name))
		must.StrContains(t, string(amended.Document()), `"PostOffices":[`+c.want+`]`, must.Sprint(name))
		loaded, err := Load(amended.Document())
		must.NoError(t, err, must.Sprint(name))
		for _, again := range []*Configuration{amended, loaded} {
			twice, err := again.Amend([]byte(`{"Edition":9}`))
			must.NoError(t, err, must.Sprint(name))
			must.StrContains(t, string(twice.Document()), `"PostOffices":[`+c.want+`]`, must.Sprint(name, " and amended again"))
		}
	}
}

const route2 = `{"Name":"s","MailClass":"repeatable","Sorting":{"StreetPrefix":"/s/"},"Dispatch":{"Destination":"x","Deadline":"1s","DeliveryTries":1}}`

package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// routeJSON returns the JSON of a route. Versions of the route differ in their target latency, in milliseconds.
func routeJSON(name string, target int) string {
	return fmt.Sprintf(`{"Name":"r-%s","MailClass":"repeatable","Target":"%dms","Precedence":0,"Sorting":{"StreetPrefix":"/q%s/"},"Dispatch":{"Destination":"y","Deadline":"10s","DeliveryTries":2},"Note":"<&>\u2028"}`, name, target, name)
}

// configurationWithRoutes returns the JSON of a configuration with count generated routes besides those of
// testConfiguration.
func configurationWithRoutes(edition, count int) []byte {
	routes := make([]string, count)
	for n := range routes {
		routes[n] = routeJSON(fmt.Sprintf("%x-%d", n*7919%100003, n), 1000)
	}
	text := strings.Replace(testConfiguration, `{"Name":"r2"`, strings.Join(routes, ",")+`,{"Name":"r2"`, 1)
	return []byte(strings.Replace(text, `"Edition":7`, fmt.Sprintf(`"Edition":%d`, edition), 1))
}

// randomConfiguration returns a random configuration. Hosts, routes, tenants and services are added, removed, moved and
// changed between calls.
func randomConfiguration(random *rand.Rand, edition int) *Configuration {
	var hosts []string
	for host := range 1 + random.IntN(4) {
		var routes []string
		for n := range random.IntN(12) {
			if random.IntN(3) > 0 {
				routes = append(routes, routeJSON(fmt.Sprint(n), 100*(1+random.IntN(3))))
			}
		}
		random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
		hosts = append(hosts, fmt.Sprintf(`{"Town":"h%d","Regulations":[%s]}`, host+random.IntN(2)*10, strings.Join(routes, ",")))
	}
	tenants := ""
	for n := range random.IntN(3) {
		tenants += fmt.Sprintf(`{"Name":"t%d","ApiKeys":["k%d-%d"]},`, n, n, random.IntN(2))
	}
	other := []string{"", `"Later":{"a":1},`, `"Later":{"a":2},`, `"Mesh":"us",`}[random.IntN(4)]
	text := fmt.Sprintf(`{"Edition":%d,%s"SizeLimits":{"Idle":"%ds"},"Senders":[%s],"PostOffices":[%s],"Depots":[{"Name":"y"},{"Name":"z","LineCap":%d}]}`,
		edition, other, 1+random.IntN(2), strings.TrimSuffix(tenants, ","), strings.Join(hosts, ","), random.IntN(2))
	configuration, err := Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return configuration
}

// A change between two arbitrary configurations must reproduce the second one, also when the base is itself the result
// of many changes.
func TestChangeConvertsBetweenAnyConfigurations(t *testing.T) {
	random := rand.New(rand.NewPCG(60, 1))
	held := randomConfiguration(random, 1)
	for edition := 2; edition < 2000; edition++ {
		next := randomConfiguration(random, edition)
		packed, err := Pack(held, next)
		must.NoError(t, err)
		got, err := packed.Unpack(held)
		must.NoError(t, err)
		must.Eq(t, next.Digest(), got.Digest())
		must.SliceEmpty(t, Diff(next, got))
		after, err := LoadAfter(held, next.Document())
		must.NoError(t, err)
		must.Eq(t, next.Digest(), after.Digest())
		must.SliceEmpty(t, Diff(next, after))
		must.Eq(t, next.Limits, got.Limits)
		must.Eq(t, next.Mesh, got.Mesh)
		must.Eq(t, len(next.Routes), len(got.Routes))
		for _, r := range next.Routes {
			found := got.Find(r.Host, r.Match.PathPrefix)
			must.Eq(t, r.Name, found.Name)
			must.Eq(t, r.TargetLatency, found.TargetLatency)
			must.Eq(t, r.Host, found.Host)
			must.Eq(t, r.Services, found.Services)
		}
		for _, tenant := range next.Tenants {
			must.Eq(t, tenant.Name, got.Tenant(tenant.APIKeys[0]).Name)
		}
		if random.IntN(5) > 0 { // some changes are not applied
			held = got
		}
	}
}

// A change for another base, or whose result differs from the announced digest, must be rejected instead of leaving
// processes with different configurations.
func TestApplyRejectsMismatchedChanges(t *testing.T) {
	base, err := Parse(configurationWithRoutes(1, 3))
	must.NoError(t, err)
	next, err := Parse(configurationWithRoutes(2, 5))
	must.NoError(t, err)
	other, err := Parse(configurationWithRoutes(3, 5))
	must.NoError(t, err)
	change := base.ChangeTo(next)
	_, err = other.Apply(change)
	must.ErrorContains(t, err, "change applies to base")
	for name, corrupt := range map[string]func(c *Change){
		"result":               func(c *Change) { c.Result = other.Digest() },
		"edition":              func(c *Change) { c.Edition = 9 },
		"run beyond the end":   func(c *Change) { c.Services = []itemRun{{From: 1, Count: 5}} },
		"negative position":    func(c *Change) { c.Services = []itemRun{{From: -1, Count: 1}} },
		"hosts beyond the end": func(c *Change) { c.Hosts = []hostRun{{From: 0, Count: 9}} },
		"missing services":     func(c *Change) { c.Services = nil },
	} {
		raw, err := json.Marshal(change)
		must.NoError(t, err)
		var corrupted Change
		must.NoError(t, json.Unmarshal(raw, &corrupted))
		corrupt(&corrupted)
		_, err = base.Apply(&corrupted)
		must.Error(t, err, must.Sprint(name))
	}
	packed, err := Pack(nil, next)
	must.NoError(t, err)
	whole, err := packed.Unpack(nil)
	must.NoError(t, err)
	must.Eq(t, next.Digest(), whole.Digest())
	packed.Data = packed.Data[:len(packed.Data)/2]
	_, err = packed.Unpack(nil)
	must.Error(t, err)
}

// Forwarding a configuration with json.Marshal escapes some characters. The digest must not change by that, or
// processes would disagree about which configuration they have.
func TestDigestIsStableAcrossReencoding(t *testing.T) {
	original, err := Parse(configurationWithRoutes(1, 3))
	must.NoError(t, err)
	reencoded, err := json.Marshal(json.RawMessage(configurationWithRoutes(1, 3)))
	must.NoError(t, err)
	loaded, err := Load(reencoded)
	must.NoError(t, err)
	must.Eq(t, original.Digest(), loaded.Digest())
	must.Eq(t, string(original.Document()), string(loaded.Document()))
}

// The size of a change must depend on the differing items, not on the size of the configuration.
func TestChangeSizeIsProportionalToDifference(t *testing.T) {
	for _, routes := range []int{100, 4000} {
		base, err := Parse(configurationWithRoutes(1, routes))
		must.NoError(t, err)
		next, err := base.Amend([]byte(`{"Edition":2,"Deliver":{"PostOffices":[{"Town":"A.example","Regulations":[` + routeJSON("new", 500) + `]}]}}`))
		must.NoError(t, err)
		next, err = Load(next.Document())
		must.NoError(t, err)
		base, err = Load(base.Document())
		must.NoError(t, err)
		change, err := Pack(base, next)
		must.NoError(t, err)
		whole, err := Pack(nil, next)
		must.NoError(t, err)
		t.Logf("%d routes, %d bytes: packed configuration %d bytes, packed change of one route %d bytes", routes, len(next.Document()), len(whole.Data), len(change.Data))
		must.Less(t, 600, len(change.Data))
		must.Less(t, len(next.Document())/6, len(whole.Data))
	}
}

func BenchmarkLoad(b *testing.B) {
	text := configurationWithRoutes(1, 4000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := Load(text)
		must.NoError(b, err)
	}
}

func BenchmarkParse(b *testing.B) {
	text := configurationWithRoutes(1, 4000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := Parse(text)
		must.NoError(b, err)
	}
}

func BenchmarkApply(b *testing.B) {
	base, err := Load(configurationWithRoutes(1, 4000))
	must.NoError(b, err)
	next, err := Load(configurationWithRoutes(2, 4001))
	must.NoError(b, err)
	packed, err := Pack(base, next)
	must.NoError(b, err)
	for b.Loop() {
		_, err := packed.Unpack(base)
		must.NoError(b, err)
	}
}

func BenchmarkLoadAfter(b *testing.B) {
	base, err := Load(configurationWithRoutes(1, 4000))
	must.NoError(b, err)
	text := configurationWithRoutes(2, 4001)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := LoadAfter(base, text)
		must.NoError(b, err)
	}
}

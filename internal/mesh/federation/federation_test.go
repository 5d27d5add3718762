package federation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// parseTable returns the table of partner p for mesh us.
func parseTable(t *testing.T, edition int, exports string) *Table {
	table, err := Parse(fmt.Appendf(nil, `{"Partner":"p","Edition":%d,"Lease":"20s","Exports":[%s]}`, edition, exports), "p", "us")
	must.NoError(t, err)
	return table
}

const readWriteExport = `{"Service":"scans","Town":"p.example","StreetPrefix":"/scans/","Methods":["GET","POST"]}`
const readOnlyExport = `{"Service":"scans","Town":"p.example","StreetPrefix":"/scans/","Methods":["GET"]}`

// An invalid table is rejected as a whole, and the error names the field.
func TestInvalidTablesAreRejected(t *testing.T) {
	tableWith := func(exports string) string {
		return `{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + exports + `]}`
	}
	withField := func(key, value string) string {
		fields := map[string]string{"Service": `"scans"`, "Town": `"p.example"`, "StreetPrefix": `"/scans/"`, "Methods": `["GET"]`}
		fields[key] = value
		raw := []string{}
		for _, k := range []string{"Service", "Town", "StreetPrefix", "Methods", "PerS"} {
			if fields[k] != "" {
				raw = append(raw, fmt.Sprintf("%q:%s", k, fields[k]))
			}
		}
		return tableWith("{" + strings.Join(raw, ",") + "}")
	}
	for raw, place := range map[string]string{
		tableWith(readWriteExport)[:60]:                              "cannot decode table",
		tableWith(readWriteExport) + tableWith(readWriteExport):      "follows",
		`{"Partner":"q","Edition":3,"Lease":"20s"}`:                  "Partner",
		`{"Partner":"p","Lease":"20s"}`:                              "Edition",
		`{"Partner":"p","Edition":-1,"Lease":"20s"}`:                 "Edition",
		`{"Partner":"p","Edition":1,"Lease":"20"}`:                   "not a duration",
		`{"Partner":"p","Edition":1,"Lease":"1ms"}`:                  "Lease",
		`{"Partner":"p","Edition":1,"Lease":"20s","Via":["q","us"]}`: "loop",
		tableWith(readWriteExport + "," + readOnlyExport):            "Exports[1].StreetPrefix",
		withField("Service", `""`):                                   "Exports[0].Service",
		withField("Town", `"P.example"`):                             "Exports[0].Town",
		withField("Town", `"p.example:80"`):                          "Exports[0].Town",
		withField("StreetPrefix", `"/scans"`):                        "Exports[0].StreetPrefix",
		withField("StreetPrefix", `"/a/../b/"`):                      "Exports[0].StreetPrefix",
		withField("StreetPrefix", `"/%73cans/"`):                     "Exports[0].StreetPrefix",
		withField("StreetPrefix", `"//scans/"`):                      "Exports[0].StreetPrefix",
		withField("Methods", `[]`):                                   "Exports[0].Methods",
		withField("Methods", `["*"]`):                                "Exports[0].Methods",
		withField("Methods", `["post"]`):                             "Exports[0].Methods",
		withField("PerS", `-1`):                                      "Exports[0].PerS",
	} {
		_, err := Parse([]byte(raw), "p", "us")
		must.Error(t, err, must.Sprint(raw))
		must.StrContains(t, err.Error(), place, must.Sprint(raw))
	}
	many := make([]string, maxExports+1)
	for i := range many {
		many[i] = fmt.Sprintf(`{"Service":"s","Town":"p.example","StreetPrefix":"/r%d/","Methods":["GET"]}`, i)
	}
	_, err := Parse([]byte(tableWith(strings.Join(many, ","))), "p", "us")
	must.StrContains(t, err.Error(), "10001")
	table, err := Parse([]byte(tableWith(strings.Join(many[1:], ","))), "p", "us")
	must.NoError(t, err)
	must.SliceLen(t, maxExports, table.Exports)
	other, err := Parse([]byte(tableWith(`{"Service":"s","Town":"t","StreetPrefix":"/","Methods":["GET"],"To":["them"]}`)), "p", "us")
	must.NoError(t, err)
	must.SliceLen(t, 0, other.Exports) // exported to another mesh only
}

// Each change of a table that removes a permission counts as a narrowing, other changes do not.
func TestNarrowsDetectsRemovedPermissions(t *testing.T) {
	export := func(host, prefix, methods, more string) string {
		return fmt.Sprintf(`{"Service":"s","Town":%q,"StreetPrefix":%q,"Methods":[%s]%s}`, host, prefix, methods, more)
	}
	both := export("t", "/a/", `"GET","POST"`, "")
	for _, c := range []struct {
		from, to string
		narrows  bool
	}{
		{both, both, false}, {both, "", true}, {"", both, false}, {both, export("t", "/a/", `"GET"`, ""), true},
		{export("t", "/a/", `"GET"`, ""), both, false}, {both, both + "," + export("t", "/b/", `"GET"`, ""), false},
		{both, both + "," + export("t", "/a/x/", `"GET"`, ""), true}, // a longer prefix that denies POST
		{both, both + "," + export("t", "/a/x/", `"GET","POST","PUT"`, ""), false},
		{both, export("t", "/a/", `"GET","POST"`, `,"PerS":5`), true},
		{export("t", "/a/", `"GET"`, `,"PerS":5`), export("t", "/a/", `"GET"`, `,"PerS":9`), false},
		{both, strings.Replace(both, `"s"`, `"other"`, 1), true},
	} {
		must.Eq(t, c.narrows, parseTable(t, 2, c.to).Narrows(parseTable(t, 1, c.from)), must.Sprint(c.from, " -> ", c.to))
	}
}

var partners = []Partner{{Name: "p", Gateway: "g", ReadsStale: true}, {Name: "q", Gateway: "h"}}

// A sequence of decisions at one proxy: before the first update, with and without authorization, after the partner's
// lease has expired, for own routes, non-canonical paths and a suspended partner.
func TestExportPolicyDecisions(t *testing.T) {
	registry := NewImportRegistry()
	_, err := registry.ApplyTable(parseTable(t, 1, readWriteExport), "1")
	must.NoError(t, err)
	policy := NewExportPolicy(func(host, path string) bool { return host == "p.example" && strings.HasPrefix(path, "/scans/ours/") })
	decide := func(method, host, path string, now int64) Verdict {
		_, verdict := policy.Decide(method, host, path, now)
		return verdict
	}
	must.Eq(t, NoRoute, decide("GET", "p.example", "/scans/1", 0))
	policy.Update(registry, partners, nil, 1, 0)
	must.Eq(t, Unconfirmed, decide("GET", "p.example", "/scans/1", 0))
	policy.Authorize(registry.Revision, 0)
	must.Eq(t, Open, decide("POST", "p.example", "/scans/1", second))
	must.Eq(t, Open, decide("POST", "P.Example", "/scans/1", second)) // hosts are case-insensitive
	must.Eq(t, Withheld, decide("DELETE", "p.example", "/scans/1", second))
	must.Eq(t, NoRoute, decide("GET", "p.example", "/scans/ours/1", second))
	must.Eq(t, NoRoute, decide("GET", "p.example", "/Scans/1", second))
	for _, p := range []string{"/scans/../scans/1", "/%73cans/1", "//scans/1", "/scans/./1", "/scans/a%2fb", "/scans//1"} {
		must.Eq(t, NoRoute, decide("GET", "p.example", p, second), must.Sprint(p))
	}
	must.Eq(t, Unconfirmed, decide("POST", "p.example", "/scans/1", AuthorizationTTL)) // the authorization has expired
	policy.Authorize(registry.Revision, 30*second)
	// The partner's lease has expired: only read-only requests continue.
	must.Eq(t, Unconfirmed, decide("POST", "p.example", "/scans/1", 31*second))
	must.Eq(t, Open, decide("GET", "p.example", "/scans/1", 31*second))
	policy.Confirm("p", second, 31*second)
	must.Eq(t, Open, decide("POST", "p.example", "/scans/1", 31*second))
	registry.SetSuspended("p", true, "ann", "a dispute")
	policy.Authorize(registry.Revision, 31*second) // of a newer revision: does not authorize the one in use
	must.Eq(t, Unconfirmed, decide("POST", "p.example", "/scans/1", 33*second))
	policy.Update(registry, partners, nil, 1, 33*second)
	must.Eq(t, Withheld, decide("GET", "p.example", "/scans/1", 33*second))
	policy.Update(NewImportRegistry(), partners, nil, 1, 33*second) // an older registry is ignored
	must.Eq(t, registry.Revision, policy.Revision())
}

// Two partners export the same prefix: both are returned in configured order, methods are decided for each partner
// separately, and the rate limit is divided among the proxies.
func TestTwoPartnersAndLimits(t *testing.T) {
	registry := NewImportRegistry()
	_, err := registry.ApplyTable(parseTable(t, 1, strings.Replace(readOnlyExport, `"Methods"`, `"PerS":8,"Methods"`, 1)), "1")
	must.NoError(t, err)
	other, err := Parse([]byte(`{"Partner":"q","Edition":1,"Lease":"20s","Via":["r"],"Exports":[`+readWriteExport+`]}`), "q", "us")
	must.NoError(t, err)
	_, err = registry.ApplyTable(other, "1")
	must.NoError(t, err)
	policy := NewExportPolicy(nil)
	policy.Update(registry, partners, nil, 2, 0)
	policy.Authorize(registry.Revision, 0)
	all, _ := policy.Decide("GET", "p.example", "/scans/1", second)
	must.SliceLen(t, 2, all)
	must.Eq(t, "p", all[0].Partner.Name)
	all, _ = policy.Decide("POST", "p.example", "/scans/1", second)
	must.SliceLen(t, 1, all)
	must.Eq(t, "q", all[0].Partner.Name)
	admitted := 0
	for n := range int64(1000) {
		if _, why := policy.Admit("p", "GET", "p.example", "/scans/1", second/10+n*millisecond); why == Open {
			admitted++
		}
	}
	must.Between(t, 4, admitted, 5) // this proxy's share is 4 per second of 8
	warnings := ShadowedExports(registry, partners, nil)
	must.SliceLen(t, 1, warnings)
	must.StrContains(t, warnings[0], "q: p.example/scans/: shadowed by p")
}

// Lower editions, and equal ones with different content, are rejected. After Drop a partner may start with any edition.
func TestEditionsMustIncrease(t *testing.T) {
	registry := NewImportRegistry()
	applyTable := func(edition int, exports, digest string) error {
		_, err := registry.ApplyTable(parseTable(t, edition, exports), digest)
		return err
	}
	must.NoError(t, applyTable(5, readWriteExport, "a"))
	must.NoError(t, applyTable(5, readWriteExport, "a"))
	must.ErrorContains(t, applyTable(4, readWriteExport, "b"), "is lower than")
	must.ErrorContains(t, applyTable(5, readOnlyExport, "c"), "different content")
	must.Eq(t, 1, registry.Revision)
	must.Eq(t, 5, registry.Partners["p"].AnnouncedEdition) // announced at once, as nothing was narrowed
	must.True(t, registry.Drop("p", "ann", "it was restored from a backup"))
	must.NoError(t, applyTable(2, readOnlyExport, "d"))
	must.Eq(t, 0, registry.Partners["p"].AnnouncedEdition-5) // unchanged, as the narrowing by Drop is pending
	must.True(t, registry.RetainOnly([]string{"q"}))
	must.False(t, registry.RetainOnly([]string{"q"}))
}

// A narrowing is complete when no proxy can be authorized for an earlier revision. A new coordinator counts from when
// it first sees the narrowing.
func TestNarrowingCompletesAfterAuthorizationsExpire(t *testing.T) {
	registry, tracker := NewImportRegistry(), NewNarrowingTracker()
	registry.ApplyTable(parseTable(t, 1, readWriteExport), "1")
	must.MapEmpty(t, tracker.Due(registry, 0))
	registry.ApplyTable(parseTable(t, 2, readOnlyExport), "2")
	revision := registry.Revision
	must.MapEmpty(t, tracker.Due(registry, 10*second))
	must.MapEmpty(t, tracker.Due(registry, 10*second+AuthorizationTTL+QuorumFreshness))
	due := 10*second + (AuthorizationTTL+QuorumFreshness)*102/100
	registry.ApplyTable(parseTable(t, 3, readWriteExport), "3")
	registry.ApplyTable(parseTable(t, 4, readOnlyExport), "4") // a second narrowing before the first is complete
	must.Eq(t, map[string]uint64{"p": revision}, tracker.Due(registry, due))
	must.True(t, registry.CompleteNarrowing("p", revision))
	must.Eq(t, 1, registry.Partners["p"].AnnouncedEdition)
	must.False(t, registry.CompleteNarrowing("p", revision))
	must.False(t, registry.CompleteNarrowing("p", registry.Revision+1))
	successor := NewNarrowingTracker() // of a new coordinator
	must.MapEmpty(t, successor.Due(registry, due))
	must.Eq(t, map[string]uint64{"p": registry.Revision}, successor.Due(registry, due+(AuthorizationTTL+QuorumFreshness)*102/100))
	registry.CompleteNarrowing("p", registry.Revision)
	must.Eq(t, 4, registry.Partners["p"].AnnouncedEdition)
	raw, err := registry.Encode()
	must.NoError(t, err)
	again, err := DecodeImportRegistry(raw)
	must.NoError(t, err)
	must.Eq(t, registry.Partners["p"].AnnouncedEdition, again.Partners["p"].AnnouncedEdition)
}

// A table that parsers may interpret differently is rejected: duplicate keys, invalid UTF-8, trailing data.
func TestAmbiguousTableIsRejected(t *testing.T) {
	valid := `{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + readWriteExport + `]}`
	_, err := Parse([]byte(valid), "p", "us")
	must.NoError(t, err)
	for _, twice := range []string{`"Edition":3,"Edition":4`, `"Edition":3,"edition":4`, `"Edition":3,"Exports":[]`} {
		_, err := Parse([]byte(strings.Replace(valid, `"Edition":3`, twice, 1)), "p", "us")
		must.ErrorContains(t, err, "stands twice", must.Sprint(twice))
	}
	_, err = Parse([]byte(strings.Replace(valid, `"p"`, "\"p\xff\"", 1)), "p", "us")
	must.ErrorContains(t, err, "UTF-8")
	_, err = Parse([]byte(valid+"]"), "p", "us")
	must.ErrorContains(t, err, "cannot decode table")
}

// Whatever table is accepted, only the listed methods are allowed, and the table can be encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + readWriteExport + `]}`))
	f.Add([]byte(`{"Partner":"p","Edition":3,"Lease":"20s","Exports":[null,{}],"Via":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Parse(raw, "p", "us")
		if err != nil {
			return
		}
		registry := NewImportRegistry()
		registry.ApplyTable(table, "x")
		policy := NewExportPolicy(nil)
		policy.Update(registry, partners, nil, 1, 0)
		policy.Authorize(registry.Revision, 0)
		for _, export := range table.Exports {
			_, why := policy.Decide(export.Methods[0], export.Host, export.PathPrefix+"x", second)
			must.Eq(t, Open, why)
			_, why = policy.Decide("BREW", export.Host, export.PathPrefix+"x", second)
			if why == Open {
				must.True(t, strings.Contains(string(raw), "BREW"))
			}
		}
		out, err := json.Marshal(table)
		must.NoError(t, err)
		_, err = Parse(out, "p", "us")
		must.NoError(t, err)
	})
}

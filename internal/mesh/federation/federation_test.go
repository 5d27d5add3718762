package federation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func said(t *testing.T, edition int, exports string) *Table {
	table, err := Parse(fmt.Appendf(nil, `{"Partner":"p","Edition":%d,"Lease":"20s","Exports":[%s]}`, edition, exports), "p", "us")
	must.NoError(t, err)
	return table
}

const scans = `{"Service":"scans","Town":"p.example","StreetPrefix":"/scans/","Methods":["GET","POST"]}`
const reads = `{"Service":"scans","Town":"p.example","StreetPrefix":"/scans/","Methods":["GET"]}`

// A bad table is refused whole, with the place.
func TestTablesThatAreRefused(t *testing.T) {
	whole := func(exports string) string {
		return `{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + exports + `]}`
	}
	at := func(key, value string) string {
		fields := map[string]string{"Service": `"scans"`, "Town": `"p.example"`, "StreetPrefix": `"/scans/"`, "Methods": `["GET"]`}
		fields[key] = value
		raw := []string{}
		for _, k := range []string{"Service", "Town", "StreetPrefix", "Methods", "PerS"} {
			if fields[k] != "" {
				raw = append(raw, fmt.Sprintf("%q:%s", k, fields[k]))
			}
		}
		return whole("{" + strings.Join(raw, ",") + "}")
	}
	for raw, place := range map[string]string{
		whole(scans)[:60]:                                            "can't be read whole",
		whole(scans) + whole(scans):                                  "follows",
		`{"Partner":"q","Edition":3,"Lease":"20s"}`:                  "Partner",
		`{"Partner":"p","Lease":"20s"}`:                              "Edition",
		`{"Partner":"p","Edition":-1,"Lease":"20s"}`:                 "Edition",
		`{"Partner":"p","Edition":1,"Lease":"20"}`:                   "no time",
		`{"Partner":"p","Edition":1,"Lease":"1ms"}`:                  "Lease",
		`{"Partner":"p","Edition":1,"Lease":"20s","Via":["q","us"]}`: "loop",
		whole(scans + "," + reads):                                   "Exports[1].StreetPrefix",
		at("Service", `""`):                                          "Exports[0].Service",
		at("Town", `"P.example"`):                                    "Exports[0].Town",
		at("Town", `"p.example:80"`):                                 "Exports[0].Town",
		at("StreetPrefix", `"/scans"`):                               "Exports[0].StreetPrefix",
		at("StreetPrefix", `"/a/../b/"`):                             "Exports[0].StreetPrefix",
		at("StreetPrefix", `"/%73cans/"`):                            "Exports[0].StreetPrefix",
		at("StreetPrefix", `"//scans/"`):                             "Exports[0].StreetPrefix",
		at("Methods", `[]`):                                          "Exports[0].Methods",
		at("Methods", `["*"]`):                                       "Exports[0].Methods",
		at("Methods", `["post"]`):                                    "Exports[0].Methods",
		at("PerS", `-1`):                                             "Exports[0].PerS",
	} {
		_, err := Parse([]byte(raw), "p", "us")
		must.Error(t, err, must.Sprint(raw))
		must.StrContains(t, err.Error(), place, must.Sprint(raw))
	}
	many := make([]string, mostExports+1)
	for n := range many {
		many[n] = fmt.Sprintf(`{"Service":"s","Town":"p.example","StreetPrefix":"/r%d/","Methods":["GET"]}`, n)
	}
	_, err := Parse([]byte(whole(strings.Join(many, ","))), "p", "us")
	must.StrContains(t, err.Error(), "10001")
	table, err := Parse([]byte(whole(strings.Join(many[1:], ","))), "p", "us")
	must.NoError(t, err)
	must.SliceLen(t, mostExports, table.Exports)
	other, err := Parse([]byte(whole(`{"Service":"s","Town":"t","StreetPrefix":"/","Methods":["GET"],"To":["them"]}`)), "p", "us")
	must.NoError(t, err)
	must.SliceLen(t, 0, other.Exports) // for others
}

func TestWhatNarrows(t *testing.T) {
	export := func(town, prefix, methods, more string) string {
		return fmt.Sprintf(`{"Service":"s","Town":%q,"StreetPrefix":%q,"Methods":[%s]%s}`, town, prefix, methods, more)
	}
	both := export("t", "/a/", `"GET","POST"`, "")
	for _, c := range []struct {
		from, to string
		narrows  bool
	}{
		{both, both, false}, {both, "", true}, {"", both, false}, {both, export("t", "/a/", `"GET"`, ""), true},
		{export("t", "/a/", `"GET"`, ""), both, false}, {both, both + "," + export("t", "/b/", `"GET"`, ""), false},
		{both, both + "," + export("t", "/a/x/", `"GET"`, ""), true}, // a longer prefix takes effects away
		{both, both + "," + export("t", "/a/x/", `"GET","POST","PUT"`, ""), false},
		{both, export("t", "/a/", `"GET","POST"`, `,"PerS":5`), true}, {export("t", "/a/", `"GET"`, `,"PerS":5`), export("t", "/a/", `"GET"`, `,"PerS":9`), false},
		{both, strings.Replace(both, `"s"`, `"other"`, 1), true},
	} {
		must.Eq(t, c.narrows, said(t, 2, c.to).Narrows(said(t, 1, c.from)), must.Sprint(c.from, " -> ", c.to))
	}
}

var partners = []Partner{{Name: "p", Gateway: "g", ReadsStale: true}, {Name: "q", Gateway: "h"}}

// A trace at one door: what is open, kept, stale, ours.
func TestADoor(t *testing.T) {
	b := NewImportBook()
	_, err := b.Take(said(t, 1, scans), "1")
	must.NoError(t, err)
	d := NewExportPolicy(func(town, path string) bool { return town == "p.example" && strings.HasPrefix(path, "/scans/ours/") })
	decide := func(method, town, path string, now int64) Verdict {
		_, why := d.Decide(method, town, path, now)
		return why
	}
	must.Eq(t, NoRoute, decide("GET", "p.example", "/scans/1", 0))
	d.Hear(b, partners, nil, 1, 0)
	must.Eq(t, NoLeave, decide("GET", "p.example", "/scans/1", 0))
	d.Renew(b.No, 0)
	must.Eq(t, Open, decide("POST", "p.example", "/scans/1", s))
	must.Eq(t, Open, decide("POST", "P.Example", "/scans/1", s)) // a host is one, however it is written
	must.Eq(t, Kept, decide("DELETE", "p.example", "/scans/1", s))
	must.Eq(t, NoRoute, decide("GET", "p.example", "/scans/ours/1", s))
	must.Eq(t, NoRoute, decide("GET", "p.example", "/Scans/1", s))
	for _, p := range []string{"/scans/../scans/1", "/%73cans/1", "//scans/1", "/scans/./1", "/scans/a%2fb", "/scans//1"} {
		must.Eq(t, NoRoute, decide("GET", "p.example", p, s), must.Sprint(p))
	}
	must.Eq(t, NoLeave, decide("POST", "p.example", "/scans/1", LeaveFor)) // cut off, or frozen
	d.Renew(b.No, 30*s)
	must.Eq(t, NoLeave, decide("POST", "p.example", "/scans/1", 31*s)) // the partner is silent beyond its lease: effects first
	must.Eq(t, Open, decide("GET", "p.example", "/scans/1", 31*s))
	d.Fresher("p", s, 31*s)
	must.Eq(t, Open, decide("POST", "p.example", "/scans/1", 31*s))
	b.Close("p", true, "ann", "a dispute")
	d.Renew(b.No, 31*s) // of what it has not heard yet: no leave for what it acts on
	must.Eq(t, NoLeave, decide("POST", "p.example", "/scans/1", 33*s))
	d.Hear(b, partners, nil, 1, 33*s)
	must.Eq(t, Kept, decide("GET", "p.example", "/scans/1", 33*s))
	d.Hear(NewImportBook(), partners, nil, 1, 33*s) // older than what it acts on
	must.Eq(t, b.No, d.No())
}

// Two partners export one prefix: the first in our order goes first, reads have the other to turn to, and each is decided for
// itself; limits are shared out among balancers.
func TestTwoPartnersAndLimits(t *testing.T) {
	b := NewImportBook()
	_, err := b.Take(said(t, 1, strings.Replace(reads, `"Methods"`, `"PerS":8,"Methods"`, 1)), "1")
	must.NoError(t, err)
	other, err := Parse([]byte(`{"Partner":"q","Edition":1,"Lease":"20s","Via":["r"],"Exports":[`+scans+`]}`), "q", "us")
	must.NoError(t, err)
	_, err = b.Take(other, "1")
	must.NoError(t, err)
	d := NewExportPolicy(nil)
	d.Hear(b, partners, nil, 2, 0)
	d.Renew(b.No, 0)
	all, _ := d.Decide("GET", "p.example", "/scans/1", s)
	must.SliceLen(t, 2, all)
	must.Eq(t, "p", all[0].Partner.Name)
	all, _ = d.Decide("POST", "p.example", "/scans/1", s)
	must.SliceLen(t, 1, all)
	must.Eq(t, "q", all[0].Partner.Name)
	ok := 0
	for n := range int64(1000) {
		if _, why := d.May("p", "GET", "p.example", "/scans/1", s/10+n*ms); why == Open {
			ok++
		}
	}
	must.Between(t, 4, ok, 5) // 4 a second of 8 are this balancer's
	told := Shadow(b, partners, nil)
	must.SliceLen(t, 1, told)
	must.StrContains(t, told[0], "q: p.example/scans/: after p")
}

// Words that go back or contradict themselves change nothing; what is dropped may begin again.
func TestEditions(t *testing.T) {
	b := NewImportBook()
	take := func(edition int, exports, digest string) error {
		_, err := b.Take(said(t, edition, exports), digest)
		return err
	}
	must.NoError(t, take(5, scans, "a"))
	must.NoError(t, take(5, scans, "a"))
	must.ErrorContains(t, take(4, scans, "b"), "goes back")
	must.ErrorContains(t, take(5, reads, "c"), "something else")
	must.Eq(t, 1, b.No)
	must.Eq(t, 5, b.Partners["p"].Told) // nothing was narrowed
	must.True(t, b.Drop("p", "ann", "it was restored from a backup"))
	must.NoError(t, take(2, reads, "d"))
	must.Eq(t, 0, b.Partners["p"].Told-5) // the drop is not done yet
	must.True(t, b.Only([]string{"q"}))
	must.False(t, b.Only([]string{"q"}))
}

// A narrowing is done once nobody can act on what was before; a taker that is new counts from when it finds it.
func TestWhenANarrowingIsDone(t *testing.T) {
	b, k := NewImportBook(), NewNarrowingTracker()
	b.Take(said(t, 1, scans), "1")
	must.MapEmpty(t, k.Due(b, 0))
	b.Take(said(t, 2, reads), "2")
	no := b.No
	must.MapEmpty(t, k.Due(b, 10*s))
	must.MapEmpty(t, k.Due(b, 10*s+LeaveFor+Fresh))
	due := 10*s + (LeaveFor+Fresh)*102/100
	b.Take(said(t, 3, scans), "3")
	b.Take(said(t, 4, reads), "4") // narrowed again meanwhile
	must.Eq(t, map[string]uint64{"p": no}, k.Due(b, due))
	must.True(t, b.Finish("p", no))
	must.Eq(t, 1, b.Partners["p"].Told)
	must.False(t, b.Finish("p", no))
	must.False(t, b.Finish("p", b.No+1))
	late := NewNarrowingTracker() // the one before was killed
	must.MapEmpty(t, late.Due(b, due))
	must.Eq(t, map[string]uint64{"p": b.No}, late.Due(b, due+(LeaveFor+Fresh)*102/100))
	b.Finish("p", b.No)
	must.Eq(t, 4, b.Partners["p"].Told)
	raw, err := b.Write()
	must.NoError(t, err)
	again, err := Read(raw)
	must.NoError(t, err)
	must.Eq(t, b.Partners["p"].Told, again.Partners["p"].Told)
}

// A table that readers may take for different things lets nothing in.
func TestATableWithTwoMeaningsIsRefused(t *testing.T) {
	whole := `{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + scans + `]}`
	_, err := Parse([]byte(whole), "p", "us")
	must.NoError(t, err)
	for _, twice := range []string{`"Edition":3,"Edition":4`, `"Edition":3,"edition":4`, `"Edition":3,"Exports":[]`} {
		_, err := Parse([]byte(strings.Replace(whole, `"Edition":3`, twice, 1)), "p", "us")
		must.ErrorContains(t, err, "stands twice", must.Sprint(twice))
	}
	_, err = Parse([]byte(strings.Replace(whole, `"p"`, "\"p\xff\"", 1)), "p", "us")
	must.ErrorContains(t, err, "UTF-8")
	_, err = Parse([]byte(whole+"]"), "p", "us")
	must.ErrorContains(t, err, "read whole")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Partner":"p","Edition":3,"Lease":"20s","Exports":[` + scans + `]}`))
	f.Add([]byte(`{"Partner":"p","Edition":3,"Lease":"20s","Exports":[null,{}],"Via":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Parse(raw, "p", "us")
		if err != nil {
			return
		}
		b := NewImportBook()
		b.Take(table, "x")
		d := NewExportPolicy(nil)
		d.Hear(b, partners, nil, 1, 0)
		d.Renew(b.No, 0)
		for _, e := range table.Exports { // what is let in is just what is named
			_, why := d.Decide(e.Methods[0], e.Town, e.StreetPrefix+"x", s)
			must.Eq(t, Open, why)
			_, why = d.Decide("BREW", e.Town, e.StreetPrefix+"x", s)
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

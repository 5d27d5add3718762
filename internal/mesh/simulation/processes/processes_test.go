package processes

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/testmesh"
)

// The judge convicts each rule on what clients were told and upstreams ran, and nothing else.
func TestTheJudge(t *testing.T) {
	for _, c := range []struct {
		rule string
		sent map[string]*try
		ran  map[string]int
		tail [2]int
	}{
		{"", map[string]*try{"a": {once: true, status: 200}, "b": {once: false, status: 200}, "c": {once: true, status: 503}, "d": {once: true, status: 0}, "e": {once: false, status: 503}}, map[string]int{"a": 1, "b": 3, "d": 1, "e": 1}, [2]int{10, 9}},
		{"REFUSED", map[string]*try{"a": {once: true, status: 403, outside: true}}, map[string]int{"a": 1}, [2]int{}},
		{"TWICE", map[string]*try{"a": {once: true, status: 200}}, map[string]int{"a": 2}, [2]int{}},
		{"REFUSED", map[string]*try{"a": {once: true, status: 503}}, map[string]int{"a": 1}, [2]int{}},
		{"UNASKED", map[string]*try{}, map[string]int{"a": 1}, [2]int{}},
		{"MIXED", map[string]*try{"a": {once: false, status: -1}}, map[string]int{"a": 1}, [2]int{}},
		{"MIXED", map[string]*try{"a": {once: false, status: 200}}, nil, [2]int{}},
		{"DENIED", map[string]*try{"a": {once: false, status: 404}}, nil, [2]int{}},
		{"RECOVER", nil, nil, [2]int{10, 8}},
	} {
		a := testmesh.NewUpstreamWithRuns(c.ran)
		w := &world{sent: c.sent, apps: []*testmesh.Upstream{a}, tail: c.tail, out: Outcome{By: make([]Served, 1)}}
		w.judge()
		if c.rule == "" {
			must.SliceEmpty(t, w.out.Broken)
			continue
		}
		must.SliceLen(t, 1, w.out.Broken, must.Sprint(c.rule, w.out.Broken))
		must.True(t, strings.HasPrefix(w.out.Broken[0], c.rule), must.Sprint(w.out.Broken))
		var out strings.Builder
		w.out.Print(&out)
		must.StrContains(t, out.String(), "verdict=broken")
	}
}

func TestFaultsOfControllersHitControllers(t *testing.T) {
	w := &world{Mesh: Mesh{Controllers: 3, Proxies: 2}}
	all := map[string][]int{
		KillController: {1}, FreezeController: {1}, WipeController: {1}, KillProxy: {3}, FreezeProxy: {3}, TermProxy: {3}, KillAll: {0, 1, 2, 3, 4},
	}
	for _, kind := range Kinds {
		var hit []int
		for n := range w.Controllers + w.Proxies {
			if w.hits(Fault{Kind: kind, Who: 4}, n) {
				hit = append(hit, n)
			}
		}
		must.Eq(t, all[kind], hit, must.Sprint(kind))
	}
}

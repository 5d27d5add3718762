package processes

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/testmesh"
)

// The judge reports a violation of each rule from the responses of clients and the runs of upstreams, and nothing else.
func TestJudgeReportsEachViolation(t *testing.T) {
	for _, c := range []struct {
		rule        string
		sent        map[string]*attempt
		runs        map[string]int
		afterFaults [2]int
	}{
		{"", map[string]*attempt{"a": {onceOnly: true, status: 200}, "b": {onceOnly: false, status: 200}, "c": {onceOnly: true, status: 503}, "d": {onceOnly: true, status: 0}, "e": {onceOnly: false, status: 503}}, map[string]int{"a": 1, "b": 3, "d": 1, "e": 1}, [2]int{10, 9}},
		{"REFUSED", map[string]*attempt{"a": {onceOnly: true, status: 403, toPartner: true}}, map[string]int{"a": 1}, [2]int{}},
		{"TWICE", map[string]*attempt{"a": {onceOnly: true, status: 200}}, map[string]int{"a": 2}, [2]int{}},
		{"REFUSED", map[string]*attempt{"a": {onceOnly: true, status: 503}}, map[string]int{"a": 1}, [2]int{}},
		{"UNASKED", map[string]*attempt{}, map[string]int{"a": 1}, [2]int{}},
		{"MIXED", map[string]*attempt{"a": {onceOnly: false, status: -1}}, map[string]int{"a": 1}, [2]int{}},
		{"MIXED", map[string]*attempt{"a": {onceOnly: false, status: 200}}, nil, [2]int{}},
		{"DENIED", map[string]*attempt{"a": {onceOnly: false, status: 404}}, nil, [2]int{}},
		{"RECOVER", nil, nil, [2]int{10, 8}},
	} {
		upstream := testmesh.NewUpstreamWithRuns(c.runs)
		h := &harness{attempts: c.sent, upstreams: []*testmesh.Upstream{upstream}, afterFaults: c.afterFaults, outcome: Outcome{ByProxy: make([]Served, 1)}}
		h.judge()
		if c.rule == "" {
			must.SliceEmpty(t, h.outcome.Violations)
			continue
		}
		must.SliceLen(t, 1, h.outcome.Violations, must.Sprint(c.rule, h.outcome.Violations))
		must.True(t, strings.HasPrefix(h.outcome.Violations[0], c.rule), must.Sprint(h.outcome.Violations))
		var out strings.Builder
		h.outcome.Print(&out)
		must.StrContains(t, out.String(), "verdict=broken")
	}
}

func TestFaultsOfControllersHitControllers(t *testing.T) {
	h := &harness{Mesh: Mesh{Controllers: 3, Proxies: 2}}
	want := map[string][]int{
		KillController: {1}, FreezeController: {1}, WipeController: {1}, KillProxy: {3}, FreezeProxy: {3}, TermProxy: {3}, TermController: {1}, HangUpProxy: {3}, KillAll: {0, 1, 2, 3, 4},
	}
	for _, kind := range Kinds {
		var affected []int
		for n := range h.Controllers + h.Proxies {
			if h.affects(Fault{Kind: kind, Who: 4}, n) {
				affected = append(affected, n)
			}
		}
		must.Eq(t, want[kind], affected, must.Sprint(kind))
	}
}

package processes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// violations collects what a judge reports.
type violations []string

func (v *violations) report(format string, args ...any) {
	*v = append(*v, fmt.Sprintf(format, args...))
}

// The departure judge reports each request that reached an instance later than Drain after the acknowledgement of its
// end, and none that the rule allows.
func TestDepartureJudgeReportsLateRequests(t *testing.T) {
	const drain = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		began   time.Duration
		status  int
		freezes []outage
		want    string
	}{
		"within Drain":                 {10*time.Second + drain, 200, nil, ""},
		"late and served":              {13 * time.Second, 200, nil, "a reached i-1 beside proxy 2 3s after its end was acknowledged, served"},
		"late and lost":                {13 * time.Second, 502, nil, "not served"},
		"its proxy stood still before": {13 * time.Second, 200, []outage{{2, 11 * time.Second, 12 * time.Second}}, ""},
		"another proxy stood still":    {13 * time.Second, 200, []outage{{1, 11 * time.Second, 12 * time.Second}}, "DRAIN"},
	} {
		var got violations
		judge := &departureJudge{freezes: c.freezes, statuses: map[string]int{"a": c.status}, reportViolation: got.report}
		judge.judge(&departure{instance: "i-1", proxy: 2, acknowledged: 10 * time.Second, drain: drain, runs: map[string]time.Duration{"a": c.began}})
		must.StrContains(t, strings.Join(got, "\n"), c.want, must.Sprint(name))
		must.Eq(t, c.want == "", len(got) == 0, must.Sprint(name))
	}
}

// The route judge reports a probe that no version explains which may be in force, and a configuration that is read back
// without an acknowledged route.
func TestRouteJudgeReportsLostRoutes(t *testing.T) {
	first, second := place{0, 1}, place{1, 1} // the same name at two hosts
	versions := []routeVersion{
		{edition: 1, acknowledged: 1, places: map[place]bool{}},
		{edition: 2, sent: 1 * time.Second, acknowledged: 1100 * time.Millisecond, places: map[place]bool{first: true, second: true}},
		{edition: 3, sent: 20 * time.Second, acknowledged: 20100 * time.Millisecond, places: map[place]bool{first: true, second: true}},
		{edition: 4, sent: 40 * time.Second, places: map[place]bool{first: true}},
	}
	always := func(time.Duration, time.Duration) bool { return true }
	never := func(time.Duration, time.Duration) bool { return false }
	for name, c := range map[string]struct {
		sent    time.Duration
		status  int
		calm    func(from, until time.Duration) bool
		outages []outage
		want    string
	}{
		"in force":                  {5 * time.Second, 200, always, nil, ""},
		"no response":               {5 * time.Second, 0, always, nil, ""},
		"not in force yet":          {3 * time.Second, 404, always, nil, ""},
		"not in force":              {5 * time.Second, 404, always, nil, "proxy 3 answers 404 for h1.example/r1/, unlike versions 2 to 2"},
		"not in force, disturbed":   {5 * time.Second, 404, never, nil, ""},
		"lost":                      {30 * time.Second, 404, always, nil, "unlike versions 3 to 3"},
		"lost, disturbed":           {30 * time.Second, 404, never, nil, "unlike versions 2 to 3"},
		"disconnected":              {30 * time.Second, 404, always, []outage{{3, 28 * time.Second, 29 * time.Second}}, ""},
		"removed without an answer": {41 * time.Second, 404, always, nil, ""},
		"never there":               {500 * time.Millisecond, 200, always, nil, "answers 200"},
	} {
		var got violations
		judge := &routeJudge{versions: versions, outages: c.outages, calm: c.calm, reportViolation: got.report}
		judge.judge(&routeProbe{proxy: 3, place: second, sent: c.sent, done: c.sent + 5*time.Millisecond, status: c.status})
		must.StrContains(t, strings.Join(got, "\n"), c.want, must.Sprint(name))
		must.Eq(t, c.want == "", len(got) == 0, must.Sprint(name))
	}
	for _, c := range []struct {
		edition int
		places  map[place]bool
		held    bool
	}{
		{3, map[place]bool{first: true, second: true}, true}, {4, map[place]bool{first: true}, true},
		{3, map[place]bool{first: true}, false}, {2, map[place]bool{first: true, second: true}, false},
	} {
		var got violations
		judge := &routeJudge{versions: versions, reportViolation: got.report}
		judge.judgeReadBack(c.edition, c.places)
		must.Eq(t, c.held, len(got) == 0, must.Sprint(c, got))
	}
}

// Drawn faults must depend on the seed alone, leave the end of the run calm, never overlap at one process, and wipe at
// most one disk at a time.
func TestDrawnFaultsKeepToTheirLimits(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(50) {
		h := &harness{Mesh: Mesh{Controllers: 4, Proxies: 8, Length: time.Minute, Seed: seed}}
		faults := drawFaults(&h.Mesh)
		must.Eq(t, faults, drawFaults(&h.Mesh))
		must.Greater(t, 10, len(faults))
		busyUntil, lastWipe := map[int]time.Duration{}, -wipeInterval
		for _, f := range faults {
			kinds[f.Kind] = true
			must.LessEq(t, h.Length-soakRecovery, f.At+f.For)
			if f.Kind == WipeController {
				must.GreaterEq(t, wipeInterval, f.At-lastWipe)
				lastWipe = f.At + f.For
			}
			for n := range h.Controllers + h.Proxies {
				if h.affects(f, n) {
					must.GreaterEq(t, busyUntil[n], f.At)
					busyUntil[n] = f.At + f.For
				}
			}
		}
	}
	for _, kind := range Kinds {
		must.True(t, kinds[kind], must.Sprint(kind))
	}
}

// The judge of kept connections reports each request that a proxy left without a response or broke off, and none that
// the rule allows.
func TestKeptJudgeReportsLostRequests(t *testing.T) {
	const sent = 10 * time.Second
	ran := &run{proxy: 5}
	for name, c := range map[string]struct {
		status  int // 0 if the connection ended without a response
		waited  time.Duration
		ran     *run
		outages []outage
		stops   []outage
		want    string
	}{
		"served":                               {200, 20 * time.Millisecond, ran, nil, nil, ""},
		"crossed the end of its connection":    {0, time.Millisecond, nil, nil, nil, ""},
		"read and never answered":              {0, 3 * time.Second, nil, nil, nil, "LOST: a was not passed on"},
		"passed on and not answered":           {0, 20 * time.Millisecond, ran, nil, nil, "LOST: a ran beside proxy 5"},
		"its proxy was killed":                 {0, 20 * time.Millisecond, ran, []outage{{2, sent, sent + time.Second}}, nil, ""},
		"the proxy beside its upstream was":    {0, 20 * time.Millisecond, ran, []outage{{5, sent, sent + time.Second}}, nil, ""},
		"its proxy was killed before":          {0, 20 * time.Millisecond, ran, []outage{{2, sent - 2*time.Second, sent - time.Second}}, nil, "LOST: a ran"},
		"another proxy was killed":             {0, 20 * time.Millisecond, ran, []outage{{3, sent, sent + time.Second}}, nil, "LOST: a ran"},
		"its upstream ended":                   {0, 20 * time.Millisecond, &run{5, sent + 30*time.Millisecond}, nil, nil, ""},
		"its upstream ended later":             {0, 20 * time.Millisecond, &run{5, sent + time.Minute}, nil, nil, "LOST: a ran"},
		"broken off as its proxy stops":        {502, 20 * time.Millisecond, ran, nil, []outage{{2, sent - time.Second, sent + 2*time.Second}}, "broken off and answered 502"},
		"failed while another proxy stops":     {502, 20 * time.Millisecond, ran, nil, []outage{{3, sent - time.Second, sent + 2*time.Second}}, ""},
		"timed out as its proxy stops":         {504, 2 * time.Second, ran, nil, []outage{{2, sent - time.Second, sent + 2*time.Second}}, ""},
		"refused as its proxy stops":           {503, 20 * time.Millisecond, nil, nil, []outage{{2, sent - time.Second, sent + 2*time.Second}}, ""},
		"not passed on and not served in time": {504, 2 * time.Second, nil, nil, []outage{{2, sent - time.Second, sent + 2*time.Second}}, ""},
	} {
		var got violations
		judge := &keptJudge{outages: c.outages, stops: c.stops, runs: map[string]run{}, reportViolation: got.report}
		if c.ran != nil {
			judge.runs["a"] = *c.ran
		}
		judge.judge(&keptRequest{id: "a", proxy: 2, sent: sent, ended: sent + c.waited, status: c.status, complete: c.status != 0})
		must.StrContains(t, strings.Join(got, "\n"), c.want, must.Sprint(name))
		must.Eq(t, c.want == "", len(got) == 0, must.Sprint(name, got))
	}
}

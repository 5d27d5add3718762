package processes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The configuration judge reports a violation of each rule from the results of probes, and nothing that a rule allows.
func TestConfigurationJudgeReportsEachViolation(t *testing.T) {
	const ms = time.Millisecond
	versions := []version{
		{edition: 1, sent: 0, acknowledged: 1},
		{edition: 2, sent: 1000 * ms, acknowledged: 1010 * ms},
		{edition: 3, sent: 5000 * ms, acknowledged: 5010 * ms, withdraws: 2},
		{edition: 4, sent: 9000 * ms}, // never acknowledged
	}
	at := func(sent time.Duration, edition, status int) probe {
		return probe{proxy: 1, pid: 7, edition: edition, sent: sent, done: sent + 5*ms, status: status}
	}
	many := func(edition, served, refused int) (all []probe) {
		for n := range served + refused {
			status := 200
			if n >= served {
				status = 503
			}
			all = append(all, at(3600*ms+time.Duration(n)*ms, edition, status))
		}
		return all
	}
	for name, c := range map[string]struct {
		want    string
		probes  []probe
		outages []outage
	}{
		"nothing":              {"", []probe{at(2000*ms, 2, 404), at(2100*ms, 2, 200), at(3600*ms, 2, 200), at(6000*ms, 2, 200), at(6500*ms, 3, 200), at(7600*ms, 2, 404), at(9500*ms, 4, 404)}, nil},
		"not in force":         {"version 2 is not in force at proxy 1 2.59s after", []probe{at(3600*ms, 2, 404)}, nil},
		"not connected":        {"", []probe{at(3600*ms, 2, 404)}, []outage{{1, 500 * ms, 700 * ms}}},
		"another's outage":     {"not in force", []probe{at(3600*ms, 2, 404)}, []outage{{0, 500 * ms, 700 * ms}}},
		"outage of all":        {"", []probe{at(3600*ms, 2, 404)}, []outage{{-1, 500 * ms, 700 * ms}}},
		"removed":              {"serves the route of version 2 2.59s after version 3 removed it", []probe{at(7600*ms, 2, 200)}, nil},
		"went back":            {"went back: version 2 was in force, and 395ms later version 2 is not", []probe{at(2000*ms, 2, 200), at(2400*ms, 2, 404)}, nil},
		"went back to a route": {"went back: version 3 was in force, and 395ms later the route of version 2", []probe{at(5100*ms, 3, 200), at(5500*ms, 2, 200)}, nil},
		"restarted":            {"", []probe{at(2000*ms, 2, 200), {proxy: 1, pid: 8, edition: 2, sent: 2400 * ms, done: 2401 * ms, status: 404}}, nil},
		"at once":              {"", []probe{at(2000*ms, 2, 200), at(2200*ms, 2, 404)}, nil},
		"frozen":               {"", []probe{at(2000*ms, 2, 200), at(2400*ms, 2, 404)}, []outage{{1, 1900 * ms, 1950 * ms}}},
		"invalid":              {"serves a route of an invalid configuration", []probe{{edition: 3, invalid: true, status: 200}}, nil},
		"invalid refused":      {"", []probe{{edition: 3, invalid: true, status: 404}}, nil},
		"added routes refused": {"of 30 requests on added routes, 7 were served; of 30 on the first routes, 30", append(many(2, 7, 23), many(1, 30, 0)...), nil},
		"all routes refused":   {"", append(many(2, 7, 23), many(1, 8, 22)...), nil},
		"too few requests":     {"", append(many(2, 0, 19), many(1, 30, 0)...), nil},
	} {
		var violations []string
		j := configurationJudge{versions: versions, probes: c.probes, outages: c.outages, reportViolation: func(format string, args ...any) {
			violations = append(violations, fmt.Sprintf(format, args...))
		}}
		j.judge()
		if c.want == "" {
			must.SliceEmpty(t, violations, must.Sprint(name))
			continue
		}
		must.StrContains(t, strings.Join(violations, "\n"), c.want, must.Sprint(name))
	}
}

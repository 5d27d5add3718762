package processes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The judge of versions convicts each rule on what probes saw, and nothing that a rule allows.
func TestTheJudgeOfVersions(t *testing.T) {
	const ms = time.Millisecond
	versions := []version{
		{edition: 1, sent: 0, acked: 1},
		{edition: 2, sent: 1000 * ms, acked: 1010 * ms},
		{edition: 3, sent: 5000 * ms, acked: 5010 * ms, withdrawn: 2},
		{edition: 4, sent: 9000 * ms}, // never acknowledged
	}
	at := func(sent time.Duration, edition, status int) probe {
		return probe{proxy: 1, life: 7, edition: edition, sent: sent, done: sent + 5*ms, status: status}
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
		says     string
		probes   []probe
		troubles []trouble
	}{
		"nothing":                 {"", []probe{at(2000*ms, 2, 404), at(2100*ms, 2, 200), at(3600*ms, 2, 200), at(6000*ms, 2, 200), at(6500*ms, 3, 200), at(7600*ms, 2, 404), at(9500*ms, 4, 404)}, nil},
		"not in force":            {"edition 2 is not in force at balancer 1 2.59s after", []probe{at(3600*ms, 2, 404)}, nil},
		"not in touch":            {"", []probe{at(3600*ms, 2, 404)}, []trouble{{1, 500 * ms, 700 * ms}}},
		"another's trouble":       {"not in force", []probe{at(3600*ms, 2, 404)}, []trouble{{0, 500 * ms, 700 * ms}}},
		"of all":                  {"", []probe{at(3600*ms, 2, 404)}, []trouble{{-1, 500 * ms, 700 * ms}}},
		"taken away":              {"serves the route of edition 2 2.59s after edition 3 took it away", []probe{at(7600*ms, 2, 200)}, nil},
		"went back":               {"went back: edition 2 was in force, and 395ms later edition 2 is not", []probe{at(2000*ms, 2, 200), at(2400*ms, 2, 404)}, nil},
		"went back to a route":    {"went back: edition 3 was in force, and 395ms later the route of edition 2", []probe{at(5100*ms, 3, 200), at(5500*ms, 2, 200)}, nil},
		"another life":            {"", []probe{at(2000*ms, 2, 200), {proxy: 1, life: 8, edition: 2, sent: 2400 * ms, done: 2401 * ms, status: 404}}, nil},
		"at once":                 {"", []probe{at(2000*ms, 2, 200), at(2200*ms, 2, 404)}, nil},
		"stood still":             {"", []probe{at(2000*ms, 2, 200), at(2400*ms, 2, 404)}, []trouble{{1, 1900 * ms, 1950 * ms}}},
		"invalid":                 {"serves by an invalid configuration", []probe{{edition: 3, invalid: true, status: 200}}, nil},
		"invalid refused":         {"", []probe{{edition: 3, invalid: true, status: 404}}, nil},
		"added routes turned out": {"of 30 requests on routes that were added, 7 were served; of 30 on the first routes, 30", append(many(2, 7, 23), many(1, 30, 0)...), nil},
		"all routes turned away":  {"", append(many(2, 7, 23), many(1, 8, 22)...), nil},
		"too few to tell":         {"", append(many(2, 0, 19), many(1, 30, 0)...), nil},
	} {
		var broken []string
		j := configurationJudge{versions: versions, probes: c.probes, troubles: c.troubles, breaks: func(format string, args ...any) {
			broken = append(broken, fmt.Sprintf(format, args...))
		}}
		j.judge()
		if c.says == "" {
			must.SliceEmpty(t, broken, must.Sprint(name))
			continue
		}
		must.StrContains(t, strings.Join(broken, "\n"), c.says, must.Sprint(name))
	}
}

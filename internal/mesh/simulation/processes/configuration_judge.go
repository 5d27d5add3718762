package processes

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds for configuration to take effect, as promised to operators.
const (
	inForceBound   = 2500 * time.Millisecond // from the acknowledgement of a version until each connected proxy uses it
	rollbackBound  = 250 * time.Millisecond  // from the use of a version at a proxy until no older version is used there
	outageFactor   = 8                       // factor on rollbackBound for a proxy in an outage, such as a frozen process
	reconnectBound = 3 * time.Second         // from the end of an outage until a proxy counts as connected
	minCompared    = 20                      // requests on added routes below which their served ratio is not judged
	maxServedRatio = 4                       // largest quotient of the served ratios of first and added routes
)

// version is one version of the configuration. Each adds a route and may remove a route that an older version added.
type version struct {
	edition      int
	sent         time.Duration // since the start of the run
	acknowledged time.Duration // 0 if never
	withdraws    int           // version whose route it removes, 0 for none
}

// probe is a request that shows which version a proxy uses.
type probe struct {
	proxy, pid int // pid is the process ID of the proxy, -1 if the process ended during the probe
	edition    int // version whose route is requested
	invalid    bool
	sent, done time.Duration
	status     int
}

// outage is a period in which a proxy is not connected.
type outage struct {
	proxy      int // -1 for all proxies
	start, end time.Duration
}

// configurationJudge compares the results of probes with the acknowledgements that operators received. It reads no clock.
type configurationJudge struct {
	versions        []version // in ascending order
	probes          []probe
	outages         []outage
	reportViolation func(format string, args ...any)
}

// connected reports whether the proxy had no outage from reconnectBound before the probe until the end of the probe.
func (j *configurationJudge) connected(p *probe) bool {
	return connected(j.outages, p.proxy, p.sent, p.done)
}

// connected reports whether a proxy had no outage from reconnectBound before a time until another one.
func connected(outages []outage, proxy int, from, until time.Duration) bool {
	return !slices.ContainsFunc(outages, func(t outage) bool {
		return (t.proxy < 0 || t.proxy == proxy) && until >= t.start && from <= t.end+reconnectBound
	})
}

// routeVersions returns the version that adds the route of a version and the version that removes it, nil for none. The
// route may exist once the adding version is sent, and must exist inForceBound after its acknowledgement. The same bounds hold for
// the removal.
func (j *configurationJudge) routeVersions(edition int) (added, withdrawn *version) {
	for n := range j.versions {
		v := &j.versions[n]
		if v.edition == edition {
			added = v
		}
		if v.withdraws == edition {
			withdrawn = v
		}
	}
	return added, withdrawn
}

// judge reports each probe that violates a rule.
func (j *configurationJudge) judge() {
	for n := range j.probes {
		p := &j.probes[n]
		served, unknown := p.status == http.StatusOK, p.status == http.StatusNotFound
		if p.invalid {
			if served {
				j.reportViolation("CONFIG: proxy %d serves a route of an invalid configuration, version %d", p.proxy, p.edition)
			}
			continue
		}
		added, withdrawn := j.routeVersions(p.edition)
		if added == nil || !j.connected(p) {
			continue
		}
		if unknown && added.acknowledged > 0 && p.sent > added.acknowledged+inForceBound && (withdrawn == nil || p.done < withdrawn.sent) {
			j.reportViolation("CONFIG: version %d is not in force at proxy %d %v after its acknowledgement", p.edition, p.proxy, p.sent-added.acknowledged)
		}
		if served && withdrawn != nil && withdrawn.acknowledged > 0 && p.sent > withdrawn.acknowledged+inForceBound {
			j.reportViolation("CONFIG: proxy %d serves the route of version %d %v after version %d removed it", p.proxy, p.edition, p.sent-withdrawn.acknowledged, withdrawn.edition)
		}
	}
	j.judgeRollbacks()
	j.judgeServed()
}

// judgeRollbacks reports proxies that used an older version after a newer one within one process lifetime.
func (j *configurationJudge) judgeRollbacks() {
	type lifetime struct{ proxy, pid int }
	seen := map[lifetime][]*probe{} // probes that showed a version in force
	for n := range j.probes {
		p := &j.probes[n]
		if p.pid >= 0 && !p.invalid && p.status == http.StatusOK {
			seen[lifetime{p.proxy, p.pid}] = append(seen[lifetime{p.proxy, p.pid}], p)
		}
	}
	for n := range j.probes {
		p := &j.probes[n]
		if p.pid < 0 || p.invalid || p.status != http.StatusNotFound && p.status != http.StatusOK {
			continue
		}
		bound := rollbackBound
		if !j.connected(p) {
			bound *= outageFactor
		}
		added, withdrawn := j.routeVersions(p.edition)
		if added == nil {
			continue
		}
		for _, earlier := range seen[lifetime{p.proxy, p.pid}] {
			if p.sent <= earlier.done+bound {
				continue
			}
			switch {
			case p.status == http.StatusNotFound && earlier.edition >= p.edition && (withdrawn == nil || p.done < withdrawn.sent):
				j.reportViolation("CONFIG: proxy %d went back: version %d was in force, and %v later version %d is not", p.proxy, earlier.edition, p.sent-earlier.done, p.edition)
			case p.status == http.StatusOK && withdrawn != nil && earlier.edition >= withdrawn.edition:
				j.reportViolation("CONFIG: proxy %d went back: version %d was in force, and %v later the route of version %d is served", p.proxy, earlier.edition, p.sent-earlier.done, p.edition)
			default:
				continue
			}
			break
		}
	}
}

// judgeServed compares the served ratio on added routes with that on the first routes, outside of outages.
func (j *configurationJudge) judgeServed() {
	added, first := j.servedCounts()
	if added.requests >= minCompared && added.ratio()*maxServedRatio < first.ratio() {
		j.reportViolation("CONFIG: of %d requests on added routes, %d were served; of %d on the first routes, %d", added.requests, added.served, first.requests, first.served)
	}
}

type servedCount struct{ requests, served int }

func (c servedCount) ratio() float64 { return float64(c.served) / float64(max(c.requests, 1)) }

func (c servedCount) String() string { return fmt.Sprintf("%d of %d", c.served, c.requests) }

// servedCounts counts the probes of routes that must be in force at connected proxies, for added routes and those of the first
// version.
func (j *configurationJudge) servedCounts() (added, first servedCount) {
	for n := range j.probes {
		p := &j.probes[n]
		v, withdrawn := j.routeVersions(p.edition)
		if p.invalid || v == nil || v.acknowledged == 0 || p.sent <= v.acknowledged+inForceBound || withdrawn != nil && p.done >= withdrawn.sent || !j.connected(p) {
			continue
		}
		counts := &added
		if v.edition == firstVersion {
			counts = &first
		}
		counts.requests++
		if p.status == http.StatusOK {
			counts.served++
		}
	}
	return added, first
}

// inForceDelays returns, for each version and proxy, the delay from the acknowledgement until a probe first showed the
// version in force.
func (j *configurationJudge) inForceDelays() (delays []time.Duration) {
	type key struct{ proxy, edition int }
	seen := map[key]time.Duration{}
	for n := range j.probes {
		p := &j.probes[n]
		k := key{p.proxy, p.edition}
		if p.status == http.StatusOK && !p.invalid && (seen[k] == 0 || p.done < seen[k]) {
			seen[k] = p.done
		}
	}
	for k, done := range seen {
		if v, _ := j.routeVersions(k.edition); v != nil && v.acknowledged > 0 && v.edition != firstVersion {
			delays = append(delays, max(0, done-v.acknowledged))
		}
	}
	slices.Sort(delays)
	return delays
}

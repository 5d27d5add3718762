package processes

import (
	"net/http"
	"time"
)

// unsettledBound is how much longer a version may take to come into force while the core is disturbed.
const unsettledBound = 8 * time.Second

// routeJudge compares probes for routes with the versions that may be in force. It reads no clock.
type routeJudge struct {
	versions        []routeVersion // in the order of their editions
	outages         []outage       // of proxies
	calm            func(from, until time.Duration) bool
	reportViolation func(format string, args ...any)
}

// judge reports a probe that no version that may be in force explains.
func (j *routeJudge) judge(p *routeProbe) {
	if p.status != http.StatusOK && p.status != http.StatusNotFound || !connected(j.outages, p.proxy, p.sent, p.done) {
		return
	}
	bound := inForceBound
	if !j.calm(p.sent-inForceBound, p.done) {
		bound += unsettledBound
	}
	allowed := j.allowed(p, bound)
	for _, v := range allowed {
		if v.places[p.place] == (p.status == http.StatusOK) {
			return
		}
	}
	if len(allowed) > 0 {
		j.reportViolation("CONFIG: proxy %d answers %d for %s%s, unlike versions %d to %d", p.proxy, p.status, p.place.hostName(), p.place.prefix(),
			allowed[0].edition, allowed[len(allowed)-1].edition)
	}
}

// allowed returns the versions that may be in force: from the last one that was acknowledged longer than bound before the
// probe to the last one that was sent before its end.
func (j *routeJudge) allowed(p *routeProbe, bound time.Duration) []routeVersion {
	first, last := -1, -1
	for n, v := range j.versions {
		if v.acknowledged > 0 && v.acknowledged+bound < p.sent {
			first = n
		}
		if v.sent <= p.done {
			last = n
		}
	}
	if first < 0 {
		first = 0
	}
	return j.versions[first : last+1]
}

// judgeReadBack reports a configuration that differs from the newest acknowledged version, or from a later one without a
// clear result.
func (j *routeJudge) judgeReadBack(edition int, places map[place]bool) {
	newest := 0
	for n, v := range j.versions {
		if v.acknowledged > 0 {
			newest = n
		}
	}
	for _, v := range j.versions[newest:] {
		if v.edition == edition && formatPlaces(v.places) == formatPlaces(places) {
			return
		}
	}
	j.reportViolation("LOST: version %d was acknowledged with %s, but read back as version %d with %s", j.versions[newest].edition,
		formatPlaces(j.versions[newest].places), edition, formatPlaces(places))
}

package processes

import (
	"net/http"
	"slices"
	"time"
)

const (
	// unansweredBound is how long after its last byte a request that is not passed on may stay without a response: one that
	// crosses the end of its connection is noticed at once.
	unansweredBound = 200 * time.Millisecond
	// upstreamEndSlack is how much earlier than its recorded end an upstream may break requests off.
	upstreamEndSlack = 500 * time.Millisecond
	// faultSlack is how much earlier or later than planned a fault may begin or end.
	faultSlack = 500 * time.Millisecond
)

// run is the run of a request at an upstream.
type run struct {
	proxy int           // beside the upstream
	ended time.Duration // when the upstream ended, 0 if it still runs
}

// keptJudge finds requests on kept connections that ended without a response, although their proxy was neither killed nor
// frozen. It reads no clock.
type keptJudge struct {
	outages         []outage // of proxies, by kills and freezes
	stops           []outage // of proxies, from SIGTERM on
	runs            map[string]run
	reportViolation func(format string, args ...any)
}

// judge reports a request that a proxy read and left without a response, or whose work it broke off as it stopped.
func (j *keptJudge) judge(r *keptRequest) {
	if overlaps(j.outages, r.proxy, r) {
		return
	}
	ran, passedOn := j.runs[r.id]
	switch {
	case passedOn && !j.isSound(ran, r): // the upstream broke off, or the proxy beside it was killed
	case !r.complete && passedOn:
		j.reportViolation("LOST: %s ran beside proxy %d, but its connection to proxy %d ended without a response, %v after it was sent", r.id, ran.proxy, r.proxy, r.waited())
	case !r.complete && r.waited() > unansweredBound:
		j.reportViolation("LOST: %s was not passed on, and its connection to proxy %d ended without a response, %v after it was sent", r.id, r.proxy, r.waited())
	case passedOn && r.isFailure() && r.waited() < keptRequestAllowance && overlaps(j.stops, r.proxy, r):
		j.reportViolation("LOST: %s at work beside proxy %d was broken off and answered %d while proxy %d stopped", r.id, ran.proxy, r.status, r.proxy)
	}
}

// isSound reports whether the upstream and the proxy beside it could finish a run.
func (j *keptJudge) isSound(ran run, r *keptRequest) bool {
	return (ran.ended == 0 || ran.ended > r.ended+upstreamEndSlack) && !overlaps(j.outages, ran.proxy, r)
}

// overlaps reports whether a proxy had an outage while a request was open.
func overlaps(outages []outage, proxy int, r *keptRequest) bool {
	return slices.ContainsFunc(outages, func(o outage) bool {
		return (o.proxy < 0 || o.proxy == proxy) && r.ended >= o.start-faultSlack && r.sent <= o.end+faultSlack
	})
}

// waited is the time from the last byte of the request to the end of its response or connection.
func (r *keptRequest) waited() time.Duration { return (r.ended - r.sent).Round(time.Millisecond) }

// isFailure reports whether the response says that the request may have run without a result.
func (r *keptRequest) isFailure() bool {
	return r.status == http.StatusInternalServerError || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
}

// judgeKeptRequests judges all requests on kept connections.
func (h *harness) judgeKeptRequests() {
	judge := &keptJudge{outages: h.outagesOf(KillAll, KillProxy, FreezeProxy), stops: h.outagesOf(TermProxy), runs: map[string]run{}, reportViolation: h.reportViolation}
	for _, life := range h.lives {
		for id := range life.upstream.RunsByAttempt() {
			judge.runs[id] = run{proxy: life.proxy, ended: life.ended}
		}
	}
	for _, r := range h.keptRequests {
		judge.judge(r)
	}
	h.outcome.KeptRequests = len(h.keptRequests)
}

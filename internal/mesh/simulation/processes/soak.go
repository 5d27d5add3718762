package processes

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const readBackTimeout = 15 * time.Second

// startSoak starts the tasks of a soak: departures of upstreams, amendments of several hosts, probes, and clients
// that keep their connections.
func (h *harness) startSoak(ctx context.Context, tasks *sync.WaitGroup, logf func(string, ...any)) {
	tasks.Go(func() { h.amendHosts(ctx, logf) })
	for n := range h.plan.Proxies {
		tasks.Go(func() { h.probeHosts(ctx, n) })
		for connection := range keptConnectionsPerProxy {
			tasks.Go(func() { h.useKeptConnection(ctx, n, connection) })
		}
		tasks.Go(func() {
			disturbed, cancel := context.WithTimeout(ctx, h.Length-soakRecovery)
			defer cancel()
			h.runUpstreamLives(disturbed, n)
		})
	}
}

// judgeSoak judges departures, requests on kept connections, probes for routes, and the configuration that is read back.
func (h *harness) judgeSoak() {
	h.judgeDepartures()
	h.judgeKeptRequests()
	judge := &routeJudge{versions: h.routeLog.versions, outages: h.outagesOf(KillAll, KillProxy, TermProxy, FreezeProxy), calm: h.calm,
		reportViolation: h.reportViolation}
	for n := range h.routeLog.probes {
		judge.judge(&h.routeLog.probes[n])
	}
	h.outcome.RouteProbes = len(h.routeLog.probes)
	ctx, cancel := context.WithTimeout(context.Background(), readBackTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		status, text, err := h.callController(ctx, n, "timetable.fetch", "", "")
		if status != http.StatusOK || err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		edition, places, err := readBackPlaces(text)
		if err != nil {
			h.reportViolation("CONFIG: the configuration that was read back is invalid: %v", err)
			return
		}
		judge.judgeReadBack(edition, places)
		return
	}
	h.reportViolation("CONFIG: no controller returned the configuration at the end of the run")
}

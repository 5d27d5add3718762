package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	firstVersion          = 1
	maxAddedRoutes        = 40                     // a version beyond that removes the oldest added route
	probeInterval         = 40 * time.Millisecond  // between two probes of a proxy
	retryInterval         = 100 * time.Millisecond // after a change whose result is unknown
	invalidChangeInterval = 5                      // one in so many changes is preceded by an invalid one
)

// route returns the JSON of a route that a version adds. It has the highest precedence and the longest latency target.
func route(name, prefix, service string) string {
	return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Target":"1000ms","Precedence":0,"Unstamped":true,"Sorting":{"StreetPrefix":%q},"Dispatch":{"Destination":%q,"Deadline":"1000ms","DeliveryTries":2}}`, name, prefix, service)
}

func (h *harness) versionRoute(edition int) string {
	return route(fmt.Sprintf("version-%d", edition), fmt.Sprintf("/version/%d/", edition), h.Services[0])
}

// versionLog records the configuration versions sent and acknowledged, and the results of probes.
type versionLog struct {
	mu    sync.Mutex
	judge configurationJudge
}

func (h *harness) elapsed() time.Duration { return time.Since(h.startedAt) }

// recordSent records that a version is about to be sent. recordAcknowledged records its acknowledgement.
func (l *versionLog) recordSent(edition, withdrawn int, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judge.versions = append(l.judge.versions, version{edition: edition, withdraws: withdrawn, sent: at})
}

func (l *versionLog) recordAcknowledged(edition int, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n := range l.judge.versions {
		if l.judge.versions[n].edition == edition {
			l.judge.versions[n].acknowledged = at
		}
	}
}

func (l *versionLog) addProbe(p probe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judge.probes = append(l.judge.probes, p)
}

// newest returns the newest version that may be in force.
func (l *versionLog) newest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.judge.versions[len(l.judge.versions)-1].edition
}

// changeVersions sends a new version every VersionInterval to a random controller, and invalid changes in between.
func (h *harness) changeVersions(ctx context.Context, logf func(string, ...any)) {
	rng := rand.New(rand.NewPCG(h.Seed, 2))
	ticker := time.NewTicker(h.VersionInterval)
	defer ticker.Stop()
	newest := firstVersion
	for ctx.Err() == nil {
		edition, withdraw, withdrawn := newest+1, "", 0
		if withdrawn = newest - maxAddedRoutes; withdrawn > firstVersion {
			withdraw = fmt.Sprintf(`,"Withdraw":{"Routes":["version-%d"]}`, withdrawn)
		} else {
			withdrawn = 0
		}
		if rng.IntN(invalidChangeInterval) == 0 {
			h.sendInvalidChange(ctx, rng, newest)
		}
		body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"demo.example","Regulations":[%s]}]}%s}`, edition, h.versionRoute(edition), withdraw)
		startedAt := h.elapsed()
		h.versionLog.recordSent(edition, withdrawn, startedAt)
		if !h.applyChange(ctx, rng, newest, edition, body) {
			return
		}
		h.versionLog.recordAcknowledged(edition, h.elapsed())
		h.mu.Lock()
		h.outcome.Changes++
		h.outcome.AckDelays = append(h.outcome.AckDelays, h.elapsed()-startedAt)
		h.mu.Unlock()
		newest = edition
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	logf("%d versions were acknowledged", h.outcome.Changes)
}

// applyChange sends a change until it is acknowledged. It reports false if the change is refused or ctx ends.
func (h *harness) applyChange(ctx context.Context, rng *rand.Rand, base, edition int, body string) bool {
	for ctx.Err() == nil {
		status, text, _ := h.callController(ctx, rng.IntN(h.Controllers), "timetable.amend", fmt.Sprint(base), body)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500:
			h.reportViolation("CONFIG: version %d on top of %d was refused: %d %s", edition, base, status, strings.TrimSpace(text))
			return false
		}
		sleep(ctx, retryInterval)
	}
	return false
}

// sendInvalidChange sends a change that is ambiguous, names an unknown service or has a deadline of zero. It must not
// be acknowledged. A request without a clear result is accepted.
func (h *harness) sendInvalidChange(ctx context.Context, rng *rand.Rand, base int) {
	marker := route(fmt.Sprintf("invalid-%d", base+1), fmt.Sprintf("/invalid/%d/", base+1), h.Services[0])
	second := []string{
		route("same-place", fmt.Sprintf("/invalid/%d/", base+1), h.Services[0]),
		route("unknown", "/unknown/", "nobody"),
		strings.Replace(route("no-time", "/no-time/", h.Services[0]), `"Deadline":"1000ms"`, `"Deadline":"0ms"`, 1),
		strings.Replace(route("twice", "/twice/", h.Services[0]), `"Name"`, `"Name":"once","Name"`, 1),
	}[rng.IntN(4)]
	body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"demo.example","Regulations":[%s,%s]}]}}`, base+1, marker, second)
	status, _, _ := h.callController(ctx, rng.IntN(h.Controllers), "timetable.amend", fmt.Sprint(base), body)
	if status == http.StatusOK {
		h.reportViolation("CONFIG: an invalid change was acknowledged: %s", second)
	}
}

// probeVersions probes one proxy for routes of the newest version, of an older or removed one, of the first and of an
// invalid one.
func (h *harness) probeVersions(ctx context.Context, proxy int) {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(10+proxy)))
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n := 0; sleep(ctx, probeInterval) == nil; n++ {
		newest := h.versionLog.newest()
		p := probe{proxy: proxy, pid: h.proxyPID(proxy), sent: h.elapsed()}
		switch rng.IntN(6) {
		case 0, 1:
			p.edition = newest
		case 2:
			p.edition = max(firstVersion, newest-1-rng.IntN(maxAddedRoutes+maxAddedRoutes/4))
		case 3:
			p.edition, p.invalid = newest, true
		default:
			p.edition = firstVersion
		}
		inFlight.Go(func() { h.versionLog.addProbe(h.probeOnce(client, p, n)) })
	}
}

// newProbe returns a request that shows whether a proxy has a route, and records its ID as that of a probe.
func (h *harness) newProbe(proxy int, host, path, id string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.plan.Proxies[proxy].OutboundAddress+path, nil)
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"1000"}}
	h.mu.Lock()
	h.attempts[id] = &attempt{probe: true}
	h.mu.Unlock()
	return request, nil
}

func (h *harness) probeOnce(client *http.Client, p probe, n int) probe {
	path := fmt.Sprintf("/version/%d/", p.edition)
	switch {
	case p.invalid:
		path = fmt.Sprintf("/invalid/%d/", p.edition)
	case p.edition == firstVersion:
		path = "/read/" + h.Services[0] + "/"
	}
	request, err := h.newProbe(p.proxy, "demo.example", path, fmt.Sprintf("probe-%d-%d", p.proxy, n))
	if err != nil {
		return p
	}
	response, err := client.Do(request)
	p.done = h.elapsed()
	if h.proxyPID(p.proxy) != p.pid {
		p.pid = -1
	}
	if err != nil {
		return p
	}
	response.Body.Close()
	p.status = response.StatusCode
	return p
}

// proxyPID returns the process ID of a proxy.
func (h *harness) proxyPID(proxy int) int {
	p := h.processes[h.Controllers+proxy]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// judgeVersions judges the results of the probes.
func (h *harness) judgeVersions() {
	h.versionLog.mu.Lock()
	defer h.versionLog.mu.Unlock()
	judge := &h.versionLog.judge
	judge.reportViolation = h.reportViolation
	for _, f := range h.Faults {
		outage := outage{proxy: -1, start: f.At, end: f.At + f.For}
		if f.Kind == KillProxy || f.Kind == FreezeProxy || f.Kind == TermProxy {
			outage.proxy = f.Who % h.Proxies
		}
		judge.outages = append(judge.outages, outage)
	}
	judge.judge()
	h.outcome.Probes, h.outcome.InForceDelays = len(judge.probes), judge.inForceDelays()
	h.outcome.AddedRoutes, h.outcome.FirstRoutes = judge.servedCounts()
}

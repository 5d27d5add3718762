package processes

import (
	"net/http"
	"time"
)

const (
	acknowledgementBound = time.Second     // for a departure in a calm time
	calmBefore           = 5 * time.Second // without faults, from which a time counts as calm
	settledBound         = 6 * time.Second // after the last fault, until an upstream that runs gets requests
)

// departure is the acknowledged end of an upstream instance, with the requests that reached the instance later.
type departure struct {
	instance     string
	proxy        int
	acknowledged time.Duration
	drain        time.Duration
	runs         map[string]time.Duration // by attempt ID
}

// departureJudge finds requests that reached an instance later than allowed. It reads no clock.
type departureJudge struct {
	freezes         []outage // of proxies
	statuses        map[string]int
	reportViolation func(format string, args ...any)
}

// judge reports each request that reached an instance later than its Drain after the acknowledgement. A proxy that stands
// still while it passes a request on may pass it on late.
func (j *departureJudge) judge(d *departure) {
	for id, began := range d.runs {
		if began <= d.acknowledged+d.drain || !connected(j.freezes, d.proxy, began, began) {
			continue
		}
		outcome := "served"
		if j.statuses[id] != http.StatusOK {
			outcome = "not served"
		}
		j.reportViolation("DRAIN: %s reached %s beside proxy %d %v after its end was acknowledged, %s", id, d.instance, d.proxy,
			(began - d.acknowledged).Round(time.Millisecond), outcome)
	}
}

// judgeDepartures judges all instances of the upstreams.
func (h *harness) judgeDepartures() {
	judge := &departureJudge{freezes: h.outagesOf(FreezeProxy), statuses: map[string]int{}, reportViolation: h.reportViolation}
	for id, attempt := range h.attempts {
		judge.statuses[id] = attempt.status
	}
	for _, life := range h.lives {
		if life.departing > 0 {
			h.outcome.Departures++
		} else if life.ended > 0 {
			h.outcome.Crashes++
		}
		switch {
		case life.acknowledged > 0:
			h.outcome.DepartureDelays = append(h.outcome.DepartureDelays, life.acknowledged-life.departing)
			judge.judge(h.departureOf(life))
		case life.departing > 0 && h.calm(life.departing, life.departing+acknowledgementBound):
			h.reportViolation("ACK: the end of %s beside proxy %d was not acknowledged in a calm time, at %v", life.upstream.ID, life.proxy, life.departing)
		}
		h.judgeRunning(life)
	}
}

func (h *harness) departureOf(life *upstreamLife) *departure {
	d := &departure{instance: life.upstream.ID, proxy: life.proxy, acknowledged: life.acknowledged,
		drain: h.plan.Proxies[life.proxy].Bounds.Drain, runs: map[string]time.Duration{}}
	for id, began := range life.upstream.RunsAfter(life.acknowledgedAt) {
		d.runs[id] = life.acknowledged + began.Sub(life.acknowledgedAt)
	}
	return d
}

// judgeRunning reports an instance that runs at the end but gets no requests.
func (h *harness) judgeRunning(life *upstreamLife) {
	settled := h.Length - soakRecovery + settledBound
	if life.ended > 0 || life.departing > 0 {
		return
	}
	if len(life.upstream.RunsAfter(h.startedAt.Add(settled))) == 0 {
		h.reportViolation("ABANDONED: %s beside proxy %d runs and has got no request for %v", life.upstream.ID, life.proxy, h.Length-settled)
	}
}

// calm reports whether no fault was active from calmBefore before a time until another one.
func (h *harness) calm(from, until time.Duration) bool {
	for _, f := range h.Faults {
		if f.Kind != HangUpProxy && f.At <= until && f.At+f.For >= from-calmBefore {
			return false
		}
	}
	return true
}

// outagesOf returns the outages of proxies by faults of the given kinds. Faults of all processes concern all proxies.
func (h *harness) outagesOf(kinds ...string) (outages []outage) {
	for _, f := range h.Faults {
		for _, kind := range kinds {
			if f.Kind != kind {
				continue
			}
			proxy := f.Who % h.Proxies
			if kind == KillAll {
				proxy = -1
			}
			outages = append(outages, outage{proxy: proxy, start: f.At, end: f.At + f.For})
		}
	}
	return outages
}

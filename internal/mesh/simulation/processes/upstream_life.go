package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ottershift/internal/mesh/testmesh"
)

const (
	meanLife          = 5 * time.Second // of an upstream instance, beyond minLife
	minLife           = time.Second
	maxServingOn      = 5 * time.Second // after Drain has passed since the acknowledgement
	maxUnacknowledged = 3 * time.Second // until an instance ends without an acknowledgement
	departureRetry    = 500 * time.Millisecond
	maxRestartPause   = 2 * time.Second // until the next instance starts

	lateHeartbeats   = 0.15 // share of heartbeats that come late
	maxHeartbeatLate = 4 * time.Second
	maxHeartbeatLag  = 20 * time.Millisecond // of the others
)

// departureMode is how an upstream instance ends.
type departureMode int

const (
	crash        departureMode = iota // without a word
	signOffFirst                      // it signs off, serves on, and ends
	closingFirst                      // it announces that it closes, serves on, signs off, and ends
	departureModes
)

// upstreamLife is one instance of the upstream beside a proxy.
type upstreamLife struct {
	proxy          int
	upstream       *testmesh.Upstream
	departing      time.Duration // when it first announced its end, 0 if never
	acknowledged   time.Duration // when the end was acknowledged, 0 if never
	acknowledgedAt time.Time
	ended          time.Duration // 0 while it runs
}

// runUpstreamLives ends and replaces the upstream beside a proxy again and again. When ctx ends, the last instance stays.
func (h *harness) runUpstreamLives(ctx context.Context, proxy int) {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(1000+proxy)))
	life := h.addLife(proxy, h.upstreams[proxy], rng)
	for n := 1; sleep(ctx, minLife+time.Duration(rng.ExpFloat64()*float64(meanLife))) == nil; n++ {
		h.endLife(life, departureMode(rng.IntN(int(departureModes))), rng)
		time.Sleep(time.Duration(rng.Int64N(int64(maxRestartPause))))
		node := h.plan.Proxies[proxy]
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("i-%d-%d", proxy, n), node.Service, node.UpstreamAddress, node.ControlAddress, 8, h.ProcessingTime, h.ResponseBytes)
		if err != nil {
			h.reportViolation("the upstream of proxy %d does not start: %v", proxy, err)
			return
		}
		life = h.addLife(proxy, upstream, rng)
	}
}

// addLife records an instance and delays its heartbeats.
func (h *harness) addLife(proxy int, upstream *testmesh.Upstream, rng *rand.Rand) *upstreamLife {
	delays := rand.New(rand.NewPCG(rng.Uint64(), 1))
	upstream.DelayHeartbeats(func() time.Duration {
		if delays.Float64() < lateHeartbeats {
			return time.Duration(delays.Int64N(int64(maxHeartbeatLate)))
		}
		return time.Duration(delays.Int64N(int64(maxHeartbeatLag)))
	})
	life := &upstreamLife{proxy: proxy, upstream: upstream}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives = append(h.lives, life)
	return life
}

// endLife ends an instance. It serves on for some time after its end was acknowledged.
func (h *harness) endLife(life *upstreamLife, mode departureMode, rng *rand.Rand) {
	switch mode {
	case signOffFirst:
		h.announce(life, life.upstream.SignOff)
	case closingFirst:
		h.announce(life, life.upstream.Drain)
	}
	if life.acknowledged > 0 {
		time.Sleep(h.plan.Proxies[life.proxy].Bounds.Drain + time.Duration(rng.Int64N(int64(maxServingOn))))
	}
	if mode == closingFirst {
		life.upstream.SignOff()
	}
	life.upstream.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	life.ended = h.elapsed()
}

// announce calls until the proxy acknowledges the end of an instance, or for as long as the instance waits.
func (h *harness) announce(life *upstreamLife, call func() bool) {
	departing := h.elapsed()
	acknowledged := call()
	for !acknowledged && h.elapsed() < departing+maxUnacknowledged {
		time.Sleep(departureRetry)
		acknowledged = call()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	life.departing = departing
	if acknowledged {
		life.acknowledged, life.acknowledgedAt = h.elapsed(), time.Now()
	}
}

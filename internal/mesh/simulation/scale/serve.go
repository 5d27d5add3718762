package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	requestTimeout = 2 * time.Second
	maxInFlight    = 2048 // requests; at this limit the next request is not sent and counts as failed
	requestHost    = "scale.example"
)

// way is the path of a request to an upstream.
type way int

const (
	direct  way = iota // from the client to the upstream, without the mesh
	oneHop             // through the proxy of the upstream only
	twoHops            // through the client's proxy and the proxy of the upstream
	wayCount
)

// Latency holds the latency quantiles of one path, in milliseconds.
type Latency struct{ P50, P99 float64 }

// Served holds the results of the client requests of a phase.
type Served struct {
	Rate                    float64 // target rate, requests per second
	Calls, OK               int64
	Direct, OneHop, TwoHops Latency
}

// Added returns the latency that the mesh adds to a request with both hops, in milliseconds.
func (s *Served) Added() Latency {
	return Latency{P50: s.TwoHops.P50 - s.Direct.P50, P99: s.TwoHops.P99 - s.Direct.P99}
}

// loadGenerator sends client requests over all paths in equal parts, so that all are measured under the same machine load.
type loadGenerator struct {
	client    *http.Client
	outbounds []string // outbound addresses of the proxies
	upstreams []string // addresses of their upstreams

	mu       sync.Mutex
	requests int64
	ok       int64
	delays   [wayCount]*hdrhistogram.Histogram
}

func newLoadGenerator(outbounds, upstreams []string) *loadGenerator {
	g := &loadGenerator{outbounds: outbounds, upstreams: upstreams, client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	g.reset()
	return g
}

func (g *loadGenerator) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests, g.ok = 0, 0
	for n := range g.delays {
		g.delays[n] = hdrhistogram.New(minDelayMicros, maxDelayMicros, significantDigits)
	}
}

// run sends requests at a rate, at random times, until ctx ends, and waits for those in flight.
func (g *loadGenerator) run(ctx context.Context, rate float64) {
	if rate <= 0 || len(g.outbounds) < 2 {
		return
	}
	slots := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 && sleep(ctx, wait) != nil {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			g.record(direct, 0, false)
			continue
		}
		inFlight.Go(func() {
			g.send(way(n%int(wayCount)), n)
			<-slots
		})
	}
	inFlight.Wait()
}

// send sends one request. Each proxy has a service of its own, so the service determines the path of the request.
func (g *loadGenerator) send(by way, n int) {
	from := rand.IntN(len(g.outbounds))
	to := from
	if by == twoHops {
		to = (from + 1 + rand.IntN(len(g.outbounds)-1)) % len(g.outbounds)
	}
	address := g.outbounds[from]
	if by == direct {
		address = g.upstreams[to]
	}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/", address, servedName(to)), nil)
	if err != nil {
		return
	}
	request.Host = requestHost
	request.Header = http.Header{"X-Key": {clientKey}, "X-Attempt-Id": {fmt.Sprintf("scale-%d-%d", n, rand.Uint64())}, "X-Time-Left-Ms": {fmt.Sprint(requestTimeout.Milliseconds())}}
	startedAt := time.Now()
	response, err := g.client.Do(request)
	if err != nil {
		g.record(by, 0, false)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	g.record(by, time.Since(startedAt), err == nil && response.StatusCode == http.StatusOK)
}

func (g *loadGenerator) record(by way, took time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	if !ok {
		return
	}
	g.ok++
	g.delays[by].RecordValue(min(max(took.Microseconds(), minDelayMicros), maxDelayMicros))
}

// served returns the results of the requests since the last reset.
func (g *loadGenerator) served(rate float64) *Served {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Served{Rate: rate, Calls: g.requests, OK: g.ok, Direct: latency(g.delays[direct]), OneHop: latency(g.delays[oneHop]), TwoHops: latency(g.delays[twoHops])}
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: milliseconds(h, 50), P99: milliseconds(h, 99)}
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func servedName(proxy int) string { return fmt.Sprintf("served-%d", proxy) }

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
	callTimeout = 2 * time.Second
	maxInFlight = 2048 // calls; a client that finds more counts the next as failed
	callHost    = "scale.example"
)

// way is how a call reaches an upstream.
type way int

const (
	direct  way = iota // straight from the client, without the mesh
	oneHop             // by the proxy beside the upstream alone
	twoHops            // by the client's proxy and the one beside the upstream
	ways
)

// Latency is the quantiles of one way, in milliseconds.
type Latency struct{ P50, P99 float64 }

// Served is what came of the calls of a phase.
type Served struct {
	Rate                    float64 // calls a second that were asked for
	Calls, OK               int64
	Direct, OneHop, TwoHops Latency
}

// Added is the time that the mesh adds to a call with both hops, in milliseconds.
func (s *Served) Added() Latency {
	return Latency{P50: s.TwoHops.P50 - s.Direct.P50, P99: s.TwoHops.P99 - s.Direct.P99}
}

// load is clients that call by all ways in equal parts, so that all meet the same machine.
type load struct {
	client    *http.Client
	outbounds []string // addresses of proxies
	upstreams []string // and of the upstreams beside them

	mu     sync.Mutex
	calls  int64
	ok     int64
	delays [ways]*hdrhistogram.Histogram
}

func newLoad(outbounds, upstreams []string) *load {
	l := &load{outbounds: outbounds, upstreams: upstreams, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	l.reset()
	return l
}

func (l *load) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls, l.ok = 0, 0
	for n := range l.delays {
		l.delays[n] = hdrhistogram.New(leastDelay, mostDelay, digits)
	}
}

// run calls at a rate, at random times, until the context ends, and waits for what is under way.
func (l *load) run(ctx context.Context, rate float64) {
	if rate <= 0 || len(l.outbounds) < 2 {
		return
	}
	free := make(chan struct{}, maxInFlight)
	var flying sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 && pause(ctx, wait) != nil {
			break
		}
		select {
		case free <- struct{}{}:
		default:
			l.note(direct, 0, false)
			continue
		}
		flying.Go(func() {
			l.call(way(n%int(ways)), n)
			<-free
		})
	}
	flying.Wait()
}

// call makes one call. Invariant: each proxy has a service of its own, so the way of a call is known.
func (l *load) call(by way, n int) {
	from := rand.IntN(len(l.outbounds))
	to := from
	if by == twoHops {
		to = (from + 1 + rand.IntN(len(l.outbounds)-1)) % len(l.outbounds)
	}
	at := l.outbounds[from]
	if by == direct {
		at = l.upstreams[to]
	}
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/", at, servedName(to)), nil)
	if err != nil {
		return
	}
	request.Host = callHost
	request.Header = http.Header{"X-Key": {clientKey}, "X-Attempt-Id": {fmt.Sprintf("scale-%d-%d", n, rand.Uint64())}, "X-Time-Left-Ms": {fmt.Sprint(callTimeout.Milliseconds())}}
	began := time.Now()
	response, err := l.client.Do(request)
	if err != nil {
		l.note(by, 0, false)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	l.note(by, time.Since(began), err == nil && response.StatusCode == http.StatusOK)
}

func (l *load) note(by way, took time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if !ok {
		return
	}
	l.ok++
	l.delays[by].RecordValue(min(max(took.Microseconds(), leastDelay), mostDelay))
}

// served is what came of the calls since the last reset.
func (l *load) served(rate float64) *Served {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Served{Rate: rate, Calls: l.calls, OK: l.ok, Direct: latency(l.delays[direct]), OneHop: latency(l.delays[oneHop]), TwoHops: latency(l.delays[twoHops])}
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: milliseconds(h, 50), P99: milliseconds(h, 99)}
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func servedName(proxy int) string { return fmt.Sprintf("served-%d", proxy) }

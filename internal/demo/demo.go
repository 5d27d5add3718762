// Package demo runs a demonstration of a balancer in one process on loopback: three small pools of simulated upstreams,
// a balancer in front of them, some traffic and one upstream that fails.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/logs"
	"ottershift/internal/plan"
	"ottershift/internal/process"
)

const (
	upstreamsPerPool  = 3
	requestsPerSecond = 80  // of each pool
	refreshMillis     = 500 // between two updates of the status
)

// servicePool is one pool and the results that its clients have observed.
type servicePool struct {
	name, host     string
	typicalLatency time.Duration // of its upstreams
	upstreams      []*fakeUpstream

	mu            sync.Mutex
	all           latencyStats // since the start
	recent        latencyStats // since the last status
	duringFailure latencyStats // while the failing upstream hangs
}

// latencyStats counts answers by kind and keeps their latencies.
type latencyStats struct {
	settled, deferred, failed int
	latencies                 []time.Duration
}

// add records one answer; a status of 0 stands for a transport error.
func (s *latencyStats) add(status int, latency time.Duration) {
	switch status {
	case http.StatusOK:
		s.settled++
	case http.StatusServiceUnavailable:
		s.deferred++
	default:
		s.failed++
	}
	s.latencies = append(s.latencies, latency)
}

// total returns the number of all answers.
func (s *latencyStats) total() int { return s.settled + s.deferred + s.failed }

// quantile returns the latency within which the given fraction was answered, rounded to 0.1 ms.
func (s *latencyStats) quantile(fraction float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// fakeUpstream is a simulated upstream. It answers after a random latency, or hangs while it fails.
type fakeUpstream struct {
	name           string
	address        string
	server         *http.Server
	typicalLatency time.Duration
	received       atomic.Int64
	hanging        atomic.Bool
}

// ServeHTTP implements http.Handler.
func (upstream *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if upstream.hanging.Load() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/ping" {
		return
	}
	upstream.received.Add(1)
	// The latency is mostly near the typical one and sometimes several times as long.
	latency := time.Duration((0.5 + rand.ExpFloat64()/2) * float64(upstream.typicalLatency))
	select {
	case <-time.After(latency):
		fmt.Fprintf(w, "%s from %s\n", r.URL.Path, upstream.name)
	case <-r.Context().Done():
	}
}

// newFakeUpstream starts an upstream on a free loopback port.
func newFakeUpstream(name string, typicalLatency time.Duration) (*fakeUpstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	upstream := &fakeUpstream{name: name, address: listener.Addr().String(), typicalLatency: typicalLatency}
	upstream.server = &http.Server{Handler: upstream, ErrorLog: logs.NewLineLogger(slog.New(slog.DiscardHandler), "")}
	go upstream.server.Serve(listener)
	return upstream, nil
}

// configuration returns the balancer's configuration in the format of a configuration file.
func configuration(listen string, pools []*servicePool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"demo\"\n[listeners.public]\naddress = %q\n", listen)
	b.WriteString("[tariffs.page]\nrepeat = \"repeatable\"\ncontract_time = \"400ms\"\nhard_stop = \"1s\"\n")
	for _, pool := range pools {
		fmt.Fprintf(&b, "[pools.%s]\ndefault_tariff = \"page\"\n", pool.name)
		for _, upstream := range pool.upstreams {
			fmt.Fprintf(&b, "[[pools.%s.upstreams]]\nname = %q\naddress = %q\n", pool.name, upstream.name, upstream.address)
		}
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [%q]\npool = %q\n", pool.name, pool.host, pool.name)
	}
	return b.String()
}

// Run runs the demo for the given time. It writes its status to w, as a display that is redrawn in place if live, else as
// plain lines.
func Run(ctx context.Context, w io.Writer, length time.Duration, live bool) error {
	if length < 2*time.Second {
		return fmt.Errorf("demo duration %s is too short; the minimum is 2s", length)
	}
	pools := []*servicePool{
		{name: "album", host: "album.example.org", typicalLatency: 20 * time.Millisecond},
		{name: "opslag", host: "opslag.example.org", typicalLatency: 35 * time.Millisecond},
		{name: "www", host: "www.example.org", typicalLatency: 8 * time.Millisecond},
	}
	for _, pool := range pools {
		for n := range upstreamsPerPool {
			upstream, err := newFakeUpstream(fmt.Sprintf("%s-%d", pool.name, n+1), pool.typicalLatency)
			if err != nil {
				return err
			}
			defer upstream.server.Close()
			pool.upstreams = append(pool.upstreams, upstream)
		}
	}
	freePort, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listen := freePort.Addr().String()
	freePort.Close()
	config, faults := plan.Parse("demo.toml", []byte(configuration(listen, pools)),
		func(string) (string, bool) { return "", false })
	if config == nil {
		return faults[0]
	}
	log, level := logs.New(io.Discard, "text")
	balancer, err := process.Start(config, log, level)
	if err != nil {
		return err
	}
	defer balancer.Close()
	defer balancer.Drain()

	fmt.Fprintf(w, "Three pools of %d upstreams behind one balancer on %s, %d transactions a second to each pool, for %s.\n",
		upstreamsPerPool, listen, requestsPerSecond, length)
	failing := pools[0].upstreams[1]
	start := time.Now()
	failAt, recoverAt := length*3/10, length*6/10
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	defer client.CloseIdleConnections()
	var senders sync.WaitGroup
	for _, pool := range pools {
		senders.Go(func() { pool.sendRequests(ctx, client, listen, failing) })
	}
	refresh := time.NewTicker(refreshMillis * time.Millisecond)
	defer refresh.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-refresh.C:
		case <-ctx.Done():
		}
		now := time.Since(start)
		if hanging := now >= failAt && now < recoverAt; hanging != failing.hanging.Load() {
			failing.hanging.Store(hanging)
			if !live {
				fmt.Fprintf(w, "%5.1fs  %s %s\n", now.Seconds(), failing.name,
					map[bool]string{true: "stops answering", false: "answers again"}[hanging])
			}
		}
		if live || n%4 == 3 {
			writeStatus(w, pools, failing, now, live, n > 0)
		}
	}
	senders.Wait()
	failing.hanging.Store(false)
	writeSummary(w, pools, failing, recoverAt-failAt)
	return nil
}

// sendRequests sends requests at random times at the constant mean rate, independent of the answers to earlier ones.
func (pool *servicePool) sendRequests(ctx context.Context, client *http.Transport, listen string, failing *fakeUpstream) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(time.Duration(rand.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		requests.Go(func() {
			start := time.Now()
			request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/page/%d", listen, rand.IntN(1000)), nil)
			if err != nil {
				return
			}
			request.Host = pool.host
			status := 0
			if response, err := client.RoundTrip(request); err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				status = response.StatusCode
			}
			latency := time.Since(start)
			pool.mu.Lock()
			defer pool.mu.Unlock()
			pool.all.add(status, latency)
			pool.recent.add(status, latency)
			if failing.hanging.Load() {
				pool.duringFailure.add(status, latency)
			}
		})
	}
}

// writeStatus writes the results since the last status.
func writeStatus(w io.Writer, pools []*servicePool, failing *fakeUpstream, now time.Duration, live, redraw bool) {
	var b strings.Builder
	if live && redraw {
		fmt.Fprintf(&b, "\x1b[%dA", 2+len(pools)*(1+upstreamsPerPool)) // moves the cursor to the first line of the last status
	}
	line := func(format string, values ...any) {
		if live {
			b.WriteString("\x1b[K")
		}
		fmt.Fprintf(&b, format+"\n", values...)
	}
	if live {
		state := "all upstreams answer"
		if failing.hanging.Load() {
			state = failing.name + " does not answer"
		}
		line("%5.1fs  %s", now.Seconds(), state)
		line("%-12s %8s %9s %9s %9s %9s", "pool", "asked", "settled", "deferred", "median", "p99")
	}
	for _, pool := range pools {
		pool.mu.Lock()
		current := pool.recent
		pool.recent = latencyStats{}
		pool.mu.Unlock()
		if !live {
			line("%5.1fs  %-7s asked=%d settled=%d deferred=%d failed=%d median=%s p99=%s", now.Seconds(), pool.name,
				current.total(), current.settled, current.deferred, current.failed, current.quantile(0.5), current.quantile(0.99))
			continue
		}
		line("%-12s %8d %9d %9d %9s %9s", pool.name, current.total(), current.settled, current.deferred,
			current.quantile(0.5), current.quantile(0.99))
		for _, upstream := range pool.upstreams {
			mark := ""
			if upstream.hanging.Load() {
				mark = "  not answering"
			}
			line("  %-10s %8d in total%s", upstream.name, upstream.received.Load(), mark)
		}
	}
	io.WriteString(w, b.String())
}

// writeSummary writes the results of the whole run in sentences.
func writeSummary(w io.Writer, pools []*servicePool, failing *fakeUpstream, outage time.Duration) {
	fmt.Fprintln(w)
	for _, pool := range pools {
		pool.mu.Lock()
		current := pool.all
		pool.mu.Unlock()
		fmt.Fprintf(w, "%s got %d requests: %d settled, %d deferred, %d failed; latency: median %s, 99th percentile %s.\n",
			pool.name, current.total(), current.settled, current.deferred, current.failed,
			current.quantile(0.5), current.quantile(0.99))
	}
	current := &pools[0].duringFailure
	if current.total() > 0 {
		fmt.Fprintf(w, "%s did not answer for %s. In that time its pool settled %.1f%% of %d requests, 99th percentile %s:\n"+
			"unanswered requests were hedged to another upstream, and the failing one was ejected until it answered again.\n",
			failing.name, outage.Round(100*time.Millisecond), 100*float64(current.settled)/float64(current.total()),
			current.total(), current.quantile(0.99))
	}
	fmt.Fprintln(w, "The other pools were not affected: each has its own list, health checks, limits and decision engine.")
}

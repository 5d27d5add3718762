package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// newQueueingUpstream starts an emulated upstream. Each of its cores processes one transaction at a time, and it rejects
// a transaction that finds too many waiting.
func newQueueingUpstream(b *testing.B, cores int, meanTime time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	busy, waiting := make(chan struct{}, cores), make(chan struct{}, 50)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ping" {
			return
		}
		select {
		case waiting <- struct{}{}:
			defer func() { <-waiting }()
		default:
			w.Header().Set("X-Turned-Away", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case busy <- struct{}{}:
			defer func() { <-busy }()
		case <-r.Context().Done():
			return
		}
		time.Sleep(meanTime/2 + time.Duration(rand.ExpFloat64()/2*float64(meanTime)))
		io.WriteString(w, "done")
	})}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// clientStats are the latencies of a pool's clients, each measured from when the request was due, and their answers by
// status.
type clientStats struct {
	mu           sync.Mutex
	latencies    []time.Duration
	statusCounts map[int]int
}

func (s *clientStats) quantile(part float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(part*float64(len(s.latencies)-1))]
}

// runOpenLoad sends requests to a host at a rate, independently of the answers (open loop).
func runOpenLoad(client *http.Transport, address, host string, rate float64, span time.Duration) *clientStats {
	s := &clientStats{statusCounts: map[int]int{}}
	var open sync.WaitGroup
	due, end := time.Now(), time.Now().Add(span)
	for {
		due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		time.Sleep(time.Until(due))
		at := due
		open.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/view", nil)
			r.Host = host
			status := 0
			if a, err := client.RoundTrip(r); err == nil {
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
				status = a.StatusCode
			}
			took := time.Since(at)
			s.mu.Lock()
			s.statusCounts[status]++
			s.latencies = append(s.latencies, took)
			s.mu.Unlock()
		})
	}
	open.Wait()
	return s
}

// BenchmarkFlood alternates between normal load on three pools and a flood at one of them, ten times its capacity. It
// prints how the flood changes the median and 99th percentile of the others. FLOOD is the length of a part, by default 30s.
//
//	go test ./cmd/ottershift -run xxx -bench Flood -benchtime 1x -timeout 20m
func BenchmarkFlood(b *testing.B) {
	span := 30 * time.Second
	if d, err := time.ParseDuration(os.Getenv("FLOOD")); err == nil {
		span = d
	}
	const upstreams, cores, meanTime, baseRate, floodRate = 3, 2, 15 * time.Millisecond, 100.0, 4000.0
	text := tariffs
	hosts := []string{"album.example.org", "opslag.example.org", "www.example.org"}
	for n, name := range []string{"album", "opslag", "www"} {
		var all []string
		for range upstreams {
			all = append(all, newQueueingUpstream(b, cores, meanTime))
		}
		text += poolText(name, "", all...) + fmt.Sprintf("[[routes]]\nhosts = [%q]\npool = %q\n", hosts[n], name)
	}
	balancer := startServe(b, text)
	clients := [3]*http.Transport{}
	for n := range clients {
		clients[n] = &http.Transport{MaxIdleConnsPerHost: 300, MaxConnsPerHost: 300}
		defer clients[n].CloseIdleConnections()
	}
	play := func(flooded bool) (all [3]*clientStats) {
		var parts sync.WaitGroup
		for n, host := range hosts {
			parts.Go(func() {
				rate := baseRate
				if n == 0 && flooded {
					rate = floodRate
				}
				all[n] = runOpenLoad(clients[n], balancer.address, host, rate, span)
			})
		}
		parts.Wait()
		return all
	}
	runOpenLoad(clients[0], balancer.address, hosts[0], baseRate, 3*time.Second)
	for range b.N {
		var medians, tails []float64
		for pair := range 4 {
			calm := play(false)
			flooded := play(true)
			for n := 1; n < 3; n++ {
				m := float64(flooded[n].quantile(0.5)) / float64(calm[n].quantile(0.5))
				p := float64(flooded[n].quantile(0.99)) / float64(calm[n].quantile(0.99))
				medians, tails = append(medians, m), append(tails, p)
				b.Logf("pair %d, %s: median %s calm, %s flooded (%.3f); 99 in 100 %s, %s (%.3f); answers %v, %v", pair, hosts[n],
					calm[n].quantile(0.5), flooded[n].quantile(0.5), m, calm[n].quantile(0.99), flooded[n].quantile(0.99), p,
					calm[n].statusCounts, flooded[n].statusCounts)
			}
			b.Logf("pair %d, the flooded pool: %v calm, %v flooded; half of all within %s", pair, calm[0].statusCounts, flooded[0].statusCounts,
				flooded[0].quantile(0.5))
		}
		slices.Sort(medians)
		slices.Sort(tails)
		b.ReportMetric(medians[len(medians)/2], "median-ratio")
		b.ReportMetric(tails[len(tails)/2], "p99-ratio")
	}
}

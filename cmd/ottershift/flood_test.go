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

// worker is a stand-in upstream of some cores, which work on one transaction each for some time; what finds too many
// waiting is turned away.
func worker(b *testing.B, cores int, usual time.Duration) string {
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
		time.Sleep(usual/2 + time.Duration(rand.ExpFloat64()/2*float64(usual)))
		io.WriteString(w, "done")
	})}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// seen is what a pool's clients saw: times from when each was due, and answers by status.
type seen struct {
	mu    sync.Mutex
	took  []time.Duration
	kinds map[int]int
}

func (s *seen) quantile(part float64) time.Duration {
	slices.Sort(s.took)
	return s.took[int(part*float64(len(s.took)-1))]
}

// openLoad asks a host at a rate, at times that don't hang on the answers.
func openLoad(client *http.Transport, address, host string, rate float64, span time.Duration) *seen {
	s := &seen{kinds: map[int]int{}}
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
			s.kinds[status]++
			s.took = append(s.took, took)
			s.mu.Unlock()
		})
	}
	open.Wait()
	return s
}

// BenchmarkFlood plays three pools with and without a flood at one of them, ten times what it can do, in turns, and
// prints what the flood does to the others' median and 99th percentile. FLOOD is the length of a part, else 30s.
//
//	go test ./cmd/ottershift -run xxx -bench Flood -benchtime 1x -timeout 20m
func BenchmarkFlood(b *testing.B) {
	span := 30 * time.Second
	if d, err := time.ParseDuration(os.Getenv("FLOOD")); err == nil {
		span = d
	}
	const upstreams, cores, usual, part, flood = 3, 2, 15 * time.Millisecond, 100.0, 4000.0
	text := tariffs
	hosts := []string{"album.example.org", "opslag.example.org", "www.example.org"}
	for n, name := range []string{"album", "opslag", "www"} {
		var all []string
		for range upstreams {
			all = append(all, worker(b, cores, usual))
		}
		text += poolText(name, "", all...) + fmt.Sprintf("[[routes]]\nhosts = [%q]\npool = %q\n", hosts[n], name)
	}
	balancer := serving(b, text)
	clients := [3]*http.Transport{}
	for n := range clients {
		clients[n] = &http.Transport{MaxIdleConnsPerHost: 300, MaxConnsPerHost: 300}
		defer clients[n].CloseIdleConnections()
	}
	play := func(flooded bool) (all [3]*seen) {
		var parts sync.WaitGroup
		for n, host := range hosts {
			parts.Go(func() {
				rate := part
				if n == 0 && flooded {
					rate = flood
				}
				all[n] = openLoad(clients[n], balancer.address, host, rate, span)
			})
		}
		parts.Wait()
		return all
	}
	openLoad(clients[0], balancer.address, hosts[0], part, 3*time.Second)
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
					calm[n].kinds, flooded[n].kinds)
			}
			b.Logf("pair %d, the flooded pool: %v calm, %v flooded; half of all within %s", pair, calm[0].kinds, flooded[0].kinds,
				flooded[0].quantile(0.5))
		}
		slices.Sort(medians)
		slices.Sort(tails)
		b.ReportMetric(medians[len(medians)/2], "median-ratio")
		b.ReportMetric(tails[len(tails)/2], "p99-ratio")
	}
}

package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/logic"
)

// startInstantUpstream starts an upstream that answers immediately, so that it adds no service time.
// It counts the received requests.
func startInstantUpstream(requests *atomic.Int64) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					requests.Add(1)
					text := "ok " + r.Header.Get("X-Txn") + " x\n"
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			}()
		}
	}()
	return l, nil
}

// experiment returns an experiment with one group of clients at a rate.
func experiment(rate float64, span time.Duration) *spec.Experiment {
	second := int64(time.Second)
	return &spec.Experiment{
		Seed: 1, Length: int64(span), Pools: []string{"p"},
		Tariffs: []*spec.Tariff{{Name: "view", Tariff: &logic.Tariff{Idempotency: logic.Idempotent, ContractTime: second, HardStop: 5 * second}}},
		Clients: []*spec.Clients{{Name: "c", Rate: rate, Shape: "poisson", Timeout: 5 * second, KeepsConnections: true}},
	}
}

// MaxCallRate returns the maximum closed-loop rate of the lab's clients, in calls per second.
func MaxCallRate(span time.Duration) (float64, error) {
	l, err := startInstantUpstream(new(atomic.Int64))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	best := 0.0
	for _, clients := range []int{runtime.GOMAXPROCS(0), 4 * runtime.GOMAXPROCS(0), 16 * runtime.GOMAXPROCS(0)} {
		gen := New(experiment(1, span), time.Now(), []string{l.Addr().String()})
		var made atomic.Int64
		var all sync.WaitGroup
		end := time.Now().Add(span / 3)
		for n := range clients {
			all.Go(func() {
				for i := uint64(0); time.Now().Before(end); i++ {
					if a, _ := gen.sendRequest(0, 0, 0, "", "", uint64(n)<<32+i, 5*time.Second, false, 0); a.Status == 200 {
						made.Add(1)
					}
				}
			})
		}
		all.Wait()
		gen.Gather(&record.Run{})
		best = max(best, float64(made.Load())/(span/3).Seconds())
	}
	return best, nil
}

// OwnLatency is the latency that the lab itself adds: measured without a balancer, against an upstream that answers
// immediately.
type OwnLatency struct {
	Rate          float64
	P50, P99, Max time.Duration
}

// MeasureOwnLatency generates an open load at a rate and measures the time from each call's due time to its answer.
func MeasureOwnLatency(rate float64, span time.Duration) (e OwnLatency, err error) {
	l, err := startInstantUpstream(new(atomic.Int64))
	if err != nil {
		return e, err
	}
	defer l.Close()
	exp := experiment(rate, span)
	gen, run := New(exp, time.Now(), []string{l.Addr().String()}), &record.Run{}
	gen.Run(context.Background(), exp.Load())
	gen.Gather(run)
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	for _, t := range run.Requests {
		if t.Status == 200 {
			histogram.RecordValue(max(1, t.Answered-t.Due))
		}
	}
	return OwnLatency{
		Rate: float64(histogram.TotalCount()) / span.Seconds(), P50: time.Duration(histogram.ValueAtQuantile(50)).Round(time.Microsecond),
		P99: time.Duration(histogram.ValueAtQuantile(99)).Round(time.Microsecond), Max: time.Duration(histogram.Max()).Round(time.Microsecond),
	}, nil
}

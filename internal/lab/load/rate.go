package load

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ottershift/internal/lab/record"
)

// Throughput is the measured throughput of a balancer.
type Throughput struct {
	Clients  int
	Rate     float64 // settled requests per second
	Failed   int     // requests with another answer or none
	P50, P99 time.Duration
	Attempts float64 // per transaction
	Memory   int64   // resident set size at the end, in bytes
}

// Rig is one balancer between upstreams that answer immediately and closed-loop clients.
type Rig struct {
	command   *exec.Cmd
	upstreams []net.Listener
	attempts  atomic.Int64
	log       *os.File
	target    string
}

const rigUpstreams = 8

// NewRig starts a balancer with a configuration in the platform's JSON format, which every build of it understands.
// Without a program, clients send directly to an upstream.
func NewRig(program, dir string, cores float64) (rig *Rig, err error) {
	rig = &Rig{}
	defer func() {
		if err != nil {
			rig.Close()
		}
	}()
	var entries []string
	for n := range rigUpstreams {
		listener, err := startInstantUpstream(&rig.attempts)
		if err != nil {
			return rig, err
		}
		rig.upstreams = append(rig.upstreams, listener)
		entries = append(entries, fmt.Sprintf(`{"name":"u%d","address":%q,"zone":"a","type":"m","group":1,"status":"SERVING","weight":1,"since_ms":0}`, n, listener.Addr()))
	}
	if program == "" {
		rig.target = rig.upstreams[0].Addr().String()
		return rig, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return rig, err
	}
	rig.target = listener.Addr().String()
	listener.Close()
	config := fmt.Sprintf(`{"name":"rig","listen":%q,"discovery":"127.0.0.1:1","seed":"8c","limits":{"cores":%g,"memory_mb":1024,"sockets":8192},
"known":{"index":1,"snapshot":true,"endpoints":[%s]},"settings":{"fleet_size":1,"self_index":0,"layer":0,"zone":"a","zones":["a"],
"registry_mode":"push","limits":{"cancelling":true,"max_pushes":4,"probes":true,"second_copies":true,"dial_timeout":500000,"idle_close":30000000},
"guarantees":{"cold_from":0.2,"ramp_time":9000000,"fall_multiple":3,"overload_for":1000000},
"tariffs":[{"name":"view","effect":"idempotent","contract_time":1000000,"hard_stop":2500000,"earnings":1,"late_earnings":0.5}]}}`,
		rig.target, cores, strings.Join(entries, ","))
	file := filepath.Join(dir, "rig.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return rig, err
	}
	if rig.log, err = os.Create(filepath.Join(dir, "rig.log")); err != nil {
		return rig, err
	}
	rig.command = exec.Command(program)
	rig.command.Env = append(os.Environ(), "PROXY_CONFIG="+file)
	rig.command.Stderr = rig.log
	if err := rig.command.Start(); err != nil {
		rig.command = nil
		return rig, err
	}
	for range 200 {
		if a, err := http.Get("http://" + rig.target + "/_health"); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return rig, nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return rig, fmt.Errorf("%s not ready after 200 health checks", program)
}

// Close stops the balancer and the upstreams.
func (rig *Rig) Close() {
	if rig.command != nil {
		rig.command.Process.Kill()
		rig.command.Wait()
	}
	for _, l := range rig.upstreams {
		l.Close()
	}
	if rig.log != nil {
		rig.log.Close()
	}
}

// RunClosedLoop runs a closed load for span: each client sends its next request when it has its
// answer. The first fifth is a warm-up and is not counted.
func (rig *Rig) RunClosedLoop(clients int, span time.Duration) Throughput {
	gen := New(experiment(1, span), time.Now(), []string{rig.target})
	defer gen.Gather(&record.Run{})
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	result, counted := Throughput{Clients: clients}, span*4/5
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	from, end := start.Add(span/5), start.Add(span)
	var before atomic.Int64
	time.AfterFunc(span/5, func() { before.Store(rig.attempts.Load()) })
	for n := range clients {
		all.Go(func() {
			var took []time.Duration
			other := 0
			for i := uint64(0); time.Now().Before(end); i++ {
				began := time.Now()
				a, _ := gen.sendRequest(0, 0, 0, "", "", uint64(n)<<32+i, 5*time.Second, false, 0)
				if began.Before(from) {
					continue
				}
				if a.Status == http.StatusOK {
					took = append(took, time.Since(began))
				} else {
					other++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			result.Failed += other
			for _, d := range took {
				histogram.RecordValue(max(1, d.Microseconds()))
			}
		})
	}
	all.Wait()
	attempts := rig.attempts.Load() - before.Load()
	result.Rate = float64(histogram.TotalCount()) / counted.Seconds()
	result.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	result.Attempts = float64(attempts) / float64(max(histogram.TotalCount()+int64(result.Failed), 1))
	if rig.command != nil {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", rig.command.Process.Pid))
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		fmt.Sscan(rest, &result.Memory)
		result.Memory <<= 10
	}
	return result
}

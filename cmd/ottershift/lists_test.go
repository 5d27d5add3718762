package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// trafficChecker continuously sends transactions of all three tariffs and checks the outcome of each: one answer before
// its hard stop, no once-only work executed twice, and an answer early enough for the client to retry.
type trafficChecker struct {
	t            *testing.T
	b            *balancer
	end          context.CancelFunc
	clients      sync.WaitGroup
	runs         sync.Map // executions by id
	mu           sync.Mutex
	statusCounts map[int]int // answers by status since the last takeCounts
	slowest      time.Duration
	failures     []string
}

func (f *trafficChecker) newUpstream() *upstream {
	return newUpstream(f.t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		n, _ := f.runs.LoadOrStore(r.Header.Get("X-Txn")+r.Header.Get("X-Lane"), new(atomic.Int32))
		if n.(*atomic.Int32).Add(1) > 1 && r.Header.Get("X-Lane") == "post" {
			f.addFailure("once-only work executed twice")
		}
		time.Sleep(2 * time.Millisecond)
		_, err := io.WriteString(c, okResponse)
		return err == nil
	})
}

func (f *trafficChecker) addFailure(text string) {
	f.mu.Lock()
	f.failures = append(f.failures, text)
	f.mu.Unlock()
}

// start starts six clients, each of which reopens its connection when it ends.
func (f *trafficChecker) start() {
	ctx, end := context.WithCancel(f.t.Context())
	f.end, f.statusCounts = end, map[int]int{}
	for n := range 6 {
		f.clients.Add(1)
		go func() {
			defer f.clients.Done()
			var c net.Conn
			var in *bufio.Reader
			for ctx.Err() == nil {
				time.Sleep(4 * time.Millisecond)
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", f.b.address); err != nil {
						c = nil // the balancer is restarting
						continue
					}
					in = bufio.NewReader(c)
				}
				start := time.Now()
				status, header, _, err := roundTripOn(c, in, requestText([]string{"view", "post", "load"}[n%3], 1, "Content-Length: 0\r\n\r\n"))
				took := time.Since(start)
				f.mu.Lock()
				if f.statusCounts[status]++; status != 0 {
					f.slowest = max(f.slowest, took)
				}
				f.mu.Unlock()
				if err != nil || header.Get("Connection") == "close" {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
}

// takeCounts returns the answers by status since its last call and resets the counts.
func (f *trafficChecker) takeCounts() map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := f.statusCounts
	f.statusCounts = map[int]int{}
	return by
}

// waitSettled waits until all transactions succeed again.
func (f *trafficChecker) waitSettled(when string) {
	f.t.Helper()
	for range 60 {
		f.takeCounts()
		time.Sleep(100 * time.Millisecond)
		if by := f.takeCounts(); by[200] > 20 && len(by) == 1 {
			return
		}
	}
	f.t.Errorf("%s: transactions still fail, last answers %v\n%s", when, f.takeCounts(), f.b.log)
}

func (f *trafficChecker) finish() {
	f.t.Helper()
	f.end()
	f.clients.Wait()
	for _, fault := range f.failures {
		f.t.Error(fault)
	}
	if f.slowest > 1500*time.Millisecond {
		f.t.Errorf("slowest answer took %v", f.slowest)
	}
}

// Discovery lists may be empty, flap, revert to an older version, repeat an entry, name one machine twice or hold invalid
// entries. Transactions go to the upstreams that the list provides and are deferred immediately if there are none. A
// restart in between loses no answered transaction.
func TestMalformedLists(t *testing.T) {
	f := &trafficChecker{t: t}
	u, v := f.newUpstream(), f.newUpstream()
	r := newRegistry(t)
	f.b = start(t, r, 1024, strings.NewReplacer(`"layer":1`, `"layer":0`).Replace(platformSettings), u, v)
	w := r.next(t)
	a, z := entry("u0", u.Addr().String(), "SERVING"), entry("u1", v.Addr().String(), "SERVING")
	f.start()
	f.waitSettled("initial list")

	w.send(discoveryReport(50, true))
	time.Sleep(100 * time.Millisecond)
	arrived := u.requests.Load() + v.requests.Load()
	f.takeCounts()
	time.Sleep(300 * time.Millisecond)
	if by := f.takeCounts(); by[503] < 20 || len(by) != 1 || u.requests.Load()+v.requests.Load() > arrived {
		t.Errorf("empty list: answers %v, %d attempts", by, u.requests.Load()+v.requests.Load()-arrived)
	}
	w.send(discoveryReport(12, true, a, z)) // an older version, then the current one
	f.waitSettled("an older list")
	for n := range 40 { // flaps
		w.send(discoveryReport(51+n, n%2 == 0, []string{a, z, strings.Replace(a, "SERVING", "DRAINING", 1)}[n%3]))
		time.Sleep(5 * time.Millisecond)
	}
	w.send(discoveryReport(100, true, a, a, z, a, z))
	f.waitSettled("entries that repeat")
	twice := discoveryReport(101, true, a, z, entry("u9", u.Addr().String(), "SERVING"), entry("", u.Addr().String(), "SERVING"), `{"name":"n"}`, `7`)
	for range 5 {
		w.send(twice)
	}
	f.waitSettled("one machine under two names")
	for _, odd := range []string{"step=odd entries=3", "odd=1"} {
		if n := strings.Count(f.b.log.String(), odd); n != 1 {
			t.Errorf("%q logged %d times", odd, n)
		}
	}
	f.b.command.Process.Signal(syscall.SIGTERM)
	<-f.b.exit
	f.b.launch(t)
	f.b.waitReady(t)
	r.next(t).send(discoveryReport(101, true, a, z))
	f.waitSettled("after a restart")
	f.finish()
}

// Discovery may accept and never answer, be overloaded, break each watch after a line, or be gone. The last list stays in
// use, and discovery is queried no more than a few times a second.
func TestDiscoveryFailures(t *testing.T) {
	f := &trafficChecker{t: t}
	u, v := f.newUpstream(), f.newUpstream()
	var asked, mode atomic.Int32 // 0 breaks after a line, 1 answers 503, 2 never answers
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Add(1)
		switch mode.Load() {
		case 0:
			fmt.Fprintln(w, discoveryReport(41, true, entry("u0", u.Addr().String(), "SERVING"), entry("u1", v.Addr().String(), "SERVING")))
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			<-q.Context().Done()
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	f.b = start(t, &registry{Listener: l}, 1024, strings.Replace(platformSettings, `"layer":1`, `"layer":0`, 1), u, v)
	f.start()
	f.waitSettled("initial list")
	for _, what := range []string{"breaks after a line", "503", "says nothing"} {
		before := asked.Load()
		time.Sleep(1500 * time.Millisecond)
		if n := asked.Load() - before; n > 10 || n == 0 && what != "says nothing" {
			t.Errorf("%s: queried %d times in 1.5 s", what, n)
		}
		if by := f.takeCounts(); by[200] < 100 || len(by) != 1 {
			t.Errorf("%s: answers %v", what, by)
		}
		mode.Add(1)
	}
	s.Close()
	f.waitSettled("discovery is gone")
	f.finish()
}

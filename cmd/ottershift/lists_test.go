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

// flow keeps sending transactions of all three kinds, and checks what becomes of each: one answer before its hard stop,
// no effect twice, nothing held back until a client can't come again.
type flow struct {
	t     *testing.T
	b     *balancer
	end   context.CancelFunc
	work  sync.WaitGroup
	runs  sync.Map // by id: how often it ran
	mu    sync.Mutex
	by    map[int]int // answers by status since the last look
	slow  time.Duration
	fault []string
}

func (f *flow) upstream() *upstream {
	return newUpstream(f.t, func(_ int32, r *http.Request, _ []byte, c net.Conn) bool {
		n, _ := f.runs.LoadOrStore(r.Header.Get("X-Txn")+r.Header.Get("X-Lane"), new(atomic.Int32))
		if n.(*atomic.Int32).Add(1) > 1 && r.Header.Get("X-Lane") == "post" {
			f.note("once-only work ran twice")
		}
		time.Sleep(2 * time.Millisecond)
		_, err := io.WriteString(c, fine)
		return err == nil
	})
}

func (f *flow) note(text string) {
	f.mu.Lock()
	f.fault = append(f.fault, text)
	f.mu.Unlock()
}

// begin starts six clients, each with a connection that it opens anew when it ends.
func (f *flow) begin() {
	ctx, end := context.WithCancel(f.t.Context())
	f.end, f.by = end, map[int]int{}
	for n := range 6 {
		f.work.Add(1)
		go func() {
			defer f.work.Done()
			var c net.Conn
			var in *bufio.Reader
			for ctx.Err() == nil {
				time.Sleep(4 * time.Millisecond)
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", f.b.address); err != nil {
						c = nil // it restarts
						continue
					}
					in = bufio.NewReader(c)
				}
				start := time.Now()
				status, header, _, err := on(c, in, message([]string{"view", "post", "load"}[n%3], 1, "Content-Length: 0\r\n\r\n"))
				took := time.Since(start)
				f.mu.Lock()
				if f.by[status]++; status != 0 {
					f.slow = max(f.slow, took)
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

// look takes what has been answered by status.
func (f *flow) look() map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := f.by
	f.by = map[int]int{}
	return by
}

// settles waits until all that is asked is settled again.
func (f *flow) settles(when string) {
	f.t.Helper()
	for range 60 {
		f.look()
		time.Sleep(100 * time.Millisecond)
		if by := f.look(); by[200] > 20 && len(by) == 1 {
			return
		}
	}
	f.t.Errorf("%s: not settled again, last %v\n%s", when, f.look(), f.b.log)
}

func (f *flow) over() {
	f.t.Helper()
	f.end()
	f.work.Wait()
	for _, fault := range f.fault {
		f.t.Error(fault)
	}
	if f.slow > 1500*time.Millisecond {
		f.t.Errorf("an answer after %v", f.slow)
	}
}

// Lists that are empty, flap, go back, repeat an entry, name one machine twice or nothing that makes sense: what there is to
// send to is sent to, what there isn't is deferred at once, and a restart in the middle loses nothing that was answered.
func TestListsThatMakeNoSense(t *testing.T) {
	f := &flow{t: t}
	u, v := f.upstream(), f.upstream()
	r := newRegistry(t)
	f.b = start(t, r, 1024, strings.NewReplacer(`"layer":1`, `"layer":0`).Replace(settings), u, v)
	w := r.next(t)
	a, z := entry("u0", u.Addr().String(), "SERVING"), entry("u1", v.Addr().String(), "SERVING")
	f.begin()
	f.settles("at first")

	w.say(report(50, true))
	time.Sleep(100 * time.Millisecond)
	arrived := u.arrived.Load() + v.arrived.Load()
	f.look()
	time.Sleep(300 * time.Millisecond)
	if by := f.look(); by[503] < 20 || len(by) != 1 || u.arrived.Load()+v.arrived.Load() > arrived {
		t.Errorf("empty list: answers %v, %d pushes", by, u.arrived.Load()+v.arrived.Load()-arrived)
	}
	w.say(report(12, true, a, z)) // an older version, and back
	f.settles("an older list")
	for n := range 40 { // flaps
		w.say(report(51+n, n%2 == 0, []string{a, z, strings.Replace(a, "SERVING", "DRAINING", 1)}[n%3]))
		time.Sleep(5 * time.Millisecond)
	}
	w.say(report(100, true, a, a, z, a, z))
	f.settles("entries that repeat")
	twice := report(101, true, a, z, entry("u9", u.Addr().String(), "SERVING"), entry("", u.Addr().String(), "SERVING"), `{"name":"n"}`, `7`)
	for range 5 {
		w.say(twice)
	}
	f.settles("one machine under two names")
	for _, odd := range []string{"step=odd entries=3", "odd=1"} {
		if n := strings.Count(f.b.log.String(), odd); n != 1 {
			t.Errorf("%q told %d times", odd, n)
		}
	}
	f.b.command.Process.Signal(syscall.SIGTERM)
	<-f.b.exit
	f.b.launch(t)
	f.b.await(t)
	r.next(t).say(report(101, true, a, z))
	f.settles("after a restart")
	f.over()
}

// Discovery that accepts and says nothing, is overloaded, breaks each watch after a line, or is gone: the list in hand
// stays in use, and it is asked no more than a few times a second.
func TestDiscoveryInTrouble(t *testing.T) {
	f := &flow{t: t}
	u, v := f.upstream(), f.upstream()
	var asked, mode atomic.Int32 // 0 breaks after a line, 1 answers 503, 2 says nothing
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Add(1)
		switch mode.Load() {
		case 0:
			fmt.Fprintln(w, report(41, true, entry("u0", u.Addr().String(), "SERVING"), entry("u1", v.Addr().String(), "SERVING")))
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			<-q.Context().Done()
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	f.b = start(t, &registry{Listener: l}, 1024, strings.Replace(settings, `"layer":1`, `"layer":0`, 1), u, v)
	f.begin()
	f.settles("at first")
	for _, what := range []string{"breaks after a line", "503", "says nothing"} {
		before := asked.Load()
		time.Sleep(1500 * time.Millisecond)
		if n := asked.Load() - before; n > 10 || n == 0 && what != "says nothing" {
			t.Errorf("%s: asked %d times in 1.5 s", what, n)
		}
		if by := f.look(); by[200] < 100 || len(by) != 1 {
			t.Errorf("%s: answers %v", what, by)
		}
		mode.Add(1)
	}
	s.Close()
	f.settles("discovery is gone")
	f.over()
}

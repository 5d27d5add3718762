// Package stand has stand-ins of ours for what the mesh meets outside: upstreams that check in and work, and settings for
// whole meshes on loopback. Tests, the demo and meshsim's runs use them.
package testmesh

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/settings"
)

// Fault is what an upstream does wrong with one answer.
type Fault uint8

// The faults.
const (
	Sound     Fault = iota
	OtherID         // an answer to another request comes before its own
	Extra           // a second answer behind it
	CutShort        // it breaks off in the middle of its body
	Unstamped       // it has no postmark
	Reset           // the connection is broken after the work
	Full            // it has no room: not delivered
	Error           // it fails, 500
	Elsewhere       // another is meant: 421, not delivered
)

// App is an upstream.
type Upstream struct {
	ID, Service string
	Capacity    int
	Work        time.Duration
	Size        int // bytes of an answer

	server  *http.Server
	address string
	control string
	number  atomic.Int64
	closing atomic.Bool
	end     chan struct{}
	once    sync.Once

	mu     sync.Mutex
	runs   map[string]int    // by attempt
	seen   map[string]string // headers of the last request
	faults []Fault           // of the next answers
}

// NewApp serves at an address and checks in at the balancer beside it.
func NewUpstream(id, service, address, control string, capacity int, work time.Duration, size int) (*Upstream, error) {
	a := &Upstream{ID: id, Service: service, Capacity: capacity, Work: work, Size: size, address: address, control: control,
		end: make(chan struct{}), runs: map[string]int{}, seen: map[string]string{}}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(l)
	go a.beat()
	return a, nil
}

// Next has the next answers go wrong.
func (a *Upstream) Next(f ...Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = append(a.faults, f...)
}

// Runs is how often an attempt ran.
func (a *Upstream) Runs(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// All is how often each attempt ran.
func (a *Upstream) All() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.runs)
}

// Total is how many requests ran.
func (a *Upstream) Total() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range a.runs {
		n += k
	}
	return n
}

// Saw is a header of the last request.
func (a *Upstream) Saw(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[name]
}

// Close says that it is closing, and reports whether that was acknowledged.
func (a *Upstream) Close() bool {
	a.closing.Store(true)
	return a.checkIn()
}

// Stop ends it without a word.
func (a *Upstream) Stop() {
	a.once.Do(func() { close(a.end) })
	a.server.Close()
}

func (a *Upstream) beat() {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		a.checkIn()
		select {
		case <-t.C:
		case <-a.end:
			return
		}
	}
}

var calls = http.Client{Timeout: time.Second}

func (a *Upstream) checkIn() bool {
	condition := "accepting"
	if a.closing.Load() {
		condition = "closing"
	}
	body, _ := json.Marshal(map[string]any{
		"Address": a.address, "Notice": map[string]any{"Destination": a.Service, "Edition": "v1", "District": "z", "Capacity": a.Capacity},
		"Status": map[string]any{"Condition": condition, "PostmarkNo": a.number.Add(1), "Cold_time": "0ms"},
	})
	w, err := calls.Post("http://"+a.control+"/-/rpc?call=servers.check_in&of="+a.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, w.Body)
	w.Body.Close()
	return w.StatusCode == http.StatusOK
}

func (a *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if to := r.Header.Get("X-Addressee"); to != "" && to != a.ID {
		w.Header().Set("X-Delivered-By", a.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	io.Copy(io.Discard, r.Body)
	a.mu.Lock()
	fault := Sound
	if len(a.faults) > 0 {
		fault, a.faults = a.faults[0], a.faults[1:]
	}
	if fault != Full && fault != Elsewhere {
		a.runs[id]++
	}
	for _, name := range []string{"X-Sender", "X-Return-Address", "X-Addressee", "X-Time-Left-Ms", "X-Key"} {
		a.seen[name] = r.Header.Get(name)
	}
	a.mu.Unlock()
	if fault == Elsewhere {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == Full {
		w.Header().Set("X-Not-Delivered", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.Work > 0 {
		select {
		case <-time.After(a.Work):
		case <-r.Context().Done():
			return
		}
	}
	body := strings.Repeat("x", a.Size)
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Postmark", "stamp-"+a.ID)
	whole := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: stamp\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	raw := func(text string, end bool) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		io.WriteString(c, text)
		if end {
			c.Close()
		}
	}
	switch fault {
	case OtherID:
		raw(whole("of-another")+whole(id), true)
	case Extra:
		raw(whole(id)+whole(id), false)
	case CutShort:
		raw(whole(id)[:len(whole(id))-len(body)/2-1], true)
	case Reset:
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	case Unstamped:
		h.Del("X-Postmark")
		io.WriteString(w, body)
	case Error:
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "failed")
	default:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		io.WriteString(w, body)
	}
}

// Ports that are free at this moment on an address.
func ports(host string, n int) (all []int, err error) {
	for range n {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		all = append(all, l.Addr().(*net.TCPAddr).Port)
	}
	return all, nil
}

// Mesh is the settings of a whole mesh on loopback: each machine has an address of its own, and all use the same ports.
type Mesh struct {
	Controllers, Proxies []*settings.Settings
}

var nextNet atomic.Int32

// Plan lays a mesh out: so many controllers and proxies, zones and services by turns.
func Plan(combs, foragers int, zones, services []string, dir string) (*Mesh, error) {
	third := int(nextNet.Add(1)) + 20
	host := func(n int) string { return fmt.Sprintf("127.77.%d.%d", third, n+1) }
	p, err := ports(host(0), 6)
	if err != nil {
		return nil, err
	}
	at := func(n, port int) string { return host(n) + ":" + strconv.Itoa(p[port]) }
	var seeds []string
	for n := range min(combs, 3) {
		seeds = append(seeds, at(n, 0))
	}
	m := &Mesh{}
	base := func(n int) *settings.Settings {
		b := settings.Default()
		b.Ip, b.District, b.Seeds, b.InnerFirst, b.InnerLast = host(n), zones[n%len(zones)], seeds, p[1], p[1]
		b.FirstStart, b.Tolerate.Machines, b.Control = true, 1, at(n, 0)
		for _, z := range zones {
			b.Districts[z] = "p"
		}
		return b
	}
	for n := range combs {
		b := base(n)
		b.Node, b.DataDir = fmt.Sprintf("controller-%d", n), fmt.Sprintf("%s/controller-%d", dir, n)
		m.Controllers = append(m.Controllers, b)
	}
	for n := range foragers {
		b := base(combs + n)
		b.Node, b.Destination = fmt.Sprintf("proxy-%d", n), services[n%len(services)]
		b.Inbound, b.Outbound, b.Ready, b.App = at(combs+n, 2), at(combs+n, 3), at(combs+n, 4), at(combs+n, 5)
		m.Proxies = append(m.Proxies, b)
	}
	return m, nil
}

// Pending is how many faults are still to come, and Drop takes one of them back.
func (a *Upstream) Pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.faults)
}

// Drop takes back the next fault.
func (a *Upstream) Drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.faults) > 0 {
		a.faults = a.faults[1:]
	}
}

// Ran is an upstream that serves nobody and has run so many of each attempt, for those who test a judge.
func Ran(runs map[string]int) *Upstream { return &Upstream{runs: maps.Clone(runs)} }

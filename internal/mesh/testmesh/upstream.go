// Package testmesh has stand-ins for what the mesh meets outside: upstreams that check in and work, partners, faulty links and
// disks, and settings for whole meshes on loopback. Tests, the demo and meshsim's runs use them.
package testmesh

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is an application that checks in at the balancer beside it, runs requests and, where a test says so, answers wrongly.
type Upstream struct {
	ID, Service  string
	Capacity     int
	ResponseSize int // bytes of an answer

	workNanoseconds atomic.Int64 // nanoseconds for a request
	server          *http.Server
	address         string
	controlAddress  string
	heartbeatSeq    atomic.Int64
	draining        atomic.Bool
	stop            chan struct{}
	stopOnce        sync.Once

	mu          sync.Mutex
	sizes       map[string]int    // bytes of an answer by path prefix, where they differ from Size
	runs        map[string]int    // by attempt
	lastHeaders map[string]string // headers of the last request
	injections  []Injection       // of the next requests
	faultsMet   map[string]Fault  // the last fault that each attempt met
	hijacked    map[net.Conn]bool // connections that are served without the HTTP server
	connections int
}

// NewUpstream serves at an address and checks in at the balancer beside it.
func NewUpstream(id, service, address, controlAddress string, capacity int, work time.Duration, size int) (*Upstream, error) {
	u := &Upstream{
		ID:             id,
		Service:        service,
		Capacity:       capacity,
		ResponseSize:   size,
		address:        address,
		controlAddress: controlAddress,
		stop:           make(chan struct{}),
		sizes:          map[string]int{},
		runs:           map[string]int{},
		lastHeaders:    map[string]string{},
		faultsMet:      map[string]Fault{},
		hijacked:       map[net.Conn]bool{},
	}
	u.SetWork(work)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: u.countConnections}
	go u.server.Serve(listener)
	go u.sendHeartbeats()
	return u, nil
}

// NewUpstreamWithRuns is an upstream that serves nobody and has run so many of each attempt, for those who test a judge.
func NewUpstreamWithRuns(runs map[string]int) *Upstream { return &Upstream{runs: maps.Clone(runs)} }

// SetWork sets how long a request takes from now on.
func (u *Upstream) SetWork(work time.Duration) { u.workNanoseconds.Store(int64(work)) }

func (u *Upstream) workTime() time.Duration { return time.Duration(u.workNanoseconds.Load()) }

// SetSize sets the size of answers to paths with a prefix.
func (u *Upstream) SetSize(prefix string, size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sizes[prefix] = size
}

// Runs is how often an attempt ran.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// RunsByAttempt is how often each attempt ran.
func (u *Upstream) RunsByAttempt() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// TotalRuns is how many requests ran.
func (u *Upstream) TotalRuns() (total int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, runs := range u.runs {
		total += runs
	}
	return total
}

// LastHeader is a header of the last request.
func (u *Upstream) LastHeader(name string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastHeaders[name]
}

// Connections is how many connections have been opened to it.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections
}

// Drain says that it is closing, and reports whether that was acknowledged.
func (u *Upstream) Drain() bool {
	u.draining.Store(true)
	return u.sendHeartbeat()
}

// Stop ends it without a word.
func (u *Upstream) Stop() {
	u.stopOnce.Do(func() { close(u.stop) })
	u.server.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.hijacked {
		conn.Close()
	}
}

func (u *Upstream) countConnections(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connections++
}

func (u *Upstream) sendHeartbeats() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		u.sendHeartbeat()
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

var heartbeatClient = http.Client{Timeout: time.Second}

func (u *Upstream) sendHeartbeat() bool {
	state := "accepting"
	if u.draining.Load() {
		state = "closing"
	}
	body, _ := json.Marshal(map[string]any{
		"Address": u.address, "Notice": map[string]any{"Destination": u.Service, "Edition": "v1", "District": "z", "Capacity": u.Capacity},
		"Status": map[string]any{"Condition": state, "PostmarkNo": u.heartbeatSeq.Add(1), "Cold_time": "0ms"},
	})
	response, err := heartbeatClient.Post("http://"+u.controlAddress+"/-/rpc?call=servers.check_in&of="+u.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve is one request as the HTTP server hands it on. A faulty answer is written to the bare connection, which is served
// without the HTTP server from then on.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if u.isMisdirected(r) {
		w.Header().Set("X-Delivered-By", u.ID)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	injection := u.nextInjection(r)
	if !injection.Fault.early() {
		io.Copy(io.Discard, r.Body)
	}
	if injection.Fault != NoFault {
		u.serveRaw(w, r, injection)
		return
	}
	u.recordRun(r)
	if work := u.workTime(); work > 0 {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
	}
	u.responseTo(r).writeTo(w)
}

func (u *Upstream) serveRaw(w http.ResponseWriter, r *http.Request, injection Injection) {
	hijacked, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	conn := &rawConnection{TCPConn: hijacked.(*net.TCPConn), reader: buffered.Reader}
	u.mu.Lock()
	u.hijacked[hijacked] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.hijacked, hijacked)
		hijacked.Close()
	}()
	for u.serveFault(conn, r, injection) {
		if r, err = http.ReadRequest(conn.reader); err != nil {
			return
		}
		if u.isMisdirected(r) {
			return
		}
		if injection = u.nextInjection(r); !injection.Fault.early() {
			io.Copy(io.Discard, r.Body)
		}
	}
}

func (u *Upstream) serveFault(conn *rawConnection, r *http.Request, injection Injection) (keepOpen bool) {
	script := &scripts[injection.Fault]
	if script.delayed {
		time.Sleep(injection.Delay)
	}
	if script.runs {
		u.recordRun(r)
		time.Sleep(u.workTime())
	}
	return script.respond(&exchange{rawConnection: conn, request: r, response: u.responseTo(r), delay: injection.Delay})
}

func (u *Upstream) isMisdirected(r *http.Request) bool {
	upstreamID := r.Header.Get("X-Addressee")
	return upstreamID != "" && upstreamID != u.ID
}

// nextInjection takes the fault that a request is to meet.
func (u *Upstream) nextInjection(r *http.Request) (injection Injection) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.injections) > 0 {
		injection, u.injections = u.injections[0], u.injections[1:]
		u.faultsMet[r.Header.Get("X-Attempt-Id")] = injection.Fault
	}
	for _, name := range []string{"X-Sender", "X-Return-Address", "X-Addressee", "X-Time-Left-Ms", "X-Key", "Content-Length"} {
		u.lastHeaders[name] = r.Header.Get(name)
	}
	return injection
}

func (u *Upstream) recordRun(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Header.Get("X-Attempt-Id")]++
}

// responseTo is the whole and right answer to a request.
func (u *Upstream) responseTo(r *http.Request) upstreamResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	size := u.ResponseSize
	for prefix, n := range u.sizes {
		if strings.HasPrefix(r.URL.Path, prefix) {
			size = n
		}
	}
	return upstreamResponse{
		status:     http.StatusOK,
		id:         r.Header.Get("X-Attempt-Id"),
		stampValue: "stamp-" + u.ID,
		body:       strings.Repeat("x", size),
	}
}

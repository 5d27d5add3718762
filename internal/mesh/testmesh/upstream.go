// Package testmesh provides fakes of what a mesh works with (upstreams, partners, operators), faulty links and disks,
// and settings for whole meshes on loopback. Tests, the demo and meshsim use them.
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

// Upstream is an application that sends heartbeats to the proxy beside it and runs requests. Tests can inject faults
// into its responses.
type Upstream struct {
	ID, Service  string
	Capacity     int
	ResponseSize int // bytes of a response body

	workNanoseconds atomic.Int64 // duration of a request
	server          *http.Server
	address         string
	controlAddress  string
	heartbeatSeq    atomic.Int64
	draining        atomic.Bool
	paused          atomic.Bool                          // no heartbeats are sent by themselves
	heartbeatDelay  atomic.Pointer[func() time.Duration] // nil if heartbeats are sent when they are due
	stop            chan struct{}
	stopOnce        sync.Once

	mu          sync.Mutex
	sizes       map[string]int       // response sizes by path prefix, where they differ from ResponseSize
	runs        map[string]int       // by attempt ID
	lastRun     map[string]time.Time // when the last run of each attempt began, by attempt ID
	lastHeaders map[string]string    // headers of the last request
	injections  []Injection          // faults of the next requests
	faultsMet   map[string]Fault     // the last fault of each attempt, by attempt ID
	hijacked    map[net.Conn]bool    // connections that are taken over from the HTTP server
	connections int
}

// NewUpstream starts an upstream that serves at an address and sends heartbeats to the control address of the proxy
// beside it.
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
		lastRun:        map[string]time.Time{},
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

// NewUpstreamWithRuns returns an upstream that does not serve and has recorded the given runs, for tests of checkers.
func NewUpstreamWithRuns(runs map[string]int) *Upstream { return &Upstream{runs: maps.Clone(runs)} }

// SetWork sets how long each later request takes.
func (u *Upstream) SetWork(work time.Duration) { u.workNanoseconds.Store(int64(work)) }

func (u *Upstream) workTime() time.Duration { return time.Duration(u.workNanoseconds.Load()) }

// SetSize sets the response size in bytes for paths with a prefix.
func (u *Upstream) SetSize(prefix string, size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sizes[prefix] = size
}

// Runs returns how often an attempt ran.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// RunsByAttempt returns how often each attempt ran.
func (u *Upstream) RunsByAttempt() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// RunsAfter returns when runs began that began after a time, by attempt ID.
func (u *Upstream) RunsAfter(limit time.Time) map[string]time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	later := map[string]time.Time{}
	for id, began := range u.lastRun {
		if began.After(limit) {
			later[id] = began
		}
	}
	return later
}

// TotalRuns returns the number of runs of all attempts.
func (u *Upstream) TotalRuns() (total int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, runs := range u.runs {
		total += runs
	}
	return total
}

// LastHeader returns a header of the last request.
func (u *Upstream) LastHeader(name string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastHeaders[name]
}

// Connections returns the number of connections that were opened to the upstream.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connections
}

// Drain announces that the upstream is closing, and reports whether the proxy acknowledged it.
func (u *Upstream) Drain() bool {
	u.draining.Store(true)
	return u.sendHeartbeat()
}

// SignOff announces that the upstream ends, and reports whether the proxy acknowledged it. The upstream goes on serving
// and sends no more heartbeats.
func (u *Upstream) SignOff() bool {
	u.PauseHeartbeats()
	return u.callProxy("servers.sign_off", nil)
}

// PauseHeartbeats ends the heartbeats that the upstream sends by itself.
func (u *Upstream) PauseHeartbeats() { u.paused.Store(true) }

// DelayHeartbeats makes each heartbeat arrive some time after it was due, also after the upstream has ended. delay is
// called for each of them, from one goroutine.
func (u *Upstream) DelayHeartbeats(delay func() time.Duration) { u.heartbeatDelay.Store(&delay) }

// LateHeartbeat returns a function that sends a heartbeat as it is due now, and reports whether the proxy acknowledged
// it.
func (u *Upstream) LateHeartbeat() (send func() bool) {
	body := u.heartbeatBody()
	return func() bool { return u.callProxy("servers.check_in", body) }
}

// Stop stops the upstream without announcing it.
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

const heartbeatInterval = 100 * time.Millisecond

func (u *Upstream) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		delay := u.heartbeatDelay.Load()
		switch {
		case u.paused.Load():
		case delay == nil:
			u.sendHeartbeat()
		default:
			send := u.LateHeartbeat()
			time.AfterFunc((*delay)(), func() { send() })
		}
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

var heartbeatClient = http.Client{Timeout: time.Second}

func (u *Upstream) sendHeartbeat() bool { return u.callProxy("servers.check_in", u.heartbeatBody()) }

// heartbeatBody returns the body of the next heartbeat.
func (u *Upstream) heartbeatBody() []byte {
	state := "accepting"
	if u.draining.Load() {
		state = "closing"
	}
	body, _ := json.Marshal(map[string]any{
		"Address": u.address, "Notice": map[string]any{"Destination": u.Service, "Edition": "v1", "District": "z", "Capacity": u.Capacity},
		"Status": map[string]any{"Condition": state, "PostmarkNo": u.heartbeatSeq.Add(1), "Cold_time": "0ms"},
	})
	return body
}

// callProxy calls the proxy beside the upstream and reports whether the proxy acknowledged the call.
func (u *Upstream) callProxy(call string, body []byte) bool {
	response, err := heartbeatClient.Post("http://"+u.controlAddress+"/-/rpc?call="+call+"&of="+u.ID, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve handles a request from the HTTP server. For a faulty response it takes the connection over from the HTTP server
// and serves all its later requests itself.
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

// nextInjection takes the next fault from the queue and records the headers of the request.
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
	id := r.Header.Get("X-Attempt-Id")
	u.runs[id]++
	u.lastRun[id] = time.Now()
}

// responseTo returns the complete, correct response to a request.
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
		status: http.StatusOK,
		id:     r.Header.Get("X-Attempt-Id"),
		stamp:  "stamp-" + u.ID,
		body:   strings.Repeat("x", size),
	}
}

// Package emulate emulates upstreams and discovery on loopback sockets, hundreds in one process. Package work models
// service times; emulated work uses no CPU.
package emulate

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/internal/lab/work"
	"ottershift/logic"
)

// Fleet is the set of upstreams of a run.
type Fleet struct {
	experiment *spec.Experiment
	epoch      atomic.Pointer[time.Time]
	tariffs    map[string]*spec.Tariff
	Upstreams  []*Upstream
	// Call sends a transaction to the next tier.
	Call func(ctx context.Context, from *spec.Group, root uint64, left time.Duration) bool

	mu        sync.Mutex // guards keyedRuns
	keyedRuns map[string]*keyedRun
}

// keyedRun is the first run of a keyed transaction within its deduplication scope.
type keyedRun struct {
	startedAt int64
	ended     chan struct{}
}

// Upstream is one emulated upstream.
type Upstream struct {
	spec.Upstream
	Index   int
	Address string
	fleet   *Fleet

	mu            sync.Mutex
	server        *work.Server
	timer         *time.Timer
	nextEventAt   int64
	http          *http.Server
	conns         map[net.Conn]struct{}
	arrived       []record.Arrival
	coldOverloads []record.ColdOverload
	lag           []int64
	ticks         int
	rng           *rand.Rand
	incarnation   int
	faultShares   map[string]float64 // fraction of requests affected, by kind of fault
	down          bool
	acceptBlocked atomic.Bool
}

// NewFleet starts all upstreams of an experiment. Its clock starts now; Begin restarts it.
func NewFleet(e *spec.Experiment) (*Fleet, error) {
	fleet := &Fleet{experiment: e, tariffs: map[string]*spec.Tariff{}, keyedRuns: map[string]*keyedRun{}}
	fleet.Begin(time.Now())
	for _, t := range e.Tariffs {
		fleet.tariffs[t.Name] = t
	}
	for i, up := range e.Upstreams {
		u := &Upstream{
			Upstream: up, Index: i, fleet: fleet, server: work.New(up.Group.ServerConfig, 0), rng: rand.New(rand.NewPCG(e.Seed, uint64(i))),
			faultShares: map[string]float64{}, nextEventAt: math.MaxInt64,
		}
		u.timer = time.AfterFunc(time.Hour, u.tick)
		fleet.Upstreams = append(fleet.Upstreams, u)
		if err := u.open("127.0.0.1:0"); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

// Begin sets the start of the run. No upstream may have work at that time.
func (fleet *Fleet) Begin(epoch time.Time) { fleet.epoch.Store(&epoch) }

// Now returns the time since the start of the run, in nanoseconds.
func (fleet *Fleet) Now() int64 { return int64(time.Since(*fleet.epoch.Load())) }

// Close stops all upstreams.
func (fleet *Fleet) Close() {
	for _, u := range fleet.Upstreams {
		u.Kill()
		u.timer.Stop()
	}
}

// Gather adds the observations of the upstreams to a record.
func (fleet *Fleet) Gather(r *record.Run) {
	for _, u := range fleet.Upstreams {
		u.mu.Lock()
		r.Arrived = append(r.Arrived, u.arrived...)
		r.ColdOverloads = append(r.ColdOverloads, u.coldOverloads...)
		r.Lag = append(r.Lag, u.lag...)
		u.mu.Unlock()
	}
}

// listener delays accepted connections while the fault "deaf" lasts.
type listener struct {
	net.Listener
	upstream *Upstream
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err == nil && l.upstream.acceptBlocked.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return c, err
}

func (up *Upstream) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: up, ErrorLog: log.New(io.Discard, "", 0)}
	conns := map[net.Conn]struct{}{}
	s.ConnState = func(c net.Conn, now http.ConnState) {
		up.mu.Lock()
		defer up.mu.Unlock()
		if now == http.StateNew {
			conns[c] = struct{}{}
		} else if now == http.StateClosed || now == http.StateHijacked {
			delete(conns, c)
		}
	}
	up.mu.Lock()
	up.Address, up.http, up.conns, up.down = l.Addr().String(), s, conns, false
	up.mu.Unlock()
	go s.Serve(listener{l, up})
	return nil
}

// Kill kills the upstream: its connections are reset and its work is lost.
func (up *Upstream) Kill() {
	up.mu.Lock()
	s, conns := up.http, up.conns
	up.down = true
	for _, j := range up.server.Stop(up.fleet.Now()) {
		j.Tag.(*attemptState).finish(false)
	}
	var all []net.Conn
	for c := range conns {
		all = append(all, c)
	}
	up.mu.Unlock()
	for _, c := range all {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.Close()
}

// Restart starts the upstream again, cold and at its old address. With renamed, it gets a new name.
func (up *Upstream) Restart(renamed bool) {
	up.mu.Lock()
	address := up.Address
	if renamed {
		up.incarnation++
	}
	up.server.Start(up.fleet.Now())
	up.mu.Unlock()
	for range 50 {
		if up.open(address) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond) // the old listener may still be closing
	}
}

// Name returns the name in discovery, which differs between incarnations.
func (up *Upstream) Name() string {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.incarnation == 0 {
		return up.Upstream.Name
	}
	return fmt.Sprintf("%s.%d", up.Upstream.Name, up.incarnation+1)
}

// SetFault applies a kind of fault to a fraction of requests; 0 ends it.
func (up *Upstream) SetFault(kind string, share float64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.faultShares[kind] = share; share == 0 {
		delete(up.faultShares, kind)
	}
	if kind == "deaf" {
		up.acceptBlocked.Store(share > 0)
	}
}

// ApplySlowdown sets a slowdown factor and the number of cores left.
func (up *Upstream) ApplySlowdown(slow float64, cores int) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.advance()
	up.server.ApplyFault(slow, cores)
	up.scheduleTick()
}

// attemptState is the state of one attempt at an upstream.
type attemptState struct {
	ended     chan struct{}
	completed bool
	effectAt  int64
}

func (state *attemptState) finish(done bool) {
	state.completed = done
	close(state.ended)
}

// advance moves the model to the current time and returns that time.
func (up *Upstream) advance() int64 {
	now := up.fleet.Now()
	for _, j := range up.server.Advance(now) {
		state := j.Tag.(*attemptState)
		state.effectAt = now
		state.finish(true)
	}
	return now
}

// scheduleTick sets the timer to the next event of the model.
func (up *Upstream) scheduleTick() {
	if up.nextEventAt = up.server.Next(); up.nextEventAt != math.MaxInt64 {
		up.timer.Reset(time.Duration(max(0, up.nextEventAt-up.fleet.Now())))
	}
}

func (up *Upstream) tick() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.nextEventAt == math.MaxInt64 {
		return
	}
	due := up.nextEventAt
	now := up.advance()
	if up.ticks++; up.ticks%16 == 0 && now >= due {
		up.lag = append(up.lag, now-due)
	}
	up.scheduleTick()
}

// drawFault returns the fault that affects the next request, drawn at random; "" for none.
func (up *Upstream) drawFault() string {
	for _, kind := range []string{"hang", "reset", "garbage", "half", "fail", "full"} {
		if share := up.faultShares[kind]; share > 0 && (share >= 1 || up.rng.Float64() < share) {
			return kind
		}
	}
	return ""
}

// ServeHTTP serves one attempt, or a health check at /ping.
func (up *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/ping" {
		up.mu.Lock()
		kind := up.drawFault()
		up.mu.Unlock()
		switch kind {
		case "":
		case "hang":
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	tariff := up.fleet.tariffs[name]
	id := r.Header.Get("X-Txn")
	root, _ := strconv.ParseUint(r.URL.Query().Get("root"), 16, 64)
	if tariff == nil || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	state := &attemptState{ended: make(chan struct{})}
	up.mu.Lock()
	now := up.advance()
	arrival := record.Arrival{ID: id, Root: root, Upstream: up.Index, At: now, Cold: up.server.WarmupFactor(now) < 1}
	index := len(up.arrived)
	kind := up.drawFault()
	var first, own *keyedRun
	if kind == "" && tariff.Idempotency == logic.Keyed { // requests hit by a fault do not register their key
		first, own = up.fleet.registerKey(up, tariff, r.Header.Get("Idempotency-Key"), now)
	}
	job := &work.Job{Tag: state, Work: tariff.Work(up.fleet.experiment.Seed, root, up.Upstream.Name, index)}
	if kind == "full" {
		kind, arrival.Rejected = "", true
	}
	switch {
	case arrival.Rejected:
	case kind != "":
		arrival.Executed = kind != "fail"
	case first != nil:
		arrival.Deduplicated = true
	default:
		before := up.server.MaxColdOverload
		if arrival.Executed = up.server.Arrive(job, now); !arrival.Executed {
			arrival.Rejected = true
		}
		if up.server.MaxColdOverload > before && before == 0 {
			up.coldOverloads = append(up.coldOverloads, record.ColdOverload{Upstream: up.Index, At: now, Multiple: up.server.MaxColdOverload})
		}
	}
	up.arrived = append(up.arrived, arrival)
	up.scheduleTick()
	up.mu.Unlock()

	switch {
	case kind != "":
		up.serveFault(w, r, kind)
		return
	case arrival.Rejected:
		up.fleet.finishKey(own, false)
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case arrival.Deduplicated:
		select {
		case <-first.ended:
		case <-r.Context().Done():
			return
		}
	default:
		select {
		case <-state.ended:
		case <-r.Context().Done():
			up.mu.Lock()
			up.advance()
			up.server.Cancel(job)
			up.scheduleTick()
			up.mu.Unlock()
			select {
			case <-state.ended: // completed before the cancellation
			default:
			}
		}
		up.mu.Lock()
		up.arrived[index].Effect = state.effectAt
		up.mu.Unlock()
		up.fleet.finishKey(own, state.effectAt != 0)
		if !state.completed {
			// The work is lost. A handler that returns without writing sends status 200, so abort the connection.
			panic(http.ErrAbortHandler)
		}
	}
	if up.Group.Calls != nil && !up.callNextTier(r, root) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "ok %s %s\n", id, up.Upstream.Name)
}

// callNextTier sends the calls of a transaction to the next tier and reports whether all succeeded.
func (up *Upstream) callNextTier(r *http.Request, root uint64) bool {
	left, err := strconv.ParseFloat(r.Header.Get("X-Remaining"), 64)
	if err != nil {
		left = 1
	}
	end := time.Now().Add(time.Duration(left * float64(time.Second)))
	c := up.Group.Calls
	up.mu.Lock()
	n := c.Least + up.rng.IntN(c.Most-c.Least+1)
	up.mu.Unlock()
	for range n {
		if !up.fleet.Call(r.Context(), up.Group, root, time.Until(end)) {
			return false
		}
	}
	return true
}

// serveFault sends the response that a fault produces.
func (up *Upstream) serveFault(w http.ResponseWriter, r *http.Request, kind string) {
	if kind == "hang" {
		<-r.Context().Done()
		return
	}
	if kind == "fail" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	switch kind {
	case "reset":
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	case "garbage":
		io.WriteString(c, "\x16\x03\x01HTPP/7 ok\r\n\r\n\x00\x00")
	case "half":
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nok half")
	}
}

// registerKey registers the first run of a keyed transaction within its deduplication scope, or returns the one that
// is registered.
func (fleet *Fleet) registerKey(u *Upstream, t *spec.Tariff, key string, now int64) (first, mine *keyedRun) {
	scope := fmt.Sprintf("%s/%d", u.Group.Name, u.Cell)
	switch t.DedupScope {
	case logic.SameZone:
		scope = u.Group.Zone
	case logic.Everywhere:
		scope = ""
	}
	scope = t.Name + "\n" + scope + "\n" + key
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if e := fleet.keyedRuns[scope]; e != nil && now < e.startedAt+t.DedupWindow {
		return e, nil
	}
	e := &keyedRun{startedAt: now, ended: make(chan struct{})}
	fleet.keyedRuns[scope] = e
	return nil, e
}

// finishKey marks a first run as ended. If it had no effect, the key may run again.
func (fleet *Fleet) finishKey(e *keyedRun, done bool) {
	if e == nil {
		return
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !done {
		e.startedAt = math.MinInt64 / 2
	}
	close(e.ended)
}

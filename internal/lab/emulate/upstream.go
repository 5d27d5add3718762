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
	f := &Fleet{experiment: e, tariffs: map[string]*spec.Tariff{}, keyedRuns: map[string]*keyedRun{}}
	f.Begin(time.Now())
	for _, t := range e.Tariffs {
		f.tariffs[t.Name] = t
	}
	for i, up := range e.Upstreams {
		u := &Upstream{
			Upstream: up, Index: i, fleet: f, server: work.New(up.Group.Terms, 0), rng: rand.New(rand.NewPCG(e.Seed, uint64(i))),
			faultShares: map[string]float64{}, nextEventAt: math.MaxInt64,
		}
		u.timer = time.AfterFunc(time.Hour, u.tick)
		f.Upstreams = append(f.Upstreams, u)
		if err := u.open("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Begin sets the start of the run. No upstream may have work at that time.
func (f *Fleet) Begin(epoch time.Time) { f.epoch.Store(&epoch) }

// Now returns the time since the start of the run, in nanoseconds.
func (f *Fleet) Now() int64 { return int64(time.Since(*f.epoch.Load())) }

// Close stops all upstreams.
func (f *Fleet) Close() {
	for _, u := range f.Upstreams {
		u.Kill()
		u.timer.Stop()
	}
}

// Gather adds the observations of the upstreams to a record.
func (f *Fleet) Gather(r *record.Run) {
	for _, u := range f.Upstreams {
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

func (u *Upstream) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: u, ErrorLog: log.New(io.Discard, "", 0)}
	conns := map[net.Conn]struct{}{}
	s.ConnState = func(c net.Conn, now http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		if now == http.StateNew {
			conns[c] = struct{}{}
		} else if now == http.StateClosed || now == http.StateHijacked {
			delete(conns, c)
		}
	}
	u.mu.Lock()
	u.Address, u.http, u.conns, u.down = l.Addr().String(), s, conns, false
	u.mu.Unlock()
	go s.Serve(listener{l, u})
	return nil
}

// Kill kills the upstream: its connections are reset and its work is lost.
func (u *Upstream) Kill() {
	u.mu.Lock()
	s, conns := u.http, u.conns
	u.down = true
	for _, j := range u.server.Stop(u.fleet.Now()) {
		j.Tag.(*attempt).finish(false)
	}
	var all []net.Conn
	for c := range conns {
		all = append(all, c)
	}
	u.mu.Unlock()
	for _, c := range all {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	s.Close()
}

// Restart starts the upstream again, cold and at its old address. With renamed, it gets a new name.
func (u *Upstream) Restart(renamed bool) {
	u.mu.Lock()
	address := u.Address
	if renamed {
		u.incarnation++
	}
	u.server.Start(u.fleet.Now())
	u.mu.Unlock()
	for range 50 {
		if u.open(address) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond) // the old listener may still be closing
	}
}

// Name returns the name in discovery, which differs between incarnations.
func (u *Upstream) Name() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.incarnation == 0 {
		return u.Upstream.Name
	}
	return fmt.Sprintf("%s.%d", u.Upstream.Name, u.incarnation+1)
}

// SetFault applies a kind of fault to a fraction of requests; 0 ends it.
func (u *Upstream) SetFault(kind string, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faultShares[kind] = share; share == 0 {
		delete(u.faultShares, kind)
	}
	if kind == "deaf" {
		u.acceptBlocked.Store(share > 0)
	}
}

// ApplySlowdown sets a slowdown factor and the number of cores left.
func (u *Upstream) ApplySlowdown(slow float64, cores int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.advance()
	u.server.ApplyFault(slow, cores)
	u.scheduleTick()
}

// attempt is the state of one attempt at an upstream.
type attempt struct {
	ended     chan struct{}
	completed bool
	effectAt  int64
}

func (a *attempt) finish(done bool) {
	a.completed = done
	close(a.ended)
}

// advance moves the model to the current time and returns that time.
func (u *Upstream) advance() int64 {
	now := u.fleet.Now()
	for _, j := range u.server.Advance(now) {
		v := j.Tag.(*attempt)
		v.effectAt = now
		v.finish(true)
	}
	return now
}

// scheduleTick sets the timer to the next event of the model.
func (u *Upstream) scheduleTick() {
	if u.nextEventAt = u.server.Next(); u.nextEventAt != math.MaxInt64 {
		u.timer.Reset(time.Duration(max(0, u.nextEventAt-u.fleet.Now())))
	}
}

func (u *Upstream) tick() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.nextEventAt == math.MaxInt64 {
		return
	}
	due := u.nextEventAt
	now := u.advance()
	if u.ticks++; u.ticks%16 == 0 && now >= due {
		u.lag = append(u.lag, now-due)
	}
	u.scheduleTick()
}

// drawFault returns the fault that affects the next request, drawn at random; "" for none.
func (u *Upstream) drawFault() string {
	for _, kind := range []string{"hang", "reset", "garbage", "half", "fail", "full"} {
		if share := u.faultShares[kind]; share > 0 && (share >= 1 || u.rng.Float64() < share) {
			return kind
		}
	}
	return ""
}

// ServeHTTP serves one attempt, or a health check at /ping.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/ping" {
		u.mu.Lock()
		kind := u.drawFault()
		u.mu.Unlock()
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
	tariff := u.fleet.tariffs[name]
	id := r.Header.Get("X-Txn")
	root, _ := strconv.ParseUint(r.URL.Query().Get("root"), 16, 64)
	if tariff == nil || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v := &attempt{ended: make(chan struct{})}
	u.mu.Lock()
	now := u.advance()
	a := record.Arrival{ID: id, Root: root, Upstream: u.Index, At: now, Cold: u.server.WarmupFactor(now) < 1}
	place := len(u.arrived)
	kind := u.drawFault()
	var first, mine *keyedRun
	if kind == "" && tariff.Idempotency == logic.Keyed { // requests hit by a fault do not register their key
		first, mine = u.fleet.registerKey(u, tariff, r.Header.Get("Idempotency-Key"), now)
	}
	j := &work.Job{Tag: v, Work: tariff.Work(u.fleet.experiment.Seed, root, u.Upstream.Name, place)}
	if kind == "full" {
		kind, a.Rejected = "", true
	}
	switch {
	case a.Rejected:
	case kind != "":
		a.Executed = kind != "fail"
	case first != nil:
		a.Deduplicated = true
	default:
		before := u.server.MaxColdOverload
		if a.Executed = u.server.Arrive(j, now); !a.Executed {
			a.Rejected = true
		}
		if u.server.MaxColdOverload > before && before == 0 {
			u.coldOverloads = append(u.coldOverloads, record.ColdOverload{Upstream: u.Index, At: now, Multiple: u.server.MaxColdOverload})
		}
	}
	u.arrived = append(u.arrived, a)
	u.scheduleTick()
	u.mu.Unlock()

	switch {
	case kind != "":
		u.serveFault(w, r, kind)
		return
	case a.Rejected:
		u.fleet.finishKey(mine, false)
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case a.Deduplicated:
		select {
		case <-first.ended:
		case <-r.Context().Done():
			return
		}
	default:
		select {
		case <-v.ended:
		case <-r.Context().Done():
			u.mu.Lock()
			u.advance()
			u.server.Cancel(j)
			u.scheduleTick()
			u.mu.Unlock()
			select {
			case <-v.ended: // completed before the cancellation
			default:
			}
		}
		u.mu.Lock()
		u.arrived[place].Effect = v.effectAt
		u.mu.Unlock()
		u.fleet.finishKey(mine, v.effectAt != 0)
		if !v.completed {
			// The work is lost. A handler that returns without writing sends status 200, so abort the connection.
			panic(http.ErrAbortHandler)
		}
	}
	if u.Group.Calls != nil && !u.callNextTier(r, root) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "ok %s %s\n", id, u.Upstream.Name)
}

// callNextTier sends the calls of a transaction to the next tier and reports whether all succeeded.
func (u *Upstream) callNextTier(r *http.Request, root uint64) bool {
	left, err := strconv.ParseFloat(r.Header.Get("X-Remaining"), 64)
	if err != nil {
		left = 1
	}
	end := time.Now().Add(time.Duration(left * float64(time.Second)))
	c := u.Group.Calls
	u.mu.Lock()
	n := c.Least + u.rng.IntN(c.Most-c.Least+1)
	u.mu.Unlock()
	for range n {
		if !u.fleet.Call(r.Context(), u.Group, root, time.Until(end)) {
			return false
		}
	}
	return true
}

// serveFault sends the response that a fault produces.
func (u *Upstream) serveFault(w http.ResponseWriter, r *http.Request, kind string) {
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
func (f *Fleet) registerKey(u *Upstream, t *spec.Tariff, key string, now int64) (first, mine *keyedRun) {
	scope := fmt.Sprintf("%s/%d", u.Group.Name, u.Cell)
	switch t.DedupScope {
	case logic.SameZone:
		scope = u.Group.Zone
	case logic.Everywhere:
		scope = ""
	}
	scope = t.Name + "\n" + scope + "\n" + key
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.keyedRuns[scope]; e != nil && now < e.startedAt+t.DedupWindow {
		return e, nil
	}
	e := &keyedRun{startedAt: now, ended: make(chan struct{})}
	f.keyedRuns[scope] = e
	return nil, e
}

// finishKey marks a first run as ended. If it had no effect, the key may run again.
func (f *Fleet) finishKey(e *keyedRun, done bool) {
	if e == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !done {
		e.startedAt = math.MinInt64 / 2
	}
	close(e.ended)
}

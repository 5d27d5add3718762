// Package proxy is the data plane: a balancer beside an upstream. What starts on its machine goes out through it
// (outbound.go), by way of the balancer beside the upstream that the module chooses (push.go), and what is meant for the
// upstream on its machine comes in through it (inbound.go). view.go is what it goes by, watch.go how that comes from
// controllers, local_upstream.go its own upstream's life, connection.go the connections. It decides nothing about a request that
// the module decides.
package proxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/storage"
	"ottershift/internal/mesh/telemetry"
)

const (
	dialPeer = 300 * time.Millisecond
	dialApp  = 500 * time.Millisecond

	leaveStep  = 100 * time.Millisecond // between two looks at what is open once this process leaves
	leaveQuiet = 25                     // looks in a row that found nothing

	settle    = 400 * time.Millisecond // before Grace is over, by which all has to have its answer
	idleFirst = 15 * time.Second       // before a configuration says how long clients may be idle
)

// Proxy is one balancer.
type Proxy struct {
	settings            *settings.Settings
	log                 *slog.Logger
	counts              *telemetry.Counters
	caller              *rpc.Caller
	life                string
	epoch               time.Time
	local               *localUpstream
	upstreamConnections *connectionPool
	partnerConnections  *connectionPool // to partners' gateways
	pace                *pacer
	end                 chan struct{}

	view       atomic.Pointer[configurationView]
	leaving    atomic.Bool // not ready any more, serves what comes
	closed     atomic.Bool // serves what it has, and nothing new
	unpackable atomic.Bool // a packed configuration could not be read: from then on it is asked for as it is
	open       atomic.Int64
	membersNow atomic.Int64
	requests   *atomic.Int64
	inbounds   *atomic.Int64
	zones      []string

	wallet  wallet
	keys    keyTrust
	credit  credit
	exports exportPolicies

	mu          sync.Mutex // never taken under a module's lock
	pools       map[string]*pool
	rules       map[string][]*routing.Route
	nodes       map[string]*knownNode
	controllers []membership.ControllerAddress
	seeds       []string
	position    membership.Position
	fetch       configurationFetch
	late        lateList
	overlaid    bool // nodes hold some that the controller of position never told of
	members     int
	warms       time.Time // when the next upstream is warm
	ranked      [2]int

	withoutResponseAge, withoutOverlay bool // guards left out, by tests
	wrapListener                       WrapListener

	clients clients
}

// Option changes how a proxy is made.
type Option func(*options)

type options struct {
	wrapTransport rpc.WrapTransport
	wrapListener  WrapListener
}

// WrapListener puts something between a proxy and the connections that it accepts; nil for nothing. Tests inject faults with it.
type WrapListener func(net.Listener) net.Listener

// WithListener puts something between a proxy and the connections of its clients and of other balancers.
func WithListener(wrap WrapListener) Option {
	return func(o *options) { o.wrapListener = wrap }
}

// WithTransport puts something between a proxy and its connections to controllers.
func WithTransport(wrap rpc.WrapTransport) Option {
	return func(o *options) { o.wrapTransport = wrap }
}

// New makes a balancer; it serves nobody yet.
func New(b *settings.Settings, log *slog.Logger, with ...Option) *Proxy {
	var chosen options
	for _, option := range with {
		option(&chosen)
	}
	f := &Proxy{
		settings: b, log: log, counts: telemetry.NewCounters(), caller: rpc.NewCaller(chosen.wrapTransport), life: storage.NewIdentity(), epoch: time.Now(),
		local: newLocalUpstream(b.Bounds.Drain, b.App), end: make(chan struct{}), wrapListener: chosen.wrapListener,
		pools: map[string]*pool{}, nodes: map[string]*knownNode{}, members: 1, fetch: configurationFetch{begin: make(chan struct{}, 1)},
	}
	if b.Bounds.RevokedEverywhere {
		f.keys.bound = b.Bounds.Revoke
	}
	f.pace = newPacer(b.LineMbps)
	f.upstreamConnections = newConnectionPool(dialApp, f.counts, "app")
	f.partnerConnections = newConnectionPool(dialApp, f.counts, "outside")
	f.newExportPolicies()
	f.requests, f.inbounds = f.counts.Of("requests"), f.counts.Of("inbound")
	f.wallet = wallet{is: ratelimit.NewWallet(0), need: make(chan struct{}, 1), drawn: make(chan struct{})}
	f.credit.wallet, f.credit.need = burstcredit.NewWallet(b.Node, f.life), make(chan struct{}, 1)
	f.seeds = inner(b)
	for zone := range b.Districts {
		f.zones = append(f.zones, zone)
	}
	slices.Sort(f.zones)
	f.clients.all = map[net.Conn]*client{}
	return f
}

func inner(b *settings.Settings) (all []string) {
	for _, at := range b.Seeds {
		all = append(all, settings.InnerOf(settings.Host(at), b.InnerFirst))
	}
	return all
}

// Reseed takes other seeds, as the settings name them now.
func (f *Proxy) Reseed(b *settings.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = inner(b)
}

func (f *Proxy) now() int64 { return int64(time.Since(f.epoch)) }

// Run serves until the context ends, and then until what is under way has ended or Grace is nearly over.
func (f *Proxy) Run(ctx context.Context) error {
	quiet := slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)
	out := &http.Server{Handler: f.noteUnanswered(f.serveOutbound), ReadHeaderTimeout: 15 * time.Second, MaxHeaderBytes: 64 << 10,
		ErrorLog: quiet, ConnState: f.clients.state, ConnContext: withConn, DisableGeneralOptionsHandler: true}
	in := &http.Server{Handler: f.noteUnanswered(f.serveInbound), MaxHeaderBytes: 64 << 10, ErrorLog: quiet,
		ConnContext: withConn, DisableGeneralOptionsHandler: true}
	ready := &http.Server{Handler: http.HandlerFunc(f.ready), ErrorLog: quiet}
	control := &http.Server{Handler: http.HandlerFunc(f.control), ErrorLog: quiet}
	for _, s := range []struct {
		server  *http.Server
		address string
	}{{out, f.settings.Outbound}, {in, f.settings.Inbound}, {ready, f.settings.Ready}, {control, f.settings.Control}} {
		l, err := net.Listen("tcp4", s.address)
		if err != nil {
			return err
		}
		if f.wrapListener != nil && (s.server == out || s.server == in) {
			l = f.wrapListener(l)
		}
		go s.server.Serve(l)
	}
	go f.counts.Say(f.log, 5*time.Second, f.end)
	asking, stop := context.WithCancel(context.Background())
	go f.watch(asking)
	go f.fetchConfigurations(asking)
	go f.draw(asking)
	go f.report(asking)
	go f.sweepConnections()
	<-ctx.Done()

	f.leaving.Store(true)
	f.local.wakeWatchers() // others hear of it at once
	f.log.Info("leaving", "open", f.open.Load())
	// Two answers to Ready in a row have to fail before nobody sends here any more, and where too few balancers are left
	// everybody goes on. So the first half of Grace serves all that comes, the second ends it and refuses what is new.
	began := time.Now()
	until := began.Add(f.settings.Bounds.Grace - settle)
	for quiet := 0; time.Now().Before(until); {
		time.Sleep(leaveStep)
		now := time.Now()
		if now.Sub(began) > f.settings.Bounds.Grace/2 {
			f.closed.Store(true)
		}
		if quiet++; f.open.Load() > 0 {
			quiet = 0
		}
		f.clients.sweep(now, true)
		if quiet >= leaveQuiet || f.closed.Load() && quiet >= 3 {
			break
		}
	}
	f.closed.Store(true)
	stop()
	close(f.end)
	last, done := context.WithDeadline(context.Background(), until.Add(settle/2))
	defer done()
	for _, s := range []*http.Server{out, in} {
		s.Shutdown(last)
	}
	f.log.Info("left", append([]any{"open", f.open.Load()}, f.counts.Changed()...)...)
	return nil
}

// ready answers the platform.
func (f *Proxy) ready(w http.ResponseWriter, _ *http.Request) {
	if f.view.Load() == nil || f.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tidy does what is due each second.
func (f *Proxy) sweepConnections() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			f.mu.Lock()
			for _, p := range f.pools {
				p.peers.sweep(now)
			}
			if !f.warms.IsZero() && now.After(f.warms) {
				f.relist()
			}
			f.mu.Unlock()
			f.upstreamConnections.sweep(now)
			f.partnerConnections.sweep(now)
			f.clients.sweep(now, false)
			f.local.checkHeartbeat(now, 4*f.settings.Beat)
		case <-f.end:
			return
		}
	}
}

// clients are the connections of those whose requests start here.
type clients struct {
	mu  sync.Mutex
	all map[net.Conn]*client
}

type client struct {
	idle       time.Time     // since when, zero while it has a request
	promise    time.Duration // that it has been told it may stay idle
	closedHere bool          // this process has closed it
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (c *clients) state(conn net.Conn, now http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now {
	case http.StateNew:
		c.all[conn] = &client{idle: time.Now(), promise: idleFirst}
	case http.StateActive:
		c.all[conn].idle = time.Time{}
	case http.StateIdle:
		c.all[conn].idle = time.Now()
	default:
		delete(c.all, conn)
	}
}

// promise tells a client how long its connection may be idle; it is held to, whatever a later configuration says.
func (f *Proxy) promise(w http.ResponseWriter, r *http.Request, idle time.Duration) {
	if idle <= 0 {
		idle = idleFirst
	}
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	f.clients.mu.Lock()
	if c := f.clients.all[conn]; c != nil {
		c.promise = idle
	}
	f.clients.mu.Unlock()
	if idle >= time.Second {
		w.Header()["Keep-Alive"] = []string{"timeout=" + strconv.Itoa(int(idle/time.Second))}
	}
}

// closedHere reports whether this process has closed the connection of a request.
func (c *clients) closedHere(r *http.Request) bool {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.all[conn]
	return known != nil && known.closedHere
}

// sweep closes connections that have been idle for longer than was promised, or for a moment once this process leaves.
func (c *clients) sweep(now time.Time, leaving bool) {
	var old []net.Conn
	c.mu.Lock()
	for conn, k := range c.all {
		if quiet := now.Sub(k.idle); !k.idle.IsZero() && (quiet > k.promise+time.Second || leaving && quiet > 500*time.Millisecond) {
			k.closedHere = true
			old = append(old, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// Package proxy is the data plane: a balancer beside an upstream. What starts on its machine goes out through it
// (outbound.go, answer.go), by way of the balancer beside the upstream that the module chooses (push.go), and what is meant for the
// upstream on its machine comes in through it (inbound.go). view.go is what it goes by, watch.go how that comes from
// controllers, local_upstream.go its own upstream's life, connection.go the connections. It decides nothing about a request that
// the module decides.
package proxy

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/httpserver"
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

	idleFirst = 15 * time.Second // before a configuration says how long clients may be idle
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
	ending              context.Context // ends once whatever is open has to have its answer
	endOpen             context.CancelFunc

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
	wrapListener                       httpserver.WrapListener
}

// Option changes how a proxy is made.
type Option func(*options)

type options struct {
	wrapTransport rpc.WrapTransport
	wrapListener  httpserver.WrapListener
}

// WithListener puts something between a proxy and the connections of its clients and of other balancers.
func WithListener(wrap httpserver.WrapListener) Option {
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
	p := &Proxy{
		settings: b, log: log, counts: telemetry.NewCounters(), caller: rpc.NewCaller(chosen.wrapTransport), life: storage.NewIdentity(), epoch: time.Now(),
		local: newLocalUpstream(b.Bounds.Drain, b.App), end: make(chan struct{}), wrapListener: chosen.wrapListener,
		pools: map[string]*pool{}, nodes: map[string]*knownNode{}, members: 1, fetch: configurationFetch{begin: make(chan struct{}, 1)},
	}
	if b.Bounds.RevokedEverywhere {
		p.keys.bound = b.Bounds.Revoke
	}
	p.ending, p.endOpen = context.WithCancel(context.Background())
	p.pace = newPacer(b.LineMbps)
	p.upstreamConnections = newConnectionPool(dialApp, p.counts, "app")
	p.partnerConnections = newConnectionPool(dialApp, p.counts, "outside")
	p.newExportPolicies()
	p.requests, p.inbounds = p.counts.Of("requests"), p.counts.Of("inbound")
	p.wallet = wallet{is: ratelimit.NewWallet(0), need: make(chan struct{}, 1), drawn: make(chan struct{})}
	p.credit.wallet, p.credit.need = burstcredit.NewWallet(b.Node, p.life), make(chan struct{}, 1)
	p.seeds = inner(b)
	for zone := range b.Districts {
		p.zones = append(p.zones, zone)
	}
	slices.Sort(p.zones)
	return p
}

func inner(b *settings.Settings) (all []string) {
	for _, at := range b.Seeds {
		all = append(all, settings.InnerOf(settings.Host(at), b.InnerFirst))
	}
	return all
}

// Reseed takes other seeds, as the settings name them now.
func (p *Proxy) Reseed(b *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = inner(b)
}

func (p *Proxy) now() int64 { return int64(time.Since(p.epoch)) }

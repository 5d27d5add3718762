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
	peerDialTimeout     = 300 * time.Millisecond
	upstreamDialTimeout = 500 * time.Millisecond

	defaultClientIdle = 15 * time.Second // before a configuration says how long clients may be idle
)

// Proxy is one balancer.
type Proxy struct {
	settings            *settings.Settings
	log                 *slog.Logger
	counters            *telemetry.Counters
	caller              *rpc.Caller
	instanceID          string
	epoch               time.Time
	local               *localUpstream
	upstreamConnections *connectionPool
	partnerConnections  *connectionPool // to partners' gateways
	pacer               *linePacer
	done                chan struct{}
	shutdownContext     context.Context // ends once whatever is open has to have its answer
	cancelOpen          context.CancelFunc

	view             atomic.Pointer[configurationView]
	draining         atomic.Bool // not ready any more, serves what comes
	refusing         atomic.Bool // serves what it has, and nothing new
	unpackFailed     atomic.Bool // a packed configuration could not be read: from then on it is asked for as it is
	openRequests     atomic.Int64
	lastMembers      atomic.Int64
	outboundRequests *atomic.Int64
	inboundRequests  *atomic.Int64
	zones            []string

	tokenCache    tokenCache
	keys          keyValidity
	burstCredit   burstCredit
	partnerPolicy partnerPolicyState

	mu            sync.Mutex // never taken under a module's lock
	pools         map[string]*servicePool
	routes        map[string][]*routing.Route
	nodes         map[string]*knownNode
	controllers   []membership.ControllerAddress
	seeds         []string
	position      membership.Position
	fetch         configurationFetch
	lateNodes     lateNodeList
	nodesOverlaid bool // nodes hold some that the controller of position never told of
	members       int
	nextWarmUp    time.Time // when the next upstream is warm
	lastRank      [2]int

	skipResponseAgeCheck, skipOverlay bool // guards left out, by tests
	wrapListener                      httpserver.WrapListener
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
func New(proxySettings *settings.Settings, log *slog.Logger, opts ...Option) *Proxy {
	var selected options
	for _, option := range opts {
		option(&selected)
	}
	p := &Proxy{
		settings: proxySettings, log: log, counters: telemetry.NewCounters(), caller: rpc.NewCaller(selected.wrapTransport), instanceID: storage.NewIdentity(), epoch: time.Now(),
		local: newLocalUpstream(proxySettings.Bounds.Drain, proxySettings.App), done: make(chan struct{}), wrapListener: selected.wrapListener,
		pools: map[string]*servicePool{}, nodes: map[string]*knownNode{}, members: 1, fetch: configurationFetch{trigger: make(chan struct{}, 1)},
	}
	if proxySettings.Bounds.RevokedEverywhere {
		p.keys.maxAge = proxySettings.Bounds.Revoke
	}
	p.shutdownContext, p.cancelOpen = context.WithCancel(context.Background())
	p.pacer = newLinePacer(proxySettings.LineMbps)
	p.upstreamConnections = newConnectionPool(upstreamDialTimeout, p.counters, "app")
	p.partnerConnections = newConnectionPool(upstreamDialTimeout, p.counters, "outside")
	p.initPartnerPolicy()
	p.outboundRequests, p.inboundRequests = p.counters.Of("requests"), p.counters.Of("inbound")
	p.tokenCache = tokenCache{quota: ratelimit.NewWallet(0), wake: make(chan struct{}, 1), drawDone: make(chan struct{})}
	p.burstCredit.tokenCache, p.burstCredit.wake = burstcredit.NewWallet(proxySettings.Node, p.instanceID), make(chan struct{}, 1)
	p.seeds = seedAddresses(proxySettings)
	for zone := range proxySettings.Districts {
		p.zones = append(p.zones, zone)
	}
	slices.Sort(p.zones)
	return p
}

func seedAddresses(proxySettings *settings.Settings) (addresses []string) {
	for _, seed := range proxySettings.Seeds {
		addresses = append(addresses, settings.InnerOf(settings.Host(seed), proxySettings.InnerFirst))
	}
	return addresses
}

// Reseed takes other seeds, as the settings name them now.
func (p *Proxy) Reseed(proxySettings *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seedAddresses(proxySettings)
}

func (p *Proxy) now() int64 { return int64(time.Since(p.epoch)) }

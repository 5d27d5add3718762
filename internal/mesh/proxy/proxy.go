// Package proxy is the data plane of the mesh: a sidecar proxy that runs beside an upstream. Requests that start on
// its machine leave through the outbound hop (outbound.go, request_result.go, attempt.go), and requests for the
// upstream on its machine arrive through the inbound hop (inbound.go). view.go holds the configuration in force,
// watch.go follows the controllers, local_upstream.go tracks the state of the upstream, and connection.go handles the
// connections. Package logic decides on upstreams, retries and hedges; this package carries the decisions out.
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
	peerDialTimeout     = 300 * time.Millisecond // dialing another proxy
	upstreamDialTimeout = 500 * time.Millisecond // dialing the local upstream or a partner's gateway

	defaultClientIdle = 15 * time.Second // idle limit of client connections until a configuration sets one
)

// Proxy is one sidecar proxy.
type Proxy struct {
	settings            *settings.Settings
	log                 *slog.Logger
	counters            *telemetry.Counters
	caller              *rpc.Client
	instanceID          string // identifies this process, which gets a new one at each start
	epoch               time.Time
	local               *localUpstream
	upstreamConnections *connectionPool
	partnerConnections  *connectionPool // to the gateways of partners
	pacer               *linePacer
	done                chan struct{}
	shutdownContext     context.Context // ends when open requests have to be answered at once
	cancelOpen          context.CancelFunc

	view             atomic.Pointer[configurationView]
	draining         atomic.Bool // not ready any more, but still accepts requests
	refusing         atomic.Bool // finishes open requests and refuses new ones
	unpackFailed     atomic.Bool // a packed configuration could not be read; plain ones are requested instead
	openRequests     atomic.Int64
	lastMembers      atomic.Int64 // the member count, readable without mu
	outboundRequests *atomic.Int64
	inboundRequests  *atomic.Int64
	zones            []string

	tokenCache    tokenCache
	keys          keyValidity
	burstCredit   burstCredit
	partnerPolicy partnerPolicyState

	mu            sync.Mutex // must not be taken while a load balancer's lock is held
	pools         map[string]*servicePool
	routes        map[string][]*routing.Route
	nodes         map[string]*knownNode
	controllers   []membership.ControllerAddress
	seeds         []string
	position      membership.Position
	fetch         configurationFetch
	lateNodes     lateNodeList
	nodesOverlaid bool // nodes contains some that the controller in position has not reported
	members       int
	nextWarmUp    time.Time // when the next cold upstream counts as warm
	lastRank      [2]int    // result of nodeRank that the load balancers were last configured with

	skipResponseAgeCheck, skipOverlay bool // disable these checks in tests
	wrapListener                      httpserver.WrapListener
}

// Option configures a Proxy at its creation.
type Option func(*options)

// options are the settings that an Option changes.
type options struct {
	wrapTransport rpc.WrapTransport
	wrapListener  httpserver.WrapListener
}

// WithListener wraps the listeners that accept connections from clients and other proxies.
func WithListener(wrap httpserver.WrapListener) Option {
	return func(o *options) { o.wrapListener = wrap }
}

// WithTransport wraps the transport of calls to controllers.
func WithTransport(wrap rpc.WrapTransport) Option {
	return func(o *options) { o.wrapTransport = wrap }
}

// New creates a proxy, which starts to serve with Run.
func New(proxySettings *settings.Settings, log *slog.Logger, opts ...Option) *Proxy {
	var selected options
	for _, option := range opts {
		option(&selected)
	}
	p := &Proxy{
		settings: proxySettings, log: log, counters: telemetry.NewCounters(),
		caller: rpc.NewClient(selected.wrapTransport), instanceID: storage.NewID(), epoch: time.Now(),
		local: newLocalUpstream(proxySettings.Bounds.Drain, proxySettings.UpstreamAddress), done: make(chan struct{}), wrapListener: selected.wrapListener,
		pools: map[string]*servicePool{}, nodes: map[string]*knownNode{}, members: 1,
		fetch: configurationFetch{trigger: make(chan struct{}, 1)},
	}
	if proxySettings.Bounds.RevokedEverywhere {
		p.keys.maxAge = proxySettings.Bounds.Revoke
	}
	p.shutdownContext, p.cancelOpen = context.WithCancel(context.Background())
	p.pacer = newLinePacer(proxySettings.LinkMbps)
	p.upstreamConnections = newConnectionPool(upstreamDialTimeout, p.counters, "app")
	p.partnerConnections = newConnectionPool(upstreamDialTimeout, p.counters, "outside")
	p.initPartnerPolicy()
	p.outboundRequests, p.inboundRequests = p.counters.Counter("requests"), p.counters.Counter("inbound")
	p.tokenCache = tokenCache{quota: ratelimit.NewWallet(0), wake: make(chan struct{}, 1), drawDone: make(chan struct{})}
	p.burstCredit.tokenCache, p.burstCredit.wake = burstcredit.NewWallet(proxySettings.Node, p.instanceID), make(chan struct{}, 1)
	p.seeds = seedAddresses(proxySettings)
	for zone := range proxySettings.RegionOfZone {
		p.zones = append(p.zones, zone)
	}
	slices.Sort(p.zones)
	return p
}

// seedAddresses returns the internal addresses of the seed controllers.
func seedAddresses(proxySettings *settings.Settings) (addresses []string) {
	for _, seed := range proxySettings.Seeds {
		addresses = append(addresses, settings.InternalAddressOf(settings.Host(seed), proxySettings.FirstInternalPort))
	}
	return addresses
}

// UpdateSeeds replaces the seed controllers with those of the given settings.
func (p *Proxy) UpdateSeeds(proxySettings *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seedAddresses(proxySettings)
}

// now returns the monotonic time since the proxy was created, in nanoseconds.
func (p *Proxy) now() int64 { return int64(time.Since(p.epoch)) }

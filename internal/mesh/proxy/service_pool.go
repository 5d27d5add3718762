package proxy

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/figures"
	"ottershift/internal/mesh/outlier"
	"ottershift/internal/mesh/priority"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

const (
	crossZonePrice     = 0.4 // cost of another zone: it gets a fifth of the selections
	longCrossZonePrice = 2.0 // the same for long responses: a twentieth, so that nearly all of them stay in their zone

	coldWeightShare = 0.5             // weight of a cold upstream, relative to its slots
	probeTimeout    = 2 * time.Second // for a probe of an ejected upstream

	freeRefusals = 2 // refusals by the proxies beside upstreams, in addition to the attempts of the route
)

// servicePool holds the upstreams of one service and the load balancer that selects among them.
type servicePool struct {
	name         string
	desk         *desk.Dispatcher
	counters     *figures.Pool
	book         *terms.Settings
	tariffOrder  []serviceLevel        // order of the service levels in book
	tariffs      map[serviceLevel]int  // index of each service level in book
	limitedTerms map[int]*logic.Config // the terms of book, by the maximum number of attempts
	peers        *connectionPool       // hosts are named by the pool's own roster

	mu     sync.Mutex
	budget *ratelimit.RetryBudget

	partners []string         // that the pool leads to, if it is not a service of this mesh
	routes   []*routing.Route // the routes of a pool that leads to partners
}

// recordFirst counts the first attempt of a request toward the retry budget.
func (p *servicePool) recordFirst(now int64, rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordFirstAttempt(now, rank)
}

// allowRetry takes a retry from the budget, if it allows one.
func (p *servicePool) allowRetry(now int64, members int, rank priority.Rank) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeExtraAttempt(now, members, rank)
}

// serviceLevel is the promise for the requests of a route. Routes with equal promises share one class in the load
// balancer.
type serviceLevel struct {
	repeats          bool
	target, deadline time.Duration
}

// serviceLevelOf returns the service level of a route.
func serviceLevelOf(route *routing.Route) serviceLevel {
	return serviceLevel{
		route.Class.IsRepeatable(), time.Duration(cmp.Or(route.TargetLatency, route.Forwarding.Deadline)),
		time.Duration(route.Forwarding.Deadline),
	}
}

// label returns the name of the service level in counters.
func (l serviceLevel) label() string {
	return fmt.Sprintf("repeats=%v target=%v deadline=%v", l.repeats, l.target, l.deadline)
}

// target returns the pool as a target of a route. It is not known if the load balancer has rejected the route's terms.
func (p *servicePool) target(route *routing.Route, share float64) (t target, known bool) {
	tariff, known := p.tariffs[serviceLevelOf(route)]
	if !known {
		return target{}, false
	}
	tries := route.Forwarding.MaxAttempts
	limitedTerms := p.limitedTerms[tries]
	if limitedTerms == nil {
		copied := *p.book.Engine
		copied.MaxAttempts = tries
		limitedTerms = &copied
		p.limitedTerms[tries] = limitedTerms
	}
	return target{p, share, limitedTerms, tariff}, true
}

// setBook replaces the terms of the load balancer.
func (p *servicePool) setBook(book *terms.Settings, tariffOrder []serviceLevel) {
	p.book, p.tariffOrder, p.tariffs, p.limitedTerms = book, tariffOrder,
		make(map[serviceLevel]int, len(tariffOrder)), map[int]*logic.Config{}
	for at, key := range tariffOrder {
		p.tariffs[key] = at
	}
}

// updateRoutes applies the routes of a service to its load balancer. One that rejects the new terms is replaced. The
// caller holds mu.
func (p *Proxy) updateRoutes(service string, newRoutes []*routing.Route) error {
	book, tariffOrder := p.bookFor(newRoutes)
	existing := p.pools[service]
	if existing != nil {
		if sameTerms(existing.book.Engine, book.Engine) && slices.Equal(existing.tariffOrder, tariffOrder) {
			return nil
		}
		err := existing.desk.Reconfigure(book)
		if err == nil {
			existing.setBook(book, tariffOrder)
			return nil
		}
		p.counters.Increment("modules_replaced")
		p.log.Error("retune", "service", service, "err", err)
	}
	bounds := &p.settings.Bounds
	created := &servicePool{name: service, counters: &figures.Pool{}, peers: newConnectionPool(peerDialTimeout, p.counters, "peer"),
		budget: ratelimit.NewRetryBudget(int64(bounds.RetryWindow), bounds.RetryRatio, bounds.RetrySlack)}
	created.setBook(book, tariffOrder)
	var err error
	if created.desk, err = desk.New(book, created.counters, p.log.With("service", service), desk.NewBalancer); err != nil {
		return err
	}
	if existing != nil {
		created.budget, created.partners, created.routes = existing.budget, existing.partners, existing.routes
	}
	p.pools[service] = created
	go p.runProbes(created)
	return nil
}

// sameTerms reports whether two sets of terms are equal apart from their classes. The load balancer stores what it
// learns in the classes, so they are not compared by value; the caller compares tariffOrder instead.
func sameTerms(a, b *logic.Config) bool {
	return a.Balancers == b.Balancers && a.Index == b.Index && a.MaxAttempts == b.MaxAttempts && a.CrossZonePrice == b.CrossZonePrice
}

// bookFor returns the terms of a service's load balancer: this proxy's rank among all proxies, and the service levels
// of the routes. The caller holds mu.
func (p *Proxy) bookFor(routes []*routing.Route) (book *terms.Settings, tariffOrder []serviceLevel) {
	balancers, ordinal := p.nodeRank()
	moduleTerms := &logic.Config{
		Seed: rand.Uint64(), FreeRefusals: freeRefusals, Balancers: balancers, Index: ordinal, Tier: 1,
		Hedging: true, Cancelling: true, Probing: true,
		AdviseBackoff: true, MaxBackoff: int64(250 * time.Millisecond), CrossZonePrice: crossZonePrice, MaxAttempts: 1,
		// no limits for cold upstreams: see weight
		ColdShare: 1, OverloadFactor: 1, OverloadSpan: int64(time.Second), OverQuotaFactor: 1,
	}
	book = &terms.Settings{Engine: moduleTerms, Tariffs: map[string]int{}, Customers: map[string]int{}, DefaultTariff: -1}
	seen := map[serviceLevel]bool{}
	for _, route := range routes {
		if route.Class == routing.Streamed {
			moduleTerms.CrossZonePrice = longCrossZonePrice
		}
		moduleTerms.MaxAttempts = max(moduleTerms.MaxAttempts, route.Forwarding.MaxAttempts)
		key := serviceLevelOf(route)
		if seen[key] {
			continue
		}
		seen[key] = true
		tariffOrder = append(tariffOrder, key)
		book.Tariffs[key.label()] = len(moduleTerms.Tariffs)
		moduleTerms.Tariffs = append(moduleTerms.Tariffs, key.tariff())
	}
	book.Zones = append(book.Zones, p.zones...)
	book.ApplyDefaults(p.settings.Zone)
	return book, tariffOrder
}

// tariff returns the load balancer's parameters for the service level.
func (l serviceLevel) tariff() *logic.Tariff {
	t := &logic.Tariff{HardStop: int64(l.deadline), ContractTime: int64(l.target), Earnings: 1, LateEarnings: 0.3}
	if l.repeats {
		t.Idempotency = logic.Idempotent
	}
	return t
}

// nodeRank returns the number of proxies and this proxy's position in their common order. The caller holds mu.
func (p *Proxy) nodeRank() (count, ordinal int) {
	var names []string
	for node, record := range p.nodes {
		if !record.Lost {
			names = append(names, node)
		}
	}
	if !slices.Contains(names, p.settings.Node) {
		names = append(names, p.settings.Node)
	}
	slices.Sort(names)
	return len(names), slices.Index(names, p.settings.Node)
}

// updateUpstreamLists passes the current list of upstreams to each load balancer. The caller holds mu.
func (p *Proxy) updateUpstreamLists() {
	byService := map[string][]*knownNode{}
	now := time.Now()
	p.nextWarmUp = time.Time{}
	for _, n := range p.nodes {
		if now.Before(n.warmAt) && (p.nextWarmUp.IsZero() || n.warmAt.Before(p.nextWarmUp)) {
			p.nextWarmUp = n.warmAt
		}
		if n.Upstream == nil || n.Upstream.ID == "" {
			continue
		}
		byService[n.Upstream.Service] = append(byService[n.Upstream.Service], n)
	}
	for name, service := range p.pools {
		list := upstreamEntries(byService[name], now)
		if service.partners != nil {
			list = p.gatewayEntries(service.partners)
		}
		slices.SortFunc(list, func(a, b roster.Entry[string]) int { return strings.Compare(a.Name, b.Name) })
		change := service.desk.List(list, true)
		for _, host := range change.ReleasedHosts {
			service.peers.closeHost(host)
		}
		if change.Joined+change.Draining+change.Removed > 0 {
			p.log.Info("list", "service", name, "listed", change.Listed, "joined", change.Joined, "end", change.Draining, "gone", change.Removed)
		}
	}
}

// upstreamEntries returns the upstreams of a service as its load balancer sees them, with a lower weight for outliers.
func upstreamEntries(nodes []*knownNode, now time.Time) (entries []roster.Entry[string]) {
	levels, slots := make([]int, len(nodes)), make([]float64, len(nodes))
	for k, n := range nodes {
		levels[k], slots[k] = n.Upstream.OutlierLevel, float64(max(n.Upstream.Capacity, 1))
	}
	for k, share := range outlier.CapacityShares(levels, slots) {
		n := nodes[k]
		entries = append(entries, roster.Entry[string]{
			Name: n.Upstream.ID, Zone: n.Zone, Address: n.Inbound, Draining: n.Upstream.Draining || n.Leaving,
			Upstream: logic.Upstream{ID: roster.NameHash(n.Upstream.ID), Weight: n.weight(now) * share},
		})
	}
	return entries
}

// weight returns an upstream's share of the service's work: its slots, reduced while it is cold. The load balancer's
// limits for cold upstreams, made for upstreams that fail under overload, are not used: the proxy beside an upstream
// admits only what the upstream has room for, and after a start of all upstreams the limits would refuse nearly all
// requests.
func (n *knownNode) weight(now time.Time) float64 {
	slots := float64(max(n.Upstream.Capacity, 1))
	if now.Before(n.warmAt) {
		slots *= coldWeightShare
	}
	return slots
}

// runProbes carries out the probes that a load balancer orders. A probe asks the proxy beside the upstream, which
// tracks its state.
func (p *Proxy) runProbes(service *servicePool) {
	for {
		select {
		case probe := <-service.desk.Probes():
			go func() {
				ctx, done := context.WithTimeout(context.Background(), probeTimeout)
				defer done()
				service.desk.ProbeResult(probe.Upstream, p.probeUpstream(ctx, service, probe.Place))
			}()
		case <-p.done:
			return
		}
	}
}

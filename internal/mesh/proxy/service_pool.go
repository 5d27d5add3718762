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
	crossZonePrice     = 0.4 // the price of another zone: its turns are a fifth
	longCrossZonePrice = 2.0 // the same where answers are long: a twentieth, so that one in proxy stays in its zone

	coldWeightShare = 0.5             // of its slots that a cold upstream is sent work for
	probeTimeout    = 2 * time.Second // for a probe of an upstream that is aside

	freeRefusals = 2 // balancers before an upstream that may turn a request away, beside the tries that its route has
)

// servicePool is the upstreams of one service, and the module that decides among them.
type servicePool struct {
	name         string
	desk         *desk.Desk
	counters     *figures.Pool
	book         *terms.Book
	tariffOrder  []serviceLevel       // of the book's tariffs
	tariffs      map[serviceLevel]int // of the book, by what is promised
	limitedTerms map[int]*logic.Terms // the book's, by the number of upstreams that a route may be sent to
	peers        *connectionPool      // hosts are named by the pool's own roster

	mu     sync.Mutex
	budget *ratelimit.RetryBudget

	partners []string         // that it leads to, where it is no service of ours
	routes   []*routing.Route // and by what it is tuned then
}

func (p *servicePool) recordFirst(now int64, rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.First(now, rank)
}

func (p *servicePool) allowRetry(now int64, members int, rank priority.Rank) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Take(now, members, rank)
}

// serviceLevel is what is promised for the requests of a route. Routes that promise alike are one tariff of the module.
type serviceLevel struct {
	repeats          bool
	target, deadline time.Duration
}

func serviceLevelOf(route *routing.Route) serviceLevel {
	return serviceLevel{route.MailClass.Repeats(), time.Duration(cmp.Or(route.Target, route.Dispatch.Deadline)), time.Duration(route.Dispatch.Deadline)}
}

// label is the tariff's in counts.
func (l serviceLevel) label() string {
	return fmt.Sprintf("repeats=%v target=%v deadline=%v", l.repeats, l.target, l.deadline)
}

// target is the pool's part of a route; there is none of one whose terms its module has refused.
func (p *servicePool) target(route *routing.Route, share float64) (t target, known bool) {
	tariff, known := p.tariffs[serviceLevelOf(route)]
	if !known {
		return target{}, false
	}
	tries := route.Dispatch.DeliveryTries
	limitedTerms := p.limitedTerms[tries]
	if limitedTerms == nil {
		copied := *p.book.Terms
		copied.MaxPushes = tries
		limitedTerms = &copied
		p.limitedTerms[tries] = limitedTerms
	}
	return target{p, share, limitedTerms, tariff}, true
}

// setBook goes by another book from now on.
func (p *servicePool) setBook(book *terms.Book, tariffOrder []serviceLevel) {
	p.book, p.tariffOrder, p.tariffs, p.limitedTerms = book, tariffOrder, make(map[serviceLevel]int, len(tariffOrder)), map[int]*logic.Terms{}
	for at, key := range tariffOrder {
		p.tariffs[key] = at
	}
}

// updateRoutes gives a service's module the routes that lead to it. Under mu.
func (p *Proxy) updateRoutes(service string, newRoutes []*routing.Route) error {
	book, tariffOrder := p.bookOf(newRoutes)
	existing := p.pools[service]
	if existing != nil {
		if sameTerms(existing.book.Terms, book.Terms) && slices.Equal(existing.tariffOrder, tariffOrder) {
			return nil
		}
		err := existing.desk.Retune(book)
		if err == nil {
			existing.setBook(book, tariffOrder)
			return nil
		}
		p.counters.Add("modules_replaced")
		p.log.Error("retune", "service", service, "err", err)
	}
	bounds := &p.settings.Bounds
	created := &servicePool{name: service, counters: &figures.Pool{}, peers: newConnectionPool(peerDialTimeout, p.counters, "peer"),
		budget: ratelimit.NewRetryBudget(int64(bounds.RetryWindow), bounds.RetryRatio, bounds.RetrySlack)}
	created.setBook(book, tariffOrder)
	var err error
	if created.desk, err = desk.New(book, created.counters, p.log.With("service", service), desk.Design); err != nil {
		return err
	}
	if existing != nil {
		created.budget, created.partners, created.routes = existing.budget, existing.partners, existing.routes
	}
	p.pools[service] = created
	go p.runProbes(created)
	return nil
}

// sameTerms reports whether terms are alike but for their tariffs, in which a module learns.
func sameTerms(a, b *logic.Terms) bool {
	return a.Balancers == b.Balancers && a.Index == b.Index && a.MaxPushes == b.MaxPushes && a.CrossZonePrice == b.CrossZonePrice
}

// bookOf is what a service's module is told: of this balancer's place among all, and of what its routes promise. Under mu.
func (p *Proxy) bookOf(routes []*routing.Route) (book *terms.Book, tariffOrder []serviceLevel) {
	balancers, ordinal := p.nodeRank()
	moduleTerms := &logic.Terms{
		Seed: rand.Uint64(), FreeRefusals: freeRefusals, Balancers: balancers, Index: ordinal, Layer: 1, SecondCopies: true, Cancelling: true, Probing: true,
		AdviseBackoff: true, MaxBackoff: int64(250 * time.Millisecond), CrossZonePrice: crossZonePrice, MaxPushes: 1,
		ColdShare: 1, FallMultiple: 1, FallSpan: int64(time.Second), BeyondShare: 1, // nothing here falls over: see weight
	}
	book = &terms.Book{Terms: moduleTerms, Tariffs: map[string]int{}, Customers: map[string]int{}, Default: -1}
	seen := map[serviceLevel]bool{}
	for _, route := range routes {
		if route.MailClass == routing.Streamed {
			moduleTerms.CrossZonePrice = longCrossZonePrice
		}
		moduleTerms.MaxPushes = max(moduleTerms.MaxPushes, route.Dispatch.DeliveryTries)
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
	book.Complete(p.settings.District)
	return book, tariffOrder
}

func (l serviceLevel) tariff() *logic.Tariff {
	t := &logic.Tariff{HardStop: int64(l.deadline), ContractTime: int64(l.target), Earnings: 1, LateEarnings: 0.3}
	if l.repeats {
		t.Repeat = logic.Repeatable
	}
	return t
}

// nodeRank is how many balancers there are, and this one's place in their agreed order. Under mu.
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

// updateUpstreamLists hands every module the list of its upstreams as it stands. Under mu.
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
		for _, host := range change.Left {
			service.peers.closeHost(host)
		}
		if change.Joined+change.Ends+change.Gone > 0 {
			p.log.Info("list", "service", name, "listed", change.Listed, "joined", change.Joined, "end", change.Ends, "gone", change.Gone)
		}
	}
}

// upstreamEntries are a service's upstreams as its module is told of them, those that are ill with a lesser weight.
func upstreamEntries(nodes []*knownNode, now time.Time) (entries []roster.Entry[string]) {
	levels, slots := make([]int, len(nodes)), make([]float64, len(nodes))
	for k, n := range nodes {
		levels[k], slots[k] = n.Upstream.Ill, float64(max(n.Upstream.Capacity, 1))
	}
	for k, share := range outlier.Shares(levels, slots) {
		n := nodes[k]
		entries = append(entries, roster.Entry[string]{
			Name: n.Upstream.ID, Zone: n.District, Address: n.Inbound, Ends: n.Upstream.Closing || n.Leaving,
			Up: logic.Upstream{Number: roster.Number(n.Upstream.ID), Weight: n.weight(now) * share},
		})
	}
	return entries
}

// weight is the part of a service's work that an upstream is sent: its slots, fewer while it is slow from its start. The
// module's purses for cold upstreams, made for those that fall over, stay unused: the balancer beside an upstream lets in
// what it has room for, and after a start of everything they would turn away nearly all there is to serve.
func (n *knownNode) weight(now time.Time) float64 {
	slots := float64(max(n.Upstream.Capacity, 1))
	if now.Before(n.warmAt) {
		slots *= coldWeightShare
	}
	return slots
}

// runProbes carries out a module's probes: a question to the balancer beside the upstream, which knows it best.
func (p *Proxy) runProbes(service *servicePool) {
	for {
		select {
		case probe := <-service.desk.Probes():
			go func() {
				ctx, done := context.WithTimeout(context.Background(), probeTimeout)
				defer done()
				service.desk.Probed(probe.Upstream, p.probeUpstream(ctx, service, probe.Place))
			}()
		case <-p.done:
			return
		}
	}
}

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
	crossing     = 0.4 // the price of another zone: its turns are a fifth
	longCrossing = 2.0 // the same where answers are long: a twentieth, so that one in proxy stays in its zone

	coldShare = 0.5             // of its slots that a cold upstream is sent work for
	asideMost = 2 * time.Second // for a probe of an upstream that is aside

	freeRefusals = 2 // balancers before an upstream that may turn a request away, beside the tries that its route has
)

// pool is the upstreams of one service, and the module that decides among them.
type pool struct {
	name    string
	desk    *desk.Dispatcher
	counts  *figures.Pool
	book    *terms.Book
	order   []tariffKey           // of the book's tariffs
	tariffs map[tariffKey]int     // of the book, by what is promised
	under   map[int]*logic.Config // the book's, by the number of upstreams that a route may be sent to
	peers   *connectionPool       // hosts are named by the pool's own roster

	mu     sync.Mutex
	budget *ratelimit.RetryBudget

	partners []string         // that it leads to, where it is no service of ours
	rules    []*routing.Route // and by what it is tuned then
}

func (p *pool) first(now int64, rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.First(now, rank)
}

func (p *pool) more(now int64, members int, rank priority.Rank) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Take(now, members, rank)
}

// tariffKey is what is promised for the requests of a route. Routes that promise alike are one tariff of the module.
type tariffKey struct {
	repeats          bool
	target, deadline time.Duration
}

func tariffKeyOf(r *routing.Route) tariffKey {
	return tariffKey{r.MailClass.Repeats(), time.Duration(cmp.Or(r.Target, r.Dispatch.Deadline)), time.Duration(r.Dispatch.Deadline)}
}

// name is the tariff's in counts.
func (k tariffKey) name() string {
	return fmt.Sprintf("repeats=%v target=%v deadline=%v", k.repeats, k.target, k.deadline)
}

// target is the pool's part of a route; there is none of one whose terms its module has refused.
func (p *pool) target(r *routing.Route, share float64) (t target, known bool) {
	tariff, known := p.tariffs[tariffKeyOf(r)]
	if !known {
		return target{}, false
	}
	tries := r.Dispatch.DeliveryTries
	under := p.under[tries]
	if under == nil {
		copied := *p.book.Terms
		copied.MaxAttempts = tries
		under = &copied
		p.under[tries] = under
	}
	return target{p, share, under, tariff}, true
}

// take goes by another book from now on.
func (p *pool) take(book *terms.Book, order []tariffKey) {
	p.book, p.order, p.tariffs, p.under = book, order, make(map[tariffKey]int, len(order)), map[int]*logic.Config{}
	for at, key := range order {
		p.tariffs[key] = at
	}
}

// retune gives a service's module the routes that lead to it. Under mu.
func (p *Proxy) retune(service string, routes []*routing.Route) error {
	book, order := p.bookOf(routes)
	present := p.pools[service]
	if present != nil {
		if sameTerms(present.book.Terms, book.Terms) && slices.Equal(present.order, order) {
			return nil
		}
		err := present.desk.Reconfigure(book)
		if err == nil {
			present.take(book, order)
			return nil
		}
		p.counts.Add("modules_replaced")
		p.log.Error("retune", "service", service, "err", err)
	}
	bounds := &p.settings.Bounds
	fresh := &pool{name: service, counts: &figures.Pool{}, peers: newConnectionPool(dialPeer, p.counts, "peer"),
		budget: ratelimit.NewRetryBudget(int64(bounds.RetryWindow), bounds.RetryRatio, bounds.RetrySlack)}
	fresh.take(book, order)
	var err error
	if fresh.desk, err = desk.New(book, fresh.counts, p.log.With("service", service), desk.NewBalancer); err != nil {
		return err
	}
	if present != nil {
		fresh.budget, fresh.partners, fresh.rules = present.budget, present.partners, present.rules
	}
	p.pools[service] = fresh
	go p.probe(fresh)
	return nil
}

// sameTerms reports whether terms are alike but for their tariffs, in which a module learns.
func sameTerms(a, b *logic.Config) bool {
	return a.Balancers == b.Balancers && a.Index == b.Index && a.MaxAttempts == b.MaxAttempts && a.CrossZonePrice == b.CrossZonePrice
}

// bookOf is what a service's module is told: of this balancer's place among all, and of what its routes promise. Under mu.
func (p *Proxy) bookOf(routes []*routing.Route) (b *terms.Book, order []tariffKey) {
	balancers, place := p.rank()
	t := &logic.Config{
		Seed: rand.Uint64(), FreeRefusals: freeRefusals, Balancers: balancers, Index: place, Tier: 1, Hedging: true, Cancelling: true, Probing: true,
		AdviseBackoff: true, MaxBackoff: int64(250 * time.Millisecond), CrossZonePrice: crossing, MaxAttempts: 1,
		ColdShare: 1, OverloadFactor: 1, OverloadSpan: int64(time.Second), OverQuotaFactor: 1, // nothing here falls over: see weight
	}
	b = &terms.Book{Terms: t, Tariffs: map[string]int{}, Customers: map[string]int{}, Default: -1}
	seen := map[tariffKey]bool{}
	for _, r := range routes {
		if r.MailClass == routing.Streamed {
			t.CrossZonePrice = longCrossing
		}
		t.MaxAttempts = max(t.MaxAttempts, r.Dispatch.DeliveryTries)
		key := tariffKeyOf(r)
		if seen[key] {
			continue
		}
		seen[key] = true
		order = append(order, key)
		b.Tariffs[key.name()] = len(t.Tariffs)
		t.Tariffs = append(t.Tariffs, key.tariff())
	}
	b.Zones = append(b.Zones, p.zones...)
	b.Complete(p.settings.District)
	return b, order
}

func (k tariffKey) tariff() *logic.Tariff {
	t := &logic.Tariff{HardStop: int64(k.deadline), ContractTime: int64(k.target), Earnings: 1, LateEarnings: 0.3}
	if k.repeats {
		t.Idempotency = logic.Idempotent
	}
	return t
}

// rank is how many balancers there are, and this one's place in their agreed order. Under mu.
func (p *Proxy) rank() (n, place int) {
	var names []string
	for node, t := range p.nodes {
		if !t.Lost {
			names = append(names, node)
		}
	}
	if !slices.Contains(names, p.settings.Node) {
		names = append(names, p.settings.Node)
	}
	slices.Sort(names)
	return len(names), slices.Index(names, p.settings.Node)
}

// relist hands every module the list of its upstreams as it stands. Under mu.
func (p *Proxy) relist() {
	by := map[string][]*knownNode{}
	now := time.Now()
	p.warms = time.Time{}
	for _, n := range p.nodes {
		if now.Before(n.warm) && (p.warms.IsZero() || n.warm.Before(p.warms)) {
			p.warms = n.warm
		}
		if n.Upstream == nil || n.Upstream.ID == "" {
			continue
		}
		by[n.Upstream.Service] = append(by[n.Upstream.Service], n)
	}
	for name, service := range p.pools {
		list := entries(by[name], now)
		if service.partners != nil {
			list = p.gates(service.partners)
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

// entries are a service's upstreams as its module is told of them, those that are ill with a lesser weight.
func entries(all []*knownNode, now time.Time) (list []roster.Entry[string]) {
	levels, slots := make([]int, len(all)), make([]float64, len(all))
	for k, n := range all {
		levels[k], slots[k] = n.Upstream.Ill, float64(max(n.Upstream.Capacity, 1))
	}
	for k, share := range outlier.Shares(levels, slots) {
		n := all[k]
		list = append(list, roster.Entry[string]{
			Name: n.Upstream.ID, Zone: n.District, Address: n.Inbound, Ends: n.Upstream.Closing || n.Leaving,
			Up: logic.Upstream{ID: roster.Number(n.Upstream.ID), Weight: n.weight(now) * share},
		})
	}
	return list
}

// weight is the part of a service's work that an upstream is sent: its slots, fewer while it is slow from its start. The
// module's purses for cold upstreams, made for those that fall over, stay unused: the balancer beside an upstream lets in
// what it has room for, and after a start of everything they would turn away nearly all there is to serve.
func (n *knownNode) weight(now time.Time) float64 {
	w := float64(max(n.Upstream.Capacity, 1))
	if now.Before(n.warm) {
		w *= coldShare
	}
	return w
}

// probe carries out a module's probes: a question to the balancer beside the upstream, which knows it best.
func (p *Proxy) probe(service *pool) {
	for {
		select {
		case o := <-service.desk.Probes():
			go func() {
				ctx, end := context.WithTimeout(context.Background(), asideMost)
				defer end()
				service.desk.ProbeResult(o.Upstream, p.probeUpstream(ctx, service, o.Place))
			}()
		case <-p.end:
			return
		}
	}
}

package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
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

// view is what a balancer goes by: one version of the configuration, whole.
type configurationView struct {
	index   uint64
	table   *routing.Configuration
	idle    time.Duration
	targets map[*routing.Route][]target
}

// target is a service of a route, and the terms under which its pool takes the route's requests.
type target struct {
	pool   *pool
	share  float64
	under  *logic.Terms
	tariff int
}

// pool is the upstreams of one service, and the module that decides among them.
type pool struct {
	name    string
	desk    *desk.Desk
	counts  *figures.Pool
	book    *terms.Book
	tariffs map[*routing.Route]int // of its routes, as the book numbers them
	peers   *connectionPool        // hosts are named by the pool's own roster

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

// pick takes a service of a route by its shares.
func (v *configurationView) pick(r *routing.Route) target {
	all := v.targets[r]
	total := 0.0
	for _, t := range all {
		total += t.share
	}
	x := rand.Float64() * total
	for _, t := range all {
		if x -= t.share; x < 0 && t.share > 0 {
			return t
		}
	}
	return all[len(all)-1]
}

// adopt puts a version of the configuration in force. Invariant: an older one than was acted on, within one life, is refused.
func (f *Proxy) adopt(index uint64, t *routing.Configuration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.view.Load(); now != nil && index <= now.index {
		return nil
	}
	v := &configurationView{index: index, table: t, idle: time.Duration(t.Limits.Idle), targets: map[*routing.Route][]target{}}
	by := map[string][]*routing.Route{}
	for _, r := range t.Routes {
		for _, part := range r.Parts {
			by[part.Service] = append(by[part.Service], r)
		}
	}
	for service, rules := range by {
		if err := f.retune(service, rules); err != nil {
			return err
		}
	}
	for _, r := range t.Routes {
		for _, part := range r.Parts {
			p := f.pools[part.Service]
			under := *p.book.Terms
			under.MaxPushes = r.Dispatch.DeliveryTries
			v.targets[r] = append(v.targets[r], target{p, part.Share, &under, p.tariffs[r]})
		}
	}
	f.rules = by
	f.view.Store(v)
	f.quota(t)
	f.log.Info("configuration", "edition", t.Edition, "index", index, "routes", len(t.Routes))
	f.relist()
	f.exports.Lock()
	f.partners()
	f.exports.Unlock()
	return nil
}

// retune gives a service's module the routes that lead to it. Under mu.
func (f *Proxy) retune(service string, rules []*routing.Route) error {
	n, place := f.rank()
	most := 1
	t := &logic.Terms{
		Seed: rand.Uint64(), FreeRefusals: freeRefusals, Balancers: n, Index: place, Layer: 1, SecondCopies: true, Cancelling: true, Probing: true,
		AdviseBackoff: true, MaxBackoff: int64(250 * time.Millisecond), CrossZonePrice: crossing,
		ColdShare: 1, FallMultiple: 1, FallSpan: int64(time.Second), BeyondShare: 1, // nothing here falls over: see weight
	}
	b := &terms.Book{Terms: t, Tariffs: map[string]int{}, Customers: map[string]int{}, Default: -1}
	tariffs := map[*routing.Route]int{}
	for _, r := range rules {
		if _, known := tariffs[r]; known { // it names the service twice among its shares
			continue
		}
		if r.MailClass == routing.Streamed {
			t.CrossZonePrice = longCrossing
		}
		tariffs[r] = len(t.Tariffs)
		name := r.Name
		if _, taken := b.Tariffs[name]; taken { // routes may share a name, not what is promised for them
			name += "#" + strconv.Itoa(len(t.Tariffs))
		}
		b.Tariffs[name] = len(t.Tariffs)
		most = max(most, r.Dispatch.DeliveryTries)
		f := &logic.Tariff{
			HardStop: int64(r.Dispatch.Deadline), ContractTime: int64(cmp.Or(r.Target, r.Dispatch.Deadline)),
			Earnings: 1, LateEarnings: 0.3,
		}
		if r.MailClass.Repeats() {
			f.Repeat = logic.Repeatable
		}
		t.Tariffs = append(t.Tariffs, f)
	}
	t.MaxPushes = most
	b.Zones = append(b.Zones, f.zones...)
	b.Complete(f.settings.District)
	p := f.pools[service]
	if p == nil {
		bounds := &f.settings.Bounds
		p = &pool{name: service, counts: &figures.Pool{}, book: b, tariffs: tariffs, peers: newConnectionPool(dialPeer, f.counts, "peer"),
			budget: ratelimit.NewRetryBudget(int64(bounds.RetryWindow), bounds.RetryRatio, bounds.RetrySlack)}
		var err error
		if p.desk, err = desk.New(b, p.counts, f.log.With("service", service), desk.Design); err != nil {
			return err
		}
		f.pools[service] = p
		go f.probe(p)
		return nil
	}
	if err := p.desk.Retune(b); err != nil {
		return err
	}
	p.book, p.tariffs = b, tariffs
	return nil
}

// rank is how many balancers there are, and this one's place in their agreed order. Under mu.
func (f *Proxy) rank() (n, place int) {
	var names []string
	for node, t := range f.nodes {
		if !t.Lost {
			names = append(names, node)
		}
	}
	if !slices.Contains(names, f.settings.Node) {
		names = append(names, f.settings.Node)
	}
	slices.Sort(names)
	return len(names), slices.Index(names, f.settings.Node)
}

// relist hands every module the list of its upstreams as it stands. Under mu.
func (f *Proxy) relist() {
	by := map[string][]*knownNode{}
	now := time.Now()
	f.warms = time.Time{}
	for _, n := range f.nodes {
		if now.Before(n.warm) && (f.warms.IsZero() || n.warm.Before(f.warms)) {
			f.warms = n.warm
		}
		if n.Upstream == nil || n.Upstream.ID == "" {
			continue
		}
		by[n.Upstream.Service] = append(by[n.Upstream.Service], n)
	}
	for service, p := range f.pools {
		list := entries(by[service], now)
		if p.partners != nil {
			list = f.gates(p.partners)
		}
		slices.SortFunc(list, func(a, b roster.Entry[string]) int { return strings.Compare(a.Name, b.Name) })
		change := p.desk.List(list, true)
		for _, host := range change.Left {
			p.peers.closeHost(host)
		}
		if change.Joined+change.Ends+change.Gone > 0 {
			f.log.Info("list", "service", service, "listed", change.Listed, "joined", change.Joined, "end", change.Ends, "gone", change.Gone)
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
			Up: logic.Upstream{Number: roster.Number(n.Upstream.ID), Weight: n.weight(now) * share},
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

// quota gives tenants their parts. Under mu.
func (f *Proxy) quota(t *routing.Configuration) {
	f.wallet.Lock()
	defer f.wallet.Unlock()
	limits := ratelimit.LimitsOf(t, &f.settings.Bounds)
	f.wallet.limited = false
	for _, l := range limits {
		f.wallet.limited = f.wallet.limited || l.Rate > 0
	}
	f.wallet.is.Set(limits, f.members, f.now())
	f.creditTerms(t)
}

// probe carries out a module's probes: a question to the balancer beside the upstream, which knows it best.
func (f *Proxy) probe(p *pool) {
	for {
		select {
		case o := <-p.desk.Probes():
			go func() {
				ctx, end := context.WithTimeout(context.Background(), asideMost)
				defer end()
				p.desk.Probed(o.Upstream, f.probeUpstream(ctx, p, o.Place))
			}()
		case <-f.end:
			return
		}
	}
}

package flight

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"ottershift/internal/hive/dance"
	"ottershift/internal/hive/propolis"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/waggle"
	"ottershift/internal/roster"
	"ottershift/logic"
)

const (
	gateMost   = 4    // balancers through which one sends to partners
	laterShare = 1e-3 // of the turns, that a partner has behind the first that exports the same
	gateMark   = "@"  // between a partner and the balancer through which it is reached, in names of upstreams
)

// doors is what this balancer knows of partners. Where the timetable names none, it decides nothing.
type doors struct {
	sync.Mutex // never held while f.mu is taken
	is         *propolis.Door
	book       *propolis.Book
	ages       map[string]int64
	heard      int64
	gateways   map[string]string // addresses
	terms      map[string]*dance.Partner
	on         bool
}

func (f *Forager) newDoors() {
	f.doors.is = propolis.NewDoor(func(town, path string) bool {
		v := f.view.Load()
		return v == nil || v.table.Find(town, path) != nil
	})
	f.doors.book, f.doors.gateways = propolis.NewBook(), map[string]string{}
}

// hear takes the core's word on partners; asked is when it was asked for.
func (f *Forager) hear(n *waggle.News, asked int64) {
	d := &f.doors
	d.Lock()
	defer d.Unlock()
	now := f.now()
	if n.Imports != nil {
		book, err := propolis.Read(n.Imports)
		if err != nil {
			f.log.Warn("partners", "err", err)
			return
		}
		if book.No >= d.book.No {
			d.book, d.ages, d.heard = book, n.Ages, now
			f.partners()
			f.log.Info("partners", "no", book.No)
		}
	}
	for partner, age := range n.Ages {
		d.is.Fresher(partner, age, now)
	}
	if n.Calm {
		d.is.Renew(n.ImportsNo, asked)
	}
}

// partners puts what is known of them in force, as the timetable names them. Under the doors' lock.
func (f *Forager) partners() {
	d := &f.doors
	v := f.view.Load()
	if v == nil {
		return
	}
	var all []propolis.Partner
	d.gateways, d.terms = map[string]string{}, map[string]*dance.Partner{}
	for _, p := range v.table.Partners {
		all = append(all, propolis.Partner{Name: p.Name, Gateway: p.Gateway, ReadsStale: p.ReadsStale})
		d.gateways[p.Name], d.terms[p.Name] = p.Gateway, p
	}
	d.on = len(all) > 0
	ages := map[string]int64{}
	for partner, age := range d.ages {
		ages[partner] = age + f.now() - d.heard
	}
	d.is.Hear(d.book, all, ages, int(f.membersNow.Load()), f.now())
}

// toPartner finds a way for a request that no route of ours takes.
func (f *Forager) toPartner(r *http.Request, path string) (rule *dance.Rule, t target, kind sting.Kind) {
	d := &f.doors
	d.Lock()
	if !d.on {
		d.Unlock()
		return nil, t, sting.NoRoute
	}
	all, why := d.is.Decide(r.Method, hostOnly(r.Host), path, f.now())
	var names []string
	for _, e := range all {
		names = append(names, e.Partner.Name)
	}
	var of *dance.Partner
	if len(all) > 0 {
		of = d.terms[names[0]]
	}
	d.Unlock()
	switch {
	case why == propolis.Kept:
		return nil, t, sting.Kept
	case why == propolis.NoLeave:
		return nil, t, sting.Unready
	case why != propolis.Open || of == nil:
		return nil, t, sting.NoRoute
	}
	class := dance.OnceOnly
	if propolis.Reads(r.Method) {
		class = dance.Repeatable
	}
	rule = &dance.Rule{Name: string(class), MailClass: class, Target: of.Target}
	rule.Parts = []dance.Part{{Destination: "partners", Share: 1}}
	rule.Dispatch.Deadline, rule.Dispatch.DeliveryTries = of.Deadline, max(of.Tries, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	name := "partners:" + strings.Join(names, ",")
	p := f.pools[name]
	if p == nil {
		reads, effects := *rule, *rule
		reads.Name, reads.MailClass = string(dance.Repeatable), dance.Repeatable
		effects.Name, effects.MailClass = string(dance.OnceOnly), dance.OnceOnly
		rules := []*dance.Rule{&reads, &effects}
		if err := f.retune(name, rules); err != nil {
			f.log.Error("retune", "service", name, "err", err)
			return nil, t, sting.NoRoom
		}
		p = f.pools[name]
		p.partners, p.rules = names, rules
		f.relist()
	}
	under := *p.book.Terms
	under.MaxPushes = rule.Dispatch.DeliveryTries
	return rule, target{p, 1, &under, p.book.Tariffs[rule.Name]}, sting.None
}

func hostOnly(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

// gates are the ways to partners: balancers, so that each request is decided a second time where it leaves. Under mu.
func (f *Forager) gates(partners []string) (list []roster.Entry[string]) {
	var nodes []*seen
	for _, n := range f.nests {
		if !n.Lost && !n.Leaving && n.Node != f.box.Node {
			nodes = append(nodes, n)
		}
	}
	key := func(n *seen) uint32 { return roster.Number(n.Node + gateMark + f.box.Node) }
	slices.SortFunc(nodes, func(a, b *seen) int { return cmp.Or(cmp.Compare(key(a), key(b)), strings.Compare(a.Node, b.Node)) })
	type way struct{ node, zone, address string }
	var ways []way
	for _, n := range nodes[:min(len(nodes), gateMost)] {
		ways = append(ways, way{n.Node, n.District, n.Inbound})
	}
	if len(ways) == 0 {
		ways = append(ways, way{f.box.Node, f.box.District, f.box.Inbound})
	}
	for k, partner := range partners {
		for _, w := range ways {
			weight := 1.0
			if k > 0 {
				weight = laterShare
			}
			name := partner + gateMark + w.node
			list = append(list, roster.Entry[string]{Name: name, Zone: w.zone, Address: w.address, Up: logic.Upstream{Number: roster.Number(name), Weight: weight}})
		}
	}
	return list
}

// allowed is the look before each push toward a partner, the first and each repeat and copy.
func (f *Forager) allowed(q *request, partner string) bool {
	f.doors.Lock()
	defer f.doors.Unlock()
	return f.doors.is.Look(partner, q.method, hostOnly(q.host), pathOf(q.target), f.now()) == propolis.Open
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// leave sends a request on to a partner's gateway, from where it is decided a second time. What is refused here has not run.
func (f *Forager) leave(ctx context.Context, s *sending, partner string) *coming {
	d := &f.doors
	d.Lock()
	edition, why := d.is.May(partner, s.method, hostOnly(s.host), pathOf(s.target), f.now())
	gateway := d.gateways[partner]
	d.Unlock()
	if why != propolis.Open || gateway == "" {
		f.counts.Add("gate_" + why.String())
		return &coming{kind: sting.NotHere}
	}
	delete(s.header, addressee)
	s.header[importEdition] = []string{strconv.FormatInt(edition, 10)}
	back := f.send(ctx, s, f.outside, roster.Place{Host: partner, Address: gateway})
	if back.kind == sting.Unready && ctx.Err() == nil {
		back.kind = sting.NoRoom // it never reached the partner
	}
	back.long = keptShort
	f.counts.Add("gate_left")
	return back
}

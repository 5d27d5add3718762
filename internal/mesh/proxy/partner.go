package proxy

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/roster"
	"ottershift/logic"
)

const (
	gateMost   = 4    // balancers through which one sends to partners
	laterShare = 1e-3 // of the turns, that a partner has behind the first that exports the same
	gateMark   = "@"  // between a partner and the balancer through which it is reached, in names of upstreams
)

// doors is what this balancer knows of partners. Where the configuration names none, it decides nothing.
type exportPolicies struct {
	sync.Mutex // never held while f.mu is taken
	is         *federation.ExportPolicy
	book       *federation.ImportBook
	ages       map[string]int64
	heard      int64
	gateways   map[string]string // addresses
	terms      map[string]*routing.Partner
	on         bool
}

func (p *Proxy) newExportPolicies() {
	p.exports.is = federation.NewExportPolicy(func(town, path string) bool {
		v := p.view.Load()
		return v == nil || v.table.Find(town, path) != nil
	})
	p.exports.book, p.exports.gateways = federation.NewImportBook(), map[string]string{}
}

// hear takes the core's word on partners; asked is when it was asked for. Ages count from then: the answer may have been long on
// its way, or this process may have stood still.
func (p *Proxy) hear(n *membership.WatchResponse, asked int64) {
	d := &p.exports
	d.Lock()
	defer d.Unlock()
	if n.Imports != nil {
		book, err := federation.Read(n.Imports)
		if err != nil {
			p.log.Warn("partners", "err", err)
			return
		}
		if book.No >= d.book.No {
			d.book, d.ages, d.heard = book, n.Ages, asked
			p.partners()
			p.log.Info("partners", "no", book.No)
		}
	}
	for partner, age := range n.Ages {
		d.is.Fresher(partner, age, asked)
	}
	if n.Calm {
		d.is.Renew(n.ImportsNo, asked)
	}
}

// partners puts what is known of them in force, as the configuration names them. Under the doors' lock.
func (p *Proxy) partners() {
	d := &p.exports
	v := p.view.Load()
	if v == nil {
		return
	}
	var all []federation.Partner
	d.gateways, d.terms = map[string]string{}, map[string]*routing.Partner{}
	for _, partner := range v.table.Partners {
		all = append(all, federation.Partner{Name: partner.Name, Gateway: partner.Gateway, ReadsStale: partner.ReadsStale})
		d.gateways[partner.Name], d.terms[partner.Name] = partner.Gateway, partner
	}
	d.on = len(all) > 0
	ages := map[string]int64{}
	for name, age := range d.ages {
		ages[name] = age + p.now() - d.heard
	}
	d.is.Hear(d.book, all, ages, int(p.membersNow.Load()), p.now())
}

// toPartner finds a way for a request that no route of ours takes.
func (p *Proxy) toPartner(r *http.Request, path string) (rule *routing.Route, t target, kind apierror.Kind) {
	d := &p.exports
	d.Lock()
	if !d.on {
		d.Unlock()
		return nil, t, apierror.NoRoute
	}
	all, why := d.is.Decide(r.Method, hostOnly(r.Host), path, p.now())
	var names []string
	for _, e := range all {
		names = append(names, e.Partner.Name)
	}
	var of *routing.Partner
	if len(all) > 0 {
		of = d.terms[names[0]]
	}
	d.Unlock()
	switch {
	case why == federation.Kept:
		return nil, t, apierror.Kept
	case why == federation.NoLeave:
		return nil, t, apierror.Unready
	case why != federation.Open || of == nil:
		return nil, t, apierror.NoRoute
	}
	class := routing.OnceOnly
	if federation.Reads(r.Method) {
		class = routing.Repeatable
	}
	rule = &routing.Route{Name: string(class), MailClass: class, Target: of.Target}
	rule.Parts = []routing.WeightedService{{Service: "partners", Share: 1}}
	rule.Dispatch.Deadline, rule.Dispatch.DeliveryTries = of.Deadline, max(of.Tries, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	name := "partners:" + strings.Join(names, ",")
	service := p.pools[name]
	if service == nil {
		reads, effects := *rule, *rule
		reads.Name, reads.MailClass = string(routing.Repeatable), routing.Repeatable
		effects.Name, effects.MailClass = string(routing.OnceOnly), routing.OnceOnly
		rules := []*routing.Route{&reads, &effects}
		if err := p.retune(name, rules); err != nil {
			p.log.Error("retune", "service", name, "err", err)
			return nil, t, apierror.NoRoom
		}
		service = p.pools[name]
		service.partners, service.rules = names, rules
		p.relist()
	}
	t, known := service.target(rule, 1)
	if !known {
		return nil, t, apierror.NoRoom
	}
	return rule, t, apierror.None
}

func hostOnly(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

// gates are the ways to partners: balancers, so that each request is decided a second time where it leaves. Under mu.
func (p *Proxy) gates(partners []string) (list []roster.Entry[string]) {
	var nodes []*knownNode
	for _, n := range p.nodes {
		if !n.Lost && !n.Leaving && n.Name != p.settings.Node {
			nodes = append(nodes, n)
		}
	}
	key := func(n *knownNode) uint32 { return roster.Number(n.Name + gateMark + p.settings.Node) }
	slices.SortFunc(nodes, func(a, b *knownNode) int { return cmp.Or(cmp.Compare(key(a), key(b)), strings.Compare(a.Name, b.Name)) })
	type gatewayAddress struct{ node, zone, address string }
	var gateways []gatewayAddress
	for _, n := range nodes[:min(len(nodes), gateMost)] {
		gateways = append(gateways, gatewayAddress{n.Name, n.District, n.Inbound})
	}
	if len(gateways) == 0 {
		gateways = append(gateways, gatewayAddress{p.settings.Node, p.settings.District, p.settings.Inbound})
	}
	for k, partner := range partners {
		for _, gateway := range gateways {
			weight := 1.0
			if k > 0 {
				weight = laterShare
			}
			name := partner + gateMark + gateway.node
			list = append(list, roster.Entry[string]{Name: name, Zone: gateway.zone, Address: gateway.address, Up: logic.Upstream{ID: roster.Number(name), Weight: weight}})
		}
	}
	return list
}

// allowed is the look before each push toward a partner, the first and each repeat and copy.
func (p *Proxy) allowed(q *request, partner string) bool {
	p.exports.Lock()
	defer p.exports.Unlock()
	return p.exports.is.Look(partner, q.method, hostOnly(q.host), pathOf(q.target), p.now()) == federation.Open
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// leave sends a request on to a partner's gateway, from where it is decided a second time. What is refused here has not run.
func (p *Proxy) sendToPartner(ctx context.Context, s *upstreamRequest, partner string) *upstreamResponse {
	d := &p.exports
	d.Lock()
	edition, why := d.is.May(partner, s.method, hostOnly(s.host), pathOf(s.target), p.now())
	gateway := d.gateways[partner]
	d.Unlock()
	if why != federation.Open || gateway == "" {
		p.counts.Add("gate_" + why.String())
		return &upstreamResponse{kind: apierror.NotHere}
	}
	delete(s.header, addressee)
	s.header[importEdition] = []string{strconv.FormatInt(edition, 10)}
	back := p.send(ctx, s, p.partnerConnections, roster.Place{Host: partner, Address: gateway})
	if back.kind == apierror.Unready && ctx.Err() == nil {
		back.kind = apierror.NoRoom // it never reached the partner
	}
	back.long = keptShort
	p.counts.Add("gate_left")
	return back
}

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
	maxGateways           = 4    // proxies through which one proxy sends to partners
	fallbackPartnerWeight = 1e-3 // relative weight of a partner after the first one that exports the same path
	gatewaySeparator      = "@"  // between the partner and its gateway proxy in upstream names
)

// partnerPolicyState holds what this proxy knows of partner meshes. It is unused if the configuration names no
// partners.
type partnerPolicyState struct {
	sync.Mutex     // locked after Proxy.mu, never before it
	policy         *federation.ExportPolicy
	imports        *federation.ImportRegistry
	ages           map[string]int64
	agesAskedAt    int64
	gateways       map[string]string // addresses by partner
	configurations map[string]*routing.Partner
	enabled        bool
}

// initPartnerPolicy creates the policy, in which the routes of this mesh take precedence over partners' exports.
func (p *Proxy) initPartnerPolicy() {
	p.partnerPolicy.policy = federation.NewExportPolicy(func(town, path string) bool {
		v := p.view.Load()
		return v == nil || v.configuration.Find(town, path) != nil
	})
	p.partnerPolicy.imports, p.partnerPolicy.gateways = federation.NewImportRegistry(), map[string]string{}
}

// applyPartnerUpdate applies the partner state in a controller's response; askedAt is when the request was sent. Ages
// count from then, because the response may have been delayed or this process paused.
func (p *Proxy) applyPartnerUpdate(response *membership.WatchResponse, askedAt int64) {
	state := &p.partnerPolicy
	state.Lock()
	defer state.Unlock()
	if response.Imports != nil {
		imports, err := federation.DecodeImportRegistry(response.Imports)
		if err != nil {
			p.log.Warn("partners", "err", err)
			return
		}
		if imports.Revision >= state.imports.Revision {
			state.imports, state.ages, state.agesAskedAt = imports, response.PartnerAges, askedAt
			p.applyPartners()
			p.log.Info("partners", "no", imports.Revision)
		}
	}
	for partner, age := range response.PartnerAges {
		state.policy.Confirm(partner, age, askedAt)
	}
	if response.ImportsCurrent {
		state.policy.Authorize(response.ImportsVersion, askedAt)
	}
}

// applyPartners updates the policy with the partners of the configuration in force. The caller holds the lock of
// partnerPolicy.
func (p *Proxy) applyPartners() {
	state := &p.partnerPolicy
	active := p.view.Load()
	if active == nil {
		return
	}
	var federated []federation.Partner
	state.gateways, state.configurations = map[string]string{}, map[string]*routing.Partner{}
	for _, partner := range active.configuration.Partners {
		federated = append(federated, federation.Partner{Name: partner.Name, Gateway: partner.Gateway, ReadsStale: partner.AllowStaleReads})
		state.gateways[partner.Name], state.configurations[partner.Name] = partner.Gateway, partner
	}
	state.enabled = len(federated) > 0
	ages := map[string]int64{}
	for name, age := range state.ages {
		ages[name] = age + p.now() - state.agesAskedAt
	}
	state.policy.Update(state.imports, federated, ages, int(p.lastMembers.Load()), p.now())
}

// routeToPartner finds a route to a partner for a request that no route of this mesh matches.
func (p *Proxy) routeToPartner(r *http.Request, path string) (route *routing.Route, to target, kind apierror.Kind) {
	state := &p.partnerPolicy
	state.Lock()
	if !state.enabled {
		state.Unlock()
		return nil, to, apierror.NoRoute
	}
	exports, verdict := state.policy.Decide(r.Method, hostOnly(r.Host), path, p.now())
	var names []string
	for _, export := range exports {
		names = append(names, export.Partner.Name)
	}
	var partner *routing.Partner
	if len(exports) > 0 {
		partner = state.configurations[names[0]]
	}
	state.Unlock()
	switch {
	case verdict == federation.Withheld:
		return nil, to, apierror.NotExported
	case verdict == federation.Unconfirmed:
		return nil, to, apierror.NotReady
	case verdict != federation.Open || partner == nil:
		return nil, to, apierror.NoRoute
	}
	class := routing.OnceOnly
	if federation.IsReadOnly(r.Method) {
		class = routing.Repeatable
	}
	route = &routing.Route{Name: string(class), Class: class, TargetLatency: partner.TargetLatency}
	route.Services = []routing.WeightedService{{Service: "partners", Weight: 1}}
	route.Forwarding.Deadline, route.Forwarding.MaxAttempts = partner.Deadline, max(partner.MaxAttempts, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	name := "partners:" + strings.Join(names, ",")
	service := p.pools[name]
	if service == nil {
		repeatable, onceOnly := *route, *route
		repeatable.Name, repeatable.Class = string(routing.Repeatable), routing.Repeatable
		onceOnly.Name, onceOnly.Class = string(routing.OnceOnly), routing.OnceOnly
		routes := []*routing.Route{&repeatable, &onceOnly}
		if err := p.updateRoutes(name, routes); err != nil {
			p.log.Error("retune", "service", name, "err", err)
			return nil, to, apierror.NoCapacity
		}
		service = p.pools[name]
		service.partners, service.routes = names, routes
		p.updateUpstreamLists()
	}
	to, known := service.target(route, 1)
	if !known {
		return nil, to, apierror.NoCapacity
	}
	return route, to, apierror.None
}

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		return host[:at]
	}
	return host
}

// gatewayEntries lists the upstreams that lead to partners. They are proxies, which check each request again before it
// leaves the mesh. The caller holds mu.
func (p *Proxy) gatewayEntries(partners []string) (entries []roster.Entry[string]) {
	var nodes []*knownNode
	for _, n := range p.nodes {
		if !n.Lost && !n.Leaving && n.Name != p.settings.Node {
			nodes = append(nodes, n)
		}
	}
	key := func(n *knownNode) uint32 { return roster.NameHash(n.Name + gatewaySeparator + p.settings.Node) }
	slices.SortFunc(nodes, func(a, b *knownNode) int { return cmp.Or(cmp.Compare(key(a), key(b)), strings.Compare(a.Name, b.Name)) })
	type gatewayAddress struct{ node, zone, address string }
	var gateways []gatewayAddress
	for _, n := range nodes[:min(len(nodes), maxGateways)] {
		gateways = append(gateways, gatewayAddress{n.Name, n.Zone, n.Inbound})
	}
	if len(gateways) == 0 {
		gateways = append(gateways, gatewayAddress{p.settings.Node, p.settings.Zone, p.settings.InboundAddress})
	}
	for k, partner := range partners {
		for _, gateway := range gateways {
			weight := 1.0
			if k > 0 {
				weight = fallbackPartnerWeight
			}
			name := partner + gatewaySeparator + gateway.node
			entries = append(entries, roster.Entry[string]{Name: name, Zone: gateway.zone, Address: gateway.address,
				Upstream: logic.Upstream{ID: roster.NameHash(name), Weight: weight}})
		}
	}
	return entries
}

// partnerAllows reports whether a request may be sent to a partner now. It is checked before each attempt, including
// retries and hedges.
func (p *Proxy) partnerAllows(request *downstreamRequest, partner string) bool {
	p.partnerPolicy.Lock()
	defer p.partnerPolicy.Unlock()
	return p.partnerPolicy.policy.Check(partner, request.method, hostOnly(request.host), pathOf(request.target), p.now()) == federation.Open
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// sendToPartner forwards a request to a partner's gateway after a second policy check. A request that is refused here
// has not run.
func (p *Proxy) sendToPartner(ctx context.Context, request *upstreamRequest, partner string) *upstreamResponse {
	state := &p.partnerPolicy
	state.Lock()
	edition, verdict := state.policy.Admit(partner, request.method, hostOnly(request.host), pathOf(request.target), p.now())
	gateway := state.gateways[partner]
	state.Unlock()
	if verdict != federation.Open || gateway == "" {
		p.counters.Increment("gate_" + verdict.String())
		return &upstreamResponse{kind: apierror.Misdirected}
	}
	delete(request.header, upstreamIDHeader)
	request.header[importEditionHeader] = []string{strconv.FormatInt(edition, 10)}
	response := p.send(ctx, request, p.partnerConnections, roster.Endpoint{Host: partner, Address: gateway})
	if response.kind == apierror.NotReady && ctx.Err() == nil {
		response.kind = apierror.NoCapacity // it did not reach the partner
	}
	response.maxIdle = upstreamIdleTimeout
	p.counters.Increment("gate_left")
	return response
}

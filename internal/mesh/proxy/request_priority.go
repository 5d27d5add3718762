package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/mesh/priority"
	"ottershift/internal/mesh/routing"
)

const (
	defaultLatencyTarget = 200 * time.Millisecond // if the header is missing
	maxLatencyTarget     = 1000 * time.Second

	rankPrefix    = "priority=" // of the second value of meshPriorityHeader
	retriedSuffix = ";again"    // of the same, for a request that was sent to another proxy before
)

// requestPriority determines the order in which requests are served.
type requestPriority struct {
	latencyTarget time.Duration // after which the response loses value
	rank          priority.Rank
	retried       bool // it was sent to another proxy before
}

// encode returns the values of meshPriorityHeader. The first one is the latency target in milliseconds, which is all
// that earlier releases read; the second one is the rank. Every release removes the header from clients' requests, so
// only proxies can set it.
func (p requestPriority) encode() []string {
	rank := rankPrefix + p.rank.String()
	if p.retried {
		rank += retriedSuffix
	}
	return []string{strconv.FormatInt(p.latencyTarget.Milliseconds(), 10), rank}
}

// priorityOf returns the priority of a request from another proxy. If that proxy runs an earlier release that does not
// send the rank, the rank comes from this proxy's configuration.
func (p *Proxy) priorityOf(r *http.Request) requestPriority {
	requested := requestPriority{latencyTarget: defaultLatencyTarget}
	if ms, err := strconv.ParseInt(r.Header.Get(meshPriorityHeader), 10, 64); err == nil && ms >= 0 {
		requested.latencyTarget = min(time.Duration(ms)*time.Millisecond, maxLatencyTarget)
	}
	for _, value := range r.Header[meshPriorityHeader] {
		text, found := strings.CutPrefix(value, rankPrefix)
		if !found {
			continue
		}
		text, retried := strings.CutSuffix(text, retriedSuffix)
		if rank, err := priority.Parse(text); err == nil {
			requested.rank, requested.retried = rank, retried
			return requested
		}
	}
	requested.rank = p.configuredRank(r)
	return requested
}

// configuredRank returns the rank of a request according to this proxy's configuration, and the lowest rank without a
// route.
func (p *Proxy) configuredRank(r *http.Request) priority.Rank {
	active := p.view.Load()
	if active == nil {
		return priority.LowestRank
	}
	route := active.configuration.Find(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return priority.LowestRank
	}
	return rankOf(route, active.configuration.TenantByName(r.Header.Get(tenantHeader)))
}

// rankOf returns the rank of a request on a route for a tenant, which is nil for requests without one.
func rankOf(route *routing.Route, tenant *routing.Tenant) priority.Rank {
	if tenant == nil {
		return priority.NewRank(0, route.Priority)
	}
	return priority.NewRank(tenant.Priority, route.Priority)
}

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
	defaultLatencyTarget = 200 * time.Millisecond
	maxLatencyTarget     = 1000 * time.Second

	rankPrefix    = "priority=" // of the second value of meshAimHeader
	retriedSuffix = ";again"    // of the same, for a request that has been sent to another balancer before
)

// requestPriority is how urgent a request is.
type requestPriority struct {
	latencyTarget time.Duration // within which its answer is of full worth
	rank          priority.Rank
	retried       bool // it has been sent to another balancer before
}

// encode tells the balancer beside an upstream how urgent a request is: the header's first value is the aim in milliseconds,
// all that versions before this one read, and the second one is the rank. Every version removes the header from what clients send,
// so nobody else can set either.
func (p requestPriority) encode() []string {
	rank := rankPrefix + p.rank.String()
	if p.retried {
		rank += retriedSuffix
	}
	return []string{strconv.FormatInt(p.latencyTarget.Milliseconds(), 10), rank}
}

// priorityOf is how urgent a request from another balancer is. Where that balancer is of a version that does not tell the rank, it is
// what this one's own configuration says.
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

// configuredRank is the rank of a request by this balancer's own configuration, the lowest where it knows no route for it.
func (p *Proxy) configuredRank(r *http.Request) priority.Rank {
	active := p.view.Load()
	if active == nil {
		return priority.Lowest
	}
	route := active.configuration.Find(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return priority.Lowest
	}
	return rankOf(route, active.configuration.TenantByName(r.Header.Get(tenantHeader)))
}

// rankOf is the rank of a request on a route, for a tenant or, with nil, for nobody's account.
func rankOf(route *routing.Route, tenant *routing.Tenant) priority.Rank {
	if tenant == nil {
		return priority.Of(0, route.Precedence)
	}
	return priority.Of(tenant.Precedence, route.Precedence)
}

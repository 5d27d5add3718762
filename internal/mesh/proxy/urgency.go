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
	aimUnsaid = 200 * time.Millisecond
	aimMost   = 1000 * time.Second

	rankPrefix  = "priority=" // of the second value of meshAimHeader
	againSuffix = ";again"    // of the same, for a request that has been sent to another balancer before
)

// urgency is how urgent a request is.
type urgency struct {
	aim   time.Duration // within which its answer is of full worth
	rank  priority.Rank
	again bool // it has been sent to another balancer before
}

// encode tells the balancer beside an upstream how urgent a request is: the header's first value is the aim in milliseconds,
// all that versions before this one read, and the second one is the rank. Every version removes the header from what clients send,
// so nobody else can set either.
func (u urgency) encode() []string {
	rank := rankPrefix + u.rank.String()
	if u.again {
		rank += againSuffix
	}
	return []string{strconv.FormatInt(u.aim.Milliseconds(), 10), rank}
}

// urgencyOf is how urgent a request from another balancer is. Where that balancer is of a version that does not tell the rank, it is
// what this one's own configuration says.
func (p *Proxy) urgencyOf(r *http.Request) urgency {
	u := urgency{aim: aimUnsaid}
	if ms, err := strconv.ParseInt(r.Header.Get(meshAimHeader), 10, 64); err == nil && ms >= 0 {
		u.aim = min(time.Duration(ms)*time.Millisecond, aimMost)
	}
	for _, value := range r.Header[meshAimHeader] {
		text, found := strings.CutPrefix(value, rankPrefix)
		if !found {
			continue
		}
		text, again := strings.CutSuffix(text, againSuffix)
		if rank, err := priority.Parse(text); err == nil {
			u.rank, u.again = rank, again
			return u
		}
	}
	u.rank = p.configuredRank(r)
	return u
}

// configuredRank is the rank of a request by this balancer's own configuration, the lowest where it knows no route for it.
func (p *Proxy) configuredRank(r *http.Request) priority.Rank {
	v := p.view.Load()
	if v == nil {
		return priority.LowestRank
	}
	route := v.table.Find(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return priority.LowestRank
	}
	return rankOf(route, v.table.TenantByName(r.Header.Get(senderName)))
}

// rankOf is the rank of a request on a route, for a tenant or, with nil, for nobody's account.
func rankOf(route *routing.Route, tenant *routing.Tenant) priority.Rank {
	if tenant == nil {
		return priority.NewRank(0, route.Priority)
	}
	return priority.NewRank(tenant.Priority, route.Priority)
}

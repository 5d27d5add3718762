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

	rankPrefix = "priority=" // of the second value of meshAimHeader
)

// encodeUrgency tells the balancer beside an upstream how urgent a request is: the header's first value is the aim in milliseconds,
// all that versions before this one read, and the second one is the rank. Every version removes the header from what clients send,
// so nobody else can set either.
func encodeUrgency(aim time.Duration, rank priority.Rank) []string {
	return []string{strconv.FormatInt(aim.Milliseconds(), 10), rankPrefix + rank.String()}
}

// urgency is how urgent a request from another balancer is. Where that balancer is of a version that does not tell the rank, it is
// what this one's own configuration says.
func (f *Proxy) urgency(r *http.Request) (aim time.Duration, rank priority.Rank) {
	aim = aimUnsaid
	if ms, err := strconv.ParseInt(r.Header.Get(meshAimHeader), 10, 64); err == nil && ms >= 0 {
		aim = min(time.Duration(ms)*time.Millisecond, aimMost)
	}
	for _, value := range r.Header[meshAimHeader] {
		text, found := strings.CutPrefix(value, rankPrefix)
		if !found {
			continue
		}
		if rank, err := priority.Parse(text); err == nil {
			return aim, rank
		}
	}
	return aim, f.configuredRank(r)
}

// configuredRank is the rank of a request by this balancer's own configuration, the lowest where it knows no route for it.
func (f *Proxy) configuredRank(r *http.Request) priority.Rank {
	v := f.view.Load()
	if v == nil {
		return priority.Lowest
	}
	route := v.table.Find(r.Host, pathOf(r.RequestURI))
	if route == nil {
		return priority.Lowest
	}
	return rankOf(route, v.table.TenantByName(r.Header.Get(senderName)))
}

// rankOf is the rank of a request on a route, for a tenant or, with nil, for nobody's account.
func rankOf(route *routing.Route, tenant *routing.Tenant) priority.Rank {
	if tenant == nil {
		return priority.Of(0, route.Precedence)
	}
	return priority.Of(tenant.Precedence, route.Precedence)
}

// Package priority orders requests under overload. It defines the rank of a request, the queue in which requests wait
// for a slot, and the minimum share of service that prevents the starvation of any rank. It does no I/O and reads no
// clock.
package priority

import (
	"cmp"
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors about ranks that can't be parsed.
var Error = errs.Class("priority")

// Rank is the configured urgency of a request; 0 is the most urgent. The priority of the tenant is compared before the
// priority of the route. A request without a tenant counts against no quota and has tenant priority 0. Calls between
// upstreams are of this kind: rejecting one wastes the work already done for its parent request.
type Rank struct{ Tenant, Route int }

// LowestRank is the rank of a request about which nothing is known.
var LowestRank = Rank{math.MaxInt32, math.MaxInt32}

// NewRank returns a rank. Values outside the range from 0 to math.MaxInt32 are clamped to it.
func NewRank(tenant, route int) Rank {
	return Rank{min(max(tenant, 0), math.MaxInt32), min(max(route, 0), math.MaxInt32)}
}

// Compare returns a negative number if r is more urgent than other, 0 if they are equal, and else a positive number.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tenant, other.Tenant), cmp.Compare(r.Route, other.Route))
}

// Before reports whether r is more urgent than other.
func (r Rank) Before(other Rank) bool { return r.Compare(other) < 0 }

// String returns the encoding of a rank on the wire: the priorities of the tenant and the route, separated by a dot.
func (r Rank) String() string { return strconv.Itoa(r.Tenant) + "." + strconv.Itoa(r.Route) }

// Parse parses the encoding that String returns.
func Parse(text string) (Rank, error) {
	tenant, route, found := strings.Cut(text, ".")
	tenantPart, tenantErr := strconv.ParseUint(tenant, 10, 31)
	routePart, routeErr := strconv.ParseUint(route, 10, 31)
	if !found || tenantErr != nil || routeErr != nil {
		return Rank{}, Error.New("invalid rank %.40q: want tenant and route priority separated by a dot", text)
	}
	return Rank{int(tenantPart), int(routePart)}, nil
}

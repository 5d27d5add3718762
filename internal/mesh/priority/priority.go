// Package priority decides who goes first where not all can be served: a request's rank, the queue in which requests wait
// for a slot, and the share below which no rank is starved. It does no I/O and reads no clock.
package priority

import (
	"cmp"
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of ranks that can't be read.
var Error = errs.Class("priority")

// Rank is how urgent a request is, as the configuration says: 0 is the most urgent. The tenant's part comes before the route's. A
// request without a tenant, which the mesh owes to nobody's quota, has 0 for its tenant: calls of upstreams are such, and a refused
// one wastes the work of its parent.
type Rank struct{ Tenant, Route int }

// LowestRank is the rank of a request of which nothing is known.
var LowestRank = Rank{math.MaxInt32, math.MaxInt32}

// NewRank makes a rank; what is below 0 or beyond what a rank can say counts as the nearest that it can.
func NewRank(tenant, route int) Rank {
	return Rank{min(max(tenant, 0), math.MaxInt32), min(max(route, 0), math.MaxInt32)}
}

// Compare is negative if r is more urgent than other, and 0 if they are alike.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tenant, other.Tenant), cmp.Compare(r.Route, other.Route))
}

// Before reports whether r is more urgent than other.
func (r Rank) Before(other Rank) bool { return r.Compare(other) < 0 }

// String is the form in which ranks travel: the tenant's part, a point, the route's.
func (r Rank) String() string { return strconv.Itoa(r.Tenant) + "." + strconv.Itoa(r.Route) }

// Parse reads what String wrote.
func Parse(text string) (Rank, error) {
	tenant, route, found := strings.Cut(text, ".")
	tenantPart, tenantErr := strconv.ParseUint(tenant, 10, 31)
	routePart, routeErr := strconv.ParseUint(route, 10, 31)
	if !found || tenantErr != nil || routeErr != nil {
		return Rank{}, Error.New("%.40q is no rank", text)
	}
	return Rank{int(tenantPart), int(routePart)}, nil
}

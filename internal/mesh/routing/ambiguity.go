package routing

import (
	"math"
	"strings"

	"github.com/zeebo/errs"
)

// findAmbiguities names all by which a configuration that can be read would mean two things: a place that two routes have, a key
// that two tenants hold or that is empty, a tenant or a service that is named twice, a route whose Destination is unknown beside
// its Apportion, or whose shares are beyond all numbers. What a later item says stands, as in versions that took such configurations.
func (t *Configuration) findAmbiguities() error {
	var faults errs.Group
	faults.Add(t.ambiguousServices())
	faults.Add(t.ambiguousTenants())
	faults.Add(t.ambiguousRoutes())
	return faults.Err()
}

func (t *Configuration) ambiguousServices() error {
	var faults errs.Group
	services := map[string]bool{}
	for _, s := range t.Services {
		if services[s.Name] {
			faults.Add(Error.New("Depots %s: Name: stands twice", s.Name))
		}
		services[s.Name] = true
	}
	return faults.Err()
}

func (t *Configuration) ambiguousTenants() error {
	var faults errs.Group
	tenants, holders := map[string]bool{}, map[string]string{}
	for _, tenant := range t.Tenants {
		if tenants[tenant.Name] {
			faults.Add(Error.New("Senders %s: Name: stands twice", tenant.Name))
		}
		tenants[tenant.Name] = true
		for _, key := range tenant.ApiKeys {
			if key == "" {
				faults.Add(Error.New("Senders %s: ApiKeys: one is empty", tenant.Name))
			}
			if other, held := holders[key]; held && other != tenant.Name {
				faults.Add(Error.New("Senders %s: ApiKeys: %s holds one of them, too", tenant.Name, other))
			}
			holders[key] = tenant.Name
		}
	}
	return faults.Err()
}

func (t *Configuration) ambiguousRoutes() error {
	var faults errs.Group
	type place struct{ host, prefix string }
	routes := map[place]*Route{}
	for _, r := range t.Routes {
		at := place{strings.ToLower(r.Host), r.Sorting.StreetPrefix}
		if other := routes[at]; other != nil {
			faults.Add(Error.New("route %s: Sorting: StreetPrefix: route %s stands at %s%s, too", r.Name, other.Name, r.Host, at.prefix))
		}
		routes[at] = r
		if to := r.Dispatch.Destination; to != "" && t.servicesByName[to] == nil {
			faults.Add(Error.New("route %s: Destination: no service is named %q", r.Name, to))
		}
		total := 0.0
		for _, part := range r.Parts {
			total += part.Share
		}
		if math.IsInf(total, 1) {
			faults.Add(Error.New("route %s: Apportion: the shares add up to more than a number can tell", r.Name))
		}
	}
	return faults.Err()
}

// checkDelivered refuses items of an amendment that have no name, or share one, by which they would be found.
func checkDelivered[T any](list string, items []*T, name func(*T) string) error {
	var faults errs.Group
	seen := map[string]bool{}
	for _, item := range items {
		switch n := name(item); {
		case n == "":
			faults.Add(Error.New("Deliver: %s: Name: is empty", list))
		case seen[n]:
			faults.Add(Error.New("Deliver: %s %s: Name: stands twice", list, n))
		default:
			seen[n] = true
		}
	}
	return faults.Err()
}

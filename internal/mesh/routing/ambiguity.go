package routing

import (
	"math"
	"strings"

	"github.com/zeebo/errs"
)

// findAmbiguities names all by which a configuration that can be read would mean two things: a place that two routes have, a key
// that two tenants hold or that is empty, a tenant or a service that is named twice, a route whose Destination is unknown beside
// its Apportion, or whose shares are beyond all numbers. What a later item says stands, as in versions that took such configurations.
func (c *Configuration) findAmbiguities() error {
	var faults errs.Group
	faults.Add(c.ambiguousServices())
	faults.Add(c.ambiguousTenants())
	faults.Add(c.ambiguousRoutes())
	return faults.Err()
}

func (c *Configuration) ambiguousServices() error {
	var faults errs.Group
	seen := map[string]bool{}
	for _, s := range c.Services {
		if seen[s.Name] {
			faults.Add(Error.New("Depots %s: Name: stands twice", s.Name))
		}
		seen[s.Name] = true
	}
	return faults.Err()
}

func (c *Configuration) ambiguousTenants() error {
	var faults errs.Group
	seen, holders := map[string]bool{}, map[string]string{}
	for _, tenant := range c.Tenants {
		if seen[tenant.Name] {
			faults.Add(Error.New("Senders %s: Name: stands twice", tenant.Name))
		}
		seen[tenant.Name] = true
		for _, key := range tenant.APIKeys {
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

func (c *Configuration) ambiguousRoutes() error {
	var faults errs.Group
	type place struct{ host, prefix string }
	routes := map[place]*Route{}
	for _, r := range c.Routes {
		key := place{strings.ToLower(r.Host), r.Match.PathPrefix}
		if other := routes[key]; other != nil {
			faults.Add(Error.New("route %s: Sorting: StreetPrefix: route %s stands at %s%s, too", r.Name, other.Name, r.Host, key.prefix))
		}
		routes[key] = r
		if service := r.Forwarding.Service; service != "" && c.servicesByName[service] == nil {
			faults.Add(Error.New("route %s: Destination: no service is named %q", r.Name, service))
		}
		total := 0.0
		for _, part := range r.Services {
			total += part.Weight
		}
		if math.IsInf(total, 1) {
			faults.Add(Error.New("route %s: Apportion: the shares add up to more than a number can tell", r.Name))
		}
	}
	return faults.Err()
}

// checkUniqueNames refuses items of an amendment that have no name, or share one, by which they would be found.
func checkUniqueNames[T any](list string, items []*T, name func(*T) string) error {
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

package routing

import (
	"math"
	"strings"

	"github.com/zeebo/errs"
)

// findAmbiguities returns an error that lists everything ambiguous in a valid configuration: two routes with the same
// host and prefix, an API key that is empty or belongs to two tenants, two tenants or services with the same name, an
// unknown Destination in a route that also has an Apportion, and shares whose sum overflows. In configurations that
// earlier releases accepted in spite of this, the last of conflicting items takes effect, as it did there.
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
			faults.Add(Error.New("Depots %s: Name: duplicate name", s.Name))
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
			faults.Add(Error.New("Senders %s: Name: duplicate name", tenant.Name))
		}
		seen[tenant.Name] = true
		for _, key := range tenant.APIKeys {
			if key == "" {
				faults.Add(Error.New("Senders %s: ApiKeys: a key is empty", tenant.Name))
			}
			if other, held := holders[key]; held && other != tenant.Name {
				faults.Add(Error.New("Senders %s: ApiKeys: tenant %s has one of the same keys", tenant.Name, other))
			}
			holders[key] = tenant.Name
		}
	}
	return faults.Err()
}

func (c *Configuration) ambiguousRoutes() error {
	var faults errs.Group
	type location struct{ host, prefix string }
	routes := map[location]*Route{}
	for _, r := range c.Routes {
		key := location{strings.ToLower(r.Host), r.Match.PathPrefix}
		if other := routes[key]; other != nil {
			faults.Add(Error.New("route %s: Sorting: StreetPrefix: route %s has the same host and prefix %s%s", r.Name, other.Name, r.Host, key.prefix))
		}
		routes[key] = r
		if service := r.Forwarding.Service; service != "" && c.servicesByName[service] == nil {
			faults.Add(Error.New("route %s: Destination: unknown service %q", r.Name, service))
		}
		total := 0.0
		for _, weighted := range r.Services {
			total += weighted.Weight
		}
		if math.IsInf(total, 1) {
			faults.Add(Error.New("route %s: Apportion: the sum of the shares overflows", r.Name))
		}
	}
	return faults.Err()
}

// checkUniqueNames rejects items of an amendment without a name or with the same name, because items are matched by
// name.
func checkUniqueNames[T any](list string, items []*T, name func(*T) string) error {
	var faults errs.Group
	seen := map[string]bool{}
	for _, item := range items {
		n := name(item)
		faults.Add(checkName(list, n))
		if seen[n] && n != "" {
			faults.Add(Error.New("Deliver: %s %s: Name: duplicate name", list, n))
		}
		seen[n] = true
	}
	return faults.Err()
}

// checkName rejects an item of an amendment without a name.
func checkName(list, name string) error {
	if name == "" {
		return Error.New("Deliver: %s: Name: must not be empty", list)
	}
	return nil
}

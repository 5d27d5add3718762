package routing

import (
	"slices"
	"strings"
)

// routeID identifies a route to operators. A name may occur at several hosts, so it does not identify a route alone.
type routeID struct {
	host string // in lower case
	name string
}

func idOf(r *Route) routeID { return routeID{strings.ToLower(r.Host), r.Name} }

// mergeHosts applies delivered routes and withdrawn names of routes and hosts to the hosts of a configuration. A
// delivered route replaces the route with its host and name at its position, or is added. A withdrawn name removes the
// routes with that name at all hosts, except those that are replaced. A host keeps its other fields, except those that are
// delivered.
func mergeHosts(existing, delivered []*hostRoutes, withdrawnRoutes, withdrawnHosts map[string]bool) []*hostRoutes {
	kept := withoutHosts(existing, withdrawnHosts)
	replacements := matchRoutes(kept, delivered)
	placed := map[*Route]bool{}
	byHost := map[string]*hostRoutes{}
	hadRoutes := map[*hostRoutes]bool{}
	var merged []*hostRoutes
	for _, entry := range kept {
		updated := &hostRoutes{Host: entry.Host, Routes: make([]*Route, 0, len(entry.Routes)), fields: entry.otherFields()}
		for _, r := range entry.Routes {
			switch replacement := replacements[r]; {
			case replacement != nil:
				placed[replacement] = true
				updated.Routes = append(updated.Routes, replacement.at(entry.Host))
			case !withdrawnRoutes[r.Name]:
				updated.Routes = append(updated.Routes, r)
			}
		}
		if host := strings.ToLower(entry.Host); byHost[host] == nil {
			byHost[host] = updated
		}
		hadRoutes[updated] = len(entry.Routes) > 0
		merged = append(merged, updated)
	}
	for _, entry := range delivered {
		host := strings.ToLower(entry.Host)
		if byHost[host] == nil {
			byHost[host] = &hostRoutes{Host: entry.Host}
			merged = append(merged, byHost[host])
		}
		target := byHost[host]
		target.fields = mergeFields(target.fields, entry.otherFields())
		for _, r := range entry.Routes {
			if !placed[r] {
				target.Routes = append(target.Routes, r.at(target.Host))
			}
		}
	}
	return slices.DeleteFunc(merged, func(entry *hostRoutes) bool { return hadRoutes[entry] && len(entry.Routes) == 0 })
}

// at returns the route with its host written as in the entry that holds it.
func (r *Route) at(host string) *Route {
	if r.Host == host {
		return r
	}
	moved := *r
	moved.Host = host
	return &moved
}

// withoutHosts returns the entries of all hosts that are not withdrawn.
func withoutHosts(entries []*hostRoutes, withdrawn map[string]bool) (kept []*hostRoutes) {
	hosts := map[string]bool{}
	for host := range withdrawn {
		hosts[strings.ToLower(host)] = true
	}
	for _, entry := range entries {
		if !hosts[strings.ToLower(entry.Host)] {
			kept = append(kept, entry)
		}
	}
	return kept
}

// matchRoutes returns which existing routes are replaced by which delivered ones. Routes with the same host, name and
// prefix match. Of the others, a delivered route matches an existing one if both are the only ones left with their host
// and name: its prefix changes. Anything else would replace a route that the amendment may not mean.
func matchRoutes(existing, delivered []*hostRoutes) map[*Route]*Route {
	replacements := map[*Route]*Route{}
	everyName := func(string) bool { return true }
	deliveredByID := groupByID(delivered, everyName)
	deliveredNames := map[string]bool{}
	for id := range deliveredByID {
		deliveredNames[id.name] = true
	}
	existingByID := groupByID(existing, func(name string) bool { return deliveredNames[name] }) // usually a few of thousands
	for id, newRoutes := range deliveredByID {
		oldRoutes := existingByID[id]
		var unmatched []*Route
		for _, r := range newRoutes {
			position := indexOfPrefix(oldRoutes, r.Match.PathPrefix)
			if position < 0 {
				unmatched = append(unmatched, r)
				continue
			}
			replacements[oldRoutes[position]] = r
			oldRoutes = append(oldRoutes[:position:position], oldRoutes[position+1:]...)
		}
		if len(oldRoutes) == 1 && len(unmatched) == 1 {
			replacements[oldRoutes[0]] = unmatched[0]
		}
	}
	return replacements
}

// groupByID groups the routes whose names are wanted.
func groupByID(entries []*hostRoutes, wanted func(name string) bool) map[routeID][]*Route {
	groups := map[routeID][]*Route{}
	for _, entry := range entries {
		for _, r := range entry.Routes {
			if wanted(r.Name) {
				id := idOf(r)
				groups[id] = append(groups[id], r)
			}
		}
	}
	return groups
}

// indexOfPrefix returns the position of the first route with a path prefix, or -1.
func indexOfPrefix(routes []*Route, prefix string) int {
	for position, r := range routes {
		if r.Match.PathPrefix == prefix {
			return position
		}
	}
	return -1
}

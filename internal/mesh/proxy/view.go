package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/routing"
	"ottershift/logic"
)

// configurationView is one version of the configuration, prepared for routing requests.
type configurationView struct {
	index         uint64
	configuration *routing.Configuration
	idle          time.Duration
	targets       map[*routing.Route][]target
}

// target is a service of a route, with the terms under which its pool serves the route.
type target struct {
	servicePool  *servicePool
	share        float64
	limitedTerms *logic.Config
	tariff       int
}

// pick selects a service of a route at random according to the services' shares.
func (v *configurationView) pick(route *routing.Route) target {
	candidates := v.targets[route]
	total := 0.0
	for _, t := range candidates {
		total += t.share
	}
	x := rand.Float64() * total
	for _, t := range candidates {
		if x -= t.share; x < 0 && t.share > 0 {
			return t
		}
	}
	if len(candidates) == 0 {
		return target{}
	}
	return candidates[len(candidates)-1]
}

// activate puts a version of the configuration in force. A version that is not newer than the active one is refused.
// The cost depends on the changed services, apart from one pass over all routes. A service whose load balancer rejects
// its terms keeps the previous ones and does not block the other services.
func (p *Proxy) activate(index uint64, config *routing.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.view.Load(); current != nil && index <= current.index {
		return
	}
	byService := map[string][]*routing.Route{}
	for _, route := range config.Routes {
		for i, part := range route.Services {
			if !containsService(route.Services[:i], part.Service) {
				byService[part.Service] = append(byService[part.Service], route)
			}
		}
	}
	changed := p.updateServices(byService)
	p.routes = byService
	p.view.Store(p.newView(index, config))
	p.applyQuotas(config)
	p.log.Info("configuration", "edition", config.Edition, "index", index, "routes", len(config.Routes), "services_changed", changed)
	p.updateUpstreamLists()
	p.partnerPolicy.Lock()
	p.applyPartners()
	p.partnerPolicy.Unlock()
}

// containsService reports whether parts include a service.
func containsService(parts []routing.WeightedService, service string) bool {
	for _, part := range parts {
		if part.Service == service {
			return true
		}
	}
	return false
}

// updateServices applies changed routes to the load balancers of their services and returns the number of changed
// services. The caller holds mu.
func (p *Proxy) updateServices(byService map[string][]*routing.Route) (changed int) {
	for service, newRoutes := range byService {
		if p.pools[service] != nil && slices.Equal(p.routes[service], newRoutes) {
			continue
		}
		changed++
		if err := p.updateRoutes(service, newRoutes); err != nil {
			p.counters.Increment("retunes_failed")
			p.log.Error("retune", "service", service, "err", err)
			delete(byService, service) // retried with the next version, even if these routes do not change
		}
	}
	return changed
}

// newView returns the view of a version with the existing load balancers. The caller holds mu.
func (p *Proxy) newView(index uint64, config *routing.Configuration) *configurationView {
	view := &configurationView{index: index, configuration: config, idle: time.Duration(config.Limits.IdleTimeout),
		targets: make(map[*routing.Route][]target, len(config.Routes))}
	for _, route := range config.Routes {
		for _, part := range route.Services {
			service := p.pools[part.Service]
			if service == nil {
				continue
			}
			if to, known := service.target(route, part.Weight); known {
				view.targets[route] = append(view.targets[route], to)
			}
		}
	}
	return view
}

// applyQuotas applies the tenants' quotas of a configuration. The caller holds mu.
func (p *Proxy) applyQuotas(config *routing.Configuration) {
	p.tokenCache.Lock()
	defer p.tokenCache.Unlock()
	limits := ratelimit.TenantLimits(config, &p.settings.Bounds)
	p.tokenCache.limited = false
	for _, limit := range limits {
		p.tokenCache.limited = p.tokenCache.limited || limit.Rate > 0
	}
	p.tokenCache.quota.SetLimits(limits, p.members, p.now())
	p.applyCreditTerms(config)
}

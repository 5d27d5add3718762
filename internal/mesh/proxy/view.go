package proxy

import (
	"math/rand/v2"
	"slices"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/routing"
	"ottershift/logic"
)

// configurationView is what a balancer goes by: one version of the configuration, whole.
type configurationView struct {
	index   uint64
	table   *routing.Configuration
	idle    time.Duration
	targets map[*routing.Route][]target
}

// target is a service of a route, and the terms under which its pool takes the route's requests.
type target struct {
	pool   *pool
	share  float64
	under  *logic.Config
	tariff int
}

// pick takes a service of a route by its shares.
func (v *configurationView) pick(r *routing.Route) target {
	all := v.targets[r]
	total := 0.0
	for _, t := range all {
		total += t.share
	}
	x := rand.Float64() * total
	for _, t := range all {
		if x -= t.share; x < 0 && t.share > 0 {
			return t
		}
	}
	if len(all) == 0 {
		return target{}
	}
	return all[len(all)-1]
}

// adopt puts a version of the configuration in force. Invariant: an older one than was acted on, within one life, is refused. What it
// costs goes by what differs from the version before, beside a look at each route. A service whose module refuses its terms goes on
// under those before, and keeps no other from the new ones.
func (p *Proxy) adopt(index uint64, t *routing.Configuration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.view.Load(); now != nil && index <= now.index {
		return
	}
	byService := map[string][]*routing.Route{}
	for _, r := range t.Routes {
		for at, part := range r.Parts {
			if !namedBefore(r.Parts[:at], part.Service) {
				byService[part.Service] = append(byService[part.Service], r)
			}
		}
	}
	changed := p.retuneServices(byService)
	p.rules = byService
	p.view.Store(p.viewOf(index, t))
	p.quota(t)
	p.log.Info("configuration", "edition", t.Edition, "index", index, "routes", len(t.Routes), "services_changed", changed)
	p.relist()
	p.exports.Lock()
	p.partners()
	p.exports.Unlock()
}

func namedBefore(parts []routing.WeightedService, service string) bool {
	for _, part := range parts {
		if part.Service == service {
			return true
		}
	}
	return false
}

// retuneServices gives their routes to the modules whose routes are others than before, and counts these. Under mu.
func (p *Proxy) retuneServices(byService map[string][]*routing.Route) (changed int) {
	for service, routes := range byService {
		if p.pools[service] != nil && slices.Equal(p.rules[service], routes) {
			continue
		}
		changed++
		if err := p.retune(service, routes); err != nil {
			p.counts.Add("retunes_failed")
			p.log.Error("retune", "service", service, "err", err)
			delete(byService, service) // the next version tells it again, whether these routes differ or not
		}
	}
	return changed
}

// viewOf is the view of a version, by the modules as they stand. Under mu.
func (p *Proxy) viewOf(index uint64, t *routing.Configuration) *configurationView {
	v := &configurationView{index: index, table: t, idle: time.Duration(t.Limits.Idle), targets: make(map[*routing.Route][]target, len(t.Routes))}
	for _, r := range t.Routes {
		for _, part := range r.Parts {
			service := p.pools[part.Service]
			if service == nil {
				continue
			}
			if to, known := service.target(r, part.Share); known {
				v.targets[r] = append(v.targets[r], to)
			}
		}
	}
	return v
}

// quota gives tenants their parts. Under mu.
func (p *Proxy) quota(t *routing.Configuration) {
	p.wallet.Lock()
	defer p.wallet.Unlock()
	limits := ratelimit.LimitsOf(t, &p.settings.Bounds)
	p.wallet.limited = false
	for _, l := range limits {
		p.wallet.limited = p.wallet.limited || l.Rate > 0
	}
	p.wallet.is.Set(limits, p.members, p.now())
	p.creditTerms(t)
}

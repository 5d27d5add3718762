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
	under  *logic.Terms
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
func (f *Proxy) adopt(index uint64, t *routing.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.view.Load(); now != nil && index <= now.index {
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
	changed := f.retuneServices(byService)
	f.rules = byService
	f.view.Store(f.viewOf(index, t))
	f.quota(t)
	f.log.Info("configuration", "edition", t.Edition, "index", index, "routes", len(t.Routes), "services_changed", changed)
	f.relist()
	f.exports.Lock()
	f.partners()
	f.exports.Unlock()
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
func (f *Proxy) retuneServices(byService map[string][]*routing.Route) (changed int) {
	for service, routes := range byService {
		if f.pools[service] != nil && slices.Equal(f.rules[service], routes) {
			continue
		}
		changed++
		if err := f.retune(service, routes); err != nil {
			f.counts.Add("retunes_failed")
			f.log.Error("retune", "service", service, "err", err)
			delete(byService, service) // the next version tells it again, whether these routes differ or not
		}
	}
	return changed
}

// viewOf is the view of a version, by the modules as they stand. Under mu.
func (f *Proxy) viewOf(index uint64, t *routing.Configuration) *configurationView {
	v := &configurationView{index: index, table: t, idle: time.Duration(t.Limits.Idle), targets: make(map[*routing.Route][]target, len(t.Routes))}
	for _, r := range t.Routes {
		for _, part := range r.Parts {
			p := f.pools[part.Service]
			if p == nil {
				continue
			}
			if to, known := p.target(r, part.Share); known {
				v.targets[r] = append(v.targets[r], to)
			}
		}
	}
	return v
}

// quota gives tenants their parts. Under mu.
func (f *Proxy) quota(t *routing.Configuration) {
	f.wallet.Lock()
	defer f.wallet.Unlock()
	limits := ratelimit.LimitsOf(t, &f.settings.Bounds)
	f.wallet.limited = false
	for _, l := range limits {
		f.wallet.limited = f.wallet.limited || l.Rate > 0
	}
	f.wallet.is.Set(limits, f.members, f.now())
	f.creditTerms(t)
}

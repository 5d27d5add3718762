package ratelimit

import (
	"math"

	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/settings"
)

// A tenant's quota is shared by all proxies. The coordinator keeps the TokenBank: one pool per tenant that fills at the
// tenant's rate. Proxies prefetch tokens from it into their Wallets and spend them locally, without a call per request.
// A request that finds no token waits for one token request to the bank.
//
// Bound: the requests allowed in a window W spend tokens that the pool gained in the window (R·W), that were in the
// pool at its start (P), or that were in wallets at its start (H). The bank keeps P + H within Reserve, so for a tenant
// with rate R and burst S
//
//	allowed(W) <= R·W + Reserve + R·(AssumeFallbackAfter - FallbackAfter)·k/n
//	Reserve = X - max(0.3·X, R·(AssumeFallbackAfter - FallbackAfter)), X = S + OverRatio·(R·W + S) + Slack
//
// A proxy that cannot reach the bank spends a fallback rate of R/n. The bank fills its pools by that much less for each
// proxy that it does not hear from. When k of n proxies lose the bank at once, their rate counts twice until the bank
// notices; Reserve leaves room for this.

// Time constants of the quota protocol, in nanoseconds of the local clock.
const (
	AssumeFallbackAfter = int64(900e6)  // silence after which the bank assumes that a proxy spends its fallback rate
	FallbackAfter       = int64(450e6)  // time without a response after which a proxy spends its fallback rate
	TokenExpiry         = int64(2500e6) // time without a response after which a proxy drops its tokens
	GrantExpiry         = int64(3000e6) // silence after which the bank counts a proxy's tokens as gone
	PrefetchWindow      = int64(600e6)  // amount of demand that a proxy prefetches
	minRetryAfter       = int64(40e6)   // shortest wait before the next request to an empty pool
	firstRetryAfter     = int64(10e6)   // the same for a pool that has just run empty or been opened, as requests wait for it
)

// Limit is a tenant's quota and the tolerance with which it is enforced.
type Limit struct {
	Rate, Burst      float64 // requests per second, and requests beyond the rate
	Window           int64   // nanoseconds
	OverRatio, Slack float64 // tolerance per window, relative to the quota and in requests
}

// Reserve returns the most tokens that the pool and all wallets may hold together.
func (l Limit) Reserve() float64 {
	tolerance := l.Burst + l.OverRatio*(l.Rate*float64(l.Window)/nanosPerSecond+l.Burst) + l.Slack
	return math.Max(0, tolerance-math.Max(0.3*tolerance, l.Rate*float64(AssumeFallbackAfter-FallbackAfter)/nanosPerSecond))
}

// MaxPerWindow returns the most requests that may be allowed in a window.
func (l Limit) MaxPerWindow() float64 {
	return (l.Rate*float64(l.Window)/nanosPerSecond+l.Burst)*(1+l.OverRatio) + l.Slack
}

// TenantLimits returns the limits of a configuration's tenants by name.
func TenantLimits(configuration *routing.Configuration, bounds *settings.Bounds) map[string]Limit {
	limits := map[string]Limit{}
	for _, tenant := range configuration.Tenants {
		limits[tenant.Name] = Limit{tenant.RatePerSecond, tenant.Burst, int64(bounds.QuotaWindow), bounds.QuotaOver, bounds.QuotaSlack}
	}
	return limits
}

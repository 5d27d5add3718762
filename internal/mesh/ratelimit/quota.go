package ratelimit

import (
	"math"

	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/settings"
)

// A tenant's quota is one purse for all balancers. Whoever has the duty keeps the bank: a pool that fills at the tenant's
// rate, out of which balancers draw tokens before they need them. A token is spent once, by who has it, without asking
// anybody; a request for which there is none waits for one draw.
//
// The bound. In any window W, what passes is what the pool gained (R·W), what lay in the pool (P) and what was out in
// wallets (H) at its beginning: R·W + P + H. The bank keeps P + H within Reserve, so
//
//	passed(W) <= R·W + Reserve + R·(Silent - Standing)·k/n
//	Reserve = X - max(0.3·X, R·(Silent - Standing)), X = S + over·(R·W + S) + slack
//
// A balancer that hears nothing from the bank has a standing rate R/n; the bank fills that much less for each that it
// does not hear. k of n that lose the bank at once count double until it has noticed, which is what Reserve leaves free.

// Times of the quota's protocol, in nanoseconds of whoever counts them.
const (
	Silent   = int64(900e6)  // after which the bank leaves a balancer that it does not hear its standing rate
	Standing = int64(450e6)  // after which a balancer without a bank takes it
	Expiry   = int64(2500e6) // after which a balancer without a bank drops its tokens
	Forget   = int64(3000e6) // after which the bank counts them as gone
	Ahead    = int64(600e6)  // of its demand that a balancer draws beforehand
	dryLeast = int64(40e6)   // that a balancer does without asking for while the pool is dry
	dryFirst = int64(10e6)   // the same for a pool that has just run dry, or has just been opened: it is waited for
)

// Limit is a tenant's quota and the rule's figures.
type Limit struct {
	Rate, Surge float64 // a second; beyond it
	Window      int64
	Over, Slack float64
}

// Reserve is the most that may lie in the pool and in wallets together.
func (l Limit) Reserve() float64 {
	x := l.Surge + l.Over*(l.Rate*float64(l.Window)/s+l.Surge) + l.Slack
	return math.Max(0, x-math.Max(0.3*x, l.Rate*float64(Silent-Standing)/s))
}

// Bound is the most that may pass in a window, as the rule has it.
func (l Limit) Bound() float64 {
	return (l.Rate*float64(l.Window)/s+l.Surge)*(1+l.Over) + l.Slack
}

// LimitsOf is the limits of a configuration's tenants.
func LimitsOf(t *routing.Configuration, b *settings.Bounds) map[string]Limit {
	all := map[string]Limit{}
	for _, s := range t.Tenants {
		all[s.Name] = Limit{s.RatePerSecond, s.Burst, int64(b.QuotaWindow), b.QuotaOver, b.QuotaSlack}
	}
	return all
}

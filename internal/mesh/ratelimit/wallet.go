package ratelimit

import (
	"math"
)

// Verdict is the decision on a request of a tenant with a quota.
type Verdict uint8

// Verdicts of Wallet.Take.
const (
	Allowed       Verdict = iota // a token was spent
	Denied                       // no token is available
	RequestTokens                // no token is held; the request waits for a token request to the bank
)

// tenantTokens is the wallet's state of one tenant.
type tenantTokens struct {
	Limit
	tokens     float64
	demand     float64 // requests per second, exponentially decayed
	updatedAt  int64   // of demand, in nanoseconds
	emptyUntil int64   // until then the bank has no tokens, in nanoseconds
	waiting    int     // requests that wait for a token request
	fallback   TokenBucket
}

// Wallet holds one proxy's tokens of all tenants. It starts empty: a proxy cannot know what its previous incarnation
// had left, so a restart, even of all proxies at once, grants nothing twice.
type Wallet struct {
	balancerCount     int
	tenants           map[string]*tenantTokens
	seq               uint64
	rejoin            bool  // the bank answered after a fallback and counts the proxy as active from its next request on
	answeredRequestAt int64 // send time of the latest answered request, in nanoseconds
}

// NewWallet returns an empty wallet that spends its fallback rate until the bank answers.
func NewWallet(now int64) *Wallet {
	return &Wallet{tenants: map[string]*tenantTokens{}, answeredRequestAt: now - FallbackAfter - 1}
}

// SetLimits applies the tenants' limits and the known number of proxies.
func (w *Wallet) SetLimits(limits map[string]Limit, balancerCount int, now int64) {
	w.balancerCount = max(balancerCount, 1)
	for tenant := range w.tenants {
		if limit, found := limits[tenant]; !found || limit.Rate <= 0 {
			delete(w.tenants, tenant)
		}
	}
	for tenant, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		state := w.tenants[tenant]
		if state == nil {
			state = &tenantTokens{updatedAt: now, fallback: TokenBucket{updatedAt: now}}
			w.tenants[tenant] = state
		}
		state.Limit = limit
		state.fallback.rate, state.fallback.capacity =
			limit.Rate/float64(w.balancerCount), math.Max(1, limit.Rate/float64(w.balancerCount)/4)
	}
}

// useFallback reports whether the bank has been silent for so long that the fallback rate applies.
func (w *Wallet) useFallback(now int64) bool { return now-w.answeredRequestAt > FallbackAfter }

// Take decides on a request of a tenant. waited is set for a request that has already waited for a token request.
// retryAfter, in nanoseconds, applies to a denied request.
func (w *Wallet) Take(tenant string, now int64, waited bool) (verdict Verdict, retryAfter int64) {
	state := w.tenants[tenant]
	if state == nil {
		return Allowed, 0
	}
	if !waited { // a request that has waited was counted before
		state.demand *= math.Exp(-float64(now-state.updatedAt) / nanosPerSecond)
		state.demand++
		state.updatedAt = now
	}
	if now-w.answeredRequestAt > TokenExpiry {
		state.tokens = 0
	}
	if state.tokens >= 1 {
		state.tokens--
		return Allowed, 0
	}
	if w.useFallback(now) {
		if state.fallback.refill(now); state.fallback.available >= 1 {
			state.fallback.available--
			return Allowed, 0
		}
		return Denied, int64((1 - state.fallback.available) / state.fallback.rate * nanosPerSecond)
	}
	if waited || now < state.emptyUntil-firstRetryAfter {
		return Denied, max(state.emptyUntil-now, minRetryAfter)
	}
	state.waiting++
	return RequestTokens, 0
}

// targetTokens returns how many tokens the proxy should hold. It rounds down: for a tenant with few requests per
// second, one token at each of many proxies would use up the quota and leave none where the next request arrives.
func (t *tenantTokens) targetTokens(now int64) float64 {
	return math.Floor(t.demand * math.Exp(-float64(now-t.updatedAt)/nanosPerSecond) * float64(PrefetchWindow) / nanosPerSecond)
}

// ShouldRequest reports whether a token request is useful before the next regular one.
func (w *Wallet) ShouldRequest(now int64) bool {
	if w.rejoin {
		return true
	}
	for _, state := range w.tenants {
		if now >= state.emptyUntil && state.tokens < state.targetTokens(now)/3 {
			return true
		}
	}
	return false
}

// NewRequest returns the next token request. It gives back tokens beyond twice the target and what waiting requests
// need.
func (w *Wallet) NewRequest(node, incarnation string, now int64) *TokenRequest {
	w.seq++
	w.rejoin = false
	request := &TokenRequest{Node: node, Incarnation: incarnation, Seq: w.seq,
		Fallback: w.useFallback(now), Demands: map[string]Demand{}}
	for tenant, state := range w.tenants {
		targetTokens := state.targetTokens(now)
		keep := math.Min(state.tokens, 2*targetTokens+float64(state.waiting))
		demand := Demand{Held: keep, Returned: state.tokens - keep}
		state.tokens = keep
		if now >= state.emptyUntil {
			demand.Wanted = math.Max(0, targetTokens-state.tokens) + float64(state.waiting)
		}
		if state.waiting = 0; demand != (Demand{}) {
			request.Demands[tenant] = demand
		}
	}
	return request
}

// RequestRefused records that the bank was unreachable, or that the controller asked does not keep the bank (yet). The
// fallback rate applies at once.
func (w *Wallet) RequestRefused(now int64) {
	w.answeredRequestAt = min(w.answeredRequestAt, now-FallbackAfter-1)
}

// ApplyGrants applies the response to a request that was sent at sentAt.
func (w *Wallet) ApplyGrants(grants map[string]TokenGrant, sentAt, now int64) {
	if sentAt < w.answeredRequestAt {
		return
	}
	w.rejoin = w.useFallback(now)
	w.answeredRequestAt = sentAt
	for tenant, grant := range grants {
		if state := w.tenants[tenant]; state != nil {
			state.tokens += grant.Tokens
			if grant.RetryAfter > 0 {
				state.emptyUntil = now + grant.RetryAfter
			}
		}
	}
}

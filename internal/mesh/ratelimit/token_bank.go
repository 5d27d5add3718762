package ratelimit

import (
	"cmp"
	"math"
	"slices"
)

// tenantPool is one tenant's pool at the bank.
type tenantPool struct {
	Limit
	tokens        float64
	activeSeconds float64            // value of the bank's activeSeconds at the last refill
	refilledAt    int64              // time of the last refill, in nanoseconds
	outstanding   map[string]float64 // tokens in wallets, by proxy
	emptyAt       int64              // when a request last found the pool empty

	unused float64 // tokens beyond what the reserve allows the pool to hold, since TakeUnused
}

// balancerState is what the bank knows of a proxy from its last request.
type balancerState struct {
	incarnation string
	seq         uint64
	lastHeard   int64
	fallback    bool
}

// TokenBank holds the token pools of all tenants. The coordinator keeps it.
type TokenBank struct {
	openedAt      int64
	balancers     map[string]*balancerState
	balancerCount int // number of proxies, as agreed by the controllers
	pools         map[string]*tenantPool

	activeSeconds float64 // time since the bank was opened, weighted with the fraction of proxies that drew on it
	advancedTo    int64   // time up to which activeSeconds is integrated, in nanoseconds
}

// Demand is what a proxy asks for one tenant, in tokens.
type Demand struct {
	Held     float64 `json:",omitempty"`     // tokens that it holds
	Wanted   float64 `json:"More,omitempty"` // tokens that it wants in addition
	Returned float64 `json:"Back,omitempty"` // unspent tokens that it gives back
}

// TokenRequest is a proxy's request to the bank.
type TokenRequest struct {
	Node        string
	Incarnation string            `json:"Life"` // one run of the proxy's process
	Seq         uint64            // increases with each request of an incarnation
	Fallback    bool              `json:"Standing"` // it spends its fallback rate
	Demands     map[string]Demand `json:"Wants"`    // by tenant
}

// TokenGrant is the bank's response for one tenant.
type TokenGrant struct {
	Tokens     float64 `json:",omitempty"`
	RetryAfter int64   `json:"Dry,omitempty"` // nanoseconds to wait before the next request; 0 if there were enough tokens
}

// NewTokenBank opens a bank. Tokens granted by its predecessor may be outstanding until GrantExpiry has passed.
func NewTokenBank(now int64) *TokenBank {
	return &TokenBank{openedAt: now, advancedTo: now, balancers: map[string]*balancerState{}, pools: map[string]*tenantPool{}}
}

// SetLimits applies the tenants' limits and the number of proxies.
func (b *TokenBank) SetLimits(limits map[string]Limit, count int, now int64) {
	b.balancerCount = count
	for tenant := range b.pools {
		if limit, found := limits[tenant]; !found || limit.Rate <= 0 {
			delete(b.pools, tenant)
		}
	}
	for tenant, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		pool := b.pools[tenant]
		if pool == nil {
			b.advance(now)
			pool = &tenantPool{activeSeconds: b.activeSeconds, refilledAt: now, outstanding: map[string]float64{}}
			b.pools[tenant] = pool
		}
		b.refill(pool, now)
		pool.Limit = limit
	}
}

// activeFraction returns the fraction of the proxies that draw on the bank.
func (b *TokenBank) activeFraction(now int64) float64 {
	active := 0
	for _, balancer := range b.balancers {
		if !balancer.fallback && now-balancer.lastHeard < AssumeFallbackAfter {
			active++
		}
	}
	return float64(active) / float64(max(b.balancerCount, len(b.balancers), 1))
}

// advance integrates activeSeconds up to now.
func (b *TokenBank) advance(now int64) {
	if now > b.advancedTo {
		b.activeSeconds += b.activeFraction(now) * float64(now-b.advancedTo) / nanosPerSecond
		b.advancedTo = now
	}
}

// refill adds the tokens gained since the last refill to a pool, within its reserve.
func (b *TokenBank) refill(pool *tenantPool, now int64) {
	b.advance(now)
	pool.tokens += pool.Rate * (b.activeSeconds - pool.activeSeconds)
	// The limit uses the tokens that were outstanding while the gain accrued. With those outstanding now, tokens that
	// have been spent meanwhile would raise the limit in retrospect.
	maxTokens := math.Max(0, pool.Reserve()-b.outstandingAtRefill(pool))
	pool.activeSeconds, pool.refilledAt = b.activeSeconds, now
	pool.unused += math.Max(0, pool.tokens-maxTokens)
	pool.tokens = math.Min(pool.tokens, maxTokens)
}

// TakeUnused returns the tokens, by tenant, that overflowed the pools since the last call, and resets them.
func (b *TokenBank) TakeUnused() map[string]float64 {
	byTenant := map[string]float64{}
	for tenant, pool := range b.pools {
		b.refill(pool, b.advancedTo)
		if pool.unused > 0 {
			byTenant[tenant], pool.unused = pool.unused, 0
		}
	}
	return byTenant
}

// outstandingAtRefill returns the tokens that may have been in wallets since the pool's last refill.
func (b *TokenBank) outstandingAtRefill(pool *tenantPool) (total float64) {
	for _, tokens := range pool.outstanding {
		total += tokens
	}
	if pool.refilledAt-b.openedAt < GrantExpiry {
		total += pool.Reserve() / 2
	}
	return total
}

// outstanding returns the tokens that may be in wallets now.
func (b *TokenBank) outstanding(pool *tenantPool, now int64) (total float64) {
	for node, tokens := range pool.outstanding {
		if balancer := b.balancers[node]; balancer != nil && now-balancer.lastHeard < GrantExpiry {
			total += tokens
		} else {
			delete(pool.outstanding, node)
		}
	}
	if now-b.openedAt < GrantExpiry {
		total += pool.Reserve() / 2 // granted by the bank of the previous coordinator
	}
	return total
}

// Grant answers a token request. It returns nil for a request that was overtaken by a later one. The tokens that a
// proxy reports as held replace the bank's own count: a proxy's requests are sequential, so tokens of a lost response
// count as never granted.
func (b *TokenBank) Grant(request *TokenRequest, now int64) map[string]TokenGrant {
	balancer := b.balancers[request.Node]
	if balancer != nil && balancer.incarnation == request.Incarnation && request.Seq <= balancer.seq {
		return nil // overtaken by a later request
	}
	if balancer == nil || balancer.incarnation != request.Incarnation {
		balancer = &balancerState{incarnation: request.Incarnation}
		b.balancers[request.Node] = balancer
		for _, pool := range b.pools { // the previous incarnation spends nothing any more
			if pool.outstanding[request.Node] != 0 {
				b.refill(pool, now)
				delete(pool.outstanding, request.Node)
			}
		}
	}
	balancer.fallback = balancer.fallback && request.Fallback // fallback only if both the last and this request say so
	b.advance(now)                                            // with the state of the proxies before this request
	balancer.seq, balancer.lastHeard, balancer.fallback = request.Seq, now, request.Fallback
	for node, other := range b.balancers {
		if now-other.lastHeard > 20*GrantExpiry {
			delete(b.balancers, node)
		}
	}
	grants := map[string]TokenGrant{}
	tenants := make([]string, 0, len(request.Demands))
	for tenant := range request.Demands {
		tenants = append(tenants, tenant)
	}
	slices.SortFunc(tenants, cmp.Compare[string])
	for _, pool := range b.pools {
		if pool.outstanding[request.Node] != 0 { // reported again below, or spent
			b.refill(pool, now)
			delete(pool.outstanding, request.Node)
		}
	}
	for _, tenant := range tenants {
		pool, demand := b.pools[tenant], request.Demands[tenant]
		if pool == nil {
			continue
		}
		b.refill(pool, now)
		pool.outstanding[request.Node] = math.Max(demand.Held, 0)
		pool.tokens = math.Max(pool.tokens,
			math.Min(pool.tokens+math.Max(demand.Returned, 0), pool.Reserve()-b.outstanding(pool, now)))
		grantable := math.Min(pool.tokens, pool.Reserve()*3/4-b.outstanding(pool, now))
		granted := math.Floor(math.Min(demand.Wanted, math.Max(math.Min(grantable, 1), grantable/2)))
		if granted > 0 {
			pool.tokens -= granted
			pool.outstanding[request.Node] += granted
		}
		grant := TokenGrant{Tokens: math.Max(granted, 0)}
		if granted < 1 && demand.Wanted >= 1 {
			minWait := minRetryAfter
			if request.Fallback || now-pool.emptyAt > int64(nanosPerSecond/2) {
				minWait = firstRetryAfter
			}
			if !request.Fallback {
				pool.emptyAt = now
			}
			grant.RetryAfter = max(minWait, min(int64(nanosPerSecond/4), int64((1-math.Min(grantable, 1))/
				(pool.Rate*math.Max(b.activeFraction(now), 1/float64(max(b.balancerCount, 1))))*nanosPerSecond)))
		}
		grants[tenant] = grant
	}
	return grants
}

// TenantStatus is the state of a tenant's pool and its bounds.
type TenantStatus struct {
	Tenant       string
	Rate         float64 // requests per second
	Burst        float64 `json:"Surge"`
	Pool         float64 // tokens in the pool
	Outstanding  float64 `json:"Out"` // tokens that may be in wallets
	Reserve      float64 // limit of Pool and Outstanding together
	MaxPerWindow float64 `json:"Bound"` // requests that may be allowed in a window
}

// Status returns the state of all tenants, sorted by name.
func (b *TokenBank) Status(now int64) (all []TenantStatus) {
	for tenant, pool := range b.pools {
		b.refill(pool, now)
		all = append(all, TenantStatus{tenant, pool.Rate, pool.Burst, pool.tokens, b.outstanding(pool, now),
			pool.Reserve(), pool.MaxPerWindow()})
	}
	slices.SortFunc(all, func(x, y TenantStatus) int { return cmp.Compare(x.Tenant, y.Tenant) })
	return all
}

package proxy

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
)

const (
	idleDrawInterval = 350 * time.Millisecond // without demand: the token bank reserves a base rate for a proxy that sends no token requests
	minDrawInterval  = 12 * time.Millisecond  // between two token requests
	drawTimeout      = 300 * time.Millisecond // for the response to a token request
	maxDrawWait      = 60 * time.Millisecond  // that a request without a token waits for one token request
	// A request may need several token requests: one in flight does not include its demand, and a new bank has no
	// tokens yet.
	maxDrawWaits = 3 // token requests that a request waits for
)

// tokenCache holds this proxy's quota tokens of the tenants and the address of the coordinator that grants more.
type tokenCache struct {
	sync.Mutex
	quota       *ratelimit.Wallet
	limited     bool // some tenant has a limit
	coordinator string
	epoch       uint64
	wake        chan struct{} // buffered for one value
	drawDone    chan struct{} // closed at the end of each token request
}

// setCoordinator sets the controller that keeps the token bank. One of an earlier epoch is ignored.
func (c *tokenCache) setCoordinator(address string, epoch uint64) {
	c.Lock()
	defer c.Unlock()
	if epoch >= c.epoch {
		c.coordinator, c.epoch = address, epoch
	}
}

// signalDemand wakes runTokenDraws.
func (c *tokenCache) signalDemand() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withinQuota reports whether a request is within its tenant's quota. Most requests find a token in the cache; one that
// does not waits for a token request.
func (p *Proxy) withinQuota(ctx context.Context, tenant string) (ok bool, retryAfter time.Duration) {
	cache := &p.tokenCache
	for round := 0; ; round++ {
		cache.Lock()
		verdict, wait := cache.quota.Take(tenant, p.now(), round == maxDrawWaits)
		drawDone := cache.drawDone
		due := verdict == ratelimit.RequestTokens || cache.quota.ShouldRequest(p.now())
		cache.Unlock()
		if due {
			cache.signalDemand()
		}
		if verdict != ratelimit.RequestTokens {
			return verdict == ratelimit.Allowed, time.Duration(wait)
		}
		p.counters.Increment("draws_waited")
		timeout := time.NewTimer(maxDrawWait)
		select {
		case <-drawDone:
		case <-timeout.C:
		case <-ctx.Done():
		}
		timeout.Stop()
	}
}

// runTokenDraws requests tokens from the coordinator according to demand.
func (p *Proxy) runTokenDraws(ctx context.Context) {
	cache := &p.tokenCache
	ticker := time.NewTicker(idleDrawInterval)
	defer ticker.Stop()
	for {
		select {
		case <-cache.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		cache.Lock()
		address, sentAt := cache.coordinator, p.now()
		if !cache.limited || address == "" {
			cache.Unlock()
			continue
		}
		request := cache.quota.NewRequest(p.settings.Node, p.instanceID, sentAt)
		cache.Unlock()
		callContext, cancel := context.WithTimeout(ctx, drawTimeout)
		grants := map[string]ratelimit.TokenGrant{}
		err := p.caller.Call(callContext, address, rpc.PathTokens, request, &grants)
		refused := err != nil && callContext.Err() == nil
		cancel()
		cache.Lock()
		if err == nil {
			cache.quota.ApplyGrants(grants, sentAt, p.now())
			if cache.quota.ShouldRequest(p.now()) {
				cache.signalDemand()
			}
		} else if refused {
			cache.quota.RequestRefused(p.now())
		}
		close(cache.drawDone)
		cache.drawDone = make(chan struct{})
		cache.Unlock()
		p.counters.Increment("draws")
		if err != nil {
			p.counters.Increment("draws_failed")
		}
		select {
		case <-time.After(minDrawInterval):
		case <-ctx.Done():
			return
		}
	}
}

package proxy

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
)

const (
	idleDrawInterval = 350 * time.Millisecond // where nothing is needed: the bank leaves who is silent a standing rate
	minDrawInterval  = 12 * time.Millisecond  // between two draws
	drawTimeout      = 300 * time.Millisecond
	maxDrawWait      = 60 * time.Millisecond // that a request without a token waits for a draw
	maxDrawWaits     = 3                     // draws that it waits for: one under way knew nothing of it, a bank just opened has nothing yet
)

// tokenCache is this balancer's tokens of tenants' quotas, and where more are drawn.
type tokenCache struct {
	sync.Mutex
	quota       *ratelimit.Wallet
	limited     bool // a tenant has a limit
	coordinator string
	epoch       uint64
	wake        chan struct{} // has room for one
	drawDone    chan struct{} // closed with the end of each draw
}

// epochs takes who keeps the bank. An earlier one than was heard of is refused.
func (c *tokenCache) setCoordinator(address string, epoch uint64) {
	c.Lock()
	defer c.Unlock()
	if epoch >= c.epoch {
		c.coordinator, c.epoch = address, epoch
	}
}

func (c *tokenCache) signalDemand() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// within reports whether a request is within its tenant's quota. Most find a token; one that doesn't waits for a draw.
func (p *Proxy) withinQuota(ctx context.Context, tenant string) (ok bool, retryAfter time.Duration) {
	cache := &p.tokenCache
	for round := 0; ; round++ {
		cache.Lock()
		verdict, wait := cache.quota.Take(tenant, p.now(), round == maxDrawWaits)
		drawDone := cache.drawDone
		due := verdict == ratelimit.Ask || cache.quota.Wants(p.now())
		cache.Unlock()
		if due {
			cache.signalDemand()
		}
		if verdict != ratelimit.Ask {
			return verdict == ratelimit.Pass, time.Duration(wait)
		}
		p.counters.Add("draws_waited")
		timeout := time.NewTimer(maxDrawWait)
		select {
		case <-drawDone:
		case <-timeout.C:
		case <-ctx.Done():
		}
		timeout.Stop()
	}
}

// runTokenDraws keeps the wallet as full as demand wants it.
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
			cache.quota.ApplyGrant(grants, sentAt, p.now())
			if cache.quota.Wants(p.now()) {
				cache.signalDemand()
			}
		} else if refused {
			cache.quota.GrantRefused(p.now())
		}
		close(cache.drawDone)
		cache.drawDone = make(chan struct{})
		cache.Unlock()
		p.counters.Add("draws")
		if err != nil {
			p.counters.Add("draws_failed")
		}
		select {
		case <-time.After(minDrawInterval):
		case <-ctx.Done():
			return
		}
	}
}

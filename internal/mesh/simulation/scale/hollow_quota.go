package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
)

// Intervals and the timeout of token requests, the same as those of a real proxy.
const (
	tokenRequestInterval = 350 * time.Millisecond
	tokenRequestPause    = 12 * time.Millisecond
	tokenRequestTimeout  = 300 * time.Millisecond
)

// Parameters of the quota rule, the defaults of the process settings.
const (
	quotaWindow    = 5 * time.Second
	quotaOverRatio = 0.1
	quotaSlack     = 20
	quotaFactor    = 2 // quota relative to the request rate of a tenant, so that no request is refused
)

// hollowQuota holds the tokens of a hollow proxy. Requests take them from a real wallet, and token requests to the real
// coordinator refill it.
type hollowQuota struct {
	proxy  *hollowProxy
	plan   *QuotaPlan
	epoch  time.Time
	needed chan struct{}

	mu     sync.Mutex
	wallet *ratelimit.Wallet
}

func newHollowQuota(h *hollowProxy, p *Plan) *hollowQuota {
	q := &hollowQuota{proxy: h, plan: &p.Quota, epoch: time.Now(), needed: make(chan struct{}, 1), wallet: ratelimit.NewWallet(0)}
	limits := map[string]ratelimit.Limit{}
	for n := range p.Quota.Tenants {
		rate := p.Quota.rate(h.fleet.size)
		limits[tenantName(n)] = ratelimit.Limit{Rate: rate, Burst: rate, Window: int64(quotaWindow), OverRatio: quotaOverRatio, Slack: quotaSlack}
	}
	q.wallet.SetLimits(limits, h.fleet.size, 0)
	return q
}

func tenantName(n int) string { return fmt.Sprintf("tenant-%02d", n) }

// rate returns the quota of each tenant for a number of proxies.
func (p *QuotaPlan) rate(proxies int) float64 {
	return quotaFactor * p.Calls * float64(proxies) / float64(p.Tenants)
}

func (q *hollowQuota) now() int64 { return int64(time.Since(q.epoch)) }

// run takes and requests tokens until ctx ends.
func (q *hollowQuota) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { q.takeTokens(ctx) })
	tasks.Go(func() { q.requestTokens(ctx) })
	tasks.Wait()
}

// takeTokens takes a token for each simulated request, at random times and for tenants in equal shares.
func (q *hollowQuota) takeTokens(ctx context.Context) {
	for sleep(ctx, time.Duration(rand.ExpFloat64()/q.plan.Calls*float64(time.Second))) == nil {
		q.mu.Lock()
		verdict, _ := q.wallet.Take(tenantName(rand.IntN(q.plan.Tenants)), q.now(), false)
		needsTokens := verdict == ratelimit.RequestTokens || q.wallet.ShouldRequest(q.now())
		q.mu.Unlock()
		q.proxy.fleet.meter.QuotaCalls.Add(1)
		if verdict == ratelimit.RequestTokens {
			q.proxy.fleet.meter.QuotaWaited.Add(1)
		}
		if needsTokens {
			q.signalNeed()
		}
	}
}

func (q *hollowQuota) signalNeed() {
	select {
	case q.needed <- struct{}{}:
	default:
	}
}

func (q *hollowQuota) requestTokens(ctx context.Context) {
	ticker := time.NewTicker(tokenRequestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.needed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if address := q.proxy.coordinator(); address != "" {
			q.requestOnce(ctx, address)
		}
		if sleep(ctx, tokenRequestPause) != nil {
			return
		}
	}
}

func (q *hollowQuota) requestOnce(ctx context.Context, address string) {
	q.mu.Lock()
	sent := q.now()
	request := q.wallet.NewRequest(q.proxy.node.Name, q.proxy.incarnation(), sent)
	q.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, tokenRequestTimeout)
	defer cancel()
	grants := map[string]ratelimit.TokenGrant{}
	err := q.proxy.caller.Call(callCtx, address, rpc.PathTokens, request, &grants)
	meter := q.proxy.fleet.meter
	meter.Draws.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		meter.DrawsFailed.Add(1)
		if callCtx.Err() == nil {
			q.wallet.RequestRefused(q.now())
		}
		return
	}
	q.wallet.ApplyGrants(grants, sent, q.now())
	if q.wallet.ShouldRequest(q.now()) {
		q.signalNeed()
	}
}

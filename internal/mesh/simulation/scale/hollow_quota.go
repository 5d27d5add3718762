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

// How a hollow balancer draws tokens; a real proxy does the same.
const (
	drawEvery  = 350 * time.Millisecond
	drawPause  = 12 * time.Millisecond
	drawWithin = 300 * time.Millisecond
)

// Figures of the quota rule that the settings of a process hold where nothing else is said.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	quotaAmple  = 2 // times what tenants ask is their quota: nothing is refused for it
)

// hollowQuota is the tokens of a hollow balancer: calls take them from a real wallet, and draws at the real coordinator refill it.
type hollowQuota struct {
	hollow *hollow
	plan   *QuotaPlan
	epoch  time.Time
	need   chan struct{}

	mu     sync.Mutex
	wallet *ratelimit.Wallet
}

func newHollowQuota(h *hollow, p *Plan) *hollowQuota {
	q := &hollowQuota{hollow: h, plan: &p.Quota, epoch: time.Now(), need: make(chan struct{}, 1), wallet: ratelimit.NewWallet(0)}
	limits := map[string]ratelimit.Limit{}
	for n := range p.Quota.Tenants {
		rate := p.Quota.rate(h.fleet.size)
		limits[tenantName(n)] = ratelimit.Limit{Rate: rate, Burst: rate, Window: int64(quotaWindow), OverRatio: quotaOver, Slack: quotaSlack}
	}
	q.wallet.SetLimits(limits, h.fleet.size, 0)
	return q
}

func tenantName(n int) string { return fmt.Sprintf("tenant-%02d", n) }

// rate is the quota of each tenant, at a number of balancers.
func (p *QuotaPlan) rate(balancers int) float64 {
	return quotaAmple * p.Calls * float64(balancers) / float64(p.Tenants)
}

func (q *hollowQuota) now() int64 { return int64(time.Since(q.epoch)) }

// run calls and draws until the context ends.
func (q *hollowQuota) run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { q.call(ctx) })
	both.Go(func() { q.draw(ctx) })
	both.Wait()
}

// call takes a token for each call, at random times, of tenants in equal parts.
func (q *hollowQuota) call(ctx context.Context) {
	for pause(ctx, time.Duration(rand.ExpFloat64()/q.plan.Calls*float64(time.Second))) == nil {
		q.mu.Lock()
		verdict, _ := q.wallet.Take(tenantName(rand.IntN(q.plan.Tenants)), q.now(), false)
		wants := verdict == ratelimit.RequestTokens || q.wallet.ShouldRequest(q.now())
		q.mu.Unlock()
		q.hollow.fleet.meter.QuotaCalls.Add(1)
		if verdict == ratelimit.RequestTokens {
			q.hollow.fleet.meter.QuotaWaited.Add(1)
		}
		if wants {
			q.want()
		}
	}
}

func (q *hollowQuota) want() {
	select {
	case q.need <- struct{}{}:
	default:
	}
}

func (q *hollowQuota) draw(ctx context.Context) {
	every := time.NewTicker(drawEvery)
	defer every.Stop()
	for {
		select {
		case <-q.need:
		case <-every.C:
		case <-ctx.Done():
			return
		}
		if at := q.hollow.coordinator(); at != "" {
			q.drawOnce(ctx, at)
		}
		if pause(ctx, drawPause) != nil {
			return
		}
	}
}

func (q *hollowQuota) drawOnce(ctx context.Context, at string) {
	q.mu.Lock()
	sent := q.now()
	request := q.wallet.NewRequest(q.hollow.node.Name, q.hollow.life(), sent)
	q.mu.Unlock()
	call, end := context.WithTimeout(ctx, drawWithin)
	defer end()
	given := map[string]ratelimit.TokenGrant{}
	err := q.hollow.caller.Call(call, at, rpc.PathTokens, request, &given)
	meter := q.hollow.fleet.meter
	meter.Draws.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		meter.DrawsFailed.Add(1)
		if call.Err() == nil {
			q.wallet.RequestRefused(q.now())
		}
		return
	}
	q.wallet.ApplyGrants(given, sent, q.now())
	if q.wallet.ShouldRequest(q.now()) {
		q.want()
	}
}

package proxy

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
)

const (
	drawEvery  = 350 * time.Millisecond // where nothing is needed: the bank leaves who is silent a standing rate
	drawPause  = 12 * time.Millisecond  // between two draws
	drawWithin = 300 * time.Millisecond
	drawWait   = 60 * time.Millisecond // that a request without a token waits for a draw
	drawRounds = 3                     // draws that it waits for: one under way knew nothing of it, a bank just opened has nothing yet
)

// wallet is this balancer's tokens of tenants' quotas, and where more are drawn.
type wallet struct {
	sync.Mutex
	is          *ratelimit.Wallet
	limited     bool // a tenant has a limit
	coordinator string
	reign       uint64
	need        chan struct{} // has room for one
	drawn       chan struct{} // closed with the end of each draw
}

// epochs takes who keeps the bank. An earlier one than was heard of is refused.
func (w *wallet) reigns(at string, reign uint64) {
	w.Lock()
	defer w.Unlock()
	if reign >= w.reign {
		w.coordinator, w.reign = at, reign
	}
}

func (w *wallet) want() {
	select {
	case w.need <- struct{}{}:
	default:
	}
}

// within reports whether a request is within its tenant's quota. Most find a token; one that doesn't waits for a draw.
func (p *Proxy) withinQuota(ctx context.Context, tenant string) (ok bool, again time.Duration) {
	w := &p.wallet
	for round := 0; ; round++ {
		w.Lock()
		verdict, wait := w.is.Take(tenant, p.now(), round == drawRounds)
		drawn := w.drawn
		wants := verdict == ratelimit.RequestTokens || w.is.ShouldRequest(p.now())
		w.Unlock()
		if wants {
			w.want()
		}
		if verdict != ratelimit.RequestTokens {
			return verdict == ratelimit.Allowed, time.Duration(wait)
		}
		p.counts.Add("draws_waited")
		late := time.NewTimer(drawWait)
		select {
		case <-drawn:
		case <-late.C:
		case <-ctx.Done():
		}
		late.Stop()
	}
}

// draw keeps the wallet as full as demand wants it.
func (p *Proxy) draw(ctx context.Context) {
	w := &p.wallet
	t := time.NewTicker(drawEvery)
	defer t.Stop()
	for {
		select {
		case <-w.need:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		w.Lock()
		at, sent := w.coordinator, p.now()
		if !w.limited || at == "" {
			w.Unlock()
			continue
		}
		d := w.is.NewRequest(p.settings.Node, p.life, sent)
		w.Unlock()
		call, end := context.WithTimeout(ctx, drawWithin)
		given := map[string]ratelimit.TokenGrant{}
		err := p.caller.Call(call, at, rpc.PathTokens, d, &given)
		refused := err != nil && call.Err() == nil
		end()
		w.Lock()
		if err == nil {
			w.is.ApplyGrants(given, sent, p.now())
			if w.is.ShouldRequest(p.now()) {
				w.want()
			}
		} else if refused {
			w.is.RequestRefused(p.now())
		}
		close(w.drawn)
		w.drawn = make(chan struct{})
		w.Unlock()
		p.counts.Add("draws")
		if err != nil {
			p.counts.Add("draws_failed")
		}
		select {
		case <-time.After(drawPause):
		case <-ctx.Done():
			return
		}
	}
}

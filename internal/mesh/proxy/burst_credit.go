package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
)

const (
	creditWait   = 300 * time.Millisecond // that a request waits for a token at most
	creditWithin = 900 * time.Millisecond // that a report is waited for
)

// credit is this balancer's part of tenants' burst credit. Where no tenant has any, nothing here runs.
type credit struct {
	sync.Mutex
	wallet *burstcredit.Wallet
	on     atomic.Bool
	need   chan struct{} // has room for one
}

// terms puts a configuration's in force. Under mu.
func (p *Proxy) creditTerms(t *routing.Configuration) {
	services := map[string]float64{}
	for _, d := range t.Services {
		services[d.Name] = d.BurstCreditPerSecond
	}
	p.credit.Lock()
	defer p.credit.Unlock()
	p.credit.wallet.SetTerms(burstcredit.TenantTerms(t), services, p.members, p.now())
	p.credit.on.Store(p.credit.wallet.Enabled())
}

// claim is what a request beyond its tenant's rate would draw for, and under which name: the client's key for it where it has
// one; else an effect is its own, and pages and downloads of one tenant are one for as long as settled names are known.
func (p *Proxy) claim(r *http.Request, rule *routing.Route, tenant *routing.Tenant) burstcredit.Claim {
	k := burstcredit.Claim{Tenant: tenant.Name, Service: rule.Parts[0].Service, HasEffect: !rule.MailClass.Repeats(),
		Rank: tenant.Precedence*1000 + rule.Precedence}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		k.FromClient = host != settings.Host(p.settings.App) // the upstream on this machine calls from its own address
	}
	switch key := r.Header.Get("Idempotency-Key"); {
	case key != "":
		k.ID = burstcredit.RequestID("key", key, r.Method, r.Host, r.RequestURI)
	case k.HasEffect:
		k.ID = burstcredit.RequestID("try", r.Header.Get(attemptID))
	default:
		k.ID = burstcredit.RequestID("page", r.Method, r.Host, r.RequestURI)
	}
	return k
}

// draws has a request go on out of its tenant's credit, if there is any; it waits for its turn.
func (p *Proxy) draws(ctx context.Context, k burstcredit.Claim) bool {
	c := &p.credit
	called := make(chan bool, 1)
	c.Lock()
	verdict := c.wallet.Claim(k, p.now(), func(ok bool) { called <- ok })
	c.Unlock()
	p.wantCredit()
	switch verdict {
	case burstcredit.Reserved:
		p.counts.Add("credit_drawn")
		return true
	case burstcredit.NoCredit:
		return false
	}
	late := time.NewTimer(creditWait)
	defer late.Stop()
	select {
	case <-called:
		p.counts.Add("credit_drawn")
		return true
	case <-late.C:
	case <-ctx.Done():
	}
	c.Lock()
	left := c.wallet.Cancel(k)
	c.Unlock()
	if !left { // its turn came meanwhile
		<-called
		if ctx.Err() != nil {
			p.drawn(k, burstcredit.NotDelivered)
			return false
		}
		p.counts.Add("credit_drawn")
		return true
	}
	p.counts.Add("credit_none")
	return false
}

// drawn tells what became of it.
func (p *Proxy) drawn(k burstcredit.Claim, end burstcredit.Outcome) {
	c := &p.credit
	c.Lock()
	c.wallet.Finish(k, end, p.now())
	c.wallet.ServeQueue(p.now())
	c.Unlock()
	p.wantCredit()
}

func (p *Proxy) wantCredit() {
	select {
	case p.credit.need <- struct{}{}:
	default:
	}
}

// report tells the core what was spent, and asks for more, for as long as there is something to tell.
func (p *Proxy) report(ctx context.Context) {
	c := &p.credit
	for {
		select {
		case <-c.need:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			p.wallet.Lock()
			at := p.wallet.coordinator
			p.wallet.Unlock()
			c.Lock()
			wants := c.wallet.ShouldReport(p.now()) && at != ""
			var r *burstcredit.Report
			if wants {
				r = c.wallet.Report(p.now())
			}
			c.Unlock()
			if !wants {
				break
			}
			sent := p.now()
			call, end := context.WithTimeout(ctx, creditWithin)
			g := &burstcredit.Grant{}
			err := p.caller.Call(call, at, rpc.PathCredit, r, g)
			end()
			if p.counts.Add("credit_reports"); err != nil {
				p.counts.Add("credit_reports_failed")
			} else {
				c.Lock()
				c.wallet.ApplyGrant(g, sent, p.now())
				c.Unlock()
			}
			pause := time.NewTimer(time.Duration(burstcredit.ReportInterval))
			select {
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
		}
	}
}

// settles tells what became of a request that drew on credit, once it has its answer.
func (p *Proxy) settles(q *request) {
	if q.claim == nil {
		return
	}
	q.mu.Lock()
	end := burstcredit.NotDelivered
	switch {
	case q.delivered:
		end = burstcredit.Delivered
	case q.ran > 0:
		end = burstcredit.Unknown
	}
	q.mu.Unlock()
	p.drawn(*q.claim, end)
}

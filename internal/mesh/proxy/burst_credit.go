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
	maxCreditWait       = 300 * time.Millisecond // that a request waits for a burst token
	creditReportTimeout = 900 * time.Millisecond // for the response to a report
)

// burstCredit is this proxy's share of the tenants' burst credit. It is idle if no tenant has any.
type burstCredit struct {
	sync.Mutex
	tokenCache *burstcredit.Wallet
	enabled    atomic.Bool
	wake       chan struct{} // buffered for one value
}

// applyCreditTerms applies the burst credit terms of a configuration. The caller holds mu.
func (p *Proxy) applyCreditTerms(config *routing.Configuration) {
	services := map[string]float64{}
	for _, service := range config.Services {
		services[service.Name] = service.MaxBurstCreditPerSecond
	}
	p.burstCredit.Lock()
	defer p.burstCredit.Unlock()
	p.burstCredit.tokenCache.SetTerms(burstcredit.TenantTerms(config), services, p.members, p.now())
	p.burstCredit.enabled.Store(p.burstCredit.tokenCache.Enabled())
}

// creditClaim returns the claim of a request beyond its tenant's rate and the ID under which it is charged once. The
// ID is the client's idempotency key if there is one. Otherwise each request with side effects has its own, and
// repeatable requests of a tenant for the same URL share one while settled claims are remembered.
func (p *Proxy) creditClaim(r *http.Request, route *routing.Route, tenant *routing.Tenant) burstcredit.Claim {
	claim := burstcredit.Claim{Tenant: tenant.Name, Service: route.Services[0].Service, HasEffect: !route.Class.IsRepeatable(),
		Rank: tenant.Priority*1000 + route.Priority}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		claim.FromClient = host != settings.Host(p.settings.UpstreamAddress) // the upstream on this machine calls from its own address
	}
	switch key := r.Header.Get("Idempotency-Key"); {
	case key != "":
		claim.ID = burstcredit.RequestID("key", key, r.Method, r.Host, r.RequestURI)
	case claim.HasEffect:
		claim.ID = burstcredit.RequestID("try", r.Header.Get(requestIDHeader))
	default:
		claim.ID = burstcredit.RequestID("page", r.Method, r.Host, r.RequestURI)
	}
	return claim
}

// drawCredit reports whether a request may use its tenant's burst credit. It waits up to maxCreditWait for its turn.
func (p *Proxy) drawCredit(ctx context.Context, claim burstcredit.Claim) bool {
	credit := &p.burstCredit
	granted := make(chan bool, 1)
	credit.Lock()
	verdict := credit.tokenCache.Claim(claim, p.now(), func(ok bool) { granted <- ok })
	credit.Unlock()
	p.signalCreditDemand()
	switch verdict {
	case burstcredit.Reserved:
		p.counters.Increment("credit_drawn")
		return true
	case burstcredit.NoCredit:
		return false
	}
	timeout := time.NewTimer(maxCreditWait)
	defer timeout.Stop()
	select {
	case <-granted:
		p.counters.Increment("credit_drawn")
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	credit.Lock()
	removed := credit.tokenCache.Cancel(claim)
	credit.Unlock()
	if !removed { // the credit was granted meanwhile
		<-granted
		if ctx.Err() != nil {
			p.finishClaim(claim, burstcredit.NotDelivered)
			return false
		}
		p.counters.Increment("credit_drawn")
		return true
	}
	p.counters.Increment("credit_none")
	return false
}

// finishClaim records the outcome of a claim.
func (p *Proxy) finishClaim(claim burstcredit.Claim, outcome burstcredit.Outcome) {
	credit := &p.burstCredit
	credit.Lock()
	credit.tokenCache.Finish(claim, outcome, p.now())
	credit.tokenCache.ServeQueue(p.now())
	credit.Unlock()
	p.signalCreditDemand()
}

// signalCreditDemand wakes runCreditReports.
func (p *Proxy) signalCreditDemand() {
	select {
	case p.burstCredit.wake <- struct{}{}:
	default:
	}
}

// runCreditReports reports spent credit to the control plane's coordinator and requests more, as long as there is
// something to report.
func (p *Proxy) runCreditReports(ctx context.Context) {
	credit := &p.burstCredit
	for {
		select {
		case <-credit.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			p.tokenCache.Lock()
			address := p.tokenCache.coordinator
			p.tokenCache.Unlock()
			credit.Lock()
			due := credit.tokenCache.ShouldReport(p.now()) && address != ""
			var report *burstcredit.Report
			if due {
				report = credit.tokenCache.Report(p.now())
			}
			credit.Unlock()
			if !due {
				break
			}
			sentAt := p.now()
			callContext, cancel := context.WithTimeout(ctx, creditReportTimeout)
			grant := &burstcredit.Grant{}
			err := p.caller.Call(callContext, address, rpc.PathCreditReport, report, grant)
			cancel()
			if p.counters.Increment("credit_reports"); err != nil {
				p.counters.Increment("credit_reports_failed")
			} else {
				credit.Lock()
				credit.tokenCache.ApplyGrant(grant, sentAt, p.now())
				credit.Unlock()
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

// settleCredit records the outcome of a request that used burst credit, once the client has its response.
func (p *Proxy) settleCredit(request *downstreamRequest) {
	if request.creditClaim == nil {
		return
	}
	request.mu.Lock()
	outcome := burstcredit.NotDelivered
	switch {
	case request.delivered:
		outcome = burstcredit.Delivered
	case request.mayHaveRun > 0:
		outcome = burstcredit.Unknown
	}
	request.mu.Unlock()
	p.finishClaim(*request.creditClaim, outcome)
}

package proxy

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/routing"
)

const (
	maxBufferedBody     = 256 << 10 // bytes of a request body that are held so that it can be sent again; a longer body is sent once
	maxBufferedResponse = 64 << 10  // bytes of a response that are held until it is complete; a longer one is streamed
	bufferSize          = 16 << 10  // bytes of a copy buffer

	maxUnsizedBody = 64 << 20 // bytes of a body of unknown length, if the configuration sets no limit
)

// serveOutbound handles a request that starts on this machine: it is read, routed and sent in the attempts that the
// load balancer orders, and the client gets exactly one response.
func (p *Proxy) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.outboundRequests.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	active := p.view.Load()
	if p.refusing.Load() {
		p.refuse(w, r, apierror.NoCapacity, 0)
		return
	}
	if active == nil {
		p.refuse(w, r, apierror.NotReady, 0)
		return
	}
	if !p.draining.Load() {
		p.advertiseKeepAlive(w, r, active.idle)
	}
	request, routeTarget, reason := p.readRequest(active, r)
	if reason != notRefused {
		p.refuse(w, r, reason.kind, reason.retryAfter)
		return
	}
	defer p.settleCredit(request)
	now := p.now()
	routeTarget.servicePool.recordFirst(now, request.rank)
	call := routeTarget.servicePool.desk.Arrive(desk.Arrival{
		Config: routeTarget.limitedTerms, Tariff: routeTarget.tariff, Customer: -1,
		Timeout: time.Until(request.clientDeadline), BodyPending: request.bodyRest != nil,
	})
	p.runRequest(w, r, request, call)
}

// refusal is the reason why a request is not served, and when the client may retry.
type refusal struct {
	kind       apierror.Kind
	retryAfter time.Duration
}

// notRefused is the refusal of a request that may go on.
var notRefused = refusal{kind: apierror.None}

// refused returns a refusal without a retry time.
func refused(kind apierror.Kind) refusal { return refusal{kind: kind} }

// readRequest reads a client's request and determines its route, tenant, deadline and body.
func (p *Proxy) readRequest(active *configurationView, r *http.Request) (*downstreamRequest, target, refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !isRoutable(r, path) {
		return nil, target{}, refused(apierror.Malformed)
	}
	var to target
	route := active.configuration.Find(r.Host, path)
	if route == nil { // a partner may export the path
		var kind apierror.Kind
		if route, to, kind = p.routeToPartner(r, path); kind != apierror.None {
			return nil, to, refused(kind)
		}
	}
	request := &downstreamRequest{
		method: r.Method, target: r.RequestURI, host: r.Host, requestID: r.Header.Get(requestIDHeader),
		header: endToEndHeaders(r.Header), length: r.ContentLength,
		latencyTarget: time.Duration(cmp.Or(route.TargetLatency, route.Forwarding.Deadline)), longResponse: route.Class == routing.Streamed,
		maxAttempts: route.Forwarding.MaxAttempts, responses: map[int]*downstreamResponse{},
	}
	for _, name := range meshOwnedHeaders {
		delete(request.header, name)
	}
	request.header[callerServiceHeader] = []string{p.settings.Service}
	if reason := p.authorize(active, r, route, request); reason != notRefused {
		return nil, to, reason
	}
	reason := p.readDeadlineAndBody(active, r, route, request)
	if reason == notRefused && to.servicePool == nil {
		if to = active.pick(route); to.servicePool == nil { // the service has no load balancer: its terms were rejected
			reason = refused(apierror.NoCapacity)
		}
	}
	if reason != notRefused {
		if request.creditClaim != nil { // the credit was not used
			p.finishClaim(*request.creditClaim, burstcredit.NotDelivered)
		}
		return nil, to, reason
	}
	request.servicePool = to.servicePool
	return request, to, notRefused
}

// isRoutable reports whether a request may be routed.
func isRoutable(r *http.Request, path string) bool {
	// No response could be matched to a request with several IDs.
	return len(r.Header[requestIDHeader]) <= 1 && strings.HasPrefix(path, "/") && r.Method != http.MethodConnect
}

// authorize determines the tenant and rank of a request, and whether the tenant may send it now. Services of partners
// require a key as well, because the caller is a tenant of this mesh.
func (p *Proxy) authorize(active *configurationView, r *http.Request, route *routing.Route, request *downstreamRequest) refusal {
	request.rank = rankOf(route, nil)
	if !active.configuration.RequiresKeys() || route.AllowsAnonymous {
		return notRefused
	}
	tenant := active.configuration.Tenant(r.Header.Get(apiKeyHeader))
	if tenant == nil {
		return refused(apierror.Unauthenticated)
	}
	if !p.keys.valid(p.now()) {
		return refused(apierror.NotReady)
	}
	request.header[tenantHeader] = []string{tenant.Name}
	request.rank = rankOf(route, tenant)
	allowed, retryAfter := p.withinQuota(r.Context(), tenant.Name)
	if allowed {
		return notRefused
	}
	if !p.burstCredit.enabled.Load() {
		return refusal{apierror.LimitExceeded, retryAfter}
	}
	creditClaim := p.creditClaim(r, route, tenant)
	if !p.drawCredit(r.Context(), creditClaim) {
		return refusal{apierror.LimitExceeded, retryAfter}
	}
	request.creditClaim = &creditClaim
	return notRefused
}

// readDeadlineAndBody reads the deadline of a request, and its body up to maxBufferedBody.
func (p *Proxy) readDeadlineAndBody(active *configurationView, r *http.Request, route *routing.Route,
	request *downstreamRequest) refusal {
	remaining := time.Duration(route.Forwarding.Deadline)
	if text := r.Header.Get(timeLeftHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0) {
			return refused(apierror.Malformed)
		}
		remaining = min(remaining, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	limit := active.configuration.Limits.MaxBodyBytes
	if limit > 0 && r.ContentLength > limit {
		return refused(apierror.TooLarge)
	}
	request.clientDeadline = time.Now().Add(remaining)
	if r.ContentLength == 0 {
		return notRefused
	}
	return request.readBody(r, limit)
}

// readBody reads a short body completely and the beginning of a long one, whose rest is streamed later. A body of
// unknown length is buffered completely, up to the limit of the configuration.
func (r *downstreamRequest) readBody(httpRequest *http.Request, limit int64) refusal {
	body, err := io.ReadAll(io.LimitReader(httpRequest.Body, maxBufferedBody+1))
	if err != nil {
		return refused(apierror.Malformed)
	}
	if len(body) > maxBufferedBody && httpRequest.ContentLength >= 0 {
		r.body, r.bodyRest = body, httpRequest.Body
		return notRefused
	}
	if len(body) > maxBufferedBody {
		limit = cmp.Or(limit, maxUnsizedBody)
		more, err := io.ReadAll(io.LimitReader(httpRequest.Body, limit-int64(len(body))+1))
		if err != nil {
			return refused(apierror.Malformed)
		}
		if body = append(body, more...); int64(len(body)) > limit {
			return refused(apierror.TooLarge)
		}
	}
	r.body, r.length = body, int64(len(body))
	return notRefused
}

// refuse responds to a request that is not served, and counts the reason.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, kind apierror.Kind, retryAfter time.Duration) {
	p.counters.Increment("answer_" + kind.String())
	p.writeError(w, r, kind, retryAfter)
}

// writeError writes an error response with the request's ID.
func (p *Proxy) writeError(w http.ResponseWriter, r *http.Request, kind apierror.Kind, retryAfter time.Duration) {
	if id := r.Header.Get(requestIDHeader); id != "" {
		w.Header()[requestIDHeader] = []string{id}
	}
	if r.ContentLength > maxBufferedBody {
		w.Header()["Connection"] = []string{"close"}
	}
	apierror.Write(w, kind, retryAfter, "")
}

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
	maxBufferedBody     = 256 << 10 // of a request, so that it can be sent again; what is longer goes once
	maxBufferedResponse = 64 << 10  // of an answer, until it is known to be whole; what is longer flows
	bufferSize          = 16 << 10

	maxUnsizedBody = 64 << 20 // of a body of no stated length, where the configuration has no bound
)

// serveOutbound is the life of a request that starts on this machine: read, routed, pushed as the module decides, answered
// exactly once.
func (p *Proxy) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.outboundRequests.Add(1)
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	active := p.view.Load()
	if p.refusing.Load() {
		p.refuse(w, r, apierror.NoRoom, 0)
		return
	}
	if active == nil {
		p.refuse(w, r, apierror.Unready, 0)
		return
	}
	if !p.draining.Load() {
		p.advertiseKeepAlive(w, r, active.idle)
	}
	request, t, reason := p.readRequest(active, r)
	if reason != notRefused {
		p.refuse(w, r, reason.kind, reason.retryAfter)
		return
	}
	defer p.settleCredit(request)
	now := p.now()
	t.servicePool.recordFirst(now, request.rank)
	call := t.servicePool.desk.Arrive(desk.Arrival{
		Under: t.limitedTerms, Tariff: t.tariff, Customer: -1, Left: time.Until(request.clientDeadline), Unwhole: request.bodyRest != nil,
	})
	p.runRequest(w, r, request, call)
}

// refusal is why a request goes no further, and when it may come again.
type refusal struct {
	kind       apierror.Kind
	retryAfter time.Duration
}

var notRefused = refusal{kind: apierror.None}

func refused(kind apierror.Kind) refusal { return refusal{kind: kind} }

// readRequest takes a request as it came: its route, whose it is, its time and its body.
func (p *Proxy) readRequest(active *configurationView, r *http.Request) (*downstreamRequest, target, refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !isRoutable(r, path) {
		return nil, target{}, refused(apierror.Malformed)
	}
	var to target
	route := active.configuration.Find(r.Host, path)
	if route == nil { // a partner may let it in
		var kind apierror.Kind
		if route, to, kind = p.routeToPartner(r, path); kind != apierror.None {
			return nil, to, refused(kind)
		}
	}
	request := &downstreamRequest{
		method: r.Method, target: r.RequestURI, host: r.Host, requestID: r.Header.Get(requestIDHeader), header: endToEndHeaders(r.Header), length: r.ContentLength,
		latencyTarget: time.Duration(cmp.Or(route.Target, route.Dispatch.Deadline)), longResponse: route.MailClass == routing.Streamed,
		maxAttempts: route.Dispatch.DeliveryTries, responses: map[int]*downstreamResponse{},
	}
	for _, name := range meshOwnedHeaders {
		delete(request.header, name)
	}
	request.header[callerServiceHeader] = []string{p.settings.Destination}
	if reason := p.authorize(active, r, route, request); reason != notRefused {
		return nil, to, reason
	}
	reason := p.readDeadlineAndBody(active, r, route, request)
	if reason == notRefused && to.servicePool == nil {
		if to = active.pick(route); to.servicePool == nil { // no module could be made for its service
			reason = refused(apierror.NoRoom)
		}
	}
	if reason != notRefused {
		if request.creditClaim != nil { // it goes no further
			p.finishClaim(*request.creditClaim, burstcredit.NeverRan)
		}
		return nil, to, reason
	}
	request.servicePool = to.servicePool
	return request, to, notRefused
}

// isRoutable reports whether a request may be routed at all.
func isRoutable(r *http.Request, path string) bool {
	// Of one with several ids no answer could be matched to it.
	return len(r.Header[requestIDHeader]) <= 1 && strings.HasPrefix(path, "/") && r.Method != http.MethodConnect
}

// authorize finds whose a request is, what its rank is, and whether its tenant may ask now. Partners' services need a key, too:
// whoever asks is a tenant of ours.
func (p *Proxy) authorize(active *configurationView, r *http.Request, route *routing.Route, request *downstreamRequest) refusal {
	request.rank = rankOf(route, nil)
	if !active.configuration.RequiresKeys() || route.Unstamped {
		return notRefused
	}
	tenant := active.configuration.Tenant(r.Header.Get(apiKeyHeader))
	if tenant == nil {
		return refused(apierror.NoKey)
	}
	if !p.keys.valid(p.now()) {
		return refused(apierror.Unready)
	}
	request.header[tenantHeader] = []string{tenant.Name}
	request.rank = rankOf(route, tenant)
	allowed, retryAfter := p.withinQuota(r.Context(), tenant.Name)
	if allowed {
		return notRefused
	}
	if !p.burstCredit.enabled.Load() {
		return refusal{apierror.Beyond, retryAfter}
	}
	creditClaim := p.creditClaim(r, route, tenant)
	if !p.drawCredit(r.Context(), creditClaim) {
		return refusal{apierror.Beyond, retryAfter}
	}
	request.creditClaim = &creditClaim
	return notRefused
}

// readDeadlineAndBody reads how long a request may take, and its body as far as it is held.
func (p *Proxy) readDeadlineAndBody(active *configurationView, r *http.Request, route *routing.Route, request *downstreamRequest) refusal {
	remaining := time.Duration(route.Dispatch.Deadline)
	if text := r.Header.Get(timeLeftHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0) {
			return refused(apierror.Malformed)
		}
		remaining = min(remaining, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	limit := active.configuration.Limits.ContentsBytes
	if limit > 0 && r.ContentLength > limit {
		return refused(apierror.TooLong)
	}
	request.clientDeadline = time.Now().Add(remaining)
	if r.ContentLength == 0 {
		return notRefused
	}
	return request.readBody(r, limit)
}

// readBody reads a body whole, or its beginning where it is long: the rest then goes on as it comes. One whose length is not known
// before its end is gathered, up to the most that the configuration allows.
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
			return refused(apierror.TooLong)
		}
	}
	r.body, r.length = body, int64(len(body))
	return notRefused
}

// refuse answers what goes no further.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, kind apierror.Kind, retryAfter time.Duration) {
	p.counters.Add("answer_" + kind.String())
	p.writeError(w, r, kind, retryAfter)
}

func (p *Proxy) writeError(w http.ResponseWriter, r *http.Request, kind apierror.Kind, retryAfter time.Duration) {
	if id := r.Header.Get(requestIDHeader); id != "" {
		w.Header()[requestIDHeader] = []string{id}
	}
	if r.ContentLength > maxBufferedBody {
		w.Header()["Connection"] = []string{"close"}
	}
	apierror.Write(w, kind, retryAfter, "")
}

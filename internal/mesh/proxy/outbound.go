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
	heldBody   = 256 << 10 // of a request, so that it can be sent again; what is longer goes once
	heldAnswer = 64 << 10  // of an answer, until it is known to be whole; what is longer flows
	piece      = 16 << 10

	mostGathered = 64 << 20 // of a body of no stated length, where the configuration has no bound
)

// serveOutbound is the life of a request that starts on this machine: read, routed, pushed as the module decides, answered
// exactly once.
func (p *Proxy) serveOutbound(w http.ResponseWriter, r *http.Request) {
	p.requests.Add(1)
	p.open.Add(1)
	defer p.open.Add(-1)
	v := p.view.Load()
	if p.closed.Load() {
		p.refuse(w, r, apierror.NoRoom, 0)
		return
	}
	if v == nil {
		p.refuse(w, r, apierror.Unready, 0)
		return
	}
	if !p.leaving.Load() {
		p.promiseKeepAlive(w, r, v.idle)
	}
	q, t, why := p.read(v, r)
	if why != goesOn {
		p.refuse(w, r, why.kind, why.after)
		return
	}
	defer p.settles(q)
	now := p.now()
	t.pool.first(now, q.rank)
	c := t.pool.desk.Arrive(desk.Arrival{
		Config: t.under, Tariff: t.tariff, Customer: -1, Timeout: time.Until(q.stop), BodyPending: q.rest != nil,
	})
	p.follow(w, r, q, c)
}

// refusal is why a request goes no further, and when it may come again.
type refusal struct {
	kind  apierror.Kind
	after time.Duration
}

var goesOn = refusal{kind: apierror.None}

func refused(kind apierror.Kind) refusal { return refusal{kind: kind} }

// read takes a request as it came: its route, whose it is, its time and its body.
func (p *Proxy) read(v *configurationView, r *http.Request) (*request, target, refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !wellFormed(r, path) {
		return nil, target{}, refused(apierror.Malformed)
	}
	var to target
	route := v.table.Find(r.Host, path)
	if route == nil { // a partner may let it in
		var kind apierror.Kind
		if route, to, kind = p.toPartner(r, path); kind != apierror.None {
			return nil, to, refused(kind)
		}
	}
	q := &request{
		method: r.Method, target: r.RequestURI, host: r.Host, id: r.Header.Get(attemptID), header: onward(r.Header), length: r.ContentLength,
		aim: time.Duration(cmp.Or(route.Target, route.Dispatch.Deadline)), long: route.MailClass == routing.Streamed,
		tries: route.Dispatch.DeliveryTries, replies: map[int]*reply{},
	}
	for _, name := range setByTheHub {
		delete(q.header, name)
	}
	q.header[returnTo] = []string{p.settings.Destination}
	if why := p.authorize(v, r, route, q); why != goesOn {
		return nil, to, why
	}
	why := p.readTimeAndBody(v, r, route, q)
	if why == goesOn && to.pool == nil {
		if to = v.pick(route); to.pool == nil { // no module could be made for its service
			why = refused(apierror.NoRoom)
		}
	}
	if why != goesOn {
		if q.claim != nil { // it goes no further
			p.drawn(*q.claim, burstcredit.NeverRan)
		}
		return nil, to, why
	}
	q.pool = to.pool
	return q, to, goesOn
}

// wellFormed reports whether a request may be routed at all.
func wellFormed(r *http.Request, path string) bool {
	// Of one with several ids no answer could be matched to it.
	return len(r.Header[attemptID]) <= 1 && strings.HasPrefix(path, "/") && r.Method != http.MethodConnect
}

// authorize finds whose a request is, what its rank is, and whether its tenant may ask now. Partners' services need a key, too:
// whoever asks is a tenant of ours.
func (p *Proxy) authorize(v *configurationView, r *http.Request, route *routing.Route, q *request) refusal {
	q.rank = rankOf(route, nil)
	if !v.table.RequiresKeys() || route.Unstamped {
		return goesOn
	}
	owner := v.table.Tenant(r.Header.Get(keyName))
	if owner == nil {
		return refused(apierror.NoKey)
	}
	if !p.keys.holds(p.now()) {
		return refused(apierror.Unready)
	}
	q.header[senderName] = []string{owner.Name}
	q.rank = rankOf(route, owner)
	within, after := p.withinQuota(r.Context(), owner.Name)
	if within {
		return goesOn
	}
	if !p.credit.on.Load() {
		return refusal{apierror.Beyond, after}
	}
	claim := p.claim(r, route, owner)
	if !p.draws(r.Context(), claim) {
		return refusal{apierror.Beyond, after}
	}
	q.claim = &claim
	return goesOn
}

// readTimeAndBody reads how long a request may take, and its body as far as it is held.
func (p *Proxy) readTimeAndBody(v *configurationView, r *http.Request, route *routing.Route, q *request) refusal {
	left := time.Duration(route.Dispatch.Deadline)
	if text := r.Header.Get(timeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0) {
			return refused(apierror.Malformed)
		}
		left = min(left, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	most := v.table.Limits.ContentsBytes
	if most > 0 && r.ContentLength > most {
		return refused(apierror.TooLong)
	}
	q.stop = time.Now().Add(left)
	if r.ContentLength == 0 {
		return goesOn
	}
	return q.readBody(r, most)
}

// readBody reads a body whole, or its beginning where it is long: the rest then goes on as it comes. One whose length is not known
// before its end is gathered, up to the most that the configuration allows.
func (q *request) readBody(r *http.Request, most int64) refusal {
	body, err := io.ReadAll(io.LimitReader(r.Body, heldBody+1))
	if err != nil {
		return refused(apierror.Malformed)
	}
	if len(body) > heldBody && r.ContentLength >= 0 {
		q.body, q.rest = body, r.Body
		return goesOn
	}
	if len(body) > heldBody {
		most = cmp.Or(most, mostGathered)
		more, err := io.ReadAll(io.LimitReader(r.Body, most-int64(len(body))+1))
		if err != nil {
			return refused(apierror.Malformed)
		}
		if body = append(body, more...); int64(len(body)) > most {
			return refused(apierror.TooLong)
		}
	}
	q.body, q.length = body, int64(len(body))
	return goesOn
}

// refuse answers what goes no further.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, kind apierror.Kind, again time.Duration) {
	p.counts.Add("answer_" + kind.String())
	p.writeError(w, r, kind, again)
}

func (p *Proxy) writeError(w http.ResponseWriter, r *http.Request, kind apierror.Kind, again time.Duration) {
	if id := r.Header.Get(attemptID); id != "" {
		w.Header()[attemptID] = []string{id}
	}
	if r.ContentLength > heldBody {
		w.Header()["Connection"] = []string{"close"}
	}
	apierror.Write(w, kind, again, "")
}

package proxy

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/priority"
	"ottershift/internal/mesh/routing"
	"ottershift/logic"
)

const (
	heldBody   = 256 << 10 // of a request, so that it can be sent again; what is longer goes once
	heldAnswer = 64 << 10  // of an answer, until it is known to be whole; what is longer flows
	piece      = 16 << 10
)

// request is one try of a client on its way.
type request struct {
	pool   *pool
	method string
	target string // as it came
	host   string
	id     string
	header http.Header
	body   []byte
	rest   io.Reader // behind body, nil if that is all
	length int64
	aim    time.Duration // within which its answer is of full worth
	rank   priority.Rank
	long   bool // its answer is
	stop   time.Time
	claim  *burstcredit.Claim // that it has drawn burst credit for, nil for none

	mu        sync.Mutex
	delivered bool // its client has all of an answer that is of use
	closed    bool // it has its answer: nothing more goes out
	tries     int  // upstreams that it may be sent to
	sent      int  // pushes that have reached one, or may have
	ran       int  // and of them, those that may have run
	out       int  // and of them, those without an outcome
	failed    *reply
	replies   map[int]*reply // by push
}

// reply is an answer of an upstream, held whole or flowing.
type reply struct {
	status int
	header http.Header
	body   []byte
	flow   io.Reader // the rest of it
	length int64     // of all, -1 if nobody has said
	ended  chan bool // says whether all of a flow was written
	early  bool      // it came before the request had gone out whole: its caller may send nothing else behind that

	pace    *pacer // of the line that it flows over, nil for none
	rank    priority.Rank
	context context.Context
}

// begin lets a push out, unless its request has been answered or has been sent to as many upstreams as it may be; what was
// turned away before it came to one doesn't count. One beyond the first has to be paid for. Invariant: without a look at the
// answer a push ordered before one that promises that nothing runs would go out after it.
func (q *request) begin(paid func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.sent >= q.tries || q.sent > 0 && !paid() {
		return false
	}
	q.sent++
	q.ran++
	q.out++
	return true
}

// ended takes a push's outcome; early says that it never came to an upstream.
func (q *request) ended(r logic.Result, early bool, failed *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.out--
	if early {
		q.sent--
	}
	if r.NeverRan() {
		q.ran--
	}
	if failed != nil {
		q.failed = failed
	}
}

// close lets nothing more out, and tells what may have run.
func (q *request) close() (ran, out int, failed *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	return q.ran, q.out, q.failed
}

func (q *request) keep(n int, r *reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies[n] = r
}

// outbound is the life of a request that starts on this machine: read, routed, pushed as the module decides, answered
// exactly once.
func (f *Proxy) serveOutbound(w http.ResponseWriter, r *http.Request) {
	f.requests.Add(1)
	f.open.Add(1)
	defer f.open.Add(-1)
	v := f.view.Load()
	if f.closed.Load() {
		w.Header()["Connection"] = []string{"close"}
		f.refuse(w, r, apierror.NoRoom, 0)
		return
	}
	if v == nil {
		f.refuse(w, r, apierror.Unready, 0)
		return
	}
	if f.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	} else {
		f.promise(w, r, v.idle)
	}
	q, t, kind, again := f.read(v, r)
	if kind != apierror.None {
		f.refuse(w, r, kind, again)
		return
	}
	defer f.settles(q)
	now := f.now()
	t.pool.first(now, q.rank)
	c := t.pool.desk.Arrive(desk.Arrival{
		Under: t.under, Tariff: t.tariff, Customer: -1, Left: time.Until(q.stop), Unwhole: q.rest != nil,
	})
	f.attend(w, r, q, c)
}

// read takes a request as it came, and what it may not do.
func (f *Proxy) read(v *configurationView, r *http.Request) (q *request, t target, kind apierror.Kind, again time.Duration) {
	target, path := r.RequestURI, r.RequestURI
	if at := strings.IndexByte(path, '?'); at >= 0 {
		path = path[:at]
	}
	if len(r.Header[attemptID]) > 1 { // no answer could be matched to it
		return nil, t, apierror.Malformed, 0
	}
	if !strings.HasPrefix(path, "/") || r.Method == http.MethodConnect {
		return nil, t, apierror.Malformed, 0
	}
	rule := v.table.Find(r.Host, path)
	if rule == nil { // a partner may let it in
		if rule, t, kind = f.toPartner(r, path); kind != apierror.None {
			return nil, t, kind, 0
		}
	}
	var drawn *burstcredit.Claim
	rank := rankOf(rule, nil)
	header := onward(r.Header)
	for _, name := range setByTheHub {
		delete(header, name)
	}
	if v.table.RequiresKeys() && !rule.Unstamped { // partners' services too: whoever asks is a tenant of ours
		owner := v.table.Tenant(r.Header.Get(keyName))
		if owner == nil {
			return nil, t, apierror.NoKey, 0
		}
		if !f.keys.holds(f.now()) {
			return nil, t, apierror.Unready, 0
		}
		header[senderName] = []string{owner.Name}
		rank = rankOf(rule, owner)
		if ok, again := f.withinQuota(r.Context(), owner.Name); !ok {
			if !f.credit.on.Load() {
				return nil, t, apierror.Beyond, again
			}
			k := f.claim(r, rule, owner)
			if !f.draws(r.Context(), k) {
				return nil, t, apierror.Beyond, again
			}
			drawn = &k
			defer func() {
				if kind != apierror.None { // it goes no further
					f.drawn(k, burstcredit.NeverRan)
				}
			}()
		}
	}
	header[returnTo] = []string{f.settings.Destination}
	left := time.Duration(rule.Dispatch.Deadline)
	if text := r.Header.Get(timeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0) {
			return nil, t, apierror.Malformed, 0
		}
		left = min(left, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	most := v.table.Limits.ContentsBytes
	if most > 0 && r.ContentLength > most {
		return nil, t, apierror.TooLong, 0
	}
	now := time.Now()
	q = &request{
		method: r.Method, target: target, host: r.Host, id: r.Header.Get(attemptID), header: header,
		rank: rank, claim: drawn, stop: now.Add(left), replies: map[int]*reply{}, length: r.ContentLength,
	}
	if r.ContentLength != 0 {
		body, err := io.ReadAll(io.LimitReader(r.Body, heldBody+1))
		if err != nil {
			return nil, t, apierror.Malformed, 0
		}
		q.body = body
		if len(body) > heldBody {
			if r.ContentLength < 0 { // its length is not known before its end: it is gathered
				more, err := io.ReadAll(io.LimitReader(r.Body, most-int64(len(body))+1))
				if q.body = append(q.body, more...); err != nil {
					return nil, t, apierror.Malformed, 0
				}
				if most > 0 && int64(len(q.body)) > most {
					return nil, t, apierror.TooLong, 0
				}
			} else {
				q.rest = r.Body
			}
		}
		if q.rest == nil {
			q.length = int64(len(q.body))
		}
	}
	q.aim, q.long = time.Duration(cmp.Or(rule.Target, rule.Dispatch.Deadline)), rule.MailClass == routing.Streamed
	if t.pool == nil {
		t = v.pick(rule)
	}
	if t.pool == nil { // no module could be made for its service
		return nil, t, apierror.NoRoom, 0
	}
	q.pool, q.tries = t.pool, rule.Dispatch.DeliveryTries
	return q, t, apierror.None, 0
}

// refuse answers what goes no further.
func (f *Proxy) refuse(w http.ResponseWriter, r *http.Request, kind apierror.Kind, again time.Duration) {
	f.counts.Add("answer_" + kind.String())
	if id := r.Header.Get(attemptID); id != "" {
		w.Header()[attemptID] = []string{id}
	}
	if r.ContentLength > heldBody {
		w.Header()["Connection"] = []string{"close"}
	}
	apierror.Write(w, kind, again, "")
}

// attend follows a request from its arrival at the module to its answer.
func (f *Proxy) attend(w http.ResponseWriter, r *http.Request, q *request, c *desk.Case) {
	defer func() {
		for { // what was ordered and not begun
			select {
			case o := <-c.Pushes:
				q.pool.desk.Outcome(c, o, logic.Unsent)
			default:
				return
			}
		}
	}()
	for {
		select {
		case o := <-c.Pushes:
			go f.push(q, c, o)
		case a := <-c.Answer:
			f.answer(w, r, q, a)
			return
		case <-r.Context().Done():
			q.close()
			q.pool.desk.Vanish(c)
			f.counts.Add("clients_left")
			select { // an answer that flows to nobody
			case a := <-c.Answer:
				q.drop(a.Push)
			default:
			}
			panic(http.ErrAbortHandler)
		}
	}
}

func (q *request) drop(n int) {
	q.mu.Lock()
	r := q.replies[n]
	q.mu.Unlock()
	if r != nil && r.flow != nil {
		r.ended <- false
	}
}

// answer writes the one final answer.
func (f *Proxy) answer(w http.ResponseWriter, r *http.Request, q *request, a desk.Answer) {
	ran, out, failed := q.close()
	if a.Ending == desk.Settled || a.Ending == desk.Rejected {
		q.mu.Lock()
		back := q.replies[a.Push]
		q.mu.Unlock()
		f.write(w, back)
		if q.claim != nil && back.status < 300 {
			q.mu.Lock()
			q.delivered = true
			q.mu.Unlock()
		}
		return
	}
	switch {
	case failed != nil: // what an upstream said goes back unchanged
		f.write(w, failed)
	case ran == 0:
		f.refuse(w, r, apierror.NoRoom, a.Backoff)
	case out > 0 || time.Until(q.stop) <= 0:
		f.refuse(w, r, apierror.Late, 0)
	default:
		f.refuse(w, r, apierror.Broke, 0)
	}
}

// measure reads as much of an answer of no stated length as tells whether it is a long one. Invariant: taken for long, a small
// one waits for its turn behind all long ones, while whoever called for it runs out of time.
func (r *reply) measure() error {
	if r.length >= 0 || r.pace == nil || r.pace.rate == 0 {
		return nil
	}
	first, err := io.ReadAll(io.LimitReader(r.flow, longFrom+1))
	if err != nil {
		return err
	}
	if len(first) <= longFrom {
		r.length = int64(len(first))
	}
	r.flow = io.MultiReader(bytes.NewReader(first), r.flow)
	return nil
}

// write passes an upstream's answer on. Invariant: one that breaks off must not look whole.
func (f *Proxy) write(w http.ResponseWriter, r *reply) {
	h := w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	if r.length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	for _, name := range addedByServer { // unless it is set to nothing
		if h[name] == nil {
			h[name] = nil
		}
	}
	if r.early {
		h["Connection"] = []string{"close"}
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	if r.flow != nil {
		if err == nil {
			err = r.stream(w)
		}
		r.ended <- err == nil
	}
	if err != nil {
		f.counts.Add("answers_cut")
		panic(http.ErrAbortHandler)
	}
}

var addedByServer = []string{"Date", "Content-Type"}

var pieces = sync.Pool{New: func() any { b := make([]byte, piece); return &b }}

// stream writes what flows, at the line's pace where it leaves the machine.
func (r *reply) stream(w io.Writer) error {
	if r.pace != nil && r.pace.rate > 0 && (r.length < 0 || r.length > longFrom) {
		return r.pace.stream(r.context, w, r.flow, max(r.length, longFrom), r.rank)
	}
	if r.pace != nil {
		r.pace.small(int(max(r.length, 0)))
	}
	b := pieces.Get().(*[]byte)
	defer pieces.Put(b)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r.flow}, *b)
	return err
}

package httpwire

import (
	"cmp"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/terms"
	"ottershift/logic"
)

const (
	mostBody = terms.GuaranteedBodyBytes // of a message that is held for certain
	mostFull = 48 << 20                  // of any message
	mostHeld = 4                         // part of what all bodies may take that one may
	mostWait = time.Hour                 // what a client may ask for
	underway = 5 * time.Millisecond

	// A client that never ends its message has an error or a close within three seconds of connecting. Danger: half
	// a message holds a descriptor as well as a transaction does.
	headLimit = 2500 * time.Millisecond // within which the headers have come
	slowest   = 2600 * time.Millisecond // and then the body; a longer one flows on without a pause
	pause     = time.Second             // of more than this
	slowRate  = 16 << 10                // at this many bytes a second, over all of it
	idleLimit = 3 * time.Second         // between two transactions
)

// transaction is what a client sent, as the protocol has it.
type transaction struct {
	book     *terms.Settings // that it came under
	id       string
	tariff   int
	customer int // -1 for none
	left     time.Duration
	again    bool

	method string
	host   string
	url    *url.URL
	header http.Header // end to end
	body   []byte      // as much of it as is held
	length int64       // of all of it, -1 if nobody knows
	rest   *upload     // what comes behind body, nil if nothing does
}

// arrival is what the desk is told.
func (q *transaction) arrival() desk.Arrival {
	return desk.Arrival{
		Config: q.book.Engine, Tariff: q.tariff, Customer: q.customer, Timeout: q.left, ClientRetry: q.again, BodyPending: q.rest != nil,
	}
}

// fault is why a message can't be a transaction; such a one never reaches the module.
type fault struct {
	status int
	text   string
}

func bad(text string) *fault { return &fault{http.StatusBadRequest, text} }

// read decodes what a client sent but for its body, which take reads. tariff is what its route says, "" for nothing.
func read(r *http.Request, book *terms.Settings, tariff string) (*transaction, *fault) {
	q := &transaction{book: book, method: r.Method, host: r.Host, url: r.URL, customer: -1, length: r.ContentLength}
	for _, name := range []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return nil, bad("more than one " + name) // Danger: who reads the other would take it for another's
		}
	}
	if !book.PlainHTTP && r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, bad("the method is neither GET nor POST")
	}
	q.header = endToEnd(r.Header)
	if q.id = r.Header.Get("X-Txn"); q.id == "" {
		if !book.PlainHTTP {
			return nil, bad("no X-Txn")
		}
		q.id = strconv.FormatUint(rand.Uint64(), 16)
		q.header["X-Txn"] = []string{q.id}
	}
	var no *fault
	if q.tariff, no = kind(r, book, tariff); no != nil {
		return nil, no
	}
	f := book.Engine.Tariffs[q.tariff]
	if f.Idempotency == logic.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, bad("a tagged transaction without Idempotency-Key") // Danger: its repeats would be unknown
	}
	known := false
	if org := r.Header.Get("X-Org"); org != "" && len(book.Customers) > 0 {
		if q.customer, known = book.Customers[org]; !known {
			return nil, bad("unknown customer")
		}
	}
	q.left = time.Duration(f.HardStop)
	var err error
	if text, said := r.Header["X-Remaining"]; said {
		if q.left, err = seconds(text[0]); err != nil {
			return nil, bad("X-Remaining is not a time")
		}
	}
	// Danger: the client counts from when it sent, and an answer given at its hard stop is still on the way then.
	q.left = max(0, q.left-underway)
	q.again = r.Header.Get("X-Resent") == "1"
	if book.PlainHTTP {
		forwarded(q.header, r.RemoteAddr)
	}
	if r.ContentLength > mostFull {
		return nil, tooLong
	}
	return q, nil
}

// kind is a transaction's tariff: what its route says; else what it says of itself, by X-Lane or the first part of its
// path; else the pool's own.
func kind(r *http.Request, book *terms.Settings, said string) (tariff int, no *fault) {
	if said != "" {
		n, known := book.Tariffs[said]
		if !known { // Danger: routes and terms change one after the other, and number 0 is another tariff
			return 0, &fault{http.StatusNotFound, "unknown tariff"}
		}
		return n, nil
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Lane")
	if name == "" {
		name = first
	} else if name != first && !book.PlainHTTP {
		return 0, bad("X-Lane and path differ")
	}
	if n, known := book.Tariffs[name]; known {
		return n, nil
	}
	if book.DefaultTariff < 0 || r.Header.Get("X-Lane") != "" {
		return 0, &fault{http.StatusNotFound, "unknown tariff"}
	}
	return book.DefaultTariff, nil
}

// forwarded tells an upstream where a transaction came from.
func forwarded(h http.Header, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		h["X-Forwarded-For"] = append(slices.Clone(h["X-Forwarded-For"]), host)
	}
	h["X-Forwarded-Proto"] = []string{"http"}
}

var (
	tooLong = &fault{http.StatusRequestEntityTooLarge, "the body is over 48 MiB"}
	noRoom  = &fault{http.StatusServiceUnavailable, "no room for the body"}
)

// wait reads a transaction's body: all of it, or as much as there is room for; spare may make some, in a moment. Danger:
// room made for what a length only promises would cost more memory than there is.
func (q *transaction) wait(w http.ResponseWriter, r *http.Request, hand *inHand, spare func() bool) *fault {
	in := &upload{from: r.Body, control: http.NewResponseController(w), start: time.Now(), end: make(chan error, 1)}
	for r.Body != http.NoBody {
		if len(q.body) == cap(q.body) {
			more := max(512, cap(q.body))
			if q.length >= 0 { // one more, for the end to be seen
				more = int(min(int64(max(more, mostBody/4)), q.length+1-int64(len(q.body))))
			}
			if short := mostBody + 1 - len(q.body); short > 0 { // up to there it is held for certain
				more = min(more, short)
			}
			room := max(more, 1)
			took := hand.more(int64(room), int64(len(q.body)+room))
			for n := 0; !took && len(q.body) <= mostBody && n < looks && spare(); n++ {
				time.Sleep(fresh) // until what was closed has given back its own
				took = hand.more(int64(room), int64(len(q.body)+room))
			}
			if !took {
				if len(q.body) <= mostBody {
					return noRoom
				}
				q.rest = in
				return nil
			}
			q.body = slices.Grow(q.body, room)[:len(q.body)]
		}
		n, err := in.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		switch {
		case err == io.EOF:
			q.length = int64(len(q.body))
			return nil
		case err == errLong:
			return tooLong
		case err != nil:
			return bad("the body is cut, late or malformed")
		}
	}
	in.control.SetReadDeadline(time.Time{})
	q.length = 0
	return nil
}

var errLong = errors.New("a body over the limit")

// upload is a body on its way in. Its client may be slow, but neither stand still nor trickle.
type upload struct {
	from    io.Reader
	control *http.ResponseController
	start   time.Time
	got     int64
	end     chan error  // how it ended, once; nil for whole
	why     error       // the same for who reads on
	over    atomic.Bool // it has ended, or nobody wants it any more
}

func (u *upload) Read(b []byte) (int, error) {
	if u.over.Load() {
		return 0, cmp.Or(u.why, io.ErrUnexpectedEOF) // Danger: an end that is none would make a cut body pass for whole
	}
	until := u.start.Add(slowest + time.Duration(u.got)*time.Second/slowRate)
	if flows := time.Now().Add(pause); flows.Before(until) {
		until = flows
	}
	if least := u.start.Add(slowest); until.Before(least) {
		until = least
	}
	u.control.SetReadDeadline(until)
	n, err := u.from.Read(b)
	if u.got += int64(n); u.got > mostFull {
		err = errLong
	}
	u.why = err
	if err != nil && u.over.CompareAndSwap(false, true) {
		if err == io.EOF {
			// Danger: the server watches the connection from here on; a limit left behind looks like a client gone.
			u.control.SetReadDeadline(time.Time{})
			u.end <- nil
		} else {
			u.end <- err
		}
	}
	return n, err
}

// ended tells once how it ended; nobody hears of what never began.
func (u *upload) ended() <-chan error {
	if u == nil {
		return nil
	}
	return u.end
}

// stop says that nobody wants the rest. Danger: its limits would be set on the connection's next message.
func (u *upload) stop() {
	if u != nil {
		u.over.Store(true)
	}
}

// done reports whether nothing is to come any more.
func (u *upload) done() bool { return u == nil || u.over.Load() }

// read decodes what a client sent, by the terms in force. A tariff that was dropped is known for its hard stop: its
// clients try again by themselves.
func (p *shard) read(r *http.Request, tariff string) (*transaction, *fault) {
	t := p.told.Load()
	q, no := read(r, t.book, tariff)
	if no == nil || no.status != http.StatusNotFound || t.before == nil {
		return q, no
	}
	old, still := read(r, t.before, tariff)
	if still == nil && time.Since(t.since) < time.Duration(t.before.Engine.Tariffs[old.tariff].HardStop) {
		return old, nil
	}
	return q, no
}

// ids are those of the open transactions. Danger: a client that sends another's would have its answer, or have it
// run twice.
type ids struct {
	mu   sync.Mutex
	open map[string]struct{}
}

// claim takes an id, unless it is taken.
func (i *ids) claim(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, taken := i.open[id]; taken {
		return false
	}
	i.open[id] = struct{}{}
	return true
}

func (i *ids) free(id string) {
	i.mu.Lock()
	delete(i.open, id)
	i.mu.Unlock()
}

// seconds reads a time as the wire writes it: plain decimals. What else ParseFloat knows is no time here.
func seconds(text string) (time.Duration, error) {
	whole, part, _ := strings.Cut(text, ".")
	if len(text) > 32 || whole == "" || strings.Trim(whole+part, "0123456789") != "" {
		return 0, errors.New("not a time")
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(s, mostWait.Seconds()) * float64(time.Second)), nil
}

// hop are the headers that concern one connection only.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd copies the headers that go on.
func endToEnd(h http.Header) http.Header {
	on := maps.Clone(h)
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			on.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		delete(on, name)
	}
	return on
}

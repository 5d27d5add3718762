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
	maxReservedBody  = terms.MostBody // of a message that is held for certain
	maxBody          = 48 << 20       // of any message
	maxBodyShare     = 4              // part of what all bodies may take that one may
	maxTimeout       = time.Hour      // what a client may ask for
	transitAllowance = 5 * time.Millisecond

	// A client that never ends its message has an error or a close within three seconds of connecting. Danger: half
	// a message holds a descriptor as well as a transaction does.
	headTimeout = 2500 * time.Millisecond // within which the headers have come
	bodyGrace   = 2600 * time.Millisecond // and then the body; a longer one flows on without a pause
	bodyPause   = time.Second             // of more than this
	minBodyRate = 16 << 10                // at this many bytes a second, over all of it
	idleTimeout = 3 * time.Second         // between two transactions
)

// transaction is what a client sent, as the protocol has it.
type transaction struct {
	settings    *terms.Book // that it came under
	id          string
	tariff      int
	customer    int // -1 for none
	timeout     time.Duration
	clientRetry bool

	method string
	host   string
	url    *url.URL
	header http.Header // end to end
	body   []byte      // as much of it as is held
	length int64       // of all of it, -1 if nobody knows
	upload *upload     // what comes behind body, nil if nothing does
}

// arrival is what the desk is told.
func (txn *transaction) arrival() desk.Arrival {
	return desk.Arrival{
		Config: txn.settings.Terms, Tariff: txn.tariff, Customer: txn.customer, Timeout: txn.timeout, ClientRetry: txn.clientRetry, BodyPending: txn.upload != nil,
	}
}

// requestError is why a message can't be a transaction; such a one never reaches the module.
type requestError struct {
	status int
	text   string
}

func badRequest(text string) *requestError { return &requestError{http.StatusBadRequest, text} }

// decodeRequest decodes what a client sent but for its body, which take reads. tariff is what its route says, "" for nothing.
func decodeRequest(req *http.Request, settings *terms.Book, tariff string) (*transaction, *requestError) {
	txn := &transaction{settings: settings, method: req.Method, host: req.Host, url: req.URL, customer: -1, length: req.ContentLength}
	for _, name := range []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"} {
		if len(req.Header[name]) > 1 {
			return nil, badRequest("more than one " + name) // Danger: who reads the other would take it for another's
		}
	}
	if !settings.Plain && req.Method != http.MethodGet && req.Method != http.MethodPost {
		return nil, badRequest("the method is neither GET nor POST")
	}
	txn.header = endToEndHeaders(req.Header)
	if txn.id = req.Header.Get("X-Txn"); txn.id == "" {
		if !settings.Plain {
			return nil, badRequest("no X-Txn")
		}
		txn.id = strconv.FormatUint(rand.Uint64(), 16)
		txn.header["X-Txn"] = []string{txn.id}
	}
	var reqErr *requestError
	if txn.tariff, reqErr = tariffOf(req, settings, tariff); reqErr != nil {
		return nil, reqErr
	}
	config := settings.Terms.Tariffs[txn.tariff]
	if config.Idempotency == logic.Keyed && req.Header.Get("Idempotency-Key") == "" {
		return nil, badRequest("a tagged transaction without Idempotency-Key") // Danger: its repeats would be unknown
	}
	known := false
	if org := req.Header.Get("X-Org"); org != "" && len(settings.Customers) > 0 {
		if txn.customer, known = settings.Customers[org]; !known {
			return nil, badRequest("unknown customer")
		}
	}
	txn.timeout = time.Duration(config.HardStop)
	var err error
	if text, said := req.Header["X-Remaining"]; said {
		if txn.timeout, err = parseTimeout(text[0]); err != nil {
			return nil, badRequest("X-Remaining is not a time")
		}
	}
	// Danger: the client counts from when it sent, and an answer given at its hard stop is still on the way then.
	txn.timeout = max(0, txn.timeout-transitAllowance)
	txn.clientRetry = req.Header.Get("X-Resent") == "1"
	if settings.Plain {
		addForwarded(txn.header, req.RemoteAddr)
	}
	if req.ContentLength > maxBody {
		return nil, errBodyLimit
	}
	return txn, nil
}

// tariffOf is a transaction's tariff: what its route says; else what it says of itself, by X-Lane or the first part of its
// path; else the pool's own.
func tariffOf(req *http.Request, settings *terms.Book, routeTariff string) (tariff int, reqErr *requestError) {
	if routeTariff != "" {
		n, known := settings.Tariffs[routeTariff]
		if !known { // Danger: routes and terms change one after the other, and number 0 is another tariff
			return 0, &requestError{http.StatusNotFound, "unknown tariff"}
		}
		return n, nil
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	name := req.Header.Get("X-Lane")
	if name == "" {
		name = first
	} else if name != first && !settings.Plain {
		return 0, badRequest("X-Lane and path differ")
	}
	if n, known := settings.Tariffs[name]; known {
		return n, nil
	}
	if settings.Default < 0 || req.Header.Get("X-Lane") != "" {
		return 0, &requestError{http.StatusNotFound, "unknown tariff"}
	}
	return settings.Default, nil
}

// addForwarded tells an upstream where a transaction came from.
func addForwarded(h http.Header, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		h["X-Forwarded-For"] = append(slices.Clone(h["X-Forwarded-For"]), host)
	}
	h["X-Forwarded-Proto"] = []string{"http"}
}

var (
	errBodyLimit  = &requestError{http.StatusRequestEntityTooLarge, "the body is over 48 MiB"}
	errNoBodyRoom = &requestError{http.StatusServiceUnavailable, "no room for the body"}
)

// readBody reads a transaction's body: all of it, or as much as there is room for; spare may make some, in a moment. Danger:
// room made for what a length only promises would cost more memory than there is.
func (txn *transaction) readBody(w http.ResponseWriter, req *http.Request, res *reservation, evict func() bool) *requestError {
	up := &upload{body: req.Body, control: http.NewResponseController(w), start: time.Now(), resultCh: make(chan error, 1)}
	for req.Body != http.NoBody {
		if len(txn.body) == cap(txn.body) {
			more := max(512, cap(txn.body))
			if txn.length >= 0 { // one more, for the end to be seen
				more = int(min(int64(max(more, maxReservedBody/4)), txn.length+1-int64(len(txn.body))))
			}
			if missing := maxReservedBody + 1 - len(txn.body); missing > 0 { // up to there it is held for certain
				more = min(more, missing)
			}
			room := max(more, 1)
			reserved := res.reserve(int64(room), int64(len(txn.body)+room))
			for n := 0; !reserved && len(txn.body) <= maxReservedBody && n < evictionTries && evict(); n++ {
				time.Sleep(recentWindow) // until what was closed has given back its own
				reserved = res.reserve(int64(room), int64(len(txn.body)+room))
			}
			if !reserved {
				if len(txn.body) <= maxReservedBody {
					return errNoBodyRoom
				}
				txn.upload = up
				return nil
			}
			txn.body = slices.Grow(txn.body, room)[:len(txn.body)]
		}
		n, err := up.Read(txn.body[len(txn.body):cap(txn.body)])
		txn.body = txn.body[:len(txn.body)+n]
		switch {
		case err == io.EOF:
			txn.length = int64(len(txn.body))
			return nil
		case err == errBodyTooLong:
			return errBodyLimit
		case err != nil:
			return badRequest("the body is cut, late or malformed")
		}
	}
	up.control.SetReadDeadline(time.Time{})
	txn.length = 0
	return nil
}

var errBodyTooLong = errors.New("a body over the limit")

// upload is a body on its way in. Its client may be slow, but neither stand still nor trickle.
type upload struct {
	body     io.Reader
	control  *http.ResponseController
	start    time.Time
	received int64
	resultCh chan error  // how it ended, once; nil for whole
	err      error       // the same for who reads on
	finished atomic.Bool // it has ended, or nobody wants it any more
}

func (up *upload) Read(b []byte) (int, error) {
	if up.finished.Load() {
		return 0, cmp.Or(up.err, io.ErrUnexpectedEOF) // Danger: an end that is none would make a cut body pass for whole
	}
	deadline := up.start.Add(bodyGrace + time.Duration(up.received)*time.Second/minBodyRate)
	if paused := time.Now().Add(bodyPause); paused.Before(deadline) {
		deadline = paused
	}
	if least := up.start.Add(bodyGrace); deadline.Before(least) {
		deadline = least
	}
	up.control.SetReadDeadline(deadline)
	n, err := up.body.Read(b)
	if up.received += int64(n); up.received > maxBody {
		err = errBodyTooLong
	}
	up.err = err
	if err != nil && up.finished.CompareAndSwap(false, true) {
		if err == io.EOF {
			// Danger: the server watches the connection from here on; a limit left behind looks like a client gone.
			up.control.SetReadDeadline(time.Time{})
			up.resultCh <- nil
		} else {
			up.resultCh <- err
		}
	}
	return n, err
}

// result tells once how it ended; nobody hears of what never began.
func (up *upload) result() <-chan error {
	if up == nil {
		return nil
	}
	return up.resultCh
}

// stop says that nobody wants the rest. Danger: its limits would be set on the connection's next message.
func (up *upload) stop() {
	if up != nil {
		up.finished.Store(true)
	}
}

// done reports whether nothing is to come any more.
func (up *upload) done() bool { return up == nil || up.finished.Load() }

// decode decodes what a client sent, by the terms in force. A tariff that was dropped is known for its hard stop: its
// clients try again by themselves.
func (sh *shard) decode(req *http.Request, tariff string) (*transaction, *requestError) {
	history := sh.settingsHistory.Load()
	txn, reqErr := decodeRequest(req, history.current, tariff)
	if reqErr == nil || reqErr.status != http.StatusNotFound || history.previous == nil {
		return txn, reqErr
	}
	old, oldErr := decodeRequest(req, history.previous, tariff)
	if oldErr == nil && time.Since(history.changed) < time.Duration(history.previous.Terms.Tariffs[old.tariff].HardStop) {
		return old, nil
	}
	return txn, reqErr
}

// idRegistry are those of the open transactions. Danger: a client that sends another's would have its answer, or have it
// run twice.
type idRegistry struct {
	mu   sync.Mutex
	open map[string]struct{}
}

// add takes an id, unless it is taken.
func (ids *idRegistry) add(id string) bool {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	if _, taken := ids.open[id]; taken {
		return false
	}
	ids.open[id] = struct{}{}
	return true
}

func (ids *idRegistry) remove(id string) {
	ids.mu.Lock()
	delete(ids.open, id)
	ids.mu.Unlock()
}

// parseTimeout reads a time as the wire writes it: plain decimals. What else ParseFloat knows is no time here.
func parseTimeout(text string) (time.Duration, error) {
	whole, part, _ := strings.Cut(text, ".")
	if len(text) > 32 || whole == "" || strings.Trim(whole+part, "0123456789") != "" {
		return 0, errors.New("not a time")
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(s, maxTimeout.Seconds()) * float64(time.Second)), nil
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders copies the headers that go on.
func endToEndHeaders(h http.Header) http.Header {
	kept := maps.Clone(h)
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}

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
	maxReservedBody  = terms.GuaranteedBodyBytes // bytes of a body that are always buffered completely
	maxBody          = 48 << 20                  // bytes of any body
	maxBodyShare     = 4                         // one body may use at most 1/maxBodyShare of the memory for bodies
	maxTimeout       = time.Hour                 // that a client may ask for
	transitAllowance = 5 * time.Millisecond      // for the transfer to the client

	// A client that never completes its request gets an error or a closed connection within three seconds of
	// connecting, because an incomplete request holds a descriptor just like a transaction.
	headTimeout = 2500 * time.Millisecond // for the headers
	bodyGrace   = 2600 * time.Millisecond // for the body after them; longer bodies must arrive without pauses
	bodyPause   = time.Second             // longest allowed pause of a longer body
	minBodyRate = 16 << 10                // bytes a second, on average over the whole body
	idleTimeout = 3 * time.Second         // between two requests
)

// transaction is a decoded request of a client.
type transaction struct {
	settings    *terms.Settings // in force when it arrived
	id          string
	tariff      int
	customer    int // -1 for none
	timeout     time.Duration
	clientRetry bool

	method string
	host   string
	url    *url.URL
	header http.Header // end-to-end headers
	body   []byte      // the part that is buffered
	length int64       // of the whole body, -1 if unknown
	upload *upload     // the rest of the body that is still being received, nil if there is none
}

// arrival returns the description of the transaction for the dispatcher.
func (txn *transaction) arrival() desk.Arrival {
	return desk.Arrival{
		Config: txn.settings.Engine, Tariff: txn.tariff, Customer: txn.customer, Timeout: txn.timeout,
		ClientRetry: txn.clientRetry, BodyPending: txn.upload != nil,
	}
}

// requestError is the reason why a request is invalid. Such a request never reaches the decision engine.
type requestError struct {
	status int
	text   string
}

func badRequest(text string) *requestError { return &requestError{http.StatusBadRequest, text} }

// decodeRequest decodes a request except for its body, which readBody reads. tariff is the one set by its route,
// "" for none.
func decodeRequest(req *http.Request, settings *terms.Settings, tariff string) (*transaction, *requestError) {
	txn := &transaction{settings: settings, method: req.Method, host: req.Host, url: req.URL, customer: -1,
		length: req.ContentLength}
	for _, name := range []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"} {
		if len(req.Header[name]) > 1 {
			return nil, badRequest("more than one " + name) // otherwise two readers could use different values
		}
	}
	if !settings.PlainHTTP && req.Method != http.MethodGet && req.Method != http.MethodPost {
		return nil, badRequest("the method is neither GET nor POST")
	}
	txn.header = endToEndHeaders(req.Header)
	if txn.id = req.Header.Get("X-Txn"); txn.id == "" {
		if !settings.PlainHTTP {
			return nil, badRequest("no X-Txn")
		}
		txn.id = strconv.FormatUint(rand.Uint64(), 16)
		txn.header["X-Txn"] = []string{txn.id}
	}
	var reqErr *requestError
	if txn.tariff, reqErr = tariffOf(req, settings, tariff); reqErr != nil {
		return nil, reqErr
	}
	config := settings.Engine.Tariffs[txn.tariff]
	if config.Idempotency == logic.Keyed && req.Header.Get("Idempotency-Key") == "" {
		// Without the key, repeats would not be recognised.
		return nil, badRequest("a tagged transaction without Idempotency-Key")
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
	// The client's time starts when it sends, and an answer at the hard stop still has to reach it.
	txn.timeout = max(0, txn.timeout-transitAllowance)
	txn.clientRetry = req.Header.Get("X-Resent") == "1"
	if settings.PlainHTTP {
		addForwarded(txn.header, req.RemoteAddr)
	}
	if req.ContentLength > maxBody {
		return nil, errBodyLimit
	}
	return txn, nil
}

// tariffOf returns the tariff of a request: the one set by its route, otherwise the one named by X-Lane or the
// first part of the path, otherwise the default of the pool.
func tariffOf(req *http.Request, settings *terms.Settings, routeTariff string) (tariff int, reqErr *requestError) {
	if routeTariff != "" {
		n, known := settings.Tariffs[routeTariff]
		if !known { // routes and settings are updated one after the other, and number 0 would be another tariff
			return 0, &requestError{http.StatusNotFound, "unknown tariff"}
		}
		return n, nil
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	name := req.Header.Get("X-Lane")
	if name == "" {
		name = first
	} else if name != first && !settings.PlainHTTP {
		return 0, badRequest("X-Lane and path differ")
	}
	if n, known := settings.Tariffs[name]; known {
		return n, nil
	}
	if settings.DefaultTariff < 0 || req.Header.Get("X-Lane") != "" {
		return 0, &requestError{http.StatusNotFound, "unknown tariff"}
	}
	return settings.DefaultTariff, nil
}

// addForwarded adds headers that tell an upstream where a request came from.
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

// readBody reads the body of a request, completely or as far as there is buffer space. evict may free some shortly
// after. Space is reserved only as the body arrives, because the announced lengths together could exceed the
// memory.
func (txn *transaction) readBody(
	w http.ResponseWriter, req *http.Request, held *reservation, evict func() bool,
) *requestError {
	up := &upload{body: req.Body, control: http.NewResponseController(w), started: time.Now(), resultCh: make(chan error, 1)}
	for req.Body != http.NoBody {
		if len(txn.body) == cap(txn.body) {
			more := max(512, cap(txn.body))
			if txn.length >= 0 { // one byte more, to see the end
				more = int(min(int64(max(more, maxReservedBody/4)), txn.length+1-int64(len(txn.body))))
			}
			if missing := maxReservedBody + 1 - len(txn.body); missing > 0 { // up to that size the body is always buffered
				more = min(more, missing)
			}
			room := max(more, 1)
			reserved := held.reserve(int64(room), int64(len(txn.body)+room))
			for n := 0; !reserved && len(txn.body) <= maxReservedBody && n < evictionTries && evict(); n++ {
				time.Sleep(recentWindow) // until the evicted connection has released its buffer
				reserved = held.reserve(int64(room), int64(len(txn.body)+room))
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

// upload is a body that is being received. Its client may be slow, but neither pause too long nor fall below the
// minimum rate.
type upload struct {
	body     io.Reader
	control  *http.ResponseController
	started  time.Time
	received int64
	resultCh chan error  // receives the result once; nil for complete
	err      error       // the same for later calls of Read
	finished atomic.Bool // it has ended or is not needed any more
}

func (up *upload) Read(b []byte) (int, error) {
	if up.finished.Load() {
		return 0, cmp.Or(up.err, io.ErrUnexpectedEOF) // io.EOF would make a truncated body look complete
	}
	deadline := up.started.Add(bodyGrace + time.Duration(up.received)*time.Second/minBodyRate)
	if paused := time.Now().Add(bodyPause); paused.Before(deadline) {
		deadline = paused
	}
	if least := up.started.Add(bodyGrace); deadline.Before(least) {
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
			// The server watches the connection from now on, and a deadline left behind would look like a client
			// that disconnected.
			up.control.SetReadDeadline(time.Time{})
			up.resultCh <- nil
		} else {
			up.resultCh <- err
		}
	}
	return n, err
}

// result returns the channel that receives the result once. A nil upload never has one.
func (up *upload) result() <-chan error {
	if up == nil {
		return nil
	}
	return up.resultCh
}

// stop records that the rest is not needed. Otherwise its deadlines would be set during the next request on the
// connection.
func (up *upload) stop() {
	if up != nil {
		up.finished.Store(true)
	}
}

// done reports whether nothing more will arrive.
func (up *upload) done() bool { return up == nil || up.finished.Load() }

// decode decodes a request by the current settings. A removed tariff stays valid for its hard stop, because
// clients still retry with it.
func (sh *shard) decode(req *http.Request, tariff string) (*transaction, *requestError) {
	history := sh.settingsHistory.Load()
	txn, reqErr := decodeRequest(req, history.current, tariff)
	if reqErr == nil || reqErr.status != http.StatusNotFound || history.previous == nil {
		return txn, reqErr
	}
	old, oldErr := decodeRequest(req, history.previous, tariff)
	if oldErr == nil && time.Since(history.changed) < time.Duration(history.previous.Engine.Tariffs[old.tariff].HardStop) {
		return old, nil
	}
	return txn, reqErr
}

// idRegistry holds the IDs of the open transactions. A client that reused an open ID could receive another
// client's answer, or cause a second run of its transaction.
type idRegistry struct {
	mu   sync.Mutex
	open map[string]struct{}
}

// add registers an ID and reports whether it was free.
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

// parseTimeout parses a time as plain decimal seconds. Other notations of ParseFloat are invalid here.
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

// hopByHop lists the headers that concern only one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers without those that concern only one connection.
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

package httpwire

import (
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
	"time"

	"ottershift/internal/terms"
	"ottershift/logic"
)

const (
	mostBody = terms.MostBody
	mostWait = time.Hour // what a client may ask for
	underway = 5 * time.Millisecond

	// A client that never ends its message has an error or a close within three seconds of connecting. Danger: half
	// a message holds a descriptor as well as a transaction does.
	headLimit  = 1300 * time.Millisecond // within which the headers have come
	bodyLimit  = 1200 * time.Millisecond // and then the body
	writeLimit = 5 * time.Second         // and the answer gone
	idleLimit  = 3 * time.Second         // between two transactions
)

// transaction is what a client sent, as the protocol has it.
type transaction struct {
	id       string
	tariff   int
	customer int // -1 for none
	left     time.Duration
	again    bool

	method string
	host   string
	url    *url.URL
	header http.Header // end to end
	body   []byte
}

// fault is why a message can't be a transaction; such a one never reaches the module.
type fault struct {
	status int
	text   string
}

func bad(text string) *fault { return &fault{http.StatusBadRequest, text} }

// read decodes what a client sent but for its body, which take reads. tariff is what its route says, "" for nothing.
func read(r *http.Request, book *terms.Book, tariff string) (*transaction, *fault) {
	q := &transaction{method: r.Method, host: r.Host, url: r.URL, customer: -1}
	for _, name := range []string{"X-Txn", "X-Lane", "X-Org", "X-Remaining", "Idempotency-Key"} {
		if len(r.Header[name]) > 1 {
			return nil, bad("more than one " + name) // Danger: who reads the other would take it for another's
		}
	}
	if !book.Plain && r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, bad("the method is neither GET nor POST")
	}
	q.header = endToEnd(r.Header)
	if q.id = r.Header.Get("X-Txn"); q.id == "" {
		if !book.Plain {
			return nil, bad("no X-Txn")
		}
		q.id = strconv.FormatUint(rand.Uint64(), 16)
		q.header["X-Txn"] = []string{q.id}
	}
	var no *fault
	if q.tariff, no = kind(r, book, tariff); no != nil {
		return nil, no
	}
	f := book.Terms.Tariffs[q.tariff]
	if f.Repeat == logic.Tagged && r.Header.Get("Idempotency-Key") == "" {
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
	if book.Plain {
		forwarded(q.header, r.RemoteAddr)
	}
	if r.ContentLength > mostBody {
		return nil, tooLong
	}
	return q, nil
}

// kind is a transaction's tariff: what its route says; else what it says of itself, by X-Lane or the first part of its
// path; else the pool's own.
func kind(r *http.Request, book *terms.Book, said string) (tariff int, no *fault) {
	if said != "" {
		return book.Tariffs[said], nil
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Lane")
	if name == "" {
		name = first
	} else if name != first && !book.Plain {
		return 0, bad("X-Lane and path differ")
	}
	if n, known := book.Tariffs[name]; known {
		return n, nil
	}
	if book.Default < 0 || r.Header.Get("X-Lane") != "" {
		return 0, &fault{http.StatusNotFound, "unknown tariff"}
	}
	return book.Default, nil
}

// forwarded tells an upstream where a transaction came from.
func forwarded(h http.Header, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		h["X-Forwarded-For"] = append(slices.Clone(h["X-Forwarded-For"]), host)
	}
	h["X-Forwarded-Proto"] = []string{"http"}
}

var tooLong = &fault{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}

// wait reads a transaction's body.
func (q *transaction) wait(w http.ResponseWriter, r *http.Request) *fault {
	var err error
	q.body, err = take(r.Body, r.ContentLength)
	switch {
	case err == errLong:
		return tooLong
	case err != nil:
		return bad("the body is cut, late or malformed")
	}
	// Danger: the server watches the connection from here on; a limit left behind looks like a client gone.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return nil
}

var errLong = errors.New("a body over the limit")

// take reads a body whole; length is what its header says, -1 if nothing.
func take(from io.Reader, length int64) ([]byte, error) {
	if length > mostBody {
		return nil, errLong
	}
	// Danger: room made for what a length only promises would cost more memory than there is.
	body, err := io.ReadAll(io.LimitReader(from, mostBody+1))
	if err == nil && len(body) > mostBody {
		err = errLong
	}
	return body, err
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

package httpwire

import (
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ottershift/internal/terms"
	"ottershift/logic"
)

const (
	mostBody  = 64 << 10
	mostWait  = time.Hour       // what a client may ask for
	bodyLimit = 5 * time.Second // within which headers or a body have come, or an answer gone
	underway  = 5 * time.Millisecond
)

// transaction is what a client sent, as the protocol has it.
type transaction struct {
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

// read decodes what a client sent, its body included.
func read(w http.ResponseWriter, r *http.Request, book *terms.Book) (*transaction, *fault) {
	q := &transaction{method: r.Method, host: r.Host, url: r.URL, customer: -1}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, bad("the method is neither GET nor POST")
	}
	if r.Header.Get("X-Txn") == "" {
		return nil, bad("no X-Txn")
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Lane")
	if name == "" {
		name = first
	} else if name != first {
		return nil, bad("X-Lane and path differ")
	}
	known := false
	if q.tariff, known = book.Tariffs[name]; !known {
		return nil, &fault{http.StatusNotFound, "unknown tariff"}
	}
	tariff := book.Terms.Tariffs[q.tariff]
	if tariff.Repeat == logic.Tagged && r.Header.Get("Idempotency-Key") == "" {
		return nil, bad("a tagged transaction without Idempotency-Key") // Danger: its repeats would be unknown
	}
	if org := r.Header.Get("X-Org"); org != "" && len(book.Customers) > 0 {
		if q.customer, known = book.Customers[org]; !known {
			return nil, bad("unknown customer")
		}
	}
	q.left = time.Duration(tariff.HardStop)
	var err error
	if text := r.Header.Get("X-Remaining"); text != "" {
		if q.left, err = seconds(text); err != nil {
			return nil, bad("X-Remaining is not a time")
		}
	}
	// Danger: the client counts from when it sent, and an answer given at its hard stop is still on the way then.
	q.left = max(0, q.left-underway)
	q.again = r.Header.Get("X-Resent") == "1"
	q.header = endToEnd(r.Header)

	// Danger: a body that trickles in holds a connection; it is no transaction before its last byte has come.
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(time.Now().Add(bodyLimit))
	q.body, err = take(r.Body, r.ContentLength)
	switch {
	case err == errLong:
		return nil, &fault{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	case err != nil:
		return nil, bad("the body is cut, late or malformed")
	}
	// Danger: the server watches the connection from here on; a limit left behind looks like a client gone.
	conn.SetReadDeadline(time.Time{})
	return q, nil
}

var errLong = errors.New("a body over the limit")

// take reads a body whole; length is what its header says, -1 if nothing.
func take(from io.Reader, length int64) ([]byte, error) {
	if length > mostBody {
		return nil, errLong
	}
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(from, mostBody+1))
	if err == nil && len(body) > mostBody {
		err = errLong
	}
	return body, err
}

// seconds reads a time as the wire writes it, decimals allowed.
func seconds(text string) (time.Duration, error) {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return 0, errors.New("not a time")
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

// Package load plays clients: each sends what its plan says at the time that the plan says, whatever became of what it
// sent before, and notes what came back.
package load

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what came back of one request.
type Answer struct {
	Status  int
	Advice  time.Duration // Retry-After
	Body    []byte
	Sent    time.Time // its last byte; zero if that didn't go out
	Read    time.Time // the answer's last byte
	Extra   bool      // more came than the answer
	Closed  bool      // the connection ended without an answer
	Gone    bool      // the time was up first
	Refused bool      // no connection came about
}

// Target is a balancer as clients of one kind reach it, with the connections that they keep.
type Target struct {
	address string
	keep    bool

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// NewTarget makes one; keep says whether connections are used again.
func NewTarget(address string, keep bool) *Target { return &Target{address: address, keep: keep} }

// Close closes what is kept.
func (t *Target) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.Close()
	}
	t.idle = nil
}

// takeIdle takes the idle connection that was used last, nil where there is none or none is kept.
func (t *Target) takeIdle() *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(t.idle) - 1
	if !t.keep || last < 0 {
		return nil
	}
	c := t.idle[last]
	t.idle = t.idle[:last]
	return c
}

// get takes the connection that was used last, or opens one. What the balancer has closed meanwhile is found out.
func (t *Target) get(until time.Time) (c *conn, err error) {
	if c := t.takeIdle(); c != nil {
		return c, nil
	}
	n, err := net.DialTimeout("tcp", t.address, max(time.Millisecond, min(time.Until(until), 3*time.Second)))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, in: bufio.NewReaderSize(n, 4096)}, nil
}

// Do sends a request and waits for its answer until some time. A kept connection that the balancer closed as the
// request went out is no answer: the request goes out once more on a new one, as a client may between requests.
//
// Danger: where the balancer is gone then, nobody knows whether it had read the request. It counts as closed without an answer,
// not as refused, which would be harmless to ask elsewhere.
func (t *Target) Do(request []byte, until time.Time) (a Answer) {
	for first := true; ; first = false {
		c, err := t.get(until)
		if err != nil {
			a.Refused = first
			return a
		}
		again := false
		if a, again = t.on(c, request, until); !again {
			return a
		}
	}
}

func (t *Target) on(c *conn, request []byte, until time.Time) (a Answer, again bool) {
	c.SetDeadline(until)
	if c.in.Buffered() > 0 {
		// What lies there came after the last answer, from nobody's request.
		c.Close()
		a.Extra = true
		return a, !c.used
	}
	_, err := c.Write(request)
	if err != nil {
		c.Close()
		a.Closed = true
		return a, c.used
	}
	a.Sent = time.Now()
	r, err := http.ReadResponse(c.in, nil)
	if err == nil {
		a.Body, err = io.ReadAll(r.Body)
	}
	a.Read = time.Now()
	if err != nil {
		c.Close()
		late, _ := err.(net.Error)
		if a.Gone = late != nil && late.Timeout() || !a.Read.Before(until); a.Gone {
			return a, false
		}
		a.Closed = true
		// Nothing at all came back on a connection that had stood idle: it was closed before the request was read.
		return a, c.used && r == nil && (err == io.EOF || err == io.ErrUnexpectedEOF || strings.Contains(err.Error(), "reset")) &&
			a.Read.Sub(a.Sent) < 20*time.Millisecond
	}
	a.Status = r.StatusCode
	if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		a.Advice = time.Duration(s * float64(time.Second))
	}
	a.Extra = c.in.Buffered() > 0
	if r.Close || !t.keep || a.Extra {
		c.Close()
		return a, false
	}
	c.used = true
	t.mu.Lock()
	t.idle = append(t.idle, c)
	t.mu.Unlock()
	return a, false
}

// Stray looks whether anything came on the connections that stand idle; more than an answer is told so even where its
// client sends nothing any more.
func (t *Target) Stray() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.in.Peek(1); err == nil {
			n++
		}
	}
	return n
}

// Request words a request by the platform's protocol.
func Request(tariff, host, id, customer, key string, root uint64, left time.Duration, again bool, post bool, body int) []byte {
	var b bytes.Buffer
	method := "GET"
	if post {
		method = "POST"
	}
	b.WriteString(method + " /" + tariff + "?root=" + strconv.FormatUint(root, 16) + " HTTP/1.1\r\nHost: " + host + "\r\nX-Txn: " + id +
		"\r\nX-Lane: " + tariff + "\r\nX-Remaining: " + strconv.FormatFloat(max(0, left.Seconds()), 'f', 6, 64) + "\r\n")
	if customer != "" {
		b.WriteString("X-Org: " + customer + "\r\n")
	}
	if key != "" {
		b.WriteString("Idempotency-Key: " + key + "\r\n")
	}
	if again {
		b.WriteString("X-Resent: 1\r\n")
	}
	if post {
		b.WriteString("Content-Length: " + strconv.Itoa(body) + "\r\n")
	}
	b.WriteString("\r\n")
	if post {
		b.Write(bytes.Repeat([]byte("x"), body))
	}
	return b.Bytes()
}

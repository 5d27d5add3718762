// Package load emulates clients. They generate an open load: each request is sent at its planned time, whatever the
// outcome of earlier requests. The package records all answers.
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

// Answer is the outcome of one request at its client.
type Answer struct {
	Status     int
	RetryAfter time.Duration // from the Retry-After header; 0 if absent
	Body       []byte
	Sent       time.Time // when the last byte of the request was written; zero if it was not
	Read       time.Time // when reading the answer ended
	Extra      bool      // bytes beyond the answer arrived
	Closed     bool      // the connection ended without an answer
	TimedOut   bool      // the deadline passed first
	Refused    bool      // no connection could be opened
}

// Target is a balancer with the connection pool of one group of clients.
type Target struct {
	address   string
	keepAlive bool

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewTarget returns a target. With keep, connections are reused.
func NewTarget(address string, keepAlive bool) *Target {
	return &Target{address: address, keepAlive: keepAlive}
}

// Close closes the idle connections.
func (target *Target) Close() {
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, c := range target.idle {
		c.Close()
	}
	target.idle = nil
}

// takeIdle removes and returns the most recently used idle connection; nil if there is none.
func (target *Target) takeIdle() *conn {
	target.mu.Lock()
	defer target.mu.Unlock()
	last := len(target.idle) - 1
	if !target.keepAlive || last < 0 {
		return nil
	}
	c := target.idle[last]
	target.idle = target.idle[:last]
	return c
}

// connection returns the most recently used idle connection or opens a new one. The balancer may have closed an idle
// connection, which shows only on use.
func (target *Target) connection(until time.Time) (c *conn, err error) {
	if c := target.takeIdle(); c != nil {
		return c, nil
	}
	n, err := net.DialTimeout("tcp", target.address, max(time.Millisecond, min(time.Until(until), 3*time.Second)))
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, 4096)}, nil
}

// Do sends a request and waits for its answer until a deadline. If the balancer closes a reused connection while the
// request is sent, Do sends the request again on another connection, as HTTP clients do.
//
// If that connection cannot be opened, the balancer may still have read the first request. The answer then counts as
// closed and not as refused, because a refused request is safe to send elsewhere.
func (target *Target) Do(request []byte, until time.Time) (answer Answer) {
	for first := true; ; first = false {
		c, err := target.connection(until)
		if err != nil {
			answer.Refused = first
			return answer
		}
		retry := false
		if answer, retry = target.roundTrip(c, request, until); !retry {
			return answer
		}
	}
}

func (target *Target) roundTrip(c *conn, request []byte, until time.Time) (answer Answer, retry bool) {
	c.SetDeadline(until)
	if c.reader.Buffered() > 0 {
		// These bytes arrived after the last answer and belong to no request.
		c.Close()
		answer.Extra = true
		return answer, !c.used
	}
	_, err := c.Write(request)
	if err != nil {
		c.Close()
		answer.Closed = true
		return answer, c.used
	}
	answer.Sent = time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		answer.Body, err = io.ReadAll(response.Body)
	}
	answer.Read = time.Now()
	if err != nil {
		c.Close()
		netErr, _ := err.(net.Error)
		if answer.TimedOut = netErr != nil && netErr.Timeout() || !answer.Read.Before(until); answer.TimedOut {
			return answer, false
		}
		answer.Closed = true
		// A reused connection that ends at once and without any byte was closed before the request was read.
		return answer, c.used && response == nil && (err == io.EOF || err == io.ErrUnexpectedEOF || strings.Contains(err.Error(), "reset")) &&
			answer.Read.Sub(answer.Sent) < 20*time.Millisecond
	}
	answer.Status = response.StatusCode
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.RetryAfter = time.Duration(s * float64(time.Second))
	}
	answer.Extra = c.reader.Buffered() > 0
	if response.Close || !target.keepAlive || answer.Extra {
		c.Close()
		return answer, false
	}
	c.used = true
	target.mu.Lock()
	target.idle = append(target.idle, c)
	target.mu.Unlock()
	return answer, false
}

// ConnsWithUnreadBytes returns the number of idle connections with unread bytes. It finds excess bytes after
// the last answer on a connection, where no further request would find them.
func (target *Target) ConnsWithUnreadBytes() (n int) {
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, c := range target.idle {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.reader.Peek(1); err == nil {
			n++
		}
	}
	return n
}

// FormatRequest formats a request in the platform's protocol.
func FormatRequest(tariff, host, id, customer, key string, root uint64, left time.Duration, resent bool, post bool, body int) []byte {
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
	if resent {
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

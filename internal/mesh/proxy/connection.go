package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	maxResponseHeadBytes      = 64 << 10 // bytes of an answer's head
	maxForeignResponses       = 4        // answers to other requests that are skipped before an attempt is given up
	maxForeignBodyBytes       = 1 << 20  // bytes of one of them
	maxInformationalResponses = 16       // 1xx answers to one request
	maxRefusedPerConnection   = 64       // attempts that one connection may have refused before it is closed
)

var (
	errForeignResponses  = errors.New("only answers to other requests came")
	errMalformedResponse = errors.New("what came is no answer to the request")
	errUndelimitedBody   = errors.New("an answer without a stated end can't be told from one that broke off")
)

// connection is a TCP connection that carries one request at a time.
//
// Invariant: bytes behind a whole answer, and answers that come late, belong to no request in hand. Looking at a kept connection
// and writing to it are two moments, so the look proves nothing. Whose an answer is shows the attempt id that it bears, whatever
// its status; one without an id belongs to nobody.
type connection struct {
	*net.TCPConn
	raw       syscall.RawConn
	limit     *io.LimitedReader // between the connection and reader
	reader    *bufio.Reader
	pool      *connectionPool
	to        destination
	idleUntil time.Time

	reused          bool            // it has carried another request before
	desynchronized  bool            // what comes next may belong to anyone: it carries no other request
	earlyResponse   bool            // its answer came before the request had been written whole
	refusedRequests map[string]bool // attempts that were not served over it, so that they may be sent once more elsewhere
}

func newConnection(tcp *net.TCPConn, pool *connectionPool, to destination) (*connection, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: tcp, N: math.MaxInt64}
	return &connection{
		TCPConn: tcp,
		raw:     raw,
		limit:   limit,
		reader:  bufio.NewReaderSize(limit, 4<<10),
		pool:    pool,
		to:      to,
	}, nil
}

func (c *connection) addIdleCount(n int32) {
	if c.to.idleCount != nil {
		c.to.idleCount.Add(n)
	}
}

// reset resets a connection whose request has been given up. Invariant: what has not arrived of it is lost then; closed in
// order, it could come out of a link that is cut, and run, long after its caller has been told that its time is up.
func (c *connection) reset() {
	c.SetLinger(0)
	c.Close()
}

// hasRefused reports whether an attempt was refused over this connection before. Invariant: a second copy of that answer may come
// late, with the right id; sent over the same connection, the same attempt would be given it for a promise while it runs.
func (c *connection) hasRefused(requestID string) bool { return c.refusedRequests[requestID] }

func (c *connection) recordRefusal(requestID string) {
	if c.refusedRequests == nil {
		c.refusedRequests = map[string]bool{}
	}
	c.refusedRequests[requestID] = true
}

// reusableAfter reports whether another request may be sent after an answer that has been read whole.
func (c *connection) reusableAfter(response *http.Response) bool {
	switch {
	case c.desynchronized, response.Close, c.reader.Buffered() > 0:
		return false
	case response.ProtoMinor == 0:
		return false
	case response.Request.Method == http.MethodHead: // a late answer to another method would be framed wrongly
		return false
	}
	return len(c.refusedRequests) < maxRefusedPerConnection
}

// exchange writes a request and reads the head of its answer; wrote tells that some of the request may have gone out. The answer
// is waited for while a body is still being written: it may come early.
func (c *connection) exchange(request *http.Request, first []byte, rest io.Reader, requestID string) (response *http.Response, wrote bool, err error) {
	if rest == nil && len(first) <= maxInlineWrite {
		response, wrote, err = c.exchangeInline(request, first, requestID)
	} else {
		response, wrote, err = c.exchangeWhileWriting(request, first, rest, requestID)
	}
	if err == nil && (response.StatusCode >= 500 || provesNotExecuted(response)) {
		c.recordRefusal(requestID)
	}
	return response, wrote, err
}

func (c *connection) exchangeInline(request *http.Request, first []byte, requestID string) (response *http.Response, wrote bool, err error) {
	n, writeErr := c.Write(first)
	if writeErr != nil && n == 0 {
		return nil, false, writeErr
	}
	if writeErr != nil { // it may have been answered all the same, by an upstream that refuses it unread
		c.desynchronized = true
	}
	response, err = c.readResponse(request, requestID)
	return response, true, err
}

func (c *connection) exchangeWhileWriting(request *http.Request, first []byte, rest io.Reader, requestID string) (response *http.Response, wrote bool, err error) {
	writer := startBodyWriter(c, first, rest)
	response, err = c.readResponse(request, requestID)
	if writer.succeeded() {
		// Buffers may hold all of a body that an upstream has refused unread, and that it would take for its next request.
		c.desynchronized = err == nil && response.StatusCode >= http.StatusMultipleChoices || c.desynchronized
		return response, true, err
	}
	c.desynchronized, c.earlyResponse = true, true
	if err != nil || response.StatusCode >= http.StatusMultipleChoices { // the rest of the body is of no use
		c.SetWriteDeadline(pastDeadline)
	}
	if err != nil {
		return nil, writer.started(), writer.cause(err)
	}
	return response, true, nil
}

// readResponse reads the head of the answer to a request, past informational ones and those that belong to other requests.
func (c *connection) readResponse(request *http.Request, requestID string) (*http.Response, error) {
	informational, foreign := 0, 0
	for {
		response, err := c.readResponseHead(request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.ProtoMajor != 1 || response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errMalformedResponse
		case response.StatusCode < http.StatusOK:
			if informational++; informational > maxInformationalResponses {
				return nil, errMalformedResponse
			}
			continue
		case c.pool.matches(response, requestID):
			requireDelimitedBody(response)
			return response, nil
		}
		c.desynchronized = true
		c.pool.foreign.Add(1)
		if foreign++; foreign == maxForeignResponses {
			return nil, errForeignResponses
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
}

func (c *connection) readResponseHead(request *http.Request) (*http.Response, error) {
	c.limit.N = maxResponseHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.limit.N = math.MaxInt64
	return response, err
}

// responseMatcher reports whether an answer is proven to be that to an attempt.
type responseMatcher func(answer *http.Response, attempt string) bool

// matchesRequestID is the rule. A request without an id has a connection of its own, where only an answer without one can be its.
// Waiting on is no loss where an upstream leaves out the id: a request that it may be at work on is not to be broken off.
func matchesRequestID(response *http.Response, requestID string) bool {
	ids := response.Header[requestIDHeader]
	if requestID == "" {
		return len(ids) == 0
	}
	return len(ids) == 1 && ids[0] == requestID
}

func skipBody(response *http.Response) error {
	_, err := io.CopyN(io.Discard, response.Body, maxForeignBodyBytes)
	if err == nil {
		return errForeignResponses
	}
	if err != io.EOF {
		return err
	}
	return nil
}

// requireDelimitedBody has the body of an answer that only the end of its connection delimits end in an error: that is how a broken
// one ends, too.
func requireDelimitedBody(response *http.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &undelimitedBody{response.Body}
	}
}

type undelimitedBody struct{ io.ReadCloser }

func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = errUndelimitedBody
	}
	return n, err
}

// provesNotExecuted reports whether an answer says that its upstream has not run the request and never will. No status alone says so
// but 421.
func provesNotExecuted(response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.Header[notExecutedHeader] != nil && response.StatusCode >= http.StatusBadRequest
}

// writeRequestHead writes a request's head. The target goes on as it came.
func writeRequestHead(buffer *bytes.Buffer, method, target, host string, header http.Header, length int64) {
	buffer.WriteString(method)
	buffer.WriteByte(' ')
	buffer.WriteString(target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(host)
	buffer.WriteString("\r\n")
	header.Write(buffer)
	if length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.FormatInt(length, 10))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
}

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
	maxResponseHeadBytes      = 64 << 10 // of a response head
	maxForeignResponses       = 4        // responses to other requests that are skipped before the exchange fails
	maxForeignBodyBytes       = 1 << 20  // of the body of a skipped response
	maxInformationalResponses = 16       // 1xx responses to one request
	maxRefusedPerConnection   = 64       // refused requests that one connection remembers before it is closed
)

var (
	errForeignResponses  = errors.New("received only responses to other requests")
	errMalformedResponse = errors.New("not a final HTTP/1.x response to the request")
	errUndelimitedBody   = errors.New("response body ends only with its connection: a truncated one can't be detected")
)

// connection is a TCP connection that carries one request at a time.
//
// Bytes after a complete response, and responses that arrive late, belong to an earlier request. Checking an idle
// connection for unread bytes does not rule them out, because they may arrive between the check and the write.
// Therefore a response is matched to its request by the request ID that it carries, whatever its status; a response
// without an ID is discarded.
type connection struct {
	*net.TCPConn
	raw       syscall.RawConn
	limit     *io.LimitedReader // between the TCP connection and reader
	reader    *bufio.Reader
	pool      *connectionPool
	to        destination
	idleUntil time.Time

	reused          bool            // it has carried another request before
	desynchronized  bool            // later bytes may belong to any request: the connection is not reused
	earlyResponse   bool            // the response arrived before the request had been written completely
	refusedRequests map[string]bool // request IDs refused over it, which may be sent again over another connection
}

// newConnection wraps a TCP connection to a destination.
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

// addIdleCount adds n to the destination's count of idle connections.
func (c *connection) addIdleCount(n int32) {
	if c.to.idleCount != nil {
		c.to.idleCount.Add(n)
	}
}

// reset closes a connection with a TCP reset after its request was given up. An orderly close would still deliver
// unsent bytes, for example after a network partition heals, and the request would run long after its caller has been
// told that it timed out.
func (c *connection) reset() {
	c.SetLinger(0)
	c.Close()
}

// hasRefused reports whether a request was refused over this connection before. A duplicate of that refusal may arrive
// late with the same request ID; if the request were sent again over the same connection, the duplicate would be taken
// as proof that it did not run although it does.
func (c *connection) hasRefused(requestID string) bool { return c.refusedRequests[requestID] }

// recordRefusal remembers a request that was refused over this connection.
func (c *connection) recordRefusal(requestID string) {
	if c.refusedRequests == nil {
		c.refusedRequests = map[string]bool{}
	}
	c.refusedRequests[requestID] = true
}

// reusableAfter reports whether another request may be sent after a response that was read completely.
func (c *connection) reusableAfter(response *http.Response) bool {
	switch {
	case c.desynchronized, response.Close, c.reader.Buffered() > 0:
		return false
	case response.ProtoMinor == 0:
		return false
	case response.Request.Method == http.MethodHead: // a late response to another method would be framed wrongly
		return false
	}
	return len(c.refusedRequests) < maxRefusedPerConnection
}

// exchange writes a request and reads the head of its response. wrote reports whether any byte of the request may have
// been sent. A body is written concurrently with the wait for the response, which may arrive early.
func (c *connection) exchange(request *http.Request, first []byte, rest io.Reader, requestID string) (
	response *http.Response, wrote bool, err error) {
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

// exchangeInline writes the whole request before it reads the response.
func (c *connection) exchangeInline(request *http.Request, first []byte, requestID string) (
	response *http.Response, wrote bool, err error) {
	n, writeErr := c.Write(first)
	if writeErr != nil && n == 0 {
		return nil, false, writeErr
	}
	if writeErr != nil { // an upstream that refuses a request unread may still have responded
		c.desynchronized = true
	}
	response, err = c.readResponse(request, requestID)
	return response, true, err
}

// exchangeWhileWriting reads the response while the request is being written.
func (c *connection) exchangeWhileWriting(request *http.Request, first []byte, rest io.Reader, requestID string) (
	response *http.Response, wrote bool, err error) {
	writer := startBodyWriter(c, first, rest)
	response, err = c.readResponse(request, requestID)
	if writer.succeeded() {
		// The socket buffers may hold a body that the upstream has refused unread and would parse as its next request.
		c.desynchronized = err == nil && response.StatusCode >= http.StatusMultipleChoices || c.desynchronized
		return response, true, err
	}
	c.desynchronized, c.earlyResponse = true, true
	if err != nil || response.StatusCode >= http.StatusMultipleChoices { // the rest of the body is not needed
		c.SetWriteDeadline(pastDeadline)
	}
	if err != nil {
		return nil, writer.started(), writer.cause(err)
	}
	return response, true, nil
}

// readResponse reads the head of the response to a request. It skips informational responses and responses to other
// requests.
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

// readResponseHead reads one response head of at most maxResponseHeadBytes.
func (c *connection) readResponseHead(request *http.Request) (*http.Response, error) {
	c.limit.N = maxResponseHeadBytes
	response, err := http.ReadResponse(c.reader, request)
	c.limit.N = math.MaxInt64
	return response, err
}

// responseMatcher reports whether a response is proven to belong to a request.
type responseMatcher func(response *http.Response, requestID string) bool

// matchesRequestID is the responseMatcher in production. A request without an ID has its own connection, where only a
// response without an ID can belong to it. If an upstream omits the ID, the request waits until its deadline: it may
// be running, so it must not be taken as failed.
func matchesRequestID(response *http.Response, requestID string) bool {
	ids := response.Header[requestIDHeader]
	if requestID == "" {
		return len(ids) == 0
	}
	return len(ids) == 1 && ids[0] == requestID
}

// skipBody discards the body of a response to another request, up to maxForeignBodyBytes.
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

// requireDelimitedBody makes the body of a response end in an error if only the end of the connection delimits it,
// because a truncated body ends the same way.
func requireDelimitedBody(response *http.Response) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		response.Body = &undelimitedBody{response.Body}
	}
}

// undelimitedBody returns errUndelimitedBody in place of io.EOF.
type undelimitedBody struct{ io.ReadCloser }

func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = errUndelimitedBody
	}
	return n, err
}

// provesNotExecuted reports whether a response states that the upstream has not executed the request and never will.
// The only status that proves this on its own is 421 Misdirected Request.
func provesNotExecuted(response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return response.Header[notExecutedHeader] != nil && response.StatusCode >= http.StatusBadRequest
}

// writeRequestHead writes the head of a request. The request target is passed on unchanged.
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

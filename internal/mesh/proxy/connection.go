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
	maxAnswerHead     = 64 << 10 // bytes of an answer's head
	maxForeignAnswers = 4        // answers to other requests that are skipped before an attempt is given up
	maxForeignBody    = 1 << 20  // bytes of one of them
	maxInformational  = 16       // 1xx answers to one request
	maxRefusals       = 64       // attempts that one connection may have refused before it is closed
)

var (
	errForeignAnswers = errors.New("only answers to other requests came")
	errNotAnswer      = errors.New("what came is no answer to the request")
	errNoStatedEnd    = errors.New("an answer without a stated end can't be told from one that broke off")
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
	keptUntil time.Time

	reused    bool            // it has carried another request before
	outOfStep bool            // what comes next may belong to anyone: it carries no other request
	early     bool            // its answer came before the request had been written whole
	refused   map[string]bool // attempts that were not served over it, so that they may be sent once more elsewhere
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

func (c *connection) countKept(n int32) {
	if c.to.kept != nil {
		c.to.kept.Add(n)
	}
}

// abandon resets a connection whose request has been given up. Invariant: what has not arrived of it is lost then; closed in
// order, it could come out of a link that is cut, and run, long after its caller has been told that its time is up.
func (c *connection) abandon() {
	c.SetLinger(0)
	c.Close()
}

// hasRefused reports whether an attempt was refused over this connection before. Invariant: a second copy of that answer may come
// late, with the right id; sent over the same connection, the same attempt would be given it for a promise while it runs.
func (c *connection) hasRefused(attempt string) bool { return c.refused[attempt] }

func (c *connection) noteRefusal(attempt string) {
	if c.refused == nil {
		c.refused = map[string]bool{}
	}
	c.refused[attempt] = true
}

// reusableAfter reports whether another request may be sent after an answer that has been read whole.
func (c *connection) reusableAfter(answer *http.Response) bool {
	switch {
	case c.outOfStep, answer.Close, c.reader.Buffered() > 0:
		return false
	case answer.ProtoMinor == 0:
		return false
	case answer.Request.Method == http.MethodHead: // a late answer to another method would be framed wrongly
		return false
	}
	return len(c.refused) < maxRefusals
}

// exchange writes a request and reads the head of its answer; wrote tells that some of the request may have gone out. The answer
// is waited for while a body is still being written: it may come early.
func (c *connection) exchange(request *http.Request, first []byte, rest io.Reader, attempt string) (answer *http.Response, wrote bool, err error) {
	if rest == nil && len(first) <= writtenInline {
		answer, wrote, err = c.exchangeInline(request, first, attempt)
	} else {
		answer, wrote, err = c.exchangeWhileWriting(request, first, rest, attempt)
	}
	if err == nil && (answer.StatusCode >= 500 || provesNotRun(answer)) {
		c.noteRefusal(attempt)
	}
	return answer, wrote, err
}

func (c *connection) exchangeInline(request *http.Request, first []byte, attempt string) (answer *http.Response, wrote bool, err error) {
	n, writeErr := c.Write(first)
	if writeErr != nil && n == 0 {
		return nil, false, writeErr
	}
	if writeErr != nil { // it may have been answered all the same, by an upstream that refuses it unread
		c.outOfStep = true
	}
	answer, err = c.readAnswer(request, attempt)
	return answer, true, err
}

func (c *connection) exchangeWhileWriting(request *http.Request, first []byte, rest io.Reader, attempt string) (answer *http.Response, wrote bool, err error) {
	writing := startBodyWriter(c, first, rest)
	answer, err = c.readAnswer(request, attempt)
	if writing.succeeded() {
		// Buffers may hold all of a body that an upstream has refused unread, and that it would take for its next request.
		c.outOfStep = err == nil && answer.StatusCode >= http.StatusMultipleChoices || c.outOfStep
		return answer, true, err
	}
	c.outOfStep, c.early = true, true
	if err != nil || answer.StatusCode >= http.StatusMultipleChoices { // the rest of the body is of no use
		c.SetWriteDeadline(longAgo)
	}
	if err != nil {
		return nil, writing.begun(), writing.cause(err)
	}
	return answer, true, nil
}

// readAnswer reads the head of the answer to a request, past informational ones and those that belong to other requests.
func (c *connection) readAnswer(request *http.Request, attempt string) (*http.Response, error) {
	informational, foreign := 0, 0
	for {
		answer, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		switch {
		case answer.ProtoMajor != 1 || answer.StatusCode == http.StatusSwitchingProtocols:
			return nil, errNotAnswer
		case answer.StatusCode < http.StatusOK:
			if informational++; informational > maxInformational {
				return nil, errNotAnswer
			}
			continue
		case c.pool.belongs(answer, attempt):
			requireStatedEnd(answer)
			return answer, nil
		}
		c.outOfStep = true
		c.pool.foreign.Add(1)
		if foreign++; foreign == maxForeignAnswers {
			return nil, errForeignAnswers
		}
		if err := skipBody(answer); err != nil {
			return nil, err
		}
	}
}

func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.limit.N = maxAnswerHead
	answer, err := http.ReadResponse(c.reader, request)
	c.limit.N = math.MaxInt64
	return answer, err
}

// answerRule reports whether an answer is proven to be that to an attempt.
type answerRule func(answer *http.Response, attempt string) bool

// bearsAttempt is the rule. A request without an id has a connection of its own, where only an answer without one can be its.
// Waiting on is no loss where an upstream leaves out the id: a request that it may be at work on is not to be broken off.
func bearsAttempt(answer *http.Response, attempt string) bool {
	ids := answer.Header[attemptID]
	if attempt == "" {
		return len(ids) == 0
	}
	return len(ids) == 1 && ids[0] == attempt
}

func skipBody(answer *http.Response) error {
	_, err := io.CopyN(io.Discard, answer.Body, maxForeignBody)
	if err == nil {
		return errForeignAnswers
	}
	if err != io.EOF {
		return err
	}
	return nil
}

// requireStatedEnd has the body of an answer that only the end of its connection delimits end in an error: that is how a broken
// one ends, too.
func requireStatedEnd(answer *http.Response) {
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && answer.Body != http.NoBody {
		answer.Body = &unstatedEnd{answer.Body}
	}
}

type unstatedEnd struct{ io.ReadCloser }

func (b *unstatedEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = errNoStatedEnd
	}
	return n, err
}

// provesNotRun reports whether an answer says that its upstream has not run the request and never will. No status alone says so
// but 421.
func provesNotRun(answer *http.Response) bool {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	return answer.Header[notDelivered] != nil && answer.StatusCode >= http.StatusBadRequest
}

// head writes a request's head. The target goes on as it came.
func head(b *bytes.Buffer, method, target, host string, header http.Header, length int64) {
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	header.Write(b)
	if length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

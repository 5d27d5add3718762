package httpwire

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"ottershift/internal/rawconn"
	"ottershift/internal/roster"
)

// upstreamConn is a connection to an upstream. http.Transport may reuse it while unexpected bytes follow the last
// response, and these would be taken for the next response. So each exchange waits until the reader has found
// nothing more to read, and checks again before its first byte is sent.
type upstreamConn struct {
	trackedConn
	owner   *upstreamConns
	host    string
	rawConn syscall.RawConn

	mu            sync.Mutex
	changed       *sync.Cond // signals changes of readerWaiting and closed
	readerWaiting bool       // the reader is blocked and everything received has been read
	closed        bool
	countedIdle   bool // counted in idleCount
	closedByPeer  bool // the upstream closed it
	releaseOnce   sync.Once
	idleCount     *atomic.Int32 // of its upstream
	removed       bool          // the upstream was removed; the connection closes after the current exchange
	exchange      *exchange
}

// exchange is one attempt or probe on its connection.
type exchange struct {
	writer *connWriter // nil for a probe
	conn   *upstreamConn
	reused bool // the connection has carried other exchanges

	started bool // some of it may have been sent; under the connection's lock
}

var errUnexpectedBytes = errors.New("unexpected bytes on the upstream connection outside of an exchange")

func newUpstreamConn(tcpConn *net.TCPConn, owner *upstreamConns, place roster.Endpoint) (*upstreamConn, error) {
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &upstreamConn{trackedConn: trackedConn{TCPConn: tcpConn, count: &owner.tracker.upstreams}, owner: owner,
		host: place.Host, rawConn: raw, idleCount: place.IdleConns}
	conn.changed = sync.NewCond(&conn.mu)
	conn.setIdle(true)
	return conn, nil
}

// setIdle updates the count of idle connections. It is called under the lock or before the connection is shared.
func (conn *upstreamConn) setIdle(idle bool) {
	switch {
	case idle && !conn.countedIdle:
		conn.idleCount.Add(1)
	case !idle && conn.countedIdle:
		conn.idleCount.Add(-1)
	}
	conn.countedIdle = idle
}

// attach assigns a connection to the exchange.
func (ex *exchange) attach(i httptrace.GotConnInfo) {
	ex.conn, ex.reused = i.Conn.(*upstreamConn), i.Reused
	ex.conn.mu.Lock()
	ex.conn.exchange = ex
	ex.conn.setIdle(false)
	ex.conn.mu.Unlock()
}

// abort prevents an exchange from starting and reports whether it had started. An exchange that had not started
// has never run.
func (ex *exchange) abort() (started bool) {
	if ex.conn == nil {
		return false
	}
	ex.conn.mu.Lock()
	started = ex.started
	if !started {
		ex.conn.closed = true
		ex.conn.changed.Broadcast()
	}
	ex.conn.mu.Unlock()
	if !started {
		ex.conn.Close()
	}
	return started
}

// detach ends the exchange on its connection, and closes the connection if the upstream was removed.
func (ex *exchange) detach() {
	if ex.conn == nil {
		return
	}
	ex.conn.mu.Lock()
	removed := ex.conn.removed && ex.conn.exchange == ex
	if ex.conn.exchange == ex {
		ex.conn.exchange = nil
		ex.conn.setIdle(!ex.conn.closed && !removed)
	}
	ex.conn.mu.Unlock()
	if removed {
		ex.conn.Close()
	}
}

// remove closes the connection, at once or after its current exchange, because the upstream was removed.
func (conn *upstreamConn) remove() {
	conn.mu.Lock()
	conn.removed = true
	idle := conn.exchange == nil
	conn.mu.Unlock()
	if idle {
		conn.Close()
	}
}

// start lets the first byte of an exchange be sent, only on a connection without unread bytes.
func (conn *upstreamConn) start() (*exchange, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	ex := conn.exchange
	if ex == nil { // the rest of an attempt with an early response would bypass the connWriter of its transaction
		return nil, errTransactionEnded
	}
	if ex.started {
		return ex, nil
	}
	for !conn.readerWaiting && !conn.closed {
		conn.changed.Wait()
	}
	if conn.closed {
		return ex, net.ErrClosed
	}
	switch unread, ended := rawconn.Peek(conn.rawConn); {
	case unread:
		return ex, errUnexpectedBytes
	case ended:
		return ex, io.ErrClosedPipe
	}
	ex.started = true
	return ex, nil
}

// Write sends bytes of the current exchange, those of an attempt through the connWriter of its transaction.
func (conn *upstreamConn) Write(b []byte) (int, error) {
	ex, err := conn.start()
	if err != nil {
		return 0, err
	}
	if ex.writer != nil {
		return ex.writer.write(conn.TCPConn, b)
	}
	return conn.TCPConn.Write(b)
}

// ReadFrom prevents the method of TCPConn from bypassing the connWriter.
func (conn *upstreamConn) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{conn}, from)
}

// Read waits without the lock and reads under it, so that readerWaiting is never set while received bytes are on
// their way to the reader. Bytes that arrive before an exchange has started are an error.
func (conn *upstreamConn) Read(b []byte) (n int, err error) {
	wait := conn.rawConn.Read(func(fd uintptr) bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; n, err = syscall.Read(int(fd), b) {
		}
		conn.closedByPeer = conn.closedByPeer || n == 0 && err == nil && len(b) > 0 || err == syscall.ECONNRESET
		if conn.readerWaiting = err == syscall.EAGAIN; conn.readerWaiting {
			conn.changed.Broadcast()
			return false
		}
		if n > 0 && (conn.exchange == nil || !conn.exchange.started) {
			n, err = 0, errUnexpectedBytes
		}
		return true
	})
	switch {
	case wait != nil:
		return 0, wait
	case err == errUnexpectedBytes:
		return 0, err
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// WriteTo prevents the method of TCPConn from bypassing Read.
func (conn *upstreamConn) WriteTo(to io.Writer) (int64, error) {
	return io.Copy(to, struct{ io.Reader }{conn})
}

func (conn *upstreamConn) Close() error {
	conn.mu.Lock()
	conn.closed = true
	conn.setIdle(false)
	conn.changed.Broadcast()
	reason := closeIdle
	switch {
	case conn.closedByPeer:
		reason = closeByUpstream
	case conn.removed:
		reason = closeRemoved
	case conn.exchange != nil:
		reason = closeCancelled
	}
	conn.mu.Unlock()
	conn.owner.remove(conn)
	conn.releaseOnce.Do(func() {
		conn.owner.counters[reason].Add(1)
		conn.owner.limits.releaseConn()
	})
	return conn.trackedConn.Close()
}

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

// upstreamConn is a connection to an upstream. Danger: http.Transport may lend one on while bytes wait behind the answer
// that it brought, and these would answer the next push. So each ride waits until the reader has come back and
// found nothing, and looks once more before its first byte goes out.
type upstreamConn struct {
	trackedConn
	owner   *upstreamConns
	host    string
	rawConn syscall.RawConn

	mu            sync.Mutex
	changed       *sync.Cond // of empty, closed
	readerWaiting bool       // the reader waits, and all that came is read
	closed        bool
	countedIdle   bool // counted in kept
	closedByPeer  bool // they ended it
	releaseOnce   sync.Once
	idleCount     *atomic.Int32 // of its upstream
	removed       bool          // its upstream has left: nothing more after this ride
	exchange      *exchange
}

// exchange is one push or probe on its connection.
type exchange struct {
	writer *connWriter // nil for a probe
	conn   *upstreamConn
	reused bool // the connection has carried others before

	started bool // under the connection's lock: some of it may have gone out
}

var errUnexpectedBytes = errors.New("bytes on the connection that belong to no push")

func newUpstreamConn(c *net.TCPConn, owner *upstreamConns, place roster.Place) (*upstreamConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &upstreamConn{trackedConn: trackedConn{TCPConn: c, count: &owner.tracker.upstreams}, owner: owner, host: place.Host, rawConn: raw, idleCount: place.Kept}
	conn.changed = sync.NewCond(&conn.mu)
	conn.setIdle(true)
	return conn, nil
}

// setIdle keeps count, under the lock or before anybody else knows of the connection.
func (conn *upstreamConn) setIdle(idle bool) {
	switch {
	case idle && !conn.countedIdle:
		conn.idleCount.Add(1)
	case !idle && conn.countedIdle:
		conn.idleCount.Add(-1)
	}
	conn.countedIdle = idle
}

// attach gives a connection to a ride.
func (ex *exchange) attach(i httptrace.GotConnInfo) {
	ex.conn, ex.reused = i.Conn.(*upstreamConn), i.Reused
	ex.conn.mu.Lock()
	ex.conn.exchange = ex
	ex.conn.setIdle(false)
	ex.conn.mu.Unlock()
}

// abort keeps a ride that has not begun from beginning, and tells whether it had. After it, what has not begun never
// ran.
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

// detach gives the connection back, and closes it if its upstream has left.
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

// remove closes the connection, at once or after its ride: its upstream has left.
func (conn *upstreamConn) remove() {
	conn.mu.Lock()
	conn.removed = true
	idle := conn.exchange == nil
	conn.mu.Unlock()
	if idle {
		conn.Close()
	}
}

// start lets a ride's first byte out, on an empty connection only.
func (conn *upstreamConn) start() (*exchange, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	ex := conn.exchange
	if ex == nil { // Danger: the rest of a push whose answer came early would pass by the gate of its transaction
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

// Write lets a ride out, a push through its transaction's gate.
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

// ReadFrom keeps TCPConn's own from passing by the gate.
func (conn *upstreamConn) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{conn}, from)
}

// Read waits without the lock and reads under it, so that empty is never said of bytes that are on their way to the
// reader. What comes before a ride has begun is nobody's.
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

// WriteTo keeps TCPConn's own from passing by Read.
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

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

// outward is a connection to an upstream. Danger: http.Transport may lend one on while bytes wait behind the answer
// that it brought, and these would answer the next push. So each ride waits until the reader has come back and
// found nothing, and looks once more before its first byte goes out.
type outward struct {
	counted
	owner *outbound
	host  string
	raw   syscall.RawConn

	mu     sync.Mutex
	change *sync.Cond // of empty, closed
	empty  bool       // the reader waits, and all that came is read
	closed bool
	idle   bool // counted in kept
	theirs bool // they ended it
	hangUp sync.Once
	kept   *atomic.Int32 // of its upstream
	last   bool          // its upstream has left: nothing more after this ride
	ride   *ride
}

// ride is one push or probe on its connection.
type ride struct {
	gate *gate // nil for a probe
	on   *outward
	kept bool // the connection has carried others before

	begun bool // under the connection's lock: some of it may have gone out
}

var errStray = errors.New("bytes on the connection that belong to no push")

func newOutward(c *net.TCPConn, b *outbound, at roster.Endpoint) (*outward, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	o := &outward{counted: counted{TCPConn: c, count: &b.sockets.out}, owner: b, host: at.Host, raw: raw, kept: at.IdleConns}
	o.change = sync.NewCond(&o.mu)
	o.rest(true)
	return o, nil
}

// rest keeps count, under the lock or before anybody else knows of the connection.
func (o *outward) rest(idle bool) {
	switch {
	case idle && !o.idle:
		o.kept.Add(1)
	case !idle && o.idle:
		o.kept.Add(-1)
	}
	o.idle = idle
}

// board gives a connection to a ride.
func (r *ride) board(i httptrace.GotConnInfo) {
	r.on, r.kept = i.Conn.(*outward), i.Reused
	r.on.mu.Lock()
	r.on.ride = r
	r.on.rest(false)
	r.on.mu.Unlock()
}

// bar keeps a ride that has not begun from beginning, and tells whether it had. After it, what has not begun never
// ran.
func (r *ride) bar() (begun bool) {
	if r.on == nil {
		return false
	}
	r.on.mu.Lock()
	begun = r.begun
	if !begun {
		r.on.closed = true
		r.on.change.Broadcast()
	}
	r.on.mu.Unlock()
	if !begun {
		r.on.Close()
	}
	return begun
}

// alight gives the connection back, and closes it if its upstream has left.
func (r *ride) alight() {
	if r.on == nil {
		return
	}
	r.on.mu.Lock()
	over := r.on.last && r.on.ride == r
	if r.on.ride == r {
		r.on.ride = nil
		r.on.rest(!r.on.closed && !over)
	}
	r.on.mu.Unlock()
	if over {
		r.on.Close()
	}
}

// leave closes the connection, at once or after its ride: its upstream has left.
func (o *outward) leave() {
	o.mu.Lock()
	o.last = true
	idle := o.ride == nil
	o.mu.Unlock()
	if idle {
		o.Close()
	}
}

// begin lets a ride's first byte out, on an empty connection only.
func (o *outward) begin() (*ride, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.ride
	if r == nil { // Danger: the rest of a push whose answer came early would pass by the gate of its transaction
		return nil, errClosed
	}
	if r.begun {
		return r, nil
	}
	for !o.empty && !o.closed {
		o.change.Wait()
	}
	if o.closed {
		return r, net.ErrClosed
	}
	switch unread, ended := rawconn.Peek(o.raw); {
	case unread:
		return r, errStray
	case ended:
		return r, io.ErrClosedPipe
	}
	r.begun = true
	return r, nil
}

// Write lets a ride out, a push through its transaction's gate.
func (o *outward) Write(b []byte) (int, error) {
	r, err := o.begin()
	if err != nil {
		return 0, err
	}
	if r.gate != nil {
		return r.gate.pass(o.TCPConn, b)
	}
	return o.TCPConn.Write(b)
}

// ReadFrom keeps TCPConn's own from passing by the gate.
func (o *outward) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{o}, from)
}

// Read waits without the lock and reads under it, so that empty is never said of bytes that are on their way to the
// reader. What comes before a ride has begun is nobody's.
func (o *outward) Read(b []byte) (n int, err error) {
	wait := o.raw.Read(func(fd uintptr) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; n, err = syscall.Read(int(fd), b) {
		}
		o.theirs = o.theirs || n == 0 && err == nil && len(b) > 0 || err == syscall.ECONNRESET
		if o.empty = err == syscall.EAGAIN; o.empty {
			o.change.Broadcast()
			return false
		}
		if n > 0 && (o.ride == nil || !o.ride.begun) {
			n, err = 0, errStray
		}
		return true
	})
	switch {
	case wait != nil:
		return 0, wait
	case err == errStray:
		return 0, err
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// WriteTo keeps TCPConn's own from passing by Read.
func (o *outward) WriteTo(to io.Writer) (int64, error) {
	return io.Copy(to, struct{ io.Reader }{o})
}

func (o *outward) Close() error {
	o.mu.Lock()
	o.closed = true
	o.rest(false)
	o.change.Broadcast()
	why := closeIdle
	switch {
	case o.theirs:
		why = closeThem
	case o.last:
		why = closeLeft
	case o.ride != nil:
		why = closeOff
	}
	o.mu.Unlock()
	o.owner.forget(o)
	o.hangUp.Do(func() {
		o.owner.traffic[why].Add(1)
		o.owner.part.hangUp()
	})
	return o.counted.Close()
}

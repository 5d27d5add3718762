package httpwire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// gate is what all pushes of a transaction go out through, until its answer closes it or its client has gone.
// Danger: a push that waits for its connection, or for its turn to be written, would go out after the answer; and
// a process that was held up hears its timers before it hears that clients have left in the meantime.
type gate struct {
	client *net.TCPConn
	mu     sync.Mutex
	closed bool
}

var errClosed = errors.New("the transaction is over")

// pass writes, unless the gate is closed; while it writes, the gate can't be. A write that hangs ends as its push
// is called off, which breaks the connection.
func (g *gate) pass(c net.Conn, b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed = g.closed || left(g.client); g.closed {
		return 0, errClosed
	}
	return c.Write(b)
}

// left looks whether a client has closed its connection, past what the server has read of it.
func left(client *net.TCPConn) (gone bool) {
	if client == nil {
		return false
	}
	raw, err := client.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) { // not Read: the server waits in one
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return gone || err != nil
}

type clientKey struct{}

// withClient lets a transaction know its client's connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c.(*counted).TCPConn)
}

// gateOf makes the gate of a client's transaction.
func gateOf(ctx context.Context) *gate {
	client, _ := ctx.Value(clientKey{}).(*net.TCPConn)
	return &gate{client: client}
}

func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
}

// outward is a connection to an upstream.
type outward struct {
	counted
	gate atomic.Pointer[gate] // of the push that it carries
}

func (c *outward) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		return g.pass(c.TCPConn, b)
	}
	return c.TCPConn.Write(b)
}

// ReadFrom keeps TCPConn's own from passing by the gate.
func (c *outward) ReadFrom(from io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, from)
}

// through has what is written on a connection to an upstream go through a gate from now on, or through none.
func through(c net.Conn, g *gate) { c.(*outward).gate.Store(g) }

package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"ottershift/internal/rawconn"
)

// gate is what all pushes of a transaction go out through, until its answer closes it or its client has gone.
// Danger: a push that waits for its connection, or for its turn to be written, would go out after the answer; and
// a process that was held up hears its timers before it hears that clients have left in the meantime.
type gate struct {
	client *net.TCPConn
	mu     sync.Mutex
	closed bool
	ends   time.Time // nothing goes out from then on; zero for never
}

var errClosed = errors.New("the transaction is over")

// pass writes, unless the gate is closed; while it writes, the gate can't be. A write that hangs ends as its push
// is called off, which breaks the connection.
func (g *gate) pass(c net.Conn, b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed = g.closed || left(g.client) || !g.ends.IsZero() && time.Now().After(g.ends); g.closed {
		return 0, errClosed
	}
	return c.Write(b)
}

// left looks whether a client has closed its connection, past what the server has read of it.
func left(client *net.TCPConn) bool {
	if client == nil {
		return false
	}
	raw, err := client.SyscallConn()
	if err != nil {
		return true
	}
	_, gone := rawconn.Peek(raw)
	return gone
}

// until closes it at a time. Danger: a process that was stopped writes before its timers fire.
func (g *gate) until(ends time.Time) {
	g.mu.Lock()
	g.ends = ends
	g.mu.Unlock()
}

func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
}

type clientKey struct{}

// withClient lets a transaction know its client's connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c.(*counted))
}

// clientOf is the connection of a transaction's client, nil if it came by no socket.
func clientOf(ctx context.Context) *counted {
	c, _ := ctx.Value(clientKey{}).(*counted)
	return c
}

// gateOf makes the gate of a client's transaction.
func gateOf(client *counted) *gate {
	if client == nil {
		return &gate{}
	}
	return &gate{client: client.TCPConn}
}

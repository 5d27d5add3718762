package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"ottershift/internal/rawconn"
)

// connWriter is what all pushes of a transaction go out through, until its answer closes it or its client has gone.
// Danger: a push that waits for its connection, or for its turn to be written, would go out after the answer; and
// a process that was held up hears its timers before it hears that clients have left in the meantime.
type connWriter struct {
	client   *net.TCPConn
	mu       sync.Mutex
	closed   bool
	deadline time.Time // nothing goes out from then on; zero for never
}

var errTransactionEnded = errors.New("the transaction is over")

// write writes, unless the gate is closed; while it writes, the gate can't be. A write that hangs ends as its push
// is called off, which breaks the connection.
func (writer *connWriter) write(c net.Conn, b []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if writer.closed = writer.closed || clientClosed(writer.client) || !writer.deadline.IsZero() && time.Now().After(writer.deadline); writer.closed {
		return 0, errTransactionEnded
	}
	return c.Write(b)
}

// clientClosed looks whether a client has closed its connection, past what the server has read of it.
func clientClosed(client *net.TCPConn) bool {
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

// setDeadline closes it at a time. Danger: a process that was stopped writes before its timers fire.
func (writer *connWriter) setDeadline(deadline time.Time) {
	writer.mu.Lock()
	writer.deadline = deadline
	writer.mu.Unlock()
}

func (writer *connWriter) close() {
	writer.mu.Lock()
	writer.closed = true
	writer.mu.Unlock()
}

type clientConnKey struct{}

// withClient lets a transaction know its client's connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c.(*trackedConn))
}

// clientConn is the connection of a transaction's client, nil if it came by no socket.
func clientConn(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(clientConnKey{}).(*trackedConn)
	return c
}

// newConnWriter makes the gate of a client's transaction.
func newConnWriter(client *trackedConn) *connWriter {
	if client == nil {
		return &connWriter{}
	}
	return &connWriter{client: client.TCPConn}
}

package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"ottershift/internal/rawconn"
)

// connWriter carries out all writes of a transaction's attempts. It refuses them once the transaction is answered
// or its client has disconnected. Otherwise an attempt that waits for a connection, or to be written, could be sent
// after the answer. The client is checked at each write, because after a stall of the process timers fire before
// disconnects are noticed.
type connWriter struct {
	client   *net.TCPConn
	mu       sync.Mutex
	closed   bool
	deadline time.Time // nothing is written after it; zero for none
}

var errTransactionEnded = errors.New("the transaction has ended")

// write writes to a connection unless the connWriter is closed, and it cannot be closed during a write. A write
// that blocks ends when its attempt is cancelled, which closes the connection.
func (writer *connWriter) write(conn net.Conn, b []byte) (int, error) {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	if writer.closed = writer.closed || clientClosed(writer.client) ||
		!writer.deadline.IsZero() && time.Now().After(writer.deadline); writer.closed {
		return 0, errTransactionEnded
	}
	return conn.Write(b)
}

// clientClosed reports whether a client has closed its connection, even if the server has not read that far.
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

// setDeadline sets the time after which nothing is written. After a stall, a process may write before its timers
// fire.
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

// withClient returns a context that carries the client connection.
func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c.(*trackedConn))
}

// clientConn returns the client connection of a transaction, nil if it did not arrive by a socket.
func clientConn(ctx context.Context) *trackedConn {
	c, _ := ctx.Value(clientConnKey{}).(*trackedConn)
	return c
}

// newConnWriter returns the connWriter of a client's transaction.
func newConnWriter(client *trackedConn) *connWriter {
	if client == nil {
		return &connWriter{}
	}
	return &connWriter{client: client.TCPConn}
}

package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/keptconn"
)

// keepAliveMargin is how much longer than it may be idle a connection is kept: what its client sends at the last moment is on its way.
const keepAliveMargin = time.Second

// Connection is a connection of a client.
type Connection struct {
	net.Conn
	guard keptconn.Guard

	mu             sync.Mutex
	idleSince      time.Time     // where it is not active
	keepAlive      time.Duration // that it may be idle, 0 for as long as it likes
	abortedLocally bool          // this process has ended it under a request
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnectionOf is the connection that a request came over, nil where no Server serves it.
func ConnectionOf(r *http.Request) *Connection {
	c, _ := r.Context().Value(connectionKey{}).(*Connection)
	return c
}

func newConnection(accepted net.Conn, keepAlive time.Duration) *Connection {
	return &Connection{Conn: accepted, idleSince: time.Now(), keepAlive: keepAlive}
}

// SetKeepAlive says how long the connection may be idle from its next answer on.
func (c *Connection) SetKeepAlive(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive = timeout
}

// AbortedLocally reports whether this process has ended the connection under a request.
func (c *Connection) AbortedLocally() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abortedLocally
}

// ClosedByPeer reports whether the other side has ended the connection, without reading from it.
func (c *Connection) ClosedByPeer() bool {
	_, ended := keptconn.Peek(c.Conn)
	return ended
}

// markActive notes that a request is on the connection.
func (c *Connection) markActive() { c.guard.MarkActive(c.Conn) }

// markIdle notes that the last request has been answered.
func (c *Connection) markIdle(now time.Time) {
	c.mu.Lock()
	c.idleSince = now
	c.mu.Unlock()
	c.guard.MarkIdle()
}

// closeIfExpired ends the connection if it has been idle for longer than it may be.
func (c *Connection) closeIfExpired(now time.Time) (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepAlive <= 0 || now.Sub(c.idleSince) <= c.keepAlive+keepAliveMargin {
		return false
	}
	return c.closeIfIdle()
}

func (c *Connection) closeIfIdle() (closing bool) { return c.guard.CloseIfIdle(c.Conn) }

// markAborted notes that the connection is ended whatever is on it, and reports whether a request was.
func (c *Connection) markAborted() (active bool) {
	active = c.guard.Active()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortedLocally = active
	return active
}

// Read implements net.Conn.
func (c *Connection) Read(b []byte) (int, error) { return c.guard.Read(c.Conn, b) }

// SetReadDeadline implements net.Conn.
func (c *Connection) SetReadDeadline(t time.Time) error { return c.guard.SetReadDeadline(c.Conn, t) }

// SetDeadline implements net.Conn.
func (c *Connection) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite closes the sending side, where the connection can.
func (c *Connection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

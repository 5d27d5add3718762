package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ottershift/internal/keptconn"
)

// keepAliveMargin is added to a connection's keep-alive timeout: a request that the client sent at the last moment may
// be in transit.
const keepAliveMargin = time.Second

// Connection is a client's connection to a Server.
type Connection struct {
	net.Conn
	guard keptconn.Guard

	mu             sync.Mutex
	idleSince      time.Time     // valid while the connection is idle
	keepAlive      time.Duration // longest idle time, 0 for no limit
	abortedLocally bool          // this process closed it during a request
}

// connectionKey is the context key of a request's Connection.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnectionOf returns the connection of a request, or nil if the request is not served by a Server.
func ConnectionOf(r *http.Request) *Connection {
	c, _ := r.Context().Value(connectionKey{}).(*Connection)
	return c
}

// newConnection returns a Connection for an accepted connection.
func newConnection(accepted net.Conn, keepAlive time.Duration) *Connection {
	return &Connection{Conn: accepted, idleSince: time.Now(), keepAlive: keepAlive}
}

// SetKeepAlive sets how long the connection may be idle after its next response.
func (c *Connection) SetKeepAlive(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive = timeout
}

// AbortedLocally reports whether this process closed the connection during a request.
func (c *Connection) AbortedLocally() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abortedLocally
}

// ClosedByPeer reports whether the client has closed the connection. It does not read from it.
func (c *Connection) ClosedByPeer() bool {
	_, ended := keptconn.Peek(c.Conn)
	return ended
}

// markActive records that a request has begun.
func (c *Connection) markActive() { c.guard.MarkActive(c.Conn) }

// markIdle records that the response to the last request is complete.
func (c *Connection) markIdle(now time.Time) {
	c.mu.Lock()
	c.idleSince = now
	c.mu.Unlock()
	c.guard.MarkIdle()
}

// closeIfExpired closes the connection if it has been idle for longer than its keep-alive timeout and margin.
func (c *Connection) closeIfExpired(now time.Time) (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepAlive <= 0 || now.Sub(c.idleSince) <= c.keepAlive+keepAliveMargin {
		return false
	}
	return c.closeIfIdle()
}

// closeIfIdle closes the connection if no request is active, and reports whether it is closing.
func (c *Connection) closeIfIdle() (closing bool) { return c.guard.CloseIfIdle(c.Conn) }

// markAborted records that the connection is about to be closed by force, and reports whether a request was active.
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

// CloseWrite closes the write side if the connection supports it.
func (c *Connection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

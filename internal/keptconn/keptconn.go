// Package keptconn closes persistent server connections only between two requests.
//
// net/http considers a connection idle until it has read the whole header of the next request. A caller that closes
// connections by this state may close one during a request: the request is dropped, or it runs and its response can't be
// sent.
//
// Therefore a connection is closed by the goroutine that serves it, when this goroutine reads the next request and finds
// no byte of one. Data that arrives after this check has not been read by anybody, and the resulting connection reset
// tells the client so.
package keptconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ottershift/internal/rawconn"
)

// pastDeadline is a read deadline that makes a read return at once.
var pastDeadline = time.Unix(1, 0)

// Guard tracks whether a connection may be closed. It learns of requests from the connection's reads and from the states
// that the server reports. The zero value is for a connection on which nothing has been received.
type Guard struct {
	mu       sync.Mutex
	active   bool      // a request, or a part of one, has been received and not been responded to
	closing  bool      // the reader has been woken to close the connection unless a request has arrived
	deadline time.Time // read deadline that the server has set
}

// Read reads from a server's connection. If it returns no data, the serving goroutine holds no part of a request, so
// that the connection can be closed.
func (g *Guard) Read(conn net.Conn, b []byte) (int, error) {
	for {
		n, err := conn.Read(b)
		if n > 0 {
			g.MarkActive(conn)
			return n, err
		}
		if !g.wokenToClose(err) {
			return n, err
		}
		if unread, _ := Peek(conn); !unread {
			return 0, io.EOF
		}
		g.MarkActive(conn) // a request has arrived in the meantime and is served
	}
}

// wokenToClose reports whether a read has ended because CloseIfIdle has woken it.
func (g *Guard) wokenToClose(err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closing && errors.Is(err, os.ErrDeadlineExceeded)
}

// MarkActive records that a request has begun, and cancels a pending close.
func (g *Guard) MarkActive(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = true
	if g.closing {
		g.closing = false
		conn.SetReadDeadline(g.deadline)
	}
}

// MarkIdle records that the response to the last request is complete.
func (g *Guard) MarkIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = false
}

// Active reports whether a request, or a part of one, has been received and not been responded to.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// CloseIfIdle wakes the serving goroutine to close the connection, unless a request is active. It reports whether the
// connection is closing.
func (g *Guard) CloseIfIdle(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active || g.closing {
		return g.closing
	}
	g.closing = true
	conn.SetReadDeadline(pastDeadline)
	return true
}

// SetReadDeadline sets the server's read deadline. It does not apply while the connection is closing.
func (g *Guard) SetReadDeadline(conn net.Conn, t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline = t
	if g.closing {
		return nil
	}
	return conn.SetReadDeadline(t)
}

// Peek reports whether a connection has unread data and whether the peer has closed it, without reading. For a
// connection that does not support this, it reports neither.
func Peek(conn net.Conn) (unread, ended bool) {
	source, can := conn.(syscall.Conn)
	if !can {
		return false, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, true
	}
	return rawconn.Peek(raw)
}

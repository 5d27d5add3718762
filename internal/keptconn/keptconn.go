// Package keptconn ends kept connections between two requests only, whoever wants them ended.
//
// A server of net/http calls a connection idle until the whole head of its next request has been read. Who closes one by that word may
// close it under a request: it is dropped, or it runs and its answer has nowhere to go.
//
// Invariant: a connection that is wanted no more is closed by the goroutine that serves it, when that asks for the next request and
// finds that no byte of one has come. What arrives later than that look has been read by nobody, and the reset that it meets says so.
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

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// Guard says whether a connection may end. It is told of requests by its connection's reads and by the server's word of its state. Its
// zero value is that of a connection on which nothing has come yet.
type Guard struct {
	mu       sync.Mutex
	active   bool      // a request is on the connection, or the first bytes of one
	closing  bool      // its reader has been woken to end it, unless a request has come
	deadline time.Time // of reads, as the server set it
}

// Read is a server's read of its connection: the one moment at which the connection's own goroutine holds no part of a request.
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
		g.MarkActive(conn) // a request has come meanwhile: it is served
	}
}

// wokenToClose reports whether a read has ended for its connection to be closed.
func (g *Guard) wokenToClose(err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closing && errors.Is(err, os.ErrDeadlineExceeded)
}

// MarkActive notes that a request is on the connection, which does not end under it.
func (g *Guard) MarkActive(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = true
	if g.closing {
		g.closing = false
		conn.SetReadDeadline(g.deadline)
	}
}

// MarkIdle notes that the last request has been answered.
func (g *Guard) MarkIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active = false
}

// Active reports whether a request is on the connection, or a part of one.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// CloseIfIdle has the connection's own goroutine close it, unless a request is on it, and reports whether it does.
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

// SetReadDeadline sets the deadline of reads, as the server wants it. A reader that has been woken stays so.
func (g *Guard) SetReadDeadline(conn net.Conn, t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadline = t
	if g.closing {
		return nil
	}
	return conn.SetReadDeadline(t)
}

// Peek looks at a connection without reading it. One that can't be looked at has nothing unread and goes on.
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

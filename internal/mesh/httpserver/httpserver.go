// Package httpserver serves HTTP/1.1. It closes idle connections only between requests (see package keptconn), responds
// to requests whose handler panics, and counts the requests that a shutdown aborts.
package httpserver

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/telemetry"
)

const (
	shutdownPollInterval = 5 * time.Millisecond   // between two checks for remaining connections
	maxDrainBytes        = 256 << 10              // of an unread request body, read so that the response arrives
	drainTimeout         = 500 * time.Millisecond // for reading an unread request body
)

// Options configures a Server.
type Options struct {
	Name              string // in counters and log lines
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	KeepAlive         time.Duration // how long a connection may be idle unless SetKeepAlive changes it; 0 for no limit
	Counters          *telemetry.Counters
	Log               *slog.Logger
	HandlePanic       http.HandlerFunc // responds to a request whose handler panicked before it responded
	WrapListener      WrapListener
}

// WrapListener wraps a server's listener. It may be nil. Tests use it to inject faults.
type WrapListener func(net.Listener) net.Listener

// Server is an HTTP server on one address.
type Server struct {
	options    Options
	http       http.Server
	listener   net.Listener
	panics     *atomic.Int64
	idleClosed *atomic.Int64
	aborted    *atomic.Int64
	closing    atomic.Bool // each response is the last one on its connection

	accepting sync.Mutex // held while connections are accepted

	mu          sync.Mutex
	connections map[*Connection]struct{}
}

// Listen returns a server that listens on an address. Serve accepts its connections.
func Listen(address string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if options.WrapListener != nil {
		listener = options.WrapListener(listener)
	}
	server := &Server{
		options:     options,
		listener:    listener,
		panics:      options.Counters.Counter("panics_" + options.Name),
		idleClosed:  options.Counters.Counter("idle_closed_" + options.Name),
		aborted:     options.Counters.Counter("connections_cut_" + options.Name),
		connections: map[*Connection]struct{}{},
	}
	server.http = http.Server{
		Handler:                      http.HandlerFunc(server.handle),
		ReadHeaderTimeout:            options.ReadHeaderTimeout,
		MaxHeaderBytes:               options.MaxHeaderBytes,
		ErrorLog:                     slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
		ConnState:                    server.trackState,
		ConnContext:                  withConnection,
		DisableGeneralOptionsHandler: true,
	}
	return server, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until the server is shut down.
func (s *Server) Serve() {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	s.http.Serve(trackingListener{s.listener, s})
}

// Close closes the listener of a server that has not been served.
func (s *Server) Close() { s.listener.Close() }

// CloseConnections makes each later response the last one on its connection, with a Connection: close header.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// CloseIdle closes the connections that have been idle for longer than their keep-alive timeout.
func (s *Server) CloseIdle(now time.Time) {
	for _, c := range s.trackedConnections() {
		if c.closeIfExpired(now) {
			s.idleClosed.Add(1)
		}
	}
}

// Shutdown stops accepting connections, closes the idle ones, and waits until the others have received their response or
// the context ends. It then closes the remaining connections and returns how many of them had an active request.
func (s *Server) Shutdown(ctx context.Context) (aborted int) {
	s.CloseConnections()
	s.listener.Close()
	s.accepting.Lock() // from here on, all accepted connections are tracked
	defer s.accepting.Unlock()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for {
		remaining := s.trackedConnections()
		for _, c := range remaining {
			c.closeIfIdle()
		}
		if len(remaining) == 0 {
			return 0
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return s.abortAll()
		}
	}
}

// abortAll closes all connections and returns how many of them had an active request.
func (s *Server) abortAll() (aborted int) {
	for _, c := range s.trackedConnections() {
		if c.markAborted() {
			aborted++
		}
	}
	s.aborted.Add(int64(aborted))
	s.http.Close()
	return aborted
}

// trackedConnections returns the open connections.
func (s *Server) trackedConnections() []*Connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Connection, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// handle serves one request. It logs and counts a panic of the handler, and responds to the client if no response has
// begun. net/http would only close the connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	tracked := &trackingWriter{ResponseWriter: w, server: s}
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		if panicked != http.ErrAbortHandler {
			s.panics.Add(1)
			s.options.Log.Error("panic", "server", s.options.Name, "path", r.URL.Path, "fault", panicked, "stack", string(debug.Stack()))
			if !tracked.started && s.options.HandlePanic != nil {
				s.options.HandlePanic(tracked, r)
				return
			}
		}
		panic(http.ErrAbortHandler)
	}()
	s.options.Handler.ServeHTTP(tracked, r)
	tracked.start()
	drainLastRequest(w, r)
}

// drainLastRequest reads the rest of the last request on a connection, after it has flushed the response. A close with
// unread bytes resets the connection, and the client may lose a response that it has not read yet. net/http does this by
// itself, except for requests with a Connection: close header.
func drainLastRequest(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(drainTimeout))
	io.CopyN(io.Discard, r.Body, maxDrainBytes)
}

// trackingWriter records whether the response has begun, and adds a Connection: close header while the server is closing.
type trackingWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// start records that the response begins.
func (w *trackingWriter) start() {
	if !w.started && w.server.closing.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	w.started = true
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(b []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// trackingListener adds each accepted connection to its server's connections.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConnection(accepted, l.server.options.KeepAlive)
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.connections[c] = struct{}{}
	return c, nil
}

// trackState updates a connection when net/http reports its state.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c := conn.(*Connection)
	switch state {
	case http.StateActive:
		c.markActive()
	case http.StateIdle:
		c.markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, c)
	}
}

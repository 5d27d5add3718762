// Package httpserver serves HTTP/1.1 on connections that are closed between requests only (keptconn), answers for handlers that fail,
// and counts what it has to cut.
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
	shutdownPollInterval = 5 * time.Millisecond   // between two looks at the connections that are left
	maxDrainBytes        = 256 << 10              // of a body that nobody wanted, which is read for its answer to arrive
	drainTimeout         = 500 * time.Millisecond // at most
)

// Options are how a server is made.
type Options struct {
	Name              string // in counters and lines
	Handler           http.Handler
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	KeepAlive         time.Duration // how long a connection may be idle unless it is promised otherwise; 0 for as long as it likes
	Counters          *telemetry.Counters
	Log               *slog.Logger
	HandlePanic       http.HandlerFunc // answers a request whose handler has panicked before it answered
	WrapListener      WrapListener
}

// WrapListener puts something between a server and the connections that it accepts; nil for nothing. Tests inject faults with it.
type WrapListener func(net.Listener) net.Listener

// Server is one HTTP server.
type Server struct {
	options    Options
	http       http.Server
	listener   net.Listener
	panics     *atomic.Int64
	idleClosed *atomic.Int64
	aborted    *atomic.Int64
	closing    atomic.Bool // each answer is the last one on its connection

	accepting sync.Mutex // held while connections are accepted

	mu          sync.Mutex
	connections map[*Connection]struct{}
}

// Listen makes a server that listens at an address; Serve has it accept.
func Listen(address string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if options.WrapListener != nil {
		listener = options.WrapListener(listener)
	}
	s := &Server{
		options:     options,
		listener:    listener,
		panics:      options.Counters.Counter("panics_" + options.Name),
		idleClosed:  options.Counters.Counter("idle_closed_" + options.Name),
		aborted:     options.Counters.Counter("connections_cut_" + options.Name),
		connections: map[*Connection]struct{}{},
	}
	s.http = http.Server{
		Handler:                      http.HandlerFunc(s.handle),
		ReadHeaderTimeout:            options.ReadHeaderTimeout,
		MaxHeaderBytes:               options.MaxHeaderBytes,
		ErrorLog:                     slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
		ConnState:                    s.trackState,
		ConnContext:                  withConnection,
		DisableGeneralOptionsHandler: true,
	}
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until the server is shut down.
func (s *Server) Serve() {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	s.http.Serve(trackingListener{s.listener, s})
}

// Close ends a server that has not served.
func (s *Server) Close() { s.listener.Close() }

// CloseConnections has each answer from now on be the last one on its connection, and say so.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// CloseIdle closes the connections that have been idle for longer than they may.
func (s *Server) CloseIdle(now time.Time) {
	for _, c := range s.trackedConnections() {
		if c.closeIfExpired(now) {
			s.idleClosed.Add(1)
		}
	}
}

// Shutdown accepts nothing more, closes idle connections, and waits until the others have had their answer or the context ends.
// Those that are left then are cut, and counted: cut is how many of them had a request.
func (s *Server) Shutdown(ctx context.Context) (aborted int) {
	s.CloseConnections()
	s.listener.Close()
	s.accepting.Lock() // what has been accepted is known from here on
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

func (s *Server) trackedConnections() []*Connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Connection, 0, len(s.connections))
	for c := range s.connections {
		all = append(all, c)
	}
	return all
}

// handle serves one request. A handler that fails is seen, and its client gets an answer if it has had nothing yet: net/http would end
// the connection and tell nobody.
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

// drainLastRequest reads what is left of the last request on a connection, once its answer is on its way. Invariant: a close with unread bytes
// resets the connection, and its client may lose the answer that it has not read yet. net/http sees to it for all but requests that
// themselves say that they are the last.
func drainLastRequest(w http.ResponseWriter, r *http.Request) {
	if !r.Close || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(drainTimeout))
	io.CopyN(io.Discard, r.Body, maxDrainBytes)
}

// trackingWriter knows whether an answer has begun, and has it say whether it is the last one on its connection.
type trackingWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

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

// trackingListener accepts connections that the server knows.
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

// trackState takes net/http's word about a connection.
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

package httpwire

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

const (
	mostReserve = 48 // for what isn't counted: the listener, the watch, the runtime's own files
	fresh       = 20 * time.Millisecond
	mostHeader  = 32 << 10 // of a message, either way
)

var errFull = errors.New("no descriptor left for a connection")

// sockets counts the connections on both sides. Danger: a process without a free descriptor can't accept, and what
// waits in the backlog is owed an answer already.
type sockets struct {
	limit int64
	in    atomic.Int64
	out   atomic.Int64

	mu        sync.Mutex
	strangers list.List // clients' connections that never had a transaction, the longest so first
	kept      list.List // those that had, and have none now
	place     map[*counted]*list.Element
	hosts     map[string]map[*outward]struct{} // connections to upstreams
}

func newSockets(limit int) *sockets {
	return &sockets{
		limit: int64(limit), place: map[*counted]*list.Element{}, hosts: map[string]map[*outward]struct{}{},
	}
}

// reserve is left free, also for clients that have yet to be accepted.
func (s *sockets) reserve() int64 { return min(mostReserve, s.limit/4) }

// state follows clients' connections. Danger: clients that connect and say nothing, or begin a message and never
// end it, would use up the descriptors; once they hold too many, the one that has been without a transaction for
// longest makes room for a new one. Strangers go first: what a flood does must not cost good clients theirs, above all
// while others restart and they have no other.
func (s *sockets) state(conn net.Conn, now http.ConnState) {
	c := conn.(*counted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now == http.StateNew {
		c.since = time.Now()
	}
	s.unquiet(c)
	switch {
	case now == http.StateClosed || now == http.StateHijacked:
		return
	case c.served:
		s.place[c] = s.kept.PushBack(c)
	default:
		s.place[c] = s.strangers.PushBack(c)
	}
	if now != http.StateNew || s.in.Load() <= s.limit*3/5 {
		return
	}
	// Danger: one that has just connected may be a good client with its message on the way.
	first := s.strangers.Front() // there is one: the new one itself
	if time.Since(first.Value.(*counted).since) < fresh && s.kept.Len() > 0 {
		first = s.kept.Front()
	}
	if old := first.Value.(*counted); old != c {
		s.unquiet(old)
		old.Close() // its own goroutine tells its last state
	}
}

// busy says that a client's connection carries a transaction, until its next state.
func (s *sockets) busy(c *counted) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unquiet(c)
	c.served = true
}

func (s *sockets) unquiet(c *counted) {
	e := s.place[c]
	switch {
	case e == nil:
		return
	case c.served:
		s.kept.Remove(e)
	default:
		s.strangers.Remove(e)
	}
	delete(s.place, c)
}

// forget takes a connection to an upstream off the books.
func (s *sockets) forget(o *outward) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delete(s.hosts[o.host], o); len(s.hosts[o.host]) == 0 {
		delete(s.hosts, o.host)
	}
}

// leave closes what is kept of hosts that have left.
func (s *sockets) leave(hosts []string) {
	var all []*outward
	s.mu.Lock()
	for _, host := range hosts {
		for o := range s.hosts[host] {
			all = append(all, o)
		}
	}
	s.mu.Unlock()
	for _, o := range all {
		o.leave()
	}
}

type placeKey struct{}

// toward lets a dial know where its upstream is. The pool goes by host.
func toward(ctx context.Context, at roster.Place) context.Context {
	return context.WithValue(ctx, placeKey{}, at)
}

// transport makes the one pool of connections to upstreams.
func (s *sockets) transport(book *terms.Book) *http.Transport {
	dialer := net.Dialer{Timeout: book.DialTimeout}
	return &http.Transport{
		DisableCompression:     true, // bodies go on unchanged
		MaxResponseHeaderBytes: mostHeader,
		MaxIdleConns:           int(s.limit / 3), MaxIdleConnsPerHost: int(s.limit / 3),
		// Danger: what is written to a connection that its upstream has closed may have run.
		IdleConnTimeout: book.IdleClose * 9 / 10,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			// Danger: many dial at once, so each counts before it does.
			if s.out.Add(1)+s.in.Load() > s.limit-s.reserve() {
				s.out.Add(-1)
				return nil, errFull
			}
			at := ctx.Value(placeKey{}).(roster.Place)
			c, err := dialer.DialContext(ctx, network, at.Address)
			if err != nil {
				s.out.Add(-1)
				if errors.Is(err, syscall.EMFILE) {
					err = errFull
				}
				return nil, err
			}
			o, err := newOutward(c.(*net.TCPConn), s, at)
			if err != nil {
				s.out.Add(-1)
				c.Close()
				return nil, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.hosts[at.Host] == nil {
				s.hosts[at.Host] = map[*outward]struct{}{}
			}
			s.hosts[at.Host][o] = struct{}{}
			return o, nil
		},
	}
}

// counted is a connection that is taken off its count when it is closed. Danger: without TCPConn's CloseWrite the
// server can't end a connection softly, and a reset overtakes its last answer.
type counted struct {
	*net.TCPConn
	count  *atomic.Int64
	once   sync.Once
	since  time.Time
	served bool // a client's: it has had a transaction; under the lock of sockets
}

func (c *counted) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.TCPConn.Close()
}

// listener counts what clients connect. When descriptors grow short, connections to upstreams that nobody uses go.
type listener struct {
	net.Listener
	sockets   *sockets
	transport *http.Transport
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.sockets
	if s.in.Add(1)+s.out.Load() > s.limit-s.reserve()/2 {
		l.transport.CloseIdleConnections()
	}
	return &counted{TCPConn: c.(*net.TCPConn), count: &s.in}, nil
}

package httpwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/terms"
)

const (
	mostReserve = 48       // for what isn't counted: the listener, the watch, the runtime's own files
	mostHeader  = 32 << 10 // of a message, either way
)

var errFull = errors.New("no descriptor left for a connection")

// sockets counts the connections on both sides. Danger: a process without a free descriptor can't accept, and what
// waits in the backlog is owed an answer already.
type sockets struct {
	limit int64
	in    atomic.Int64
	out   atomic.Int64
}

// reserve is left free, also for clients that have yet to be accepted.
func (s *sockets) reserve() int64 { return min(mostReserve, s.limit/4) }

// many says that clients hold so many connections that some had better be closed after their answer.
func (s *sockets) many() bool { return s.in.Load() > s.limit*2/5 }

// transport makes the one pool of connections to upstreams.
func (s *sockets) transport(book *terms.Book) *http.Transport {
	dialer := net.Dialer{Timeout: time.Duration(book.DialTimeout)}
	return &http.Transport{
		DisableCompression:     true, // bodies go on unchanged
		MaxResponseHeaderBytes: mostHeader,
		MaxIdleConns:           int(s.limit / 3), MaxIdleConnsPerHost: int(s.limit / 3),
		// Danger: what is written to a connection that its upstream has closed may have run.
		IdleConnTimeout: time.Duration(book.IdleClose) * 9 / 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			// Danger: many dial at once, so each counts before it does.
			if s.out.Add(1)+s.in.Load() > s.limit-s.reserve() {
				s.out.Add(-1)
				return nil, errFull
			}
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				s.out.Add(-1)
				if errors.Is(err, syscall.EMFILE) {
					err = errFull
				}
				return nil, err
			}
			return &counted{TCPConn: c.(*net.TCPConn), count: &s.out}, nil
		},
	}
}

// counted is a connection that is taken off its count when it is closed. Danger: without TCPConn's CloseWrite the
// server can't end a connection softly, and a reset overtakes its last answer.
type counted struct {
	*net.TCPConn
	count *atomic.Int64
	once  sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.TCPConn.Close()
}

// listener counts what clients connect.
type listener struct {
	net.Listener
	sockets *sockets
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.sockets.in.Add(1)
	return &counted{TCPConn: c.(*net.TCPConn), count: &l.sockets.in}, nil
}

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

// reserve is for what isn't counted: the listener, the watch, the runtime's own files.
const reserve = 48

var errFull = errors.New("no descriptor left for a connection")

// sockets counts the connections on both sides. Danger: a process without a free descriptor can't accept, and what
// waits in the backlog is owed an answer already.
type sockets struct {
	limit int64
	in    atomic.Int64
	out   atomic.Int64
}

// many says that clients hold so many connections that some had better be closed after their answer.
func (s *sockets) many() bool { return s.in.Load() > s.limit*2/5 }

// transport makes the one pool of connections to upstreams.
func (s *sockets) transport(book *terms.Book) *http.Transport {
	dialer := net.Dialer{Timeout: time.Duration(book.DialTimeout)}
	return &http.Transport{
		DisableCompression: true, // bodies go on unchanged
		MaxIdleConns:       int(s.limit / 3), MaxIdleConnsPerHost: int(s.limit / 3),
		// Danger: what is written to a connection that its upstream has closed may have run.
		IdleConnTimeout: time.Duration(book.IdleClose) * 9 / 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if s.in.Load()+s.out.Load() >= s.limit-reserve {
				return nil, errFull
			}
			c, err := dialer.DialContext(ctx, network, address)
			if errors.Is(err, syscall.EMFILE) {
				return nil, errFull
			}
			if err != nil {
				return nil, err
			}
			return s.count(c, &s.out), nil
		},
	}
}

// counted is a connection that is taken off its count when it is closed.
type counted struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
}

func (s *sockets) count(c net.Conn, in *atomic.Int64) net.Conn {
	in.Add(1)
	return &counted{Conn: c, count: in}
}

func (c *counted) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
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
	return l.sockets.count(c, &l.sockets.in), nil
}

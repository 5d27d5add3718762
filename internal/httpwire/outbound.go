package httpwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

// outbound owns a pool's connections to its upstreams.
type outbound struct {
	sockets   *sockets
	part      *part
	transport *http.Transport

	mu    sync.Mutex
	hosts map[string]map[*outward]struct{}
	dials map[string]*dials
	ended bool // the pool has gone; nothing is kept any more
}

// dials are the connections to one host that are coming up. Danger: the host may leave meanwhile, and such a connection
// would stay until it has been idle for long.
type dials struct {
	count int
	left  bool
}

type placeKey struct{}

// way is where a push goes and until when.
type way struct {
	roster.Place
	until time.Time
}

// toward lets a dial know where its upstream is. The transport's pool goes by host.
func toward(ctx context.Context, at roster.Place, until time.Time) context.Context {
	return context.WithValue(ctx, placeKey{}, way{at, until})
}

func newOutbound(s *sockets, p *part, book *terms.Book) *outbound {
	b := &outbound{sockets: s, part: p, hosts: map[string]map[*outward]struct{}{}, dials: map[string]*dials{}}
	dialer := net.Dialer{Timeout: book.DialTimeout}
	b.transport = &http.Transport{
		DisableCompression:     true, // bodies go on unchanged
		MaxResponseHeaderBytes: mostHeader,
		MaxIdleConns:           int(s.limit.Load() / 3), MaxIdleConnsPerHost: int(s.limit.Load() / 3),
		// Danger: what is written to a connection that its upstream has closed may have run.
		IdleConnTimeout: book.IdleClose * 9 / 10,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			to := ctx.Value(placeKey{}).(way)
			if err := b.count(to.until); err != nil {
				return nil, err
			}
			left := b.dial(to.Host)
			c, err := dialer.DialContext(ctx, network, to.Address)
			if err != nil {
				left()
				b.uncount()
				if errors.Is(err, syscall.EMFILE) {
					err = errFull
				}
				return nil, err
			}
			o, err := newOutward(c.(*net.TCPConn), b, to.Place)
			gone := left()
			if err != nil {
				b.uncount()
				c.Close()
				return nil, err
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.hosts[to.Host] == nil {
				b.hosts[to.Host] = map[*outward]struct{}{}
			}
			b.hosts[to.Host][o] = struct{}{}
			o.last = gone || b.ended
			return o, nil
		},
	}
	return b
}

// dial notes that a connection is coming up; left ends that and tells whether its host has left meanwhile.
func (b *outbound) dial(host string) (left func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.dials[host]
	if d == nil {
		d = &dials{}
		b.dials[host] = d
	}
	d.count++
	return func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		if d.count--; d.count == 0 {
			delete(b.dials, host)
		}
		return d.left
	}
}

// count takes a descriptor for a connection. Danger: many dial at once, so each counts before it does.
func (b *outbound) count(until time.Time) error {
	s := b.sockets
	if s.out.Add(1)+s.in.Load() > s.limit.Load()-s.reserve() {
		s.out.Add(-1)
		return errFull
	}
	ok, short := b.part.dial(s.limit.Load()-s.reserve()-s.in.Load(), until)
	if !ok {
		s.out.Add(-1)
		s.recall(short)
		return errFull
	}
	return nil
}

func (b *outbound) uncount() {
	b.sockets.out.Add(-1)
	b.part.hangUp()
}

// forget takes a connection off the books.
func (b *outbound) forget(o *outward) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if delete(b.hosts[o.host], o); len(b.hosts[o.host]) == 0 {
		delete(b.hosts, o.host)
	}
}

// leave closes what is kept of hosts that have left.
func (b *outbound) leave(hosts []string) {
	var all []*outward
	b.mu.Lock()
	for _, host := range hosts {
		if d := b.dials[host]; d != nil {
			d.left = true
		}
		for o := range b.hosts[host] {
			all = append(all, o)
		}
	}
	b.mu.Unlock()
	for _, o := range all {
		o.leave()
	}
}

// end closes all that is kept, and each other connection after its ride: the pool has gone.
func (b *outbound) end() {
	b.mu.Lock()
	b.ended = true
	var hosts []string
	for host := range b.hosts {
		hosts = append(hosts, host)
	}
	b.mu.Unlock()
	b.leave(hosts)
	b.transport.CloseIdleConnections()
}

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

	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

// What is counted of connections to upstreams: why they were opened, how that failed, why they were closed.
const (
	dialFirst  = iota // there had been none to this upstream
	dialAgain         // those that there were have closed
	dialBusy          // those that there are were in use
	dialProbe         // for a probe
	dialFailed        // it did not come up
	dialShort         // not tried, for want of descriptors or beyond the pool's part
	closeOff          // with a push on it that was called off, or whose time was up
	closeThem         // by the upstream
	closeIdle         // by us, idle for long
	closeLeft         // its upstream has left
	traffics
)

var trafficNames = [traffics]string{
	"dial_first", "dial_again", "dial_busy", "dial_probe", "dial_failed", "dial_short", "close_called_off", "close_by_upstream",
	"close_idle", "close_left",
}

// traffic counts connections to upstreams.
type traffic [traffics]atomic.Int64

// outbound owns a pool's connections to its upstreams.
type outbound struct {
	sockets   *sockets
	traffic   traffic
	part      *part
	transport *http.Transport

	mu    sync.Mutex
	hosts map[string]map[*outward]struct{}
	dials map[string]*dials
	had   map[string]struct{} // hosts to which there has been a connection
	ended bool                // the pool has gone; nothing is kept any more
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
	probe bool
}

// toward lets a dial know where its upstream is. The transport's pool goes by host.
func toward(ctx context.Context, at roster.Place, until time.Time, probe bool) context.Context {
	return context.WithValue(ctx, placeKey{}, way{at, until, probe})
}

func newOutbound(s *sockets, p *part, book *terms.Settings) *outbound {
	b := &outbound{sockets: s, part: p, hosts: map[string]map[*outward]struct{}{}, dials: map[string]*dials{},
		had: map[string]struct{}{}}
	dialer := net.Dialer{Timeout: book.DialTimeout}
	b.transport = &http.Transport{
		DisableCompression:     true, // bodies go on unchanged
		MaxResponseHeaderBytes: mostHeader,
		MaxIdleConns:           int(s.limit.Load() / 3), MaxIdleConnsPerHost: int(s.limit.Load() / 3),
		// Danger: what is written to a connection that its upstream has closed may have run.
		IdleConnTimeout: book.IdleTimeout * 9 / 10,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			to := ctx.Value(placeKey{}).(way)
			if err := b.count(to.until); err != nil {
				b.traffic[dialShort].Add(1)
				return nil, err
			}
			left := b.dial(to)
			c, err := dialer.DialContext(ctx, network, to.Address)
			if err != nil {
				left()
				b.uncount()
				b.traffic[dialFailed].Add(1)
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
func (b *outbound) dial(to way) (left func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	host := to.Host
	d := b.dials[host]
	_, had := b.had[host]
	switch b.had[host] = struct{}{}; {
	case to.probe:
		b.traffic[dialProbe].Add(1)
	case d != nil || len(b.hosts[host]) > 0:
		b.traffic[dialBusy].Add(1)
	case had:
		b.traffic[dialAgain].Add(1)
	default:
		b.traffic[dialFirst].Add(1)
	}
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
		delete(b.had, host)
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

package httpwire

import (
	"container/list"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/shares"
)

const (
	mostReserve = 64 // for what isn't counted: the listener, the second address, the watch, the runtime's own files
	fresh       = 20 * time.Millisecond
	mostHeader  = 32 << 10 // of a message, either way
)

var errFull = errors.New("no descriptor left for a connection")

// sockets counts the connections on both sides. Danger: a process without a free descriptor can't accept, and what
// waits in the backlog is owed an answer already.
type sockets struct {
	limit atomic.Int64
	in    atomic.Int64
	out   atomic.Int64

	number atomic.Uint64 // of the last client

	mu        sync.Mutex
	strangers list.List            // clients' connections that never had a transaction, the longest so first
	kept      map[*part]*list.List // those that had, and have none now, by the pool of the last one
	place     map[*counted]*list.Element
	pools     map[*part]*Pool
}

func newSockets() *sockets {
	return &sockets{kept: map[*part]*list.List{}, place: map[*counted]*list.Element{}, pools: map[*part]*Pool{}}
}

// reserve is left free, also for clients that have yet to be accepted.
func (s *sockets) reserve() int64 { return reserveOf(s.limit.Load()) }

func reserveOf(limit int64) int64 { return min(mostReserve, limit/4) }

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
	c.reads, c.moved = now == http.StateActive, time.Now()
	if now == http.StateIdle {
		c.head.next()
	}
	switch {
	case now == http.StateClosed || now == http.StateHijacked:
		s.belong(c, nil)
		return
	case now == http.StateIdle && c.listener.gone.Load():
		c.Close()
		return
	case c.pool != nil:
		if s.kept[c.pool] == nil {
			s.kept[c.pool] = list.New()
		}
		s.place[c] = s.kept[c.pool].PushBack(c)
	default:
		s.place[c] = s.strangers.PushBack(c)
	}
	if now != http.StateNew || s.in.Load() <= s.limit.Load()*3/5 {
		return
	}
	// Danger: one that has just connected may be a good client with its message on the way.
	first := s.strangers.Front() // there is one: the new one itself
	if time.Since(first.Value.(*counted).since) < fresh {
		if kept := s.crowded(); kept != nil {
			first = kept.Front()
		}
	}
	if old := first.Value.(*counted); old != c {
		s.unquiet(old)
		old.Close() // its own goroutine tells its last state
	}
}

// crowded are the kept connections of the pool whose clients hold the most for its part. Danger: those that are used
// all the time are never the oldest, and a flood at one pool would close the connections of the others' clients.
func (s *sockets) crowded() (kept *list.List) {
	var most *part
	for p, l := range s.kept {
		if l.Len() > 0 && (most == nil || shares.Crowds(p.clients, p.weight.Load(), most.clients, most.weight.Load())) {
			kept, most = l, p
		}
	}
	return kept
}

// belong says to which pool a connection's last transaction came.
func (s *sockets) belong(c *counted, p *part) {
	if c.pool != nil {
		if c.pool.clients--; c.pool.clients == 0 {
			delete(s.kept, c.pool)
		}
	}
	if c.pool = p; p != nil {
		p.clients++
	}
}

// busy says that a client's connection carries a transaction, until its next state.
func (s *sockets) busy(c *counted, p *part) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unquiet(c)
	s.belong(c, p)
}

func (s *sockets) unquiet(c *counted) {
	e := s.place[c]
	switch {
	case e == nil:
		return
	case c.pool != nil:
		s.kept[c.pool].Remove(e)
	default:
		s.strangers.Remove(e)
	}
	delete(s.place, c)
}

// join and part keep count of the pools, whose idle connections can be recalled.
func (s *sockets) join(p *Pool) {
	s.mu.Lock()
	s.pools[p.part] = p
	s.mu.Unlock()
}

func (s *sockets) part(p *Pool) {
	s.mu.Lock()
	delete(s.pools, p.part)
	s.mu.Unlock()
}

// recall closes what lies idle of some pools.
func (s *sockets) recall(parts []*part) {
	for _, p := range parts {
		s.mu.Lock()
		pool := s.pools[p]
		s.mu.Unlock()
		if pool != nil {
			pool.recall()
		}
	}
}

// recallAll does so with all of them.
func (s *sockets) recallAll() {
	for _, p := range s.all() {
		p.recall()
	}
}

// all pools there are, those that are retiring included.
func (s *sockets) all() []*Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.pools))
}

// close closes the clients' connections of a listener that are without a transaction.
func (s *sockets) close(of *Listener) {
	var idle []*counted
	s.mu.Lock()
	for c := range s.place {
		if c.listener == of {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// sweep closes clients' connections that lie idle; all, also those that have a message begun for a while. Danger: one
// on which a message has just come would be lost to its client.
func (s *sockets) sweep(now time.Time, all bool) {
	var idle []*counted
	s.mu.Lock()
	for c := range s.place {
		if !c.reads && now.Sub(c.moved) >= fresh || all && now.Sub(c.moved) >= time.Second/2 {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if raw, err := c.SyscallConn(); err == nil && !all {
			if unread, _ := peek(raw); unread {
				continue
			}
		}
		c.Close()
	}
}

// counted is a connection that is taken off its count when it is closed. Danger: without TCPConn's CloseWrite the
// server can't end a connection softly, and a reset overtakes its last answer.
type counted struct {
	*net.TCPConn
	count    *atomic.Int64
	once     sync.Once
	since    time.Time
	listener *Listener // a client's
	number   uint64    // of a client's, by which it belongs to a shard
	reads    bool      // a client's: some of a message has come
	moved    time.Time // when its state changed
	head     heads     // a client's
	pool     *part     // a client's: to which its last transaction came, nil for a stranger; under the lock of sockets
}

// Read has a client's heads looked at.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.head.see(b[:n])
	return n, err
}

func (c *counted) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.TCPConn.Close()
}

// Listener is where clients connect. It counts them; when descriptors grow short, connections to upstreams that
// nobody uses go.
type Listener struct {
	net.Listener
	called  atomic.Pointer[string]
	sockets *sockets
	gone    atomic.Bool // its clients' connections end with their answers
	deaf    atomic.Bool // closed here, and open in another process
}

// Rename changes its name, as routes know it.
func (l *Listener) Rename(name string) { l.called.Store(&name) }

func (l *Listener) name() string { return *l.called.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.sockets
	if s.in.Add(1)+s.out.Load() > s.limit.Load()-s.reserve()/2 {
		s.recallAll()
	}
	return &counted{TCPConn: c.(*net.TCPConn), count: &s.in, listener: l, number: s.number.Add(1)}, nil
}

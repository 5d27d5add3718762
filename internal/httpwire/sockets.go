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

	"ottershift/internal/keptconn"
	"ottershift/internal/rawconn"
	"ottershift/internal/shares"
)

const (
	mostReserve = 64 // for what isn't counted: the listener, the second address, the watch, the runtime's own files
	fresh       = 20 * time.Millisecond
	looks       = 8               // at connections, for one that has really said nothing
	idleFor     = 2 * time.Second // after which a client reckons with a close
	stuckFor    = time.Second / 2 // that a message may stop for, once all connections are to end
	mostHeader  = 32 << 10        // of a message, either way
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
	bodies    map[*counted]bool    // clients' connections on which a body is awaited
	kept      map[*part]*list.List // those that had, and have none now, by the pool of the last one
	place     map[*counted]*list.Element
	pools     map[*part]*Pool
}

func newSockets() *sockets {
	return &sockets{
		kept: map[*part]*list.List{}, place: map[*counted]*list.Element{}, pools: map[*part]*Pool{}, bodies: map[*counted]bool{},
	}
}

// reserve is left free, also for clients that have yet to be accepted.
func (s *sockets) reserve() int64 { return reserveOf(s.limit.Load()) }

func reserveOf(limit int64) int64 { return min(mostReserve, limit/4) }

// state follows clients' connections. Danger: clients that connect and say nothing, or begin a message and never
// end it, would use up the descriptors; once they hold too many, the one without a whole message that has been silent
// for longest makes room for a new one. What a flood does must not cost good clients theirs, above all while others
// restart and they have no other.
func (s *sockets) state(conn net.Conn, now http.ConnState) {
	c := conn.(*counted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now == http.StateNew {
		c.heard.Store(time.Now().UnixNano())
	}
	s.unquiet(c)
	delete(s.bodies, c)
	c.idle, c.moved = now == http.StateIdle, time.Now()
	switch now {
	case http.StateActive:
		c.guard.MarkActive(c.TCPConn)
	case http.StateIdle:
		c.head.next()
		c.guard.MarkIdle()
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
	if first := s.room(time.Now()); first != nil && first != c {
		s.unquiet(first)
		delete(s.bodies, first)
		first.Close() // its own goroutine tells its last state
	}
}

// room finds who makes room: who has never said anything or stopped in a body, then who has been idle for long, then
// who stopped in a head, each time the one that is silent for longest; then the oldest idle one of the pool that crowds
// the others. Danger: one that has just said something may be a good client with its message on the way, and a slow
// client stops between two pieces of a head.
func (s *sockets) room(now time.Time) *counted {
	recent := now.Add(-fresh).UnixNano()
	for range looks {
		var mute, half *counted
		for e := s.strangers.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*counted); c.said.Load() {
				half = c.quieter(half)
			} else {
				mute = c.quieter(mute)
			}
		}
		for c := range s.bodies {
			if half = c.quieter(half); c.heard.Load() < now.Add(-pause/2).UnixNano() {
				mute = c.quieter(mute) // a body that comes at all doesn't stop for so long
			}
		}
		var idle *counted
		if kept := s.crowded(); kept != nil {
			idle = kept.Front().Value.(*counted)
		}
		first := idle
		switch {
		case mute != nil && mute.heard.Load() < recent:
			first = mute
		case idle != nil && now.Sub(idle.moved) >= idleFor:
		case half != nil && half.heard.Load() < recent:
			first = half
		case idle == nil && mute != nil:
			first = mute
		}
		if first == nil {
			first = half
		}
		if first == nil || !first.speaks() {
			return first
		}
	}
	return s.strangers.Front().Value.(*counted) // all speak; there is one, the newest
}

// quieter is the one of two connections that has been silent for longer.
func (c *counted) quieter(than *counted) *counted {
	if than == nil || c.heard.Load() < than.heard.Load() {
		return c
	}
	return than
}

// speaks reports whether something has come on a connection that has not been read yet: a core that is busy reads late.
func (c *counted) speaks() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread, _ := rawconn.Peek(raw)
	if unread {
		c.heard.Store(time.Now().UnixNano())
		c.said.Store(true)
		c.moved = time.Now()
	}
	return unread
}

// spare closes the body that has stopped for longest, to have its room for another's; there may be none.
func (s *sockets) spare(own *counted) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *counted
	for c := range s.bodies {
		if c != own {
			first = c.quieter(first)
		}
	}
	if first == nil || time.Since(time.Unix(0, first.heard.Load())) < fresh || first.speaks() {
		return first != nil
	}
	delete(s.bodies, first)
	first.Close()
	return true
}

// awaits says that a body is awaited on a connection, or no longer.
func (s *sockets) awaits(c *counted, body bool) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body {
		s.bodies[c] = true
	} else {
		delete(s.bodies, c)
	}
}

// crowded are the kept connections of the pool whose clients hold the most for its part. Danger: those that are used
// all the time are never the oldest, and a flood at one pool would close the connections of the others' clients.
func (s *sockets) crowded() (kept *list.List) {
	var most *part
	for p, l := range s.kept {
		if l.Len() > 0 && (most == nil || shares.MoreLoaded(p.clients, p.weight.Load(), most.clients, most.weight.Load())) {
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

// close closes the clients' connections of a listener that are without a transaction. Danger: one on which a message has just come
// would be lost to its client, or run for nobody, so each is closed by its own goroutine.
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
		c.guard.CloseIfIdle(c.TCPConn)
	}
}

// sweep closes clients' connections that lie idle; all, also those that never ended a message. Danger: one on which a
// message has just come, or comes slowly, would be lost to its client.
func (s *sockets) sweep(now time.Time, all bool) {
	var idle []*counted
	s.mu.Lock()
	for c := range s.place {
		if quiet := now.Sub(c.moved); c.idle && quiet >= fresh || all && quiet >= stuckFor {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if !c.guard.CloseIfIdle(c.TCPConn) && all && now.Sub(time.Unix(0, c.heard.Load())) >= stuckFor {
			c.Close()
		}
	}
}

// counted is a connection that is taken off its count when it is closed. Danger: without TCPConn's CloseWrite the
// server can't end a connection softly, and a reset overtakes its last answer.
type counted struct {
	*net.TCPConn
	count    *atomic.Int64
	once     sync.Once
	heard    atomic.Int64 // a client's: when it said something, in Unix nanoseconds, or came
	said     atomic.Bool  // that it did
	listener *Listener    // a client's
	number   uint64       // of a client's, by which it belongs to a shard
	idle     bool         // a client's: between two messages
	moved    time.Time    // when its state changed
	head     heads        // a client's
	guard    keptconn.Guard
	pool     *part // a client's: to which its last transaction came, nil for a stranger; under the lock of sockets
}

// Read has a client's heads looked at.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.guard.Read(c.TCPConn, b)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
		c.said.Store(true)
		c.head.see(b[:n])
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *counted) SetReadDeadline(t time.Time) error { return c.guard.SetReadDeadline(c.TCPConn, t) }

// SetDeadline implements net.Conn.
func (c *counted) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
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
	deaf    atomic.Bool // closed here, by a drain; another process may have it open
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

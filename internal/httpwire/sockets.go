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
	maxReserve     = 64 // for what isn't counted: the listener, the second address, the watch, the runtime's own files
	recentWindow   = 20 * time.Millisecond
	evictionTries  = 8               // at connections, for one that has really said nothing
	idleEvictAfter = 2 * time.Second // after which a client reckons with a close
	messageStall   = time.Second / 2 // that a message may stop for, once all connections are to end
	maxHeaderBytes = 32 << 10        // of a message, either way
)

var errNoDescriptor = errors.New("no descriptor left for a connection")

// connTracker counts the connections on both sides. Danger: a process without a free descriptor can't accept, and what
// waits in the backlog is owed an answer already.
type connTracker struct {
	limit     atomic.Int64
	clients   atomic.Int64
	upstreams atomic.Int64

	lastNumber atomic.Uint64 // of the last client

	mu           sync.Mutex
	unassigned   list.List                  // clients' connections that never had a transaction, the longest so first
	awaitingBody map[*trackedConn]bool      // clients' connections on which a body is awaited
	idle         map[*poolLimits]*list.List // those that had, and have none now, by the pool of the last one
	elements     map[*trackedConn]*list.Element
	pools        map[*poolLimits]*Pool
}

func newConnTracker() *connTracker {
	return &connTracker{
		idle: map[*poolLimits]*list.List{}, elements: map[*trackedConn]*list.Element{}, pools: map[*poolLimits]*Pool{}, awaitingBody: map[*trackedConn]bool{},
	}
}

// reserve is left free, also for clients that have yet to be accepted.
func (tracker *connTracker) reserve() int64 { return descriptorReserve(tracker.limit.Load()) }

func descriptorReserve(limit int64) int64 { return min(maxReserve, limit/4) }

// stateChanged follows clients' connections. Danger: clients that connect and say nothing, or begin a message and never
// end it, would use up the descriptors; once they hold too many, the one without a whole message that has been silent
// for longest makes room for a new one. What a flood does must not cost good clients theirs, above all while others
// restart and they have no other.
func (tracker *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	tracked := conn.(*trackedConn)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if state == http.StateNew {
		tracked.lastRead.Store(time.Now().UnixNano())
	}
	tracker.unlist(tracked)
	delete(tracker.awaitingBody, tracked)
	tracked.idle, tracked.stateSince = state == http.StateIdle, time.Now()
	switch state {
	case http.StateActive:
		tracked.readGuard.Begin(tracked.TCPConn)
	case http.StateIdle:
		tracked.head.reset()
		tracked.readGuard.Rest()
	}
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		tracker.assign(tracked, nil)
		return
	case state == http.StateIdle && tracked.listener.closing.Load():
		tracked.Close()
		return
	case tracked.limits != nil:
		if tracker.idle[tracked.limits] == nil {
			tracker.idle[tracked.limits] = list.New()
		}
		tracker.elements[tracked] = tracker.idle[tracked.limits].PushBack(tracked)
	default:
		tracker.elements[tracked] = tracker.unassigned.PushBack(tracked)
	}
	if state != http.StateNew || tracker.clients.Load() <= tracker.limit.Load()*3/5 {
		return
	}
	if victim := tracker.evictionCandidate(time.Now()); victim != nil && victim != tracked {
		tracker.unlist(victim)
		delete(tracker.awaitingBody, victim)
		victim.Close() // its own goroutine tells its last state
	}
}

// evictionCandidate finds who makes room: who has never said anything or stopped in a body, then who has been idle for long, then
// who stopped in a head, each time the one that is silent for longest; then the oldest idle one of the pool that crowds
// the others. Danger: one that has just said something may be a good client with its message on the way, and a slow
// client stops between two pieces of a head.
func (tracker *connTracker) evictionCandidate(now time.Time) *trackedConn {
	recent := now.Add(-recentWindow).UnixNano()
	for range evictionTries {
		var silent, partial *trackedConn
		for e := tracker.unassigned.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*trackedConn); c.hasSent.Load() {
				partial = c.longerSilent(partial)
			} else {
				silent = c.longerSilent(silent)
			}
		}
		for c := range tracker.awaitingBody {
			if partial = c.longerSilent(partial); c.lastRead.Load() < now.Add(-bodyPause/2).UnixNano() {
				silent = c.longerSilent(silent) // a body that comes at all doesn't stop for so long
			}
		}
		var idle *trackedConn
		if kept := tracker.mostCrowded(); kept != nil {
			idle = kept.Front().Value.(*trackedConn)
		}
		victim := idle
		switch {
		case silent != nil && silent.lastRead.Load() < recent:
			victim = silent
		case idle != nil && now.Sub(idle.stateSince) >= idleEvictAfter:
		case partial != nil && partial.lastRead.Load() < recent:
			victim = partial
		case idle == nil && silent != nil:
			victim = silent
		}
		if victim == nil {
			victim = partial
		}
		if victim == nil || !victim.hasUnread() {
			return victim
		}
	}
	return tracker.unassigned.Front().Value.(*trackedConn) // all speak; there is one, the newest
}

// longerSilent is the one of two connections that has been silent for longer.
func (conn *trackedConn) longerSilent(than *trackedConn) *trackedConn {
	if than == nil || conn.lastRead.Load() < than.lastRead.Load() {
		return conn
	}
	return than
}

// hasUnread reports whether something has come on a connection that has not been read yet: a core that is busy reads late.
func (conn *trackedConn) hasUnread() bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread, _ := rawconn.Peek(raw)
	if unread {
		conn.lastRead.Store(time.Now().UnixNano())
		conn.hasSent.Store(true)
		conn.stateSince = time.Now()
	}
	return unread
}

// evictBody closes the body that has stopped for longest, to have its room for another's; there may be none.
func (tracker *connTracker) evictBody(own *trackedConn) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var oldest *trackedConn
	for c := range tracker.awaitingBody {
		if c != own {
			oldest = c.longerSilent(oldest)
		}
	}
	if oldest == nil || time.Since(time.Unix(0, oldest.lastRead.Load())) < recentWindow || oldest.hasUnread() {
		return oldest != nil
	}
	delete(tracker.awaitingBody, oldest)
	oldest.Close()
	return true
}

// setAwaitingBody says that a body is awaited on a connection, or no longer.
func (tracker *connTracker) setAwaitingBody(conn *trackedConn, body bool) {
	if conn == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if body {
		tracker.awaitingBody[conn] = true
	} else {
		delete(tracker.awaitingBody, conn)
	}
}

// mostCrowded are the kept connections of the pool whose clients hold the most for its part. Danger: those that are used
// all the time are never the oldest, and a flood at one pool would close the connections of the others' clients.
func (tracker *connTracker) mostCrowded() (kept *list.List) {
	var most *poolLimits
	for p, l := range tracker.idle {
		if l.Len() > 0 && (most == nil || shares.Crowds(p.clientConns, p.guaranteed.Load(), most.clientConns, most.guaranteed.Load())) {
			kept, most = l, p
		}
	}
	return kept
}

// assign says to which pool a connection's last transaction came.
func (tracker *connTracker) assign(conn *trackedConn, limits *poolLimits) {
	if conn.limits != nil {
		if conn.limits.clientConns--; conn.limits.clientConns == 0 {
			delete(tracker.idle, conn.limits)
		}
	}
	if conn.limits = limits; limits != nil {
		limits.clientConns++
	}
}

// markBusy says that a client's connection carries a transaction, until its next state.
func (tracker *connTracker) markBusy(conn *trackedConn, limits *poolLimits) {
	if conn == nil {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.unlist(conn)
	tracker.assign(conn, limits)
}

func (tracker *connTracker) unlist(conn *trackedConn) {
	element := tracker.elements[conn]
	switch {
	case element == nil:
		return
	case conn.limits != nil:
		tracker.idle[conn.limits].Remove(element)
	default:
		tracker.unassigned.Remove(element)
	}
	delete(tracker.elements, conn)
}

// addPool and part keep count of the pools, whose idle connections can be recalled.
func (tracker *connTracker) addPool(pool *Pool) {
	tracker.mu.Lock()
	tracker.pools[pool.limits] = pool
	tracker.mu.Unlock()
}

func (tracker *connTracker) removePool(pool *Pool) {
	tracker.mu.Lock()
	delete(tracker.pools, pool.limits)
	tracker.mu.Unlock()
}

// closeIdleOf closes what lies idle of some pools.
func (tracker *connTracker) closeIdleOf(parts []*poolLimits) {
	for _, p := range parts {
		tracker.mu.Lock()
		pool := tracker.pools[p]
		tracker.mu.Unlock()
		if pool != nil {
			pool.closeIdle()
		}
	}
}

// closeAllIdle does so with all of them.
func (tracker *connTracker) closeAllIdle() {
	for _, p := range tracker.allPools() {
		p.closeIdle()
	}
}

// allPools pools there are, those that are retiring included.
func (tracker *connTracker) allPools() []*Pool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return slices.Collect(maps.Values(tracker.pools))
}

// closeIdleOfListener closes the clients' connections of a listener that are without a transaction. Danger: one on which a message has just come
// would be lost to its client, or run for nobody, so each is closed by its own goroutine.
func (tracker *connTracker) closeIdleOfListener(listener *Listener) {
	var idle []*trackedConn
	tracker.mu.Lock()
	for c := range tracker.elements {
		if c.listener == listener {
			idle = append(idle, c)
		}
	}
	tracker.mu.Unlock()
	for _, c := range idle {
		c.readGuard.EndIfIdle(c.TCPConn)
	}
}

// closeIdleClients closes clients' connections that lie idle; all, also those that never ended a message. Danger: one on which a
// message has just come, or comes slowly, would be lost to its client.
func (tracker *connTracker) closeIdleClients(now time.Time, all bool) {
	var idle []*trackedConn
	tracker.mu.Lock()
	for c := range tracker.elements {
		if quiet := now.Sub(c.stateSince); c.idle && quiet >= recentWindow || all && quiet >= messageStall {
			idle = append(idle, c)
		}
	}
	tracker.mu.Unlock()
	for _, c := range idle {
		if !c.readGuard.EndIfIdle(c.TCPConn) && all && now.Sub(time.Unix(0, c.lastRead.Load())) >= messageStall {
			c.Close()
		}
	}
}

// trackedConn is a connection that is taken off its count when it is closed. Danger: without TCPConn's CloseWrite the
// server can't end a connection softly, and a reset overtakes its last answer.
type trackedConn struct {
	*net.TCPConn
	count      *atomic.Int64
	once       sync.Once
	lastRead   atomic.Int64 // a client's: when it said something, in Unix nanoseconds, or came
	hasSent    atomic.Bool  // that it did
	listener   *Listener    // a client's
	number     uint64       // of a client's, by which it belongs to a shard
	idle       bool         // a client's: between two messages
	stateSince time.Time    // when its state changed
	head       headScanner  // a client's
	readGuard  keptconn.Guard
	limits     *poolLimits // a client's: to which its last transaction came, nil for a stranger; under the lock of sockets
}

// Read has a client's heads looked at.
func (conn *trackedConn) Read(b []byte) (int, error) {
	n, err := conn.readGuard.Read(conn.TCPConn, b)
	if n > 0 {
		conn.lastRead.Store(time.Now().UnixNano())
		conn.hasSent.Store(true)
		conn.head.scan(b[:n])
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (conn *trackedConn) SetReadDeadline(t time.Time) error {
	return conn.readGuard.SetReadDeadline(conn.TCPConn, t)
}

// SetDeadline implements net.Conn.
func (conn *trackedConn) SetDeadline(t time.Time) error {
	if err := conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return conn.SetReadDeadline(t)
}

func (conn *trackedConn) Close() error {
	conn.once.Do(func() { conn.count.Add(-1) })
	return conn.TCPConn.Close()
}

// Listener is where clients connect. It counts them; when descriptors grow short, connections to upstreams that
// nobody uses go.
type Listener struct {
	net.Listener
	label        atomic.Pointer[string]
	sockets      *connTracker
	closing      atomic.Bool // its clients' connections end with their answers
	notAccepting atomic.Bool // closed here, by a drain; another process may have it open
}

// Rename changes its name, as routes know it.
func (listener *Listener) Rename(name string) { listener.label.Store(&name) }

func (listener *Listener) name() string { return *listener.label.Load() }

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	c, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := listener.sockets
	if s.clients.Add(1)+s.upstreams.Load() > s.limit.Load()-s.reserve()/2 {
		s.closeAllIdle()
	}
	return &trackedConn{TCPConn: c.(*net.TCPConn), count: &s.clients, listener: listener, number: s.lastNumber.Add(1)}, nil
}

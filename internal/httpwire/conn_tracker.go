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
	maxReserve     = 64                    // descriptors not counted: listener, admin address, file watch, runtime
	recentWindow   = 20 * time.Millisecond // data this recent may still be followed by more
	evictionTries  = 8                     // until a connection without unread data is found
	idleEvictAfter = 2 * time.Second       // after this, clients expect their idle connection to close
	messageStall   = time.Second / 2       // longest pause in a request once all connections are to close
	maxHeaderBytes = 32 << 10              // bytes, of requests and responses
)

var errNoDescriptor = errors.New("no descriptor left for a connection")

// connTracker counts the connections to clients and upstreams. A process without free descriptors cannot accept,
// but clients in the backlog are already entitled to an answer.
type connTracker struct {
	limit     atomic.Int64
	clients   atomic.Int64
	upstreams atomic.Int64

	lastNumber atomic.Uint64 // number of the last client connection

	mu           sync.Mutex
	unassigned   list.List                  // client connections that never had a transaction, the oldest first
	awaitingBody map[*trackedConn]bool      // client connections on which a body is awaited
	idle         map[*poolLimits]*list.List // client connections without a transaction, by the pool of the last one
	elements     map[*trackedConn]*list.Element
	pools        map[*poolLimits]*Pool
}

func newConnTracker() *connTracker {
	return &connTracker{
		idle: map[*poolLimits]*list.List{}, elements: map[*trackedConn]*list.Element{}, pools: map[*poolLimits]*Pool{},
		awaitingBody: map[*trackedConn]bool{},
	}
}

// reserve returns the number of descriptors that are kept free, also for clients not yet accepted.
func (tracker *connTracker) reserve() int64 { return descriptorReserve(tracker.limit.Load()) }

func descriptorReserve(limit int64) int64 { return min(maxReserve, limit/4) }

// stateChanged follows the state of client connections. Clients that connect and send nothing, or never complete a
// request, would use up the descriptors. Above 3/5 of the descriptors, the connection without a complete request that has been
// silent for longest is closed for a new one. A flood must not cost other clients their connections, above all
// while other balancers restart and these clients have no other connection.
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
		tracked.readGuard.MarkActive(tracked.TCPConn)
	case http.StateIdle:
		tracked.head.reset()
		tracked.readGuard.MarkIdle()
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
		victim.Close() // its own goroutine reports the final state
	}
}

// evictionCandidate returns the connection to close for a new one. The order is: a connection that never sent
// anything or stopped in a body, one that has been idle for long, one that stopped in a header, each time the one
// silent for longest, and last the oldest idle one of the most crowded pool. A connection with recent data is
// spared, because its request may be on the way and slow clients pause within a header.
func (tracker *connTracker) evictionCandidate(now time.Time) *trackedConn {
	recent := now.Add(-recentWindow).UnixNano()
	for range evictionTries {
		var silent, partial *trackedConn
		for element := tracker.unassigned.Front(); element != nil; element = element.Next() {
			if conn := element.Value.(*trackedConn); conn.hasSent.Load() {
				partial = conn.longerSilent(partial)
			} else {
				silent = conn.longerSilent(silent)
			}
		}
		for conn := range tracker.awaitingBody {
			if partial = conn.longerSilent(partial); conn.lastRead.Load() < now.Add(-bodyPause/2).UnixNano() {
				silent = conn.longerSilent(silent) // a body that still arrives does not pause for so long
			}
		}
		var idle *trackedConn
		if idleConns := tracker.mostCrowded(); idleConns != nil {
			idle = idleConns.Front().Value.(*trackedConn)
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
	return tracker.unassigned.Front().Value.(*trackedConn) // all have unread data; there is at least the newest one
}

// longerSilent returns the one of two connections that has been silent for longer.
func (conn *trackedConn) longerSilent(than *trackedConn) *trackedConn {
	if than == nil || conn.lastRead.Load() < than.lastRead.Load() {
		return conn
	}
	return than
}

// hasUnread reports whether a connection has unread data, as a busy core reads late.
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

// evictBody closes the connection whose body has been silent for longest, to free its buffer. It returns false if
// there is none.
func (tracker *connTracker) evictBody(own *trackedConn) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var oldest *trackedConn
	for conn := range tracker.awaitingBody {
		if conn != own {
			oldest = conn.longerSilent(oldest)
		}
	}
	if oldest == nil || time.Since(time.Unix(0, oldest.lastRead.Load())) < recentWindow || oldest.hasUnread() {
		return oldest != nil
	}
	delete(tracker.awaitingBody, oldest)
	oldest.Close()
	return true
}

// setAwaitingBody records whether a body is awaited on a connection.
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

// mostCrowded returns the idle connections of the pool whose clients hold the most relative to its guarantee.
// Without regard to pools, a flood at one pool would close connections of the others' clients, because connections
// in constant use are never the oldest.
func (tracker *connTracker) mostCrowded() (idle *list.List) {
	var most *poolLimits
	for limits, conns := range tracker.idle {
		if conns.Len() > 0 && (most == nil ||
			shares.MoreLoaded(limits.clientConns, limits.guaranteed.Load(), most.clientConns, most.guaranteed.Load())) {
			idle, most = conns, limits
		}
	}
	return idle
}

// assign sets the pool of a connection's last transaction.
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

// markBusy records that a client connection carries a transaction, until its next change of state.
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

// addPool and removePool maintain the set of pools whose idle connections can be closed.
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

// closeIdleOf closes the idle upstream connections of some pools.
func (tracker *connTracker) closeIdleOf(all []*poolLimits) {
	for _, limit := range all {
		tracker.mu.Lock()
		pool := tracker.pools[limit]
		tracker.mu.Unlock()
		if pool != nil {
			pool.closeIdle()
		}
	}
}

// closeAllIdle closes the idle upstream connections of all pools.
func (tracker *connTracker) closeAllIdle() {
	for _, pool := range tracker.allPools() {
		pool.closeIdle()
	}
}

// allPools returns all pools, including those being retired.
func (tracker *connTracker) allPools() []*Pool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return slices.Collect(maps.Values(tracker.pools))
}

// closeIdleOfListener closes the client connections of a listener that carry no transaction. Each is closed by its
// own goroutine, because a request that has just arrived would otherwise be lost or run without a client.
func (tracker *connTracker) closeIdleOfListener(listener *Listener) {
	var idle []*trackedConn
	tracker.mu.Lock()
	for conn := range tracker.elements {
		if conn.listener == listener {
			idle = append(idle, conn)
		}
	}
	tracker.mu.Unlock()
	for _, conn := range idle {
		conn.readGuard.CloseIfIdle(conn.TCPConn)
	}
}

// closeIdleClients closes idle client connections; with all, also those whose request has stalled. A connection on
// which a request has just arrived, or arrives slowly, stays open because the request would be lost.
func (tracker *connTracker) closeIdleClients(now time.Time, all bool) {
	var idle []*trackedConn
	tracker.mu.Lock()
	for conn := range tracker.elements {
		if quiet := now.Sub(conn.stateSince); conn.idle && quiet >= recentWindow || all && quiet >= messageStall {
			idle = append(idle, conn)
		}
	}
	tracker.mu.Unlock()
	for _, conn := range idle {
		if !conn.readGuard.CloseIfIdle(conn.TCPConn) && all && now.Sub(time.Unix(0, conn.lastRead.Load())) >= messageStall {
			conn.Close()
		}
	}
}

// trackedConn is a connection that leaves its count when it is closed. It embeds TCPConn for its CloseWrite:
// without it, the server cannot close a connection gracefully, and a reset would overtake the last answer. All
// fields after once concern client connections.
type trackedConn struct {
	*net.TCPConn
	count      *atomic.Int64
	once       sync.Once
	lastRead   atomic.Int64 // Unix nanoseconds; the time of connecting until something is read
	hasSent    atomic.Bool  // something has been read
	listener   *Listener
	number     uint64    // selects the shard
	idle       bool      // between two requests
	stateSince time.Time // time of the last change of state, or when unread data was found
	head       headScanner
	readGuard  keptconn.Guard
	limits     *poolLimits // pool of the last transaction, nil before the first; under the lock of connTracker
}

// Read reads data and passes that of a client to the header scanner.
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

// Listener accepts and counts clients. When descriptors run short, it closes idle connections to upstreams.
type Listener struct {
	net.Listener
	label        atomic.Pointer[string]
	tracker      *connTracker
	closing      atomic.Bool // client connections close with their answers
	notAccepting atomic.Bool // closed in this process by a drain; another process may have it open
}

// Rename sets the name used by the routes.
func (listener *Listener) Rename(name string) { listener.label.Store(&name) }

func (listener *Listener) name() string { return *listener.label.Load() }

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracker := listener.tracker
	if tracker.clients.Add(1)+tracker.upstreams.Load() > tracker.limit.Load()-tracker.reserve()/2 {
		tracker.closeAllIdle()
	}
	return &trackedConn{TCPConn: conn.(*net.TCPConn), count: &tracker.clients, listener: listener,
		number: tracker.lastNumber.Add(1)}, nil
}

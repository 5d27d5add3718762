package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits and timeouts of a Link.
const (
	MaxConnections     = 1024                   // open at once, in both directions
	maxServing         = 256                    // requests handled at once, over all connections
	handshakeTimeout   = 2 * time.Second        // for an accepted connection to send its hello message
	idleTimeout        = 2 * time.Minute        // until a connection without a complete frame is closed
	frameTimeout       = 10 * time.Second       // for the rest of a frame after its first bytes
	writeTimeout       = 5 * time.Second        // for one write
	dialTimeout        = time.Second            // for a dial by a caller, handshake included
	refusalLogInterval = time.Minute            // between two log lines for the same refusal
	socketErrorDelay   = 10 * time.Millisecond  // before the next accept or receive after a socket error
	datagramQueue      = 512                    // datagrams waiting to be handled
	maxRefusalKinds    = 64                     // distinct refusals that are logged
	pollInterval       = 500 * time.Millisecond // longest sleep of a peer loop while calls are pending
)

// Counters are the statistics of a Link since its start.
type Counters struct {
	DatagramsIn, DatagramsOut, BytesIn, BytesOut         atomic.Int64
	StreamBytesIn, StreamBytesOut                        atomic.Int64
	Corrupt, Refused, Dropped                            atomic.Int64 // invalid input; connections and datagrams refused; connections over the limit
	Calls, Answered, NotSent, OutcomeUnknown, Overloaded atomic.Int64 // outgoing calls
	Served, Rejected                                     atomic.Int64 // incoming calls
	Connections                                          atomic.Int64 // open now
}

// Handler answers a request from another member.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Options configure a Link.
type Options struct {
	Cluster, Self, Address string
	AddressOverrides       map[string]string // addresses to dial instead of the advertised ones, by member name
	MinVersion, MaxVersion byte              // supported protocol versions; 0 for those of this build
	Seed                   uint64
	Log                    *slog.Logger
	HandleStream           func(net.Conn)                                 // takes ownership of an accepted gossip stream
	HandleDatagram         func(kind byte, payload []byte, from net.Addr) // may retain payload
	Resolve                func(name string) (address string, ok bool)    // returns a member's current address
}

// Link is one member's endpoint: it accepts connections and datagrams from the other members and opens connections to them.
type Link struct {
	options    Options
	tcp        net.Listener
	udp        *net.UDPConn
	start      time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	workers    sync.WaitGroup
	serveSlots chan struct{}
	Counters   Counters

	mu               sync.Mutex
	addressOverrides map[string]string
	handlers         map[uint16]Handler
	peers            map[string]*peer
	connections      map[net.Conn]struct{}
	lastLogged       map[string]time.Time // by refusal
	closed           bool
}

// Listen binds the address for TCP and UDP. Nothing is accepted before Serve.
func Listen(options Options) (*Link, error) {
	if options.MaxVersion == 0 {
		options.MinVersion, options.MaxVersion = MinVersion, MaxVersion
	}
	tcp, udp, err := listenTCPAndUDP(options.Address)
	if err != nil {
		return nil, err
	}
	l := &Link{
		options: options, tcp: tcp, udp: udp, start: time.Now(), serveSlots: make(chan struct{}, maxServing), addressOverrides: options.AddressOverrides,
		handlers: map[uint16]Handler{}, peers: map[string]*peer{}, connections: map[net.Conn]struct{}{}, lastLogged: map[string]time.Time{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// listenTCPAndUDP binds an address for TCP and UDP. For port 0 it looks for a port that is free for both.
func listenTCPAndUDP(address string) (*net.TCPListener, *net.UDPConn, error) {
	for attempt := 0; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		tcp := listener.(*net.TCPListener)
		bound := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: bound.IP, Port: bound.Port, Zone: bound.Zone})
		if err == nil {
			return tcp, udp, nil
		}
		if tcp.Close(); !strings.HasSuffix(address, ":0") || attempt == 50 {
			return nil, nil, err
		}
	}
}

// Handle registers the handler of a method.
func (l *Link) Handle(method uint16, handler Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[method] = handler
}

func (l *Link) handler(method uint16) Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[method]
}

// Serve starts accepting connections and datagrams in the background.
func (l *Link) Serve() {
	l.workers.Go(l.acceptLoop)
	l.workers.Go(l.receiveLoop)
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() *net.TCPAddr { return l.tcp.Addr().(*net.TCPAddr) }

// SetAddressOverrides replaces the addresses to dial instead of the advertised ones, by member name.
func (l *Link) SetAddressOverrides(overrides map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addressOverrides = overrides
}

// Close closes the sockets and all connections, and waits for the goroutines. Calls in flight end with ErrOutcomeUnknown.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	for c := range l.connections {
		c.Close()
	}
	l.mu.Unlock()
	l.cancel()
	l.tcp.Close()
	l.udp.Close()
	l.workers.Wait()
}

func (l *Link) now() int64 { return int64(time.Since(l.start)) }

// dialAddress returns the override for a member, or else the given address.
func (l *Link) dialAddress(name, address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if override := l.addressOverrides[name]; override != "" {
		return override
	}
	return address
}

// reportRefusal counts a refusal and logs it at most once per refusalLogInterval and source.
func (l *Link) reportRefusal(reason error, source string) {
	l.Counters.Refused.Add(1)
	key := reason.Error() + " " + source
	l.mu.Lock()
	last, known := l.lastLogged[key]
	shouldLog := !known && len(l.lastLogged) < maxRefusalKinds || known && time.Since(last) > refusalLogInterval
	if shouldLog {
		l.lastLogged[key] = time.Now()
	}
	l.mu.Unlock()
	if shouldLog {
		l.options.Log.Warn("cluster", "step", "refused", "from", source, "fault", reason)
	}
}

// track registers a connection to be closed by Close. It returns false if the link is closed or has too many connections.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.connections) >= MaxConnections {
		return false
	}
	l.connections[c] = struct{}{}
	l.Counters.Connections.Add(1)
	return true
}

func (l *Link) closeConnection(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, tracked := l.connections[c]; tracked {
		delete(l.connections, c)
		l.Counters.Connections.Add(-1)
	}
}

func (l *Link) acceptLoop() {
	for {
		conn, err := l.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for instance out of file descriptors, which may become free again
			time.Sleep(socketErrorDelay)
			continue
		}
		if !l.track(conn) {
			l.Counters.Dropped.Add(1)
			conn.Close()
			continue
		}
		l.workers.Go(func() { l.handleConnection(conn) })
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	link *Link
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.Counters.StreamBytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.link.Counters.StreamBytesOut.Add(int64(n))
	return n, err
}

// trackedConn is a connection that is removed from its Link when its owner closes it.
type trackedConn struct {
	countingConn
	closeConnection func()
}

func (c *trackedConn) Close() error { c.closeConnection(); return nil }

// handleConnection performs the handshake on an accepted connection and then serves it.
func (l *Link) handleConnection(raw net.Conn) {
	conn := countingConn{raw, l}
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello, err := ReadHello(conn)
	if err != nil {
		if errors.Is(err, ErrCorrupt) {
			l.Counters.Corrupt.Add(1)
			l.reportRefusal(err, remoteHost(raw))
		}
		l.closeConnection(raw)
		return
	}
	version := NegotiateVersion(l.options.MinVersion, l.options.MaxVersion, hello.MinVersion, hello.MaxVersion)
	source := hello.From + " at " + remoteHost(raw)
	switch {
	case hello.Cluster != l.options.Cluster:
		conn.Write([]byte{0, 1})
		l.reportRefusal(fmt.Errorf("%w: peer has %q, this member %q", ErrClusterMismatch, hello.Cluster, l.options.Cluster), source)
	case version == 0:
		conn.Write([]byte{0, 2})
		l.reportRefusal(fmt.Errorf("%w: peer supports %d to %d, this member %d to %d", ErrVersionMismatch, hello.MinVersion, hello.MaxVersion, l.options.MinVersion, l.options.MaxVersion), source)
	case hello.Kind == KindGossip:
		if _, err := conn.Write([]byte{version, 0}); err == nil {
			conn.SetDeadline(time.Time{})
			l.options.HandleStream(&trackedConn{conn, func() { l.closeConnection(raw) }})
			return
		}
	case hello.Kind == KindCalls:
		if _, err := conn.Write([]byte{version, 0}); err == nil {
			l.serveCalls(conn, hello.From)
		}
	default:
		l.reportRefusal(fmt.Errorf("%w: unknown connection kind %d", ErrCorrupt, hello.Kind), source)
	}
	l.closeConnection(raw)
}

func remoteHost(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

// serveCalls answers the requests on one connection.
func (l *Link) serveCalls(conn net.Conn, from string) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	var writeMu sync.Mutex
	writeFrame := func(f *Frame) {
		writeMu.Lock()
		defer writeMu.Unlock()
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(f.Append(nil)); err != nil {
			conn.Close()
		}
	}
	// More slots than a caller has calls in flight: a caller that abandons a call may send the next one before the handler
	// of the abandoned call has returned here.
	slots := make(chan struct{}, MaxInFlight+MaxInFlight/4)
	l.readFrames(conn, func(f *Frame) {
		handler := l.handler(f.Method)
		if f.Type == frameOneWay && handler != nil { // handled inline to keep their order; these handlers must not block
			l.Counters.Served.Add(1)
			handler(ctx, from, f.Body)
			return
		}
		if f.Type != frameRequest {
			return
		}
		refuse := func(reason string) {
			l.Counters.Rejected.Add(1)
			writeFrame(&Frame{Type: frameRefusal, ID: f.ID, Body: []byte(reason)})
		}
		if handler == nil {
			refuse("no such method")
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			refuse("too many calls on this connection")
			return
		}
		select {
		case l.serveSlots <- struct{}{}:
		default:
			<-slots
			refuse("too many calls")
			return
		}
		l.Counters.Served.Add(1)
		l.workers.Go(func() {
			releaseSlots := sync.OnceFunc(func() { <-l.serveSlots; <-slots })
			defer releaseSlots()
			ctx, cancel := context.WithTimeout(ctx, time.Duration(f.TimeoutMillis)*time.Millisecond)
			defer cancel()
			body, err := handler(ctx, from, f.Body)
			// The slots must be free before the response is sent: the caller may send its next request as soon as it has the
			// response, and that request would be refused.
			releaseSlots()
			if ctx.Err() != nil {
				return // the caller no longer waits
			}
			if err != nil {
				writeFrame(&Frame{Type: frameError, ID: f.ID, Body: []byte(err.Error())})
				return
			}
			writeFrame(&Frame{Type: frameResponse, ID: f.ID, Body: body})
		})
	})
}

// readFrames passes the frames of a connection to handle until the connection ends.
func (l *Link) readFrames(conn net.Conn, handle func(*Frame)) {
	var decoder Decoder
	buffer := make([]byte, 16<<10)
	var frameStart time.Time // arrival of the first bytes of an incomplete frame
	for {
		deadline := time.Now().Add(idleTimeout)
		if len(decoder.buffered) > 0 {
			if frameStart.IsZero() {
				frameStart = time.Now()
			}
			deadline = frameStart.Add(frameTimeout)
		} else {
			frameStart = time.Time{}
		}
		conn.SetReadDeadline(deadline)
		n, err := conn.Read(buffer)
		if n > 0 {
			if decodeErr := decoder.Write(buffer[:n], func(f *Frame) { frameStart = time.Time{}; handle(f) }); decodeErr != nil {
				l.Counters.Corrupt.Add(1)
				l.reportRefusal(decodeErr, remoteHost(conn))
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// receiveLoop receives datagrams and passes on the valid ones.
func (l *Link) receiveLoop() {
	buffer := make([]byte, datagramHeaderSize+MaxDatagramPayload+1)
	for {
		n, from, err := l.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(socketErrorDelay)
			continue
		}
		l.Counters.DatagramsIn.Add(1)
		l.Counters.BytesIn.Add(int64(n))
		kind, payload, err := DecodeDatagram(l.options.MinVersion, l.options.MaxVersion, l.options.Cluster, buffer[:n])
		if err != nil {
			if l.Counters.Corrupt.Add(1); !errors.Is(err, ErrCorrupt) {
				l.reportRefusal(err, from.IP.String())
			}
			continue
		}
		l.options.HandleDatagram(kind, append([]byte(nil), payload...), from)
	}
}

// Send sends a datagram to a member, at its override address if it has one, else at address.
func (l *Link) Send(kind byte, name, address string, payload []byte) error {
	if len(payload) > MaxDatagramPayload {
		return ErrTooLong
	}
	destination, err := net.ResolveUDPAddr("udp", l.dialAddress(name, address))
	if err != nil {
		return err
	}
	n, err := l.udp.WriteToUDP(EncodeDatagram(l.options.MinVersion, kind, l.options.Cluster, payload), destination)
	l.Counters.DatagramsOut.Add(1)
	l.Counters.BytesOut.Add(int64(n))
	return err
}

// Dial opens a connection of a kind to a member and performs the handshake.
func (l *Link) Dial(kind byte, name, address string, timeout time.Duration) (net.Conn, error) {
	raw, err := net.DialTimeout("tcp", l.dialAddress(name, address), timeout)
	if err != nil {
		return nil, err
	}
	if !l.track(raw) {
		raw.Close()
		return nil, ErrOverloaded
	}
	conn := &trackedConn{countingConn{raw, l}, func() { l.closeConnection(raw) }}
	conn.SetDeadline(time.Now().Add(timeout))
	hello := &Hello{MinVersion: l.options.MinVersion, MaxVersion: l.options.MaxVersion, Kind: kind, Cluster: l.options.Cluster, From: l.options.Self}
	var reply [2]byte
	if _, err = conn.Write(hello.Append(nil)); err == nil {
		_, err = io.ReadFull(conn, reply[:])
	}
	switch {
	case err != nil:
	case reply[0] == 0 && reply[1] == 1:
		err = ErrClusterMismatch
	case reply[0] < l.options.MinVersion || reply[0] > l.options.MaxVersion:
		err = ErrVersionMismatch
	}
	if err != nil {
		conn.Close()
		if errors.Is(err, ErrClusterMismatch) || errors.Is(err, ErrVersionMismatch) {
			l.reportRefusal(fmt.Errorf("refused by the peer: %w", err), name+" at "+address)
		}
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

// peer drives the Caller for one other member.
type peer struct {
	link   *Link
	name   string
	wakeup chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	caller *Caller
	conn   net.Conn
}

// Call sends a request to a member and waits for the response. ctx must have a deadline. It fails at once with
// ErrOverloaded if the member's queue is full.
func (l *Link) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return nil, errors.New("call context has no deadline")
	}
	p := l.peer(name)
	if p == nil {
		return nil, ErrNotSent
	}
	type outcome struct {
		body []byte
		err  error
	}
	result := make(chan outcome, 1)
	l.Counters.Calls.Add(1)
	p.mu.Lock()
	err := p.caller.Enqueue(l.now(), method, body, int64(deadline.Sub(l.start)), func(body []byte, err error) { result <- outcome{body, err} })
	p.mu.Unlock()
	if err != nil {
		if errors.Is(err, ErrOverloaded) {
			l.Counters.Overloaded.Add(1)
		}
		return nil, err
	}
	p.wake()
	out := outcome{err: ErrOutcomeUnknown}
	select {
	case out = <-result:
	case <-l.ctx.Done():
	}
	switch {
	case out.err == nil:
		l.Counters.Answered.Add(1)
	case errors.Is(out.err, ErrNotSent):
		l.Counters.NotSent.Add(1)
	case errors.Is(out.err, ErrOutcomeUnknown):
		l.Counters.OutcomeUnknown.Add(1)
	}
	return out.body, out.err
}

// Post sends a one-way request. The request is dropped if the member's queue is full, if it cannot be sent within timeout
// or if the connection is lost.
func (l *Link) Post(name string, method uint16, body []byte, timeout time.Duration) error {
	p := l.peer(name)
	if p == nil {
		return ErrNotSent
	}
	p.mu.Lock()
	now := l.now()
	err := p.caller.Enqueue(now, method, body, now+int64(timeout), nil)
	p.mu.Unlock()
	if err != nil {
		l.Counters.Overloaded.Add(1)
		return err
	}
	p.wake()
	return nil
}

// CallLocal calls one of this member's own handlers directly.
func (l *Link) CallLocal(ctx context.Context, method uint16, body []byte) ([]byte, error) {
	handler := l.handler(method)
	if handler == nil {
		return nil, ErrRefused
	}
	return handler(ctx, l.options.Self, body)
}

// Forget closes the connection to a member that has left or died and fails its pending calls.
func (l *Link) Forget(name string) {
	l.mu.Lock()
	p := l.peers[name]
	delete(l.peers, name)
	l.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

func (l *Link) peer(name string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	p := l.peers[name]
	if p == nil {
		hash := hashName(name)
		p = &peer{link: l, name: name, wakeup: make(chan struct{}, 1), caller: NewCaller(l.options.Seed ^ uint64(hash))}
		p.ctx, p.cancel = context.WithCancel(l.ctx)
		l.peers[name] = p
		l.workers.Go(p.run)
	}
	return p
}

func (p *peer) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

// run dials, sends the queued requests and completes the calls whose deadline has passed.
func (p *peer) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var outgoing []byte
	for {
		p.mu.Lock()
		now := p.link.now()
		if p.caller.Tick(now) {
			p.disconnect(p.conn)
		}
		if p.caller.ShouldDial(now) {
			p.link.workers.Go(p.dial)
		}
		outgoing = outgoing[:0]
		p.caller.NextFrames(now, func(f *Frame) { outgoing = f.Append(outgoing) })
		conn, next := p.conn, p.caller.NextWakeup()
		p.mu.Unlock()
		if len(outgoing) > 0 && conn != nil {
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(outgoing); err != nil {
				p.mu.Lock()
				p.disconnect(conn)
				p.mu.Unlock()
			}
			if cap(outgoing) > maxRetainedBuffer {
				outgoing = nil
			}
			continue
		}
		delay := pollInterval
		if next >= 0 {
			delay = min(delay, max(0, time.Duration(next-p.link.now())))
		} else {
			delay = idleTimeout
		}
		timer.Reset(delay)
		select {
		case <-p.wakeup:
		case <-timer.C:
		case <-p.ctx.Done():
			p.mu.Lock()
			p.disconnect(p.conn)
			p.caller.Tick(1<<62 - 1)
			p.mu.Unlock()
			return
		}
	}
}

// disconnect closes conn, if it is the current connection. The caller holds p.mu.
func (p *peer) disconnect(conn net.Conn) {
	if conn != p.conn {
		return // already replaced or closed
	}
	if conn != nil {
		conn.Close()
		p.conn = nil
	}
	p.caller.Disconnected(p.link.now())
}

func (p *peer) dial() {
	address, known := strings.CutPrefix(p.name, "@")
	if !known && p.link.options.Resolve != nil {
		address, known = p.link.options.Resolve(p.name)
	}
	if !known {
		address = ""
	}
	var conn net.Conn
	err := ErrNotSent
	if p.link.dialAddress(p.name, address) != "" {
		conn, err = p.link.Dial(KindCalls, p.name, address, dialTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.wake()
	if err != nil || p.ctx.Err() != nil {
		if conn != nil {
			conn.Close()
		}
		p.caller.Disconnected(p.link.now())
		return
	}
	p.conn = conn
	p.caller.Connected(p.link.now())
	p.link.workers.Go(func() {
		p.link.readFrames(conn, func(f *Frame) {
			p.mu.Lock()
			if p.conn == conn {
				p.caller.HandleResponse(p.link.now(), f)
			}
			p.mu.Unlock()
			p.wake()
		})
		p.mu.Lock()
		if p.conn == conn {
			p.disconnect(conn)
		}
		p.mu.Unlock()
		conn.Close()
		p.wake()
	})
}

// AtAddress returns a member name that stands for whichever member listens on address, for calls to unnamed members.
func AtAddress(address string) string { return "@" + address }

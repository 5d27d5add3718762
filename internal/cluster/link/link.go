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

// Bounds of the runner.
const (
	MostConnections = 1024                   // accepted and held at once
	mostServed      = 256                    // calls from others in work at once, over all connections
	greets          = 2 * time.Second        // until a connection has said who it is
	idles           = 2 * time.Minute        // until a connection without a frame is closed
	whole           = 10 * time.Second       // until a frame that has begun is there
	writes          = 5 * time.Second        // until a write counts as stuck
	dials           = time.Second            // until a connection counts as not to be had
	told            = time.Minute            // between two log lines of one kind
	pauses          = 10 * time.Millisecond  // after a fault of a socket
	packets         = 512                    // datagrams that wait for their taker
	lines           = 64                     // kinds of refusal that are told apart
	lookAt          = 500 * time.Millisecond // at callers that wait for nothing
)

// Counts are figures of a link, since its start.
type Counts struct {
	DatagramsIn, DatagramsOut, BytesIn, BytesOut atomic.Int64
	StreamBytesIn, StreamBytesOut                atomic.Int64
	Spoilt, Refused, Dropped                     atomic.Int64 // what came in and was not believed; not let in; found no room
	Called, Answered, NeverSent, Unknown, Full   atomic.Int64 // calls from here
	Served, Busy                                 atomic.Int64 // calls from others
	Connections                                  atomic.Int64 // at present
}

// Handler answers a call of another member.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Options say how a link is made.
type Options struct {
	Cluster, Self, Address string
	Through                map[string]string
	Low, High              byte // versions of the frames; 0 for this build's
	Seed                   uint64
	Log                    *slog.Logger
	Stream                 func(net.Conn)                                 // takes streams of gossip
	Datagram               func(kind byte, payload []byte, from net.Addr) // its bytes are the taker's
	Resolve                func(name string) (address string, ok bool)    // where a member is now
}

// Link is one member's address among the others.
type Link struct {
	o       Options
	tcp     net.Listener
	udp     *net.UDPConn
	start   time.Time
	ctx     context.Context
	end     context.CancelFunc
	all     sync.WaitGroup
	serving chan struct{}
	Counts  Counts

	mu       sync.Mutex
	through  map[string]string
	handlers map[uint16]Handler
	peers    map[string]*peer
	conns    map[net.Conn]struct{}
	lines    map[string]time.Time // when a refusal was last told
	ended    bool
}

// Listen opens the address, TCP and UDP. Nothing is taken before Serve.
func Listen(o Options) (*Link, error) {
	if o.High == 0 {
		o.Low, o.High = Low, High
	}
	tcp, udp, err := both(o.Address)
	if err != nil {
		return nil, err
	}
	l := &Link{
		o: o, tcp: tcp, udp: udp, start: time.Now(), serving: make(chan struct{}, mostServed), through: o.Through,
		handlers: map[uint16]Handler{}, peers: map[string]*peer{}, conns: map[net.Conn]struct{}{}, lines: map[string]time.Time{},
	}
	l.ctx, l.end = context.WithCancel(context.Background())
	return l, nil
}

// both opens an address for TCP and UDP; port 0 stands for any that is free for both.
func both(address string) (*net.TCPListener, *net.UDPConn, error) {
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, err
		}
		tcp := l.(*net.TCPListener)
		at := tcp.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port, Zone: at.Zone})
		if err == nil {
			return tcp, udp, nil
		}
		if tcp.Close(); !strings.HasSuffix(address, ":0") || try == 50 {
			return nil, nil, err
		}
	}
}

// Handle has calls of a method answered from now on.
func (l *Link) Handle(method uint16, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[method] = h
}

func (l *Link) handler(method uint16) Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[method]
}

// Serve begins to take what comes.
func (l *Link) Serve() {
	l.all.Go(l.accept)
	l.all.Go(l.receive)
}

// Addr is where others reach this member.
func (l *Link) Addr() *net.TCPAddr { return l.tcp.Addr().(*net.TCPAddr) }

// Divert has members reached at other addresses from now on.
func (l *Link) Divert(through map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.through = through
}

// Close ends all of it; calls that are out end as unknown.
func (l *Link) Close() {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return
	}
	l.ended = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.end()
	l.tcp.Close()
	l.udp.Close()
	l.all.Wait()
}

func (l *Link) now() int64 { return int64(time.Since(l.start)) }

// via is the address at which a member is reached from here.
func (l *Link) via(name, address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.through[name]; a != "" {
		return a
	}
	return address
}

// refused counts what is not let in, and tells it once a minute.
func (l *Link) refused(why error, who string) {
	l.Counts.Refused.Add(1)
	key := why.Error() + " " + who
	l.mu.Lock()
	last, known := l.lines[key]
	tell := !known && len(l.lines) < lines || known && time.Since(last) > told
	if tell {
		l.lines[key] = time.Now()
	}
	l.mu.Unlock()
	if tell {
		l.o.Log.Warn("cluster", "step", "refused", "from", who, "fault", why)
	}
}

// keep holds a connection until Close; false if that has come or there are too many.
func (l *Link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || len(l.conns) >= MostConnections {
		return false
	}
	l.conns[c] = struct{}{}
	l.Counts.Connections.Add(1)
	return true
}

func (l *Link) drop(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, held := l.conns[c]; held {
		delete(l.conns, c)
		l.Counts.Connections.Add(-1)
	}
}

func (l *Link) accept() {
	for {
		c, err := l.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // Danger: short of descriptors; those that are held may come free
			time.Sleep(pauses)
			continue
		}
		if !l.keep(c) {
			l.Counts.Dropped.Add(1)
			c.Close()
			continue
		}
		l.all.Go(func() { l.greet(c) })
	}
}

// counted counts a stream's bytes.
type counted struct {
	net.Conn
	l *Link
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.Counts.StreamBytesIn.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.Counts.StreamBytesOut.Add(int64(n))
	return n, err
}

// stream is a stream of gossip; whoever has it closes it.
type stream struct {
	counted
	drop func()
}

func (s *stream) Close() error { s.drop(); return nil }

// greet is the life of a connection that came in.
func (l *Link) greet(raw net.Conn) {
	c := counted{raw, l}
	c.SetDeadline(time.Now().Add(greets))
	h, err := ReadHello(c)
	if err != nil {
		if errors.Is(err, ErrSpoilt) {
			l.Counts.Spoilt.Add(1)
			l.refused(err, host(raw))
		}
		l.drop(raw)
		return
	}
	version := Agree(l.o.Low, l.o.High, h.Low, h.High)
	who := h.From + " at " + host(raw)
	switch {
	case h.Cluster != l.o.Cluster:
		c.Write([]byte{0, 1})
		l.refused(fmt.Errorf("%w: %q, this is %q", ErrCluster, h.Cluster, l.o.Cluster), who)
	case version == 0:
		c.Write([]byte{0, 2})
		l.refused(fmt.Errorf("%w: it speaks %d to %d, this one %d to %d", ErrVersion, h.Low, h.High, l.o.Low, l.o.High), who)
	case h.Kind == Gossip:
		if _, err := c.Write([]byte{version, 0}); err == nil {
			c.SetDeadline(time.Time{})
			l.o.Stream(&stream{c, func() { l.drop(raw) }})
			return
		}
	case h.Kind == Calls:
		if _, err := c.Write([]byte{version, 0}); err == nil {
			l.serve(c, h.From)
		}
	default:
		l.refused(fmt.Errorf("%w: a connection of kind %d", ErrSpoilt, h.Kind), who)
	}
	l.drop(raw)
}

func host(c net.Conn) string {
	h, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return h
}

// serve answers the calls of one connection.
func (l *Link) serve(c net.Conn, from string) {
	ctx, end := context.WithCancel(l.ctx)
	defer end()
	var writing sync.Mutex
	say := func(f *Frame) {
		writing.Lock()
		defer writing.Unlock()
		c.SetWriteDeadline(time.Now().Add(writes))
		if _, err := c.Write(f.Append(nil)); err != nil {
			c.Close()
		}
	}
	here := make(chan struct{}, MostOut+MostOut/4) // a caller that gives a call up has room for the next before its end is known here
	l.read(c, func(f *Frame) {
		h := l.handler(f.Method)
		if f.Type == post && h != nil { // in the order in which they came; their handlers don't wait
			l.Counts.Served.Add(1)
			h(ctx, from, f.Body)
			return
		}
		if f.Type != request {
			return
		}
		no := func(why string) {
			l.Counts.Busy.Add(1)
			say(&Frame{Type: refusal, ID: f.ID, Body: []byte(why)})
		}
		if h == nil {
			no("no such method")
			return
		}
		select {
		case here <- struct{}{}:
		default:
			no("too many calls on this connection")
			return
		}
		select {
		case l.serving <- struct{}{}:
		default:
			<-here
			no("too many calls")
			return
		}
		l.Counts.Served.Add(1)
		l.all.Go(func() {
			done := sync.OnceFunc(func() { <-l.serving; <-here })
			defer done()
			ctx, stop := context.WithTimeout(ctx, time.Duration(f.Left)*time.Millisecond)
			defer stop()
			body, err := h(ctx, from, f.Body)
			done() // danger: once it has its answer the caller sends the next, and would find no room
			if ctx.Err() != nil {
				return // nobody waits for it
			}
			if err != nil {
				say(&Frame{Type: fault, ID: f.ID, Body: []byte(err.Error())})
				return
			}
			say(&Frame{Type: answer, ID: f.ID, Body: body})
		})
	})
}

// read gives the frames of a connection to do until it ends.
func (l *Link) read(c net.Conn, do func(*Frame)) {
	var d Decoder
	room := make([]byte, 16<<10)
	var began time.Time // of a frame that isn't whole
	for {
		limit := time.Now().Add(idles)
		if len(d.held) > 0 {
			if began.IsZero() {
				began = time.Now()
			}
			limit = began.Add(whole)
		} else {
			began = time.Time{}
		}
		c.SetReadDeadline(limit)
		n, err := c.Read(room)
		if n > 0 {
			if wrong := d.Write(room[:n], func(f *Frame) { began = time.Time{}; do(f) }); wrong != nil {
				l.Counts.Spoilt.Add(1)
				l.refused(wrong, host(c))
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// receive takes datagrams.
func (l *Link) receive() {
	room := make([]byte, datagramHead+MostDatagram+1)
	for {
		n, from, err := l.udp.ReadFromUDP(room)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pauses)
			continue
		}
		l.Counts.DatagramsIn.Add(1)
		l.Counts.BytesIn.Add(int64(n))
		kind, payload, err := Open(l.o.Low, l.o.High, l.o.Cluster, room[:n])
		if err != nil {
			if l.Counts.Spoilt.Add(1); !errors.Is(err, ErrSpoilt) {
				l.refused(err, from.IP.String())
			}
			continue
		}
		l.o.Datagram(kind, append([]byte(nil), payload...), from)
	}
}

// Send sends a datagram to a member, or to whoever is at an address.
func (l *Link) Send(kind byte, name, address string, payload []byte) error {
	if len(payload) > MostDatagram {
		return ErrLong
	}
	to, err := net.ResolveUDPAddr("udp", l.via(name, address))
	if err != nil {
		return err
	}
	n, err := l.udp.WriteToUDP(Datagram(l.o.Low, kind, l.o.Cluster, payload), to)
	l.Counts.DatagramsOut.Add(1)
	l.Counts.BytesOut.Add(int64(n))
	return err
}

// Dial opens a connection of a kind and says who this is.
func (l *Link) Dial(kind byte, name, address string, within time.Duration) (net.Conn, error) {
	raw, err := net.DialTimeout("tcp", l.via(name, address), within)
	if err != nil {
		return nil, err
	}
	if !l.keep(raw) {
		raw.Close()
		return nil, ErrFull
	}
	c := &stream{counted{raw, l}, func() { l.drop(raw) }}
	c.SetDeadline(time.Now().Add(within))
	h := &Hello{Low: l.o.Low, High: l.o.High, Kind: kind, Cluster: l.o.Cluster, From: l.o.Self}
	var said [2]byte
	if _, err = c.Write(h.Append(nil)); err == nil {
		_, err = io.ReadFull(c, said[:])
	}
	switch {
	case err != nil:
	case said[0] == 0 && said[1] == 1:
		err = ErrCluster
	case said[0] < l.o.Low || said[0] > l.o.High:
		err = ErrVersion
	}
	if err != nil {
		c.Close()
		if errors.Is(err, ErrCluster) || errors.Is(err, ErrVersion) {
			l.refused(fmt.Errorf("it says that this one is %w", err), name+" at "+address)
		}
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return c, nil
}

// peer runs one caller.
type peer struct {
	l      *Link
	name   string
	kick   chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	mu     sync.Mutex
	caller *Caller
	conn   net.Conn
}

// Call asks a member; it waits no longer than ctx. What finds no room is refused at once.
func (l *Link) Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	deadline, some := ctx.Deadline()
	if !some {
		return nil, errors.New("a call without a deadline")
	}
	p := l.peer(name)
	if p == nil {
		return nil, ErrNeverSent
	}
	type outcome struct {
		body []byte
		err  error
	}
	got := make(chan outcome, 1)
	l.Counts.Called.Add(1)
	p.mu.Lock()
	err := p.caller.Call(l.now(), method, body, int64(deadline.Sub(l.start)), func(body []byte, err error) { got <- outcome{body, err} })
	p.mu.Unlock()
	if err != nil {
		if errors.Is(err, ErrFull) {
			l.Counts.Full.Add(1)
		}
		return nil, err
	}
	p.wake()
	o := outcome{err: ErrUnknown}
	select {
	case o = <-got:
	case <-l.ctx.Done():
	}
	switch {
	case o.err == nil:
		l.Counts.Answered.Add(1)
	case errors.Is(o.err, ErrNeverSent):
		l.Counts.NeverSent.Add(1)
	case errors.Is(o.err, ErrUnknown):
		l.Counts.Unknown.Add(1)
	}
	return o.body, o.err
}

// Post sends what wants no answer. What finds no room is lost, as is what the connection breaks under.
func (l *Link) Post(name string, method uint16, body []byte, within time.Duration) error {
	p := l.peer(name)
	if p == nil {
		return ErrNeverSent
	}
	p.mu.Lock()
	now := l.now()
	err := p.caller.Call(now, method, body, now+int64(within), nil)
	p.mu.Unlock()
	if err != nil {
		l.Counts.Full.Add(1)
		return err
	}
	p.wake()
	return nil
}

// Here has one of this member's own handlers answer, without the wire.
func (l *Link) Here(ctx context.Context, method uint16, body []byte) ([]byte, error) {
	h := l.handler(method)
	if h == nil {
		return nil, ErrRefused
	}
	return h(ctx, l.o.Self, body)
}

// Forget ends what is held for a member that is gone.
func (l *Link) Forget(name string) {
	l.mu.Lock()
	p := l.peers[name]
	delete(l.peers, name)
	l.mu.Unlock()
	if p != nil {
		p.stop()
	}
}

func (l *Link) peer(name string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	p := l.peers[name]
	if p == nil {
		h := number(name)
		p = &peer{l: l, name: name, kick: make(chan struct{}, 1), caller: NewCaller(l.o.Seed ^ uint64(h))}
		p.ctx, p.stop = context.WithCancel(l.ctx)
		l.peers[name] = p
		l.all.Go(p.run)
	}
	return p
}

func (p *peer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// run is the one that drives a caller: it dials, writes, and ends what is late.
func (p *peer) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var out []byte
	for {
		p.mu.Lock()
		now := p.l.now()
		if p.caller.Tick(now) {
			p.broken(p.conn)
		}
		if p.caller.Dial(now) {
			p.l.all.Go(p.dial)
		}
		out = out[:0]
		p.caller.Frames(now, func(f *Frame) { out = f.Append(out) })
		conn, next := p.conn, p.caller.Next()
		p.mu.Unlock()
		if len(out) > 0 && conn != nil {
			conn.SetWriteDeadline(time.Now().Add(writes))
			if _, err := conn.Write(out); err != nil {
				p.mu.Lock()
				p.broken(conn)
				p.mu.Unlock()
			}
			if cap(out) > small {
				out = nil
			}
			continue
		}
		wait := lookAt
		if next >= 0 {
			wait = min(wait, max(0, time.Duration(next-p.l.now())))
		} else {
			wait = idles
		}
		timer.Reset(wait)
		select {
		case <-p.kick:
		case <-timer.C:
		case <-p.ctx.Done():
			p.mu.Lock()
			p.broken(p.conn)
			p.caller.Tick(1<<62 - 1)
			p.mu.Unlock()
			return
		}
	}
}

// broken gives a connection up; with the lock.
func (p *peer) broken(conn net.Conn) {
	if conn != p.conn {
		return // its end is known
	}
	if conn != nil {
		conn.Close()
		p.conn = nil
	}
	p.caller.Broken(p.l.now())
}

func (p *peer) dial() {
	address, known := strings.CutPrefix(p.name, "@")
	if !known && p.l.o.Resolve != nil {
		address, known = p.l.o.Resolve(p.name)
	}
	if !known {
		address = ""
	}
	var c net.Conn
	err := ErrNeverSent
	if p.l.via(p.name, address) != "" {
		c, err = p.l.Dial(Calls, p.name, address, dials)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.wake()
	if err != nil || p.ctx.Err() != nil {
		if c != nil {
			c.Close()
		}
		p.caller.Broken(p.l.now())
		return
	}
	p.conn = c
	p.caller.Opened(p.l.now())
	p.l.all.Go(func() {
		p.l.read(c, func(f *Frame) {
			p.mu.Lock()
			if p.conn == c {
				p.caller.Take(p.l.now(), f)
			}
			p.mu.Unlock()
			p.wake()
		})
		p.mu.Lock()
		if p.conn == c {
			p.broken(c)
		}
		p.mu.Unlock()
		c.Close()
		p.wake()
	})
}

// At names whoever is at an address, for calls to members whose names aren't known.
func At(address string) string { return "@" + address }

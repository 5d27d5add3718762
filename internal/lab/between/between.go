// Package between is the lab's network: every link between two members goes through a relay on loopback, TCP and UDP,
// each direction for itself, and what is wrong with a direction is set while it runs.
package between

import (
	"container/heap"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Trouble is what is wrong with one direction of a link.
type Trouble struct {
	Cut       bool          // datagrams are lost; bytes and new connections are held until it ends
	Stall     bool          // connections are taken and nothing passes; datagrams do
	Delay     time.Duration // of all that passes
	Jitter    time.Duration // and up to so much more, by chance; bytes stay in order, datagrams don't
	Loss      float64       // part of the datagrams
	Duplicate float64       // part of them that comes twice
	Reorder   float64       // part of them that is held for up to the delay, jitter and 50 ms more
	Trickle   int           // bytes a second of a connection; 0 for no limit
}

const (
	chunk    = 16 << 10
	held     = 64 // chunks of one direction of a connection that are under way
	dials    = 2 * time.Second
	shuffled = 50 * time.Millisecond
	datagram = 64 << 10
	waiting  = 1 << 16 // datagrams under way on one link
)

// Mesh is all links between some members.
type Mesh struct {
	n    int
	end  chan struct{}
	all  sync.WaitGroup
	rows [][]*way

	mu     sync.Mutex
	change chan struct{} // closed at each change of any trouble
	target []string      // members' own addresses
	chance *rand.Rand
	ended  bool

	Passed, Lost, Doubled atomic.Int64 // datagrams
}

// way is one direction, and the relay at which its datagrams and the connections opened along it come in.
type way struct {
	m        *Mesh
	from, to int
	tcp      net.Listener
	udp      *net.UDPConn
	out      *net.UDPConn
	trouble  Trouble
	conns    map[*pair]struct{}
	late     queue
	kick     chan struct{}
}

// New makes the links of n members; none passes before its member has a target.
func New(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{
		n: n, end: make(chan struct{}), rows: make([][]*way, n), change: make(chan struct{}), target: make([]string, n),
		chance: rand.New(rand.NewPCG(seed, 0x33)),
	}
	for a := range n {
		m.rows[a] = make([]*way, n)
		for b := range n {
			if a == b {
				continue
			}
			w, err := m.open(a, b)
			if err != nil {
				m.Close()
				return nil, err
			}
			m.rows[a][b] = w
		}
	}
	return m, nil
}

func (m *Mesh) open(a, b int) (w *way, err error) {
	w = &way{m: m, from: a, to: b, conns: map[*pair]struct{}{}, kick: make(chan struct{}, 1)}
	for try := 0; ; try++ { // the same port has to be free for both
		if w.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		at := w.tcp.Addr().(*net.TCPAddr)
		if w.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		if w.tcp.Close(); try > 20 {
			return nil, err
		}
	}
	if w.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		w.tcp.Close()
		w.udp.Close()
		return nil, err
	}
	m.all.Go(w.accept)
	m.all.Go(w.receive)
	m.all.Go(w.deliver)
	return w, nil
}

// Address is where member a reaches member b.
func (m *Mesh) Address(a, b int) string { return m.rows[a][b].tcp.Addr().String() }

// Target says where a member is itself.
func (m *Mesh) Target(b int, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target[b] = address
	m.changed()
}

// changed wakes whoever waits on a trouble; with the lock.
func (m *Mesh) changed() {
	close(m.change)
	m.change = make(chan struct{})
}

// Set changes what is wrong with the direction from a to b.
func (m *Mesh) Set(a, b int, change func(*Trouble)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.rows[a][b].trouble)
	m.changed()
}

// Reset breaks all connections between two members, as seen by both.
func (m *Mesh) Reset(a, b int) {
	m.mu.Lock()
	var all []*pair
	for _, w := range []*way{m.rows[a][b], m.rows[b][a]} {
		for p := range w.conns {
			all = append(all, p)
		}
	}
	m.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
}

// Connections counts those that are open.
func (m *Mesh) Connections() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.rows {
		for _, w := range row {
			if w != nil {
				n += len(w.conns)
			}
		}
	}
	return n
}

// Close ends all of it and waits.
func (m *Mesh) Close() {
	m.mu.Lock()
	if m.ended {
		m.mu.Unlock()
		return
	}
	m.ended = true
	close(m.end)
	var all []*pair
	for _, row := range m.rows {
		for _, w := range row {
			if w == nil {
				continue
			}
			w.tcp.Close()
			w.udp.Close()
			w.out.Close()
			for p := range w.conns {
				all = append(all, p)
			}
		}
	}
	m.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
	m.all.Wait()
}

// now is a direction's trouble, and what is closed when any changes.
func (m *Mesh) now(a, b int) (t Trouble, target string, change <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[a][b].trouble, m.target[b], m.change
}

func (m *Mesh) draw(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.chance.Int64N(int64(most)))
}

func (m *Mesh) odds(part float64) bool {
	if part <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.chance.Float64() < part
}

// pair is a connection through the relay: what a opened, and the relay's own to b.
type pair struct {
	m    *Mesh
	gone chan struct{}
	once sync.Once
	mu   sync.Mutex
	ends []*net.TCPConn
}

func (p *pair) add(c *net.TCPConn) {
	p.mu.Lock()
	p.ends = append(p.ends, c)
	p.mu.Unlock()
	select {
	case <-p.gone:
		c.Close()
	default:
	}
}

// reset breaks it for both.
func (p *pair) reset() {
	p.once.Do(func() { close(p.gone) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.ends {
		c.SetLinger(0)
		c.Close()
	}
}

// close ends it in order.
func (p *pair) close() {
	p.once.Do(func() { close(p.gone) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.ends {
		c.Close()
	}
}

func (w *way) accept() {
	for {
		c, err := w.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p := &pair{m: w.m, gone: make(chan struct{})}
		p.add(c.(*net.TCPConn))
		w.m.mu.Lock()
		ended := w.m.ended
		if !ended {
			w.conns[p] = struct{}{}
		}
		w.m.mu.Unlock()
		if ended {
			p.reset()
			continue
		}
		w.m.all.Go(func() { w.join(p, c.(*net.TCPConn)) })
	}
}

// join is the life of a connection.
func (w *way) join(p *pair, here *net.TCPConn) {
	defer func() {
		p.close()
		w.m.mu.Lock()
		delete(w.conns, p)
		w.m.mu.Unlock()
	}()
	// A connection over a link that is cut either way is not made before it is whole.
	for {
		there, target, change := w.m.now(w.from, w.to)
		back, _, _ := w.m.now(w.to, w.from)
		if !there.Cut && !back.Cut && target != "" {
			far, err := net.DialTimeout("tcp", target, dials)
			if err != nil {
				p.reset()
				return
			}
			p.add(far.(*net.TCPConn))
			var both sync.WaitGroup
			both.Go(func() { w.m.pump(p, here, far.(*net.TCPConn), w.from, w.to) })
			both.Go(func() { w.m.pump(p, far.(*net.TCPConn), here, w.to, w.from) })
			both.Wait()
			return
		}
		select {
		case <-change:
		case <-p.gone:
			return
		}
	}
}

type piece struct {
	due time.Time
	raw []byte // nil for the end
}

// pump carries the bytes of one direction of a connection, in order.
func (m *Mesh) pump(p *pair, from, to *net.TCPConn, a, b int) {
	pieces := make(chan piece, held)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(pieces)
		for {
			raw := make([]byte, chunk)
			n, err := from.Read(raw)
			t, _, _ := m.now(a, b)
			due := time.Now().Add(t.Delay + m.draw(t.Jitter))
			if n > 0 {
				select {
				case pieces <- piece{due, raw[:n]}:
				case <-p.gone:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.reset()
					return
				}
				select {
				case pieces <- piece{due, nil}:
				case <-p.gone:
				}
				return
			}
		}
	})
	defer reading.Wait()
	for x := range pieces {
		if !p.wait(time.Until(x.due)) {
			return
		}
		if x.raw == nil {
			if !p.passes(a, b) {
				return
			}
			to.CloseWrite()
			return
		}
		for len(x.raw) > 0 {
			if !p.passes(a, b) {
				return
			}
			n := len(x.raw)
			if t, _, _ := m.now(a, b); t.Trickle > 0 {
				n = min(n, max(1, t.Trickle/20))
				if !p.wait(time.Duration(n) * time.Second / time.Duration(t.Trickle)) {
					return
				}
			}
			if _, err := to.Write(x.raw[:n]); err != nil {
				p.reset()
				return
			}
			x.raw = x.raw[n:]
		}
	}
}

// wait waits; false if the connection ended meanwhile.
func (p *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.gone:
		return false
	}
}

// passes waits until bytes may pass from a to b.
func (p *pair) passes(a, b int) bool {
	for {
		t, _, change := p.m.now(a, b)
		if !t.Cut && !t.Stall {
			return true
		}
		select {
		case <-change:
		case <-p.gone:
			return false
		}
	}
}

// queue holds datagrams until they are due.
type queue []piece

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(piece)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (w *way) receive() {
	room := make([]byte, datagram)
	for {
		n, _, err := w.udp.ReadFromUDP(room)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		t, _, _ := w.m.now(w.from, w.to)
		if t.Cut || w.m.odds(t.Loss) {
			w.m.Lost.Add(1)
			continue
		}
		times := 1
		if w.m.odds(t.Duplicate) {
			times = 2
			w.m.Doubled.Add(1)
		}
		for range times {
			due := time.Now().Add(t.Delay + w.m.draw(t.Jitter))
			if w.m.odds(t.Reorder) {
				due = due.Add(w.m.draw(t.Delay + t.Jitter + shuffled))
			}
			w.m.mu.Lock()
			if len(w.late) < waiting {
				heap.Push(&w.late, piece{due, append([]byte(nil), room[:n]...)})
			}
			w.m.mu.Unlock()
		}
		select {
		case w.kick <- struct{}{}:
		default:
		}
	}
}

// deliver sends datagrams on when they are due.
func (w *way) deliver() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := time.Hour
		w.m.mu.Lock()
		var ready [][]byte
		for len(w.late) > 0 {
			if d := time.Until(w.late[0].due); d > 0 {
				next = d
				break
			}
			ready = append(ready, heap.Pop(&w.late).(piece).raw)
		}
		cut, target := w.trouble.Cut, w.m.target[w.to]
		w.m.mu.Unlock()
		if to, err := net.ResolveUDPAddr("udp", target); err == nil && target != "" {
			for _, raw := range ready {
				if cut { // on its way when the link was cut
					w.m.Lost.Add(1)
					continue
				}
				w.out.WriteToUDP(raw, to)
				w.m.Passed.Add(1)
			}
		}
		timer.Reset(next)
		select {
		case <-timer.C:
		case <-w.kick:
		case <-w.m.end:
			return
		}
	}
}

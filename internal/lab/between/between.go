// Package between emulates the network between cluster members. Each direction of each link has its own TCP and UDP
// relay on loopback, and its faults can be changed at run time.
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

// Faults holds the faults of one direction of a link.
type Faults struct {
	Cut       bool          // drops datagrams; holds bytes and new connections until the cut ends
	Stall     bool          // accepts connections but holds their bytes; datagrams still pass
	Delay     time.Duration // added to all bytes and datagrams
	Jitter    time.Duration // upper bound of a random extra delay; bytes stay in order, datagrams may not
	Loss      float64       // fraction of datagrams dropped
	Duplicate float64       // fraction of datagrams delivered twice
	Reorder   float64       // fraction of datagrams held for up to Delay + Jitter + 50 ms longer
	Trickle   int           // bytes per second per connection; 0 means no limit
}

const (
	chunkBytes         = 16 << 10
	maxBufferedChunks  = 64 // buffered chunks per direction of a connection
	dialTimeout        = 2 * time.Second
	maxReorderDelay    = 50 * time.Millisecond
	maxDatagramBytes   = 64 << 10
	maxQueuedDatagrams = 1 << 16 // queued datagrams per direction of a link
)

// Mesh is the set of links between all members.
type Mesh struct {
	n          int
	done       chan struct{}
	goroutines sync.WaitGroup
	directions [][]*direction

	mu      sync.Mutex
	change  chan struct{} // closed and replaced at each change of a fault or a target
	targets []string      // members' own addresses, by member
	rng     *rand.Rand
	closed  bool

	Passed, Lost, Duplicated atomic.Int64 // counts of datagrams
}

// direction is one direction of a link. Its relay receives the datagrams and the connections that go in this direction.
type direction struct {
	m        *Mesh
	from, to int
	tcp      net.Listener
	udp      *net.UDPConn
	out      *net.UDPConn
	faults   Faults
	conns    map[*relayedConn]struct{}
	delayed  queue
	wake     chan struct{}
}

// New creates the links between n members. A link forwards nothing until Target is called for its destination.
func New(n int, seed uint64) (*Mesh, error) {
	m := &Mesh{
		n: n, done: make(chan struct{}), directions: make([][]*direction, n),
		change: make(chan struct{}), targets: make([]string, n),
		rng: rand.New(rand.NewPCG(seed, 0x33)),
	}
	for a := range n {
		m.directions[a] = make([]*direction, n)
		for b := range n {
			if a == b {
				continue
			}
			w, err := m.open(a, b)
			if err != nil {
				m.Close()
				return nil, err
			}
			m.directions[a][b] = w
		}
	}
	return m, nil
}

func (m *Mesh) open(a, b int) (w *direction, err error) {
	w = &direction{m: m, from: a, to: b, conns: map[*relayedConn]struct{}{}, wake: make(chan struct{}, 1)}
	for try := 0; ; try++ { // TCP and UDP must share a port number
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
	m.goroutines.Go(w.accept)
	m.goroutines.Go(w.receiveDatagrams)
	m.goroutines.Go(w.forwardDatagrams)
	return w, nil
}

// Address returns the relay address at which member a reaches member b.
func (m *Mesh) Address(a, b int) string { return m.directions[a][b].tcp.Addr().String() }

// Target sets the address at which member b listens.
func (m *Mesh) Target(b int, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[b] = address
	m.notifyChanged()
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds m.mu.
func (m *Mesh) notifyChanged() {
	close(m.change)
	m.change = make(chan struct{})
}

// Set changes the faults of the direction from a to b.
func (m *Mesh) Set(a, b int, change func(*Faults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.directions[a][b].faults)
	m.notifyChanged()
}

// Reset aborts all connections between two members; both ends see a TCP reset.
func (m *Mesh) Reset(a, b int) {
	m.mu.Lock()
	var all []*relayedConn
	for _, w := range []*direction{m.directions[a][b], m.directions[b][a]} {
		for p := range w.conns {
			all = append(all, p)
		}
	}
	m.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
}

// Connections returns the number of open relayed connections.
func (m *Mesh) Connections() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range m.directions {
		for _, w := range row {
			if w != nil {
				n += len(w.conns)
			}
		}
	}
	return n
}

// Close stops all relays, resets their connections and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.closed = true
	close(m.done)
	var all []*relayedConn
	for _, row := range m.directions {
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
	m.goroutines.Wait()
}

// current returns the faults and the target of a direction, and a channel that is closed at the next change.
func (m *Mesh) current(a, b int) (t Faults, target string, change <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directions[a][b].faults, m.targets[b], m.change
}

func (m *Mesh) randomDuration(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(most)))
}

func (m *Mesh) chance(part float64) bool {
	if part <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Float64() < part
}

// relayedConn is a relayed connection: the accepted connection and the relay's own connection to the target.
type relayedConn struct {
	m     *Mesh
	done  chan struct{}
	once  sync.Once
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (p *relayedConn) add(c *net.TCPConn) {
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	select {
	case <-p.done:
		c.Close()
	default:
	}
}

// reset aborts both connections with a TCP reset.
func (p *relayedConn) reset() {
	p.once.Do(func() { close(p.done) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// close ends both connections without a reset.
func (p *relayedConn) close() {
	p.once.Do(func() { close(p.done) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

func (dir *direction) accept() {
	for {
		c, err := dir.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p := &relayedConn{m: dir.m, done: make(chan struct{})}
		p.add(c.(*net.TCPConn))
		dir.m.mu.Lock()
		ended := dir.m.closed
		if !ended {
			dir.conns[p] = struct{}{}
		}
		dir.m.mu.Unlock()
		if ended {
			p.reset()
			continue
		}
		dir.m.goroutines.Go(func() { dir.relay(p, c.(*net.TCPConn)) })
	}
}

// relay connects an accepted connection to the target and forwards bytes both ways until it ends.
func (dir *direction) relay(p *relayedConn, here *net.TCPConn) {
	defer func() {
		p.close()
		dir.m.mu.Lock()
		delete(dir.conns, p)
		dir.m.mu.Unlock()
	}()
	// A TCP handshake needs both directions, so the relay dials only when neither direction is cut.
	for {
		there, target, change := dir.m.current(dir.from, dir.to)
		back, _, _ := dir.m.current(dir.to, dir.from)
		if !there.Cut && !back.Cut && target != "" {
			far, err := net.DialTimeout("tcp", target, dialTimeout)
			if err != nil {
				p.reset()
				return
			}
			p.add(far.(*net.TCPConn))
			var both sync.WaitGroup
			both.Go(func() { dir.m.forward(p, here, far.(*net.TCPConn), dir.from, dir.to) })
			both.Go(func() { dir.m.forward(p, far.(*net.TCPConn), here, dir.to, dir.from) })
			both.Wait()
			return
		}
		select {
		case <-change:
		case <-p.done:
			return
		}
	}
}

type chunk struct {
	due  time.Time
	data []byte // nil marks the end of the stream
}

// forward copies the bytes of one direction of a connection, in order, and applies the direction's faults.
func (m *Mesh) forward(p *relayedConn, from, to *net.TCPConn, a, b int) {
	pieces := make(chan chunk, maxBufferedChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(pieces)
		for {
			raw := make([]byte, chunkBytes)
			n, err := from.Read(raw)
			t, _, _ := m.current(a, b)
			due := time.Now().Add(t.Delay + m.randomDuration(t.Jitter))
			if n > 0 {
				select {
				case pieces <- chunk{due, raw[:n]}:
				case <-p.done:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.reset()
					return
				}
				select {
				case pieces <- chunk{due, nil}:
				case <-p.done:
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
		if x.data == nil {
			if !p.waitPassable(a, b) {
				return
			}
			to.CloseWrite()
			return
		}
		for len(x.data) > 0 {
			if !p.waitPassable(a, b) {
				return
			}
			n := len(x.data)
			if t, _, _ := m.current(a, b); t.Trickle > 0 {
				n = min(n, max(1, t.Trickle/20))
				if !p.wait(time.Duration(n) * time.Second / time.Duration(t.Trickle)) {
					return
				}
			}
			if _, err := to.Write(x.data[:n]); err != nil {
				p.reset()
				return
			}
			x.data = x.data[n:]
		}
	}
}

// wait sleeps for d. It returns false if the connection ends first.
func (p *relayedConn) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}

// waitPassable waits until bytes may pass from a to b. It returns false if the connection ends first.
func (p *relayedConn) waitPassable(a, b int) bool {
	for {
		t, _, change := p.m.current(a, b)
		if !t.Cut && !t.Stall {
			return true
		}
		select {
		case <-change:
		case <-p.done:
			return false
		}
	}
}

// queue is a heap of datagrams, ordered by due time.
type queue []chunk

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(chunk)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (dir *direction) receiveDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := dir.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		t, _, _ := dir.m.current(dir.from, dir.to)
		if t.Cut || dir.m.chance(t.Loss) {
			dir.m.Lost.Add(1)
			continue
		}
		times := 1
		if dir.m.chance(t.Duplicate) {
			times = 2
			dir.m.Duplicated.Add(1)
		}
		for range times {
			due := time.Now().Add(t.Delay + dir.m.randomDuration(t.Jitter))
			if dir.m.chance(t.Reorder) {
				due = due.Add(dir.m.randomDuration(t.Delay + t.Jitter + maxReorderDelay))
			}
			dir.m.mu.Lock()
			if len(dir.delayed) < maxQueuedDatagrams {
				heap.Push(&dir.delayed, chunk{due, append([]byte(nil), buffer[:n]...)})
			}
			dir.m.mu.Unlock()
		}
		select {
		case dir.wake <- struct{}{}:
		default:
		}
	}
}

// forwardDatagrams sends queued datagrams to the target when they are due.
func (dir *direction) forwardDatagrams() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := time.Hour
		dir.m.mu.Lock()
		var ready [][]byte
		for len(dir.delayed) > 0 {
			if d := time.Until(dir.delayed[0].due); d > 0 {
				next = d
				break
			}
			ready = append(ready, heap.Pop(&dir.delayed).(chunk).data)
		}
		cut, target := dir.faults.Cut, dir.m.targets[dir.to]
		dir.m.mu.Unlock()
		if to, err := net.ResolveUDPAddr("udp", target); err == nil && target != "" {
			for _, raw := range ready {
				if cut { // in transit when the link was cut
					dir.m.Lost.Add(1)
					continue
				}
				dir.out.WriteToUDP(raw, to)
				dir.m.Passed.Add(1)
			}
		}
		timer.Reset(next)
		select {
		case <-timer.C:
		case <-dir.wake:
		case <-dir.m.done:
			return
		}
	}
}

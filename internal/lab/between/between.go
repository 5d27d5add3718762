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
	mesh     *Mesh
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
	mesh := &Mesh{
		n: n, done: make(chan struct{}), directions: make([][]*direction, n),
		change: make(chan struct{}), targets: make([]string, n),
		rng: rand.New(rand.NewPCG(seed, 0x33)),
	}
	for a := range n {
		mesh.directions[a] = make([]*direction, n)
		for b := range n {
			if a == b {
				continue
			}
			dir, err := mesh.open(a, b)
			if err != nil {
				mesh.Close()
				return nil, err
			}
			mesh.directions[a][b] = dir
		}
	}
	return mesh, nil
}

func (mesh *Mesh) open(a, b int) (dir *direction, err error) {
	dir = &direction{mesh: mesh, from: a, to: b, conns: map[*relayedConn]struct{}{}, wake: make(chan struct{}, 1)}
	for try := 0; ; try++ { // TCP and UDP must share a port number
		if dir.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		at := dir.tcp.Addr().(*net.TCPAddr)
		if dir.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		if dir.tcp.Close(); try > 20 {
			return nil, err
		}
	}
	if dir.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		dir.tcp.Close()
		dir.udp.Close()
		return nil, err
	}
	mesh.goroutines.Go(dir.accept)
	mesh.goroutines.Go(dir.receiveDatagrams)
	mesh.goroutines.Go(dir.forwardDatagrams)
	return dir, nil
}

// Address returns the relay address at which member a reaches member b.
func (mesh *Mesh) Address(a, b int) string { return mesh.directions[a][b].tcp.Addr().String() }

// Target sets the address at which member b listens.
func (mesh *Mesh) Target(b int, address string) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	mesh.targets[b] = address
	mesh.notifyChanged()
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds m.mu.
func (mesh *Mesh) notifyChanged() {
	close(mesh.change)
	mesh.change = make(chan struct{})
}

// Set changes the faults of the direction from a to b.
func (mesh *Mesh) Set(a, b int, change func(*Faults)) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	change(&mesh.directions[a][b].faults)
	mesh.notifyChanged()
}

// Reset aborts all connections between two members; both ends see a TCP reset.
func (mesh *Mesh) Reset(a, b int) {
	mesh.mu.Lock()
	var all []*relayedConn
	for _, w := range []*direction{mesh.directions[a][b], mesh.directions[b][a]} {
		for p := range w.conns {
			all = append(all, p)
		}
	}
	mesh.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
}

// Connections returns the number of open relayed connections.
func (mesh *Mesh) Connections() (n int) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	for _, row := range mesh.directions {
		for _, w := range row {
			if w != nil {
				n += len(w.conns)
			}
		}
	}
	return n
}

// Close stops all relays, resets their connections and waits for their goroutines.
func (mesh *Mesh) Close() {
	mesh.mu.Lock()
	if mesh.closed {
		mesh.mu.Unlock()
		return
	}
	mesh.closed = true
	close(mesh.done)
	var all []*relayedConn
	for _, row := range mesh.directions {
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
	mesh.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
	mesh.goroutines.Wait()
}

// current returns the faults and the target of a direction, and a channel that is closed at the next change.
func (mesh *Mesh) current(a, b int) (t Faults, target string, change <-chan struct{}) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return mesh.directions[a][b].faults, mesh.targets[b], mesh.change
}

func (mesh *Mesh) randomDuration(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return time.Duration(mesh.rng.Int64N(int64(most)))
}

func (mesh *Mesh) chance(part float64) bool {
	if part <= 0 {
		return false
	}
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return mesh.rng.Float64() < part
}

// relayedConn is a relayed connection: the accepted connection and the relay's own connection to the target.
type relayedConn struct {
	mesh  *Mesh
	done  chan struct{}
	once  sync.Once
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (conn *relayedConn) add(c *net.TCPConn) {
	conn.mu.Lock()
	conn.conns = append(conn.conns, c)
	conn.mu.Unlock()
	select {
	case <-conn.done:
		c.Close()
	default:
	}
}

// reset aborts both connections with a TCP reset.
func (conn *relayedConn) reset() {
	conn.once.Do(func() { close(conn.done) })
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for _, c := range conn.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// close ends both connections without a reset.
func (conn *relayedConn) close() {
	conn.once.Do(func() { close(conn.done) })
	conn.mu.Lock()
	defer conn.mu.Unlock()
	for _, c := range conn.conns {
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
		p := &relayedConn{mesh: dir.mesh, done: make(chan struct{})}
		p.add(c.(*net.TCPConn))
		dir.mesh.mu.Lock()
		ended := dir.mesh.closed
		if !ended {
			dir.conns[p] = struct{}{}
		}
		dir.mesh.mu.Unlock()
		if ended {
			p.reset()
			continue
		}
		dir.mesh.goroutines.Go(func() { dir.relay(p, c.(*net.TCPConn)) })
	}
}

// relay connects an accepted connection to the target and forwards bytes both ways until it ends.
func (dir *direction) relay(conn *relayedConn, near *net.TCPConn) {
	defer func() {
		conn.close()
		dir.mesh.mu.Lock()
		delete(dir.conns, conn)
		dir.mesh.mu.Unlock()
	}()
	// A TCP handshake needs both directions, so the relay dials only when neither direction is cut.
	for {
		outbound, target, change := dir.mesh.current(dir.from, dir.to)
		inbound, _, _ := dir.mesh.current(dir.to, dir.from)
		if !outbound.Cut && !inbound.Cut && target != "" {
			far, err := net.DialTimeout("tcp", target, dialTimeout)
			if err != nil {
				conn.reset()
				return
			}
			conn.add(far.(*net.TCPConn))
			var both sync.WaitGroup
			both.Go(func() { dir.mesh.forward(conn, near, far.(*net.TCPConn), dir.from, dir.to) })
			both.Go(func() { dir.mesh.forward(conn, far.(*net.TCPConn), near, dir.to, dir.from) })
			both.Wait()
			return
		}
		select {
		case <-change:
		case <-conn.done:
			return
		}
	}
}

type chunk struct {
	due  time.Time
	data []byte // nil marks the end of the stream
}

// forward copies the bytes of one direction of a connection, in order, and applies the direction's faults.
func (mesh *Mesh) forward(conn *relayedConn, from, to *net.TCPConn, a, b int) {
	chunks := make(chan chunk, maxBufferedChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		for {
			raw := make([]byte, chunkBytes)
			n, err := from.Read(raw)
			faults, _, _ := mesh.current(a, b)
			due := time.Now().Add(faults.Delay + mesh.randomDuration(faults.Jitter))
			if n > 0 {
				select {
				case chunks <- chunk{due, raw[:n]}:
				case <-conn.done:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					conn.reset()
					return
				}
				select {
				case chunks <- chunk{due, nil}:
				case <-conn.done:
				}
				return
			}
		}
	})
	defer reading.Wait()
	for next := range chunks {
		if !conn.wait(time.Until(next.due)) {
			return
		}
		if next.data == nil {
			if !conn.waitPassable(a, b) {
				return
			}
			to.CloseWrite()
			return
		}
		for len(next.data) > 0 {
			if !conn.waitPassable(a, b) {
				return
			}
			n := len(next.data)
			if faults, _, _ := mesh.current(a, b); faults.Trickle > 0 {
				n = min(n, max(1, faults.Trickle/20))
				if !conn.wait(time.Duration(n) * time.Second / time.Duration(faults.Trickle)) {
					return
				}
			}
			if _, err := to.Write(next.data[:n]); err != nil {
				conn.reset()
				return
			}
			next.data = next.data[n:]
		}
	}
}

// wait sleeps for d. It returns false if the connection ends first.
func (conn *relayedConn) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-conn.done:
		return false
	}
}

// waitPassable waits until bytes may pass from a to b. It returns false if the connection ends first.
func (conn *relayedConn) waitPassable(a, b int) bool {
	for {
		t, _, change := conn.mesh.current(a, b)
		if !t.Cut && !t.Stall {
			return true
		}
		select {
		case <-change:
		case <-conn.done:
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
		faults, _, _ := dir.mesh.current(dir.from, dir.to)
		if faults.Cut || dir.mesh.chance(faults.Loss) {
			dir.mesh.Lost.Add(1)
			continue
		}
		copies := 1
		if dir.mesh.chance(faults.Duplicate) {
			copies = 2
			dir.mesh.Duplicated.Add(1)
		}
		for range copies {
			due := time.Now().Add(faults.Delay + dir.mesh.randomDuration(faults.Jitter))
			if dir.mesh.chance(faults.Reorder) {
				due = due.Add(dir.mesh.randomDuration(faults.Delay + faults.Jitter + maxReorderDelay))
			}
			dir.mesh.mu.Lock()
			if len(dir.delayed) < maxQueuedDatagrams {
				heap.Push(&dir.delayed, chunk{due, append([]byte(nil), buffer[:n]...)})
			}
			dir.mesh.mu.Unlock()
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
		dir.mesh.mu.Lock()
		var ready [][]byte
		for len(dir.delayed) > 0 {
			if d := time.Until(dir.delayed[0].due); d > 0 {
				next = d
				break
			}
			ready = append(ready, heap.Pop(&dir.delayed).(chunk).data)
		}
		cut, target := dir.faults.Cut, dir.mesh.targets[dir.to]
		dir.mesh.mu.Unlock()
		if to, err := net.ResolveUDPAddr("udp", target); err == nil && target != "" {
			for _, raw := range ready {
				if cut { // in transit when the link was cut
					dir.mesh.Lost.Add(1)
					continue
				}
				dir.out.WriteToUDP(raw, to)
				dir.mesh.Passed.Add(1)
			}
		}
		timer.Reset(next)
		select {
		case <-timer.C:
		case <-dir.wake:
		case <-dir.mesh.done:
			return
		}
	}
}

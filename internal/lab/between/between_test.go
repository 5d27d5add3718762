package between

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// echo starts a server that echoes TCP bytes, half-closes included, and delivers the datagrams it receives to got.
func echo(t *testing.T) (address string, got chan []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: l.Addr().(*net.TCPAddr).Port})
	if err != nil {
		t.Fatal(err)
	}
	u.SetReadBuffer(8 << 20)
	got = make(chan []byte, 1<<16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	go func() {
		b := make([]byte, maxDatagramBytes)
		for {
			n, _, err := u.ReadFromUDP(b)
			if err != nil {
				return
			}
			got <- bytes.Clone(b[:n])
		}
	}()
	t.Cleanup(func() { l.Close(); u.Close() })
	return l.Addr().String(), got
}

func newTestMesh(t *testing.T) (*Mesh, chan []byte) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) }) // no goroutines leak
	at, got := echo(t)
	m, err := New(2, 7)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	m.Target(1, at)
	return m, got
}

func dial(t *testing.T, m *Mesh) *net.TCPConn {
	c, err := net.Dial("tcp", m.Address(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}

// A link with delay, jitter and a temporary cut must not lose or reorder the bytes of a connection, and must forward a
// half-close.
func TestTCPBytesArriveInOrder(t *testing.T) {
	m, _ := newTestMesh(t)
	m.Set(0, 1, func(x *Faults) { x.Delay, x.Jitter = 20*time.Millisecond, 30*time.Millisecond })
	m.Set(1, 0, func(x *Faults) { x.Jitter = 20 * time.Millisecond })
	c := dial(t, m)
	sent := make([]byte, 1<<20)
	rand.NewChaCha8([32]byte{1}).Read(sent)
	go func() {
		for n := 0; n < len(sent); n += 50_000 {
			c.Write(sent[n:min(n+50_000, len(sent))])
			if n == 500_000 {
				m.Set(0, 1, func(x *Faults) { x.Cut = true })
				time.Sleep(100 * time.Millisecond)
				m.Set(0, 1, func(x *Faults) { x.Cut = false })
			}
		}
		c.CloseWrite()
	}()
	back, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(back, sent) {
		t.Fatalf("%d of %d bytes came back, %v", len(back), len(sent), err)
	}
}

// Each fault must have its effect and no other: delay, a one-way stall, a bandwidth limit, a cut that ends, and a reset
// that leaves no open connection.
func TestLinkFaults(t *testing.T) {
	m, _ := newTestMesh(t)
	one := func(c *net.TCPConn, within time.Duration) (time.Duration, error) {
		start := time.Now()
		c.SetReadDeadline(start.Add(within))
		c.Write([]byte("x"))
		_, err := io.ReadFull(c, make([]byte, 1))
		return time.Since(start), err
	}
	c := dial(t, m)
	if d, err := one(c, time.Second); err != nil || d > 50*time.Millisecond {
		t.Errorf("link without faults took %s, %v", d, err)
	}
	m.Set(1, 0, func(x *Faults) { x.Delay = 150 * time.Millisecond })
	if d, err := one(c, time.Second); err != nil || d < 150*time.Millisecond || d > 250*time.Millisecond {
		t.Errorf("link with a one-way delay of 150 ms took %s, %v", d, err)
	}
	m.Set(1, 0, func(x *Faults) { *x = Faults{Stall: true} })
	if d, err := one(c, 200*time.Millisecond); err == nil {
		t.Errorf("echo over a stalled link after %s", d)
	}
	if m.Set(1, 0, func(x *Faults) { *x = Faults{Trickle: 1000} }); true {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		io.ReadFull(c, make([]byte, 1)) // the byte held by the stall
		start := time.Now()
		c.Write(make([]byte, 500))
		if _, err := io.ReadFull(c, make([]byte, 500)); err != nil || time.Since(start) < 400*time.Millisecond || time.Since(start) > time.Second {
			t.Errorf("500 bytes at 1,000 bytes per second took %s, %v", time.Since(start), err)
		}
	}
	m.Set(1, 0, func(x *Faults) { *x = Faults{} })
	m.Set(1, 0, func(x *Faults) { x.Cut = true })
	late := dial(t, m) // accepted now, relayed when the cut ends
	time.AfterFunc(150*time.Millisecond, func() { m.Set(1, 0, func(x *Faults) { x.Cut = false }) })
	if d, err := one(late, time.Second); err != nil || d < 100*time.Millisecond {
		t.Errorf("connection opened during a cut took %s, %v", d, err)
	}
	m.Reset(1, 0)
	if _, err := one(c, time.Second); err == nil {
		t.Error("echo over a reset connection")
	}
	for range 100 {
		if m.Connections() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d connections still open after a reset", m.Connections())
}

// Over a link without faults, all datagrams arrive in order. Loss, duplication and reordering must affect about the
// configured fraction, and no datagram may pass a cut link.
func TestDatagrams(t *testing.T) {
	m, got := newTestMesh(t)
	c, err := net.Dial("udp", m.Address(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const n = 4000
	send := func() (came, swapped int) {
		for i := range uint32(n) {
			c.Write(binary.BigEndian.AppendUint32(nil, i))
			if i%50 == 0 {
				time.Sleep(2 * time.Millisecond)
			}
		}
		last := uint32(0)
		for {
			select {
			case b := <-got:
				came++
				if i := binary.BigEndian.Uint32(b); i < last {
					swapped++
				} else {
					last = i
				}
			case <-time.After(300 * time.Millisecond):
				return came, swapped
			}
		}
	}
	if came, swapped := send(); came != n || swapped != 0 {
		t.Errorf("link without faults: %d of %d datagrams received, %d out of order", came, n, swapped)
	}
	m.Set(0, 1, func(x *Faults) { x.Loss = 0.25 })
	if came, _ := send(); came < n*70/100 || came > n*80/100 {
		t.Errorf("loss of 25%%: %d of %d datagrams received", came, n)
	}
	m.Set(0, 1, func(x *Faults) { *x = Faults{Duplicate: 0.5, Reorder: 0.2} })
	if came, swapped := send(); came < n*145/100 || came > n*155/100 || swapped < n/20 {
		t.Errorf("50%% duplicated, 20%% reordered: %d received of %d sent, %d out of order", came, n, swapped)
	}
	m.Set(0, 1, func(x *Faults) { *x = Faults{Cut: true} })
	if came, _ := send(); came != 0 {
		t.Errorf("%d datagrams passed a cut link", came)
	}
}

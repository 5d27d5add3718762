package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Frames come whole however they are cut, and a changed byte is never believed.
func TestFrames(t *testing.T) {
	var raw []byte
	for n := range 3 {
		raw = (&Frame{Type: request, Method: uint16(n), ID: uint64(n), Left: 9, Body: bytes.Repeat([]byte{byte(n)}, n*100)}).Append(raw)
	}
	for cut := range raw {
		var d Decoder
		var got []*Frame
		take := func(f *Frame) { got = append(got, f) }
		if err := errors.Join(d.Write(raw[:cut], take), d.Write(raw[cut:], take)); err != nil || len(got) != 3 || len(got[2].Body) != 200 {
			t.Fatalf("cut at %d: %d frames, %v", cut, len(got), err)
		}
		d, got = Decoder{}, nil
		spoilt := bytes.Clone(raw)
		spoilt[cut] ^= 1 << (cut % 8)
		d.Write(spoilt, take)
		for _, f := range got {
			if len(f.Body) != int(f.ID)*100 || f.Method != uint16(f.ID) {
				t.Fatalf("a frame with byte %d changed was believed", cut)
			}
		}
	}
	var d Decoder
	if err := d.Write(long(), func(*Frame) { t.Error("believed") }); !errors.Is(err, ErrLong) || cap(d.held) > 1<<12 {
		t.Errorf("4 GiB: %v, and room for %d bytes", err, cap(d.held))
	}
}

// long is the head of a frame of 4 GiB, with a sum that is right.
func long() []byte {
	b := (&Frame{Type: request}).Append(nil)[:head]
	binary.BigEndian.PutUint32(b, 1<<32-1)
	binary.BigEndian.PutUint32(b[head-4:], crc32.Checksum(b[:head-4], table))
	return b
}

func FuzzDecoder(f *testing.F) {
	f.Add((&Frame{Type: answer, ID: 7, Body: []byte("body")}).Append(nil), 5)
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		var d Decoder
		cut = max(0, min(cut, len(raw)))
		if d.Write(raw[:cut], func(*Frame) {}) == nil {
			d.Write(raw[cut:], func(*Frame) {})
		}
		Open(Low, High, "c", raw)
		ReadHello(bytes.NewReader(raw))
	})
}

// One caller under seeded schedules: each call ends exactly once, whatever breaks; what is said to be never sent never
// was; bounds hold; and all of it ends once there is nothing more to come.
func TestCallerSchedules(t *testing.T) {
	for seed := range uint64(2000) {
		chance := rand.New(rand.NewPCG(seed, 3))
		c := NewCaller(seed)
		now := int64(1)
		ended, written := map[int]error{}, map[uint64]bool{}
		ids := map[int]uint64{}
		calls, taken := 0, 0
		var there []*Frame
		for range 300 {
			now += chance.Int64N(int64(20 * time.Millisecond))
			switch chance.IntN(8) {
			case 0, 1, 2:
				n := calls
				calls++
				deadline := now + chance.Int64N(int64(time.Second)) - int64(10*time.Millisecond)
				before := c.next
				err := c.Call(now, 1, make([]byte, chance.IntN(64<<10)), deadline, func(_ []byte, err error) {
					if _, twice := ended[n]; twice {
						t.Fatalf("seed %d: call %d ended twice", seed, n)
					}
					if ended[n] = err; errors.Is(err, ErrNeverSent) && written[ids[n]] {
						t.Fatalf("seed %d: call %d was sent, and is said never to have been", seed, n)
					}
				})
				if ids[n] = before + 1; err != nil {
					ended[n] = err
				} else {
					taken++
				}
			case 3:
				if c.Dial(now) {
					if chance.IntN(3) == 0 {
						c.Broken(now)
					} else {
						c.Opened(now)
					}
				}
			case 4, 5:
				c.Frames(now, func(f *Frame) { written[f.ID] = true; there = append(there, f) })
			case 6:
				if len(there) > 0 {
					i := chance.IntN(len(there))
					c.Take(now, &Frame{Type: []byte{answer, refusal, fault}[chance.IntN(3)], ID: there[i].ID})
				}
			default:
				if c.Tick(now) || chance.IntN(6) == 0 && c.open {
					c.Broken(now)
					there = nil
				}
			}
			if c.Waiting() > MostWaiting || c.Outstanding() > MostOut || len(c.out) > 1 && c.bytes > MostBytes {
				t.Fatalf("seed %d: %d wait, %d are out with %d bytes", seed, c.Waiting(), c.Outstanding(), c.bytes)
			}
			if next := c.Next(); next < 0 && (c.Waiting() > 0 || c.Outstanding() > 0) {
				t.Fatalf("seed %d: calls wait and nothing is due", seed)
			}
		}
		c.Tick(now + int64(time.Hour))
		if len(ended) != calls || c.bytes != 0 {
			t.Fatalf("seed %d: %d of %d calls ended, %d bytes out", seed, len(ended), calls, c.bytes)
		}
	}
}

type rig struct {
	*Link
	datagrams chan []byte
}

func listen(t *testing.T, self, cluster string, resolve map[string]string, change func(*Options)) *rig {
	t.Helper()
	r := &rig{datagrams: make(chan []byte, 10)}
	o := Options{
		Cluster: cluster, Self: self, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Stream: func(c net.Conn) { c.Close() },
		Datagram: func(_ byte, b []byte, _ net.Addr) { r.datagrams <- b },
		Resolve:  func(name string) (string, bool) { a, ok := resolve[name]; return a, ok },
	}
	if change != nil {
		change(&o)
	}
	var err error
	if r.Link, err = Listen(o); err != nil {
		t.Fatal(err)
	}
	r.Handle(1, func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	r.Handle(2, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		left, _ := ctx.Deadline()
		return []byte(time.Until(left).String()), nil
	})
	r.Handle(3, func(ctx context.Context, _ string, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() })
	r.Serve()
	t.Cleanup(r.Close)
	return r
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), d)
	t.Cleanup(stop)
	return ctx
}

// Calls go over one connection, their time shrinks on the way, and members of other clusters and versions are not let in.
func TestCalls(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	b := listen(t, "b", "zuid", nil, nil)
	where := map[string]string{"b": b.Addr().String()}
	a := listen(t, "a", "zuid", where, nil)
	var all sync.WaitGroup
	for n := range 200 {
		all.Go(func() {
			got, err := a.Call(within(t, 2*time.Second), "b", 1, fmt.Append(nil, n))
			if err != nil || string(got) != fmt.Sprint("a:", n) {
				t.Errorf("call %d: %q, %v", n, got, err)
			}
		})
	}
	all.Wait()
	if n := b.Counts.Connections.Load(); n != 1 {
		t.Errorf("%d connections for all calls", n)
	}
	got, err := a.Call(within(t, 300*time.Millisecond), "b", 2, nil)
	if d, _ := time.ParseDuration(string(got)); err != nil || d <= 0 || d >= 300*time.Millisecond {
		t.Errorf("the time left there is %q, %v", got, err)
	}
	start := time.Now()
	if _, err = a.Call(within(t, 100*time.Millisecond), "b", 3, nil); !errors.Is(err, ErrUnknown) || time.Since(start) > 400*time.Millisecond {
		t.Errorf("a call that hangs: %v after %s", err, time.Since(start))
	}
	if _, err = a.Call(within(t, 100*time.Millisecond), "nobody", 1, nil); !errors.Is(err, ErrNeverSent) {
		t.Errorf("a call to nobody: %v", err)
	}
	if _, err = a.Call(within(t, time.Second), "b", 9, nil); !errors.Is(err, ErrRefused) {
		t.Errorf("a call without a method: %v", err)
	}
	for _, other := range []*rig{
		listen(t, "a", "noord", where, nil), listen(t, "a", "zuid", where, func(o *Options) { o.Low, o.High = 7, 9 }),
	} {
		if _, err := other.Call(within(t, 200*time.Millisecond), "b", 1, nil); !errors.Is(err, ErrNeverSent) {
			t.Errorf("of another cluster or version: %v", err)
		}
		other.Send(Peers, "", b.Addr().String(), []byte("strange"))
	}
	// A range that overlaps is agreed on.
	wide := listen(t, "w", "zuid", where, func(o *Options) { o.Low, o.High = 1, 9 })
	if _, err := wide.Call(within(t, time.Second), "b", 1, nil); err != nil {
		t.Errorf("of a wider range: %v", err)
	}
	a.Send(Peers, "", b.Addr().String(), []byte("known"))
	if got := <-b.datagrams; string(got) != "known" {
		t.Errorf("a datagram of another cluster came in: %q", got)
	}
	if b.Counts.Refused.Load() < 2 {
		t.Errorf("%d refusals are counted", b.Counts.Refused.Load())
	}
}

// Whoever sends nonsense, half of something or nothing is let go, and costs nobody else anything.
func TestBadPeers(t *testing.T) {
	b := listen(t, "b", "zuid", nil, nil)
	a := listen(t, "a", "zuid", map[string]string{"b": b.Addr().String()}, nil)
	hello := (&Hello{Low: 1, High: 1, Kind: Calls, Cluster: "zuid", From: "x"}).Append(nil)
	for _, bad := range [][]byte{
		nil, []byte("GET / HTTP/1.1\r\n\r\n"), hello[:9], append(bytes.Clone(hello), long()...),
		append(bytes.Clone(hello), bytes.Repeat([]byte{0xff}, 5000)...), append(bytes.Clone(hello), (&Frame{Type: request}).Append(nil)[:20]...),
	} {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write(bad)
	}
	for range 20 {
		if _, err := a.Call(within(t, time.Second), "b", 1, nil); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for b.Counts.Connections.Load() > 2 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if n := b.Counts.Connections.Load(); n > 2 { // the caller's, and half a frame, which has ten seconds
		t.Errorf("%d connections are held", n)
	}
	if b.Counts.Spoilt.Load() < 3 {
		t.Errorf("%d spoilt", b.Counts.Spoilt.Load())
	}
}

// A peer that takes calls and never answers refuses none elsewhere: its queue is bounded, what doesn't fit is refused at
// once, and the connection is given up after silence.
func TestSilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ends := make(chan time.Duration, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				ReadHello(c)
				c.Write([]byte{1, 0})
				start := time.Now()
				io.Copy(io.Discard, c)
				ends <- time.Since(start)
			}()
		}
	}()
	b := listen(t, "b", "zuid", nil, nil)
	a := listen(t, "a", "zuid", map[string]string{"b": b.Addr().String(), "s": l.Addr().String()}, nil)
	start := time.Now()
	full := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for range MostWaiting + MostOut + 100 {
		all.Go(func() {
			_, err := a.Call(within(t, 500*time.Millisecond), "s", 1, nil)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrFull) {
				full++
			} else if err == nil || !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNeverSent) {
				t.Errorf("a call to a silent peer: %v", err)
			}
		})
	}
	if _, err := a.Call(within(t, time.Second), "b", 1, nil); err != nil || time.Since(start) > 450*time.Millisecond {
		t.Errorf("a call to another: %v after %s", err, time.Since(start))
	}
	all.Wait()
	if full < 50 || time.Since(start) > 2*time.Second {
		t.Errorf("%d refused, all over after %s", full, time.Since(start))
	}
	// As long as somebody waits on it, the connection ends with silence.
	go a.Call(within(t, 7*time.Second), "s", 1, nil)
	select {
	case d := <-ends:
		if d < time.Second {
			t.Errorf("given up after %s", d)
		}
	case <-time.After(8 * time.Second):
		t.Error("a silent connection is kept for good")
	}
}

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

// TestFrames checks that frames are decoded whole however the byte stream is split, and that a frame with a corrupted byte
// is never accepted.
func TestFrames(t *testing.T) {
	var raw []byte
	for n := range 3 {
		raw = (&Frame{Type: frameRequest, Method: uint16(n), ID: uint64(n), TimeoutMillis: 9, Body: bytes.Repeat([]byte{byte(n)}, n*100)}).Append(raw)
	}
	for cut := range raw {
		var decoder Decoder
		var frames []*Frame
		collect := func(f *Frame) { frames = append(frames, f) }
		if err := errors.Join(decoder.Write(raw[:cut], collect), decoder.Write(raw[cut:], collect)); err != nil || len(frames) != 3 || len(frames[2].Body) != 200 {
			t.Fatalf("split at %d: %d frames, %v", cut, len(frames), err)
		}
		decoder, frames = Decoder{}, nil
		corrupted := bytes.Clone(raw)
		corrupted[cut] ^= 1 << (cut % 8)
		decoder.Write(corrupted, collect)
		for _, f := range frames {
			if len(f.Body) != int(f.ID)*100 || f.Method != uint16(f.ID) {
				t.Fatalf("frame with corrupted byte %d was accepted", cut)
			}
		}
	}
	var decoder Decoder
	if err := decoder.Write(oversizedFrameHeader(), func(*Frame) { t.Error("oversized frame was accepted") }); !errors.Is(err, ErrTooLong) || cap(decoder.buffered) > 1<<12 {
		t.Errorf("frame of 4 GiB: %v, buffer of %d bytes", err, cap(decoder.buffered))
	}
}

// oversizedFrameHeader returns the header, with a valid checksum, of a frame whose body has 4 GiB.
func oversizedFrameHeader() []byte {
	b := (&Frame{Type: frameRequest}).Append(nil)[:frameHeaderSize]
	binary.BigEndian.PutUint32(b, 1<<32-1)
	binary.BigEndian.PutUint32(b[frameHeaderSize-4:], crc32.Checksum(b[:frameHeaderSize-4], crcTable))
	return b
}

func FuzzDecoder(f *testing.F) {
	f.Add((&Frame{Type: frameResponse, ID: 7, Body: []byte("body")}).Append(nil), 5)
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		var decoder Decoder
		cut = max(0, min(cut, len(raw)))
		if decoder.Write(raw[:cut], func(*Frame) {}) == nil {
			decoder.Write(raw[cut:], func(*Frame) {})
		}
		DecodeDatagram(MinVersion, MaxVersion, "c", raw)
		ReadHello(bytes.NewReader(raw))
	})
}

// TestCallerSchedules drives a Caller with random schedules. Each call must complete exactly once, no call that was sent
// may complete with ErrNotSent, the limits must hold, and every call must have completed after its deadline.
func TestCallerSchedules(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		caller := NewCaller(seed)
		now := int64(1)
		ended, written := map[int]error{}, map[uint64]bool{}
		ids := map[int]uint64{}
		calls, accepted := 0, 0
		var received []*Frame
		for range 300 {
			now += rng.Int64N(int64(20 * time.Millisecond))
			switch rng.IntN(8) {
			case 0, 1, 2:
				call := calls
				calls++
				deadline := now + rng.Int64N(int64(time.Second)) - int64(10*time.Millisecond)
				lastID := caller.lastID
				err := caller.Enqueue(now, 1, make([]byte, rng.IntN(64<<10)), deadline, func(_ []byte, err error) {
					if _, twice := ended[call]; twice {
						t.Fatalf("seed %d: call %d completed twice", seed, call)
					}
					if ended[call] = err; errors.Is(err, ErrNotSent) && written[ids[call]] {
						t.Fatalf("seed %d: call %d was sent and completed with ErrNotSent", seed, call)
					}
				})
				if ids[call] = lastID + 1; err != nil {
					ended[call] = err
				} else {
					accepted++
				}
			case 3:
				if caller.ShouldDial(now) {
					if rng.IntN(3) == 0 {
						caller.Disconnected(now)
					} else {
						caller.Connected(now)
					}
				}
			case 4, 5:
				caller.NextFrames(now, func(f *Frame) { written[f.ID] = true; received = append(received, f) })
			case 6:
				if len(received) > 0 {
					i := rng.IntN(len(received))
					caller.HandleResponse(now, &Frame{Type: []byte{frameResponse, frameRefusal, frameError}[rng.IntN(3)], ID: received[i].ID})
				}
			default:
				if caller.Tick(now) || rng.IntN(6) == 0 && caller.connected {
					caller.Disconnected(now)
					received = nil
				}
			}
			if caller.Queued() > MaxQueued || caller.InFlight() > MaxInFlight || len(caller.inFlight) > 1 && caller.inFlightBytes > MaxInFlightBytes {
				t.Fatalf("seed %d: limits exceeded: %d calls queued, %d in flight with %d bytes", seed, caller.Queued(), caller.InFlight(), caller.inFlightBytes)
			}
			if next := caller.NextWakeup(); next < 0 && (caller.Queued() > 0 || caller.InFlight() > 0) {
				t.Fatalf("seed %d: calls are pending and no wake-up is due", seed)
			}
		}
		caller.Tick(now + int64(time.Hour))
		if len(ended) != calls || caller.inFlightBytes != 0 {
			t.Fatalf("seed %d: %d of %d calls completed, %d bytes in flight", seed, len(ended), calls, caller.inFlightBytes)
		}
	}
}

type testLink struct {
	*Link
	datagrams chan []byte
}

func startLink(t *testing.T, self, cluster string, resolve map[string]string, change func(*Options)) *testLink {
	t.Helper()
	link := &testLink{datagrams: make(chan []byte, 10)}
	options := Options{
		Cluster: cluster, Self: self, Address: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), HandleStream: func(c net.Conn) { c.Close() },
		HandleDatagram: func(_ byte, b []byte, _ net.Addr) { link.datagrams <- b },
		Resolve:        func(name string) (string, bool) { address, ok := resolve[name]; return address, ok },
	}
	if change != nil {
		change(&options)
	}
	var err error
	if link.Link, err = Listen(options); err != nil {
		t.Fatal(err)
	}
	link.Handle(1, func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	link.Handle(2, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		left, _ := ctx.Deadline()
		return []byte(time.Until(left).String()), nil
	})
	link.Handle(3, func(ctx context.Context, _ string, _ []byte) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() })
	link.Serve()
	t.Cleanup(link.Close)
	return link
}

func contextWithTimeout(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// TestCalls checks that calls share one connection, that handlers get the remaining time of the caller, and that members of
// other clusters or with other protocol versions are refused.
func TestCalls(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	b := startLink(t, "b", "zuid", nil, nil)
	addresses := map[string]string{"b": b.Addr().String()}
	a := startLink(t, "a", "zuid", addresses, nil)
	var calls sync.WaitGroup
	for n := range 200 {
		calls.Go(func() {
			got, err := a.Call(contextWithTimeout(t, 2*time.Second), "b", 1, fmt.Append(nil, n))
			if err != nil || string(got) != fmt.Sprint("a:", n) {
				t.Errorf("call %d: %q, %v", n, got, err)
			}
		})
	}
	calls.Wait()
	if n := b.Counters.Connections.Load(); n != 1 {
		t.Errorf("%d connections for all calls, want 1", n)
	}
	got, err := a.Call(contextWithTimeout(t, 300*time.Millisecond), "b", 2, nil)
	if d, _ := time.ParseDuration(string(got)); err != nil || d <= 0 || d >= 300*time.Millisecond {
		t.Errorf("remaining time at the handler: %q, %v", got, err)
	}
	start := time.Now()
	if _, err = a.Call(contextWithTimeout(t, 100*time.Millisecond), "b", 3, nil); !errors.Is(err, ErrOutcomeUnknown) || time.Since(start) > 400*time.Millisecond {
		t.Errorf("call to a handler that hangs: %v after %s", err, time.Since(start))
	}
	if _, err = a.Call(contextWithTimeout(t, 100*time.Millisecond), "nobody", 1, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("call to an unknown member: %v", err)
	}
	if _, err = a.Call(contextWithTimeout(t, time.Second), "b", 9, nil); !errors.Is(err, ErrRefused) {
		t.Errorf("call of an unknown method: %v", err)
	}
	for _, other := range []*testLink{
		startLink(t, "a", "noord", addresses, nil), startLink(t, "a", "zuid", addresses, func(o *Options) { o.MinVersion, o.MaxVersion = 7, 9 }),
	} {
		if _, err := other.Call(contextWithTimeout(t, 200*time.Millisecond), "b", 1, nil); !errors.Is(err, ErrNotSent) {
			t.Errorf("call from another cluster or version: %v", err)
		}
		other.Send(KindPeers, "", b.Addr().String(), []byte("strange"))
	}
	// Overlapping version ranges are compatible.
	wide := startLink(t, "w", "zuid", addresses, func(o *Options) { o.MinVersion, o.MaxVersion = 1, 9 })
	if _, err := wide.Call(contextWithTimeout(t, time.Second), "b", 1, nil); err != nil {
		t.Errorf("call with a wider version range: %v", err)
	}
	a.Send(KindPeers, "", b.Addr().String(), []byte("known"))
	if got := <-b.datagrams; string(got) != "known" {
		t.Errorf("datagram of another cluster was accepted: %q", got)
	}
	if b.Counters.Refused.Load() < 2 {
		t.Errorf("%d refusals counted, want at least 2", b.Counters.Refused.Load())
	}
}

// TestBadPeers checks that connections which send garbage, partial messages or nothing are closed and do not disturb the
// calls of other members.
func TestBadPeers(t *testing.T) {
	b := startLink(t, "b", "zuid", nil, nil)
	a := startLink(t, "a", "zuid", map[string]string{"b": b.Addr().String()}, nil)
	hello := (&Hello{MinVersion: 1, MaxVersion: 1, Kind: KindCalls, Cluster: "zuid", From: "x"}).Append(nil)
	for _, bad := range [][]byte{
		nil, []byte("GET / HTTP/1.1\r\n\r\n"), hello[:9], append(bytes.Clone(hello), oversizedFrameHeader()...),
		append(bytes.Clone(hello), bytes.Repeat([]byte{0xff}, 5000)...), append(bytes.Clone(hello), (&Frame{Type: frameRequest}).Append(nil)[:20]...),
	} {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write(bad)
	}
	for range 20 {
		if _, err := a.Call(contextWithTimeout(t, time.Second), "b", 1, nil); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for b.Counters.Connections.Load() > 2 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if n := b.Counters.Connections.Load(); n > 2 { // that of a, and the one with a partial frame, which frameTimeout has not closed yet
		t.Errorf("%d connections are open, want at most 2", n)
	}
	if b.Counters.Corrupt.Load() < 3 {
		t.Errorf("%d corrupt inputs counted, want at least 3", b.Counters.Corrupt.Load())
	}
}

// TestSilentPeer checks a peer that accepts requests and never responds: its queue is bounded, further calls fail at once,
// calls to other members are not delayed, and the connection is closed after the silence timeout.
func TestSilentPeer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	lifetimes := make(chan time.Duration, 10)
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			go func() {
				ReadHello(c)
				c.Write([]byte{1, 0})
				start := time.Now()
				io.Copy(io.Discard, c)
				lifetimes <- time.Since(start)
			}()
		}
	}()
	b := startLink(t, "b", "zuid", nil, nil)
	a := startLink(t, "a", "zuid", map[string]string{"b": b.Addr().String(), "s": silent.Addr().String()}, nil)
	start := time.Now()
	overloaded := 0
	var mu sync.Mutex
	var calls sync.WaitGroup
	for range MaxQueued + MaxInFlight + 100 {
		calls.Go(func() {
			_, err := a.Call(contextWithTimeout(t, 500*time.Millisecond), "s", 1, nil)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrOverloaded) {
				overloaded++
			} else if err == nil || !errors.Is(err, ErrOutcomeUnknown) && !errors.Is(err, ErrNotSent) {
				t.Errorf("call to a silent peer: %v", err)
			}
		})
	}
	if _, err := a.Call(contextWithTimeout(t, time.Second), "b", 1, nil); err != nil || time.Since(start) > 450*time.Millisecond {
		t.Errorf("call to another member: %v after %s", err, time.Since(start))
	}
	calls.Wait()
	if overloaded < 50 || time.Since(start) > 2*time.Second {
		t.Errorf("%d calls refused, all completed after %s", overloaded, time.Since(start))
	}
	// The silence timeout closes the connection while a call is still waiting.
	go a.Call(contextWithTimeout(t, 7*time.Second), "s", 1, nil)
	select {
	case d := <-lifetimes:
		if d < time.Second {
			t.Errorf("closed after %s", d)
		}
	case <-time.After(8 * time.Second):
		t.Error("silent connection was not closed")
	}
}

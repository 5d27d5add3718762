package peers

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"
)

type reports chan string

func (handler reports) HandleReport(from, to int, report []byte) {
	handler <- fmt.Sprintf("%d>%d %s", from, to, report)
}

// newSocketPair returns the sockets of two balancers of a pool, with two engines each, and the reports that they receive.
func newSocketPair(t *testing.T) (a, b *Socket, handler reports) {
	a, err := Open("127.0.0.1:0")
	b, other := Open("127.0.0.1:0")
	if err != nil || other != nil {
		t.Fatal(err, other)
	}
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	handler = make(reports, 16)
	set, err := NewPeerSet("www", []string{a.conn.LocalAddr().String(), b.conn.LocalAddr().String()}, 2, handler)
	if err != nil {
		t.Fatal(err)
	}
	a.SetPeers(set)
	b.SetPeers(set)
	return a, b, handler
}

// TestOnlyPeerReportsAreDelivered checks that reports of peers arrive, that those of unknown senders, other pools and
// malformed datagrams don't, and that sending never blocks.
func TestOnlyPeerReportsAreDelivered(t *testing.T) {
	a, b, handler := newSocketPair(t)
	target := b.conn.LocalAddr().(*net.UDPAddr)
	stranger, err := net.DialUDP("udp", nil, target)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	a.SendReport(1, 2, []byte("y"))
	if got := <-handler; got != "1>2 y" {
		t.Fatalf("received %q", got)
	}
	stranger.Write([]byte("\x00\x00\x00\x00 nonsense of some length"))
	forged := bytes.Repeat([]byte{0}, headerBytes+1)
	pool := a.peers.Load().pool
	copy(forged, []byte{byte(pool >> 24), byte(pool >> 16), byte(pool >> 8), byte(pool)})
	forged[11] = 2
	stranger.Write(forged) // valid except for its source address
	forged[0]++            // valid source address, but another pool
	a.conn.WriteToUDP(forged, target)
	time.Sleep(50 * time.Millisecond) // rejected datagrams must arrive before the valid one
	a.SendReport(1, 99, []byte("to nobody"))
	a.SendReport(1, 2, make([]byte, maxPayloadBytes+1))
	a.SendReport(1, 3, []byte("x"))
	select {
	case got := <-handler:
		if got != "1>3 x" || len(handler) > 0 {
			t.Errorf("received %q and %d more", got, len(handler))
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no report received within 5 s")
	}
	time.Sleep(50 * time.Millisecond)
	if len(handler) > 0 {
		t.Errorf("received a further report %q", <-handler)
	}

	// Sending to a peer that is down or through a full queue drops reports instead of blocking.
	b.conn.Close()
	start := time.Now()
	for range 100_000 {
		a.SendReport(0, 2, []byte("x"))
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("sending to a peer that is down took %v, want at most 3 s", took)
	}
}

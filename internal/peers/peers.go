// Package peers carries what the balancers of a pool say to one another, as datagrams. They may come late or not at all;
// nothing waits for them.
package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"ottershift/internal/roster"
)

const (
	head    = 12  // pool, sender, receiver
	most    = 256 // that is said at once
	waiting = 256 // datagrams that wait to be sent; beyond it they are dropped

	pause = 10 * time.Millisecond // after a fault of the socket
)

// Sink takes what peers say; numbers are those of modules. The bytes are its own only until it returns.
type Sink interface {
	Told(from, to int, raw []byte)
}

// Route is who the balancers of a pool are, by index.
type Route struct {
	pool    uint32
	modules int // of each balancer
	to      []netip.AddrPort
	sink    Sink
}

// NewRoute finds the balancers' addresses. modules is how many each has, sink takes what they say to this one.
func NewRoute(pool string, addresses []string, modules int, sink Sink) (*Route, error) {
	r := &Route{pool: roster.NameHash(pool), modules: modules, sink: sink}
	for _, text := range addresses {
		a, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		r.to = append(r.to, plain(a.AddrPort()))
	}
	return r, nil
}

// plain is an address of the fourth version as such, also where a socket of the sixth tells it.
func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Link is one balancer's own address among the others of its pool.
type Link struct {
	conn  *net.UDPConn
	out   chan datagram
	end   chan struct{}
	route atomic.Pointer[Route]
}

type datagram struct {
	to  netip.AddrPort
	raw []byte
}

// Open listens at an address; nobody is heard or told before there is a route.
func Open(address string) (*Link, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	l := &Link{out: make(chan datagram, waiting), end: make(chan struct{})}
	if l.conn, err = net.ListenUDP("udp", at); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go l.send()
	go l.receive()
	return l, nil
}

// Follow puts a route in the place of the one before.
func (l *Link) Follow(r *Route) { l.route.Store(r) }

// Close ends the link.
func (l *Link) Close() {
	close(l.end)
	l.conn.Close()
}

// Tell sends what one module says to another. It never waits: what finds no room is lost.
func (l *Link) Tell(from, to int, raw []byte) {
	r := l.route.Load()
	if r == nil || to < 0 || to/r.modules >= len(r.to) || len(raw) > most {
		return
	}
	d := make([]byte, head, head+len(raw))
	binary.BigEndian.PutUint32(d, r.pool)
	binary.BigEndian.PutUint32(d[4:], uint32(from))
	binary.BigEndian.PutUint32(d[8:], uint32(to))
	select {
	case l.out <- datagram{r.to[to/r.modules], append(d, raw...)}:
	default:
	}
}

func (l *Link) send() {
	for {
		select {
		case d := <-l.out:
			l.conn.WriteToUDPAddrPort(d.raw, d.to) // lost if it fails: so may any be
		case <-l.end:
			return
		}
	}
}

// receive hands on what peers say. Danger: anyone may send a datagram; only what comes from the address of the balancer
// that it names as its sender is heard.
func (l *Link) receive() {
	room := make([]byte, head+most+1)
	for {
		n, at, err := l.conn.ReadFromUDPAddrPort(room)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pause) // danger: a fault that stays would keep a core busy
			continue
		}
		r := l.route.Load()
		if r == nil || n < head || n > head+most || binary.BigEndian.Uint32(room) != r.pool {
			continue
		}
		from, to := int(binary.BigEndian.Uint32(room[4:])), int(binary.BigEndian.Uint32(room[8:]))
		if from/r.modules < len(r.to) && r.to[from/r.modules] == plain(at) {
			r.sink.Told(from, to, room[head:n])
		}
	}
}

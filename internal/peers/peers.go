// Package peers exchanges load reports between the balancers of a pool as UDP datagrams. Datagrams may be delayed or
// lost; nothing waits for them.
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
	headerBytes     = 12  // pool, sender and receiver, 4 bytes each
	maxPayloadBytes = 256 // of one report
	sendQueueLength = 256 // datagrams; when it is full, further ones are dropped

	readErrorDelay = 10 * time.Millisecond // a socket that fails all the time must not keep a core busy
)

// ReportHandler receives the reports of peers. Sender and receiver are numbers of decision engines, counted over all
// balancers of the pool. The bytes of a report are valid only until HandleReport returns.
type ReportHandler interface {
	HandleReport(from, to int, report []byte)
}

// PeerSet holds the addresses of the balancers of a pool, by index.
type PeerSet struct {
	pool      uint32
	engines   int // decision engines of each balancer
	addresses []netip.AddrPort
	handler   ReportHandler
}

// NewPeerSet resolves the balancers' addresses. Each balancer has the given number of engines, and handler receives the
// reports to this one.
func NewPeerSet(pool string, addresses []string, engines int, handler ReportHandler) (*PeerSet, error) {
	set := &PeerSet{pool: roster.NameHash(pool), engines: engines, handler: handler}
	for _, text := range addresses {
		address, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		set.addresses = append(set.addresses, unmap(address.AddrPort()))
	}
	return set, nil
}

// unmap returns IPv4-mapped IPv6 addresses, as an IPv6 socket reports them, as IPv4 addresses.
func unmap(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Socket sends and receives the reports of one balancer.
type Socket struct {
	conn      *net.UDPConn
	sendQueue chan datagram
	closed    chan struct{}
	peers     atomic.Pointer[PeerSet]
}

type datagram struct {
	to      netip.AddrPort
	payload []byte
}

// Open listens at an address. No reports are sent or received before SetPeers.
func Open(address string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	socket := &Socket{sendQueue: make(chan datagram, sendQueueLength), closed: make(chan struct{})}
	if socket.conn, err = net.ListenUDP("udp", local); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go socket.send()
	go socket.receive()
	return socket, nil
}

// SetPeers replaces the set of peers.
func (socket *Socket) SetPeers(set *PeerSet) { socket.peers.Store(set) }

// Close closes the socket and ends its goroutines.
func (socket *Socket) Close() {
	close(socket.closed)
	socket.conn.Close()
}

// SendReport sends a report from one decision engine to another. It never blocks: the report is dropped when the queue
// is full.
func (socket *Socket) SendReport(from, to int, report []byte) {
	set := socket.peers.Load()
	if set == nil || to < 0 || to/set.engines >= len(set.addresses) || len(report) > maxPayloadBytes {
		return
	}
	payload := make([]byte, headerBytes, headerBytes+len(report))
	binary.BigEndian.PutUint32(payload, set.pool)
	binary.BigEndian.PutUint32(payload[4:], uint32(from))
	binary.BigEndian.PutUint32(payload[8:], uint32(to))
	select {
	case socket.sendQueue <- datagram{set.addresses[to/set.engines], append(payload, report...)}:
	default:
	}
}

func (socket *Socket) send() {
	for {
		select {
		case d := <-socket.sendQueue:
			socket.conn.WriteToUDPAddrPort(d.payload, d.to) // errors are ignored, since any datagram may be lost
		case <-socket.closed:
			return
		}
	}
}

// receive passes reports to the handler. Anyone can send a datagram to this address, so a report is accepted only from
// the address of the balancer that it names as its sender.
func (socket *Socket) receive() {
	buffer := make([]byte, headerBytes+maxPayloadBytes+1)
	for {
		n, source, err := socket.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readErrorDelay)
			continue
		}
		set := socket.peers.Load()
		if set == nil || n < headerBytes || n > headerBytes+maxPayloadBytes || binary.BigEndian.Uint32(buffer) != set.pool {
			continue
		}
		from, to := int(binary.BigEndian.Uint32(buffer[4:])), int(binary.BigEndian.Uint32(buffer[8:]))
		if from/set.engines < len(set.addresses) && set.addresses[from/set.engines] == unmap(source) {
			set.handler.HandleReport(from, to, buffer[headerBytes:n])
		}
	}
}

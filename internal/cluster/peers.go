package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"ottershift/internal/cluster/link"
	"ottershift/internal/roster"
)

const (
	maxPeerMessageBytes   = 256 // bytes that one module says to another at once
	maxQueuedPeerMessages = 256 // such messages that wait to be sent; beyond it they are dropped
	peerHeaderBytes       = 9   // pool, sender's part, receiver's part, length of the sender's name
)

// Sink takes what peers say; numbers are those of modules over all balancers. The bytes are its own only until it returns.
type Sink interface {
	Told(from, to int, raw []byte)
}

// PeerRoute carries what the balancers of one pool say to one another, among the members that count at present. Datagrams
// name their sender, not its number: two members may number the others differently while their views differ.
type PeerRoute struct {
	cluster *Cluster
	pool    uint32
	shards  int
	members []string // by index
	self    int
	sink    Sink
}

type peerMessage struct {
	member  string
	payload []byte
}

// PoolBalancers are the members that count as balancers of a pool, by name: the living, and those held dead for less than a
// time, since they may be behind a link that is cut and still send. Who left by intent doesn't count.
func (c *Cluster) PoolBalancers(pool string, maxDeadTime time.Duration) (names []string, self int) {
	for _, m := range c.gossip.MembersServing(pool, maxDeadTime) {
		names = append(names, m.Name)
	}
	return names, slices.Index(names, c.options.Settings.Self)
}

// OpenPeerRoute has what is said of a pool given to a sink, among these members; it takes the place of the route before.
func (c *Cluster) OpenPeerRoute(pool string, members []string, self, shards int, sink Sink) *PeerRoute {
	route := &PeerRoute{c, roster.Number(pool), shards, members, self, sink}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerRoutes[route.pool] = route
	if c.peerMessages == nil {
		c.peerMessages = make(chan peerMessage, maxQueuedPeerMessages)
		c.wg.Go(c.sendPeerMessages)
	}
	return route
}

// ClosePeerRoute ends a pool's route.
func (c *Cluster) ClosePeerRoute(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerRoutes, roster.Number(pool))
}

// Tell implements httpwire.Speaker. It never waits: what finds no room is lost.
func (route *PeerRoute) Tell(from, to int, raw []byte) {
	receiver := to / route.shards
	if to < 0 || receiver >= len(route.members) || receiver == route.self || len(raw) > maxPeerMessageBytes {
		return
	}
	self := route.cluster.options.Settings.Self
	message := make([]byte, 0, peerHeaderBytes+len(self)+len(raw))
	message = binary.BigEndian.AppendUint32(message, route.pool)
	message = binary.BigEndian.AppendUint16(message, uint16(from%route.shards))
	message = binary.BigEndian.AppendUint16(message, uint16(to%route.shards))
	message = append(append(append(message, byte(len(self))), self...), raw...)
	select {
	case route.cluster.peerMessages <- peerMessage{route.members[receiver], message}:
	default:
	}
}

// sendPeerMessages sends what modules say.
func (c *Cluster) sendPeerMessages() {
	for {
		select {
		case message := <-c.peerMessages:
			if address, known := c.gossip.Resolve(message.member); known {
				c.link.Send(link.KindPeers, message.member, address, message.payload) // lost if it fails: so may any be
			}
		case <-c.done:
			return
		}
	}
}

// handlePeerMessage hands on what a peer says; what names no known sender, pool or part is passed over.
func (c *Cluster) handlePeerMessage(message []byte) {
	if len(message) < peerHeaderBytes || len(message) < peerHeaderBytes+int(message[8]) || len(message) > peerHeaderBytes+255+maxPeerMessageBytes {
		return
	}
	c.mu.Lock()
	route := c.peerRoutes[binary.BigEndian.Uint32(message)]
	c.mu.Unlock()
	if route == nil {
		return
	}
	from, to := int(binary.BigEndian.Uint16(message[4:])), int(binary.BigEndian.Uint16(message[6:]))
	sender := slices.Index(route.members, string(message[peerHeaderBytes:peerHeaderBytes+int(message[8])]))
	if sender < 0 || sender == route.self || route.self < 0 || from >= route.shards || to >= route.shards {
		return
	}
	route.sink.Told(sender*route.shards+from, route.self*route.shards+to, message[peerHeaderBytes+int(message[8]):])
}

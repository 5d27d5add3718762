package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"ottershift/internal/cluster/link"
	"ottershift/internal/roster"
)

const (
	maxPeerMessageBytes   = 256 // bytes of one message between decision engines
	maxQueuedPeerMessages = 256 // messages waiting to be sent; further ones are dropped
	peerHeaderBytes       = 9   // pool number, sender's shard, receiver's shard, length of the sender's name
)

// Sink receives the messages of peers. from and to number the decision engines over all balancers. raw is valid only until
// HandleReport returns.
type Sink interface {
	// HandleReport handles a message.
	HandleReport(from, to int, raw []byte)
}

// PeerRoute carries messages between the balancers of one pool, for a fixed list of members. Datagrams contain the name of
// the sender instead of its number, because two members may number the others differently while their views differ.
type PeerRoute struct {
	cluster *Cluster
	pool    uint32
	shards  int
	members []string // by balancer index
	self    int
	sink    Sink
}

// peerMessage is a message that waits to be sent.
type peerMessage struct {
	member  string
	payload []byte
}

// PoolBalancers returns the names of the members that count as balancers of a pool, and the index of this process. They are
// the live members and those considered dead for less than maxDeadTime, which may be behind a broken link and still send
// requests. Members that left deliberately do not count.
func (c *Cluster) PoolBalancers(pool string, maxDeadTime time.Duration) (names []string, self int) {
	for _, m := range c.gossip.MembersServing(pool, maxDeadTime) {
		names = append(names, m.Name)
	}
	return names, slices.Index(names, c.options.Settings.Self)
}

// OpenPeerRoute opens a route between the given members that delivers messages of the pool to the sink. It replaces the
// previous route of the pool.
func (c *Cluster) OpenPeerRoute(pool string, members []string, self, shards int, sink Sink) *PeerRoute {
	route := &PeerRoute{c, roster.NameHash(pool), shards, members, self, sink}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerRoutes[route.pool] = route
	if c.peerMessages == nil {
		c.peerMessages = make(chan peerMessage, maxQueuedPeerMessages)
		c.wg.Go(c.sendPeerMessages)
	}
	return route
}

// ClosePeerRoute closes the route of a pool.
func (c *Cluster) ClosePeerRoute(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peerRoutes, roster.NameHash(pool))
}

// SendReport implements httpwire.ReportSender. It never blocks: a message is dropped if the queue is full.
func (r *PeerRoute) SendReport(from, to int, raw []byte) {
	receiver := to / r.shards
	if to < 0 || receiver >= len(r.members) || receiver == r.self || len(raw) > maxPeerMessageBytes {
		return
	}
	self := r.cluster.options.Settings.Self
	message := make([]byte, 0, peerHeaderBytes+len(self)+len(raw))
	message = binary.BigEndian.AppendUint32(message, r.pool)
	message = binary.BigEndian.AppendUint16(message, uint16(from%r.shards))
	message = binary.BigEndian.AppendUint16(message, uint16(to%r.shards))
	message = append(append(append(message, byte(len(self))), self...), raw...)
	select {
	case r.cluster.peerMessages <- peerMessage{r.members[receiver], message}:
	default:
	}
}

// sendPeerMessages sends the queued messages until the cluster is closed.
func (c *Cluster) sendPeerMessages() {
	for {
		select {
		case message := <-c.peerMessages:
			if address, known := c.gossip.Resolve(message.member); known {
				// Errors are ignored, because delivery is not guaranteed.
				c.link.Send(link.KindPeers, message.member, address, message.payload)
			}
		case <-c.done:
			return
		}
	}
}

// handlePeerMessage passes a message from a peer to the sink of its pool. Messages with an unknown sender, pool or shard
// are ignored.
func (c *Cluster) handlePeerMessage(message []byte) {
	if len(message) < peerHeaderBytes || len(message) < peerHeaderBytes+int(message[8]) ||
		len(message) > peerHeaderBytes+255+maxPeerMessageBytes {
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
	route.sink.HandleReport(sender*route.shards+from, route.self*route.shards+to, message[peerHeaderBytes+int(message[8]):])
}

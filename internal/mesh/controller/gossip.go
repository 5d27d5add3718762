package controller

import (
	"context"
	"slices"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

// PeerInfo describes a controller to its peers. Older releases omit DurableIndex and Leaving.
type PeerInfo struct {
	ID, At, Zone string
	Index        uint64
	DurableIndex uint64 `json:"Held,omitempty"` // slot of the newest decision on its disk
	Leaving      bool   `json:",omitempty"`     // it is shutting down
}

// otherControllers returns the addresses of all other known controllers.
func (c *Controller) otherControllers() (addresses []string) {
	state, _ := c.replicator.knownState()
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(at string) {
		if at != c.settings.InternalAddress() && !slices.Contains(addresses, at) {
			addresses = append(addresses, at)
		}
	}
	for _, m := range state.Core {
		add(m.Address)
	}
	for _, at := range c.seeds {
		add(at)
	}
	for at := range c.peers {
		add(at)
	}
	slices.Sort(addresses)
	return addresses
}

// peerStatuses returns the status of the other controllers as known from gossip. c.mu must be held.
func (c *Controller) peerStatuses() (statuses []consensus.PeerStatus) {
	for at, peer := range c.peers {
		status := consensus.PeerStatus{Member: consensus.Member{ID: peer.ID, Address: at, Zone: peer.Zone},
			SilentFor: -1, Leaving: peer.Leaving}
		if last, heard := c.lastHeard[at]; heard {
			status.SilentFor = c.now() - last
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// GossipMessage is sent from one controller to another.
type GossipMessage struct {
	Peer             PeerInfo             `json:"Hello"`
	Renewals         []membership.Renewal `json:"Beats"`
	Nodes            []membership.Record  `json:"Nests,omitempty"`
	Seq              uint64               // the sender's registry position after Nodes
	Controller       string               `json:"Comb"`
	ConfirmationAges map[string]int64     `json:"Ages,omitempty"` // nanoseconds since partners confirmed their exports
}

// GossipReply is the response to a GossipMessage.
type GossipReply struct {
	Peer  PeerInfo   `json:"Hello"`
	More  bool       // a renewal was for a node that is not known in that version; the sender must send all nodes
	Peers []PeerInfo `json:"Known"`
}

func (c *Controller) peerInfo() PeerInfo {
	state, _ := c.replicator.knownState()
	return PeerInfo{
		ID: c.replicator.identity(), At: c.settings.InternalAddress(), Zone: c.settings.Zone,
		Index: state.Index, DurableIndex: c.disk.durableIndex.Load(), Leaving: c.leaving.Load(),
	}
}

// gossip sends one other controller what has changed since the last message to it.
func (c *Controller) gossip(ctx context.Context, at string) {
	message := &GossipMessage{Peer: c.peerInfo(), Controller: c.incarnation, ConfirmationAges: c.confirmationAges()}
	c.mu.Lock()
	now := c.now()
	seq := c.sentSeq[at]
	if seq < c.registry.Seq() {
		records, _, _ := c.registry.ChangesSince(seq, now)
		for _, record := range records {
			if !record.Lost {
				message.Nodes = append(message.Nodes, record)
			}
		}
	}
	message.Seq, message.Renewals = c.registry.Seq(), c.registry.OwnRenewals(now)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply := &GossipReply{}
	if err := c.caller.Call(ctx, at, rpc.PathGossip, message, reply); err != nil {
		return
	}
	if state, _ := c.replicator.knownState(); reply.Peer.Index > state.Index {
		if response := c.replicator.send(ctx, at, consensus.Request{Kind: consensus.ReadState, Slot: state.Index}); response != nil &&
			response.Decided != nil {
			c.counts.Increment("copies_mended")
			c.replicator.learn(response.Decided)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentSeq[at] = message.Seq; reply.More {
		c.sentSeq[at] = 0
	}
	c.recordPeer(reply.Peer)
	for _, peer := range reply.Peers {
		if _, known := c.peers[peer.At]; !known && peer.At != c.settings.InternalAddress() {
			c.peers[peer.At] = peer
		}
	}
}

// recordPeer records contact with another controller. A peer that is new or has started to leave wakes the
// maintenance loop, so that it is admitted or replaced without waiting for the next interval. c.mu must be held.
func (c *Controller) recordPeer(peer PeerInfo) {
	if peer.At == c.settings.InternalAddress() || peer.At == "" {
		return
	}
	if previous := c.peers[peer.At]; peer.ID != previous.ID || peer.Leaving && !previous.Leaving {
		c.wakeLoop()
	}
	c.peers[peer.At], c.lastHeard[peer.At] = peer, c.now()
}

// wakeLoop starts the next iteration of the maintenance loop at once.
func (c *Controller) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// handleGossip merges another controller's message.
func (c *Controller) handleGossip(_ context.Context, message *GossipMessage) (*GossipReply, error) {
	c.mergeConfirmationAges(message.ConfirmationAges)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.recordPeer(message.Peer)
	changed := false
	for _, record := range message.Nodes {
		changed = c.registry.Observe(record.Node, record.Age, now, false) || changed
	}
	renewed, more := c.registry.Renew(message.Renewals, now)
	if changed || renewed {
		c.notifyWatchers()
	}
	reply := &GossipReply{Peer: c.peerInfo(), More: more}
	for at, peer := range c.peers {
		if now-c.lastHeard[at] < int64(5*time.Second) {
			reply.Peers = append(reply.Peers, peer)
		}
	}
	return reply, nil
}

package controller

import (
	"context"
	"slices"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

// PeerInfo is what a controller says of itself. Controllers of an earlier version leave the last two out.
type PeerInfo struct {
	ID, At, Zone string
	Index        uint64
	Held         uint64 `json:",omitempty"` // slot of the newest decision on its disk
	Leaving      bool   `json:",omitempty"` // it has been told to stop
}

// otherControllers are the addresses of all other controllers that are known of.
func (c *Controller) otherControllers() (all []string) {
	s, _ := c.replicator.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(at string) {
		if at != c.settings.InternalAddress() && !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	for _, m := range s.Core {
		add(m.At)
	}
	for _, at := range c.seeds {
		add(at)
	}
	for at := range c.peers {
		add(at)
	}
	slices.Sort(all)
	return all
}

// peerStatuses is the other controllers as they are heard of. Under mu.
func (c *Controller) peerStatuses() (all []consensus.PeerStatus) {
	for at, h := range c.peers {
		heard := consensus.PeerStatus{Member: consensus.Member{ID: h.ID, At: at, Zone: h.Zone}, SilentFor: -1, Leaving: h.Leaving}
		if last, is := c.lastHeard[at]; is {
			heard.SilentFor = c.now() - last
		}
		all = append(all, heard)
	}
	return all
}

// GossipMessage is what one controller tells another.
type GossipMessage struct {
	Peer       PeerInfo             `json:"Hello"`
	Renewals   []membership.Renewal `json:"Beats"`
	Nodes      []membership.Record  `json:"Nests,omitempty"`
	Seq        uint64               // of the teller's registry, that Nodes bring the hearer to
	Controller string               `json:"Comb"`
	Ages       map[string]int64     `json:",omitempty"` // since partners confirmed their words
}

// GossipReply is what comes back.
type GossipReply struct {
	Peer  PeerInfo   `json:"Hello"`
	More  bool       // a beat was of a node not known as told
	Peers []PeerInfo `json:"Known"`
}

func (c *Controller) peerInfo() PeerInfo {
	s, _ := c.replicator.state()
	return PeerInfo{
		ID: c.replicator.identity(), At: c.settings.InternalAddress(), Zone: c.settings.Zone,
		Index: s.Index, Held: c.disk.held.Load(), Leaving: c.leaving.Load(),
	}
}

// gossip tells one other controller what it has not been told yet.
func (c *Controller) gossip(ctx context.Context, at string) {
	m := &GossipMessage{Peer: c.peerInfo(), Controller: c.life, Ages: c.confirmationAges()}
	c.mu.Lock()
	now := c.now()
	seq := c.sent[at]
	if seq < c.registry.Seq() {
		nests, _, _ := c.registry.ChangesSince(seq, now)
		for _, n := range nests {
			if !n.Lost {
				m.Nodes = append(m.Nodes, n)
			}
		}
	}
	m.Seq, m.Renewals = c.registry.Seq(), c.registry.OwnRenewals(now)
	c.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, readTimeout)
	defer end()
	back := &GossipReply{}
	if err := c.caller.Call(ctx, at, rpc.PathGossip, m, back); err != nil {
		return
	}
	if s, _ := c.replicator.state(); back.Peer.Index > s.Index {
		if told := c.replicator.send(ctx, at, consensus.Request{Kind: consensus.ReadState, Slot: s.Index}); told != nil && told.Decided != nil {
			c.counts.Increment("copies_mended")
			c.replicator.learn(told.Decided)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent[at] = m.Seq; back.More {
		c.sent[at] = 0
	}
	c.recordPeer(back.Peer)
	for _, h := range back.Peers {
		if _, is := c.peers[h.At]; !is && h.At != c.settings.InternalAddress() {
			c.peers[h.At] = h
		}
	}
}

// recordPeer notes that another controller was heard of. One that leaves is replaced, and one that is new taken in, now and
// not at the next turn. Under mu.
func (c *Controller) recordPeer(h PeerInfo) {
	if h.At == c.settings.InternalAddress() || h.At == "" {
		return
	}
	if before := c.peers[h.At]; h.ID != before.ID || h.Leaving && !before.Leaving {
		c.wakeLoop()
	}
	c.peers[h.At], c.lastHeard[h.At] = h, c.now()
}

// wakeLoop has the next turn of the loop begin at once.
func (c *Controller) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// handleGossip takes what another controller tells.
func (c *Controller) handleGossip(_ context.Context, m *GossipMessage) (*GossipReply, error) {
	c.mergeConfirmationAges(m.Ages)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.recordPeer(m.Peer)
	news := false
	for _, n := range m.Nodes {
		news = c.registry.Observe(n.Node, n.Age, now, false) || news
	}
	renewed, more := c.registry.Renew(m.Renewals, now)
	if news || renewed {
		c.notifyWatchers()
	}
	back := &GossipReply{Peer: c.peerInfo(), More: more}
	for at, h := range c.peers {
		if now-c.lastHeard[at] < int64(5*time.Second) {
			back.Peers = append(back.Peers, h)
		}
	}
	return back, nil
}

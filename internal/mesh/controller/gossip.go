package controller

import (
	"context"
	"slices"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

// Hello is how processes of the core know one another.
type PeerInfo struct {
	ID, At, Zone string
	Index        uint64
}

// others are the addresses of all processes of the core that are known of.
func (c *Controller) otherControllers() (all []string) {
	s, _ := c.replicator.state()
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(at string) {
		if at != c.settings.Inner() && !slices.Contains(all, at) {
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

// heardOf is the other processes of the core as they are heard of. Under mu.
func (c *Controller) peerStatuses() (all []consensus.PeerStatus) {
	for at, h := range c.peers {
		heard := consensus.PeerStatus{Member: consensus.Member{ID: h.ID, At: at, Zone: h.Zone}, SilentFor: -1}
		if last, is := c.lastHeard[at]; is {
			heard.SilentFor = c.now() - last
		}
		all = append(all, heard)
	}
	return all
}

// Mingle is what processes of the core tell one another.
type GossipMessage struct {
	Peer       PeerInfo             `json:"Hello"`
	Renewals   []membership.Renewal `json:"Beats"`
	Nodes      []membership.Record  `json:"Nests,omitempty"`
	Seq        uint64               // of the teller's registry, that Nodes bring the hearer to
	Controller string               `json:"Comb"`
	Ages       map[string]int64     `json:",omitempty"` // since partners confirmed their words
}

// Mingled is what comes back.
type GossipReply struct {
	Peer  PeerInfo   `json:"Hello"`
	More  bool       // a beat was of a node not known as told
	Peers []PeerInfo `json:"Known"`
}

func (c *Controller) peerInfo() PeerInfo {
	s, _ := c.replicator.state()
	return PeerInfo{c.replicator.identity(), c.settings.Inner(), c.settings.District, s.Index}
}

// mingle tells one other process what it has not been told yet.
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
			c.counts.Add("copies_mended")
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
		if _, is := c.peers[h.At]; !is && h.At != c.settings.Inner() {
			c.peers[h.At] = h
		}
	}
}

// meet notes that a process of the core was heard of. Under mu.
func (c *Controller) recordPeer(h PeerInfo) {
	if h.At == c.settings.Inner() || h.At == "" {
		return
	}
	c.peers[h.At], c.lastHeard[h.At] = h, c.now()
}

// mingled takes what another process of the core tells.
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

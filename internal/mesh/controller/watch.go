package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/membership"
)

// notifyWatchers wakes who waits for news of the registry. Under mu.
func (c *Controller) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// handleWatch renews a balancer's lease and answers once there is news, or when its wait is over.
func (c *Controller) handleWatch(ctx context.Context, a *membership.WatchRequest) (*membership.WatchResponse, error) {
	c.counts.Increment("asks")
	c.observeNode(a.Node)
	until := time.NewTimer(time.Duration(a.MaxWait))
	defer until.Stop()
	for {
		s, decided := c.replicator.state()
		c.mu.Lock()
		told := c.changed
		there := a.Position.Controller == c.life && a.Position.Seq == c.registry.Seq()
		c.mu.Unlock()
		if !there || s.Index > a.Position.Index || !c.replicator.confirms(s) {
			return c.watchResponse(a), nil
		}
		select {
		case <-decided:
		case <-told:
			select { // what changes together is told together
			case <-time.After(15 * time.Millisecond):
			case <-ctx.Done():
			}
		case <-until.C:
			return c.watchResponse(a), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// observeNode takes a balancer's word about itself; where that is news, others hear of it now, not at the next turn.
func (c *Controller) observeNode(node membership.Node) {
	c.mu.Lock()
	news := c.registry.Observe(node, 0, c.now(), true)
	if news {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if !news {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// watchResponse is what a balancer has not got yet. Invariant: the lease is looked at last, and for the very state that is told:
// time may pass while the rest is put together, and a later state may be learned and confirmed meanwhile.
func (c *Controller) watchResponse(a *membership.WatchRequest) *membership.WatchResponse {
	s, _ := c.replicator.state()
	out := &membership.WatchResponse{Position: membership.Position{Controller: c.life, Index: s.Index, Edition: s.Edition}, Members: s.Members}
	out.Starting, out.Coordinator, out.Epoch = c.now() < membership.Lease, s.Coordinator.At, s.Epoch
	c.addConfiguration(out, a, s)
	imports := c.imports(s)
	if imports.No > 0 {
		c.recordImportsInUse(a.Node.Name, a.Position.Imports)
		out.ImportsNo, out.Ages = imports.No, c.confirmationAges()
		if a.Position.Imports != imports.No {
			out.Imports = s.Imports
		}
	}
	c.addRegistry(out, a)
	out.Current = c.replicator.confirms(s)
	out.Calm = out.Current && imports.No > 0
	return out
}

// addRegistry adds the nodes and controllers that a balancer has not been told of yet.
func (c *Controller) addRegistry(out *membership.WatchResponse, a *membership.WatchRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := a.Position.Seq
	if a.Position.Controller != c.life {
		seq = 0
	}
	out.Nodes, out.Gone, out.Whole = c.registry.ChangesSince(seq, c.now())
	out.Seq = c.registry.Seq()
	out.Controllers = []membership.ControllerAddress{{At: c.settings.InternalAddress(), Zone: c.settings.Zone}}
	for at, h := range c.peers {
		if c.now()-c.lastHeard[at] < int64(peerTimeout) && c.lastHeard[at] > 0 {
			out.Controllers = append(out.Controllers, membership.ControllerAddress{At: at, Zone: h.Zone})
		}
	}
	slices.SortFunc(out.Controllers[1:], func(a, b membership.ControllerAddress) int { return strings.Compare(a.At, b.At) })
}

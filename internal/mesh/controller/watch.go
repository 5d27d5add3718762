package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
)

// stir wakes who waits for news of the registry. Under mu.
func (c *Controller) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// asked renews a balancer's lease and answers once there is news, or when its wait is over.
func (c *Controller) handleWatch(ctx context.Context, a *membership.WatchRequest) (*membership.WatchResponse, error) {
	c.counts.Add("asks")
	c.mu.Lock()
	news := c.registry.Observe(a.Node, 0, c.now(), true)
	if news {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if news {
		select {
		case c.wake <- struct{}{}: // others hear of it now, not at the next turn
		default:
		}
	}
	until := time.NewTimer(time.Duration(a.MaxWait))
	defer until.Stop()
	for {
		s, decided := c.replicator.state()
		c.mu.Lock()
		told := c.changed
		there := a.Position.Controller == c.life && a.Position.Seq == c.registry.Seq()
		c.mu.Unlock()
		if !there || s.Index > a.Position.Index || !c.replicator.current() {
			return c.watchResponse(a, s), nil
		}
		select {
		case <-decided:
		case <-told:
			select { // what changes together is told together
			case <-time.After(15 * time.Millisecond):
			case <-ctx.Done():
			}
		case <-until.C:
			return c.watchResponse(a, s), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tidings is what a balancer has not got yet.
func (c *Controller) watchResponse(a *membership.WatchRequest, s *consensus.State) *membership.WatchResponse {
	out := &membership.WatchResponse{Position: membership.Position{Controller: c.life, Index: s.Index, Edition: s.Edition}, Current: c.replicator.current(), Members: s.Members}
	if imports := c.imports(s); imports.No > 0 {
		c.recordImportsInUse(a.Node.Name, a.Position.Imports)
		out.ImportsNo, out.Ages, out.Calm = imports.No, c.confirmationAges(), c.replicator.calm()
		if a.Position.Imports != imports.No {
			out.Imports = s.Imports
		}
	}
	out.Starting, out.Coordinator, out.Epoch = c.now() < membership.Lease, s.Coordinator.At, s.Epoch
	if s.Index > a.Position.Index && s.Edition != a.Position.Edition {
		out.Configuration = s.Configuration
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := a.Position.Seq
	if a.Position.Controller != c.life {
		seq = 0
	}
	out.Nodes, out.Gone, out.Whole = c.registry.ChangesSince(seq, c.now())
	out.Seq = c.registry.Seq()
	out.Controllers = []membership.ControllerAddress{{At: c.settings.Inner(), Zone: c.settings.District}}
	for at, h := range c.peers {
		if c.now()-c.lastHeard[at] < int64(peerTimeout) && c.lastHeard[at] > 0 {
			out.Controllers = append(out.Controllers, membership.ControllerAddress{At: at, Zone: h.Zone})
		}
	}
	slices.SortFunc(out.Controllers[1:], func(a, b membership.ControllerAddress) int { return strings.Compare(a.At, b.At) })
	return out
}

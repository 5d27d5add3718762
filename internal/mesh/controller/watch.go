package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/membership"
)

// notifyWatchers wakes all watches that wait for changes of the registry. c.mu must be held.
func (c *Controller) notifyWatchers() {
	close(c.registryChanged)
	c.registryChanged = make(chan struct{})
}

// handleWatch renews a proxy's lease and answers when something has changed or the maximum wait is over.
func (c *Controller) handleWatch(ctx context.Context, request *membership.WatchRequest) (*membership.WatchResponse, error) {
	c.counts.Increment("asks")
	c.observeNode(request.Node)
	timeout := time.NewTimer(time.Duration(request.MaxWait))
	defer timeout.Stop()
	for {
		state, decided := c.replicator.knownState()
		c.mu.Lock()
		changed := c.registryChanged
		upToDate := request.Position.Controller == c.incarnation && request.Position.Seq == c.registry.Seq()
		c.mu.Unlock()
		if !upToDate || state.Index > request.Position.Index || !c.replicator.isCurrent(state) {
			return c.buildWatchResponse(request), nil
		}
		select {
		case <-decided:
		case <-changed:
			select { // collects changes that occur together into one response
			case <-time.After(15 * time.Millisecond):
			case <-ctx.Done():
			}
		case <-timeout.C:
			return c.buildWatchResponse(request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// observeNode records a proxy's description of itself. If it has changed, the maintenance loop is woken to spread it
// at once.
func (c *Controller) observeNode(node membership.Node) {
	c.mu.Lock()
	changed := c.registry.Observe(node, 0, c.now(), true)
	if changed {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	if !changed {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// buildWatchResponse returns what a proxy has not received yet. The lease is checked last, and for the state in the
// response: building the rest takes time, in which a later state may be learned and confirmed.
func (c *Controller) buildWatchResponse(request *membership.WatchRequest) *membership.WatchResponse {
	state, _ := c.replicator.knownState()
	response := &membership.WatchResponse{Position: membership.Position{Controller: c.incarnation,
		Index: state.Index, Edition: state.Edition}, BalancerCount: state.BalancerCount}
	response.Starting, response.Coordinator, response.Epoch = c.now() < membership.LeaseDuration, state.Coordinator.Address, state.Epoch
	c.addConfiguration(response, request, state)
	importBook := c.importBook(state)
	if importBook.Revision > 0 {
		c.recordImportsInUse(request.Node.Name, request.Position.KnownImports)
		response.ImportsVersion, response.PartnerAges = importBook.Revision, c.confirmationAges()
		if request.Position.KnownImports != importBook.Revision {
			response.Imports = state.Imports
		}
	}
	c.addRegistry(response, request)
	response.Current = c.replicator.isCurrent(state)
	response.ImportsCurrent = response.Current && importBook.Revision > 0
	return response
}

// addRegistry adds the nodes and controllers that a proxy has not received yet.
func (c *Controller) addRegistry(response *membership.WatchResponse, a *membership.WatchRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := a.Position.Seq
	if a.Position.Controller != c.incarnation {
		seq = 0
	}
	response.Nodes, response.RemovedNodes, response.Complete = c.registry.ChangesSince(seq, c.now())
	response.Seq = c.registry.Seq()
	response.Controllers = []membership.ControllerAddress{{Address: c.settings.InternalAddress(), Zone: c.settings.Zone}}
	for address, peer := range c.peers {
		if c.now()-c.lastHeard[address] < int64(peerTimeout) && c.lastHeard[address] > 0 {
			response.Controllers = append(response.Controllers, membership.ControllerAddress{Address: address, Zone: peer.Zone})
		}
	}
	slices.SortFunc(response.Controllers[1:], func(a, b membership.ControllerAddress) int { return strings.Compare(a.Address, b.Address) })
}

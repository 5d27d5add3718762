package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

const (
	watchHold  = 600 * time.Millisecond // how long the controller holds a watch request open
	watchSlack = 300 * time.Millisecond // beyond watchHold, until another controller is asked
	// WatchTimeout is how long a silent controller is waited for, and the maximum age of a response that is applied as
	// current.
	WatchTimeout = watchHold + watchSlack

	maxLateTimeouts = 4 // watch timeouts within which at least one response has to be in time

	nextControllerDelay = 20 * time.Millisecond  // before another controller is asked
	nextRoundDelay      = 100 * time.Millisecond // the same once all known controllers have failed
)

var errLateResponse = errors.New("watch response is older than the watch timeout")

// watch renews this proxy's lease and receives updates, from one controller at a time. A controller is current while a
// majority has recently confirmed its state. A partitioned or paused controller does not respond or sends stale state;
// therefore a request is ended early unless its response has begun, and a controller that is not current is left.
func (p *Proxy) watch(ctx context.Context) {
	selector := newControllerSelector()
	var silence silenceTracker
	failed := 0 // in a row
	for ctx.Err() == nil {
		controllers := p.knownControllers()
		controller := selector.pick(controllers, p.now())
		askedAt := p.now()
		current, err := p.watchOnce(ctx, controller)
		silent := silence.observe(controller, askedAt, p.now(), err)
		switch {
		case errors.Is(err, rpc.ErrInterrupted) && !silent, errors.Is(err, errLateResponse) && !silent:
		case err != nil:
			p.counters.Increment("asks_failed")
			selector.failed(controller, p.now())
			failed++
		case !current:
			p.counters.Increment("asks_not_current")
			selector.notCurrent(controller, p.now())
			failed++
		default:
			selector.succeeded(controller)
			failed = 0
			continue
		}
		delay := nextControllerDelay
		if failed > len(controllers) {
			delay = nextRoundDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// silenceTracker measures how long the present controller has sent no usable response, across watch requests that were
// interrupted by a change of the local upstream. If each request were considered alone, changes more frequent than the
// watch timeout would keep all requests from failing.
type silenceTracker struct {
	controller string
	since      int64
}

// observe records the outcome of a request and reports whether its controller has been silent or late for too long.
func (s *silenceTracker) observe(controller string, askedAt, now int64, err error) bool {
	limit := int64(WatchTimeout)
	switch {
	case errors.Is(err, errLateResponse):
		limit *= maxLateTimeouts
	case !errors.Is(err, rpc.ErrInterrupted):
		s.controller = ""
		return err != nil
	}
	if s.controller != controller {
		s.controller, s.since = controller, askedAt
	}
	if now-s.since < limit {
		return false
	}
	s.controller = ""
	return true
}

// watchOnce sends one watch request to a controller and applies the response. The request is interrupted when there is
// a change to report.
func (p *Proxy) watchOnce(ctx context.Context, controller string) (current bool, err error) {
	request, changed := p.watchRequest()
	response, askedAt := &membership.WatchResponse{}, p.now()
	limits := rpc.StallPolicy{Timeout: WatchTimeout, Interrupt: changed}
	if err := p.caller.CallUntilStalled(ctx, limits, controller, rpc.PathWatch, request, response); err != nil {
		return false, err
	}
	late := p.now()-askedAt > int64(WatchTimeout) && !p.skipResponseAgeCheck
	wasCurrent := response.Current
	if late { // the controller may no longer be current, but its state may still be newer
		response.Current, response.ImportsCurrent = false, false
	}
	err = p.applyWatchResponse(response, askedAt)
	p.requestFetch(controller, response)
	if err == nil {
		p.applyPartnerUpdate(response, askedAt)
		if response.Current {
			p.keys.confirmed(askedAt)
		}
	}
	p.lastMembers.Store(int64(p.memberCount()))
	if late || !wasCurrent {
		p.recordLateList(response, wasCurrent)
	}
	if late {
		return false, errLateResponse
	}
	return response.Current, err
}

// watchRequest returns the next watch request and a channel that is closed when there is a change to report.
func (p *Proxy) watchRequest() (request *membership.WatchRequest, changed <-chan struct{}) {
	p.mu.Lock()
	request = &membership.WatchRequest{Position: p.position, MaxWait: int64(watchHold), AcceptsPacked: !p.unpackFailed.Load()}
	p.mu.Unlock()
	p.partnerPolicy.Lock()
	request.Position.KnownImports = p.partnerPolicy.imports.Revision
	p.partnerPolicy.Unlock()
	upstream, seq, changed := p.local.snapshot()
	request.Node = membership.Node{Name: p.settings.Node, Inbound: p.settings.InboundAddress, Zone: p.settings.Zone,
		Incarnation: p.instanceID, Seq: seq, Upstream: upstream, Leaving: p.draining.Load()}
	if request.Node.Leaving {
		request.Node.Seq += 1 << 32
	}
	return request, changed
}

// memberCount returns the number of proxies in the mesh.
func (p *Proxy) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members
}

// knownControllers returns the addresses of the controllers in the order of preference, those of this zone first.
func (p *Proxy) knownControllers() (addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add := func(at string) {
		if !slices.Contains(addresses, at) {
			addresses = append(addresses, at)
		}
	}
	for _, c := range p.controllers {
		if c.Zone == p.settings.Zone {
			add(c.Address)
		}
	}
	sameZone := len(addresses)
	for _, c := range p.controllers {
		add(c.Address)
	}
	for _, at := range p.seeds {
		add(at)
	}
	// The proxies of a zone without a controller are spread over the others. Sorting makes the order independent of the
	// controller that responded: each one lists itself first.
	if rest := addresses[sameZone:]; len(rest) > 1 {
		slices.Sort(rest)
		offset := len(p.settings.Node) + int(p.settings.Node[len(p.settings.Node)-1])
		rest = append(slices.Clone(rest[offset%len(rest):]), rest[:offset%len(rest)]...)
		addresses = append(addresses[:sameZone:sameZone], rest...)
	}
	return addresses
}

// applyWatchResponse applies a controller's response to a request sent at askedAt. A controller that is not current
// may be partitioned, and the nodes that it has lost may still be there; its response only adds to the known state.
func (p *Proxy) applyWatchResponse(response *membership.WatchResponse, askedAt int64) error {
	p.mu.Lock()
	changed := false
	if response.Current || p.skipOverlay {
		changed = p.replaceNodes(response, askedAt)
		p.controllers = response.Controllers
	} else {
		changed = p.overlayNodes(response, askedAt)
		p.addControllers(response.Controllers)
	}
	p.tokenCache.setCoordinator(response.Coordinator, response.Epoch)
	p.setMembers(response)
	if changed {
		p.applyNodeChanges()
	}
	p.mu.Unlock()
	return p.applyConfiguration(response)
}

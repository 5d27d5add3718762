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
	watchHold  = 600 * time.Millisecond // that a watch request hangs at the controller
	watchSlack = 300 * time.Millisecond // beyond it, until another controller is asked
	// WatchTimeout is how long a controller that says nothing is waited for, and how old a response may be that is acted on.
	WatchTimeout = watchHold + watchSlack

	maxLateTimeouts = 4 // watch timeouts within which some response has to come in time

	nextControllerDelay = 20 * time.Millisecond  // before another controller is asked
	nextRoundDelay      = 100 * time.Millisecond // the same, once all that are known have been asked in vain
)

var errLateResponse = errors.New("the response is older than the watch timeout")

// watch renews this balancer's lease and takes news, from one controller at a time. Invariant: one that is cut off or stands still
// answers nothing, or old news for new; so each request ends soon unless an answer is on its way, and who is not current is left.
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
			p.counters.Add("asks_failed")
			selector.failed(controller, p.now())
			failed++
		case !current:
			p.counters.Add("asks_not_current")
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

// silenceTracker tells since when the controller that is asked has given no answer of use, over requests that were given up for one
// another. Invariant: with news of the own upstream more often than a request may take, none of them would ever fail.
type silenceTracker struct {
	controller string
	since      int64
}

// observe takes the outcome of a request and reports whether its controller has been silent, or has answered late, for too long.
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

// watchOnce asks one controller, until there is something new to tell it.
func (p *Proxy) watchOnce(ctx context.Context, controller string) (current bool, err error) {
	request, changed := p.watchRequest()
	response, askedAt := &membership.WatchResponse{}, p.now()
	limits := rpc.Patience{Silence: WatchTimeout, Interrupt: changed}
	if err := p.caller.CallPatiently(ctx, limits, controller, rpc.PathWatch, request, response); err != nil {
		return false, err
	}
	late := p.now()-askedAt > int64(WatchTimeout) && !p.skipResponseAgeCheck
	wasCurrent := response.Current
	if late { // what the controller vouched for may be long over, but what it knows may still be news
		response.Current, response.Calm = false, false
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

// watchRequest is what a controller is told and asked, and a channel that ends when there is more to tell.
func (p *Proxy) watchRequest() (request *membership.WatchRequest, changed <-chan struct{}) {
	p.mu.Lock()
	request = &membership.WatchRequest{Position: p.position, MaxWait: int64(watchHold), Packed: !p.unpackFailed.Load()}
	p.mu.Unlock()
	p.partnerPolicy.Lock()
	request.Position.Imports = p.partnerPolicy.imports.No
	p.partnerPolicy.Unlock()
	upstream, seq, changed := p.local.snapshot()
	request.Node = membership.Node{Name: p.settings.Node, Inbound: p.settings.Inbound, District: p.settings.District, Life: p.instanceID, Seq: seq,
		Upstream: upstream, Leaving: p.draining.Load()}
	if request.Node.Leaving {
		request.Node.Seq += 1 << 32
	}
	return request, changed
}

func (p *Proxy) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members
}

// knownControllers are whom to ask, in the order of preference: those of this zone first.
func (p *Proxy) knownControllers() (addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add := func(at string) {
		if !slices.Contains(addresses, at) {
			addresses = append(addresses, at)
		}
	}
	for _, c := range p.controllers {
		if c.Zone == p.settings.District {
			add(c.At)
		}
	}
	sameZone := len(addresses)
	for _, c := range p.controllers {
		add(c.At)
	}
	for _, at := range p.seeds {
		add(at)
	}
	// Not all of a zone without a controller of its own ask the same one; and whom they ask does not depend on who told of whom: each
	// controller tells of itself first.
	if rest := addresses[sameZone:]; len(rest) > 1 {
		slices.Sort(rest)
		offset := len(p.settings.Node) + int(p.settings.Node[len(p.settings.Node)-1])
		rest = append(slices.Clone(rest[offset%len(rest):]), rest[:offset%len(rest)]...)
		addresses = append(addresses[:sameZone:sameZone], rest...)
	}
	return addresses
}

// applyWatchResponse takes a controller's news that was asked for at a time. One that is not current may be cut off: whoever it no
// longer hears of may be there, so that it adds to what is known, and takes nothing away.
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

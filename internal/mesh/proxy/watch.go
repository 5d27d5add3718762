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
	watchWait  = 600 * time.Millisecond // that a watch request hangs at the controller
	watchGrace = 300 * time.Millisecond // beyond it, until another controller is asked
	// WatchTimeout is how long a controller that says nothing is waited for, and how old a response may be that is acted on.
	WatchTimeout = watchWait + watchGrace

	lateInARow = 4 // watch timeouts within which some response has to come in time

	nextPause = 20 * time.Millisecond  // before another controller is asked
	roundWait = 100 * time.Millisecond // the same, once all that are known have been asked in vain
)

var errLateResponse = errors.New("the response is older than the watch timeout")

// watch renews this balancer's lease and takes news, from one controller at a time. Invariant: one that is cut off or stands still
// answers nothing, or old news for new; so each request ends soon unless an answer is on its way, and who is not current is left.
func (p *Proxy) watch(ctx context.Context) {
	choice := newControllerChoice()
	var silence silenceClock
	failed := 0 // in a row
	for ctx.Err() == nil {
		known := p.knownControllers()
		at := choice.pick(known, p.now())
		asked := p.now()
		current, err := p.watchOnce(ctx, at)
		silent := silence.observe(at, asked, p.now(), err)
		switch {
		case errors.Is(err, rpc.ErrInterrupted) && !silent, errors.Is(err, errLateResponse) && !silent:
		case err != nil:
			p.counts.Add("asks_failed")
			choice.failed(at, p.now())
			failed++
		case !current:
			p.counts.Add("asks_not_current")
			choice.notCurrent(at, p.now())
			failed++
		default:
			choice.succeeded(at)
			failed = 0
			continue
		}
		pause := nextPause
		if failed > len(known) {
			pause = roundWait
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// silenceClock tells since when the controller that is asked has given no answer of use, over requests that were given up for one
// another. Invariant: with news of the own upstream more often than a request may take, none of them would ever fail.
type silenceClock struct {
	at    string
	since int64
}

// observe takes the outcome of a request and reports whether its controller has been silent, or has answered late, for too long.
func (s *silenceClock) observe(at string, asked, now int64, err error) bool {
	patience := int64(WatchTimeout)
	switch {
	case errors.Is(err, errLateResponse):
		patience *= lateInARow
	case !errors.Is(err, rpc.ErrInterrupted):
		s.at = ""
		return err != nil
	}
	if s.at != at {
		s.at, s.since = at, asked
	}
	if now-s.since < patience {
		return false
	}
	s.at = ""
	return true
}

// watchOnce asks one controller, until there is something new to tell it.
func (p *Proxy) watchOnce(ctx context.Context, at string) (current bool, err error) {
	request, changed := p.watchRequest()
	response, asked := &membership.WatchResponse{}, p.now()
	patience := rpc.Patience{Silence: WatchTimeout, Interrupt: changed}
	if err := p.caller.CallPatiently(ctx, patience, at, rpc.PathWatch, request, response); err != nil {
		return false, err
	}
	late := p.now()-asked > int64(WatchTimeout) && !p.withoutResponseAge
	wasCurrent := response.Current
	if late { // what the controller vouched for may be long over, but what it knows may still be news
		response.Current, response.Calm = false, false
	}
	err = p.applyWatchResponse(response, asked)
	p.fetchFrom(at, response)
	if err == nil {
		p.hear(response, asked)
		if response.Current {
			p.keys.confirmed(asked)
		}
	}
	p.membersNow.Store(int64(p.memberCount()))
	if late || !wasCurrent {
		p.noteLate(response, wasCurrent)
	}
	if late {
		return false, errLateResponse
	}
	return response.Current, err
}

// watchRequest is what a controller is told and asked, and a channel that ends when there is more to tell.
func (p *Proxy) watchRequest() (request *membership.WatchRequest, changed <-chan struct{}) {
	p.mu.Lock()
	request = &membership.WatchRequest{Position: p.position, MaxWait: int64(watchWait), Packed: !p.unpackable.Load()}
	p.mu.Unlock()
	p.exports.Lock()
	request.Position.Imports = p.exports.book.Revision
	p.exports.Unlock()
	upstream, seq, changed := p.local.snapshot()
	request.Node = membership.Node{Name: p.settings.Node, Inbound: p.settings.Inbound, District: p.settings.District, Life: p.life, Seq: seq,
		Upstream: upstream, Leaving: p.leaving.Load()}
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
func (p *Proxy) knownControllers() (all []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add := func(at string) {
		if !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	for _, c := range p.controllers {
		if c.Zone == p.settings.District {
			add(c.At)
		}
	}
	local := len(all)
	for _, c := range p.controllers {
		add(c.At)
	}
	for _, at := range p.seeds {
		add(at)
	}
	// Not all of a zone without a controller of its own ask the same one; and whom they ask does not depend on who told of whom: each
	// controller tells of itself first.
	if rest := all[local:]; len(rest) > 1 {
		slices.Sort(rest)
		by := len(p.settings.Node) + int(p.settings.Node[len(p.settings.Node)-1])
		rest = append(slices.Clone(rest[by%len(rest):]), rest[:by%len(rest)]...)
		all = append(all[:local:local], rest...)
	}
	return all
}

// applyWatchResponse takes a controller's news that was asked for at a time. One that is not current may be cut off: whoever it no
// longer hears of may be there, so that it adds to what is known, and takes nothing away.
func (p *Proxy) applyWatchResponse(n *membership.WatchResponse, asked int64) error {
	p.mu.Lock()
	changed := false
	if n.Current || p.withoutOverlay {
		changed = p.replaceNodes(n, asked)
		p.controllers = n.Controllers
	} else {
		changed = p.overlayNodes(n, asked)
		p.addControllers(n.Controllers)
	}
	p.wallet.reigns(n.Coordinator, n.Epoch)
	p.setMembers(n)
	if changed {
		p.nodesChanged()
	}
	p.mu.Unlock()
	return p.applyConfiguration(n)
}

package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
)

// An acknowledged closing or sign-off of the upstream must also bind the next process of this proxy, which may receive
// earlier heartbeats late. It is therefore acknowledged only after the core has agreed on it, and a new process applies
// no heartbeat before it knows which instances have departed.

const (
	// departureTimeout is how long a closing or a sign-off may wait for the core. Upstreams wait a second for a response.
	departureTimeout = 850 * time.Millisecond
	// departureHedgeDelay is how long a silent controller is waited for before the next one is called as well.
	departureHedgeDelay = 150 * time.Millisecond
	// departureRetryDelay is the pause after all controllers have failed.
	departureRetryDelay = 50 * time.Millisecond
)

// recordDeparture returns once the core has agreed that an instance of the local upstream has departed.
func (p *Proxy) recordDeparture(ctx context.Context, id string) error {
	if p.local.isRecorded(id) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	_, err := p.callDepartures(ctx, &membership.DepartureRequest{Node: p.settings.Node, Instance: id})
	for err != nil && !errors.Is(err, rpc.ErrUnknownPath) && sleep(ctx, departureRetryDelay) {
		_, err = p.callDepartures(ctx, &membership.DepartureRequest{Node: p.settings.Node, Instance: id})
	}
	switch {
	case errors.Is(err, rpc.ErrUnknownPath): // all controllers are of the previous release
		p.counters.Increment("departures_unsupported")
		return nil
	case err != nil:
		p.counters.Increment("departures_failed")
		return err
	}
	p.counters.Increment("departures_recorded")
	p.local.setRecorded(id)
	return nil
}

// learnDepartures learns which instances of the local upstream departed before this process started. Heartbeats are
// held back until then.
func (p *Proxy) learnDepartures(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := p.fetchDepartures(ctx)
		switch {
		case err == nil:
			p.local.applyDepartures(response.Departed)
			return
		case errors.Is(err, rpc.ErrUnknownPath): // all controllers are of the previous release, which keeps no departures
			p.local.applyDepartures(nil)
			return
		}
		p.counters.Increment("departures_unknown")
		sleep(ctx, departureRetryDelay)
	}
}

// sleep pauses and reports whether ctx has not ended meanwhile.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Proxy) fetchDepartures(ctx context.Context) (*membership.DepartureResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	return p.callDepartures(ctx, &membership.DepartureRequest{Node: p.settings.Node})
}

// callDepartures calls the controllers until one has answered. The error is rpc.ErrUnknownPath only if no controller
// knows the call.
func (p *Proxy) callDepartures(ctx context.Context, request *membership.DepartureRequest) (*membership.DepartureResponse, error) {
	return callAny(ctx, p.departureControllers(), departureHedgeDelay, func(ctx context.Context, address string) (membership.DepartureResponse, error) {
		var response membership.DepartureResponse
		err := p.caller.Call(ctx, address, rpc.PathDepartures, request, &response)
		return response, err
	})
}

// departureControllers returns the addresses of the known controllers. The coordinator comes first, so that changes of
// several proxies are proposed together and not by rivals.
func (p *Proxy) departureControllers() []string {
	controllers := p.knownControllers()
	p.tokenCache.Lock()
	coordinator := p.tokenCache.coordinator
	p.tokenCache.Unlock()
	if coordinator == "" {
		return controllers
	}
	others := slices.DeleteFunc(controllers, func(address string) bool { return address == coordinator })
	return append([]string{coordinator}, others...)
}

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
	// departureRetryDelay is the pause of a starting proxy after no controller has returned the departures.
	departureRetryDelay = 50 * time.Millisecond
)

var errNoController = errors.New("no controller is known")

// recordDeparture returns once the core has agreed that an instance of the local upstream has departed.
func (p *Proxy) recordDeparture(ctx context.Context, id string) error {
	if p.local.isRecorded(id) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	_, err := p.callDepartures(ctx, &membership.DepartureRequest{Node: p.settings.Node, Instance: id})
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
		if err == nil || errors.Is(err, rpc.ErrUnknownPath) {
			p.local.applyDepartures(response.Departed, time.Now())
			return
		}
		p.counters.Increment("departures_unknown")
		select {
		case <-time.After(departureRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (p *Proxy) fetchDepartures(ctx context.Context) (*membership.DepartureResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	return p.callDepartures(ctx, &membership.DepartureRequest{Node: p.settings.Node})
}

// callDepartures calls the controllers one after the other until one has answered. The coordinator comes first, so that
// changes of several proxies are proposed together and not by rivals. The next controller is called when one fails, or
// as well when one is silent. The error is rpc.ErrUnknownPath only if no controller knows the call.
func (p *Proxy) callDepartures(ctx context.Context, request *membership.DepartureRequest) (*membership.DepartureResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		response *membership.DepartureResponse
		err      error
	}
	controllers := p.departureControllers()
	outcomes := make(chan outcome, len(controllers))
	next, running := 0, 0
	startNext := func() {
		if next == len(controllers) {
			return
		}
		address := controllers[next]
		next++
		running++
		go func() {
			response := &membership.DepartureResponse{}
			err := p.caller.Call(ctx, address, rpc.PathDepartures, request, response)
			outcomes <- outcome{response, err}
		}()
	}
	hedge := time.NewTicker(departureHedgeDelay)
	defer hedge.Stop()
	startNext()
	failure := errNoController
	if running > 0 {
		failure = nil
	}
	for running > 0 {
		select {
		case result := <-outcomes:
			if result.err == nil {
				return result.response, nil
			}
			if failure == nil || !errors.Is(result.err, rpc.ErrUnknownPath) {
				failure = result.err
			}
			running--
			startNext()
		case <-hedge.C:
			startNext()
		case <-ctx.Done():
			return &membership.DepartureResponse{}, ctx.Err()
		}
	}
	return &membership.DepartureResponse{}, failure
}

// departureControllers returns the addresses of the known controllers, the coordinator first.
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

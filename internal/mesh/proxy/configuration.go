package proxy

import (
	"context"
	"errors"
	"time"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
)

const (
	fetchSilenceTimeout = 900 * time.Millisecond // without a received byte, until another controller is asked
	fetchRetryDelay     = 50 * time.Millisecond  // before another controller is asked
)

// configurationFetch describes a configuration that was too long to come with a watch response and is fetched
// separately.
type configurationFetch struct {
	controller string        // a controller that has the configuration
	index      uint64        // of the newest announced state
	digest     string        // of that state's configuration
	trigger    chan struct{} // buffered for one value
}

// applyConfiguration activates a newer configuration. A process takes its first one only from a current controller:
// any other may be older than the one that this machine used before.
func (p *Proxy) applyConfiguration(response *membership.WatchResponse) error {
	position := p.currentPosition()
	acceptable := response.Current || p.view.Load() != nil
	switch {
	case response.Configuration != nil || response.Packed != nil:
		if !acceptable {
			return nil
		}
		return p.loadConfiguration(response)
	case response.Index <= position.Index:
	case response.Digest != "" && response.Digest != position.Digest && response.Edition != 0:
		if acceptable { // announced only: it is fetched separately, and the watch continues from this index
			p.advanceIndex(response.Index)
		}
	case response.Digest != "" || response.Edition == position.Edition || response.Edition == 0:
		p.advanceIndex(response.Index) // the state changed, but not its configuration
	}
	return nil
}

// loadConfiguration reads the configuration in a watch response. A delta to another configuration than the active one
// is ignored: the next response contains the right one.
func (p *Proxy) loadConfiguration(response *membership.WatchResponse) error {
	if response.Packed == nil {
		config, err := routing.Load(response.Configuration)
		if err != nil {
			return err
		}
		p.activateFrom(response.Index, config)
		return nil
	}
	held := p.activeConfiguration()
	if response.Packed.Base != "" && (held == nil || held.Digest() != response.Packed.Base) {
		return nil
	}
	return p.unpack(response.Index, response.Packed, held)
}

// unpack activates a packed configuration. If it can't be unpacked, later watches ask for a plain one.
func (p *Proxy) unpack(index uint64, packed *routing.Packed, held *routing.Configuration) error {
	config, err := packed.Unpack(held)
	p.unpackFailed.Store(err != nil)
	if err != nil {
		p.counters.Increment("configurations_not_unpacked")
		p.log.Error("configuration", "index", index, "unpacking", err)
		p.resetWatchIndex()
		return err
	}
	p.activateFrom(index, config)
	return nil
}

// resetWatchIndex makes the next watch return states again that are not active yet.
func (p *Proxy) resetWatchIndex() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = p.activeIndex()
}

// activeConfiguration returns the configuration in force, or nil.
func (p *Proxy) activeConfiguration() *routing.Configuration {
	if v := p.view.Load(); v != nil {
		return v.configuration
	}
	return nil
}

// currentPosition returns the position from which the next watch continues.
func (p *Proxy) currentPosition() membership.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// activateFrom activates the configuration of the state at index and moves the watch position there.
func (p *Proxy) activateFrom(index uint64, config *routing.Configuration) {
	p.activate(index, config)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
	if v := p.view.Load(); v.index == index {
		p.position.Edition, p.position.Digest = config.Edition, config.Digest()
	}
}

// advanceIndex moves the watch position forward to index.
func (p *Proxy) advanceIndex(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
}

// requestFetch schedules the fetch of a configuration that a controller has announced without its contents.
func (p *Proxy) requestFetch(controller string, response *membership.WatchResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.Digest == "" || response.Edition == 0 || response.Digest == p.position.Digest || response.Index < p.fetch.index {
		return
	}
	if v := p.view.Load(); v != nil && response.Index <= v.index || v == nil && !response.Current {
		return
	}
	p.fetch.controller, p.fetch.index, p.fetch.digest = controller, response.Index, response.Digest
	select {
	case p.fetch.trigger <- struct{}{}:
	default:
	}
}

// fetchSource returns the controller to fetch from, or "" if the configuration announced last is active.
func (p *Proxy) fetchSource() (controller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.view.Load(); v != nil && (v.index >= p.fetch.index || p.position.Digest == p.fetch.digest) {
		return ""
	}
	if p.unpackFailed.Load() { // the watch returns it as a plain document
		return ""
	}
	return p.fetch.controller
}

// fetchConfigurations fetches announced configurations concurrently with the watch, so that neither a long transfer
// delays the renewal of the lease nor the watch timeout ends the transfer. A fetch that has started is completed, and
// a newer version follows as a delta: with a restart for each newer version, no fetch would complete while versions
// follow one another quickly.
func (p *Proxy) fetchConfigurations(ctx context.Context) {
	for {
		select {
		case <-p.fetch.trigger:
		case <-ctx.Done():
			return
		}
		for tries := 0; ctx.Err() == nil; tries++ {
			controller := p.fetchSource()
			if controller == "" {
				break
			}
			if controllers := p.knownControllers(); tries > 0 && len(controllers) > 0 {
				controller = controllers[tries%len(controllers)]
			}
			previous := p.activeIndex()
			err := p.fetchConfiguration(ctx, controller)
			if err == nil && p.activeIndex() > previous {
				tries = -1
				continue
			}
			p.counters.Increment("configuration_fetches_failed")
			p.log.Debug("configuration", "from", controller, "err", err)
			select {
			case <-time.After(fetchRetryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// activeIndex returns the index of the state whose configuration is in force, or 0.
func (p *Proxy) activeIndex() uint64 {
	if v := p.view.Load(); v != nil {
		return v.index
	}
	return 0
}

var (
	errNotCurrent = errors.New("controller is not current: no first configuration taken from it")
	errEmptyChunk = errors.New("controller sent an empty configuration chunk")
)

// fetchConfiguration fetches the newest configuration of a controller in chunks and activates it.
func (p *Proxy) fetchConfiguration(ctx context.Context, controller string) error {
	held := p.activeConfiguration()
	request := &membership.ConfigurationRequest{}
	if held != nil {
		request.HeldDigest = held.Digest()
	}
	var first, last *membership.ConfigurationResponse
	var data []byte
	for last == nil || len(data) < first.Total {
		last = &membership.ConfigurationResponse{}
		if err := p.caller.CallUntilStalled(ctx, rpc.StallPolicy{Timeout: fetchSilenceTimeout}, controller, rpc.PathConfiguration, request, last); err != nil {
			return err
		}
		if last.Packed.Result == request.HeldDigest {
			return nil // the controller has nothing newer
		}
		if last.Offset == 0 { // the controller dropped the version under way and restarts with its newest
			first, data = last, nil
		}
		data = append(data, last.Packed.Data...)
		request.Result, request.Base, request.Offset = first.Packed.Result, first.Packed.Base, len(data)
		p.counters.Increment("configuration_pieces")
		if len(last.Packed.Data) == 0 {
			return errEmptyChunk
		}
	}
	if held == nil && !first.Current {
		return errNotCurrent
	}
	first.Packed.Data = data
	return p.unpack(first.Index, &first.Packed, held)
}

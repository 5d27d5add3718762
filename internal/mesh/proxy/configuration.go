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
	fetchSilenceTimeout = 900 * time.Millisecond // without a byte, until another controller is asked
	fetchRetryDelay     = 50 * time.Millisecond  // before that
)

// configurationFetch is what is known of a configuration that did not come with the answer to a watch, for being long.
type configurationFetch struct {
	controller string // controller that has it
	index      uint64 // of the newest state that was told of
	digest     string // of that state's configuration
	trigger    chan struct{}
}

// applyConfiguration puts a later configuration in force. The first one of a life is taken only from a controller that is current:
// any other may be older than what this machine went by before.
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
		if acceptable { // named alone: it is fetched apart, and the watch goes on from here
			p.advanceIndex(response.Index)
		}
	case response.Digest != "" || response.Edition == position.Edition || response.Edition == 0:
		p.advanceIndex(response.Index) // something else was agreed
	}
	return nil
}

// loadConfiguration reads the configuration that came with the answer to a watch. A change of another one than is in force by now
// changes nothing: the next answer has the right one.
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

// unpack puts a packed configuration in force. One that can't be unpacked is asked for as it is.
func (p *Proxy) unpack(index uint64, packed *routing.Packed, held *routing.Configuration) error {
	config, err := packed.Unpack(held)
	p.unpackFailed.Store(err != nil)
	if err != nil {
		p.counters.Add("configurations_not_unpacked")
		p.log.Error("configuration", "index", index, "unpacking", err)
		p.resetWatchIndex()
		return err
	}
	p.activateFrom(index, config)
	return nil
}

// resetWatchIndex has the next watch be told again of what is not in force.
func (p *Proxy) resetWatchIndex() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = p.activeIndex()
}

// activeConfiguration is the one in force, nil for none.
func (p *Proxy) activeConfiguration() *routing.Configuration {
	if v := p.view.Load(); v != nil {
		return v.configuration
	}
	return nil
}

func (p *Proxy) currentPosition() membership.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// activateFrom puts the configuration of a state in force.
func (p *Proxy) activateFrom(index uint64, config *routing.Configuration) {
	p.activate(index, config)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
	if v := p.view.Load(); v.index == index {
		p.position.Edition, p.position.Digest = config.Edition, config.Digest()
	}
}

func (p *Proxy) advanceIndex(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
}

// requestFetch has the configuration fetched that a controller has named and not given.
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

// fetchSource is the controller to fetch from, "" once what was named last is in force.
func (p *Proxy) fetchSource() (controller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.view.Load(); v != nil && (v.index >= p.fetch.index || p.position.Digest == p.fetch.digest) {
		return ""
	}
	if p.unpackFailed.Load() { // it comes with the watch, as it is
		return ""
	}
	return p.fetch.controller
}

// fetchConfigurations fetches what is named, beside the watch: a lease must not wait for a long answer, nor a long answer for the end
// that a watch has. What has begun is brought to its end, and what is newer by then comes as a change of it: begun anew for each newer
// version, nothing would ever arrive while they follow one another fast.
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
			p.counters.Add("configuration_fetches_failed")
			p.log.Debug("configuration", "from", controller, "err", err)
			select {
			case <-time.After(fetchRetryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// activeIndex is the state whose configuration is in force, 0 for none.
func (p *Proxy) activeIndex() uint64 {
	if v := p.view.Load(); v != nil {
		return v.index
	}
	return 0
}

var (
	errNotCurrent = errors.New("the controller is not current")
	errEmptyChunk = errors.New("an empty piece")
)

// fetchConfiguration fetches the newest configuration of a controller, piece by piece, and puts it in force.
func (p *Proxy) fetchConfiguration(ctx context.Context, controller string) error {
	held := p.activeConfiguration()
	request := &membership.ConfigurationRequest{}
	if held != nil {
		request.Held = held.Digest()
	}
	var first, last *membership.ConfigurationResponse
	var data []byte
	for last == nil || len(data) < first.Total {
		last = &membership.ConfigurationResponse{}
		if err := p.caller.CallPatiently(ctx, rpc.Patience{Silence: fetchSilenceTimeout}, controller, rpc.PathConfiguration, request, last); err != nil {
			return err
		}
		if last.Packed.Result == request.Held {
			return nil // there is nothing newer there
		}
		if last.Offset == 0 { // of the newest: what had begun is not kept there any more
			first, data = last, nil
		}
		data = append(data, last.Packed.Data...)
		request.Result, request.Base, request.Offset = first.Packed.Result, first.Packed.Base, len(data)
		p.counters.Add("configuration_pieces")
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

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
	fetchSilence = 900 * time.Millisecond // without a byte, until another controller is asked
	fetchPause   = 50 * time.Millisecond  // before that
)

// configurationFetch is what is known of a configuration that did not come with the answer to a watch, for being long.
type configurationFetch struct {
	at     string // controller that has it
	index  uint64 // of the newest state that was told of
	digest string // of that state's configuration
	begin  chan struct{}
}

// applyConfiguration puts a later configuration in force. The first one of a life is taken only from a controller that is current:
// any other may be older than what this machine went by before.
func (p *Proxy) applyConfiguration(n *membership.WatchResponse) error {
	position := p.currentPosition()
	mayTake := n.Current || p.view.Load() != nil
	switch {
	case n.Configuration != nil || n.Packed != nil:
		if !mayTake {
			return nil
		}
		return p.takeConfiguration(n)
	case n.Index <= position.Index:
	case n.Digest != "" && n.Digest != position.Digest && n.Edition != 0:
		if mayTake { // named alone: it is fetched apart, and the watch goes on from here
			p.setIndex(n.Index)
		}
	case n.Digest != "" || n.Edition == position.Edition || n.Edition == 0:
		p.setIndex(n.Index) // something else was agreed
	}
	return nil
}

// takeConfiguration reads the configuration that came with the answer to a watch. A change of another one than is in force by now
// changes nothing: the next answer has the right one.
func (p *Proxy) takeConfiguration(n *membership.WatchResponse) error {
	if n.Packed == nil {
		t, err := routing.Load(n.Configuration)
		if err != nil {
			return err
		}
		p.adoptFrom(n.Index, t)
		return nil
	}
	held := p.heldConfiguration()
	if n.Packed.Base != "" && (held == nil || held.Digest() != n.Packed.Base) {
		return nil
	}
	return p.unpack(n.Index, n.Packed, held)
}

// unpack puts a packed configuration in force. One that can't be unpacked is asked for as it is.
func (p *Proxy) unpack(index uint64, packed *routing.Packed, held *routing.Configuration) error {
	t, err := packed.Unpack(held)
	p.unpackable.Store(err != nil)
	if err != nil {
		p.counts.Add("configurations_not_unpacked")
		p.log.Error("configuration", "index", index, "unpacking", err)
		p.forgetTold()
		return err
	}
	p.adoptFrom(index, t)
	return nil
}

// forgetTold has the next watch be told again of what is not in force.
func (p *Proxy) forgetTold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = p.heldIndex()
}

// heldConfiguration is the one in force, nil for none.
func (p *Proxy) heldConfiguration() *routing.Configuration {
	if v := p.view.Load(); v != nil {
		return v.table
	}
	return nil
}

func (p *Proxy) currentPosition() membership.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position
}

// adoptFrom puts the configuration of a state in force.
func (p *Proxy) adoptFrom(index uint64, t *routing.Configuration) {
	p.adopt(index, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
	if v := p.view.Load(); v.index == index {
		p.position.Edition, p.position.Digest = t.Edition, t.Digest()
	}
}

func (p *Proxy) setIndex(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position.Index = max(p.position.Index, index)
}

// fetchFrom has the configuration fetched that a controller has named and not given.
func (p *Proxy) fetchFrom(at string, n *membership.WatchResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.Digest == "" || n.Edition == 0 || n.Digest == p.position.Digest || n.Index < p.fetch.index {
		return
	}
	if v := p.view.Load(); v != nil && n.Index <= v.index || v == nil && !n.Current {
		return
	}
	p.fetch.at, p.fetch.index, p.fetch.digest = at, n.Index, n.Digest
	select {
	case p.fetch.begin <- struct{}{}:
	default:
	}
}

// wanted is the controller to fetch from, "" once what was named last is in force.
func (p *Proxy) wanted() (at string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.view.Load(); v != nil && (v.index >= p.fetch.index || p.position.Digest == p.fetch.digest) {
		return ""
	}
	if p.unpackable.Load() { // it comes with the watch, as it is
		return ""
	}
	return p.fetch.at
}

// fetchConfigurations fetches what is named, beside the watch: a lease must not wait for a long answer, nor a long answer for the end
// that a watch has. What has begun is brought to its end, and what is newer by then comes as a change of it: begun anew for each newer
// version, nothing would ever arrive while they follow one another fast.
func (p *Proxy) fetchConfigurations(ctx context.Context) {
	for {
		select {
		case <-p.fetch.begin:
		case <-ctx.Done():
			return
		}
		for tried := 0; ctx.Err() == nil; tried++ {
			at := p.wanted()
			if at == "" {
				break
			}
			if known := p.knownControllers(); tried > 0 && len(known) > 0 {
				at = known[tried%len(known)]
			}
			before := p.heldIndex()
			err := p.fetchConfiguration(ctx, at)
			if err == nil && p.heldIndex() > before {
				tried = -1
				continue
			}
			p.counts.Add("configuration_fetches_failed")
			p.log.Debug("configuration", "from", at, "err", err)
			select {
			case <-time.After(fetchPause):
			case <-ctx.Done():
			}
		}
	}
}

// heldIndex is the state whose configuration is in force, 0 for none.
func (p *Proxy) heldIndex() uint64 {
	if v := p.view.Load(); v != nil {
		return v.index
	}
	return 0
}

var (
	errNotCurrent = errors.New("the controller is not current")
	errNoBytes    = errors.New("an empty piece")
)

// fetchConfiguration fetches the newest configuration of a controller, piece by piece, and puts it in force.
func (p *Proxy) fetchConfiguration(ctx context.Context, at string) error {
	held := p.heldConfiguration()
	request := &membership.ConfigurationRequest{}
	if held != nil {
		request.HeldDigest = held.Digest()
	}
	var first, last *membership.ConfigurationResponse
	var data []byte
	for last == nil || len(data) < first.Total {
		last = &membership.ConfigurationResponse{}
		if err := p.caller.CallPatiently(ctx, rpc.Patience{Silence: fetchSilence}, at, rpc.PathConfiguration, request, last); err != nil {
			return err
		}
		if last.Packed.Result == request.HeldDigest {
			return nil // there is nothing newer there
		}
		if last.Offset == 0 { // of the newest: what had begun is not kept there any more
			first, data = last, nil
		}
		data = append(data, last.Packed.Data...)
		request.Result, request.Base, request.Offset = first.Packed.Result, first.Packed.Base, len(data)
		p.counts.Add("configuration_pieces")
		if len(last.Packed.Data) == 0 {
			return errNoBytes
		}
	}
	if held == nil && !first.Current {
		return errNotCurrent
	}
	first.Packed.Data = data
	return p.unpack(first.Index, &first.Packed, held)
}

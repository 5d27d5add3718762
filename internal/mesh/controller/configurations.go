package controller

import (
	"bytes"
	"context"
	"sync"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
)

const (
	maxKeptVersions = 32      // versions kept as bases for deltas
	maxKeptBytes    = 4 << 20 // total size of kept documents, except for the newest two versions
	minKeptVersions = 2
	// maxInlineBytes is the size up to which a packed configuration is sent in the watch response. Proxies fetch longer
	// ones separately.
	maxInlineBytes = 8 << 10
	maxChunkBytes  = 32 << 10 // per response when a configuration is fetched
)

// configurationCache holds recently parsed versions of the configuration and their packed forms.
type configurationCache struct {
	mu       sync.Mutex
	versions []*configurationVersion // newest last
}

// configurationVersion is a parsed version of the configuration.
type configurationVersion struct {
	document      []byte // as stored in the agreed state
	configuration *routing.Configuration
	packed        map[string]*routing.Packed // by digest of the base version of a delta, "" for the complete document
}

// load returns the parsed version of a document and parses it only once. Versions are compared by content: after a
// restore, another configuration may have a version number that this controller has already parsed. onParsed is
// called with each version that was not cached.
func (c *configurationCache) load(document []byte, onParsed func(*routing.Configuration)) (*configurationVersion, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.versions) - 1; i >= 0; i-- {
		if bytes.Equal(c.versions[i].document, document) {
			return c.versions[i], nil
		}
	}
	var previous *routing.Configuration
	if n := len(c.versions); n > 0 {
		previous = c.versions[n-1].configuration
	}
	configuration, err := routing.LoadAfter(previous, document)
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "the stored configuration cannot be parsed: %v", err)
	}
	onParsed(configuration)
	version := &configurationVersion{document: document, configuration: configuration, packed: map[string]*routing.Packed{}}
	c.versions = append(c.versions, version)
	c.evict()
	return version, nil
}

// evict removes the oldest versions that exceed the limits. c.mu must be held.
func (c *configurationCache) evict() {
	total := 0
	for _, version := range c.versions {
		total += len(version.document)
	}
	for len(c.versions) > maxKeptVersions || len(c.versions) > minKeptVersions && total > maxKeptBytes {
		total -= len(c.versions[0].document)
		c.versions = c.versions[1:]
	}
}

// pack returns the encoding of a version for a receiver that holds another one: a delta if the held version is
// cached, the complete document otherwise.
func (c *configurationCache) pack(version *configurationVersion, heldDigest string) (*routing.Packed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := c.byDigest(heldDigest)
	baseDigest := ""
	if base != nil && base != version {
		baseDigest = heldDigest
	}
	if encoded := version.packed[baseDigest]; encoded != nil {
		return encoded, nil
	}
	var baseConfiguration *routing.Configuration
	if baseDigest != "" {
		baseConfiguration = base.configuration
	}
	encoded, err := routing.Pack(baseConfiguration, version.configuration)
	if err != nil {
		return nil, err
	}
	version.packed[baseDigest] = encoded
	return encoded, nil
}

// cachedPack returns an earlier result of pack, or nil if it has been evicted.
func (c *configurationCache) cachedPack(result, base string) *routing.Packed {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.byDigest(result)
	if version == nil {
		return nil
	}
	return version.packed[base]
}

// byDigest returns a cached version, or nil. c.mu must be held.
func (c *configurationCache) byDigest(digest string) *configurationVersion {
	for i := len(c.versions) - 1; i >= 0; i-- {
		if c.versions[i].configuration.Digest() == digest {
			return c.versions[i]
		}
	}
	return nil
}

// parsedConfiguration returns the configuration of a state, or nil if it has none.
func (c *Controller) parsedConfiguration(state *consensus.State) (*routing.Configuration, error) {
	version, err := c.versionOf(state)
	if version == nil || err != nil {
		return nil, err
	}
	return version.configuration, nil
}

func (c *Controller) versionOf(state *consensus.State) (*configurationVersion, error) {
	if state.Edition == 0 {
		return nil, nil
	}
	return c.configurations.load(state.Configuration, func(parsed *routing.Configuration) {
		if err := parsed.Ambiguities(); err != nil { // accepted by an older release; the next update has to correct it
			c.log.Warn("configuration", "edition", parsed.Edition, "ambiguous", err)
		}
	})
}

// addConfiguration adds the configuration of a state to a watch response if the proxy holds another one: unpacked for
// proxies that do not support packing, packed if it is short. Of a long one it adds only the digest, and the proxy
// fetches the rest separately, so that the renewal of its lease is not delayed.
func (c *Controller) addConfiguration(response *membership.WatchResponse, request *membership.WatchRequest, state *consensus.State) {
	if !request.AcceptsPacked {
		if state.Index > request.Position.Index && state.Edition != request.Position.Edition {
			response.Configuration = state.Configuration
		}
		return
	}
	version, err := c.versionOf(state)
	if version == nil || err != nil {
		return
	}
	response.Digest = version.configuration.Digest()
	if response.Digest == request.Position.Digest || state.Index <= request.Position.Index {
		return
	}
	packed, err := c.configurations.pack(version, request.Position.Digest)
	if err != nil {
		c.log.Error("configuration", "packing", err)
		return
	}
	if len(packed.Data) <= maxInlineBytes {
		response.Packed = packed
	}
}

// handleConfiguration returns a chunk of the configuration to a proxy: the next chunk of a fetch in progress while
// that version is cached, or else the first chunk of the newest version.
func (c *Controller) handleConfiguration(_ context.Context, request *membership.ConfigurationRequest) (*membership.ConfigurationResponse, error) {
	c.counts.Increment("configuration_pieces")
	if request.Offset > 0 {
		if packed := c.configurations.cachedPack(request.Result, request.Base); packed != nil && request.Offset < len(packed.Data) {
			return chunk(packed, request.Offset), nil
		}
	}
	state, _ := c.replicator.knownState()
	version, err := c.versionOf(state)
	if err != nil {
		return nil, err
	}
	if version == nil {
		return nil, apierror.New(apierror.NoConfiguration, "no configuration has been set")
	}
	response := &membership.ConfigurationResponse{Packed: routing.Packed{Result: version.configuration.Digest()}}
	if response.Packed.Result != request.HeldDigest {
		packed, err := c.configurations.pack(version, request.HeldDigest)
		if err != nil {
			return nil, err
		}
		response = chunk(packed, 0)
	}
	response.Index = state.Index
	response.Current = c.replicator.isCurrent(state)
	return response, nil
}

func chunk(packed *routing.Packed, offset int) *membership.ConfigurationResponse {
	end := min(offset+maxChunkBytes, len(packed.Data))
	return &membership.ConfigurationResponse{
		Packed: routing.Packed{Result: packed.Result, Base: packed.Base, Data: packed.Data[offset:end]},
		Offset: offset, Total: len(packed.Data)}
}

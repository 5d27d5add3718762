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
	keptVersions   = 32      // of the configuration, that changes are made from
	keptBytes      = 4 << 20 // of their documents together, beside the newest two
	leastVersions  = 2
	mostInline     = 8 << 10  // bytes of a configuration that go with the answer to a watch; longer ones are fetched apart
	mostPieceBytes = 32 << 10 // of one that is fetched
)

// configurationCache holds the versions of the configuration that were read of late, and what is told of them.
type configurationCache struct {
	mu       sync.Mutex
	versions []*configurationVersion // the newest last
}

// configurationVersion is one version.
type configurationVersion struct {
	document []byte // as agreed
	table    *routing.Configuration
	packed   map[string]*routing.Packed // by digest of the version that it changes, "" for whole
}

// version is what a state says, read once. Invariant: an edition does not identify it. After a restore another configuration may
// bear a number that this process has seen. onRead is called with one that was not known.
func (c *configurationCache) version(document []byte, onRead func(*routing.Configuration)) (*configurationVersion, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at := len(c.versions) - 1; at >= 0; at-- {
		if bytes.Equal(c.versions[at].document, document) {
			return c.versions[at], nil
		}
	}
	var before *routing.Configuration
	if n := len(c.versions); n > 0 {
		before = c.versions[n-1].table
	}
	table, err := routing.LoadAfter(before, document)
	if err != nil {
		return nil, apierror.New(apierror.OutcomeUnknown, "what is agreed can't be read: %v", err)
	}
	onRead(table)
	v := &configurationVersion{document: document, table: table, packed: map[string]*routing.Packed{}}
	c.versions = append(c.versions, v)
	c.forget()
	return v, nil
}

// forget drops the oldest versions. Under mu.
func (c *configurationCache) forget() {
	held := 0
	for _, v := range c.versions {
		held += len(v.document)
	}
	for len(c.versions) > keptVersions || len(c.versions) > leastVersions && held > keptBytes {
		held -= len(c.versions[0].document)
		c.versions = c.versions[1:]
	}
}

// pack is a version as it travels to who holds another one: as a change where that is known here, else whole.
func (c *configurationCache) pack(v *configurationVersion, held string) (*routing.Packed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := c.byDigest(held)
	from := ""
	if base != nil && base != v {
		from = held
	}
	if p := v.packed[from]; p != nil {
		return p, nil
	}
	var of *routing.Configuration
	if from != "" {
		of = base.table
	}
	p, err := routing.Pack(of, v.table)
	if err != nil {
		return nil, err
	}
	v.packed[from] = p
	return p, nil
}

// packedAs is what was packed before, nil if it is not kept any more.
func (c *configurationCache) packedAs(result, base string) *routing.Packed {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.byDigest(result)
	if v == nil {
		return nil
	}
	return v.packed[base]
}

// byDigest is a version that is kept, nil if it is not. Under mu.
func (c *configurationCache) byDigest(digest string) *configurationVersion {
	for at := len(c.versions) - 1; at >= 0; at-- {
		if c.versions[at].table.Digest() == digest {
			return c.versions[at]
		}
	}
	return nil
}

// parsedConfiguration is the configuration of a state, nil where there is none.
func (c *Controller) parsedConfiguration(s *consensus.State) (*routing.Configuration, error) {
	v, err := c.configurationOf(s)
	if v == nil || err != nil {
		return nil, err
	}
	return v.table, nil
}

func (c *Controller) configurationOf(s *consensus.State) (*configurationVersion, error) {
	if s.Edition == 0 {
		return nil, nil
	}
	return c.configurations.version(s.Configuration, func(read *routing.Configuration) {
		if err := read.Ambiguous(); err != nil { // agreed by a version that took it; the next change has to mend it
			c.log.Warn("configuration", "edition", read.Edition, "ambiguous", err)
		}
	})
}

// addConfiguration adds the configuration of a state to the answer to a balancer's watch, if it holds another one: as it is to those
// that can't take it packed, and packed if it is short. A long one is only named, and fetched apart: a lease must not wait for it.
func (c *Controller) addConfiguration(out *membership.WatchResponse, a *membership.WatchRequest, s *consensus.State) {
	if !a.Packed {
		if s.Index > a.Position.Index && s.Edition != a.Position.Edition {
			out.Configuration = s.Configuration
		}
		return
	}
	v, err := c.configurationOf(s)
	if v == nil || err != nil {
		return
	}
	out.Digest = v.table.Digest()
	if out.Digest == a.Position.Digest || s.Index <= a.Position.Index {
		return
	}
	p, err := c.configurations.pack(v, a.Position.Digest)
	if err != nil {
		c.log.Error("configuration", "packing", err)
		return
	}
	if len(p.Data) <= mostInline {
		out.Packed = p
	}
}

// handleConfiguration gives a balancer a piece of the configuration: the next one of what it has begun to fetch, while that is kept, or
// the first one of the newest.
func (c *Controller) handleConfiguration(_ context.Context, a *membership.ConfigurationRequest) (*membership.ConfigurationResponse, error) {
	c.counts.Increment("configuration_pieces")
	if a.Offset > 0 {
		if p := c.configurations.packedAs(a.Result, a.Base); p != nil && a.Offset < len(p.Data) {
			return piece(p, a.Offset), nil
		}
	}
	s, _ := c.replicator.state()
	v, err := c.configurationOf(s)
	if err != nil {
		return nil, err
	}
	if v == nil {
		return nil, apierror.New(apierror.NoConfiguration, "no configuration has been put")
	}
	out := &membership.ConfigurationResponse{Packed: routing.Packed{Result: v.table.Digest()}}
	if out.Packed.Result != a.Held {
		p, err := c.configurations.pack(v, a.Held)
		if err != nil {
			return nil, err
		}
		out = piece(p, 0)
	}
	out.Index = s.Index
	out.Current = c.replicator.confirms(s)
	return out, nil
}

func piece(p *routing.Packed, offset int) *membership.ConfigurationResponse {
	end := min(offset+mostPieceBytes, len(p.Data))
	return &membership.ConfigurationResponse{Packed: routing.Packed{Result: p.Result, Base: p.Base, Data: p.Data[offset:end]}, Offset: offset, Total: len(p.Data)}
}

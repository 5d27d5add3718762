package controller

import (
	"context"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/telemetry"
)

// StatusRequest is what an operator asks for; Newest has the core make sure that what is agreed is shown as it is now.
type StatusRequest struct{ Newest bool }

// Status is what one process of the core knows, each part with its age.
type Status struct {
	Node, At, Zone string
	Up             time.Duration
	Current        bool          // a majority has said of late that nothing was decided after State
	Confirmed      time.Duration // since that majority was asked
	State          *consensus.State
	Core           []CoreMember
	Nodes          []membership.Record `json:"Nests"`
	Quotas         []ratelimit.TenantStatus
	Counts         map[string]int64
	Ages           map[string]int64  `json:",omitempty"` // nanoseconds since partners confirmed their words
	Faults         map[string]string `json:",omitempty"` // what was wrong with a partner's last word, where this process asks
	Doors          map[string]uint64 `json:",omitempty"` // the word on partners that balancers act on, of those that ask this process
}

// CoreMember is a process of the core as this one hears of it.
type CoreMember struct {
	consensus.Member
	Votes bool
	Index uint64
	Quiet time.Duration // since it was heard of; below 0 for never
}

// status answers operators.
func (c *Controller) status(ctx context.Context, l *StatusRequest) (*Status, error) {
	s, _ := c.replicator.state()
	if l.Newest {
		within, end := context.WithTimeout(ctx, answerTimeout)
		defer end()
		var err error
		if s, err = c.replicator.newest(within, c.otherControllers); err != nil {
			return nil, err
		}
	}
	out := &Status{Node: c.settings.Node, At: c.settings.InternalAddress(), Zone: c.settings.Zone, Up: time.Since(c.epoch), State: s, Counts: map[string]int64{}}
	out.Ages = c.confirmationAges()
	c.gateway.Lock()
	out.Faults, out.Doors = maps.Clone(c.gateway.faults), maps.Clone(c.gateway.doors)
	c.gateway.Unlock()
	c.counts.Each(func(name string, n int64) { out.Counts[name] = n })
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Nodes, _, _ = c.registry.ChangesSince(0, c.now())
	for _, m := range s.Core {
		member := CoreMember{Member: m, Votes: true, Quiet: -1}
		if m.ID == c.replicator.identity() {
			member.Quiet, member.Index = 0, s.Index
		} else if h, is := c.peers[m.At]; is && h.ID == m.ID && c.lastHeard[m.At] > 0 {
			member.Quiet, member.Index = time.Duration(c.now()-c.lastHeard[m.At]), h.Index
		}
		out.Core = append(out.Core, member)
	}
	for at, h := range c.peers {
		if h.ID != "" && !s.HasMember(h.ID) && c.lastHeard[at] > 0 {
			out.Core = append(out.Core, CoreMember{Member: consensus.Member{ID: h.ID, At: at, Zone: h.Zone}, Index: h.Index, Quiet: time.Duration(c.now() - c.lastHeard[at])})
		}
	}
	slices.SortFunc(out.Core, func(a, b CoreMember) int { return strings.Compare(a.At, b.At) })
	c.bank.Lock()
	defer c.bank.Unlock()
	out.Current, out.Confirmed = c.replicator.confirms(s), c.replicator.sinceConfirmed(s) // last: what is above may have taken time
	if c.bank.is != nil && s.Coordinator.Life == c.life && out.Current {
		out.Quotas = c.bank.is.Status(c.now())
	}
	return out, nil
}

// figures are the counters as Prometheus reads them.
func (c *Controller) figures(w http.ResponseWriter, _ *http.Request) {
	s, _ := c.replicator.state()
	c.mu.Lock()
	known := c.registry.Known()
	c.mu.Unlock()
	current := 0
	if c.replicator.confirms(s) {
		current = 1
	}
	telemetry.WriteMetrics(w, "ottershift_comb", []telemetry.Gauge{
		{Name: "index", Help: "Slot of the newest decision known here.", Value: s.Index},
		{Name: "edition", Help: "Version of the timetable known here.", Value: s.Edition},
		{Name: "current", Help: "1 while a majority has confirmed the copy a moment ago.", Value: current},
		{Name: "core_members", Help: "Members of the core.", Value: len(s.Core)},
		{Name: "balancers", Help: "Balancers heard of.", Value: known},
		{Name: "goroutines", Help: "Goroutines.", Value: runtime.NumGoroutine()},
	}, c.counts)
}

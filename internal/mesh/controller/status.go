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

// StatusRequest is an operator's request for the status. With Newest, the state is read from a majority.
type StatusRequest struct{ Newest bool }

// Status is what one controller knows, with the age of each part.
type Status struct {
	Node, At, Zone   string
	Up               time.Duration
	Current          bool          // a majority has recently confirmed that nothing was decided after State
	Confirmed        time.Duration // time since that majority was asked
	State            *consensus.State
	Core             []CoreMember
	Nodes            []membership.Record `json:"Nests"`
	Quotas           []ratelimit.TenantStatus
	Counts           map[string]int64
	ConfirmationAges map[string]int64 `json:"Ages,omitempty"` // nanoseconds since partners confirmed their exports
	// Errors of the last polls, on the controller that polls partners.
	PartnerErrors map[string]string `json:"Faults,omitempty"`
	// The import version in use at each proxy that watches this controller.
	ImportsInUse map[string]uint64 `json:"Doors,omitempty"`
}

// CoreMember is a member of the core or another controller, as known to this one.
type CoreMember struct {
	consensus.Member
	Votes bool
	Index uint64
	Quiet time.Duration // since the last contact, negative if there was none
}

// status serves the status to operators.
func (c *Controller) status(ctx context.Context, request *StatusRequest) (*Status, error) {
	state, _ := c.replicator.knownState()
	if request.Newest {
		readContext, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		var err error
		if state, err = c.replicator.linearizableRead(readContext, c.otherControllers); err != nil {
			return nil, err
		}
	}
	report := &Status{Node: c.settings.Node, At: c.settings.InternalAddress(), Zone: c.settings.Zone,
		Up: time.Since(c.started), State: state, Counts: map[string]int64{}}
	report.ConfirmationAges = c.confirmationAges()
	c.partnerState.Lock()
	report.PartnerErrors, report.ImportsInUse = maps.Clone(c.partnerState.pollErrors), maps.Clone(c.partnerState.importsInUse)
	c.partnerState.Unlock()
	c.counts.Each(func(name string, n int64) { report.Counts[name] = n })
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Nodes, _, _ = c.registry.ChangesSince(0, c.now())
	for _, m := range state.Core {
		member := CoreMember{Member: m, Votes: true, Quiet: -1}
		if m.ID == c.replicator.identity() {
			member.Quiet, member.Index = 0, state.Index
		} else if peer, active := c.peers[m.Address]; active && peer.ID == m.ID && c.lastHeard[m.Address] > 0 {
			member.Quiet, member.Index = time.Duration(c.now()-c.lastHeard[m.Address]), peer.Index
		}
		report.Core = append(report.Core, member)
	}
	for at, peer := range c.peers {
		if peer.ID != "" && !state.HasMember(peer.ID) && c.lastHeard[at] > 0 {
			report.Core = append(report.Core, CoreMember{
				Member: consensus.Member{ID: peer.ID, Address: at, Zone: peer.Zone},
				Index:  peer.Index, Quiet: time.Duration(c.now() - c.lastHeard[at]),
			})
		}
	}
	slices.SortFunc(report.Core, func(a, b CoreMember) int { return strings.Compare(a.Address, b.Address) })
	c.tokenGranter.Lock()
	defer c.tokenGranter.Unlock()
	// Last, because the steps above may have taken time.
	report.Current, report.Confirmed = c.replicator.isCurrent(state), c.replicator.confirmationAge(state)
	if c.tokenGranter.active != nil && state.Coordinator.Incarnation == c.incarnation && report.Current {
		report.Quotas = c.tokenGranter.active.Status(c.now())
	}
	return report, nil
}

// writeMetrics writes the metrics in the Prometheus format.
func (c *Controller) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	state, _ := c.replicator.knownState()
	c.mu.Lock()
	known := c.registry.Len()
	c.mu.Unlock()
	current := 0
	if c.replicator.isCurrent(state) {
		current = 1
	}
	telemetry.WriteMetrics(w, "ottershift_comb", []telemetry.Gauge{
		{Name: "index", Help: "Slot of the newest decision known here.", Value: state.Index},
		{Name: "edition", Help: "Version of the timetable known here.", Value: state.Edition},
		{Name: "current", Help: "1 while a majority has confirmed the copy a moment ago.", Value: current},
		{Name: "core_members", Help: "Members of the core.", Value: len(state.Core)},
		{Name: "balancers", Help: "Balancers heard of.", Value: known},
		{Name: "goroutines", Help: "Goroutines.", Value: runtime.NumGoroutine()},
	}, c.counts)
}

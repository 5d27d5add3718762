// Package cluster joins processes into one cluster. It combines membership (package member), the transport between
// members (package link), replicated state, duties and the ledger. A process opens it if its settings have a [cluster]
// table.
package cluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"ottershift/internal/cluster/config"
	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/member"
)

// Options configure the membership of this process.
type Options struct {
	Settings       *config.Settings
	OpsAddress     string // address for operations, announced to the other members
	Build          string
	Seed           uint64
	Log            *slog.Logger
	Lab            *Lab // nil unless the test harness started the process
	Status         func() member.Status
	MembersChanged func() // called when the members may have changed; may be nil
}

// Cluster is the membership of this process in the cluster.
type Cluster struct {
	options   Options
	link      *link.Link
	gossip    *member.Gossip
	consensus *consensus    // nil if there are no voters
	ledger    *ledgerAccess // nil if there is no ledger

	done chan struct{}
	wg   sync.WaitGroup

	mu           sync.Mutex
	peerRoutes   map[uint32]*PeerRoute // by pool number
	peerMessages chan peerMessage
}

const viewTimeout = 700 * time.Millisecond // for collecting the views of other members

// Open joins the cluster.
func Open(o Options) (*Cluster, error) {
	c := &Cluster{options: o, peerRoutes: map[uint32]*PeerRoute{}, done: make(chan struct{})}
	var err error
	c.link, err = link.Listen(link.Options{
		Cluster: o.Settings.Name, Self: o.Settings.Self, Address: o.Settings.Address,
		AddressOverrides: o.Settings.AddressOverrides, Seed: o.Seed, Log: o.Log,
		HandleStream:   func(conn net.Conn) { c.gossip.HandleStream(conn) },
		HandleDatagram: c.handleDatagram,
		Resolve:        func(name string) (string, bool) { return c.gossip.Resolve(name) },
	})
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	var fs disk.FS
	guards := member.Guards{Refutation: true, Epochs: true}
	if o.Settings.Directory != "" {
		fs = c.directory(o.Settings.Directory)
	}
	if o.Lab != nil {
		guards.Refutation, guards.Epochs = !o.Lab.disables("refutation"), !o.Lab.disables("epochs")
	}
	c.gossip, err = member.New(member.Options{
		Settings: o.Settings, OpsAddress: o.OpsAddress, Build: o.Build, Seed: o.Seed, Guards: guards, FS: fs, Log: o.Log,
		Transport: c.link, Status: o.Status,
		StateChanged: func(member.Change) {
			if o.MembersChanged != nil {
				o.MembersChanged()
			}
		},
	})
	if err != nil {
		c.link.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if len(o.Settings.Voters) > 0 {
		if c.consensus, err = openConsensus(c); err != nil {
			c.link.Close()
			return nil, err
		}
	}
	c.link.Serve()
	if err := c.gossip.Start(); err != nil {
		c.link.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if c.consensus != nil {
		c.consensus.start()
	}
	if err := c.openLedger(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Settings returns the settings with which the cluster was opened.
func (c *Cluster) Settings() *config.Settings { return c.options.Settings }

// UpdateSettings applies those settings that can change while the process runs.
func (c *Cluster) UpdateSettings(settings *config.Settings) {
	c.link.SetAddressOverrides(settings.AddressOverrides)
	c.gossip.UpdateSettings(settings)
	if access := c.ledger; access != nil && settings.Ledger != nil {
		access.mu.Lock()
		updated := *settings.Ledger
		if currentPolicy := access.settings.Policy; currentPolicy == "local" || updated.Policy == "local" {
			updated.Policy = currentPolicy // a change from or to "local" takes effect at the next start
		}
		access.settings = &updated
		access.mu.Unlock()
	}
}

// SetDraining announces whether this process is draining, which means that it deliberately accepts no new clients.
func (c *Cluster) SetDraining(draining bool) {
	if cs := c.consensus; cs != nil {
		cs.mu.Lock()
		cs.draining = draining
		cs.mu.Unlock()
	}
	c.gossip.SetDraining(draining)
}

// BroadcastStatus sends the status of this process to the other members immediately.
func (c *Cluster) BroadcastStatus() { c.gossip.BroadcastStatus() }

// Close leaves the cluster deliberately and releases all resources.
func (c *Cluster) Close() {
	close(c.done)
	c.wg.Wait()
	if c.ledger != nil {
		c.ledger.close()
	}
	if c.consensus != nil {
		c.consensus.stop()
	}
	c.gossip.Leave()
	c.link.Close()
}

// handleDatagram passes a datagram from another member to its handler.
func (c *Cluster) handleDatagram(kind byte, payload []byte, from net.Addr) {
	switch kind {
	case link.KindGossip:
		c.gossip.HandlePacket(payload, from)
	case link.KindNotice:
		c.gossip.HandleNotice(payload)
	case link.KindPeers:
		c.handlePeerMessage(payload)
	}
}

// WriteMembers writes this process's view of all members as a line of JSON. With all set, it adds a line with the view of
// each live member.
func (c *Cluster) WriteMembers(to io.Writer, all bool) error {
	out := bufio.NewWriter(to)
	encoder := json.NewEncoder(out)
	own := c.gossip.View()
	if err := encoder.Encode(own); err != nil {
		return err
	}
	if all {
		for _, v := range c.gossip.CollectViews(viewTimeout) {
			if err := encoder.Encode(v); err != nil {
				return err
			}
		}
	}
	return out.Flush()
}

// WriteMetrics writes the cluster's metrics, one per line.
func (c *Cluster) WriteMetrics(to io.Writer) {
	states := map[string]int{}
	v := c.gossip.View()
	oldestHeard := int64(0)
	for _, m := range v.Members {
		states[m.State]++
		if m.State == member.Alive.String() {
			oldestHeard = max(oldestHeard, m.LastHeardMillis)
		}
	}
	for _, s := range []string{"alive", "dead", "left", "over"} {
		fmt.Fprintf(to, "cluster_members{state=\"%s\"} %d\n", s, states[s])
	}
	superseded := 0
	if v.SupersededBy != "" {
		superseded = 1
	}
	counters := &c.link.Counters
	for _, metric := range []struct {
		name string
		v    int64
	}{
		{"cluster_over", int64(superseded)}, {"cluster_oldest_word_ms", oldestHeard},
		{"cluster_bound_death_ms", c.options.Settings.DeathBound(states["alive"]).Milliseconds()},
		{"cluster_bound_return_ms", c.options.Settings.ConvergenceBound(states["alive"]).Milliseconds()},
		{"cluster_datagrams_in", counters.DatagramsIn.Load()}, {"cluster_datagrams_out", counters.DatagramsOut.Load()},
		{"cluster_datagram_bytes_in", counters.BytesIn.Load()}, {"cluster_datagram_bytes_out", counters.BytesOut.Load()},
		{"cluster_stream_bytes_in", counters.StreamBytesIn.Load()}, {"cluster_stream_bytes_out", counters.StreamBytesOut.Load()},
		{"cluster_spoilt", counters.Corrupt.Load()}, {"cluster_refused", counters.Refused.Load()}, {"cluster_dropped", counters.Dropped.Load()},
		{"cluster_connections", counters.Connections.Load()},
		{"cluster_calls", counters.Calls.Load()}, {"cluster_calls_answered", counters.Answered.Load()},
		{"cluster_calls_never_sent", counters.NotSent.Load()},
		{"cluster_calls_unknown", counters.OutcomeUnknown.Load()}, {"cluster_calls_refused_here", counters.Overloaded.Load()},
		{"cluster_served", counters.Served.Load()}, {"cluster_busy", counters.Rejected.Load()},
	} {
		fmt.Fprintf(to, "%s %d\n", metric.name, metric.v)
	}
	if c.ledger != nil {
		c.ledger.writeMetrics(to)
	}
}

// Package cluster is the wing in which processes are one fleet: who is there (member), how they speak (link). A process
// opens it where its settings have a [cluster] table; without one nothing of it runs.
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

// Options say how a process takes part.
type Options struct {
	Settings *config.Settings
	Ops      string // its second address, told to others
	Build    string
	Seed     uint64
	Log      *slog.Logger
	Lab      *Lab // nil but where the lab started the process
	Status   func() member.Status
	Changed  func() // the members may have changed; may be nil
}

// Cluster is this process among the others.
type Cluster struct {
	o      Options
	link   *link.Link
	gossip *member.Gossip
	agreed *agreed // nil without voters
	claims *claims // nil without a ledger

	end chan struct{}
	all sync.WaitGroup

	mu    sync.Mutex
	pools map[uint32]*Route // of peers, by pool
	said  chan said
}

const viewWithin = 700 * time.Millisecond // for another's view

// Open takes part.
func Open(o Options) (*Cluster, error) {
	c := &Cluster{o: o, pools: map[uint32]*Route{}, end: make(chan struct{})}
	var err error
	c.link, err = link.Listen(link.Options{
		Cluster: o.Settings.Name, Self: o.Settings.Self, Address: o.Settings.Address, AddressOverrides: o.Settings.Through, Seed: o.Seed, Log: o.Log,
		HandleStream:   func(conn net.Conn) { c.gossip.HandleStream(conn) },
		HandleDatagram: c.datagram,
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
		guards.Refutation, guards.Epochs = !o.Lab.without("refutation"), !o.Lab.without("epochs")
	}
	c.gossip, err = member.New(member.Options{
		Settings: o.Settings, OpsAddress: o.Ops, Build: o.Build, Seed: o.Seed, Guards: guards, FS: fs, Log: o.Log, Transport: c.link, Status: o.Status,
		StateChanged: func(member.Change) {
			if o.Changed != nil {
				o.Changed()
			}
		},
	})
	if err != nil {
		c.link.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if len(o.Settings.Voters) > 0 {
		if c.agreed, err = openAgreed(c); err != nil {
			c.link.Close()
			return nil, err
		}
	}
	c.link.Serve()
	if err := c.gossip.Start(); err != nil {
		c.link.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if c.agreed != nil {
		c.agreed.begin()
	}
	if err := c.openClaims(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Settings are what it goes by.
func (c *Cluster) Settings() *config.Settings { return c.o.Settings }

// Divert takes over the settings that change in service.
func (c *Cluster) Divert(s *config.Settings) {
	c.link.SetAddressOverrides(s.Through)
	c.gossip.UpdateSettings(s)
	if x := c.claims; x != nil && s.Ledger != nil {
		x.mu.Lock()
		now := *s.Ledger
		if was := x.told.Policy; was == "local" || now.Policy == "local" {
			now.Policy = was // takes effect at the next start
		}
		x.told = &now
		x.mu.Unlock()
	}
}

// Leaving tells the others whether this process takes no new clients, by intent.
func (c *Cluster) Leaving(yes bool) {
	if a := c.agreed; a != nil {
		a.mu.Lock()
		a.leaving = yes
		a.mu.Unlock()
	}
	c.gossip.SetDraining(yes)
}

// Tell has the others told at once how this process is.
func (c *Cluster) Tell() { c.gossip.BroadcastStatus() }

// Close leaves by intent and ends it.
func (c *Cluster) Close() {
	close(c.end)
	c.all.Wait()
	if c.claims != nil {
		c.claims.close()
	}
	if c.agreed != nil {
		c.agreed.stop()
	}
	c.gossip.Leave()
	c.link.Close()
}

func (c *Cluster) datagram(kind byte, payload []byte, from net.Addr) {
	switch kind {
	case link.KindGossip:
		c.gossip.HandlePacket(payload, from)
	case link.KindNotice:
		c.gossip.HandleNotice(payload)
	case link.KindPeers:
		c.told(payload)
	}
}

// Members writes what is held here of all members, as a line of JSON; all asks each living one as well.
func (c *Cluster) Members(to io.Writer, all bool) error {
	out := bufio.NewWriter(to)
	say := json.NewEncoder(out)
	own := c.gossip.View()
	if err := say.Encode(own); err != nil {
		return err
	}
	if all {
		for _, v := range c.gossip.CollectViews(viewWithin) {
			if err := say.Encode(v); err != nil {
				return err
			}
		}
	}
	return out.Flush()
}

// Figures writes the cluster's figures, a line each.
func (c *Cluster) Figures(to io.Writer) {
	states := map[string]int{}
	v := c.gossip.View()
	oldest := int64(0)
	for _, m := range v.Members {
		states[m.State]++
		if m.State == member.Alive.String() {
			oldest = max(oldest, m.LastHeardMillis)
		}
	}
	for _, s := range []string{"alive", "dead", "left", "over"} {
		fmt.Fprintf(to, "cluster_members{state=\"%s\"} %d\n", s, states[s])
	}
	over := 0
	if v.SupersededBy != "" {
		over = 1
	}
	n := &c.link.Counters
	for _, f := range []struct {
		name string
		v    int64
	}{
		{"cluster_over", int64(over)}, {"cluster_oldest_word_ms", oldest},
		{"cluster_bound_death_ms", c.o.Settings.Death(states["alive"]).Milliseconds()},
		{"cluster_bound_return_ms", c.o.Settings.Return(states["alive"]).Milliseconds()},
		{"cluster_datagrams_in", n.DatagramsIn.Load()}, {"cluster_datagrams_out", n.DatagramsOut.Load()},
		{"cluster_datagram_bytes_in", n.BytesIn.Load()}, {"cluster_datagram_bytes_out", n.BytesOut.Load()},
		{"cluster_stream_bytes_in", n.StreamBytesIn.Load()}, {"cluster_stream_bytes_out", n.StreamBytesOut.Load()},
		{"cluster_spoilt", n.Corrupt.Load()}, {"cluster_refused", n.Refused.Load()}, {"cluster_dropped", n.Dropped.Load()},
		{"cluster_connections", n.Connections.Load()},
		{"cluster_calls", n.Calls.Load()}, {"cluster_calls_answered", n.Answered.Load()}, {"cluster_calls_never_sent", n.NotSent.Load()},
		{"cluster_calls_unknown", n.OutcomeUnknown.Load()}, {"cluster_calls_refused_here", n.Overloaded.Load()},
		{"cluster_served", n.Served.Load()}, {"cluster_busy", n.Rejected.Load()},
	} {
		fmt.Fprintf(to, "%s %d\n", f.name, f.v)
	}
	if c.claims != nil {
		c.claims.figures(to)
	}
}

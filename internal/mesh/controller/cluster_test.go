package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// node is a controller of a test, with its machine's links, calls and disk.
type node struct {
	*Controller
	settings *settings.Settings
	disk     *testmesh.Disk
	filter   testmesh.Filter
	stop     context.CancelFunc
	done     chan struct{}
}

// cluster is controllers on loopback whose links and disks can be disturbed.
type cluster struct {
	t       *testing.T
	links   testmesh.Links
	nodes   []*node
	variant membershipVariant
	ctx     context.Context // until the cluster ends
	cancel  context.CancelFunc
	mu      sync.Mutex
	onHeld  func(proposer *node, s *consensus.State)
}

// newCluster starts the founders of a core that bears so many losses, and so many controllers beside them.
func newCluster(t *testing.T, tolerate, spares int, variant membershipVariant) *cluster {
	founders := min(2*tolerate+1, 3)
	plan, err := testmesh.Plan(founders+spares, 0, []string{"east"}, nil, t.TempDir())
	must.NoError(t, err)
	c := &cluster{t: t, variant: variant}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	t.Cleanup(c.end)
	for n, b := range plan.Controllers {
		b.FirstStart = n < founders
		b.Tolerate.Machines = tolerate
		c.nodes = append(c.nodes, &node{settings: b})
		c.start(n)
	}
	c.until("the core is there", func() bool { return len(c.state(0).Core) == 2*tolerate+1 && c.put(0, 1) })
	return c
}

// start begins a life of a controller, on what its disk holds.
func (c *cluster) start(n int) {
	node := c.nodes[n]
	must.NoError(c.t, os.MkdirAll(node.settings.DataDir, 0o755))
	made, err := Open(node.settings, slog.New(slog.NewTextHandler(c.output(), nil)).With("node", n),
		WithTransport(func(next http.RoundTripper) http.RoundTripper {
			return node.filter.Transport(c.links.Transport(node.settings.IP)(next))
		}),
		WithDisk(func(d Disk) Disk { node.disk = testmesh.NewDisk(d); return node.disk }),
		func(o *options) { o.variant = c.variant })
	must.NoError(c.t, err)
	made.membership.onHeld = func(s *consensus.State) {
		c.mu.Lock()
		onHeld := c.onHeld
		c.mu.Unlock()
		if onHeld != nil {
			onHeld(node, s)
		}
	}
	node.Controller, node.done = made, make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	done := node.done
	go func() {
		defer close(done)
		if err := made.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("controller %d: %v", n, err)
		}
	}()
}

func (c *cluster) output() io.Writer {
	if os.Getenv("OTTERSHIFT_LOGS") == "" {
		return io.Discard
	}
	return os.Stderr
}

// lose takes a machine away for good, with its disk.
func (c *cluster) lose(n int) {
	for _, other := range c.nodes {
		if other != c.nodes[n] {
			c.links.SetBoth(c.nodes[n].settings.IP, other.settings.IP, testmesh.LinkSilent)
		}
	}
}

// terminate tells a controller to stop and waits until it has.
func (c *cluster) terminate(n int) (took time.Duration) {
	started := time.Now()
	c.nodes[n].stop()
	<-c.nodes[n].done
	return time.Since(started)
}

// end stops all controllers; twice does no harm.
func (c *cluster) end() {
	c.cancel()
	var all sync.WaitGroup
	for _, node := range c.nodes {
		if node.disk != nil {
			node.disk.Resume()
		}
		node.Controller.membership.variant.leaveFirst = true
		all.Go(func() { node.stop(); <-node.done })
	}
	all.Wait()
}

func (c *cluster) state(n int) *consensus.State {
	s, _ := c.nodes[n].replicator.state()
	return s
}

// put has a controller agree on a version of the configuration, and reports whether it was acknowledged.
func (c *cluster) put(n int, edition int64) bool {
	ctx, end := context.WithTimeout(c.ctx, time.Second)
	defer end()
	_, err := c.nodes[n].replicator.change(ctx, c.nodes[n].otherControllers, func(s *consensus.State) (*consensus.State, error) {
		if s.Edition >= edition {
			return nil, nil
		}
		return s.WithConfiguration(edition, nil, fmt.Sprint("digest-", edition)), nil
	})
	return err == nil
}

// read is the newest version as a controller learns it from a majority, below 0 where there is none.
func (c *cluster) read(n int) int64 {
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	s, err := c.nodes[n].replicator.newest(ctx, c.nodes[n].otherControllers)
	if err != nil {
		return -1
	}
	return s.Edition
}

// votes reports whether a controller knows another one as a member.
func (c *cluster) votes(at, n int) bool {
	return c.state(at).HasMember(c.nodes[n].identity())
}

func (n *node) identity() string { return n.replicator.identity() }

// until waits for something that has to come about within a generous time.
func (c *cluster) until(what string, is func() bool) {
	c.t.Helper()
	must.True(c.t, c.within(12*time.Second, is), must.Sprint(what))
}

// within reports whether something comes about in time.
func (c *cluster) within(limit time.Duration, is func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}

// heldChange returns a channel of the changes of the core that were reported as held, by who reported them.
func (c *cluster) heldChange(at func(proposer *node, s *consensus.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onHeld = at
}

func (c *cluster) index(of *node) int { return slices.Index(c.nodes, of) }

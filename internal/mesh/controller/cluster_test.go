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

// node is a controller under test with its disk and with a filter for its outgoing calls.
type node struct {
	*Controller
	settings *settings.Settings
	disk     *testmesh.Disk
	filter   testmesh.Filter
	stop     context.CancelFunc
	done     chan struct{}
}

// cluster is a group of controllers on loopback addresses with fault injection for links and disks.
type cluster struct {
	t           *testing.T
	links       testmesh.Links
	nodes       []*node
	disabled    disabledGuards
	ctx         context.Context // lasts until the cluster is stopped
	cancel      context.CancelFunc
	mu          sync.Mutex
	onConfirmed func(proposer *node, s *consensus.State)
}

// newCluster starts the initial members of a core that tolerates the given number of losses, and spares.
func newCluster(t *testing.T, tolerate, spares int, disabled disabledGuards) *cluster {
	initialMembers := min(2*tolerate+1, 3)
	plan, err := testmesh.Plan(initialMembers+spares, 0, []string{"east"}, nil, t.TempDir())
	must.NoError(t, err)
	c := &cluster{t: t, disabled: disabled}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	t.Cleanup(c.stopAll)
	for n, cfg := range plan.Controllers {
		cfg.FirstStart = n < initialMembers
		cfg.Tolerate.Machines = tolerate
		c.nodes = append(c.nodes, &node{settings: cfg})
		c.start(n)
	}
	c.eventually("core is complete", func() bool { return len(c.knownState(0).Core) == 2*tolerate+1 && c.putVersion(0, 1) })
	return c
}

// start starts a controller with the present contents of its disk.
func (c *cluster) start(n int) {
	node := c.nodes[n]
	must.NoError(c.t, os.MkdirAll(node.settings.DataDir, 0o755))
	controller, err := Open(node.settings, slog.New(slog.NewTextHandler(c.output(), nil)).With("node", n),
		WithTransport(func(next http.RoundTripper) http.RoundTripper {
			return node.filter.Transport(c.links.Transport(node.settings.IP)(next))
		}),
		WithDisk(func(d Disk) Disk { node.disk = testmesh.NewDisk(d); return node.disk }),
		func(o *options) { o.disabled = c.disabled })
	must.NoError(c.t, err)
	controller.membership.onConfirmed = func(s *consensus.State) {
		c.mu.Lock()
		onConfirmed := c.onConfirmed
		c.mu.Unlock()
		if onConfirmed != nil {
			onConfirmed(node, s)
		}
	}
	node.Controller, node.done = controller, make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	done := node.done
	go func() {
		defer close(done)
		if err := controller.Run(ctx); err != nil && ctx.Err() == nil {
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

// loseMember simulates the permanent loss of a machine with its disk.
func (c *cluster) loseMember(n int) {
	for _, other := range c.nodes {
		if other != c.nodes[n] {
			c.links.SetBoth(c.nodes[n].settings.IP, other.settings.IP, testmesh.LinkDropsRequests)
		}
	}
}

// terminate stops a controller, waits until it has stopped, and returns how long that took.
func (c *cluster) terminate(n int) (took time.Duration) {
	started := time.Now()
	c.nodes[n].stop()
	<-c.nodes[n].done
	return time.Since(started)
}

// stopAll stops all controllers. It may be called repeatedly.
func (c *cluster) stopAll() {
	c.cancel()
	var stopped sync.WaitGroup
	for _, node := range c.nodes {
		if node.disk != nil {
			node.disk.Resume()
		}
		node.Controller.membership.disabled.handOverWait = true
		stopped.Go(func() { node.stop(); <-node.done })
	}
	stopped.Wait()
}

func (c *cluster) knownState(n int) *consensus.State {
	s, _ := c.nodes[n].replicator.knownState()
	return s
}

// putVersion sets a version of the configuration through a controller and reports whether that was acknowledged.
func (c *cluster) putVersion(n int, edition int64) bool {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	_, err := c.nodes[n].replicator.change(ctx, c.nodes[n].otherControllers,
		func(state *consensus.State) (*consensus.State, error) {
			if state.Edition >= edition {
				return nil, nil
			}
			return state.WithConfiguration(edition, nil, fmt.Sprint("digest-", edition)), nil
		})
	return err == nil
}

// readVersion returns the newest version by a linearizable read, or -1 if the read fails.
func (c *cluster) readVersion(n int) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	state, err := c.nodes[n].replicator.linearizableRead(ctx, c.nodes[n].otherControllers)
	if err != nil {
		return -1
	}
	return state.Edition
}

// isMember reports whether controller at knows controller n as a member.
func (c *cluster) isMember(at, n int) bool {
	return c.knownState(at).HasMember(c.nodes[n].identity())
}

func (n *node) identity() string { return n.replicator.identity() }

// eventually fails the test unless the condition becomes true within 12 s.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	must.True(c.t, c.eventuallyWithin(12*time.Second, condition), must.Sprint(description))
}

// eventuallyWithin reports whether the condition becomes true within the limit.
func (c *cluster) eventuallyWithin(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// setOnConfirmed sets the callback for membership changes that a controller reports as confirmed on disk.
func (c *cluster) setOnConfirmed(callback func(proposer *node, s *consensus.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onConfirmed = callback
}

func (c *cluster) indexOf(target *node) int { return slices.Index(c.nodes, target) }

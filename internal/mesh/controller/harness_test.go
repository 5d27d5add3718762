package controller_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
	"ottershift/internal/mesh/testmesh/history"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// node is one controller of a test.
type node struct {
	*controller.Controller
	settings *settings.Settings
	disk     *testmesh.Disk
	stop     func() // nil while it is stopped
}

// cluster is a group of controllers on loopback addresses in one process, with fault injection for links, single
// message types and disks.
type cluster struct {
	t        *testing.T
	links    testmesh.Links
	accepts  testmesh.Links // faults for Accept requests only
	learns   testmesh.Links // faults for Learn requests only
	nodes    []*node
	operator *testmesh.Operator
	variant  func(*controller.Controller)
	inMemory bool // nothing is written to real disks, whose latency would affect the test
}

// discardDisk is a disk that stores nothing.
type discardDisk struct{}

// Save implements controller.Disk.
func (discardDisk) Save(*consensus.Replica) error { return nil }

// startCluster starts three initial members. Further machines are stopped and have empty disks.
func startCluster(t *testing.T, machines int, variant func(*controller.Controller)) *cluster {
	c := planCluster(t, machines)
	c.variant = variant
	c.startInitialMembers()
	return c
}

// startInMemoryCluster starts three initial members whose disks have no latency.
func startInMemoryCluster(t *testing.T) *cluster {
	c := planCluster(t, 3)
	c.inMemory = true
	c.startInitialMembers()
	return c
}

func planCluster(t *testing.T, machines int) *cluster {
	plan, err := testmesh.Plan(machines, 0, []string{"east", "west"}, nil, t.TempDir())
	must.NoError(t, err)
	c := &cluster{t: t}
	var controls []string
	for _, cfg := range plan.Controllers {
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		c.nodes = append(c.nodes, &node{settings: cfg})
		controls = append(controls, cfg.ControlAddress)
	}
	c.operator = testmesh.NewOperator(&c.links, controls)
	t.Cleanup(func() {
		c.heal()
		for n := range c.nodes {
			c.stop(n)
		}
	})
	return c
}

func (c *cluster) startInitialMembers() {
	for n, node := range c.nodes {
		if n < 3 {
			c.start(n)
		} else {
			node.settings.FirstStart = false
		}
	}
}

func (c *cluster) host(n int) string { return c.nodes[n].settings.IP }

func (c *cluster) start(n int) {
	node := c.nodes[n]
	opened, err := controller.Open(node.settings, discardLogger,
		controller.WithTransport(func(next http.RoundTripper) http.RoundTripper {
			next = c.links.Transport(node.settings.IP)(next)
			next = c.accepts.TransportForKind(node.settings.IP, consensus.Accept)(next)
			return c.learns.TransportForKind(node.settings.IP, consensus.Learn)(next)
		}),
		controller.WithDisk(func(d controller.Disk) controller.Disk {
			if c.inMemory {
				d = discardDisk{}
			}
			node.disk = testmesh.NewDisk(d)
			return node.disk
		}))
	must.NoError(c.t, err)
	if c.variant != nil {
		c.variant(opened)
	}
	node.Controller = opened
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { opened.Run(ctx) })
	node.stop = func() {
		cancel()
		done.Wait()
	}
}

func (c *cluster) stop(n int) {
	node := c.nodes[n]
	if node.stop == nil {
		return
	}
	node.disk.Resume()
	node.stop()
	node.stop = nil
}

// stopAll stops all running controllers concurrently.
func (c *cluster) stopAll() {
	var stopped sync.WaitGroup
	for n := range c.nodes {
		stopped.Go(func() { c.stop(n) })
	}
	stopped.Wait()
}

// isolate drops all messages between one controller and the others. Operators still reach it.
func (c *cluster) isolate(n int) {
	for other := range c.nodes {
		if other != n {
			c.links.SetBoth(c.host(n), c.host(other), testmesh.LinkDropsRequests)
		}
	}
}

func (c *cluster) heal() {
	c.links.Clear()
	c.accepts.Clear()
	c.learns.Clear()
}

func (c *cluster) send(at int, order *testmesh.Update) testmesh.Response {
	return c.operator.Send(c.t.Context(), at, order)
}

func (c *cluster) eventually(condition func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

// mustPut sends an update until its outcome is clear, and requires it to be confirmed.
func (c *cluster) mustPut(at int, order *testmesh.Update) {
	c.t.Helper()
	var answer testmesh.Response
	c.eventually(func() bool {
		answer = c.send(at, order)
		return answer.Outcome() != testmesh.OutcomeUnknown
	})
	must.Eq(c.t, testmesh.OutcomeConfirmed, answer.Outcome(), must.Sprint(order.ID, answer.Text))
}

// mustConfirm repeats updates at each running controller and requires each of them to be confirmed.
func (c *cluster) mustConfirm(orders ...*testmesh.Update) {
	c.t.Helper()
	for at, node := range c.nodes {
		for _, order := range orders {
			if node.stop != nil {
				c.mustPut(at, order)
			}
		}
	}
}

// fetch reads the newest configuration through one controller.
func fetch(ctx context.Context, operator *testmesh.Operator, at int) (history.Configuration, bool) {
	answer := operator.Call(ctx, at, "timetable.fetch", "", "")
	switch answer.Status {
	case http.StatusNotFound:
		return history.Configuration{}, true
	case http.StatusOK:
	default:
		return history.Configuration{}, false
	}
	var document struct {
		Edition     int64
		PostOffices []struct{ Regulations []struct{ Name string } }
	}
	if err := json.Unmarshal([]byte(answer.Text), &document); err != nil {
		return history.Configuration{}, false
	}
	number, err := strconv.Atoi(strings.TrimPrefix(document.PostOffices[0].Regulations[0].Name, "order-"))
	return history.Configuration{Version: document.Edition, UpdateID: number}, err == nil
}

func (c *cluster) mustFetch(want history.Configuration) {
	c.t.Helper()
	for at, node := range c.nodes {
		if node.stop == nil {
			continue
		}
		var got history.Configuration
		c.eventually(func() (known bool) {
			got, known = fetch(c.t.Context(), c.operator, at)
			return known
		})
		must.Eq(c.t, want, got, must.Sprint("at ", at))
	}
}

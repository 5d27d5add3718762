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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// node is one control machine of a test.
type node struct {
	*controller.Controller
	settings *settings.Settings
	disk     *testmesh.Disk
	stop     func() // nil while it is down
}

// core is control machines on loopback, in one process of ours, with faults in their links, their messages and their disks.
type core struct {
	t        *testing.T
	links    testmesh.Links
	accepts  testmesh.Links // faults of accepts alone
	learns   testmesh.Links // and of learns
	nodes    []*node
	operator *testmesh.Operator
	variant  func(*controller.Controller)
	inMemory bool // nothing reaches the real disks, whose times are not the test's
}

// discard is a disk that keeps nothing.
type discard struct{}

// Save does nothing.
func (discard) Save(*consensus.Replica) error { return nil }

// startCore starts three founders; further machines of the plan are down and have empty disks.
func startCore(t *testing.T, machines int, variant func(*controller.Controller)) *core {
	c := planCore(t, machines)
	c.variant = variant
	c.startFounders()
	return c
}

// startCoreInMemory starts three founders whose disks take no time.
func startCoreInMemory(t *testing.T) *core {
	c := planCore(t, 3)
	c.inMemory = true
	c.startFounders()
	return c
}

func planCore(t *testing.T, machines int) *core {
	plan, err := testmesh.Plan(machines, 0, []string{"east", "west"}, nil, t.TempDir())
	must.NoError(t, err)
	c := &core{t: t}
	var controls []string
	for _, s := range plan.Controllers {
		must.NoError(t, os.MkdirAll(s.DataDir, 0o755))
		c.nodes = append(c.nodes, &node{settings: s})
		controls = append(controls, s.ControlAddress)
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

func (c *core) startFounders() {
	for n, b := range c.nodes {
		if n < 3 {
			c.start(n)
		} else {
			b.settings.FirstStart = false
		}
	}
}

func (c *core) host(n int) string { return c.nodes[n].settings.IP }

func (c *core) start(n int) {
	b := c.nodes[n]
	opened, err := controller.Open(b.settings, quiet,
		controller.WithTransport(func(next http.RoundTripper) http.RoundTripper {
			next = c.links.Transport(b.settings.IP)(next)
			next = c.accepts.TransportForKind(b.settings.IP, consensus.Accept)(next)
			return c.learns.TransportForKind(b.settings.IP, consensus.Learn)(next)
		}),
		controller.WithDisk(func(d controller.Disk) controller.Disk {
			if c.inMemory {
				d = discard{}
			}
			b.disk = testmesh.NewDisk(d)
			return b.disk
		}))
	must.NoError(c.t, err)
	if c.variant != nil {
		c.variant(opened)
	}
	b.Controller = opened
	ctx, end := context.WithCancel(context.Background())
	var over sync.WaitGroup
	over.Go(func() { opened.Run(ctx) })
	b.stop = func() {
		end()
		over.Wait()
	}
}

func (c *core) stop(n int) {
	b := c.nodes[n]
	if b.stop == nil {
		return
	}
	b.disk.Resume()
	b.stop()
	b.stop = nil
}

// stopAll stops all that run, at once.
func (c *core) stopAll() {
	var all sync.WaitGroup
	for n := range c.nodes {
		all.Go(func() { c.stop(n) })
	}
	all.Wait()
}

// cutOff silences the links between one control machine and all others; operators reach it still.
func (c *core) cutOff(n int) {
	for other := range c.nodes {
		if other != n {
			c.links.SetBoth(c.host(n), c.host(other), testmesh.LinkSilent)
		}
	}
}

func (c *core) heal() {
	c.links.Heal()
	c.accepts.Heal()
	c.learns.Heal()
}

func (c *core) send(at int, order *testmesh.Order) testmesh.Answer {
	return c.operator.Send(c.t.Context(), at, order)
}

func (c *core) until(what func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(what), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

// put sends an order until its outcome is clear, and wants it confirmed.
func (c *core) put(at int, order *testmesh.Order) {
	c.t.Helper()
	var last testmesh.Answer
	c.until(func() bool {
		last = c.send(at, order)
		return last.Outcome() != testmesh.OutcomeUnclear
	})
	must.Eq(c.t, testmesh.OutcomeConfirmed, last.Outcome(), must.Sprint(order.ID, last.Text))
}

// mustConfirm sends an order again to all machines that run, and wants it confirmed by each.
func (c *core) mustConfirm(orders ...*testmesh.Order) {
	c.t.Helper()
	for at, b := range c.nodes {
		for _, order := range orders {
			if b.stop != nil {
				c.put(at, order)
			}
		}
	}
}

// fetch reads the newest configuration at one machine.
func fetch(ctx context.Context, operator *testmesh.Operator, at int) (history.Version, bool) {
	answer := operator.Call(ctx, at, "timetable.fetch", "", "")
	switch answer.Status {
	case http.StatusNotFound:
		return history.Version{}, true
	case http.StatusOK:
	default:
		return history.Version{}, false
	}
	var document struct {
		Edition     int64
		PostOffices []struct{ Regulations []struct{ Name string } }
	}
	if err := json.Unmarshal([]byte(answer.Text), &document); err != nil {
		return history.Version{}, false
	}
	order, err := strconv.Atoi(strings.TrimPrefix(document.PostOffices[0].Regulations[0].Name, "order-"))
	return history.Version{Edition: document.Edition, Order: order}, err == nil
}

func (c *core) mustFetch(want history.Version) {
	c.t.Helper()
	for at, b := range c.nodes {
		if b.stop == nil {
			continue
		}
		var got history.Version
		c.until(func() (is bool) {
			got, is = fetch(c.t.Context(), c.operator, at)
			return is
		})
		must.Eq(c.t, want, got, must.Sprint("at ", at))
	}
}

package mesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/testmesh"
)

// catchUpLimit is the time within which a restarted member must hold the newest state: four periods of its main loop.
const catchUpLimit = 4 * time.Second

// catchUpCore is a core of three controllers with faulty links and disks.
type catchUpCore struct {
	t       *testing.T
	plan    *testmesh.Mesh
	links   testmesh.Links
	meter   testmesh.Meter
	caller  *rpc.Client
	disks   []*testmesh.Disk
	stops   []func()
	version atomic.Int64 // the newest acknowledged version
	routes  int
}

func startCatchUpCore(t *testing.T, routes int) *catchUpCore {
	plan, err := testmesh.Plan(3, 0, []string{"east", "west", "north"}, nil, t.TempDir())
	must.NoError(t, err)
	core := &catchUpCore{t: t, plan: plan, caller: rpc.NewClient(nil), disks: make([]*testmesh.Disk, 3), stops: make([]func(), 3), routes: routes}
	t.Cleanup(func() {
		core.caller.Close()
		for n := range core.stops {
			core.stop(n)
		}
	})
	for n := range plan.Controllers {
		core.start(n, 0)
		plan.Controllers[n].FirstStart = false // for later starts
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		status, _ := core.call(0, "timetable.replace", 0, catchUpConfiguration(routes, 1))
		return status == http.StatusOK
	}), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
	core.version.Store(1)
	return core
}

// start starts a member with a delay of its saves.
func (c *catchUpCore) start(n int, saveDelay time.Duration) {
	cfg := c.plan.Controllers[n]
	must.NoError(c.t, os.MkdirAll(cfg.DataDir, 0o755))
	faulty := c.links.Transport(cfg.IP)
	member, err := controller.Open(cfg, discardLogger,
		controller.WithTransport(func(next http.RoundTripper) http.RoundTripper { return c.meter.Transport(faulty(next)) }),
		controller.WithDisk(func(next controller.Disk) controller.Disk {
			c.disks[n] = testmesh.NewDisk(next)
			c.disks[n].SetDelay(saveDelay)
			return c.disks[n]
		}))
	must.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); member.Run(ctx) }()
	c.stops[n] = func() { cancel(); <-stopped; c.stops[n] = nil }
}

func (c *catchUpCore) stop(n int) {
	if c.stops[n] != nil {
		c.stops[n]()
	}
}

func (c *catchUpCore) call(member int, method string, ifMatch int64, body string) (int, string) {
	url := "http://" + c.plan.Controllers[member].ControlAddress + "/-/rpc?call=" + method
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	must.NoError(c.t, err)
	request.Header.Set("If-Match", strconv.FormatInt(ifMatch, 10))
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// change makes the given number of changes, one after another, at a member.
func (c *catchUpCore) change(member, changes int) {
	for range changes {
		version, start := c.version.Load(), time.Now()
		body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"a.example","Regulations":[%s]}]}}`, version+1, catchUpRoute(0, version+1))
		must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, text := c.call(member, "timetable.amend", version, body)
			if status >= 400 && status < 500 {
				c.t.Fatalf("timetable.amend: %d %s", status, text)
			}
			return status == http.StatusOK
		}), wait.Timeout(15*time.Second), wait.Gap(5*time.Millisecond)))
		c.version.Store(version + 1)
		if duration := time.Since(start); duration > time.Second {
			c.t.Logf("change %d took %v", version+1, duration)
		}
	}
}

func (c *catchUpCore) status(member int) (*controller.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status := &controller.Status{}
	err := c.caller.Call(ctx, c.plan.Controllers[member].InternalAddress(), rpc.PathStatus, &controller.StatusRequest{}, status)
	return status, err
}

func catchUpRoute(n int, version int64) string {
	return fmt.Sprintf(`{"Name":"route-%d","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/route-%d/"},`+
		`"Dispatch":{"Destination":"album","Deadline":"%dms","DeliveryTries":3}}`, n, n, 1000+version%1000)
}

func catchUpConfiguration(routes int, version int64) string {
	routesJSON := make([]string, routes)
	for n := range routesJSON {
		routesJSON[n] = catchUpRoute(n, version)
	}
	return fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},`+
		`"PostOffices":[{"Town":"a.example","Regulations":[%s]}],"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`,
		version, strings.Join(routesJSON, ","))
}

// dataDirMB returns the size of a member's data directory in MB.
func (c *catchUpCore) dataDirMB(n int) float64 {
	var bytes int64
	must.NoError(c.t, filepath.WalkDir(c.plan.Controllers[n].DataDir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // removed in the meantime
		}
		if info, err := entry.Info(); err == nil {
			bytes += info.Size()
		}
		return nil
	}))
	return float64(bytes) / 1e6
}

// observation is the responses of a member while it caught up.
type observation struct {
	duration       time.Duration // until it held the newest state and could vote
	refused        int           // reads that it rejected
	staleOnDisk    int           // times at which its own state was stale and not reported as current
	staleResponses []string      // responses with a stale state
}

// waitForCatchUp polls a member until it holds the newest state and votes with another ID than previousID. After
// partitionedFor it clears the faults of all links.
func (c *catchUpCore) waitForCatchUp(n int, partitionedFor time.Duration, previousID string) (o observation) {
	start := time.Now()
	self := c.plan.Controllers[n].IP
	partitioned := partitionedFor > 0
	for time.Since(start) < 20*time.Second {
		if partitioned && time.Since(start) > partitionedFor {
			c.links.Clear()
			partitioned = false
		}
		acknowledged := c.version.Load()
		status, err := c.status(n)
		switch {
		case err != nil:
		case status.State.Edition < acknowledged && status.Current:
			o.staleResponses = append(o.staleResponses, fmt.Sprintf("status current at version %d after version %d", status.State.Edition, acknowledged))
		case status.State.Edition < acknowledged:
			o.staleOnDisk++
		case status.Current && memberIDAt(status.State.Core, self) != previousID:
			o.duration = time.Since(start) - partitionedFor
			return o
		}
		statusCode, text := c.call(n, "timetable.fetch", 0, "")
		configuration := struct{ Edition int64 }{}
		switch {
		case statusCode != http.StatusOK:
			o.refused++
		case json.Unmarshal([]byte(text), &configuration) != nil || configuration.Edition < acknowledged:
			o.staleResponses = append(o.staleResponses, fmt.Sprintf("fetch returned version %d after version %d", configuration.Edition, acknowledged))
		}
	}
	c.t.Fatal("member has not caught up within 20 s")
	return o
}

// memberIDAt returns the ID of the voting member at an IP address, empty for none.
func memberIDAt(core []consensus.Member, ip string) string {
	for _, member := range core {
		if strings.HasPrefix(member.Address, ip+":") {
			return member.ID
		}
	}
	return ""
}

// partition drops all requests from and to a member.
func (c *catchUpCore) partition(n int) {
	for other, b := range c.plan.Controllers {
		if other != n {
			c.links.SetBoth(c.plan.Controllers[n].IP, b.IP, testmesh.LinkDropsRequests)
		}
	}
}

// A member that missed half of the changes restarts with its disk, an empty disk, an old copy of its disk, or a slow
// disk. It must hold the newest state within the limit and never serve a stale one. OTTERSHIFT_CHANGES sets the number
// of changes.
func TestRestartedMemberCatchesUp(t *testing.T) {
	changes := 4
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_CHANGES")); err == nil {
		changes = n
	}
	const member, emptyDisk, oldCopy = 2, "an empty disk", "an old copy of its disk"
	for _, routes := range []int{10, 4000} {
		core := startCatchUpCore(t, routes)
		dir := core.plan.Controllers[member].DataDir
		oldDir := t.TempDir()
		for _, restart := range []struct {
			name    string
			prepare func()
			slower  time.Duration
			cutFor  time.Duration
		}{
			{"its disk", func() {}, 0, 0},
			{"its disk, partitioned at first", func() { core.partition(member) }, 0, 700 * time.Millisecond},
			{emptyDisk, func() { must.NoError(t, os.RemoveAll(dir)) }, 0, 0},
			{oldCopy, func() {
				must.NoError(t, os.RemoveAll(dir))
				must.NoError(t, os.CopyFS(dir, os.DirFS(oldDir)))
			}, 0, 0},
			{"a disk 30 times slower", func() {}, 150 * time.Millisecond, 0},
		} {
			start := time.Now()
			core.change(0, changes/2)
			core.stop(member)
			core.change(0, changes-changes/2)
			perChange := time.Since(start) / time.Duration(changes)
			previousID := ""
			if restart.name == emptyDisk || restart.name == oldCopy { // it restarts with a new ID
				status, err := core.status(0)
				must.NoError(t, err)
				previousID = memberIDAt(status.State.Core, core.plan.Controllers[member].IP)
			}
			restart.prepare()
			core.start(member, restart.slower)
			observed := core.waitForCatchUp(member, restart.cutFor, previousID)
			t.Logf("%d routes, %d changes (%v each), restart with %s: caught up after %v; %d reads rejected, %d times stale on disk; %.1f MB on disk",
				routes, changes, perChange.Round(time.Microsecond), restart.name, observed.duration.Round(time.Millisecond), observed.refused, observed.staleOnDisk, core.dataDirMB(0))
			must.SliceEmpty(t, observed.staleResponses)
			must.Less(t, catchUpLimit, observed.duration)
			if restart.cutFor > 0 {
				must.Positive(t, observed.staleOnDisk) // else the test would not detect a replica that serves from its disk without a majority
				must.Positive(t, observed.refused)
			}
			if restart.name == emptyDisk {
				core.stop(member)
				must.NoError(t, os.CopyFS(oldDir, os.DirFS(dir)))
				core.start(member, 0)
			}
		}
		for n := range core.stops {
			core.stop(n)
		}
	}
}

// A change of the member count must send little in the core, however large the configuration is.
func TestMemberCountChangeSendsLittle(t *testing.T) {
	const rounds = 8
	for _, routes := range []int{10, 4000} {
		core := startCatchUpCore(t, routes)
		members := 0
		join := func() {
			members++
			node := membership.Node{Name: fmt.Sprintf("proxy-%d", members), Inbound: fmt.Sprintf("127.0.0.1:%d", 20000+members), Incarnation: "life", Seq: 1}
			must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error { // the response contains the whole configuration
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				return core.caller.Call(ctx, core.plan.Controllers[0].InternalAddress(), rpc.PathWatch, &membership.WatchRequest{Node: node}, &membership.WatchResponse{})
			}), wait.Timeout(10*time.Second), wait.Gap(2*time.Millisecond)))
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
				status, err := core.status(0)
				return err == nil && status.State.BalancerCount == members
			}), wait.Timeout(10*time.Second), wait.Gap(2*time.Millisecond)))
		}
		join() // the first change makes the core exchange what each member holds
		time.Sleep(300 * time.Millisecond)
		sentBefore, start := core.meter.Sent(), time.Now()
		for range rounds {
			join()
		}
		time.Sleep(100 * time.Millisecond) // the last decision is still being sent
		perChange := (core.meter.Sent() - sentBefore) / rounds
		status, err := core.status(0)
		must.NoError(t, err)
		t.Logf("%d routes, %d KB of configuration: %d bytes sent in the core for a change of the member count, including gossip; %v each; %d compact requests repeated in full",
			routes, len(status.State.Configuration)/1000, perChange, (time.Since(start) / rounds).Round(time.Millisecond), status.Counts["compact_lacking"])
		must.Less(t, 100_000, perChange)
		for n := range core.stops {
			core.stop(n)
		}
	}
}

// After the whole core has stopped and one member does not restart, the others serve what was acknowledged.
func TestCoreRestartsWithoutOneMember(t *testing.T) {
	core := startCatchUpCore(t, 10)
	for lost := range core.stops {
		core.change((lost+1)%3, 5)
		for n := range core.stops {
			core.stop(n)
		}
		start := time.Now()
		for n := range core.stops {
			if n != lost {
				core.start(n, 0)
			}
		}
		member := (lost + 1) % 3
		var text string
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			var status int
			status, text = core.call(member, "timetable.fetch", 0, "")
			return status == http.StatusOK
		}), wait.Timeout(catchUpLimit), wait.Gap(5*time.Millisecond)))
		readAfter := time.Since(start)
		must.StrContains(t, text, fmt.Sprintf(`"Edition":%d,`, core.version.Load()))
		core.change(member, 1)
		t.Logf("without member %d: first read after %v, first change after %v", lost, readAfter.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
		core.start(lost, 0)
		must.SliceEmpty(t, core.waitForCatchUp(lost, 0, "").staleResponses)
	}
}

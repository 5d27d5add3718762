// Package processes runs a mesh as real processes on loopback, with stand-in upstreams, clients and operators, and judges
// it only by what those observed. It is the part of meshsim that runs in real time.
package processes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// Error is the class of errors of runs that could not be carried out.
var Error = errs.Class("processes")

// Mesh describes the mesh to run, its load and its faults.
type Mesh struct {
	Programs             string // folder of the controller and proxy binaries
	OtherPrograms        string // folder of the binaries of another release, which every second process runs, "" for none
	Controllers, Proxies int
	Zones, Services      []string
	Length               time.Duration
	Rate                 float64       // requests per second of all clients together
	ProcessingTime       time.Duration // of an upstream for each request
	ResponseBytes        int           // size of a response body
	IdleRoutes           int           // routes in the configuration that receive no requests
	Faults               []Fault
	Seed                 uint64
	Credit               float64       // burst credit, in tokens, of the single tenant of all clients, 0 for no tenant
	TenantRate           float64       // rate limit of that tenant, in requests per second
	ExtraRate            float64       // largest rate above the limit while burst credit is spent
	PartnerInterval      time.Duration // between two changes of the partner's exports, 0 for no partner
	VersionInterval      time.Duration // between two probed configuration versions, 0 for a version every 3 s and no probes
	Soak                 bool          // faults are drawn, upstreams come and go, and amendments concern several hosts
	Logs                 string        // folder for the log files of the processes, "" for none
}

// Served counts the requests sent through one proxy, by result.
type Served struct {
	Node                                      string
	Requests, OK, Refused, Failed, NoResponse int
	Runs                                      int // requests run by the upstream of this proxy
}

// Outcome is the result of a run.
type Outcome struct {
	ByProxy         []Served
	Violations      []string
	Requests, OK    int
	Late            int // served after the latency target
	Restarts        int
	Changes         int
	AckDelays       []time.Duration // from the first attempt to send a change until its acknowledgement
	Bytes           int             // size of the configuration
	StartupTime     time.Duration   // from the start until all proxies serve
	Charged         float64         // tokens charged to the tenant
	MaxCharges      int             // requests that were served or may have had an effect, each charged at most once
	PartnerEffects  int             // writes that ran at the partner
	NarrowingDelays []time.Duration // from a narrowing of the exports until the mesh reported it complete
	Probes          int             // requests that probe for configuration versions
	InForceDelays   []time.Duration // from the acknowledgement of a version until it was seen in force, for each proxy
	AddedRoutes     servedCount     // probes of routes added by versions
	FirstRoutes     servedCount     // probes of routes of the first version
	Departures      int             // closings and sign-offs of upstreams
	DepartureDelays []time.Duration // until those that were acknowledged were
	Crashes         int             // ends of upstreams without a word
	RouteProbes     int             // requests that probe for the routes of several hosts
	KeptRequests    int             // requests on connections that clients use until they end
}

type process struct {
	name, program string
	settings      *settings.Settings
	settingsFile  string
	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when cmd has exited
	exitExpected  bool          // set while a fault has stopped the process
}

type harness struct {
	Mesh
	dir       string
	plan      *testmesh.Mesh
	processes []*process
	upstreams []*testmesh.Upstream
	partner   *testmesh.Partner // nil for none

	mu        sync.Mutex
	outcome   Outcome
	attempts  map[string]*attempt
	startedAt time.Time

	versionLog   versionLog
	lives        []*upstreamLife // of a soak, guarded by mu
	keptRequests []*keptRequest  // of a soak, guarded by mu
	routeLog     routeLog

	afterFaults [2]int // requests sent and served after the end of all faults
	exits       sync.WaitGroup
}

type attempt struct {
	onceOnly  bool
	status    int
	toPartner bool
	probe     bool // a probe for a configuration version, which configurationJudge judges
}

const latencyTarget = 300 * time.Millisecond

// Run runs the mesh and judges it. Progress is reported to logf.
func Run(ctx context.Context, m Mesh, logf func(format string, args ...any)) (*Outcome, error) {
	dir, err := os.MkdirTemp("", "meshsim")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	h := &harness{Mesh: m, dir: dir, attempts: map[string]*attempt{}}
	if h.plan, err = testmesh.Plan(m.Controllers, m.Proxies, m.Zones, m.Services, dir); err != nil {
		return nil, Error.Wrap(err)
	}
	defer h.stop()
	if m.PartnerInterval > 0 {
		if h.partner, err = testmesh.NewPartner("zuid", settings.Host(h.plan.Controllers[0].ControlAddress)+":0"); err != nil {
			return nil, Error.Wrap(err)
		}
		defer h.partner.Stop()
	}
	startedAt := time.Now()
	if err := h.startMesh(); err != nil {
		return nil, err
	}
	if err := h.installConfiguration(ctx); err != nil {
		return nil, err
	}
	h.outcome.StartupTime = time.Since(startedAt)
	logf("%d controllers and %d proxies serve after %v", m.Controllers, m.Proxies, h.outcome.StartupTime.Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, m.Length)
	defer cancel()
	var tasks sync.WaitGroup
	if m.Soak {
		h.Faults = append(h.Faults, drawFaults(&h.Mesh)...)
	}
	faultsEnd := time.Duration(0)
	for _, f := range h.Faults {
		faultsEnd = max(faultsEnd, f.At+f.For)
		tasks.Go(func() { h.injectFault(ctx, f, logf) })
	}
	h.startedAt = time.Now()
	h.startOperators(ctx, &tasks, logf)
	h.runClients(ctx, time.Now().Add(faultsEnd+4*time.Second))
	tasks.Wait()
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, Error.New("run interrupted")
	}
	h.judge()
	if m.VersionInterval > 0 {
		h.judgeVersions()
	}
	if m.Soak {
		h.judgeSoak()
	}
	return &h.outcome, nil
}

// startOperators starts the tasks that change configurations and exports, and what belongs to them.
func (h *harness) startOperators(ctx context.Context, tasks *sync.WaitGroup, logf func(string, ...any)) {
	switch {
	case h.Soak:
		h.startSoak(ctx, tasks, logf)
	case h.VersionInterval > 0:
		h.versionLog.recordSent(firstVersion, 0, 0)
		h.versionLog.recordAcknowledged(firstVersion, 1)
		tasks.Go(func() { h.changeVersions(ctx, logf) })
		for n := range h.plan.Proxies {
			tasks.Go(func() { h.probeVersions(ctx, n) })
		}
	default:
		tasks.Go(func() { h.changeConfiguration(ctx, logf) })
	}
	if h.partner != nil {
		tasks.Go(func() { h.changeExports(ctx, logf) })
	}
}

func (h *harness) reportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcome.Violations = append(h.outcome.Violations, fmt.Sprintf(format, args...))
}

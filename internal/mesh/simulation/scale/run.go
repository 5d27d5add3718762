package scale

import (
	"context"
	"fmt"
	"os"
	"time"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

const (
	controllerProgram = "controller"
	proxyProgram      = "proxy"

	startTimeout    = 20 * time.Second // for the core to accept a configuration, and for real proxies to serve
	completeTimeout = 45 * time.Second // for all proxies to know all others
	phaseInterval   = 2 * time.Second  // between phases
)

// Row holds the figures of one phase at one size.
type Row struct {
	Size  int
	Phase Phase
	Took  float64 // seconds measured

	Watch       Reading // of the hollow proxies
	Controllers RoleUsage
	Proxies     RoleUsage
	Hollow      RoleUsage // the process of the hollow proxies

	Told     *Delay   // from a change of an upstream until other proxies receive it
	Complete *float64 // seconds until all proxies know all others, or have the configuration; negative after a timeout
	Served   *Served

	Machine string // load averages at the end of the phase
}

// Delay holds quantiles in milliseconds.
type Delay struct {
	Count         int64
	P50, P99, Max float64
}

// Run measures all sizes of a plan with the programs of a folder. It calls onRow with each row as soon as it is measured. A
// report that is returned with an error holds the rows measured before the error.
func Run(ctx context.Context, p *Plan, folder, logs string, onRow func(Row)) (*Report, error) {
	report := &Report{Title: p.Title}
	var failed error
	for _, size := range p.Sizes {
		var rows []Row
		rows, failed = runSize(ctx, p, size, programs{folder: folder, logs: logs}, onRow)
		report.Rows = append(report.Rows, rows...)
		if failed != nil {
			break
		}
	}
	report.Slopes = fitAll(report.Rows)
	return report, failed
}

// sizeRun is the run at one size.
type sizeRun struct {
	plan     *Plan
	programs programs
	fleet    *fleet
	operator *operator
	load     *loadGenerator
	onRow    func(Row)

	controllers, proxies, self group
	settings                   []*settings.Settings // of the controllers
	upstreams                  []*testmesh.Upstream
	rows                       []Row
}

func runSize(ctx context.Context, p *Plan, size int, with programs, onRow func(Row)) (rows []Row, err error) {
	dir, err := os.MkdirTemp("", "meshsim-scale")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	with.work = dir
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &sizeRun{plan: p, programs: with, onRow: onRow}
	defer r.close()
	if err := r.open(ctx, size); err != nil {
		return nil, err
	}
	for _, phase := range Phases {
		if phase != PhaseStart && !p.plays(phase) {
			continue
		}
		if err := r.runPhase(ctx, phase); err != nil {
			return r.rows, err
		}
		if sleep(ctx, phaseInterval) != nil {
			return r.rows, Error.New("run interrupted")
		}
	}
	return r.rows, nil
}

// open starts controllers and real proxies and installs the initial configuration. It starts no hollow proxies.
func (r *sizeRun) open(ctx context.Context, size int) error {
	var services []string
	for n := range max(r.plan.Proxies, 1) {
		services = append(services, servedName(n))
	}
	mesh, err := testmesh.Plan(r.plan.Controllers, r.plan.Proxies, r.plan.zoneNames(), services, r.programs.work)
	if err != nil {
		return Error.Wrap(err)
	}
	var seeds, controls []string
	r.settings = mesh.Controllers
	for _, b := range mesh.Controllers {
		if err := os.MkdirAll(b.DataDir, 0o755); err != nil {
			return Error.Wrap(err)
		}
		controller, err := r.programs.start(controllerProgram, b)
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, controller)
		controls = append(controls, b.ControlAddress)
	}
	for _, seed := range mesh.Controllers[0].Seeds {
		seeds = append(seeds, settings.InternalAddressOf(settings.Host(seed), mesh.Controllers[0].FirstInternalPort))
	}
	r.fleet = newFleet(size, seeds, r.plan.zoneNames(), r.plan.Services)
	r.fleet.stableOrder = r.plan.StableOrder
	r.operator = &operator{addresses: controls}
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return Error.Wrap(err)
	}
	r.self = group{ownProcess(self)}
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := r.operator.replace(waitCtx, initialConfiguration(r.plan).withTenants(r.plan, size)); err != nil {
		return err
	}
	return r.openProxies(waitCtx, mesh.Proxies)
}

func (r *sizeRun) openProxies(ctx context.Context, proxies []*settings.Settings) error {
	var outbounds, upstreams []string
	for n, b := range proxies {
		proxy, err := r.programs.start(proxyProgram, b)
		if err != nil {
			return err
		}
		r.proxies = append(r.proxies, proxy)
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("served-%d", n), b.Service, b.UpstreamAddress, b.ControlAddress, 64, time.Duration(r.plan.Serve.Work), r.plan.Serve.Bytes)
		if err != nil {
			return Error.Wrap(err)
		}
		r.upstreams = append(r.upstreams, upstream)
		outbounds, upstreams = append(outbounds, b.OutboundAddress), append(upstreams, b.UpstreamAddress)
	}
	r.load = newLoadGenerator(outbounds, upstreams)
	return r.waitServed(ctx)
}

// waitServed waits until a complete round of requests is served.
func (r *sizeRun) waitServed(ctx context.Context) error {
	if len(r.proxies) < 2 {
		return nil
	}
	for {
		r.load.reset()
		for n := range int(wayCount) * len(r.proxies) {
			r.load.send(way(n%int(wayCount)), n)
		}
		if served := r.load.served(0); served.OK == served.Calls {
			return nil
		}
		if sleep(ctx, 100*time.Millisecond) != nil {
			return Error.New("the real proxies do not serve")
		}
	}
}

func (r *sizeRun) close() {
	if r.fleet != nil {
		r.fleet.disconnect(r.fleet.proxies)
	}
	for _, upstream := range r.upstreams {
		upstream.Stop()
	}
	r.proxies.kill()
	r.controllers.kill()
}

// runPhase runs a phase.
func (r *sizeRun) runPhase(ctx context.Context, phase Phase) error {
	switch phase {
	case PhaseStart:
		return r.measureRecovery(ctx, phase, 0, func() { r.fleet.start(ctx, r.fleet.proxies, true) })
	case PhaseRest:
		return r.measureSteady(ctx, phase, 0, nil)
	case PhaseChanges:
		return r.measureSteady(ctx, phase, 0, func(ctx context.Context) { r.fleet.changeUpstreams(ctx, r.plan.ChangesPerSecond) })
	case PhaseServe:
		for _, rate := range r.plan.Serve.Rates {
			if err := r.measureSteady(ctx, phase, rate, nil); err != nil {
				return err
			}
		}
		return nil
	case PhaseQuota:
		return r.measureSteady(ctx, phase, 0, r.useTokens)
	case PhaseConfiguration:
		return r.measureConfiguration(ctx)
	case PhaseZone:
		return r.measureReturn(ctx, phase, func(zone int) bool { return zone == 0 }, true)
	case PhaseRegion:
		return r.measureReturn(ctx, phase, func(zone int) bool { return zone%r.plan.Regions == 0 }, false)
	case PhaseController:
		return r.measureWithoutController(ctx)
	case PhaseRestart:
		return r.measureRecovery(ctx, phase, r.plan.Serve.Base, func() {
			r.fleet.disconnect(r.fleet.proxies)
			r.fleet.start(ctx, r.fleet.proxies, true)
		})
	}
	return nil
}

// useTokens has all hollow proxies take and request tokens until ctx ends.
func (r *sizeRun) useTokens(ctx context.Context) {
	for _, h := range r.fleet.proxies {
		go newHollowQuota(h, r.plan).run(ctx)
	}
}

// measureReturn disconnects the proxies of zones for a while and measures their simultaneous return, as new incarnations
// or with their previous state.
func (r *sizeRun) measureReturn(ctx context.Context, phase Phase, zones func(int) bool, newIncarnation bool) error {
	proxies := r.fleet.inZones(zones)
	r.fleet.disconnect(proxies)
	if sleep(ctx, time.Duration(r.plan.Silence)) != nil {
		return Error.New("run interrupted")
	}
	return r.measureRecovery(ctx, phase, r.plan.Serve.Base, func() { r.fleet.start(ctx, proxies, newIncarnation) })
}

// measureWithoutController kills the first controller, measures the remaining ones, which then carry all load, and
// restarts it.
func (r *sizeRun) measureWithoutController(ctx context.Context) error {
	remaining := r.controllers[1:]
	all := r.controllers
	r.controllers[0].kill()
	r.controllers = remaining
	err := r.measureSteady(ctx, PhaseController, r.plan.Serve.Base, nil)
	r.controllers = all
	if err != nil {
		return err
	}
	r.controllers[0], err = r.programs.start(controllerProgram, r.settings[0])
	return err
}

// measureRecovery measures the time after an event, and how long it takes until all proxies know all others.
func (r *sizeRun) measureRecovery(ctx context.Context, phase Phase, rate float64, event func()) error {
	measurement, err := r.begin(phase, rate)
	if err != nil {
		return err
	}
	loadCtx, cancel := context.WithTimeout(ctx, time.Duration(r.plan.Storm))
	defer cancel()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		r.load.run(loadCtx, rate)
	}()
	event()
	took, done := r.fleet.waitComplete(ctx, completeTimeout)
	complete := took.Seconds()
	if !done {
		complete = -1
	}
	<-loadCtx.Done()
	row, err := measurement.end()
	if err != nil {
		return err
	}
	<-loadDone
	row.Complete = &complete
	return r.addRow(row, rate)
}

// measureSteady measures a steady phase while background runs.
func (r *sizeRun) measureSteady(ctx context.Context, phase Phase, rate float64, background func(context.Context)) error {
	measurement, err := r.begin(phase, rate)
	if err != nil {
		return err
	}
	windowCtx, cancel := context.WithTimeout(ctx, time.Duration(r.plan.Window))
	defer cancel()
	if background != nil {
		go background(windowCtx)
	}
	r.load.run(windowCtx, rate)
	<-windowCtx.Done()
	row, err := measurement.end()
	if err != nil {
		return err
	}
	if phase == PhaseChanges {
		row.Told = delay(r)
	}
	return r.addRow(row, rate)
}

func delay(r *sizeRun) *Delay {
	h := r.fleet.takeDelays()
	return &Delay{Count: h.TotalCount(), P50: milliseconds(h, 50), P99: milliseconds(h, 99), Max: float64(h.Max()) / 1000}
}

// measureConfiguration changes the configuration once per second. Complete is the longest time until all proxies had a
// version.
func (r *sizeRun) measureConfiguration(ctx context.Context) error {
	longest := 0.0
	measurement, err := r.begin(PhaseConfiguration, 0)
	if err != nil {
		return err
	}
	for range r.plan.Configurations {
		startedAt := time.Now()
		changeCtx, cancel := context.WithTimeout(ctx, startTimeout)
		err := r.operator.amend(changeCtx)
		cancel()
		if err != nil {
			return err
		}
		if _, done := r.fleet.waitEdition(ctx, completeTimeout, r.operator.edition); !done {
			longest = -1
			break
		}
		longest = max(longest, time.Since(startedAt).Seconds())
		if sleep(ctx, time.Until(startedAt.Add(time.Second))) != nil {
			return Error.New("run interrupted")
		}
	}
	row, err := measurement.end()
	if err != nil {
		return err
	}
	row.Complete = &longest
	return r.addRow(row, 0)
}

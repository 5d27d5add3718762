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

	startPatience    = 20 * time.Second // for the core, and for real proxies to serve
	completePatience = 45 * time.Second // for all balancers to know all
	settlePause      = 2 * time.Second  // between phases
)

// Row is the figures of one phase at one size.
type Row struct {
	Size  int
	Phase Phase
	Took  float64 // seconds measured

	Watch       Reading // of hollow balancers
	Controllers RoleUsage
	Proxies     RoleUsage
	Hollow      RoleUsage // the process that holds them

	Told     *Delay   // from a change of an upstream until others have heard of it
	Complete *float64 // seconds until all balancers know all others, or have the configuration; below 0: not in time
	Served   *Served

	Machine string // load averages as the phase ended
}

// Delay is quantiles in milliseconds.
type Delay struct {
	Count         int64
	P50, P99, Max float64
}

// Run plays all sizes of a plan with the programs of a folder; tell is told each row as it comes. A report that comes with an
// error holds what was measured before it.
func Run(ctx context.Context, p *Plan, folder, logs string, tell func(Row)) (*Report, error) {
	report := &Report{Title: p.Title}
	var failed error
	for _, size := range p.Sizes {
		var rows []Row
		rows, failed = runSize(ctx, p, size, programs{folder: folder, logs: logs}, tell)
		report.Rows = append(report.Rows, rows...)
		if failed != nil {
			break
		}
	}
	report.Slopes = fitAll(report.Rows)
	return report, failed
}

// pass is the play of one size.
type pass struct {
	plan     *Plan
	programs programs
	fleet    *fleet
	operator *operator
	load     *load
	tell     func(Row)

	controllers, proxies, self group
	settings                   []*settings.Settings // of the controllers
	upstreams                  []*testmesh.Upstream
	rows                       []Row
}

func runSize(ctx context.Context, p *Plan, size int, with programs, tell func(Row)) (rows []Row, err error) {
	dir, err := os.MkdirTemp("", "meshsim-scale")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	with.work = dir
	ctx, end := context.WithCancel(ctx)
	defer end()
	x := &pass{plan: p, programs: with, tell: tell}
	defer x.close()
	if err := x.open(ctx, size); err != nil {
		return nil, err
	}
	for _, phase := range Phases {
		if phase != PhaseStart && !p.plays(phase) {
			continue
		}
		if err := x.play(ctx, phase); err != nil {
			return x.rows, err
		}
		if pause(ctx, settlePause) != nil {
			return x.rows, Error.New("stopped")
		}
	}
	return x.rows, nil
}

// open starts controllers and real proxies and puts the first configuration; no hollow balancer runs yet.
func (x *pass) open(ctx context.Context, size int) error {
	var services []string
	for n := range max(x.plan.Proxies, 1) {
		services = append(services, servedName(n))
	}
	mesh, err := testmesh.Plan(x.plan.Controllers, x.plan.Proxies, x.plan.zoneNames(), services, x.programs.work)
	if err != nil {
		return Error.Wrap(err)
	}
	var seeds, controls []string
	x.settings = mesh.Controllers
	for _, b := range mesh.Controllers {
		if err := os.MkdirAll(b.DataDir, 0o755); err != nil {
			return Error.Wrap(err)
		}
		controller, err := x.programs.start(controllerProgram, b)
		if err != nil {
			return err
		}
		x.controllers = append(x.controllers, controller)
		controls = append(controls, b.ControlAddress)
	}
	for _, seed := range mesh.Controllers[0].Seeds {
		seeds = append(seeds, settings.InternalAddressOf(settings.Host(seed), mesh.Controllers[0].FirstInternalPort))
	}
	x.fleet = newFleet(size, seeds, x.plan.zoneNames(), x.plan.Services)
	x.fleet.stableOrder = x.plan.StableOrder
	x.operator = &operator{controls: controls}
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		return Error.Wrap(err)
	}
	x.self = group{ownProcess(self)}
	patience, end := context.WithTimeout(ctx, startPatience)
	defer end()
	if _, err := x.operator.put(patience, firstTimetable(x.plan).withTenants(x.plan, size)); err != nil {
		return err
	}
	return x.openProxies(patience, mesh.Proxies)
}

func (x *pass) openProxies(ctx context.Context, proxies []*settings.Settings) error {
	var outbounds, upstreams []string
	for n, b := range proxies {
		proxy, err := x.programs.start(proxyProgram, b)
		if err != nil {
			return err
		}
		x.proxies = append(x.proxies, proxy)
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("served-%d", n), b.Service, b.UpstreamAddress, b.ControlAddress, 64, time.Duration(x.plan.Serve.Work), x.plan.Serve.Bytes)
		if err != nil {
			return Error.Wrap(err)
		}
		x.upstreams = append(x.upstreams, upstream)
		outbounds, upstreams = append(outbounds, b.OutboundAddress), append(upstreams, b.UpstreamAddress)
	}
	x.load = newLoad(outbounds, upstreams)
	return x.waitServed(ctx)
}

// waitServed waits until a whole round of calls is served.
func (x *pass) waitServed(ctx context.Context) error {
	if len(x.proxies) < 2 {
		return nil
	}
	for {
		x.load.reset()
		for n := range int(ways) * len(x.proxies) {
			x.load.call(way(n%int(ways)), n)
		}
		if served := x.load.served(0); served.OK == served.Calls {
			return nil
		}
		if pause(ctx, 100*time.Millisecond) != nil {
			return Error.New("the real proxies do not serve")
		}
	}
}

func (x *pass) close() {
	if x.fleet != nil {
		x.fleet.silence(x.fleet.all)
	}
	for _, upstream := range x.upstreams {
		upstream.Stop()
	}
	x.proxies.kill()
	x.controllers.kill()
}

// play plays a phase.
func (x *pass) play(ctx context.Context, phase Phase) error {
	switch phase {
	case PhaseStart:
		return x.storm(ctx, phase, 0, func() { x.fleet.start(ctx, x.fleet.all, true) })
	case PhaseRest:
		return x.measure(ctx, phase, 0, nil)
	case PhaseChanges:
		return x.measure(ctx, phase, 0, func(ctx context.Context) { x.fleet.changes(ctx, x.plan.ChangesPerSecond) })
	case PhaseServe:
		for _, rate := range x.plan.Serve.Rates {
			if err := x.measure(ctx, phase, rate, nil); err != nil {
				return err
			}
		}
		return nil
	case PhaseQuota:
		return x.measure(ctx, phase, 0, x.draws)
	case PhaseConfiguration:
		return x.configure(ctx)
	case PhaseZone:
		return x.away(ctx, phase, func(zone int) bool { return zone == 0 }, true)
	case PhaseRegion:
		return x.away(ctx, phase, func(zone int) bool { return zone%x.plan.Regions == 0 }, false)
	case PhaseController:
		return x.loseController(ctx)
	case PhaseRestart:
		return x.storm(ctx, phase, x.plan.Serve.Base, func() {
			x.fleet.silence(x.fleet.all)
			x.fleet.start(ctx, x.fleet.all, true)
		})
	}
	return nil
}

// draws has all hollow balancers draw tokens until the context ends.
func (x *pass) draws(ctx context.Context) {
	for _, h := range x.fleet.all {
		go newHollowQuota(h, x.plan).run(ctx)
	}
}

// away silences the balancers of zones for a while and has them return at once, as new lives or as they were.
func (x *pass) away(ctx context.Context, phase Phase, zones func(int) bool, newLife bool) error {
	some := x.fleet.ofZones(zones)
	x.fleet.silence(some)
	if pause(ctx, time.Duration(x.plan.Silence)) != nil {
		return Error.New("stopped")
	}
	return x.storm(ctx, phase, x.plan.Serve.Base, func() { x.fleet.start(ctx, some, newLife) })
}

// loseController kills the first controller, measures the others, which do all the work then, and starts it again.
func (x *pass) loseController(ctx context.Context) error {
	remaining := x.controllers[1:]
	all := x.controllers
	x.controllers[0].kill()
	x.controllers = remaining
	err := x.measure(ctx, PhaseController, x.plan.Serve.Base, nil)
	x.controllers = all
	if err != nil {
		return err
	}
	x.controllers[0], err = x.programs.start(controllerProgram, x.settings[0])
	return err
}

// storm measures what follows an event, and how long it takes until all know all.
func (x *pass) storm(ctx context.Context, phase Phase, rate float64, event func()) error {
	probe, err := x.begin(phase, rate)
	if err != nil {
		return err
	}
	serving, end := context.WithTimeout(ctx, time.Duration(x.plan.Storm))
	defer end()
	served := make(chan struct{})
	go func() {
		defer close(served)
		x.load.run(serving, rate)
	}()
	event()
	took, done := x.fleet.waitComplete(ctx, completePatience)
	complete := took.Seconds()
	if !done {
		complete = -1
	}
	<-serving.Done()
	row, err := probe.end()
	if err != nil {
		return err
	}
	<-served
	row.Complete = &complete
	return x.add(row, rate)
}

// measure takes a steady phase's figures while something goes on.
func (x *pass) measure(ctx context.Context, phase Phase, rate float64, work func(context.Context)) error {
	probe, err := x.begin(phase, rate)
	if err != nil {
		return err
	}
	during, end := context.WithTimeout(ctx, time.Duration(x.plan.Window))
	defer end()
	if work != nil {
		go work(during)
	}
	x.load.run(during, rate)
	<-during.Done()
	row, err := probe.end()
	if err != nil {
		return err
	}
	if phase == PhaseChanges {
		row.Told = delay(x)
	}
	return x.add(row, rate)
}

func delay(x *pass) *Delay {
	h := x.fleet.takeDelays()
	return &Delay{Count: h.TotalCount(), P50: milliseconds(h, 50), P99: milliseconds(h, 99), Max: float64(h.Max()) / 1000}
}

// configure changes the configuration once a second; Complete is the longest until all balancers had one.
func (x *pass) configure(ctx context.Context) error {
	longest := 0.0
	probe, err := x.begin(PhaseConfiguration, 0)
	if err != nil {
		return err
	}
	for range x.plan.Configurations {
		began := time.Now()
		ordering, end := context.WithTimeout(ctx, startPatience)
		err := x.operator.amend(ordering)
		end()
		if err != nil {
			return err
		}
		if _, done := x.fleet.waitEdition(ctx, completePatience, x.operator.edition); !done {
			longest = -1
			break
		}
		longest = max(longest, time.Since(began).Seconds())
		if pause(ctx, time.Until(began.Add(time.Second))) != nil {
			return Error.New("stopped")
		}
	}
	row, err := probe.end()
	if err != nil {
		return err
	}
	row.Complete = &longest
	return x.add(row, 0)
}

// Package run performs one run of an experiment. It starts emulated upstreams, discovery and the balancers under test, runs
// the clients, injects the faults, and returns what was observed from outside.
package run

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ottershift/internal/lab/between"
	"ottershift/internal/lab/emulate"
	"ottershift/internal/lab/load"
	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/internal/ops"
)

// Options select the program and variant under test.
type Options struct {
	Program  string // executable of the balancers
	Variant  string // one of spec.Variants
	Dir      string // directory for configurations and logs
	Progress func(done float64)
}

const (
	readyTimeout      = 15 * time.Second
	drainDuration     = 1700 * time.Millisecond // of an upstream in a deploy, until its removal
	clientNoticeDelay = 300 * time.Millisecond  // until clients stop using a balancer that was killed
	finishTimeout     = 5 * time.Second         // allowed beyond the end of the last possible request
)

// arguments returns the command line of a balancer of a variant.
func arguments(variant, config string) []string {
	if variant == "design" || variant == "no-copies" || variant == "no-cluster" || variant == "one-copy" ||
		strings.HasPrefix(variant, "without-") {
		return []string{"serve", "--config", config}
	}
	return []string{"lab", "balancer", "--policy", variant, "--config", config}
}

// balancer is a balancer under test.
type balancer struct {
	runner    *runner
	index     int
	address   string
	args      []string
	log       *os.File
	placement *placement // nil if it is not a member of a cluster

	mu      sync.Mutex
	command *exec.Cmd
	killed  bool // by the lab
	process int  // index into the processes of members
	exited  chan struct{}
}

// runner holds the parts and the observations of one run.
type runner struct {
	experiment *spec.Experiment
	options    Options
	startTime  time.Time
	fleet      *emulate.Fleet
	discovery  *emulate.Discovery
	load       *load.Generator
	balancers  []*balancer
	abort      context.CancelCauseFunc

	mesh       *between.Mesh
	placements []*placement
	finished   chan struct{} // closed at the end of the run

	mu           sync.Mutex
	outages      []record.Outage
	duplicates   []*balancer
	processes    []record.Process
	views        []record.View
	linkFaults   []record.LinkFault
	actions      []record.Action
	claims       []record.Claim
	ledgerReads  []record.LinearizableRead
	replacements []record.VoterReplacement
	refusedActs  map[int]int64            // by process
	faultDone    map[string]chan struct{} // by the name of a fault; closed when it has ended
}

// Play runs an experiment once. It returns an error if the run could not start. What aborted it later is in Run.Broken.
func Play(ctx context.Context, experiment *spec.Experiment, plan []spec.Transaction, options Options) (*record.Run, error) {
	rn := &runner{experiment: experiment, options: options, finished: make(chan struct{}),
		faultDone: map[string]chan struct{}{}, refusedActs: map[int]int64{}, startTime: time.Now()}
	for _, f := range experiment.Faults {
		if f.Name != "" {
			rn.faultDone[f.Name] = make(chan struct{})
		}
	}
	var err error
	if rn.fleet, err = emulate.NewFleet(experiment); err != nil {
		return nil, err
	}
	defer rn.fleet.Close()
	if rn.discovery, err = emulate.NewDiscovery(rn.fleet, experiment.Balancers); err != nil {
		return nil, err
	}
	defer rn.discovery.Close()
	ctx, rn.abort = context.WithCancelCause(ctx)
	defer rn.abort(nil)
	defer rn.killAll()
	if err = rn.createLinks(); err != nil {
		return nil, err
	}
	if rn.mesh != nil {
		defer rn.mesh.Close()
	}
	var addresses []string
	for n := range experiment.Balancers {
		b, err := rn.newBalancer(n)
		if err != nil {
			return nil, err
		}
		rn.balancers = append(rn.balancers, b)
		addresses = append(addresses, b.address)
	}
	for _, b := range rn.balancers {
		if err := b.waitReady(ctx); err != nil {
			return nil, err
		}
	}

	for _, t := range rn.placements {
		copyDir(t.Dir, t.backupDir)
	}
	rn.restartClock()
	rn.fleet.Begin(rn.startTime)
	rn.load = load.New(experiment, rn.startTime, addresses)
	rn.fleet.Call = rn.load.Call
	length := time.Duration(experiment.Length)
	longest := time.Duration(0)
	for _, c := range experiment.Clients {
		longest = max(longest, time.Duration(c.Timeout))
	}
	// The run has a time limit besides those of the clients, because a hanging balancer would block the lab otherwise.
	ctx, end := context.WithTimeout(ctx, length+longest+finishTimeout)
	defer end()
	var faults sync.WaitGroup
	for _, f := range experiment.Faults {
		faults.Go(func() {
			if f.Name != "" {
				defer close(rn.faultDone[f.Name])
			}
			if f.After != "" {
				select {
				case <-rn.faultDone[f.After]:
				case <-ctx.Done():
					return
				}
				later := *f
				later.At += rn.elapsed()
				rn.inject(ctx, &later)
				return
			}
			rn.inject(ctx, f)
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rn.load.Run(ctx, plan)
	}()
	if rn.hasLedger() {
		for range ledgerReaders {
			faults.Go(func() { rn.readLedgerEntries(ctx) })
		}
	}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-tick.C:
			if options.Progress != nil {
				options.Progress(min(1, float64(time.Since(rn.startTime))/float64(length)))
			}
		}
	}
	time.Sleep(100 * time.Millisecond) // so that attempts sent after an answer are observed as well
	written, read := rn.readLedger(ctx)
	broken := ""
	if cause := context.Cause(ctx); cause != nil {
		broken = cause.Error()
	}
	end()
	rn.abort(nil)
	faults.Wait()

	close(rn.finished)
	rn.mu.Lock()
	r := &record.Run{
		DiscoveryUpdates: rn.discovery.Updates(), Outages: rn.outages, AbortReason: broken, Processes: rn.processes, Views: rn.views,
		LinkFaults: rn.linkFaults, Actions: rn.actions,
		Claims: rn.claims, DiscoveryCalls: rn.discovery.Calls(), VoterReplacements: rn.replacements, LedgerReads: rn.ledgerReads,
		LedgerEntries: written, LedgerReadAt: read, HasLedger: rn.hasLedger(),
	}
	for _, n := range rn.refusedActs {
		r.Refused += n
	}
	rn.mu.Unlock()
	rn.load.Gather(r)
	rn.fleet.Gather(r)
	return r, nil
}

// restartClock starts the clock of the record anew. The members are running already.
func (rn *runner) restartClock() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.startTime = time.Now()
	for i := range rn.processes {
		rn.processes[i].From = 0
	}
	rn.views, rn.actions, rn.claims = nil, nil, nil
}

// newBalancer starts a balancer.
func (rn *runner) newBalancer(n int) (*balancer, error) {
	return rn.startBalancer(n, rn.placementOf(n), "")
}

func (rn *runner) startBalancer(index int, place *placement, suffix string) (*balancer, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(rn.options.Dir, fmt.Sprintf("balancer-%d%s.toml", index+1, suffix))
	log, err := os.Create(strings.TrimSuffix(file, ".toml") + ".log")
	if err != nil {
		return nil, err
	}
	bal := &balancer{runner: rn, index: index, address: address, args: arguments(rn.options.Variant, file),
		log: log, placement: place}
	if err := bal.configure(); err != nil {
		return nil, err
	}
	return bal, bal.start()
}

// configure writes the configuration file of the balancer.
func (bal *balancer) configure() error {
	rn := bal.runner
	text := rn.experiment.Configuration(bal.index, bal.address, rn.discovery.Addresses(bal.index),
		rn.options.Variant != "no-copies", rn.extraConfig(bal.index, bal.placement))
	return os.WriteFile(bal.args[len(bal.args)-1], text, 0o600)
}

func (bal *balancer) start() error {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	command := exec.Command(bal.runner.options.Program, bal.args...)
	command.Stderr, command.Stdout = bal.log, bal.log
	bal.setEnvironment(command)
	if err := command.Start(); err != nil {
		return err
	}
	bal.command, bal.killed, bal.exited = command, false, make(chan struct{})
	ended := bal.exited
	if bal.placement != nil {
		bal.process = bal.runner.processStarted(bal.index)
		go bal.runner.sampleViews(bal, bal.process, ended)
	}
	process := bal.process
	go func() {
		err := command.Wait()
		bal.mu.Lock()
		killed := bal.killed
		bal.mu.Unlock()
		if bal.placement != nil {
			bal.runner.processExited(process)
		}
		if !killed {
			bal.runner.abort(fmt.Errorf("balancer %d ended by itself: %v; last log line: %s", bal.index+1, err,
				bal.lastLogLine()))
		}
		close(ended)
	}()
	return nil
}

// lastLogLine returns the last line of the balancer's log.
func (bal *balancer) lastLogLine() string {
	text, _ := os.ReadFile(bal.log.Name())
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// waitReady waits until the balancer has the upstream list of each pool.
func (bal *balancer) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		all := true
		for _, pool := range bal.runner.experiment.Pools {
			a, err := client.Get("http://" + bal.address + "/_health?pool=" + pool)
			if err == nil {
				a.Body.Close()
			}
			all = all && err == nil && a.StatusCode == http.StatusOK
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("balancer %d was not ready within %s; last log line: %s", bal.index+1, readyTimeout, bal.lastLogLine())
}

// kill kills the balancer and waits for its exit.
func (bal *balancer) kill() {
	bal.mu.Lock()
	bal.killed = true
	c, ended := bal.command, bal.exited
	bal.mu.Unlock()
	c.Process.Kill()
	<-ended
}

// killAll kills all balancers.
func (rn *runner) killAll() {
	rn.mu.Lock()
	all := append(slices.Clone(rn.balancers), rn.duplicates...)
	rn.mu.Unlock()
	for _, b := range all {
		b.kill()
		b.log.Close()
	}
}

// elapsed returns the time since the start in nanoseconds.
func (rn *runner) elapsed() int64 { return int64(time.Since(rn.startTime)) }

// waitUntil waits until a time of the run. It returns false if the run ends before.
func (rn *runner) waitUntil(ctx context.Context, until int64) bool {
	select {
	case <-time.After(time.Duration(until - rn.elapsed())):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject injects a fault, and removes it after its duration.
func (rn *runner) inject(ctx context.Context, fault *spec.Fault) {
	if !rn.waitUntil(ctx, fault.At) {
		return
	}
	fault = rn.resolveOwner(fault)
	end := fault.At + fault.For
	forEachUpstream := func(do func(u *emulate.Upstream)) {
		for _, i := range fault.Upstreams {
			do(rn.fleet.Upstreams[i])
		}
	}
	share := fault.Factor
	if share == 0 {
		share = 1
	}
	switch fault.Kind {
	case "hang", "fail", "full", "reset", "garbage", "half", "deaf":
		forEachUpstream(func(u *emulate.Upstream) { u.SetFault(fault.Kind, share) })
		rn.waitUntil(ctx, end)
		forEachUpstream(func(u *emulate.Upstream) { u.SetFault(fault.Kind, 0) })
	case "slow":
		forEachUpstream(func(u *emulate.Upstream) { u.ApplySlowdown(share, u.Group.Cores) })
		rn.waitUntil(ctx, end)
		forEachUpstream(func(u *emulate.Upstream) { u.ApplySlowdown(1, u.Group.Cores) })
	case "cores":
		forEachUpstream(func(u *emulate.Upstream) { u.ApplySlowdown(1, int(fault.Factor)) })
		rn.waitUntil(ctx, end)
		forEachUpstream(func(u *emulate.Upstream) { u.ApplySlowdown(1, u.Group.Cores) })
	case "die":
		forEachUpstream(func(u *emulate.Upstream) { u.Kill() })
		rn.waitUntil(ctx, end)
		forEachUpstream(func(u *emulate.Upstream) {
			u.Restart(false)
			rn.discovery.SetStatus(u, "SERVING", true)
		})
	case "drain":
		forEachUpstream(func(u *emulate.Upstream) { rn.discovery.SetStatus(u, "DRAINING", false) })
		if rn.waitUntil(ctx, end) {
			forEachUpstream(func(u *emulate.Upstream) { rn.discovery.SetStatus(u, "SERVING", false) })
		}
	case "deploy":
		var pending sync.WaitGroup
		for n, i := range fault.Upstreams {
			pending.Go(func() {
				rn.replaceUpstream(ctx, rn.fleet.Upstreams[i], fault.At+fault.For*int64(n)/int64(len(fault.Upstreams)))
			})
		}
		pending.Wait()
	case "list-down":
		rn.discovery.SetDown(fault.Pool, true)
		rn.waitUntil(ctx, end)
		rn.discovery.SetDown(fault.Pool, false)
	case "list-late":
		rn.discovery.SetDelay(fault.Pool, time.Duration(share*float64(time.Second)))
		rn.waitUntil(ctx, end)
		rn.discovery.SetDelay(fault.Pool, 0)
	case "list-lacks":
		rn.discovery.SetOmitted(fault.Upstreams, true)
		rn.waitUntil(ctx, end)
		rn.discovery.SetOmitted(fault.Upstreams, false)
	case "balancer-kill", "balancer-stop", "balancer-wipe", "balancer-old":
		var pending sync.WaitGroup
		for _, n := range fault.Balancers {
			pending.Go(func() { rn.injectOutage(ctx, rn.balancers[n], fault, end) })
		}
		pending.Wait()
	}
	if fault.Kind == "balancer-double" && !rn.clustered() { // without a cluster, only the stop of the process applies
		stop := *fault
		stop.Kind = "balancer-stop"
		rn.inject(ctx, &stop)
	}
	if !rn.clustered() {
		return
	}
	wait := func() { rn.waitUntil(ctx, end) }
	var pending sync.WaitGroup
	defer pending.Wait()
	switch {
	case fault.Link != nil:
		rn.injectLinkFault(fault, wait)
	case fault.Kind == "balancer-double":
		for _, n := range fault.Balancers {
			pending.Go(func() { rn.startDuplicate(rn.balancers[n], wait) })
		}
	case fault.Kind == "balancer-leave":
		for _, n := range fault.Balancers {
			pending.Go(func() {
				ops.Call(rn.placements[n].Ops, "LEAVE", time.Second)
				wait()
				ops.Call(rn.placements[n].Ops, "JOIN", time.Second)
			})
		}
	case fault.Kind == "keeper-replace": // through the operators' command
		for _, n := range fault.Balancers {
			text, _, err := ops.Call(rn.placements[(n+1)%len(rn.placements)].Ops,
				"CLUSTER replace "+spec.MemberName(n), 10*time.Second)
			rn.logAction("replace %s: %s %v", spec.MemberName(n), strings.TrimSpace(text), err)
			rn.mu.Lock()
			rn.replacements = append(rn.replacements, record.VoterReplacement{Balancer: n, At: rn.elapsed()})
			rn.mu.Unlock()
		}
	case strings.HasPrefix(fault.Kind, "disk-"):
		for _, n := range fault.Balancers {
			pending.Go(func() { rn.injectDiskFault(rn.balancers[n], fault.Kind, wait) })
		}
	}
}

// replaceUpstream performs one step of a deploy: it drains an upstream, stops it, and starts its successor cold and under
// another name.
func (rn *runner) replaceUpstream(ctx context.Context, upstream *emulate.Upstream, from int64) {
	if !rn.waitUntil(ctx, from) {
		return
	}
	rn.discovery.SetStatus(upstream, "DRAINING", false)
	if !rn.waitUntil(ctx, from+int64(drainDuration)) {
		return
	}
	rn.discovery.SetStatus(upstream, "DELETED", false)
	time.Sleep(time.Duration(rn.experiment.DiscoveryDelay) + 20*time.Millisecond)
	upstream.Kill()
	upstream.Restart(true)
	rn.discovery.SetStatus(upstream, "SERVING", true)
}

// injectOutage kills or stops a balancer, and restarts or continues it at the end.
func (rn *runner) injectOutage(ctx context.Context, bal *balancer, fault *spec.Fault, end int64) {
	span := record.Outage{Balancer: bal.index, From: rn.elapsed(),
		WithoutState: fault.Kind == "balancer-wipe" || fault.Kind == "balancer-old"}
	kill := fault.Kind != "balancer-stop"
	var clientsNotified atomic.Bool
	if kill {
		bal.kill()
		rn.logAction("%s is killed (%s)", spec.MemberName(bal.index), fault.Kind)
		time.AfterFunc(clientNoticeDelay, func() { clientsNotified.Store(true); rn.load.SetDown(bal.index, true) })
	} else {
		bal.command.Process.Signal(syscall.SIGSTOP)
		rn.logAction("%s is stopped", spec.MemberName(bal.index))
		if bal.placement != nil {
			rn.processStopped(bal.process)
		}
	}
	rn.waitUntil(ctx, end)
	if !kill {
		bal.command.Process.Signal(syscall.SIGCONT)
		if bal.placement != nil {
			rn.processContinued(bal.process)
		}
		rn.logAction("%s continues", spec.MemberName(bal.index))
	} else if ctx.Err() == nil {
		bal.prepareDir(fault.Kind)
		if fault.ChangesAddress && bal.placement != nil {
			if address, err := freeAddress(); err == nil {
				bal.placement.Address = address
				rn.mesh.Target(bal.index, address)
				if err := bal.configure(); err != nil {
					rn.abort(err)
				}
			}
		}
		if bal.start() == nil {
			rn.logAction("%s is started again", spec.MemberName(bal.index))
			bal.waitReady(ctx)
		}
		if clientsNotified.Load() {
			rn.load.SetDown(bal.index, false)
		}
	}
	span.To = rn.elapsed()
	rn.mu.Lock()
	rn.outages = append(rn.outages, span)
	rn.mu.Unlock()
}

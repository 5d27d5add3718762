package mesh_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// proxyVariable names the settings file of a proxy that the test's own program runs in a process of its own.
const proxyVariable = "MESH_TEST_PROXY"

func TestMain(m *testing.M) {
	path := os.Getenv(proxyVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	cfg, err := settings.Load(path)
	if err == nil {
		err = proxy.New(cfg, discardLogger).Run(context.Background())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// proxyProcess is a proxy that can be killed, frozen and thawed.
type proxyProcess struct {
	t        *testing.T
	settings *settings.Settings
	path     string
	command  *exec.Cmd
}

func startProxyProcess(t *testing.T, cfg *settings.Settings) *proxyProcess {
	p := &proxyProcess{t: t, settings: cfg, path: filepath.Join(t.TempDir(), "local.conf")}
	must.NoError(t, testmesh.WriteSettings(cfg, p.path))
	p.start()
	t.Cleanup(p.kill)
	return p
}

func (p *proxyProcess) start() {
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), proxyVariable+"="+p.path)
	must.NoError(p.t, p.command.Start())
}

// waitUntilListening waits until other balancers can connect.
func (p *proxyProcess) waitUntilListening() {
	must.Wait(p.t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.Gap(time.Millisecond), wait.ErrorFunc(func() error {
		conn, err := net.Dial("tcp4", p.settings.InboundAddress)
		if err == nil {
			conn.Close()
		}
		return err
	})))
}

func (p *proxyProcess) signal(s syscall.Signal) { p.command.Process.Signal(s) }

func (p *proxyProcess) kill() {
	p.command.Process.Kill()
	p.command.Wait()
}

// startProxyFaultMesh starts a mesh whose second proxy, the one beside the upstream, is a process of its own.
func startProxyFaultMesh(t *testing.T) (*faultMesh, *proxyProcess) {
	var process *proxyProcess
	options := defaultFaultMeshOptions()
	options.calledProxies = 1
	options.startProxy = func(m *mesh, cfg *settings.Settings) {
		if cfg == m.plan.Proxies[1] {
			process = startProxyProcess(t, cfg)
		} else {
			m.startProxy(cfg)
		}
	}
	return options.start(t), process
}

// waitUntilServing waits until the upstream is reached again.
func (fm *faultMesh) waitUntilServing() {
	fm.waitUntil(func() bool { return fm.send(0, requestClasses[0], nil, time.Second).status == http.StatusOK })
}

// proxyFault is what happens to the balancer beside the upstream while a request is on its way to it.
type proxyFault struct {
	name     string
	timeLeft time.Duration // that the caller waits
	begin    func(*faultMesh, *proxyProcess)
	end      func(*faultMesh, *proxyProcess)
}

func resume(_ *faultMesh, process *proxyProcess) { process.signal(syscall.SIGCONT) }

func suspend(_ *faultMesh, process *proxyProcess) { process.signal(syscall.SIGSTOP) }

func restart(fm *faultMesh, process *proxyProcess) {
	process.kill()
	process.start()
	fm.waitUntilServing()
}

// signalDuringRequest has the request be at work as the balancer is struck.
func signalDuringRequest(fm *faultMesh, proxy *proxyProcess, signal syscall.Signal) {
	fm.inject(testmesh.Injection{Fault: testmesh.DelayedRun, Delay: 40 * time.Millisecond})
	process := proxy.command.Process
	time.AfterFunc(20*time.Millisecond, func() { process.Signal(signal) })
}

var proxyFaults = []proxyFault{
	{
		name: "frozen before it reads, thawed after the caller's time", timeLeft: 100 * time.Millisecond,
		begin: suspend, end: resume,
	},
	{
		name: "frozen while the upstream is at work, thawed after the caller's time", timeLeft: 100 * time.Millisecond,
		begin: func(a *faultMesh, p *proxyProcess) { signalDuringRequest(a, p, syscall.SIGSTOP) }, end: resume,
	},
	{
		name: "frozen before it reads, thawed in time", timeLeft: 2 * time.Second,
		begin: func(a *faultMesh, p *proxyProcess) {
			suspend(a, p)
			time.AfterFunc(30*time.Millisecond, func() { resume(a, p) })
		},
		end: func(*faultMesh, *proxyProcess) {},
	},
	{
		name: "killed while the upstream is at work, started again", timeLeft: time.Second,
		begin: func(a *faultMesh, p *proxyProcess) { signalDuringRequest(a, p, syscall.SIGKILL) }, end: restart,
	},
	{
		name: "killed before the request, started again", timeLeft: time.Second,
		begin: func(_ *faultMesh, p *proxyProcess) { p.kill() }, end: restart,
	},
	{
		name: "replaced by another at the same address before the request", timeLeft: time.Second,
		begin: func(_ *faultMesh, p *proxyProcess) { p.kill(); p.start(); p.waitUntilListening() }, end: restart,
	},
}

// What happens to the balancer between the caller's and the upstream: whatever its caller is told, a once-only request runs at most
// once, and one that was promised not to run never runs, also after the thaw.
func TestProxyFaultsBesideUpstream(t *testing.T) {
	fm, process := startProxyFaultMesh(t)
	rounds := 5
	for _, fault := range proxyFaults {
		for _, class := range requestClasses[:2] {
			counts := &outcomeCounts{results: map[string]int{}, nextResults: map[string]int{}}
			ranLater := 0
			for range rounds {
				fm.waitUntilServing()
				fault.begin(fm, process)
				first := fm.send(0, class, nil, fault.timeLeft)
				time.Sleep(20 * time.Millisecond)
				fault.end(fm, process)
				time.Sleep(100 * time.Millisecond)
				fm.dropFaults()
				atEnd := first
				atEnd.runs = fm.runs(first.id)
				fm.check(atEnd, class, fault.name)
				if atEnd.runs > first.runs {
					ranLater++
				}
				counts.pairs++
				counts.results[first.String()]++
				counts.maxRuns = max(counts.maxRuns, atEnd.runs)
			}
			t.Logf("%-70v %-10s %v; ran after the answer %d", fault.name, class.name, counts, ranLater)
		}
	}
	fm.checkRunLimits()
}

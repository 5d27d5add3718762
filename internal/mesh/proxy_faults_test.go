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

// proxyVariable is the environment variable with the settings file of a proxy, which the test binary then runs instead
// of tests.
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

// proxyProcess is a proxy in its own process, which can be killed, suspended and resumed.
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

// waitUntilListening waits until other proxies can connect.
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

// startProxyFaultMesh starts a mesh whose second proxy, the one beside the upstream, runs in its own process.
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

// waitUntilServing waits until requests reach the upstream.
func (fm *faultMesh) waitUntilServing() {
	fm.waitUntil(func() bool { return fm.send(0, requestClasses[0], nil, time.Second).status == http.StatusOK })
}

// proxyFault is a fault of the proxy beside the upstream during a request.
type proxyFault struct {
	name     string
	timeLeft time.Duration // of the request
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

// signalDuringRequest delays the next request and sends a signal to the proxy before the request runs.
func signalDuringRequest(fm *faultMesh, proxy *proxyProcess, signal syscall.Signal) {
	fm.inject(testmesh.Injection{Fault: testmesh.DelayedRun, Delay: 40 * time.Millisecond})
	process := proxy.command.Process
	time.AfterFunc(20*time.Millisecond, func() { process.Signal(signal) })
}

var proxyFaults = []proxyFault{
	{
		name: "suspended before it reads, resumed after the deadline", timeLeft: 100 * time.Millisecond,
		begin: suspend, end: resume,
	},
	{
		name: "suspended during the request, resumed after the deadline", timeLeft: 100 * time.Millisecond,
		begin: func(fm *faultMesh, process *proxyProcess) { signalDuringRequest(fm, process, syscall.SIGSTOP) }, end: resume,
	},
	{
		name: "suspended before it reads, resumed before the deadline", timeLeft: 2 * time.Second,
		begin: func(fm *faultMesh, process *proxyProcess) {
			suspend(fm, process)
			time.AfterFunc(30*time.Millisecond, func() { resume(fm, process) })
		},
		end: func(*faultMesh, *proxyProcess) {},
	},
	{
		name: "killed during the request, restarted", timeLeft: time.Second,
		begin: func(fm *faultMesh, process *proxyProcess) { signalDuringRequest(fm, process, syscall.SIGKILL) }, end: restart,
	},
	{
		name: "killed before the request, restarted", timeLeft: time.Second,
		begin: func(_ *faultMesh, process *proxyProcess) { process.kill() }, end: restart,
	},
	{
		name: "replaced at the same address before the request", timeLeft: time.Second,
		begin: func(_ *faultMesh, process *proxyProcess) {
			process.kill()
			process.start()
			process.waitUntilListening()
		}, end: restart,
	},
}

// Injects faults of the proxy between the client's proxy and the upstream. A once-only request must run at most once,
// and must not run after a response that promises no execution, not even once the proxy is resumed.
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
			t.Logf("%-70v %-10s %v; %d ran after the response", fault.name, class.name, counts, ranLater)
		}
	}
	fm.checkRunLimits()
}

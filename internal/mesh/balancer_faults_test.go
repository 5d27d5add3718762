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
	b, err := settings.Load(path)
	if err == nil {
		err = proxy.New(b, quiet).Run(context.Background())
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

func startProxyProcess(t *testing.T, b *settings.Settings) *proxyProcess {
	p := &proxyProcess{t: t, settings: b, path: filepath.Join(t.TempDir(), "local.conf")}
	must.NoError(t, testmesh.Write(b, p.path))
	p.start()
	t.Cleanup(p.kill)
	return p
}

func (p *proxyProcess) start() {
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), proxyVariable+"="+p.path)
	must.NoError(p.t, p.command.Start())
}

// listens waits until other balancers can connect.
func (p *proxyProcess) listens() {
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

// startBalancerFaults starts a mesh whose second proxy, the one beside the upstream, is a process of its own.
func startBalancerFaults(t *testing.T) (*answersMesh, *proxyProcess) {
	var p *proxyProcess
	plan := defaultAnswersPlan()
	plan.called = 1
	plan.startProxy = func(m *mesh, b *settings.Settings) {
		if b == m.plan.Proxies[1] {
			p = startProxyProcess(t, b)
		} else {
			m.proxy(b)
		}
	}
	return plan.start(t), p
}

// serves waits until the upstream is reached again.
func (a *answersMesh) serves() {
	a.until(func() bool { return a.ask(0, requestClasses[0], nil, time.Second).status == http.StatusOK })
}

// balancerFault is what happens to the balancer beside the upstream while a request is on its way to it.
type balancerFault struct {
	name  string
	left  time.Duration // that the caller waits
	begin func(*answersMesh, *proxyProcess)
	end   func(*answersMesh, *proxyProcess)
}

func thaw(_ *answersMesh, p *proxyProcess) { p.signal(syscall.SIGCONT) }

func freeze(_ *answersMesh, p *proxyProcess) { p.signal(syscall.SIGSTOP) }

func replace(a *answersMesh, p *proxyProcess) {
	p.kill()
	p.start()
	a.serves()
}

// slowUpstream has the request be at work as the balancer is struck.
func slowUpstream(a *answersMesh, p *proxyProcess, strike syscall.Signal) {
	a.inject(testmesh.Injection{Fault: testmesh.Thawed, Delay: 40 * time.Millisecond})
	process := p.command.Process
	time.AfterFunc(20*time.Millisecond, func() { process.Signal(strike) })
}

var balancerFaults = []balancerFault{
	{
		name: "frozen before it reads, thawed after the caller's time", left: 100 * time.Millisecond,
		begin: freeze, end: thaw,
	},
	{
		name: "frozen while the upstream is at work, thawed after the caller's time", left: 100 * time.Millisecond,
		begin: func(a *answersMesh, p *proxyProcess) { slowUpstream(a, p, syscall.SIGSTOP) }, end: thaw,
	},
	{
		name: "frozen before it reads, thawed in time", left: 2 * time.Second,
		begin: func(a *answersMesh, p *proxyProcess) {
			freeze(a, p)
			time.AfterFunc(30*time.Millisecond, func() { thaw(a, p) })
		},
		end: func(*answersMesh, *proxyProcess) {},
	},
	{
		name: "killed while the upstream is at work, started again", left: time.Second,
		begin: func(a *answersMesh, p *proxyProcess) { slowUpstream(a, p, syscall.SIGKILL) }, end: replace,
	},
	{
		name: "killed before the request, started again", left: time.Second,
		begin: func(_ *answersMesh, p *proxyProcess) { p.kill() }, end: replace,
	},
	{
		name: "replaced by another at the same address before the request", left: time.Second,
		begin: func(_ *answersMesh, p *proxyProcess) { p.kill(); p.start(); p.listens() }, end: replace,
	},
}

// What happens to the balancer between the caller's and the upstream: whatever its caller is told, a once-only request runs at most
// once, and one that was promised not to run never runs, also after the thaw.
func TestFaultsOfTheBalancerBesideTheUpstream(t *testing.T) {
	a, p := startBalancerFaults(t)
	rounds := 5
	for _, fault := range balancerFaults {
		for _, class := range requestClasses[:2] {
			o := &outcome{told: map[string]int{}, next: map[string]int{}}
			late := 0
			for range rounds {
				a.serves()
				fault.begin(a, p)
				first := a.ask(0, class, nil, fault.left)
				time.Sleep(20 * time.Millisecond)
				fault.end(a, p)
				time.Sleep(100 * time.Millisecond)
				a.dropFaults()
				atEnd := first
				atEnd.runs = a.runs(first.id)
				a.check(atEnd, class, fault.name)
				if atEnd.runs > first.runs {
					late++
				}
				o.pairs++
				o.told[first.String()]++
				o.maxRuns = max(o.maxRuns, atEnd.runs)
			}
			t.Logf("%-70v %-10s %v; ran after the answer %d", fault.name, class.name, o, late)
		}
	}
	a.noneRanAgain()
}

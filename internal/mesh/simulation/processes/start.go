package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

const gracePeriod = 3 * time.Second // of the proxies

func (h *harness) startMesh() error {
	add := func(program string, node *settings.Settings) error {
		p := &process{name: node.Node, program: filepath.Join(h.Programs, program), settings: node, settingsFile: filepath.Join(h.dir, node.Node+".conf")}
		if h.OtherPrograms != "" && len(h.processes)%2 == 1 {
			p.program = filepath.Join(h.OtherPrograms, program)
		}
		h.processes = append(h.processes, p)
		return h.startProcess(p)
	}
	for _, node := range h.plan.Controllers {
		if err := os.MkdirAll(node.DataDir, 0o755); err != nil {
			return Error.Wrap(err)
		}
		if err := add("controller", node); err != nil {
			return err
		}
	}
	for n, node := range h.plan.Proxies {
		node.Bounds.Grace = gracePeriod
		if err := add("proxy", node); err != nil {
			return err
		}
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), node.Service, node.UpstreamAddress, node.ControlAddress, 8, h.ProcessingTime, h.ResponseBytes)
		if err != nil {
			return Error.Wrap(err)
		}
		h.upstreams = append(h.upstreams, upstream)
		h.outcome.ByProxy = append(h.outcome.ByProxy, Served{Node: node.Node})
	}
	return nil
}

// startProcess writes the current settings of a process and starts it.
func (h *harness) startProcess(p *process) error {
	if err := testmesh.WriteSettings(p.settings, p.settingsFile); err != nil {
		return Error.Wrap(err)
	}
	p.settings.FirstStart = false // a restarted process is no longer a first start
	cmd := exec.Command(p.program, "serve")
	cmd.Env = []string{settings.FileVariable + "=" + p.settingsFile, "PATH=" + os.Getenv("PATH")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no child process outlives the simulator
	if h.Logs != "" {
		f, err := os.OpenFile(filepath.Join(h.Logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return Error.Wrap(err)
		}
		defer f.Close()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		return Error.New("%s: %v", p.program, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.mu.Unlock()
	h.exits.Go(func() {
		err := cmd.Wait()
		close(exited)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd && !p.exitExpected {
			h.reportViolation("%s exited unexpectedly: %v", p.name, err)
		}
	})
	return nil
}

// signal sends a signal to the process. exitExpected marks the exit of the process as intended.
func (p *process) signal(s syscall.Signal, exitExpected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || exitExpected
	p.cmd.Process.Signal(s)
}

// kill ends the process, if it still runs, and waits until its addresses are free.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

func (h *harness) stop() {
	for _, upstream := range h.upstreams {
		upstream.Stop()
	}
	for _, life := range h.lives {
		life.upstream.Stop()
	}
	for _, p := range h.processes {
		p.signal(syscall.SIGCONT, true)
		p.signal(syscall.SIGKILL, true)
	}
	h.exits.Wait()
}

const configurationFormat = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"demo.example","Regulations":[%s]}],"Depots":[%s]%s}`

const tenant = "families"

// installConfiguration installs the first configuration and waits until each proxy serves with it.
func (h *harness) installConfiguration(ctx context.Context) error {
	var routes, services []string
	for _, s := range h.Services {
		if d := fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","LineCap":130,"Protocol":"h1"}`, s); !slices.Contains(services, d) {
			services = append(services, d)
			for class, path := range map[string]string{"repeatable": "read", "once_only": "once"} {
				routes = append(routes, fmt.Sprintf(`{"Name":"%s-%s","MailClass":%q,"Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/%s/%s/"},
"Dispatch":{"Destination":%q,"Deadline":"2000ms","DeliveryTries":3}}`, path, s, class, path, s, s))
			}
		}
	}
	for n := range h.IdleRoutes {
		routes = append(routes, fmt.Sprintf(`{"Name":"idle-%d","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/idle/%d/"},
"Dispatch":{"Destination":%q,"Deadline":"2000ms","DeliveryTries":2}}`, n, n, h.Services[n%len(h.Services)]))
	}
	slices.Sort(routes)
	partner := ""
	if h.partner != nil {
		partner = fmt.Sprintf(`,"Mesh":"us","Partners":[{"Name":"zuid","Gateway":%q,"Target":"300ms","Deadline":"2000ms","Tries":2}]`, h.partner.Address)
	}
	if h.Credit > 0 {
		partner += fmt.Sprintf(`,"Senders":[{"Name":%q,"ApiKeys":["k"],"RatePerS":%g,"Nectar":{"Earn":0.5,"Cap":%g,"Keep":"86400s","Extra":%g}}]`, tenant, h.TenantRate, 4*h.Credit, h.ExtraRate)
	}
	body := fmt.Sprintf(configurationFormat, strings.Join(routes, ","), strings.Join(services, ","), partner)
	h.outcome.Bytes = len(body)
	waitCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for n := 0; ; n++ {
		if status, _, _ := h.callController(waitCtx, n, "timetable.replace", "0", body); status == http.StatusOK {
			break
		}
		if err := sleep(waitCtx, 50*time.Millisecond); err != nil {
			return Error.New("no controller accepted the initial configuration")
		}
	}
	client := &http.Client{Timeout: time.Second}
	for n := range h.plan.Proxies {
		for {
			if status, _ := h.send(waitCtx, client, n, "GET", "/read/"+h.Services[0]+"/", fmt.Sprint("first-", rand.Uint64())); status == http.StatusOK {
				break
			}
			if err := sleep(waitCtx, 50*time.Millisecond); err != nil {
				return Error.New("proxy %s does not serve requests", h.plan.Proxies[n].Node)
			}
		}
	}
	if h.Credit > 0 { // an operator grants the burst credit
		client := rpc.NewClient(nil)
		defer client.Close()
		if err := client.Call(waitCtx, h.plan.Controllers[0].InternalAddress(), rpc.PathCreditOrder, &controller.Order{Tenant: tenant, Tokens: h.Credit, Who: "meshsim", Why: "the rush"}, &burstcredit.AccountStatus{}); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// fetchAccount returns the tenant's burst credit account as the core has committed it.
func (h *harness) fetchAccount(ctx context.Context) (*burstcredit.AccountStatus, error) {
	client := rpc.NewClient(nil)
	defer client.Close()
	var last error
	for _, node := range h.plan.Controllers {
		status := &controller.Status{}
		if last = client.Call(ctx, node.InternalAddress(), rpc.PathStatus, controller.StatusRequest{Newest: true}, status); last == nil {
			return controller.FindAccount(status.State.Credit, tenant)
		}
	}
	return nil, last
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

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

func (w *world) start() error {
	add := func(program string, b *settings.Settings) error {
		p := &process{name: b.Node, program: filepath.Join(w.Programs, program), settings: b, settingsFile: filepath.Join(w.dir, b.Node+".conf")}
		if w.Beside != "" && len(w.all)%2 == 1 {
			p.program = filepath.Join(w.Beside, program)
		}
		w.all = append(w.all, p)
		return w.run(p)
	}
	for _, b := range w.plan.Controllers {
		if err := os.MkdirAll(b.DataDir, 0o755); err != nil {
			return Error.Wrap(err)
		}
		if err := add("controller", b); err != nil {
			return err
		}
	}
	for n, b := range w.plan.Proxies {
		b.Bounds.Grace = 3 * time.Second
		if err := add("proxy", b); err != nil {
			return err
		}
		a, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), b.Service, b.UpstreamAddress, b.ControlAddress, 8, w.Work, w.Size)
		if err != nil {
			return Error.Wrap(err)
		}
		w.apps = append(w.apps, a)
		w.out.By = append(w.out.By, Served{Node: b.Node})
	}
	return nil
}

// run starts a process with the settings of this moment.
func (w *world) run(p *process) error {
	if err := testmesh.WriteSettings(p.settings, p.settingsFile); err != nil {
		return Error.Wrap(err)
	}
	p.settings.FirstStart = false // from now on
	cmd := exec.Command(p.program, "serve")
	cmd.Env = []string{settings.FileVariable + "=" + p.settingsFile, "PATH=" + os.Getenv("PATH")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives this one
	if w.Logs != "" {
		f, err := os.OpenFile(filepath.Join(w.Logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return Error.Wrap(err)
		}
		defer f.Close()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		return Error.New("%s: %v", p.program, err)
	}
	p.mu.Lock()
	p.cmd, p.down = cmd, false
	p.mu.Unlock()
	w.stops.Go(func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd && !p.down {
			w.breaks("%s ended by itself: %v", p.name, err)
		}
	})
	return nil
}

// signal sends one to a process; down says that its end is meant.
func (p *process) signal(s syscall.Signal, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = p.down || down
	p.cmd.Process.Signal(s)
}

func (w *world) stop() {
	for _, a := range w.apps {
		a.Stop()
	}
	for _, p := range w.all {
		p.signal(syscall.SIGCONT, true)
		p.signal(syscall.SIGKILL, true)
	}
	w.stops.Wait()
}

const timetable = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"demo.example","Regulations":[%s]}],"Depots":[%s]%s}`

const tenant = "families"

// first puts a configuration and waits until each proxy serves by it.
func (w *world) first(ctx context.Context) error {
	var routes, depots []string
	for _, s := range w.Services {
		if d := fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","LineCap":130,"Protocol":"h1"}`, s); !slices.Contains(depots, d) {
			depots = append(depots, d)
			for class, path := range map[string]string{"repeatable": "read", "once_only": "once"} {
				routes = append(routes, fmt.Sprintf(`{"Name":"%s-%s","MailClass":%q,"Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/%s/%s/"},
"Dispatch":{"Destination":%q,"Deadline":"2000ms","DeliveryTries":3}}`, path, s, class, path, s, s))
			}
		}
	}
	for n := range w.Routes {
		routes = append(routes, fmt.Sprintf(`{"Name":"idle-%d","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/idle/%d/"},
"Dispatch":{"Destination":%q,"Deadline":"2000ms","DeliveryTries":2}}`, n, n, w.Services[n%len(w.Services)]))
	}
	slices.Sort(routes)
	partner := ""
	if w.side != nil {
		partner = fmt.Sprintf(`,"Mesh":"us","Partners":[{"Name":"zuid","Gateway":%q,"Target":"300ms","Deadline":"2000ms","Tries":2}]`, w.side.Address)
	}
	if w.Credit > 0 {
		partner += fmt.Sprintf(`,"Senders":[{"Name":%q,"ApiKeys":["k"],"RatePerS":%g,"Nectar":{"Earn":0.5,"Cap":%g,"Keep":"86400s","Extra":%g}}]`, tenant, w.TenantRate, 4*w.Credit, w.Extra)
	}
	body := fmt.Sprintf(timetable, strings.Join(routes, ","), strings.Join(depots, ","), partner)
	w.out.Bytes = len(body)
	patience, end := context.WithTimeout(ctx, 20*time.Second)
	defer end()
	for n := 0; ; n++ {
		if status, _, _ := w.call(patience, n, "timetable.replace", "0", body); status == http.StatusOK {
			break
		}
		if err := nap(patience, 50*time.Millisecond); err != nil {
			return Error.New("nobody takes the timetable")
		}
	}
	client := &http.Client{Timeout: time.Second}
	for n := range w.plan.Proxies {
		for {
			if status, _ := w.send(patience, client, n, "GET", "/read/"+w.Services[0]+"/", fmt.Sprint("first-", rand.Uint64())); status == http.StatusOK {
				break
			}
			if err := nap(patience, 50*time.Millisecond); err != nil {
				return Error.New("%s does not serve", w.plan.Proxies[n].Node)
			}
		}
	}
	if w.Credit > 0 { // by an operator's hand
		c := rpc.NewClient(nil)
		defer c.Close()
		if err := c.Call(patience, w.plan.Controllers[0].InternalAddress(), rpc.PathCreditOrder, &controller.Order{Tenant: tenant, Tokens: w.Credit, Who: "meshsim", Why: "the rush"}, &burstcredit.AccountStatus{}); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// account is what the core has agreed on of the tenant's credit.
func (w *world) account(ctx context.Context) (*burstcredit.AccountStatus, error) {
	c := rpc.NewClient(nil)
	defer c.Close()
	var last error
	for _, b := range w.plan.Controllers {
		s := &controller.Status{}
		if last = c.Call(ctx, b.InternalAddress(), rpc.PathStatus, controller.StatusRequest{Newest: true}, s); last == nil {
			return controller.FindAccount(s.State.Credit, tenant)
		}
	}
	return nil, last
}

func nap(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Package live plays a mesh as real processes on loopback, with stand-in upstreams, clients and operators of its own, and judges
// it by what those saw alone. It is the part of meshsim that has a real clock.
package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// Error is the class of plays that could not be played.
var Error = errs.Class("live")

// Kinds of faults.
const (
	KillController   = "kill_controller"
	KillProxy        = "kill_proxy"
	KillAll          = "kill_all"
	FreezeController = "freeze_controller"
	FreezeProxy      = "freeze_proxy"
	WipeController   = "wipe_controller" // killed, and its disk emptied
	TermProxy        = "term_proxy"
)

// Kinds are all of them.
var Kinds = []string{KillController, KillProxy, KillAll, FreezeController, FreezeProxy, WipeController, TermProxy}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind    string
	At, For time.Duration
	Who     int
}

// Mesh is what is played.
type Mesh struct {
	Programs             string // folder of controller and proxy
	Beside               string // folder of another version's: every second process is started from it, "" for none
	Controllers, Proxies int
	Zones, Services      []string
	Length               time.Duration
	Rate                 float64 // requests a second, of all clients together
	Work                 time.Duration
	Size                 int // bytes of an answer
	Routes               int // beside those that are asked for
	Faults               []Fault
	Seed                 uint64
	Credit               float64       // tokens of burst credit of the one tenant that all clients are of, 0 for none
	TenantRate           float64       // its rate then, a second
	Extra                float64       // and the most over it
	Partner              time.Duration // between two words of a partner that narrows and widens what it exports, 0 for no partner
	Logs                 string        // folder for what the processes write, "" for nowhere
}

// Served is what came of the requests that began at one proxy.
type Served struct {
	Node                                 string
	Asked, OK, Refused, Failed, NoAnswer int
	Ran                                  int // at the upstream beside it
}

// Outcome is what was seen.
type Outcome struct {
	By        []Served
	Broken    []string
	Asked, OK int
	Late      int // answered after their aim
	Restarts  int
	Changes   int
	Acks      []time.Duration // from the first call of a change until it was acknowledged
	Bytes     int             // of the configuration
	Settle    time.Duration   // from the start until a request was served
	Spent     float64         // tokens that were charged
	DueMost   int             // requests that were served, or whose effect may have been
	Effects   int             // that ran at the partner
	Done      []time.Duration // from the partner's words that narrowed until it was told that nothing comes any more
}

type process struct {
	name, program string
	settings      *settings.Settings
	settingsFile  string
	mu            sync.Mutex
	cmd           *exec.Cmd
	down          bool // by a fault, until it starts it again
}

type world struct {
	Mesh
	dir  string
	plan *testmesh.Mesh
	all  []*process
	apps []*testmesh.Upstream
	side *testmesh.Partner // nil for none

	mu    sync.Mutex
	out   Outcome
	sent  map[string]*try
	tail  [2]int // asked and served once all that was wrong is over
	stops sync.WaitGroup
}

type try struct {
	once    bool
	status  int
	outside bool // toward the partner
}

const aim = 300 * time.Millisecond

// Play plays it; tell is told what happens.
func Play(ctx context.Context, m Mesh, tell func(format string, args ...any)) (*Outcome, error) {
	dir, err := os.MkdirTemp("", "meshsim")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(dir)
	w := &world{Mesh: m, dir: dir, sent: map[string]*try{}}
	if w.plan, err = testmesh.Plan(m.Controllers, m.Proxies, m.Zones, m.Services, dir); err != nil {
		return nil, Error.Wrap(err)
	}
	defer w.stop()
	if m.Partner > 0 {
		if w.side, err = testmesh.NewPartner("zuid", settings.Host(w.plan.Controllers[0].Control)+":0"); err != nil {
			return nil, Error.Wrap(err)
		}
		defer w.side.Stop()
	}
	began := time.Now()
	if err := w.start(); err != nil {
		return nil, err
	}
	if err := w.first(ctx); err != nil {
		return nil, err
	}
	w.out.Settle = time.Since(began)
	tell("%d controllers and %d proxies serve after %v", m.Controllers, m.Proxies, w.out.Settle.Round(time.Millisecond))
	ctx, end := context.WithTimeout(ctx, m.Length)
	defer end()
	var parts sync.WaitGroup
	calm := time.Duration(0)
	for _, f := range m.Faults {
		calm = max(calm, f.At+f.For)
		parts.Go(func() { w.befall(ctx, f, tell) })
	}
	parts.Go(func() { w.operate(ctx, tell) })
	if w.side != nil {
		parts.Go(func() { w.narrow(ctx, tell) })
	}
	w.clients(ctx, time.Now().Add(calm+4*time.Second))
	parts.Wait()
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, Error.New("stopped")
	}
	w.judge()
	return &w.out, nil
}

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
		a, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), b.Destination, b.App, b.Control, 8, w.Work, w.Size)
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
	if err := testmesh.Write(p.settings, p.settingsFile); err != nil {
		return Error.Wrap(err)
	}
	p.settings.FirstStart = false // from now on
	cmd := exec.Command(p.program, "serve")
	cmd.Env = []string{settings.Variable + "=" + p.settingsFile, "PATH=" + os.Getenv("PATH")}
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

func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out.Broken = append(w.out.Broken, fmt.Sprintf(format, args...))
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
		c := rpc.NewCaller()
		defer c.Close()
		if err := c.Call(patience, w.plan.Controllers[0].Inner(), rpc.PathCreditOrder, &controller.Order{Tenant: tenant, Tokens: w.Credit, Who: "meshsim", Why: "the rush"}, &burstcredit.AccountStatus{}); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// account is what the core has agreed on of the tenant's credit.
func (w *world) account(ctx context.Context) (*burstcredit.AccountStatus, error) {
	c := rpc.NewCaller()
	defer c.Close()
	var last error
	for _, b := range w.plan.Controllers {
		s := &controller.Status{}
		if last = c.Call(ctx, b.Inner(), rpc.PathStatus, controller.StatusRequest{Newest: true}, s); last == nil {
			return controller.Account(s.State.Credit, tenant)
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

func (w *world) call(ctx context.Context, comb int, call, match, body string) (int, string, error) {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.plan.Controllers[comb%w.Controllers].Control+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("If-Match", match)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return a.StatusCode, string(text), err
}

// send has a client on a proxy's machine ask for something; -1 is an answer that is not what an upstream sent.
func (w *world) send(ctx context.Context, c *http.Client, forager int, method, path, id string) (int, time.Duration) {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+w.plan.Proxies[forager].Outbound+path, nil)
	if err != nil {
		return 0, 0
	}
	r.Host = "demo.example"
	outside := strings.HasPrefix(path, "/scans/")
	if outside {
		r.Host = "zuid.example"
	}
	r.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"2000"}}
	key, _, _ := strings.Cut(id, "/")
	if w.Credit > 0 {
		r.Header["X-Key"], r.Header["Idempotency-Key"] = []string{"k"}, []string{key}
	}
	w.mu.Lock()
	w.sent[id] = &try{once: method == "POST", outside: outside}
	w.mu.Unlock()
	a, err := c.Do(r)
	if err != nil {
		return 0, time.Since(began)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	status := a.StatusCode
	switch {
	case err != nil:
		status = 0
	case outside:
	case status == http.StatusOK && (a.Header.Get("X-Postmark") == "" || len(body) != w.Size || a.Header.Get("X-Attempt-Id") != id):
		status = -1
	}
	w.mu.Lock()
	w.sent[id].status = status
	w.mu.Unlock()
	return status, time.Since(began)
}

// clients send until the end; calm is when all that is wrong has been over for a while.
func (w *world) clients(ctx context.Context, calm time.Time) {
	chance := rand.New(rand.NewPCG(w.Seed, 1))
	var flying sync.WaitGroup
	c := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	late, end := context.WithTimeout(context.WithoutCancel(ctx), w.Length+5*time.Second)
	defer end()
	for n := 0; nap(ctx, time.Duration(chance.ExpFloat64()/w.Rate*1e9)) == nil; n++ {
		f, method, kind := chance.IntN(w.Proxies), "GET", "read"
		if chance.IntN(4) == 0 {
			method, kind = "POST", "once"
		}
		path, id := "/"+kind+"/"+w.Services[chance.IntN(len(w.Services))]+"/", fmt.Sprintf("%d-%d", w.Seed, n)
		if w.side != nil && chance.IntN(3) == 0 {
			path = "/scans/x"
		}
		after := time.Now().After(calm) && w.Credit == 0 && !strings.HasPrefix(path, "/scans/") // a tenant beyond its rate is refused
		if w.Credit > 0 && chance.IntN(5) == 0 {                                                // asked again at once, elsewhere
			other := chance.IntN(w.Proxies)
			flying.Go(func() { w.send(late, c, other, method, path, id+"/again") })
		}
		flying.Go(func() {
			status, took := w.send(late, c, f, method, path, id)
			w.mu.Lock()
			defer w.mu.Unlock()
			s := &w.out.By[f]
			s.Asked++
			w.out.Asked++
			if after {
				w.tail[0]++
			}
			switch {
			case status == http.StatusOK:
				s.OK++
				w.out.OK++
				if after {
					w.tail[1]++
				}
				if took > aim {
					w.out.Late++
				}
			case status == http.StatusForbidden && strings.HasPrefix(path, "/scans/"), status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				s.Refused++
			case status == 0:
				s.NoAnswer++
			default:
				s.Failed++
			}
		})
	}
	flying.Wait()
}

// operate changes the configuration now and then and reads it back.
func (w *world) operate(ctx context.Context, tell func(string, ...any)) {
	edition, newest := 1, 1
	for nap(ctx, 3*time.Second) == nil {
		edition += 2
		body := fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%dms"}}`, edition, 15000+edition)
		began := time.Now()
		for n := 0; ctx.Err() == nil; n++ {
			status, text, _ := w.call(ctx, n, "timetable.amend", fmt.Sprint(newest), body)
			if status == http.StatusOK {
				newest = edition
				w.mu.Lock()
				w.out.Changes++
				w.out.Acks = append(w.out.Acks, time.Since(began))
				w.mu.Unlock()
				break
			}
			if status >= 400 && status < 500 {
				w.breaks("CONFIG: version %d on top of %d was refused: %d %s", edition, newest, status, strings.TrimSpace(text))
				return
			}
			nap(ctx, 100*time.Millisecond)
		}
	}
	tell("%d versions were acknowledged", w.out.Changes)
	back, end := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer end()
	for n := 0; back.Err() == nil; n++ {
		if status, text, _ := w.call(back, n, "timetable.fetch", "", ""); status == http.StatusOK {
			if !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, newest)) && !strings.Contains(text, fmt.Sprintf(`"Edition":%d`, edition)) {
				w.breaks("LOST: version %d was acknowledged; read back: %.80s", newest, text)
			}
			return
		}
		nap(back, 50*time.Millisecond)
	}
	w.breaks("CONFIG: nobody gives the timetable at the end")
}

// narrow has the partner change its mind, over and over; it ends open.
func (w *world) narrow(ctx context.Context, tell func(string, ...any)) {
	for n := 0; nap(ctx, w.Partner) == nil; n++ {
		if n%2 == 1 {
			w.side.Say("GET", "POST")
			continue
		}
		edition := w.side.Say("GET")
		for {
			if told, took := w.side.Told(); told >= edition {
				w.mu.Lock()
				w.out.Done = append(w.out.Done, took)
				w.mu.Unlock()
				tell("the partner's edition %d is done after %v", edition, took.Round(time.Millisecond))
				break
			}
			if nap(ctx, 20*time.Millisecond) != nil {
				return
			}
		}
	}
}

// befall has one fault happen, and end.
func (w *world) befall(ctx context.Context, f Fault, tell func(string, ...any)) {
	if nap(ctx, f.At) != nil {
		return
	}
	var hit []*process
	for n, p := range w.all {
		comb := n < w.Controllers
		if f.Kind == KillAll || comb == strings.HasSuffix(f.Kind, "_comb") &&
			(comb && n == f.Who%w.Controllers || !comb && n-w.Controllers == f.Who%w.Proxies) {
			hit = append(hit, p)
		}
	}
	for _, p := range hit {
		tell("%s of %s", f.Kind, p.name)
		switch {
		case strings.HasPrefix(f.Kind, "freeze"):
			p.signal(syscall.SIGSTOP, false)
		case f.Kind == TermProxy:
			p.signal(syscall.SIGTERM, true)
		default:
			p.signal(syscall.SIGKILL, true)
		}
	}
	nap(ctx, f.For)
	for _, p := range hit {
		if strings.HasPrefix(f.Kind, "freeze") {
			p.signal(syscall.SIGCONT, false)
			continue
		}
		p.signal(syscall.SIGKILL, true) // one that was asked to leave has left by now
		if f.Kind == WipeController {
			os.RemoveAll(p.settings.DataDir)
			os.MkdirAll(p.settings.DataDir, 0o755)
		}
		if ctx.Err() != nil {
			return
		}
		if err := w.run(p); err != nil {
			w.breaks("%s does not start again: %v", p.name, err)
			return
		}
		w.mu.Lock()
		w.out.Restarts++
		w.mu.Unlock()
		tell("%s is back", p.name)
	}
}

// judge holds what clients were told against what upstreams ran.
func (w *world) judge() {
	runs := map[string]int{}
	for n, a := range w.apps {
		for id, k := range a.All() {
			runs[id] += k
			w.out.By[n].Ran += k
		}
	}
	if w.side != nil {
		ran, effects := w.side.Ran()
		for id, k := range ran {
			runs[id] += k
		}
		w.out.Effects = effects
		for _, what := range w.side.Kept() {
			w.breaks("KEPT: %s, after that narrowing was reported done", what)
		}
	}
	if w.Credit > 0 {
		w.judgeCredit(runs)
	}
	for id, k := range runs {
		t := w.sent[id]
		switch {
		case t == nil:
			w.breaks("UNASKED: %s ran and was sent by nobody", id)
		case t.once && k > 1:
			w.breaks("TWICE: %s ran %d times", id, k)
		case t.once && (t.status == http.StatusServiceUnavailable || t.status == http.StatusTooManyRequests || t.status == http.StatusForbidden):
			w.breaks("REFUSED: %s was promised not to run, and ran", id)
		}
	}
	for id, t := range w.sent {
		switch {
		case t.status == -1:
			w.breaks("MIXED: %s got an answer that is no upstream's", id)
		case t.status == http.StatusOK && runs[id] == 0:
			w.breaks("MIXED: %s was answered and never ran", id)
		case !t.outside && t.status >= 300 && t.status < 500 && t.status != http.StatusTooManyRequests:
			w.breaks("DENIED: %s got %d", id, t.status)
		}
	}
	if w.tail[0] > 0 && float64(w.tail[1]) < 0.9*float64(w.tail[0]) {
		w.breaks("RECOVER: %d of %d requests were served once all was mended", w.tail[1], w.tail[0])
	}
	slices.Sort(w.out.Broken)
}

// judgeCredit holds what was charged against what was served: each key once, effects that may have run among them.
func (w *world) judgeCredit(runs map[string]int) {
	due := map[string]bool{}
	for id, t := range w.sent {
		if key, _, _ := strings.Cut(id, "/"); t.status == http.StatusOK || t.once && runs[id] > 0 || t.status == 0 {
			due[key] = true
		}
	}
	w.out.DueMost = len(due)
	ctx, end := context.WithTimeout(context.Background(), 8*time.Second)
	defer end()
	var a *burstcredit.AccountStatus
	for last := -1.0; ; { // until all has been told
		now, err := w.account(ctx)
		if err != nil && ctx.Err() != nil {
			w.breaks("CREDIT: nobody gives the account: %v", err)
			return
		}
		if err == nil {
			if a = now; a.Spent == last {
				break
			}
			last = a.Spent
		}
		if nap(ctx, time.Second) != nil {
			break
		}
	}
	w.out.Spent = a.Spent
	if a.Spent > float64(len(due))+1e-6 {
		w.breaks("CREDIT: %.0f charges, and %d requests that were due one at most", a.Spent, len(due))
	}
	if a.Gap > 1e-6 || a.Gap < -1e-6 {
		w.breaks("CREDIT: the account is out by %g", a.Gap)
	}
	if a.Spent > w.Credit+a.Earned {
		w.breaks("CREDIT: %.0f charged of a credit of %.0f", a.Spent, w.Credit+a.Earned)
	}
}

// Print writes what was seen; the last line is the verdict.
func (o *Outcome) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "proxy\tasked\tserved\trefused\tfailed\tno answer\tran beside it\t")
	for _, s := range o.By {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.Node, s.Asked, s.OK, s.Refused, s.Failed, s.NoAnswer, s.Ran)
	}
	t.Flush()
	for _, b := range o.Broken[:min(len(o.Broken), 10)] {
		fmt.Fprintln(out, b)
	}
	if n := len(o.Acks); n > 0 {
		slices.Sort(o.Acks)
		fmt.Fprintf(out, "changes of a timetable of %d bytes: acknowledged after %v in the median, %v at most\n", o.Bytes, o.Acks[n/2].Round(100*time.Microsecond), o.Acks[n-1].Round(time.Millisecond))
	}
	if o.Spent > 0 {
		fmt.Fprintf(out, "credit: %.0f charged; %d requests were due a charge at most\n", o.Spent, o.DueMost)
	}
	if len(o.Done) > 0 {
		fmt.Fprintf(out, "partner: %d effects ran, %d narrowings done, after %v at most\n", o.Effects, len(o.Done), slices.Max(o.Done).Round(time.Millisecond))
	}
	verdict := "held"
	if len(o.Broken) > 0 {
		verdict = "broken"
	}
	fmt.Fprintf(out, "verdict=%s served=%.4f late=%d restarts=%d changes=%d broken=%d\n", verdict, float64(o.OK)/float64(max(o.Asked, 1)), o.Late, o.Restarts, o.Changes, len(o.Broken))
}

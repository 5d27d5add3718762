package mesh_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/meshctl"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// mesh is whole processes of both planes on loopback, in one process of ours.
type mesh struct {
	t     *testing.T
	plan  *testmesh.Mesh
	apps  []*testmesh.Upstream
	stops map[string]func()
	ids   int
}

func start(t *testing.T, controllers, proxies int, work time.Duration, size int) *mesh {
	m := &mesh{t: t}
	m.startAll(controllers, proxies, work, size, m.proxy)
	return m
}

// startAll starts controllers, balancers by startProxy, and an upstream beside each.
func (m *mesh) startAll(controllers, proxies int, work time.Duration, size int, startProxy func(*settings.Settings)) {
	t := m.t
	plan, err := testmesh.Plan(controllers, proxies, []string{"east", "west"}, []string{"album", "album", "regie"}, t.TempDir())
	must.NoError(t, err)
	m.plan, m.stops = plan, map[string]func(){}
	t.Cleanup(func() {
		for _, stop := range m.stops {
			stop()
		}
		for _, a := range m.apps {
			a.Stop()
		}
	})
	for _, b := range plan.Controllers {
		must.NoError(t, os.MkdirAll(b.DataDir, 0o755))
		m.comb(b)
	}
	for n, b := range plan.Proxies {
		b.Bounds.Grace = 2 * time.Second
		startProxy(b)
		a, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), b.Service, b.UpstreamAddress, b.ControlAddress, 8, work, size)
		must.NoError(t, err)
		m.apps = append(m.apps, a)
	}
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func (m *mesh) run(name string, run func(context.Context) error) {
	ctx, end := context.WithCancel(context.Background())
	var over sync.WaitGroup
	over.Add(1)
	go func() { defer over.Done(); run(ctx) }()
	m.stops[name] = func() { end(); over.Wait(); delete(m.stops, name) }
}

func (m *mesh) comb(b *settings.Settings) {
	c, err := controller.Open(b, quiet)
	must.NoError(m.t, err)
	m.run(b.Node, c.Run)
}

func (m *mesh) proxy(b *settings.Settings) {
	b.Bounds.Grace = 2 * time.Second
	m.run(b.Node, proxy.New(b, quiet).Run)
}

const config = `{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"Senders":[{"Name":"acme","ApiKeys":["k1"],"Precedence":1,"RatePerS":10000,"Surge":10000}],
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"read","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/read/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}},
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"},{"Name":"regie","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// call is an operator's call at one of the core's processes.
func (m *mesh) call(at int, call, match, body string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Controllers[at].ControlAddress+"/-/rpc?call="+call, strings.NewReader(body))
	must.NoError(m.t, err)
	r.Header.Set("If-Match", match)
	w, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer w.Body.Close()
	text, _ := io.ReadAll(w.Body)
	return w.StatusCode, string(text)
}

// ready waits until a balancer knows its configuration and so many upstreams answer through it.
func (m *mesh) until(what func() bool) {
	m.t.Helper()
	must.Wait(m.t, wait.InitialSuccess(wait.BoolFunc(what), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

func (m *mesh) send(proxy int, method, path string) (status int, id string, w *http.Response, body string) {
	m.ids++
	id = fmt.Sprintf("t%d", m.ids)
	status, w, body = m.sendAs(proxy, method, path, id)
	return status, id, w, body
}

func (m *mesh) sendAs(proxy int, method, path, id string) (int, *http.Response, string) {
	r, err := http.NewRequest(method, "http://"+m.plan.Proxies[proxy].OutboundAddress+path, nil)
	must.NoError(m.t, err)
	r.Host = "a.example"
	r.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"2000"}, "X-Key": {"k1"}, "X-Sender": {"forged"}, "X-Return-Address": {"forged"}}
	w, err := (&http.Client{Timeout: 4 * time.Second}).Do(r)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	if err != nil {
		return -1, w, err.Error()
	}
	return w.StatusCode, w, string(body)
}

func (m *mesh) runs(id string) (n int) {
	for _, a := range m.apps {
		n += a.Runs(id)
	}
	return n
}

func (m *mesh) put(edition int) {
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(config, edition))
		return status == http.StatusOK
	})
	for n := range m.plan.Proxies {
		m.until(func() bool { status, _, _, _ := m.send(n, "GET", "/read/x"); return status == http.StatusOK })
	}
}

func TestAMeshServesThroughTheLossOfACombAndAForager(t *testing.T) {
	m := start(t, 3, 4, 0, 100)
	var status int
	var w *http.Response
	m.until(func() bool { status, _, w, _ = m.send(0, "GET", "/read/x"); return status != 0 })
	must.Eq(t, http.StatusServiceUnavailable, status) // no configuration yet: it has not run, come back
	must.NotEq(t, "", w.Header.Get("Retry-After"))
	m.put(3)
	_, id, w, body := m.send(1, "POST", "/once/y?z=1")
	must.Eq(t, 1, m.runs(id))
	must.Eq(t, id, w.Header.Get("X-Attempt-Id"))
	must.Eq(t, 100, len(body))
	for _, a := range m.apps {
		if a.Runs(id) == 1 {
			must.Eq(t, "acme", a.Saw("X-Sender"))
			must.Eq(t, m.plan.Proxies[1].Service, a.Saw("X-Return-Address"))
			must.Eq(t, "", a.Saw("X-Key"))
			must.Eq(t, a.ID, a.Saw("X-Addressee"))
		}
	}
	m.stops["controller-1"]()
	m.stops["proxy-0"]()
	m.apps[0].Stop()
	for n := range 40 {
		status, id, _, _ := m.send(1+n%3, "GET", "/read/x")
		must.Eq(t, http.StatusOK, status, must.Sprint(n, id))
	}
	status, _ = m.call(0, "timetable.replace", "3", fmt.Sprintf(config, 9))
	must.Eq(t, http.StatusOK, status)
	status, text := m.call(2, "timetable.fetch", "", "")
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, text, `"Edition":9`)
}

func TestAnswersOfUpstreamsThatGoWrong(t *testing.T) {
	m := start(t, 1, 2, 0, 4000)
	m.put(1)
	m.until(func() bool { // both are known at both
		for n := range m.plan.Proxies {
			m.send(n, "GET", "/read/")
		}
		return m.apps[0].Total() > 1 && m.apps[1].Total() > 1
	})
	all := func(f testmesh.Fault) {
		for _, a := range m.apps {
			a.Next(f)
		}
	}
	clear := func() {
		for _, a := range m.apps {
			for a.Pending() > 0 {
				a.Drop()
			}
		}
	}
	for _, c := range []struct {
		fault        testmesh.Fault
		method, path string
		status, runs int
	}{
		{testmesh.OtherID, "POST", "/once/", 200, 1}, {testmesh.Extra, "POST", "/once/", 200, 1}, {testmesh.Sound, "POST", "/once/", 200, 1},
		{testmesh.CutShort, "POST", "/once/", 502, 1}, {testmesh.Reset, "POST", "/once/", 502, 1}, {testmesh.Unstamped, "POST", "/once/", 502, 1},
		{testmesh.Full, "POST", "/once/", 503, 0}, {testmesh.Elsewhere, "POST", "/once/", 503, 0}, {testmesh.Elsewhere, "GET", "/read/", 503, 0}, {testmesh.Error, "POST", "/once/", 500, 1},
	} {
		all(c.fault)
		status, id, _, body := m.send(0, c.method, c.path)
		must.Eq(t, c.status, status, must.Sprint(c.fault, c.path))
		must.Eq(t, c.runs, m.runs(id), must.Sprint(c.fault, c.path))
		if status == 200 {
			must.Eq(t, 4000, len(body))
		}
		clear()
	}
	for range 12 { // the module's bucket is filled by first sends
		m.send(1, "GET", "/read/")
	}
	m.apps[0].Next(testmesh.CutShort) // a repeatable one is sent again, to the other
	m.apps[1].Next(testmesh.Sound)
	for range 2 {
		status, _, _, body := m.send(1, "GET", "/read/")
		must.Eq(t, 200, status)
		must.Eq(t, 4000, len(body))
	}
}

func TestALongAnswerThatIsCutLooksCut(t *testing.T) {
	m := start(t, 1, 1, 0, 300<<10)
	m.put(1)
	status, _, _, body := m.send(0, "GET", "/read/")
	must.Eq(t, 200, status)
	must.Eq(t, 300<<10, len(body))
	m.apps[0].Next(testmesh.CutShort)
	status, _, _, _ = m.send(0, "GET", "/read/")
	must.Eq(t, -1, status)
}

func TestAClosingUpstreamGetsNothingMoreAndOneThatLeavesEndsItsWork(t *testing.T) {
	m := start(t, 1, 2, 300*time.Millisecond, 10)
	m.put(1)
	m.until(func() bool { // both are known everywhere
		before := m.apps[0].Total()
		m.send(1, "GET", "/read/x")
		m.send(1, "GET", "/read/x")
		return m.apps[0].Total() > before
	})
	var wg sync.WaitGroup
	results := make(chan int, 8)
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, _ := m.sendAs(n%2, "POST", "/once/x", fmt.Sprintf("w%d", n))
			results <- status
		}()
	}
	m.until(func() bool { return m.apps[0].Total()+m.apps[1].Total() > 8 })
	must.True(t, m.apps[0].Close())
	m.stops["proxy-0"]() // SIGTERM with work both ways in proxy
	wg.Wait()
	close(results)
	for status := range results {
		must.Eq(t, 200, status)
	}
}

func TestTheOperatorsCalls(t *testing.T) {
	m := start(t, 3, 0, 0, 0)
	one := fmt.Sprintf(config, 3)
	m.until(func() bool { status, _ := m.call(0, "timetable.replace", "0", one); return status == 200 })
	for _, c := range []struct {
		at          int
		call, match string
		body        string
		status      int
	}{
		{1, "timetable.replace", "0", one, 200},                    // the very same again
		{2, "timetable.replace", "0", fmt.Sprintf(config, 5), 412}, // another on the same version
		{0, "timetable.replace", "3", fmt.Sprintf(config, 3), 200}, // known still
		{0, "timetable.replace", "3", fmt.Sprintf(config, 2), 400}, // not above the current one
		{1, "timetable.replace", "3", one[:len(one)/2], 400},       // cut short
		{1, "timetable.replace", "x", fmt.Sprintf(config, 5), 400}, // no version to build on
		{1, "timetable.amend", "3", `{"Edition":7,"Withdraw":{"Routes":["read","no-such"]}}`, 200},
		{2, "timetable.amend", "3", `{"Edition":7,"Withdraw":{"Routes":["read","no-such"]}}`, 200}, // again, after silence
		{2, "timetable.amend", "7", `{"Edition":8,"Withdraw":{"Depots":["album"]}}`, 400},          // a route goes there
		{0, "timetable.amend", "3", `{"Edition":9}`, 412},
		{0, "timetable.burn", "3", ``, 404},
	} {
		status, text := m.call(c.at, c.call, c.match, c.body)
		must.Eq(t, c.status, status, must.Sprint(c.call, c.match, c.body, text))
	}
	_, text := m.call(1, "timetable.fetch", "", "")
	must.StrContains(t, text, `"Edition":7`)
	must.StrNotContains(t, text, `"read"`)
	m.stops["controller-0"]()
	m.stops["controller-1"]()
	status, text := m.call(2, "timetable.replace", "7", fmt.Sprintf(config, 9)) // no majority: unclear, never a 4xx
	must.Eq(t, 503, status, must.Sprint(text))
	status, _ = m.call(2, "timetable.fetch", "", "")
	must.Eq(t, 503, status)
}

// Burst credit through whole processes: a rush of pages beyond the tenant's rate is served out of what an operator granted, asked
// for at two balancers; a page that is asked again draws no second time, and the account adds up, also after the core's restart.
func TestARushOnBurstCredit(t *testing.T) {
	m := start(t, 1, 3, 0, 100)
	table := strings.Replace(config, `"RatePerS":10000,"Surge":10000`, `"RatePerS":4,"Surge":0,"Nectar":{"Earn":0.5,"Cap":500,"Keep":"1209600s","Extra":100}`, 1)
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(table, 1))
		return status == http.StatusOK
	})
	var served sync.Map
	page := func(n, at int) bool {
		status, _, _, _ := m.send(at, "GET", fmt.Sprintf("/read/p%d", n))
		if status == http.StatusOK {
			served.Store(n, true)
		}
		return status == http.StatusOK
	}
	m.until(func() bool { return page(0, 0) && page(0, 1) })
	c := rpc.NewClient(nil)
	defer c.Close()
	at := m.plan.Controllers[0].InternalAddress()
	stand := &burstcredit.AccountStatus{}
	must.NoError(t, c.Call(context.Background(), at, rpc.PathCreditOrder, &controller.Order{Tenant: "acme", Tokens: 150, Who: "me", Why: "a rush"}, stand))
	must.Eq(t, 150, stand.Balance)
	must.Error(t, c.Call(context.Background(), at, rpc.PathCreditOrder, &controller.Order{Tenant: "acme", Tokens: 150}, stand)) // nobody says why
	rush := func(from, to int) (ok int) {
		for n := from; n < to; n++ {
			for _, at := range []int{0, 1} {
				if page(n, at) {
					ok++
				}
			}
		}
		return ok
	}
	m.until(func() bool { return rush(1, 3) == 4 }) // the first tokens are drawn
	ok := rush(100, 160)
	must.Greater(t, 60, ok) // 4 a second alone would have served a few
	account := func() *burstcredit.AccountStatus {
		s := &controller.Status{}
		must.NoError(t, c.Call(context.Background(), at, rpc.PathStatus, &controller.StatusRequest{}, s))
		a, err := controller.FindAccount(s.State.Credit, "acme")
		must.NoError(t, err)
		return a
	}
	pages := 0
	served.Range(func(any, any) bool { pages++; return true })
	last := -1.0
	m.until(func() bool { // all has been told
		a := account()
		settled := a.Spent == last && a.Spent > 10
		last = a.Spent
		return settled
	})
	a := account()
	must.LessEq(t, float64(pages), a.Spent) // asked for twice each, drawn once
	must.Less(t, 1e-6, max(a.Gap, -a.Gap))
	m.stops["controller-0"]()
	m.comb(m.plan.Controllers[0])
	m.until(func() bool {
		s := &controller.Status{}
		return c.Call(context.Background(), at, rpc.PathStatus, &controller.StatusRequest{}, s) == nil && len(s.State.Credit) > 0
	})
	must.GreaterEq(t, a.Spent, account().Spent)
}

// A partner narrows what it exports while work goes on: from the moment at which it is told that this is done, no effect comes
// any more, reads go on, nothing runs twice, and who asks is told at once.
func TestAPartnerNarrowsItsExports(t *testing.T) {
	m := start(t, 1, 3, 0, 100)
	partner, err := testmesh.NewPartner("zuid", "127.77.19.1:0")
	must.NoError(t, err)
	t.Cleanup(partner.Stop)
	table := strings.Replace(config, `"Depots"`, fmt.Sprintf(`"Mesh":"us","Partners":[{"Name":"zuid","Gateway":%q,"Target":"300ms","Deadline":"1000ms","Tries":2}],"Depots"`, partner.Address), 1)
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(table, 1))
		return status == http.StatusOK
	})
	status, text := m.call(0, "timetable.replace", "1", fmt.Sprintf(strings.Replace(table, `"Mesh":"us",`, "", 1), 2))
	must.Eq(t, 400, status)
	must.StrContains(t, text, "Mesh")
	var mu sync.Mutex
	ask := func(at int, method, path, id string) (int, string) {
		r, err := http.NewRequest(method, "http://"+m.plan.Proxies[at].OutboundAddress+path, nil)
		must.NoError(t, err)
		r.Host = "zuid.example"
		r.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"1000"}, "X-Key": {"k1"}, "X-Hive-Gate": {"zuid"}, "X-Import-Edition": {"99"}}
		w, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			return 0, ""
		}
		defer w.Body.Close()
		body, _ := io.ReadAll(w.Body)
		return w.StatusCode, string(body)
	}
	for n := range m.plan.Proxies {
		m.until(func() bool {
			status, _ := ask(n, "POST", "/scans/1", fmt.Sprint("first", rand.Uint64()))
			return status == 200
		})
	}
	for path, want := range map[string]int{"/scans/1": 200, "/other/1": 404, "/scans/../scans/1": 404, "/%73cans/1": 404} {
		status, _ := ask(0, "GET", path, "path"+path)
		must.Eq(t, want, status, must.Sprint(path))
	}
	status, _ = ask(0, "DELETE", "/scans/1", "delete")
	must.Eq(t, http.StatusForbidden, status)

	told := map[string]int{}
	end := make(chan struct{})
	var load sync.WaitGroup
	for at := range m.plan.Proxies {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				id := fmt.Sprintf("e%d-%d", at, n)
				status, _ := ask(at, "POST", "/scans/1", id)
				mu.Lock()
				told[id] = status
				mu.Unlock()
			}
		})
	}
	for range 2 {
		edition := partner.Say("GET")
		m.until(func() bool { now, _ := partner.Told(); return now >= edition })
		_, took := partner.Told()
		t.Logf("edition %d: done after %v", edition, took)
		status, _ := ask(1, "POST", "/scans/1", fmt.Sprint("late", edition))
		must.Eq(t, http.StatusForbidden, status)
		status, body := ask(2, "GET", "/scans/1", fmt.Sprint("read", edition))
		must.Eq(t, 200, status)
		must.Eq(t, "of a partner", body)
		var out, faults bytes.Buffer
		args := []string{"--core", m.plan.Controllers[0].ControlAddress, "--inner", fmt.Sprint(m.plan.Controllers[0].FirstInternalPort), "partners"}
		must.Eq(t, meshctl.OK, meshctl.Run(args, &out, &faults), must.Sprint(faults.String()))
		must.StrContains(t, out.String(), "3 of the balancers that ask controller-0 act on word")
		must.Eq(t, meshctl.OK, meshctl.Run(append(args, "show", "zuid"), &out, &faults))
		must.StrContains(t, out.String(), "zuid.example")
		partner.Say("GET", "POST")
		m.until(func() bool {
			status, _ := ask(0, "POST", "/scans/1", fmt.Sprint("open", rand.Uint64()))
			return status == 200
		})
	}
	close(end)
	load.Wait()
	must.SliceEmpty(t, partner.Kept())
	ran, effects := partner.Ran()
	must.Greater(t, 20, effects)
	for id, status := range told {
		must.LessEq(t, 1, ran[id], must.Sprint(id))
		if status == 200 {
			must.Eq(t, 1, ran[id], must.Sprint(id))
		}
		if status == 403 || status == 503 {
			must.Eq(t, 0, ran[id], must.Sprint(id, status))
		}
	}
}

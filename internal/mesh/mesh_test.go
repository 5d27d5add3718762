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

// mesh is controllers, proxies and upstreams on loopback, all in the process of the test.
type mesh struct {
	t         *testing.T
	plan      *testmesh.Mesh
	upstreams []*testmesh.Upstream
	stops     map[string]func()
	lastID    int
}

func startMesh(t *testing.T, controllers, proxies int, work time.Duration, size int) *mesh {
	m := &mesh{t: t}
	m.startAll(controllers, proxies, work, size, m.startProxy)
	return m
}

// startAll starts controllers, proxies with startProxy, and an upstream beside each proxy.
func (m *mesh) startAll(controllers, proxies int, work time.Duration, size int, startProxy func(*settings.Settings)) {
	t := m.t
	plan, err := testmesh.Plan(controllers, proxies, []string{"east", "west"}, []string{"album", "album", "regie"}, t.TempDir())
	must.NoError(t, err)
	m.plan, m.stops = plan, map[string]func(){}
	t.Cleanup(func() {
		for _, stop := range m.stops {
			stop()
		}
		for _, upstream := range m.upstreams {
			upstream.Stop()
		}
	})
	for _, cfg := range plan.Controllers {
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		m.startController(cfg)
	}
	for n, cfg := range plan.Proxies {
		cfg.Bounds.Grace = 2 * time.Second
		startProxy(cfg)
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), cfg.Service, cfg.UpstreamAddress, cfg.ControlAddress, 8, work, size)
		must.NoError(t, err)
		m.upstreams = append(m.upstreams, upstream)
	}
}

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func (m *mesh) runProcess(name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); run(ctx) }()
	m.stops[name] = func() { cancel(); done.Wait(); delete(m.stops, name) }
}

func (m *mesh) startController(cfg *settings.Settings) {
	core, err := controller.Open(cfg, discardLogger)
	must.NoError(m.t, err)
	m.runProcess(cfg.Node, core.Run)
}

func (m *mesh) startProxy(cfg *settings.Settings) {
	cfg.Bounds.Grace = 2 * time.Second
	m.runProcess(cfg.Node, proxy.New(cfg, discardLogger).Run)
}

const config = `{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"Senders":[{"Name":"acme","ApiKeys":["k1"],"Precedence":1,"RatePerS":10000,"Surge":10000}],
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"read","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/read/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}},
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"},{"Name":"regie","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// call makes an operator's call to one controller.
func (m *mesh) call(controller int, method, ifMatch, body string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Controllers[controller].ControlAddress+"/-/rpc?call="+method, strings.NewReader(body))
	must.NoError(m.t, err)
	request.Header.Set("If-Match", ifMatch)
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// waitUntil waits up to 15 s until a condition holds.
func (m *mesh) waitUntil(condition func() bool) {
	m.t.Helper()
	must.Wait(m.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(15*time.Second), wait.Gap(20*time.Millisecond)))
}

func (m *mesh) send(proxy int, method, path string) (status int, id string, response *http.Response, body string) {
	m.lastID++
	id = fmt.Sprintf("t%d", m.lastID)
	status, response, body = m.sendWithID(proxy, method, path, id)
	return status, id, response, body
}

func (m *mesh) sendWithID(proxy int, method, path, id string) (int, *http.Response, string) {
	request, err := http.NewRequest(method, "http://"+m.plan.Proxies[proxy].OutboundAddress+path, nil)
	must.NoError(m.t, err)
	request.Host = "a.example"
	request.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"2000"}, "X-Key": {"k1"}, "X-Sender": {"forged"}, "X-Return-Address": {"forged"}}
	response, err := (&http.Client{Timeout: 4 * time.Second}).Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return -1, response, err.Error()
	}
	return response.StatusCode, response, string(body)
}

func (m *mesh) runs(id string) (n int) {
	for _, upstream := range m.upstreams {
		n += upstream.Runs(id)
	}
	return n
}

func (m *mesh) applyConfig(version int) {
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(config, version))
		return status == http.StatusOK
	})
	for n := range m.plan.Proxies {
		m.waitUntil(func() bool { status, _, _, _ := m.send(n, "GET", "/read/x"); return status == http.StatusOK })
	}
}

func TestMeshServesAfterLosingControllerAndProxy(t *testing.T) {
	m := startMesh(t, 3, 4, 0, 100)
	var status int
	var response *http.Response
	m.waitUntil(func() bool { status, _, response, _ = m.send(0, "GET", "/read/x"); return status != 0 })
	must.Eq(t, http.StatusServiceUnavailable, status) // without a configuration requests do not run and may be retried
	must.NotEq(t, "", response.Header.Get("Retry-After"))
	m.applyConfig(3)
	_, id, response, body := m.send(1, "POST", "/once/y?z=1")
	must.Eq(t, 1, m.runs(id))
	must.Eq(t, id, response.Header.Get("X-Attempt-Id"))
	must.Eq(t, 100, len(body))
	for _, upstream := range m.upstreams {
		if upstream.Runs(id) == 1 {
			must.Eq(t, "acme", upstream.LastHeader("X-Sender"))
			must.Eq(t, m.plan.Proxies[1].Service, upstream.LastHeader("X-Return-Address"))
			must.Eq(t, "", upstream.LastHeader("X-Key"))
			must.Eq(t, upstream.ID, upstream.LastHeader("X-Addressee"))
		}
	}
	m.stops["controller-1"]()
	m.stops["proxy-0"]()
	m.upstreams[0].Stop()
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

func TestResponsesOfFaultyUpstreams(t *testing.T) {
	m := startMesh(t, 1, 2, 0, 4000)
	m.applyConfig(1)
	m.waitUntil(func() bool { // both proxies know both upstreams
		for n := range m.plan.Proxies {
			m.send(n, "GET", "/read/")
		}
		return m.upstreams[0].TotalRuns() > 1 && m.upstreams[1].TotalRuns() > 1
	})
	injectAll := func(fault testmesh.Fault) {
		for _, upstream := range m.upstreams {
			upstream.InjectFaults(fault)
		}
	}
	dropAll := func() {
		for _, upstream := range m.upstreams {
			for upstream.PendingFaults() > 0 {
				upstream.DropNextFault()
			}
		}
	}
	for _, test := range []struct {
		fault        testmesh.Fault
		method, path string
		status, runs int
	}{
		{testmesh.PrecedingOtherID, "POST", "/once/", 200, 1}, {testmesh.DuplicateResponse, "POST", "/once/", 200, 1}, {testmesh.NoFault, "POST", "/once/", 200, 1},
		{testmesh.CloseInBody, "POST", "/once/", 502, 1}, {testmesh.Reset, "POST", "/once/", 502, 1}, {testmesh.SuccessWithoutStamp, "POST", "/once/", 502, 1},
		{testmesh.Unavailable, "POST", "/once/", 503, 0}, {testmesh.Misdirected, "POST", "/once/", 503, 0}, {testmesh.Misdirected, "GET", "/read/", 503, 0}, {testmesh.Error, "POST", "/once/", 500, 1},
	} {
		injectAll(test.fault)
		status, id, _, body := m.send(0, test.method, test.path)
		must.Eq(t, test.status, status, must.Sprint(test.fault, test.path))
		must.Eq(t, test.runs, m.runs(id), must.Sprint(test.fault, test.path))
		if status == 200 {
			must.Eq(t, 4000, len(body))
		}
		dropAll()
	}
	for range 12 { // first attempts fill the retry budget of the proxy
		m.send(1, "GET", "/read/")
	}
	m.upstreams[0].InjectFaults(testmesh.CloseInBody) // a repeatable request is retried at the other upstream
	m.upstreams[1].InjectFaults(testmesh.NoFault)
	for range 2 {
		status, _, _, body := m.send(1, "GET", "/read/")
		must.Eq(t, 200, status)
		must.Eq(t, 4000, len(body))
	}
}

func TestTruncatedLongResponseIsVisible(t *testing.T) {
	m := startMesh(t, 1, 1, 0, 300<<10)
	m.applyConfig(1)
	status, _, _, body := m.send(0, "GET", "/read/")
	must.Eq(t, 200, status)
	must.Eq(t, 300<<10, len(body))
	m.upstreams[0].InjectFaults(testmesh.CloseInBody)
	status, _, _, _ = m.send(0, "GET", "/read/")
	must.Eq(t, -1, status)
}

func TestDrainingUpstreamAndStoppingProxyFinishWork(t *testing.T) {
	m := startMesh(t, 1, 2, 300*time.Millisecond, 10)
	m.applyConfig(1)
	m.waitUntil(func() bool { // the second proxy knows both upstreams
		before := m.upstreams[0].TotalRuns()
		m.send(1, "GET", "/read/x")
		m.send(1, "GET", "/read/x")
		return m.upstreams[0].TotalRuns() > before
	})
	var wg sync.WaitGroup
	results := make(chan int, 8)
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, _ := m.sendWithID(n%2, "POST", "/once/x", fmt.Sprintf("w%d", n))
			results <- status
		}()
	}
	m.waitUntil(func() bool { return m.upstreams[0].TotalRuns()+m.upstreams[1].TotalRuns() > 8 })
	must.True(t, m.upstreams[0].Drain())
	m.stops["proxy-0"]() // stops while it forwards requests in both directions
	wg.Wait()
	close(results)
	for status := range results {
		must.Eq(t, 200, status)
	}
}

func TestOperatorCalls(t *testing.T) {
	m := startMesh(t, 3, 0, 0, 0)
	configuration := fmt.Sprintf(config, 3)
	m.waitUntil(func() bool { status, _ := m.call(0, "timetable.replace", "0", configuration); return status == 200 })
	for _, test := range []struct {
		at          int
		call, match string
		body        string
		status      int
	}{
		{1, "timetable.replace", "0", configuration, 200},                        // the same update again
		{2, "timetable.replace", "0", fmt.Sprintf(config, 5), 412},               // another update of the same version
		{0, "timetable.replace", "3", fmt.Sprintf(config, 3), 200},               // the same update, now with the current version as base
		{0, "timetable.replace", "3", fmt.Sprintf(config, 2), 400},               // version not above the current one
		{1, "timetable.replace", "3", configuration[:len(configuration)/2], 400}, // truncated
		{1, "timetable.replace", "x", fmt.Sprintf(config, 5), 400},               // invalid base version
		{1, "timetable.amend", "3", `{"Edition":7,"Withdraw":{"Routes":["read","no-such"]}}`, 200},
		{2, "timetable.amend", "3", `{"Edition":7,"Withdraw":{"Routes":["read","no-such"]}}`, 200}, // a retry of the same update
		{2, "timetable.amend", "7", `{"Edition":8,"Withdraw":{"Depots":["album"]}}`, 400},          // a route still uses the upstream service
		{0, "timetable.amend", "3", `{"Edition":9}`, 412},
		{0, "timetable.burn", "3", ``, 404},
	} {
		status, text := m.call(test.at, test.call, test.match, test.body)
		must.Eq(t, test.status, status, must.Sprint(test.call, test.match, test.body, text))
	}
	_, text := m.call(1, "timetable.fetch", "", "")
	must.StrContains(t, text, `"Edition":7`)
	must.StrNotContains(t, text, `"read"`)
	m.stops["controller-0"]()
	m.stops["controller-1"]()
	status, text := m.call(2, "timetable.replace", "7", fmt.Sprintf(config, 9)) // without a majority the outcome is unknown, which must not be a 4xx
	must.Eq(t, 503, status, must.Sprint(text))
	status, _ = m.call(2, "timetable.fetch", "", "")
	must.Eq(t, 503, status)
}

// Requests beyond the tenant's rate are served from burst credit that an operator granted. Each page is requested at
// two proxies and must be charged once. The account must balance, also after a restart of the core.
func TestBurstCredit(t *testing.T) {
	m := startMesh(t, 1, 3, 0, 100)
	withCredit := strings.Replace(config, `"RatePerS":10000,"Surge":10000`, `"RatePerS":4,"Surge":0,"Nectar":{"Earn":0.5,"Cap":500,"Keep":"1209600s","Extra":100}`, 1)
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(withCredit, 1))
		return status == http.StatusOK
	})
	var servedPages sync.Map
	page := func(n, proxyIndex int) bool {
		status, _, _, _ := m.send(proxyIndex, "GET", fmt.Sprintf("/read/p%d", n))
		if status == http.StatusOK {
			servedPages.Store(n, true)
		}
		return status == http.StatusOK
	}
	m.waitUntil(func() bool { return page(0, 0) && page(0, 1) })
	client := rpc.NewClient(nil)
	defer client.Close()
	controllerAddress := m.plan.Controllers[0].InternalAddress()
	status := &burstcredit.AccountStatus{}
	must.NoError(t, client.Call(context.Background(), controllerAddress, rpc.PathCreditOrder, &controller.Order{Tenant: "acme", Tokens: 150, Who: "me", Why: "a rush"}, status))
	must.Eq(t, 150, status.Balance)
	must.Error(t, client.Call(context.Background(), controllerAddress, rpc.PathCreditOrder, &controller.Order{Tenant: "acme", Tokens: 150}, status)) // without a name and a reason
	sendPages := func(from, to int) (ok int) {
		for n := from; n < to; n++ {
			for _, proxyIndex := range []int{0, 1} {
				if page(n, proxyIndex) {
					ok++
				}
			}
		}
		return ok
	}
	m.waitUntil(func() bool { return sendPages(1, 3) == 4 }) // the proxies have received their first tokens
	ok := sendPages(100, 160)
	must.Greater(t, 60, ok) // the rate of 4 a second alone would serve only a few
	fetchAccount := func() *burstcredit.AccountStatus {
		coreStatus := &controller.Status{}
		must.NoError(t, client.Call(context.Background(), controllerAddress, rpc.PathStatus, &controller.StatusRequest{}, coreStatus))
		account, err := controller.FindAccount(coreStatus.State.Credit, "acme")
		must.NoError(t, err)
		return account
	}
	pageCount := 0
	servedPages.Range(func(any, any) bool { pageCount++; return true })
	last := -1.0
	m.waitUntil(func() bool { // the proxies have reported all spending
		account := fetchAccount()
		settled := account.Spent == last && account.Spent > 10
		last = account.Spent
		return settled
	})
	account := fetchAccount()
	must.LessEq(t, float64(pageCount), account.Spent) // each page is requested twice and charged once
	must.Less(t, 1e-6, max(account.Gap, -account.Gap))
	m.stops["controller-0"]()
	m.startController(m.plan.Controllers[0])
	m.waitUntil(func() bool {
		coreStatus := &controller.Status{}
		return client.Call(context.Background(), controllerAddress, rpc.PathStatus, &controller.StatusRequest{}, coreStatus) == nil && len(coreStatus.State.Credit) > 0
	})
	must.GreaterEq(t, account.Spent, fetchAccount().Spent)
}

// A partner restricts its exports while requests run. Once it is told that the restriction is in effect, no write may
// reach it. Reads must continue, nothing may run twice, and clients must get 403 at once.
func TestPartnerRestrictsExports(t *testing.T) {
	m := startMesh(t, 1, 3, 0, 100)
	partner, err := testmesh.NewPartner("zuid", "127.77.19.1:0")
	must.NoError(t, err)
	t.Cleanup(partner.Stop)
	withPartner := strings.Replace(config, `"Depots"`, fmt.Sprintf(`"Mesh":"us","Partners":[{"Name":"zuid","Gateway":%q,"Target":"300ms","Deadline":"1000ms","Tries":2}],"Depots"`, partner.Address), 1)
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(withPartner, 1))
		return status == http.StatusOK
	})
	status, text := m.call(0, "timetable.replace", "1", fmt.Sprintf(strings.Replace(withPartner, `"Mesh":"us",`, "", 1), 2))
	must.Eq(t, 400, status)
	must.StrContains(t, text, "Mesh")
	var mu sync.Mutex
	send := func(at int, method, path, id string) (int, string) {
		request, err := http.NewRequest(method, "http://"+m.plan.Proxies[at].OutboundAddress+path, nil)
		must.NoError(t, err)
		request.Host = "zuid.example"
		request.Header = http.Header{"X-Attempt-Id": {id}, "X-Time-Left-Ms": {"1000"}, "X-Key": {"k1"}, "X-Hive-Gate": {"zuid"}, "X-Import-Edition": {"99"}}
		response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	for n := range m.plan.Proxies {
		m.waitUntil(func() bool {
			status, _ := send(n, "POST", "/scans/1", fmt.Sprint("first", rand.Uint64()))
			return status == 200
		})
	}
	for path, want := range map[string]int{"/scans/1": 200, "/other/1": 404, "/scans/../scans/1": 404, "/%73cans/1": 404} {
		status, _ := send(0, "GET", path, "path"+path)
		must.Eq(t, want, status, must.Sprint(path))
	}
	status, _ = send(0, "DELETE", "/scans/1", "delete")
	must.Eq(t, http.StatusForbidden, status)

	statuses := map[string]int{}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for at := range m.plan.Proxies {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("e%d-%d", at, n)
				status, _ := send(at, "POST", "/scans/1", id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			}
		})
	}
	for range 2 {
		version := partner.SetMethods("GET")
		m.waitUntil(func() bool { reported, _ := partner.ReportedVersion(); return reported >= version })
		_, duration := partner.ReportedVersion()
		t.Logf("version %d: restriction in effect after %v", version, duration)
		status, _ := send(1, "POST", "/scans/1", fmt.Sprint("late", version))
		must.Eq(t, http.StatusForbidden, status)
		status, body := send(2, "GET", "/scans/1", fmt.Sprint("read", version))
		must.Eq(t, 200, status)
		must.Eq(t, "of a partner", body)
		var output, errorOutput bytes.Buffer
		args := []string{"--core", m.plan.Controllers[0].ControlAddress, "--inner", fmt.Sprint(m.plan.Controllers[0].FirstInternalPort), "partners"}
		must.Eq(t, meshctl.OK, meshctl.Run(args, &output, &errorOutput), must.Sprint(errorOutput.String()))
		must.StrContains(t, output.String(), "3 of the balancers that ask controller-0 act on word")
		must.Eq(t, meshctl.OK, meshctl.Run(append(args, "show", "zuid"), &output, &errorOutput))
		must.StrContains(t, output.String(), "zuid.example")
		partner.SetMethods("GET", "POST")
		m.waitUntil(func() bool {
			status, _ := send(0, "POST", "/scans/1", fmt.Sprint("open", rand.Uint64()))
			return status == 200
		})
	}
	close(stop)
	load.Wait()
	must.SliceEmpty(t, partner.ForbiddenWrites())
	runs, writes := partner.Runs()
	must.Greater(t, 20, writes)
	for id, status := range statuses {
		must.LessEq(t, 1, runs[id], must.Sprint(id))
		if status == 200 {
			must.Eq(t, 1, runs[id], must.Sprint(id))
		}
		if status == 403 || status == 503 {
			must.Eq(t, 0, runs[id], must.Sprint(id, status))
		}
	}
}

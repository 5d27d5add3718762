package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

const (
	maxSwitchTime   = 2500 * time.Millisecond // until a proxy uses a version that was acknowledged by other controllers
	schedulingSlack = 100 * time.Millisecond  // allowance for a busy machine
)

// partitionDuration returns how long a controller is isolated at least.
func partitionDuration() time.Duration {
	if duration, err := time.ParseDuration(os.Getenv("OTTERSHIFT_CUT")); err == nil {
		return duration
	}
	return 2500 * time.Millisecond
}

// partitionedMesh is a mesh whose first controller is isolated from the other controllers. Proxies and operators
// reach all of them.
type partitionedMesh struct {
	t           *testing.T
	plan        *testmesh.Mesh
	links       testmesh.Links
	controllers []*Controller
	stopFirst   func() // stops only the first controller
	running     sync.WaitGroup
	stop        func()
	ctx         context.Context
	edition     int
}

func startPartitionedMesh(t *testing.T, controllers, proxies int) *partitionedMesh {
	plan, err := testmesh.Plan(controllers, proxies, []string{"east", "west"}, []string{"album"}, t.TempDir())
	must.NoError(t, err)
	for _, cfg := range plan.Controllers[1:] {
		cfg.Zone = "west"
	}
	plan.Proxies[0].Zone = plan.Controllers[0].Zone // so that this proxy watches the first controller
	m := &partitionedMesh{t: t, plan: plan}
	m.ctx, m.stop = context.WithCancel(context.Background())
	t.Cleanup(func() { m.stop(); m.running.Wait() })
	m.controllers = make([]*Controller, controllers)
	for n, cfg := range plan.Controllers {
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		m.startController(n)
	}
	for n, cfg := range plan.Proxies[:len(plan.Proxies)-1] { // the last proxy is started during the partition
		m.proxy(cfg)
		upstream, err := testmesh.NewUpstream(fmt.Sprint("i-", n), cfg.Service, cfg.UpstreamAddress, cfg.ControlAddress, 8, 0, 10)
		must.NoError(t, err)
		t.Cleanup(upstream.Stop)
	}
	return m
}

func (m *partitionedMesh) startController(n int) {
	cfg := m.plan.Controllers[n]
	c, err := Open(cfg, slog.New(slog.DiscardHandler), WithTransport(m.links.Transport(cfg.IP)))
	must.NoError(m.t, err)
	cfg.FirstStart = false // for later starts
	m.controllers[n] = c
	ctx, cancel := context.WithCancel(m.ctx)
	var stopped sync.WaitGroup
	stopped.Add(1)
	m.running.Go(func() { defer stopped.Done(); c.Run(ctx) })
	stop := func() { cancel(); stopped.Wait() }
	m.t.Cleanup(stop)
	if n == 0 {
		m.stopFirst = stop
	}
}

func (m *partitionedMesh) proxy(cfg *settings.Settings) {
	cfg.Bounds.Grace = time.Second
	m.running.Go(func() {
		proxy.New(cfg, slog.New(slog.DiscardHandler), proxy.WithTransport(m.links.Transport(cfg.IP))).Run(m.ctx)
	})
}

func (m *partitionedMesh) eventually(limit time.Duration, failure string, condition func() bool) {
	m.t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		must.Less(m.t, limit, time.Since(began), must.Sprint(failure))
	}
}

// configurationDocument returns a configuration with a route of its own for each version.
func configurationDocument(edition int) string {
	return fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"Senders":[{"Name":"acme","ApiKeys":["k1"],"RatePerS":1000,"Surge":1000,"Nectar":{"Earn":0.5,"Cap":500,"Keep":"1209600s","Extra":100}}],
"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r","MailClass":"repeatable","Target":"300ms","Precedence":2,
"Sorting":{"StreetPrefix":"/v%d/"},"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`, edition, edition)
}

var client = &http.Client{Timeout: 3 * time.Second}

// call makes an operator's call to a controller.
func (m *partitionedMesh) call(at int, call string, match int, body string) (status int, text string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Controllers[at].ControlAddress+"/-/rpc?call="+call,
		strings.NewReader(body))
	must.NoError(m.t, err)
	request.Header.Set("If-Match", fmt.Sprint(match))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

// put sets the next version through a controller and waits for the acknowledgement.
func (m *partitionedMesh) put(at int) {
	m.eventually(10*time.Second, "no version was acknowledged", func() bool {
		status, _ := m.call(at, "timetable.replace", m.edition, configurationDocument(m.edition+10))
		return status == http.StatusOK
	})
	m.edition += 10
}

// hasDirectLease reports whether a proxy renews its lease at this controller.
func (c *Controller) hasDirectLease(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.registry.OwnRenewals(c.now()), func(r membership.Renewal) bool { return r.Node == node })
}

// awaitFirstVersion sets a version and waits until the first proxy serves it and watches the first controller.
func (m *partitionedMesh) awaitFirstVersion() {
	m.put(0)
	node, since := m.plan.Proxies[0].Node, time.Now()
	m.eventually(10*time.Second, "the first proxy does not watch the first controller", func() bool {
		elsewhere := slices.ContainsFunc(m.controllers[1:], func(c *Controller) bool { return c.hasDirectLease(node) })
		if elsewhere || !m.controllers[0].hasDirectLease(node) {
			since = time.Now()
		}
		return time.Since(since) > proxy.WatchTimeout
	})
	m.eventually(5*time.Second, "the version is not served", func() bool {
		return m.routeStatus(m.plan.Proxies[0], m.edition) == http.StatusOK
	})
}

// routeStatus returns the status with which a proxy answers on the route of a version.
func (m *partitionedMesh) routeStatus(cfg *settings.Settings, edition int) int {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", cfg.OutboundAddress, edition), nil)
	must.NoError(m.t, err)
	request.Host = "a.example"
	request.Header = http.Header{"X-Attempt-Id": {fmt.Sprint(time.Now().UnixNano())}, "X-Time-Left-Ms": {"1000"}, "X-Key": {"k1"}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (m *partitionedMesh) ready(cfg *settings.Settings) bool {
	response, err := client.Get("http://" + cfg.ReadinessAddress + "/")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// findViolations calls an isolated controller and returns the responses that it cannot know to be current, and those
// that took too long.
func (m *partitionedMesh) findViolations(at int) (violations []string) {
	var mu sync.Mutex
	check := func(what string, started time.Time, unproven bool, answer any) {
		mu.Lock()
		defer mu.Unlock()
		if took := time.Since(started); took > time.Second+schedulingSlack {
			violations = append(violations, fmt.Sprint(what, " took too long: ", took))
		}
		if unproven {
			violations = append(violations, fmt.Sprint(what, " gave an unproven answer: ", answer))
		}
	}
	update := func(call string, match, edition int) {
		started := time.Now()
		status, text := m.call(at, call, match, configurationDocument(edition))
		check(call, started, status != http.StatusServiceUnavailable, fmt.Sprint(status, " ", text))
	}
	caller := rpc.NewClient(nil)
	defer caller.Close()
	meshAddress := m.plan.Controllers[at].InternalAddress()
	callMesh := func(what, path string, message, answer any, unproven func(error) bool) {
		started := time.Now()
		ctx, cancel := context.WithTimeout(m.ctx, 3*time.Second)
		defer cancel()
		err := caller.Call(ctx, meshAddress, path, message, answer)
		check(what, started, unproven(err), answer)
	}
	answered := func(err error) bool { return err == nil }

	var checks sync.WaitGroup
	checks.Go(func() { update("timetable.fetch", 0, 0) })
	checks.Go(func() { // sequentially, as a controller runs one change at a time
		update("timetable.replace", m.edition-10, m.edition+1)
		update("timetable.amend", m.edition, m.edition+2)
		callMesh("credit order", rpc.PathCreditOrder, Order{Tenant: "acme", Tokens: 1, Who: "me", Why: "test"},
			&burstcredit.AccountStatus{}, answered)
		callMesh("partner order", rpc.PathPartnerOrder, PartnerOrder{Partner: "zuid", Hold: true, Who: "me", Why: "test"},
			&federation.Import{}, answered)
	})
	checks.Go(func() {
		callMesh("token grant", rpc.PathTokens, ratelimit.TokenRequest{Node: "n", Incarnation: "l", Seq: 1},
			&map[string]ratelimit.TokenGrant{}, answered)
	})
	checks.Go(func() {
		callMesh("credit report", rpc.PathCreditReport, burstcredit.Report{Node: "n", Incarnation: "l", Seq: 1}, &burstcredit.Grant{}, answered)
	})
	checks.Go(func() { callMesh("newest status", rpc.PathStatus, StatusRequest{Newest: true}, &Status{}, answered) })
	checks.Go(func() {
		status := &Status{}
		callMesh("status", rpc.PathStatus, StatusRequest{}, status, func(err error) bool {
			return err != nil || status.Current || status.Confirmed < readLeaseDuration || status.Quotas != nil
		})
	})
	checks.Go(func() {
		response := &membership.WatchResponse{}
		request := membership.WatchRequest{Node: membership.Node{Name: "proxy-0"}, MaxWait: int64(500 * time.Millisecond)}
		callMesh("watch", rpc.PathWatch, request, response,
			func(err error) bool { return err != nil || response.Current || response.ImportsCurrent })
	})
	checks.Go(func() {
		started := time.Now()
		text := ""
		if httpResponse, err := client.Get("http://" + meshAddress + rpc.PathMetrics); err == nil {
			raw, _ := io.ReadAll(httpResponse.Body)
			httpResponse.Body.Close()
			text = string(raw)
		}
		check("figures", started, !strings.Contains(text, "_current 0\n"), text)
	})
	checks.Wait()
	return violations
}

// partitions are the ways in which the first controller is isolated from the others.
var partitions = []struct {
	name        string
	controllers int
	out, in     testmesh.LinkFault
	restarts    bool
}{
	{"silent in both directions", 3, testmesh.LinkDropsRequests, testmesh.LinkDropsRequests, false},
	{"requests of the controller are lost", 3, testmesh.LinkDropsRequests, testmesh.LinkOK, false},
	{"responses to the controller are lost", 3, testmesh.LinkOK, testmesh.LinkDropsRequests, false},
	{"connections are refused", 3, testmesh.LinkRefused, testmesh.LinkRefused, false},
	{"connections are reset before the response", 3, testmesh.LinkReset, testmesh.LinkReset, false},
	{"silent in both directions, controller is replaced", 4, testmesh.LinkDropsRequests, testmesh.LinkDropsRequests, false},
	{"silent in both directions, controller is restarted", 3, testmesh.LinkDropsRequests, testmesh.LinkDropsRequests, true},
}

func (m *partitionedMesh) partition(out, in testmesh.LinkFault) {
	for _, other := range m.plan.Controllers[1:] {
		m.links.Set(m.plan.Controllers[0].IP, other.IP, out)
		m.links.Set(other.IP, m.plan.Controllers[0].IP, in)
	}
}

// disableLeaseGuard disables a guard of the first controller's read lease.
func (m *partitionedMesh) disableLeaseGuard(guard string) {
	shared := &m.controllers[0].replicator.lease
	shared.mu.Lock()
	defer shared.mu.Unlock()
	shared.lease.DisableGuard(guard)
}

// A controller is isolated from the others while proxies and operators still reach it. Its answers must not contain
// anything that a majority has not confirmed since the request, its updates must not take effect, and proxies must
// switch to another controller.
func TestPartitionedControllerGivesNoUnconfirmedAnswers(t *testing.T) {
	for _, test := range partitions {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m := startPartitionedMesh(t, test.controllers, 2)
			running := m.plan.Proxies[0]
			m.awaitFirstVersion()
			m.partition(test.out, test.in)
			began := time.Now()
			m.put(1)
			if test.restarts {
				m.stopFirst()
				m.startController(0)
			}
			m.eventually(maxSwitchTime, "the proxy still uses the old version",
				func() bool { return m.routeStatus(running, m.edition) == http.StatusOK })
			t.Logf("new version served %v after the partition began, including its acknowledgement",
				time.Since(began).Round(time.Millisecond))
			time.Sleep(max(0, readLeaseDuration+schedulingSlack-time.Since(began)))
			for again := true; again; again = time.Since(began) < partitionDuration() {
				violations := m.findViolations(0)
				must.SliceEmpty(t, violations, must.Sprint(violations))
			}
			state, _ := m.controllers[1].replicator.knownState()
			must.Eq(t, test.controllers == 3, state.HasMember(m.controllers[0].replicator.identity()))
			m.links.Clear()
			m.checkHealed()
		})
	}
}

// checkHealed checks that the first controller serves the newest version again, and that each change was applied
// once, without any update sent to the isolated controller.
func (m *partitionedMesh) checkHealed() {
	m.eventually(3*time.Second, "the newest version is not served after the partition", func() bool {
		status, text := m.call(0, "timetable.fetch", 0, "")
		must.False(m.t, status == http.StatusOK && !strings.Contains(text, fmt.Sprintf(`"Edition":%d,`, m.edition)), must.Sprint(text))
		return status == http.StatusOK
	})
	for _, c := range m.controllers {
		state, err := c.replicator.linearizableRead(m.ctx, c.otherControllers)
		must.NoError(m.t, err)
		must.Eq(m.t, int64(m.edition), state.Edition)
		must.SliceLen(m.t, m.edition/10, state.AppliedChanges)
	}
}

// A proxy is started while the only controller that it reaches is isolated. It must not serve an outdated version.
// Without the guard, the controller presents the outdated version as the newest.
func TestProxyThatReachesOnlyAPartitionedController(t *testing.T) {
	for _, guard := range []string{"", consensus.WithoutMajority} {
		t.Run("disabled guard: "+guard, func(t *testing.T) {
			t.Parallel()
			m := startPartitionedMesh(t, 3, 2)
			lateProxy := m.plan.Proxies[1]
			m.awaitFirstVersion()
			m.disableLeaseGuard(guard)
			m.partition(testmesh.LinkDropsRequests, testmesh.LinkDropsRequests)
			for _, other := range m.plan.Controllers[1:] {
				m.links.SetBoth(lateProxy.IP, other.IP, testmesh.LinkDropsRequests)
			}
			m.put(1)
			time.Sleep(readLeaseDuration + schedulingSlack)
			lateProxy.Seeds = lateProxy.Seeds[:1]
			m.proxy(lateProxy)
			servesStale := false
			for began := time.Now(); time.Since(began) < partitionDuration() && !servesStale; time.Sleep(50 * time.Millisecond) {
				servesStale = m.ready(lateProxy) || m.routeStatus(lateProxy, m.edition-10) == http.StatusOK
			}
			must.Eq(t, guard != "", servesStale)
			// The running proxy has switched only if the guard is active.
			must.Eq(t, guard == "", m.routeStatus(m.plan.Proxies[0], m.edition) == http.StatusOK)
			if guard != "" {
				must.SliceNotEmpty(t, m.findViolations(0))
				return
			}
			m.links.Clear()
			m.eventually(maxSwitchTime, "not ready after the partition", func() bool { return m.ready(lateProxy) })
			m.eventually(time.Second, "the version is not served after the partition",
				func() bool { return m.routeStatus(lateProxy, m.edition) == http.StatusOK })
		})
	}
}

// The first controller is isolated while it processes an update. Whatever it answers, the same update must be
// accepted by another controller and applied once.
func TestUpdateDuringPartitionIsAppliedOnce(t *testing.T) {
	t.Parallel()
	m := startPartitionedMesh(t, 3, 1)
	m.put(0)
	outcomes := map[int]int{}
	// With growing delays, until some are decided in time.
	for round := 0; round < 15 || len(outcomes) < 2 && round < 60; round++ {
		test := partitions[round%5]
		for _, other := range m.plan.Controllers[1:] {
			m.links.SetDelay(m.plan.Controllers[0].IP, other.IP, time.Millisecond)
		}
		answered := make(chan int)
		body := configurationDocument(m.edition + 10)
		go func() {
			status, _ := m.call(0, "timetable.replace", m.edition, body)
			answered <- status
		}()
		time.Sleep(time.Duration(round/5) * 4 * time.Millisecond)
		m.partition(test.out, test.in)
		status := 0
		m.eventually(3*time.Second, "the other controller does not accept the update", func() bool {
			status, _ = m.call(1, "timetable.replace", m.edition, body)
			must.False(t, status/100 == 4, must.Sprint(round, status))
			return status == http.StatusOK
		})
		m.edition += 10
		first := <-answered
		outcomes[first]++
		must.True(t, first == http.StatusOK || first == http.StatusServiceUnavailable, must.Sprint(round, first))
		m.links.Clear()
		m.checkHealed()
	}
	t.Logf("answers of the isolated controller by status: %v", outcomes)
	must.Positive(t, outcomes[http.StatusOK])
	must.Positive(t, outcomes[http.StatusServiceUnavailable])
}

// A token request is delayed between its arrival and the grant while another controller becomes coordinator. It must
// be judged by the state that is agreed when it continues.
func TestDelayedTokenRequestIsNotGrantedByFormerCoordinator(t *testing.T) {
	t.Parallel()
	m := startPartitionedMesh(t, 3, 1)
	m.put(0)
	first := m.controllers[0]
	request := &ratelimit.TokenRequest{Node: "n", Incarnation: "l", Seq: 1, Demands: map[string]ratelimit.Demand{"acme": {Wanted: 5}}}
	m.eventually(10*time.Second, "the first controller is not the coordinator", func() bool {
		_, err := first.handleTokenRequest(m.ctx, request)
		return err == nil
	})
	before, _ := first.replicator.knownState()
	first.tokenGranter.Lock()
	granted := make(chan error)
	go func() {
		_, err := first.handleTokenRequest(m.ctx, &ratelimit.TokenRequest{Node: "n", Incarnation: "l", Seq: 2,
			Demands: map[string]ratelimit.Demand{"acme": {Wanted: 5}}})
		granted <- err
	}()
	m.partition(testmesh.LinkDropsRequests, testmesh.LinkDropsRequests)
	m.eventually(10*time.Second, "no other controller becomes coordinator", func() bool {
		state, _ := m.controllers[1].replicator.knownState()
		return state.Coordinator.Incarnation != first.incarnation
	})
	m.links.Clear()
	m.eventually(5*time.Second, "the first controller does not learn of the new coordinator", func() bool {
		state, _ := first.replicator.knownState()
		return state.Epoch > before.Epoch && first.replicator.isCurrent(state)
	})
	first.tokenGranter.Unlock()
	must.Error(t, <-granted)
}

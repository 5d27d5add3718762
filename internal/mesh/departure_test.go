package mesh_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// departureMesh is a mesh in which the proxy beside the upstream "leaving" is a process of its own, and another upstream
// of its service stays.
type departureMesh struct {
	*mesh
	process *proxyProcess
	leaving *testmesh.Upstream
}

func startDepartureMesh(t *testing.T) *departureMesh {
	m := &departureMesh{mesh: &mesh{t: t}}
	m.startAll(3, 2, 0, 100, func(cfg *settings.Settings) {
		cfg.Bounds.Drain = 300 * time.Millisecond
		if m.process != nil {
			m.startProxy(cfg)
			return
		}
		m.process = startProxyProcess(t, cfg)
	})
	m.leaving = m.upstreams[0]
	m.applyConfigAt(1)
	m.waitUntil(func() bool {
		m.send(1, "GET", "/read/x")
		return m.leaving.TotalRuns() > 0 && m.upstreams[1].TotalRuns() > 0
	})
	return m
}

// applyConfigAt applies the configuration and waits until one proxy serves.
func (m *departureMesh) applyConfigAt(proxy int) {
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(config, 1))
		return status == http.StatusOK
	})
	m.waitUntil(func() bool { status, _, _, _ := m.send(proxy, "GET", "/read/x"); return status == http.StatusOK })
}

// restartProxy ends the process with a signal and starts it again.
func (m *departureMesh) restartProxy(signal syscall.Signal) {
	m.process.signal(signal)
	m.process.command.Wait()
	m.process.start()
	m.process.waitUntilListening()
}

// restartCore restarts all controllers, so that nothing of what they only remember is left.
func (m *departureMesh) restartCore() {
	for _, cfg := range m.plan.Controllers {
		m.stops[cfg.Node]()
	}
	for _, cfg := range m.plan.Controllers {
		cfg.FirstStart = false
		m.startController(cfg)
	}
}

// mustStayGone checks that no request reaches the leaving upstream, from either proxy, for a second.
func (m *departureMesh) mustStayGone(name string) {
	m.t.Helper()
	before := m.leaving.TotalRuns()
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(5 * time.Millisecond) {
		for proxy := range m.plan.Proxies {
			m.send(proxy, "GET", "/read/x")
		}
	}
	must.Eq(m.t, before, m.leaving.TotalRuns(), must.Sprintf("%s: requests reached the upstream after its acknowledged end", name))
}

// A proxy that restarts after it has acknowledged the sign-off or closing of its upstream must not take a late heartbeat
// for a running instance (review/6).
func TestAcknowledgedDepartureBindsRestartedProxy(t *testing.T) {
	for name, c := range map[string]struct {
		leave   func(*testmesh.Upstream) bool
		restart func(*departureMesh)
	}{
		"sign-off, killed": {(*testmesh.Upstream).SignOff, func(m *departureMesh) { m.restartProxy(syscall.SIGKILL) }},
		"closing, killed":  {(*testmesh.Upstream).Drain, func(m *departureMesh) { m.restartProxy(syscall.SIGKILL) }},
		"sign-off, killed twice": {(*testmesh.Upstream).SignOff, func(m *departureMesh) {
			m.restartProxy(syscall.SIGKILL)
			m.restartProxy(syscall.SIGKILL)
		}},
		"sign-off, killed with all controllers": {(*testmesh.Upstream).SignOff, func(m *departureMesh) {
			m.process.kill()
			m.restartCore()
			m.process.start()
			m.process.waitUntilListening()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := startDepartureMesh(t)
			late := []func() bool{m.leaving.LateHeartbeat(), m.leaving.LateHeartbeat()}
			m.leaving.PauseHeartbeats()
			must.True(t, c.leave(m.leaving))
			time.Sleep(m.plan.Proxies[0].Bounds.Drain)
			c.restart(m)
			for _, send := range late {
				must.True(t, send())
			}
			m.mustStayGone(name)
			must.True(t, m.leaving.SignOff()) // again, as its acknowledgement may have been lost
			m.mustStayGone(name)
		})
	}
}

// A closing or sign-off that the core has not agreed on must not be acknowledged, since a restart of the proxy would
// forget it. It must be answered within the second that an upstream waits, and take effect in the running process.
func TestDepartureIsNotAcknowledgedWithoutTheCore(t *testing.T) {
	m := startDepartureMesh(t)
	for _, controller := range m.plan.Controllers {
		m.stops[controller.Node]()
	}
	began := time.Now()
	must.False(t, m.leaving.SignOff())
	must.Less(t, time.Second, time.Since(began))
	m.mustStayGone("without the core")
	for _, cfg := range m.plan.Controllers {
		cfg.FirstStart = false
		m.startController(cfg)
	}
	m.waitUntil(m.leaving.SignOff)
}

// A proxy that restarts while no controller answers must not pass requests to an instance that may have departed. It
// must serve its upstream once a controller answers.
func TestRestartedProxyWaitsForDepartures(t *testing.T) {
	m := startDepartureMesh(t)
	for _, controller := range m.plan.Controllers {
		m.stops[controller.Node]()
	}
	m.restartProxy(syscall.SIGKILL)
	m.mustStayGone("without the core")
	for _, cfg := range m.plan.Controllers {
		cfg.FirstStart = false
		m.startController(cfg)
	}
	before := m.leaving.TotalRuns()
	m.waitUntil(func() bool {
		m.send(1, "GET", "/read/x")
		return m.leaving.TotalRuns() > before
	})
}

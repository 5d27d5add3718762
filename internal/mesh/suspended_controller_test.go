package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/ratelimit"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/testmesh"
)

const suspendedCallTimeout = 40 * time.Second // timeout of calls to a suspended process

// suspensionTime returns how long a controller is suspended.
func suspensionTime() time.Duration {
	if span, err := time.ParseDuration(os.Getenv("OTTERSHIFT_CUT")); err == nil {
		return span
	}
	return 2500 * time.Millisecond
}

// processMesh is controllers in their own processes.
type processMesh struct {
	t         *testing.T
	plan      *testmesh.Mesh
	processes []*testmesh.Process
	caller    *rpc.Client
}

func startProcessMesh(t *testing.T) *processMesh {
	dir := t.TempDir()
	must.NoError(t, testmesh.BuildPrograms(dir, "controller"))
	plan, err := testmesh.Plan(3, 0, []string{"east", "west"}, nil, dir)
	must.NoError(t, err)
	m := &processMesh{t: t, plan: plan, caller: rpc.NewClient(nil)}
	for _, cfg := range plan.Controllers {
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		process, err := testmesh.StartProcess(dir, "controller", cfg)
		must.NoError(t, err)
		t.Cleanup(process.Kill)
		m.processes = append(m.processes, process)
	}
	return m
}

func (m *processMesh) call(controller int, method string, ifMatch int, body string) (status int, text string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Controllers[controller].ControlAddress+"/-/rpc?call="+method, strings.NewReader(body))
	must.NoError(m.t, err)
	request.Header.Set("If-Match", fmt.Sprint(ifMatch))
	response, err := (&http.Client{Timeout: suspendedCallTimeout}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

func (m *processMesh) callInternal(controller int, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspendedCallTimeout)
	defer cancel()
	return m.caller.Call(ctx, m.plan.Controllers[controller].InternalAddress(), path, request, response)
}

func (m *processMesh) waitUntil(condition func() bool) {
	m.t.Helper()
	must.Wait(m.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(15*time.Second), wait.Gap(10*time.Millisecond)))
}

// The coordinator is suspended while it has read some requests and others wait in its sockets. Once resumed, it must
// not answer any of them from the state that it held before.
func TestResumedControllerServesNoStaleState(t *testing.T) {
	m := startProcessMesh(t)
	version := 0
	for round := range 3 {
		previous := version
		m.waitUntil(func() bool {
			status, _ := m.call(0, "timetable.replace", previous, fmt.Sprintf(config, previous+10))
			return status == http.StatusOK
		})
		version = previous + 10
		tokenRequest := ratelimit.TokenRequest{Node: "proxy-0", Incarnation: "l", Seq: uint64(10 * (round + 1))}
		coordinator := -1
		m.waitUntil(func() bool { // the controller that grants tokens is the coordinator
			tokenRequest.Seq++
			for n := range m.processes {
				if m.callInternal(n, rpc.PathTokens, tokenRequest, &map[string]ratelimit.TokenGrant{}) == nil {
					coordinator = n
				}
			}
			return coordinator >= 0
		})
		other := (coordinator + 1) % 3
		firstWatch := &membership.WatchResponse{}
		node := membership.Node{Name: "proxy-0", Incarnation: "l"}
		must.NoError(t, m.callInternal(coordinator, rpc.PathWatch, membership.WatchRequest{Node: node}, firstWatch))

		var calls sync.WaitGroup
		var suspended atomic.Bool
		check := func(valid bool, call string, response any) {
			if !valid && suspended.Load() { // responses before the suspension are valid
				t.Errorf("round %d: %s: %+v", round, call, response)
			}
		}
		watch := func() {
			response := &membership.WatchResponse{}
			request := membership.WatchRequest{Node: node, Position: firstWatch.Position, MaxWait: int64(time.Second)}
			err := m.callInternal(coordinator, rpc.PathWatch, request, response)
			check(err != nil || !response.Current || response.Edition == int64(version+10), "watch", response)
		}
		calls.Go(watch)
		time.Sleep(100 * time.Millisecond) // until the controller holds the watch open
		must.NoError(t, m.processes[coordinator].Suspend())
		suspended.Store(true)
		calls.Go(watch)
		calls.Go(func() {
			status, text := m.call(coordinator, "timetable.fetch", 0, "")
			newest := status == http.StatusOK && strings.Contains(text, fmt.Sprintf(`"Edition":%d,`, version+10))
			check(newest || status == http.StatusServiceUnavailable, "fetch", text)
		})
		calls.Go(func() { // based on the version that the controller still holds
			status, text := m.call(coordinator, "timetable.replace", version, fmt.Sprintf(config, version+5))
			check(status == http.StatusServiceUnavailable || status == http.StatusPreconditionFailed, "replace", text)
		})
		calls.Go(func() {
			status := &controller.Status{}
			err := m.callInternal(coordinator, rpc.PathStatus, controller.StatusRequest{}, status)
			check(err != nil || !status.Current || status.State.Edition == int64(version+10), "status", status)
		})
		calls.Go(func() {
			tokenRequest.Seq++
			err := m.callInternal(coordinator, rpc.PathTokens, tokenRequest, &map[string]ratelimit.TokenGrant{})
			check(err != nil, "token grant", err)
		})
		m.waitUntil(func() bool {
			status, _ := m.call(other, "timetable.replace", version, fmt.Sprintf(config, version+10))
			return status == http.StatusOK
		})
		time.Sleep(suspensionTime())
		must.NoError(t, m.processes[coordinator].Resume())
		calls.Wait()
		version += 10
		m.waitUntil(func() bool { status, _ := m.call(0, "timetable.fetch", 0, ""); return status == http.StatusOK })
	}
}

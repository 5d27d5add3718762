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

const patience = 40 * time.Second // of callers that wait for a frozen process

// frozenFor is how long a controller stands still.
func frozenFor() time.Duration {
	if span, err := time.ParseDuration(os.Getenv("OTTERSHIFT_CUT")); err == nil {
		return span
	}
	return 2500 * time.Millisecond
}

// frozenMesh is real processes of controllers.
type frozenMesh struct {
	t         *testing.T
	plan      *testmesh.Mesh
	processes []*testmesh.Process
	caller    *rpc.Client
}

func startFrozenMesh(t *testing.T) *frozenMesh {
	dir := t.TempDir()
	must.NoError(t, testmesh.Build(dir, "controller"))
	plan, err := testmesh.Plan(3, 0, []string{"east", "west"}, nil, dir)
	must.NoError(t, err)
	m := &frozenMesh{t: t, plan: plan, caller: rpc.NewClient(nil)}
	for _, b := range plan.Controllers {
		must.NoError(t, os.MkdirAll(b.DataDir, 0o755))
		p, err := testmesh.StartProcess(dir, "controller", b)
		must.NoError(t, err)
		t.Cleanup(p.Kill)
		m.processes = append(m.processes, p)
	}
	return m
}

func (m *frozenMesh) call(at int, call string, match int, body string) (status int, text string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+m.plan.Controllers[at].ControlAddress+"/-/rpc?call="+call, strings.NewReader(body))
	must.NoError(m.t, err)
	r.Header.Set("If-Match", fmt.Sprint(match))
	w, err := (&http.Client{Timeout: patience}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer w.Body.Close()
	raw, _ := io.ReadAll(w.Body)
	return w.StatusCode, string(raw)
}

func (m *frozenMesh) ask(at int, path string, message, answer any) error {
	ctx, end := context.WithTimeout(context.Background(), patience)
	defer end()
	return m.caller.Call(ctx, m.plan.Controllers[at].InternalAddress(), path, message, answer)
}

func (m *frozenMesh) until(is func() bool) {
	m.t.Helper()
	must.Wait(m.t, wait.InitialSuccess(wait.BoolFunc(is), wait.Timeout(15*time.Second), wait.Gap(10*time.Millisecond)))
}

// A controller, the coordinator at that, is frozen with questions that it has read and others that wait in its sockets. Once it goes on,
// it answers none of them by what it knew before.
func TestAFrozenControllerAnswersNothingByWhatItKnewBefore(t *testing.T) {
	m := startFrozenMesh(t)
	edition := 0
	for round := range 3 {
		before := edition
		m.until(func() bool {
			status, _ := m.call(0, "timetable.replace", before, fmt.Sprintf(config, before+10))
			return status == http.StatusOK
		})
		edition = before + 10
		draw := ratelimit.TokenRequest{Node: "proxy-0", Incarnation: "l", Seq: uint64(10 * (round + 1))}
		coordinator := -1
		m.until(func() bool { // whoever grants tokens is the one that is frozen
			draw.Seq++
			for n := range m.processes {
				if m.ask(n, rpc.PathTokens, draw, &map[string]ratelimit.TokenGrant{}) == nil {
					coordinator = n
				}
			}
			return coordinator >= 0
		})
		other := (coordinator + 1) % 3
		held := &membership.WatchResponse{}
		node := membership.Node{Name: "proxy-0", Incarnation: "l"}
		must.NoError(t, m.ask(coordinator, rpc.PathWatch, membership.WatchRequest{Node: node}, held))

		var asked sync.WaitGroup
		var frozen atomic.Bool
		check := func(proven bool, what string, answer any) {
			if !proven && frozen.Load() { // what came before was true
				t.Errorf("round %d: %s: %+v", round, what, answer)
			}
		}
		watch := func() {
			news := &membership.WatchResponse{}
			request := membership.WatchRequest{Node: node, Position: held.Position, MaxWait: int64(time.Second)}
			err := m.ask(coordinator, rpc.PathWatch, request, news)
			check(err != nil || !news.Current || news.Edition == int64(edition+10), "watch", news)
		}
		asked.Go(watch)
		time.Sleep(100 * time.Millisecond) // it is held by the controller
		must.NoError(t, m.processes[coordinator].Freeze())
		frozen.Store(true)
		asked.Go(watch)
		asked.Go(func() {
			status, text := m.call(coordinator, "timetable.fetch", 0, "")
			newest := status == http.StatusOK && strings.Contains(text, fmt.Sprintf(`"Edition":%d,`, edition+10))
			check(newest || status == http.StatusServiceUnavailable, "fetch", text)
		})
		asked.Go(func() { // on top of the version that it still knew
			status, text := m.call(coordinator, "timetable.replace", edition, fmt.Sprintf(config, edition+5))
			check(status == http.StatusServiceUnavailable || status == http.StatusPreconditionFailed, "replace", text)
		})
		asked.Go(func() {
			status := &controller.Status{}
			err := m.ask(coordinator, rpc.PathStatus, controller.StatusRequest{}, status)
			check(err != nil || !status.Current || status.State.Edition == int64(edition+10), "status", status)
		})
		asked.Go(func() {
			draw.Seq++
			err := m.ask(coordinator, rpc.PathTokens, draw, &map[string]ratelimit.TokenGrant{})
			check(err != nil, "token grant", err)
		})
		m.until(func() bool {
			status, _ := m.call(other, "timetable.replace", edition, fmt.Sprintf(config, edition+10))
			return status == http.StatusOK
		})
		time.Sleep(frozenFor())
		must.NoError(t, m.processes[coordinator].Thaw())
		asked.Wait()
		edition += 10
		m.until(func() bool { status, _ := m.call(0, "timetable.fetch", 0, ""); return status == http.StatusOK })
	}
}

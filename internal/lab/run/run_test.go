package run

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershift/internal/lab/judge"
	"ottershift/internal/lab/spec"
	"ottershift/internal/plan"
)

// realProgram is the path of the ottershift program, built for the tests. The test binary itself serves as the faulty
// balancers.
var realProgram string

func TestMain(m *testing.M) {
	if kind := os.Getenv("BAD_BALANCER"); kind != "" {
		serveFaulty(kind)
		return
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		panic(err)
	}
	realProgram = filepath.Join(dir, "ottershift")
	if out, err := exec.Command("go", "build", "-o", realProgram, "ottershift/cmd/ottershift").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// faultyBalancer is a minimal balancer. It picks an upstream at random, makes one attempt, and has one fault.
type faultyBalancer struct {
	kind string
	mu   sync.Mutex
	list map[string]endpoint
}

type endpoint struct {
	Name, Address, Status string
	Since                 int64 `json:"since_ms"`
}

func serveFaulty(kind string) {
	configuration, faults := plan.Read(os.Args[len(os.Args)-1])
	if configuration == nil {
		panic(faults)
	}
	fb := &faultyBalancer{kind: kind, list: map[string]endpoint{}}
	ready := make(chan struct{})
	go fb.follow(configuration.Pools[0].Upstreams.Discovery, ready)
	<-ready
	if kind == "dies" {
		time.AfterFunc(1500*time.Millisecond, func() { os.Exit(3) })
	}
	l, err := net.Listen("tcp", configuration.Listeners[0].Address)
	if err != nil {
		panic(err)
	}
	http.Serve(l, fb)
}

func (fb *faultyBalancer) follow(address string, ready chan struct{}) {
	a, err := http.Get("http://" + address + "/catalog/members?watch=1")
	if err != nil {
		panic(err)
	}
	lines := bufio.NewScanner(a.Body)
	for n := 0; lines.Scan(); {
		var report struct{ Endpoints []endpoint }
		if json.Unmarshal(lines.Bytes(), &report) != nil {
			continue
		}
		fb.mu.Lock()
		for _, e := range report.Endpoints {
			if fb.kind == "deaf" && n > 0 && e.Status != "SERVING" {
				continue // ignores drains
			}
			fb.list[e.Name] = e
		}
		fb.mu.Unlock()
		if n++; n == 1 {
			close(ready)
		}
	}
}

// pick returns a random serving upstream; with the fault "floods", the one that started last.
func (fb *faultyBalancer) pick() (address string) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	var all []string
	last := int64(0)
	for _, e := range fb.list {
		if e.Status != "SERVING" {
			continue
		}
		if all = append(all, e.Address); fb.kind == "floods" && e.Since > last {
			last, address = e.Since, e.Address
		}
	}
	if address == "" && len(all) > 0 {
		address = all[rand.IntN(len(all))]
	}
	return address
}

var transport = &http.Transport{MaxIdleConnsPerHost: 100}

func attempt(r *http.Request, to string) (status int, body []byte, err error) {
	ctx, end := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer end()
	q, _ := http.NewRequestWithContext(ctx, r.Method, "http://"+to+r.URL.RequestURI(), strings.NewReader(""))
	q.Header = r.Header.Clone()
	a, err := transport.RoundTrip(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	body, err = io.ReadAll(a.Body)
	return a.StatusCode, body, err
}

func (fb *faultyBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		return
	}
	io.Copy(io.Discard, r.Body)
	to := fb.pick()
	once := strings.HasPrefix(r.URL.Path, "/comment")
	if fb.kind == "resends" && once {
		go attempt(r, fb.pick())
	}
	status, body, err := attempt(r, to)
	if err != nil || status != 200 {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if fb.kind == "denies" && once { // answers that a retry is safe although the transaction ran
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch fb.kind {
	case "late":
		if rand.IntN(20) == 0 {
			time.Sleep(900 * time.Millisecond)
		}
	case "hangs":
		time.Sleep(time.Minute)
	case "after": // makes another attempt after its answer
		if once {
			break
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			attempt(r, fb.pick())
		}()
	case "twice", "closes", "another":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		switch fb.kind {
		case "twice":
			io.WriteString(c, text+text)
		case "another":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok 0 a-1\n")
		}
		time.Sleep(20 * time.Millisecond)
		return
	}
	w.Write(body)
}

const experimentText = `title = "small"
seed = 5
length = "4500ms"
settle = "500ms"
%s
[limits]
descriptors = 1000
[tariffs.view]
repeat = "repeatable"
contract_time = "300ms"
hard_stop = "800ms"
[tariffs.comment]
repeat = "once-only"
contract_time = "300ms"
hard_stop = "800ms"
[work.view]
mean = "5ms"
[work.comment]
mean = "5ms"
[pools.album]
warm_up = "20s"
[upstreams.album]
count = 5
ramp = "20s"
cold_share = 0.1
fall_multiple = 4
fall_span = "500ms"
[[clients]]
name = "visitors"
tariff = "view"
rate = 150
[[clients]]
name = "writers"
tariff = "comment"
rate = 50
[[faults]]
kind = "drain"
at = "1s"
for = "10s"
upstreams = ["album-2"]
[[faults]]
kind = "die"
at = "500ms"
for = "300ms"
upstreams = ["album-4"]
`

func play(t *testing.T, program, kind, more string) *judge.Result {
	t.Helper()
	experiment, faults := spec.Parse("small.toml", fmt.Appendf(nil, experimentText, more), false)
	if experiment == nil {
		t.Fatal(faults)
	}
	if kind != "" {
		file := filepath.Join(t.TempDir(), "bad.sh")
		text := fmt.Sprintf("#!/bin/sh\nBAD_BALANCER=%s exec %s \"$@\"\n", kind, program)
		if err := os.WriteFile(file, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
		program = file
	}
	start := time.Now()
	result, err := Play(t.Context(), experiment, experiment.Load(), Options{Program: program, Variant: "design", Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > 25*time.Second {
		t.Errorf("took %s", took)
	}
	return judge.Judge(experiment, result)
}

// Each faulty balancer is found to break exactly the rule that it is built to break; the real balancer and a minimal one
// without a fault break none.
func TestFaultyBalancersBreakExactlyTheirRule(t *testing.T) {
	for kind, rule := range map[string]int{
		"": 0, "fine": 0, "twice": 1, "closes": 1, "another": 1, "late": 1, "after": 1, "resends": 2, "denies": 2, "deaf": 3, "floods": 4,
	} {
		t.Run("balancer "+kind, func(t *testing.T) {
			t.Parallel()
			program := os.Args[0]
			if kind == "" {
				program = realProgram
			}
			r := play(t, program, kind, "")
			if r.Void != "" {
				t.Skip(r.Void) // the machine was too busy to conclude anything
			}
			for n := 1; n <= 4; n++ {
				if got := r.Figures[fmt.Sprintf("rule%d", n)]; (got > 0) != (n == rule) {
					t.Errorf("rule %d broken %g times: %q", n, got, r.Examples)
				}
			}
			if r.Broken != "" {
				t.Error(r.Broken)
			}
		})
	}
}

// A balancer that dies, hangs or does not start does not block the lab: the run ends within a bounded time.
func TestFailingBalancerEndsTheRun(t *testing.T) {
	t.Run("dies", func(t *testing.T) {
		t.Parallel()
		if r := play(t, os.Args[0], "dies", ""); !strings.Contains(r.Broken, "ended by itself") {
			t.Errorf("%q, %v", r.Broken, r.Figures)
		}
	})
	t.Run("hangs", func(t *testing.T) {
		t.Parallel()
		if r := play(t, os.Args[0], "hangs", ""); r.Figures["rule1"] == 0 || r.Figures["service"] > 0 {
			t.Errorf("%v", r.Figures)
		}
	})
	t.Run("does not start", func(t *testing.T) {
		t.Parallel()
		e, _ := spec.Parse("small.toml", fmt.Appendf(nil, experimentText, ""), false)
		_, err := Play(t.Context(), e, e.Load(), Options{Program: "/bin/false", Variant: "design", Dir: t.TempDir()})
		if err == nil || errors.Is(err, os.ErrNotExist) {
			t.Errorf("%v", err)
		}
	})
}

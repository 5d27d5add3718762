package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ottershift/internal/cluster"
	"ottershift/internal/cluster/member"
	"ottershift/internal/plan"
)

// clusterConfig returns a configuration of one pool whose balancers are the members of a cluster.
func clusterConfig(t *testing.T, name, listen, address, join string, upstream *testUpstream) string {
	return fmt.Sprintf("name = %q\n", name) + poolConfig(listen, "peers = \"cluster\"\nbalancers = 1", upstream) +
		fmt.Sprintf("[cluster]\nname = \"zuid\"\naddress = %q\njoin = [%q]\nprobe_every = \"50ms\"\nrejoin_every = \"200ms\"\n", address, join)
}

// waitFor waits up to 6 s for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("timed out waiting until " + what)
}

// A process without a [cluster] table runs no goroutine of the cluster packages and opens no socket for them.
func TestNoGoroutinesWithoutCluster(t *testing.T) {
	u := newTestUpstream(t, "u")
	proc := startProcess(t, configText([]string{freeAddress(t)}, [2]any{"a", u}))
	stacks := make([]byte, 1<<20)
	all := string(stacks[:runtime.Stack(stacks, true)])
	for _, word := range []string{"internal/cluster", "memberlist"} {
		if strings.Contains(all, word) {
			t.Errorf("a goroutine of %s is running", word)
		}
	}
	if proc.membership != nil {
		t.Error("the process has joined a cluster")
	}
	if err := proc.WriteMembers(&bytes.Buffer{}, false); err == nil {
		t.Error("members are listed without a cluster")
	}
	closeAndVerify(t, proc, http.DefaultTransport.(*http.Transport), u)
}

// Two processes count each other as balancers of a pool, keep their decision engines when the number changes, and
// exchange load reports. A process that leaves is no longer counted and releases everything. A reload names the keys
// that need a restart.
func TestMembersCountAsBalancers(t *testing.T) {
	u := newTestUpstream(t, "u")
	var logOutput bytes.Buffer
	address, peerAddress, listen := freeAddress(t), freeAddress(t), freeAddress(t)
	config := clusterConfig(t, "b1", listen, address, peerAddress, u)
	a, err := Start(parse(t, config), slog.New(slog.NewTextHandler(&logOutput, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	b := startProcess(t, clusterConfig(t, "b2", freeAddress(t), peerAddress, address, u))
	balancers := func(proc *Process) (n, index int) {
		proc.mu.Lock()
		defer proc.mu.Unlock()
		terms := proc.pools["p"].Settings().Engine
		return terms.Balancers, terms.Index
	}
	pool := a.pools["p"].Pool
	waitFor(t, "both processes count two balancers", func() bool {
		n, i := balancers(a)
		terms, k := balancers(b)
		return n == 2 && terms == 2 && i == 0 && k == 1
	})
	if a.pools["p"].Pool != pool {
		t.Error("the pool was replaced")
	}
	// Process b reports its open attempts to a.
	u.delay.Store(int64(500 * time.Millisecond))
	reports := make(peerReports, 64)
	a.membership.OpenPeerRoute("p", []string{"b1", "b2"}, 0, 1, reports)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if a, err := client.Get("http://" + b.plan.Listeners[0].Address); err == nil {
			a.Body.Close()
		}
	}()
	reports.waitForAttempt(t)
	<-done
	u.delay.Store(0)

	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	waitFor(t, "process a sees that b is leaving", func() bool {
		var output bytes.Buffer
		var view member.View
		a.WriteMembers(&output, true)
		json.NewDecoder(bytes.NewReader(output.Bytes())).Decode(&view)
		return len(view.Members) == 2 && view.Members[1].Draining && strings.Count(output.String(), "\n") == 2
	})
	var figures bytes.Buffer
	a.WriteFigures(&figures)
	if !strings.Contains(figures.String(), "cluster_members{state=\"alive\"} 2\n") {
		t.Errorf("figures:\n%s", figures.String())
	}
	b.Drain()
	waitFor(t, "process a counts one balancer", func() bool { n, _ := balancers(a); return n == 1 })
	if err := a.Reload(parse(t, strings.Replace(config, "[cluster]\n", "[cluster]\nzone = \"x\"\nthrough = { b2 = \"127.0.0.1:1\" }\n", 1))); err != nil {
		t.Error(err)
	}
	b.Close()
	closeAndVerify(t, a, http.DefaultTransport.(*http.Transport), u)
	if !strings.Contains(logOutput.String(), "key=cluster.zone") || strings.Contains(logOutput.String(), "key=cluster.name") {
		t.Errorf("wrong keys reported as needing a restart:\n%s", logOutput.String())
	}
}

// A member whose cluster address is in use does not start, and leaves no goroutine behind.
func TestClusterAddressTaken(t *testing.T) {
	u := newTestUpstream(t, "u")
	address := freeAddress(t)
	proc := startProcess(t, clusterConfig(t, "b1", freeAddress(t), address, freeAddress(t), u))
	if _, err := Start(parse(t, clusterConfig(t, "b2", freeAddress(t), address, freeAddress(t), u)), slog.New(slog.DiscardHandler), &slog.LevelVar{}); err == nil {
		t.Error("two members were started with the same address")
	}
	closeAndVerify(t, proc, http.DefaultTransport.(*http.Transport), u)
	goleak.VerifyNone(t)
}

// Safeguards can only be turned off in processes that were started by the lab itself.
func TestLabOptionsOnlyForLabChildren(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lab")
	t.Setenv(cluster.LabVariable, file)
	for text, ok := range map[string]bool{
		fmt.Sprintf(`{"process": %d, "without": ["epochs"]}`, os.Getppid()): true,
		fmt.Sprintf(`{"process": %d, "without": ["sense"]}`, os.Getppid()):  false,
		`{"process": 1234567, "without": ["epochs"]}`:                       false,
		`nonsense`: false,
	} {
		os.WriteFile(file, []byte(text), 0o600)
		if lab, err := cluster.ReadLab(); (err == nil) != ok || (lab != nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Each error in [cluster] is reported with its line and the expected value.
func TestClusterConfigErrors(t *testing.T) {
	u := newTestUpstream(t, "u")
	base := "name = \"b1\"\n" + poolConfig("127.0.0.1:1", "", u)
	for text, want := range map[string]string{
		"[cluster]": "cluster.name: is missing",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\nvoters = [\"b1\", \"b2\", \"b1\"]":                                                "cluster.voters[2]: \"b1\" stands there twice",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\nvoters = [\"b1\"]":                                                                "cluster.directory: is missing: \"b1\" is a voter",
		"[cluster]\nname = \"z\"\naddress = \"203.0.113.9:7101\"":                                                                                 "is no address of this machine",
		"[cluster]\nname = \"z\"\naddress = \"0.0.0.0:7101\"":                                                                                     "is every address of this machine",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\nthrough = { b1 = \"127.0.0.1:7\" }":                                               "cluster.through.b1: is this process itself",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\njoin = [\"x\"]":                                                                   "cluster.join[0]: \"x\" is no address",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\nvoter = []":                                                                       "cluster.voter: is no key here; voters is",
		"[cluster]\nname = \"z\"\naddress = \"127.0.0.1:7101\"\ndirectory = \"d\"\nvoters = [\"b2\", \"b3\"]\nthrough = { b9 = \"127.0.0.1:7\" }": "2 keepers bear the loss of 0, as 1 do|no voter is called so",
	} {
		_, faults := plan.Parse("f.toml", []byte(base+text), os.LookupEnv)
		message := fmt.Sprint(faults)
		for _, part := range strings.Split(want, "|") {
			if !strings.Contains(message, part) {
				t.Errorf("%s\ngot %[3]s, want %[2]q", text, part, message)
			}
		}
		for _, f := range faults {
			if f.Line == 0 && strings.HasPrefix(f.Key, "cluster.") {
				t.Errorf("error without a line: %v", f)
			}
		}
	}
	if p, faults := plan.Parse("f.toml", []byte("name = \"b1\"\n"+poolConfig("127.0.0.1:1", "peers = \"cluster\"", u)), os.LookupEnv); p != nil {
		t.Errorf("accepted peers = \"cluster\" without a [cluster] table: %v", faults)
	}
}

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

// clusterConfig is a configuration of one pool whose balancers are the members.
func clusterConfig(t *testing.T, name, listen, address, join string, upstream *testUpstream) string {
	return fmt.Sprintf("name = %q\n", name) + poolConfig(listen, "peers = \"cluster\"\nbalancers = 1", upstream) +
		fmt.Sprintf("[cluster]\nname = \"zuid\"\naddress = %q\njoin = [%q]\nprobe_every = \"50ms\"\nrejoin_every = \"200ms\"\n", address, join)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("not soon: " + what)
}

// Without [cluster] nothing of it runs: no goroutine, no descriptor.
func TestNoGoroutinesWithoutCluster(t *testing.T) {
	u := newTestUpstream(t, "u")
	s := startProcess(t, configText([]string{freeAddress(t)}, [2]any{"a", u}))
	stacks := make([]byte, 1<<20)
	all := string(stacks[:runtime.Stack(stacks, true)])
	for _, word := range []string{"internal/cluster", "memberlist"} {
		if strings.Contains(all, word) {
			t.Errorf("a goroutine of %s runs", word)
		}
	}
	if s.membership != nil {
		t.Error("it is in a cluster")
	}
	if err := s.WriteMembers(&bytes.Buffer{}, false); err == nil {
		t.Error("it tells of members")
	}
	closeAndVerify(t, s, http.DefaultTransport.(*http.Transport), u)
}

// Two processes count one another as balancers of the pool, keep their modules over every change, and tell one another
// what they hold; who leaves by intent counts no more, and nothing of it is left. Keys that need a restart are told.
func TestMembersCountAsBalancers(t *testing.T) {
	u := newTestUpstream(t, "u")
	var out bytes.Buffer
	at, there, listen := freeAddress(t), freeAddress(t), freeAddress(t)
	told := clusterConfig(t, "b1", listen, at, there, u)
	a, err := Start(parse(t, told), slog.New(slog.NewTextHandler(&out, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	b := startProcess(t, clusterConfig(t, "b2", freeAddress(t), there, at, u))
	balancers := func(s *Process) (n, index int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		m := s.pools["p"].Book().Terms
		return m.Balancers, m.Index
	}
	pool := a.pools["p"].Pool
	waitFor(t, "both count two", func() bool {
		n, i := balancers(a)
		m, k := balancers(b)
		return n == 2 && m == 2 && i == 0 && k == 1
	})
	if a.pools["p"].Pool != pool {
		t.Error("the pool was made anew")
	}
	// What b sends on is told to a.
	u.delay.Store(int64(500 * time.Millisecond))
	got := make(peerReports, 64)
	a.membership.Follow("p", []string{"b1", "b2"}, 0, 1, got)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if a, err := client.Get("http://" + b.plan.Listeners[0].Address); err == nil {
			a.Body.Close()
		}
	}()
	got.waitForAttempt(t)
	<-done
	u.delay.Store(0)

	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	waitFor(t, "its leave is seen", func() bool {
		var seen bytes.Buffer
		var v member.View
		a.WriteMembers(&seen, true)
		json.NewDecoder(bytes.NewReader(seen.Bytes())).Decode(&v)
		return len(v.Members) == 2 && v.Members[1].Leaving && strings.Count(seen.String(), "\n") == 2
	})
	var figures bytes.Buffer
	a.WriteFigures(&figures)
	if !strings.Contains(figures.String(), "cluster_members{state=\"alive\"} 2\n") {
		t.Errorf("figures:\n%s", figures.String())
	}
	b.Drain()
	waitFor(t, "a counts itself alone", func() bool { n, _ := balancers(a); return n == 1 })
	if err := a.Reload(parse(t, strings.Replace(told, "[cluster]\n", "[cluster]\nzone = \"x\"\nthrough = { b2 = \"127.0.0.1:1\" }\n", 1))); err != nil {
		t.Error(err)
	}
	b.Close()
	closeAndVerify(t, a, http.DefaultTransport.(*http.Transport), u)
	if !strings.Contains(out.String(), "key=cluster.zone") || strings.Contains(out.String(), "key=cluster.name") {
		t.Errorf("what needs a restart was told wrongly:\n%s", out.String())
	}
}

// A member whose address is taken doesn't start, and nothing is left of it.
func TestClusterAddressTaken(t *testing.T) {
	u := newTestUpstream(t, "u")
	at := freeAddress(t)
	s := startProcess(t, clusterConfig(t, "b1", freeAddress(t), at, freeAddress(t), u))
	if _, err := Start(parse(t, clusterConfig(t, "b2", freeAddress(t), at, freeAddress(t), u)), slog.New(slog.DiscardHandler), &slog.LevelVar{}); err == nil {
		t.Error("two members have one address")
	}
	closeAndVerify(t, s, http.DefaultTransport.(*http.Transport), u)
	goleak.VerifyNone(t)
}

// Guards are left out for the lab's own children only.
func TestLabOptionsOnlyForLabChildren(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lab")
	t.Setenv(cluster.Variable, file)
	for text, ok := range map[string]bool{
		fmt.Sprintf(`{"process": %d, "without": ["epochs"]}`, os.Getppid()): true,
		fmt.Sprintf(`{"process": %d, "without": ["sense"]}`, os.Getppid()):  false,
		`{"process": 1234567, "without": ["epochs"]}`:                       false,
		`nonsense`: false,
	} {
		os.WriteFile(file, []byte(text), 0o600)
		if l, err := cluster.InLab(); (err == nil) != ok || (l != nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// All that is wrong with [cluster] is told with its line, and what would be right.
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
		said := fmt.Sprint(faults)
		for _, w := range strings.Split(want, "|") {
			if !strings.Contains(said, w) {
				t.Errorf("%s\nwants %q, told %s", text, w, said)
			}
		}
		for _, f := range faults {
			if f.Line == 0 && strings.HasPrefix(f.Key, "cluster.") {
				t.Errorf("without a line: %v", f)
			}
		}
	}
	if p, faults := plan.Parse("f.toml", []byte("name = \"b1\"\n"+poolConfig("127.0.0.1:1", "peers = \"cluster\"", u)), os.LookupEnv); p != nil {
		t.Errorf("peers of no cluster: %v", faults)
	}
}

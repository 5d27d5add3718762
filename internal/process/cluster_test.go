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

// clustered is a configuration of one pool whose balancers are the members.
func clustered(t *testing.T, name, listen, address, join string, s *stand) string {
	return fmt.Sprintf("name = %q\n", name) + shaped(listen, "peers = \"cluster\"\nbalancers = 1", s) +
		fmt.Sprintf("[cluster]\nname = \"zuid\"\naddress = %q\njoin = [%q]\nprobe_every = \"50ms\"\nrejoin_every = \"200ms\"\n", address, join)
}

func soonIs(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 300 {
		if is() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("not soon: " + what)
}

// Without [cluster] nothing of it runs: no goroutine, no descriptor.
func TestNoClusterNothing(t *testing.T) {
	u := newStand(t, "u")
	s := begin(t, text([]string{free(t)}, [2]any{"a", u}))
	stacks := make([]byte, 1<<20)
	all := string(stacks[:runtime.Stack(stacks, true)])
	for _, word := range []string{"internal/cluster", "memberlist"} {
		if strings.Contains(all, word) {
			t.Errorf("a goroutine of %s runs", word)
		}
	}
	if s.fleet != nil {
		t.Error("it is in a cluster")
	}
	if err := s.Members(&bytes.Buffer{}, false); err == nil {
		t.Error("it tells of members")
	}
	finish(t, s, http.DefaultTransport.(*http.Transport), u)
}

// Two processes count one another as balancers of the pool, keep their modules over every change, and tell one another
// what they hold; who leaves by intent counts no more, and nothing of it is left. Keys that need a restart are told.
func TestPoolOfMembers(t *testing.T) {
	u := newStand(t, "u")
	var out bytes.Buffer
	at, there, listen := free(t), free(t), free(t)
	told := clustered(t, "b1", listen, at, there, u)
	a, err := Start(parse(t, told), slog.New(slog.NewTextHandler(&out, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	b := begin(t, clustered(t, "b2", free(t), there, at, u))
	balancers := func(s *Process) (n, index int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		m := s.pools["p"].Book().Engine
		return m.Balancers, m.Index
	}
	pool := a.pools["p"].Pool
	soonIs(t, "both count two", func() bool {
		n, i := balancers(a)
		m, k := balancers(b)
		return n == 2 && m == 2 && i == 0 && k == 1
	})
	if a.pools["p"].Pool != pool {
		t.Error("the pool was made anew")
	}
	// What b sends on is told to a.
	u.takes.Store(int64(500 * time.Millisecond))
	got := make(mate, 64)
	a.fleet.OpenPeerRoute("p", []string{"b1", "b2"}, 0, 1, got)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if a, err := client.Get("http://" + b.plan.Listeners[0].Address); err == nil {
			a.Body.Close()
		}
	}()
	got.flying(t)
	<-done
	u.takes.Store(0)

	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	soonIs(t, "its leave is seen", func() bool {
		var seen bytes.Buffer
		var v member.View
		a.Members(&seen, true)
		json.NewDecoder(bytes.NewReader(seen.Bytes())).Decode(&v)
		return len(v.Members) == 2 && v.Members[1].Draining && strings.Count(seen.String(), "\n") == 2
	})
	var figures bytes.Buffer
	a.Figures(&figures)
	if !strings.Contains(figures.String(), "cluster_members{state=\"alive\"} 2\n") {
		t.Errorf("figures:\n%s", figures.String())
	}
	b.Drain()
	soonIs(t, "a counts itself alone", func() bool { n, _ := balancers(a); return n == 1 })
	if err := a.Reload(parse(t, strings.Replace(told, "[cluster]\n", "[cluster]\nzone = \"x\"\nthrough = { b2 = \"127.0.0.1:1\" }\n", 1))); err != nil {
		t.Error(err)
	}
	b.Close()
	finish(t, a, http.DefaultTransport.(*http.Transport), u)
	if !strings.Contains(out.String(), "key=cluster.zone") || strings.Contains(out.String(), "key=cluster.name") {
		t.Errorf("what needs a restart was told wrongly:\n%s", out.String())
	}
}

// A member whose address is taken doesn't start, and nothing is left of it.
func TestClusterAddressTaken(t *testing.T) {
	u := newStand(t, "u")
	at := free(t)
	s := begin(t, clustered(t, "b1", free(t), at, free(t), u))
	if _, err := Start(parse(t, clustered(t, "b2", free(t), at, free(t), u)), slog.New(slog.DiscardHandler), &slog.LevelVar{}); err == nil {
		t.Error("two members have one address")
	}
	finish(t, s, http.DefaultTransport.(*http.Transport), u)
	goleak.VerifyNone(t)
}

// Guards are left out for the lab's own children only.
func TestLabOnly(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lab")
	t.Setenv(cluster.LabVariable, file)
	for text, ok := range map[string]bool{
		fmt.Sprintf(`{"process": %d, "without": ["epochs"]}`, os.Getppid()): true,
		fmt.Sprintf(`{"process": %d, "without": ["sense"]}`, os.Getppid()):  false,
		`{"process": 1234567, "without": ["epochs"]}`:                       false,
		`nonsense`: false,
	} {
		os.WriteFile(file, []byte(text), 0o600)
		if l, err := cluster.ReadLab(); (err == nil) != ok || (l != nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// All that is wrong with [cluster] is told with its line, and what would be right.
func TestClusterFaults(t *testing.T) {
	u := newStand(t, "u")
	base := "name = \"b1\"\n" + shaped("127.0.0.1:1", "", u)
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
	if p, faults := plan.Parse("f.toml", []byte("name = \"b1\"\n"+shaped("127.0.0.1:1", "peers = \"cluster\"", u)), os.LookupEnv); p != nil {
		t.Errorf("peers of no cluster: %v", faults)
	}
}

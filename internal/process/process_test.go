package process

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ottershift/internal/plan"
)

// testUpstream is a stand-in for the upstreams of a pool: it says its name after some time, and counts what is open to it.
type testUpstream struct {
	*httptest.Server
	name  string
	delay atomic.Int64 // nanoseconds
	conns atomic.Int64
}

func newTestUpstream(t *testing.T, name string) *testUpstream {
	upstream := &testUpstream{name: name}
	upstream.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(upstream.delay.Load()))
		fmt.Fprintf(w, "%s %s", upstream.name, r.Host)
	}))
	upstream.Config.ConnState = func(_ net.Conn, now http.ConnState) {
		switch now {
		case http.StateNew:
			upstream.conns.Add(1)
		case http.StateClosed:
			upstream.conns.Add(-1)
		}
	}
	upstream.Start()
	t.Cleanup(upstream.Close)
	return upstream
}

const baseConfig = `limits.descriptors = 2000
[tariffs.view]
repeat = "repeatable"
contract_time = "2s"
hard_stop = "5s"
`

// configText is a configuration: host and stand by pool, and addresses to listen on.
func configText(listen []string, pools ...[2]any) string {
	var b strings.Builder
	b.WriteString(baseConfig)
	for n, address := range listen {
		fmt.Fprintf(&b, "[listeners.l%d]\naddress = %q\n", n, address)
	}
	for n, p := range pools {
		upstream := p[1].(*testUpstream)
		fmt.Fprintf(&b, "[pools.p%d]\ndefault_tariff = \"view\"\nupstreams = [{ name = \"u\", address = %q }]\n", n, upstream.Listener.Addr())
		fmt.Fprintf(&b, "[[routes]]\nname = \"r%d\"\nhosts = [%q]\npool = \"p%d\"\n", n, p[0], n)
	}
	return b.String()
}

func parse(t testing.TB, config string) *plan.Plan {
	t.Helper()
	p, faults := plan.Parse("f.toml", []byte(config), os.LookupEnv)
	if p == nil {
		t.Fatal(faults)
	}
	return p
}

func startProcess(t testing.TB, config string) *Process {
	t.Helper()
	proc, err := Start(parse(t, config), slog.New(slog.DiscardHandler), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	return proc
}

// closeAndVerify ends a process and sees that nothing of it is left.
func closeAndVerify(t *testing.T, proc *Process, client *http.Transport, upstreams ...*testUpstream) {
	t.Helper()
	client.CloseIdleConnections()
	proc.front.Drain()
	proc.Close()
	for _, u := range upstreams {
		for n := 0; u.conns.Load() != 0; n++ {
			if n == 200 {
				t.Errorf("%d connections to %s are left", u.conns.Load(), u.name)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		u.Close()
	}
	goleak.VerifyNone(t)
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func sendRequest(client *http.Transport, address, host string) (status int, body string, err error) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	request.Host = host
	response, err := client.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// The hosts of two pools are swapped again and again under load, while a third pool comes and goes: no transaction is
// lost, each is answered by a pool that was its host's at some moment of its life, and at the end nothing is left.
func TestReloadsUnderLoad(t *testing.T) {
	one, two, three := newTestUpstream(t, "one"), newTestUpstream(t, "two"), newTestUpstream(t, "three")
	three.delay.Store(int64(20 * time.Millisecond))
	address := []string{freeAddress(t)}
	plans := []*plan.Plan{
		parse(t, configText(address, [2]any{"a.org", one}, [2]any{"b.org", two}, [2]any{"c.org", three})),
		parse(t, configText(address, [2]any{"b.org", one}, [2]any{"a.org", two})),
	}
	s := startProcess(t, configText(address, [2]any{"a.org", one}, [2]any{"b.org", two}, [2]any{"c.org", three}))
	client := &http.Transport{MaxIdleConnsPerHost: 64}

	var turn atomic.Int64 // odd while a reload goes on; a half of it is the number of reloads
	var stop atomic.Bool
	var load sync.WaitGroup
	var asked, gone atomic.Int64
	for n := range 12 {
		load.Go(func() {
			host := []string{"a.org", "b.org", "c.org"}[n%3]
			for !stop.Load() {
				before := turn.Load()
				status, body, err := sendRequest(client, address[0], host)
				after := turn.Load()
				asked.Add(1)
				swapped := before/2%2 == 1
				want := map[string]string{"a.org": "one", "b.org": "two", "c.org": "three"}[host]
				if swapped {
					want = map[string]string{"a.org": "two", "b.org": "one"}[host]
				}
				still := before == after && before%2 == 0
				switch {
				case host == "c.org" && status == http.StatusNotFound && (!still || want == ""):
					gone.Add(1)
				case err != nil || status != http.StatusOK || !strings.HasSuffix(body, host):
					t.Errorf("%s was answered %d %q, %v", host, status, body, err)
				case still && body != want+" "+host:
					t.Errorf("%s was answered by %q instead of %q", host, body, want)
				}
			}
		})
	}
	const reloads, transactions, most = 60, 500, 3000
	for n := 0; n < reloads || asked.Load() < transactions && n < most; n++ { // a busy machine asks less in the time of 60 reloads
		time.Sleep(20 * time.Millisecond)
		turn.Add(1)
		if err := s.Reload(plans[(n+1)%2]); err != nil {
			t.Error(err)
		}
		turn.Add(1)
	}
	stop.Store(true)
	load.Wait()
	if asked.Load() < transactions || gone.Load() == 0 {
		t.Errorf("%d asked, %d of them of a pool that had gone", asked.Load(), gone.Load())
	}
	closeAndVerify(t, s, client, one, two, three)
}

// A pool that is removed with transactions open finishes them; a pool that stays keeps its connections and what its
// module knows; one whose terms change is another, with the old one's list; a plan that can't be put in force changes
// nothing.
func TestReloadKeepsUnchangedPools(t *testing.T) {
	one, two := newTestUpstream(t, "one"), newTestUpstream(t, "two")
	list := filepath.Join(t.TempDir(), "list.toml")
	os.WriteFile(list, fmt.Appendf(nil, "[[upstreams]]\nname = \"u\"\naddress = %q\n", two.Listener.Addr()), 0o600)
	address := []string{freeAddress(t), freeAddress(t)}
	both := configText(address[:1], [2]any{"a.org", one}, [2]any{"b.org", two})
	s := startProcess(t, both)
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	must := func(host string, want int) {
		t.Helper()
		if status, body, err := sendRequest(client, address[0], host); err != nil || status != want {
			t.Fatalf("%s: %d %q %v", host, status, body, err)
		}
	}
	must("a.org", 200)
	must("b.org", 200)
	kept, conns := s.pools["p0"].Pool, one.conns.Load()

	two.delay.Store(int64(300 * time.Millisecond))
	slow := make(chan string, 5)
	for range cap(slow) {
		go func() {
			status, body, _ := sendRequest(client, address[0], "b.org")
			slow <- fmt.Sprint(status, " ", body)
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if err := s.Reload(parse(t, configText(address[:1], [2]any{"a.org", one}))); err != nil {
		t.Fatal(err)
	}
	must("b.org", 404)
	for range cap(slow) {
		if got := <-slow; got != "200 two b.org" {
			t.Errorf("open when its pool was removed: %s", got)
		}
	}
	must("a.org", 200)
	if s.pools["p0"].Pool != kept || one.conns.Load() != conns {
		t.Errorf("a pool that stayed is another, or has %d connections instead of %d", one.conns.Load(), conns)
	}

	// Listeners come and go; what can't be put in force is undone.
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	before := s.plan
	if err := s.Reload(parse(t, configText([]string{address[1], taken.Addr().String()}, [2]any{"a.org", two}))); err == nil || s.plan != before {
		t.Errorf("taken: %v", err)
	}
	must("a.org", 200)
	if _, _, err := sendRequest(client, address[1], "a.org"); err == nil {
		t.Error("a listener of a plan that was refused answers")
	}
	if err := s.Reload(parse(t, configText(address[1:], [2]any{"a.org", one}))); err != nil {
		t.Fatal(err)
	}
	if _, _, err := sendRequest(&http.Transport{DisableKeepAlives: true}, address[0], "a.org"); err == nil {
		t.Error("a listener that was removed answers")
	}
	address = address[1:]
	must("a.org", 200)

	// Other limits towards upstreams make another pool, which serves from its first moment; another source tells the same pool.
	changed := strings.Replace(configText(address, [2]any{"a.org", one}), "[pools.p0]\n", "[pools.p0]\ndial_timeout = \"700ms\"\n", 1)
	if err := s.Reload(parse(t, changed)); err != nil {
		t.Fatal(err)
	}
	must("a.org", 200)
	if kept == s.pools["p0"].Pool {
		t.Error("a pool of other limits is the same")
	}
	// Another number of cores makes all pools anew, each with as many shards; all of them have the list.
	if err := s.Reload(parse(t, "limits.cores = 3\n"+changed)); err != nil {
		t.Fatal(err)
	}
	if n := s.pools["p0"].Shards(); n != 3 {
		t.Errorf("%d shards on three cores", n)
	}
	for range 6 { // each client of its own, so that every shard is met
		client.CloseIdleConnections()
		must("a.org", 200)
	}
	if err := s.Reload(parse(t, changed)); err != nil {
		t.Fatal(err)
	}
	kept = s.pools["p0"].Pool
	from := strings.Index(changed, "upstreams = ")
	to := from + strings.IndexByte(changed[from:], '\n')
	if err := s.Reload(parse(t, changed[:from]+fmt.Sprintf("upstreams_file = %q", list)+changed[to:])); err != nil {
		t.Fatal(err)
	}
	two.delay.Store(0)
	for n := 0; ; n++ {
		if _, body, _ := sendRequest(client, address[0], "a.org"); body == "two a.org" {
			break
		} else if n == 300 {
			t.Fatalf("still answered by %q", body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if kept != s.pools["p0"].Pool {
		t.Error("a pool whose list comes from elsewhere is another")
	}

	// The last upstream leaves in the middle of traffic: what comes is deferred at once, and served when it is back.
	os.WriteFile(list, []byte("empty = true\n"), 0o600)
	for n := 0; ; n++ {
		start := time.Now()
		status, body, err := sendRequest(client, address[0], "a.org")
		if err != nil || status != 200 && status != 503 {
			t.Fatalf("%d %q %v", status, body, err)
		}
		if status == 503 {
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("deferred after %s", took)
			}
			break
		}
		if n == 300 {
			t.Fatal("still answered")
		}
		time.Sleep(10 * time.Millisecond)
	}
	closeAndVerify(t, s, client, one, two)
}

// A pool whose tariffs change stays as it is, with what it has learnt: what is open ends under the terms that it came
// under, and what comes is served under the new ones.
func TestTariffsChangeInPlace(t *testing.T) {
	one := newTestUpstream(t, "one")
	one.delay.Store(int64(300 * time.Millisecond))
	address := []string{freeAddress(t)}
	first := configText(address, [2]any{"a.org", one})
	second := strings.NewReplacer("[tariffs.view]", "[tariffs.look]", `"view"`, `"look"`, `"5s"`, `"250ms"`, `"2s"`, `"200ms"`).Replace(first)
	s := startProcess(t, first)
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	before := s.pools["p0"].Pool
	open := make(chan string)
	go func() {
		status, body, err := sendRequest(client, address[0], "a.org")
		open <- fmt.Sprint(status, body, err)
	}()
	time.Sleep(100 * time.Millisecond)
	if err := s.Reload(parse(t, second)); err != nil {
		t.Fatal(err)
	}
	if s.pools["p0"].Pool != before {
		t.Error("the pool was made anew")
	}
	if got := <-open; !strings.HasPrefix(got, "200") {
		t.Errorf("what was open ended with %s", got)
	}
	if status, _, err := sendRequest(client, address[0], "a.org"); status != 503 || err != nil { // 250 ms are too short for it
		t.Errorf("under the new terms: %d %v", status, err)
	}
	closeAndVerify(t, s, client, one)
}

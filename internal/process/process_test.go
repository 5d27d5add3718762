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

// testUpstream is an HTTP server that responds with its name after a delay, and counts the connections open to it.
type testUpstream struct {
	*httptest.Server
	name      string
	delay     atomic.Int64 // nanoseconds
	openConns atomic.Int64
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
			upstream.openConns.Add(1)
		case http.StateClosed:
			upstream.openConns.Add(-1)
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

// configText returns a configuration with listeners at the given addresses. Each pool is given by its host and its
// upstream.
func configText(listen []string, pools ...[2]any) string {
	var text strings.Builder
	text.WriteString(baseConfig)
	for n, address := range listen {
		fmt.Fprintf(&text, "[listeners.l%d]\naddress = %q\n", n, address)
	}
	for n, p := range pools {
		upstream := p[1].(*testUpstream)
		fmt.Fprintf(&text, "[pools.p%d]\ndefault_tariff = \"view\"\nupstreams = [{ name = \"u\", address = %q }]\n", n, upstream.Listener.Addr())
		fmt.Fprintf(&text, "[[routes]]\nname = \"r%d\"\nhosts = [%q]\npool = \"p%d\"\n", n, p[0], n)
	}
	return text.String()
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

// closeAndVerify stops a process and checks that no connections and goroutines are left.
func closeAndVerify(t *testing.T, proc *Process, client *http.Transport, upstreams ...*testUpstream) {
	t.Helper()
	client.CloseIdleConnections()
	proc.front.Drain()
	proc.Close()
	for _, u := range upstreams {
		for n := 0; u.openConns.Load() != 0; n++ {
			if n == 200 {
				t.Errorf("%d connections to %s are left", u.openConns.Load(), u.name)
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

// Reloads under load swap the hosts of two pools, and add and remove a third pool. No transaction is lost, each is
// served by a pool that its host had at some time during the transaction, and no resources are left at the end.
func TestReloadsUnderLoad(t *testing.T) {
	one, two, three := newTestUpstream(t, "one"), newTestUpstream(t, "two"), newTestUpstream(t, "three")
	three.delay.Store(int64(20 * time.Millisecond))
	address := []string{freeAddress(t)}
	configs := []*plan.Plan{
		parse(t, configText(address, [2]any{"a.org", one}, [2]any{"b.org", two}, [2]any{"c.org", three})),
		parse(t, configText(address, [2]any{"b.org", one}, [2]any{"a.org", two})),
	}
	proc := startProcess(t, configText(address, [2]any{"a.org", one}, [2]any{"b.org", two}, [2]any{"c.org", three}))
	client := &http.Transport{MaxIdleConnsPerHost: 64}

	var reloadSteps atomic.Int64 // odd while a reload is under way; half of it is the number of reloads
	var stop atomic.Bool
	var clients sync.WaitGroup
	var requests, notFound atomic.Int64
	for n := range 12 {
		clients.Go(func() {
			host := []string{"a.org", "b.org", "c.org"}[n%3]
			for !stop.Load() {
				before := reloadSteps.Load()
				status, body, err := sendRequest(client, address[0], host)
				after := reloadSteps.Load()
				requests.Add(1)
				hostsSwapped := before/2%2 == 1
				want := map[string]string{"a.org": "one", "b.org": "two", "c.org": "three"}[host]
				if hostsSwapped {
					want = map[string]string{"a.org": "two", "b.org": "one"}[host]
				}
				unchanged := before == after && before%2 == 0
				switch {
				case host == "c.org" && status == http.StatusNotFound && (!unchanged || want == ""):
					notFound.Add(1)
				case err != nil || status != http.StatusOK || !strings.HasSuffix(body, host):
					t.Errorf("%s got %d %q, %v", host, status, body, err)
				case unchanged && body != want+" "+host:
					t.Errorf("%s was served by %q, want %q", host, body, want)
				}
			}
		})
	}
	const minReloads, minRequests, maxReloads = 60, 500, 3000
	// On a busy machine, 60 reloads may end before 500 requests have been sent.
	for n := 0; n < minReloads || requests.Load() < minRequests && n < maxReloads; n++ {
		time.Sleep(20 * time.Millisecond)
		reloadSteps.Add(1)
		if err := proc.Reload(configs[(n+1)%2]); err != nil {
			t.Error(err)
		}
		reloadSteps.Add(1)
	}
	stop.Store(true)
	clients.Wait()
	if requests.Load() < minRequests || notFound.Load() == 0 {
		t.Errorf("%d requests, %d of them for a removed pool", requests.Load(), notFound.Load())
	}
	closeAndVerify(t, proc, client, one, two, three)
}

// A reload lets a removed pool finish its open transactions. An unchanged pool keeps its connections and its decision
// engine. A pool with other upstream limits is replaced and gets the list of the old one. A configuration that cannot
// be applied changes nothing.
func TestReloadKeepsUnchangedPools(t *testing.T) {
	one, two := newTestUpstream(t, "one"), newTestUpstream(t, "two")
	listFile := filepath.Join(t.TempDir(), "list.toml")
	os.WriteFile(listFile, fmt.Appendf(nil, "[[upstreams]]\nname = \"u\"\naddress = %q\n", two.Listener.Addr()), 0o600)
	address := []string{freeAddress(t), freeAddress(t)}
	config := configText(address[:1], [2]any{"a.org", one}, [2]any{"b.org", two})
	proc := startProcess(t, config)
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	expectStatus := func(host string, want int) {
		t.Helper()
		if status, body, err := sendRequest(client, address[0], host); err != nil || status != want {
			t.Fatalf("%s: %d %q %v", host, status, body, err)
		}
	}
	expectStatus("a.org", 200)
	expectStatus("b.org", 200)
	keptPool, conns := proc.pools["p0"].Pool, one.openConns.Load()

	two.delay.Store(int64(300 * time.Millisecond))
	slow := make(chan string, 5)
	for range cap(slow) {
		go func() {
			status, body, _ := sendRequest(client, address[0], "b.org")
			slow <- fmt.Sprint(status, " ", body)
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if err := proc.Reload(parse(t, configText(address[:1], [2]any{"a.org", one}))); err != nil {
		t.Fatal(err)
	}
	expectStatus("b.org", 404)
	for range cap(slow) {
		if got := <-slow; got != "200 two b.org" {
			t.Errorf("transaction open when its pool was removed got %s", got)
		}
	}
	expectStatus("a.org", 200)
	if proc.pools["p0"].Pool != keptPool || one.openConns.Load() != conns {
		t.Errorf("an unchanged pool was replaced, or has %d connections, want %d", one.openConns.Load(), conns)
	}

	// Listeners are added and removed. A configuration that cannot be applied is undone.
	takenListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer takenListener.Close()
	before := proc.plan
	if err := proc.Reload(parse(t, configText([]string{address[1], takenListener.Addr().String()}, [2]any{"a.org", two}))); err == nil || proc.plan != before {
		t.Errorf("reload with an address in use: %v", err)
	}
	expectStatus("a.org", 200)
	if _, _, err := sendRequest(client, address[1], "a.org"); err == nil {
		t.Error("a listener of a refused configuration responds")
	}
	if err := proc.Reload(parse(t, configText(address[1:], [2]any{"a.org", one}))); err != nil {
		t.Fatal(err)
	}
	if _, _, err := sendRequest(&http.Transport{DisableKeepAlives: true}, address[0], "a.org"); err == nil {
		t.Error("a removed listener responds")
	}
	address = address[1:]
	expectStatus("a.org", 200)

	// Other upstream limits replace the pool, and the new one serves at once. Another list source keeps the pool.
	changed := strings.Replace(configText(address, [2]any{"a.org", one}), "[pools.p0]\n", "[pools.p0]\ndial_timeout = \"700ms\"\n", 1)
	if err := proc.Reload(parse(t, changed)); err != nil {
		t.Fatal(err)
	}
	expectStatus("a.org", 200)
	if keptPool == proc.pools["p0"].Pool {
		t.Error("a pool with other limits was not replaced")
	}
	// Another number of cores replaces all pools. They have one shard for each core, and all shards have the list.
	if err := proc.Reload(parse(t, "limits.cores = 3\n"+changed)); err != nil {
		t.Fatal(err)
	}
	if n := proc.pools["p0"].Shards(); n != 3 {
		t.Errorf("%d shards, want 3", n)
	}
	for range 6 { // each on a new connection, so that every shard gets a request
		client.CloseIdleConnections()
		expectStatus("a.org", 200)
	}
	if err := proc.Reload(parse(t, changed)); err != nil {
		t.Fatal(err)
	}
	keptPool = proc.pools["p0"].Pool
	lineStart := strings.Index(changed, "upstreams = ")
	lineEnd := lineStart + strings.IndexByte(changed[lineStart:], '\n')
	if err := proc.Reload(parse(t, changed[:lineStart]+fmt.Sprintf("upstreams_file = %q", listFile)+changed[lineEnd:])); err != nil {
		t.Fatal(err)
	}
	two.delay.Store(0)
	for n := 0; ; n++ {
		if _, body, _ := sendRequest(client, address[0], "a.org"); body == "two a.org" {
			break
		} else if n == 300 {
			t.Fatalf("still served by %q", body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if keptPool != proc.pools["p0"].Pool {
		t.Error("a pool was replaced because its list source changed")
	}

	// Once the last upstream is removed from the list, transactions are deferred without delay.
	os.WriteFile(listFile, []byte("empty = true\n"), 0o600)
	for n := 0; ; n++ {
		start := time.Now()
		status, body, err := sendRequest(client, address[0], "a.org")
		if err != nil || status != 200 && status != 503 {
			t.Fatalf("%d %q %v", status, body, err)
		}
		if status == 503 {
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("deferred after %s, want at most 200 ms", took)
			}
			break
		}
		if n == 300 {
			t.Fatal("still served without an upstream")
		}
		time.Sleep(10 * time.Millisecond)
	}
	closeAndVerify(t, proc, client, one, two)
}

// A pool keeps its learned state when its tariffs change. Open transactions end under the old tariffs, and new ones are
// served under the new ones.
func TestTariffsChangeInPlace(t *testing.T) {
	one := newTestUpstream(t, "one")
	one.delay.Store(int64(300 * time.Millisecond))
	address := []string{freeAddress(t)}
	oldConfig := configText(address, [2]any{"a.org", one})
	newConfig := strings.NewReplacer("[tariffs.view]", "[tariffs.look]", `"view"`, `"look"`, `"5s"`, `"250ms"`, `"2s"`, `"200ms"`).Replace(oldConfig)
	proc := startProcess(t, oldConfig)
	client := &http.Transport{MaxIdleConnsPerHost: 64}
	before := proc.pools["p0"].Pool
	open := make(chan string)
	go func() {
		status, body, err := sendRequest(client, address[0], "a.org")
		open <- fmt.Sprint(status, body, err)
	}()
	time.Sleep(100 * time.Millisecond)
	if err := proc.Reload(parse(t, newConfig)); err != nil {
		t.Fatal(err)
	}
	if proc.pools["p0"].Pool != before {
		t.Error("the pool was replaced")
	}
	if got := <-open; !strings.HasPrefix(got, "200") {
		t.Errorf("the open transaction ended with %s", got)
	}
	// The upstream takes longer than the new hard stop of 250 ms.
	if status, _, err := sendRequest(client, address[0], "a.org"); status != 503 || err != nil {
		t.Errorf("under the new tariffs: got %d %v, want 503", status, err)
	}
	closeAndVerify(t, proc, client, one)
}

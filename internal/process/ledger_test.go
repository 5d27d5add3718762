package process

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershift/internal/cluster/ledger"
)

// testCell is the upstream of a cell. It counts the requests that it ran, by idempotency key.
type testCell struct {
	*testUpstream
	mu         sync.Mutex
	runs       map[string]int
	release    chan struct{} // requests are answered once this is closed, or at once if nil
	breakConns atomic.Bool   // requests run, but their connections are closed without a response
	reject     atomic.Bool   // requests are rejected before they run
}

func newTestCell(t *testing.T, name string) *testCell {
	c := &testCell{testUpstream: newTestUpstream(t, name), runs: map[string]int{}}
	c.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if c.reject.Load() {
			w.Header().Set("X-Turned-Away", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.mu.Lock()
		c.runs[r.Header.Get("Idempotency-Key")]++
		hold := c.release
		c.mu.Unlock()
		if hold != nil {
			<-hold
		}
		if c.breakConns.Load() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, name)
	})
	return c
}

// times returns how often a key has run.
func (c *testCell) times(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// ledgerConfig returns a configuration of one pool whose upstreams are cells, with a ledger held by the given voters.
func ledgerConfig(name, listen, address, dir, voters, more string, cells ...*testCell) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nlimits.descriptors = 2000\n", name)
	text.WriteString(`[tariffs.view]
repeat = "repeatable"
contract_time = "1s"
hard_stop = "2s"
[tariffs.order]
repeat = "tagged"
group = "cell"
remembered = "20s"
contract_time = "1s"
hard_stop = "2s"
[tariffs.pay]
repeat = "once-only"
contract_time = "1s"
hard_stop = "2s"
`)
	fmt.Fprintf(&text, "[listeners.l]\naddress = %q\n[[routes]]\npool = \"p\"\n[pools.p]\ndefault_tariff = \"view\"\nmax_pushes = 3\n", listen)
	for _, c := range cells {
		fmt.Fprintf(&text, "[[pools.p.upstreams]]\nname = %q\naddress = %q\ngroup = %d\n", c.name, c.Listener.Addr(), c.name[0]-'a'+1)
	}
	fmt.Fprintf(&text, "[cluster]\nname = \"zuid\"\naddress = %q\ndirectory = %q\nvoters = [%s]\nelection = \"100ms\"\nlease = \"300ms\"\nprobe_every = \"50ms\"\n",
		address, dir, voters)
	fmt.Fprintf(&text, "[cluster.ledger]\nwithin = \"300ms\"\n%s\n", more)
	return text.String()
}

// sendKeyed sends one transaction of a tariff with an idempotency key, unless that is empty.
func sendKeyed(address, tariff, key, body string, resent bool) (status int, text string, retryAfter string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/"+tariff, strings.NewReader(body))
	request.Header.Set("X-Lane", tariff)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	if resent {
		request.Header.Set("X-Resent", "1")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw)), response.Header.Get("Retry-After")
}

// upstreamsRun returns the names of the upstreams that ran a key, one for each run.
func upstreamsRun(key string, cells ...*testCell) (at []string) {
	for _, c := range cells {
		for range c.times(key) {
			at = append(at, c.name)
		}
	}
	return at
}

// waitForLedger waits until the ledger accepts claims.
func waitForLedger(t *testing.T, proc *Process) {
	t.Helper()
	waitFor(t, "the ledger is reachable", func() bool { l := proc.membership.Ledger(); return l != nil && !l.Unreachable() })
}

// A ledger with a single voter. A repeat only goes where the first transaction may have run, also after a restart
// without a recorded outcome. Non-idempotent transactions that may have run are forfeited, those that never ran are
// sent. A key with another body is refused if same_body is set. A reload turns the ledger off and on.
func TestLedgerSingleVoter(t *testing.T) {
	a, b := newTestCell(t, "a"), newTestCell(t, "b")
	listen, at, dir := freeAddress(t), freeAddress(t), t.TempDir()
	config := func(more string) string { return ledgerConfig("b1", listen, at, dir, `"b1"`, more, a, b) }
	proc := startProcess(t, config("same_body = true"))
	waitForLedger(t, proc)

	for n := range 20 {
		key := fmt.Sprint("k", n)
		first, ranBy, _ := sendKeyed(listen, "order", key, "x", false)
		second, repeatRanBy, _ := sendKeyed(listen, "order", key, "x", n%2 == 0) // with and without the header of a repeat
		if first != 200 || second != 200 || ranBy != repeatRanBy {
			t.Fatalf("%s got status %d from %s, and its repeat %d from %s", key, first, ranBy, second, repeatRanBy)
		}
	}
	if status, _, _ := sendKeyed(listen, "order", "k1", "another", false); status != http.StatusUnprocessableEntity {
		t.Errorf("a key with another body got status %d", status)
	}
	long := strings.Repeat("k", 28<<10)
	if status, _, _ := sendKeyed(listen, "order", long, "x", false); status != 200 {
		t.Errorf("a long key got status %d", status)
	}

	// A non-idempotent transaction runs again after a rejection, but not after a response.
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != 200 {
		t.Fatalf("non-idempotent transaction got status %d", status)
	}
	if status, text, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway || len(upstreamsRun("p1", a, b)) != 1 {
		t.Errorf("repeated non-idempotent transaction got status %d %q, and ran at %v", status, text, upstreamsRun("p1", a, b))
	}
	a.reject.Store(true)
	b.reject.Store(true)
	if status, _, retryAfter := sendKeyed(listen, "pay", "p2", "x", false); status != http.StatusServiceUnavailable || retryAfter == "" {
		t.Errorf("rejected transaction got status %d, Retry-After %q", status, retryAfter)
	}
	a.reject.Store(false)
	b.reject.Store(false)
	if status, _, _ := sendKeyed(listen, "pay", "p2", "x", true); status != 200 || len(upstreamsRun("p2", a, b)) != 1 {
		t.Errorf("repeat of a rejected transaction got status %d, and ran at %v", status, upstreamsRun("p2", a, b))
	}

	// A repeat that arrives while the first transaction runs waits for it to end or is deferred, but never runs in
	// parallel.
	gate := make(chan struct{})
	for _, c := range []*testCell{a, b} {
		c.mu.Lock()
		c.release = gate
		c.mu.Unlock()
	}
	statuses := make(chan int, 2)
	go func() { status, _, _ := sendKeyed(listen, "order", "twin", "x", false); statuses <- status }()
	waitFor(t, "the first transaction runs", func() bool { return len(upstreamsRun("twin", a, b)) == 1 })
	status, _, retryAfter := sendKeyed(listen, "order", "twin", "x", false)
	if status != http.StatusServiceUnavailable || retryAfter == "" || len(upstreamsRun("twin", a, b)) != 1 {
		t.Errorf("the second got status %d, Retry-After %q, and ran at %v", status, retryAfter, upstreamsRun("twin", a, b))
	}
	go func() { status, _, _ := sendKeyed(listen, "order", "twin", "x", true); statuses <- status }()
	time.Sleep(50 * time.Millisecond)
	close(gate)
	for range 2 {
		if status := <-statuses; status != 200 {
			t.Errorf("a concurrent transaction got status %d", status)
		}
	}
	if at := upstreamsRun("twin", a, b); len(at) != 2 || at[0] != at[1] {
		t.Errorf("concurrent transactions ran at %v", at)
	}
	for _, c := range []*testCell{a, b} {
		c.mu.Lock()
		c.release = nil
		c.mu.Unlock()
	}

	// With the ledger off nothing is claimed. Earlier claims are known when it is on again.
	if err := proc.Reload(parse(t, config(`policy = "off"`))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != 200 {
		t.Errorf("non-idempotent transaction with the ledger off got status %d", status)
	}
	if err := proc.Reload(parse(t, config(""))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway {
		t.Errorf("non-idempotent transaction with the ledger on again got status %d", status)
	}

	// The process restarts with a claim whose outcome is unknown. Only the voter's directory remains.
	a.breakConns.Store(true)
	b.breakConns.Store(true)
	if status, _, _ := sendKeyed(listen, "order", "cut", "x", false); status == 200 {
		t.Error("a broken response was passed on as complete")
	}
	a.breakConns.Store(false)
	b.breakConns.Store(false)
	ranBy := upstreamsRun("cut", a, b)[0]
	proc.Drain()
	proc.Close()
	proc = startProcess(t, config(""))
	defer proc.Close()
	defer proc.Drain()
	waitForLedger(t, proc)
	if status, repeatRanBy, _ := sendKeyed(listen, "order", "cut", "x", false); status != 200 || repeatRanBy != ranBy {
		t.Errorf("after a restart the repeat of a transaction that ran at %s got status %d from %s", ranBy, status, repeatRanBy)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway {
		t.Errorf("after a restart a non-idempotent transaction that had run got status %d", status)
	}
	var out bytes.Buffer
	if err := proc.ClusterCommand(&out, []string{"ledger", "find", `{"label":"p1"}`}); err != nil || !strings.Contains(out.String(), `"state":"answered"`) {
		t.Errorf("ledger find returned %q, %v", out.String(), err)
	}
	out.Reset()
	if err := proc.ClusterCommand(&out, []string{"ledger", "verify"}); err != nil || !strings.Contains(out.String(), `"wrong":0`) {
		t.Errorf("ledger verify returned %q, %v", out.String(), err)
	}
	// Without any upstream of its group in the list, a repeat is deferred and goes to no other group.
	remaining := a
	if ranBy == "a" {
		remaining = b
	}
	if err := proc.Reload(parse(t, ledgerConfig("b1", listen, at, dir, `"b1"`, "", remaining))); err != nil {
		t.Fatal(err)
	}
	if status, _, retryAfter := sendKeyed(listen, "order", "cut", "x", true); status != http.StatusServiceUnavailable || retryAfter == "" || len(upstreamsRun("cut", remaining)) != 0 {
		t.Errorf("without its group the repeat got status %d, and ran at %v", status, upstreamsRun("cut", remaining))
	}
}

// Without a majority of the voters, transactions that must not run twice are deferred at once with Retry-After, while
// idempotent ones are served as usual. The metrics show that the ledger is down.
func TestLedgerWithoutMajority(t *testing.T) {
	a := newTestCell(t, "a")
	listen := freeAddress(t)
	var out bytes.Buffer
	proc, err := Start(parse(t, ledgerConfig("b1", listen, freeAddress(t), t.TempDir(), `"b1", "b2", "b3"`, "", a)), slog.New(slog.NewTextHandler(&out, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	defer proc.Close()
	defer proc.Drain()
	for _, tariff := range []string{"order", "pay"} {
		start := time.Now()
		status, _, retryAfter := sendKeyed(listen, tariff, "k", "x", false)
		if status != http.StatusServiceUnavailable || retryAfter == "" || time.Since(start) > 200*time.Millisecond {
			t.Errorf("%s got status %d after %s, Retry-After %q", tariff, status, time.Since(start), retryAfter)
		}
	}
	if status, _, _ := sendKeyed(listen, "view", "", "x", false); status != 200 || len(upstreamsRun("k", a)) != 0 {
		t.Errorf("idempotent transaction got status %d", status)
	}
	var figures bytes.Buffer
	proc.WriteFigures(&figures)
	if !strings.Contains(figures.String(), "cluster_ledger_down 1\n") || !strings.Contains(figures.String(), "cluster_ledger_deferred 2\n") {
		t.Errorf("figures:\n%s", figures.String())
	}
}

// Policy "local" needs no voters. Claims are stored on the local disk and survive a restart.
func TestLedgerLocal(t *testing.T) {
	a, b := newTestCell(t, "a"), newTestCell(t, "b")
	listen, address, dir := freeAddress(t), freeAddress(t), t.TempDir()
	text := ledgerConfig("b1", listen, address, dir, "", `policy = "local"`, a, b)
	for round := range 2 {
		proc := startProcess(t, text)
		waitForLedger(t, proc)
		status, ranBy, _ := sendKeyed(listen, "order", "k", "x", false)
		if status != 200 || round == 1 && upstreamsRun("k", a, b)[0] != ranBy {
			t.Errorf("round %d: got status %d from %s, ran at %v", round, status, ranBy, upstreamsRun("k", a, b))
		}
		proc.Drain()
		proc.Close()
	}
	if k := ledger.KeyOf("tag", "p", "", "order", "k"); len(k.String()) != 32 {
		t.Error(k)
	}
}

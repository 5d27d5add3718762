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

// testCell is an upstream of one cell that counts what it ran, by key.
type testCell struct {
	*testUpstream
	mu         sync.Mutex
	runs       map[string]int
	hold       chan struct{} // what comes is answered once this is closed; nil for at once
	breakConns atomic.Bool   // what comes runs, and its connection breaks
	reject     atomic.Bool   // what comes is turned away
}

func newCell(t *testing.T, name string) *testCell {
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
		hold := c.hold
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

func (c *testCell) times(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// ledgerConfig is a configuration of one pool whose upstreams are cells, with a ledger that one keeper holds.
func ledgerConfig(name, listen, address, dir, voters, more string, cells ...*testCell) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlimits.descriptors = 2000\n", name)
	b.WriteString(`[tariffs.view]
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
	fmt.Fprintf(&b, "[listeners.l]\naddress = %q\n[[routes]]\npool = \"p\"\n[pools.p]\ndefault_tariff = \"view\"\nmax_pushes = 3\n", listen)
	for _, c := range cells {
		fmt.Fprintf(&b, "[[pools.p.upstreams]]\nname = %q\naddress = %q\ngroup = %d\n", c.name, c.Listener.Addr(), c.name[0]-'a'+1)
	}
	fmt.Fprintf(&b, "[cluster]\nname = \"zuid\"\naddress = %q\ndirectory = %q\nvoters = [%s]\nelection = \"100ms\"\nlease = \"300ms\"\nprobe_every = \"50ms\"\n", address, dir, voters)
	fmt.Fprintf(&b, "[cluster.ledger]\nwithin = \"300ms\"\n%s\n", more)
	return b.String()
}

// sendKeyed sends one transaction of a tariff.
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

func upstreamsRun(key string, cells ...*testCell) (at []string) {
	for _, c := range cells {
		for range c.times(key) {
			at = append(at, c.name)
		}
	}
	return at
}

// waitForLedger waits until claims go through.
func waitForLedger(t *testing.T, s *Process) {
	t.Helper()
	waitFor(t, "the ledger is reached", func() bool { l := s.membership.Ledger(); return l != nil && !l.Down() })
}

// On a machine alone, its own disk the only copy: a repeat goes only where the first may have run, also once the process was
// killed between claim and end; once-only work that may have run is forfeited at once, what provably never ran is taken; a key with
// another body is refused where that is set; reload turns the ledger off and on.
func TestLedgerSingleKeeper(t *testing.T) {
	a, b := newCell(t, "a"), newCell(t, "b")
	listen, at, dir := freeAddress(t), freeAddress(t), t.TempDir()
	text := func(more string) string { return ledgerConfig("b1", listen, at, dir, `"b1"`, more, a, b) }
	s := startProcess(t, text("same_body = true"))
	waitForLedger(t, s)

	for n := range 20 {
		key := fmt.Sprint("k", n)
		first, where, _ := sendKeyed(listen, "order", key, "x", false)
		second, there, _ := sendKeyed(listen, "order", key, "x", n%2 == 0) // said to be a repeat, or not
		if first != 200 || second != 200 || where != there {
			t.Fatalf("%s was answered %d by %s, and its repeat %d by %s", key, first, where, second, there)
		}
	}
	if status, _, _ := sendKeyed(listen, "order", "k1", "another", false); status != http.StatusUnprocessableEntity {
		t.Errorf("a key with another body was answered %d", status)
	}
	long := strings.Repeat("k", 28<<10)
	if status, _, _ := sendKeyed(listen, "order", long, "x", false); status != 200 {
		t.Errorf("a long key was answered %d", status)
	}

	// Once-only: what was answered is not run again; what was turned away is.
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != 200 {
		t.Fatalf("once-only work was answered %d", status)
	}
	if status, text, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway || len(upstreamsRun("p1", a, b)) != 1 {
		t.Errorf("once-only work again was answered %d %q, and ran at %v", status, text, upstreamsRun("p1", a, b))
	}
	a.reject.Store(true)
	b.reject.Store(true)
	if status, _, after := sendKeyed(listen, "pay", "p2", "x", false); status != http.StatusServiceUnavailable || after == "" {
		t.Errorf("what was turned away was answered %d, come back after %q", status, after)
	}
	a.reject.Store(false)
	b.reject.Store(false)
	if status, _, _ := sendKeyed(listen, "pay", "p2", "x", true); status != 200 || len(upstreamsRun("p2", a, b)) != 1 {
		t.Errorf("what never ran was answered %d, and ran at %v", status, upstreamsRun("p2", a, b))
	}

	// Two tries of one key at once, while the first is out: the second waits for its end, or is deferred; never beside it.
	gate := make(chan struct{})
	for _, c := range []*testCell{a, b} {
		c.mu.Lock()
		c.hold = gate
		c.mu.Unlock()
	}
	got := make(chan int, 2)
	go func() { status, _, _ := sendKeyed(listen, "order", "twin", "x", false); got <- status }()
	waitFor(t, "the first runs", func() bool { return len(upstreamsRun("twin", a, b)) == 1 })
	status, _, after := sendKeyed(listen, "order", "twin", "x", false)
	if status != http.StatusServiceUnavailable || after == "" || len(upstreamsRun("twin", a, b)) != 1 {
		t.Errorf("the second was answered %d, after %q, and it ran at %v", status, after, upstreamsRun("twin", a, b))
	}
	go func() { status, _, _ := sendKeyed(listen, "order", "twin", "x", true); got <- status }()
	time.Sleep(50 * time.Millisecond)
	close(gate)
	for range 2 {
		if status := <-got; status != 200 {
			t.Errorf("a twin was answered %d", status)
		}
	}
	if at := upstreamsRun("twin", a, b); len(at) != 2 || at[0] != at[1] {
		t.Errorf("twins ran at %v", at)
	}
	for _, c := range []*testCell{a, b} {
		c.mu.Lock()
		c.hold = nil
		c.mu.Unlock()
	}

	// Reload: off, nothing is claimed; on again, what was known is known.
	if err := s.Reload(parse(t, text(`policy = "off"`))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != 200 {
		t.Errorf("with the ledger off once-only work was answered %d", status)
	}
	if err := s.Reload(parse(t, text(""))); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway {
		t.Errorf("with the ledger on again it was answered %d", status)
	}

	// The process ends between claim and end, as if it were killed: the keeper's directory is all that is left.
	a.breakConns.Store(true)
	b.breakConns.Store(true)
	if status, _, _ := sendKeyed(listen, "order", "cut", "x", false); status == 200 {
		t.Error("a broken answer passed for one")
	}
	a.breakConns.Store(false)
	b.breakConns.Store(false)
	where := upstreamsRun("cut", a, b)[0]
	s.Drain()
	s.Close()
	s = startProcess(t, text(""))
	defer s.Close()
	defer s.Drain()
	waitForLedger(t, s)
	if status, there, _ := sendKeyed(listen, "order", "cut", "x", false); status != 200 || there != where {
		t.Errorf("after a restart the repeat of what ran at %s was answered %d by %s", where, status, there)
	}
	if status, _, _ := sendKeyed(listen, "pay", "p1", "x", false); status != http.StatusBadGateway {
		t.Errorf("after a restart once-only work that ran was answered %d", status)
	}
	var out bytes.Buffer
	if err := s.ClusterCommand(&out, []string{"ledger", "find", `{"label":"p1"}`}); err != nil || !strings.Contains(out.String(), `"state":"answered"`) {
		t.Errorf("the ledger tells %q, %v", out.String(), err)
	}
	out.Reset()
	if err := s.ClusterCommand(&out, []string{"ledger", "verify"}); err != nil || !strings.Contains(out.String(), `"wrong":0`) {
		t.Errorf("verified: %q, %v", out.String(), err)
	}
	// All upstreams of the group are gone from the list: a repeat is deferred, and goes nowhere else.
	rest := a
	if where == "a" {
		rest = b
	}
	if err := s.Reload(parse(t, ledgerConfig("b1", listen, at, dir, `"b1"`, "", rest))); err != nil {
		t.Fatal(err)
	}
	if status, _, after := sendKeyed(listen, "order", "cut", "x", true); status != http.StatusServiceUnavailable || after == "" || len(upstreamsRun("cut", rest)) != 0 {
		t.Errorf("without its group the repeat was answered %d, and ran at %v", status, upstreamsRun("cut", rest))
	}
}

// Without a majority of keepers: what must not run twice is deferred at once with advice, what may run again is served at full speed,
// and the figures say so.
func TestLedgerWithoutKeepers(t *testing.T) {
	a := newCell(t, "a")
	listen := freeAddress(t)
	var out bytes.Buffer
	s, err := Start(parse(t, ledgerConfig("b1", listen, freeAddress(t), t.TempDir(), `"b1", "b2", "b3"`, "", a)), slog.New(slog.NewTextHandler(&out, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	defer s.Drain()
	for _, tariff := range []string{"order", "pay"} {
		begun := time.Now()
		status, _, after := sendKeyed(listen, tariff, "k", "x", false)
		if status != http.StatusServiceUnavailable || after == "" || time.Since(begun) > 200*time.Millisecond {
			t.Errorf("%s was answered %d after %s, come back after %q", tariff, status, time.Since(begun), after)
		}
	}
	if status, _, _ := sendKeyed(listen, "view", "", "x", false); status != 200 || len(upstreamsRun("k", a)) != 0 {
		t.Errorf("repeatable work was answered %d", status)
	}
	var figures bytes.Buffer
	s.WriteFigures(&figures)
	if !strings.Contains(figures.String(), "cluster_ledger_down 1\n") || !strings.Contains(figures.String(), "cluster_ledger_deferred 2\n") {
		t.Errorf("figures:\n%s", figures.String())
	}
}

// Policy "local" needs no keepers but the machine's own disk.
func TestLedgerLocal(t *testing.T) {
	a, b := newCell(t, "a"), newCell(t, "b")
	listen, at, dir := freeAddress(t), freeAddress(t), t.TempDir()
	text := ledgerConfig("b1", listen, at, dir, "", `policy = "local"`, a, b)
	for round := range 2 {
		s := startProcess(t, text)
		waitForLedger(t, s)
		status, where, _ := sendKeyed(listen, "order", "k", "x", false)
		if status != 200 || round == 1 && upstreamsRun("k", a, b)[0] != where {
			t.Errorf("round %d: answered %d by %s, ran at %v", round, status, where, upstreamsRun("k", a, b))
		}
		s.Drain()
		s.Close()
	}
	if k := ledger.KeyOf("tag", "p", "", "order", "k"); len(k.String()) != 32 {
		t.Error(k)
	}
}

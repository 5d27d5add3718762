package process

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ottershift/internal/peers"
)

// peerReports receives load reports in place of the other balancer of a pool.
type peerReports chan []byte

func (r peerReports) HandleReport(_, _ int, raw []byte) { r <- append([]byte(nil), raw...) }

// waitForAttempt waits for a report of exactly one open attempt.
func (r peerReports) waitForAttempt(t *testing.T) []byte {
	t.Helper()
	for {
		select {
		case raw := <-r:
			if len(raw) == 2 {
				return raw
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no report of an attempt within 5 s")
		}
	}
}

// poolConfig returns a configuration of one pool with additional keys, over the given upstreams.
func poolConfig(listen, more string, upstreams ...*testUpstream) string {
	text := fmt.Sprintf(baseConfig+"[listeners.l]\naddress = %q\n[[routes]]\npool = \"p\"\n[pools.p]\ndefault_tariff = \"view\"\n%s\n", listen, more)
	for _, upstream := range upstreams {
		text += fmt.Sprintf("[[pools.p.upstreams]]\nname = %q\naddress = %q\nkind = \"k\"\n", upstream.name, upstream.Listener.Addr())
	}
	return text
}

// The steps by which an operator turns on peers: in shadow mode the pool decides as before and counts what the load
// reports of a peer would have changed. After a reload it avoids the upstream that the peer reports as loaded, also
// with a third balancer, and a further reload turns this off again. A process whose own peer address is in use does not
// start, and a reload to such a configuration changes nothing.
func TestPeersAfterShadowModeAndBack(t *testing.T) {
	goleak.VerifyNone(t)
	a, b, listen, address, peerAddress := newTestUpstream(t, "a"), newTestUpstream(t, "b"), freeAddress(t), freeAddress(t), freeAddress(t)
	a.delay.Store(int64(60 * time.Millisecond))
	b.delay.Store(int64(60 * time.Millisecond))
	reports := make(peerReports, 1024)
	link, err := peers.Open(peerAddress)
	route, routeErr := peers.NewPeerSet("p", []string{address, peerAddress}, 1, reports)
	file := filepath.Join(t.TempDir(), "log")
	log, fileErr := os.Create(file)
	if err := errors.Join(err, routeErr, fileErr); err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	link.SetPeers(route)
	peerConfig := fmt.Sprintf("balancers = 2\npeers = [%q, %q]\nweights = \"live\"\n", address, peerAddress)
	takenConfig := parse(t, poolConfig(listen, fmt.Sprintf("balancers = 2\npeers = [%q, %q]", peerAddress, address), a))
	if _, err := Start(takenConfig, slog.New(slog.DiscardHandler), &slog.LevelVar{}); err == nil || !strings.Contains(err.Error(), "pool p: peers: listen udp") {
		t.Fatal("start with a peer address in use: ", err)
	}
	proc, err := Start(parse(t, poolConfig(listen, peerConfig+"watch = true", a, b)), slog.New(slog.NewTextHandler(log, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Transport{MaxIdleConnsPerHost: 4}
	// full returns how many of twelve requests go to the upstream of the first. The peer reports five attempts there.
	countToLoaded := func(sendReport bool) (countToLoaded int) {
		loaded := ""
		// Old reports are discarded, since they would name the wrong upstream.
		for time.Sleep(30 * time.Millisecond); len(reports) > 0; <-reports {
		}
		for n := range 13 {
			done := make(chan string, 1)
			go func() {
				_, body, err := sendRequest(client, listen, "x")
				if err != nil {
					t.Error(err)
				}
				done <- strings.Fields(body + " -")[0]
			}()
			if sendReport && n == 0 {
				report := reports.waitForAttempt(t)
				link.SendReport(1, 0, []byte{30, report[1], report[1], report[1], report[1], report[1]})
			}
			if body := <-done; n == 0 {
				loaded = body
			} else if body == loaded {
				countToLoaded++
			}
		}
		return countToLoaded
	}
	reload := func(more string) {
		t.Helper()
		if err := proc.Reload(parse(t, poolConfig(listen, more, a, b))); err != nil {
			t.Fatal(err)
		}
	}
	if n := countToLoaded(true); n < 4 || n > 8 {
		t.Errorf("%d of 12 went to the loaded upstream in shadow mode, want about half", n)
	}
	reload(peerConfig)
	counts := ""
	for n := 0; !strings.Contains(counts, "step=end"); n++ {
		if n == 500 {
			t.Fatal("the pool in shadow mode was not closed")
		}
		time.Sleep(10 * time.Millisecond)
		text, _ := os.ReadFile(file)
		counts = string(text)
	}
	if !strings.Contains(counts, "elsewhere=") || strings.Contains(counts, "compared=0") || strings.Contains(counts, "elsewhere=0") {
		t.Errorf("no count of requests for other upstreams: %s", counts)
	}
	if proc.Reload(takenConfig) == nil {
		t.Error("reloaded to a peer address in use")
	}
	if n := countToLoaded(true); n > 1 {
		t.Errorf("%d of 12 went to the upstream that the peer reports as loaded", n)
	}
	reload(fmt.Sprintf("balancers = 3\npeers = [%q, %q, %q]\n", address, peerAddress, freeAddress(t)))
	if n := countToLoaded(true); n > 1 {
		t.Errorf("%d of 12 went to the upstream that the peer reports as loaded, with three balancers", n)
	}
	reload("balancers = 2")
	if n := countToLoaded(false); n < 4 || n > 8 {
		t.Errorf("%d of 12 went to the same upstream after peers were turned off, want about half", n)
	}
	if l, err := peers.Open(address); err != nil { // the address is free again
		t.Error(err)
	} else {
		l.Close()
	}
	link.Close()
	closeAndVerify(t, proc, client, a, b)
}

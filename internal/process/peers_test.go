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

// mate hears as the other balancer of a pool, whose part the test plays.
type mate chan []byte

func (m mate) HandleReport(_, _ int, raw []byte) { m <- append([]byte(nil), raw...) }

// flying waits for word of one push that is out.
func (m mate) flying(t *testing.T) []byte {
	t.Helper()
	for {
		select {
		case raw := <-m:
			if len(raw) == 2 {
				return raw
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no word of a push")
		}
	}
}

// shaped is a configuration of one pool with more keys, over some stand-ins.
func shaped(listen, more string, stands ...*stand) string {
	text := fmt.Sprintf(head+"[listeners.l]\naddress = %q\n[[routes]]\npool = \"p\"\n[pools.p]\ndefault_tariff = \"view\"\n%s\n", listen, more)
	for _, s := range stands {
		text += fmt.Sprintf("[[pools.p.upstreams]]\nname = %q\naddress = %q\nkind = \"k\"\n", s.name, s.Listener.Addr())
	}
	return text
}

// The move as an operator makes it: the pool first watches, deciding as ever and counting what a crowd at its peer would
// have changed; then, by SIGHUP, it keeps clear of what its peer says is full, also when one is added; then it goes back.
// Where its own address is another's it doesn't start, and a reload to that changes nothing.
func TestMoveByWatchingAndBack(t *testing.T) {
	goleak.VerifyNone(t)
	a, b, listen, at, there := newStand(t, "a"), newStand(t, "b"), free(t), free(t), free(t)
	a.takes.Store(int64(60 * time.Millisecond))
	b.takes.Store(int64(60 * time.Millisecond))
	m := make(mate, 1024)
	link, err := peers.Open(there)
	route, fault := peers.NewPeerSet("p", []string{at, there}, 1, m)
	file := filepath.Join(t.TempDir(), "log")
	log, bad := os.Create(file)
	if err := errors.Join(err, fault, bad); err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	link.SetPeers(route)
	shape := fmt.Sprintf("balancers = 2\npeers = [%q, %q]\nweights = \"live\"\n", at, there)
	taken := parse(t, shaped(listen, fmt.Sprintf("balancers = 2\npeers = [%q, %q]", there, at), a))
	if _, err := Start(taken, slog.New(slog.DiscardHandler), &slog.LevelVar{}); err == nil || !strings.Contains(err.Error(), "pool p: peers: listen udp") {
		t.Fatal("at an address that another has: ", err)
	}
	s, err := Start(parse(t, shaped(listen, shape+"watch = true", a, b)), slog.New(slog.NewTextHandler(log, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Transport{MaxIdleConnsPerHost: 4}
	// full tells how many of twelve go where the first went, of which the peer says that it has five more there.
	full := func(tell bool) (full int) {
		first := ""
		for time.Sleep(30 * time.Millisecond); len(m) > 0; <-m { // danger: old word would name the wrong one
		}
		for n := range 13 {
			done := make(chan string, 1)
			go func() {
				_, body, err := ask(client, listen, "x")
				if err != nil {
					t.Error(err)
				}
				done <- strings.Fields(body + " -")[0]
			}()
			if tell && n == 0 {
				word := m.flying(t)
				link.SendReport(1, 0, []byte{30, word[1], word[1], word[1], word[1], word[1]})
			}
			if body := <-done; n == 0 {
				first = body
			} else if body == first {
				full++
			}
		}
		return full
	}
	reload := func(more string) {
		t.Helper()
		if err := s.Reload(parse(t, shaped(listen, more, a, b))); err != nil {
			t.Fatal(err)
		}
	}
	if n := full(true); n < 4 || n > 8 {
		t.Errorf("%d of 12 went to the full one while it watched; it decides as ever, by turns", n)
	}
	reload(shape)
	counts := ""
	for n := 0; !strings.Contains(counts, "step=end"); n++ {
		if n == 500 {
			t.Fatal("the pool that watched has not gone")
		}
		time.Sleep(10 * time.Millisecond)
		text, _ := os.ReadFile(file)
		counts = string(text)
	}
	if !strings.Contains(counts, "elsewhere=") || strings.Contains(counts, "compared=0") || strings.Contains(counts, "elsewhere=0") {
		t.Errorf("no count of what would have gone elsewhere: %s", counts)
	}
	if s.Reload(taken) == nil {
		t.Error("reloaded to an address that another has")
	}
	if n := full(true); n > 1 {
		t.Errorf("%d of 12 went to the upstream that the peer says is full", n)
	}
	reload(fmt.Sprintf("balancers = 3\npeers = [%q, %q, %q]\n", at, there, free(t)))
	if n := full(true); n > 1 {
		t.Errorf("%d of 12 went to the upstream that the peer says is full, one of three balancers", n)
	}
	reload("balancers = 2")
	if n := full(false); n < 4 || n > 8 {
		t.Errorf("%d of 12 went to the same one after going back; it decides as ever, by turns", n)
	}
	if l, err := peers.Open(at); err != nil { // nobody listens there any more
		t.Error(err)
	} else {
		l.Close()
	}
	link.Close()
	finish(t, s, client, a, b)
}
